"""The census: the sum of all controllers' reports, written by the duty's owner. Pure.

It is information with an age; nothing waits for it, and no job depends on it. Controllers report every few
seconds to a member of the council, which keeps each one's last report in memory. The owner collects the
members' reports and writes the sum into a register.
"""

from dataclasses import dataclass, field

import msgspec

from linedeal.duties.duty import DutyError

CENSUS_KEY = "census"  # the register that holds the latest census
MAX_REPORTS = 900  # controllers whose last report a member keeps; all of them fit into one frame
MAX_REPORT_BYTES = 1024
FRESH_SECONDS = 10.0  # age up to which a report counts; the controller of an older one is missing
FORGET_SECONDS = 600.0  # age from which a silent controller is no longer listed as missing
MAX_NAMED_MISSING = 64  # missing controllers that are listed by name; the others are only counted


@dataclass(frozen=True, slots=True)
class Report:
    """One controller's counters since its start, and current figures by kind and zone where known."""

    controller: str
    life: int
    sums: dict[str, float] = field(default_factory=dict)  # as in `Engine.counts`
    stands: dict[str, float] = field(default_factory=dict)  # current figures: held, waiting, hosts, links


@dataclass(frozen=True, slots=True)
class ReceivedReport:
    """A report as stored by a member of the council."""

    report: Report
    age: float  # seconds since the member received it


@dataclass(frozen=True, slots=True)
class Census:
    """The sum of the fresh reports."""

    token: int  # of the owner that made it
    number: int  # rises with each census made under one token
    controllers: int
    missing: tuple[str, ...]
    missing_in_all: int
    age: float  # seconds, of the oldest report in it when it was made
    sums: dict[str, float]
    stands: dict[str, float]


def merge_reports(gathered: list[list[ReceivedReport]], token: int, number: int) -> Census:
    """Returns the census of the members' reports, with the last report of each controller's last incarnation.

    >>> one, two = Report("c1", 1, {"taken": 2}), Report("c2", 1, {"taken": 3})
    >>> gathered = [[ReceivedReport(one, 0.5), ReceivedReport(two, 30.0)], [ReceivedReport(one, 9.0)]]
    >>> census = merge_reports(gathered, 1, 1)
    >>> census.controllers, census.missing, census.sums
    (1, ('c2',), {'taken': 2})
    """
    latest: dict[str, ReceivedReport] = {}
    for received in (received for reports in gathered for received in reports):
        known = latest.get(received.report.controller)
        if known is None or (-received.report.life, received.age) < (-known.report.life, known.age):
            latest[received.report.controller] = received
    fresh = [received for received in latest.values() if received.age <= FRESH_SECONDS]
    missing = sorted(
        name for name, received in latest.items() if FRESH_SECONDS < received.age <= FORGET_SECONDS
    )
    return Census(
        token,
        number,
        len(fresh),
        tuple(missing[:MAX_NAMED_MISSING]),
        len(missing),
        max((received.age for received in fresh), default=0.0),
        add_figures(received.report.sums for received in fresh),
        add_figures(received.report.stands for received in fresh),
    )


def add_figures(reports) -> dict[str, float]:
    """Returns the sums of the figures of the same name."""
    total: dict[str, float] = {}
    for figures in reports:
        for name, figure in figures.items():
            total[name] = total.get(name, 0) + figure
    return total


class ReportTable:
    """The last report of each controller, in a member's memory, up to `MAX_REPORTS`.

    When it is full, the controller that has been silent for longest is dropped.
    """

    def __init__(self):
        """Starts empty."""
        self.last: dict[str, tuple[float, Report]] = {}  # time of receipt and report, in the order of receipt

    def put(self, report: Report, now: float) -> None:
        """Stores a report, unless one of a later incarnation is known."""
        known = self.last.pop(report.controller, None)
        if known is not None and known[1].life > report.life:
            self.last[report.controller] = known  # the new one is from an earlier incarnation and was delayed
            return
        self.last[report.controller] = now, report
        if len(self.last) > MAX_REPORTS:
            del self.last[next(iter(self.last))]

    def all(self, now: float) -> list[ReceivedReport]:
        """Returns all reports that are not forgotten yet, with their age."""
        return [
            ReceivedReport(report, now - at)
            for at, report in self.last.values()
            if now - at <= FORGET_SECONDS
        ]


def encode(data: Report | Census | list[ReceivedReport]) -> bytes:
    """Encodes data for a register or a message."""
    return msgspec.msgpack.encode(data)


def decode(body: bytes, kind):
    """Decodes data of the given type. Raises DutyError if it is not of that type."""
    try:
        return msgspec.msgpack.decode(body, type=kind)
    except msgspec.DecodeError as error:
        raise DutyError(f"no {getattr(kind, '__name__', 'list')}: {error}") from None
