"""The council's core with one guard taken out at a time, and which case shows it: the explorer's own test.

`hunt` says after how many steps and how long a fault was found. A fault that is not found would mean that the explorer
is blind, not that the guard is idle.
"""

from contextlib import contextmanager
from dataclasses import dataclass, replace
from typing import Callable, Iterator
from unittest import mock

from linedeal.council import reconfiguration, rounds, slots, staleness
from linedeal.council.member import Member
from linedeal.council.records import Outcome, Roster, Send
from linedeal.council.rounds import RoundResult
from linedeal.lab.model_checker import (
    FaultBudget,
    Case,
    Found,
    read_request,
    replacement_request,
    explore_random,
    write_request,
)

TWO_WRITERS = (
    write_request(1, "a"),
    write_request(2, "b"),
    read_request(3, "c"),
    write_request(4, "c", 1),
    read_request(5, "a"),
)
CALM = Case(3, TWO_WRITERS, FaultBudget(drops=4, duplicates=2, timers=8))
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
ASKED_TWICE = Case(
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
    """A guard taken out. `where.what` is put in place of the true one while it is played."""

    name: str
    case: Case
    where: object
    what: str
    put: Callable


def forget_votes(self: Member, *records) -> None:
    true_keep(self, *[record for record in records if not record[0].startswith("slot/")])


def forget_promises(self: Member, *records) -> None:
    """A promise alone stays in memory."""
    true_keep(
        self,
        *[
            record
            for record in records
            if not record[0].startswith("slot/") or record[1].accepted == record[1].promised
        ],
    )


def tell_first(self: Member) -> list:
    """Sends ahead of what they rest on."""
    out = true_done(self)
    return [one for one in out if type(one) is Send] + [one for one in out if type(one) is not Send]


def own_majority(self: Roster) -> int:
    return len(self.members) // 2


def oldest(votes):
    return min(votes, key=lambda vote: vote[0])


def count_twice(round, name, said, majority, number):
    """Replies are told apart by when they come, not by who sent them."""
    return true_heard(round, f"{name}{len(round.votes)}", said, majority, number)


def read_unchosen(round, number):
    """A read answers what it found, without writing it back."""
    after = true_promised(round, number)
    return RoundResult(Outcome.READ, after.proposal) if round.request.change is None else after


def merge_one(states):
    return true_merged(list(states)[:1])


def never_seal(self: Member, roster: Roster) -> None:
    pass


def no_memory(value, change):
    if value.version != change.expect:
        return Outcome.CONFLICT, value
    return true_changed(value, change)


def any_ballot(slot, ballot, value):
    return replace(slot, promised=max(ballot, slot.promised), accepted=ballot, value=value)


true_keep, true_done = Member.persist, Member.take_effects
true_heard, true_promised, true_merged, true_changed = (
    rounds.handle_reply,
    rounds.finish_prepare,
    reconfiguration.merge_states,
    slots.apply_change,
)

MUTANTS = (
    Mutant("a promise is forgotten at once", CALM, slots, "prepare", lambda slot, ballot: slot),
    Mutant("a promise is not kept on disk", LOSSY, Member, "persist", forget_promises),
    Mutant("a vote is not kept on disk", LOSSY, Member, "persist", forget_votes),
    Mutant("a vote is told before it is on disk", LOSSY, Member, "take_effects", tell_first),
    Mutant("a majority is one too few", CALM, Roster, "majority", property(own_majority)),
    Mutant("the oldest vote is carried on, not the newest", CALM, slots, "highest_vote", oldest),
    Mutant("one member's replies count twice", LOSSY, rounds, "handle_reply", count_twice),
    Mutant("a member accepts below its promise", CALM, slots, "accept", any_ballot),
    Mutant(
        "a look answers whatever is newest",
        CALM,
        slots,
        "chosen_value",
        lambda votes, epoch: slots.highest_vote(votes)[1],
    ),
    Mutant(
        "a read does not write back",
        CALM,
        rounds,
        "FINISH_PHASE",
        {**rounds.FINISH_PHASE, rounds.Phase.PREPARE: read_unchosen},
    ),
    Mutant("changes are not remembered by their ids", ASKED_TWICE, slots, "apply_change", no_memory),
    Mutant("a member votes on in the epoch it sealed", RECONFIGURATION, Member, "seal", never_seal),
    Mutant(
        "a move takes over one member's votes", RECONFIGURATION, reconfiguration, "merge_states", merge_one
    ),
    Mutant(
        "an older copy is not told from the directory",
        STALE_COPIES,
        staleness,
        "check_freshness",
        lambda seen, mark: (staleness.Freshness.NEWER, mark),
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
def in_place(fault: Mutant) -> Iterator[None]:
    with mock.patch.object(fault.where, fault.what, fault.put):
        yield


def find_violation(fault: Mutant, seeds: range, steps: int = 160) -> Found:
    """Random schedules until one shows the fault; `states` and `seconds` are of all of them together."""
    found = Found()
    with in_place(fault):
        for seed in seeds:
            one = explore_random(fault.case, seed, steps)
            found.states += one.states
            found.seconds += one.seconds
            if one.violation:
                found.violation, found.schedule = one.violation, one.schedule
                break
    return found
