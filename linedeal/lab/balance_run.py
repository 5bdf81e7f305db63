"""One play of the day of evenness, on either playground, and its measures as lines."""

from dataclasses import asdict, dataclass
from pathlib import Path

from linedeal import audit
from linedeal.lab import report
from linedeal.lab.baselines import IN_MEMORY_POLICIES
from linedeal.lab.balance_day import even_day
from linedeal.lab.balance_in_memory import played_in_memory
from linedeal.lab.balance_metrics import Evenness, by_traffic, of_day
from linedeal.lab.rig import Rig, RigDay, play_on_rig

LATE = 0.25  # seconds by which a list is old in the mean, beside the time between two
AFTER = 10.0  # seconds after a trouble within which the load should be even again


@dataclass(frozen=True, slots=True)
class RunConfig:
    controllers: int
    hosts: int
    seconds: float
    room: float
    trouble: str
    policy: str
    seed: int


def run_in_memory(plan: RunConfig, directory: Path) -> RigDay:
    day, _ = even_day(
        directory, plan.controllers, plan.hosts, plan.seconds, plan.room, plan.trouble, plan.seed
    )
    found = played_in_memory(day, IN_MEMORY_POLICIES[plan.policy])
    traffic = audit.reconstruct_traffic(found.entries)
    return RigDay(
        found.samples,
        found.arrivals,
        found.tally,
        value=report.earned_share(traffic, day, found.tally.asked),
        breaches=tuple(audit.find_breaches(traffic, day.cluster)),
    )


async def run_processes(plan: RunConfig, directory: Path, say) -> RigDay:
    day, file = even_day(
        directory, plan.controllers, plan.hosts, plan.seconds, plan.room, plan.trouble, plan.seed
    )
    async with Rig(day, file, directory / "day", plan.policy, say) as rig:
        return await play_on_rig(rig)


def measure(day: RigDay, plan: RunConfig) -> list[Evenness]:
    """Over the last third, when the fleet is filled and a trouble of the half is over."""
    return of_day(day.samples, day.arrivals, 1.0, plan.seconds * 2 / 3, plan.seconds)


def report_lines(name: str, day: RigDay, plan: RunConfig) -> list[str]:
    out = []
    for kind in measure(day, plan):
        out.append(
            f"{name:14} {kind.kind}: {kind.hosts} hosts at {kind.mean:.2f} of their room, most over mean "
            f"{kind.most_over_mean:.2f} (p95 {kind.most_over_mean_p95:.2f}), variation {kind.variation:.2f}, Jain {kind.jain:.3f}, "
            f"idle beside full {kind.idle_beside_full:.3f}, herding {kind.herding.index:.2f} (burst {kind.herding.burst}, by "
            f"chance {kind.herding.by_chance:.0f}), turned away {kind.turned_away:.3f} of {kind.launches}"
        )
    asked = sum(day.tally.asked.values())
    ends = {end: count for by_end in day.tally.ends.values() for end, count in by_end.items()}
    delays = "".join(
        f", answered p50 {found.get_value_at_percentile(50)} p99 {found.get_value_at_percentile(99)} ms"
        for found in day.tally.delays.values()
    )
    cost = (
        f"; controllers {day.processor:.2f} cores, {1000 * day.processor_a_job:.1f} ms a job, largest {day.memory:.0f} MB"
        if day.processor
        else ""
    )
    if day.value is not None:
        cost = f"; value served {day.value:.3f}, rules {'kept' if not day.breaches else f'broken {len(day.breaches)} times'}"
    busy, quiet = by_traffic(day.arrivals)
    cost += f"; turned away of busy controllers {busy:.3f}, of quiet ones {quiet:.3f}"
    return [
        *out,
        f"{'':14} {asked} jobs: {', '.join(f'{count} {end}' for end, count in ends.items())}{delays}{cost}",
    ]


def to_json_dict(day: RigDay) -> dict:
    kinds = of_day(day.samples, day.arrivals, 1.0)
    return {
        "kinds": [asdict(kind) for kind in kinds],
        "asked": day.tally.asked,
        "ends": day.tally.ends,
        "processor": day.processor,
        "memory": day.memory,
        "value": day.value,
        "breaches": len(day.breaches),
    }
