"""Measures of evenness on constructed data, base lines, and the rig: a small day in memory and one over processes."""

import json
import math
import random

import anyio
import pytest

from linedeal.lab import balance_metrics, balance_run
from linedeal.lab.baselines import POLICIES
from linedeal.lab.balance_day import TROUBLES, even_day
from linedeal.lab.balance_metrics import Arrival, HostAt, herding, idle_beside_full, of_day, spread
from linedeal.lab.rig import Rig, added, play_on_rig


def samples(*shares, t=0.0, kind="std"):
    return [HostAt(t, f"h{n}", kind, "a", share, share / 2) for n, share in enumerate(shares)]


def arrivals(hosts, every=0.01, refused=False):
    return [Arrival(n * every, host, "std", "c1", "s", refused) for n, host in enumerate(hosts)]


def test_spreads_of_known_shares():
    half = spread([1.0, 1.0, 0.0, 0.0])
    assert (half.mean, half.most_over_mean, half.variation, half.jain) == (0.5, 2.0, 1.0, 0.5)
    assert spread([0.0, 0.0]).most_over_mean == 1.0 and spread([]).jain == 1.0


def test_moments_and_kinds_are_kept_apart():
    both = [*samples(0.2, 0.2), *samples(0.9, 0.9, kind="press"), *samples(0.0, 0.4, t=0.1)]
    found = balance_metrics.over_time(both)
    assert [(t, kind, round(at.most_over_mean, 2)) for t, kind, at in found] == [
        (0.0, "press", 1.0),
        (0.0, "std", 1.0),
        (0.1, "std", 2.0),
    ]


def test_an_idle_host_counts_only_while_another_of_its_kind_refuses():
    idle = [one for t in (0.5, 1.4, 2.5) for one in samples(0.0, 0.9, t=t)]
    full = [Arrival(0.4, "h1", "std", "c1", "s", True), Arrival(0.4, "h9", "press", "c1", "s", True)]
    assert idle_beside_full(idle, full) == pytest.approx(2 / 6)
    assert idle_beside_full(idle, [Arrival(0.4, "h9", "press", "c1", "s", True)]) == 0.0


def test_independent_choice_has_an_index_of_about_one_and_a_herd_a_large_one():
    hosts = [f"h{n}" for n in range(20)]
    chance = random.Random(4)
    fair = herding(arrivals([chance.choice(hosts) for _ in range(20000)]), hosts, 1.0)
    assert 0.9 < fair.index < 1.1
    herd = herding(arrivals([hosts[n // 100 % 20] for n in range(20000)]), hosts, 1.0)
    assert herd.index == pytest.approx(100.0) and herd.burst == 100 and herd.by_chance < 20
    turns = herding(arrivals([hosts[n % 20] for n in range(20000)]), hosts, 1.0)
    assert turns.index < 0.05


def test_a_days_measures_leave_out_what_lies_beside_its_span():
    day = [*samples(0.0, 1.0, t=0.0), *samples(0.5, 0.5, t=5.0)]
    (kind,) = of_day(day, arrivals(["h0", "h1"] * 10, every=1.0), 1.0, since=4.0, until=9.0)
    assert (kind.most_over_mean, kind.launches, kind.hosts) == (1.0, 6, 2)
    assert balance_metrics.noise([2.0, 2.0]) == (2.0, 0.0) and math.isclose(
        balance_metrics.noise([1.0, 2.0, 3.0])[1], 1 / math.sqrt(3)
    )


@pytest.mark.parametrize("trouble", TROUBLES)
def test_every_trouble_is_a_day_that_can_be_read(tmp_path, trouble):
    day, _ = even_day(tmp_path, 6, 12, 20.0, trouble=trouble)
    assert len(day.orders) == (trouble != "calm")


def test_many_who_take_the_emptiest_by_a_late_list_herd_and_the_module_does_not(tmp_path):
    """The guard against herding taken out: all controllers take the host with most room by the list."""
    found = {}
    for policy in ("linedeal", "most-room", "bound"):
        plan = balance_run.RunConfig(16, 16, 24.0, 0.7, "late list", policy, 2)
        day = balance_run.run_in_memory(plan, tmp_path / policy)
        (found[policy],) = balance_run.measure(day, plan)
        assert sum(day.tally.asked.values()) > 150 and not day.breaches
    assert found["linedeal"].herding.index < 0.5 * found["most-room"].herding.index
    assert found["linedeal"].turned_away < 0.5 * found["most-room"].turned_away
    assert found["bound"].most_over_mean < 1.3 and found["bound"].jain > 0.98


def test_the_same_day_in_memory_gives_the_same_figures(tmp_path):
    plan = balance_run.RunConfig(4, 6, 8.0, 0.7, "calm", "two-choices", 3)
    one, two = (balance_run.run_in_memory(plan, tmp_path / name) for name in "ab")
    assert one.arrivals == two.arrivals and one.samples == two.samples and one.value == two.value


def test_a_rig_of_processes_plays_a_restart_of_all_controllers_and_leaves_none_behind(tmp_path):
    day, file = even_day(tmp_path, 6, 8, 14.0, room=0.5, trouble="restart")

    async def main():
        with anyio.fail_after(90):
            async with Rig(day, file, tmp_path / "day") as rig:
                found = await play_on_rig(rig)
                return found, list(rig.running.values())

    found, processes = anyio.run(main)
    assert len(processes) == 1 + 1 + 6 + 4 and all(process.returncode is not None for process in processes)
    asked, ends = sum(found.tally.asked.values()), found.tally.ends["web"]
    assert asked > 20 and sum(ends.values()) == asked and ends["placed"] > 0.8 * asked
    assert found.memory > 10 and {sample.host for sample in found.samples} == {
        spec.name for spec in day.hosts
    }
    assert len({arrival.controller for arrival in found.arrivals}) == 6
    rate = len({sample.t for sample in found.samples if 2 <= sample.t <= 12})
    assert rate > 80, "ten samples a second"


def test_hosts_that_are_killed_cut_or_stopped_on_a_rig_are_seen_so(tmp_path):
    day, file = even_day(tmp_path, 3, 4, 12.0, room=0.3)

    async def main():
        with anyio.fail_after(90):
            async with Rig(day, file, tmp_path / "day") as rig:
                async with anyio.create_task_group() as tasks:
                    results = []

                    async def played():
                        results.append(await play_on_rig(rig))

                    tasks.start_soon(played)
                    await anyio.sleep(3.0)
                    await rig.kill("h01")
                    await rig.cut([("c1", "h02"), ("c2", "h02"), ("c3", "h02")], True)
                    await anyio.sleep(4.0)
                    await rig.start("h01")
                    await rig.cut([("c1", "h02"), ("c2", "h02"), ("c3", "h02")], False)
                return results[0]

    found = anyio.run(main)
    at = {
        host: sorted(sample.t for sample in found.samples if sample.host == host) for host in ("h01", "h03")
    }
    assert not [t for t in at["h01"] if 3.5 < t < 6.5] and [t for t in at["h01"] if t > 8.5]
    assert [t for t in at["h03"] if 3.5 < t < 6.5]
    assert not [arrival for arrival in found.arrivals if arrival.host == "h02" and 4.0 < arrival.t < 6.8]


def test_parts_of_the_load_add_up():
    from linedeal.lab.load import Tally

    one = Tally()
    one.record_delay("web", 0.1)
    part = {
        "asked": {"web": 2},
        "ends": {"web": {"placed": 2}},
        "delays": {"web": one.delays["web"].encode().decode()},
    }
    both = added([json.loads(json.dumps(part))] * 2)
    assert both.asked == {"web": 4} and both.ends == {"web": {"placed": 4}}
    assert both.delays["web"].get_total_count() == 2 and both.delays["web"].get_value_at_percentile(50) == 100


def test_a_plot_of_two_policies_is_written(tmp_path):
    from linedeal.lab.load_plot import plot_load

    day = [one for t in range(20) for one in samples(0.1, t / 20, t=t / 10)]
    plot_load(tmp_path / "load.png", {"a": (day, arrivals(["h0"] * 5)), "b": (day, [])}, [(1.0, "burst")])
    assert (tmp_path / "load.png").stat().st_size > 5000


def test_base_lines_keep_the_gate():
    assert set(POLICIES) >= {"linedeal", "random", "most-room", "two-choices", "three-choices", "own-subset"}
    for policy in POLICIES.values():
        assert policy.launch_allowed is POLICIES["linedeal"].launch_allowed
