"""A model of client, controller, hosts, journal and crashes, driven by hypothesis; the rules are checked at every step.

In CI with a fixed seed. Longer: `LINEDEAL_MODEL_RUNS=2000 pytest tests/test_model.py`, with a new seed each time.
"""

import os
import tempfile
from pathlib import Path

from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from linedeal import interface as api
from linedeal.engine import Engine
from linedeal.engine import effects
from linedeal.engine import events
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
    """Holds launches; says yes, no, begun and over when the model tells it to."""

    def __init__(self):
        self.boot, self.link, self.up = 1, 0, False
        self.life = 0
        self.held: dict[events.LaunchId, list] = {}  # job, phase
        self.queue: list[events.LaunchId] = []  # received and not looked at
        self.stops: list[events.LaunchId] = []
        self.outbox: list[tuple] = []  # at the controller, until a link stands


class Controller(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.place = tempfile.TemporaryDirectory()
        self.cluster = parse_cluster(CLUSTER.replace("held = 5", "held = 50"))
        self.now, self.engine, self.crash_in = 100.0, None, None
        self.hosts = {name: Host() for name in HOSTS}
        self.keys: dict[str, tuple] = {}  # offering, asked as
        self.jobs: dict[str, str] = {}  # job: key
        self.told: dict[str, set[str]] = {}  # key: verdicts
        self.runs: dict[str, list] = {}  # job: (when, host) of each launch that reached a host's program
        self.sent_after: list = []
        self.links = 0

    @initialize()
    def start(self):
        self.begin()
        for name in sorted(HOSTS):
            self.link(name)

    def begin(self):
        self.store = Store(Path(self.place.name))
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
        """One turn; False if the controller was killed in it."""
        if self.engine is None:
            return False
        for event in received:
            self.engine.put(event)
        emitted = self.engine.step(self.now)
        keep = effects_to_persist(emitted)
        units = [lambda: self.journal.write(self.now, self.life, keep)] if keep else []
        units += [lambda effect=effect: self.carry(effect) for effect in emitted]
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

    def carry(self, effect):
        match effect:
            case effects.SendLaunch(name, number, job):
                host, launch = self.hosts[name], events.LaunchId(self.life, number)
                if self.told.get(self.jobs.get(job.id)):
                    self.sent_after.append((job.id, self.told[self.jobs[job.id]]))
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
                self.tell(key, verdict.value)
            case effects.JobStatus(_, key, _, _, stage):
                if stage.name in ("REJECTED", "WRITTEN_OFF"):
                    self.tell(key, stage.value)
                elif stage.name not in ("HELD", "LATER", "WAITING"):
                    self.tell(key, "placed")

    def flush(self, name):
        host = self.hosts[name]
        for number, launch, job in host.outbox:
            self.engine.put(events.LaunchesSent(name, host.link, (number,)))
            host.queue.append(launch)
            host.held[launch] = [job, events.Phase.QUEUED]
        host.outbox.clear()

    def tell(self, key, verdict):
        self.told.setdefault(key, set()).add(verdict)

    # -- the client

    @rule(offerings=st.lists(st.sampled_from(OFFERINGS), min_size=1, max_size=4), hold=st.integers(0, 4))
    def submit(self, offerings, hold):
        for offering in offerings:
            key = f"k{len(self.keys)}"
            self.keys[key] = (offering, hold == 0)
            self.ask(key)

    def ask(self, key):
        offering, hold = self.keys[key]
        self.feed(events.Submitted(1, key, offering, "", "v", 1.0, 1.0, 0.0, "s", follow=True, hold=hold))

    @precondition(lambda self: self.keys)
    @rule(data=st.data(), kind=st.sampled_from([None, *OrderKind]))
    def order(self, data, kind):
        key = data.draw(st.sampled_from(sorted(self.keys)))
        if kind is None:
            self.ask(key)
        else:
            self.feed(events.Ordered(1, "s", key, kind))

    # -- hosts

    @rule(
        name=st.sampled_from(sorted(HOSTS)), what=st.sampled_from(["link", "unlink", "lose", "reborn", "end"])
    )
    def trouble(self, name, what):
        {
            "link": self.link,
            "unlink": lambda name: self.unlink(name, False),
            "end": self.end,
            "lose": lambda name: self.unlink(name, True),
            "reborn": self.reborn,
        }[what](name)

    def link(self, name):
        host = self.hosts[name]
        if self.engine is None or host.up:
            return
        self.links += 1
        host.link, host.up = self.links, True
        if self.life > host.life:  # nothing of an earlier life is looked at any more
            for launch in host.queue:
                host.held.pop(launch, None)
            host.queue.clear()
            host.life = self.life
        account = tuple(
            events.HeldLaunch(launch, job, phase, *((api.Result.DONE,) if phase is events.Phase.OVER else ()))
            for launch, (job, phase) in host.held.items()
        )
        if self.feed(events.LinkUp(name, host.link, host.boot, 99.0, account)) and host.up:
            self.flush(name)
            self.feed()

    def unlink(self, name, lose):
        host = self.hosts[name]
        if host.up:
            host.up = False
            assert not host.outbox
            if lose:  # what was on its way never came
                for launch in host.queue:
                    host.held.pop(launch, None)
                host.queue.clear()
            self.feed(events.LinkDown(name, host.link))

    def reborn(self, name):
        host = self.hosts[name]
        host.boot += 1
        host.held.clear()
        host.queue.clear()
        if host.up:
            host.up = False
            self.feed(events.LinkDown(name, host.link))

    @precondition(lambda self: any(host.queue for host in self.hosts.values()))
    @rule(said=st.lists(st.sampled_from(["yes", "unheard yes", "no"]), min_size=1, max_size=4))
    def look(self, said):
        """Hosts look at what they were offered, one after the other."""
        for word in said:
            for name in sorted(HOSTS):
                if self.hosts[name].queue:
                    self.look_at(name, self.hosts[name], word)
        for host in self.hosts.values():  # a stop may come too late for what it was to stop
            for launch in host.stops:
                host.held.pop(launch, None)
            host.stops.clear()

    def look_at(self, name, host, said):
        launch = host.queue.pop(0)
        if launch not in host.held:
            return
        job = host.held[launch][0]
        if said == "no":
            del host.held[launch]
        else:
            host.held[launch][1] = events.Phase.ACCEPTED
            self.runs.setdefault(job.id, []).append((self.now, name))
        if host.up and said != "unheard yes":
            self.feed(
                events.Refused(name, launch, api.Reason.CORES)
                if said == "no"
                else events.Accepted(name, launch)
            )

    def end(self, name):
        host = self.hosts[name]
        for launch, (job, phase) in list(host.held.items()):
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
        reborn=st.sets(st.sampled_from(sorted(HOSTS)), max_size=2),
    )
    def restart(self, linked, reborn):
        for name in sorted(reborn):
            self.reborn(name)
        self.begin()
        for name in sorted(linked):
            self.link(name)

    # -- the rules

    @invariant()
    def one_answer(self):
        for key, verdicts in self.told.items():
            assert len(verdicts) == 1, (key, verdicts)

    @invariant()
    def nothing_after_the_answer(self):
        assert not self.sent_after, self.sent_after

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
            if offering == "feed" and "rejected" in self.told.get(self.jobs.get(job), ()):
                raise AssertionError(f"{job} was rejected and ran: {runs}")

    def offering_of(self, job):
        for host in self.hosts.values():
            for held, _ in host.held.values():
                if held.id == job:
                    return held.offering
        return ""

    def teardown(self):
        """All that is not held is answered once the controller stands and time has passed."""
        try:
            if self.engine is None or self.crash_in is not None:
                if self.engine is not None:
                    self.kill()
                self.crash_in = None
                self.begin()
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
                assert key in held or len(self.told.get(key, ())) == 1, (key, self.told.get(key))
            self.no_effect_twice()
            self.nothing_after_the_answer()
        finally:
            self.store.close()
            self.place.cleanup()


TestController = Controller.TestCase
TestController.settings = settings(
    max_examples=RUNS,
    stateful_step_count=40,
    phases=[Phase.generate],
    deadline=None,
    derandomize=RUNS <= 150,
    database=None,
    suppress_health_check=list(HealthCheck),
)
