"""Whether answers of a register could have come from one register that does one thing at a time (linearizability).

The search is Wing and Gong's: try as the next operation each that began before any other ended, undo, remember states
that failed. An operation without an answer, or with UNKNOWN, may have taken effect at any time after it began, or not.
"""

from dataclasses import dataclass

from linedeal.council.records import Change, Outcome, Value


@dataclass(frozen=True, slots=True)
class Operation:
    """`began` and `ended` are places in one order of all beginnings and ends; `ended` None: not answered."""

    change: Change | None
    began: int
    ended: int | None = None
    outcome: Outcome | None = None
    value: Value | None = None


def is_linearizable(ops: tuple[Operation, ...]) -> bool:
    """For the operations on one register, absent at first. Versions and ids of changes have to agree as well.

    >>> first = Change("a", 0, b"1")
    >>> done, early = Operation(first, 0, 1, Outcome.DONE, Value(1, b"1", ("a",))), Operation(None, 2, 3, Outcome.READ, Value())
    >>> is_linearizable((done,)), is_linearizable((done, early))
    (True, False)
    """
    failed = set()

    def search(left: frozenset[int], value: Value) -> bool:
        if all(is_open(ops[place]) for place in left):
            return True
        if (left, value) in failed:
            return False
        first_end = min(
            (ops[place].ended for place in left if ops[place].ended is not None), default=float("inf")
        )
        for place in left:
            if ops[place].began < first_end:
                for after in effects(ops[place], value):
                    if search(left - {place}, after):
                        return True
        failed.add((left, value))
        return False

    return search(frozenset(range(len(ops))), Value())


def is_open(op: Operation) -> bool:
    return op.ended is None or op.outcome in (Outcome.UNKNOWN, Outcome.BUSY, Outcome.UNREADY)


def effects(op: Operation, value: Value) -> list[Value]:
    """The values it may leave behind; none where its answer does not fit `value`."""
    if op.ended is not None and op.outcome in (Outcome.BUSY, Outcome.UNREADY):
        return [value]  # never begun
    if op.change is None:
        return [value] if is_open(op) or op.value == value else []
    made = Value(value.version + 1, op.change.body, (*value.changes, op.change.id))
    fits = value.version == op.change.expect and op.change.id not in value.changes
    if is_open(op):
        return [made, value] if fits else [value]
    if op.outcome is Outcome.DONE:
        return [made] if fits and (op.value.version > made.version or op.value == made) else []
    return [value] if op.outcome is Outcome.CONFLICT and not fits and op.value == value else []
