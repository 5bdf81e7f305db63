"""Metrics of load balance and of herding. Pure functions, each metric defined once.

Samples and arrivals are recorded by the stand-in hosts themselves, so they do not depend on what
controllers believe. All hosts of a kind have the same size and are compared only with each other. Loads are
shares of what a host accepts.
"""

import math
from bisect import bisect_left
from collections import defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

IDLE_SHARE = 0.05  # a host with less load than this share counts as idle
FULL_WINDOW = 1.0  # seconds for which a refusal for lack of capacity shows that other hosts are full


@dataclass(frozen=True, slots=True)
class HostSample:
    """The load of one host at one moment.

    `asked`: requested cores as a share of those that the host accepts. `used`: cores in use as a share of
    those that it has.
    """

    t: float
    host: str
    kind: str
    zone: str
    asked: float
    used: float


@dataclass(frozen=True, slots=True)
class Arrival:
    """A launch that arrived at a host. `refused`: for lack of capacity."""

    t: float
    host: str
    kind: str
    controller: str
    service: str
    refused: bool


@dataclass(frozen=True, slots=True)
class Spread:
    """How unequal the loads of several hosts are at one moment."""

    mean: float
    most_over_mean: float  # maximum over mean; 1: equal loads
    variation: float  # coefficient of variation (standard deviation over mean); 0: equal loads
    jain: float  # Jain's fairness index; 1: equal loads, 1/n: all load on one of n hosts


def spread(shares: Sequence[float]) -> Spread:
    """Computes the spread of loads; hosts without any load count as equal.

    Jain's index is defined in "A quantitative measure of fairness and discrimination" (1984).

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


def group_samples(samples: Iterable[HostSample]) -> dict[tuple[float, str], list[HostSample]]:
    """Groups samples by time and kind."""
    groups: dict[tuple[float, str], list[HostSample]] = defaultdict(list)
    for sample in samples:
        groups[sample.t, sample.kind].append(sample)
    return groups


def spread_over_time(samples: Iterable[HostSample], what: str = "asked") -> list[tuple[float, str, Spread]]:
    """Returns time, kind and spread of the attribute `what` of the samples, in order of time."""
    return [
        (t, kind, spread([getattr(sample, what) for sample in group]))
        for (t, kind), group in sorted(group_samples(samples).items())
    ]


def quantile(figures: Sequence[float], share: float = 0.5) -> float:
    """Returns a quantile, by default the median, and 0 for an empty sequence. Does not interpolate.

    >>> quantile([3, 1, 2]), quantile([1, 2, 3, 4], 0.99)
    (2, 4)
    """
    ordered = sorted(figures)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))] if ordered else 0.0


def idle_beside_full(samples: Iterable[HostSample], arrivals: Iterable[Arrival]) -> float:
    """Returns the share of samples of hosts that are idle although another host of their kind is full.

    Full means that it refused a launch for lack of capacity within the last `FULL_WINDOW` seconds. A
    scheduler with complete and current information would avoid this.
    """
    refusals: dict[str, list[float]] = defaultdict(list)
    for arrival in arrivals:
        if arrival.refused:
            refusals[arrival.kind].append(arrival.t)
    for times in refusals.values():
        times.sort()
    idle = total = 0
    for (t, kind), group in group_samples(samples).items():
        times = refusals.get(kind, [])
        position = bisect_left(times, t - FULL_WINDOW)
        total += len(group)
        if position < len(times) and times[position] <= t:
            idle += sum(sample.asked < IDLE_SHARE for sample in group)
    return idle / total if total else 0.0


@dataclass(frozen=True, slots=True)
class Herding:
    """How much launches concentrate on one host within the age of the information behind them."""

    # Index of dispersion of the launches per host, over that of independent choice.
    # 1: as with independent choice; above 1: herding.
    index: float
    burst: int  # most launches that reached one host in one window
    by_chance: float  # most launches per host that independent choice would give in that window, on average


def herding(arrivals: Sequence[Arrival], hosts: Sequence[str], window: float) -> Herding:
    """Measures herding in consecutive windows, each as long as the information is old, in seconds.

    In each window the counts of launches per host have a variance and a mean. With n launches that choose
    independently and uniformly among m hosts, the variance is n/m (1 - 1/m). The index is the sum of the
    variances over the sum of those. A lasting preference for some hosts makes it large as well, so it has to
    be compared with the baselines.

    >>> even = [Arrival(i / 8, f"h{i % 4}", "std", "c", "s", False) for i in range(8)]
    >>> one = [Arrival(i / 8, "h0", "std", "c", "s", False) for i in range(8)]
    >>> herding(even, ["h0", "h1", "h2", "h3"], 1.0).index, herding(one, ["h0", "h1", "h2", "h3"], 1.0).index
    (0.0, 8.0)
    """
    windows: dict[int, dict[str, int]] = defaultdict(lambda: defaultdict(int))
    for arrival in arrivals:
        windows[int(arrival.t // window)][arrival.host] += 1
    m, variances, independent, burst, expected = len(hosts), 0.0, 0.0, 0, 0.0
    for counts in windows.values():
        n = sum(counts.values())
        mean = n / m
        variances += sum((counts.get(host, 0) - mean) ** 2 for host in hosts) / m
        independent += mean * (1 - 1 / m)
        if max(counts.values()) > burst:
            burst, expected = max(counts.values()), expected_maximum(n, m)
    return Herding(variances / independent if independent else 0.0, burst, expected)


def expected_maximum(n: int, m: int) -> float:
    """Estimates the most choices of one item, if n choices fall independently on m items.

    This is the count that one item in m exceeds according to the Poisson distribution.

    >>> round(expected_maximum(8, 8), 1), expected_maximum(0, 4)
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
class BalanceMetrics:
    """The metrics of one day for one kind of host.

    The names of the fields are keys of the JSON output. Figures are medians over time unless stated
    otherwise; those of `Spread` are explained there.
    """

    kind: str
    hosts: int
    mean: float
    most_over_mean: float
    most_over_mean_p95: float  # 95th percentile over time
    variation: float
    jain: float
    idle_beside_full: float  # share of all samples
    herding: Herding
    launches: int
    turned_away: float  # share of launches that were refused for lack of capacity


def measure_day(
    samples: Sequence[HostSample],
    arrivals: Sequence[Arrival],
    age: float,
    since: float = 0.0,
    until: float = math.inf,
) -> list[BalanceMetrics]:
    """Returns the metrics of each kind between two times of the day.

    `age`: of the information that controllers have, in seconds.
    """
    samples = [sample for sample in samples if since <= sample.t <= until]
    arrivals = [arrival for arrival in arrivals if since <= arrival.t <= until]
    metrics = []
    for kind in sorted({sample.kind for sample in samples}):
        kind_samples = [sample for sample in samples if sample.kind == kind]
        kind_arrivals = [arrival for arrival in arrivals if arrival.kind == kind]
        hosts = sorted({sample.host for sample in kind_samples})
        spreads = [one for _, _, one in spread_over_time(kind_samples)]
        metrics.append(
            BalanceMetrics(
                kind,
                len(hosts),
                quantile([one.mean for one in spreads]),
                quantile([one.most_over_mean for one in spreads]),
                quantile([one.most_over_mean for one in spreads], 0.95),
                quantile([one.variation for one in spreads]),
                quantile([one.jain for one in spreads]),
                idle_beside_full(kind_samples, kind_arrivals),
                herding(kind_arrivals, hosts, age),
                len(kind_arrivals),
                sum(arrival.refused for arrival in kind_arrivals) / len(kind_arrivals)
                if kind_arrivals
                else 0.0,
            )
        )
    return metrics


def refused_by_traffic(arrivals: Iterable[Arrival]) -> tuple[float, float]:
    """Returns the share of refused launches for the busier half of the controllers and for the other half.

    >>> refused_by_traffic([Arrival(0, "h", "k", "a", "s", True), Arrival(0, "h", "k", "a", "s", False),
    ...                     Arrival(0, "h", "k", "b", "s", False)])
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


def mean_and_error(figures: Sequence[float]) -> tuple[float, float]:
    """Returns the mean of one figure over several seeds and its standard error.

    >>> mean_and_error([1.0, 3.0])
    (2.0, 1.0)
    """
    mean = sum(figures) / len(figures)
    if len(figures) < 2:
        return mean, 0.0
    return mean, math.sqrt(
        sum((figure - mean) ** 2 for figure in figures) / (len(figures) - 1) / len(figures)
    )
