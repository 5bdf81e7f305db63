"""A stand-in host on the network: links from controllers and duties' owners, a line to discovery, faults switched from
outside."""

from collections import deque
from pathlib import Path

import anyio

from linedeal.net import Address, Link, LinkLostError, Net, run_until_link_lost
from linedeal.net.base import CONNECTION_ERRORS
from linedeal.protocol import FrameReader, encode, pb
from linedeal.standin.model import HostModel
from linedeal.standin.orders import PersistentFence, refused, serve_owner

REPORT_EVERY = 0.25  # seconds between two lines to discovery
HELLO = 5.0
UNREAD_MOST = 20000  # messages that a controller may leave unread before its link is ended


class Peer:
    """One controller's link."""

    def __init__(self, link: Link, hello):
        self.link, self.hello = link, hello
        self.outbox: deque = deque()
        self.wake, self.ended = anyio.Event(), anyio.Event()


class HostServer:
    """`fence`: the file in which it keeps the highest tokens of duties, over all its starts."""

    def __init__(
        self,
        model: HostModel,
        net: Net,
        discovery: Address | None,
        advertise: str,
        zone: str,
        cell: int,
        fence: Path | None = None,
    ):
        self.model, self.net, self.discovery = model, net, discovery
        self.advertise, self.zone, self.cell = advertise, zone, cell
        self.peers: dict[str, Peer] = {}
        self.fence = PersistentFence(fence)
        self.changed = anyio.Event()
        self.barred: frozenset[str] = (
            frozenset()
        )  # controllers cut off from here, where no tap plays it; *: all
        self.unbarred = anyio.Event()
        self.mute, self.delay = False, 0.0  # answers lost while probes are answered; answers late by so much

    async def run(self, listen: Address, *, task_status=anyio.TASK_STATUS_IGNORED) -> None:
        """Until it falls over; then it is down for good."""
        async with anyio.create_task_group() as self.tasks:
            self.model.pass_time(anyio.current_time())
            address = await self.tasks.start(self.net.serve, listen, self.handle)
            task_status.started(address)
            if self.advertise == "itself":
                self.advertise = f"{address[0]}:{address[1]}"
            if self.discovery:
                self.tasks.start_soon(self.register)
            while not self.model.crashed:
                self.flush()
                self.changed = anyio.Event()
                with anyio.move_on_at(self.model.next_due()):
                    await self.changed.wait()
                self.model.pass_time(anyio.current_time())
            self.tasks.cancel_scope.cancel()

    def flush(self) -> None:
        """Gives what the model says to the links that stand; the rest is told at the next welcome."""
        out, self.model.out = self.model.out, []
        for controller, message in out:
            peer = self.peers.get(controller)
            if peer is None or self.mute and not isinstance(message, pb.Report):
                continue
            if len(peer.outbox) >= UNREAD_MOST:
                peer.ended.set()
            peer.outbox.append((anyio.current_time() + self.delay, message))
            peer.wake.set()

    async def handle(self, stream) -> None:
        link, peer = Link(stream, FrameReader()), None
        try:
            with anyio.fail_after(HELLO):
                hello = await link.receive()
            if isinstance(hello, pb.Hello):
                await self.clear(hello.name)
            if isinstance(hello, pb.Hello) and hello.role == pb.OWNER:
                await serve_owner(link, hello, self.model.name, self.model.cluster.council, self.carry_out)
            if not isinstance(hello, pb.Hello) or hello.role != pb.CONTROLLER:
                return
            self.model.pass_time(anyio.current_time())
            answer = self.model.hello(hello.name, hello.life, hello.link)
            await link.send(encode(answer, compress=True))
            if isinstance(answer, pb.Bye):
                return
            old = self.peers.get(hello.name)
            if old is not None:
                old.ended.set()
            peer = self.peers[hello.name] = Peer(link, hello)
            await run_until_link_lost(self.read(peer), self.write(peer), self.until_ended(peer))
        except (LinkLostError, TimeoutError):
            pass  # a controller that goes is nothing that a host tells of
        finally:
            if peer is not None and self.peers.get(peer.hello.name) is peer:
                del self.peers[peer.hello.name]
            await link.close()

    async def read(self, peer: Peer) -> None:
        hello = peer.hello
        while True:
            messages = await peer.link.receive_all()
            await self.clear(hello.name)
            for message in messages:
                # fenced: what an earlier link still brings is not taken, or a welcome's account would not hold
                if not self.model.in_force(hello.name, hello.life, hello.link):
                    raise LinkLostError("fenced")
                now = anyio.current_time()
                self.model.pass_time(now)
                if not self.model.take(now, hello.name, message):
                    raise LinkLostError(f"a controller may not send {type(message).__name__}")
            self.changed.set()

    async def clear(self, controller: str) -> None:
        """Once the link is not cut: what came and what is to go is kept meanwhile, as with packets sent again."""
        while self.barred & {controller, "*"}:
            await self.unbarred.wait()

    async def carry_out(self, order: pb.DutyOrder) -> pb.DutyTold:
        """A duty's effect: it drains by it once, however often it is told."""
        model = self.model
        model.pass_time(anyio.current_time())
        why = refused(order, self.fence, (pb.HOST_DRAIN,))
        if not why and order.host != model.name:
            why = f"this is {model.name}, not {order.host}"
        if not why and order.kind == pb.HOST_DRAIN and order.boot != model.boot:
            why = f"boot {order.boot} is meant, this is {model.boot}"
        if not why and order.kind == pb.HOST_DRAIN and not model.draining:
            model.drain(anyio.current_time())
            self.changed.set()
        return pb.DutyTold(
            done=not why,
            why=why,
            boot=model.boot,
            draining=model.draining,
            jobs=len(model.launches),
            irreversible=model.irreversible(),
            token=self.fence.fence.highest(order.duty),
        )

    async def until_ended(self, peer: Peer) -> None:
        await peer.ended.wait()
        raise LinkLostError("a later link")

    async def write(self, peer: Peer) -> None:
        while True:
            await peer.wake.wait()
            peer.wake = anyio.Event()
            while peer.outbox:
                await anyio.sleep_until(peer.outbox[0][0])
                now, data = anyio.current_time(), bytearray()
                while peer.outbox and peer.outbox[0][0] <= now:
                    data += encode(peer.outbox.popleft()[1])
                await self.clear(peer.hello.name)
                await peer.link.send(bytes(data))

    def entry(self) -> pb.HostEntry:
        figures = self.model.report()
        return pb.HostEntry(
            id=self.model.name,
            addresses=[self.advertise],
            kind=self.model.kind,
            zone=self.zone,
            cell=self.cell,
            mode=pb.DRAINING if self.model.draining else pb.SERVING,
            boot=self.model.boot,
            age=self.model.now_age,
            free_cores=figures["unasked_cores"],
            free_memory=figures["unasked_memory"],
        )

    async def register(self) -> None:
        """Tells discovery of itself for as long as it lives, once it has been told its address."""
        while not self.advertise:
            await anyio.sleep(0.02)
        while True:
            link = None
            try:
                link = Link(await self.net.connect(self.discovery), FrameReader())
                await link.send(encode(pb.Hello(version=1, role=pb.HOST, name=self.model.name)))
                while True:
                    await self.clear("discovery")
                    await link.send(encode(pb.HostList(hosts=[self.entry()])))
                    await anyio.sleep(REPORT_EVERY)
            except (LinkLostError, *CONNECTION_ERRORS):
                await anyio.sleep(REPORT_EVERY)
            finally:
                if link is not None:
                    await link.close()

    def control(self, order: dict) -> None:
        """One fault switched; `order` is {fault name: value}."""
        now = anyio.current_time()
        self.model.pass_time(now)
        faults = self.model.faults
        for name, value in order.items():
            if name == "drain":
                self.model.drain(now)
            elif name == "mute":
                self.mute = bool(value)
            elif name == "slow":
                self.delay = float(value)
            elif name == "pace":
                faults.pace = float(value)
            elif name == "errors":
                faults.errors = set(value)
            elif name == "refuse":
                faults.refuses = set(value)
            elif name == "surge":
                faults.surge = dict(value)
            elif name == "advertise":
                self.advertise = str(value)
            elif name == "bar":
                self.barred |= frozenset(value)
            elif name == "unbar":
                self.barred -= frozenset(value)
                self.unbarred.set()
                self.unbarred = anyio.Event()
            elif name == "flush":
                self.model.programs.clear()
            else:
                raise ValueError(f"no fault {name!r}")
        self.changed.set()
