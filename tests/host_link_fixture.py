"""A link of the platform's route with a simulated host, on a mock clock."""

import itertools
from functools import partial
from types import SimpleNamespace

import anyio
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
from linedeal.platform.lingering import LingeringConnections
from linedeal.platform.reachability import CheckPacer
from linedeal.settings.records import Limits
from tests.platform_fixture import answer

CONNECT_TIMEOUT = 0.3  # seconds
ANSWER_TIME = 0.05  # seconds that the host takes for an answer


class SimulatedHost:
    """A host and the network to it: answers launches and pings, and can be cut off in both directions."""

    def __init__(self, tasks):
        self.tasks, self.reachable, self.repeats = tasks, anyio.Event(), []
        self.reachable.set()
        self.streams = []

    async def connect(self, address):
        if not self.reachable.is_set():
            await anyio.sleep_forever()
        near, far = pipe()
        self.streams.append(far)
        for data in self.repeats:
            await far.send(data)
        self.repeats.clear()
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
            self.streams.remove(stream)

    async def reply(self, stream, frame):
        if frame.type == Type.PING:
            await stream.send(pong(frame.task))
        elif frame.type == Type.SETUP:
            await anyio.sleep(ANSWER_TIME)
            await stream.send(answer(frame.task))

    def cut_off(self):
        self.reachable = anyio.Event()


async def ignore(stream, frame):
    pass


def pong(task):
    return host_codec.encode(Type.PONG, task, host_codec.parameter(Code.CAUSE, b"\x01"))


class LinkUnderTest:
    """One host link with its simulated host; `events` has what it reported, each with the time."""

    def __init__(
        self, tasks, connect_timeout=CONNECT_TIMEOUT, host_type=SimulatedHost, lingering=None, name="h1"
    ):
        self.events = []
        self.host = host_type(tasks)
        self.descriptors = DescriptorBudget(256)
        self.inbox = Inbox(lambda event: self.events.append((anyio.current_time(), event)))
        self.link = HostLink(
            events.ListedHost(name, ("127.0.0.1:5070",), "std", "z", 0, Mode.SERVING, 0, 1e7, 36, 80),
            self.host,
            Limits(connect=connect_timeout),
            15.0,
            {},
            lambda: 4,
            self.descriptors,
            CheckPacer(),
            lingering or LingeringConnections(self.descriptors.budget),
            lambda task: True,
            self.inbox,
            partial(next, itertools.count(1)),
            structlog.get_logger(),
        )
        tasks.start_soon(self.link.run)

    def launch(self, number, task):
        job = SimpleNamespace(expiry=anyio.current_time() + 3.0)
        self.link.launch(effects.SendLaunch(self.link.state.id, number, job, job.expiry, 0, work=task))

    def adopt(self, number, task):
        self.link.adopt(effects.Adopt(1, task.hex(), f"j{number}", self.link.state.id, number, task))

    def times_of(self, kind):
        return [at for at, event in self.events if type(event) is kind]


def play(scenario, connect_timeout=CONNECT_TIMEOUT, host_type=SimulatedHost):
    """Runs a scenario on a mock clock, which jumps to the next time at which something happens."""

    async def main():
        with trio.fail_after(120):
            async with anyio.create_task_group() as tasks:
                await scenario(LinkUnderTest(tasks, connect_timeout, host_type))
                tasks.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


async def start_jobs(under_test, connections):
    """Has jobs run there, so many that the link opens that number of connections."""
    numbers = itertools.count(1)
    while len(under_test.link.connections) < connections:
        number = next(numbers)
        under_test.launch(number, number.to_bytes(8))
        await anyio.sleep(ANSWER_TIME / 10)
    await anyio.sleep(1.0)
    assert len(under_test.link.launches.running) >= connections == len(under_test.link.connections)
