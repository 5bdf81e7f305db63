"""Checks whether the answers of a register are linearizable.

That means that one register which carries out one operation at a time could have given them, each at a moment
between the operation's start and end.

The search is that of Wing and Gong: try as the next operation each one that began before any other ended,
undo it, and remember states that failed. An operation without an answer, or with UNKNOWN, may have taken
effect at any time after it began, or not at all.
"""

from dataclasses import dataclass

from linedeal.council.records import Change, Outcome, Value


@dataclass(frozen=True, slots=True)
class Operation:
    """A read, or a change, of a register.

    `began` and `ended` are positions in one order of all starts and ends; `ended` is None if there was no
    answer.
    """

    change: Change | None
    began: int
    ended: int | None = None
    outcome: Outcome | None = None
    value: Value | None = None


def is_linearizable(operations: tuple[Operation, ...]) -> bool:
    """Returns whether the operations on one register, absent at first, are linearizable.

    The versions of the register and the ids of its changes have to agree as well.

    >>> first = Change("a", 0, b"1")
    >>> done = Operation(first, 0, 1, Outcome.DONE, Value(1, b"1", ("a",)))
    >>> stale = Operation(None, 2, 3, Outcome.READ, Value())
    >>> is_linearizable((done,)), is_linearizable((done, stale))
    (True, False)
    """
    failed = set()

    def search(left: frozenset[int], value: Value) -> bool:
        if all(is_open(operations[place]) for place in left):
            return True
        if (left, value) in failed:
            return False
        first_end = min(
            (operations[place].ended for place in left if operations[place].ended is not None),
            default=float("inf"),
        )
        for place in left:
            if operations[place].began < first_end:
                for after in possible_values(operations[place], value):
                    if search(left - {place}, after):
                        return True
        failed.add((left, value))
        return False

    return search(frozenset(range(len(operations))), Value())


def is_open(operation: Operation) -> bool:
    """Returns whether it is unknown if the operation took effect, or certain that it did not."""
    return operation.ended is None or operation.outcome in (
        Outcome.UNKNOWN,
        Outcome.BUSY,
        Outcome.UNREADY,
    )


def possible_values(operation: Operation, value: Value) -> list[Value]:
    """Returns the values that the operation may leave behind; none if its answer contradicts `value`."""
    if operation.ended is not None and operation.outcome in (Outcome.BUSY, Outcome.UNREADY):
        return [value]  # was rejected before it started
    if operation.change is None:
        return [value] if is_open(operation) or operation.value == value else []
    changed = Value(value.version + 1, operation.change.body, (*value.changes, operation.change.id))
    applies = value.version == operation.change.expect and operation.change.id not in value.changes
    if is_open(operation):
        return [changed, value] if applies else [value]
    if operation.outcome is Outcome.DONE:
        return (
            [changed]
            if applies and (operation.value.version > changed.version or operation.value == changed)
            else []
        )
    return (
        [value] if operation.outcome is Outcome.CONFLICT and not applies and operation.value == value else []
    )
