"""Links over pipes in memory, to run a whole cluster in one process on a mock clock."""

import anyio
from anyio.streams.stapled import StapledObjectStream

from linedeal.net.base import Address

PIPE_CAPACITY = 256  # chunks that one direction of a pipe holds before its writer waits


def pipe() -> tuple[StapledObjectStream, StapledObjectStream]:
    """Returns the two ends of one bidirectional pipe."""
    there, here = (
        anyio.create_memory_object_stream(PIPE_CAPACITY),
        anyio.create_memory_object_stream(PIPE_CAPACITY),
    )
    return StapledObjectStream(there[0], here[1]), StapledObjectStream(here[0], there[1])


class MemoryNet:
    """A `Net` inside one process: an address is a key in a table of listeners."""

    def __init__(self):
        """Starts with no listeners."""
        self.listeners: dict[Address, anyio.abc.ObjectSendStream] = {}

    async def connect(self, address: Address) -> StapledObjectStream:
        """Opens a pipe to the listener at `address`. Raises ConnectionRefusedError if there is none."""
        if address not in self.listeners:
            raise ConnectionRefusedError(111, "nothing listens there")
        near, far = pipe()
        try:
            self.listeners[address].send_nowait(far)
        except (anyio.WouldBlock, anyio.BrokenResourceError):
            raise ConnectionRefusedError(111, "nothing listens there") from None
        return near

    async def serve(
        self, address: Address, handle, *, capacity=None, task_status=anyio.TASK_STATUS_IGNORED
    ) -> None:
        """Runs `handle` in a task for each connection. Raises OSError if the address is in use."""
        if address in self.listeners:
            raise OSError(98, "the address is in use")
        incoming, accepted = anyio.create_memory_object_stream(PIPE_CAPACITY)
        self.listeners[address] = incoming
        try:
            task_status.started(address)
            async with accepted, anyio.create_task_group() as tasks:
                async for stream in accepted:
                    tasks.start_soon(handle, stream)
        finally:
            del self.listeners[address]
            incoming.close()
