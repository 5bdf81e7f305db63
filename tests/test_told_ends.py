"""Owners are told in time that their jobs have ended, though connections close and set-ups are refused."""

import math
import signal
import time
from contextlib import asynccontextmanager, contextmanager
from functools import partial

import anyio
import pytest

from linedeal.net import TcpNet
from linedeal.platform import owner_codec
from linedeal.platform.host_codec import Type
from linedeal.platform.service import ACCEPT_AFTER_SIGTERM
from tests.platform_fixture import Host, OwnerClient, release
from tests.test_terms import bus_entry, run_cluster, settings

pytestmark = pytest.mark.anyio
END_SECONDS = 1.05  # from a host's release until its owner has to be told, with the page's slack
CLOSED_IDLE_AFTER = 4.0  # seconds after which an owner closes a connection without a task


@pytest.fixture
def anyio_backend():
    return "asyncio"


class RefusingHost(Host):
    """Accepts jobs until `is_full`, and ends them when told to."""

    def __init__(self):
        super().__init__(self.refuse_when_full)
        self.is_full = False

    async def refuse_when_full(self, host, stream, frame):
        if frame.type == Type.SETUP and self.is_full:
            await stream.send(release(frame.task, owner_codec.REFUSED, "nc"))
            return True
        return False

    async def end_all(self):
        """Ends all jobs; returns their tasks."""
        ended = sorted(self.running)
        self.running.clear()
        for task in ended:
            await self.streams[0].send(release(task, owner_codec.NORMAL))
        return [task.hex() for task in ended]


@asynccontextmanager
async def one_host(tmp_path, **limits):
    """Runs a controller as a process and one host; yields both, what connects an owner, and the tasks."""
    host = RefusingHost()
    async with run_cluster(tmp_path, {"h": host}) as (bus, processes, tasks):
        bus.publish(bus_entry("h", host), full=True)
        process = await processes.start("n0", bus.address, bus.known(), settings(1), **limits)
        yield host, process, partial(processes.client, process), tasks


async def owners_of_a_full_host(host, connect):
    """An owner with three running jobs at a host that is full now, and another connection of it."""
    first = await connect()
    await place(first, range(1, 4))
    host.is_full = True
    return first, await connect()


async def place(owner, numbers, **fields):
    """Places jobs; returns their tasks."""
    tasks = [f"{number:016x}" for number in numbers]
    for task in tasks:
        await owner.setup(task, **fields)
    for task in tasks:
        await owner.wait_for("answer", task)
    return tasks


async def refuse(owner, numbers):
    """Sends set-ups that have to be refused, one after the other."""
    for number in numbers:
        await owner.setup(f"{number:016x}", left="400")
        await owner.wait_for("release", f"{number:016x}")


@contextmanager
def stopped(process):
    """Stops a process while the context runs."""
    process.child.send_signal(signal.SIGSTOP)
    try:
        yield
    finally:
        process.child.send_signal(signal.SIGCONT)


def told(owner, tasks):
    """Those of the tasks of which the owner has heard that they are over."""
    return {task for kind, task, *_ in owner.received if kind == "release" and task in tasks}


async def wait_until_told(owners, tasks, seconds=END_SECONDS):
    """Waits until each end was told to some owner; the tasks of which none was told."""
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        missing = set(tasks).difference(*(told(owner, tasks) for owner in owners))
        if not missing:
            break
        await anyio.sleep(0.01)
    return missing


@pytest.mark.parametrize("silent", [0.1, CLOSED_IDLE_AFTER - 0.3])
async def test_end_of_a_job_reaches_an_owner_whose_set_ups_were_all_refused_since(tmp_path, silent):
    async with one_host(tmp_path) as (host, process, connect, _):
        first, second = await owners_of_a_full_host(host, connect)
        await refuse(second, range(10, 13))
        await first.stream.aclose()
        await anyio.sleep(silent)
        tasks = await host.end_all()
        assert len(tasks) == 3 and not await wait_until_told([second], tasks)


async def test_end_of_a_job_reaches_an_owner_that_connects_after_it_and_is_refused(tmp_path):
    async with one_host(tmp_path) as (host, process, connect, _):
        first = await connect()
        await place(first, range(1, 4))
        host.is_full = True
        await first.stream.aclose()
        tasks = await host.end_all()
        await anyio.sleep(2.0)
        second = await connect()
        await refuse(second, range(10, 11))
        assert len(tasks) == 3 and not await wait_until_told([second], tasks)


async def test_end_of_a_job_goes_not_only_to_a_client_that_hands_over_a_job_of_nobody(tmp_path):
    async with one_host(tmp_path) as (host, process, connect, _):
        first, second = await owners_of_a_full_host(host, connect)
        await refuse(second, range(10, 12))
        stranger = await connect()
        await stranger.setup(f"{99:016x}", at="h")
        await first.stream.aclose()
        await anyio.sleep(0.2)
        tasks = await host.end_all()
        assert len(tasks) == 3 and not await wait_until_told([second], tasks)


async def send_waiting(owner):
    """A set-up that gets no answer for some seconds, since the fleet is full."""
    await owner.setup(f"{50:016x}", left="6000")


async def send_ping(owner):
    """A test, which is answered at once."""
    await owner.send("ping", f"{51:016x}", cause=0)


@pytest.mark.parametrize("begin", [send_waiting, send_ping])
async def test_end_of_a_job_reaches_an_owner_that_has_no_answer_yet(tmp_path, begin):
    async with one_host(tmp_path) as (host, process, connect, _):
        first, second = await owners_of_a_full_host(host, connect)
        await begin(second)
        await first.stream.aclose()
        await anyio.sleep(0.1)
        tasks = await host.end_all()
        assert len(tasks) == 3 and not await wait_until_told([second], tasks)


async def test_end_that_waits_for_a_connection_is_told_before_the_program_ends(tmp_path):
    async with one_host(tmp_path) as (host, process, connect, _):
        first, second = await owners_of_a_full_host(host, connect)
        await refuse(second, range(10, 12))
        await first.stream.aclose()
        process.child.send_signal(signal.SIGTERM)
        await anyio.sleep(ACCEPT_AFTER_SIGTERM - 0.1)
        tasks = await host.end_all()
        assert len(tasks) == 3 and not await wait_until_told([second], tasks)
        with anyio.fail_after(1.0):
            await process.ended.wait()  # nothing keeps it any more


async def test_crowd_of_silent_connections_closes_no_connection_with_running_jobs(tmp_path):
    async with one_host(tmp_path, sockets=128) as (host, process, connect, _):
        owners = [await connect() for _ in range(5)]
        for number, owner in enumerate(owners, 1):
            await place(owner, [number])
        host.is_full = True
        crowd = []
        for _ in range(300):
            crowd.append(await TcpNet().connect(process.address))
        await anyio.sleep(0.3)
        assert not any(owner.closed.is_set() for owner in owners)
        tasks = await host.end_all()
        assert len(tasks) == 5 and not await wait_until_told(owners, tasks)
        fresh = await connect()  # an owner that comes during the crowd is served
        host.is_full = False
        await place(fresh, [20])


class DelayLine:
    """Passes bytes between owners and a controller, each of them some time later."""

    def __init__(self, address, delay):
        self.address, self.delay = address, delay

    async def run(self, *, task_status):
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1", local_port=0)
        async with listener:
            task_status.started(("127.0.0.1", listener.extra(anyio.abc.SocketAttribute.local_port)))
            await listener.serve(self.handle)

    async def handle(self, near):
        far = await TcpNet().connect(self.address)
        async with anyio.create_task_group() as directions:
            for source, target in ((near, far), (far, near)):
                send, receive = anyio.create_memory_object_stream(math.inf)
                directions.start_soon(self.take, source, send)
                directions.start_soon(self.pass_on, receive, target)

    async def take(self, source, send):
        try:
            while True:
                data = await source.receive()
                send.send_nowait((time.monotonic() + self.delay, data))
        except (anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError):
            send.send_nowait((time.monotonic() + self.delay, b""))

    async def pass_on(self, receive, target):
        async for due, data in receive:
            await anyio.sleep(max(0.0, due - time.monotonic()))
            try:
                if not data:
                    return await target.aclose()
                await target.send(data)
            except (anyio.BrokenResourceError, anyio.ClosedResourceError):
                pass


async def test_end_that_crosses_the_close_of_its_connection_is_told_on_another(tmp_path):
    async with one_host(tmp_path) as (host, process, connect, tasks):
        steady = await connect()
        await place(steady, [1])
        await anyio.sleep(1.0)  # so that it has shown to be an owner's
        far_address = await tasks.start(DelayLine(process.address, 0.03).run)
        closing = OwnerClient(await TcpNet().connect(far_address))
        tasks.start_soon(closing.read)
        await place(closing, [2, 3])
        host.running.discard(bytes.fromhex(f"{1:016x}"))
        ended = await host.end_all()
        await closing.stream.aclose()  # before it can have arrived there
        assert len(ended) == 2 and not await wait_until_told([steady, closing], ended)


async def test_ends_of_many_closed_connections_that_are_read_after_a_stall_are_told(tmp_path):
    # The host's releases and the owners' closes are in the sockets when the controller goes on.
    jobs = 40
    async with one_host(tmp_path) as (host, process, connect, _):
        steady = await connect()
        await place(steady, [1000], cores=0.1)
        owners = [await connect() for _ in range(jobs)]
        for number, owner in enumerate(owners, 1):
            await place(owner, [number], cores=0.1)
        await anyio.sleep(1.0)
        host.running.discard(bytes.fromhex(f"{1000:016x}"))
        with stopped(process):
            ended = await host.end_all()
            for owner in owners:
                await owner.stream.aclose()
        assert len(ended) == jobs and not await wait_until_told([steady, *owners], ended)
