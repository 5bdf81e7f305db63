"""What an owner's order does to a job, by how the job stands. Free of I/O and clock; docs/recovery.md has the table."""

from dataclasses import dataclass
from enum import Enum

from linedeal.engine.ledger import AT_HOST, Entry, Stage
from linedeal.interface import Effect


class OrderKind(Enum):
    HOLD = "hold"
    RELEASE = "release"
    END = "end"


class Fault(Enum):
    NONE = "done"
    NO_SUCH_JOB = "no such job in this session"
    WRONG_STATE = "not in this state"


class OrderAction(Enum):
    NOTHING = "stands so already"
    HOLD = "taken from the module, its time stops"
    RELEASE = "back to the module"
    STOP = "its host is told to stop it"
    REJECT = "answered at once: it did not run, or may run again"
    WRITE_OFF = "answered at once: it may have run"
    REFUSE = "left as it is"


@dataclass(frozen=True, slots=True)
class OrderDecision:
    action: OrderAction
    reason: str = ""


def decide_order(
    kind: OrderKind, entry: Entry, launch_out: bool, may_have_run: bool, effect: Effect
) -> OrderDecision:
    """`launch_out`: sent or about to be, without an answer. `may_have_run`: an earlier launch of it may have."""
    if entry.over:
        return OrderDecision(OrderAction.REFUSE, f"it has ended: {entry.stage.value}")
    if kind is OrderKind.END:
        if entry.stage in AT_HOST:
            return OrderDecision(OrderAction.STOP)
        # a launch that is out cannot be known not to run: rule 2 leaves only "written off", unless repeats do no harm
        harmless = effect is Effect.REDOABLE or not (launch_out or may_have_run)
        return OrderDecision(OrderAction.REJECT if harmless else OrderAction.WRITE_OFF)
    if entry.stage in AT_HOST:
        return OrderDecision(OrderAction.REFUSE, "a host has it already")
    if kind is OrderKind.HOLD:
        if entry.stage is Stage.HELD:
            return OrderDecision(OrderAction.NOTHING)
        if launch_out:
            # holding now would leave a yes on its way to a job that its owner believes held
            return OrderDecision(OrderAction.REFUSE, "its launch is out")
        if may_have_run and effect is not Effect.REDOABLE:
            return OrderDecision(OrderAction.REFUSE, "a launch of it may have run, its window goes on")
        return OrderDecision(OrderAction.HOLD)
    if entry.stage is Stage.HELD:
        return OrderDecision(OrderAction.RELEASE)
    return OrderDecision(OrderAction.REFUSE, "it is not held")
