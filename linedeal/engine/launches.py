"""Launches that are out, and what a broken and a new link show about them.

This is the only module that states which sequence of events proves that a launch did not run;
docs/protocol.md has the table.
"""

from dataclasses import dataclass
from enum import Enum

from linedeal.engine.events import HeldLaunch, LaunchId, Phase, Ran
from linedeal.interface import Effect, Job, Reason, Result


class State(Enum):
    """The state of a launch as the engine knows it."""

    OUT = "sent, not accepted yet"
    HELD = "accepted by the host"
    RECALLED = "being cancelled at its host; the cancellation is not written yet"
    STRAY = "orphaned: cancelled, but its host may still accept it"


@dataclass(slots=True, eq=False)
class Launch:
    """One launch of a job at a host. Times are seconds on the engine's clock."""

    id: LaunchId
    job: Job
    effect: Effect
    host: str
    due: float  # when it is cancelled if there is no answer
    state: State = State.OUT
    sent_on: int = 0  # number of the link on which its frame was sent; 0: not sent
    boot: int = 0  # of the host at the other end of that link
    wanted: bool = True  # False once its client has withdrawn the job
    started: bool = False
    persisted: bool = False  # it is in the journal
    withheld: bool = False  # the link was asked not to send it
    decided_at: float = 0.0
    ran: Ran | None = None  # what its host reported at its end
    provable: bool = True  # its host sends an inventory of what it holds
    host_reply: str = ""  # what its host sent with its acceptance


@dataclass(frozen=True, slots=True)
class Finding:
    """What a new link shows of a launch: its phase, or how it ended."""

    phase: Phase
    result: Result = Result.DONE
    reason: Reason = Reason.UNTOLD


def result_of_lost_link(launch: Launch) -> Result | None:
    """The result of a launch whose link broke after sending began. None: wait for what a new link shows.

    An accepted job runs on without the link. An irreversible job could only be written off; until its time is
    up, the host may reconnect and prove that it never ran, if hosts send inventories (`provable`). Any other
    job is launched again at once, which does no harm.
    """
    if launch.state is State.RECALLED:
        return Result.SILENT
    if launch.state is not State.OUT or launch.effect is Effect.IRREVERSIBLE and launch.provable:
        return None
    return Result.CUT


def reconcile(launch: Launch, held: HeldLaunch | None, boot: int, forgot: bool) -> Finding | None:
    """What a host's inventory shows of a launch that was sent on an earlier link.

    The host recorded the new link's number before it sent the inventory, and ignores what earlier links
    still deliver. So a launch that is not in the inventory is not held and never will be. With the same boot
    and nothing forgotten it never was: the launch did not run. With another boot it may have run before the
    host ended.
    """
    if held is not None:
        return Finding(held.phase, held.result, held.reason)
    if boot != launch.boot:
        return Finding(Phase.OVER, Result.CUT)
    if launch.state is State.HELD or forgot:
        return Finding(Phase.OVER, Result.CUT)
    return Finding(Phase.OVER, Result.UNREACHABLE)


def keeps_late_acceptance(launch: Launch) -> bool:
    """Whether a launch that was cancelled and turns out to run is left running.

    A job that may run again is stopped, since it may run elsewhere by now. An irreversible job was written
    off and will never run elsewhere, so it is left alone and counted at its host.
    """
    return launch.effect is Effect.IRREVERSIBLE and launch.wanted
