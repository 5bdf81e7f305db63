"""TCP sockets over anyio."""

import asyncio
import socket

import anyio
import anyio.abc
import anyio.lowlevel
from anyio.abc import SocketAttribute

from linedeal.net.base import Address, Capacity, NetAttribute

ACCEPT_RETRY_DELAY = 0.001  # seconds to wait after an accept that has failed, doubled for each in a row
ACCEPT_RETRY_DELAY_MAX = 0.05
READ_SIZE = 65536  # bytes of one read
# The system's buffer of received bytes for one connection; Linux doubles the figure for its own bookkeeping.
# The event loop moves all that is there into the process in one iteration, whether or not anyone reads it, so
# this bounds the memory that a peer can fill.
RECEIVE_BUFFER_BYTES = 32768
# Detects a peer that has vanished without closing (power or network lost); its connection would otherwise
# stay open, and be counted, forever. Seconds of silence before the first probe, seconds between probes,
# number of unanswered probes, and milliseconds that sent data may stay unacknowledged. The system of a slow
# peer still answers.
KEEPALIVE_OPTIONS = {"TCP_KEEPIDLE": 60, "TCP_KEEPINTVL": 20, "TCP_KEEPCNT": 3, "TCP_USER_TIMEOUT": 120_000}


def enable_keepalive(raw: socket.socket) -> None:
    """Turns on TCP keepalive with KEEPALIVE_OPTIONS, as far as the system has them."""
    try:
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        for name, value in KEEPALIVE_OPTIONS.items():
            if hasattr(socket, name):  # otherwise the system's default applies
                raw.setsockopt(socket.IPPROTO_TCP, getattr(socket, name), value)
    except OSError:
        pass  # the connection has ended already; its first read reports that


def limit_receive_buffer(raw: socket.socket) -> None:
    """Bounds what the system keeps of a peer's bytes. A listener passes the bound on to what it accepts."""
    try:
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    except OSError:
        pass  # the connection has ended already; its first read reports that


def pause_reading(stream: anyio.abc.SocketStream) -> None:
    """Stops the event loop from reading ahead of `stream.receive`, which resumes it while it waits.

    On asyncio, anyio leaves the transport of an accepted connection reading: until the first `receive` that
    has to wait, it collects without a bound what the peer sends. There is no public way to the transport.
    Raises RuntimeError if this version of anyio keeps it elsewhere.
    """
    if not runs_on_asyncio():
        return  # trio's streams read only in `receive`
    transport = getattr(stream, "_transport", None)
    if not hasattr(transport, "pause_reading"):
        raise RuntimeError(
            f"reading ahead cannot be stopped: anyio's {type(stream).__name__} has no transport"
        )
    transport.pause_reading()


def runs_on_asyncio() -> bool:
    """Whether the current task runs in an asyncio event loop."""
    try:
        asyncio.get_running_loop()
    except RuntimeError:
        return False
    return True


class AcceptedStream(anyio.abc.ByteStream):
    """A connection whose first bytes were read when it was accepted, at loop time `received_at`."""

    def __init__(self, inner: anyio.abc.SocketStream, first: bytes, received_at: float):
        """`first`: the bytes that were read already; `receive` returns them before any others."""
        self.inner, self.first, self.received_at = inner, first, received_at

    async def receive(self, max_bytes: int = READ_SIZE) -> bytes:
        """Returns the first bytes, then what arrives on the socket."""
        if not self.first:
            return await self.inner.receive(max_bytes)
        await anyio.lowlevel.checkpoint_if_cancelled()
        first, self.first = self.first[:max_bytes], self.first[max_bytes:]
        return first

    async def send(self, item: bytes) -> None:
        """Writes all of `item` to the socket."""
        await self.inner.send(item)

    async def send_eof(self) -> None:
        """Closes the sending direction."""
        await self.inner.send_eof()

    async def aclose(self) -> None:
        """Closes the socket."""
        await self.inner.aclose()

    @property
    def extra_attributes(self):
        """The socket's attributes, and NetAttribute.received_at."""
        return {**self.inner.extra_attributes, NetAttribute.received_at: lambda: self.received_at}


class TcpNet:
    """A `Net` over TCP."""

    async def connect(self, address: Address) -> anyio.abc.SocketStream:
        """Opens a connection to `address`. Raises OSError."""
        stream = await anyio.connect_tcp(*address, happy_eyeballs_delay=0.1)
        try:
            raw = stream.extra(SocketAttribute.raw_socket)
            enable_keepalive(raw)
            limit_receive_buffer(raw)
        except AttributeError:
            # The connection was reset after it was established. With uvloop it no longer has a socket, and
            # anyio raises AttributeError when it reads the socket's addresses. That must not end the process;
            # the first read reports the reset.
            pass
        return stream

    async def serve(
        self,
        address: Address,
        handle,
        *,
        capacity: Capacity | None = None,
        task_status=anyio.TASK_STATUS_IGNORED,
    ) -> None:
        """Runs `handle` in a task for each connection, and reports the address that it listens on.

        All connections in the backlog are accepted in one loop iteration, and their first bytes are read at
        once. Accepted one by one, the last of many would wait for as many iterations, a delay that is
        measured nowhere. Raises OSError if the address cannot be bound.
        """
        try:
            listener = await anyio.create_tcp_listener(local_host=address[0], local_port=address[1])
        except OSError as error:
            raise OSError(error.errno, error.strerror, f"{address[0]}:{address[1]}") from None
        async with listener, anyio.create_task_group() as tasks:
            task_status.started((address[0], listener.extra(SocketAttribute.local_port)))
            raw = listener.extra(SocketAttribute.raw_socket)
            limit_receive_buffer(raw)
            while True:
                try:
                    await anyio.wait_readable(raw)
                except OSError:
                    await anyio.sleep(ACCEPT_RETRY_DELAY_MAX)  # the system has no memory for the wait
                await accept_all(raw, handle, capacity, tasks)


async def accept_all(
    raw: socket.socket, handle, capacity: Capacity | None, tasks: anyio.abc.TaskGroup
) -> None:
    """Accepts every connection in the backlog, as far as `capacity` allows.

    An accept may fail because its connection has failed already, or for want of a descriptor or memory. That
    must not end the listener and all connections that it has accepted, nor delay the next by much.
    """
    delay = ACCEPT_RETRY_DELAY
    while True:
        if capacity is not None:
            await capacity.reserve()
        try:
            sock, _ = raw.accept()
        except BaseException as error:
            if capacity is not None:
                capacity.release()
            if isinstance(error, BlockingIOError):
                return
            if not isinstance(error, OSError):
                raise
            await anyio.sleep(delay)
            delay = min(2 * delay, ACCEPT_RETRY_DELAY_MAX)
            continue
        delay = ACCEPT_RETRY_DELAY
        sock.setblocking(False)
        enable_keepalive(sock)
        try:
            first = sock.recv(READ_SIZE)
        except OSError:
            first = b""  # no data yet, or the connection was reset: reading its stream shows which
        tasks.start_soon(handle_accepted, sock, first, anyio.current_time(), handle, capacity)


async def handle_accepted(
    sock: socket.socket, first: bytes, received_at: float, handle, capacity: Capacity | None
) -> None:
    """Runs `handle` on an accepted connection and releases its capacity at the end."""
    try:
        try:
            stream = await anyio.abc.SocketStream.from_socket(sock)
        except (OSError, ValueError):
            # The connection was reset before it could be served; anyio raises ValueError for such a socket.
            # That must not end the listener and all connections that it has accepted.
            sock.close()
        else:
            pause_reading(stream)
            await handle(AcceptedStream(stream, first, received_at) if first else stream)
    finally:
        if capacity is not None:
            capacity.release()
