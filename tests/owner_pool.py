"""Owners as the platform's page has them: a pool of connections to one controller, and full hosts.

The pool sends each set-up on a connection that has few without an answer, or on a new one, and closes a
connection on which none has been open for some seconds. It takes what concerns a job on any connection.
"""

import math
import time
from dataclasses import dataclass, field

import anyio

from linedeal.net import TcpNet
from linedeal.platform import owner_codec
from linedeal.platform.host_codec import Type
from tests.platform_fixture import Host, OwnerClient, release

IDLE_SECONDS = 4.0  # after which a connection without an open set-up is closed
CROSSING_SECONDS = 0.05  # a set-up that was sent so shortly before a close is sent again, once
OPEN_PER_CONNECTION = 4  # set-ups without an answer that one connection carries


@dataclass
class JobRecord:
    """What the owner knows of one job; times are those of the monotonic clock."""

    sent_at: float
    answers: list[tuple[float, str, int | None]] = field(default_factory=list)  # first answers, or refusals
    releases: list[float] = field(default_factory=list)  # after the answer
    lost: bool = False  # its connection ended without an answer


class PoolConnection(OwnerClient):
    """One connection of a pool. `waiting`: set-ups without an answer, with the time when each was sent."""

    def __init__(self, stream):
        super().__init__(stream)
        self.waiting: dict[str, float] = {}
        self.used_at = time.monotonic()
        self.closed_here = False


class OwnerPool:
    """All connections of one front to one controller."""

    def __init__(self, tasks, address, idle_seconds=IDLE_SECONDS):
        self.tasks, self.address, self.idle_seconds = tasks, address, idle_seconds
        self.connections: list[PoolConnection] = []
        self.jobs: dict[str, JobRecord] = {}
        self.closed_by_controller = 0
        self.open_spans: list[tuple[float, float]] = []  # in which any connection was open
        self.span_began = math.inf

    async def open(self):
        connection = PoolConnection(await TcpNet().connect(self.address))
        if not self.connections:
            self.span_began = time.monotonic()
        self.connections.append(connection)
        self.tasks.start_soon(self.read, connection)
        return connection

    async def submit(self, task, new_connection=False, **fields):
        self.jobs.setdefault(task, JobRecord(time.monotonic()))
        free = [one for one in self.connections if len(one.waiting) < OPEN_PER_CONNECTION]
        try:
            connection = free[0] if free and not new_connection else await self.open()
        except OSError:
            del self.jobs[task]  # the controller has ended, and has not taken it
            return
        connection.waiting[task] = connection.used_at = time.monotonic()
        try:
            await connection.setup(task, **fields)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            pass  # `read` sees the end of the connection

    async def read(self, connection):
        reader = owner_codec.LineReader()
        try:
            while True:
                for line in reader.feed(await connection.stream.receive()):
                    self.handle(connection, line)
        except (anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError):
            pass
        await self.forget(connection)

    def handle(self, connection, line):
        job = self.jobs.get(line.id)
        if job is None or line.type not in ("answer", "release"):
            return
        now = time.monotonic()
        if connection.waiting.pop(line.id, None) is not None:
            connection.used_at = now
            job.answers.append((now, line.type, line.cause))
        elif line.type == "release" and job.answers and job.answers[0][1] == "answer":
            job.releases.append(now)
        else:
            job.answers.append((now, line.type, line.cause))

    async def forget(self, connection):
        """Drops a connection that has ended; set-ups that crossed its end are sent again, once."""
        if connection not in self.connections:
            return
        now = time.monotonic()
        self.connections.remove(connection)
        connection.closed.set()
        if not self.connections:
            self.open_spans.append((self.span_began, now))
        if not connection.closed_here:
            self.closed_by_controller += 1
        for task, sent_at in connection.waiting.items():
            if now - sent_at <= CROSSING_SECONDS and not self.jobs[task].lost:
                self.tasks.start_soon(self.submit, task, True)
            else:
                self.jobs[task].lost = True
        await anyio.aclose_forcefully(connection.stream)

    async def close(self, connection):
        connection.closed_here = True
        await self.forget(connection)

    async def close_idle(self):
        """Closes connections as owners do, until cancelled."""
        while True:
            await anyio.sleep(0.02)
            now = time.monotonic()
            for one in list(self.connections):
                if not one.waiting and now - one.used_at > self.idle_seconds:
                    await self.close(one)

    def open_during(self, since, until):
        """Seconds of a span in which any connection was open."""
        spans = list(self.open_spans)
        if self.connections:
            spans.append((self.span_began, math.inf))
        return sum(max(0.0, min(until, end) - max(since, begin)) for begin, end in spans)


class FullHost(Host):
    """Runs a limited number of jobs, each for a random time, and refuses all others.

    It sends the end of a job on the connection of the job, failing that on any that is open, and repeats it
    on those that open next.
    """

    def __init__(self, tasks, capacity, lifetime):
        super().__init__(self.begin_job)
        self.tasks, self.capacity, self.lifetime = tasks, capacity, lifetime
        self.stream_of: dict[bytes, object] = {}
        self.ends: dict[str, float] = {}  # when the end of each job was first sent
        self.send_lock = anyio.Lock()
        self.stopped_at = math.inf

    async def handle(self, stream):
        self.tasks.start_soon(self.repeat_ends, stream)
        await super().handle(stream)

    async def begin_job(self, host, stream, frame):
        if frame.type != Type.SETUP:
            return False
        if len(self.running) >= self.capacity:
            async with self.send_lock:
                await stream.send(release(frame.task, owner_codec.REFUSED, "nc"))
            return True
        self.stream_of[frame.task] = stream
        self.tasks.start_soon(self.run_job, frame.task, self.lifetime())
        return False

    async def default_reply(self, stream, frame):
        async with self.send_lock:
            await super().default_reply(stream, frame)

    async def run_job(self, task, seconds):
        await anyio.sleep(seconds)
        if task in self.running and not self.scope.cancel_called:
            self.running.discard(task)
            await self.end_job(task)

    async def end_job(self, task):
        self.ends[task.hex()] = time.monotonic()
        mine = self.stream_of[task]
        for stream in [mine] if mine in self.streams else list(self.streams):
            await self.send_end(stream, task)

    async def repeat_ends(self, stream):
        for task, at in list(self.ends.items()):
            if time.monotonic() - at < 5.0:
                await self.send_end(stream, bytes.fromhex(task))

    async def send_end(self, stream, task):
        try:
            async with self.send_lock:
                await stream.send(release(task, owner_codec.NORMAL))
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            return

    async def vanish(self):
        """Dies: its connections are reset, and new ones are refused."""
        self.stopped_at = time.monotonic()
        await self.stop()
