"""Opens a stream within a time for which this process was able to notice it."""

import anyio

from linedeal.net.base import Address, Net, Stream, close_stream

STALL_THRESHOLD = 0.05  # seconds by which a timer is late when the process has stood still
MAX_EXTENSIONS = 2  # of the time for one attempt


async def connect_within(net: Net, address: Address, timeout: float) -> Stream:
    """Opens a stream to `address`. Raises OSError, and TimeoutError after `timeout` seconds.

    A time in which this process stood still does not count: the connection may have come up, and the peer
    may have sent something on it. The time then begins anew, MAX_EXTENSIONS times at most.
    """
    stream: Stream | None = None
    failure: Exception | None = None
    ended = anyio.Event()

    async def connect() -> None:
        nonlocal stream, failure
        try:
            stream = await net.connect(address)
        except Exception as error:
            failure = error
        ended.set()

    try:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(connect)
            await wait_unless_stalled(ended, timeout)
            tasks.cancel_scope.cancel()
    except BaseException:
        if stream is not None:
            await close_stream(stream)
        raise
    if stream is not None:
        return stream
    raise failure or TimeoutError()


async def wait_unless_stalled(event: anyio.Event, timeout: float) -> None:
    """Waits `timeout` seconds for `event`; longer if this process stood still meanwhile."""
    for _ in range(1 + MAX_EXTENSIONS):
        deadline = anyio.current_time() + timeout
        with anyio.move_on_at(deadline):
            await event.wait()
        if event.is_set() or anyio.current_time() - deadline <= STALL_THRESHOLD:
            return
