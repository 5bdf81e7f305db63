"""Links, front and watch over real sockets, against scripted peers that misbehave."""

import random
from contextlib import asynccontextmanager
from dataclasses import replace

import anyio
import pytest
import structlog

from linedeal.client import Client, ClientLost, JobAsk, Owner, TurnedAway
from linedeal.client.contact import Contact
from linedeal import interface as api
from linedeal.controller.hostlink import HostLink
from linedeal.loop.inbox import Inbox
from linedeal.controller.runtime import HaltedError, Runtime, Setup
from linedeal.engine import effects
from linedeal.engine import events
from linedeal.net import Link, LinkLostError, TcpNet
from linedeal.processes import unwrap
from linedeal.protocol import FrameReader, encode, frames, pb
from linedeal.settings.cluster import parse_cluster
from linedeal.standin.discovery import Discovery
from linedeal.standin.host import HostServer
from linedeal.standin.model import Habits, HostModel
from linedeal.state import Store
from tests.engine_driver import CLUSTER

pytestmark = pytest.mark.anyio
LOOP = ("127.0.0.1", 0)
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
    frames.HEADER.pack(frames.MOST + 1, 0),
    encode(pb.Probe(number=1))[:-1],
    encode(pb.Hello(version=1, role=pb.CLIENT, name="x")) * 2,
    encode(pb.Answer(key="k")),
    b"\0" * 4096,
]


class Cluster:
    """One controller over sockets, with stand-ins that a test may replace."""

    def __init__(self, tasks, directory):
        self.tasks, self.directory, self.cluster, self.net = (
            tasks,
            directory,
            parse_cluster(CLUSTER),
            TcpNet(),
        )
        self.events: list[dict] = []

    async def discover(self):
        self.discovery = Discovery(self.net)
        self.watched = await self.tasks.start(self.discovery.run, LOOP)

    async def host(self, name, listen=LOOP, **habits):
        model = HostModel(
            name,
            "std",
            self.cluster,
            Habits(**{"setup": 0.01, "life": 60.0, **habits}),
            1,
            random.Random(1),
            anyio.current_time(),
            False,
        )
        server = HostServer(model, self.net, self.watched, "itself", "z", 0)
        await self.tasks.start(server.run, listen)
        return server

    def list_host(self, name, address, boot=1):
        """A host that a test plays itself."""
        self.discovery.heard[name] = (
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

    async def controller(self):
        def keep(_, __, event):
            self.events.append(event)
            raise structlog.DropEvent

        log = structlog.wrap_logger(
            structlog.PrintLogger(), processors=[structlog.processors.add_log_level, keep]
        )
        await anyio.sleep(0.6)  # until the list names the hosts
        self.runtime = Runtime(
            Setup("c", self.cluster, LOOP, self.watched, 7), Store(self.directory), self.net, log
        )
        self.address = await self.tasks.start(self.runtime.run)
        await self.until(lambda: self.runtime.engine.ready)

    async def until(self, true):
        with anyio.fail_after(5):
            while not true():
                await anyio.sleep(0.01)

    def said(self, event):
        return [line for line in self.events if line["event"] == event]

    @asynccontextmanager
    async def client(self):
        async with Client.connect(self.net, self.address, "t") as client:
            yield client


@pytest.fixture
async def cluster(tmp_path):
    async with anyio.create_task_group() as tasks:
        cluster = Cluster(tasks, tmp_path)
        await cluster.discover()
        yield cluster
        tasks.cancel_scope.cancel()


async def play_host(cluster, name, script, boot=1):
    """A host that is played by `script(link, hello)` on each link."""

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

    address = await cluster.tasks.start(cluster.net.serve, LOOP, handle)
    cluster.list_host(name, address, boot)


def welcome(name, boot=1, held=()):
    return encode(pb.Welcome(version=1, name=name, boot=boot, age=99, held=held))


ASK = JobAsk("web", "", "s", 1.0, 1.0)
FEED = JobAsk("feed", "", "s", 1.0, 1.0, wait=2.0)


async def test_garbage_at_the_front_ends_that_link_alone(cluster):
    await cluster.host("a")
    await cluster.controller()
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
    lines = cluster.said("client let go")
    assert len(lines) == len(GARBAGE) and not any("\n" in line["reason"] for line in lines)


async def test_who_says_nothing_or_comes_one_too_many_is_let_go(cluster):
    await cluster.host("a")
    await cluster.controller()
    silent = await cluster.net.connect(cluster.address)
    with anyio.fail_after(2), pytest.raises(anyio.EndOfStream):
        await silent.receive()
    async with anyio.create_task_group() as tasks:

        async def stay(*, task_status):
            async with cluster.client():
                task_status.started()
                await anyio.sleep(5)

        for _ in range(6):
            await tasks.start(stay)
        with pytest.raises(ClientLost, match="too many clients"):
            async with cluster.client():
                pass
        tasks.cancel_scope.cancel()


async def test_a_client_that_does_not_read_is_let_go_and_slows_nobody(cluster):
    # guards against answers that pile up for one peer: bounded, and only that peer pays
    await cluster.host("a")
    await cluster.controller()
    stream = await cluster.net.connect(cluster.address)
    await stream.send(encode(pb.Hello(version=1, role=pb.CLIENT, name="slow")))
    asks = b"".join(
        encode(pb.Submit(key=f"{i:0100}", job=pb.JobSpec(offering="nothing"))) for i in range(2000)
    )
    async with cluster.client() as good, anyio.create_task_group() as tasks:

        async def flood():
            try:
                for _ in range(60):
                    await stream.send(asks)
            except (anyio.BrokenResourceError, anyio.ClosedResourceError):
                pass

        tasks.start_soon(flood)
        await cluster.until(lambda: cluster.said("client let go"))
        assert "unread" in cluster.said("client let go")[0]["reason"]
        with anyio.fail_after(1):
            assert (await good.submit(ASK)).verdict == "placed"
        tasks.cancel_scope.cancel()


async def test_a_refused_connection_leads_to_another_host_at_once(cluster):
    async with await anyio.create_tcp_listener(local_host="127.0.0.1") as listener:
        address = listener.extra(anyio.abc.SocketAttribute.local_address)
    cluster.list_host("a", address)  # nothing listens there any more
    await cluster.controller()
    await cluster.host("b")
    async with cluster.client() as client:
        with anyio.fail_after(3):
            answers = [await client.submit(FEED) for _ in range(4)]
    assert [answer.host for answer in answers] == ["b"] * 4  # irreversible: known not to have run


@pytest.mark.parametrize("data", GARBAGE[:3] + [encode(pb.Submit(key="k")), welcome("another")])
async def test_garbage_from_a_host_ends_that_link_alone(cluster, data):
    links = []

    async def script(link, hello):
        links.append(hello)
        if len(links) > 1:
            await anyio.sleep(9)
        if b"another" not in data:
            await link.send(welcome("a"))
        await link.send(data)

    await play_host(cluster, "a", script)
    await cluster.host("b")
    await cluster.controller()
    async with cluster.client() as client:
        await cluster.until(lambda: [l for l in cluster.said("link down") if l["host"] == "a"])
        assert (await client.submit(ASK)).host == "b"
    assert "\n" not in cluster.said("link down")[0]["reason"]


async def offered(link):
    while True:
        message = await link.receive()
        if isinstance(message, pb.Offer):
            return message


@pytest.mark.parametrize("held, verdict", [(False, "placed"), (True, "placed"), (None, "written off")])
async def test_a_link_that_breaks_under_an_irreversible_launch(cluster, held, verdict):
    # guards against sending twice what was written as the link broke: only the host's own account settles it
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
        offers.append(await offered(link))
        if len(offers) > 1:
            await link.send(encode(pb.Accepted(launch=offers[-1].launch)))
            await anyio.sleep(9)

    await play_host(cluster, "a", script)
    await cluster.controller()
    async with cluster.client() as client:
        with anyio.fail_after(4):
            answer = await client.submit(FEED)
    assert answer.verdict == verdict
    assert len(offers) == (2 if held is False else 1)  # sent again only where it is proven not to have run
    assert links == sorted(links) and len(set(links)) == len(links)


async def test_a_host_that_goes_dumb_is_noticed_on_the_link(cluster):
    # guards against half-closed links, on which everything seems sent
    async def script(link, hello):
        await link.send(welcome("a"))
        await anyio.sleep(9)

    await play_host(cluster, "a", script)
    await cluster.controller()
    async with cluster.client() as client:
        assert (await client.submit(FEED)).verdict == "written off"
    await cluster.until(lambda: [l for l in cluster.said("link down") if "nothing heard" in l["reason"]])


async def test_a_later_life_ends_an_earlier_one(tmp_path):
    # guards against two processes that both believe to be this controller
    async def life():
        async with anyio.create_task_group() as tasks:
            cluster = Cluster(tasks, tmp_path)
            await cluster.discover()
            server = await cluster.host("a")
            server.model.fences["c"] = (9, 1)
            await cluster.controller()
            await anyio.sleep(5)

    with anyio.fail_after(5), pytest.raises(BaseExceptionGroup) as caught:
        await life()
    assert isinstance(unwrap(caught.value), HaltedError) and "life 9" in str(unwrap(caught.value))


async def test_a_client_that_goes_takes_its_job_back(cluster):
    server = await cluster.host("a", look=0.2)
    await cluster.controller()
    async with cluster.client() as client, anyio.create_task_group() as tasks:
        tasks.start_soon(client.submit, ASK)
        await cluster.until(lambda: server.model.queue)
        tasks.cancel_scope.cancel()
    await cluster.until(lambda: not cluster.runtime.engine.unanswered)
    await cluster.until(lambda: not server.model.copies and not cluster.runtime.engine.launches)


async def test_garbage_from_discovery_leaves_the_list_in_force(cluster):
    server = await cluster.host("a")
    await cluster.controller()
    broken = []

    async def garbage(self, link):
        broken.append(1)
        await link.send(GARBAGE[0])
        await anyio.sleep(1)

    cluster.discovery.watched = garbage.__get__(cluster.discovery)
    cluster.discovery.control({"lose": True})
    await cluster.until(lambda: len(broken) >= 2)  # asked again after each failure
    async with cluster.client() as client:
        assert (await client.submit(ASK)).host == server.model.name


async def test_a_missed_change_is_noticed_and_the_whole_list_asked_for(cluster):
    server = await cluster.host("a")
    await cluster.controller()
    for watcher in cluster.discovery.watchers:
        watcher.sent = 1 << 40  # this one is sent nothing for now
    server.control({"drain": True})
    await cluster.until(lambda: cluster.discovery.hosts["a"].mode == pb.DRAINING)
    for watcher in cluster.discovery.watchers:
        watcher.sent = cluster.discovery.version  # ... and never what it missed
    await cluster.host("b")
    await cluster.until(lambda: "b" in cluster.runtime.links)
    assert cluster.runtime.engine.module.hosts["a"].entry.mode is api.Mode.DRAINING


async def test_told_to_leave_it_answers_first(cluster):
    await cluster.host("a", look=0.3)
    await cluster.controller()
    async with cluster.client() as client:
        async with anyio.create_task_group() as tasks:
            answers = []

            async def ask():
                answers.append(await client.submit(ASK))

            tasks.start_soon(ask)
            await cluster.until(lambda: cluster.runtime.engine.unanswered)
            cluster.runtime.shut_down()
            with pytest.raises(ClientLost, match="ends"):
                async with cluster.client():
                    pass
        assert answers[0].verdict == "placed"


async def test_what_is_not_taken_says_when_to_come_back(cluster):
    server = await cluster.host("a")
    await cluster.controller()
    server.control({"drain": True})
    await cluster.until(
        lambda: any(h.entry.mode.name == "DRAINING" for h in cluster.runtime.engine.module.hosts.values())
    )
    async with cluster.client() as client, anyio.create_task_group() as tasks:
        for _ in range(5):
            tasks.start_soon(client.submit, ASK)
        await cluster.until(lambda: len(cluster.runtime.engine.unanswered) == 5)
        with pytest.raises(TurnedAway) as caught:
            await client.submit(ASK)
        assert caught.value.retry_after > 0
        tasks.cancel_scope.cancel()


async def test_what_was_meant_for_an_earlier_boot_is_not_sent_to_a_young_host(cluster):
    # guards against pushing a host over that came back while launches waited for its link
    offers = []
    async with await anyio.create_tcp_listener(local_host="127.0.0.1") as listener:
        address = listener.extra(anyio.abc.SocketAttribute.local_address)
    cluster.list_host("a", address)
    await cluster.controller()
    await anyio.sleep(1.2)  # its link has been refused

    async def handle(stream):
        link = Link(stream, FrameReader())
        try:
            await link.receive()
            await link.send(encode(pb.Welcome(version=1, name="a", boot=2, age=0.1)))
            while True:
                offers.append(await offered(link))
        except LinkLostError:
            pass

    await cluster.tasks.start(cluster.net.serve, address, handle)
    async with cluster.client() as client, anyio.create_task_group() as tasks:
        for _ in range(5):
            tasks.start_soon(client.submit, ASK)
        await cluster.until(lambda: cluster.runtime.links["a"].up)
        await anyio.sleep(0.3)
        tasks.cancel_scope.cancel()
    assert not offers  # a controller that has just started sends a young host nothing yet


async def test_what_waits_for_a_host_that_drains_goes_back():
    # guards against a launch that leaves long after the drain was told, because its link was slow
    listed = events.ListedHost("a", (), "std", "z", 0, api.Mode.SERVING, 1, 9.0, None, None)
    told = []
    link = HostLink(listed, "c", 1, None, parse_cluster(CLUSTER).limits, Inbox(told.append), None, None)
    link.launch(effects.SendLaunch("a", 7, api.Job("j", "web", "", "s", 1.0, 1.0, 9.0), 5.0, 1))
    link.relist(listed)
    assert not told
    link.relist(replace(listed, mode=api.Mode.DRAINING))
    assert told == [events.LaunchesUnsent("a", (7,))] and not link.outbox


async def test_an_address_that_another_host_has_is_not_sent_to(cluster):
    async def script(link, hello):
        await link.send(welcome("another"))
        await offered(link)
        raise AssertionError("sent to the wrong host")

    await play_host(cluster, "a", script)
    await cluster.controller()
    async with cluster.client() as client:
        await cluster.until(lambda: cluster.said("link down"))
        assert (await client.submit(JobAsk("feed", "", "s", 1.0, 1.0, wait=1.0))).verdict == "rejected"
    assert "host 'another' answers there" in cluster.said("link down")[0]["reason"]


async def test_a_client_that_breaks_off_takes_its_job_back(cluster):
    server = await cluster.host("a", look=0.3)
    await cluster.controller()
    stream = await cluster.net.connect(cluster.address)
    await stream.send(
        encode(pb.Hello(version=1, role=pb.CLIENT, name="x"))
        + encode(pb.Submit(key="k", job=pb.JobSpec(offering="feed", service="s", cores=1, memory=1)))
    )
    await cluster.until(lambda: server.model.queue)
    await anyio.aclose_forcefully(stream)
    await cluster.until(lambda: not cluster.runtime.engine.unanswered and not server.model.copies)


@pytest.mark.parametrize("when", ["before the yes", "after the answer"])
async def test_a_sessions_job_is_answered_once_over_its_controllers_death(cluster, when):
    # guards against a press-feed job that is asked for again, and runs twice, since its controller died
    server = await cluster.host("a", look=0.3)
    await cluster.controller()
    first, ask = cluster.runtime, JobAsk("feed", "", "s", 1.0, 1.0)
    answers = []

    async def owner(key):
        async with Owner.open(cluster.net, Contact((cluster.address,), "school")) as owner:
            await owner.submit(ask, key)
            answers.extend(await owner.until([key], lambda standing: standing.answered))

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(owner, "reader-1")
        await cluster.until(lambda: server.model.copies if when == "before the yes" else answers)
        first.tasks.cancel_scope.cancel()  # as a kill: nothing is answered or written any more
        first.store.close()
        await anyio.sleep(0.5)
        cluster.address = await restart(cluster, cluster.address)
    await owner("reader-2")
    assert len(answers) == 2 and {standing.stage for standing in answers} <= {"placed", "running"}
    assert len(server.model.copies) == 2 and cluster.runtime.life == first.life + 1


async def restart(cluster, address):
    setup = Setup("c", cluster.cluster, address, cluster.watched, 7)
    cluster.runtime = Runtime(setup, Store(cluster.directory), cluster.net, cluster.runtime.log)
    return await cluster.tasks.start(cluster.runtime.run)
