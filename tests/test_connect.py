"""Attempts to connect while this process stands still, and ones that are not answered."""

import time

import anyio
import anyio.abc
import pytest
import trio
import trio.testing

from linedeal.net import TcpNet, connect_within
from linedeal.net.connect import MAX_EXTENSIONS
from linedeal.net.memory import pipe

ADDRESS = ("127.0.0.1", 5070)
TIMEOUT = 0.25  # seconds


class SlowNet:
    """A net whose connections come up when `up` is set, and are noticed one step of the loop later."""

    def __init__(self):
        self.up = anyio.Event()

    async def connect(self, address):
        await self.up.wait()
        await anyio.lowlevel.checkpoint()
        return pipe()[0]


def play(scenario):
    async def main():
        with trio.fail_after(60):
            await scenario(trio.lowlevel.current_clock())

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


def test_connection_that_came_up_while_the_process_stood_still_is_kept():
    # Guards against a connection closed unread since its timer was looked at first after a stall: a host
    # repeats on it the ends of jobs.
    async def scenario(clock):
        net, streams = SlowNet(), []

        async def connect():
            streams.append(await connect_within(net, ADDRESS, TIMEOUT))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(connect)
            await anyio.sleep(TIMEOUT / 2)
            clock.jump(2.0)
            await anyio.sleep(0)
            net.up.set()
        assert len(streams) == 1

    play(scenario)


def test_connection_that_does_not_come_up_fails_in_time():
    # Guards against attempts that a stall makes endless, or that take longer without one.
    async def scenario(clock):
        began_at = anyio.current_time()
        with pytest.raises(TimeoutError):
            await connect_within(SlowNet(), ADDRESS, TIMEOUT)
        assert anyio.current_time() - began_at == pytest.approx(TIMEOUT)

        async def stall():
            while True:
                await anyio.sleep(TIMEOUT / 2)
                clock.jump(1.0)

        began_at = anyio.current_time()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(stall)
            with pytest.raises(TimeoutError):
                await connect_within(SlowNet(), ADDRESS, TIMEOUT)
            tasks.cancel_scope.cancel()
        assert anyio.current_time() - began_at <= (1 + MAX_EXTENSIONS) * (1.0 + TIMEOUT)

    play(scenario)


@pytest.mark.anyio
@pytest.mark.parametrize("anyio_backend", [("asyncio", {"use_uvloop": True})])
@pytest.mark.parametrize("iterations", range(8))
async def test_connection_on_a_socket_survives_a_stall(anyio_backend, iterations):
    # Guards against the order in which an event loop looks at timers and sockets after a stall.
    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    address = ("127.0.0.1", listener.extra(anyio.abc.SocketAttribute.local_port))
    streams = []

    async def connect():
        streams.append(await connect_within(TcpNet(), address, TIMEOUT))

    async with listener, anyio.create_task_group() as tasks:
        tasks.start_soon(connect)
        for _ in range(iterations):
            await anyio.sleep(0)
        time.sleep(2 * TIMEOUT)
    assert len(streams) == 1
    await anyio.aclose_forcefully(streams[0])
