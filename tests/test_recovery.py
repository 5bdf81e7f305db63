"""Recovery of jobs: the journal, the decisions on its jobs, and a kill at each step of a job."""

from dataclasses import replace

import pytest

from linedeal import interface as api
from linedeal.engine import Engine, effects, events, sessions
from linedeal.engine.recovery import HostInventory, OldLaunch, OpenJob, Step, next_step
from linedeal.interface import Effect
from linedeal.settings.cluster import parse_cluster
from linedeal.state import Store, StoreError
from linedeal.state.journal import Journal, JournalFullError, effects_to_persist
from tests.engine_driver import CLUSTER, EngineDriver

JOB = api.Job("c.1.1", "feed", "", "s", 1.0, 1.0, 9.0)
OLD = OldLaunch(events.LaunchId(1, 1), "a", 5)  # its send time is unknown
SENT = replace(OLD, sent_ago=2.0)


def account(boot=5, phase=None, forgot=False):
    held = {OLD.id: events.HeldLaunch(OLD.id, JOB, phase)} if phase else {}
    return {"a": HostInventory(boot, held, forgot)}


NEVER_RAN, MAY_HAVE = account(), account(boot=6)


@pytest.mark.parametrize(
    "launches, accounts, effect, lost, wait_over, expired, step",
    [
        ((), {}, "IRREVERSIBLE", (), False, False, Step.AGAIN),
        ((), {}, "IRREVERSIBLE", (), False, True, Step.REJECT),
        ((OLD,), {}, "IRREVERSIBLE", (), True, False, Step.WAIT),
        ((OLD,), {}, "IRREVERSIBLE", (), True, True, Step.WRITE_OFF),
        ((OLD,), {}, "REDOABLE", (), False, False, Step.WAIT),
        ((OLD,), {}, "REDOABLE", (), True, False, Step.AGAIN),
        ((OLD,), {}, "REDOABLE", (), True, True, Step.REJECT),
        ((OLD,), NEVER_RAN, "IRREVERSIBLE", (), False, False, Step.AGAIN),
        ((OLD,), NEVER_RAN, "IRREVERSIBLE", (), False, True, Step.REJECT),
        ((OLD,), MAY_HAVE, "IRREVERSIBLE", (), False, False, Step.WAIT),
        ((OLD,), MAY_HAVE, "IRREVERSIBLE", (), False, True, Step.WRITE_OFF),
        ((OLD,), MAY_HAVE, "LABELLED", (), True, True, Step.WRITE_OFF),
        ((OLD,), MAY_HAVE, "REDOABLE", (), False, False, Step.AGAIN),
        ((SENT,), MAY_HAVE, "LABELLED", (), False, False, Step.AGAIN),
        ((SENT,), {}, "LABELLED", (), False, False, Step.WAIT),
        ((SENT,), {}, "LABELLED", (), True, False, Step.AGAIN),
        ((SENT,), MAY_HAVE, "LABELLED", ("a",), True, False, Step.WAIT),
        ((SENT,), MAY_HAVE, "LABELLED", (), True, True, Step.WRITE_OFF),
        ((OLD,), MAY_HAVE, "LABELLED", (), True, False, Step.WAIT),
        ((OLD,), account(forgot=True), "IRREVERSIBLE", (), False, True, Step.WRITE_OFF),
        ((OLD,), {}, "IRREVERSIBLE", ("a",), False, False, Step.WAIT),
        ((OLD,), {}, "REDOABLE", ("a",), False, False, Step.AGAIN),
        ((OldLaunch(OLD.id, "a", 5, void=True),), {}, "IRREVERSIBLE", (), False, False, Step.AGAIN),
        ((OldLaunch(OLD.id, "a", 5, void=True),), {}, "IRREVERSIBLE", ("a",), False, False, Step.AGAIN),
        ((OLD,), account(phase=events.Phase.ACCEPTED), "IRREVERSIBLE", (), False, False, Step.PLACED),
        ((OLD,), account(phase=events.Phase.RUNNING), "REDOABLE", (), False, True, Step.PLACED),
        ((OLD,), account(phase=events.Phase.OVER), "IRREVERSIBLE", (), False, False, Step.PLACED),
        ((OLD,), account(phase=events.Phase.QUEUED), "IRREVERSIBLE", (), False, True, Step.WRITE_OFF),
    ],
)
def test_recovery_step_of_a_job(launches, accounts, effect, lost, wait_over, expired, step):
    job = OpenJob("s", "k", JOB, 5.0, launches)
    listed = frozenset({"a"} - set(lost))
    assert next_step(job, Effect[effect], accounts, set(lost), wait_over, expired, listed) is step


# the journal


def take(key="k", job=JOB, expires_in=6.0):
    return effects.AcceptJob(1, key, job.id, "s", job, expires_in)


def launch(number=1, job=JOB):
    return effects.SendLaunch("a", number, job, 3.0, 5, True)


def test_written_records_are_read_back(tmp_path):
    journal = Journal(Store(tmp_path))
    journal.write(100.0, 1, [take(), launch(1), launch(2), effects.RecordNotRun(events.LaunchId(1, 1))])
    contents = journal.read(102.0, 6.0)
    assert contents.open == (
        OpenJob(
            "s",
            "k",
            JOB,
            4.0,
            (
                OldLaunch(events.LaunchId(1, 1), "a", 5, True, 2.0),
                OldLaunch(events.LaunchId(1, 2), "a", 5, False, 2.0),
            ),
            taken_ago=2.0,
        ),
    )
    journal.write(102.0, 1, [effects.Answer(1, "k", JOB.id, effects.Verdict.PLACED, "a", True)])
    (stored,) = journal.read(103.0, 6.0).answers
    assert (stored.session, stored.key, stored.job, stored.stage, stored.host) == (
        "s",
        "k",
        JOB,
        "PLACED",
        "a",
    )
    journal.write(104.0, 1, [effects.DeleteRecord(JOB.id)])
    assert journal.read(105.0, 6.0).open == journal.read(105.0, 6.0).answers == ()


@pytest.mark.parametrize("now, expires_in", [(103.0, 3.0), (10.0, 6.0), (99999.0, 0.0)])
def test_a_changed_clock_does_not_extend_the_wait_of_a_job(tmp_path, now, expires_in):
    # after a clock was set back by an hour, the job would otherwise wait for that long
    journal = Journal(Store(tmp_path))
    journal.write(100.0, 1, [take()])
    assert journal.read(now, 6.0).open[0].expires_in == expires_in


def test_the_effects_of_a_step_are_written_atomically(tmp_path):
    journal = Journal(Store(tmp_path))
    journal.write(100.0, 1, [launch(1)])
    with pytest.raises(StoreError, match="controller.db: journal cannot be written"):
        journal.write(100.0, 1, [take(), launch(1)])  # a duplicate launch number
    assert journal.read(100.0, 6.0).open == ()
    journal.write(100.0, 1, [take()])  # the journal can still be written


def test_a_full_disk_is_reported_after_the_reserve_is_used(tmp_path):
    journal = Journal(Store(tmp_path), max_bytes=1 << 18, reserve_bytes=1 << 16)
    assert journal.reserve_path.stat().st_size == 1 << 16
    number = 0
    while not journal.full:
        number += 1
        journal.write(1.0, 1, [launch(number)])
    assert not journal.reserve_path.exists() and journal.check_space()  # the reserve is used from here on
    with pytest.raises(
        JournalFullError, match="controller.db: journal cannot be written: database or disk is full"
    ):
        for again in range(20000):
            journal.write(1.0, 1, [launch(number + 1 + again)])
    assert again > 200 and journal.read(1.0, 6.0).open == ()


def test_a_journal_near_its_limit_counts_as_full_until_space_is_free(tmp_path):
    # full above nine tenths of the limit, usable again below eight: the state must not alternate
    journal = Journal(Store(tmp_path), max_bytes=1 << 18)
    jobs = 0
    while not journal.check_space():
        jobs += 20
        journal.write(1.0, 1, [take(f"k{n}", replace(JOB, id=f"c.1.{n}")) for n in range(jobs - 20, jobs)])
    assert 0.9 < journal.bytes_in_use() / (1 << 18) < 0.99
    journal.write(1.0, 1, [effects.DeleteRecord(f"c.1.{n}") for n in range(jobs // 20)])
    assert journal.check_space()
    journal.write(1.0, 1, [effects.DeleteRecord(f"c.1.{n}") for n in range(jobs // 2)])
    assert not journal.check_space()


def test_a_modified_record_is_rejected(tmp_path):
    journal = Journal(Store(tmp_path))
    journal.write(1.0, 1, [take()])
    journal.db.execute("UPDATE jobs SET job = x'00'")
    with pytest.raises(StoreError, match="checksum"):
        journal.read(1.0, 6.0)


@pytest.mark.parametrize("killed_at, max_ended_jobs", [(None, 100), (300.0, 100), (5000.0, 100), (300.0, 3)])
def test_answers_are_deleted_after_their_retention_time(tmp_path, monkeypatch, killed_at, max_ended_jobs):
    # deleted by timers of this life or the next; nothing else searches the journal
    store = Store(tmp_path)
    journal = Journal(store)
    d = EngineDriver(life=1)

    def persist(emitted, now):
        journal.write(now, d.engine.life, effects_to_persist(emitted))

    for i in range(5):
        emitted = d.step(1.0, events.Submitted(1, f"k{i}", "web", "", "v", 1.0, 1.0, 0.0, "s"))
        persist(emitted, 1.0)
        launch = d.of_type(effects.SendLaunch, emitted)[0]
        persist(d.step(1.1, events.Accepted(launch.host, events.LaunchId(1, launch.number))), 1.1)
    rows = "SELECT (SELECT count(*) FROM jobs) + (SELECT count(*) FROM launches)"
    started_at = 0.0
    monkeypatch.setattr(sessions, "MAX_ENDED_JOBS", max_ended_jobs)
    if killed_at:
        contents = journal.read(killed_at, 6.0)
        d, started_at = EngineDriver(life=2), killed_at
        d.engine.recover(contents.open, contents.answers)
    for now in (started_at + 1.0, started_at + 200.0, started_at + 700.0):
        persist(d.advance(now - started_at), now)
        if now == started_at + 1.0 and killed_at != 5000.0:
            assert journal.db.execute(rows).fetchone() == (2 * min(max_ended_jobs, 5),)
    assert journal.db.execute(rows).fetchone() == (0,)
    store.close()


# sessions at the engine


def submit(d, now, offering="web", client=1, key="k", session="s", cores=1.0):
    return d.step(now, events.Submitted(client, key, offering, "", "v", cores, 1.0, 0.0, session))


def test_a_sessions_job_is_persisted_before_it_is_visible():
    d = EngineDriver()
    emitted = submit(d, 1.0)
    assert [type(effect) for effect in effects_to_persist(emitted)] == [effects.AcceptJob, effects.SendLaunch]
    assert not effects_to_persist(d.submit(1.0, key="other"))  # without a session nothing is persisted


def test_the_same_key_joins_the_job_and_other_content_is_refused():
    d = EngineDriver()
    first = d.of_type(effects.AcceptJob, submit(d, 1.0))[0]
    again = submit(d, 1.1, client=2)
    assert [(type(effect), effect.client, getattr(effect, "job", "")) for effect in again] == [
        (effects.AcceptJob, 2, first.job)
    ]
    assert d.of_type(effects.DeclineJob, submit(d, 1.2, client=2, cores=2.0))
    sent = d.engine.by_job[first.job]
    answers = d.of_type(effects.Answer, d.step(1.3, events.Accepted(sent.host, sent.id)))
    assert [(answer.client, answer.persist) for answer in answers] == [(2, True)]


def test_a_client_that_reconnects_finds_its_answer_until_it_confirms_it():
    d = EngineDriver()
    job = d.of_type(effects.AcceptJob, submit(d, 1.0))[0].job
    assert not d.of_type(effects.SendStop, d.step(1.1, events.ClientDisconnected(1)))
    sent = d.engine.by_job[job]
    d.step(1.2, events.Accepted(sent.host, sent.id))
    answer = d.of_type(effects.Answer, submit(d, 2.0, client=7))[0]
    assert (answer.client, answer.verdict, answer.job) == (7, effects.Verdict.PLACED, job)
    assert d.step(2.1, events.AnswerSeen("s", "k")) == [effects.DeleteRecord(job)]
    # after the confirmation the key is free
    assert d.of_type(effects.AcceptJob, submit(d, 2.2, client=7))[0].job != job


def test_a_refusal_is_recorded_for_the_next_life():
    d = EngineDriver()
    job = d.of_type(effects.AcceptJob, submit(d, 1.0, "feed"))[0].job
    sent = d.engine.by_job[job]
    assert effects.RecordNotRun(sent.id) in d.step(1.1, events.Refused(sent.host, sent.id, api.Reason.CORES))


# a kill at each step


class CrashSimulation:
    """One client, one host, a journal on disk, and controllers that are killed, in simulated time.

    `launch_lost`: a launch that is sent at the moment of the kill does not arrive. `host_restarts`: the host
    restarts at each kill and loses its jobs.
    """

    def __init__(self, directory, offering, launch_lost, host_restarts, confirms):
        self.directory, self.offering, self.launch_lost, self.host_restarts = (
            directory,
            offering,
            launch_lost,
            host_restarts,
        )
        self.cluster = parse_cluster(CLUSTER.replace('confirms = "accepted"', f'confirms = "{confirms}"'))
        self.confirms = confirms
        self.now, self.life, self.steps, self.boot = 100.0, 0, 0, 1
        self.held: dict[events.LaunchId, api.Job] = {}
        self.runs = 0
        self.ran_at: list[float] = []
        self.answers: list[str] = []
        self.reached: list[str] = []

    def start_controller(self):
        self.store = Store(self.directory)
        self.life = self.store.next_life()
        self.journal = Journal(self.store)
        self.engine = Engine(self.cluster, "c", self.life, 7, self.now)
        contents = self.journal.read(self.now, 6.0)
        self.engine.recover(contents.open, contents.answers)
        listed = events.ListedHost("a", ("x",), "std", "z", 0, api.Mode.SERVING, self.boot, 99.0, 10.0, 20.0)
        held = tuple(events.HeldLaunch(i, job, events.Phase.RUNNING) for i, job in self.held.items())
        self.events = [
            events.HostListReceived((listed,), True, 1),
            events.LinkUp("a", 1, self.boot, 99.0, held),
        ]
        if not self.answers:
            self.events.append(events.Submitted(self.life, "k", self.offering, "", "v", 1.0, 1.0, 0.0, "s"))

    def run(self, kill_at=None):
        """Runs for the time of a job; False if the controller was killed at step `kill_at`."""
        ends_at = self.now + 8.0
        while self.now < ends_at:
            for event in self.events:
                self.engine.put(event)
            self.events = []
            emitted = self.engine.step(self.now)
            to_persist = effects_to_persist(emitted)
            actions = (
                [
                    (
                        "journal " + "+".join(type(effect).__name__ for effect in to_persist),
                        lambda to_persist=to_persist: self.journal.write(self.now, self.life, to_persist),
                    )
                ]
                if to_persist
                else []
            )
            actions += [
                (type(effect).__name__, lambda effect=effect: self.execute(effect)) for effect in emitted
            ]
            for name, action in actions:
                if self.steps == kill_at:
                    self.reached.append(name)
                    self.kill(name, action)
                    return False
                self.steps += 1
                action()
            if not self.events:
                self.now = min(ends_at, max(self.now + 0.001, self.engine.next_due()))
        return True

    def kill(self, name, action):
        if name == "SendLaunch" and not self.launch_lost:
            action()  # the bytes were sent, but the controller is killed before it knows
        self.store.close()
        self.events = []
        self.now += 0.5
        if self.host_restarts:
            self.boot += 1
            self.held.clear()

    def execute(self, effect):
        if isinstance(effect, effects.SendLaunch):
            self.events.append(events.LaunchesSent("a", 1, (effect.number,)))
            launch_id = events.LaunchId(self.life, effect.number)
            self.held[launch_id] = effect.job
            self.runs += 1
            self.ran_at.append(self.now)
            self.events.append(
                (events.Started if self.confirms == "running" else events.Accepted)("a", launch_id)
            )
        elif isinstance(effect, effects.Answer) and effect.client == self.life:
            self.answers.append(effect.verdict.value)
            self.events.append(events.AnswerSeen("s", "k"))


def run_with_kills(directory, offering, launch_lost, host_restarts, confirms, kill_steps):
    """The simulation after kills at the given steps; the last life is not killed."""
    simulation = CrashSimulation(directory, offering, launch_lost, host_restarts, confirms)
    for step in kill_steps:
        simulation.start_controller()
        if simulation.run(step):
            break
        simulation.steps = 0
    else:
        simulation.start_controller()
        simulation.run()
    simulation.store.close()
    return simulation


@pytest.mark.parametrize("confirms", ["accepted", "running"])
@pytest.mark.parametrize("offering", ["web", "mail", "feed"])
@pytest.mark.parametrize(
    "launch_lost, host_restarts", [(False, False), (True, False), (False, True), (True, True)]
)
def test_a_kill_at_any_step_leaves_one_answer(tmp_path, offering, launch_lost, host_restarts, confirms):
    reached, step = set(), 0
    while True:
        simulation = run_with_kills(
            tmp_path / str(step), offering, launch_lost, host_restarts, confirms, [step]
        )
        if not simulation.reached:
            break
        reached |= set(simulation.reached)
        details = (simulation.reached, simulation.answers, simulation.runs)
        assert len(simulation.answers) == 1, details
        if offering == "mail":  # repeated only within the window of the first launch, whichever life sent it
            assert all(at < simulation.ran_at[0] + 4.0 for at in simulation.ran_at), (
                details,
                simulation.ran_at,
            )
        elif offering == "feed":
            assert simulation.runs <= 1, details
        if offering != "web":
            assert simulation.runs == 0 or simulation.answers != ["rejected"], details
        if not host_restarts:
            # a job whose state can be determined is not written off
            assert simulation.answers == ["placed"], details
        step += 1
    assert {
        "journal AcceptJob+SendLaunch",
        "SendLaunch",
        "AcceptJob",
        "journal Answer",
        "Answer",
        "journal DeleteRecord",
    } <= reached


@pytest.mark.parametrize("offering", ["web", "feed"])
def test_a_second_kill_during_recovery_leaves_one_answer(tmp_path, offering):
    for first in range(8):
        for second in range(8):
            simulation = run_with_kills(
                tmp_path / f"{first}-{second}", offering, False, False, "accepted", [first, second]
            )
            assert simulation.answers == ["placed"], (simulation.reached, simulation.answers, simulation.runs)
            assert offering == "web" or simulation.runs == 1


def test_a_job_whose_host_stays_unreachable_is_answered_in_time(tmp_path):
    # the job must not wait for an inventory that never arrives
    for step in range(20):
        simulation = CrashSimulation(tmp_path / str(step), "feed", False, False, "accepted")
        simulation.start_controller()
        if not simulation.run(step) and simulation.runs:
            break  # killed when the launch was sent
    simulation.start_controller()
    simulation.events = [event for event in simulation.events if not isinstance(event, events.LinkUp)]
    simulation.run()
    assert simulation.answers == ["written off"] and simulation.runs == 1
