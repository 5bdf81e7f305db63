"""The table at the end of a day, and the value that it earned."""

from dataclasses import dataclass

from hdrh.histogram import HdrHistogram

from linedeal.audit import RULES, Breach, Traffic
from linedeal.audit.duties import CLAIMS, DutyBreach, campaign_outcomes
from linedeal.audit.traffic import NEVER, ObservedLaunch
from linedeal.duties.campaign import describe_progress
from linedeal.lab.day import Day
from linedeal.protocol import pb

SHOWN = 3  # breaches of a rule that are shown
DUE = 0.25  # share of a job's expiry within which a start counts as punctual
START = 4.0  # seconds of full service that a punctual start is worth


@dataclass(frozen=True, slots=True)
class Row:
    """Of one offering. Delays are seconds from taken to started."""

    offering: str
    taken: int
    placed: int
    rejected: int
    written_off: int
    unanswered: int
    launches: float
    delay_median: float
    delay_p99: float


def summarize_offerings(traffic: Traffic) -> list[Row]:
    found = []
    for offering in sorted({job.offering for job in traffic.jobs.values()}):
        jobs = [job for job in traffic.jobs.values() if job.offering == offering]
        verdicts = [job.reported_verdicts[0][1] if job.reported_verdicts else None for job in jobs]
        delays = HdrHistogram(1, 600_000, 3)
        for job in jobs:
            started = min((launch.started for launch in job.launches), default=NEVER)
            if started < NEVER:
                delays.record_value(max(1, round((started - job.taken) * 1000)))
        found.append(
            Row(
                offering,
                len(jobs),
                verdicts.count(pb.PLACED),
                verdicts.count(pb.REJECTED),
                verdicts.count(pb.WRITTEN_OFF),
                verdicts.count(None),
                sum(len(job.launches) for job in jobs) / len(jobs),
                delays.get_value_at_percentile(50) / 1000,
                delays.get_value_at_percentile(99) / 1000,
            )
        )
    return found


def earned_share(traffic: Traffic, day: Day, asked: dict[str, int]) -> float:
    """Value earned over value asked for.

    A job is worth its offering's value for each core and second in which it is served in full, and START seconds more
    if it starts within DUE of its expiry. How it is served follows from the cores that all jobs of its host were told
    to use, by the offering's calm and fade. Asked for is what all jobs would earn, at the mean run and size seen.
    """
    offerings = day.cluster.settings.offerings
    seconds, served = run_seconds(traffic, day)
    launches = [launch for launch in traffic.launches.values() if launch in served]
    if not launches:
        return 0.0
    value = sum(
        served[launch] * launch.job.cores * offerings[launch.job.offering].value for launch in launches
    )
    sizes: dict[str, list[float]] = {}
    for job in traffic.jobs.values():
        sizes.setdefault(job.offering, []).append(job.cores)
        started = min((launch.started for launch in job.launches), default=NEVER)
        if started <= job.taken + DUE * offerings[job.offering].expiry:
            value += START * job.cores * offerings[job.offering].value
    mean = sum(seconds.values()) / len(seconds)
    whole = sum(
        offerings[name].value * count * (mean + START) * sum(sizes[name]) / len(sizes[name])
        for name, count in asked.items()
        if name in sizes
    )
    return min(1.0, value / whole)


def run_seconds(
    traffic: Traffic, day: Day
) -> tuple[dict[ObservedLaunch, float], dict[ObservedLaunch, float]]:
    """Of each launch that started: the seconds that it ran, and those in which it was served, in parts."""
    settings = day.cluster.settings
    kinds = {host.name: settings.kinds[host.kind] for host in day.hosts}
    seconds, served = {}, {}
    by_host: dict[str, list] = {}
    for number, launch in enumerate(traffic.launches.values()):
        if launch.started < NEVER and launch.host in kinds:
            over = min(launch.ended, launch.lost, traffic.end)
            seconds[launch], served[launch] = over - launch.started, 0.0
            for t, cores in launch.usage_reports:
                by_host.setdefault(launch.host, []).append((t, number, launch, cores))
            by_host.setdefault(launch.host, []).append((over, number, launch, None))
    for host, changes in by_host.items():
        running: dict[ObservedLaunch, float] = {}
        last = 0.0
        for t, _, launch, cores in sorted(changes, key=lambda change: change[:2]):
            busy = sum(running.values()) / kinds[host].cores
            for other in running:
                offering = settings.offerings[other.job.offering]
                over = busy - offering.degradation_start
                part = (
                    1.0
                    if over <= 0
                    else max(0.0, 1.0 - over / offering.degradation_span)
                    if offering.degradation_span
                    else 0.0
                )
                served[other] += part * (t - last)
            last = t
            if cores is None:
                running.pop(launch, None)
            elif launch.ended > t and launch.lost > t:
                running[launch] = cores
    return seconds, served


def report_lines(traffic: Traffic, breaches: list[Breach], of_duties: list[DutyBreach] = ()) -> list[str]:
    """The closing table, and each rule kept or broken; claims of duties where any was at work."""
    form = "{:<16}{:>7}{:>8}{:>10}{:>13}{:>12}{:>10}{:>12}{:>10}"
    out = [
        form.format(
            "offering",
            "taken",
            "placed",
            "rejected",
            "written off",
            "unanswered",
            "launches",
            "start med s",
            "p99 s",
        )
    ]
    for row in summarize_offerings(traffic):
        out.append(
            form.format(
                row.offering,
                row.taken,
                row.placed,
                row.rejected,
                row.written_off,
                row.unanswered,
                f"{row.launches:.2f}",
                f"{row.delay_median:.3f}",
                f"{row.delay_p99:.3f}",
            )
        )
    out.append("")
    for rule, text in RULES.items():
        out += verdict(f"rule {rule}", text, [breach for breach in breaches if breach.rule == rule])
    if traffic.orders or traffic.changes:
        for claim, text in CLAIMS.items():
            out += verdict(
                f"duties, {claim}", text, [breach for breach in of_duties if breach.claim == claim]
            )
        out += [
            f"campaign {describe_progress(plan, progress)}" for plan, progress in campaign_outcomes(traffic)
        ]
    return out


def verdict(name: str, text: str, broken: list) -> list[str]:
    return [
        f"{name} {'BROKEN' if broken else 'kept'}: {text}" + (f" ({len(broken)} times)" if broken else ""),
        *(f"    {breach.t:.3f}  {breach.text}" for breach in broken[:SHOWN]),
    ]
