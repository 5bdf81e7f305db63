"""A test rig for hundreds of controllers as processes.

There is no tap between the processes, one process runs many stand-in hosts, and several processes generate
the load. The processes are started in stages; all of them are ended when the rig is left, also after an
interrupt.

The hosts record the launches that arrive. Network partitions are simulated by the hosts and by discovery,
which hold back what they exchange with a controller that is cut off.
"""

import json
import time
from collections.abc import Callable, Iterable
from dataclasses import asdict, dataclass
from pathlib import Path

import anyio
from hdrh.histogram import HdrHistogram

from linedeal.audit import Breach
from linedeal.lab.balance_metrics import Arrival, HostSample
from linedeal.lab.day import ControllerSpec, Day, HostSpec
from linedeal.lab.director import Director
from linedeal.lab.load import Tally
from linedeal.lab.processes import ProcessCluster
from linedeal.net import parse_address

HOSTS_PER_PROCESS = 50
LOAD_PROCESSES = 4
MAX_STARTING_CONTROLLERS = 12  # that start at the same time
# Controllers times hosts. Above it, host lists are sent less often: reading them would use up all cores.
MAX_FREQUENT_LIST_ENTRIES = 4000
SLOW_LIST_INTERVAL = 2.0  # seconds between two lists in that case
CONNECT_TIME = 6.0  # seconds for all controllers to receive their first list and to connect


class Rig(ProcessCluster):
    """A cluster of many controllers and hosts, without a tap.

    Use as an async context manager; leaving it ends every process that it started.

    `policy`: of all controllers, a key of `baselines.POLICIES`.
    """

    def __init__(
        self,
        day: Day,
        day_file: Path,
        directory: Path,
        policy: str = "linedeal",
        print_line: Callable[[str], None] = lambda line: None,
    ):
        """Starts nothing yet. `print_line` is called with each line of progress."""
        super().__init__(day, directory)
        self.day_file, self.policy, self.print_line = day_file, policy, print_line
        self.period = (
            SLOW_LIST_INTERVAL if len(day.controllers) * len(day.hosts) > MAX_FREQUENT_LIST_ENTRIES else 0.25
        )
        self.host_pools: dict[str, str] = {}  # by host: the process that runs it
        self.loads: list[str] = []  # processes that generate load
        self.marks: list[tuple[float, str, str]] = []
        self.factor, self.heavy = 1.0, {}

    async def __aenter__(self):
        """Starts all processes. Raises ClusterProcessError if one does not start; then it ends them all."""
        self.directory.mkdir(parents=True, exist_ok=True)
        self.tasks = anyio.create_task_group()
        await self.tasks.__aenter__()
        try:
            await self.run("discovery", ["discovery", "--control"])
            await ProcessCluster.order(self, "discovery", {"period": self.period})
            for number in range(0, len(self.day.hosts), HOSTS_PER_PROCESS):
                await self.start_host_pool(
                    f"crowd{number // HOSTS_PER_PROCESS}",
                    self.day.hosts[number : number + HOSTS_PER_PROCESS],
                )
            await anyio.sleep(1.0)
            started_at, limiter = time.monotonic(), anyio.CapacityLimiter(MAX_STARTING_CONTROLLERS)
            async with anyio.create_task_group() as starting:
                for spec in self.day.controllers:
                    starting.start_soon(self.start_controller_limited, limiter, spec)
            self.print_line(
                f"{len(self.day.controllers)} controllers started in {time.monotonic() - started_at:.0f} s"
            )
            await self.start_loads()
            await anyio.sleep(CONNECT_TIME)
        except BaseException:
            await self.end()
            raise
        return self

    async def start_controller_limited(self, limiter: anyio.CapacityLimiter, spec: ControllerSpec) -> None:
        """Starts a controller when the limiter allows it."""
        async with limiter:
            await self.start_controller(spec)

    async def run(self, name: str, command: list[str]) -> None:
        """Starts a process that listens. Its route is its own address, as there is no tap."""
        self.commands[name] = command
        self.ports[name] = self.routes[name] = await self.spawn(name, [*command, "--listen", "127.0.0.1:0"])

    async def start_host_pool(self, name: str, hosts: tuple[HostSpec, ...]) -> None:
        """Starts a process that runs these hosts and records their load and the launches that arrive."""
        file = self.directory / f"{name}.json"
        file.write_text(json.dumps([{**asdict(spec), "habits": asdict(spec.habits)} for spec in hosts]))
        await self.spawn(
            name,
            [
                "crowd",
                "--hosts",
                str(file),
                "--cluster",
                self.cluster_path,
                "--discovery",
                self.ports["discovery"],
                "--record",
                str(self.directory / f"{name}.jsonl"),
                "--seed",
                str(self.day.seed),
                "--control",
            ],
        )
        for spec in hosts:
            self.host_specs[spec.name] = spec
            self.host_pools[spec.name] = name

    async def start_controller(self, spec: ControllerSpec) -> None:
        """Starts a controller and notes its address."""
        await self.run(
            spec.name,
            [
                "controller",
                "--name",
                spec.name,
                "--cluster",
                self.cluster_path,
                "--discovery",
                self.routes["discovery"],
                "--state",
                str(self.directory / spec.name),
                "--seed",
                str(self.day.seed),
                "--json",
                "--control",
                "--policy",
                self.policy,
            ],
        )
        self.controllers[spec.name] = parse_address(self.routes[spec.name])

    async def start_loads(self) -> None:
        """Starts the processes that generate the load. They wait for the order to begin."""
        file = self.directory / "controllers.json"
        file.write_text(
            json.dumps({name: f"{address[0]}:{address[1]}" for name, address in self.controllers.items()})
        )
        for part in range(LOAD_PROCESSES):
            name = f"load{part}"
            await self.spawn(
                name,
                [
                    "load",
                    str(self.day_file),
                    "--addresses",
                    str(file),
                    "--part",
                    str(part),
                    "--parts",
                    str(LOAD_PROCESSES),
                    "--record",
                    str(self.directory / f"{name}.json"),
                    "--control",
                ],
            )
            self.loads.append(name)

    # --- what the orders of a day do

    async def start_host(self, spec: HostSpec, slow_start: bool) -> None:
        """Adds a host during the day, in a separate process. `slow_start` is ignored."""
        await self.start_host_pool(f"crowd-{spec.name}", (spec,))

    async def start(self, name: str) -> None:
        """Starts a killed process or host again."""
        if name in self.host_pools:
            await self.mark("start", name)
            await super().order(self.host_pools[name], {"host": name, "do": "start"})
        else:
            await super().start(name)

    async def kill(self, name: str) -> None:
        """Kills a process, or a host within its process."""
        if name in self.host_pools:
            await self.mark("kill", name)
            await super().order(self.host_pools[name], {"host": name, "do": "kill"})
        else:
            await super().kill(name)

    async def set_paused(self, name: str, paused: bool) -> None:
        """Pauses or resumes a process.

        A host shares its process with others, so it is cut off from everything instead.
        """
        if name in self.host_pools:
            await self.mark("stop" if paused else "continue", name)
            await super().order(
                self.host_pools[name], {"host": name, "do": {"bar" if paused else "unbar": ["*"]}}
            )
        else:
            await super().set_paused(name, paused)

    async def order(self, name: str, order: dict) -> None:
        """Sends an order to a process, or to a host through its process."""
        if name in self.host_pools:
            order, name = {"host": name, "do": order}, self.host_pools[name]
        await super().order(name, order)

    async def cut(self, pairs: Iterable[tuple[str, str]], on: bool) -> None:
        """Cuts or restores the links between controllers and hosts, always in both directions."""
        by_host: dict[str, set[str]] = {}
        for one, other in pairs:
            host, controller = (one, other) if one in self.host_pools else (other, one)
            if host in self.host_pools and controller not in self.host_pools:
                by_host.setdefault(host, set()).add(controller)
        for host, controllers in by_host.items():
            await self.order(host, {"bar" if on else "unbar": sorted(controllers)})

    async def mark(self, what: str, who: str) -> None:
        """Notes with the current time what was done to whom."""
        self.marks.append((time.time(), what, who))

    # --- the load

    def order_loads(self, order: dict) -> None:
        """Sends an order to all processes that generate load, without waiting for it to be sent."""
        for name in self.loads:
            self.tasks.start_soon(ProcessCluster.order, self, name, order)


class RemoteLoadGenerator:
    """Takes the place of the load generator: attributes set by the director go to all load processes."""

    def __init__(self, rig: Rig):
        """Sets the only attribute that is not forwarded."""
        object.__setattr__(self, "rig", rig)

    def __setattr__(self, name: str, value) -> None:
        """Forwards the attribute."""
        self.rig.order_loads({name: value})


@dataclass(frozen=True, slots=True)
class RigResult:
    """What was measured on a day, on a rig or in memory. Times are seconds from its start."""

    samples: list[HostSample]
    arrivals: list[Arrival]
    tally: Tally
    processor: float = 0.0  # processor seconds of all controllers per second
    memory: float = 0.0  # MB, of the largest controller
    processor_a_job: float = 0.0  # processor seconds of all controllers per job
    # Only where the traffic was recorded: value earned as a share of the value requested, and broken rules.
    value: float | None = None
    breaches: tuple[Breach, ...] = ()


async def play_on_rig(rig: Rig) -> RigResult:
    """Plays the day's load and orders, and waits until all jobs are answered.

    Job results of a load process are missing if it has not finished 30 s after the longest expiry.
    """
    from linedeal.lab.procfs import processor_seconds, resident_memory_mb

    names = list(rig.controllers)
    used_before, start, monotonic_start = processor_seconds(rig, names), time.time(), time.monotonic()
    rig.order_loads({"begin": True})
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(Director(rig.day, rig, RemoteLoadGenerator(rig), rig.print_line).run)
        await anyio.sleep(rig.day.length)
        seconds, used = time.monotonic() - monotonic_start, processor_seconds(rig, names) - used_before
        memory = max(resident_memory_mb(rig, name) for name in names)
    longest_expiry = max(offering.expiry for offering in rig.day.cluster.settings.offerings.values())
    records = [rig.directory / f"{name}.json" for name in rig.loads]
    with anyio.move_on_after(longest_expiry + 30.0):
        while not all(record.exists() for record in records):
            await anyio.sleep(0.2)
    for pool in sorted(set(rig.host_pools.values())):
        await ProcessCluster.order(rig, pool, {"flush": True})
    await anyio.sleep(0.5)
    samples, arrivals = read_host_records(rig, start)
    tally = sum_tallies([json.loads(record.read_text()) for record in records if record.exists()])
    return RigResult(
        samples, arrivals, tally, used / seconds, memory, used / max(1, sum(tally.asked.values()))
    )


def read_host_records(rig: Rig, start: float) -> tuple[list[HostSample], list[Arrival]]:
    """Reads what the hosts recorded from `start` on, in seconds since the epoch.

    The arrivals are returned in order of time.
    """
    samples, arrived = [], {}
    for pool in sorted(set(rig.host_pools.values())):
        with open(rig.directory / f"{pool}.jsonl", encoding="utf-8") as file:
            for line in file:
                if not line.endswith("\n"):
                    break  # still being written
                row_type, t, host, *rest = json.loads(line)
                spec = rig.host_specs[host]
                if t < start:
                    continue  # from the time when processes were still starting
                if row_type == "s":
                    samples.append(HostSample(round(t - start, 1), host, spec.kind, spec.zone, *rest))
                else:
                    launch, service, refused = rest
                    entry = arrived.setdefault((host, tuple(launch)), [t - start, launch[0], service, False])
                    entry[3] |= refused
    arrivals = [
        Arrival(t, host, rig.host_specs[host].kind, controller, service, refused)
        for (host, _), (t, controller, service, refused) in arrived.items()
    ]
    return samples, sorted(arrivals, key=lambda arrival: arrival.t)


def sum_tallies(parts: list[dict]) -> Tally:
    """Adds up the tallies that the load processes wrote as JSON."""
    tally = Tally()
    for part in parts:
        for offering, count in part["asked"].items():
            tally.asked[offering] = tally.asked.get(offering, 0) + count
        for offering, ends in part["ends"].items():
            for end, count in ends.items():
                tally.ends.setdefault(offering, {})
                tally.ends[offering][end] = tally.ends[offering].get(end, 0) + count
        for offering, encoded in part["delays"].items():
            if offering not in tally.delays:
                tally.delays[offering] = HdrHistogram(1, 600_000, 3)
            tally.delays[offering].decode_and_add(encoded)
    return tally
