"""What becomes of a job that an earlier life of this controller had taken. Free of I/O and clock.

In: what the journal says of the job and its launches, and what hosts have said since of what they hold. Out: one
`Step`. docs/recovery.md has the table; `launches.found` says what a host's account proves.
"""

from dataclasses import dataclass
from enum import Enum

from linedeal.engine.events import HeldLaunch, LaunchId, Phase, Ran
from linedeal.interface import Effect, Job, Offering

PATIENCE = 1.5  # seconds after a start for which a redoable job waits for its host's account
SETTLE_BEFORE = 0.05  # seconds before its expiry at which a job that is still unclear is answered


class Step(Enum):
    WAIT = "a host has still to say what it holds"
    AGAIN = "it did not run, or may run again: back to the module"
    PLACED = "a host has it"
    REJECT = "its time is up, and trying again does no harm"
    WRITE_OFF = "its time is up, and it may have run"


@dataclass(frozen=True, slots=True)
class OldLaunch:
    id: LaunchId
    host: str
    boot: int
    void: bool = False  # the journal knows that it did not run
    sent_ago: float = float("inf")  # seconds; infinity where clocks jumped and it is not known


@dataclass(frozen=True, slots=True)
class OpenJob:
    """A job of the journal that is owed an answer."""

    session: str
    key: str
    job: Job
    expires_in: float  # seconds from the start of this life, or from its release; 0 where that has passed
    launches: tuple[OldLaunch, ...] = ()
    work: bytes = b""
    follow: bool = False
    held: bool = False
    start_in: float = 0.0  # seconds
    taken_ago: float = 0.0
    guarantee: str = ""  # what its offering was as it was taken; empty: not known, an older record


@dataclass(frozen=True, slots=True)
class StoredAnswer:
    """A job that is answered and not forgotten. Times are seconds before this life."""

    session: str
    key: str
    job: Job
    stage: str  # name of a ledger.Stage
    host: str = ""
    launch: LaunchId | None = None
    reason: str = ""
    work: bytes = b""
    follow: bool = False
    ending: bool = False
    ran: Ran | None = None
    taken_ago: float = 0.0
    placed_ago: float | None = None
    ended_ago: float | None = None


@dataclass(frozen=True, slots=True)
class HostInventory:
    """What a host said to this life's first link. It knows this life by then, so nothing older reaches it any more."""

    boot: int
    held: dict[LaunchId, HeldLaunch]
    forgot: bool


def guarantee(offering: Offering) -> str:
    """What an offering says of repeats, kept with each job: a file edited between two lives must not let an
    irreversible job run twice."""
    if offering.effect is not Effect.LABELLED:
        return offering.effect.name
    return f"{offering.effect.name} {offering.dedup_level.name} {offering.dedup_window:g}"


def may_have_run(launch: OldLaunch, accounts: dict[str, HostInventory]) -> bool | None:
    """Whether a launch of an earlier life ran: None where its host has not been heard, True where it may have."""
    if launch.void:
        return False
    account = accounts.get(launch.host)
    if account is None:
        return None
    return not (account.boot == launch.boot and not account.forgot and launch.id not in account.held)


def placed_at(job: OpenJob, accounts: dict[str, HostInventory]) -> tuple[str, HeldLaunch] | None:
    """The host that has the job, or has had it to its end, and what it says of it; None where no host says so."""
    for launch in job.launches:
        held = accounts[launch.host].held.get(launch.id) if launch.host in accounts else None
        if held is not None and held.phase is not Phase.QUEUED:
            return launch.host, held
    return None


def risk(job: OpenJob, accounts: dict[str, HostInventory]) -> OldLaunch | None:
    """The first of its launches that may have run."""
    return next((launch for launch in job.launches if may_have_run(launch, accounts) is not False), None)


def next_step(
    job: OpenJob,
    effect: Effect,
    accounts: dict[str, HostInventory],
    lost: set[str],
    patience_over: bool,
    time_up: bool,
    listed: frozenset[str] = frozenset(),
) -> Step:
    """What to do with the job now. `lost`: hosts that are gone for good, whose account will never come;
    `listed`: hosts that the module knows; `patience_over`: what may run again waits for accounts no longer.

    A labelled job whose launch may have run goes back to the module with that launch's host and time, which keep it
    in the group and the window. Where the host is not listed its group is not known: only the answer is left.
    """
    if placed_at(job, accounts):
        return Step.PLACED
    fates = [
        True if launch.host in lost and not launch.void else may_have_run(launch, accounts)
        for launch in job.launches
    ]
    harmless = effect is Effect.REDOABLE or not any(fate is not False for fate in fates)
    if time_up:
        return Step.REJECT if harmless else Step.WRITE_OFF
    if None in fates and not (effect is not Effect.IRREVERSIBLE and patience_over):
        return Step.WAIT
    if effect is Effect.LABELLED and not harmless:
        first = risk(job, accounts)
        # a launch whose time is not known, by a clock that was set back, has no window left
        return Step.AGAIN if first.host in listed and first.sent_ago < float("inf") else Step.WAIT
    return Step.AGAIN if harmless else Step.WAIT
