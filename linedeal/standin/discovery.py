"""A stand-in for discovery: hosts tell it of themselves, controllers watch it."""

from collections import deque

import anyio

from linedeal.net import Address, Link, LinkLostError, Net, run_until_link_lost
from linedeal.protocol import FrameReader, encode, pb

PERIOD = 0.25  # seconds between two versions of the list
SILENT = 2.0  # seconds without a line after which a host is listed as gone
HISTORY = 200  # versions within which a watcher that returns is sent only what changed
HELLO = 5.0
FRESH = 0.1  # seconds for which one frame serves all: ages in it are late by as much


class Watcher:
    def __init__(self):
        self.asked: int | None = None  # the version that a watch not yet answered told
        self.sent = 0
        self.wake, self.lost = anyio.Event(), anyio.Event()


class Discovery:
    def __init__(self, net: Net):
        self.net = net
        self.hosts: dict[str, pb.HostEntry] = {}
        self.reports: dict[str, tuple[float, pb.HostEntry]] = {}
        self.version = 1
        self.changes: deque[tuple[int, tuple[str, ...]]] = deque(maxlen=HISTORY)
        self.watchers: list[Watcher] = []
        self.late, self.down, self.period = 0.0, False, PERIOD
        self.packed: dict[
            int, tuple[int, float, bytes]
        ] = {}  # by known version: what was last sent, and when

    async def run(self, listen: Address, *, task_status=anyio.TASK_STATUS_IGNORED) -> None:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.keep)
            task_status.started(await tasks.start(self.net.serve, listen, self.handle))

    async def keep(self) -> None:
        while True:
            await anyio.sleep(self.period)
            now, changed = anyio.current_time(), []
            for name, (at, entry) in self.reports.items():
                if now - at > SILENT and entry.mode != pb.GONE:
                    entry.mode = pb.GONE
                if entry != self.hosts.get(name):
                    if self.differs(entry, self.hosts.get(name)):
                        changed.append(name)
                        self.hosts[name] = pb.HostEntry.FromString(entry.SerializeToString())
            if changed:
                self.version += 1
                self.changes.append((self.version, tuple(changed)))
                for watcher in self.watchers:
                    watcher.wake.set()

    def differs(self, entry, old) -> bool:
        if old is None:
            return True
        plain = [pb.HostEntry.FromString(e.SerializeToString()) for e in (entry, old)]
        for item in plain:
            item.age = 0  # it grows by itself; no line is worth that
        return plain[0] != plain[1]

    async def handle(self, stream) -> None:
        link = Link(stream, FrameReader())
        try:
            with anyio.fail_after(HELLO):
                hello = await link.receive()
            if self.down or not isinstance(hello, pb.Hello):
                return
            if hello.role == pb.HOST:
                await self.hear(link)
            elif hello.role == pb.CONTROLLER:
                await link.send(encode(pb.Welcome(version=1, name="discovery")))
                await self.watched(link)
        except (LinkLostError, TimeoutError):
            pass  # watchers and hosts come back by themselves
        finally:
            await link.close()

    async def hear(self, link: Link) -> None:
        while True:
            message = await link.receive()
            if isinstance(message, pb.HostList) and not self.down:
                for entry in message.hosts:
                    self.reports[entry.id] = (anyio.current_time(), entry)

    async def watched(self, link: Link) -> None:
        watcher = Watcher()
        self.watchers.append(watcher)
        try:
            await run_until_link_lost(
                self.asked(link, watcher), self.follow(link, watcher), self.until_lost(watcher)
            )
        finally:
            self.watchers.remove(watcher)

    async def asked(self, link: Link, watcher: "Watcher") -> None:
        while True:
            message = await link.receive()
            if not isinstance(message, pb.Watch):
                raise LinkLostError("not a watch")
            watcher.asked = message.known_version
            watcher.wake.set()

    async def until_lost(self, watcher: "Watcher") -> None:
        await watcher.lost.wait()
        raise LinkLostError("the subscription was lost")

    async def follow(self, link: Link, watcher: "Watcher") -> None:
        while True:
            if watcher.asked is None and not 0 < watcher.sent < self.version:
                await watcher.wake.wait()
                watcher.wake = anyio.Event()
                continue
            known = watcher.sent if watcher.asked is None else watcher.asked
            watcher.asked = None
            await anyio.sleep(self.late)
            watcher.sent, data = self.ready(known)
            await link.send(data)

    def ready(self, known: int) -> tuple[int, bytes]:
        """The list as a frame, and its version: made once for all watchers that know the same."""
        version, at, data = self.packed.get(known, (0, 0.0, b""))
        if version != self.version or anyio.current_time() - at > FRESH:
            message = self.since(known)
            if len(self.packed) > HISTORY:
                self.packed.clear()
            version, _, data = self.packed[known] = (
                message.version,
                anyio.current_time(),
                encode(message, compress=True),
            )
        return version, data

    def since(self, known: int) -> pb.HostList:
        """What changed after that version, or the whole list where that is too long ago."""
        now = anyio.current_time()
        oldest = self.changes[0][0] if self.changes else self.version + 1
        whole = not known or known < oldest - 1 or known > self.version
        if whole:
            names = list(self.hosts)
        else:
            names = list(
                dict.fromkeys(n for version, changed in self.changes if version > known for n in changed)
            )
        entries = []
        for name in names:
            entry = pb.HostEntry.FromString(self.hosts[name].SerializeToString())
            entry.age += now - self.reports[name][0]
            entries.append(entry)
        return pb.HostList(version=self.version, whole=whole, hosts=entries, since=0 if whole else known)

    def control(self, order: dict) -> None:
        """`late`: seconds; `down`: whether; `lose`: ends all watches once."""
        for name, value in order.items():
            if name == "late":
                self.late = float(value)
            elif name == "down":
                self.down = bool(value)
            elif name == "period":
                self.period = float(value)
            elif name != "lose":
                raise ValueError(f"no fault {name!r}")
            if name == "lose" or name == "down" and value:
                for watcher in self.watchers:
                    watcher.lost.set()
