"""Links to clients, hosts and discovery over real sockets, with scripted peers that misbehave."""

import itertools
import random
from contextlib import asynccontextmanager
from dataclasses import replace
from functools import partial

import anyio
import pytest
import structlog
import trio
import trio.testing

from linedeal import interface as api
from linedeal.client import Client, ConnectionLostError, JobDeclinedError, JobRequest, Owner
from linedeal.client.contact import Contact
from linedeal.controller.hostlink import HostLink
from linedeal.controller.runtime import HaltedError, Runtime, Setup
from linedeal.engine import effects, events
from linedeal.loop.inbox import Inbox
from linedeal.net import Link, LinkLostError, TcpNet
from linedeal.net.memory import pipe
from linedeal.processes import unwrap
from linedeal.protocol import FrameReader, encode, frames, pb
from linedeal.settings.cluster import parse_cluster
from linedeal.standin.discovery import Discovery
from linedeal.standin.host import HostServer
from linedeal.standin.model import HostBehavior, HostModel
from linedeal.state import Store
from tests.engine_driver import CLUSTER

pytestmark = pytest.mark.anyio
LOOPBACK = ("127.0.0.1", 0)
CLUSTER = CLUSTER.replace(
    "held = 5",
    """held = 5
  clients = 6
  hello = 0.3
  client_bytes = 4000
  connect = 0.3
  link_silent = 0.4
  watch = 0.4
""",
)
GARBAGE = [
    random.Random(1).randbytes(64),
    frames.HEADER.pack(frames.MAX_FRAME_BYTES + 1, 0),
    encode(pb.Probe(number=1))[:-1],
    encode(pb.Hello(version=1, role=pb.CLIENT, name="x")) * 2,
    encode(pb.Answer(key="k")),
    b"\0" * 4096,
]


class ClusterFixture:
    """One controller over sockets, with simulated hosts and discovery that a test may replace."""

    def __init__(self, tasks, directory):
        self.tasks, self.directory, self.cluster, self.net = (
            tasks,
            directory,
            parse_cluster(CLUSTER),
            TcpNet(),
        )
        self.log_lines: list[dict] = []

    async def start_discovery(self):
        self.discovery = Discovery(self.net)
        self.discovery_address = await self.tasks.start(self.discovery.run, LOOPBACK)

    async def start_host(self, name, listen=LOOPBACK, **habits):
        model = HostModel(
            name,
            "std",
            self.cluster,
            HostBehavior(**{"setup": 0.01, "life": 60.0, **habits}),
            1,
            random.Random(1),
            anyio.current_time(),
            False,
        )
        server = HostServer(model, self.net, self.discovery_address, "itself", "z", 0)
        await self.tasks.start(server.run, listen)
        return server

    def list_host(self, name, address, boot=1):
        """Adds a host that a test simulates itself to the host list."""
        self.discovery.reports[name] = (
            anyio.current_time() + 1e6,
            pb.HostEntry(
                id=name,
                addresses=[f"127.0.0.1:{address[1]}"],
                kind="std",
                zone="z",
                mode=pb.SERVING,
                boot=boot,
                age=99 + 1e6,
                free_cores=10,
                free_memory=20,
            ),
        )

    async def start_controller(self):
        def collect(_, __, event):
            self.log_lines.append(event)
            raise structlog.DropEvent

        log = structlog.wrap_logger(
            structlog.PrintLogger(), processors=[structlog.processors.add_log_level, collect]
        )
        await anyio.sleep(0.6)  # until discovery has the hosts
        self.runtime = Runtime(
            Setup("c", self.cluster, LOOPBACK, self.discovery_address, 7),
            Store(self.directory),
            self.net,
            log,
        )
        self.address = await self.tasks.start(self.runtime.run)
        await self.until(lambda: self.runtime.engine.ready)

    async def until(self, condition):
        with anyio.fail_after(5):
            while not condition():
                await anyio.sleep(0.01)

    def logged(self, event):
        return [line for line in self.log_lines if line["event"] == event]

    @asynccontextmanager
    async def client(self):
        async with Client.connect(self.net, self.address, "t") as client:
            yield client


@pytest.fixture
async def cluster(tmp_path):
    async with anyio.create_task_group() as tasks:
        cluster = ClusterFixture(tasks, tmp_path)
        await cluster.start_discovery()
        yield cluster
        tasks.cancel_scope.cancel()


async def simulate_host(cluster, name, script, boot=1):
    """Lists a host whose links are served by `script(link, hello)`."""

    async def handle(stream):
        link = Link(stream, FrameReader())
        try:
            hello = await link.receive()
            if hello.role == pb.CONTROLLER:
                await script(link, hello)
        except LinkLostError:
            pass
        finally:
            await link.close()

    address = await cluster.tasks.start(cluster.net.serve, LOOPBACK, handle)
    cluster.list_host(name, address, boot)


def welcome(name, boot=1, held=()):
    return encode(pb.Welcome(version=1, name=name, boot=boot, age=99, held=held))


ASK = JobRequest("web", "", "s", 1.0, 1.0)
FEED = JobRequest("feed", "", "s", 1.0, 1.0, wait=2.0)


async def test_invalid_data_from_a_client_ends_only_its_link(cluster):
    await cluster.start_host("a")
    await cluster.start_controller()
    async with cluster.client() as good:
        for data in GARBAGE:
            stream = await cluster.net.connect(cluster.address)
            await stream.send(data)
            await stream.send_eof()
            with anyio.fail_after(2):
                try:
                    while True:
                        await stream.receive()
                except (anyio.EndOfStream, anyio.BrokenResourceError):
                    pass
            await stream.aclose()
        assert (await good.submit(ASK)).verdict == "placed"
    lines = cluster.logged("client let go")
    assert len(lines) == len(GARBAGE) and not any("\n" in line["reason"] for line in lines)


async def test_silent_and_excess_clients_are_disconnected(cluster):
    await cluster.start_host("a")
    await cluster.start_controller()
    silent = await cluster.net.connect(cluster.address)
    with anyio.fail_after(2), pytest.raises(anyio.EndOfStream):
        await silent.receive()
    async with anyio.create_task_group() as tasks:

        async def stay_connected(*, task_status):
            async with cluster.client():
                task_status.started()
                await anyio.sleep(5)

        for _ in range(6):
            await tasks.start(stay_connected)
        with pytest.raises(ConnectionLostError, match="too many clients"):
            async with cluster.client():
                pass
        tasks.cancel_scope.cancel()


async def test_a_client_that_does_not_read_is_disconnected_and_delays_no_other(cluster):
    # answers queued for one client are limited; the limit affects only that client
    await cluster.start_host("a")
    await cluster.start_controller()
    stream = await cluster.net.connect(cluster.address)
    await stream.send(encode(pb.Hello(version=1, role=pb.CLIENT, name="slow")))
    submits = b"".join(
        encode(pb.Submit(key=f"{i:0100}", job=pb.JobSpec(offering="nothing"))) for i in range(2000)
    )
    async with cluster.client() as good, anyio.create_task_group() as tasks:

        async def flood():
            try:
                for _ in range(60):
                    await stream.send(submits)
            except (anyio.BrokenResourceError, anyio.ClosedResourceError):
                pass

        tasks.start_soon(flood)
        await cluster.until(lambda: cluster.logged("client let go"))
        assert "unread" in cluster.logged("client let go")[0]["reason"]
        with anyio.fail_after(1):
            assert (await good.submit(ASK)).verdict == "placed"
        tasks.cancel_scope.cancel()


async def test_a_refused_connection_leads_to_another_host_immediately(cluster):
    async with await anyio.create_tcp_listener(local_host="127.0.0.1") as listener:
        address = listener.extra(anyio.abc.SocketAttribute.local_address)
    cluster.list_host("a", address)  # nothing listens there
    await cluster.start_controller()
    await cluster.start_host("b")
    async with cluster.client() as client:
        with anyio.fail_after(3):
            answers = [await client.submit(FEED) for _ in range(4)]
    # irreversible jobs are sent again because they are known not to have run
    assert [answer.host for answer in answers] == ["b"] * 4


@pytest.mark.parametrize("data", GARBAGE[:3] + [encode(pb.Submit(key="k")), welcome("another")])
async def test_invalid_data_from_a_host_ends_only_its_link(cluster, data):
    links = []

    async def script(link, hello):
        links.append(hello)
        if len(links) > 1:
            await anyio.sleep(9)
        if b"another" not in data:
            await link.send(welcome("a"))
        await link.send(data)

    await simulate_host(cluster, "a", script)
    await cluster.start_host("b")
    await cluster.start_controller()
    async with cluster.client() as client:
        await cluster.until(lambda: [line for line in cluster.logged("link down") if line["host"] == "a"])
        assert (await client.submit(ASK)).host == "b"
    assert "\n" not in cluster.logged("link down")[0]["reason"]


async def receive_offer(link):
    while True:
        message = await link.receive()
        if isinstance(message, pb.Offer):
            return message


@pytest.mark.parametrize("held, verdict", [(False, "placed"), (True, "placed"), (None, "written off")])
async def test_a_link_that_breaks_under_an_irreversible_launch(cluster, held, verdict):
    # a launch written when the link broke is sent again only if the host reports that it did not receive it
    offers, links = [], []

    async def script(link, hello):
        links.append(hello.link)
        boot = 1 if held is not None or not offers else 2
        await link.send(
            welcome(
                "a",
                boot,
                [pb.Held(launch=offers[0].launch, job=offers[0].job, phase=pb.ACCEPTED)]
                if held and offers
                else [],
            )
        )
        offers.append(await receive_offer(link))
        if len(offers) > 1:
            await link.send(encode(pb.Accepted(launch=offers[-1].launch)))
            await anyio.sleep(9)

    await simulate_host(cluster, "a", script)
    await cluster.start_controller()
    async with cluster.client() as client:
        with anyio.fail_after(4):
            answer = await client.submit(FEED)
    assert answer.verdict == verdict
    assert len(offers) == (2 if held is False else 1)  # sent again only if it is proven not to have run
    assert links == sorted(links) and len(set(links)) == len(links)


async def test_a_host_that_stops_replying_is_detected(cluster):
    # on a half-closed link all writes seem to succeed
    async def script(link, hello):
        await link.send(welcome("a"))
        await anyio.sleep(9)

    await simulate_host(cluster, "a", script)
    await cluster.start_controller()
    async with cluster.client() as client:
        assert (await client.submit(FEED)).verdict == "written off"
    await cluster.until(
        lambda: [line for line in cluster.logged("link down") if "nothing received" in line["reason"]]
    )


async def test_a_later_life_halts_an_earlier_one(tmp_path):
    # two processes must not both act as this controller
    async def run_fenced_controller():
        async with anyio.create_task_group() as tasks:
            cluster = ClusterFixture(tasks, tmp_path)
            await cluster.start_discovery()
            server = await cluster.start_host("a")
            server.model.fences["c"] = (9, 1)
            await cluster.start_controller()
            await anyio.sleep(5)

    with anyio.fail_after(5), pytest.raises(BaseExceptionGroup) as caught:
        await run_fenced_controller()
    assert isinstance(unwrap(caught.value), HaltedError) and "life 9" in str(unwrap(caught.value))


async def test_a_client_that_disconnects_withdraws_its_job(cluster):
    server = await cluster.start_host("a", look=0.2)
    await cluster.start_controller()
    async with cluster.client() as client, anyio.create_task_group() as tasks:
        tasks.start_soon(client.submit, ASK)
        await cluster.until(lambda: server.model.queue)
        tasks.cancel_scope.cancel()
    await cluster.until(lambda: not cluster.runtime.engine.unanswered)
    await cluster.until(lambda: not server.model.launches and not cluster.runtime.engine.launches)


async def test_invalid_data_from_discovery_leaves_the_list_in_use(cluster):
    server = await cluster.start_host("a")
    await cluster.start_controller()
    failures = []

    async def send_garbage(self, link):
        failures.append(1)
        await link.send(GARBAGE[0])
        await anyio.sleep(1)

    cluster.discovery.serve_watcher = send_garbage.__get__(cluster.discovery)
    cluster.discovery.control({"lose": True})
    await cluster.until(lambda: len(failures) >= 2)  # requested again after each failure
    async with cluster.client() as client:
        assert (await client.submit(ASK)).host == server.model.name


async def test_after_a_missed_change_the_complete_list_is_requested(cluster):
    server = await cluster.start_host("a")
    await cluster.start_controller()
    for watcher in cluster.discovery.watchers:
        watcher.sent = 1 << 40  # nothing is sent to it for now
    server.control({"drain": True})
    await cluster.until(lambda: cluster.discovery.hosts["a"].mode == pb.DRAINING)
    for watcher in cluster.discovery.watchers:
        watcher.sent = cluster.discovery.version  # the missed change is never sent
    await cluster.start_host("b")
    await cluster.until(lambda: "b" in cluster.runtime.links)
    assert cluster.runtime.engine.module.hosts["a"].entry.mode is api.Mode.DRAINING


async def test_jobs_are_answered_before_the_shutdown(cluster):
    await cluster.start_host("a", look=0.3)
    await cluster.start_controller()
    async with cluster.client() as client:
        async with anyio.create_task_group() as tasks:
            answers = []

            async def submit():
                answers.append(await client.submit(ASK))

            tasks.start_soon(submit)
            await cluster.until(lambda: cluster.runtime.engine.unanswered)
            cluster.runtime.shut_down()
            with pytest.raises(ConnectionLostError, match="ends"):
                async with cluster.client():
                    pass
        assert answers[0].verdict == "placed"


async def test_a_declined_job_has_a_retry_time(cluster):
    server = await cluster.start_host("a")
    await cluster.start_controller()
    server.control({"drain": True})
    await cluster.until(
        lambda: any(h.entry.mode.name == "DRAINING" for h in cluster.runtime.engine.module.hosts.values())
    )
    async with cluster.client() as client, anyio.create_task_group() as tasks:
        for _ in range(5):
            tasks.start_soon(client.submit, ASK)
        await cluster.until(lambda: len(cluster.runtime.engine.unanswered) == 5)
        with pytest.raises(JobDeclinedError) as caught:
            await client.submit(ASK)
        assert caught.value.retry_after > 0
        tasks.cancel_scope.cancel()


async def test_launches_for_an_earlier_boot_are_not_sent_to_a_restarted_host(cluster):
    # launches queued while a host restarted would overload it
    offers = []
    async with await anyio.create_tcp_listener(local_host="127.0.0.1") as listener:
        address = listener.extra(anyio.abc.SocketAttribute.local_address)
    cluster.list_host("a", address)
    await cluster.start_controller()
    await anyio.sleep(1.2)  # its connections have been refused

    async def handle(stream):
        link = Link(stream, FrameReader())
        try:
            await link.receive()
            await link.send(encode(pb.Welcome(version=1, name="a", boot=2, age=0.1)))
            while True:
                offers.append(await receive_offer(link))
        except LinkLostError:
            pass

    await cluster.tasks.start(cluster.net.serve, address, handle)
    async with cluster.client() as client, anyio.create_task_group() as tasks:
        for _ in range(5):
            tasks.start_soon(client.submit, ASK)
        await cluster.until(lambda: cluster.runtime.links["a"].up)
        await anyio.sleep(0.3)
        tasks.cancel_scope.cancel()
    assert not offers  # a controller that has just started sends nothing to a host in slow start


async def test_queued_launches_for_a_draining_host_are_returned_as_unsent():
    # on a slow link a launch could otherwise be sent long after the drain was reported
    listed = events.ListedHost("a", (), "std", "z", 0, api.Mode.SERVING, 1, 9.0, None, None)
    told = []
    link = HostLink(listed, "c", 1, None, parse_cluster(CLUSTER).limits, Inbox(told.append), None, None)
    link.launch(effects.SendLaunch("a", 7, api.Job("j", "web", "", "s", 1.0, 1.0, 9.0), 5.0, 1))
    link.update_host(listed)
    assert not told
    link.update_host(replace(listed, mode=api.Mode.DRAINING))
    assert told == [events.LaunchesUnsent("a", (7,))] and not link.outbox


def test_reply_that_arrived_during_a_stall_keeps_its_link():
    # Guards against a link closed for silence though the reply lies unread: this process stood still.
    near, far = pipe()
    limits = parse_cluster(CLUSTER).limits

    class Net:
        async def connect(self, address):
            return near

    async def main():
        with trio.fail_after(120):
            async with anyio.create_task_group() as tasks:
                listed = events.ListedHost(
                    "a", ("127.0.0.1:1",), "std", "z", 0, api.Mode.SERVING, 1, 9.0, None, None
                )
                numbers = partial(next, itertools.count(1))
                inbox = Inbox(lambda event: None)
                link = HostLink(listed, "c", 1, Net(), limits, inbox, numbers, structlog.get_logger())
                tasks.start_soon(link.run_until_cancelled)
                link.open()
                await far.receive()
                await far.send(encode(pb.Welcome(version=1, name="a", boot=1)))
                await anyio.sleep(0.01)
                for _ in range(20):  # which of two tasks runs first after a stall is left to chance
                    link.probe(effects.SendProbe("a", 1))
                    await anyio.sleep(0.01)
                    far.send_nowait(encode(pb.Report(number=1)))
                    trio.lowlevel.current_clock().jump(2 * limits.link_silent)
                    await anyio.sleep(0.01)
                    assert link.up
                tasks.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


async def test_nothing_is_sent_to_an_address_reassigned_to_another_host(cluster):
    async def script(link, hello):
        await link.send(welcome("another"))
        await receive_offer(link)
        raise AssertionError("sent to the wrong host")

    await simulate_host(cluster, "a", script)
    await cluster.start_controller()
    async with cluster.client() as client:
        await cluster.until(lambda: cluster.logged("link down"))
        assert (await client.submit(JobRequest("feed", "", "s", 1.0, 1.0, wait=1.0))).verdict == "rejected"
    assert "host 'another' answers there" in cluster.logged("link down")[0]["reason"]


async def test_a_client_whose_connection_breaks_withdraws_its_job(cluster):
    server = await cluster.start_host("a", look=0.3)
    await cluster.start_controller()
    stream = await cluster.net.connect(cluster.address)
    await stream.send(
        encode(pb.Hello(version=1, role=pb.CLIENT, name="x"))
        + encode(pb.Submit(key="k", job=pb.JobSpec(offering="feed", service="s", cores=1, memory=1)))
    )
    await cluster.until(lambda: server.model.queue)
    await anyio.aclose_forcefully(stream)
    await cluster.until(lambda: not cluster.runtime.engine.unanswered and not server.model.launches)


@pytest.mark.parametrize("when", ["before acceptance", "after the answer"])
async def test_a_sessions_job_is_answered_once_over_a_kill_of_its_controller(cluster, when):
    # an irreversible job must not be submitted again, and run twice, because its controller was killed
    server = await cluster.start_host("a", look=0.3)
    await cluster.start_controller()
    first, ask = cluster.runtime, JobRequest("feed", "", "s", 1.0, 1.0)
    answers = []

    async def owner(key):
        async with Owner.open(cluster.net, Contact((cluster.address,), "school")) as owner:
            await owner.submit(ask, key)
            answers.extend(await owner.wait_until([key], lambda standing: standing.answered))

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(owner, "reader-1")
        await cluster.until(lambda: server.model.launches if when == "before acceptance" else answers)
        first.tasks.cancel_scope.cancel()  # like a kill: nothing more is answered or written
        first.store.close()
        await anyio.sleep(0.5)
        cluster.address = await restart(cluster, cluster.address)
    await owner("reader-2")
    assert len(answers) == 2 and {standing.stage for standing in answers} <= {"placed", "running"}
    assert len(server.model.launches) == 2 and cluster.runtime.life == first.life + 1


async def restart(cluster, address):
    setup = Setup("c", cluster.cluster, address, cluster.discovery_address, 7)
    cluster.runtime = Runtime(setup, Store(cluster.directory), cluster.net, cluster.runtime.log)
    return await cluster.tasks.start(cluster.runtime.run)
