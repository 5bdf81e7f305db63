"""The engine: turns events into effects.

It sits between the links and the decision module. The module decides; the engine numbers launches, times them
out, tells late and duplicate answers from valid ones, and makes sure that an accepted job is answered exactly
once. Feed it events with `put`, then call `step(now)`: it passes all of them to the module, fires the timers
that are due, runs one scheduling pass, and returns the effects in order. Call it again when an event arrives,
or at `next_due()`.
"""

from collections import deque
from dataclasses import dataclass, replace
from random import Random

from linedeal import interface as api
from linedeal.engine import effects, events, launches, recovery
from linedeal.engine.admission import FairShares
from linedeal.engine.fleet import Fleet, HostRecord
from linedeal.engine.launches import Launch, State
from linedeal.engine.ledger import Stage
from linedeal.engine.pacing import ConnectPacer, reconnect_delay
from linedeal.engine.sessions import Sessions
from linedeal.engine.timers import Timers
from linedeal.interface import Effect, Mode, Result
from linedeal.policy import NEVER_RAN, Controller
from linedeal.settings.records import Cluster

ORPHAN_RETENTION = 60.0  # seconds for which a cancelled launch is remembered, to recognise a late acceptance
# Seconds by which a timer has to be late to show that this process stalled, and not that hosts were silent.
STALL_THRESHOLD = 0.25
MAX_REQUEUED = 20  # jobs of an earlier incarnation that go back to the module in one step
MAX_START_DELAY = 366 * 86400.0  # seconds: a job that starts later would only take up space
MAX_NAME_LENGTH = 200  # characters of an offering's, a customer's or a service's name
READ_GRACE = 0.05  # seconds for which input that has arrived meanwhile is read before launches are cancelled


class InvariantError(AssertionError):
    """The engine was about to break one of the rules. It ends the process: no controller is better than a
    wrong one.
    """


@dataclass(slots=True, eq=False)
class UnansweredJob:
    """A job for which an answer is owed."""

    client: int  # link of the client that waits; 0: it has disconnected, and its session may reconnect
    key: str
    job: api.Job
    session: str = ""
    work: bytes = b""
    remaining: float = 0.0  # seconds to wait for a host, while it is held or before its start time
    returning: bool = False  # queued to go back to the module after a restart
    uncertain_launch: tuple[str, float] | None = None  # host and time of its first launch that may have run
    guarantee: str = ""  # its offering's effect guarantee when an earlier incarnation accepted it

    @property
    def owner(self):
        """The session that owns it, or else the client's link."""
        return self.session or self.client


class Engine:
    """One incarnation of a controller, without I/O. Times are seconds on the clock of the caller."""

    def __init__(
        self,
        cluster: Cluster,
        name: str,
        life: int,
        seed: int,
        now: float,
        policy=Controller,
        hosts_send_inventory: bool = True,
    ):
        """Creates an engine that knows no hosts yet.

        `hosts_send_inventory`: each link to a host begins with the host's inventory of all that it holds.
        Where hosts send none, no inventory is awaited after a start or a broken link, and no launch that may
        have run can be proven not to have run. A launch that times out is then cancelled at its host too, and
        has ended once that is done.
        """
        self.cluster, self.name, self.life, self.hosts_send_inventory = (
            cluster,
            name,
            life,
            hosts_send_inventory,
        )
        self.random = Random(seed)
        self.module = policy(cluster.settings, seed, now)
        self.fleet = Fleet()
        self.timers = Timers()
        self.connect_pacer = ConnectPacer(cluster.limits.welcome_pace, Random(seed + 1))
        self.arrived: deque = deque()
        self.emitted: list = []
        self.now = now
        self.ready = False  # a list of hosts has been received, so that jobs can be accepted
        self.shutting_down = False  # it ends soon and accepts no more jobs
        self.unanswered: dict[str, UnansweredJob] = {}
        self.held_shares = FairShares()  # how many of them each customer has
        self.keys: dict[tuple[int | str, str], str] = {}  # job ids by owner and key
        self.sessions = Sessions(self)
        self.journal_full = False  # the journal has room only for jobs that are accepted already
        self.journal_usage = 0, 1 << 62  # bytes of the journal in use, and bytes at which it counts as full
        self.unresolved: dict[str, recovery.OpenJob] = {}  # of an earlier incarnation, without a decision yet
        self.unresolved_by_host: dict[str, list[str]] = {}  # job ids by the hosts of their launches
        self.returning: deque[str] = deque()  # jobs that go back to the module, some in each step
        self.inventories: dict[str, recovery.HostInventory] = {}
        self.started_at = now
        self.clients: dict[int, set[str]] = {}  # unanswered jobs of each link
        self.launches: dict[events.LaunchId, Launch] = {}
        self.by_job: dict[str, Launch] = {}  # the launch that is out or placed, as the module knows it
        self.probes: dict[int, str] = {}
        self.launch_count = self.job_count = self.probe_count = 0
        self.counts = {
            "taken": 0,
            "placed": 0,
            "rejected": 0,
            "written off": 0,
            "turned away": 0,
            "launches": 0,
            "launches refused": 0,
            "late yes": 0,
            "for an unknown launch": 0,
            "proven not run": 0,
            "handed over": 0,
            "handed over on no host": 0,
            "handed over on a gone host": 0,
            "cut with a lost host": 0,
        }

    # -- the engine step

    def put(self, event) -> None:
        """Queues an event for the next step."""
        self.arrived.append(event)

    def begin(self) -> list:
        """The first effects of this incarnation."""
        self.emitted = []
        self.apply_actions(self.module.begin())
        return self.emitted

    def step(self, now: float) -> list:
        """Handles all events that have arrived and all timers due at `now`; returns the effects in order.

        Raises InvariantError where one of the effects would break a rule.
        """
        self.now, self.emitted = now, []
        while self.arrived:
            event = self.arrived.popleft()
            EVENT_HANDLERS[type(event)](self, event)
        self.fire_timers()
        for host in self.connect_pacer.take(now):
            if host in self.fleet.hosts and not self.fleet.hosts[host].inventory_received:
                self.emitted.append(effects.OpenLink(host))
        if self.connect_pacer.waiting:
            self.timers.arm(self.connect_pacer.due, "connect", "")
        self.apply_actions(self.module.schedule_waiting(now))
        for host in self.fleet.removable():
            self.fleet.remove(host)
            self.emitted.append(effects.RemoveHost(host))
        return self.emitted

    def next_due(self) -> float:
        """When to call `step` again if no event arrives before; infinity for never."""
        return self.timers.next_due()

    def fire_timers(self) -> None:
        """Handles all timers that are due."""
        # after a stall of this process, answers to its launches may be unread while their timeouts are due:
        # cancelling first would launch again, or write off, a job that a host accepted long ago
        late = self.now - self.timers.next_due()
        if late > STALL_THRESHOLD:
            self.log("warning", "stood still", seconds=round(late, 3))
        for kind, key in list(self.timers.pop_due(self.now)):
            if (
                late > STALL_THRESHOLD
                and kind in ("launch", "probe")
                and not (kind == "launch" and self.answer_is_due(key))
            ):
                self.timers.arm(self.now + READ_GRACE, kind + " after grace", key)
            else:
                TIMER_HANDLERS[kind](self, key)

    def notify_module(self, event) -> None:
        """Passes one event to the module and carries out what it decides."""
        self.apply_actions(self.module.handle(self.now, event))

    def apply_actions(self, actions) -> None:
        """Carries out the module's actions. Raises InvariantError where one would break a rule."""
        for action in list(actions):
            match action:
                case api.Launch(job, host, timeout, send_within):
                    self.launch(job, host, timeout, self.now + send_within)
                case api.Reject(job):
                    self.answer(job, effects.Verdict.REJECTED)
                case api.WriteOff(job):
                    self.answer(job, effects.Verdict.WRITTEN_OFF)
                case api.Timer(delay, key):
                    self.timers.arm(self.now + delay, "module", key)
                case api.Probe(host):
                    self.probe(host)
                case api.Subscribe():
                    self.emitted.append(effects.Watch())
                case api.Log(text):
                    self.log("warning", "module", text=text)
                case _:
                    raise TypeError(f"no effect for {action!r}")

    def log(self, level: str, event: str, **fields) -> None:
        """Emits one log line."""
        self.emitted.append(effects.LogMessage(level, event, tuple(fields.items())))

    # -- clients

    def handle_submitted(self, event: events.Submitted) -> None:
        """Accepts a job or declines it; a session's repeated submission joins the job that it has already."""
        offering = self.cluster.settings.offerings.get(event.offering)
        if event.session and self.sessions.join(event):
            return
        reason = self.decline_reason(event, offering)
        if reason:
            self.counts["turned away"] += 1
            retry_after = self.cluster.limits.retry_after if offering else 0.0
            self.emitted.append(effects.DeclineJob(event.client, event.key, reason, retry_after))
            return
        guarantee = recovery.guarantee(offering)
        wait = min(event.wait or offering.expiry, offering.expiry)
        job = self.make_job(event, self.now + wait)
        self.add_unanswered(UnansweredJob(event.client, event.key, job, event.session, event.work, wait))
        self.counts["taken"] += 1
        self.emitted.append(
            effects.AcceptJob(
                event.client,
                event.key,
                job.id,
                event.session,
                job if event.session else None,
                wait,
                event.work,
                event.follow,
                event.hold,
                event.start_in,
                guarantee,
            )
        )
        if event.session:
            entry = self.sessions.add_job(event, job, wait)
            self.sessions.notify_followers(entry)
            if entry.stage is not Stage.WAITING:
                return
        self.notify_module(api.JobArrived(job))

    def make_job(self, event: events.Submitted | events.RunningJobHandedOver, expiry: float) -> api.Job:
        """A job with a new id."""
        self.job_count += 1
        return api.Job(
            f"{self.name}.{self.life}.{self.job_count}",
            event.offering,
            event.customer,
            event.service,
            event.cores,
            event.memory,
            expiry,
        )

    def add_unanswered(self, owed: UnansweredJob) -> None:
        """Adds a job for which an answer is owed, or updates its client."""
        if owed.job.id not in self.unanswered:
            self.held_shares.add(owed.job.customer, 1)
        self.unanswered[owed.job.id] = owed
        self.keys[owed.owner, owed.key] = owed.job.id
        if owed.client:
            self.clients.setdefault(owed.client, set()).add(owed.job.id)

    def remove_unanswered(self, job_id: str) -> UnansweredJob | None:
        """Removes a job that is no longer owed an answer, and returns it; None if there was none."""
        owed = self.unanswered.pop(job_id, None)
        if owed is not None:
            del self.keys[owed.owner, owed.key]
            self.clients.get(owed.client, set()).discard(job_id)
            self.held_shares.add(owed.job.customer, -1)
        return owed

    def decline_reason(self, event: events.Submitted, offering) -> str:
        """Why a job is not accepted; empty if it is. Only here can a job be declined without an answer being
        owed.
        """
        # guards against names that fill memory, and frames with such names that would be too large to send
        longest = max(len(event.offering), len(event.customer), len(event.service))
        if longest > MAX_NAME_LENGTH:
            return f"a name of {longest} characters, at most {MAX_NAME_LENGTH} are taken"
        if offering is None:
            return f"no offering {event.offering!r}"
        if not (0 < event.cores < float("inf") and 0 < event.memory < float("inf")):
            return "cores and memory have to be over 0"
        if not 0 <= event.wait < float("inf"):
            return "wait is no number of seconds"
        if not 0 <= event.start_in <= MAX_START_DELAY:
            return f"start time is no number of seconds up to {MAX_START_DELAY:g}"
        if (event.hold or event.start_in or event.follow) and not event.session:
            return "only a session's job can be held, begin later or be followed"
        if len(event.work) > self.cluster.limits.work:
            return f"its work is {len(event.work)} bytes, at most {self.cluster.limits.work} are taken"
        if event.proven and event.customer != event.proven:
            return f"this link submits for customer {event.proven!r} only"
        if (event.session or event.client, event.key) in self.keys:
            return "this key waits already"
        if not self.ready:
            return "no list of hosts yet"
        if self.shutting_down:
            return "this controller is about to end"
        if event.session and (
            self.journal_full or not self.sessions.journal_bytes.admits(event.customer, *self.journal_usage)
        ):
            return "the journal is full"
        if not self.held_shares.admits(event.customer, len(self.unanswered), self.cluster.limits.held):
            return "too many jobs are held"
        return ""

    def handle_withdrawn(self, event: events.JobWithdrawn) -> None:
        """Drops a job without an answer, and stops its launch."""
        job_id = self.keys.get((event.session or event.client, event.key))
        if job_id is None:
            return
        self.remove_unanswered(job_id)
        known = self.unresolved.pop(job_id, None) is None
        if event.session:
            self.sessions.forget(self.sessions.ledger.by_job[job_id])
        launch = self.by_job.get(job_id)
        if launch is not None:
            launch.wanted = False
            self.send_stop(launch)
        if known:
            self.notify_module(api.JobWithdrawn(job_id))
        if launch is not None and not self.hosts_send_inventory:
            # cancelled at the host, which sends no more reports on it
            self.finish_launch(launch, Result.STOPPED, api.Reason.UNTOLD)

    def handle_client_disconnected(self, event: events.ClientDisconnected) -> None:
        """Withdraws the client's jobs, except those of a session."""
        for owed in sorted(
            (self.unanswered[job] for job in self.clients.pop(event.client, ())), key=lambda owed: owed.key
        ):
            if owed.session:
                owed.client = 0  # its session owns it: the job continues, and its answer is stored
            else:
                self.handle_withdrawn(events.JobWithdrawn(event.client, owed.key))
        self.sessions.remove_client(event.client)

    def answer(
        self, job_id: str, verdict: effects.Verdict, host: str = "", launch: events.LaunchId | None = None
    ) -> None:
        """Answers a job. Every job is answered through here, once; no answer is owed afterwards.

        Raises InvariantError if the job is answered already.
        """
        owed = self.remove_unanswered(job_id)
        if owed is None:
            raise InvariantError(f"a second answer to job {job_id}")
        self.counts[verdict.value] += 1
        entry = self.sessions.ledger.by_job.get(job_id)
        if entry is not None:
            self.sessions.record_answer(entry, verdict.value, host, launch, "")
        host_reply = self.launches[launch].host_reply if launch in self.launches else ""
        self.emitted.append(
            effects.Answer(
                owed.client,
                owed.key,
                job_id,
                verdict,
                host,
                entry is not None,
                launch,
                entry.reason if entry else "",
                host_reply,
            )
        )
        if entry is not None:
            self.sessions.notify_followers(entry)

    # -- launches

    def launch(self, job_id: str, host: str, timeout: float, send_by: float = float("inf")) -> None:
        """Launches a job at a host; `timeout`: seconds to wait for the host's answer.

        Raises InvariantError if the job is answered, has a launch out, or the host is not listed.
        """
        owed, record = self.unanswered.get(job_id), self.fleet.hosts.get(host)
        if owed is None or job_id in self.by_job:
            raise InvariantError(f"launch of job {job_id}, which is {'out' if owed else 'answered'} already")
        if record is None:
            raise InvariantError(f"launch of job {job_id} on host {host}, which is not listed")
        self.launch_count += 1
        launch = Launch(
            events.LaunchId(self.life, self.launch_count),
            owed.job,
            self.cluster.settings.offerings[owed.job.offering].effect,
            host,
            self.now + timeout,
            persisted=bool(owed.session),
            decided_at=self.now,
            provable=self.hosts_send_inventory,
        )
        self.launches[launch.id] = self.by_job[job_id] = launch
        record.launches[launch.id] = launch
        self.counts["launches"] += 1
        self.timers.arm(launch.due, "launch", launch.id)
        self.emitted.append(
            effects.SendLaunch(
                host,
                launch.id.number,
                owed.job,
                launch.due,
                record.listed.boot,
                launch.persisted,
                owed.work,
                send_by,
            )
        )

    def send_stop(self, launch: Launch) -> None:
        """Sends the host an order to cancel or end a launch."""
        self.emitted.append(effects.SendStop(launch.host, launch.id))

    def forget(self, launch: Launch) -> None:
        """Drops all records of a launch."""
        self.launches.pop(launch.id, None)
        record = self.fleet.hosts.get(launch.host)
        if record is not None:
            record.launches.pop(launch.id, None)
        if self.by_job.get(launch.job.id) is launch:
            del self.by_job[launch.job.id]

    def handle_launch_timeout(self, launch_id: events.LaunchId) -> None:
        """Cancels a launch that has no answer: before it is sent if possible, and else at its host."""
        launch = self.launches.get(launch_id)
        if launch is None or launch.state is not State.OUT:
            return
        # the link reports at once whether the launch could still be withheld
        if not launch.sent_on and not launch.withheld:
            launch.withheld = True
            self.emitted.append(effects.WithholdLaunch(launch.host, launch_id.number))
            if self.answer_is_due(launch_id):  # no byte of it was sent before this step, and none will be
                self.finish_unsent((launch_id.number,), Result.UNSENT)
            else:
                self.timers.arm(self.now + READ_GRACE, "launch after grace", launch_id)
            return
        if not self.hosts_send_inventory:
            self.cancel_at_host(launch)
            return
        if launch.effect is not Effect.IRREVERSIBLE:
            self.send_stop(launch)
        self.cancel_launch(launch, Result.SILENT)

    def cancel_at_host(self, launch: Launch) -> None:
        """Cancels a launch at its host, where that is what ends it.

        The module is notified once the cancellation has been written: earlier, its next launch could overtake
        the cancellation, and two launches would be out.
        """
        launch.state = State.RECALLED
        self.send_stop(launch)
        # the job's answer does not wait for the cancellation: past its expiry it is not launched again
        if self.answer_is_due(launch.id):
            self.cancel_launch(launch, Result.SILENT)
        else:
            self.timers.arm(launch.job.expiry, "recalled", launch.id)

    def answer_is_due(self, launch_id: events.LaunchId) -> bool:
        """Whether the launch's job has expired and no later inventory could still decide its result.

        Its answer is then sent without delay: one more iteration of a busy loop may make it too late.
        """
        launch = self.launches.get(launch_id)
        return launch is not None and not self.hosts_send_inventory and self.now >= launch.job.expiry

    def handle_launches_cancelled(self, event: events.LaunchesCancelled) -> None:
        """Finishes launches whose cancellation has been written."""
        for number in event.numbers:
            self.finish_cancellation(events.LaunchId(self.life, number))

    def finish_cancellation(self, launch_id: events.LaunchId) -> None:
        """Cancels a launch that is being cancelled at its host: written, or its job has expired."""
        launch = self.launches.get(launch_id)
        if launch is not None and launch.state is State.RECALLED:
            self.cancel_launch(launch, Result.SILENT)

    def cancel_launch(self, launch: Launch, result: Result) -> None:
        """Stops waiting for an answer; reports of the host on the launch are late from now on."""
        if self.hosts_send_inventory:
            launch.state = State.STRAY
            del self.by_job[launch.job.id]
            self.timers.arm(self.now + ORPHAN_RETENTION, "orphan", launch.id)
        else:
            self.forget(launch)
        self.report_result(launch, result, api.Reason.UNTOLD)

    def forget_orphan(self, launch_id: events.LaunchId) -> None:
        """Drops an orphaned launch once a late acceptance is no longer to be expected."""
        launch = self.launches.get(launch_id)
        if launch is not None and launch.state is State.STRAY:
            self.forget(launch)

    def report_result(self, launch: Launch, result: Result, reason: api.Reason) -> None:
        """Notifies the module of how its launch has ended."""
        owed = self.unanswered.get(launch.job.id)
        closed = owed is None
        if owed is not None and result not in NEVER_RAN:
            owed.uncertain_launch = owed.uncertain_launch or (launch.host, launch.decided_at)
        self.notify_module(
            api.LaunchEnded(launch.job.id, launch.id.number, launch.host, result, reason, closed)
        )

    def finish_launch(self, launch: Launch, result: Result, reason: api.Reason) -> None:
        """Records that a launch has ended and notifies the module, unless it was cancelled before."""
        orphaned = launch.state is State.STRAY
        if launch.state is State.HELD and not self.hosts_send_inventory:
            self.emitted.append(effects.NotifyEnded(launch.job.id, launch.host, launch.id.number, result))
        self.forget(launch)
        if launch.persisted and result in NEVER_RAN:
            self.emitted.append(effects.RecordNotRun(launch.id))
        self.sessions.record_end(launch.job.id, launch.id, result, reason, launch.ran)
        if not orphaned:
            if result is Result.UNREACHABLE and launch.sent_on:
                self.counts["proven not run"] += 1
            self.report_result(launch, result, reason)

    def confirm_launch(self, launch: Launch) -> None:
        """Handles the host's acceptance: the job is placed."""
        if launch.state is State.STRAY:
            self.handle_late_acceptance(launch)
            return
        if launch.state is not State.OUT:
            return  # known already, or its cancellation is on the way to the host
        launch.state = State.HELD
        self.notify_module(api.LaunchConfirmed(launch.job.id, launch.id.number, launch.host))
        if launch.job.id in self.unanswered:
            self.answer(launch.job.id, effects.Verdict.PLACED, launch.host, launch.id)
        elif not launch.wanted:
            self.send_stop(launch)  # withdrawn while the acceptance was on its way

    def handle_late_acceptance(self, launch: Launch) -> None:
        """Handles the acceptance of a cancelled launch: it shows what the host runs, but does not answer the
        job.
        """
        self.counts["late yes"] += 1
        if launches.keeps_late_acceptance(launch) and launch.job.id not in self.unanswered:
            launch.state = State.HELD
            self.by_job[launch.job.id] = launch
            self.notify_module(api.JobFound(launch.job, launch.host))
        else:
            self.send_stop(launch)

    def find_launch(self, host: str, launch_id: events.LaunchId) -> Launch | None:
        """The launch that a host's message names; None if it is unknown or was never sent to this host."""
        launch = self.launches.get(launch_id)
        if launch is None or launch.host != host:
            self.counts["for an unknown launch"] += 1
            return None
        return launch

    # -- messages of hosts

    def handle_accepted(self, event: events.Accepted) -> None:
        """Confirms a launch; stops one that is unknown."""
        launch = self.find_launch(event.host, event.launch)
        if launch is None:
            # no job waits for it, and its load is counted nowhere
            self.emitted.append(effects.SendStop(event.host, event.launch))
        elif not self.cluster.settings.starts_confirmed or not self.hosts_send_inventory:
            # hosts that send no inventory send one acceptance: when they accept the job or when it runs,
            # depending on the settings
            launch.host_reply = event.host_reply
            if event.cancel_withdrawn and launch.state is State.RECALLED:
                launch.state = State.OUT
                launch.wanted = launch.wanted and launch.job.id in self.unanswered
            self.confirm_launch(launch)

    def handle_started(self, event: events.Started) -> None:
        """Confirms a launch and records that it runs."""
        launch = self.find_launch(event.host, event.launch)
        if launch is None:
            return
        self.confirm_launch(launch)
        if launch.state is State.HELD and not launch.started:
            launch.started = True
            self.notify_module(api.MetricReported(launch.job.id, event.host, "started", 1.0))
            self.sessions.record_start(launch.job.id, launch.id)

    def handle_refused(self, event: events.Refused) -> None:
        """Ends a launch that its host refuses; a refusal after the acceptance is ignored."""
        launch = self.find_launch(event.host, event.launch)
        if launch is None or launch.state is State.HELD:
            return
        self.counts["launches refused"] += 1
        self.finish_launch(launch, Result.TURNED_AWAY, event.reason)

    def handle_launch_ended(self, event: events.LaunchEnded) -> None:
        """Acknowledges the end of a launch and records it."""
        self.emitted.append(effects.SendEndSeen(event.host, event.launch))
        launch = self.find_launch(event.host, event.launch)
        if launch is not None:
            launch.ran = event.ran
            self.finish_launch(launch, event.result, event.reason)

    def handle_usage(self, event: events.UsageReported) -> None:
        """Passes a running job's usage to the module."""
        launch = self.find_launch(event.host, event.launch)
        if launch is not None and launch.state is State.HELD:
            self.notify_module(api.MetricReported(launch.job.id, event.host, "cores", event.cores))
            self.notify_module(api.MetricReported(launch.job.id, event.host, "memory", event.memory))

    def handle_service(self, event: events.ServiceReported) -> None:
        """Passes a running job's service figures to the module."""
        launch = self.find_launch(event.host, event.launch)
        if launch is not None and launch.state is State.HELD:
            if event.share >= 0:
                self.notify_module(api.MetricReported(launch.job.id, event.host, "served", event.share))
            if event.host_memory >= 0:
                self.notify_module(
                    api.MetricReported(launch.job.id, event.host, "host_memory", event.host_memory)
                )

    def handle_metric(self, event: events.MetricReported) -> None:
        """Passes one metric of a running job to the module."""
        launch = self.find_launch(event.host, event.launch)
        if launch is None or launch.state is not State.HELD:
            return
        launch.started = launch.started or event.metric == "started"
        self.notify_module(api.MetricReported(launch.job.id, event.host, event.metric, event.value))

    # -- running jobs that this incarnation did not launch, where hosts send no inventory

    def handle_running_job(self, event: events.RunningJobHandedOver) -> None:
        """Adopts a running job; if its host is unknown or gone, the job has ended."""
        job = self.make_job(event, self.now)
        record = self.fleet.hosts.get(event.host)
        self.launch_count += 1
        launch = Launch(
            events.LaunchId(self.life, self.launch_count),
            job,
            self.cluster.settings.offerings[event.offering].effect,
            event.host,
            self.now,
            State.HELD,
            started=True,
            decided_at=self.now,
        )
        self.emitted.append(
            effects.Adopt(event.client, event.key, job.id, event.host, launch.id.number, event.work)
        )
        if record is None or record.listed.mode is Mode.GONE:
            self.counts["handed over on no host" if record is None else "handed over on a gone host"] += 1
            self.emitted.append(effects.NotifyEnded(job.id, event.host, launch.id.number, Result.CUT))
            return
        self.counts["handed over"] += 1
        self.launches[launch.id] = self.by_job[job.id] = record.launches[launch.id] = launch
        self.notify_module(api.JobFound(job, event.host))

    def handle_stop_requested(self, event: events.StopRequested) -> None:
        """Stops a running job at its host."""
        launch = self.by_job.get(event.job)
        if launch is not None and launch.state is State.HELD:
            launch.wanted = False
            self.send_stop(launch)

    def handle_host_lost(self, event: events.HostLost) -> None:
        """Ends all running jobs of a lost host."""
        record = self.fleet.hosts.get(event.host)
        if record is not None:
            self.counts["cut with a lost host"] += sum(
                launch.state is State.HELD for launch in record.launches.values()
            )
            self.lose_running_jobs(record)

    def lose_running_jobs(self, record: HostRecord, before: float = float("inf")) -> None:
        """Ends the host's running jobs launched before time `before`: they are lost with the host."""
        for launch in list(record.launches.values()):
            if launch.state is State.HELD and launch.decided_at < before:
                self.finish_launch(launch, Result.CUT, api.Reason.UNTOLD)

    # -- probes

    def probe(self, host: str) -> None:
        """Sends a probe to a host."""
        self.probe_count += 1
        self.probes[self.probe_count] = host
        self.timers.arm(self.now + self.cluster.limits.probe, "probe", self.probe_count)
        self.emitted.append(effects.SendProbe(host, self.probe_count))

    def handle_probe_report(self, event: events.ProbeReported) -> None:
        """Passes a host's report to the module, if the probe has not timed out."""
        if self.probes.pop(event.number, None) == event.host:
            self.notify_module(api.HostProbed(event.host, True, dict(event.figures)))

    def handle_probe_timeout(self, number: int) -> None:
        """Notifies the module that a probe was not answered."""
        host = self.probes.pop(number, None)
        if host is not None:
            self.notify_module(api.HostProbed(host, False))

    # -- links

    def handle_launches_sent(self, event: events.LaunchesSent) -> None:
        """Records on which link, and to which boot of the host, launches are sent."""
        for number in event.numbers:
            launch = self.launches.get(events.LaunchId(self.life, number))
            if launch is not None:
                launch.sent_on, launch.boot = event.link, self.fleet.hosts[event.host].boot

    def handle_link_up(self, event: events.LinkUp) -> None:
        """Reconciles what is known of a host's launches with the host's inventory."""
        record = self.fleet.hosts.get(event.host)
        if record is None:
            return
        record.link, record.boot, record.inventory_received, record.attempts = (
            event.link,
            event.boot,
            True,
            0,
        )
        # it has restarted, and no list shows that yet: it is in slow start
        if event.boot > record.listed.boot:
            restarted = replace(
                record.listed, boot=event.boot, age=event.age, free_cores=None, free_memory=None
            )
            self.notify_module(
                api.HostsListed((self.fleet.update(self.now, restarted),), False, remembered=True)
            )
        held = {item.launch: item for item in event.held}
        if self.unresolved:
            self.inventories.setdefault(
                event.host, recovery.HostInventory(event.boot, dict(held), event.forgot)
            )
        for launch in list(record.launches.values()):
            if not launch.sent_on and launch.id.life == self.life:
                continue  # not sent yet: it will be sent on this link
            item = held.pop(launch.id, None)
            finding = launches.reconcile(launch, item, event.boot, event.forgot)
            if item is not None:
                launch.sent_on, launch.boot = event.link, event.boot
            launch.ran = item.ran if item is not None else None
            self.apply_finding(launch, finding)
            if not launch.wanted and launch.state is State.HELD and launch.id in self.launches:
                self.send_stop(launch)  # the stop may have been lost with the previous link
        for item in held.values():
            self.handle_unknown_launch(record, item)
        for job_id in self.unresolved_by_host.pop(event.host, ()):
            self.resolve(job_id)
        self.sessions.handle_inventory(event.host)

    def apply_finding(self, launch: Launch, finding: launches.Finding | None) -> None:
        """Applies what an inventory shows of a launch."""
        if finding is None or finding.phase is events.Phase.QUEUED:
            return
        if finding.phase is events.Phase.OVER:
            if finding.result in (Result.DONE, Result.ERROR, Result.STOPPED):
                self.emitted.append(effects.SendEndSeen(launch.host, launch.id))
            self.finish_launch(launch, finding.result, finding.reason)
        elif finding.phase is events.Phase.RUNNING:
            self.handle_started(events.Started(launch.host, launch.id))
        elif not self.cluster.settings.starts_confirmed:
            self.confirm_launch(launch)

    def handle_unknown_launch(self, record: HostRecord, item: events.HeldLaunch) -> None:
        """Handles an inventory entry of a launch that this incarnation did not make, or has forgotten."""
        host, offering = record.listed.id, self.cluster.settings.offerings.get(item.job.offering)
        if item.phase is events.Phase.OVER:
            self.emitted.append(effects.SendEndSeen(host, item.launch))
            self.sessions.record_end(item.job.id, item.launch, item.result, item.reason, item.ran)
        elif item.launch.life == self.life and offering and offering.effect is not Effect.IRREVERSIBLE:
            self.emitted.append(effects.SendStop(host, item.launch))
        elif item.job.id in self.unanswered and item.job.id not in self.unresolved:
            self.emitted.append(effects.SendStop(host, item.launch))  # it is being launched again
        elif item.job.id not in self.by_job:
            # guards against a configuration that lost an offering: its running jobs are left alone and
            # reported; the module does not know the offering and cannot launch more of it
            effect = offering.effect if offering else Effect.IRREVERSIBLE
            launch = Launch(
                item.launch,
                item.job,
                effect,
                host,
                self.now,
                State.HELD,
                record.link,
                record.boot,
                started=item.phase is events.Phase.RUNNING,
            )
            self.launches[launch.id] = self.by_job[item.job.id] = record.launches[launch.id] = launch
            if offering:
                self.notify_module(api.JobFound(item.job, host))
            entry = self.sessions.ledger.by_job.get(item.job.id)
            if entry is not None and entry.ending:
                launch.wanted = False
                self.send_stop(launch)  # its owner ended it during an earlier incarnation
            if launch.started:
                self.sessions.record_start(launch.job.id, launch.id)

    def handle_link_down(self, event: events.LinkDown) -> None:
        """Ends what was lost with a link, and schedules a new one if the host's inventory is needed."""
        # probes sent on the link are lost with it: reported now, they count as one failure together with the
        # broken link, and not as a second one
        for number in [number for number, host in self.probes.items() if host == event.host]:
            self.handle_probe_timeout(number)
        record = self.fleet.hosts.get(event.host)
        if record is None:
            return
        if record.link == event.link:
            record.link = 0
        self.finish_unsent(event.unsent, Result.UNREACHABLE)
        if event.link:
            for launch in list(record.launches.values()):
                result = launches.result_of_lost_link(launch) if launch.sent_on == event.link else None
                if result:
                    self.cancel_launch(launch, result)
        self.lose_jobs_of_gone_hosts()
        # without an inventory, what the host holds is unknown
        if self.hosts_send_inventory and (record.launches or not record.inventory_received):
            record.attempts += 1
            self.timers.arm(self.now + reconnect_delay(record.attempts, self.random), "reconnect", event.host)

    def reconnect(self, host: str) -> None:
        """Opens a link again if the host's inventory is still needed."""
        record = self.fleet.hosts.get(host)
        if (
            record
            and not record.link
            and record.listed.mode is not Mode.GONE
            and (record.launches or not record.inventory_received)
        ):
            self.emitted.append(effects.OpenLink(host))

    def handle_launches_unsent(self, event: events.LaunchesUnsent) -> None:
        """Ends launches that the link did not send."""
        self.finish_unsent(event.numbers, Result.UNSENT)

    def finish_unsent(self, numbers: tuple[int, ...], result: Result) -> None:
        """Ends launches of which no byte has been written, so that none of them ran."""
        for number in numbers:
            launch = self.launches.get(events.LaunchId(self.life, number))
            if launch is not None and launch.state is not State.HELD:
                self.finish_launch(launch, result, api.Reason.UNTOLD)

    def handle_fenced(self, event: events.Fenced) -> None:
        """Halts: a later incarnation has taken over."""
        self.emitted.append(effects.Halt(f"host {event.host}: {event.reason}"))

    # -- the list of hosts

    def handle_host_list(self, event: events.HostListReceived) -> None:
        """Applies a list of hosts."""
        entries = tuple(self.update_host(listed) for listed in event.hosts)
        self.emitted += [effects.AddHost(listed) for listed in event.hosts]
        if event.whole:
            self.emitted += [
                effects.AddHost(record.listed)
                for record in self.fleet.mark_missing({listed.id for listed in event.hosts})
            ]
        self.notify_module(api.HostsListed(entries, event.whole, event.remembered))
        complete = event.whole or event.remembered
        self.ready = self.ready or complete
        self.lose_jobs_of_gone_hosts()
        if complete and self.hosts_send_inventory:
            self.resolve_all()  # hosts may be known, or gone, by now
            self.connect_pacer.add(
                [
                    h.id
                    for h in event.hosts
                    if h.mode is not Mode.GONE
                    and not self.fleet.hosts[h.id].inventory_received
                    and h.id not in self.connect_pacer.waiting
                ],
                frozenset(self.unresolved_by_host),
            )

    def update_host(self, listed: events.ListedHost) -> api.HostEntry:
        """Applies one entry of a list."""
        record = self.fleet.hosts.get(listed.id)
        restarted = record is not None and listed.boot > record.listed.boot
        entry = self.fleet.update(self.now, listed)
        # no inventory will show that what ran before this start is lost
        if restarted and not self.hosts_send_inventory:
            self.lose_running_jobs(record, record.booted)
        return entry

    def lose_jobs_of_gone_hosts(self) -> None:
        """Ends the jobs of removed hosts: such hosts send no more reports."""
        for host in [
            host
            for host in self.sessions.unaccounted
            if self.ready
            and (host not in self.fleet.hosts or self.fleet.hosts[host].listed.mode is Mode.GONE)
        ]:
            self.sessions.handle_inventory(host)
        for record in [self.fleet.hosts[host] for host in sorted(self.fleet.gone)]:
            if not record.link:
                for launch in list(record.launches.values()):
                    if launch.state not in (State.OUT, State.RECALLED):
                        self.finish_launch(launch, Result.CUT, api.Reason.UNTOLD)

    def handle_host_list_failed(self, event: events.HostListFailed) -> None:
        """Notifies the module that there is no current list."""
        self.notify_module(api.ListLost())

    # -- recovery of what an earlier incarnation left

    def recover(
        self, left_open: tuple[recovery.OpenJob, ...], answers: tuple[recovery.StoredAnswer, ...]
    ) -> None:
        """Restores jobs for which an answer is owed, and answers not acknowledged. Called before the first
        step.
        """
        for stored in answers:
            self.sessions.recover_answered(stored)
        for job in left_open:
            record = replace(job.job, expiry=self.now + job.expires_in)
            self.add_unanswered(
                UnansweredJob(
                    0, job.key, record, job.session, job.work, job.expires_in, guarantee=job.guarantee
                )
            )
            entry = self.sessions.recover_open(job, record)
            if entry.stage is not Stage.WAITING:
                # never launched, or every launch is known not to have run: otherwise it could not have been
                # held
                continue
            self.unresolved[record.id] = job
            for host in {launch.host: None for launch in job.launches}:
                self.unresolved_by_host.setdefault(host, []).append(record.id)
            self.timers.arm(max(self.now, record.expiry - recovery.ANSWER_MARGIN), "resolve", record.id)
        if left_open:
            self.timers.arm(self.now + recovery.INVENTORY_TIMEOUT, "resolve", "")

    def current_offering(self, owed: UnansweredJob) -> api.Offering | None:
        """The job's offering; None if the configuration has lost it, or has changed its effect guarantee.

        Such a job is not launched again, and counts as irreversible.
        """
        offering = self.cluster.settings.offerings.get(owed.job.offering)
        same = offering is not None and owed.guarantee in ("", recovery.guarantee(offering))
        return offering if same else None

    def resolve_all(self) -> None:
        """Decides on all recovered jobs for which that is possible now."""
        for job_id in list(self.unresolved):
            self.resolve(job_id)

    def handle_resolve_timer(self, job_id: str) -> None:
        """Decides on one recovered job, or on all (empty id)."""
        if job_id:
            self.resolve(job_id)
        else:
            self.resolve_all()

    def resolve(self, job_id: str) -> None:
        """Decides on a recovered job if that is possible now: answers it, or queues it for the module."""
        if job_id not in self.unresolved:
            return
        job, owed = self.unresolved[job_id], self.unanswered[job_id]
        offering = self.current_offering(owed)
        lost = {launch.host for launch in job.launches if self.ready and launch.host not in self.fleet.hosts}
        step = recovery.next_step(
            job,
            offering.effect if offering else Effect.IRREVERSIBLE,
            self.inventories,
            lost,
            self.now >= self.started_at + recovery.INVENTORY_TIMEOUT,
            self.now >= owed.job.expiry - recovery.ANSWER_MARGIN,
            frozenset(launch.host for launch in job.launches if launch.host in self.fleet.hosts),
        )
        if step is recovery.Step.WAIT or step is recovery.Step.AGAIN and (not self.ready or not offering):
            return
        del self.unresolved[job_id]
        if step is recovery.Step.AGAIN:
            first = recovery.first_uncertain_launch(job, self.inventories)
            if first is not None and offering.effect is not Effect.REDOABLE:
                owed.uncertain_launch = first.host, self.started_at - first.sent_ago
            owed.returning = True
            self.returning.append(job_id)
            if len(self.returning) == 1:
                self.timers.arm(self.now, "requeue", "")
            return
        host, held = recovery.find_placed(job, self.inventories) or ("", None)
        self.answer(job_id, VERDICTS[step], host, held.launch if held else None)
        if held is not None and held.phase is events.Phase.OVER:
            self.sessions.record_end(job_id, held.launch, held.result, held.reason, held.ran)
        elif held is not None and held.phase is events.Phase.RUNNING:
            self.sessions.record_start(job_id, held.launch)

    def requeue_jobs(self, _) -> None:
        """Passes recovered jobs to the module, a few per step: thousands at once would delay all links for
        seconds.
        """
        for _ in range(min(len(self.returning), MAX_REQUEUED)):
            owed = self.unanswered.get(self.returning.popleft())
            if owed is not None and owed.returning:
                owed.returning = False
                self.notify_module(api.JobArrived(owed.job, owed.uncertain_launch))
        if self.returning:
            self.timers.arm(self.now, "requeue", "")

    # -- timers

    def fire_module_timer(self, key: str) -> None:
        """Notifies the module that one of its timers is due."""
        self.notify_module(api.TimerFired(key))

    def wake_for_connects(self, _) -> None:
        """Does nothing: the timer only causes a step, which opens the links that are due."""


VERDICTS = {
    recovery.Step.PLACED: effects.Verdict.PLACED,
    recovery.Step.REJECT: effects.Verdict.REJECTED,
    recovery.Step.WRITE_OFF: effects.Verdict.WRITTEN_OFF,
}
EVENT_HANDLERS = {
    events.Submitted: Engine.handle_submitted,
    events.JobWithdrawn: Engine.handle_withdrawn,
    events.ClientDisconnected: Engine.handle_client_disconnected,
    events.AnswerSeen: lambda engine, event: engine.sessions.handle_answer_seen(event),
    events.Ordered: lambda engine, event: engine.sessions.handle_order(event),
    events.StatusRequested: lambda engine, event: engine.sessions.handle_status_request(event),
    events.ForgetRequested: lambda engine, event: engine.sessions.handle_forget_request(event),
    events.HostListReceived: Engine.handle_host_list,
    events.HostListFailed: Engine.handle_host_list_failed,
    events.LaunchesSent: Engine.handle_launches_sent,
    events.LaunchesUnsent: Engine.handle_launches_unsent,
    events.LaunchesCancelled: Engine.handle_launches_cancelled,
    events.LinkUp: Engine.handle_link_up,
    events.LinkDown: Engine.handle_link_down,
    events.Fenced: Engine.handle_fenced,
    events.Accepted: Engine.handle_accepted,
    events.Refused: Engine.handle_refused,
    events.Started: Engine.handle_started,
    events.UsageReported: Engine.handle_usage,
    events.MetricReported: Engine.handle_metric,
    events.RunningJobHandedOver: Engine.handle_running_job,
    events.StopRequested: Engine.handle_stop_requested,
    events.HostLost: Engine.handle_host_lost,
    events.ServiceReported: Engine.handle_service,
    events.LaunchEnded: Engine.handle_launch_ended,
    events.ProbeReported: Engine.handle_probe_report,
}
TIMER_HANDLERS = {
    "module": Engine.fire_module_timer,
    "launch": Engine.handle_launch_timeout,
    "orphan": Engine.forget_orphan,
    "recalled": Engine.finish_cancellation,
    "probe": Engine.handle_probe_timeout,
    "launch after grace": Engine.handle_launch_timeout,
    "probe after grace": Engine.handle_probe_timeout,
    "connect": Engine.wake_for_connects,
    "reconnect": Engine.reconnect,
    "requeue": Engine.requeue_jobs,
    "resolve": Engine.handle_resolve_timer,
    "retained limit": lambda engine, _: engine.sessions.trim_retained(),
    "forget": lambda engine, key: engine.sessions.handle_retention_end(key),
    "start time": lambda engine, job: engine.sessions.handle_start_time(job),
    "hold limit": lambda engine, job: engine.sessions.handle_hold_timeout(job),
}
