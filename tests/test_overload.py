"""Bounds on the work of one scheduling pass when hundreds of jobs arrive, or lose their launches, at once."""

from dataclasses import replace

from linedeal import interface as api
from linedeal.interface import Mode, Reason, Result
from linedeal.policy import MAX_HOST_EVALUATIONS, Controller
from tests.scenario_player import OFFERING, SETTINGS

HOSTS, JOBS = 400, 300


def test_hosts_for_the_jobs_of_a_lost_zone_are_chosen_over_many_passes():
    settings = replace(
        SETTINGS,
        offerings={"web": replace(OFFERING, name="web", expiry=6.0)},
        controllers=16,
        kinds={"std": api.HostKind(16.0, 64.0)},
    )
    module, chosen, launched, timers = Controller(settings, 1, 0.0), [], [], []

    def record(actions):
        launched.extend(action for action in actions if type(action) is api.Launch)
        timers.extend(action for action in actions if type(action) is api.Timer and action.delay == 0.0)

    record(module.begin())
    entries = tuple(
        api.HostEntry(f"h{n}", "std", "abc"[n % 3], n // 8, Mode.SERVING, -1000.0, None, None)
        for n in range(HOSTS)
    )
    record(module.handle(0.0, api.HostsListed(entries, True)))
    for number in range(JOBS):  # each followed by a pass of its own
        record(
            module.handle(
                0.1, api.JobArrived(api.Job(f"j{number}", "web", "", f"s{number % 9}", 0.1, 0.1, 6.0))
            )
        )
        record(module.schedule_waiting(0.1))
    assert len(launched) == JOBS
    choose_host = module.choose_host
    module.choose_host = lambda tracked: chosen.append(tracked) or choose_host(tracked)
    first, launched[:] = list(launched), []
    for launch in first:  # all before the same pass, as when the connections to their hosts break
        record(
            module.handle(
                0.2, api.LaunchEnded(launch.job, 1, launch.host, Result.UNREACHABLE, Reason.UNTOLD, False)
            )
        )
    record(module.schedule_waiting(0.2))
    bound = MAX_HOST_EVALUATIONS // HOSTS
    assert len(chosen) <= 2 * bound, f"{len(chosen)} choices among {HOSTS} hosts in one pass"
    passes = 1
    while timers:
        timers.clear()
        before, passes = len(chosen), passes + 1
        record(module.schedule_waiting(0.2 + passes * 0.01))
        assert len(chosen) - before <= bound
    assert len(launched) == JOBS and passes >= JOBS // (2 * bound), "each is launched again, in later passes"


def test_a_burst_of_jobs_causes_no_more_probes_than_choices():
    # the host to probe is found by examining all hosts; done for each of hundreds of jobs it delayed all
    # answers
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
    for step in range(1, 6):
        probes = 0
        for number in range(JOBS):
            job = api.Job(f"j{step}.{number}", "web", "", f"s{number % 9}", 0.1, 0.1, 6.0)
            probes += sum(
                type(action) is api.Probe for action in module.handle(step * 0.01, api.JobArrived(job))
            )
        assert (step == 1 or probes) and probes <= MAX_HOST_EVALUATIONS // HOSTS, (
            f"{probes} probes in one step"
        )
        module.schedule_waiting(step * 0.01)
