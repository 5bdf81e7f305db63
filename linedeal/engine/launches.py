"""Launches that are out, and what is known of them when a link breaks and comes back.

The one place that says which course of events proves that a launch did not run; docs/protocol.md has the table.
"""

from dataclasses import dataclass
from enum import Enum

from linedeal.engine.events import HeldLaunch, LaunchId, Phase, Ran
from linedeal.interface import Effect, Job, Reason, Result


class State(Enum):
    OUT = "sent, no yes yet"
    HELD = "the host has said yes"
    RECALLED = "to be given up at its host, which has not been written yet"
    STRAY = "given up; a yes may still come"


@dataclass(slots=True, eq=False)
class Launch:
    id: LaunchId
    job: Job
    effect: Effect
    host: str
    due: float  # when it is given up without an answer
    state: State = State.OUT
    left: int = 0  # the link on which its frame left; 0: it has not
    boot: int = 0  # of the host at the other end of that link
    wanted: bool = True  # False once its client has taken the job back
    started: bool = False
    kept: bool = False  # it is in the journal
    unsend: bool = False  # the link was asked to keep it back
    sent: float = 0.0  # when it was decided on
    ran: Ran | None = None  # what its host said at its end
    provable: bool = True  # its host will give an account of what it holds
    host_reply: str = ""  # what its host gave with its yes


@dataclass(frozen=True, slots=True)
class Finding:
    """What a new link shows of a launch: how far it is, or how it ended."""

    phase: Phase
    result: Result = Result.DONE
    why: Reason = Reason.UNTOLD


def result_of_lost_link(launch: Launch) -> Result | None:
    """The link broke after the frame began to leave. None: it is worth waiting for what a new link shows.

    A job that is held runs on without the link. An irreversible one could only be written off; until its time is
    up the host may return and prove that it never ran, where hosts give accounts of what they hold (`provable`). Any
    other is launched again at once, which is harmless.
    """
    if launch.state is State.RECALLED:
        return Result.SILENT
    if launch.state is not State.OUT or launch.effect is Effect.IRREVERSIBLE and launch.provable:
        return None
    return Result.CUT


def found(launch: Launch, held: HeldLaunch | None, boot: int, forgot: bool) -> Finding | None:
    """What a host's own account says of a launch that left on an earlier link; None: nothing new.

    The host took the new link's number before it gave the account, and takes nothing that earlier links still
    bring. So what it does not name, it does not hold and will never hold. With the same boot and nothing forgotten
    it never held it either: the launch did not run. With another boot it may have run before the host ended.
    """
    if held is not None:
        return Finding(held.phase, held.result, held.why)
    if boot != launch.boot:
        return Finding(Phase.OVER, Result.CUT)
    if launch.state is State.HELD or forgot:
        return Finding(Phase.OVER, Result.CUT)
    return Finding(Phase.OVER, Result.UNREACHABLE)


def late_yes_is_kept(launch: Launch) -> bool:
    """Whether a launch that was given up and is running after all goes on.

    One that may run again is stopped, since another may run in its place. An irreversible job was written off:
    its one course is the only one there will ever be, so it is left alone and counted where it is.
    """
    return launch.effect is Effect.IRREVERSIBLE and launch.wanted
