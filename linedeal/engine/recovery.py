"""What becomes of a job that an earlier life of this controller had taken. Free of I/O and clock.

In: what the journal says of the job and its launches, and what hosts have said since of what they hold. Out: one
`Step`. docs/recovery.md has the table; `launches.found` says what a host's account proves.
"""

from dataclasses import dataclass
from enum import Enum

from linedeal.engine.events import Held, LaunchId, Phase
from linedeal.interface import Effect, Job

PATIENCE = 1.5          # seconds after a start for which a redoable job waits for its host's account
SETTLE_BEFORE = 0.05    # seconds before its expiry at which a job that is still unclear is answered


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
    void: bool = False          # the journal knows that it did not run


@dataclass(frozen=True, slots=True)
class OpenJob:
    """A job of the journal that is owed an answer."""

    session: str
    key: str
    job: Job
    expires_in: float           # seconds from the start of this life; 0 where that has passed
    launches: tuple[OldLaunch, ...] = ()


@dataclass(frozen=True, slots=True)
class KeptAnswer:
    """An answer that its session has not confirmed."""

    session: str
    key: str
    job: Job
    verdict: str
    host: str


@dataclass(frozen=True, slots=True)
class Account:
    """What a host said to this life's first link. It knows this life by then, so nothing older reaches it any more."""

    boot: int
    held: dict[LaunchId, Held]
    forgot: bool


def ran(launch: OldLaunch, accounts: dict[str, Account]) -> bool | None:
    """Whether a launch of an earlier life ran: None where its host has not been heard, True where it may have."""
    if launch.void:
        return False
    account = accounts.get(launch.host)
    if account is None:
        return None
    return not (account.boot == launch.boot and not account.forgot and launch.id not in account.held)


def placed_at(job: OpenJob, accounts: dict[str, Account]) -> str:
    """The host that has the job, or has had it to its end; empty where none says so."""
    for launch in job.launches:
        held = accounts[launch.host].held.get(launch.id) if launch.host in accounts else None
        if held is not None and held.phase is not Phase.QUEUED:
            return launch.host
    return ""


def next_step(job: OpenJob, effect: Effect, accounts: dict[str, Account], lost: set[str], patience_over: bool,
              time_up: bool) -> Step:
    """What to do with the job now. `lost`: hosts that are gone for good, whose account will never come;
    `patience_over`: what may run again waits for accounts no longer.

    A labelled job whose launch may have run is not launched again: the module would have to be told of a launch that
    it did not make. It is written off at its time unless proof comes.
    """
    if placed_at(job, accounts):
        return Step.PLACED
    fates = [True if launch.host in lost and not launch.void else ran(launch, accounts) for launch in job.launches]
    harmless = effect is Effect.REDOABLE or not any(fate is not False for fate in fates)
    if time_up:
        return Step.REJECT if harmless else Step.WRITE_OFF
    if None in fates and not (effect is Effect.REDOABLE and patience_over):
        return Step.WAIT
    return Step.AGAIN if harmless else Step.WAIT
