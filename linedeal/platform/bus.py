"""The event bus: which hosts there are, as numbered events over HTTP. `Feed` is free of I/O, `BusPoll` is the task."""

import time
from dataclasses import dataclass
from random import Random
from typing import Callable

import anyio
import h11
import msgspec

from linedeal.engine import events
from linedeal.loop import Inbox
from linedeal.net import Address, LinkLostError, Net
from linedeal.net.base import CONNECTION_ERRORS, close_stream, reason
from linedeal.wiresettings import MODES

HOLD = 2.0  # seconds that the bus may hold a call without news
SILENT = 0.4  # ... and how much longer its answer may take to be whole
CONNECT = 1.0  # seconds for its connection to stand
PAUSE, PAUSE_MOST = 0.1, 1.0  # seconds between calls that fail, first and at most
JITTER = 0.5  # share of them that is left to chance
BODY_MOST = 4 << 20  # bytes of one answer
LONG_AGO = 1e7  # seconds: the age of a host that was there before the day
HOSTS_MOST = 10_000  # that one event names


class Server(msgspec.Struct):
    id: str
    addr: str = ""
    zone: str = ""
    kind: str = ""
    cell: int = 0
    state: str = "DRAINING"
    started_ms: float = 0.0
    unasked: tuple[float, float] | None = None


class Topology(msgspec.Struct):
    version: int = 0
    full: bool = False
    servers: list[Server] = []


class Event(msgspec.Struct):
    offset: int
    topology: Topology | None = None


class Batch(msgspec.Struct):
    offset: int
    batch: list[Event] = []


class BadEvent(Exception):
    """What the bus says cannot be followed."""


ANSWERS = msgspec.json.Decoder(Batch)


def decode(data: bytes) -> Batch:
    try:
        return ANSWERS.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError, OverflowError) as error:
        raise BadEvent(str(error)[:200]) from None


@dataclass(slots=True)
class Feed:
    """Takes in batches in order. `number`: of the last event that was taken in whole."""

    number: int = 0

    def take(self, batch: Batch, unix: float) -> list[events.HostListReceived]:
        """Raises BadEvent at a hole: what it would have told has to be read again from the start."""
        heard, asked_from = [], self.number
        for event in batch.batch:
            if event.offset <= self.number:
                continue
            if event.offset != self.number + 1 and not (event.topology and event.topology.full):
                raise BadEvent(f"event {event.offset} after {self.number}")
            if event.topology is not None:
                heard.append(listed(event.topology, unix))
            self.number = event.offset
        if batch.offset > self.number:
            if asked_from:  # taken at its word, what lies between might never be told
                raise BadEvent(f"nothing of the events from {self.number} to {batch.offset}")
            self.number = batch.offset  # all that there is to be told has been
        return heard


def listed(topology: Topology, unix: float) -> events.HostListReceived:
    if len(topology.servers) > HOSTS_MOST:
        raise BadEvent(f"an event that names {len(topology.servers)} hosts")
    hosts = tuple(
        events.ListedHost(
            server.id,
            (server.addr,),
            server.kind,
            server.zone,
            server.cell,
            MODES.get(server.state, MODES["DRAINING"]),
            int(server.started_ms),
            max(0.0, unix - server.started_ms / 1000) if server.started_ms > 0 else LONG_AGO,
            *(server.unasked or (None, None)),
        )
        for server in topology.servers
    )
    return events.HostListReceived(hosts, topology.full, topology.version)


class BusPoll:
    """One call out at a time, each from the last event that was read whole."""

    def __init__(
        self,
        address: Address,
        feed: Feed,
        net: Net,
        inbox: Inbox,
        random: Random,
        log,
        clock: Callable[[], float] = time.time,
    ):
        self.address, self.feed, self.net, self.inbox, self.log, self.clock = (
            address,
            feed,
            net,
            inbox,
            log,
            clock,
        )
        self.random = random
        self.moved = anyio.CancelScope()
        self.fails = 0

    def move(self, address: Address) -> None:
        """The bus has another address: what is out at the old one is given up, the number goes on."""
        if address != self.address:
            self.address = address
            self.moved.cancel()

    async def run(self) -> None:
        while True:
            with anyio.CancelScope() as self.moved:
                try:
                    await self.connection()
                except (LinkLostError, BadEvent) as error:
                    self.fails += 1
                    if self.fails == 1:
                        self.log.warning("bus broke off", reason=str(error))
                    if isinstance(error, BadEvent):
                        self.feed.number = 0
                await anyio.sleep(self.backoff())

    def backoff(self) -> float:
        """Seconds until the next call, with jitter: one fault of the bus is seen by all controllers in one moment."""
        return min(PAUSE * self.fails, PAUSE_MOST) * self.random.uniform(1 - JITTER, 1)

    async def connection(self) -> None:
        """Calls on one connection, until it ends. Raises LinkLostError or BadEvent."""
        stream = None
        try:
            with anyio.fail_after(CONNECT):
                stream = await self.net.connect(self.address)
            http = h11.Connection(h11.CLIENT)
            while True:
                with anyio.fail_after(HOLD + SILENT):
                    body = await self.call(stream, http)
                for heard in self.feed.take(decode(body), self.clock()):
                    self.inbox.put(
                        heard
                    )  # never waits: what is counted as read has to be told, also at a move
                self.fails = 0
                if http.our_state is h11.MUST_CLOSE or http.their_state is not h11.DONE:
                    return
                http.start_next_cycle()
        except TimeoutError:
            raise LinkLostError("it says nothing") from None
        except h11.ProtocolError as error:
            raise LinkLostError(f"no HTTP: {error}") from None
        except CONNECTION_ERRORS as error:
            raise LinkLostError(reason(error)) from None
        finally:
            if stream is not None:
                await close_stream(stream)

    async def call(self, stream, http: h11.Connection) -> bytes:
        host = f"{self.address[0]}:{self.address[1]}"
        target = f"/bus/read?from={self.feed.number}&hold={HOLD * 1000:.0f}"
        await stream.send(
            http.send(h11.Request(method="GET", target=target, headers=[("Host", host)]))
            + http.send(h11.EndOfMessage())
        )
        body, status = bytearray(), 0
        while True:
            event = http.next_event()
            if event is h11.NEED_DATA:
                try:
                    http.receive_data(await stream.receive())
                except anyio.EndOfStream:
                    http.receive_data(b"")
            elif isinstance(event, h11.Response):
                status = event.status_code
            elif isinstance(event, h11.Data):
                body += event.data
                if len(body) > BODY_MOST:
                    raise LinkLostError(f"an answer of more than {BODY_MOST} bytes")
            elif isinstance(event, h11.EndOfMessage):
                if status != 200:
                    raise LinkLostError(f"status {status}")
                return bytes(body)
            elif isinstance(event, h11.ConnectionClosed):
                raise LinkLostError("closed by the other side")
