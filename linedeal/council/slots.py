"""What one member may vote on one register, and how a register's value changes. Pure functions."""

from dataclasses import replace
from typing import Iterable

from linedeal.council.records import EMPTY, RECENT, ZERO, Ballot, Change, Outcome, Slot, Value


def prepare(slot: Slot, ballot: Ballot) -> Slot | None:
    """The slot with its promise; None where a ballot as high was promised already."""
    return replace(slot, promised=ballot) if ballot > slot.promised else None


def accept(slot: Slot, ballot: Ballot, value: Value) -> Slot | None:
    """The slot with the value accepted; None where a higher ballot was promised."""
    return Slot(ballot, ballot, value) if ballot >= slot.promised else None


def highest_vote(votes: Iterable[tuple[Ballot, Value]]) -> tuple[Ballot, Value]:
    """What must be carried on: the value accepted at the highest ballot. Equal ballots have equal values."""
    return max(votes, key=lambda vote: vote[0], default=(ZERO, EMPTY.value))


def chosen_value(votes: list[tuple[Ballot, Value]], epoch: int) -> Value | None:
    """The value a majority's looks show to be chosen; None where that cannot be told from them.

    Votes of an earlier epoch do not show it: members took them over at a move, and need not have cast them.
    """
    ballots = {accepted for accepted, _ in votes}
    if len(ballots) == 1 and (ballots == {ZERO} or ballots.pop().epoch == epoch):
        return votes[0][1]
    return None


def apply_change(value: Value, change: Change) -> tuple[Outcome, Value]:
    """What the change makes of the value. Asked for again after it was made, it is DONE and changes nothing.

    A change made could only make version `expect` + 1; whose change made that is remembered for a while.

    >>> outcome, one = apply_change(Value(), Change("a", 0, b"1"))
    >>> [apply_change(one, Change("a", 0, b"1"))[0].name, apply_change(one, Change("b", 0, b"2"))[0].name]
    ['DONE', 'CONFLICT']
    """
    if value.version == change.expect:
        return Outcome.DONE, Value(value.version + 1, change.body, (*value.changes, change.id)[-RECENT:])
    back = value.version - change.expect  # its place from the newest, counted from 1
    if back < 0 or 0 < back <= len(value.changes) and value.changes[-back] != change.id:
        return Outcome.CONFLICT, value
    return (Outcome.DONE if back <= len(value.changes) else Outcome.UNKNOWN), value
