"""Hosts whose process stands still for a time while their system goes on accepting and buffering."""

import io
from contextlib import ExitStack
from functools import partial

import anyio
import pytest

from linedeal.engine import events
from linedeal.net.memory import pipe
from linedeal.platform.host_codec import Code, FrameReader, Type, encode, parameter
from linedeal.platform.lingering import MAX_PER_HOST, LingeringConnections
from linedeal.platform.log import Log
from tests.host_link_fixture import ANSWER_TIME, LinkUnderTest, SimulatedHost, play, pong, start_jobs
from tests.platform_fixture import Host, answer, platform_cluster, release

RELEASED_WITHIN = 1.0  # seconds after the host's release in which it has to be passed on, by the users' pages
HANGS = [1.5, 2.5, 4.0, 6.0, 12.0, 30.0]  # seconds
STARTS = [0.0, 0.3, 0.7, 1.3]  # seconds after the last message at which the hang begins
# What a process that goes on does first: the timers that are due, all connections that wait to be accepted,
# or one of these connections, then the timers, then the others.
ORDERS = ["timers", "accepts", "one accept"]


class HangingHost(SimulatedHost):
    """A host whose process can stand still: connections come up then, and what is sent on them is kept.

    It sends a release on the connection of the job, failing that on any open one, and on the next one that
    it accepts, as the users' protocol page says.
    """

    def __init__(self, tasks):
        super().__init__(tasks)
        self.goes_on = anyio.Event()
        self.goes_on.set()
        self.backlog, self.accepted, self.ended, self.stream_of = [], [], [], {}
        self.notes_every = 0.0
        tasks.start_soon(self.send_notes)

    async def connect(self, address):
        near, far = pipe()
        self.backlog.append(far)
        if self.goes_on.is_set():
            self.accept()
        self.tasks.start_soon(self.serve, far)
        return near

    async def serve(self, stream):
        reader = FrameReader()
        try:
            while True:
                data = await stream.receive()
                await self.goes_on.wait()
                for frame in reader.feed(data):
                    await self.reply(stream, frame)
        except (anyio.EndOfStream, anyio.ClosedResourceError, anyio.BrokenResourceError):
            await self.goes_on.wait()
            self.accepted.remove(stream)
            await stream.aclose()

    async def reply(self, stream, frame):
        if frame.type == Type.SETUP:
            await anyio.sleep(ANSWER_TIME)
            await self.goes_on.wait()
            self.stream_of[frame.task] = stream
            self.send(stream, answer(frame.task))
        elif frame.type == Type.PING:
            self.send(stream, pong(frame.task))

    def send(self, stream, data):
        try:
            stream.send_nowait(data)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            pass  # the other side has closed it: what is sent there is lost

    def accept(self):
        stream = self.backlog.pop(0)
        self.accepted.append(stream)
        for data in self.repeats:
            self.send(stream, data)
        self.repeats.clear()

    def end(self, task):
        """A job comes to its end; a process that stands still notices that as it goes on."""
        self.ended.append(task)
        if self.goes_on.is_set():
            self.send_ends()

    def send_ends(self):
        for task in self.ended:
            own = self.stream_of.pop(task)
            for stream in [own] if own in self.accepted else self.accepted[:1]:
                self.send(stream, release(task, 16))
            self.repeats.append(release(task, 16))
        self.ended.clear()

    async def send_notes(self):
        while True:
            await anyio.sleep(self.notes_every or 1.0)
            await self.goes_on.wait()
            for task, stream in self.stream_of.items() if self.notes_every else ():
                self.send(stream, note(task))

    def hang(self):
        self.goes_on = anyio.Event()

    def go_on(self, order):
        accepts_before_timers = {"timers": 0, "one accept": 1, "accepts": len(self.backlog)}[order]
        for _ in range(min(accepts_before_timers, len(self.backlog))):
            self.accept()
        self.send_ends()
        while self.backlog:
            self.accept()
        self.goes_on.set()


def note(task):
    return encode(Type.NOTE, task, parameter(Code.NAME, b"c") + parameter(Code.FIGURE, b"0.5"))


def ends_reported(under_test):
    return sorted(event.launch.number for _, event in under_test.events if type(event) is events.LaunchEnded)


async def hang_while_jobs_end(under_test, hang, order):
    """Has the host stand still while every second job ends; returns the launches whose ends are due."""
    ending = list(under_test.link.launches.running.items())[::2]
    under_test.host.hang()
    await anyio.sleep(hang / 2)
    for task, _ in ending:
        under_test.host.end(task)
    await anyio.sleep(hang / 2)
    under_test.host.go_on(order)
    return [number for _, number in ending]


@pytest.mark.parametrize("order", ORDERS)
@pytest.mark.parametrize("hang", HANGS)
@pytest.mark.parametrize("connections", [1, 2, 4])
def test_jobs_that_end_while_their_host_hangs_are_released(connections, hang, order):
    # Guards against ends that a host sends on connections closed while it stood still (review case 8).
    async def scenario(under_test, start):
        await start_jobs(under_test, connections)
        await anyio.sleep(start)
        due = await hang_while_jobs_end(under_test, hang, order)
        await anyio.sleep(RELEASED_WITHIN)
        assert ends_reported(under_test) == sorted(due), f"hung {start:.1f} s after the last message"

    for start in STARTS:
        play(partial(scenario, start=start), host_type=HangingHost)


@pytest.mark.parametrize("order", ORDERS)
def test_jobs_that_end_in_repeated_hangs_are_released(order):
    # Guards against ends lost on connections that an earlier hang of the same host has left behind.
    async def scenario(under_test, pause):
        await start_jobs(under_test, 4)
        under_test.host.notes_every = 0.5
        due = []
        while len(under_test.link.launches.running) > 1:
            due += await hang_while_jobs_end(under_test, 4.0, order)
            await anyio.sleep(pause)
        await anyio.sleep(RELEASED_WITHIN)
        assert ends_reported(under_test) == sorted(due)

    for pause in (0.05, 0.4, 2.0):
        play(partial(scenario, pause=pause), host_type=HangingHost)


@pytest.mark.parametrize("order", ORDERS)
@pytest.mark.parametrize("hang", HANGS)
def test_jobs_that_end_while_their_host_hangs_beside_new_launches_are_released(hang, order):
    # Guards against ends lost on one of the many connections that unanswered launches to a hung host close.
    async def scenario(under_test):
        await start_jobs(under_test, 2)
        first = 1000

        async def launch_jobs():
            for number in range(first, first + 200):
                under_test.launch(number, number.to_bytes(8))
                await anyio.sleep(0.2)

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(launch_jobs)
            due = await hang_while_jobs_end(under_test, hang, order)
            await anyio.sleep(RELEASED_WITHIN)
            tasks.cancel_scope.cancel()
        assert [number for number in ends_reported(under_test) if number < first] == sorted(due)

    play(scenario, host_type=HangingHost)


def test_jobs_that_end_while_several_hosts_hang_are_released():
    # Guards against a limit on connections that are only read, used up by one hung host.
    hosts = 8

    async def scenario(first):
        async with anyio.create_task_group() as tasks:
            others = [
                LinkUnderTest(
                    tasks, host_type=HangingHost, lingering=first.link.closing.lingering, name=f"h{number}"
                )
                for number in range(2, hosts + 1)
            ]
            links, due = [first, *others], {}
            for under_test in links:
                await start_jobs(under_test, 2)

            async def hang(under_test):
                due[under_test] = await hang_while_jobs_end(under_test, 12.0, "timers")

            async with anyio.create_task_group() as hangs:
                for under_test in links:
                    hangs.start_soon(hang, under_test)
                await anyio.sleep(11.0)
                assert len(first.link.closing.lingering.connections) == first.link.closing.lingering.limit
            await anyio.sleep(RELEASED_WITHIN)
            assert [ends_reported(one) for one in links] == [sorted(due[one]) for one in links]
            tasks.cancel_scope.cancel()

    play(scenario, host_type=HangingHost)


def test_connections_linger_no_longer_than_jobs_run():
    # Guards against descriptors that are held for a host of which nothing is to be heard any more.
    async def scenario(under_test):
        await start_jobs(under_test, 2)
        under_test.host.hang()
        await anyio.sleep(8.0)
        assert under_test.link.closing.lingering.connections
        under_test.link.launches.running.clear()
        await anyio.sleep(1.0)
        assert not under_test.link.closing.lingering.connections
        assert under_test.descriptors.hosts == len(under_test.link.connections)

    play(scenario, host_type=HangingHost)


def test_fault_that_a_late_frame_triggers_ends_only_its_connection():
    # Guards against a process that ends because of what a host sends on a connection that is closed already.
    async def scenario(under_test):
        await start_jobs(under_test, 2)
        under_test.host.hang()
        await anyio.sleep(8.0)
        assert len(under_test.link.closing.lingering.connections) > 2
        handle_frame = under_test.link.launches.handle_frame

        def fail_once(connection, frame):
            under_test.link.launches.handle_frame = handle_frame
            raise ZeroDivisionError

        under_test.link.launches.handle_frame = fail_once
        under_test.host.end((1).to_bytes(8))
        under_test.host.go_on("timers")
        await anyio.sleep(RELEASED_WITHIN)
        assert under_test.link.launches.handle_frame is handle_frame
        assert under_test.descriptors.hosts == len(under_test.link.connections) > 0

    play(scenario, host_type=HangingHost)


def test_connections_that_a_host_closes_too_are_freed():
    # Guards against descriptors that tests of a quiet host leave behind.
    async def scenario(under_test):
        await start_jobs(under_test, 2)
        for _ in range(300):
            await anyio.sleep(0.1)
            assert len(under_test.link.closing.lingering.connections) <= 1
        assert under_test.descriptors.hosts <= len(under_test.link.connections) + 1

    play(scenario, host_type=HangingHost)


def test_connections_that_linger_are_limited():
    # Guards against a host that never closes a connection and so takes the descriptors of all others.
    async def scenario(under_test):
        lingering = LingeringConnections(1000)
        with ExitStack() as held:
            for number in range(50):
                held.enter_context(lingering.hold("silent", was_heard=number < 2))
            assert len(lingering.connections) == MAX_PER_HOST
            assert sum(one.was_heard for one in lingering.connections) == 2
            for host in range(200):
                held.enter_context(lingering.hold(f"h{host}", was_heard=True))
            assert len(lingering.connections) == lingering.limit == 100
            assert len({one.host for one in lingering.connections}) >= 99

    play(scenario)


class HangingTcpHost(Host):
    """A host on loopback that neither accepts nor reads anything while its process stands still."""

    def __init__(self):
        super().__init__(self.reply_once_it_goes_on)
        self.goes_on = anyio.Event()
        self.goes_on.set()
        self.repeats = []

    async def handle(self, stream):
        await self.goes_on.wait()
        repeats, self.repeats = self.repeats, []
        for data in repeats:
            await stream.send(data)
        await super().handle(stream)

    async def reply_once_it_goes_on(self, host, stream, frame):
        await self.goes_on.wait()
        return False


@pytest.mark.anyio
@pytest.mark.parametrize("anyio_backend", [("asyncio", {"use_uvloop": True})])
async def test_release_sent_as_a_host_goes_on_is_read_on_its_closed_connection(anyio_backend, tmp_path):
    # Guards against sockets that are closed in both directions while their host stands still.
    host, task = HangingTcpHost(), "00000000000000a1"
    async with platform_cluster(tmp_path, Log(stream=io.StringIO()), {"h1": host}) as cluster:
        owner = await cluster.client()
        await owner.setup(task)
        await owner.wait_for("answer", task)
        (stream,) = host.streams
        host.goes_on = anyio.Event()
        (connection,) = cluster.service.hosts["h1"].connections
        await cluster.wait_until(8, lambda: connection not in cluster.service.hosts["h1"].connections)
        await stream.send(release(bytes.fromhex(task), 16))
        host.repeats.append(release(bytes.fromhex(task), 16))
        host.goes_on.set()
        await owner.wait_for("release", task, RELEASED_WITHIN)
