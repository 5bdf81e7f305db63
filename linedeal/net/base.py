"""The seam between the program and the network."""

import math
from typing import Awaitable, Callable, Iterator, Protocol

import anyio
from anyio import TypedAttributeSet, typed_attribute

Address = tuple[str, int]


class LinkLostError(Exception):
    """The other side is gone, or sends what cannot be followed; its text says which."""


class FrameError(Exception):
    """What came cannot be followed; its text is one plain line. The link has to be closed."""


class Reader(Protocol):
    """A codec's half that cuts a byte stream into messages; both raise FrameError."""

    def feed(self, data: bytes) -> Iterator: ...
    def finish(self) -> None: ...


class Stream(Protocol):
    """What anyio's byte streams have in common, over sockets and in memory."""

    async def send(self, data: bytes) -> None: ...
    async def receive(self) -> bytes: ...
    async def aclose(self) -> None: ...


class Capacity(Protocol):
    """How many connections a server may hold. One counts from before it is accepted until its socket is closed."""

    async def reserve(self) -> None: ...  # waits until there is room for one more
    def release(self) -> None: ...


class NetAttribute(TypedAttributeSet):
    """What a stream knows of its connection, by `stream.extra`."""

    brought_at: float = typed_attribute()  # loop time, seconds: its first bytes lay there as it was accepted


class Net(Protocol):
    async def connect(self, address: Address) -> Stream: ...

    async def serve(
        self,
        address: Address,
        handle: Callable[[Stream], Awaitable[None]],
        *,
        capacity: Capacity | None,
        task_status: anyio.abc.TaskStatus[Address],
    ) -> None: ...


CONNECTION_ERRORS = (anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError, OSError)


class Link:
    """Whole messages over one stream, cut by `reader`. Reading and writing may be in different tasks."""

    def __init__(self, stream: Stream, reader: Reader):
        self.stream = stream
        self.reader = reader
        self.ready: list = []
        self.fault: FrameError | None = None

    async def receive(self):
        """The next message that this version knows. Raises LinkLostError when there will be none."""
        while True:
            while self.ready:
                message = self.ready.pop(0)
                if message is not None:  # of a later version: passed over
                    return message
            self.ready = await self.read()

    async def receive_all(self) -> list:
        """All messages that have arrived, one at least; those of a later version are left out."""
        while True:
            ready, self.ready = self.ready, []
            ready = [message for message in ready if message is not None]
            if ready:
                return ready
            self.ready = await self.read()

    async def read(self) -> list:
        if self.fault is not None:
            raise LinkLostError(f"bad frame: {self.fault}")
        try:
            data = await self.stream.receive()
            ready = []
            try:
                for message in self.reader.feed(data):
                    ready.append(message)
            except FrameError as error:  # what was whole before it counts all the same
                self.fault = error
                if not ready:
                    raise LinkLostError(f"bad frame: {error}") from None
            return ready
        except anyio.EndOfStream:
            try:
                self.reader.finish()
            except FrameError as error:
                raise LinkLostError(str(error)) from None
            raise LinkLostError("closed by the other side") from None
        except CONNECTION_ERRORS as error:
            raise LinkLostError(reason(error)) from None

    async def send(self, data: bytes, within: float = math.inf) -> None:
        """Frames as `protocol.encode` makes them. `within`: seconds for the other side to make room for them; guards
        against one that goes on speaking and reads nothing."""
        try:
            with anyio.fail_after(within):
                await self.stream.send(data)
        except TimeoutError:
            raise LinkLostError(f"it read nothing for {within:g} s") from None
        except CONNECTION_ERRORS as error:
            raise LinkLostError(reason(error)) from None

    async def close(self) -> None:
        await close_stream(self.stream)


async def close_stream(stream: Stream) -> None:
    with anyio.CancelScope(shield=True), anyio.move_on_after(1.0):
        await anyio.aclose_forcefully(stream)


async def open_link(
    net: Net, address: Address, reader: Reader, hello: bytes, within: float
) -> tuple[Link, object]:
    """A link that has said `hello`, and the first message that came back. Raises LinkLostError, also when none comes within
    so many seconds; no link is left open then."""
    link = None
    try:
        with anyio.fail_after(within):
            link = Link(await net.connect(address), reader)
            await link.send(hello)
            return link, await link.receive()
    except BaseException as error:
        if link is not None:
            await link.close()
        if isinstance(error, TimeoutError):
            raise LinkLostError(f"no welcome within {within:g} s") from None
        if isinstance(error, CONNECTION_ERRORS):
            raise LinkLostError(reason(error)) from None
        raise


def reason(error: Exception) -> str:
    """A plain word for what ended a link."""
    cause = error.__cause__ or error
    return getattr(cause, "strerror", None) or type(cause).__name__


def parse_address(text: str) -> Address:
    """`HOST:PORT`, or ValueError that says what is wrong.

    >>> parse_address("127.0.0.1:80")
    ('127.0.0.1', 80)
    """
    host, colon, port = text.rpartition(":")
    if not colon or not host or not port.isdigit() or int(port) > 65535:
        raise ValueError(f"{text!r} is not HOST:PORT")
    return host, int(port)
