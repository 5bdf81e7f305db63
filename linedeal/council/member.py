"""One member of the council: packets, asks and time in; what to keep, to send and to answer out. No I/O, no clock.

The caller carries out what a call returns in order, and nothing behind a `Persist` before that is on disk. Where a Persist
fails, it calls `fail` and starts the member anew from what is on disk: memory was ahead of it.
"""

import copy
from dataclasses import dataclass, replace
from typing import Callable

from linedeal.council import reconfiguration, rounds, slots, staleness
from linedeal.council.records import (
    EMPTY,
    MOST_BODY,
    MOST_KEYS,
    ROSTER_KEY,
    Accept,
    Accepted,
    Agreed,
    Response,
    Request,
    Ballot,
    Elsewhere,
    InvalidRequestError,
    Found,
    Identity,
    Install,
    Installed,
    Persist,
    Look,
    Looked,
    ReplicaVersion,
    Older,
    Outbid,
    Outcome,
    Packet,
    Prepare,
    Promised,
    Pulse,
    Retire,
    Roster,
    Seal,
    Sealed,
    Send,
    Slot,
    MemberOptions,
    Value,
)
from linedeal.council.rounds import Phase, Round, RoundResult

OWN = ""  # the client under whose name a member asks for itself
MOST_STRANGERS = 32  # directories of no council that are remembered
NOBODY = Roster(0, ())


@dataclass(frozen=True, slots=True)
class Move:
    """From this roster to the next."""

    roster: Roster
    states: tuple[tuple[str, reconfiguration.State], ...] = ()
    retry_at: float = 0.0


class Member:
    """`kept` is what `Persist` wrote: an empty one is a new directory's.

    `named` are the members of the cluster file, this one among them; they form the first roster. `spread` gives
    numbers in [0, 1) that differ between members.
    """

    def __init__(
        self,
        identity: Identity,
        cluster: str,
        named: tuple[str, ...],
        kept: dict[str, object],
        start: int,
        spread: Callable[[], float],
        timing: MemberOptions = MemberOptions(),
    ):
        self.identity, self.cluster, self.named, self.spread, self.timing = (
            identity,
            cluster,
            named,
            spread,
            timing,
        )
        self.roster: Roster = kept.get("roster", NOBODY)
        self.sealed: Roster | None = kept.get(
            "sealed"
        )  # the next roster; set: no votes in this epoch any more
        self.agreed: Roster | None = kept.get("agreed")  # the only first roster this directory agreed to
        self.retired: str = kept.get("retired", "")
        self.slots: dict[str, Slot] = {
            name[5:]: slot for name, slot in kept.items() if name.startswith("slot/")
        }
        self.seen: dict[Identity, ReplicaVersion] = {
            Identity(mark.name, mark.incarnation): mark for mark in kept.get("seen", ())
        }
        self.life, self.start, self.born = kept.get("life", 0) + 1, start, kept.get("writes", 0)
        self.writes = self.born
        self.known_by: frozenset[str] = frozenset()  # who has this life durably
        self.admitted = self.vouched = False
        self.unformed: dict[str, Identity] = {}  # who said it belongs to no council yet
        self.founders: frozenset[str] = frozenset()  # who agreed to the roster we found
        self.excluded_by: Roster | None = None  # a roster that we are not of
        self.rounds: dict[str, Round] = {}
        self.waiting: dict[str, tuple[Request, ...]] = {}
        self.reconfiguration: Move | None = None
        self.number = self.ballots = 0
        self.heartbeat_at = 0.0
        self.helped_at: dict[str, float] = {}
        self.ill = ""
        self.out: list = []

    # --- what the caller calls

    def begin(self, now: float) -> list:
        """First of all calls: this life is kept before it says anything."""
        self.persist(("life", self.life))
        return self.tick(now)

    def submit(self, ask: Request, now: float) -> list:
        """Raises InvalidRequestError where it can never be done; else there is exactly one Response, by `ask.deadline` at the latest."""
        if ask.change is not None and len(ask.change.body) > MOST_BODY:
            raise InvalidRequestError(
                f"{ask.key}: {len(ask.change.body)} bytes, a register holds {MOST_BODY} at most"
            )
        if ask.change is not None and ask.key not in self.slots and len(self.slots) >= MOST_KEYS:
            raise InvalidRequestError(f"{ask.key}: the council holds {MOST_KEYS} registers already")
        if not self.may_vote():
            self.answer(ask, Outcome.UNREADY)
        elif self.crowded(ask.client):
            self.answer(ask, Outcome.BUSY)
        elif ask.key in self.rounds:
            self.waiting[ask.key] = (*self.waiting.get(ask.key, ()), ask)
        else:
            self.begin_round(ask, now, 0, 1)
        return self.take_effects()

    def receive(self, packet: Packet, now: float) -> list:
        if packet.cluster != self.cluster or self.ill or packet.sender.name == self.identity.name:
            return self.take_effects()
        mark, who = packet.sender, Identity(packet.sender.name, packet.sender.incarnation)
        if who not in self.seen and who not in self.roster.members and len(self.seen) >= MOST_STRANGERS:
            return self.take_effects()
        shown, newest = staleness.check_freshness(self.seen.get(who), mark)
        if shown is staleness.Freshness.STALE:
            self.send(mark.name, Older(newest))
            return self.take_effects()
        if shown is staleness.Freshness.NEWER:
            self.seen[who] = newest
            if who in self.roster.members:  # of others nothing is counted but that they are there
                self.keep_seen()
        said = packet.message
        HEARD[type(said)](self, who, packet.epoch, said, now)
        self.begin_waiting(now)
        return self.take_effects()

    def tick(self, now: float) -> list:
        """Call it at `next_tick()`, or later."""
        if self.ill:
            return self.take_effects()
        if now >= self.heartbeat_at:
            self.heartbeat_at = now + self.timing.pulse
            for name in (
                self.roster if self.roster.epoch else self.excluded_by or NOBODY
            ).names() or self.named:
                self.send(name, Pulse())
            self.found()
        for key, round in list(self.rounds.items()):
            if now >= round.request.deadline:
                self.over(key, RoundResult(Outcome.UNKNOWN, EMPTY.value), now)
            elif now >= round.retry_at:
                self.begin_round(round.request, now, round.top, round.tries + 1)
        for key, line in list(self.waiting.items()):
            for ask in line:
                if now >= ask.deadline:
                    self.answer(ask, Outcome.UNKNOWN)
            self.waiting[key] = tuple(ask for ask in line if now < ask.deadline)
            if not self.waiting[key]:
                del self.waiting[key]
        self.go_on_moving(now)
        self.begin_waiting(now)
        return self.take_effects()

    def next_tick(self) -> float:
        """When `tick` is due, on the clock of the calls."""
        times = [self.heartbeat_at] + ([self.reconfiguration.retry_at] if self.reconfiguration else [])
        times += [round.retry_at for round in self.rounds.values()]
        return min(times + [ask.deadline for ask in self.asks()])

    def fail(self, why: str) -> list:
        """What was to be kept is not on disk. Says nothing more; what waits gets its answer."""
        self.ill = why
        self.out.clear()
        for ask in self.asks():
            self.answer(ask, Outcome.UNKNOWN)
        self.rounds, self.waiting = {}, {}
        return self.take_effects()

    def candidates(self) -> dict[str, Identity]:
        """Directories heard of that belong to no council: who may be put into the roster."""
        return {name: who for name, who in self.unformed.items() if who not in self.roster.members}

    def may_vote(self) -> bool:
        """After a start only once it is admitted: an older copy of its directory would have been told so by then.

        All others have to know of this life, as the one that counted its last vote may be any of them. Where one does
        not answer, the operator may vouch for the directory; then a majority is enough.
        """
        if not self.admitted and self.identity in self.roster.members:
            missing = len(self.roster.members) - 1 - len(self.known_by)
            self.admitted = not missing or self.vouched and len(self.known_by) + 1 >= self.roster.majority
        return self.admitted and self.identity in self.roster.members and not self.retired and not self.ill

    def confirm_directory(self, now: float) -> list:
        """The operator's word, for this life, that the directory is the one last written and no copy of it."""
        self.vouched = True
        return self.tick(now)

    def copy(self) -> "Member":
        """An independent member in the same state; records in it are frozen."""
        other = copy.copy(self)
        for name in ("slots", "seen", "unformed", "rounds", "waiting", "helped_at", "out"):
            setattr(other, name, copy.copy(getattr(self, name)))
        return other

    # --- out

    def take_effects(self) -> list:
        out, self.out = self.out, []
        return out

    def mark(self) -> ReplicaVersion:
        return ReplicaVersion(
            self.identity.name, self.identity.incarnation, self.life, self.start, self.born, self.writes
        )

    def send(self, to: str, said) -> None:
        if to != self.identity.name and not self.ill:
            self.out.append(Send(to, Packet(self.cluster, self.mark(), self.roster.epoch, said)))

    def persist(self, *records: tuple[str, object]) -> None:
        self.writes += 1
        self.out.append(Persist((*records, ("writes", self.writes))))

    def keep_seen(self) -> None:
        self.persist(("seen", tuple(mark for who, mark in self.seen.items() if who in self.roster.members)))

    def answer(self, ask: Request, outcome: Outcome, value: Value = EMPTY.value) -> None:
        if ask.client != OWN:
            self.out.append(Response(ask, outcome, value))

    def state_key(self) -> tuple:
        """All that decides what it does next but the time, hashable."""
        return (
            self.roster,
            self.sealed,
            self.agreed,
            self.retired,
            frozenset(self.slots.items()),
            frozenset(self.seen.items()),
            self.life,
            self.start,
            self.writes,
            self.known_by,
            self.admitted,
            self.vouched,
            frozenset(self.unformed.items()),
            self.founders,
            frozenset(self.rounds.items()),
            frozenset(self.waiting.items()),
            self.reconfiguration,
            self.ballots,
            self.ill,
        )

    # --- votes

    def vote(self, said: Look | Prepare | Accept) -> Looked | Promised | Accepted | Outbid | None:
        """This member's reply, with what it rests on kept ahead of it; None: it has no vote now."""
        if not self.may_vote() or self.sealed is not None:
            return None
        slot = self.slots.get(said.key, EMPTY)
        if type(said) is Look:
            return Looked(said.round, slot.accepted, slot.value)
        if said.ballot.epoch != self.roster.epoch:
            return None
        if type(said) is Prepare:
            after = slots.prepare(slot, said.ballot)
            reply = Promised(said.round, slot.accepted, slot.value)
        else:
            after = slots.accept(slot, said.ballot, said.value)
            reply = Accepted(said.round)
        if after is None:
            return Outbid(said.round, slot.promised)
        self.slots[said.key] = after
        self.persist((f"slot/{said.key}", after))
        return reply

    def asked_to_vote(self, who: Identity, epoch: int, said, now: float) -> None:
        if not self.of_this_epoch(who, epoch, now):
            return
        reply = self.vote(said)
        if reply is not None:
            self.send(who.name, reply)

    def voted(self, who: Identity, epoch: int, said, now: float) -> None:
        """A reply to a try that is still under way."""
        if not self.of_this_epoch(who, epoch, now):
            return
        key = next((key for key, round in self.rounds.items() if round.number == said.round), None)
        if key is None:
            return
        if type(said) is Outbid:
            self.outbid(key, said, now)
        else:
            self.count(key, who.name, said, now)

    def outbid(self, key: str, said: Outbid, now: float) -> None:
        round = self.rounds[key]
        wait = self.timing.backoff * 2 ** min(round.tries, 5) * (0.5 + self.spread())
        self.rounds[key] = replace(
            round, top=max(round.top, said.promised.round), retry_at=min(round.retry_at, now + wait)
        )

    # --- rounds

    def asks(self) -> list[Request]:
        """All that are not answered: those under way, and those that wait."""
        return [round.request for round in self.rounds.values()] + [
            ask for line in self.waiting.values() for ask in line
        ]

    def crowded(self, client: str) -> bool:
        asks = self.asks()
        return client != OWN and (
            len(asks) >= self.timing.most_waiting
            or sum(ask.client == client for ask in asks) >= self.timing.most_of_client
        )

    def begin_round(self, ask: Request, now: float, top: int, tries: int) -> None:
        self.number += 1
        self.ballots = max(self.ballots, top, self.slots.get(ask.key, EMPTY).promised.round) + 1
        ballot = Ballot(self.roster.epoch, self.ballots, self.identity.name, self.start)
        phase = Phase.LOOK if ask.change is None else Phase.PREPARE
        retry_at = now + self.timing.again * (0.75 + 0.5 * self.spread())
        self.put_round(ask.key, Round(ask, self.number, ballot, phase, retry_at, top=top, tries=tries), now)

    def put_round(self, key: str, round: Round, now: float) -> None:
        """It begins a phase: all members are asked, this one first."""
        self.rounds[key] = round
        said = rounds.message(round)
        reply = self.vote(said)
        for name in self.roster.names():
            self.send(name, said)
        if type(reply) is Outbid:
            self.rounds[key] = replace(round, top=max(round.top, reply.promised.round))
        elif reply is not None:
            self.count(key, self.identity.name, reply, now)

    def count(self, key: str, name: str, said, now: float) -> None:
        round = self.rounds[key]
        self.number += 1
        after = rounds.handle_reply(round, name, said, self.roster.majority, self.number)
        if type(after) is RoundResult:
            self.over(key, after, now)
        elif after.phase is not round.phase:
            self.put_round(key, after, now)
        else:
            self.rounds[key] = after

    def over(self, key: str, told: RoundResult, now: float) -> None:
        ask = self.rounds.pop(key).request
        self.answer(ask, told.outcome, told.value)
        if key == ROSTER_KEY and told.value.version:
            self.chosen(reconfiguration.decode_roster(told.value.body), now)

    def begin_waiting(self, now: float) -> None:
        """The first in each register's line, if its turn has come. A loop: an only member ends rounds at once."""
        while ready := [key for key in self.waiting if key not in self.rounds]:
            for key in ready:
                first, *rest = self.waiting.pop(key)
                if rest:
                    self.waiting[key] = tuple(rest)
                self.begin_round(first, now, 0, 1)

    # --- who is of the council, and who moves it

    def of_this_epoch(self, who: Identity, epoch: int, now: float) -> bool:
        """Whether what a member said counts. One that is behind is helped on; one that is not of it is told."""
        if epoch == self.roster.epoch and who in self.roster.members:
            return True
        if self.roster.epoch and epoch <= self.roster.epoch and now >= self.helped_at.get(who.name, 0.0):
            self.helped_at = {name: at for name, at in self.helped_at.items() if at > now}
            self.helped_at[who.name] = now + self.timing.pulse / 2
            if who not in self.roster.members:
                self.send(who.name, Elsewhere(self.roster))
            elif epoch < self.roster.epoch:
                self.send(who.name, Install(self.roster, reconfiguration.accepted_state(self.slots)))
        return False

    def pulsed(self, who: Identity, epoch: int, said: Pulse, now: float) -> None:
        if epoch == 0 and (who.name in self.unformed or len(self.unformed) < MOST_STRANGERS):
            self.unformed[who.name] = who
        else:
            self.unformed.pop(who.name, None)
        if self.of_this_epoch(who, epoch, now) and said.reply == self.start:
            self.known_by |= {who.name}
        if not said.reply:
            self.send(who.name, Pulse(self.seen[who].start))

    def told_older(self, who: Identity, epoch: int, said: Older, now: float) -> None:
        if staleness.is_outdated(self.mark(), said.seen):
            self.retire(
                f"{who.name} saw a newer copy of this directory: life {said.seen.life} with "
                f"{said.seen.writes} writes, this one has life {self.life} from {self.born} writes"
            )

    def told_elsewhere(self, who: Identity, epoch: int, said: Elsewhere, now: float) -> None:
        if said.roster.epoch > self.roster.epoch and self.identity not in said.roster.members:
            self.excluded_by = said.roster
            if self.roster.epoch:
                self.retire(f"replaced: the members are {', '.join(said.roster.names())}")

    def retire(self, why: str) -> None:
        if not self.retired:
            self.retired = why
            self.persist(("retired", why))
            self.out.append(Retire(why))

    def chosen(self, roster: Roster, now: float) -> None:
        if roster.epoch == self.roster.epoch + 1 and self.reconfiguration is None:
            self.reconfiguration = Move(roster)
            self.go_on_moving(now)

    def go_on_moving(self, now: float) -> None:
        """Any member that knows a next roster carries the move through, whoever began it and died."""
        if self.retired or not self.roster.epoch:
            return
        if self.reconfiguration is None and self.sealed is not None:
            self.reconfiguration = Move(self.sealed)
        if self.reconfiguration is None:
            slot = self.slots.get(ROSTER_KEY, EMPTY)
            if (
                slot.value.version
                and ROSTER_KEY not in self.rounds
                and self.may_vote()
                and reconfiguration.decode_roster(slot.value.body).epoch > self.roster.epoch
            ):
                self.begin_round(Request(0, OWN, ROSTER_KEY, None, now + 10 * self.timing.again), now, 0, 1)
        elif now >= self.reconfiguration.retry_at:
            self.reconfiguration = replace(self.reconfiguration, retry_at=now + self.timing.again)
            if self.may_vote():
                self.seal(self.reconfiguration.roster)
                self.count_sealed(self.identity.name, reconfiguration.accepted_state(self.slots))
            if self.reconfiguration is not None:
                for name in self.roster.names():
                    self.send(name, Seal(self.reconfiguration.roster))

    def seal(self, roster: Roster) -> None:
        if self.sealed is None:
            self.sealed = roster
            self.persist(("sealed", roster))

    def asked_to_seal(self, who: Identity, epoch: int, said: Seal, now: float) -> None:
        """Its vote against the epoch that ends; one that begins the next already has said it with that."""
        if who not in self.roster.members or not self.may_vote() or self.roster.epoch + 1 < said.roster.epoch:
            self.of_this_epoch(who, epoch, now)
            return
        if self.roster.epoch + 1 == said.roster.epoch:
            self.seal(said.roster)
        self.send(who.name, Sealed(said.roster.epoch, reconfiguration.accepted_state(self.slots)))

    def told_sealed(self, who: Identity, epoch: int, said: Sealed, now: float) -> None:
        if (
            who in self.roster.members
            and self.reconfiguration is not None
            and said.epoch == self.reconfiguration.roster.epoch
        ):
            self.count_sealed(who.name, said.state)

    def count_sealed(self, name: str, state: reconfiguration.State) -> None:
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

    def asked_to_install(self, who: Identity, epoch: int, said: Install, now: float) -> None:
        if (
            self.identity in said.roster.members
            and said.roster.epoch > self.roster.epoch
            and not self.retired
        ):
            if self.roster.epoch == 0 and said.roster.epoch == 1 and self.agreed != said.roster:
                return  # the first roster only with everybody's consent
            self.install(
                said.roster,
                reconfiguration.merge_states((reconfiguration.accepted_state(self.slots), said.state)),
            )
        if said.roster.epoch == self.roster.epoch:
            self.send(who.name, Installed(self.roster.epoch))

    def install(self, roster: Roster, slots: dict[str, Slot]) -> None:
        self.roster, self.slots, self.sealed, self.reconfiguration = roster, dict(slots), None, None
        self.known_by = (
            frozenset()
        )  # what was known of us at an earlier roster may be known to none of this one
        self.unformed = {name: who for name, who in self.unformed.items() if who not in roster.members}
        self.seen = {who: mark for who, mark in self.seen.items() if who in roster.members}
        self.persist(
            ("roster", roster),
            ("sealed", None),
            ("seen", tuple(self.seen.values())),
            *((f"slot/{key}", slot) for key, slot in slots.items()),
        )
        for key, round in list(self.rounds.items()):  # its votes are of the epoch that ended
            self.rounds[key] = replace(round, number=0, votes=(), retry_at=0.0)
        self.heartbeat_at = 0.0

    def told_installed(self, who: Identity, epoch: int, said: Installed, now: float) -> None:
        """One that has begun helps all others on: a mover that is not of the new roster is done then."""
        if (
            self.reconfiguration is not None
            and said.epoch == self.reconfiguration.roster.epoch
            and self.identity not in self.reconfiguration.roster.members
        ):
            self.excluded_by = self.reconfiguration.roster
            self.reconfiguration = None
            self.retire(f"replaced: the members are {', '.join(self.excluded_by.names())}")

    # --- the first roster: all named members, each agreeing once

    def found(self) -> None:
        if self.roster.epoch or self.retired or self.excluded_by or self.identity.name != min(self.named):
            return
        known = {**self.unformed, self.identity.name: self.identity}
        if set(self.named) <= set(known):
            roster = Roster(1, tuple(sorted(known[name] for name in self.named)))
            self.agree(roster)
            if self.agreed == roster:
                for name in self.named:
                    self.send(name, Found(roster))
                self.founded()

    def agree(self, roster: Roster) -> None:
        if self.agreed is None and tuple(sorted(self.named)) == tuple(roster.names()):
            self.agreed = roster
            self.persist(("agreed", roster))

    def asked_to_agree(self, who: Identity, epoch: int, said: Found, now: float) -> None:
        if not self.roster.epoch and self.identity in said.roster.members:
            self.agree(said.roster)
            if self.agreed == said.roster:
                self.send(who.name, Agreed(said.roster))

    def told_agreed(self, who: Identity, epoch: int, said: Agreed, now: float) -> None:
        if not self.roster.epoch and said.roster == self.agreed and who in said.roster.members:
            self.founders |= {who.name}
            self.founded()

    def founded(self) -> None:
        if len(self.founders) + 1 == len(self.agreed.members):
            roster = self.agreed
            self.install(roster, {})
            for who in roster.members:
                self.send(who.name, Install(roster, ()))


HEARD = {
    Look: Member.asked_to_vote,
    Prepare: Member.asked_to_vote,
    Accept: Member.asked_to_vote,
    Looked: Member.voted,
    Promised: Member.voted,
    Accepted: Member.voted,
    Outbid: Member.voted,
    Pulse: Member.pulsed,
    Older: Member.told_older,
    Elsewhere: Member.told_elsewhere,
    Seal: Member.asked_to_seal,
    Sealed: Member.told_sealed,
    Install: Member.asked_to_install,
    Installed: Member.told_installed,
    Found: Member.asked_to_agree,
    Agreed: Member.told_agreed,
}
