"""The proposer's side of one request: look, prepare, accept. Pure functions on frozen records.

The state is kept in records and not in a coroutine because the model checker
(`lab/model_checker.py`) copies a member's whole state at every step.
"""

from dataclasses import dataclass, replace
from enum import Enum

from linedeal.council import slots
from linedeal.council.records import (
    Accept,
    Accepted,
    Ballot,
    Look,
    Looked,
    Outcome,
    Prepare,
    Promised,
    Request,
    Value,
)


class Phase(Enum):
    """The phase of an attempt."""

    LOOK = "reads without a ballot"
    PREPARE = "requests promises"
    ACCEPT = "requests votes"


@dataclass(frozen=True, slots=True)
class Round:
    """The proposer's state for one request. Each attempt and each phase of it has a number of its own."""

    request: Request
    number: int  # of this phase of the attempt; replies with another number are ignored
    ballot: Ballot
    phase: Phase
    retry_at: float  # when the next attempt starts if no majority has replied
    # one for each member, even if a reply is received twice
    votes: tuple[tuple[str, Ballot, Value], ...] = ()
    proposal: Value | None = None
    outcome: Outcome | None = None  # of the request once the proposal is chosen
    max_ballot_round: int = 0  # highest `round` of any ballot seen
    attempt: int = 1


@dataclass(frozen=True, slots=True)
class RoundResult:
    """The request is finished."""

    outcome: Outcome
    value: Value


def message(round: Round) -> Look | Prepare | Accept:
    """Returns the packet that every member is sent in this phase."""
    if round.phase is Phase.LOOK:
        return Look(round.number, round.request.key)
    if round.phase is Phase.PREPARE:
        return Prepare(round.number, round.request.key, round.ballot)
    return Accept(round.number, round.request.key, round.ballot, round.proposal)


def handle_reply(
    round: Round, name: str, reply: Looked | Promised | Accepted, majority: int, number: int
) -> Round | RoundResult:
    """Returns the round after a member's reply.

    `number` is that of the next phase, if this reply starts one.
    """
    expected = {Phase.LOOK: Looked, Phase.PREPARE: Promised, Phase.ACCEPT: Accepted}[round.phase]
    if (
        type(reply) is not expected
        or reply.round != round.number
        or name in [voter for voter, *_ in round.votes]
    ):
        return round
    if round.phase is Phase.ACCEPT:
        round = replace(round, votes=(*round.votes, (name, round.ballot, round.proposal)))
    else:
        round = replace(round, votes=(*round.votes, (name, reply.accepted, reply.value)))
    if len(round.votes) < majority:
        return round
    return FINISH_PHASE[round.phase](round, number)


def finish_look(round: Round, number: int) -> Round | RoundResult:
    """Ends the look phase: if the votes prove no chosen value, the prepare phase follows."""
    value = slots.chosen_value([vote[1:] for vote in round.votes], round.ballot.epoch)
    if value is not None:
        return RoundResult(Outcome.READ, value)
    return replace(round, phase=Phase.PREPARE, number=number, votes=())


def finish_prepare(round: Round, number: int) -> Round:
    """Ends the prepare phase: proposes the value accepted last, with the request's change applied.

    A read proposes the value unchanged, so that the value it returns is certain to be chosen.
    """
    _, value = slots.highest_vote(vote[1:] for vote in round.votes)
    outcome = Outcome.READ
    if round.request.change is not None:
        outcome, value = slots.apply_change(value, round.request.change)
    return replace(round, phase=Phase.ACCEPT, number=number, votes=(), proposal=value, outcome=outcome)


def finish_accept(round: Round, number: int) -> RoundResult:
    """Ends the accept phase: the proposal is chosen."""
    return RoundResult(round.outcome, round.proposal)


FINISH_PHASE = {Phase.LOOK: finish_look, Phase.PREPARE: finish_prepare, Phase.ACCEPT: finish_accept}
