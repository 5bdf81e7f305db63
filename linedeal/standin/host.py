"""Simulated host on the network.

Serves controllers and duties' owners, reports to discovery, and injects faults on order.
"""

from collections import deque
from pathlib import Path

import anyio

from linedeal.duties.duty import controller_of
from linedeal.net import Address, Link, LinkLostError, Net, run_until_link_lost
from linedeal.net.base import CONNECTION_ERRORS
from linedeal.protocol import FrameReader, encode, pb
from linedeal.standin.model import HostModel
from linedeal.standin.orders import PersistentFence, refusal_reason, serve_owner

REPORT_INTERVAL = 0.25  # seconds between two reports to discovery; also before a reconnect
HELLO_TIMEOUT = 5.0  # seconds
MAX_UNREAD = 20000  # messages that a controller may leave unread before its link is ended


class Peer:
    """One controller's link."""

    def __init__(self, link: Link, hello):
        """Starts with nothing to send; entries of `outbox` are (time to send, message)."""
        self.link, self.hello = link, hello
        self.outbox: deque = deque()
        self.wake, self.ended = anyio.Event(), anyio.Event()


class HostServer:
    """Connects a `HostModel` to the network."""

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
        """Prepares a host that is not yet started.

        `advertise`: the address reported to discovery; "itself" for the one at which it listens, empty until
        an order sets it. `fence`: the file that keeps the highest tokens of duties over restarts. Raises
        FenceFileError.
        """
        self.model, self.net, self.discovery = model, net, discovery
        self.advertise, self.zone, self.cell = advertise, zone, cell
        self.peers: dict[str, Peer] = {}
        self.fence = PersistentFence(fence)
        self.changed = anyio.Event()
        # peers partitioned from this host, where no recording proxy simulates it; "*": all
        self.partitioned: frozenset[str] = frozenset()
        self.partition_changed = anyio.Event()
        # whether all but reports are dropped, and seconds by which messages are delayed
        self.mute, self.delay = False, 0.0

    async def run(self, listen: Address, *, task_status=anyio.TASK_STATUS_IGNORED) -> None:
        """Serves until the model crashes, which is final; reports the address at which it listens."""
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
        """Queues the model's messages on open links; the next welcome's inventory makes up for the others."""
        out, self.model.out = self.model.out, []
        for controller, message in out:
            peer = self.peers.get(controller)
            if peer is None or self.mute and not isinstance(message, pb.Report):
                continue
            if len(peer.outbox) >= MAX_UNREAD:
                peer.ended.set()
            peer.outbox.append((anyio.current_time() + self.delay, message))
            peer.wake.set()

    async def handle(self, stream) -> None:
        """Serves one connection of a controller or a duty's owner until it is lost or replaced."""
        link, peer = Link(stream, FrameReader()), None
        try:
            with anyio.fail_after(HELLO_TIMEOUT):
                hello = await link.receive()
            if isinstance(hello, pb.Hello):
                await self.until_reachable(hello.name)
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
            pass  # the host keeps running without the controller
        finally:
            if peer is not None and self.peers.get(peer.hello.name) is peer:
                del self.peers[peer.hello.name]
            await link.close()

    async def read(self, peer: Peer) -> None:
        """Passes a controller's messages to the model.

        Raises LinkLostError as the link ends or is fenced off, or for a message that no controller may send.
        """
        hello = peer.hello
        while True:
            messages = await peer.link.receive_all()
            await self.until_reachable(hello.name)
            for message in messages:
                # Messages of an earlier link are dropped: handled now, they would make the inventory in the
                # welcome of the later one wrong.
                if not self.model.in_force(hello.name, hello.life, hello.link):
                    raise LinkLostError("fenced off by a later link")
                now = anyio.current_time()
                self.model.pass_time(now)
                if not self.model.handle_message(now, hello.name, message):
                    raise LinkLostError(f"a controller may not send {type(message).__name__}")
            self.changed.set()

    async def until_reachable(self, controller: str) -> None:
        """Waits while the controller is partitioned; data is delayed, as if TCP retransmitted it afterwards.

        `controller` may also be the name of a duty's owner, or discovery.
        """
        while self.partitioned & {controller_of(controller), "*"}:
            await self.partition_changed.wait()

    async def carry_out(self, order: pb.DutyOrder) -> pb.DutyTold:
        """Carries out a duty's order: drains the host once, however often it is ordered."""
        model = self.model
        model.pass_time(anyio.current_time())
        why = refusal_reason(order, self.fence, (pb.HOST_DRAIN,))
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
        """Raises LinkLostError once a later link replaces this one, or too much is unread on it."""
        await peer.ended.wait()
        raise LinkLostError("replaced by a later link, or too much unread")

    async def write(self, peer: Peer) -> None:
        """Sends what is queued for a controller, each message at its time."""
        while True:
            await peer.wake.wait()
            peer.wake = anyio.Event()
            while peer.outbox:
                await anyio.sleep_until(peer.outbox[0][0])
                now, data = anyio.current_time(), bytearray()
                while peer.outbox and peer.outbox[0][0] <= now:
                    data += encode(peer.outbox.popleft()[1])
                await self.until_reachable(peer.hello.name)
                await peer.link.send(bytes(data))

    def entry(self) -> pb.HostEntry:
        """The host as discovery lists it."""
        figures = self.model.report()
        return pb.HostEntry(
            id=self.model.name,
            addresses=[self.advertise],
            kind=self.model.kind,
            zone=self.zone,
            cell=self.cell,
            mode=pb.DRAINING if self.model.draining else pb.SERVING,
            boot=self.model.boot,
            age=self.model.age,
            free_cores=figures["unasked_cores"],
            free_memory=figures["unasked_memory"],
        )

    async def register(self) -> None:
        """Reports to discovery until cancelled, once the host's address is known; reconnects when cut off."""
        while not self.advertise:
            await anyio.sleep(0.02)
        while True:
            link = None
            try:
                link = Link(await self.net.connect(self.discovery), FrameReader())
                await link.send(encode(pb.Hello(version=1, role=pb.HOST, name=self.model.name)))
                while True:
                    await self.until_reachable("discovery")
                    await link.send(encode(pb.HostList(hosts=[self.entry()])))
                    await anyio.sleep(REPORT_INTERVAL)
            except (LinkLostError, *CONNECTION_ERRORS):
                await anyio.sleep(REPORT_INTERVAL)
            finally:
                if link is not None:
                    await link.close()

    def control(self, order: dict) -> None:
        """Injects faults: `order` is {fault name: value}. Raises ValueError for an unknown name."""
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
                faults.failing_offerings = set(value)
            elif name == "refuse":
                faults.refused_customers = set(value)
            elif name == "surge":
                faults.surge = dict(value)
            elif name == "advertise":
                self.advertise = str(value)
            elif name == "bar":
                self.partitioned |= frozenset(value)
            elif name == "unbar":
                self.partitioned -= frozenset(value)
                self.partition_changed.set()
                self.partition_changed = anyio.Event()
            elif name == "flush":
                self.model.programs.clear()
            else:
                raise ValueError(f"unknown fault {name!r}")
        self.changed.set()
