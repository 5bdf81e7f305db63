"""A seeded soak: a full fleet, crowds, bad clients, lost hosts and stalls, with the ends and answers audited.

Runs the seeds of LINEDEAL_SOAK_SEEDS, such as `1-50`; two without it.
"""

import math
import os
import signal
import time
from random import Random

import anyio
import pytest

from linedeal.net import TcpNet
from linedeal.platform import owner_codec
from tests.owner_pool import FullHost, OwnerPool
from tests.platform_fixture import OwnerClient, setup_line
from tests.test_terms import bus_entry, run_cluster, settings

pytestmark = pytest.mark.anyio

HOSTS, CAPACITY = 6, 10  # jobs that each host runs
SOCKETS = 256  # that the controller may have
LOAD_SECONDS = 16.0
QUIET_SECONDS = 3.0  # of light load at the end, in which what is owed is told
TIME_LEFT = 2.0  # seconds that owners wait for an answer
ANSWER_SECONDS = TIME_LEFT + 0.55  # until an answer counts as lost
END_SECONDS = 1.05  # from a host's release until its owner has to be told
LOSS_SECONDS = 8.05  # from the loss of a host, or if the owner has no connection open
EXPIRY_SECONDS = 3.0  # of jobs at most, as SIGKILL counts it
KILL_SECONDS = 0.7  # from SIGTERM, beyond that


def seeds():
    """The seeds to be played."""
    first, _, last = os.environ.get("LINEDEAL_SOAK_SEEDS", "1-2").partition("-")
    return range(int(first), int(last or first) + 1)


@pytest.fixture
def anyio_backend():
    return "asyncio"


class Soak:
    """One seed: what happens to one controller, and what its owners and hosts have recorded."""

    def __init__(self, seed, tasks, process, hosts):
        self.random, self.tasks, self.process, self.hosts = Random(seed), tasks, process, hosts
        self.numbers = iter(range(seed << 40 | 1, 1 << 62))
        self.pool = OwnerPool(tasks, process.address)
        self.stalls: list[tuple[float, float]] = []
        self.events: list[tuple[float, str]] = []
        self.began = time.monotonic()

    def note(self, text):
        self.events.append((round(time.monotonic() - self.began, 2), text))

    async def submit(self):
        service = f"s{self.random.randrange(6)}"
        offering = "feed" if self.random.random() < 0.1 else "web"
        left = f"{TIME_LEFT * 1000:.0f}"
        await self.pool.submit(f"{next(self.numbers):016x}", offering=offering, left=left, service=service)

    async def load(self):
        """Bursts that overload the fleet, and pauses; then a light load."""
        until = time.monotonic() + LOAD_SECONDS
        while time.monotonic() < until:
            if self.random.random() < 0.02:
                await anyio.sleep(self.random.uniform(0.2, 5.0))
            await self.submit()
            await anyio.sleep(self.random.expovariate(50))

    async def trouble(self):
        """Disrupts something every now and then."""
        kinds = [
            self.crowd,
            self.taken_back,
            self.made_up,
            self.noise,
            self.stall,
            self.lose_host,
            self.reset,
        ]
        for _ in range(8):
            await anyio.sleep(self.random.uniform(0.5, LOAD_SECONDS / 5))
            kind = self.random.choice(kinds)
            self.note(kind.__name__)
            await kind()

    async def drain(self, stream):
        try:
            while True:
                await stream.receive()
        except (anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError):
            await anyio.aclose_forcefully(stream)

    async def stranger(self):
        stream = await TcpNet().connect(self.process.address)
        self.tasks.start_soon(self.drain, stream)
        return stream

    async def crowd(self):
        for _ in range(self.random.randrange(50, 300)):
            await self.stranger()

    async def taken_back(self):
        client = OwnerClient(await self.stranger())
        tasks = [f"{next(self.numbers):016x}" for _ in range(200)]
        await client.stream.send(b"".join(setup_line(task) for task in tasks))
        await anyio.sleep(self.random.uniform(0.0, 0.5))
        for task in tasks:
            await client.send("release", task, cause=owner_codec.NORMAL)

    async def made_up(self):
        client = OwnerClient(await self.stranger())
        for _ in range(3):
            await client.setup(f"{next(self.numbers):016x}", at=f"h{self.random.randrange(HOSTS)}")

    async def noise(self):
        stream = await self.stranger()
        await stream.send(b'{"type":"setup","id":"0000000000000009","fields":{"class":"none"}}\n{"type":"se')

    async def stall(self):
        began = time.monotonic()
        self.process.child.send_signal(signal.SIGSTOP)
        await anyio.sleep(self.random.uniform(0.1, 1.0))
        self.process.child.send_signal(signal.SIGCONT)
        self.stalls.append((began, time.monotonic()))

    async def lose_host(self):
        alive = [host for host in self.hosts.values() if host.stopped_at == math.inf]
        if len(alive) > HOSTS // 2:
            await self.random.choice(alive).vanish()

    async def reset(self):
        host = self.random.choice(list(self.hosts.values()))
        for stream in list(host.streams):
            await anyio.aclose_forcefully(stream)

    async def shut_down(self):
        """Ends the controller while owners go on; whether it ends before the earliest kill."""
        self.note("SIGTERM")
        self.process.child.send_signal(signal.SIGTERM)
        kill_at = time.monotonic() + EXPIRY_SECONDS + KILL_SECONDS
        while not self.process.ended.is_set() and time.monotonic() < kill_at:
            if self.pool.connections:  # none is opened any more
                await self.submit()
            await anyio.sleep(0.02)
        await anyio.sleep(0.2)  # until what crossed its end is known
        return self.process.ended.is_set()

    def stalled_during(self, since, until):
        """Seconds of a span in which the controller was stopped."""
        return sum(max(0.0, min(until, end) - max(since, begin)) for begin, end in self.stalls)

    def answer_breaches(self):
        """Set-ups without an answer, with several, or with a late one."""
        for task, job in self.pool.jobs.items():
            if job.lost or not job.answers:
                yield f"{task} has no answer, sent at {job.sent_at - self.began:.2f}"
            elif len(job.answers) > 1:
                yield f"{task} has {len(job.answers)} answers: {job.answers}"
            else:
                waited = job.answers[0][0] - job.sent_at
                if waited > ANSWER_SECONDS + self.stalled_during(job.sent_at, job.answers[0][0]):
                    yield f"{task} was answered after {waited:.2f} s"

    def end_breaches(self):
        """Jobs of whose end the owner was not told in time."""
        now = time.monotonic()
        lost_at = {
            task.hex(): host.stopped_at
            for host in self.hosts.values()
            if host.stopped_at < math.inf
            for task in host.running
        }
        ended_at = {task: at for host in self.hosts.values() for task, at in host.ends.items()}
        for task, at in (lost_at | ended_at).items():
            job = self.pool.jobs.get(task)
            if job is None or not job.answers or job.answers[0][1] != "answer":
                continue
            told_at = job.releases[0] if job.releases else now
            open_for = self.pool.open_during(at, told_at) - self.stalled_during(at, told_at)
            bound = LOSS_SECONDS if task in lost_at else END_SECONDS
            if open_for > bound or task in ended_at and told_at - at > LOSS_SECONDS + open_for:
                said = "was told" if job.releases else "was not told"
                yield (
                    f"{task} ended at {at - self.began:.2f} and {said} within {told_at - at:.2f} s, "
                    f"{open_for:.2f} s of them with a connection open"
                )


@pytest.mark.parametrize("seed", seeds())
async def test_owners_of_a_full_fleet_are_answered_and_told_in_trouble(tmp_path, seed):
    random = Random(-seed)
    async with anyio.create_task_group() as jobs:
        hosts = {f"h{n}": FullHost(jobs, CAPACITY, lambda: random.uniform(1.0, 8.0)) for n in range(HOSTS)}
        async with run_cluster(tmp_path, hosts) as (bus, processes, tasks):
            bus.publish(*(bus_entry(name, host) for name, host in hosts.items()), full=True)
            process = await processes.start("n0", bus.address, bus.known(), settings(1), sockets=SOCKETS)
            await process.ready.wait()
            soak = Soak(seed, tasks, process, hosts)
            tasks.start_soon(soak.pool.close_idle)
            async with anyio.create_task_group() as play:
                play.start_soon(soak.load)
                play.start_soon(soak.trouble)
            for _ in range(int(QUIET_SECONDS * 10)):
                await soak.submit()
                await anyio.sleep(0.1)
            await anyio.sleep(TIME_LEFT + 0.6)
            breaches = [*soak.answer_breaches(), *soak.end_breaches()]
            has_ended = await soak.shut_down()
            breaches += soak.answer_breaches()
            print(*soak.events, *breaches, *process.log, sep="\n")  # shown if it fails
            assert not breaches and not process.logged("fault")
            assert has_ended, "it did not end before the earliest kill"
        jobs.cancel_scope.cancel()
