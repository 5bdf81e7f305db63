"""The tap: stands between both sides of each link, records what passes, and cuts what the day says is cut.

Packets between the council's members may besides be lost, come twice, late and out of order: the members' links promise
no more than that. All other links are streams: what passes is passed in order or not at all.
"""

import heapq
import itertools
from random import Random

import anyio

from linedeal.lab.record import Recorder
from linedeal.net import Address
from linedeal.net.base import CONNECTION_ERRORS
from linedeal.protocol import FrameError, FrameReader, pb
from linedeal.protocol.frames import HEADER

HELD_MOST = 4 << 20  # bytes that one direction of a cut link keeps; past that the link ends


class Weather:
    """Which directions between which names are cut now. What is cut is kept, and goes on when it ends, as with
    packets that are sent again."""

    def __init__(self, seed: int = 1):
        self.cuts: set[tuple[str, str]] = set()  # (from, to)
        self.changed = anyio.Event()
        self.loss = self.double = self.delay = 0.0  # of the council's packets: shares, and seconds at most
        self.random = Random(seed)

    def cut(self, pairs) -> None:
        self.cuts |= {tuple(pair) for pair in pairs}

    def heal(self, pairs) -> None:
        self.cuts -= {tuple(pair) for pair in pairs}
        self.changed.set()
        self.changed = anyio.Event()

    def fates(self) -> list[float]:
        """Of one packet: when each copy of it goes on, seconds from now; none: it is lost."""
        if self.random.random() < self.loss:
            return []
        copies = 2 if self.random.random() < self.double else 1
        return [self.random.uniform(0.0, self.delay) for _ in range(copies)]

    async def clear(self, source: str, target: str) -> None:
        while (source, target) in self.cuts:
            await self.changed.wait()


class Relay:
    """One link through the tap."""

    def __init__(self, near, far, to: str, recorder: Recorder, weather: Weather):
        self.near, self.far, self.to = near, far, to
        self.place = to.partition("/")[0]  # one process may listen at several: what cuts it cuts all
        self.recorder, self.weather = recorder, weather
        self.peer = ""  # who connected, once its hello has told
        self.reader: FrameReader | None = FrameReader()
        self.packets: FrameSplitter | None = None  # of a link between two members, once its hello has told

    async def run(self) -> None:
        self.link = self.recorder.opened(anyio.current_time(), self.to)
        async with anyio.create_task_group() as self.tasks:
            self.tasks.start_soon(self.pass_on, self.near, self.far, ">")
            self.tasks.start_soon(self.pass_on, self.far, self.near, "<")
        for stream in (self.near, self.far):
            await anyio.aclose_forcefully(stream)

    async def pass_on(self, source, target, direction: str) -> None:
        """One direction; when it ends, what was read has been passed on, and then the link ends as a whole."""
        chunks: list[tuple[float, int, bytes]] = []  # when it may go on, its place, what: a heap
        numbers = itertools.count()
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
                        ends = (self.peer, self.place) if direction == ">" else (self.place, self.peer)
                        await self.weather.clear(*ends)
                        _, _, data = heapq.heappop(chunks)
                        if direction == "<":  # counted when it gets through: before, nobody was told
                            self.recorder.data(anyio.current_time(), self.link, direction, data)
                        await target.send(data)
                    if ended:
                        break
                    await wake.wait()
                    wake = anyio.Event()
            except CONNECTION_ERRORS:
                pass  # the other direction's end says the same
            if direction == "<":
                self.recorder.ended(anyio.current_time(), self.link, direction)
            self.tasks.cancel_scope.cancel()

        self.tasks.start_soon(write)
        try:
            while True:
                data = await source.receive()
                pieces = self.fated(data) if direction == ">" else [(0.0, data)]
                if direction == ">":
                    self.listen(data)
                    self.recorder.data(
                        anyio.current_time(),
                        self.link,
                        direction,
                        data,
                        (self.peer, self.place) in self.weather.cuts,
                    )
                for due, piece in pieces:
                    heapq.heappush(chunks, (due, next(numbers), piece))
                if sum(len(piece) for _, _, piece in chunks) > HELD_MOST:
                    break
                wake.set()
        except CONNECTION_ERRORS:
            pass  # an end like another
        if (
            direction == ">"
        ):  # noted as it comes, like data: a cut keeps it from the other side, not from being true
            self.recorder.ended(anyio.current_time(), self.link, direction)
        ended = True
        wake.set()

    def fated(self, data: bytes) -> list[tuple[float, bytes]]:
        """What arrived, in pieces with the moment at which each goes on."""
        if self.packets is None:
            return [(0.0, data)]
        now = anyio.current_time()
        return [
            (now + wait if wait else 0.0, frame)
            for frame in self.packets.feed(data)
            for wait in self.weather.fates()
        ]

    def listen(self, data: bytes) -> None:
        """Learns from the first frame who it is. Members say hello and wait for their welcome, so nothing follows it."""
        if self.reader is None:
            return
        try:
            for message in self.reader.feed(data):
                if isinstance(message, pb.Hello):
                    self.peer = message.name
                    if message.role == pb.MEMBER and not self.reader.rest:
                        self.packets = FrameSplitter()
                self.reader = None
                return
        except FrameError:
            self.reader = None  # whoever it is will be told so by the other side


class FrameSplitter:
    """Cuts a stream into whole frames, as bytes."""

    def __init__(self):
        self.rest = b""

    def feed(self, data: bytes) -> list[bytes]:
        self.rest, found = self.rest + data, []
        while len(self.rest) >= HEADER.size and len(self.rest) >= (
            size := HEADER.size + HEADER.unpack_from(self.rest)[0]
        ):
            found.append(self.rest[:size])
            self.rest = self.rest[size:]
        return found


class TapNet:
    """A net whose every link to a named place passes the tap."""

    def __init__(self, inner, recorder: Recorder, weather: Weather, names: dict[Address, str], pipe, tasks):
        self.inner, self.recorder, self.weather, self.names = inner, recorder, weather, names
        self.pipe, self.tasks = pipe, tasks

    async def connect(self, address: Address):
        if address not in self.names:
            return await self.inner.connect(address)
        far = await self.inner.connect(address)
        mine, near = self.pipe()
        self.tasks.start_soon(Relay(near, far, self.names[address], self.recorder, self.weather).run)
        return mine

    async def serve(
        self, address: Address, handle, *, capacity=None, task_status=anyio.TASK_STATUS_IGNORED
    ) -> None:
        await self.inner.serve(address, handle, capacity=capacity, task_status=task_status)


class TapProcess:
    """The tap as a process of its own: one listener for each place, in front of it."""

    def __init__(self, net, recorder: Recorder):
        self.net, self.recorder = net, recorder
        self.weather = Weather()

    async def route(self, name: str, to: Address, *, task_status=anyio.TASK_STATUS_IGNORED) -> None:
        async def handle(near):
            try:
                far = await self.net.connect(to)
            except CONNECTION_ERRORS:
                await anyio.aclose_forcefully(near)  # nothing listens behind: nothing was passed on
                return
            await Relay(near, far, name, self.recorder, self.weather).run()

        await self.net.serve(("127.0.0.1", 0), handle, task_status=task_status)

    def control(self, order: dict) -> None:
        now = anyio.current_time()
        for name, value in order.items():
            if name == "cut":
                self.weather.cut(value)
            elif name == "heal":
                self.weather.heal(value)
            elif name == "mark":
                self.recorder.mark(now, *value)
            elif name in ("loss", "double", "delay"):
                setattr(self.weather, name, float(value))
            elif name == "flush":
                self.recorder.flush()
            else:
                raise ValueError(f"no order {name!r}")
