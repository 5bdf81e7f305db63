"""The course of one ask at the member that proposes for it: look, prepare, accept. Pure, in frozen records.

Records rather than a coroutine, because the explorer copies a member's whole state at every step.
"""

from dataclasses import dataclass, replace
from enum import Enum

from linedeal.council import slots
from linedeal.council.records import (
    Accept,
    Accepted,
    Request,
    Ballot,
    Look,
    Looked,
    Outcome,
    Prepare,
    Promised,
    Value,
)


class Phase(Enum):
    LOOK = "reads without a ballot"
    PREPARE = "asks for promises"
    ACCEPT = "asks for votes"


@dataclass(frozen=True, slots=True)
class Round:
    request: Request
    number: int  # of this try; a reply to another try has another number and is not counted
    ballot: Ballot
    phase: Phase
    retry_at: float  # when the next try begins, if no majority answered
    votes: tuple[tuple[str, Ballot, Value], ...] = ()  # each member's once, whatever arrives twice
    proposal: Value | None = None
    outcome: Outcome | None = None  # what the ask comes to once the proposal is chosen
    top: int = 0  # highest round of a ballot heard of
    tries: int = 1


@dataclass(frozen=True, slots=True)
class RoundResult:
    """The ask is over."""

    outcome: Outcome
    value: Value


def message(round: Round) -> Look | Prepare | Accept:
    """What every member is asked in this phase."""
    if round.phase is Phase.LOOK:
        return Look(round.number, round.request.key)
    if round.phase is Phase.PREPARE:
        return Prepare(round.number, round.request.key, round.ballot)
    return Accept(round.number, round.request.key, round.ballot, round.proposal)


def handle_reply(
    round: Round, name: str, said: Looked | Promised | Accepted, majority: int, number: int
) -> Round | RoundResult:
    """The round after a member's reply. `number` is that of the next try, should this reply begin one."""
    expected = {Phase.LOOK: Looked, Phase.PREPARE: Promised, Phase.ACCEPT: Accepted}[round.phase]
    if (
        type(said) is not expected
        or said.round != round.number
        or name in [voter for voter, *_ in round.votes]
    ):
        return round
    if round.phase is Phase.ACCEPT:
        round = replace(round, votes=(*round.votes, (name, round.ballot, round.proposal)))
    else:
        round = replace(round, votes=(*round.votes, (name, said.accepted, said.value)))
    if len(round.votes) < majority:
        return round
    return FINISH_PHASE[round.phase](round, number)


def finish_look(round: Round, number: int) -> Round | RoundResult:
    value = slots.chosen_value([vote[1:] for vote in round.votes], round.ballot.epoch)
    if value is not None:
        return RoundResult(Outcome.READ, value)
    return replace(round, phase=Phase.PREPARE, number=number, votes=())


def finish_prepare(round: Round, number: int) -> Round:
    """Propose: the change made to what was accepted last, or just that, so that what is told is chosen for sure."""
    _, value = slots.highest_vote(vote[1:] for vote in round.votes)
    outcome = Outcome.READ
    if round.request.change is not None:
        outcome, value = slots.apply_change(value, round.request.change)
    return replace(round, phase=Phase.ACCEPT, number=number, votes=(), proposal=value, outcome=outcome)


def finish_accept(round: Round, number: int) -> RoundResult:
    return RoundResult(round.outcome, round.proposal)


FINISH_PHASE = {Phase.LOOK: finish_look, Phase.PREPARE: finish_prepare, Phase.ACCEPT: finish_accept}
