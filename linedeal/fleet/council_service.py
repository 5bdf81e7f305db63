"""Runs a member of the council: passes packets and requests to its state machine and carries out the effects.

Everything that one step persists is written in one commit, before the step's packets and replies are sent;
input for the next step accumulates during the write. A disk failure ends the member's life, and the next life
starts from what is on disk.
"""

import json
import random
from collections.abc import Callable
from dataclasses import dataclass

import anyio
import anyio.to_thread

from linedeal.council import reconfiguration
from linedeal.council.member import Member
from linedeal.council.records import (
    ROSTER_KEY,
    Change,
    InvalidRequestError,
    MemberOptions,
    Outcome,
    Packet,
    Persist,
    Request,
    Response,
    Retire,
    Send,
)
from linedeal.duties import census
from linedeal.duties.duty import DutyError
from linedeal.fleet.council_listener import ClientLink, CouncilListener
from linedeal.fleet.council_store import CouncilStore
from linedeal.fleet.hosts import HostsNow, encode_hosts
from linedeal.fleet.peer_link import PeerLink
from linedeal.net import Address, Net
from linedeal.protocol import VERSION, encode, pb
from linedeal.settings.records import CouncilSettings
from linedeal.state import StoreError

MAX_QUEUED_INPUTS = 1024  # packets and requests that wait for the state machine
MAX_REQUEST_TIMEOUT = 10.0  # seconds
# seconds after a disk failure until the next life starts: the first, and the limit as it doubles
RESTART_DELAY = (1.0, 15.0)


@dataclass(frozen=True, slots=True)
class ReceivedRequest:
    """A request as it arrived, with the client that waits for the reply."""

    client: ClientLink
    message: pb.CouncilAsk


class CouncilService:
    """One member of the council. A member's life is the time from one load of its directory to the next."""

    def __init__(
        self,
        settings: CouncilSettings,
        name: str,
        directory,
        listen_address: Address,
        token: str,
        net: Net,
        log,
        timing: MemberOptions = MemberOptions(),  # noqa: B008 - frozen, so one instance can be shared
        hosts: Callable[[], HostsNow] = HostsNow,
    ):
        """`listen_address` is where this member accepts links; `token` authenticates it to the other members.

        `hosts()` returns the hosts as this member's controller knows them.
        """
        self.settings, self.name, self.directory, self.listen_address, self.net = (
            settings,
            name,
            directory,
            listen_address,
            net,
        )
        self.log, self.timing, self.hosts = log, timing, hosts
        self.random = random.SystemRandom()
        hello = encode(pb.Hello(version=VERSION, role=pb.MEMBER, name=name, session=settings.id, token=token))
        self.peers = {
            peer: PeerLink(peer, address, hello, net, self.random.random, log)
            for peer, address in settings.places.items()
            if peer != name
        }
        self.listener = CouncilListener(name, settings, net, self.on_packet, self.on_request, log)
        self.input_sender, self.input_receiver = anyio.create_memory_object_stream(MAX_QUEUED_INPUTS)
        self.pending: dict[int, ReceivedRequest] = {}  # by the number of the state machine's request
        self.last_number = 0
        self.reports = census.ReportTable()

    async def run(self, *, task_status=anyio.TASK_STATUS_IGNORED) -> None:
        """Runs the member, one life after the other, until cancelled.

        Reports the address that it listens on. Raises OSError if that cannot be bound.
        """
        async with anyio.create_task_group() as tasks:
            for peer in self.peers.values():
                tasks.start_soon(peer.run)
            task_status.started(await tasks.start(self.listener.run, self.listen_address))
            delay = RESTART_DELAY[0]
            while True:
                try:
                    await self.run_life()
                except StoreError as error:
                    self.log.error("council stands still", reason=str(error))
                    self.abandon_pending()
                with anyio.move_on_after(delay):
                    await self.refuse_requests()
                delay = min(2 * delay, RESTART_DELAY[1])

    def abandon_pending(self) -> None:
        """Replies UNKNOWN to the open requests of a life that ended.

        Whether their changes were made can be learned only from what is on disk, here or at other members.
        """
        for request in self.pending.values():
            self.reply(request, Outcome.UNKNOWN)
        self.pending.clear()

    async def on_packet(self, packet: Packet) -> None:
        """Queues a packet; waits while the queue is full."""
        await self.input_sender.send(packet)

    async def on_request(self, client: ClientLink, message: pb.CouncilAsk) -> None:
        """Queues a request; waits while the queue is full."""
        await self.input_sender.send(ReceivedRequest(client, message))

    async def refuse_requests(self) -> None:
        """Replies UNREADY to all requests, between two lives. Runs until cancelled."""
        while True:
            received = await self.input_receiver.receive()
            if isinstance(received, ReceivedRequest):
                self.reply(received, Outcome.UNREADY)

    # --- one life

    async def run_life(self) -> None:
        """Runs the member from what is on disk until the disk fails. Raises StoreError."""
        store = await anyio.to_thread.run_sync(CouncilStore, self.directory, self.name, self.settings.id)
        try:
            member = Member(
                store.identity,
                self.settings.id,
                self.settings.members,
                store.records,
                self.random.randrange(1, 1 << 62),
                self.random.random,
                self.timing,
            )
            effects = member.begin(anyio.current_time())
            self.log.info(
                "council member started",
                life=member.life,
                epoch=member.roster.epoch,
                members=member.roster.names(),
                retired=member.retired,
            )
            could_vote = False
            while True:
                await self.carry_out(store, effects)
                if member.may_vote() is not could_vote:
                    could_vote = not could_vote
                    self.log.info(
                        "council member may vote" if could_vote else "council member may not vote any more",
                        epoch=member.roster.epoch,
                        members=member.roster.names(),
                    )
                effects = await self.step(member)
        finally:
            store.close()

    async def step(self, member: Member) -> list:
        """Waits for input or for the member's next tick, and returns the effects of all input that waits."""
        effects = []
        with anyio.move_on_after(max(0.0, member.next_tick() - anyio.current_time())):
            effects += self.process(member, await self.input_receiver.receive())
        for _ in range(MAX_QUEUED_INPUTS):
            try:
                effects += self.process(member, self.input_receiver.receive_nowait())
            except anyio.WouldBlock:
                break
        if anyio.current_time() >= member.next_tick():
            effects += member.tick(anyio.current_time())
        return effects

    def process(self, member: Member, received: Packet | ReceivedRequest) -> list:
        """Passes one packet or request to the state machine, and returns its effects."""
        now = anyio.current_time()
        if isinstance(received, Packet):
            return member.receive(received, now)
        try:
            return self.begin_request(member, received, now)
        except InvalidRequestError as error:
            self.reply_error(received, str(error))
        return []

    async def carry_out(self, store: CouncilStore, effects: list) -> None:
        """Writes what is to be persisted, then sends packets and replies. Raises StoreError."""
        writes = [effect for effect in effects if type(effect) is Persist]
        if writes:
            await anyio.to_thread.run_sync(store.write, writes)
        for effect in effects:
            if type(effect) is Send:
                peer = self.peers.get(effect.to)  # None for a member that this cluster file does not name yet
                if peer is not None:
                    peer.send(effect.packet)
            elif type(effect) is Retire:
                self.log.error("council member retired", reason=effect.reason)
        self.send_responses(effects)

    # --- requests

    def begin_request(self, member: Member, received: ReceivedRequest, now: float) -> list:
        """Replies to a request at once, or starts it. Returns the effects. Raises InvalidRequestError."""
        message = received.message
        deadline = now + min(max(message.within, 0.0), MAX_REQUEST_TIMEOUT)
        if message.kind == pb.STATUS:
            self.reply(received, Outcome.READ, body=json.dumps(self.status(member)).encode())
            return []
        if message.kind == pb.REPORT:
            return self.receive_report(member, received, now)
        if message.kind == pb.REPORTS:
            self.reply(received, Outcome.READ, body=census.encode(self.reports.all(now)))
            return []
        if message.kind == pb.HOSTS:
            self.reply(received, Outcome.READ, body=encode_hosts(self.hosts()))
            return []
        if message.kind == pb.VOUCH:
            self.log.warning("directory confirmed by an operator", who=received.client.name)
            self.reply(received, Outcome.DONE)
            return member.confirm_directory(now)
        if message.kind == pb.READ:
            change, key = None, message.key
        elif message.kind == pb.CHANGE:
            if message.key == ROSTER_KEY:
                raise InvalidRequestError(f"{ROSTER_KEY} changes by replace alone")
            change, key = Change(message.id, message.expect, message.body), message.key
        elif message.kind == pb.REPLACE:
            change, key = self.roster_change(member, message), ROSTER_KEY
        else:
            raise InvalidRequestError("unknown kind of council request")
        if not 0 < len(key) <= 128 or change is not None and not 0 < len(change.id) <= 128:
            raise InvalidRequestError("a register's name and a change's id have 1 to 128 characters")
        self.last_number += 1
        self.pending[self.last_number] = received
        try:
            return member.submit(Request(self.last_number, received.client.name, key, change, deadline), now)
        except InvalidRequestError:
            del self.pending[self.last_number]
            raise

    def roster_change(self, member: Member, message: pb.CouncilAsk) -> Change:
        """Returns the change that replaces member `key` of the roster by `id`. Raises InvalidRequestError."""
        new_member = member.candidates().get(message.id)
        if new_member is None:
            raise InvalidRequestError(
                f"{message.id} is not known as a running member that belongs to no council: start it first"
            )
        roster = reconfiguration.replace_member(member.roster, message.key, new_member)
        slot = member.slots.get(ROSTER_KEY)
        return Change(
            f"{message.key}>{new_member.name}/{new_member.incarnation}",
            slot.value.version if slot else 0,
            reconfiguration.encode_roster(roster),
        )

    def send_responses(self, effects: list) -> None:
        """Replies to the requests that the state machine has finished."""
        for effect in effects:
            if type(effect) is Response:
                received = self.pending.pop(effect.request.number)
                self.reply(received, effect.outcome, effect.value.version, effect.value.body)

    def reply(self, received: ReceivedRequest, outcome: Outcome, version: int = 0, body: bytes = b"") -> None:
        """Sends the outcome of a request to its client."""
        received.client.send(
            pb.CouncilTold(number=received.message.number, outcome=outcome.name, version=version, body=body)
        )

    def reply_error(self, received: ReceivedRequest, reason: str) -> None:
        """Sends the client the reason why its request can never be carried out."""
        received.client.send(
            pb.CouncilTold(number=received.message.number, outcome="FAULT", body=reason.encode())
        )

    def receive_report(self, member: Member, received: ReceivedRequest, now: float) -> list:
        """Accepts a controller's report, in memory only, and replies with the census.

        The census is the last one that this member has; it may be older than the newest. Raises
        InvalidRequestError.
        """
        if len(received.message.body) > census.MAX_REPORT_BYTES:
            raise InvalidRequestError(
                f"the report has {len(received.message.body)} bytes, {census.MAX_REPORT_BYTES} are allowed"
            )
        try:
            self.reports.put(census.decode(received.message.body, census.Report), now)
        except DutyError as error:
            raise InvalidRequestError(str(error)) from None
        slot = member.slots.get(census.CENSUS_KEY)
        self.reply(received, Outcome.READ, body=slot.value.body if slot else b"")
        return []

    def status(self, member: Member) -> dict:
        """Returns the state of the member; the keys are sent and shown to operators."""
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
