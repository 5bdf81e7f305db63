"""How a stand-in host behaves. No I/O, clock or chance of its own: messages in, messages out, time passed in."""

import heapq
from collections import OrderedDict, deque
from dataclasses import dataclass, field
from random import Random

from linedeal.interface import Effect
from linedeal.protocol import pb
from linedeal.settings.records import Cluster

ENDS_KEPT = 10000  # ends that no controller has seen yet; past that the host owns up to having forgotten


@dataclass(frozen=True, slots=True)
class HostBehavior:
    """Seconds and counts; each may be set in a day file."""

    look: float = 0.01  # to look at one offer
    queue: int = 16  # offers that may wait to be looked at
    starts: int = 3  # at a time
    setup: float = 1.0  # of a start without the program; with it a sixth
    kept: int = 8  # programs kept after their last job
    life: float = 12.0  # mean run
    use: float = 0.6  # mean share of the ask in use
    swing: float = 0.25
    cold_share: float = 0.3  # of its pace, just after boot
    fall_over: float = 1.25  # times the offers that a young host always bears: falls over past that
    drain: str = "keep"  # what a draining host does with its jobs: keep, paced, at_once


@dataclass(slots=True, eq=False)
class HeldLaunch:
    """One launch that the host knows."""

    id: tuple[str, int, int]
    job: pb.JobSpec
    value: float
    phase: int = pb.QUEUED
    due: float = 0.0
    cores: float = 0.0
    memory: float = 0.0
    outcome: int = pb.OUTCOME_UNKNOWN
    reason: int = pb.REASON_UNTOLD
    began: float = 0.0  # 0: it has not
    used_at: float = 0.0
    core_seconds: float = 0.0
    memory_most: float = 0.0
    ran: pb.Ran | None = None

    def launch(self):
        return pb.LaunchId(controller=self.id[0], life=self.id[1], number=self.id[2])


@dataclass(slots=True)
class Faults:
    """Switched from outside."""

    errors: set[str] = field(default_factory=set)  # offerings whose jobs fail
    refuses: set[str] = field(default_factory=set)  # customers that are refused without a reason
    pace: float = 1.0
    surge: dict[str, float] = field(default_factory=dict)  # service: times its usual use


class HostModel:
    def __init__(
        self,
        name: str,
        kind: str,
        cluster: Cluster,
        habits: HostBehavior,
        boot: int,
        random: Random,
        now: float,
        young: bool,
    ):
        self.name, self.kind, self.cluster, self.habits = name, kind, cluster, habits
        self.size = cluster.settings.kinds[kind]
        self.random, self.boot = random, boot
        self.booted = now if young else now - 10 * cluster.settings.slow_start_duration
        self.launches: OrderedDict[tuple, HeldLaunch] = OrderedDict()
        self.ended_launches: OrderedDict[tuple, HeldLaunch] = OrderedDict()
        self.queue: deque[HeldLaunch] = deque()
        self.starts: deque[HeldLaunch] = deque()
        self.starting = 0
        self.programs: OrderedDict[str, None] = OrderedDict()
        self.fences: dict[str, tuple[int, int]] = {}
        self.offers: deque[float] = deque()
        self.timers: list = []
        self.armed = 0
        self.draining = self.crashed = self.forgot = False
        self.faults = Faults()
        self.out: list[tuple[str, object]] = []  # controller, message
        self.arm(now + 1.0, "notes", None)

    # -- links

    def hello(self, controller: str, life: int, link: int):
        """A Welcome with all that is held for it, or a Bye where it has been fenced off."""
        known = self.fences.get(controller, (0, 0))
        if (life, link) <= known:
            return pb.Bye(
                reason=f"life {known[0]} link {known[1]} of {controller} is known", fenced=life < known[0]
            )
        self.fences[controller] = (life, link)
        for copy in [c for c in self.queue if c.id[0] == controller and c.id[1] < life]:
            self.queue.remove(copy)
            del self.launches[copy.id]
        held = [
            pb.Held(
                launch=c.launch(),
                job=without_work(c.job),
                phase=c.phase,
                outcome=c.outcome,
                reason=c.reason,
                ran=c.ran,
            )
            for table in (self.launches, self.ended_launches)
            for c in table.values()
            if c.id[0] == controller
        ]
        return pb.Welcome(
            version=1, name=self.name, boot=self.boot, age=self.now_age, held=held, forgot=self.forgot
        )

    def in_force(self, controller: str, life: int, link: int) -> bool:
        return self.fences.get(controller) == (life, link)

    # -- messages

    def take(self, now: float, controller: str, message) -> bool:
        """One message of a link in force. False for one that no controller may send."""
        match message:
            case pb.Offer():
                self.offered(now, message)
            case pb.Stop():
                self.stop(now, key(message.launch))
            case pb.EndSeen():
                self.ended_launches.pop(key(message.launch), None)
            case pb.Probe():
                self.out.append((controller, pb.Report(number=message.number, figures=self.report())))
            case _:
                return False
        return True

    def offered(self, now, offer) -> None:
        settings = self.cluster.settings
        self.offers.append(now)
        while self.offers[0] < now - settings.slow_start_window:
            self.offers.popleft()
        if now < self.booted + settings.slow_start_duration and (
            len(self.offers) > settings.slow_start_limit * self.habits.fall_over
        ):
            self.crashed = True
            return
        offering = settings.offerings.get(offer.job.offering)
        copy = HeldLaunch(
            key(offer.launch), offer.job, offering.value if offering else 0.0, due=now + offer.wait
        )
        if copy.id in self.launches or copy.id in self.ended_launches:
            return  # the same launch twice on one link: known already
        if len(self.queue) >= self.habits.queue:
            self.refuse(copy, pb.QUEUE_FULL)
            return
        self.launches[copy.id] = copy
        self.queue.append(copy)
        if len(self.queue) == 1:
            self.arm(now + self.look_time(now), "look", None)

    def look_time(self, now):
        return self.habits.look * self.random.uniform(0.5, 1.5) / self.pace(now)

    def pace(self, now):
        part = min(1.0, (now - self.booted) / max(self.cluster.settings.slow_start_duration, 1e-9))
        return self.faults.pace * (self.habits.cold_share + (1 - self.habits.cold_share) * part)

    def look(self, now, _) -> None:
        if not self.queue:
            return
        copy = self.queue.popleft()
        if self.queue:
            self.arm(now + self.look_time(now), "look", None)
        reason = self.why_not(now, copy)
        if reason is not None:
            del self.launches[copy.id]
            self.refuse(copy, reason)
            return
        copy.phase = pb.ACCEPTED
        self.tell(copy, pb.Accepted(launch=copy.launch()))
        self.starts.append(copy)
        self.start_more(now)

    def why_not(self, now, copy):
        settings, job = self.cluster.settings, copy.job
        offering = settings.offerings.get(job.offering)
        if (
            offering is None
            or (offering.kind and offering.kind != self.kind)
            or self.draining
            or now > copy.due
        ):
            return pb.NOT_HERE
        if job.customer in self.faults.refuses:
            return pb.REASON_UNTOLD
        if any(c.job.id == job.id and c is not copy for c in self.launches.values()):
            return pb.NOT_HERE  # a copy stands
        cores, memory = self.asked()
        if cores + job.cores > settings.accepts_cores * self.size.cores:
            return pb.NO_CORES
        if memory + job.memory > settings.accepts_memory * self.size.memory:
            return pb.NO_MEMORY
        return None

    def start_more(self, now) -> None:
        while self.starts and self.starting < self.habits.starts:
            copy = self.starts.popleft()
            self.starting += 1
            setup = self.habits.setup * self.random.uniform(0.7, 1.3) / self.pace(now)
            if copy.job.service in self.programs:
                setup /= 6
            self.arm(now + setup, "begin", copy.id)

    def begin(self, now, copy_id) -> None:
        self.starting -= 1
        copy = self.launches.get(copy_id)
        if copy is not None:
            copy.phase, copy.began, copy.used_at = pb.RUNNING, now, now
            self.programs[copy.job.service] = None
            self.programs.move_to_end(copy.job.service)
            while len(self.programs) > self.habits.kept + len(self.launches):
                self.programs.popitem(last=False)
            self.tell(copy, pb.Started(launch=copy.launch()))
            self.use(now, copy.id)
            if copy.job.offering in self.faults.errors:
                self.arm(now + 0.05, "fail", copy.id)
            else:
                self.arm(now + self.random.lognormvariate(0, 0.8) * self.habits.life, "done", copy.id)
        self.start_more(now)

    def use(self, now, copy_id) -> None:
        copy = self.launches.get(copy_id)
        if copy is None:
            return
        share = min(2.0, max(0.1, self.random.gauss(self.habits.use, self.habits.swing)))
        share *= self.faults.surge.get(copy.job.service, 1.0)
        copy.core_seconds += copy.cores * (now - copy.used_at)
        copy.used_at = now
        copy.cores, copy.memory = share * copy.job.cores, min(1.2, 0.4 + 0.5 * share) * copy.job.memory
        copy.memory_most = max(copy.memory_most, copy.memory)
        self.tell(copy, pb.Use(launch=copy.launch(), cores=copy.cores, memory=copy.memory))
        self.arm(now + self.random.uniform(3, 8), "use", copy_id)
        while sum(c.memory for c in self.launches.values()) > self.size.memory:
            self.lose(
                now, min((c for c in self.launches.values() if c.memory), key=lambda c: c.value), pb.EVICTED
            )

    def notes(self, now, _) -> None:
        """Once a second: how poorly the worst-served job of each controller is served, and how full memory is."""
        self.arm(now + 1.0, "notes", None)
        busy = sum(c.cores for c in self.launches.values()) / self.size.cores
        memory = sum(c.memory for c in self.launches.values()) / self.size.memory
        worst: dict[str, tuple] = {}
        for copy in self.launches.values():
            offering = self.cluster.settings.offerings.get(copy.job.offering)
            if copy.phase == pb.RUNNING and offering:
                over = (
                    (busy - offering.degradation_start) / offering.degradation_span
                    if offering.degradation_span
                    else float(busy > offering.degradation_start)
                )
                served = min(1.0, max(0.0, 1.0 - over))
                worst[copy.id[0]] = min(worst.get(copy.id[0], (2.0,)), (served, copy.id))
        for served, copy_id in worst.values():
            if served < 0.95 or memory > 0.85:
                copy = self.launches[copy_id]
                self.tell(
                    copy,
                    pb.Service(
                        launch=copy.launch(),
                        served=served if served < 0.95 else -1.0,
                        host_memory=memory if memory > 0.85 else -1.0,
                    ),
                )

    def done(self, now, copy_id) -> None:
        self.end(copy_id, pb.DONE, pb.REASON_UNTOLD)

    def fail(self, now, copy_id) -> None:
        self.end(copy_id, pb.ERROR, pb.REASON_UNTOLD)

    def stop(self, now, copy_id) -> None:
        copy = self.launches.get(copy_id)
        if copy is None:
            return
        if copy in self.queue:
            self.queue.remove(copy)
        if copy in self.starts:
            self.starts.remove(copy)
        self.end(copy_id, pb.STOPPED, pb.REASON_UNTOLD)

    def lose(self, now, copy, reason) -> None:
        """Handed back before its start, lost after it."""
        if copy in self.starts:
            self.starts.remove(copy)
        # where acceptance is the yes, a job that is dropped after it has been lost: its owner was told "placed"
        if copy.phase == pb.RUNNING or not self.cluster.settings.starts_confirmed:
            self.end(copy.id, pb.LOST, reason)
        else:
            self.launches.pop(copy.id, None)
            self.refuse(copy, reason)

    def end(self, copy_id, outcome, reason) -> None:
        copy = self.launches.pop(copy_id, None)
        if copy is None:
            return
        copy.phase, copy.outcome, copy.reason, copy.ran = pb.OVER, outcome, reason, self.run_of(copy, outcome)
        self.ended_launches[copy.id] = copy
        if len(self.ended_launches) > ENDS_KEPT:
            self.ended_launches.popitem(last=False)
            self.forgot = True
        self.tell(copy, pb.Ended(launch=copy.launch(), outcome=outcome, reason=reason, ran=copy.ran))

    def run_of(self, copy, outcome):
        if not copy.began:
            return None
        now = self.booted + self.now_age
        ran = pb.Ran(
            seconds=now - copy.began,
            core_seconds=copy.core_seconds + copy.cores * (now - copy.used_at),
            memory=copy.memory_most,
        )
        if outcome in (pb.DONE, pb.ERROR):
            ran.status = 0 if outcome == pb.DONE else 1
        return ran

    def refuse(self, copy, reason) -> None:
        self.tell(copy, pb.Refused(launch=copy.launch(), reason=reason))

    def drain(self, now) -> None:
        self.draining = True
        if self.habits.drain != "keep":
            for i, copy in enumerate(list(self.launches.values())):
                delay = 0.0 if self.habits.drain == "at_once" else 0.2 * i
                self.arm(now + delay, "send_away", copy.id)

    def send_away(self, now, copy_id) -> None:
        copy = self.launches.get(copy_id)
        if copy is not None and copy not in self.queue:
            self.lose(now, copy, pb.SENT_AWAY)

    def irreversible(self) -> int:
        """Copies of jobs that must not be lost to a release."""
        offerings = self.cluster.settings.offerings
        return sum(
            copy.job.offering in offerings and offerings[copy.job.offering].effect is Effect.IRREVERSIBLE
            for copy in self.launches.values()
        )

    # -- time and figures

    def arm(self, at, what, about) -> None:
        self.armed += 1
        heapq.heappush(self.timers, (at, self.armed, what, about))

    def pass_time(self, now: float) -> None:
        self.now_age = now - self.booted
        while self.timers and self.timers[0][0] <= now:
            at, _, what, about = heapq.heappop(self.timers)
            getattr(self, what)(at, about)

    now_age = 0.0

    def next_due(self) -> float:
        return self.timers[0][0]

    def tell(self, copy, message) -> None:
        self.out.append((copy.id[0], message))

    def asked(self):
        held = [c for c in self.launches.values() if c.phase != pb.QUEUED]
        return sum(c.job.cores for c in held), sum(c.job.memory for c in held)

    def report(self):
        cores, memory = self.asked()
        used = sum(c.cores for c in self.launches.values()), sum(c.memory for c in self.launches.values())
        return {
            "unasked_cores": self.size.cores - cores,
            "unasked_memory": self.size.memory - memory,
            "idle_cores": self.size.cores - used[0],
            "idle_memory": self.size.memory - used[1],
            "queue": len(self.queue) + len(self.starts),
            "jobs": len(self.launches),
        }


def without_work(job):
    """What a host tells of a job it holds: with the work of a few dozen a welcome would outgrow a frame."""
    told = pb.JobSpec.FromString(job.SerializeToString())
    told.ClearField("work")
    return told


def key(launch) -> tuple[str, int, int]:
    return launch.controller, launch.life, launch.number
