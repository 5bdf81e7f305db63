"""How even a fleet's load is, how much of it comes in herds: each measure defined once. Free of I/O.

Samples are the stand-in hosts' own, as are arrivals: what controllers believe is not in them. All of a kind's hosts are
alike, so that hosts are compared within their kind alone; shares are of what a host accepts.
"""

import math
from bisect import bisect_left
from collections import defaultdict
from dataclasses import dataclass
from typing import Iterable, Sequence

IDLE = 0.05  # share under which a host counts as idle
FULL_AGO = 1.0  # seconds for which a refusal for want of room says that others are full


@dataclass(frozen=True, slots=True)
class HostAt:
    """One host at one moment. `asked`, `used`: cores, as shares of what it accepts and of what it has."""

    t: float
    host: str
    kind: str
    zone: str
    asked: float
    used: float


@dataclass(frozen=True, slots=True)
class Arrival:
    """A launch as it came to a host. `refused`: for want of room."""

    t: float
    host: str
    kind: str
    controller: str
    service: str
    refused: bool


@dataclass(frozen=True, slots=True)
class Spread:
    """Of shares at one moment."""

    mean: float
    most_over_mean: float  # 1: even
    variation: float  # standard deviation over mean; 0: even
    jain: float  # 1: even; 1/n: all on one


def spread(shares: Sequence[float]) -> Spread:
    """Jain's index after "A quantitative measure of fairness and discrimination" (1984).

    >>> spread([0.5, 0.5])
    Spread(mean=0.5, most_over_mean=1.0, variation=0.0, jain=1.0)
    >>> spread([1.0, 0.0]).jain, spread([1.0, 0.0]).most_over_mean, spread([1.0, 0.0]).variation
    (0.5, 2.0, 1.0)
    """
    mean = sum(shares) / len(shares) if shares else 0.0
    if mean <= 0.0:
        return Spread(0.0, 1.0, 0.0, 1.0)
    squares = sum(share * share for share in shares)
    variance = max(0.0, squares / len(shares) - mean * mean)
    return Spread(
        mean, max(shares) / mean, math.sqrt(variance) / mean, sum(shares) ** 2 / (len(shares) * squares)
    )


def by_moment(samples: Iterable[HostAt]) -> dict[tuple[float, str], list[HostAt]]:
    """Samples of one moment and kind."""
    found: dict[tuple[float, str], list[HostAt]] = defaultdict(list)
    for sample in samples:
        found[sample.t, sample.kind].append(sample)
    return found


def over_time(samples: Iterable[HostAt], what: str = "asked") -> list[tuple[float, str, Spread]]:
    """Moment, kind, and how even `what` was then."""
    return [
        (t, kind, spread([getattr(sample, what) for sample in at]))
        for (t, kind), at in sorted(by_moment(samples).items())
    ]


def typical(figures: Sequence[float], share: float = 0.5) -> float:
    """That quantile, 0 of none.

    >>> typical([3, 1, 2]), typical([1, 2, 3, 4], 0.99)
    (2, 4)
    """
    ordered = sorted(figures)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))] if ordered else 0.0


def idle_beside_full(samples: Iterable[HostAt], arrivals: Iterable[Arrival]) -> float:
    """Share of moments of hosts that are idle while one of their kind refused a launch for want of room within the last
    second. What a scheduler that sees all would have avoided."""
    refusals: dict[str, list[float]] = defaultdict(list)
    for arrival in arrivals:
        if arrival.refused:
            refusals[arrival.kind].append(arrival.t)
    for times in refusals.values():
        times.sort()
    idle = moments = 0
    for (t, kind), at in by_moment(samples).items():
        times = refusals.get(kind, [])
        place = bisect_left(times, t - FULL_AGO)
        moments += len(at)
        if place < len(times) and times[place] <= t:
            idle += sum(sample.asked < IDLE for sample in at)
    return idle / moments if moments else 0.0


@dataclass(frozen=True, slots=True)
class Herding:
    """Launches to one host within the age of the information."""

    index: float  # of dispersion over that of independent choice: 1 is as chance would, over it a herd
    burst: int  # most that reached one host in one window
    by_chance: float  # most that independent choice would send to one, in the mean


def herding(arrivals: Sequence[Arrival], hosts: Sequence[str], window: float) -> Herding:
    """Windows as long as the information is old, one after the other. In each the counts by host have a variance and a mean;
    with n launches that choose among m hosts independently and evenly the variance is n/m (1 - 1/m). The index is the sum of
    the variances over the sum of those: a preference that lasts makes it large too, so compare with the base lines.

    >>> even = [Arrival(i / 8, f"h{i % 4}", "std", "c", "s", False) for i in range(8)]
    >>> one = [Arrival(i / 8, "h0", "std", "c", "s", False) for i in range(8)]
    >>> herding(even, ["h0", "h1", "h2", "h3"], 1.0).index, herding(one, ["h0", "h1", "h2", "h3"], 1.0).index
    (0.0, 8.0)
    """
    windows: dict[int, dict[str, int]] = defaultdict(lambda: defaultdict(int))
    for arrival in arrivals:
        windows[int(arrival.t // window)][arrival.host] += 1
    m, variances, chance, burst, expected = len(hosts), 0.0, 0.0, 0, 0.0
    for counts in windows.values():
        n = sum(counts.values())
        mean = n / m
        variances += sum((counts.get(host, 0) - mean) ** 2 for host in hosts) / m
        chance += mean * (1 - 1 / m)
        if max(counts.values()) > burst:
            burst, expected = max(counts.values()), most_by_chance(n, m)
    return Herding(variances / chance if chance else 0.0, burst, expected)


def most_by_chance(n: int, m: int) -> float:
    """About the most that n independent choices among m put on one: the count that one in m exceeds, by Poisson's law.

    >>> round(most_by_chance(8, 8), 1), most_by_chance(0, 4)
    (3.0, 0.0)
    """
    if not n:
        return 0.0
    rate, tail, count = n / m, 1.0, 0
    term = math.exp(-rate)
    while tail > 1 / m and count < n:
        tail -= term
        count += 1
        term *= rate / count
    return float(count)


@dataclass(frozen=True, slots=True)
class Evenness:
    """A day's, by kind; medians over time unless said otherwise."""

    kind: str
    hosts: int
    mean: float
    most_over_mean: float
    most_over_mean_p95: float
    variation: float
    jain: float
    idle_beside_full: float
    herding: Herding
    launches: int
    turned_away: float  # share of launches


def of_day(
    samples: Sequence[HostAt],
    arrivals: Sequence[Arrival],
    age: float,
    since: float = 0.0,
    until: float = math.inf,
) -> list[Evenness]:
    """For each kind; `age`: of the information, seconds."""
    samples = [sample for sample in samples if since <= sample.t <= until]
    arrivals = [arrival for arrival in arrivals if since <= arrival.t <= until]
    found = []
    for kind in sorted({sample.kind for sample in samples}):
        of_kind = [sample for sample in samples if sample.kind == kind]
        came = [arrival for arrival in arrivals if arrival.kind == kind]
        hosts = sorted({sample.host for sample in of_kind})
        spreads = [at for _, _, at in over_time(of_kind)]
        found.append(
            Evenness(
                kind,
                len(hosts),
                typical([at.mean for at in spreads]),
                typical([at.most_over_mean for at in spreads]),
                typical([at.most_over_mean for at in spreads], 0.95),
                typical([at.variation for at in spreads]),
                typical([at.jain for at in spreads]),
                idle_beside_full(of_kind, came),
                herding(came, hosts, age),
                len(came),
                sum(arrival.refused for arrival in came) / len(came) if came else 0.0,
            )
        )
    return found


def by_traffic(arrivals: Iterable[Arrival]) -> tuple[float, float]:
    """Share of launches turned away, of the busier half of controllers and of the others.

    >>> by_traffic([Arrival(0, "h", "k", "a", "s", True), Arrival(0, "h", "k", "a", "s", False),
    ...             Arrival(0, "h", "k", "b", "s", False)])
    (0.5, 0.0)
    """
    sent: dict[str, list[int]] = defaultdict(lambda: [0, 0])
    for arrival in arrivals:
        sent[arrival.controller][0] += 1
        sent[arrival.controller][1] += arrival.refused
    ordered = sorted(sent.values(), reverse=True)
    halves = ordered[: (len(ordered) + 1) // 2], ordered[(len(ordered) + 1) // 2 :]
    busy, quiet = (
        sum(refused for _, refused in half) / max(1, sum(launches for launches, _ in half)) for half in halves
    )
    return busy, quiet


def noise(figures: Sequence[float]) -> tuple[float, float]:
    """Mean over seeds and its standard error.

    >>> noise([1.0, 3.0])
    (2.0, 1.0)
    """
    mean = sum(figures) / len(figures)
    if len(figures) < 2:
        return mean, 0.0
    return mean, math.sqrt(
        sum((figure - mean) ** 2 for figure in figures) / (len(figures) - 1) / len(figures)
    )
