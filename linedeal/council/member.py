"""One member of the council as a state machine, without I/O or a clock.

Packets, requests and time go in. Every call returns a list of effects, which the caller carries out in order;
nothing behind a `Persist` may be carried out before that is on disk. If a `Persist` fails, memory is ahead of
the disk: the caller calls `fail` and creates a new member from what is on disk.
"""

import copy
from collections.abc import Callable
from dataclasses import dataclass, replace

from linedeal.council import reconfiguration, rounds, slots, staleness
from linedeal.council.records import (
    EMPTY_SLOT,
    MAX_BODY_BYTES,
    MAX_KEYS,
    ROSTER_KEY,
    Accept,
    Accepted,
    Agreed,
    Ballot,
    Elsewhere,
    Found,
    Identity,
    Install,
    Installed,
    InvalidRequestError,
    Look,
    Looked,
    MemberOptions,
    Older,
    Outbid,
    Outcome,
    Packet,
    Persist,
    Prepare,
    Promised,
    Pulse,
    ReplicaVersion,
    Request,
    Response,
    Retire,
    Roster,
    Seal,
    Sealed,
    Send,
    Slot,
    Value,
)
from linedeal.council.rounds import Phase, Round, RoundResult

INTERNAL_CLIENT = ""  # the client name of a member's own requests
MAX_UNKNOWN_DIRECTORIES = 32  # directories outside the council that are remembered
NO_ROSTER = Roster(0, ())


@dataclass(frozen=True, slots=True)
class Reconfiguration:
    """A change of rosters that is under way, with the states reported by members that sealed the epoch."""

    roster: Roster
    states: tuple[tuple[str, reconfiguration.State], ...] = ()
    retry_at: float = 0.0


class Member:
    """One member's proposers, acceptors and membership.

    `stored` is what the effects `Persist` wrote, by name; it is empty for a new directory. `founding_names`
    are the members in the cluster file, this one among them, which form the first roster. `start` must differ
    at every start of a process. `jitter` returns numbers in [0, 1) that differ between members.
    """

    def __init__(
        self,
        identity: Identity,
        cluster: str,
        founding_names: tuple[str, ...],
        stored: dict[str, object],
        start: int,
        jitter: Callable[[], float],
        options: MemberOptions = MemberOptions(),  # noqa: B008 - frozen, so one instance can be shared
    ):
        """Restores the state from `stored`; `begin` has to be called before anything else."""
        self.identity, self.cluster, self.founding_names, self.jitter, self.options = (
            identity,
            cluster,
            founding_names,
            jitter,
            options,
        )
        self.roster: Roster = stored.get("roster", NO_ROSTER)
        # the next roster; while it is set, this member no longer votes in the current epoch
        self.sealed: Roster | None = stored.get("sealed")
        # the only first roster that this directory ever agreed to
        self.agreed: Roster | None = stored.get("agreed")
        self.retired: str = stored.get("retired", "")
        self.slots: dict[str, Slot] = {
            name[5:]: slot for name, slot in stored.items() if name.startswith("slot/")
        }
        self.newest_seen: dict[Identity, ReplicaVersion] = {
            Identity(version.name, version.incarnation): version for version in stored.get("seen", ())
        }
        self.life, self.start, self.born = stored.get("life", 0) + 1, start, stored.get("writes", 0)
        self.writes = self.born
        self.known_by: frozenset[str] = frozenset()  # members that have stored this life durably
        self.admitted = self.confirmed = False
        # directories that reported that they belong to no council yet
        self.unassigned: dict[str, Identity] = {}
        self.consenting: frozenset[str] = frozenset()  # members that agreed to the first roster proposed here
        self.excluded_by: Roster | None = None  # a newer roster that does not contain this member
        self.rounds: dict[str, Round] = {}
        self.waiting: dict[str, tuple[Request, ...]] = {}
        self.reconfiguration: Reconfiguration | None = None
        self.last_number = self.last_ballot_round = 0
        self.heartbeat_at = 0.0
        # until when a packet that does not count is not answered again, by the sender's name
        self.helped_at: dict[str, float] = {}
        self.failure = ""
        self.effects: list = []

    # --- called by the owner of the state machine

    def begin(self, now: float) -> list:
        """Starts this life. Must be the first call: the new life is stored before any packet is sent."""
        self.persist(("life", self.life))
        return self.tick(now)

    def submit(self, request: Request, now: float) -> list:
        """Starts or queues a request; exactly one Response follows, by `request.deadline` at the latest.

        Raises InvalidRequestError for a request that exceeds a limit of the council; then no Response
        follows.
        """
        if request.change is not None and len(request.change.body) > MAX_BODY_BYTES:
            raise InvalidRequestError(
                f"{request.key}: {len(request.change.body)} bytes, a register holds {MAX_BODY_BYTES} at most"
            )
        if request.change is not None and request.key not in self.slots and len(self.slots) >= MAX_KEYS:
            raise InvalidRequestError(f"{request.key}: the council already holds {MAX_KEYS} registers")
        if not self.may_vote():
            self.respond(request, Outcome.UNREADY)
        elif self.limit_reached(request.client):
            self.respond(request, Outcome.BUSY)
        elif request.key in self.rounds:
            self.waiting[request.key] = (*self.waiting.get(request.key, ()), request)
        else:
            self.begin_round(request, now, 0, 1)
        return self.take_effects()

    def receive(self, packet: Packet, now: float) -> list:
        """Handles a packet; one from another cluster, or from a stale replica, is not processed."""
        if packet.cluster != self.cluster or self.failure or packet.sender.name == self.identity.name:
            return self.take_effects()
        version, sender = packet.sender, Identity(packet.sender.name, packet.sender.incarnation)
        if (
            sender not in self.newest_seen
            and sender not in self.roster.members
            and len(self.newest_seen) >= MAX_UNKNOWN_DIRECTORIES
        ):
            return self.take_effects()
        freshness, newest = staleness.check_freshness(self.newest_seen.get(sender), version)
        if freshness is staleness.Freshness.STALE:
            self.send(version.name, Older(newest))
            return self.take_effects()
        if freshness is staleness.Freshness.NEWER:
            self.newest_seen[sender] = newest
            if sender in self.roster.members:  # packets of others never count as votes
                self.persist_newest_seen()
        message = packet.message
        HANDLERS[type(message)](self, sender, packet.epoch, message, now)
        self.begin_waiting(now)
        return self.take_effects()

    def tick(self, now: float) -> list:
        """Handles timers. Must be called at `next_tick()`, or later."""
        if self.failure:
            return self.take_effects()
        if now >= self.heartbeat_at:
            self.heartbeat_at = now + self.options.heartbeat_interval
            for name in (
                self.roster if self.roster.epoch else self.excluded_by or NO_ROSTER
            ).names() or self.founding_names:
                self.send(name, Pulse())
            self.propose_first_roster()
        for key, round in list(self.rounds.items()):
            if now >= round.request.deadline:
                self.finish_round(key, RoundResult(Outcome.UNKNOWN, EMPTY_SLOT.value), now)
            elif now >= round.retry_at:
                self.begin_round(round.request, now, round.max_ballot_round, round.attempt + 1)
        for key, queue in list(self.waiting.items()):
            for request in queue:
                if now >= request.deadline:
                    self.respond(request, Outcome.UNKNOWN)
            self.waiting[key] = tuple(request for request in queue if now < request.deadline)
            if not self.waiting[key]:
                del self.waiting[key]
        self.continue_reconfiguration(now)
        self.begin_waiting(now)
        return self.take_effects()

    def next_tick(self) -> float:
        """Returns when `tick` is due, by the clock of the other calls."""
        times = [self.heartbeat_at] + ([self.reconfiguration.retry_at] if self.reconfiguration else [])
        times += [round.retry_at for round in self.rounds.values()]
        return min(times + [request.deadline for request in self.open_requests()])

    def fail(self, reason: str) -> list:
        """Reports that a Persist failed: nothing more is sent, and open requests are answered UNKNOWN."""
        self.failure = reason
        self.effects.clear()
        for request in self.open_requests():
            self.respond(request, Outcome.UNKNOWN)
        self.rounds, self.waiting = {}, {}
        return self.take_effects()

    def candidates(self) -> dict[str, Identity]:
        """Returns the known directories that belong to no council and can be added to the roster."""
        return {name: who for name, who in self.unassigned.items() if who not in self.roster.members}

    def may_vote(self) -> bool:
        """Returns whether this member may vote: after a start only once it is admitted.

        It is admitted when all other members have stored this life, since any of them may be the one that
        counted its last vote and can detect that this directory is an older copy. If one of them does not
        reply, the operator can confirm the directory; then a majority is enough.
        """
        if not self.admitted and self.identity in self.roster.members:
            missing = len(self.roster.members) - 1 - len(self.known_by)
            self.admitted = not missing or self.confirmed and len(self.known_by) + 1 >= self.roster.majority
        return (
            self.admitted and self.identity in self.roster.members and not self.retired and not self.failure
        )

    def confirm_directory(self, now: float) -> list:
        """Records, for this life, the operator's assurance that the directory is the latest and no copy."""
        self.confirmed = True
        return self.tick(now)

    def copy(self) -> "Member":
        """Returns an independent member in the same state. The records in it are frozen and shared."""
        other = copy.copy(self)
        for name in ("slots", "newest_seen", "unassigned", "rounds", "waiting", "helped_at", "effects"):
            setattr(other, name, copy.copy(getattr(self, name)))
        return other

    # --- effects

    def take_effects(self) -> list:
        """Returns the effects collected since the last call and clears them."""
        effects, self.effects = self.effects, []
        return effects

    def version(self) -> ReplicaVersion:
        """Returns the version of this replica, as it goes into every packet."""
        return ReplicaVersion(
            self.identity.name, self.identity.incarnation, self.life, self.start, self.born, self.writes
        )

    def send(self, to: str, message) -> None:
        """Sends a message to the member `to`; nothing is sent to itself or after a failure."""
        if to != self.identity.name and not self.failure:
            self.effects.append(Send(to, Packet(self.cluster, self.version(), self.roster.epoch, message)))

    def persist(self, *records: tuple[str, object]) -> None:
        """Stores records, and counts the write."""
        self.writes += 1
        self.effects.append(Persist((*records, ("writes", self.writes))))

    def persist_newest_seen(self) -> None:
        """Stores the newest versions seen of the roster's members."""
        self.persist(
            (
                "seen",
                tuple(version for who, version in self.newest_seen.items() if who in self.roster.members),
            )
        )

    def respond(self, request: Request, outcome: Outcome, value: Value = EMPTY_SLOT.value) -> None:
        """Answers a request, unless it is this member's own."""
        if request.client != INTERNAL_CLIENT:
            self.effects.append(Response(request, outcome, value))

    def state_key(self) -> tuple:
        """Returns a hashable key of all state that decides what the member does next, except for the time."""
        return (
            self.roster,
            self.sealed,
            self.agreed,
            self.retired,
            frozenset(self.slots.items()),
            frozenset(self.newest_seen.items()),
            self.life,
            self.start,
            self.writes,
            self.known_by,
            self.admitted,
            self.confirmed,
            frozenset(self.unassigned.items()),
            self.consenting,
            frozenset(self.rounds.items()),
            frozenset(self.waiting.items()),
            self.reconfiguration,
            self.last_ballot_round,
            self.failure,
        )

    # --- acceptor

    def vote(self, message: Look | Prepare | Accept) -> Looked | Promised | Accepted | Outbid | None:
        """Returns this member's reply, after storing what the reply promises. None: it may not vote now."""
        if not self.may_vote() or self.sealed is not None:
            return None
        slot = self.slots.get(message.key, EMPTY_SLOT)
        if type(message) is Look:
            return Looked(message.round, slot.accepted, slot.value)
        if message.ballot.epoch != self.roster.epoch:
            return None
        if type(message) is Prepare:
            after = slots.prepare(slot, message.ballot)
            reply = Promised(message.round, slot.accepted, slot.value)
        else:
            after = slots.accept(slot, message.ballot, message.value)
            reply = Accepted(message.round)
        if after is None:
            return Outbid(message.round, slot.promised)
        self.slots[message.key] = after
        self.persist((f"slot/{message.key}", after))
        return reply

    def on_vote_request(self, sender: Identity, epoch: int, message, now: float) -> None:
        """Handles Look, Prepare and Accept."""
        if not self.in_this_epoch(sender, epoch, now):
            return
        reply = self.vote(message)
        if reply is not None:
            self.send(sender.name, reply)

    def on_vote_reply(self, sender: Identity, epoch: int, message, now: float) -> None:
        """Handles Looked, Promised, Accepted and Outbid, if their attempt is still under way."""
        if not self.in_this_epoch(sender, epoch, now):
            return
        key = next((key for key, round in self.rounds.items() if round.number == message.round), None)
        if key is None:
            return
        if type(message) is Outbid:
            self.back_off(key, message, now)
        else:
            self.count_reply(key, sender.name, message, now)

    def back_off(self, key: str, message: Outbid, now: float) -> None:
        """Schedules the next attempt after a higher ballot was seen: exponential backoff with jitter."""
        round = self.rounds[key]
        wait = self.options.backoff * 2 ** min(round.attempt, 5) * (0.5 + self.jitter())
        self.rounds[key] = replace(
            round,
            max_ballot_round=max(round.max_ballot_round, message.promised.round),
            retry_at=min(round.retry_at, now + wait),
        )

    # --- proposer

    def open_requests(self) -> list[Request]:
        """Returns all unanswered requests: those under way, and those that wait for their register."""
        return [round.request for round in self.rounds.values()] + [
            request for queue in self.waiting.values() for request in queue
        ]

    def limit_reached(self, client: str) -> bool:
        """Returns whether no further request of this client may wait.

        The member's own requests are not limited.
        """
        requests = self.open_requests()
        return client != INTERNAL_CLIENT and (
            len(requests) >= self.options.max_waiting
            or sum(request.client == client for request in requests) >= self.options.max_waiting_per_client
        )

    def begin_round(self, request: Request, now: float, max_ballot_round: int, attempt: int) -> None:
        """Starts an attempt with a ballot above every one seen for this register."""
        self.last_number += 1
        self.last_ballot_round = (
            max(
                self.last_ballot_round,
                max_ballot_round,
                self.slots.get(request.key, EMPTY_SLOT).promised.round,
            )
            + 1
        )
        ballot = Ballot(self.roster.epoch, self.last_ballot_round, self.identity.name, self.start)
        phase = Phase.LOOK if request.change is None else Phase.PREPARE
        retry_at = now + self.options.retry_timeout * (0.75 + 0.5 * self.jitter())
        self.begin_phase(
            request.key,
            Round(
                request,
                self.last_number,
                ballot,
                phase,
                retry_at,
                max_ballot_round=max_ballot_round,
                attempt=attempt,
            ),
            now,
        )

    def begin_phase(self, key: str, round: Round, now: float) -> None:
        """Starts a phase of an attempt: asks all members, this one first."""
        self.rounds[key] = round
        message = rounds.message(round)
        reply = self.vote(message)
        for name in self.roster.names():
            self.send(name, message)
        if type(reply) is Outbid:
            self.rounds[key] = replace(
                round, max_ballot_round=max(round.max_ballot_round, reply.promised.round)
            )
        elif reply is not None:
            self.count_reply(key, self.identity.name, reply, now)

    def count_reply(self, key: str, name: str, reply, now: float) -> None:
        """Counts a reply. Once a majority has replied, starts the next phase or answers the request."""
        round = self.rounds[key]
        self.last_number += 1
        after = rounds.handle_reply(round, name, reply, self.roster.majority, self.last_number)
        if type(after) is RoundResult:
            self.finish_round(key, after, now)
        elif after.phase is not round.phase:
            self.begin_phase(key, after, now)
        else:
            self.rounds[key] = after

    def finish_round(self, key: str, result: RoundResult, now: float) -> None:
        """Answers a request. A chosen next roster starts a reconfiguration."""
        request = self.rounds.pop(key).request
        self.respond(request, result.outcome, result.value)
        if key == ROSTER_KEY and result.value.version:
            self.begin_reconfiguration(reconfiguration.decode_roster(result.value.body), now)

    def begin_waiting(self, now: float) -> None:
        """Starts the first waiting request of each register that has none under way.

        This is a loop and not a recursion because a member that is alone finishes each round at once.
        """
        while ready := [key for key in self.waiting if key not in self.rounds]:
            for key in ready:
                first, *rest = self.waiting.pop(key)
                if rest:
                    self.waiting[key] = tuple(rest)
                self.begin_round(first, now, 0, 1)

    # --- membership

    def in_this_epoch(self, sender: Identity, epoch: int, now: float) -> bool:
        """Returns whether a packet counts: its sender is a member and in this epoch.

        Otherwise a member that is behind is sent the state of this epoch, and one that is no member is
        notified of that; each at most once in half a heartbeat interval.
        """
        if epoch == self.roster.epoch and sender in self.roster.members:
            return True
        if self.roster.epoch and epoch <= self.roster.epoch and now >= self.helped_at.get(sender.name, 0.0):
            self.helped_at = {name: at for name, at in self.helped_at.items() if at > now}
            self.helped_at[sender.name] = now + self.options.heartbeat_interval / 2
            if sender not in self.roster.members:
                self.send(sender.name, Elsewhere(self.roster))
            elif epoch < self.roster.epoch:
                self.send(sender.name, Install(self.roster, reconfiguration.accepted_state(self.slots)))
        return False

    def on_pulse(self, sender: Identity, epoch: int, message: Pulse, now: float) -> None:
        """Handles a heartbeat, and replies that the sender's life is stored here."""
        if epoch == 0 and (sender.name in self.unassigned or len(self.unassigned) < MAX_UNKNOWN_DIRECTORIES):
            self.unassigned[sender.name] = sender
        else:
            self.unassigned.pop(sender.name, None)
        if self.in_this_epoch(sender, epoch, now) and message.reply == self.start:
            self.known_by |= {sender.name}
        if not message.reply:
            self.send(sender.name, Pulse(self.newest_seen[sender].start))

    def on_older(self, sender: Identity, epoch: int, message: Older, now: float) -> None:
        """Retires if the version that the sender saw proves that this directory is an older copy."""
        if staleness.is_outdated(self.version(), message.seen):
            self.retire(
                f"{sender.name} saw a newer copy of this directory: life {message.seen.life} with "
                f"{message.seen.writes} writes, this one has life {self.life} from {self.born} writes"
            )

    def on_elsewhere(self, sender: Identity, epoch: int, message: Elsewhere, now: float) -> None:
        """Retires a former member that is not in a newer roster."""
        if message.roster.epoch > self.roster.epoch and self.identity not in message.roster.members:
            self.excluded_by = message.roster
            if self.roster.epoch:
                self.retire(f"replaced: the members are {', '.join(message.roster.names())}")

    def retire(self, reason: str) -> None:
        """Stops voting permanently."""
        if not self.retired:
            self.retired = reason
            self.persist(("retired", reason))
            self.effects.append(Retire(reason))

    def begin_reconfiguration(self, roster: Roster, now: float) -> None:
        """Starts the move to a chosen roster, if it is the next one."""
        if roster.epoch == self.roster.epoch + 1 and self.reconfiguration is None:
            self.reconfiguration = Reconfiguration(roster)
            self.continue_reconfiguration(now)

    def continue_reconfiguration(self, now: float) -> None:
        """Continues a reconfiguration.

        Any member that knows the next roster does so, in case its initiator crashed.
        """
        if self.retired or not self.roster.epoch:
            return
        if self.reconfiguration is None and self.sealed is not None:
            self.reconfiguration = Reconfiguration(self.sealed)
        if self.reconfiguration is None:
            slot = self.slots.get(ROSTER_KEY, EMPTY_SLOT)
            if (
                slot.value.version
                and ROSTER_KEY not in self.rounds
                and self.may_vote()
                and reconfiguration.decode_roster(slot.value.body).epoch > self.roster.epoch
            ):
                self.begin_round(
                    Request(0, INTERNAL_CLIENT, ROSTER_KEY, None, now + 10 * self.options.retry_timeout),
                    now,
                    0,
                    1,
                )
        elif now >= self.reconfiguration.retry_at:
            self.reconfiguration = replace(self.reconfiguration, retry_at=now + self.options.retry_timeout)
            if self.may_vote():
                self.seal(self.reconfiguration.roster)
                self.count_sealed(self.identity.name, reconfiguration.accepted_state(self.slots))
            if self.reconfiguration is not None:
                for name in self.roster.names():
                    self.send(name, Seal(self.reconfiguration.roster))

    def seal(self, roster: Roster) -> None:
        """Stops voting in this epoch, durably."""
        if self.sealed is None:
            self.sealed = roster
            self.persist(("sealed", roster))

    def on_seal(self, sender: Identity, epoch: int, message: Seal, now: float) -> None:
        """Seals the epoch and reports what was accepted; in the next epoch already, it only reports."""
        if (
            sender not in self.roster.members
            or not self.may_vote()
            or self.roster.epoch + 1 < message.roster.epoch
        ):
            self.in_this_epoch(sender, epoch, now)
            return
        if self.roster.epoch + 1 == message.roster.epoch:
            self.seal(message.roster)
        self.send(sender.name, Sealed(message.roster.epoch, reconfiguration.accepted_state(self.slots)))

    def on_sealed(self, sender: Identity, epoch: int, message: Sealed, now: float) -> None:
        """Counts a member that sealed the epoch."""
        if (
            sender in self.roster.members
            and self.reconfiguration is not None
            and message.epoch == self.reconfiguration.roster.epoch
        ):
            self.count_sealed(sender.name, message.state)

    def count_sealed(self, name: str, state: reconfiguration.State) -> None:
        """Counts a sealed member. Once a majority has sealed, the new members get the merged state."""
        others = tuple(vote for vote in self.reconfiguration.states if vote[0] != name)
        self.reconfiguration = replace(self.reconfiguration, states=(*others, (name, state)))
        if len(self.reconfiguration.states) < self.roster.majority:
            return
        roster = self.reconfiguration.roster
        merged = reconfiguration.merge_states(state for _, state in self.reconfiguration.states)
        for who in roster.members:
            self.send(who.name, Install(roster, reconfiguration.accepted_state(merged)))
        if self.identity in roster.members:
            self.install(roster, merged)

    def on_install(self, sender: Identity, epoch: int, message: Install, now: float) -> None:
        """Enters a newer epoch. The first roster is installed only if this member agreed to it."""
        if (
            self.identity in message.roster.members
            and message.roster.epoch > self.roster.epoch
            and not self.retired
        ):
            if self.roster.epoch == 0 and message.roster.epoch == 1 and self.agreed != message.roster:
                return  # the first roster requires the consent of all its members
            self.install(
                message.roster,
                reconfiguration.merge_states((reconfiguration.accepted_state(self.slots), message.state)),
            )
        if message.roster.epoch == self.roster.epoch:
            self.send(sender.name, Installed(self.roster.epoch))

    def install(self, roster: Roster, slots: dict[str, Slot]) -> None:
        """Starts the epoch of this roster. Requests under way begin a new attempt in it."""
        self.roster, self.slots, self.sealed, self.reconfiguration = roster, dict(slots), None, None
        # members of the earlier roster that stored this life need not be in this one
        self.known_by = frozenset()
        self.unassigned = {name: who for name, who in self.unassigned.items() if who not in roster.members}
        self.newest_seen = {
            who: version for who, version in self.newest_seen.items() if who in roster.members
        }
        self.persist(
            ("roster", roster),
            ("sealed", None),
            ("seen", tuple(self.newest_seen.values())),
            *((f"slot/{key}", slot) for key, slot in slots.items()),
        )
        for key, round in list(self.rounds.items()):  # their votes belong to the epoch that ended
            self.rounds[key] = replace(round, number=0, votes=(), retry_at=0.0)
        self.heartbeat_at = 0.0

    def on_installed(self, sender: Identity, epoch: int, message: Installed, now: float) -> None:
        """Ends the reconfiguration at a member that it replaces.

        The first new member of the roster sends the state to all the others.
        """
        if (
            self.reconfiguration is not None
            and message.epoch == self.reconfiguration.roster.epoch
            and self.identity not in self.reconfiguration.roster.members
        ):
            self.excluded_by = self.reconfiguration.roster
            self.reconfiguration = None
            self.retire(f"replaced: the members are {', '.join(self.excluded_by.names())}")

    # --- the first roster: all members of the cluster file, each of which agrees to one roster only

    def propose_first_roster(self) -> None:
        """Proposes the first roster, if this is the member with the lowest name and it knows all others."""
        if (
            self.roster.epoch
            or self.retired
            or self.excluded_by
            or self.identity.name != min(self.founding_names)
        ):
            return
        known = {**self.unassigned, self.identity.name: self.identity}
        if set(self.founding_names) <= set(known):
            roster = Roster(1, tuple(sorted(known[name] for name in self.founding_names)))
            self.agree(roster)
            if self.agreed == roster:
                for name in self.founding_names:
                    self.send(name, Found(roster))
                self.install_first_roster()

    def agree(self, roster: Roster) -> None:
        """Agrees, durably, to one first roster only, which must have the members of the cluster file."""
        if self.agreed is None and tuple(sorted(self.founding_names)) == tuple(roster.names()):
            self.agreed = roster
            self.persist(("agreed", roster))

    def on_found(self, sender: Identity, epoch: int, message: Found, now: float) -> None:
        """Handles a proposal of the first roster."""
        if not self.roster.epoch and self.identity in message.roster.members:
            self.agree(message.roster)
            if self.agreed == message.roster:
                self.send(sender.name, Agreed(message.roster))

    def on_agreed(self, sender: Identity, epoch: int, message: Agreed, now: float) -> None:
        """Counts a member that agreed to the first roster."""
        if not self.roster.epoch and message.roster == self.agreed and sender in message.roster.members:
            self.consenting |= {sender.name}
            self.install_first_roster()

    def install_first_roster(self) -> None:
        """Installs the first roster once all its members have agreed."""
        if len(self.consenting) + 1 == len(self.agreed.members):
            roster = self.agreed
            self.install(roster, {})
            for who in roster.members:
                self.send(who.name, Install(roster, ()))


HANDLERS = {
    Look: Member.on_vote_request,
    Prepare: Member.on_vote_request,
    Accept: Member.on_vote_request,
    Looked: Member.on_vote_reply,
    Promised: Member.on_vote_reply,
    Accepted: Member.on_vote_reply,
    Outbid: Member.on_vote_reply,
    Pulse: Member.on_pulse,
    Older: Member.on_older,
    Elsewhere: Member.on_elsewhere,
    Seal: Member.on_seal,
    Sealed: Member.on_sealed,
    Install: Member.on_install,
    Installed: Member.on_installed,
    Found: Member.on_found,
    Agreed: Member.on_agreed,
}
