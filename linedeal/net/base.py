"""The interface between the program and the network, and links: whole messages over one byte stream."""

import errno
import math
from collections.abc import Awaitable, Callable, Iterator
from typing import Protocol

import anyio
from anyio import TypedAttributeSet, typed_attribute

Address = tuple[str, int]


class LinkLostError(Exception):
    """The link has ended, or the peer sent what the protocol does not allow; the message has the reason."""


class LinkClosedError(LinkLostError):
    """The peer has closed the link in order: everything that it sent has been read."""


class FrameError(Exception):
    """Received bytes cannot be decoded; the text is one plain line. The link has to be closed."""


class Reader(Protocol):
    """The decoder of a protocol, which cuts a byte stream into messages. Both methods raise FrameError."""

    def feed(self, data: bytes) -> Iterator:
        """Yields the messages that are complete with `data`; None for one of a later protocol version."""
        ...

    def finish(self) -> None:
        """Called at the end of the stream; raises FrameError if it ended inside a message."""
        ...


class Stream(Protocol):
    """The part of anyio's byte streams that sockets and memory pipes have in common."""

    async def send(self, data: bytes) -> None:
        """Writes all of `data`."""
        ...

    async def receive(self) -> bytes:
        """Waits for the next bytes; raises anyio.EndOfStream at the end."""
        ...

    async def send_eof(self) -> None:
        """Closes the direction to the peer."""
        ...

    async def aclose(self) -> None:
        """Closes both directions."""
        ...


class Capacity(Protocol):
    """Limits the connections that a server holds, from before the accept until the socket is closed."""

    async def reserve(self) -> None:
        """Waits until one more connection is allowed, and counts it."""
        ...

    def release(self) -> None:
        """Releases what `reserve` counted."""
        ...


class NetAttribute(TypedAttributeSet):
    """Attributes of a connection, read with `stream.extra`."""

    # Loop time, in seconds, at which the connection was accepted with its first bytes already received.
    received_at: float = typed_attribute()


class Net(Protocol):
    """Opens and accepts byte streams."""

    async def connect(self, address: Address) -> Stream:
        """Opens a stream to `address`. Raises OSError."""
        ...

    async def serve(
        self,
        address: Address,
        handle: Callable[[Stream], Awaitable[None]],
        *,
        capacity: Capacity | None,
        task_status: anyio.abc.TaskStatus[Address],
    ) -> None:
        """Accepts connections until cancelled and runs `handle` in a task for each.

        Reports the address that it listens on through `task_status`.
        """
        ...


CONNECTION_ERRORS = (anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError, OSError)


# Errors of `socket` and `connect` that say nothing of the peer.
LOCAL_SHORTAGES = frozenset((errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL))


class Link:
    """Whole messages over one stream, decoded by `reader`. One task may read while another writes."""

    def __init__(self, stream: Stream, reader: Reader):
        """Takes over `stream`: it is closed with the link."""
        self.stream = stream
        self.reader = reader
        self.pending: list = []  # decoded, not yet returned by receive()
        self.reads = 0
        self.received_bytes = 0  # by the last read
        self.error: FrameError | None = None

    async def receive(self):
        """Returns the next message that this version knows. Raises LinkLostError when there are no more."""
        while True:
            while self.pending:
                message = self.pending.pop(0)
                if message is not None:  # None: a message of a later protocol version, skipped
                    return message
            self.pending = await self.read()

    async def receive_all(self) -> list:
        """Returns all messages that have arrived, at least one; skips those of later protocol versions."""
        while True:
            pending, self.pending = self.pending, []
            pending = [message for message in pending if message is not None]
            if pending:
                return pending
            self.pending = await self.read()

    async def read(self) -> list:
        """Waits for data and decodes it, None for each message of a later version. Raises LinkLostError."""
        if self.error is not None:
            raise LinkLostError(f"bad frame: {self.error}")
        try:
            data = await self.stream.receive()
            self.reads += 1
            self.received_bytes = len(data)
            pending = []
            try:
                for message in self.reader.feed(data):
                    pending.append(message)
            except FrameError as error:
                # Messages that were complete before the bad one are still delivered.
                self.error = error
                if not pending:
                    raise LinkLostError(f"bad frame: {error}") from None
            return pending
        except anyio.EndOfStream:
            try:
                self.reader.finish()
            except FrameError as error:
                raise LinkLostError(str(error)) from None
            raise LinkClosedError("closed by the other side") from None
        except CONNECTION_ERRORS as error:
            raise LinkLostError(describe_error(error)) from None

    async def send(self, data: bytes, timeout: float = math.inf) -> None:
        """Sends frames that `protocol.encode` has made. Raises LinkLostError.

        `timeout`: seconds for the peer to accept them. It guards against a peer that keeps sending and
        never reads.
        """
        try:
            with anyio.fail_after(timeout):
                await self.stream.send(data)
        except TimeoutError:
            raise LinkLostError(f"it read nothing for {timeout:g} s") from None
        except CONNECTION_ERRORS as error:
            raise LinkLostError(describe_error(error)) from None

    async def end_writing(self) -> None:
        """Closes the direction to the peer, which finds the stream at its end; it can still be read."""
        try:
            await self.stream.send_eof()
        except (*CONNECTION_ERRORS, RuntimeError):
            pass  # the connection has ended; uvloop raises RuntimeError for one whose socket is closed

    async def close(self) -> None:
        """Closes the stream without waiting for unsent data; also works in a cancelled task."""
        await close_stream(self.stream)


async def close_stream(stream: Stream) -> None:
    """Closes `stream` without waiting for unsent data, within one second and shielded from cancellation."""
    with anyio.CancelScope(shield=True), anyio.move_on_after(1.0):
        await anyio.aclose_forcefully(stream)


async def open_link(
    net: Net, address: Address, reader: Reader, hello: bytes, timeout: float
) -> tuple[Link, object]:
    """Connects, sends `hello` and returns the link and the peer's first message.

    Raises LinkLostError, also if no message arrives within `timeout` seconds; the link is closed then.
    """
    link = None
    try:
        with anyio.fail_after(timeout):
            link = Link(await net.connect(address), reader)
            await link.send(hello)
            return link, await link.receive()
    except BaseException as error:
        if link is not None:
            await link.close()
        if isinstance(error, TimeoutError):
            raise LinkLostError(f"no welcome within {timeout:g} s") from None
        if isinstance(error, CONNECTION_ERRORS):
            raise LinkLostError(describe_error(error)) from None
        raise


def describe_error(error: Exception) -> str:
    """Returns the operating system's text for what ended a link, or else the name of the exception."""
    cause = error.__cause__ or error
    return getattr(cause, "strerror", None) or type(cause).__name__


def is_local_shortage(error: Exception) -> bool:
    """Whether a connection could not be opened since this machine or process has run out of something."""
    return getattr(error.__cause__ or error, "errno", None) in LOCAL_SHORTAGES


def parse_address(text: str) -> Address:
    """Parses `HOST:PORT`. Raises ValueError with the reason.

    >>> parse_address("127.0.0.1:80")
    ('127.0.0.1', 80)
    """
    host, colon, port = text.rpartition(":")
    if not colon or not host or not port.isdigit() or int(port) > 65535:
        raise ValueError(f"{text!r} is not HOST:PORT")
    return host, int(port)
