"""Several controllers as processes over the same hosts: one is cold, one hangs, one is replaced, some drain.

The audit at the end takes what owners and hosts have sent and received, and checks the rules that each
controller keeps alone.
"""

import math
import time
from collections import Counter
from random import Random

import anyio
import pytest

from linedeal.net import TcpNet
from linedeal.platform.host_codec import Code, Type
from tests.platform_fixture import Host, OwnerClient, release
from tests.test_terms import SLOW_START_SECONDS, bus_entry, max_in_window, run_cluster, settings

pytestmark = pytest.mark.anyio

CONTROLLERS, HOSTS, OWNERS_EACH = 3, 6, 2
JOBS_PER_SECOND = 20  # of each owner
CORES = 2.0  # of each job
LOAD_SECONDS = 9.0
TIME_LEFT = 3.0  # seconds that owners wait for an answer
ANSWER_MARGIN = 0.1  # seconds beyond it until the answer has to have arrived
END_SECONDS = 1.0  # from a host's release until its owner has to be told
LOSS_SECONDS = 8.0  # from the loss of a host
YOUNG_LIMIT, YOUNG_SPAN = 4, 0.6  # launches to a cold host in that many seconds
IRREVERSIBLE_SHARE = 0.3
DRAIN_GRACE = 0.5  # seconds from the list that names a draining host
REPEAT_SECONDS = 5.0  # for which a host repeats an end on connections that open


@pytest.fixture
def anyio_backend():
    return "asyncio"


class FleetHost(Host):
    """Runs jobs for a second or so, and can hang.

    It sends the end of a job on the connection of the job, failing that on all that are open, and on those
    that open next as well, since one that opens may be another controller's.
    """

    def __init__(self, tasks, random):
        super().__init__(self.begin_job)
        self.tasks, self.random = tasks, random
        self.goes_on = anyio.Event()
        self.goes_on.set()
        self.setups: list[tuple[float, str, str]] = []  # time, task, offering
        self.told_at: dict[str, float] = {}  # when the end of each job was sent
        self.stopped_at = math.inf
        self.stream_of: dict[bytes, object] = {}
        self.ends: list[tuple[float, bytes]] = []  # of jobs, with the time
        self.send_lock = anyio.Lock()

    async def handle(self, stream):
        await self.goes_on.wait()
        self.tasks.start_soon(self.repeat_ends, stream)
        await super().handle(stream)

    async def begin_job(self, host, stream, frame):
        await self.goes_on.wait()
        if frame.type == Type.SETUP:
            self.setups.append((time.monotonic(), frame.task.hex(), frame.text(Code.OFFERING)))
            self.stream_of[frame.task] = stream
            self.tasks.start_soon(self.run_job, frame.task, self.random.uniform(0.3, 1.8))
        return False

    async def default_reply(self, stream, frame):
        async with self.send_lock:
            await super().default_reply(stream, frame)

    async def run_job(self, task, seconds):
        await anyio.sleep(seconds)
        await self.goes_on.wait()
        if task in self.running and not self.scope.cancel_called:
            self.running.discard(task)
            self.ends.append((time.monotonic(), task))
            mine = self.stream_of[task]
            for stream in [mine] if mine in self.streams else list(self.streams):
                await self.send_end(stream, task)

    async def repeat_ends(self, stream):
        since = time.monotonic() - REPEAT_SECONDS
        for at, task in self.ends:
            if at > since:
                await self.send_end(stream, task)

    async def send_end(self, stream, task):
        try:
            async with self.send_lock:
                await stream.send(release(task, 16))
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            return
        self.told_at.setdefault(task.hex(), time.monotonic())

    async def hang(self, seconds):
        self.goes_on = anyio.Event()
        await anyio.sleep(seconds)
        self.goes_on.set()

    async def vanish(self):
        self.stopped_at = time.monotonic()
        await self.stop()


class TimedOwner(OwnerClient):
    """An owner that knows when it sent each set-up and when each line arrived."""

    def __init__(self, stream):
        super().__init__(stream)
        self.sent_at: dict[str, float] = {}
        self.arrived_at: list[float] = []

    async def read(self):
        self.received = TimedList(self.arrived_at)
        await super().read()

    async def submit(self, numbers, random, seconds):
        ends_at = time.monotonic() + seconds
        while time.monotonic() < ends_at:
            task = f"{next(numbers):016x}"
            offering = "feed" if random.random() < IRREVERSIBLE_SHARE else "web"
            service = f"s{random.randrange(6)}"
            self.sent_at[task] = time.monotonic()
            await self.setup(task, offering, left=f"{TIME_LEFT * 1000:.0f}", service=service, cores=CORES)
            await anyio.sleep(random.uniform(0, 2 / JOBS_PER_SECOND))

    def lines(self):
        """The lines about each task, as (time, type) in order."""
        found = {task: [] for task in self.sent_at}
        for at, (kind, task, *_) in zip(self.arrived_at, self.received, strict=True):
            found[task].append((at, kind))
        return found

    def has_open_tasks(self):
        return any(not lines or lines[-1][1] != "release" for lines in self.lines().values())


class TimedList(list):
    """A list that notes when each item was appended."""

    def __init__(self, times):
        super().__init__()
        self.times = times

    def append(self, item):
        super().append(item)
        self.times.append(time.monotonic())


async def test_controllers_keep_their_rules_beside_a_cold_a_hung_and_a_replaced_host(tmp_path):
    random, numbers = Random(11), iter(range(1, 1 << 30))
    setup = settings(
        CONTROLLERS,
        young_limit=float(YOUNG_LIMIT),
        overload_for_ms=YOUNG_SPAN * 1000,
        cold_ms=SLOW_START_SECONDS * 1000,
    )
    async with anyio.create_task_group() as jobs:
        hosts = {f"h{n}": FleetHost(jobs, random) for n in range(HOSTS)}
        cold = FleetHost(jobs, random)
        async with run_cluster(tmp_path, hosts | {"cold": cold}) as (bus, processes, tasks):
            bus.publish(*(bus_entry(name, host) for name, host in hosts.items()), full=True)
            owners = []
            for n in range(CONTROLLERS):
                process = await processes.start(f"n{n}", bus.address, bus.known(), setup)
                await process.ready.wait()
                for _ in range(OWNERS_EACH):
                    owners.append(TimedOwner(await TcpNet().connect(process.address)))
                    tasks.start_soon(owners[-1].read)
            for owner in owners:
                tasks.start_soon(owner.submit, numbers, random, LOAD_SECONDS)
            await anyio.sleep(2.0)
            tasks.start_soon(hosts["h0"].hang, 4.0)
            await anyio.sleep(1.0)
            cold_since = time.monotonic()
            drained = {name: hosts[name] for name in ("h2", "h3", "h4")}  # so that the cold host is needed
            bus.publish(
                *(bus_entry(name, host, "DRAINING") for name, host in drained.items()),
                bus_entry("cold", cold, started=int(time.time() * 1000)),
            )
            await anyio.sleep(1.0)
            successor = await replace_host(hosts["h1"], jobs, tasks, random)
            await anyio.sleep(1.0)
            check_drained(drained.values(), cold_since + DRAIN_GRACE, time.monotonic())
            bus.publish(*(bus_entry(name, host) for name, host in drained.items()))
            await anyio.sleep(1.0)
            started = int((time.time() - 2.0) * 1000)
            bus.publish(bus_entry("h1", successor, "DELETED"), bus_entry("h1b", successor, started=started))
            with anyio.move_on_after(LOAD_SECONDS + LOSS_SECONDS):
                await anyio.sleep(LOAD_SECONDS - 6.0)
                while any(owner.has_open_tasks() for owner in owners):
                    await anyio.sleep(0.1)
            faults = [line for process in processes.all for line in process.logged("fault")]
            assert not faults, faults
            assert not any(owner.closed.is_set() for owner in owners)
        jobs.cancel_scope.cancel()
    everywhere = [*hosts.values(), cold, successor]
    check_answers(owners, everywhere)
    check_ends(owners, everywhere)
    check_irreversible(everywhere)
    times = [at for at, *_ in cold.setups if at < cold_since + SLOW_START_SECONDS]
    assert times, "the cold host was not used"
    assert max_in_window(times, YOUNG_SPAN) <= YOUNG_LIMIT + 2 * math.sqrt(YOUNG_LIMIT) + 2


async def replace_host(host, jobs, tasks, random):
    """Has a host vanish, and another come up at its address."""
    await host.vanish()
    successor = FleetHost(jobs, random)
    successor.port = host.port
    await anyio.sleep(0.3)
    await tasks.start(successor.run)
    return successor


def check_answers(owners, hosts):
    """Each set-up has one answer or refusal in time; a release is the last that is said of a task."""
    for owner in owners:
        assert len(owner.sent_at) > JOBS_PER_SECOND
        for task, lines in owner.lines().items():
            kinds = [kind for _, kind in lines]
            assert kinds in (["answer", "release"], ["release"]), f"{task}: {kinds}, {history(task, hosts)}"
            waited = lines[0][0] - owner.sent_at[task]
            assert waited <= TIME_LEFT + ANSWER_MARGIN, f"{task} was answered after {waited:.2f} s"


def check_drained(hosts, since, until):
    """Nothing is launched to a host that drains, past the grace."""
    late = [task for host in hosts for at, task, _ in host.setups if since <= at < until]
    assert not late, late


def history(task, hosts):
    """What hosts know of a task."""
    return [
        {
            "launched at": [at for at, launched, _ in host.setups if launched == task],
            "end sent at": host.told_at.get(task),
            "runs": bytes.fromhex(task) in host.running,
            "host vanished at": host.stopped_at,
        }
        for host in hosts
        if any(launched == task for _, launched, _ in host.setups)
    ]


def check_ends(owners, hosts):
    """The owner of a job that ran at one host only is told of its end in time."""
    launched = Counter(task for host in hosts for _, task, _ in host.setups)
    ended = {task: at + END_SECONDS for host in hosts for task, at in host.told_at.items()}
    lost = {
        task.hex(): host.stopped_at + LOSS_SECONDS
        for host in hosts
        for task in host.running
        if host.stopped_at < math.inf
    }
    checked = 0
    for owner in owners:
        for task, lines in owner.lines().items():
            deadline = (lost | ended).get(task)
            if launched[task] == 1 and deadline and lines[0][1] == "answer":
                checked += 1
                assert lines[-1][0] <= deadline, f"{task}: {lines[-1][0] - deadline:.2f} s late"
    assert checked > len(owners) * JOBS_PER_SECOND and lost


def check_irreversible(hosts):
    """No irreversible job is launched twice: no host refuses any, so each launch may have run."""
    launched = Counter(task for host in hosts for _, task, offering in host.setups if offering == "feed")
    assert launched and max(launched.values()) == 1, launched.most_common(3)
