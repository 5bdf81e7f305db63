"""Behavior of a simulated host: a state machine that takes messages and times and returns messages.

It does no I/O and is passed the time and its random source, so that equal seeds give equal runs. All times
are in seconds.
"""

import heapq
from collections import OrderedDict, deque
from dataclasses import dataclass, field
from random import Random

from linedeal.interface import Effect
from linedeal.protocol import pb
from linedeal.settings.records import Cluster

# ends kept until their controllers confirm them; past that the oldest are dropped, and welcomes set `forgot`
MAX_UNCONFIRMED_ENDS = 10000


@dataclass(frozen=True, slots=True)
class HostBehavior:
    """Parameters of a host, in seconds at full speed and counts; day files set each under its field name."""

    look: float = 0.01  # mean time to examine one offer
    queue: int = 16  # offers that may wait to be examined; more are refused
    starts: int = 3  # jobs that start at the same time
    setup: float = 1.0  # mean time to start a job whose program is not cached; a sixth of that if it is
    kept: int = 8  # programs cached beyond the number of jobs held
    life: float = 12.0  # scale (median) of a job's log-normal run time
    use: float = 0.6  # mean of the cores in use, as a share of those requested
    swing: float = 0.25  # standard deviation of that share
    cold_share: float = 0.3  # share of its full speed just after boot; rises over the slow start
    # In slow start the host crashes past this many times the slow start limit of offers within the window.
    fall_over: float = 1.25
    drain: str = "keep"  # what a draining host does with its jobs: keep, paced, at_once


@dataclass(slots=True, eq=False)
class HeldLaunch:
    """A launch that the host has queued, accepted, started or ended."""

    id: tuple[str, int, int]  # controller, its incarnation, number
    job: pb.JobSpec
    value: float  # of its offering; the lowest is evicted first
    phase: int = pb.QUEUED
    due: float = 0.0  # time after which the controller no longer waits for an acceptance
    cores: float = 0.0  # in use
    memory: float = 0.0  # in use
    outcome: int = pb.OUTCOME_UNKNOWN
    reason: int = pb.REASON_UNTOLD
    began: float = 0.0  # start of the run; 0: not started
    usage_since: float = 0.0  # when `cores` was last set
    core_seconds: float = 0.0  # up to `usage_since`
    max_memory: float = 0.0
    ran: pb.Ran | None = None  # set at the end of a run

    def to_message(self):
        """The id as it is sent."""
        return pb.LaunchId(controller=self.id[0], life=self.id[1], number=self.id[2])


@dataclass(slots=True)
class Faults:
    """Injected faults."""

    failing_offerings: set[str] = field(default_factory=set)  # their jobs end with an error
    refused_customers: set[str] = field(default_factory=set)  # their jobs are refused without a reason
    pace: float = 1.0  # factor on the host's speed
    surge: dict[str, float] = field(default_factory=dict)  # by service: factor on the cores that its jobs use


class HostModel:
    """State of one boot of a host.

    `out` collects (controller, message) for the caller to send.
    """

    def __init__(
        self,
        name: str,
        kind: str,
        cluster: Cluster,
        behavior: HostBehavior,
        boot: int,
        random: Random,
        now: float,
        slow_start: bool,
    ):
        """A host without jobs that boots at `now`; without `slow_start` it counts as booted long before."""
        self.name, self.kind, self.cluster, self.behavior = name, kind, cluster, behavior
        self.size = cluster.settings.kinds[kind]
        self.random, self.boot = random, boot
        self.booted = now if slow_start else now - 10 * cluster.settings.slow_start_duration
        self.launches: OrderedDict[tuple, HeldLaunch] = OrderedDict()  # queued, accepted or running
        self.ended_launches: OrderedDict[tuple, HeldLaunch] = OrderedDict()
        self.queue: deque[HeldLaunch] = deque()  # offers to be examined
        self.starts: deque[HeldLaunch] = deque()  # accepted, waiting to start
        self.starting = 0
        self.programs: OrderedDict[str, None] = OrderedDict()  # cached, least recently used first
        self.fences: dict[str, tuple[int, int]] = {}  # highest incarnation and link, by controller
        self.offers: deque[float] = deque()  # times of the offers within the slow start window
        self.timers: list = []  # heap of (time, sequence number, name of the method, its argument)
        self.timer_count = 0
        self.draining = self.crashed = self.forgot = False
        self.faults = Faults()
        self.out: list[tuple[str, object]] = []  # controller, message
        self.set_timer(now + 1.0, "report_service", None)

    # -- links

    def hello(self, controller: str, life: int, link: int):
        """A Welcome with the inventory for that controller, or a Bye where it is fenced off by a later link.

        Drops unexamined offers of earlier incarnations, so that what the inventory does not name never runs.
        """
        known = self.fences.get(controller, (0, 0))
        if (life, link) <= known:
            return pb.Bye(
                reason=f"life {known[0]} link {known[1]} of {controller} is known", fenced=life < known[0]
            )
        self.fences[controller] = (life, link)
        for launch in [queued for queued in self.queue if queued.id[0] == controller and queued.id[1] < life]:
            self.queue.remove(launch)
            del self.launches[launch.id]
        held = [
            pb.Held(
                launch=item.to_message(),
                job=without_work(item.job),
                phase=item.phase,
                outcome=item.outcome,
                reason=item.reason,
                ran=item.ran,
            )
            for table in (self.launches, self.ended_launches)
            for item in table.values()
            if item.id[0] == controller
        ]
        return pb.Welcome(
            version=1, name=self.name, boot=self.boot, age=self.age, held=held, forgot=self.forgot
        )

    def in_force(self, controller: str, life: int, link: int) -> bool:
        """Whether no later link of the controller is known."""
        return self.fences.get(controller) == (life, link)

    # -- messages

    def handle_message(self, now: float, controller: str, message) -> bool:
        """Handles one message of a link in force. False for one that no controller may send."""
        match message:
            case pb.Offer():
                self.receive_offer(now, message)
            case pb.Stop():
                self.stop(now, launch_key(message.launch))
            case pb.EndSeen():
                self.ended_launches.pop(launch_key(message.launch), None)
            case pb.Probe():
                self.out.append((controller, pb.Report(number=message.number, figures=self.report())))
            case _:
                return False
        return True

    def receive_offer(self, now, offer) -> None:
        """Queues an offer, or refuses it where the queue is full. Too many in slow start crash the host."""
        settings = self.cluster.settings
        self.offers.append(now)
        while self.offers[0] < now - settings.slow_start_window:
            self.offers.popleft()
        if now < self.booted + settings.slow_start_duration and (
            len(self.offers) > settings.slow_start_limit * self.behavior.fall_over
        ):
            self.crashed = True
            return
        offering = settings.offerings.get(offer.job.offering)
        launch = HeldLaunch(
            launch_key(offer.launch), offer.job, offering.value if offering else 0.0, due=now + offer.wait
        )
        if launch.id in self.launches or launch.id in self.ended_launches:
            return  # a duplicate
        if len(self.queue) >= self.behavior.queue:
            self.refuse(launch, pb.QUEUE_FULL)
            return
        self.launches[launch.id] = launch
        self.queue.append(launch)
        if len(self.queue) == 1:
            self.set_timer(now + self.examination_time(now), "examine_offer", None)

    def examination_time(self, now):
        """Seconds to examine the next offer."""
        return self.behavior.look * self.random.uniform(0.5, 1.5) / self.pace(now)

    def pace(self, now):
        """The host's speed relative to its full one: reduced in slow start and by faults."""
        part = min(1.0, (now - self.booted) / max(self.cluster.settings.slow_start_duration, 1e-9))
        return self.faults.pace * (self.behavior.cold_share + (1 - self.behavior.cold_share) * part)

    def examine_offer(self, now, _) -> None:
        """Accepts or refuses the first offer of the queue."""
        if not self.queue:
            return
        launch = self.queue.popleft()
        if self.queue:
            self.set_timer(now + self.examination_time(now), "examine_offer", None)
        reason = self.refusal_reason(now, launch)
        if reason is not None:
            del self.launches[launch.id]
            self.refuse(launch, reason)
            return
        launch.phase = pb.ACCEPTED
        self.send(launch, pb.Accepted(launch=launch.to_message()))
        self.starts.append(launch)
        self.start_waiting(now)

    def refusal_reason(self, now, launch):
        """The reason sent with a refusal, or None where the launch is accepted."""
        settings, job = self.cluster.settings, launch.job
        offering = settings.offerings.get(job.offering)
        if (
            offering is None
            or (offering.kind and offering.kind != self.kind)
            or self.draining
            or now > launch.due
        ):
            return pb.NOT_HERE
        if job.customer in self.faults.refused_customers:
            return pb.REASON_UNTOLD
        if any(other.job.id == job.id and other is not launch for other in self.launches.values()):
            return pb.NOT_HERE  # another launch of the job is held
        cores, memory = self.requested()
        if cores + job.cores > settings.accepts_cores * self.size.cores:
            return pb.NO_CORES
        if memory + job.memory > settings.accepts_memory * self.size.memory:
            return pb.NO_MEMORY
        return None

    def start_waiting(self, now) -> None:
        """Begins to start accepted launches, as many at a time as `behavior.starts`."""
        while self.starts and self.starting < self.behavior.starts:
            launch = self.starts.popleft()
            self.starting += 1
            setup = self.behavior.setup * self.random.uniform(0.7, 1.3) / self.pace(now)
            if launch.job.service in self.programs:
                setup /= 6
            self.set_timer(now + setup, "job_started", launch.id)

    def job_started(self, now, launch_id) -> None:
        """Completes a start, unless the launch has been stopped or dropped meanwhile."""
        self.starting -= 1
        launch = self.launches.get(launch_id)
        if launch is not None:
            launch.phase, launch.began, launch.usage_since = pb.RUNNING, now, now
            self.programs[launch.job.service] = None
            self.programs.move_to_end(launch.job.service)
            while len(self.programs) > self.behavior.kept + len(self.launches):
                self.programs.popitem(last=False)
            self.send(launch, pb.Started(launch=launch.to_message()))
            self.update_usage(now, launch.id)
            if launch.job.offering in self.faults.failing_offerings:
                self.set_timer(now + 0.05, "job_failed", launch.id)
            else:
                self.set_timer(
                    now + self.random.lognormvariate(0, 0.8) * self.behavior.life, "job_done", launch.id
                )
        self.start_waiting(now)

    def update_usage(self, now, launch_id) -> None:
        """Draws a new usage for a job and reports it.

        While memory is overcommitted, evicts the job of least value.
        """
        launch = self.launches.get(launch_id)
        if launch is None:
            return
        share = min(2.0, max(0.1, self.random.gauss(self.behavior.use, self.behavior.swing)))
        share *= self.faults.surge.get(launch.job.service, 1.0)
        launch.core_seconds += launch.cores * (now - launch.usage_since)
        launch.usage_since = now
        launch.cores, launch.memory = (
            share * launch.job.cores,
            min(1.2, 0.4 + 0.5 * share) * launch.job.memory,
        )
        launch.max_memory = max(launch.max_memory, launch.memory)
        self.send(launch, pb.Use(launch=launch.to_message(), cores=launch.cores, memory=launch.memory))
        self.set_timer(now + self.random.uniform(3, 8), "update_usage", launch_id)
        while sum(other.memory for other in self.launches.values()) > self.size.memory:
            self.drop(
                now,
                min(
                    (other for other in self.launches.values() if other.memory), key=lambda other: other.value
                ),
                pb.EVICTED,
            )

    def report_service(self, now, _) -> None:
        """Once a second: reports to each controller its worst-served job and the host's memory usage.

        Nothing is sent while the job is served well and memory is far from full.
        """
        self.set_timer(now + 1.0, "report_service", None)
        busy = sum(held.cores for held in self.launches.values()) / self.size.cores
        memory = sum(held.memory for held in self.launches.values()) / self.size.memory
        worst: dict[str, tuple] = {}
        for launch in self.launches.values():
            offering = self.cluster.settings.offerings.get(launch.job.offering)
            if launch.phase == pb.RUNNING and offering:
                over = (
                    (busy - offering.degradation_start) / offering.degradation_span
                    if offering.degradation_span
                    else float(busy > offering.degradation_start)
                )
                served = min(1.0, max(0.0, 1.0 - over))
                worst[launch.id[0]] = min(worst.get(launch.id[0], (2.0,)), (served, launch.id))
        for served, launch_id in worst.values():
            if served < 0.95 or memory > 0.85:
                launch = self.launches[launch_id]
                self.send(
                    launch,
                    pb.Service(
                        launch=launch.to_message(),
                        served=served if served < 0.95 else -1.0,
                        host_memory=memory if memory > 0.85 else -1.0,
                    ),
                )

    def job_done(self, now, launch_id) -> None:
        """Ends a job with success."""
        self.end(launch_id, pb.DONE, pb.REASON_UNTOLD)

    def job_failed(self, now, launch_id) -> None:
        """Ends a job with an error."""
        self.end(launch_id, pb.ERROR, pb.REASON_UNTOLD)

    def stop(self, now, launch_id) -> None:
        """Ends a launch on its controller's request; no effect where it has ended."""
        launch = self.launches.get(launch_id)
        if launch is None:
            return
        if launch in self.queue:
            self.queue.remove(launch)
        if launch in self.starts:
            self.starts.remove(launch)
        self.end(launch_id, pb.STOPPED, pb.REASON_UNTOLD)

    def drop(self, now, launch, reason) -> None:
        """Ends a launch for a reason of the host's: refused before its start, lost after it."""
        if launch in self.starts:
            self.starts.remove(launch)
        # Without confirmed starts the owner was answered "placed" on acceptance: a later drop is a loss.
        if launch.phase == pb.RUNNING or not self.cluster.settings.starts_confirmed:
            self.end(launch.id, pb.LOST, reason)
        else:
            self.launches.pop(launch.id, None)
            self.refuse(launch, reason)

    def end(self, launch_id, outcome, reason) -> None:
        """Ends a launch and reports it; the end is kept until its controller confirms it."""
        launch = self.launches.pop(launch_id, None)
        if launch is None:
            return
        launch.phase, launch.outcome, launch.reason, launch.ran = (
            pb.OVER,
            outcome,
            reason,
            self.run_record(launch, outcome),
        )
        self.ended_launches[launch.id] = launch
        if len(self.ended_launches) > MAX_UNCONFIRMED_ENDS:
            self.ended_launches.popitem(last=False)
            self.forgot = True
        self.send(
            launch, pb.Ended(launch=launch.to_message(), outcome=outcome, reason=reason, ran=launch.ran)
        )

    def run_record(self, launch, outcome):
        """Duration, usage and exit status of a run; None where it has not started."""
        if not launch.began:
            return None
        now = self.booted + self.age
        ran = pb.Ran(
            seconds=now - launch.began,
            core_seconds=launch.core_seconds + launch.cores * (now - launch.usage_since),
            memory=launch.max_memory,
        )
        if outcome in (pb.DONE, pb.ERROR):
            ran.status = 0 if outcome == pb.DONE else 1
        return ran

    def refuse(self, launch, reason) -> None:
        """Sends a refusal."""
        self.send(launch, pb.Refused(launch=launch.to_message(), reason=reason))

    def drain(self, now) -> None:
        """Accepts nothing from now on, and drops or keeps its jobs as `behavior.drain` requires."""
        self.draining = True
        if self.behavior.drain != "keep":
            for index, launch in enumerate(list(self.launches.values())):
                delay = 0.0 if self.behavior.drain == "at_once" else 0.2 * index
                self.set_timer(now + delay, "send_away", launch.id)

    def send_away(self, now, launch_id) -> None:
        """Drops an accepted or running launch of a draining host; queued ones are refused when examined."""
        launch = self.launches.get(launch_id)
        if launch is not None and launch not in self.queue:
            self.drop(now, launch, pb.SENT_AWAY)

    def irreversible(self) -> int:
        """Number of held launches whose jobs must not be lost to a release."""
        offerings = self.cluster.settings.offerings
        return sum(
            launch.job.offering in offerings and offerings[launch.job.offering].effect is Effect.IRREVERSIBLE
            for launch in self.launches.values()
        )

    # -- timers and reports

    def set_timer(self, at, handler, subject) -> None:
        """Calls the method named `handler` with the time and `subject` once `at` has passed."""
        self.timer_count += 1
        heapq.heappush(self.timers, (at, self.timer_count, handler, subject))

    def pass_time(self, now: float) -> None:
        """Advances to `now` and runs the timers due by then, each with its own time."""
        self.age = now - self.booted
        while self.timers and self.timers[0][0] <= now:
            at, _, handler, subject = heapq.heappop(self.timers)
            getattr(self, handler)(at, subject)

    age = 0.0  # seconds since boot, as of the last `pass_time`

    def next_due(self) -> float:
        """Time of the next timer; there is always one."""
        return self.timers[0][0]

    def send(self, launch, message) -> None:
        """Queues a message to the controller of a launch."""
        self.out.append((launch.id[0], message))

    def requested(self):
        """Cores and memory that accepted and running jobs request."""
        accepted = [launch for launch in self.launches.values() if launch.phase != pb.QUEUED]
        return sum(launch.job.cores for launch in accepted), sum(launch.job.memory for launch in accepted)

    def report(self):
        """Figures of a probe's reply. `unasked`: not requested; `idle`: not in use."""
        cores, memory = self.requested()
        in_use = (
            sum(launch.cores for launch in self.launches.values()),
            sum(launch.memory for launch in self.launches.values()),
        )
        return {
            "unasked_cores": self.size.cores - cores,
            "unasked_memory": self.size.memory - memory,
            "idle_cores": self.size.cores - in_use[0],
            "idle_memory": self.size.memory - in_use[1],
            "queue": len(self.queue) + len(self.starts),
            "jobs": len(self.launches),
        }


def without_work(job):
    """A job as an inventory names it: with the work of a few dozen jobs a welcome would outgrow a frame."""
    spec = pb.JobSpec.FromString(job.SerializeToString())
    spec.ClearField("work")
    return spec


def launch_key(launch) -> tuple[str, int, int]:
    """The id of a launch message as a key."""
    return launch.controller, launch.life, launch.number
