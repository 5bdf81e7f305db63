"""The table at the end of a day, and the value that it earned."""

from dataclasses import dataclass

from hdrh.histogram import HdrHistogram

from linedeal.audit import RULES, Breach, Traffic
from linedeal.audit.traffic import NEVER
from linedeal.protocol import pb
from linedeal.settings.cluster import Cluster

SHOWN = 3       # breaches of a rule that are shown
DUE = 0.25      # share of a job's expiry within which a start earns all of its value


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


def rows(traffic: Traffic) -> list[Row]:
    found = []
    for offering in sorted({job.offering for job in traffic.jobs.values()}):
        jobs = [job for job in traffic.jobs.values() if job.offering == offering]
        verdicts = [job.answers[0][1] if job.answers else None for job in jobs]
        delays = HdrHistogram(1, 600_000, 3)
        for job in jobs:
            started = min((launch.started for launch in job.launches), default=NEVER)
            if started < NEVER:
                delays.record_value(max(1, round((started - job.taken) * 1000)))
        found.append(Row(
            offering, len(jobs), verdicts.count(pb.PLACED), verdicts.count(pb.REJECTED),
            verdicts.count(pb.WRITTEN_OFF), verdicts.count(None), sum(len(job.launches) for job in jobs) / len(jobs),
            delays.get_value_at_percentile(50) / 1000, delays.get_value_at_percentile(99) / 1000))
    return found


def earned(traffic: Traffic, cluster: Cluster, asked: dict[str, int]) -> float:
    """Value earned over value asked for. A job earns its offering's value if it started within DUE of its expiry and
    was not lost, half of it if it started later."""
    offerings = cluster.settings.offerings
    value = 0.0
    for job in traffic.jobs.values():
        starts = [launch.started for launch in job.launches
                  if launch.started < NEVER and launch.lost == NEVER and launch.outcome in (0, pb.DONE)]
        if starts:
            due = job.taken + DUE * offerings[job.offering].expiry
            value += offerings[job.offering].value * (1.0 if min(starts) <= due else 0.5)
    whole = sum(offerings[name].value * count for name, count in asked.items())
    return value / whole if whole else 0.0


def lines(traffic: Traffic, breaches: list[Breach]) -> list[str]:
    """The closing table, and each rule kept or broken."""
    form = "{:<16}{:>7}{:>8}{:>10}{:>13}{:>12}{:>10}{:>12}{:>10}"
    out = [form.format("offering", "taken", "placed", "rejected", "written off", "unanswered", "launches",
                       "start med s", "p99 s")]
    for row in rows(traffic):
        out.append(form.format(row.offering, row.taken, row.placed, row.rejected, row.written_off, row.unanswered,
                               f"{row.launches:.2f}", f"{row.delay_median:.3f}", f"{row.delay_p99:.3f}"))
    out.append("")
    for rule, text in RULES.items():
        broken = [breach for breach in breaches if breach.rule == rule]
        out.append(f"rule {rule} {'BROKEN' if broken else 'kept'}: {text}"
                   + (f" ({len(broken)} times)" if broken else ""))
        out += [f"    {breach.t:.3f}  {breach.text}" for breach in broken[:SHOWN]]
    return out
