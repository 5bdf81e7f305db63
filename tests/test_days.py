"""Whole days in memory on a mock clock.

Hard cases keep the rules of the audit, and the audit catches a controller that lacks one of its guards.
"""

import pytest

from linedeal import audit
from linedeal.controller import runtime
from linedeal.engine import Engine, effects, launches, recovery
from linedeal.engine.engine import InvariantError
from linedeal.engine.launches import State
from linedeal.interface import Mode, Result
from linedeal.lab.day import parse_day, read_day
from linedeal.lab.play import play_in_memory
from linedeal.policy import Controller
from linedeal.protocol import pb
from linedeal.state import Store

CLUSTER = """
cluster {
  controllers = 2
}
young {
  time = 6
  offers = 6
  span = 2
}
kind "std" {
  cores = 16
  memory = 64
}
offering "web" {
  expiry = 5
  effect = "redoable"
}
offering "mail" {
  expiry = 6
  effect = "labelled"
  group = "zone"
  window = 4
  spread = "host"
  most = 1
}
offering "feed" {
  expiry = 6
  effect = "irreversible"
}
"""
BASE_DAY = """
cluster cluster.hcl
seed 3
length 9
controllers 2 zones a b
habit setup=0.3 life=4
hosts 6 kind std zones a b cells 3
load web 4 services=6
load mail 2 services=6
load feed 2 services=3
"""


def day_of(tmp_path, *orders):
    (tmp_path / "cluster.hcl").write_text(CLUSTER)
    return parse_day(BASE_DAY + "\n".join(orders), "test.day", tmp_path)


def play(day, **options):
    tally, entries = play_in_memory(day, **options)
    traffic = audit.reconstruct_traffic(entries)
    return traffic, audit.find_breaches(traffic, day.cluster), tally


def offers(traffic, host, since=0.0, until=1e9):
    return [
        launch for launch in traffic.launches.values() if launch.host == host and since <= launch.t < until
    ]


def start_of(traffic, what, who):
    return next(t for t, w, name in traffic.marks if (w, name) == (what, who))


CASES = {
    "a host accepts and dies before its acceptance arrives": (
        ["at 2 slow h01,h02,h03 0.3 for 4", "at 3 kill h01,h02,h03 for 1"],
        lambda t: any(
            launch.link_end < launch.t + 0.35 and launch.accepted > 1e9 for launch in t.launches.values()
        ),
    ),
    "the acceptance arrives after the timeout": (
        ["at 2 slow hosts 1.6 for 5"],
        lambda t: any(
            launch.accepted > launch.t + launch.wait and launch.accepted < 1e9
            for launch in t.launches.values()
        ),
    ),
    "the same host is back within the timeout": (
        ["at 2 kill h01,h02,h03 for 0.2", "at 4 kill h04,h05,h06 for 0.2"],
        lambda t: len([b for h, b in t.booted if h == "h01"]) == 2,
    ),
    "links break under launches": (
        [
            "at 2 cut hosts from controllers for 1",
            "at 4 cut controllers from hosts one-way for 1",
            "at 6 cut hosts from controllers one-way for 1",
        ],
        lambda t: any(launch.held_back for launch in t.launches.values()),
    ),
    "a controller is paused and resumed": (
        ["at 2 stop c1 for 5"],
        lambda t: any(w == "continue" for _, w, _ in t.marks),
    ),
    "silent for jobs while probes are answered": (
        ["at 2 mute h01,h02 for 6"],
        lambda t: any(a[1] == pb.WRITTEN_OFF for j in t.jobs.values() for a in j.answers),
    ),
    "controllers restart amid a mass restart": (
        ["at 2 kill h01,h02,h03 for 1", "at 2.5 kill c1,c2 for 1"],
        lambda t: {launch.life for launch in t.launches.values()} == {1, 2} and t.recovered,
    ),
    "discovery is down while hosts drain": (
        ["at 1 discovery down for 4", "at 2 drain h01,h02 for 5"],
        lambda t: True,
    ),
    "hosts drain and evict their jobs": (
        ["habit drain=paced", "at 2 drain h01,h02 for 4", "at 4 deploy h04,h05 50"],
        lambda t: True,
    ),
    "hosts in slow start after growth and a burst": (
        ["at 1 burst 3 for 4", "at 2 grow 2 std a", "at 3 kill h02 for 1"],
        lambda t: True,
    ),
    "errors, refusals, lost programs, a surge and heavy jobs": (
        [
            "at 1 errors h01 web for 3",
            "at 1 refuse h02 x for 3",
            "at 2 flush hosts",
            "at 3 surge web-1 2 for 3",
            "at 4 heavy mail 4 for 2",
            "at 5 pace h03 0.2 for 3",
        ],
        lambda t: any(launch.outcome == pb.ERROR for launch in t.launches.values()),
    ),
    "the watch is lost and the list is late": (
        ["at 2 discovery lose", "at 3 discovery late 1 for 3", "at 4 drain h01"],
        lambda t: True,
    ),
}


@pytest.mark.parametrize("name", CASES)
def test_hard_cases_keep_the_rules(tmp_path, name):
    orders, occurred = CASES[name]
    traffic, breaches, tally = play(day_of(tmp_path, *orders))
    assert not breaches, [breach.text for breach in breaches[:3]]
    assert len(traffic.jobs) > 50
    assert occurred(traffic), "the case that the day is for did not occur"


def test_a_link_that_its_controller_ends_under_a_cut_counts_as_ended_then(tmp_path):
    # guards against an audit that counts a launch as outstanding because the host has not seen the link end
    day = day_of(tmp_path, "length 14", "at 2 cut zone:a from zone:b for 7")
    traffic, breaches, _ = play(day)
    assert not breaches, [breach.text for breach in breaches[:3]]
    assert any(launch.link_end < 9.9 and launch.held_back for launch in traffic.launches.values())


def test_a_launch_cancelled_by_its_controller_is_stopped_on_its_host(tmp_path):
    traffic, breaches, _ = play(day_of(tmp_path, "at 2 slow hosts 1.2 for 6"))
    stopped = [launch for launch in traffic.launches.values() if launch.stopped < 1e9]
    assert stopped and all(launch.ended < 1e9 or launch.refused < 1e9 for launch in stopped)


def test_the_same_day_gives_the_same_record(tmp_path):
    day = day_of(tmp_path, "at 2 kill h01 for 1", "at 3 kill c1 for 1", "at 4 cut zone:a from zone:b for 1")
    first, second = (play_in_memory(day)[1] for _ in range(2))
    assert first == second


# mutants: the audit has to catch a controller that lacks one of its guards


class UncheckedController(Controller):
    """Sends launches without the checks that keep the rules."""

    def needs_launch(self, tracked):
        return not tracked.ended and tracked.host is None

    def host_allowed(self, tracked, host):
        return host.entry.mode is not Mode.GONE


class DrainBlindController(UncheckedController):
    """Ignores drains as well."""

    def update_host(self, entry):
        from dataclasses import replace

        super().update_host(replace(entry, mode=Mode.SERVING))


def broken_rules(breaches):
    return {breach.rule for breach in breaches}


@pytest.mark.parametrize(
    "rule, orders, mutant",
    [
        (2, ["at 2 mute h01,h02,h03,h04 for 5"], UncheckedController),
        (3, ["at 2 drain h01,h02,h03,h04"], DrainBlindController),
        (4, ["at 2 kill h01,h02,h03,h04,h05 for 0.5", "at 2 burst 6 for 6"], UncheckedController),
        (5, ["at 2 drain h01,h02,h03,h04"], UncheckedController),
    ],
)
def test_a_controller_without_its_checks_is_caught(tmp_path, rule, orders, mutant):
    day = day_of(tmp_path, *orders)
    assert rule in broken_rules(play(day, policy=mutant)[1])
    assert rule not in broken_rules(play(day)[1])


def test_a_life_number_that_is_not_raised_is_caught(tmp_path, monkeypatch):
    day = day_of(tmp_path, "at 3 kill c1 for 1")
    assert not play(day)[1]
    monkeypatch.setattr(Store, "next_life", lambda self: 1)
    try:
        caught = bool(play(day)[1])
    except* InvariantError:  # hosts report jobs of its own life that it does not know, and it ends
        caught = True
    assert caught


class LateAcceptanceEngine(Engine):
    """Answers a job on a late acceptance."""

    def handle_late_acceptance(self, launch):
        taken = self.unanswered.get(launch.job.id)
        if taken:
            self.emitted.append(
                effects.Answer(taken.client, taken.key, launch.job.id, effects.Verdict.PLACED, launch.host)
            )


class SilentEngine(Engine):
    """Answers only jobs that are placed."""

    def answer(self, job_id, verdict, host="", launch=None):
        if verdict is effects.Verdict.PLACED:
            super().answer(job_id, verdict, host)


@pytest.mark.parametrize(
    "mutant, rule, orders",
    [
        (LateAcceptanceEngine, 1, ["at 2 slow hosts 1.2 for 6"]),
        (SilentEngine, 1, ["at 2 mute h01,h02 for 6"]),
    ],
)
def test_an_engine_without_its_guard_is_caught(tmp_path, monkeypatch, mutant, rule, orders):
    day = day_of(tmp_path, *orders)
    assert not play(day)[1]
    monkeypatch.setattr(runtime, "Engine", mutant)
    assert rule in broken_rules(play(day)[1])


def test_an_engine_that_takes_a_lost_link_as_proof_is_caught(tmp_path, monkeypatch):
    day = day_of(tmp_path, "at 1 slow hosts 1.4 for 8", "at 3 kill h01,h02 for 1", "at 4 kill h03,h04 for 1")
    assert not play(day)[1]
    monkeypatch.setattr(
        launches,
        "result_of_lost_link",
        lambda launch: Result.UNREACHABLE if launch.state is State.OUT else None,
    )
    assert 2 in broken_rules(play(day)[1])


def test_the_example_day_can_be_read():
    assert len(read_day("examples/bad-day.day").orders) > 15


SESSIONS = BASE_DAY.replace("services=6", "services=6 sessions").replace("services=3", "services=3 sessions")
KILLS = [
    "at 2 mute h01,h02 for 3",
    "at 3 kill controllers for 1",
    "at 6 kill c1 for 1",
    "at 6.4 kill h03 for 1",
]


def session_day(tmp_path, *orders):
    (tmp_path / "cluster.hcl").write_text(CLUSTER)
    return parse_day(SESSIONS + "\n".join(orders), "test.day", tmp_path)


def test_jobs_of_sessions_are_answered_over_kills(tmp_path):
    traffic, breaches, tally = play(session_day(tmp_path, *KILLS))
    assert not breaches
    assert (
        all(job.session and (job.answers or job.status_verdicts) for job in traffic.jobs.values())
        and len(traffic.jobs) > 50
    )
    assert not any(end in ("no answer", "unknown") for ends in tally.ends.values() for end in ends)


class JournallessRuntime(runtime.Runtime):
    """Does not read its journal at the start."""

    def recover(self):
        self.engine.recover((), ())


def test_a_controller_that_does_not_read_its_journal_is_caught(tmp_path):
    from linedeal.lab.inprocess import PausableRuntime

    class PausableJournallessRuntime(JournallessRuntime, PausableRuntime):
        pass

    assert 1 in broken_rules(play(session_day(tmp_path, *KILLS), runtime=PausableJournallessRuntime)[1])


def test_a_recovery_that_takes_silence_as_proof_is_caught(tmp_path, monkeypatch):
    # guards against a second effect: a launch of an earlier life is outstanding until its host has reported
    day = session_day(
        tmp_path,
        "at 1 slow hosts 1.5 for 8",
        "at 3 kill controllers for 0.2",
        "at 3 kill hosts for 4",
        "at 5 kill controllers for 0.2",
    )
    assert not play(day)[1]
    monkeypatch.setattr(recovery, "may_have_run", lambda launch, accounts: False)
    assert 2 in broken_rules(play(day)[1])
