"""The census: what all controllers see, summed up by its owner and spread as information with an age. Pure.

Nobody waits for it, and nothing of a job's way depends on it. Controllers report every few seconds to a member of the
council, which keeps the last report of each in memory; the duty's owner gathers the members' reports and writes the sum.
"""

from dataclasses import dataclass, field

import msgspec

from linedeal.duties.duty import DutyError

CENSUS_KEY = "census"  # the register that holds the last sum
MOST_REPORTS = 900  # controllers whose last report a member keeps; all of them fit into one frame
MAX_REPORT_BYTES = 1024  # bytes of one
FRESH = 10.0  # seconds for which a report counts; older: its controller is missing
FORGET = 600.0  # seconds after which a controller that reports no more is no longer missed
MOST_NAMED = 64  # missing controllers that are named, the rest are counted


@dataclass(frozen=True, slots=True)
class Report:
    """What one controller sees: sums since its start, and how it stands now, by kind and zone where it knows them."""

    controller: str
    life: int
    sums: dict[str, float] = field(default_factory=dict)  # as `Engine.counts`
    stands: dict[str, float] = field(default_factory=dict)  # held, waiting, hosts, links


@dataclass(frozen=True, slots=True)
class ReceivedReport:
    report: Report
    age: float  # seconds since the member heard it


@dataclass(frozen=True, slots=True)
class Census:
    """The sum. `age` is of the oldest report in it as it was made, seconds."""

    token: int
    number: int  # larger with each census under one token
    controllers: int
    missing: tuple[str, ...]
    missing_in_all: int
    age: float
    sums: dict[str, float]
    stands: dict[str, float]


def merge_reports(gathered: list[list[ReceivedReport]], token: int, number: int) -> Census:
    """Of each controller the newest life's youngest report, whichever member has it.

    >>> one, two = Report("c1", 1, {"taken": 2}), Report("c2", 1, {"taken": 3})
    >>> census = merge_reports([[ReceivedReport(one, 0.5), ReceivedReport(two, 30.0)], [ReceivedReport(one, 9.0)]], 1, 1)
    >>> census.controllers, census.missing, census.sums
    (1, ('c2',), {'taken': 2})
    """
    best: dict[str, ReceivedReport] = {}
    for kept in (kept for reports in gathered for kept in reports):
        known = best.get(kept.report.controller)
        if known is None or (-kept.report.life, kept.age) < (-known.report.life, known.age):
            best[kept.report.controller] = kept
    fresh = [kept for kept in best.values() if kept.age <= FRESH]
    missing = sorted(name for name, kept in best.items() if FRESH < kept.age <= FORGET)
    return Census(
        token,
        number,
        len(fresh),
        tuple(missing[:MOST_NAMED]),
        len(missing),
        max((kept.age for kept in fresh), default=0.0),
        added(kept.report.sums for kept in fresh),
        added(kept.report.stands for kept in fresh),
    )


def added(figures) -> dict[str, float]:
    total: dict[str, float] = {}
    for one in figures:
        for name, figure in one.items():
            total[name] = total.get(name, 0) + figure
    return total


class ReportTable:
    """A member's: the last of each controller. The longest unheard goes where there are too many."""

    def __init__(self):
        self.last: dict[str, tuple[float, Report]] = {}

    def put(self, report: Report, now: float) -> None:
        known = self.last.pop(report.controller, None)
        if known is not None and known[1].life > report.life:
            self.last[report.controller] = known  # said by an earlier life, come late
            return
        self.last[report.controller] = now, report
        if len(self.last) > MOST_REPORTS:
            del self.last[next(iter(self.last))]

    def all(self, now: float) -> list[ReceivedReport]:
        return [ReceivedReport(report, now - at) for at, report in self.last.values() if now - at <= FORGET]


def encode(what: Report | Census | list[ReceivedReport]) -> bytes:
    return msgspec.msgpack.encode(what)


def decode(body: bytes, kind):
    """Raises DutyError, one plain line."""
    try:
        return msgspec.msgpack.decode(body, type=kind)
    except msgspec.DecodeError as error:
        raise DutyError(f"no {getattr(kind, '__name__', 'list')}: {error}") from None
