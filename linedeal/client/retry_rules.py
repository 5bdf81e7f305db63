"""The client's retry rules for a job: pure functions that neither do I/O nor read a clock.

    ASKED --accepted--> TAKEN --answer--> ANSWERED --end--> OVER
      |  \\--declined--> ASKED again later, or REFUSED
      \\--link lost: submitted again after reconnecting, or to another controller

`docs/recovery.md` has the table. A job's controller is the one that it was last submitted to.
"""

from dataclasses import dataclass
from enum import Enum


class State(Enum):
    """The state of a job as far as this client knows."""

    ASKED = "submitted, not known to be accepted"
    TAKEN = "accepted, not answered"
    ANSWERED = "placed, not ended"
    OVER = "ended, the status is final"
    REFUSED = "declined, and submitting it again will not help"
    UNKNOWN = "its controller no longer has a record of it"


class Decision(Enum):
    """What the client does about a job."""

    WAIT = "wait: its controller reports the job after reconnecting"
    ASK = "submit it to its controller again, under the same key"
    MOVE = "submit it to another controller"
    UNKNOWN = "stop following it: no controller will report it again"


@dataclass(frozen=True, slots=True)
class JobView:
    """The part of a job's state that a decision depends on."""

    state: State
    sent: bool  # the submission may have reached its controller
    redoable: bool  # its effect may happen twice
    move_allowed: bool = False  # the caller permits submitting it to another controller


def decide_on_link_loss(
    view: JobView, disconnected_for: float, resubmit_after: float, another: bool
) -> Decision:
    """Decides about a job whose controller has been disconnected for `disconnected_for` seconds.

    A redoable job is moved after `resubmit_after` seconds. `another`: a different controller is connected.
    """
    if view.state not in (State.ASKED, State.TAKEN) or not another:
        return Decision.WAIT
    if view.state is State.ASKED and not view.sent:
        return Decision.MOVE  # no controller has received it
    if view.move_allowed or view.redoable and disconnected_for >= resubmit_after:
        return Decision.MOVE
    return Decision.WAIT  # it may run, or have run: only its controller knows


def decide_on_reconnect(view: JobView, listed: bool) -> Decision:
    """Decides about a job once its controller has sent all its jobs; `listed`: this job is among them."""
    if listed or view.state in (State.OVER, State.REFUSED, State.UNKNOWN):
        return Decision.WAIT
    if view.state is State.ASKED:
        return Decision.ASK  # not accepted there; with the same key, a duplicate joins the first
    # The job was accepted and its record is gone: it expired, or the controller lost its store. The job may
    # have run, so submitting it again could repeat its effect.
    return Decision.ASK if view.redoable and view.state is State.TAKEN else Decision.UNKNOWN
