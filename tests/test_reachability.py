"""A link of the platform's route on a mock clock: what it concludes when its host falls silent."""

import itertools
from functools import partial
from types import SimpleNamespace

import anyio
import pytest
import structlog
import trio
import trio.testing

from linedeal.engine import effects, events
from linedeal.interface import Mode
from linedeal.loop import Inbox
from linedeal.net.memory import pipe
from linedeal.platform import host_codec
from linedeal.platform.descriptors import DescriptorBudget
from linedeal.platform.host_codec import Code, Type
from linedeal.platform.hostlink import HostLink
from linedeal.settings.records import Limits
from tests.platform_fixture import answer

CONNECT_TIMEOUT = 0.25  # seconds
ANSWER_TIME = 0.05  # seconds that the host takes for an answer


class SimulatedHost:
    """A host and the network to it: answers launches and pings, and can be cut off in both directions."""

    def __init__(self, tasks):
        self.tasks, self.reachable = tasks, anyio.Event()
        self.reachable.set()

    async def connect(self, address):
        if not self.reachable.is_set():
            await anyio.sleep_forever()
        near, far = pipe()
        self.tasks.start_soon(self.serve, far)
        return near

    async def serve(self, stream):
        reader = host_codec.FrameReader()
        try:
            while True:
                data = await stream.receive()
                await self.reachable.wait()
                for frame in reader.feed(data):
                    await self.reply(stream, frame)
        except (anyio.EndOfStream, anyio.ClosedResourceError, anyio.BrokenResourceError):
            pass

    async def reply(self, stream, frame):
        if frame.type == Type.PING:
            await stream.send(
                host_codec.encode(Type.PONG, frame.task, host_codec.parameter(Code.CAUSE, b"\x01"))
            )
        elif frame.type == Type.SETUP:
            await anyio.sleep(ANSWER_TIME)
            await stream.send(answer(frame.task))

    def cut_off(self):
        self.reachable = anyio.Event()


class LinkUnderTest:
    """One host link with its simulated host; `events` has what it reported, each with the time."""

    def __init__(self, tasks):
        self.events = []
        self.host = SimulatedHost(tasks)
        self.descriptors = DescriptorBudget(256)
        inbox = Inbox(lambda event: self.events.append((anyio.current_time(), event)))
        self.link = HostLink(
            events.ListedHost("h1", ("127.0.0.1:5070",), "std", "z", 0, Mode.SERVING, 0, 1e7, 36, 80),
            self.host,
            Limits(connect=CONNECT_TIMEOUT),
            15.0,
            {},
            lambda: 4,
            self.descriptors,
            lambda task: True,
            inbox,
            partial(next, itertools.count(1)),
            structlog.get_logger(),
        )
        tasks.start_soon(self.link.run)

    def launch(self, number, task):
        job = SimpleNamespace(expiry=anyio.current_time() + 3.0)
        self.link.launch(effects.SendLaunch("h1", number, job, job.expiry, 0, work=task))


def play(scenario):
    """Runs a scenario on a mock clock, which jumps to the next time at which something happens."""

    async def main():
        with trio.fail_after(120):
            async with anyio.create_task_group() as tasks:
                await scenario(LinkUnderTest(tasks))
                tasks.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


async def start_jobs(under_test, connections):
    """Has one job run for each connection that is wanted."""
    for number in range(1, connections + 1):
        under_test.launch(number, number.to_bytes(8))
    await anyio.sleep(1.0)
    assert len(under_test.link.running) == connections == len(under_test.link.connections)


@pytest.mark.parametrize("start", [step * 0.001 for step in range(100)])
def test_link_connects_again_though_its_timer_fires_a_rounding_error_early(start, monkeypatch):
    # Guards against a retry whose time is compared with a clock of whole milliseconds and which is then never
    # made: the host would neither be connected to again nor count as lost.
    exact_time = anyio.current_time
    monkeypatch.setattr(anyio, "current_time", lambda: int(exact_time() * 1000 + 0.5) / 1000)

    async def scenario(under_test):
        await anyio.sleep(start)
        await start_jobs(under_test, 1)
        under_test.host.cut_off()
        await anyio.sleep(4.5)
        assert not under_test.link.connections
        under_test.host.reachable.set()
        await anyio.sleep(1.0)
        assert len(under_test.link.connections) == 1

    play(scenario)
