"""Model checker for the council: runs its members through delivery orders and faults and checks every state.

A `SystemState` holds some members, what is on their disks, the packets in transit and what clients were
answered. `possible_actions` lists what may happen next, `apply_action` makes one action happen in a copy.
`explore_all` tries every schedule within the fault budget, `explore_random` follows one random schedule.

These invariants are checked, based only on what is on disk and what was answered:

- Two votes at one ballot are for the same value, and the chosen values form a chain: each continues the one
  chosen at the ballot before.
- The answers on each register are linearizable.
- No member votes in an epoch that it sealed.

A vote cast from an outdated copy of a directory has no separate check; it violates one of the others.
"""

import random
import time
from collections.abc import Iterator
from dataclasses import dataclass, field, replace

from linedeal.council import reconfiguration
from linedeal.council.member import Member
from linedeal.council.records import (
    ROSTER_KEY,
    Ballot,
    Change,
    Identity,
    Packet,
    Persist,
    ReplicaVersion,
    Request,
    Response,
    Roster,
    Send,
    Value,
)
from linedeal.lab.linearizability import Operation, is_linearizable

FOREVER = 1e12  # seconds


class InvariantError(Exception):
    """An invariant of the council is violated; the message names it."""


@dataclass(frozen=True, slots=True)
class FaultBudget:
    """How many faults of each type may occur in one schedule."""

    drops: int = 0
    duplicates: int = 0
    crashes: int = 0
    timers: int = 0
    rollbacks: int = 0  # restarts with an older copy of the directory


@dataclass(frozen=True, slots=True)
class Case:
    """The members, and the requests that are submitted to them in any order."""

    members: int
    requests: tuple[tuple[str, Request], ...]  # member and request
    budget: FaultBudget = FaultBudget()
    newcomers: tuple[str, ...] = ()  # processes with empty directories that run as well


def member_names(count: int) -> tuple[str, ...]:
    """Returns the names of `count` members."""
    return tuple("abcdefg"[:count])


def read_request(number: int, member: str, key: str = "k") -> tuple[str, Request]:
    """Returns a read of a register, submitted to a member."""
    return member, Request(number, f"c{number}", key, None, FOREVER)


def write_request(
    number: int, member: str, expect: int = 0, key: str = "k", id: str = "", body: bytes = b""
) -> tuple[str, Request]:
    """Returns a change of a register, submitted to a member. Its id and body are unique by default."""
    return member, Request(
        number, f"c{number}", key, Change(id or f"w{number}", expect, body or b"%d" % number), FOREVER
    )


def replacement_request(number: int, member: str, members: int, old: str, new: str) -> tuple[str, Request]:
    """Returns a request to replace one member of the first roster with another, submitted to a member."""
    roster = Roster(1, tuple(Identity(name, 1) for name in member_names(members)))
    return write_request(
        number,
        member,
        0,
        ROSTER_KEY,
        body=reconfiguration.encode_roster(reconfiguration.replace_member(roster, old, Identity(new, 1))),
    )


@dataclass(slots=True)
class SystemState:
    """The state of all members and of the network, and the history so far."""

    case: Case
    members: dict[str, Member]
    disks: dict[str, dict]
    old_disks: dict[str, dict]  # the copies of the directories that rollbacks restore
    start_counts: dict[str, int]
    packets: tuple[tuple[str, Packet], ...] = ()  # receiver and packet; delivered in any order
    submitted: frozenset[int] = frozenset()  # numbers of requests
    # number of a request, with its response, or with None where it was submitted
    history: tuple[tuple[int, Response | None], ...] = ()
    # value and voters by name of the record and ballot
    votes: dict[tuple[str, Ballot], tuple[Value, frozenset[str]]] = field(default_factory=dict)
    rosters: dict[int, Roster] = field(default_factory=dict)
    budget: FaultBudget = FaultBudget()

    def copy(self, changing: str = "") -> "SystemState":
        """Returns a copy in which the named member may be changed; all others are shared."""
        members = dict(self.members)
        disks = dict(self.disks)
        if changing in members:
            members[changing] = members[changing].copy()
            disks[changing] = dict(disks[changing])
        return SystemState(
            self.case,
            members,
            disks,
            self.old_disks,
            dict(self.start_counts),
            self.packets,
            self.submitted,
            self.history,
            dict(self.votes),
            self.rosters,
            self.budget,
        )

    def fingerprint(self) -> int:
        """Returns a hash of the state, equal for states with the same packets in another order."""
        return hash(
            (
                tuple(member.state_key() for member in self.members.values()),
                tuple(frozenset(disk.items()) for disk in self.disks.values()),
                frozenset(self.packets),
                len(self.packets),
                self.submitted,
                self.history,
                frozenset(self.votes.items()),
                self.budget,
            )
        )


def constant_jitter() -> float:
    """Replaces the random jitter of members, so that runs are deterministic."""
    return 0.5


def initial_state(case: Case) -> SystemState:
    """Returns a running council whose members know each other, without packets in transit."""
    roster = Roster(1, tuple(Identity(name, 1) for name in member_names(case.members)))
    versions = tuple(
        ReplicaVersion(identity.name, 1, 1, 100 + place, 0, 1)
        for place, identity in enumerate(roster.members)
    )
    state = SystemState(case, {}, {}, {}, {}, budget=case.budget, rosters={1: roster})
    for place, identity in enumerate(roster.members):
        seen = tuple(version for version in versions if version.name != identity.name)
        disk = {"roster": roster, "life": 0, "writes": 0, "seen": seen}
        member = Member(identity, "lapa", member_names(case.members), disk, 100 + place, constant_jitter)
        member.begin(0.0)
        member.admitted = True
        state.members[identity.name] = member
        state.disks[identity.name] = {**disk, "life": 1, "writes": 1}
        state.start_counts[identity.name] = 1
    for place, name in enumerate(case.newcomers):
        state.members[name] = Member(
            Identity(name, 1), "lapa", member_names(case.members), {}, 200 + place, constant_jitter
        )
        state.disks[name] = {}
        state.start_counts[name] = 1
        carry_out(state, name, state.members[name].begin(0.0), None)
    state.old_disks = {name: dict(disk) for name, disk in state.disks.items()}
    return state


# --- actions


def possible_actions(state: SystemState) -> Iterator[tuple]:
    """Yields the actions that the state and the rest of its fault budget allow.

    An action is its type, what it concerns, and after how many writes to disk the member crashes, or None.
    """
    case, budget = state.case, state.budget
    for place in range(len(state.packets)):
        if state.packets[place] not in state.packets[:place]:
            yield "deliver", place, None
            if budget.drops:
                yield "drop", place, None
            if budget.duplicates:
                yield "duplicate", place, None
            if budget.crashes:  # before the first or the second write that follows from the packet
                yield "deliver", place, 0
                yield "deliver", place, 1
    for member, request in case.requests:
        if request.number not in state.submitted:
            yield "submit", (member, request), None
    for name in state.members:
        if budget.timers:
            yield "timer", name, None
        if budget.crashes:
            yield "crash", name, None
        if budget.rollbacks and name in member_names(case.members):
            yield "rollback", name, None


def apply_action(before: SystemState, action: tuple) -> SystemState:
    """Returns the state after an action. Raises InvariantError."""
    kind, what, crash_after = action
    if kind in ("deliver", "drop", "duplicate"):
        to, packet = before.packets[what]
        state = before.copy(to if kind == "deliver" else "")
        if kind == "duplicate":
            state.packets = (*state.packets, state.packets[what])
            state.budget = replace(state.budget, duplicates=state.budget.duplicates - 1)
            return state
        state.packets = state.packets[:what] + state.packets[what + 1 :]
        if kind == "drop":
            state.budget = replace(state.budget, drops=state.budget.drops - 1)
        elif to in state.members:
            carry_out(state, to, state.members[to].receive(packet, 0.0), crash_after)
    elif kind == "submit":
        name, request = what
        state = before.copy(name)
        state.submitted |= {request.number}
        state.history = (*state.history, (request.number, None))
        carry_out(state, name, state.members[name].submit(request, 0.0), crash_after)
    elif kind == "timer":
        state = before.copy(what)
        state.budget = replace(state.budget, timers=state.budget.timers - 1)
        member = state.members[what]
        carry_out(state, what, member.tick(max(member.next_tick(), 0.0) + 10.0), crash_after)
        reset_times(member)
    else:
        state = before.copy(what)
        if kind == "rollback":
            state.disks[what] = dict(state.old_disks[what])
            state.budget = replace(state.budget, rollbacks=state.budget.rollbacks - 1)
        else:
            state.budget = replace(state.budget, crashes=state.budget.crashes - 1)
        restart(state, what)
    return state


def reset_times(member: Member) -> None:
    """Resets a member's timers to time 0, so that states that differ only in time count as one."""
    member.heartbeat_at, member.helped_at = FOREVER, {}
    member.rounds = {key: replace(round, retry_at=1.0) for key, round in member.rounds.items()}
    if member.reconfiguration is not None:
        member.reconfiguration = replace(member.reconfiguration, retry_at=1.0)


def restart(state: SystemState, name: str) -> None:
    """Starts a member again from its disk."""
    state.start_counts[name] += 1
    start = 1000 * state.start_counts[name] + ord(name[0])
    state.members[name] = Member(
        Identity(name, 1),
        "lapa",
        member_names(state.case.members),
        state.disks[name],
        start,
        constant_jitter,
    )
    carry_out(state, name, state.members[name].begin(0.0), None)
    reset_times(state.members[name])


def carry_out(state: SystemState, name: str, effects: list, crash_after: int | None) -> None:
    """Carries out a member's effects in order, and checks the invariants.

    With `crash_after`, the member crashes instead of the write that follows so many others, and restarts.
    """
    for effect in effects:
        if type(effect) is Persist:
            if crash_after == 0:
                state.budget = replace(state.budget, crashes=state.budget.crashes - 1)
                restart(state, name)
                return
            crash_after = None if crash_after is None else crash_after - 1
            state.disks[name].update(effect.records)
            check_votes(state, name, effect)
        elif type(effect) is Send:
            state.packets = (*state.packets, (effect.to, effect.packet))
        elif type(effect) is Response:
            state.history = (*state.history, (effect.request.number, effect))
            check_history(state, effect.request.key)


# --- invariants


def check_votes(state: SystemState, name: str, persist: Persist) -> None:
    """Notes the votes that a member has written to disk. Raises InvariantError."""
    records = dict(persist.records)
    if "roster" in records:
        roster = records["roster"]
        if state.rosters.setdefault(roster.epoch, roster) != roster:
            raise InvariantError(f"two rosters of epoch {roster.epoch}")
        state.rosters = dict(state.rosters)
        return  # slots that are taken over in a reconfiguration are not the member's own votes
    for record, slot in records.items():
        if not record.startswith("slot/") or slot.accepted != slot.promised or not slot.accepted.epoch:
            continue
        if (
            state.disks[name].get("sealed") is not None
            and state.disks[name]["roster"].epoch >= slot.accepted.epoch
        ):
            raise InvariantError(f"{name} votes in epoch {slot.accepted.epoch}, which it sealed")
        vote = record, slot.accepted
        value, voters = state.votes.get(vote, (slot.value, frozenset()))
        if value != slot.value:
            raise InvariantError(f"two values at {slot.accepted} of {record}: {value} and {slot.value}")
        state.votes[vote] = value, voters | {name}
        check_chosen(state, record)


def check_chosen(state: SystemState, record: str) -> None:
    """Raises InvariantError if a value chosen for the register does not continue the one before it."""
    chosen = []
    for (key, ballot), (value, voters) in state.votes.items():
        electors = state.rosters[ballot.epoch].names()
        if key == record and 2 * len(voters.intersection(electors)) > len(electors):
            chosen.append((ballot, value))
    chosen.sort(key=lambda one: one[0])
    for (first, before), (second, then) in zip(chosen, chosen[1:], strict=False):
        if then.changes[: len(before.changes)] != before.changes or then.version < before.version:
            raise InvariantError(f"{record}: {before} was chosen at {first}, then {then} at {second}")


def check_history(state: SystemState, key: str) -> None:
    """Raises InvariantError if the responses for a register are not linearizable."""
    requests = {request.number: request for _, request in state.case.requests if request.key == key}
    operations: dict[int, Operation] = {}
    for place, (number, response) in enumerate(state.history):
        if number in requests and response is None:
            operations[number] = Operation(requests[number].change, place)
        elif number in requests:
            if operations[number].ended is not None:
                raise InvariantError(f"request {number} is answered twice")
            operations[number] = replace(
                operations[number], ended=place, outcome=response.outcome, value=response.value
            )
    if not is_linearizable(tuple(operations.values())):
        raise InvariantError(f"{key}: the responses are not linearizable: {list(operations.values())}")


# --- searches


@dataclass(slots=True)
class SearchResult:
    """The result of a search. With `explore_all`, all `states` are different."""

    states: int = 0
    seconds: float = 0.0  # of real time
    complete: bool = True  # every schedule was tried
    violation: str = ""  # of an invariant, with the schedule that leads to it
    schedule: tuple = ()
    answered: int = 0  # how often a state was reached in which all requests are answered


def explore_all(case: Case, max_states: int) -> SearchResult:
    """Searches depth first through all schedules of a case, and visits each state once.

    Stops at the first violation, and after `max_states` states.
    """
    start_time, result = time.perf_counter(), SearchResult()
    start = initial_state(case)
    stack, visited = [(start, possible_actions(start), None)], {start.fingerprint()}
    while stack:
        state, actions, _ = stack[-1]
        action = next(actions, None)
        if action is None:
            stack.pop()
            continue
        try:
            then = apply_action(state, action)
        except InvariantError as error:
            result.violation, result.schedule = str(error), (*[done for *_, done in stack[1:]], action)
            break
        fingerprint = then.fingerprint()
        if fingerprint in visited:
            continue
        if len(visited) >= max_states:
            result.complete = False
            break
        visited.add(fingerprint)
        result.answered += len(then.history) == 2 * len(case.requests)
        stack.append((then, possible_actions(then), action))
    result.states, result.seconds = len(visited), time.perf_counter() - start_time
    return result


# How likely each type of action is in a random schedule, relative to the others.
ACTION_WEIGHTS = {
    "deliver": 12,
    "submit": 6,
    "drop": 1,
    "duplicate": 1,
    "timer": 2,
    "crash": 1,
    "rollback": 1,
}


def explore_random(case: Case, seed: int, steps: int = 120) -> SearchResult:
    """Follows one random schedule for at most `steps` steps, or up to the first violation."""
    chance, start_time, result = random.Random(seed), time.perf_counter(), SearchResult()
    state, schedule = initial_state(case), []
    for _ in range(steps):
        actions = [action for action in possible_actions(state) if action[2] is None or chance.random() < 0.1]
        if not actions:
            break
        action = chance.choices(actions, [ACTION_WEIGHTS[kind] for kind, *_ in actions])[0]
        schedule.append(action)
        result.states += 1
        try:
            state = apply_action(state, action)
        except InvariantError as error:
            result.violation = str(error)
            break
    result.answered = int(len(state.history) == 2 * len(case.requests))
    result.schedule, result.seconds = tuple(schedule), time.perf_counter() - start_time
    return result
