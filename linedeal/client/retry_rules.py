"""The client's rules for a job, as a state machine free of I/O and clock. The only place that has them.

    ASKED --taken--> TAKEN --answer--> ANSWERED --end--> OVER
      |  \\--turned away--> ASKED again later, or REFUSED
      \\--home away: asked again there when it is back, or moved

`docs/recovery.md` has the table. "Home" is the controller that was asked.
"""

from dataclasses import dataclass
from enum import Enum


class State(Enum):
    ASKED = "asked for, not known to be taken"
    TAKEN = "taken, no answer yet"
    ANSWERED = "placed, not over"
    OVER = "nothing will change any more"
    REFUSED = "not taken, and asking again will not help"
    UNKNOWN = "its controller knows nothing of it any more"


class Next(Enum):
    WAIT = "its home will tell when it is back"
    ASK = "ask its home again, under the same key"
    MOVE = "ask another controller"
    UNKNOWN = "nothing more will be heard of it"


@dataclass(frozen=True, slots=True)
class View:
    """What a decision looks at."""

    state: State
    sent: bool  # the question may have reached its home
    redoable: bool  # its effect may happen twice
    told_safe: bool = False  # its owner says that it may be asked for elsewhere


def home_away(view: View, away_for: float, patience: float, another: bool) -> Next:
    """The home's link is broken since `away_for` seconds; `another`: some other controller is there."""
    if view.state not in (State.ASKED, State.TAKEN) or not another:
        return Next.WAIT
    if view.state is State.ASKED and not view.sent:
        return Next.MOVE  # nobody has seen it
    if view.told_safe or view.redoable and away_for >= patience:
        return Next.MOVE
    return Next.WAIT  # it may run, or have run: its home alone can tell


def home_back(view: View, listed: bool) -> Next:
    """The home has told all that it holds for the session; `listed`: this job is among it."""
    if listed or view.state in (State.OVER, State.REFUSED, State.UNKNOWN):
        return Next.WAIT
    if view.state is State.ASKED:
        return Next.ASK  # it never took it: the same key, so that a doubled question joins
    # it was taken there and is not there any more: forgotten past its time, or the home lost its store. Asking again
    # would be a second effect for all that is known here.
    return Next.ASK if view.redoable and view.state is State.TAKEN else Next.UNKNOWN
