"""The tap: a proxy on each link, which records the traffic and injects network faults.

Packets between the council's members may also be lost, duplicated, delayed and reordered: the members'
protocol allows for that. All other links are streams, whose bytes are passed on in order or not at all.
"""

import heapq
import itertools
from random import Random

import anyio

from linedeal.duties.duty import controller_of
from linedeal.lab.record import Recorder
from linedeal.net import Address
from linedeal.net.base import CONNECTION_ERRORS
from linedeal.protocol import FrameError, FrameReader, pb
from linedeal.protocol.frames import HEADER

HELD_SECONDS = 0.01  # between the arrival of bytes and their passing on, from which they count as held
MAX_HELD = 4 << 20  # bytes held for one direction of a cut link; if more arrive, the link ends


class NetworkConditions:
    """The network faults in effect.

    Bytes on a cut direction are held and passed on when the cut ends, as with a transport that retransmits.
    """

    def __init__(self, seed: int = 1):
        """Begins without faults. `seed`: for the random faults of the council's packets."""
        self.cuts: set[tuple[str, str]] = set()  # (from, to)
        self.changed = anyio.Event()
        # for the council's packets: share lost, share duplicated, and maximum delay in seconds
        self.loss = self.double = self.delay = 0.0
        self.random = Random(seed)

    def cut(self, pairs) -> None:
        """Cuts these directions, each `(from, to)`."""
        self.cuts |= {tuple(pair) for pair in pairs}

    def heal(self, pairs) -> None:
        """Ends the cuts of these directions."""
        self.cuts -= {tuple(pair) for pair in pairs}
        self.changed.set()
        self.changed = anyio.Event()

    def deliveries(self) -> list[float]:
        """Draws the delay of each copy of one packet, in seconds; an empty list if it is lost."""
        if self.random.random() < self.loss:
            return []
        copies = 2 if self.random.random() < self.double else 1
        return [self.random.uniform(0.0, self.delay) for _ in range(copies)]

    async def wait_until_open(self, source: str, target: str) -> None:
        """Waits while that direction is cut."""
        while (source, target) in self.cuts:
            await self.changed.wait()


class ProxiedLink:
    """One link through the tap."""

    def __init__(self, client, server, to: str, recorder: Recorder, network: NetworkConditions):
        """`client`, `server`: the streams to both ends. `to`: the name of the listener behind the tap."""
        self.client, self.server, self.to = client, server, to
        # a process may have several listeners, named PROCESS/LISTENER: a cut of the process applies to all
        self.process = to.partition("/")[0]
        self.recorder, self.network = recorder, network
        self.peer = ""  # process of the client, known from its hello on
        self.reader: FrameReader | None = FrameReader()
        self.splitter: FrameSplitter | None = None  # set on links between council members, from the hello on

    async def run(self) -> None:
        """Forwards both directions until one ends, then closes both streams."""
        self.link = self.recorder.opened(anyio.current_time(), self.to)
        async with anyio.create_task_group() as self.tasks:
            self.tasks.start_soon(self.forward, self.client, self.server, ">")
            self.tasks.start_soon(self.forward, self.server, self.client, "<")
        for stream in (self.client, self.server):
            await anyio.aclose_forcefully(stream)

    async def forward(self, source, target, direction: str) -> None:
        """Forwards one direction. At its end all that was read is passed on, then the whole link ends."""
        # a heap of: time at which it may be passed on, sequence number, bytes, time of arrival
        chunks: list[tuple[float, int, bytes, float]] = []
        sequence = itertools.count()
        wake, ended = anyio.Event(), False

        async def write():
            nonlocal wake
            try:
                while True:
                    while chunks:
                        if chunks[0][0] > anyio.current_time():
                            with anyio.move_on_at(chunks[0][0]):
                                await wake.wait()
                                wake = anyio.Event()
                            continue
                        ends = (self.peer, self.process) if direction == ">" else (self.process, self.peer)
                        await self.network.wait_until_open(*ends)
                        _, _, data, arrived = heapq.heappop(chunks)
                        # recorded when passed on: until then the client has not received it
                        if direction == "<":
                            now = anyio.current_time()
                            held_since = arrived if now - arrived > HELD_SECONDS else 0.0
                            self.recorder.data(now, self.link, direction, data, arrived=held_since)
                        await target.send(data)
                    if ended:
                        break
                    await wake.wait()
                    wake = anyio.Event()
            except CONNECTION_ERRORS:
                pass  # the other direction ends as well
            if direction == "<":
                self.recorder.ended(anyio.current_time(), self.link, direction)
            self.tasks.cancel_scope.cancel()

        self.tasks.start_soon(write)
        try:
            while True:
                data = await source.receive()
                now = anyio.current_time()
                pieces = self.schedule(data) if direction == ">" else [(0.0, data)]
                if direction == ">":
                    self.read_hello(data)
                    is_cut = (self.peer, self.process) in self.network.cuts
                    self.recorder.data(now, self.link, direction, data, is_cut)
                for due, piece in pieces:
                    heapq.heappush(chunks, (due, next(sequence), piece, now))
                if sum(len(piece) for _, _, piece, _ in chunks) > MAX_HELD:
                    break
                wake.set()
        except CONNECTION_ERRORS:
            pass  # treated as a normal end
        # recorded when it arrives, as data is: a cut hides it from the server, but the client has ended it
        if direction == ">":
            self.recorder.ended(anyio.current_time(), self.link, direction)
        ended = True
        wake.set()

    def schedule(self, data: bytes) -> list[tuple[float, bytes]]:
        """Cuts what arrived into pieces, each with the loop time at which it is passed on; 0: at once."""
        if self.splitter is None:
            return [(0.0, data)]
        now = anyio.current_time()
        return [
            (now + delay if delay else 0.0, frame)
            for frame in self.splitter.feed(data)
            for delay in self.network.deliveries()
        ]

    def read_hello(self, data: bytes) -> None:
        """Learns from the first frame who the client is.

        Members wait for the welcome after their hello, so no packet precedes the splitter.
        """
        if self.reader is None:
            return
        try:
            for message in self.reader.feed(data):
                if isinstance(message, pb.Hello):
                    self.peer = controller_of(message.name)
                    if message.role == pb.MEMBER and not self.reader.rest:
                        self.splitter = FrameSplitter()
                self.reader = None
                return
        except FrameError:
            self.reader = None  # the server will reject it


class FrameSplitter:
    """Cuts a byte stream into whole frames, without decoding them."""

    def __init__(self):
        """Begins at the start of a frame."""
        self.rest = b""

    def feed(self, data: bytes) -> list[bytes]:
        """Returns the frames that are complete with `data`."""
        self.rest, frames = self.rest + data, []
        while len(self.rest) >= HEADER.size and len(self.rest) >= (
            size := HEADER.size + HEADER.unpack_from(self.rest)[0]
        ):
            frames.append(self.rest[:size])
            self.rest = self.rest[size:]
        return frames


class TapNet:
    """A network that puts the tap in front of each named address. Used for clusters in one process."""

    def __init__(
        self, inner, recorder: Recorder, network: NetworkConditions, names: dict[Address, str], pipe, tasks
    ):
        """`inner`: the network below; `names`: the addresses to tap; `pipe` makes two connected streams."""
        self.inner, self.recorder, self.network, self.names = inner, recorder, network, names
        self.pipe, self.tasks = pipe, tasks

    async def connect(self, address: Address):
        """Connects to `address`, through the tap if it is named."""
        if address not in self.names:
            return await self.inner.connect(address)
        server = await self.inner.connect(address)
        client_end, client = self.pipe()
        self.tasks.start_soon(
            ProxiedLink(client, server, self.names[address], self.recorder, self.network).run
        )
        return client_end

    async def serve(
        self, address: Address, handle, *, capacity=None, task_status=anyio.TASK_STATUS_IGNORED
    ) -> None:
        """Listens at `address` on the network below."""
        await self.inner.serve(address, handle, capacity=capacity, task_status=task_status)


class TapProcess:
    """The tap as a separate process, with one listener in front of each tapped address."""

    def __init__(self, net, recorder: Recorder):
        """`net`: the network on which it listens and connects."""
        self.net, self.recorder = net, recorder
        self.network = NetworkConditions()

    async def route(self, name: str, to: Address, *, task_status=anyio.TASK_STATUS_IGNORED) -> None:
        """Listens on a free port and connects each client to `to`; reports its address to `task_status`."""

        async def handle(client):
            try:
                server = await self.net.connect(to)
            except CONNECTION_ERRORS:
                await anyio.aclose_forcefully(client)  # there is no listener at `to`: nothing is recorded
                return
            await ProxiedLink(client, server, name, self.recorder, self.network).run()

        await self.net.serve(("127.0.0.1", 0), handle, task_status=task_status)

    def control(self, order: dict) -> None:
        """Carries out a JSON order. Raises ValueError for an unknown one."""
        now = anyio.current_time()
        for name, value in order.items():
            if name == "cut":
                self.network.cut(value)
            elif name == "heal":
                self.network.heal(value)
            elif name == "mark":
                self.recorder.mark(now, *value)
            elif name in ("loss", "double", "delay"):
                setattr(self.network, name, float(value))
            elif name == "flush":
                self.recorder.flush()
            else:
                raise ValueError(f"no order {name!r}")
