"""The acceptor's rules for one register, and the register's state transition. Pure functions."""

from collections.abc import Iterable
from dataclasses import replace

from linedeal.council.records import (
    EMPTY_SLOT,
    MAX_REMEMBERED_CHANGES,
    ZERO_BALLOT,
    Ballot,
    Change,
    Outcome,
    Slot,
    Value,
)


def prepare(slot: Slot, ballot: Ballot) -> Slot | None:
    """Returns the slot with the promise, or None if an equal or higher ballot was already promised."""
    return replace(slot, promised=ballot) if ballot > slot.promised else None


def accept(slot: Slot, ballot: Ballot, value: Value) -> Slot | None:
    """Returns the slot with the value accepted, or None if a higher ballot was promised."""
    return Slot(ballot, ballot, value) if ballot >= slot.promised else None


def highest_vote(votes: Iterable[tuple[Ballot, Value]]) -> tuple[Ballot, Value]:
    """Returns the vote at the highest ballot, which a proposer must build on.

    Equal ballots have equal values.
    """
    return max(votes, key=lambda vote: vote[0], default=(ZERO_BALLOT, EMPTY_SLOT.value))


def chosen_value(votes: list[tuple[Ballot, Value]], epoch: int) -> Value | None:
    """Returns the value that the votes of a majority prove to be chosen, or None if they prove nothing.

    Votes of an earlier epoch prove nothing: members take them over in a reconfiguration and need not have
    cast them.
    """
    ballots = {accepted for accepted, _ in votes}
    if len(ballots) == 1 and (ballots == {ZERO_BALLOT} or ballots.pop().epoch == epoch):
        return votes[0][1]
    return None


def apply_change(value: Value, change: Change) -> tuple[Outcome, Value]:
    """Applies a change to a value. A change that was already made is DONE and has no further effect.

    A change can only make version `expect` + 1. The ids of the latest changes are remembered, so a repeated
    request is recognized; beyond them the outcome is UNKNOWN.

    >>> outcome, one = apply_change(Value(), Change("a", 0, b"1"))
    >>> [apply_change(one, Change("a", 0, b"1"))[0].name, apply_change(one, Change("b", 0, b"2"))[0].name]
    ['DONE', 'CONFLICT']
    """
    if value.version == change.expect:
        return Outcome.DONE, Value(
            value.version + 1, change.body, (*value.changes, change.id)[-MAX_REMEMBERED_CHANGES:]
        )
    age = value.version - change.expect  # position of the change among `changes`, 1 for the newest
    if age < 0 or 0 < age <= len(value.changes) and value.changes[-age] != change.id:
        return Outcome.CONFLICT, value
    return (Outcome.DONE if age <= len(value.changes) else Outcome.UNKNOWN), value
