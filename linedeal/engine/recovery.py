"""What becomes of a job that an earlier incarnation of this controller had accepted. No I/O, no clock.

Input: what the journal records of the job and its launches, and the inventories that hosts have sent since.
Output: one `Step`. docs/recovery.md has the table; `launches.reconcile` states what a host's inventory
proves.
"""

from dataclasses import dataclass
from enum import Enum

from linedeal.engine.events import HeldLaunch, LaunchId, Phase, Ran
from linedeal.interface import Effect, Job, Offering

INVENTORY_TIMEOUT = 1.5  # seconds after a start for which a redoable job waits for its host's inventory
# seconds before its expiry at which a job is answered although its launches are still unclear
ANSWER_MARGIN = 0.05


class Step(Enum):
    """What to do with a job now."""

    WAIT = "the inventory of a host is still missing"
    AGAIN = "it did not run, or may run again: back to the module"
    PLACED = "a host has accepted it"
    REJECT = "its time is up, and trying again does no harm"
    WRITE_OFF = "its time is up, and it may have run"


@dataclass(frozen=True, slots=True)
class OldLaunch:
    """A launch that an earlier incarnation recorded."""

    id: LaunchId
    host: str
    boot: int
    void: bool = False  # the journal records that it did not run
    sent_ago: float = float("inf")  # seconds; infinity where a clock jump makes it unknown


@dataclass(frozen=True, slots=True)
class OpenJob:
    """A job of the journal for which an answer is owed."""

    session: str
    key: str
    job: Job
    # seconds from the start of this incarnation, or from its release, to the expiry; 0 where that has passed
    expires_in: float
    launches: tuple[OldLaunch, ...] = ()
    work: bytes = b""
    follow: bool = False
    held: bool = False
    start_in: float = 0.0  # seconds
    taken_ago: float = 0.0  # seconds
    guarantee: str = ""  # the offering's effect guarantee at acceptance; empty: unknown, an older record


@dataclass(frozen=True, slots=True)
class StoredAnswer:
    """A job that is answered and not forgotten. Times are seconds before the start of this incarnation."""

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
    """What a host reported on the first link of this incarnation.

    By then the host knows this incarnation, so it no longer accepts anything from an earlier one.
    """

    boot: int
    held: dict[LaunchId, HeldLaunch]
    forgot: bool


def guarantee(offering: Offering) -> str:
    """The effect guarantee of an offering as text, stored with each job.

    An edit of the configuration between two incarnations must not let an irreversible job run twice.
    """
    if offering.effect is not Effect.LABELLED:
        return offering.effect.name
    return f"{offering.effect.name} {offering.dedup_level.name} {offering.dedup_window:g}"


def may_have_run(launch: OldLaunch, inventories: dict[str, HostInventory]) -> bool | None:
    """Whether a launch of an earlier incarnation may have run; None while its host's inventory is missing."""
    if launch.void:
        return False
    inventory = inventories.get(launch.host)
    if inventory is None:
        return None
    return not (inventory.boot == launch.boot and not inventory.forgot and launch.id not in inventory.held)


def find_placed(job: OpenJob, inventories: dict[str, HostInventory]) -> tuple[str, HeldLaunch] | None:
    """The host that has the job or had it to its end, and its inventory entry; None if no inventory shows
    one.
    """
    for launch in job.launches:
        held = inventories[launch.host].held.get(launch.id) if launch.host in inventories else None
        if held is not None and held.phase is not Phase.QUEUED:
            return launch.host, held
    return None


def first_uncertain_launch(job: OpenJob, inventories: dict[str, HostInventory]) -> OldLaunch | None:
    """The first of its launches that may have run."""
    return next((launch for launch in job.launches if may_have_run(launch, inventories) is not False), None)


def next_step(
    job: OpenJob,
    effect: Effect,
    inventories: dict[str, HostInventory],
    lost: set[str],
    inventory_timed_out: bool,
    time_up: bool,
    listed: frozenset[str] = frozenset(),
) -> Step:
    """What to do with the job now.

    `lost`: hosts that were removed and will never send an inventory; `listed`: hosts that the decision
    module knows; `inventory_timed_out`: jobs that may run again no longer wait for inventories.

    A labelled job whose launch may have run goes back to the decision module with that launch's host and
    time, which confine it to that group and window. If the host is not listed its group is unknown: only the
    answer remains.
    """
    if find_placed(job, inventories):
        return Step.PLACED
    may_have = [
        True if launch.host in lost and not launch.void else may_have_run(launch, inventories)
        for launch in job.launches
    ]
    harmless = effect is Effect.REDOABLE or not any(possible is not False for possible in may_have)
    if time_up:
        return Step.REJECT if harmless else Step.WRITE_OFF
    if None in may_have and not (effect is not Effect.IRREVERSIBLE and inventory_timed_out):
        return Step.WAIT
    if effect is Effect.LABELLED and not harmless:
        first = first_uncertain_launch(job, inventories)
        # a launch whose time is unknown, because a clock was set back, has no window left
        return Step.AGAIN if first.host in listed and first.sent_ago < float("inf") else Step.WAIT
    return Step.AGAIN if harmless else Step.WAIT
