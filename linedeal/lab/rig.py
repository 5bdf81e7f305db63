"""Hundreds of controllers as processes: a playground without a tap, its stand-in hosts many to a process, its load from
several processes. Started in stages; whatever was started is ended by its process, also after an interrupt.

What hosts are sent is written down by the hosts. Cuts are played by hosts and discovery, which hold what a cut controller
says and what it is told.
"""

import json
import time
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Iterable

import anyio
from hdrh.histogram import HdrHistogram

from linedeal.audit import Breach
from linedeal.lab.day import ControllerSpec, Day, HostSpec
from linedeal.lab.director import Director
from linedeal.lab.balance_metrics import Arrival, HostAt
from linedeal.lab.load import Tally
from linedeal.lab.processes import ProcessCluster
from linedeal.net import parse_address

PER_CROWD = 50  # hosts in one process
LOADS = 4  # processes that ask
AT_ONCE = 12  # controllers that start at a time
MANY = 4000  # controllers times hosts past which lists come seldom: reading them would take all cores
LIST_EVERY = 2.0  # seconds between two lists then
SETTLE = 6.0  # seconds for all to have their first list and links


class Rig(ProcessCluster):
    """`policy`: of all controllers, `linedeal` or one of the base lines."""

    def __init__(
        self, day: Day, day_file: Path, directory: Path, policy: str = "linedeal", say=lambda line: None
    ):
        super().__init__(day, directory)
        self.day_file, self.policy, self.say = day_file, policy, say
        self.period = LIST_EVERY if len(day.controllers) * len(day.hosts) > MANY else 0.25
        self.crowds: dict[str, str] = {}  # by host: the process it lives in
        self.loads: list[str] = []
        self.marks: list[tuple[float, str, str]] = []
        self.factor, self.heavy = 1.0, {}

    async def __aenter__(self):
        self.directory.mkdir(parents=True, exist_ok=True)
        self.tasks = anyio.create_task_group()
        await self.tasks.__aenter__()
        try:
            await self.run("discovery", ["discovery", "--control"])
            await ProcessCluster.order(self, "discovery", {"period": self.period})
            for number in range(0, len(self.day.hosts), PER_CROWD):
                await self.start_crowd(
                    f"crowd{number // PER_CROWD}", self.day.hosts[number : number + PER_CROWD]
                )
            await anyio.sleep(1.0)
            begun, limiter = time.monotonic(), anyio.CapacityLimiter(AT_ONCE)
            async with anyio.create_task_group() as starting:
                for spec in self.day.controllers:
                    starting.start_soon(self.in_turn, limiter, spec)
            self.say(f"{len(self.day.controllers)} controllers started in {time.monotonic() - begun:.0f} s")
            await self.start_loads()
            await anyio.sleep(SETTLE)
        except BaseException:
            await self.end()
            raise
        return self

    async def in_turn(self, limiter: anyio.CapacityLimiter, spec: ControllerSpec) -> None:
        async with limiter:
            await self.start_controller(spec)

    async def run(self, name: str, command: list[str]) -> None:
        """Without a route: nothing stands in between."""
        self.commands[name] = command
        self.ports[name] = self.routes[name] = await self.spawn(name, [*command, "--listen", "127.0.0.1:0"])

    async def start_crowd(self, name: str, hosts: tuple[HostSpec, ...]) -> None:
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
            self.crowds[spec.name] = name

    async def start_controller(self, spec: ControllerSpec) -> None:
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
        file = self.directory / "controllers.json"
        file.write_text(
            json.dumps({name: f"{place[0]}:{place[1]}" for name, place in self.controllers.items()})
        )
        for part in range(LOADS):
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
                    str(LOADS),
                    "--record",
                    str(self.directory / f"{name}.json"),
                    "--control",
                ],
            )
            self.loads.append(name)

    # -- what a day does

    async def start_host(self, spec: HostSpec, slow_start: bool) -> None:
        """A host that grows: in a process of its own."""
        await self.start_crowd(f"crowd-{spec.name}", (spec,))

    async def start(self, name: str) -> None:
        if name in self.crowds:
            await self.mark("start", name)
            await super().order(self.crowds[name], {"host": name, "do": "start"})
        else:
            await super().start(name)

    async def kill(self, name: str) -> None:
        if name in self.crowds:
            await self.mark("kill", name)
            await super().order(self.crowds[name], {"host": name, "do": "kill"})
        else:
            await super().kill(name)

    async def set_paused(self, name: str, paused: bool) -> None:
        """A host that stands still is cut off from all."""
        if name in self.crowds:
            await self.mark("stop" if paused else "continue", name)
            await super().order(
                self.crowds[name], {"host": name, "do": {"bar" if paused else "unbar": ["*"]}}
            )
        else:
            await super().set_paused(name, paused)

    async def order(self, name: str, order: dict) -> None:
        if name in self.crowds:
            order, name = {"host": name, "do": order}, self.crowds[name]
        await super().order(name, order)

    async def cut(self, pairs: Iterable[tuple[str, str]], on: bool) -> None:
        """Both ways between a controller and a host, whichever way it was said."""
        of_host: dict[str, set[str]] = {}
        for one, other in pairs:
            host, controller = (one, other) if one in self.crowds else (other, one)
            if host in self.crowds and controller not in self.crowds:
                of_host.setdefault(host, set()).add(controller)
        for host, controllers in of_host.items():
            await self.order(host, {"bar" if on else "unbar": sorted(controllers)})

    async def mark(self, what: str, who: str) -> None:
        self.marks.append((time.time(), what, who))

    # -- the load, as the director knows it

    def tell_loads(self, order: dict) -> None:
        for name in self.loads:
            self.tasks.start_soon(ProcessCluster.order, self, name, order)


class RigOwners:
    """Stands where a day has its owners: what the director changes goes to all processes that ask."""

    def __init__(self, rig: Rig):
        object.__setattr__(self, "rig", rig)

    def __setattr__(self, name: str, value) -> None:
        self.rig.tell_loads({name: value})


@dataclass(frozen=True, slots=True)
class RigDay:
    """What a day on a rig showed. Times from its first moment, seconds; `processor`: seconds a second, of all controllers;
    `memory`: MB of the largest controller."""

    samples: list[HostAt]
    arrivals: list[Arrival]
    tally: Tally
    processor: float = 0.0
    memory: float = 0.0
    processor_a_job: float = 0.0
    value: float | None = None  # served of asked, and rules broken, where the traffic was recorded
    breaches: tuple[Breach, ...] = ()


async def play_on_rig(rig: Rig) -> RigDay:
    """The day's load and orders, until all is answered."""
    from linedeal.lab.procfs import resident_memory_mb, processor_seconds

    names = list(rig.controllers)
    before, begun, at = processor_seconds(rig, names), time.time(), time.monotonic()
    rig.tell_loads({"begin": True})
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(Director(rig.day, rig, RigOwners(rig), rig.say).run)
        await anyio.sleep(rig.day.length)
        seconds, used = time.monotonic() - at, processor_seconds(rig, names) - before
        memory = max(resident_memory_mb(rig, name) for name in names)
    longest = max(offering.expiry for offering in rig.day.cluster.settings.offerings.values())
    records = [rig.directory / f"{name}.json" for name in rig.loads]
    with anyio.move_on_after(longest + 30.0):
        while not all(record.exists() for record in records):
            await anyio.sleep(0.2)
    for crowd in sorted(set(rig.crowds.values())):
        await ProcessCluster.order(rig, crowd, {"flush": True})
    await anyio.sleep(0.5)
    samples, arrivals = read_crowds(rig, begun)
    tally = added([json.loads(record.read_text()) for record in records if record.exists()])
    return RigDay(samples, arrivals, tally, used / seconds, memory, used / max(1, sum(tally.asked.values())))


def read_crowds(rig: Rig, begun: float) -> tuple[list[HostAt], list[Arrival]]:
    samples, came = [], {}
    for crowd in sorted(set(rig.crowds.values())):
        with open(rig.directory / f"{crowd}.jsonl", encoding="utf-8") as file:
            for line in file:
                if not line.endswith("\n"):
                    break  # being written
                kind, t, host, *rest = json.loads(line)
                spec = rig.host_specs[host]
                if t < begun:
                    continue  # while all were still starting
                if kind == "s":
                    samples.append(HostAt(round(t - begun, 1), host, spec.kind, spec.zone, *rest))
                else:
                    launch, service, refused = rest
                    found = came.setdefault((host, tuple(launch)), [t - begun, launch[0], service, False])
                    found[3] |= refused
    arrivals = [
        Arrival(t, host, rig.host_specs[host].kind, controller, service, refused)
        for (host, _), (t, controller, service, refused) in came.items()
    ]
    return samples, sorted(arrivals, key=lambda arrival: arrival.t)


def added(parts: list[dict]) -> Tally:
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
