"""Stateful hypothesis test of client, controller, hosts, journal and crashes; checks the rules at each step.

The seed is fixed up to 150 runs. More runs: `LINEDEAL_MODEL_RUNS=2000 pytest tests/test_model.py`, with a new
seed each time.
"""

import os
import tempfile
from pathlib import Path

from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from linedeal import interface as api
from linedeal.engine import Engine, effects, events
from linedeal.engine.control import OrderKind
from linedeal.settings.cluster import parse_cluster
from linedeal.state import Store
from linedeal.state.journal import Journal, effects_to_persist
from tests.engine_driver import CLUSTER

RUNS = int(os.environ.get("LINEDEAL_MODEL_RUNS", "150"))
OFFERINGS = ("web", "mail", "feed")
HOSTS = {"a": "z1", "b": "z1", "d": "z2"}
WINDOW, EXPIRY = 4.0, 6.0


class Host:
    """A host that holds launches and accepts, refuses or ends them as the rules of the state machine say."""

    def __init__(self):
        self.boot, self.link, self.up = 1, 0, False
        self.life = 0
        self.held: dict[events.LaunchId, list] = {}  # job and phase
        self.queue: list[events.LaunchId] = []  # received, not answered yet
        self.stops: list[events.LaunchId] = []
        self.outbox: list[tuple] = []  # launches that wait at the controller for a link


class ControllerMachine(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.directory = tempfile.TemporaryDirectory()
        self.cluster = parse_cluster(CLUSTER.replace("held = 5", "held = 50"))
        self.now, self.engine, self.crash_in = 100.0, None, None
        self.hosts = {name: Host() for name in HOSTS}
        self.keys: dict[str, tuple] = {}  # offering, and whether to hold the job
        self.jobs: dict[str, str] = {}  # key by job id
        self.verdicts: dict[str, set[str]] = {}  # verdicts by key
        self.runs: dict[str, list] = {}  # time and host of each accepted launch, by job id
        self.sent_after_answer: list = []
        self.links = 0

    @initialize()
    def start(self):
        self.start_controller()
        for name in sorted(HOSTS):
            self.link(name)

    def start_controller(self):
        self.store = Store(Path(self.directory.name))
        self.life = self.store.next_life()
        self.journal = Journal(self.store, reserve_bytes=1 << 16)
        self.engine = Engine(self.cluster, "c", self.life, 7, self.now)
        found = self.journal.read(self.now, EXPIRY)
        self.engine.recover(found.open, found.answers)
        for host in self.hosts.values():
            host.up = False
        self.feed(
            events.HostListReceived(
                tuple(
                    events.ListedHost(
                        name, ("x",), "std", HOSTS[name], 0, api.Mode.SERVING, host.boot, 99.0, 10.0, 20.0
                    )
                    for name, host in self.hosts.items()
                ),
                True,
                1,
            ),
            events.StatusRequested(1, "s", ""),
        )

    def feed(self, *received):
        """One step of the engine; False if the controller was killed in it, or is not running."""
        if self.engine is None:
            return False
        for event in received:
            self.engine.put(event)
        emitted = self.engine.step(self.now)
        to_persist = effects_to_persist(emitted)
        units = [lambda: self.journal.write(self.now, self.life, to_persist)] if to_persist else []
        units += [lambda effect=effect: self.perform(effect) for effect in emitted]
        for unit in units:
            if self.crash_in is not None:
                if self.crash_in == 0:
                    self.kill()
                    return False
                self.crash_in -= 1
            unit()
        return True

    def kill(self):
        self.crash_in = None
        self.store.close()
        self.engine = None
        for host in self.hosts.values():
            host.outbox.clear()

    def perform(self, effect):
        match effect:
            case effects.SendLaunch(name, number, job):
                host, launch = self.hosts[name], events.LaunchId(self.life, number)
                if self.verdicts.get(self.jobs.get(job.id)):
                    self.sent_after_answer.append((job.id, self.verdicts[self.jobs[job.id]]))
                host.outbox.append((number, launch, job))
                if host.up:
                    self.flush(name)
            case effects.WithholdLaunch(name, number):
                host = self.hosts[name]
                if any(number == waiting[0] for waiting in host.outbox):
                    host.outbox = [waiting for waiting in host.outbox if waiting[0] != number]
                    self.engine.put(events.LaunchesUnsent(name, (number,)))
            case effects.SendStop(name, launch) if self.hosts[name].up:
                self.hosts[name].stops.append(launch)
            case effects.SendEndSeen(name, launch) if self.hosts[name].up:
                self.hosts[name].held.pop(launch, None)
            case effects.AcceptJob(_, key, job):
                self.jobs[job] = key
            case effects.Answer(_, key, _, verdict) if effect.client:
                self.record_verdict(key, verdict.value)
            case effects.JobStatus(_, key, _, _, stage):
                if stage.name in ("REJECTED", "WRITTEN_OFF"):
                    self.record_verdict(key, stage.value)
                elif stage.name not in ("HELD", "LATER", "WAITING"):
                    self.record_verdict(key, "placed")

    def flush(self, name):
        host = self.hosts[name]
        for number, launch, job in host.outbox:
            self.engine.put(events.LaunchesSent(name, host.link, (number,)))
            host.queue.append(launch)
            host.held[launch] = [job, events.Phase.QUEUED]
        host.outbox.clear()

    def record_verdict(self, key, verdict):
        self.verdicts.setdefault(key, set()).add(verdict)

    # -- the client

    @rule(offerings=st.lists(st.sampled_from(OFFERINGS), min_size=1, max_size=4), hold=st.integers(0, 4))
    def submit(self, offerings, hold):
        for offering in offerings:
            key = f"k{len(self.keys)}"
            self.keys[key] = (offering, hold == 0)
            self.submit_key(key)

    def submit_key(self, key):
        offering, hold = self.keys[key]
        self.feed(events.Submitted(1, key, offering, "", "v", 1.0, 1.0, 0.0, "s", follow=True, hold=hold))

    @precondition(lambda self: self.keys)
    @rule(data=st.data(), kind=st.sampled_from([None, *OrderKind]))
    def order(self, data, kind):
        key = data.draw(st.sampled_from(sorted(self.keys)))
        if kind is None:
            self.submit_key(key)
        else:
            self.feed(events.Ordered(1, "s", key, kind))

    # -- hosts

    @rule(
        name=st.sampled_from(sorted(HOSTS)),
        what=st.sampled_from(["link", "unlink", "lose", "restart", "end"]),
    )
    def trigger_host_event(self, name, what):
        {
            "link": self.link,
            "unlink": lambda name: self.unlink(name, False),
            "end": self.end,
            "lose": lambda name: self.unlink(name, True),
            "restart": self.restart_host,
        }[what](name)

    def link(self, name):
        host = self.hosts[name]
        if self.engine is None or host.up:
            return
        self.links += 1
        host.link, host.up = self.links, True
        if self.life > host.life:  # launches of an earlier incarnation are dropped unanswered
            for launch in host.queue:
                host.held.pop(launch, None)
            host.queue.clear()
            host.life = self.life
        inventory = tuple(
            events.HeldLaunch(launch, job, phase, *((api.Result.DONE,) if phase is events.Phase.OVER else ()))
            for launch, (job, phase) in host.held.items()
        )
        if self.feed(events.LinkUp(name, host.link, host.boot, 99.0, inventory)) and host.up:
            self.flush(name)
            self.feed()

    def unlink(self, name, lose):
        host = self.hosts[name]
        if host.up:
            host.up = False
            assert not host.outbox
            if lose:  # launches in transit were lost
                for launch in host.queue:
                    host.held.pop(launch, None)
                host.queue.clear()
            self.feed(events.LinkDown(name, host.link))

    def restart_host(self, name):
        host = self.hosts[name]
        host.boot += 1
        host.held.clear()
        host.queue.clear()
        if host.up:
            host.up = False
            self.feed(events.LinkDown(name, host.link))

    @precondition(lambda self: any(host.queue for host in self.hosts.values()))
    @rule(answers=st.lists(st.sampled_from(["accept", "accept unheard", "refuse"]), min_size=1, max_size=4))
    def host_answers(self, answers):
        """Hosts answer the launches they have received, in order."""
        for answer in answers:
            for name in sorted(HOSTS):
                if self.hosts[name].queue:
                    self.answer_launch(name, self.hosts[name], answer)
        for host in self.hosts.values():  # after the answers, since a stop may arrive too late
            for launch in host.stops:
                host.held.pop(launch, None)
            host.stops.clear()

    def answer_launch(self, name, host, answer):
        launch = host.queue.pop(0)
        if launch not in host.held:
            return
        job = host.held[launch][0]
        if answer == "refuse":
            del host.held[launch]
        else:
            host.held[launch][1] = events.Phase.ACCEPTED
            self.runs.setdefault(job.id, []).append((self.now, name))
        if host.up and answer != "accept unheard":
            self.feed(
                events.Refused(name, launch, api.Reason.CORES)
                if answer == "refuse"
                else events.Accepted(name, launch)
            )

    def end(self, name):
        host = self.hosts[name]
        for launch, (_, phase) in list(host.held.items()):
            if phase is events.Phase.ACCEPTED:
                host.held[launch][1] = events.Phase.OVER
                if host.up:
                    self.feed(
                        events.LaunchEnded(
                            name, launch, api.Result.DONE, api.Reason.UNTOLD, events.Ran(0, 1.0, 1.0, 1.0)
                        )
                    )
                return

    # -- time and crashes

    @rule(seconds=st.sampled_from([0.01, 0.3, 1.0, 3.0]))
    def wait(self, seconds):
        until = self.now + seconds
        while self.engine is not None and self.engine.next_due() <= until:
            self.now = max(self.now, self.engine.next_due())
            if not self.feed():
                break
        self.now = until
        self.feed()

    @precondition(lambda self: self.engine is not None)
    @rule(steps=st.integers(-1, 6))
    def crash(self, steps):
        if steps < 0:
            self.kill()
        else:
            self.crash_in = steps

    @precondition(lambda self: self.engine is None)
    @rule(
        linked=st.sets(st.sampled_from(sorted(HOSTS))),
        restarted=st.sets(st.sampled_from(sorted(HOSTS)), max_size=2),
    )
    def restart(self, linked, restarted):
        for name in sorted(restarted):
            self.restart_host(name)
        self.start_controller()
        for name in sorted(linked):
            self.link(name)

    # -- the rules

    @invariant()
    def one_answer(self):
        for key, verdicts in self.verdicts.items():
            assert len(verdicts) == 1, (key, verdicts)

    @invariant()
    def nothing_after_the_answer(self):
        assert not self.sent_after_answer, self.sent_after_answer

    @invariant()
    def no_effect_twice(self):
        for job, runs in self.runs.items():
            offering = self.keys[self.jobs[job]][0] if job in self.jobs else self.offering_of(job)
            if offering == "feed":
                assert len(runs) <= 1, (job, runs)
            if offering == "mail":
                first, host = runs[0]
                for at, other in runs[1:]:
                    assert HOSTS[other] == HOSTS[host] and at <= first + WINDOW + EXPIRY, (job, runs)
            if offering == "feed" and "rejected" in self.verdicts.get(self.jobs.get(job), ()):
                raise AssertionError(f"{job} was rejected and ran: {runs}")

    def offering_of(self, job):
        for host in self.hosts.values():
            for held, _ in host.held.values():
                if held.id == job:
                    return held.offering
        return ""

    def teardown(self):
        """Each job that is not held has its answer once the controller runs and time has passed."""
        try:
            if self.engine is None or self.crash_in is not None:
                if self.engine is not None:
                    self.kill()
                self.crash_in = None
                self.start_controller()
            for name in sorted(HOSTS):
                self.link(name)
            for _ in range(4):
                self.wait(3.0)
            held = {
                key
                for key, entry in self.engine.sessions.ledger.by_session.get("s", {}).items()
                if entry.stage.name == "HELD"
            }
            for key in self.jobs.values():
                assert key in held or len(self.verdicts.get(key, ())) == 1, (key, self.verdicts.get(key))
            self.no_effect_twice()
            self.nothing_after_the_answer()
        finally:
            self.store.close()
            self.directory.cleanup()


TestController = ControllerMachine.TestCase
TestController.settings = settings(
    max_examples=RUNS,
    stateful_step_count=40,
    phases=[Phase.generate],
    deadline=None,
    derandomize=RUNS <= 150,
    database=None,
    suppress_health_check=list(HealthCheck),
)
