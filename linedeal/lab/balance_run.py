"""Runs the load balance day once, in memory or over processes, and reports its metrics."""

from collections.abc import Callable
from dataclasses import asdict, dataclass
from pathlib import Path

from linedeal import audit
from linedeal.lab import report
from linedeal.lab.balance_day import write_day
from linedeal.lab.balance_in_memory import sample_in_memory
from linedeal.lab.balance_metrics import BalanceMetrics, measure_day, refused_by_traffic
from linedeal.lab.baselines import IN_MEMORY_POLICIES
from linedeal.lab.rig import Rig, RigResult, play_on_rig

MEAN_LIST_AGE = 0.25  # seconds by which a host list is late on average, besides the interval between two
RECOVERY_LIMIT = 10.0  # seconds after a trouble within which the load should be balanced again


@dataclass(frozen=True, slots=True)
class RunConfig:
    """The parameters of a run.

    `seconds`: length of the load. `room`: requested cores as a share of what the hosts accept. `trouble`: a
    key of `balance_day.TROUBLES`. `policy`: a key of `baselines.IN_MEMORY_POLICIES`.
    """

    controllers: int
    hosts: int
    seconds: float
    room: float
    trouble: str
    policy: str
    seed: int


def run_in_memory(config: RunConfig, directory: Path) -> RigResult:
    """Runs the day in this process on a mock clock and audits its traffic.

    Equal configs give equal results.
    """
    day, _ = write_day(
        directory,
        config.controllers,
        config.hosts,
        config.seconds,
        config.room,
        config.trouble,
        config.seed,
    )
    result = sample_in_memory(day, IN_MEMORY_POLICIES[config.policy])
    traffic = audit.reconstruct_traffic(result.entries)
    return RigResult(
        result.samples,
        result.arrivals,
        result.tally,
        value=report.earned_share(traffic, day, result.tally.asked),
        breaches=tuple(audit.find_breaches(traffic, day.cluster)),
    )


async def run_processes(config: RunConfig, directory: Path, print_line: Callable[[str], None]) -> RigResult:
    """Runs the day in real time over processes and sockets.

    `print_line` is called with each line of progress. Raises ClusterProcessError if a process does not start.
    """
    day, file = write_day(
        directory,
        config.controllers,
        config.hosts,
        config.seconds,
        config.room,
        config.trouble,
        config.seed,
    )
    async with Rig(day, file, directory / "day", config.policy, print_line) as rig:
        return await play_on_rig(rig)


def measure(result: RigResult, config: RunConfig) -> list[BalanceMetrics]:
    """Returns the metrics of the last third, when the hosts are loaded and most troubles are over."""
    return measure_day(result.samples, result.arrivals, 1.0, config.seconds * 2 / 3, config.seconds)


def report_lines(name: str, result: RigResult, config: RunConfig) -> list[str]:
    """Returns the report: a line for each kind of host, and one for the jobs of the whole run."""
    lines = []
    for kind in measure(result, config):
        lines.append(
            f"{name:14} {kind.kind}: {kind.hosts} hosts at {kind.mean:.2f} of their capacity, most over mean "
            f"{kind.most_over_mean:.2f} (p95 {kind.most_over_mean_p95:.2f}), variation {kind.variation:.2f}, "
            f"Jain {kind.jain:.3f}, idle beside full {kind.idle_beside_full:.3f}, "
            f"herding {kind.herding.index:.2f} (burst {kind.herding.burst}, by "
            f"chance {kind.herding.by_chance:.0f}), turned away {kind.turned_away:.3f} of {kind.launches}"
        )
    asked = sum(result.tally.asked.values())
    ends = {end: count for by_end in result.tally.ends.values() for end, count in by_end.items()}
    delays = "".join(
        f", answered p50 {delay.get_value_at_percentile(50)} p99 {delay.get_value_at_percentile(99)} ms"
        for delay in result.tally.delays.values()
    )
    cost = (
        f"; controllers {result.processor:.2f} cores, {1000 * result.processor_a_job:.1f} ms a job, "
        f"largest {result.memory:.0f} MB"
        if result.processor
        else ""
    )
    if result.value is not None:
        cost = (
            f"; value served {result.value:.3f}, "
            f"rules {'kept' if not result.breaches else f'broken {len(result.breaches)} times'}"
        )
    busy, quiet = refused_by_traffic(result.arrivals)
    cost += f"; turned away of busy controllers {busy:.3f}, of quiet ones {quiet:.3f}"
    return [
        *lines,
        f"{'':14} {asked} jobs: {', '.join(f'{count} {end}' for end, count in ends.items())}{delays}{cost}",
    ]


def to_json_dict(result: RigResult) -> dict:
    """Returns the result for the JSON output. Unlike `measure`, its metrics cover the whole run."""
    kinds = measure_day(result.samples, result.arrivals, 1.0)
    return {
        "kinds": [asdict(kind) for kind in kinds],
        "asked": result.tally.asked,
        "ends": result.tally.ends,
        "processor": result.processor,
        "memory": result.memory,
        "value": result.value,
        "breaches": len(result.breaches),
    }
