"""Plays the council's core through orders of delivery, loss, doubling, crash and timer, and judges every state.

One `World` is some members, what is on their disks, the packets under way and what clients were answered. `moves_of`
lists what may happen next, `after` makes one happen in a copy. `explore_all` tries all within budgets of faults, `explore_random`
follows one seeded random schedule. Judged from what is on disk and was answered alone:

- two votes at one ballot are for one value, and what majorities chose is a chain: each later value follows the earlier;
- the answers on each register are linearizable;
- no member votes in an epoch that it sealed, none with a directory that is known to be older.
"""

import random
import time
from dataclasses import dataclass, field, replace
from typing import Iterator

from linedeal.council.member import Member
from linedeal.council.records import (
    ROSTER_KEY,
    Response,
    Request,
    Ballot,
    Change,
    Identity,
    Persist,
    ReplicaVersion,
    Packet,
    Roster,
    Send,
    Value,
)
from linedeal.council import reconfiguration
from linedeal.lab.linearizability import Operation, is_linearizable

FOREVER = 1e12


class Broken(Exception):
    """A rule of the council does not hold; its text says which."""


@dataclass(frozen=True, slots=True)
class FaultBudget:
    """How many of each fault one schedule may have."""

    drops: int = 0
    duplicates: int = 0
    crashes: int = 0
    timers: int = 0
    rollbacks: int = 0  # crashes after which an older copy of the directory comes back


@dataclass(frozen=True, slots=True)
class Case:
    """Who is there, and what is asked of whom: (member, ask), in any order."""

    members: int
    asks: tuple[tuple[str, Request], ...]
    budget: FaultBudget = FaultBudget()
    spare: tuple[str, ...] = ()  # directories of no council that run as well


def names(count: int) -> tuple[str, ...]:
    return tuple("abcdefg"[:count])


def read_request(number: int, at: str, key: str = "k") -> tuple[str, Request]:
    return at, Request(number, f"c{number}", key, None, FOREVER)


def write_request(
    number: int, at: str, expect: int = 0, key: str = "k", id: str = "", body: bytes = b""
) -> tuple[str, Request]:
    return at, Request(
        number, f"c{number}", key, Change(id or f"w{number}", expect, body or b"%d" % number), FOREVER
    )


def replacement_request(number: int, at: str, members: int, old: str, new: str) -> tuple[str, Request]:
    roster = Roster(1, tuple(Identity(name, 1) for name in names(members)))
    return write_request(
        number,
        at,
        0,
        ROSTER_KEY,
        body=reconfiguration.encode_roster(reconfiguration.replace_member(roster, old, Identity(new, 1))),
    )


@dataclass(slots=True)
class World:
    case: Case
    members: dict[str, Member]
    disks: dict[str, dict]
    older: dict[str, dict]  # the copy of its directory that a rollback brings back
    starts: dict[str, int]  # how often each was started
    packets: tuple[tuple[str, Packet], ...] = ()  # to whom, what; in any order
    asked: frozenset[int] = frozenset()
    history: tuple[tuple[int, Response | None], ...] = ()  # ask number; None: it was asked
    votes: dict[tuple[str, Ballot], tuple[Value, frozenset[str]]] = field(default_factory=dict)
    rosters: dict[int, Roster] = field(default_factory=dict)
    budget: FaultBudget = FaultBudget()

    def copy(self, changes: str = "") -> "World":
        """Members are copied only where they are about to change."""
        members = dict(self.members)
        disks = dict(self.disks)
        if changes in members:
            members[changes] = members[changes].copy()
            disks[changes] = dict(disks[changes])
        return World(
            self.case,
            members,
            disks,
            self.older,
            dict(self.starts),
            self.packets,
            self.asked,
            self.history,
            dict(self.votes),
            self.rosters,
            self.budget,
        )

    def frozen(self) -> int:
        return hash(
            (
                tuple(member.state_key() for member in self.members.values()),
                tuple(frozenset(disk.items()) for disk in self.disks.values()),
                frozenset(self.packets),
                len(self.packets),
                self.asked,
                self.history,
                frozenset(self.votes.items()),
                self.budget,
            )
        )


def constant_jitter() -> float:
    return 0.5


def world(case: Case) -> World:
    """A council that stands, its members known to each other, nothing under way."""
    roster = Roster(1, tuple(Identity(name, 1) for name in names(case.members)))
    marks = tuple(
        ReplicaVersion(who.name, 1, 1, 100 + place, 0, 1) for place, who in enumerate(roster.members)
    )
    made = World(case, {}, {}, {}, {}, budget=case.budget, rosters={1: roster})
    for place, who in enumerate(roster.members):
        seen = tuple(mark for mark in marks if mark.name != who.name)
        disk = {"roster": roster, "life": 0, "writes": 0, "seen": seen}
        member = Member(who, "lapa", names(case.members), disk, 100 + place, constant_jitter)
        member.begin(0.0)
        member.admitted = True
        made.members[who.name] = member
        made.disks[who.name] = {**disk, "life": 1, "writes": 1}
        made.starts[who.name] = 1
    for place, name in enumerate(case.spare):
        made.members[name] = Member(
            Identity(name, 1), "lapa", names(case.members), {}, 200 + place, constant_jitter
        )
        made.disks[name] = {}
        made.starts[name] = 1
        carry_out(made, name, made.members[name].begin(0.0), None)
    made.older = {name: dict(disk) for name, disk in made.disks.items()}
    return made


# --- what may happen


def moves_of(at: World) -> Iterator[tuple]:
    case, budget = at.case, at.budget
    for place in range(len(at.packets)):
        if at.packets[place] not in at.packets[:place]:
            yield "deliver", place, None
            if budget.drops:
                yield "drop", place, None
            if budget.duplicates:
                yield "double", place, None
            if budget.crashes:  # cut off before what it keeps next is on disk
                yield "deliver", place, 0
                yield "deliver", place, 1
    for who, ask in case.asks:
        if ask.number not in at.asked:
            yield "ask", (who, ask), None
    for name in at.members:
        if budget.timers:
            yield "timer", name, None
        if budget.crashes:
            yield "crash", name, None
        if budget.rollbacks and name in names(case.members):
            yield "rollback", name, None


def after(before: World, move: tuple) -> World:
    """The world once this happened. Raises Broken."""
    kind, what, cut = move
    if kind in ("deliver", "drop", "double"):
        to, packet = before.packets[what]
        at = before.copy(to if kind == "deliver" else "")
        if kind == "double":
            at.packets = (*at.packets, at.packets[what])
            at.budget = replace(at.budget, duplicates=at.budget.duplicates - 1)
            return at
        at.packets = at.packets[:what] + at.packets[what + 1 :]
        if kind == "drop":
            at.budget = replace(at.budget, drops=at.budget.drops - 1)
        elif to in at.members:
            carry_out(at, to, at.members[to].receive(packet, 0.0), cut)
    elif kind == "ask":
        who, ask = what
        at = before.copy(who)
        at.asked |= {ask.number}
        at.history = (*at.history, (ask.number, None))
        carry_out(at, who, at.members[who].submit(ask, 0.0), cut)
    elif kind == "timer":
        at = before.copy(what)
        at.budget = replace(at.budget, timers=at.budget.timers - 1)
        member = at.members[what]
        carry_out(at, what, member.tick(max(member.next_tick(), 0.0) + 10.0), cut)
        unwind(member)
    else:
        at = before.copy(what)
        if kind == "rollback":
            at.disks[what] = dict(at.older[what])
            at.budget = replace(at.budget, rollbacks=at.budget.rollbacks - 1)
        else:
            at.budget = replace(at.budget, crashes=at.budget.crashes - 1)
        restart(at, what)
    return at


def unwind(member: Member) -> None:
    """Back to time 0, so that states that differ in the time alone count as one."""
    member.heartbeat_at, member.helped_at = FOREVER, {}
    member.rounds = {key: replace(round, retry_at=1.0) for key, round in member.rounds.items()}
    if member.reconfiguration is not None:
        member.reconfiguration = replace(member.reconfiguration, retry_at=1.0)


def restart(at: World, name: str) -> None:
    at.starts[name] += 1
    start = 1000 * at.starts[name] + ord(name[0])
    at.members[name] = Member(
        Identity(name, 1), "lapa", names(at.case.members), at.disks[name], start, constant_jitter
    )
    carry_out(at, name, at.members[name].begin(0.0), None)
    unwind(at.members[name])


def carry_out(at: World, name: str, effects: list, cut: int | None) -> None:
    """In order; with `cut`, the process dies before its next Persist but that many, and starts anew."""
    for effect in effects:
        if type(effect) is Persist:
            if cut == 0:
                at.budget = replace(at.budget, crashes=at.budget.crashes - 1)
                restart(at, name)
                return
            cut = None if cut is None else cut - 1
            at.disks[name].update(effect.records)
            witness_votes(at, name, effect)
        elif type(effect) is Send:
            at.packets = (*at.packets, (effect.to, effect.packet))
        elif type(effect) is Response:
            at.history = (*at.history, (effect.request.number, effect))
            judge_history(at, effect.request.key)


# --- judges


def witness_votes(at: World, name: str, keep: Persist) -> None:
    records = dict(keep.records)
    if "roster" in records:
        roster = records["roster"]
        if at.rosters.setdefault(roster.epoch, roster) != roster:
            raise Broken(f"two rosters of epoch {roster.epoch}")
        at.rosters = dict(at.rosters)
        return  # what it takes over at a move are no votes of its own
    for record, slot in records.items():
        if not record.startswith("slot/") or slot.accepted != slot.promised or not slot.accepted.epoch:
            continue
        if at.disks[name].get("sealed") is not None and at.disks[name]["roster"].epoch >= slot.accepted.epoch:
            raise Broken(f"{name} votes in epoch {slot.accepted.epoch}, which it sealed")
        vote = record, slot.accepted
        value, voters = at.votes.get(vote, (slot.value, frozenset()))
        if value != slot.value:
            raise Broken(f"two values at {slot.accepted} of {record}: {value} and {slot.value}")
        at.votes[vote] = value, voters | {name}
        judge_chosen(at, record)


def judge_chosen(at: World, record: str) -> None:
    chosen = []
    for (key, ballot), (value, voters) in at.votes.items():
        electors = at.rosters[ballot.epoch].names()
        if key == record and 2 * len(voters.intersection(electors)) > len(electors):
            chosen.append((ballot, value))
    chosen.sort(key=lambda one: one[0])
    for (first, before), (second, then) in zip(chosen, chosen[1:]):
        if then.changes[: len(before.changes)] != before.changes or then.version < before.version:
            raise Broken(f"{record}: {before} was chosen at {first}, then {then} at {second}")


def judge_history(at: World, key: str) -> None:
    asks = {ask.number: ask for _, ask in at.case.asks if ask.key == key}
    ops: dict[int, Operation] = {}
    for place, (number, answer) in enumerate(at.history):
        if number in asks and answer is None:
            ops[number] = Operation(asks[number].change, place)
        elif number in asks:
            if ops[number].ended is not None:
                raise Broken(f"ask {number} is answered twice")
            ops[number] = replace(ops[number], ended=place, outcome=answer.outcome, value=answer.value)
    if not is_linearizable(tuple(ops.values())):
        raise Broken(f"{key}: answers of no one register: {list(ops.values())}")


# --- searches


@dataclass(slots=True)
class Found:
    """What a search saw. `states` it stood in, all different in `explore_all`; `whole` if nothing was left to try."""

    states: int = 0
    seconds: float = 0.0
    complete: bool = True
    violation: str = ""
    schedule: tuple = ()
    answered: int = 0  # schedules at whose end all asks had an answer


def explore_all(case: Case, most: int) -> Found:
    """Depth first through all schedules of the case, each state once, at most this many states."""
    began, found = time.perf_counter(), Found()
    start = world(case)
    stack, met = [(start, moves_of(start), None)], {start.frozen()}
    while stack:
        at, options, _ = stack[-1]
        move = next(options, None)
        if move is None:
            stack.pop()
            continue
        try:
            then = after(at, move)
        except Broken as broken:
            found.violation, found.schedule = str(broken), (*[done for *_, done in stack[1:]], move)
            break
        state = then.frozen()
        if state in met:
            continue
        if len(met) >= most:
            found.complete = False
            break
        met.add(state)
        found.answered += len(then.history) == 2 * len(case.asks)
        stack.append((then, moves_of(then), move))
    found.states, found.seconds = len(met), time.perf_counter() - began
    return found


WEIGHT = {"deliver": 12, "ask": 6, "drop": 1, "double": 1, "timer": 2, "crash": 1, "rollback": 1}


def explore_random(case: Case, seed: int, steps: int = 120) -> Found:
    """One random schedule."""
    chance, began, found = random.Random(seed), time.perf_counter(), Found()
    at, schedule = world(case), []
    for _ in range(steps):
        options = [move for move in moves_of(at) if move[2] is None or chance.random() < 0.1]
        if not options:
            break
        move = chance.choices(options, [WEIGHT[kind] for kind, *_ in options])[0]
        schedule.append(move)
        found.states += 1
        try:
            at = after(at, move)
        except Broken as broken:
            found.violation = str(broken)
            break
    found.answered = int(len(at.history) == 2 * len(case.asks))
    found.schedule, found.seconds = tuple(schedule), time.perf_counter() - began
    return found
