"""Simulated discovery: hosts register with it, controllers watch its list of hosts."""

from collections import deque

import anyio

from linedeal.net import Address, Link, LinkLostError, Net, run_until_link_lost
from linedeal.protocol import FrameReader, encode, pb

UPDATE_INTERVAL = 0.25  # seconds between two versions of the list
REPORT_TIMEOUT = 2.0  # seconds without a report after which a host is listed as gone
HISTORY_LENGTH = 200  # versions within which a returning watcher is sent only the changes
HELLO_TIMEOUT = 5.0  # seconds
# seconds for which an encoded list is reused for other watchers; the ages in it are stale by up to as much
CACHE_TIME = 0.1


class Watcher:
    """The state of one controller's watch."""

    def __init__(self):
        """No watch has been received, nothing has been sent."""
        self.requested: int | None = None  # the version that the unanswered watch names as known
        self.sent = 0  # the last version sent
        self.wake, self.lost = anyio.Event(), anyio.Event()


class Discovery:
    """Keeps the list of hosts from their reports and sends it, or its changes, to watchers."""

    def __init__(self, net: Net):
        """Starts with an empty list of version 1 and no fault."""
        self.net = net
        self.hosts: dict[str, pb.HostEntry] = {}  # as listed in `version`
        self.reports: dict[str, tuple[float, pb.HostEntry]] = {}  # when last received, entry
        self.version = 1
        self.changes: deque[tuple[int, tuple[str, ...]]] = deque(maxlen=HISTORY_LENGTH)
        self.watchers: list[Watcher] = []
        self.delay, self.down, self.period = 0.0, False, UPDATE_INTERVAL
        # by known version: the version, time and encoded list last sent
        self.cache: dict[int, tuple[int, float, bytes]] = {}

    async def run(self, listen: Address, *, task_status=anyio.TASK_STATUS_IGNORED) -> None:
        """Serves until cancelled; reports the address at which it listens."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.update_list)
            task_status.started(await tasks.start(self.net.serve, listen, self.handle))

    async def update_list(self) -> None:
        """Makes a new version of the list once each period in which a host has changed."""
        while True:
            await anyio.sleep(self.period)
            now, changed = anyio.current_time(), []
            for name, (at, entry) in self.reports.items():
                if now - at > REPORT_TIMEOUT and entry.mode != pb.GONE:
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
        """Whether an entry has changed in more than its age."""
        if old is None:
            return True
        plain = [pb.HostEntry.FromString(e.SerializeToString()) for e in (entry, old)]
        for item in plain:
            item.age = 0  # grows with time: not a change worth a new version
        return plain[0] != plain[1]

    async def handle(self, stream) -> None:
        """Serves one connection of a host or a controller until it is lost."""
        link = Link(stream, FrameReader())
        try:
            with anyio.fail_after(HELLO_TIMEOUT):
                hello = await link.receive()
            if self.down or not isinstance(hello, pb.Hello):
                return
            if hello.role == pb.HOST:
                await self.receive_reports(link)
            elif hello.role == pb.CONTROLLER:
                await link.send(encode(pb.Welcome(version=1, name="discovery")))
                await self.serve_watcher(link)
        except (LinkLostError, TimeoutError):
            pass  # watchers and hosts reconnect
        finally:
            await link.close()

    async def receive_reports(self, link: Link) -> None:
        """Stores a host's reports; ignores them while down. Raises LinkLostError."""
        while True:
            message = await link.receive()
            if isinstance(message, pb.HostList) and not self.down:
                for entry in message.hosts:
                    self.reports[entry.id] = (anyio.current_time(), entry)

    async def serve_watcher(self, link: Link) -> None:
        """Serves a controller's watch. Raises LinkLostError as its link or the subscription ends."""
        watcher = Watcher()
        self.watchers.append(watcher)
        try:
            await run_until_link_lost(
                self.receive_watches(link, watcher), self.send_lists(link, watcher), self.until_lost(watcher)
            )
        finally:
            self.watchers.remove(watcher)

    async def receive_watches(self, link: Link, watcher: "Watcher") -> None:
        """Passes each watch on to `send_lists`. Raises LinkLostError."""
        while True:
            message = await link.receive()
            if not isinstance(message, pb.Watch):
                raise LinkLostError("a watcher may only send Watch")
            watcher.requested = message.known_version
            watcher.wake.set()

    async def until_lost(self, watcher: "Watcher") -> None:
        """Raises LinkLostError once an order ends the watch."""
        await watcher.lost.wait()
        raise LinkLostError("the subscription was lost")

    async def send_lists(self, link: Link, watcher: "Watcher") -> None:
        """Answers each watch, and sends every later version."""
        while True:
            if watcher.requested is None and not 0 < watcher.sent < self.version:
                await watcher.wake.wait()
                watcher.wake = anyio.Event()
                continue
            known = watcher.sent if watcher.requested is None else watcher.requested
            watcher.requested = None
            await anyio.sleep(self.delay)
            watcher.sent, data = self.encoded_list(known)
            await link.send(data)

    def encoded_list(self, known: int) -> tuple[int, bytes]:
        """The list as a frame and its version, made once for all watchers that know the same version."""
        version, at, data = self.cache.get(known, (0, 0.0, b""))
        if version != self.version or anyio.current_time() - at > CACHE_TIME:
            message = self.changes_since(known)
            if len(self.cache) > HISTORY_LENGTH:
                self.cache.clear()
            version, _, data = self.cache[known] = (
                message.version,
                anyio.current_time(),
                encode(message, compress=True),
            )
        return version, data

    def changes_since(self, known: int) -> pb.HostList:
        """What changed after that version, or the whole list where the history does not reach back to it."""
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
        """Injects faults; raises ValueError for an unknown one.

        `late`: seconds by which lists are delayed; `down`: whether it is out of service; `period`: seconds
        between versions; `lose`: ends all watches once.
        """
        for name, value in order.items():
            if name == "late":
                self.delay = float(value)
            elif name == "down":
                self.down = bool(value)
            elif name == "period":
                self.period = float(value)
            elif name != "lose":
                raise ValueError(f"unknown fault {name!r}")
            if name == "lose" or name == "down" and value:
                for watcher in self.watchers:
                    watcher.lost.set()
