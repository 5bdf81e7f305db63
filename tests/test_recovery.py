"""Jobs that outlive their controller: the journal, what recovery decides, and a kill at every step of a job's course."""

from dataclasses import replace

import pytest

from linedeal import interface as api
from linedeal.engine import Engine
from linedeal.engine import effects
from linedeal.engine import events
from linedeal.engine import sessions
from linedeal.engine.recovery import HostInventory, OldLaunch, OpenJob, Step, next_step
from linedeal.interface import Effect
from linedeal.settings.cluster import parse_cluster
from linedeal.state import Store, StoreError
from linedeal.state.journal import Journal, JournalFull, effects_to_persist
from tests.engine_driver import CLUSTER, EngineDriver

JOB = api.Job("c.1.1", "feed", "", "s", 1.0, 1.0, 9.0)
OLD = OldLaunch(events.LaunchId(1, 1), "a", 5)  # nothing is known of when it was sent
SENT = replace(OLD, sent_ago=2.0)


def account(boot=5, phase=None, forgot=False):
    held = {OLD.id: events.HeldLaunch(OLD.id, JOB, phase)} if phase else {}
    return {"a": HostInventory(boot, held, forgot)}


NEVER_RAN, MAY_HAVE = account(), account(boot=6)


@pytest.mark.parametrize(
    "launches, accounts, effect, lost, over, up, step",
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
def test_what_becomes_of_a_job(launches, accounts, effect, lost, over, up, step):
    job = OpenJob("s", "k", JOB, 5.0, launches)
    listed = frozenset({"a"} - set(lost))
    assert next_step(job, Effect[effect], accounts, set(lost), over, up, listed) is step


# the journal


def take(key="k", job=JOB, expires_in=6.0):
    return effects.AcceptJob(1, key, job.id, "s", job, expires_in)


def launch(number=1, job=JOB):
    return effects.SendLaunch("a", number, job, 3.0, 5, True)


def test_what_is_written_comes_back(tmp_path):
    journal = Journal(Store(tmp_path))
    journal.write(100.0, 1, [take(), launch(1), launch(2), effects.RecordNotRun(events.LaunchId(1, 1))])
    found = journal.read(102.0, 6.0)
    assert found.open == (
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
    (kept,) = journal.read(103.0, 6.0).answers
    assert (kept.session, kept.key, kept.job, kept.stage, kept.host) == ("s", "k", JOB, "PLACED", "a")
    journal.write(104.0, 1, [effects.DeleteRecord(JOB.id)])
    assert journal.read(105.0, 6.0).open == journal.read(105.0, 6.0).answers == ()


@pytest.mark.parametrize("now, left", [(103.0, 3.0), (10.0, 6.0), (99999.0, 0.0)])
def test_a_clock_that_jumped_makes_no_job_wait_longer_than_its_offering(tmp_path, now, left):
    # guards against a clock set back by an hour: the job would be waited for that long
    journal = Journal(Store(tmp_path))
    journal.write(100.0, 1, [take()])
    assert journal.read(now, 6.0).open[0].expires_in == left


def test_a_turn_is_kept_whole_or_not_at_all(tmp_path):
    journal = Journal(Store(tmp_path))
    journal.write(100.0, 1, [launch(1)])
    with pytest.raises(StoreError, match="controller.db: journal cannot be written"):
        journal.write(100.0, 1, [take(), launch(1)])  # the same launch number again
    assert journal.read(100.0, 6.0).open == ()
    journal.write(100.0, 1, [take()])  # and it goes on


def test_a_full_disk_is_a_plain_message(tmp_path):
    journal = Journal(Store(tmp_path), max_bytes=1 << 18, reserve_bytes=1 << 16)
    assert journal.spare_path.stat().st_size == 1 << 16
    number = 0
    while not journal.full:
        number += 1
        journal.write(1.0, 1, [launch(number)])
    assert not journal.spare_path.exists() and journal.look()  # the spare is what goes on being written to
    with pytest.raises(
        JournalFull, match="controller.db: journal cannot be written: database or disk is full"
    ):
        for again in range(20000):
            journal.write(1.0, 1, [launch(number + 1 + again)])
    assert again > 200 and journal.read(1.0, 6.0).open == ()


def test_a_journal_near_its_bound_counts_as_full_until_there_is_room(tmp_path):
    # guards against going to and fro at the bound: it is full past nine tenths, has room under eight
    journal = Journal(Store(tmp_path), max_bytes=1 << 18)
    jobs = 0
    while not journal.look():
        jobs += 20
        journal.write(1.0, 1, [take(f"k{n}", replace(JOB, id=f"c.1.{n}")) for n in range(jobs - 20, jobs)])
    assert 0.9 < journal.used() / (1 << 18) < 0.99
    journal.write(1.0, 1, [effects.DeleteRecord(f"c.1.{n}") for n in range(jobs // 20)])
    assert journal.look()
    journal.write(1.0, 1, [effects.DeleteRecord(f"c.1.{n}") for n in range(jobs // 2)])
    assert not journal.look()


def test_a_record_that_was_changed_is_not_believed(tmp_path):
    journal = Journal(Store(tmp_path))
    journal.write(1.0, 1, [take()])
    journal.db.execute("UPDATE jobs SET job = x'00'")
    with pytest.raises(StoreError, match="checksum"):
        journal.read(1.0, 6.0)


@pytest.mark.parametrize("killed_at, most", [(None, 100), (300.0, 100), (5000.0, 100), (300.0, 3)])
def test_answers_go_when_kept_long_enough(tmp_path, monkeypatch, killed_at, most):
    # by the timers of this life or of the next: nothing else looks through the journal
    store = Store(tmp_path)
    journal = Journal(store)
    d = EngineDriver(life=1)

    def step(emitted, now):
        journal.write(now, d.engine.life, effects_to_persist(emitted))

    for i in range(5):
        sent = d.step(1.0, events.Submitted(1, f"k{i}", "web", "", "v", 1.0, 1.0, 0.0, "s"))
        step(sent, 1.0)
        launch = d.of_type(effects.SendLaunch, sent)[0]
        step(d.step(1.1, events.Accepted(launch.host, events.LaunchId(1, launch.number))), 1.1)
    rows = "SELECT (SELECT count(*) FROM jobs) + (SELECT count(*) FROM launches)"
    begun = 0.0
    monkeypatch.setattr(sessions, "MAX_ENDED_JOBS", most)
    if killed_at:
        found = journal.read(killed_at, 6.0)
        d, begun = EngineDriver(life=2), killed_at
        d.engine.recover(found.open, found.answers)
    for now in (begun + 1.0, begun + 200.0, begun + 700.0):
        step(d.advance(now - begun), now)
        if now == begun + 1.0 and killed_at != 5000.0:
            assert journal.db.execute(rows).fetchone() == (2 * min(most, 5),)
    assert journal.db.execute(rows).fetchone() == (0,)
    store.close()


# sessions at the engine


def ask(d, now, offering="web", client=1, key="k", session="s", cores=1.0):
    return d.step(now, events.Submitted(client, key, offering, "", "v", cores, 1.0, 0.0, session))


def test_a_sessions_job_is_kept_before_it_shows():
    d = EngineDriver()
    emitted = ask(d, 1.0)
    assert [type(effect) for effect in effects_to_persist(emitted)] == [effects.AcceptJob, effects.SendLaunch]
    assert not effects_to_persist(d.submit(1.0, key="other"))  # without a session nothing is kept


def test_the_same_key_joins_and_other_content_is_a_fault():
    d = EngineDriver()
    first = d.of_type(effects.AcceptJob, ask(d, 1.0))[0]
    again = ask(d, 1.1, client=2)
    assert [(type(e), e.client, getattr(e, "job", "")) for e in again] == [(effects.AcceptJob, 2, first.job)]
    assert d.of_type(effects.DeclineJob, ask(d, 1.2, client=2, cores=2.0))
    sent = d.engine.by_job[first.job]
    answers = d.of_type(effects.Answer, d.step(1.3, events.Accepted(sent.host, sent.id)))
    assert [(answer.client, answer.persist) for answer in answers] == [(2, True)]


def test_a_client_that_leaves_finds_its_answer_until_it_has_seen_it():
    d = EngineDriver()
    job = d.of_type(effects.AcceptJob, ask(d, 1.0))[0].job
    assert not d.of_type(effects.SendStop, d.step(1.1, events.ClientDisconnected(1)))
    sent = d.engine.by_job[job]
    d.step(1.2, events.Accepted(sent.host, sent.id))
    answer = d.of_type(effects.Answer, ask(d, 2.0, client=7))[0]
    assert (answer.client, answer.verdict, answer.job) == (7, effects.Verdict.PLACED, job)
    assert d.step(2.1, events.AnswerSeen("s", "k")) == [effects.DeleteRecord(job)]
    assert d.of_type(effects.AcceptJob, ask(d, 2.2, client=7))[0].job != job  # confirmed: the key is free


def test_a_refusal_is_known_to_the_next_life():
    d = EngineDriver()
    job = d.of_type(effects.AcceptJob, ask(d, 1.0, "feed"))[0].job
    sent = d.engine.by_job[job]
    assert effects.RecordNotRun(sent.id) in d.step(1.1, events.Refused(sent.host, sent.id, api.Reason.CORES))


# a kill at every step


class World:
    """One client, one host, one journal on disk, and controllers that are killed. Time is passed by hand."""

    def __init__(self, directory, offering, lost, reborn, confirms):
        self.directory, self.offering, self.lost, self.reborn = directory, offering, lost, reborn
        self.cluster = parse_cluster(CLUSTER.replace('confirms = "accepted"', f'confirms = "{confirms}"'))
        self.confirms = confirms
        self.now, self.life, self.steps, self.boot = 100.0, 0, 0, 1
        self.held: dict[events.LaunchId, api.Job] = {}
        self.runs = 0
        self.ran_at: list[float] = []
        self.answers: list[str] = []
        self.reached: list[str] = []

    def begin(self):
        self.store = Store(self.directory)
        self.life = self.store.next_life()
        self.journal = Journal(self.store)
        self.engine = Engine(self.cluster, "c", self.life, 7, self.now)
        found = self.journal.read(self.now, 6.0)
        self.engine.recover(found.open, found.answers)
        listed = events.ListedHost("a", ("x",), "std", "z", 0, api.Mode.SERVING, self.boot, 99.0, 10.0, 20.0)
        held = tuple(events.HeldLaunch(i, job, events.Phase.RUNNING) for i, job in self.held.items())
        self.events = [
            events.HostListReceived((listed,), True, 1),
            events.LinkUp("a", 1, self.boot, 99.0, held),
        ]
        if not self.answers:
            self.events.append(events.Submitted(self.life, "k", self.offering, "", "v", 1.0, 1.0, 0.0, "s"))

    def run(self, crash_at=None):
        """Until nothing is owed; False when the step at which to be killed came."""
        ends = self.now + 8.0
        while self.now < ends:
            for event in self.events:
                self.engine.put(event)
            self.events = []
            emitted = self.engine.step(self.now)
            keep = effects_to_persist(emitted)
            units = (
                [
                    (
                        "journal " + "+".join(type(e).__name__ for e in keep),
                        lambda: self.journal.write(self.now, self.life, keep),
                    )
                ]
                if keep
                else []
            )
            units += [(type(effect).__name__, lambda effect=effect: self.carry(effect)) for effect in emitted]
            for name, unit in units:
                if self.steps == crash_at:
                    self.reached.append(name)
                    self.kill(name, unit)
                    return False
                self.steps += 1
                unit()
            if not self.events:
                self.now = min(ends, max(self.now + 0.001, self.engine.next_due()))
        return True

    def kill(self, name, unit):
        if name == "SendLaunch" and not self.lost:
            unit()  # the bytes had left; the controller dies before it hears of them
        self.store.close()
        self.events = []
        self.now += 0.5
        if self.reborn:
            self.boot += 1
            self.held.clear()

    def carry(self, effect):
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


def lives(directory, offering, lost, reborn, confirms, crashes):
    """The world after kills at the given steps, the last life left to finish."""
    world = World(directory, offering, lost, reborn, confirms)
    for crash in crashes:
        world.begin()
        if world.run(crash):
            break
        world.steps = 0
    else:
        world.begin()
        world.run()
    world.store.close()
    return world


@pytest.mark.parametrize("confirms", ["accepted", "running"])
@pytest.mark.parametrize("offering", ["web", "mail", "feed"])
@pytest.mark.parametrize("lost, reborn", [(False, False), (True, False), (False, True), (True, True)])
def test_a_kill_at_every_step_leaves_one_answer(tmp_path, offering, lost, reborn, confirms):
    reached, crash = set(), 0
    while True:
        world = lives(tmp_path / str(crash), offering, lost, reborn, confirms, [crash])
        if not world.reached:
            break
        reached |= set(world.reached)
        told = (world.reached, world.answers, world.runs)
        assert len(world.answers) == 1, told
        if offering == "mail":  # again only within the window of the first, whichever life sent that
            assert all(at < world.ran_at[0] + 4.0 for at in world.ran_at), (told, world.ran_at)
        elif offering == "feed":
            assert world.runs <= 1, told
        if offering != "web":
            assert world.runs == 0 or world.answers != ["rejected"], told
        if not reborn:
            assert world.answers == ["placed"], told  # nothing is given up that could be known
        crash += 1
    assert {
        "journal AcceptJob+SendLaunch",
        "SendLaunch",
        "AcceptJob",
        "journal Answer",
        "Answer",
        "journal DeleteRecord",
    } <= reached


@pytest.mark.parametrize("offering", ["web", "feed"])
def test_killed_again_during_recovery(tmp_path, offering):
    for first in range(8):
        for second in range(8):
            world = lives(tmp_path / f"{first}-{second}", offering, False, False, "accepted", [first, second])
            assert world.answers == ["placed"], (world.reached, world.answers, world.runs)
            assert offering == "web" or world.runs == 1


def test_a_job_whose_host_never_speaks_again_is_answered_in_time(tmp_path):
    # guards against a press-feed job that waits for an account which never comes
    for crash in range(20):
        world = World(tmp_path / str(crash), "feed", False, False, "accepted")
        world.begin()
        if not world.run(crash) and world.runs:
            break  # killed as the launch left
    world.begin()
    world.events = [event for event in world.events if not isinstance(event, events.LinkUp)]
    world.run()
    assert world.answers == ["written off"] and world.runs == 1
