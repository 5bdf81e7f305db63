"""The platform's event bus: the list of hosts as numbered events, read over HTTP by long polling.

`Feed` puts the events in order and is free of I/O; `BusPoller` is the task that reads them.
"""

from collections.abc import Callable
from dataclasses import dataclass, replace
from random import Random

import anyio
import h11
import msgspec

from linedeal.engine import events
from linedeal.interface import Mode
from linedeal.loop import Inbox
from linedeal.net import Address, LinkLostError, Net
from linedeal.net.base import CONNECTION_ERRORS, close_stream, describe_error
from linedeal.wiresettings import MODES

LONG_POLL_WAIT = 2.0  # seconds that the bus may hold a request while there is no event
RESPONSE_SLACK = 0.4  # seconds beyond that until the response has to be complete
CONNECT_TIMEOUT = 1.0  # seconds
RETRY_DELAY, RETRY_DELAY_MAX = 0.1, 1.0  # seconds after a failed request: per failure in a row, and at most
RETRY_JITTER = 0.5  # share of the delay that is random
MAX_BODY_BYTES = 4 << 20  # of one response
UNKNOWN_AGE = 1e7  # seconds: the age of a host without a start time, which counts as long running
MAX_HOSTS = 10_000  # in one event


class Server(msgspec.Struct):
    """One host as the bus lists it."""

    id: str
    addr: str = ""
    zone: str = ""
    kind: str = ""
    cell: int = 0
    state: str = "DRAINING"
    started_ms: float = 0.0
    unasked: tuple[float, float] | None = None


class Topology(msgspec.Struct):
    """Hosts that have changed, or all hosts if `full`."""

    version: int = 0
    full: bool = False
    servers: list[Server] = []


class Event(msgspec.Struct):
    """One numbered event; those without a topology do not concern a controller."""

    offset: int
    topology: Topology | None = None


class Batch(msgspec.Struct):
    """One response of the bus. `offset`: the number of the last event that there is."""

    offset: int
    batch: list[Event] = []


class BusProtocolError(Exception):
    """The bus sent something that cannot be decoded, or left out events."""


class IncompleteResponseError(BusProtocolError):
    """A response cannot be decoded. Nothing of it was accepted, so the same events are requested again.

    A response without a stated length ends with its connection: that it was cut off shows only here.
    """


BATCH_DECODER = msgspec.json.Decoder(Batch)


def decode(data: bytes) -> Batch:
    """Decodes the body of a response. Raises IncompleteResponseError."""
    try:
        return BATCH_DECODER.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError, OverflowError) as error:
        raise IncompleteResponseError(str(error)[:200]) from None


@dataclass(slots=True)
class Feed:
    """Accepts batches in order.

    `offset`: the number of the last event that was accepted. `has_list`: whether a whole list was.
    """

    offset: int = 0
    has_list: bool = False

    def accept(self, batch: Batch, unix_time: float) -> list[events.HostListReceived]:
        """Returns the host lists of the events that are new.

        Raises BusProtocolError if events are missing; the caller then reads again from the start. What is
        read again becomes one list: the first event alone would end all jobs on hosts that joined later.
        """
        received, requested_from = [], self.offset
        read_again = requested_from == 0 and self.has_list
        for event in batch.batch:
            if event.offset <= self.offset:
                continue
            if event.offset != self.offset + 1 and not (event.topology and event.topology.full):
                raise BusProtocolError(f"event {event.offset} after {self.offset}")
            if event.topology is not None:
                received.append(host_list(event.topology, unix_time))
            self.offset = event.offset
        if batch.offset > self.offset:
            if requested_from:  # to accept this offset could skip events that are never sent again
                raise BusProtocolError(f"nothing of the events from {self.offset} to {batch.offset}")
            self.offset = batch.offset  # read from the start, so there is nothing more to read
        self.has_list = self.has_list or any(one.whole for one in received)
        return merge_lists(received) if read_again else received


def merge_lists(lists: list[events.HostListReceived]) -> list[events.HostListReceived]:
    """The last whole list with the changes that follow it, as one; the same lists if none is whole."""
    start = max((index for index, one in enumerate(lists) if one.whole), default=None)
    if start is None:
        return lists
    hosts = {host.id: host for one in lists[start:] for host in one.hosts}
    present = tuple(host for host in hosts.values() if host.mode is not Mode.GONE)
    return [replace(lists[-1], hosts=present, whole=True)]


def host_list(topology: Topology, unix_time: float) -> events.HostListReceived:
    """Converts a topology to the engine's event. Raises BusProtocolError if it names too many hosts."""
    if len(topology.servers) > MAX_HOSTS:
        raise BusProtocolError(f"an event that names {len(topology.servers)} hosts")
    hosts = tuple(
        events.ListedHost(
            server.id,
            (server.addr,),
            server.kind,
            server.zone,
            server.cell,
            MODES.get(server.state, MODES["DRAINING"]),
            int(server.started_ms),
            max(0.0, unix_time - server.started_ms / 1000) if server.started_ms > 0 else UNKNOWN_AGE,
            *(server.unasked or (None, None)),
        )
        for server in topology.servers
    )
    return events.HostListReceived(hosts, topology.full, topology.version)


class BusPoller:
    """Reads the bus with one request at a time, each from the last event that was accepted."""

    def __init__(
        self,
        address: Address,
        feed: Feed,
        net: Net,
        inbox: Inbox,
        random: Random,
        log,
        clock: Callable[[], float],
    ):
        """`clock`: returns Unix time in seconds, against which hosts' start times are converted to ages."""
        self.address, self.feed, self.net, self.inbox, self.log, self.clock = (
            address,
            feed,
            net,
            inbox,
            log,
            clock,
        )
        self.random = random
        self.attempt = anyio.CancelScope()
        self.failures = 0  # in a row

    def change_address(self, address: Address) -> None:
        """Cancels the request to the old address and continues at the new one from the same event."""
        if address != self.address:
            self.address = address
            self.attempt.cancel()

    async def run(self) -> None:
        """Reads until cancelled; reconnects after errors."""
        while True:
            with anyio.CancelScope() as self.attempt:
                try:
                    await self.poll()
                except (LinkLostError, BusProtocolError) as error:
                    self.failures += 1
                    if self.failures == 1:
                        self.log.warning("bus broke off", reason=str(error))
                    if isinstance(error, BusProtocolError):
                        self.feed.offset = 0
                await anyio.sleep(self.backoff())

    def backoff(self) -> float:
        """Seconds until the next request; random, since all controllers see a failure of the bus at once."""
        return min(RETRY_DELAY * self.failures, RETRY_DELAY_MAX) * self.random.uniform(1 - RETRY_JITTER, 1)

    async def poll(self) -> None:
        """Sends requests on one connection until it ends. Raises LinkLostError or BusProtocolError."""
        stream = None
        try:
            with anyio.fail_after(CONNECT_TIMEOUT):
                stream = await self.net.connect(self.address)
            http = h11.Connection(h11.CLIENT)
            while True:
                with anyio.fail_after(LONG_POLL_WAIT + RESPONSE_SLACK):
                    body = await self.request(stream, http)
                for event in self.feed.accept(decode(body), self.clock()):
                    # Does not wait: the offset has advanced, so a change of address must not lose the event.
                    self.inbox.put(event)
                self.failures = 0
                if http.our_state is h11.MUST_CLOSE or http.their_state is not h11.DONE:
                    return
                http.start_next_cycle()
        except TimeoutError:
            raise LinkLostError("it does not answer in time") from None
        except h11.ProtocolError as error:
            raise LinkLostError(f"not HTTP: {error}") from None
        except IncompleteResponseError as error:
            raise LinkLostError(str(error)) from None
        except CONNECTION_ERRORS as error:
            raise LinkLostError(describe_error(error)) from None
        finally:
            if stream is not None:
                await close_stream(stream)

    async def request(self, stream, http: h11.Connection) -> bytes:
        """Sends one request and returns the body of its response. Raises LinkLostError."""
        host = f"{self.address[0]}:{self.address[1]}"
        target = f"/bus/read?from={self.feed.offset}&hold={LONG_POLL_WAIT * 1000:.0f}"
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
                if len(body) > MAX_BODY_BYTES:
                    raise LinkLostError(f"a response of more than {MAX_BODY_BYTES} bytes")
            elif isinstance(event, h11.EndOfMessage):
                if status != 200:
                    raise LinkLostError(f"status {status}")
                return bytes(body)
            elif isinstance(event, h11.ConnectionClosed):
                raise LinkLostError("closed by the other side")
