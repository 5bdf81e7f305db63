"""The load balance metrics, the baseline policies, and load balance runs in memory and over processes."""

import json
import math
import random

import anyio
import pytest

from linedeal.lab import balance_metrics, balance_run
from linedeal.lab.balance_day import TROUBLES, write_day
from linedeal.lab.balance_metrics import (
    Arrival,
    HostSample,
    herding,
    idle_beside_full,
    measure_day,
    spread,
)
from linedeal.lab.baselines import POLICIES
from linedeal.lab.rig import Rig, play_on_rig, sum_tallies


def samples(*shares, t=0.0, kind="std"):
    return [HostSample(t, f"h{n}", kind, "a", share, share / 2) for n, share in enumerate(shares)]


def arrivals(hosts, every=0.01, refused=False):
    return [Arrival(n * every, host, "std", "c1", "s", refused) for n, host in enumerate(hosts)]


def test_spread_of_known_loads():
    half = spread([1.0, 1.0, 0.0, 0.0])
    assert (half.mean, half.most_over_mean, half.variation, half.jain) == (0.5, 2.0, 1.0, 0.5)
    assert spread([0.0, 0.0]).most_over_mean == 1.0 and spread([]).jain == 1.0


def test_times_and_kinds_are_measured_separately():
    both = [*samples(0.2, 0.2), *samples(0.9, 0.9, kind="press"), *samples(0.0, 0.4, t=0.1)]
    found = balance_metrics.spread_over_time(both)
    assert [(t, kind, round(at.most_over_mean, 2)) for t, kind, at in found] == [
        (0.0, "press", 1.0),
        (0.0, "std", 1.0),
        (0.1, "std", 2.0),
    ]


def test_idle_host_counts_only_while_another_of_its_kind_refuses_launches():
    idle = [sample for t in (0.5, 1.4, 2.5) for sample in samples(0.0, 0.9, t=t)]
    full = [Arrival(0.4, "h1", "std", "c1", "s", True), Arrival(0.4, "h9", "press", "c1", "s", True)]
    assert idle_beside_full(idle, full) == pytest.approx(2 / 6)
    assert idle_beside_full(idle, [Arrival(0.4, "h9", "press", "c1", "s", True)]) == 0.0


def test_herding_index_is_about_one_for_independent_choice_and_large_for_herds():
    hosts = [f"h{n}" for n in range(20)]
    chance = random.Random(4)
    fair = herding(arrivals([chance.choice(hosts) for _ in range(20000)]), hosts, 1.0)
    assert 0.9 < fair.index < 1.1
    herd = herding(arrivals([hosts[n // 100 % 20] for n in range(20000)]), hosts, 1.0)
    assert herd.index == pytest.approx(100.0) and herd.burst == 100 and herd.by_chance < 20
    round_robin = herding(arrivals([hosts[n % 20] for n in range(20000)]), hosts, 1.0)
    assert round_robin.index < 0.05


def test_metrics_cover_only_the_given_period():
    day = [*samples(0.0, 1.0, t=0.0), *samples(0.5, 0.5, t=5.0)]
    (kind,) = measure_day(day, arrivals(["h0", "h1"] * 10, every=1.0), 1.0, since=4.0, until=9.0)
    assert (kind.most_over_mean, kind.launches, kind.hosts) == (1.0, 6, 2)
    assert balance_metrics.mean_and_error([2.0, 2.0]) == (2.0, 0.0) and math.isclose(
        balance_metrics.mean_and_error([1.0, 2.0, 3.0])[1], 1 / math.sqrt(3)
    )


@pytest.mark.parametrize("trouble", TROUBLES)
def test_day_file_of_every_trouble_can_be_parsed(tmp_path, trouble):
    day, _ = write_day(tmp_path, 6, 12, 20.0, trouble=trouble)
    assert len(day.orders) == (trouble != "calm")


def test_module_does_not_herd_with_a_late_host_list_while_choosing_the_emptiest_host_does(tmp_path):
    # The baseline shows what the module's measures against herding prevent: with it, all controllers choose
    # the host with the most free capacity in the same late list.
    found = {}
    for policy in ("linedeal", "most-room", "bound"):
        config = balance_run.RunConfig(16, 16, 24.0, 0.7, "late list", policy, 2)
        result = balance_run.run_in_memory(config, tmp_path / policy)
        (found[policy],) = balance_run.measure(result, config)
        assert sum(result.tally.asked.values()) > 150 and not result.breaches
    assert found["linedeal"].herding.index < 0.5 * found["most-room"].herding.index
    assert found["linedeal"].turned_away < 0.5 * found["most-room"].turned_away
    assert found["bound"].most_over_mean < 1.3 and found["bound"].jain > 0.98


def test_equal_runs_in_memory_give_equal_results(tmp_path):
    config = balance_run.RunConfig(4, 6, 8.0, 0.7, "calm", "two-choices", 3)
    one, two = (balance_run.run_in_memory(config, tmp_path / name) for name in "ab")
    assert one.arrivals == two.arrivals and one.samples == two.samples and one.value == two.value


def test_rig_plays_a_restart_of_all_controllers_and_leaves_no_process_behind(tmp_path):
    day, file = write_day(tmp_path, 6, 8, 14.0, room=0.5, trouble="restart")

    async def main():
        with anyio.fail_after(90):
            async with Rig(day, file, tmp_path / "day") as rig:
                result = await play_on_rig(rig)
                return result, list(rig.running.values())

    result, processes = anyio.run(main)
    assert len(processes) == 1 + 1 + 6 + 4 and all(process.returncode is not None for process in processes)
    asked, ends = sum(result.tally.asked.values()), result.tally.ends["web"]
    assert asked > 20 and sum(ends.values()) == asked and ends["placed"] > 0.8 * asked
    assert result.memory > 10 and {sample.host for sample in result.samples} == {
        spec.name for spec in day.hosts
    }
    assert len({arrival.controller for arrival in result.arrivals}) == 6
    sample_times = len({sample.t for sample in result.samples if 2 <= sample.t <= 12})
    assert sample_times > 80, "ten samples a second"


def test_killed_hosts_on_a_rig_are_not_sampled_and_partitioned_ones_get_no_launches(tmp_path):
    day, file = write_day(tmp_path, 3, 4, 12.0, room=0.3)

    async def main():
        with anyio.fail_after(90):
            async with Rig(day, file, tmp_path / "day") as rig:
                async with anyio.create_task_group() as tasks:
                    results = []

                    async def play():
                        results.append(await play_on_rig(rig))

                    tasks.start_soon(play)
                    await anyio.sleep(3.0)
                    await rig.kill("h01")
                    await rig.cut([("c1", "h02"), ("c2", "h02"), ("c3", "h02")], True)
                    await anyio.sleep(4.0)
                    await rig.start("h01")
                    await rig.cut([("c1", "h02"), ("c2", "h02"), ("c3", "h02")], False)
                return results[0]

    result = anyio.run(main)
    sampled_at = {
        host: sorted(sample.t for sample in result.samples if sample.host == host) for host in ("h01", "h03")
    }
    assert not [t for t in sampled_at["h01"] if 3.5 < t < 6.5] and [t for t in sampled_at["h01"] if t > 8.5]
    assert [t for t in sampled_at["h03"] if 3.5 < t < 6.5]
    assert not [arrival for arrival in result.arrivals if arrival.host == "h02" and 4.0 < arrival.t < 6.8]


def test_tallies_of_load_processes_add_up():
    from linedeal.lab.load import Tally

    one = Tally()
    one.record_delay("web", 0.1)
    part = {
        "asked": {"web": 2},
        "ends": {"web": {"placed": 2}},
        "delays": {"web": one.delays["web"].encode().decode()},
    }
    both = sum_tallies([json.loads(json.dumps(part))] * 2)
    assert both.asked == {"web": 4} and both.ends == {"web": {"placed": 4}}
    assert both.delays["web"].get_total_count() == 2 and both.delays["web"].get_value_at_percentile(50) == 100


def test_plot_of_two_policies_is_written(tmp_path):
    from linedeal.lab.load_plot import plot_load

    day = [sample for t in range(20) for sample in samples(0.1, t / 20, t=t / 10)]
    plot_load(tmp_path / "load.png", {"a": (day, arrivals(["h0"] * 5)), "b": (day, [])}, [(1.0, "burst")])
    assert (tmp_path / "load.png").stat().st_size > 5000


def test_baseline_policies_keep_the_launch_rules():
    assert set(POLICIES) >= {"linedeal", "random", "most-room", "two-choices", "three-choices", "own-subset"}
    for policy in POLICIES.values():
        assert policy.launch_allowed is POLICIES["linedeal"].launch_allowed
