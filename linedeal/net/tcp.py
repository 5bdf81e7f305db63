"""Real sockets, loopback or other, over anyio."""

import socket

import anyio
import anyio.abc
import anyio.lowlevel
from anyio.abc import SocketAttribute

from linedeal.net.base import Address, Capacity, NetAttribute

ACCEPT_AGAIN = 0.05  # seconds after a connection that could not be taken
READ = 65536  # bytes of one read
# guards against a peer that is gone without a word: its link would stand, and count, for ever. Seconds of silence
# before the system asks, between two asks, and how many go unanswered; a peer that is only slow answers them
KEEP_ALIVE = {"TCP_KEEPIDLE": 60, "TCP_KEEPINTVL": 20, "TCP_KEEPCNT": 3, "TCP_USER_TIMEOUT": 120_000}


def keep_alive(raw: socket.socket) -> None:
    try:
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        for name, value in KEEP_ALIVE.items():
            if hasattr(socket, name):  # what a system does not know it does in its own time
                raw.setsockopt(socket.IPPROTO_TCP, getattr(socket, name), value)
    except OSError:
        pass  # it is gone already, which its first read tells


class Accepted(anyio.abc.ByteStream):
    """A connection whose first bytes were read as it was accepted, at loop time `at`."""

    def __init__(self, inner: anyio.abc.SocketStream, first: bytes, at: float):
        self.inner, self.first, self.at = inner, first, at

    async def receive(self, max_bytes: int = READ) -> bytes:
        if not self.first:
            return await self.inner.receive(max_bytes)
        await anyio.lowlevel.checkpoint_if_cancelled()
        first, self.first = self.first[:max_bytes], self.first[max_bytes:]
        return first

    async def send(self, item: bytes) -> None:
        await self.inner.send(item)

    async def send_eof(self) -> None:
        await self.inner.send_eof()

    async def aclose(self) -> None:
        await self.inner.aclose()

    @property
    def extra_attributes(self):
        return {**self.inner.extra_attributes, NetAttribute.brought_at: lambda: self.at}


class TcpNet:
    async def connect(self, address: Address) -> anyio.abc.SocketStream:
        """A stream to there. Raises OSError."""
        stream = await anyio.connect_tcp(*address, happy_eyeballs_delay=0.1)
        try:
            keep_alive(stream.extra(SocketAttribute.raw_socket))
        except AttributeError:
            # guards against a connection that was reset between its coming up and this line: with uvloop it has no socket
            # any more, and anyio's look at its addresses fails; that must not end the process. Its first read tells
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
        """Hands each stream that comes in to `handle` in a task of its own; tells the address it listens at.

        All that wait are accepted in one round of the loop, and what they have brought is read as they are: accepted one
        by one, the last of many would wait for as many rounds, which no clock of ours sees."""
        try:
            listener = await anyio.create_tcp_listener(local_host=address[0], local_port=address[1])
        except OSError as error:
            raise OSError(error.errno, error.strerror, f"{address[0]}:{address[1]}") from None
        async with listener, anyio.create_task_group() as tasks:
            task_status.started((address[0], listener.extra(SocketAttribute.local_port)))
            raw = listener.extra(SocketAttribute.raw_socket)
            while True:
                try:
                    await anyio.wait_readable(raw)
                    await accept_all(raw, handle, capacity, tasks)
                except OSError:
                    # guards against one connection that could not be taken, by its own fault or for want of
                    # descriptors, which would end the listener and all that it has taken
                    await anyio.sleep(ACCEPT_AGAIN)


async def accept_all(
    raw: socket.socket, handle, capacity: Capacity | None, tasks: anyio.abc.TaskGroup
) -> None:
    """All that wait at a listener, as far as there is room. Raises OSError."""
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
            raise
        sock.setblocking(False)
        keep_alive(sock)
        try:
            first = sock.recv(READ)
        except OSError:
            first = b""  # nothing yet, or it was reset: its stream tells which
        tasks.start_soon(handle_accepted, sock, first, anyio.current_time(), handle, capacity)


async def handle_accepted(
    sock: socket.socket, first: bytes, at: float, handle, capacity: Capacity | None
) -> None:
    try:
        try:
            stream = await anyio.abc.SocketStream.from_socket(sock)
        except (OSError, ValueError):
            # guards against a connection that was reset before it could be served, which is no socket for a stream any
            # more (anyio's word for that is ValueError), and would end the listener and all that it has taken
            sock.close()
        else:
            await handle(Accepted(stream, first, at) if first else stream)
    finally:
        if capacity is not None:
            capacity.release()
