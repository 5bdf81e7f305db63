"""What one turn may cost when hundreds of jobs lose their launches at once."""

from dataclasses import replace

from linedeal import interface as api
from linedeal.interface import Mode, Reason, Result
from linedeal.policy import MAX_HOST_EVALUATIONS, Controller
from tests.scenario_player import OFFERING, SETTINGS

HOSTS, JOBS = 400, 300


def test_a_lost_zones_launches_are_chosen_for_over_many_turns_not_in_one():
    settings = replace(
        SETTINGS,
        offerings={"web": replace(OFFERING, name="web", expiry=6.0)},
        controllers=16,
        kinds={"std": api.HostKind(16.0, 64.0)},
    )
    module, chosen, launched, timers = Controller(settings, 1, 0.0), [], [], []

    def act(actions):
        launched.extend(one for one in actions if type(one) is api.Launch)
        timers.extend(one for one in actions if type(one) is api.Timer and one.delay == 0.0)

    act(module.begin())
    entries = tuple(
        api.HostEntry(f"h{n}", "std", "abc"[n % 3], n // 8, Mode.SERVING, -1000.0, None, None)
        for n in range(HOSTS)
    )
    act(module.handle(0.0, api.HostsListed(entries, True)))
    for number in range(JOBS):  # a turn each: calm
        act(
            module.handle(
                0.1, api.JobArrived(api.Job(f"j{number}", "web", "", f"s{number % 9}", 0.1, 0.1, 6.0))
            )
        )
        act(module.schedule_waiting(0.1))
    assert len(launched) == JOBS
    true = module.choose_host
    module.choose_host = lambda track: chosen.append(track) or true(track)
    first, launched[:] = list(launched), []
    for one in first:  # all in one turn: the connections of their hosts broke
        act(
            module.handle(
                0.2, api.LaunchEnded(one.job, 1, one.host, Result.UNREACHABLE, Reason.UNTOLD, False)
            )
        )
    act(module.schedule_waiting(0.2))
    bound = MAX_HOST_EVALUATIONS // HOSTS
    assert len(chosen) <= 2 * bound, f"{len(chosen)} choices among {HOSTS} hosts in one turn"
    turns = 1
    while timers:
        timers.clear()
        before, turns = len(chosen), turns + 1
        act(module.schedule_waiting(0.2 + turns * 0.01))
        assert len(chosen) - before <= bound
    assert len(launched) == JOBS and turns >= JOBS // (2 * bound), "each is launched again, in turns to come"


def test_jobs_that_come_by_the_hundred_ask_hosts_no_oftener_than_choices_are_made():
    # who is asked next is found by looking at all hosts: for each of hundreds of jobs it made a turn long, and all answers late
    settings = replace(
        SETTINGS,
        offerings={"web": replace(OFFERING, name="web", expiry=6.0)},
        controllers=16,
        kinds={"std": api.HostKind(16.0, 64.0)},
        may_probe=True,
    )
    module = Controller(settings, 1, 0.0)
    module.begin()
    module.handle(
        0.0,
        api.HostsListed(
            tuple(
                api.HostEntry(f"h{n}", "std", "a", n // 8, Mode.SERVING, -1000.0, None, None)
                for n in range(HOSTS)
            ),
            True,
        ),
    )
    module.schedule_waiting(0.0)
    for turn in range(1, 6):
        asked = 0
        for number in range(JOBS):
            job = api.Job(f"j{turn}.{number}", "web", "", f"s{number % 9}", 0.1, 0.1, 6.0)
            asked += sum(type(one) is api.Probe for one in module.handle(turn * 0.01, api.JobArrived(job)))
        assert (turn == 1 or asked) and asked <= MAX_HOST_EVALUATIONS // HOSTS, (
            f"{asked} hosts asked in one turn"
        )
        module.schedule_waiting(turn * 0.01)
