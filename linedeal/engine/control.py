"""What an owner's order does to a job, depending on the job's stage. No I/O, no clock.

docs/recovery.md has the table.
"""

from dataclasses import dataclass
from enum import Enum

from linedeal.engine.ledger import AT_HOST, Entry, Stage
from linedeal.interface import Effect


class OrderKind(Enum):
    """What an owner may order for its job."""

    HOLD = "hold"
    RELEASE = "release"
    END = "end"


class Fault(Enum):
    """Why an order is refused."""

    NONE = "done"
    NO_SUCH_JOB = "no such job in this session"
    WRONG_STATE = "not in this state"


class OrderAction(Enum):
    """What is done for an order."""

    NOTHING = "already in that state"
    HOLD = "withdrawn from the module; its time stops"
    RELEASE = "back to the module"
    STOP = "its host receives an order to stop it"
    REJECT = "answered at once: it did not run, or may run again"
    WRITE_OFF = "answered at once: it may have run"
    REFUSE = "left as it is"


@dataclass(frozen=True, slots=True)
class OrderDecision:
    """The action, and for a refusal its reason."""

    action: OrderAction
    reason: str = ""


def decide_order(
    kind: OrderKind, entry: Entry, launch_out: bool, may_have_run: bool, effect: Effect
) -> OrderDecision:
    """What an order does.

    `launch_out`: a launch is sent or about to be, without an answer. `may_have_run`: an earlier launch of the
    job may have run. `effect`: of the job's offering.
    """
    if entry.over:
        return OrderDecision(OrderAction.REFUSE, f"it has ended: {entry.stage.value}")
    if kind is OrderKind.END:
        if entry.stage in AT_HOST:
            return OrderDecision(OrderAction.STOP)
        # a launch without an answer may run: rule 2 allows only "written off", unless a repeat does no harm
        harmless = effect is Effect.REDOABLE or not (launch_out or may_have_run)
        return OrderDecision(OrderAction.REJECT if harmless else OrderAction.WRITE_OFF)
    if entry.stage in AT_HOST:
        return OrderDecision(OrderAction.REFUSE, "a host has it already")
    if kind is OrderKind.HOLD:
        if entry.stage is Stage.HELD:
            return OrderDecision(OrderAction.NOTHING)
        if launch_out:
            # a hold now could cross the host's acceptance: the job would run while its owner believes it held
            return OrderDecision(OrderAction.REFUSE, "its launch is out")
        if may_have_run and effect is not Effect.REDOABLE:
            return OrderDecision(OrderAction.REFUSE, "a launch of it may have run, its window goes on")
        return OrderDecision(OrderAction.HOLD)
    if entry.stage is Stage.HELD:
        return OrderDecision(OrderAction.RELEASE)
    return OrderDecision(OrderAction.REFUSE, "it is not held")
