"""Mutation test of the model checker: the council with one safeguard removed at a time.

Each mutant comes with the case whose schedules show that the safeguard is missing. A mutant that is not
detected means that the model checker misses violations, not that the safeguard is superfluous.
"""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, replace
from unittest import mock

from linedeal.council import reconfiguration, rounds, slots, staleness
from linedeal.council.member import Member
from linedeal.council.records import Outcome, Roster, Send
from linedeal.council.rounds import RoundResult
from linedeal.lab.model_checker import (
    Case,
    FaultBudget,
    SearchResult,
    explore_random,
    read_request,
    replacement_request,
    write_request,
)

TWO_WRITERS = (
    write_request(1, "a"),
    write_request(2, "b"),
    read_request(3, "c"),
    write_request(4, "c", 1),
    read_request(5, "a"),
)
WITHOUT_CRASHES = Case(3, TWO_WRITERS, FaultBudget(drops=4, duplicates=2, timers=8))
LOSSY = Case(3, TWO_WRITERS, FaultBudget(drops=3, duplicates=3, crashes=3, timers=8))
STALE_COPIES = Case(3, TWO_WRITERS, FaultBudget(drops=3, duplicates=2, crashes=1, timers=8, rollbacks=2))
RECONFIGURATION = Case(
    3,
    (
        write_request(1, "a"),
        write_request(2, "b"),
        read_request(3, "c"),
        replacement_request(6, "b", 3, "c", "d"),
        write_request(4, "b", 1),
        read_request(5, "a"),
        read_request(7, "b"),
    ),
    FaultBudget(drops=4, duplicates=1, crashes=1, timers=25),
    ("d",),
)
REPEATED_CHANGE = Case(
    3,
    (
        write_request(1, "a", id="w"),
        write_request(2, "b", id="w"),
        write_request(3, "c", 1),
        read_request(4, "a"),
    ),
    FaultBudget(drops=3, timers=8),
)


@dataclass(frozen=True, slots=True)
class Mutant:
    """A removed safeguard: the attribute of `target` is replaced while the case is run."""

    name: str
    case: Case
    target: object
    attribute: str
    replacement: Callable


def persist_no_votes(self: Member, *records) -> None:
    """Keeps slots in memory only."""
    original_persist(self, *[record for record in records if not record[0].startswith("slot/")])


def persist_no_promises(self: Member, *records) -> None:
    """Keeps a promise without a vote in memory only."""
    original_persist(
        self,
        *[
            record
            for record in records
            if not record[0].startswith("slot/") or record[1].accepted == record[1].promised
        ],
    )


def send_before_persist(self: Member) -> list:
    """Sends packets before the records that they depend on are on disk."""
    effects = original_take_effects(self)
    return [effect for effect in effects if type(effect) is Send] + [
        effect for effect in effects if type(effect) is not Send
    ]


def half_as_majority(self: Roster) -> int:
    """Returns the size of a majority less one."""
    return len(self.members) // 2


def lowest_vote(votes):
    """Returns the vote at the lowest ballot instead of the highest."""
    return min(votes, key=lambda vote: vote[0])


def count_repeated_replies(round, name, reply, majority, number):
    """Counts every reply as if it came from another member."""
    return original_handle_reply(round, f"{name}{len(round.votes)}", reply, majority, number)


def answer_read_without_accept(round, number):
    """Answers a read with the value of the prepare phase, without proposing it again."""
    after = original_finish_prepare(round, number)
    return RoundResult(Outcome.READ, after.proposal) if round.request.change is None else after


def merge_first_state(states):
    """Takes over the state of one member instead of a majority."""
    return original_merge_states(list(states)[:1])


def never_seal(self: Member, roster: Roster) -> None:
    """Does not stop voting in the old epoch."""
    pass


def apply_without_ids(value, change):
    """Does not recognize a repeated change."""
    if value.version != change.expect:
        return Outcome.CONFLICT, value
    return original_apply_change(value, change)


def accept_any_ballot(slot, ballot, value):
    """Accepts a value even if a higher ballot was promised."""
    return replace(slot, promised=max(ballot, slot.promised), accepted=ballot, value=value)


original_persist, original_take_effects = Member.persist, Member.take_effects
original_handle_reply, original_finish_prepare, original_merge_states, original_apply_change = (
    rounds.handle_reply,
    rounds.finish_prepare,
    reconfiguration.merge_states,
    slots.apply_change,
)

MUTANTS = (
    Mutant("a promise is not remembered", WITHOUT_CRASHES, slots, "prepare", lambda slot, ballot: slot),
    Mutant("a promise is not written to disk", LOSSY, Member, "persist", persist_no_promises),
    Mutant("a vote is not written to disk", LOSSY, Member, "persist", persist_no_votes),
    Mutant("a vote is sent before it is on disk", LOSSY, Member, "take_effects", send_before_persist),
    Mutant("a majority is one too few", WITHOUT_CRASHES, Roster, "majority", property(half_as_majority)),
    Mutant(
        "the lowest vote is proposed, not the highest", WITHOUT_CRASHES, slots, "highest_vote", lowest_vote
    ),
    Mutant("one member's replies count twice", LOSSY, rounds, "handle_reply", count_repeated_replies),
    Mutant("a member accepts below its promise", WITHOUT_CRASHES, slots, "accept", accept_any_ballot),
    Mutant(
        "the look phase answers with the highest vote",
        WITHOUT_CRASHES,
        slots,
        "chosen_value",
        lambda votes, epoch: slots.highest_vote(votes)[1],
    ),
    Mutant(
        "a read does not write back",
        WITHOUT_CRASHES,
        rounds,
        "FINISH_PHASE",
        {**rounds.FINISH_PHASE, rounds.Phase.PREPARE: answer_read_without_accept},
    ),
    Mutant(
        "changes are not remembered by their ids", REPEATED_CHANGE, slots, "apply_change", apply_without_ids
    ),
    Mutant("a member votes in an epoch that it sealed", RECONFIGURATION, Member, "seal", never_seal),
    Mutant(
        "a reconfiguration takes over one member's state",
        RECONFIGURATION,
        reconfiguration,
        "merge_states",
        merge_first_state,
    ),
    Mutant(
        "an older copy of a directory is not detected",
        STALE_COPIES,
        staleness,
        "check_freshness",
        lambda seen, received: (staleness.Freshness.NEWER, received),
    ),
    Mutant(
        "a member votes before the others know its life",
        STALE_COPIES,
        Member,
        "may_vote",
        lambda self: self.identity in self.roster.members and not self.retired,
    ),
)


@contextmanager
def applied(mutant: Mutant) -> Iterator[None]:
    """Removes the safeguard inside a `with` block."""
    with mock.patch.object(mutant.target, mutant.attribute, mutant.replacement):
        yield


def find_violation(mutant: Mutant, seeds: range, steps: int = 160) -> SearchResult:
    """Runs random schedules until one violates an invariant.

    `states` and `seconds` of the result are sums over all schedules that were run.
    """
    total = SearchResult()
    with applied(mutant):
        for seed in seeds:
            result = explore_random(mutant.case, seed, steps)
            total.states += result.states
            total.seconds += result.seconds
            if result.violation:
                total.violation, total.schedule = result.violation, result.schedule
                break
    return total
