"""The engine: what has arrived goes in, what is to be done comes out.

It stands between the links and the decision module. The module decides; the engine numbers launches, times them
out, tells late and doubled answers from true ones, and sees that a job taken is answered once. Feed events with
`put`, then call `turn(now)`: it passes all of them to the module, rings what is due, lets the module settle once,
and returns the effects in order. Call it again when something arrives, or at `next_due()`.
"""

from collections import deque
from dataclasses import dataclass, replace
from random import Random

from linedeal import interface as api
from linedeal.engine import effects
from linedeal.engine import events
from linedeal.engine import launches, recovery
from linedeal.engine.admission import FairShares
from linedeal.engine.pacing import ConnectPacer, reconnect_delay
from linedeal.engine.fleet import Fleet, HostRecord
from linedeal.engine.launches import Launch, State
from linedeal.engine.ledger import Stage
from linedeal.engine.sessions import Sessions
from linedeal.engine.timers import Timers
from linedeal.interface import Effect, Mode, Result
from linedeal.policy import NEVER_RAN, Controller
from linedeal.settings.records import Cluster

STRAY_KEPT = 60.0  # seconds for which a launch that was given up is remembered, for a late yes
STALL_THRESHOLD = 0.25  # a timer this late tells that this process stood still, not that hosts were silent
RETURN_MOST = 20  # jobs of an earlier life that go back to the module in one turn
START_MOST = 366 * 86400.0  # seconds: what would begin later than that holds its place for nothing
NAME_MOST = 200  # characters of an offering's, a customer's or a service's name
BREATH = 0.05  # what came in meanwhile is read for so long before launches are given up


class InvariantError(AssertionError):
    """The engine was about to do what a rule forbids. It ends the process: better no controller than a wrong one."""


@dataclass(slots=True, eq=False)
class Taken:
    """A job that is owed an answer."""

    client: int  # link of the client that waits; 0: it has gone, and its session may come back
    key: str
    job: api.Job
    session: str = ""
    work: bytes = b""
    left: float = 0.0  # seconds to wait for a host, while it is held or its start time has not come
    returning: bool = False  # on its way back to the module after a restart
    risk: tuple[str, float] | None = None  # host and time of its first launch that may have run
    guarantee: str = ""  # what its offering was when an earlier life took it

    @property
    def owner(self):
        return self.session or self.client


class Engine:
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
        """`hosts_send_inventory`: a link to a host begins with the host's word of all that it holds. Where it does not, nothing
        is asked after a start or a break, nothing that may have run is ever proven not to have, and a launch that is
        given up is given up at its host too: the end of the wait is the end of the launch."""
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
        self.ready = False  # a list has been heard, so that jobs can be taken
        self.shutting_down = False  # it ends soon and takes no more
        self.unanswered: dict[str, Taken] = {}
        self.holds = FairShares()  # how many of them each customer has
        self.keys: dict[tuple[int | str, str], str] = {}  # by owner and key
        self.sessions = Sessions(self)
        self.journal_full = False  # the journal has room for what is taken only
        self.journal_usage = 0, 1 << 62  # bytes of the journal in use, and those at which it counts as full
        self.unresolved: dict[str, recovery.OpenJob] = {}  # of an earlier life, not settled yet
        self.pending_at: dict[str, list[str]] = {}  # ... by the hosts of their launches
        self.returning: deque[str] = deque()  # go back to the module, some a turn
        self.accounts: dict[str, recovery.HostInventory] = {}
        self.begun = now
        self.clients: dict[int, set[str]] = {}  # jobs owed to each link
        self.launches: dict[events.LaunchId, Launch] = {}
        self.by_job: dict[str, Launch] = {}  # the launch that the module has out, or placed
        self.probes: dict[int, str] = {}
        self.numbers = self.jobs = self.probe_numbers = 0
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

    # -- the turn

    def put(self, event) -> None:
        self.arrived.append(event)

    def begin(self) -> list:
        """The first effects of this life."""
        self.emitted = []
        self.act(self.module.begin())
        return self.emitted

    def step(self, now: float) -> list:
        """Takes in all that has arrived and is due at `now`."""
        self.now, self.emitted = now, []
        while self.arrived:
            event = self.arrived.popleft()
            HANDLERS[type(event)](self, event)
        self.ring()
        for host in self.connect_pacer.take(now):
            if host in self.fleet.hosts and not self.fleet.hosts[host].asked:
                self.emitted.append(effects.OpenLink(host))
        if self.connect_pacer.waiting:
            self.timers.arm(self.connect_pacer.due, "asking", "")
        self.act(self.module.schedule_waiting(now))
        for host in self.fleet.to_drop():
            self.fleet.drop(host)
            self.emitted.append(effects.RemoveHost(host))
        return self.emitted

    def next_due(self) -> float:
        """When to call `turn` again if nothing arrives before; infinity for never."""
        return self.timers.next()

    def ring(self) -> None:
        # guards against a process that stood still: its launches' answers may lie unread beside their time-outs,
        # and giving up first would launch again, or write off, what a host has long said yes to
        late = self.now - self.timers.next()
        if late > STALL_THRESHOLD:
            self.note("warning", "stood still", seconds=round(late, 3))
        for kind, key in list(self.timers.due(self.now)):
            if (
                late > STALL_THRESHOLD
                and kind in ("launch", "probe")
                and not (kind == "launch" and self.answer_is_due(key))
            ):
                self.timers.arm(self.now + BREATH, kind + " at last", key)
            else:
                RINGERS[kind](self, key)

    def tell(self, event) -> None:
        """One event for the module, and what it does on it."""
        self.act(self.module.handle(self.now, event))

    def act(self, actions) -> None:
        for action in list(actions):
            match action:
                case api.Launch(job, host, wait, leave):
                    self.launch(job, host, wait, self.now + leave)
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
                    self.note("warning", "module", text=text)
                case _:
                    raise TypeError(f"no effect for {action!r}")

    def note(self, level: str, event: str, **fields) -> None:
        self.emitted.append(effects.LogMessage(level, event, tuple(fields.items())))

    # -- clients

    def submitted(self, event: events.Submitted) -> None:
        offering = self.cluster.settings.offerings.get(event.offering)
        if event.session and self.sessions.joined(event):
            return
        reason = self.turned_away(event, offering)
        if reason:
            self.counts["turned away"] += 1
            retry_after = self.cluster.limits.retry_after if offering else 0.0
            self.emitted.append(effects.DeclineJob(event.client, event.key, reason, retry_after))
            return
        guarantee = recovery.guarantee(offering)
        wait = min(event.wait or offering.expiry, offering.expiry)
        job = self.job_of(event, self.now + wait)
        self.own(Taken(event.client, event.key, job, event.session, event.work, wait))
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
            entry = self.sessions.took(event, job, wait)
            self.sessions.tell(entry)
            if entry.stage is not Stage.WAITING:
                return
        self.tell(api.JobArrived(job))

    def job_of(self, event: events.Submitted | events.RunningJobHandedOver, expiry: float) -> api.Job:
        self.jobs += 1
        return api.Job(
            f"{self.name}.{self.life}.{self.jobs}",
            event.offering,
            event.customer,
            event.service,
            event.cores,
            event.memory,
            expiry,
        )

    def own(self, taken: Taken) -> None:
        if taken.job.id not in self.unanswered:
            self.holds.add(taken.job.customer, 1)
        self.unanswered[taken.job.id] = taken
        self.keys[taken.owner, taken.key] = taken.job.id
        if taken.client:
            self.clients.setdefault(taken.client, set()).add(taken.job.id)

    def disown(self, job_id: str) -> Taken | None:
        taken = self.unanswered.pop(job_id, None)
        if taken is not None:
            del self.keys[taken.owner, taken.key]
            self.clients.get(taken.client, set()).discard(job_id)
            self.holds.add(taken.job.customer, -1)
        return taken

    def turned_away(self, event: events.Submitted, offering) -> str:
        """Why it is not taken, or nothing. Only here can a job be refused without an answer being owed."""
        # guards against names that fill memory, and frames with them in that would be too large to send
        longest = max(len(event.offering), len(event.customer), len(event.service))
        if longest > NAME_MOST:
            return f"a name of {longest} characters, at most {NAME_MOST} are taken"
        if offering is None:
            return f"no offering {event.offering!r}"
        if not (0 < event.cores < float("inf") and 0 < event.memory < float("inf")):
            return "cores and memory have to be over 0"
        if not 0 <= event.wait < float("inf"):
            return "wait is no number of seconds"
        if not 0 <= event.start_in <= START_MOST:
            return f"start time is no number of seconds up to {START_MOST:g}"
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
            self.journal_full or not self.sessions.bytes.admits(event.customer, *self.journal_usage)
        ):
            return "the journal is full"
        if not self.holds.admits(event.customer, len(self.unanswered), self.cluster.limits.held):
            return "too many jobs are held"
        return ""

    def taken_back(self, event: events.JobWithdrawn) -> None:
        job_id = self.keys.get((event.session or event.client, event.key))
        if job_id is None:
            return
        self.disown(job_id)
        known = self.unresolved.pop(job_id, None) is None
        if event.session:
            self.sessions.forget(self.sessions.ledger.by_job[job_id])
        launch = self.by_job.get(job_id)
        if launch is not None:
            launch.wanted = False
            self.stop(launch)
        if known:
            self.tell(api.JobWithdrawn(job_id))
        if launch is not None and not self.hosts_send_inventory:
            self.over(
                launch, Result.STOPPED, api.Reason.UNTOLD
            )  # given up at the host, which says no more of it

    def client_left(self, event: events.ClientDisconnected) -> None:
        for taken in sorted(
            (self.unanswered[job] for job in self.clients.pop(event.client, ())), key=lambda taken: taken.key
        ):
            if taken.session:
                taken.client = 0  # its session owns it: it goes on, and the answer is kept
            else:
                self.taken_back(events.JobWithdrawn(event.client, taken.key))
        self.sessions.left(event.client)

    def answer(
        self, job_id: str, verdict: effects.Verdict, host: str = "", launch: events.LaunchId | None = None
    ) -> None:
        """The one way in which a job is answered: it is owed nothing from then on."""
        taken = self.disown(job_id)
        if taken is None:
            raise InvariantError(f"a second answer for {job_id}")
        self.counts[verdict.value] += 1
        entry = self.sessions.ledger.by_job.get(job_id)
        if entry is not None:
            self.sessions.answered(entry, verdict.value, host, launch, "")
        said = self.launches[launch].host_reply if launch in self.launches else ""
        self.emitted.append(
            effects.Answer(
                taken.client,
                taken.key,
                job_id,
                verdict,
                host,
                entry is not None,
                launch,
                entry.reason if entry else "",
                said,
            )
        )
        if entry is not None:
            self.sessions.tell(entry)

    # -- launches

    def launch(self, job_id: str, host: str, wait: float, leave_by: float = float("inf")) -> None:
        taken, record = self.unanswered.get(job_id), self.fleet.hosts.get(host)
        if taken is None or job_id in self.by_job:
            raise InvariantError(f"a launch of {job_id}, which is {'out' if taken else 'answered'} already")
        if record is None:
            raise InvariantError(f"a launch of {job_id} on {host}, which no list names")
        self.numbers += 1
        launch = Launch(
            events.LaunchId(self.life, self.numbers),
            taken.job,
            self.cluster.settings.offerings[taken.job.offering].effect,
            host,
            self.now + wait,
            kept=bool(taken.session),
            sent=self.now,
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
                taken.job,
                launch.due,
                record.listed.boot,
                launch.kept,
                taken.work,
                leave_by,
            )
        )

    def stop(self, launch: Launch) -> None:
        self.emitted.append(effects.SendStop(launch.host, launch.id))

    def forget(self, launch: Launch) -> None:
        self.launches.pop(launch.id, None)
        record = self.fleet.hosts.get(launch.host)
        if record is not None:
            record.launches.pop(launch.id, None)
        if self.by_job.get(launch.job.id) is launch:
            del self.by_job[launch.job.id]

    def launch_due(self, launch_id: events.LaunchId) -> None:
        launch = self.launches.get(launch_id)
        if launch is None or launch.state is not State.OUT:
            return
        if not launch.left and not launch.unsend:  # the link says at once whether it could still be kept back
            launch.unsend = True
            self.emitted.append(effects.WithholdLaunch(launch.host, launch_id.number))
            if self.answer_is_due(launch_id):  # no byte of it had left as this turn began, and none will
                self.kept_back((launch_id.number,), Result.UNSENT)
            else:
                self.timers.arm(self.now + BREATH, "launch at last", launch_id)
            return
        if not self.hosts_send_inventory:
            self.recall(launch)
            return
        if launch.effect is not Effect.IRREVERSIBLE:
            self.stop(launch)
        self.give_up(launch, Result.SILENT)

    def recall(self, launch: Launch) -> None:
        """Gives it up at its host too, where that is what ends it. The module hears of it once the word is written: told
        at once, its next launch could overtake that word and two would be out."""
        launch.state = State.RECALLED
        self.stop(launch)
        # a job's answer does not wait for that word: past its expiry nothing more is launched for it
        if self.answer_is_due(launch.id):
            self.give_up(launch, Result.SILENT)
        else:
            self.timers.arm(launch.job.expiry, "recalled", launch.id)

    def answer_is_due(self, launch_id: events.LaunchId) -> bool:
        """The time of its job is over, and hosts give no account that could still tell: the answer waits for nothing, as a
        turn more of a busy loop may be too late for it."""
        launch = self.launches.get(launch_id)
        return launch is not None and not self.hosts_send_inventory and self.now >= launch.job.expiry

    def given_up(self, event: events.LaunchesCancelled) -> None:
        for number in event.numbers:
            self.recalled_due(events.LaunchId(self.life, number))

    def recalled_due(self, launch_id: events.LaunchId) -> None:
        launch = self.launches.get(launch_id)
        if launch is not None and launch.state is State.RECALLED:
            self.give_up(launch, Result.SILENT)

    def give_up(self, launch: Launch, result: Result) -> None:
        """No answer is waited for any more; what the host still says of it is late."""
        if self.hosts_send_inventory:
            launch.state = State.STRAY
            del self.by_job[launch.job.id]
            self.timers.arm(self.now + STRAY_KEPT, "stray", launch.id)
        else:
            self.forget(launch)
        self.ended(launch, result, api.Reason.UNTOLD)

    def stray_due(self, launch_id: events.LaunchId) -> None:
        launch = self.launches.get(launch_id)
        if launch is not None and launch.state is State.STRAY:
            self.forget(launch)

    def ended(self, launch: Launch, result: Result, why: api.Reason) -> None:
        """Tells the module how the launch that it has out has ended."""
        taken = self.unanswered.get(launch.job.id)
        closed = taken is None
        if taken is not None and result not in NEVER_RAN:
            taken.risk = taken.risk or (launch.host, launch.sent)
        self.tell(api.LaunchEnded(launch.job.id, launch.id.number, launch.host, result, why, closed))

    def over(self, launch: Launch, result: Result, why: api.Reason) -> None:
        stray = launch.state is State.STRAY
        if launch.state is State.HELD and not self.hosts_send_inventory:
            self.emitted.append(effects.NotifyEnded(launch.job.id, launch.host, launch.id.number, result))
        self.forget(launch)
        if launch.kept and result in NEVER_RAN:
            self.emitted.append(effects.RecordNotRun(launch.id))
        self.sessions.ended(launch.job.id, launch.id, result, why, launch.ran)
        if not stray:
            if result is Result.UNREACHABLE and launch.left:
                self.counts["proven not run"] += 1
            self.ended(launch, result, why)

    def said_yes(self, launch: Launch) -> None:
        if launch.state is State.STRAY:
            self.handle_late_acceptance(launch)
            return
        if launch.state is not State.OUT:
            return  # known already, or its host is about to hear that it is given up
        launch.state = State.HELD
        self.tell(api.LaunchConfirmed(launch.job.id, launch.id.number, launch.host))
        if launch.job.id in self.unanswered:
            self.answer(launch.job.id, effects.Verdict.PLACED, launch.host, launch.id)
        elif not launch.wanted:
            self.stop(launch)  # taken back while the yes was on its way

    def handle_late_acceptance(self, launch: Launch) -> None:
        """After its time: believed only as a fact about the host, never as an answer."""
        self.counts["late yes"] += 1
        if launches.late_yes_is_kept(launch) and launch.job.id not in self.unanswered:
            launch.state = State.HELD
            self.by_job[launch.job.id] = launch
            self.tell(api.JobFound(launch.job, launch.host))
        else:
            self.stop(launch)

    def find(self, host: str, launch_id: events.LaunchId) -> Launch | None:
        """The launch that a host speaks of. One that is unknown, or was never sent to this host, changes nothing."""
        launch = self.launches.get(launch_id)
        if launch is None or launch.host != host:
            self.counts["for an unknown launch"] += 1
            return None
        return launch

    # -- what hosts say

    def accepted(self, event: events.Accepted) -> None:
        launch = self.find(event.host, event.launch)
        if launch is None:
            self.emitted.append(
                effects.SendStop(event.host, event.launch)
            )  # nobody waits for it, nobody counts it
        elif not self.cluster.settings.starts_confirmed or not self.hosts_send_inventory:
            # hosts that give no account say yes once, as they accept or as the job runs: the settings tell which
            launch.host_reply = event.host_reply
            if event.cancel_withdrawn and launch.state is State.RECALLED:
                launch.state = State.OUT
                launch.wanted = launch.wanted and launch.job.id in self.unanswered
            self.said_yes(launch)

    def started(self, event: events.Started) -> None:
        launch = self.find(event.host, event.launch)
        if launch is None:
            return
        self.said_yes(launch)
        if launch.state is State.HELD and not launch.started:
            launch.started = True
            self.tell(api.MetricReported(launch.job.id, event.host, "started", 1.0))
            self.sessions.started(launch.job.id, launch.id)

    def refused(self, event: events.Refused) -> None:
        launch = self.find(event.host, event.launch)
        if launch is None or launch.state is State.HELD:
            return
        self.counts["launches refused"] += 1
        self.over(launch, Result.TURNED_AWAY, event.why)

    def host_ended(self, event: events.LaunchEnded) -> None:
        self.emitted.append(effects.SendEndSeen(event.host, event.launch))
        launch = self.find(event.host, event.launch)
        if launch is not None:
            launch.ran = event.ran
            self.over(launch, event.result, event.why)

    def used(self, event: events.UsageReported) -> None:
        launch = self.find(event.host, event.launch)
        if launch is not None and launch.state is State.HELD:
            self.tell(api.MetricReported(launch.job.id, event.host, "cores", event.cores))
            self.tell(api.MetricReported(launch.job.id, event.host, "memory", event.memory))

    def served(self, event: events.ServiceReported) -> None:
        launch = self.find(event.host, event.launch)
        if launch is not None and launch.state is State.HELD:
            if event.share >= 0:
                self.tell(api.MetricReported(launch.job.id, event.host, "served", event.share))
            if event.host_memory >= 0:
                self.tell(api.MetricReported(launch.job.id, event.host, "host_memory", event.host_memory))

    def told(self, event: events.MetricReported) -> None:
        launch = self.find(event.host, event.launch)
        if launch is None or launch.state is not State.HELD:
            return
        launch.started = launch.started or event.what == "started"
        self.tell(api.MetricReported(launch.job.id, event.host, event.what, event.value))

    # -- what stands without having been launched in this life, where hosts give no account

    def standing(self, event: events.RunningJobHandedOver) -> None:
        job = self.job_of(event, self.now)
        record = self.fleet.hosts.get(event.host)
        self.numbers += 1
        launch = Launch(
            events.LaunchId(self.life, self.numbers),
            job,
            self.cluster.settings.offerings[event.offering].effect,
            event.host,
            self.now,
            State.HELD,
            started=True,
            sent=self.now,
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
        self.tell(api.JobFound(job, event.host))

    def placed_ended(self, event: events.StopRequested) -> None:
        launch = self.by_job.get(event.job)
        if launch is not None and launch.state is State.HELD:
            launch.wanted = False
            self.stop(launch)

    def host_lost(self, event: events.HostLost) -> None:
        record = self.fleet.hosts.get(event.host)
        if record is not None:
            self.counts["cut with a lost host"] += sum(
                launch.state is State.HELD for launch in record.launches.values()
            )
            self.cut_standing(record)

    def cut_standing(self, record: HostRecord, before: float = float("inf")) -> None:
        """What stood there, by launches made before then, is lost with the host."""
        for launch in list(record.launches.values()):
            if launch.state is State.HELD and launch.sent < before:
                self.over(launch, Result.CUT, api.Reason.UNTOLD)

    # -- probes

    def probe(self, host: str) -> None:
        self.probe_numbers += 1
        self.probes[self.probe_numbers] = host
        self.timers.arm(self.now + self.cluster.limits.probe, "probe", self.probe_numbers)
        self.emitted.append(effects.SendProbe(host, self.probe_numbers))

    def reported(self, event: events.ProbeReported) -> None:
        if self.probes.pop(event.number, None) == event.host:
            self.tell(api.HostProbed(event.host, True, dict(event.figures)))

    def probe_due(self, number: int) -> None:
        host = self.probes.pop(number, None)
        if host is not None:
            self.tell(api.HostProbed(host, False))

    # -- links

    def left(self, event: events.LaunchesSent) -> None:
        for number in event.numbers:
            launch = self.launches.get(events.LaunchId(self.life, number))
            if launch is not None:
                launch.left, launch.boot = event.link, self.fleet.hosts[event.host].boot

    def link_up(self, event: events.LinkUp) -> None:
        record = self.fleet.hosts.get(event.host)
        if record is None:
            return
        record.link, record.boot, record.asked, record.tries = event.link, event.boot, True, 0
        if event.boot > record.listed.boot:  # it has started again and no list has said so yet: it is young
            reborn = replace(record.listed, boot=event.boot, age=event.age, free_cores=None, free_memory=None)
            self.tell(api.HostsListed((self.fleet.hear(self.now, reborn),), False, remembered=True))
        held = {item.launch: item for item in event.held}
        if self.unresolved:
            self.accounts.setdefault(event.host, recovery.HostInventory(event.boot, dict(held), event.forgot))
        for launch in list(record.launches.values()):
            if not launch.left and launch.id.life == self.life:
                continue  # it waits to be sent on this very link
            item = held.pop(launch.id, None)
            finding = launches.found(launch, item, event.boot, event.forgot)
            if item is not None:
                launch.left, launch.boot = event.link, event.boot
            launch.ran = item.ran if item is not None else None
            self.learn(launch, finding)
            if not launch.wanted and launch.state is State.HELD and launch.id in self.launches:
                self.stop(launch)  # the order may have been lost with the link before
        for item in held.values():
            self.found(record, item)
        for job_id in self.pending_at.pop(event.host, ()):
            self.settle(job_id)
        self.sessions.accounted(event.host)

    def learn(self, launch: Launch, finding: launches.Finding | None) -> None:
        if finding is None or finding.phase is events.Phase.QUEUED:
            return
        if finding.phase is events.Phase.OVER:
            if finding.result in (Result.DONE, Result.ERROR, Result.STOPPED):
                self.emitted.append(effects.SendEndSeen(launch.host, launch.id))
            self.over(launch, finding.result, finding.why)
        elif finding.phase is events.Phase.RUNNING:
            self.started(events.Started(launch.host, launch.id))
        elif not self.cluster.settings.starts_confirmed:
            self.said_yes(launch)

    def found(self, record: HostRecord, item: events.HeldLaunch) -> None:
        """A launch that this life did not make, or has forgotten."""
        host, offering = record.listed.id, self.cluster.settings.offerings.get(item.job.offering)
        if item.phase is events.Phase.OVER:
            self.emitted.append(effects.SendEndSeen(host, item.launch))
            self.sessions.ended(item.job.id, item.launch, item.result, item.why, item.ran)
        elif item.launch.life == self.life and offering and offering.effect is not Effect.IRREVERSIBLE:
            self.emitted.append(effects.SendStop(host, item.launch))
        elif item.job.id in self.unanswered and item.job.id not in self.unresolved:
            self.emitted.append(effects.SendStop(host, item.launch))  # another course of it is under way
        elif item.job.id not in self.by_job:
            # guards against a configuration that lost an offering: what runs of it is left alone, and told of; the
            # module does not know it, and it can ask for no more of it
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
                self.tell(api.JobFound(item.job, host))
            entry = self.sessions.ledger.by_job.get(item.job.id)
            if entry is not None and entry.ending:
                launch.wanted = False
                self.stop(launch)  # its owner ended it in an earlier life
            if launch.started:
                self.sessions.started(launch.job.id, launch.id)

    def link_down(self, event: events.LinkDown) -> None:
        # those that left on it are lost with it: told now, they count as one silence with the break, not as a second
        for number in [number for number, host in self.probes.items() if host == event.host]:
            self.probe_due(number)
        record = self.fleet.hosts.get(event.host)
        if record is None:
            return
        if record.link == event.link:
            record.link = 0
        self.kept_back(event.unsent, Result.UNREACHABLE)
        if event.link:
            for launch in list(record.launches.values()):
                result = launches.result_of_lost_link(launch) if launch.left == event.link else None
                if result:
                    self.give_up(launch, result)
        self.lose_gone()
        if self.hosts_send_inventory and (
            record.launches or not record.asked
        ):  # what the host holds has to be learned
            record.tries += 1
            self.timers.arm(self.now + reconnect_delay(record.tries, self.random), "relink", event.host)

    def relink_due(self, host: str) -> None:
        record = self.fleet.hosts.get(host)
        if (
            record
            and not record.link
            and record.listed.mode is not Mode.GONE
            and (record.launches or not record.asked)
        ):
            self.emitted.append(effects.OpenLink(host))

    def unsent(self, event: events.LaunchesUnsent) -> None:
        self.kept_back(event.numbers, Result.UNSENT)

    def kept_back(self, numbers: tuple[int, ...], result: Result) -> None:
        """Frames of these launches never began to leave, so none of them ran."""
        for number in numbers:
            launch = self.launches.get(events.LaunchId(self.life, number))
            if launch is not None and launch.state is not State.HELD:
                self.over(launch, result, api.Reason.UNTOLD)

    def fenced(self, event: events.Fenced) -> None:
        self.emitted.append(effects.Halt(f"host {event.host}: {event.reason}"))

    # -- which hosts there are

    def list_heard(self, event: events.HostListReceived) -> None:
        entries = tuple(self.heard(listed) for listed in event.hosts)
        self.emitted += [effects.AddHost(listed) for listed in event.hosts]
        if event.whole:
            self.emitted += [
                effects.AddHost(record.listed)
                for record in self.fleet.missing({listed.id for listed in event.hosts})
            ]
        self.tell(api.HostsListed(entries, event.whole, event.remembered))
        every = event.whole or event.remembered
        self.ready = self.ready or every
        self.lose_gone()
        if every and self.hosts_send_inventory:
            self.settle_pending()  # hosts may be known, or gone, by now
            self.connect_pacer.add(
                [
                    h.id
                    for h in event.hosts
                    if h.mode is not Mode.GONE
                    and not self.fleet.hosts[h.id].asked
                    and h.id not in self.connect_pacer.waiting
                ],
                frozenset(self.pending_at),
            )

    def heard(self, listed: events.ListedHost) -> api.HostEntry:
        record = self.fleet.hosts.get(listed.id)
        reborn = record is not None and listed.boot > record.listed.boot
        entry = self.fleet.hear(self.now, listed)
        if (
            reborn and not self.hosts_send_inventory
        ):  # no account will say that what stood before this start is lost
            self.cut_standing(record, record.booted)
        return entry

    def lose_gone(self) -> None:
        """A host that is gone for good answers nothing more: what was held there is lost, and is told so."""
        for host in [
            host
            for host in self.sessions.unaccounted
            if self.ready
            and (host not in self.fleet.hosts or self.fleet.hosts[host].listed.mode is Mode.GONE)
        ]:
            self.sessions.accounted(host)
        for record in [self.fleet.hosts[host] for host in sorted(self.fleet.gone)]:
            if not record.link:
                for launch in list(record.launches.values()):
                    if launch.state not in (State.OUT, State.RECALLED):
                        self.over(launch, Result.CUT, api.Reason.UNTOLD)

    def list_failed(self, event: events.HostListFailed) -> None:
        self.tell(api.ListLost())

    # -- what an earlier life left

    def recover(
        self, left_open: tuple[recovery.OpenJob, ...], answers: tuple[recovery.StoredAnswer, ...]
    ) -> None:
        """Before the first turn: jobs that this controller still owes an answer, and answers not confirmed."""
        for kept in answers:
            self.sessions.recover_answered(kept)
        for job in left_open:
            record = replace(job.job, expiry=self.now + job.expires_in)
            self.own(
                Taken(0, job.key, record, job.session, job.work, job.expires_in, guarantee=job.guarantee)
            )
            entry = self.sessions.recover_open(job, record)
            if entry.stage is not Stage.WAITING:
                continue  # never launched, or every launch known not to have run: it could not be held else
            self.unresolved[record.id] = job
            for host in {launch.host: None for launch in job.launches}:
                self.pending_at.setdefault(host, []).append(record.id)
            self.timers.arm(max(self.now, record.expiry - recovery.SETTLE_BEFORE), "settle", record.id)
        if left_open:
            self.timers.arm(self.now + recovery.PATIENCE, "settle", "")

    def in_force(self, taken: Taken) -> api.Offering | None:
        """The job's offering; None where the configuration has lost it since, or changed what repeats of it do: then
        the job is launched no more, and counts as irreversible."""
        offering = self.cluster.settings.offerings.get(taken.job.offering)
        same = offering is not None and taken.guarantee in ("", recovery.guarantee(offering))
        return offering if same else None

    def settle_pending(self) -> None:
        for job_id in list(self.unresolved):
            self.settle(job_id)

    def settle_due(self, job_id: str) -> None:
        if job_id:
            self.settle(job_id)
        else:
            self.settle_pending()

    def settle(self, job_id: str) -> None:
        if job_id not in self.unresolved:
            return
        job, taken = self.unresolved[job_id], self.unanswered[job_id]
        offering = self.in_force(taken)
        lost = {launch.host for launch in job.launches if self.ready and launch.host not in self.fleet.hosts}
        step = recovery.next_step(
            job,
            offering.effect if offering else Effect.IRREVERSIBLE,
            self.accounts,
            lost,
            self.now >= self.begun + recovery.PATIENCE,
            self.now >= taken.job.expiry - recovery.SETTLE_BEFORE,
            frozenset(launch.host for launch in job.launches if launch.host in self.fleet.hosts),
        )
        if step is recovery.Step.WAIT or step is recovery.Step.AGAIN and (not self.ready or not offering):
            return
        del self.unresolved[job_id]
        if step is recovery.Step.AGAIN:
            first = recovery.risk(job, self.accounts)
            if first is not None and offering.effect is not Effect.REDOABLE:
                taken.risk = first.host, self.begun - first.sent_ago
            taken.returning = True
            self.returning.append(job_id)
            if len(self.returning) == 1:
                self.timers.arm(self.now, "return", "")
            return
        host, held = recovery.placed_at(job, self.accounts) or ("", None)
        self.answer(job_id, VERDICTS[step], host, held.launch if held else None)
        if held is not None and held.phase is events.Phase.OVER:
            self.sessions.ended(job_id, held.launch, held.result, held.why, held.ran)
        elif held is not None and held.phase is events.Phase.RUNNING:
            self.sessions.started(job_id, held.launch)

    def return_due(self, _) -> None:
        """Back to the module, a few a turn: thousands at once would keep links and owners waiting for seconds."""
        for _ in range(min(len(self.returning), RETURN_MOST)):
            taken = self.unanswered.get(self.returning.popleft())
            if taken is not None and taken.returning:
                taken.returning = False
                self.tell(api.JobArrived(taken.job, taken.risk))
        if self.returning:
            self.timers.arm(self.now, "return", "")

    # -- timers

    def module_due(self, key: str) -> None:
        self.tell(api.TimerFired(key))

    def asking_due(self, _) -> None:
        """Only wakes the turn, which asks."""


VERDICTS = {
    recovery.Step.PLACED: effects.Verdict.PLACED,
    recovery.Step.REJECT: effects.Verdict.REJECTED,
    recovery.Step.WRITE_OFF: effects.Verdict.WRITTEN_OFF,
}
HANDLERS = {
    events.Submitted: Engine.submitted,
    events.JobWithdrawn: Engine.taken_back,
    events.ClientDisconnected: Engine.client_left,
    events.AnswerSeen: lambda engine, event: engine.sessions.answer_seen(event),
    events.Ordered: lambda engine, event: engine.sessions.ordered(event),
    events.StatusRequested: lambda engine, event: engine.sessions.asked(event),
    events.ForgetRequested: lambda engine, event: engine.sessions.forgotten(event),
    events.HostListReceived: Engine.list_heard,
    events.HostListFailed: Engine.list_failed,
    events.LaunchesSent: Engine.left,
    events.LaunchesUnsent: Engine.unsent,
    events.LaunchesCancelled: Engine.given_up,
    events.LinkUp: Engine.link_up,
    events.LinkDown: Engine.link_down,
    events.Fenced: Engine.fenced,
    events.Accepted: Engine.accepted,
    events.Refused: Engine.refused,
    events.Started: Engine.started,
    events.UsageReported: Engine.used,
    events.MetricReported: Engine.told,
    events.RunningJobHandedOver: Engine.standing,
    events.StopRequested: Engine.placed_ended,
    events.HostLost: Engine.host_lost,
    events.ServiceReported: Engine.served,
    events.LaunchEnded: Engine.host_ended,
    events.ProbeReported: Engine.reported,
}
RINGERS = {
    "module": Engine.module_due,
    "launch": Engine.launch_due,
    "stray": Engine.stray_due,
    "recalled": Engine.recalled_due,
    "probe": Engine.probe_due,
    "launch at last": Engine.launch_due,
    "probe at last": Engine.probe_due,
    "asking": Engine.asking_due,
    "relink": Engine.relink_due,
    "return": Engine.return_due,
    "settle": Engine.settle_due,
    "too many kept": lambda engine, _: engine.sessions.too_many_kept(),
    "forget": lambda engine, key: engine.sessions.forget_due(key),
    "later": lambda engine, job: engine.sessions.later_due(job),
    "held too long": lambda engine, job: engine.sessions.held_too_long(job),
}
