"""The report of a day: a table of its offerings, the rules kept or broken, and the value earned."""

from dataclasses import dataclass

from hdrh.histogram import HdrHistogram

from linedeal.audit import RULES, Breach, Traffic
from linedeal.audit.duties import CLAIMS, DutyBreach, campaign_outcomes
from linedeal.audit.traffic import NEVER, ObservedLaunch
from linedeal.duties.campaign import describe_progress
from linedeal.lab.day import Day
from linedeal.protocol import pb

MAX_SHOWN = 3  # breaches shown for each rule
PUNCTUAL_SHARE = 0.25  # share of a job's expiry within which a start counts as punctual
START_BONUS = 4.0  # value of a punctual start, as seconds of full service


@dataclass(frozen=True, slots=True)
class OfferingSummary:
    """One offering's line of the table. Delays are seconds from the acceptance of a job to its start."""

    offering: str
    taken: int
    placed: int
    rejected: int
    written_off: int
    unanswered: int
    launches: float  # mean number for a job
    delay_median: float
    delay_p99: float


def summarize_offerings(traffic: Traffic) -> list[OfferingSummary]:
    """Summarizes the jobs of each offering, sorted by its name."""
    summaries = []
    for offering in sorted({job.offering for job in traffic.jobs.values()}):
        jobs = [job for job in traffic.jobs.values() if job.offering == offering]
        verdicts = [job.reported_verdicts[0][1] if job.reported_verdicts else None for job in jobs]
        delays = HdrHistogram(1, 600_000, 3)
        for job in jobs:
            started = min((launch.started for launch in job.launches), default=NEVER)
            if started < NEVER:
                delays.record_value(max(1, round((started - job.taken) * 1000)))
        summaries.append(
            OfferingSummary(
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
    return summaries


def earned_share(traffic: Traffic, day: Day, submitted: dict[str, int]) -> float:
    """Ratio of the value earned to the value requested, at most 1.

    A job earns its offering's value for each core and second in which it is served in full, and as much as
    for START_BONUS more seconds if it starts within PUNCTUAL_SHARE of its expiry. The degree of service
    follows from the cores in use on its host, as reported for all its jobs, by the offering's `calm` and
    `fade`. The value requested is what all jobs would earn, at the mean run time and size observed.
    `submitted`: number of jobs by offering.
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
        if started <= job.taken + PUNCTUAL_SHARE * offerings[job.offering].expiry:
            value += START_BONUS * job.cores * offerings[job.offering].value
    mean_seconds = sum(seconds.values()) / len(seconds)
    requested = sum(
        offerings[name].value * count * (mean_seconds + START_BONUS) * sum(sizes[name]) / len(sizes[name])
        for name, count in submitted.items()
        if name in sizes
    )
    return min(1.0, value / requested)


def run_seconds(
    traffic: Traffic, day: Day
) -> tuple[dict[ObservedLaunch, float], dict[ObservedLaunch, float]]:
    """For each launch that started: the seconds it ran, and those weighted by the degree of its service."""
    settings = day.cluster.settings
    kinds = {host.name: settings.kinds[host.kind] for host in day.hosts}
    seconds, served = {}, {}
    by_host: dict[str, list] = {}
    for number, launch in enumerate(traffic.launches.values()):
        if launch.started < NEVER and launch.host in kinds:
            ended_at = min(launch.ended, launch.lost, traffic.end)
            seconds[launch], served[launch] = ended_at - launch.started, 0.0
            for t, cores in launch.usage_reports:
                by_host.setdefault(launch.host, []).append((t, number, launch, cores))
            by_host.setdefault(launch.host, []).append((ended_at, number, launch, None))
    for host, changes in by_host.items():
        running: dict[ObservedLaunch, float] = {}
        last = 0.0
        for t, _, launch, cores in sorted(changes, key=lambda change: change[:2]):
            load = sum(running.values()) / kinds[host].cores
            for other in running:
                offering = settings.offerings[other.job.offering]
                overload = load - offering.degradation_start
                degree = (
                    1.0
                    if overload <= 0
                    else max(0.0, 1.0 - overload / offering.degradation_span)
                    if offering.degradation_span
                    else 0.0
                )
                served[other] += degree * (t - last)
            last = t
            if cores is None:
                running.pop(launch, None)
            elif launch.ended > t and launch.lost > t:
                running[launch] = cores
    return seconds, served


def report_lines(traffic: Traffic, breaches: list[Breach], of_duties: list[DutyBreach] = ()) -> list[str]:
    """The table of offerings and each rule, kept or broken; the claims of duties if any was active."""
    row_format = "{:<16}{:>7}{:>8}{:>10}{:>13}{:>12}{:>10}{:>12}{:>10}"
    report = [
        row_format.format(
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
        report.append(
            row_format.format(
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
    report.append("")
    for rule, text in RULES.items():
        report += rule_lines(f"rule {rule}", text, [breach for breach in breaches if breach.rule == rule])
    if traffic.orders or traffic.changes:
        for claim, text in CLAIMS.items():
            report += rule_lines(
                f"duties, {claim}", text, [breach for breach in of_duties if breach.claim == claim]
            )
        report += [
            f"campaign {describe_progress(plan, progress)}" for plan, progress in campaign_outcomes(traffic)
        ]
    return report


def rule_lines(name: str, text: str, breaches: list) -> list[str]:
    """The line of one rule, and the first MAX_SHOWN breaches of it."""
    return [
        f"{name} {'BROKEN' if breaches else 'kept'}: {text}"
        + (f" ({len(breaches)} times)" if breaches else ""),
        *(f"    {breach.t:.3f}  {breach.text}" for breach in breaches[:MAX_SHOWN]),
    ]
