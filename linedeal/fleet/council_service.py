"""A member of the council in its process: what comes in turns the core, and what that wants done is done in order.

All that one turn keeps goes to the disk in one commit, ahead of what the turn sends and answers; meanwhile the next
turn gathers. A fault of the disk ends the member's life, and the next begins from what is on disk.
"""

import json
import random
from dataclasses import dataclass
from typing import Callable

import anyio
import anyio.to_thread

from linedeal.council import reconfiguration
from linedeal.council.member import Member
from linedeal.council.records import (
    ROSTER_KEY,
    Response,
    Request,
    Change,
    InvalidRequestError,
    Persist,
    Outcome,
    Packet,
    Retire,
    Send,
    MemberOptions,
)
from linedeal.duties import census
from linedeal.duties.duty import DutyError
from linedeal.fleet.council_store import CouncilStore
from linedeal.fleet.council_listener import ClientLink, CouncilListener
from linedeal.fleet.hosts import HostsNow, encoded_hosts
from linedeal.fleet.peer_link import PeerLink
from linedeal.net import Address, Net
from linedeal.protocol import VERSION, encode, pb
from linedeal.settings.records import CouncilSettings
from linedeal.state import StoreError

QUEUE = 1024  # packets and asks that wait for the core
WITHIN = 10.0  # seconds, at most, for an answer
ANEW = (
    1.0,
    15.0,
)  # seconds after a fault of the disk until the next life, doubled from the first to the second


@dataclass(frozen=True, slots=True)
class Wanted:
    """An ask as it came in."""

    asker: ClientLink
    said: pb.CouncilAsk


class CouncilService:
    """`seat` is the address of this member's council; `token` proves that it may speak to the others; `hosts()` gives
    the hosts as this member's controller has them."""

    def __init__(
        self,
        settings: CouncilSettings,
        name: str,
        directory,
        seat: Address,
        token: str,
        net: Net,
        log,
        timing: MemberOptions = MemberOptions(),
        hosts: Callable[[], HostsNow] = HostsNow,
    ):
        self.settings, self.name, self.directory, self.seat, self.net = settings, name, directory, seat, net
        self.log, self.timing, self.hosts = log, timing, hosts
        self.random = random.SystemRandom()
        hello = encode(pb.Hello(version=VERSION, role=pb.MEMBER, name=name, session=settings.id, token=token))
        self.peers = {
            peer: PeerLink(peer, address, hello, net, self.random.random, log)
            for peer, address in settings.places.items()
            if peer != name
        }
        self.hall = CouncilListener(name, settings, net, self.heard, self.asked, log)
        self.put, self.taken = anyio.create_memory_object_stream(QUEUE)
        self.asks: dict[int, Wanted] = {}  # whom each answer is for
        self.numbers = 0
        self.reports = census.ReportTable()

    async def run(self, *, task_status=anyio.TASK_STATUS_IGNORED) -> None:
        async with anyio.create_task_group() as tasks:
            for peer in self.peers.values():
                tasks.start_soon(peer.run)
            task_status.started(await tasks.start(self.hall.run, self.seat))
            pause = ANEW[0]
            while True:
                try:
                    await self.live()
                except StoreError as error:
                    self.log.error("council stands still", reason=str(error))
                    self.unknown()
                with anyio.move_on_after(pause):
                    await self.refuse_all()
                pause = min(2 * pause, ANEW[1])

    def unknown(self) -> None:
        """For all that were not told before the life ended: whether anything was made is on the disk, if anywhere."""
        for wanted in self.asks.values():
            self.tell(wanted, Outcome.UNKNOWN)
        self.asks.clear()

    async def heard(self, packet: Packet) -> None:
        await self.put.send(packet)

    async def asked(self, asker: ClientLink, said: pb.CouncilAsk) -> None:
        await self.put.send(Wanted(asker, said))

    async def refuse_all(self) -> None:
        """Between two lives."""
        while True:
            got = await self.taken.receive()
            if isinstance(got, Wanted):
                self.tell(got, Outcome.UNREADY)

    # --- one life

    async def live(self) -> None:
        disk = await anyio.to_thread.run_sync(CouncilStore, self.directory, self.name, self.settings.id)
        try:
            member = Member(
                disk.identity,
                self.settings.id,
                self.settings.members,
                disk.kept,
                self.random.randrange(1, 1 << 62),
                self.random.random,
                self.timing,
            )
            out = member.begin(anyio.current_time())
            self.log.info(
                "council member begins",
                life=member.life,
                epoch=member.roster.epoch,
                members=member.roster.names(),
                retired=member.retired,
            )
            voted = False
            while True:
                await self.carry_out(disk, out)
                if member.may_vote() is not voted:
                    voted = not voted
                    self.log.info(
                        "council votes" if voted else "council votes no more",
                        epoch=member.roster.epoch,
                        members=member.roster.names(),
                    )
                out = await self.turn(member)
        finally:
            disk.close()

    async def turn(self, member: Member) -> list:
        """What the core makes of all that waits, or of its time."""
        out = []
        with anyio.move_on_after(max(0.0, member.next_tick() - anyio.current_time())):
            out += self.hear(member, await self.taken.receive())
        for _ in range(QUEUE):
            try:
                out += self.hear(member, self.taken.receive_nowait())
            except anyio.WouldBlock:
                break
        if anyio.current_time() >= member.next_tick():
            out += member.tick(anyio.current_time())
        return out

    def hear(self, member: Member, got: Packet | Wanted) -> list:
        now = anyio.current_time()
        if isinstance(got, Packet):
            return member.receive(got, now)
        try:
            return self.begin(member, got, now)
        except InvalidRequestError as fault:
            self.fault(got, str(fault))
        return []

    async def carry_out(self, disk: CouncilStore, out: list) -> None:
        keeps = [one for one in out if type(one) is Persist]
        if keeps:
            await anyio.to_thread.run_sync(disk.write, keeps)
        for one in out:
            if type(one) is Send:
                peer = self.peers.get(one.to)  # a member that this cluster file does not name yet has none
                if peer is not None:
                    peer.send(one.packet)
            elif type(one) is Retire:
                self.log.error("council member retires", reason=one.reason)
        self.tell_answers(out)

    # --- asks

    def begin(self, member: Member, wanted: Wanted, now: float) -> list:
        said = wanted.said
        until = now + min(max(said.within, 0.0), WITHIN)
        if said.kind == pb.STATUS:
            self.tell(wanted, Outcome.READ, body=json.dumps(self.status(member)).encode())
            return []
        if said.kind == pb.REPORT:
            return self.reported(member, wanted, now)
        if said.kind == pb.REPORTS:
            self.tell(wanted, Outcome.READ, body=census.encode(self.reports.all(now)))
            return []
        if said.kind == pb.HOSTS:
            self.tell(wanted, Outcome.READ, body=encoded_hosts(self.hosts()))
            return []
        if said.kind == pb.VOUCH:
            self.log.warning("the operator vouches for the directory", who=wanted.asker.name)
            self.tell(wanted, Outcome.DONE)
            return member.confirm_directory(now)
        if said.kind == pb.READ:
            change, key = None, said.key
        elif said.kind == pb.CHANGE:
            if said.key == ROSTER_KEY:
                raise InvalidRequestError(f"{ROSTER_KEY} changes by replace alone")
            change, key = Change(said.id, said.expect, said.body), said.key
        elif said.kind == pb.REPLACE:
            change, key = self.replacement(member, said), ROSTER_KEY
        else:
            raise InvalidRequestError("the council is not asked that")
        if not 0 < len(key) <= 128 or change is not None and not 0 < len(change.id) <= 128:
            raise InvalidRequestError("a register's name and a change's id have 1 to 128 characters")
        self.numbers += 1
        self.asks[self.numbers] = wanted
        try:
            return member.submit(Request(self.numbers, wanted.asker.name, key, change, until), now)
        except InvalidRequestError:
            del self.asks[self.numbers]
            raise

    def replacement(self, member: Member, said: pb.CouncilAsk) -> Change:
        comes = member.candidates().get(said.id)
        if comes is None:
            raise InvalidRequestError(
                f"{said.id} has not been heard of as one that belongs to no council: start it first"
            )
        roster = reconfiguration.replace_member(member.roster, said.key, comes)
        held = member.slots.get(ROSTER_KEY)
        return Change(
            f"{said.key}>{comes.name}/{comes.incarnation}",
            held.value.version if held else 0,
            reconfiguration.encode_roster(roster),
        )

    def tell_answers(self, out: list) -> None:
        for one in out:
            if type(one) is Response:
                wanted = self.asks.pop(one.request.number)
                self.tell(wanted, one.outcome, one.value.version, one.value.body)

    def tell(self, wanted: Wanted, outcome: Outcome, version: int = 0, body: bytes = b"") -> None:
        wanted.asker.tell(
            pb.CouncilTold(number=wanted.said.number, outcome=outcome.name, version=version, body=body)
        )

    def fault(self, wanted: Wanted, why: str) -> None:
        wanted.asker.tell(pb.CouncilTold(number=wanted.said.number, outcome="FAULT", body=why.encode()))

    def reported(self, member: Member, wanted: Wanted, now: float) -> list:
        """Kept in memory alone; the answer is this member's own view of the last census, which may lag."""
        if len(wanted.said.body) > census.MAX_REPORT_BYTES:
            raise InvalidRequestError(
                f"a report of {len(wanted.said.body)} bytes, at most {census.MAX_REPORT_BYTES} are taken"
            )
        try:
            self.reports.put(census.decode(wanted.said.body, census.Report), now)
        except DutyError as refusal:
            raise InvalidRequestError(str(refusal)) from None
        held = member.slots.get(census.CENSUS_KEY)
        self.tell(wanted, Outcome.READ, body=held.value.body if held else b"")
        return []

    def status(self, member: Member) -> dict:
        return {
            "name": self.name,
            "council": self.settings.id,
            "epoch": member.roster.epoch,
            "members": member.roster.names(),
            "votes": member.may_vote(),
            "retired": member.retired,
            "life": member.life,
            "known_by": sorted(member.known_by),
            "moving": member.sealed is not None,
            "elsewhere": member.excluded_by.names() if member.excluded_by else [],
            "candidates": sorted(member.candidates()),
            "registers": sorted(member.slots),
            "links": sorted(name for name, peer in self.peers.items() if peer.up),
        }
