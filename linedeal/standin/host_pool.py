"""Many stand-in hosts in one process: what a rig for hundreds of controllers needs. Each listens at a port of its own.

Their true load is sampled ten times a second, and every launch that comes is written down with whether it found room:
what controllers believe is not in it. Cut off and killed hosts are played here, as no tap stands between so many links.
"""

import json
import time
from dataclasses import dataclass
from pathlib import Path
from random import Random
from typing import Callable

import anyio

from linedeal.net import Address, Net
from linedeal.protocol import pb
from linedeal.settings.records import Cluster
from linedeal.standin.host import HostServer
from linedeal.standin.model import HostBehavior, HostModel, key

SAMPLE_INTERVAL = 0.1  # seconds between two samples of all hosts
NO_ROOM = (pb.NO_CORES, pb.NO_MEMORY, pb.QUEUE_FULL)


class SampledHostModel(HostModel):
    """Tells of each launch, once: as it comes, and again where it is turned away for want of room."""

    def __init__(self, noted: Callable[[str, tuple, str, bool], None], name: str, *rest):
        """`noted(host, launch, service, refused)`."""
        super().__init__(name, *rest)
        self.noted = noted

    def offered(self, now, offer) -> None:
        self.noted(self.name, key(offer.launch), offer.job.service, False)
        super().offered(now, offer)

    def refuse(self, copy, reason) -> None:
        if reason in NO_ROOM:
            self.noted(self.name, copy.id, copy.job.service, True)
        super().refuse(copy, reason)


def load_shares(model: HostModel) -> tuple[float, float]:
    """Cores asked, of those it accepts, and used, of those it has."""
    accepts = model.size.cores * model.cluster.settings.accepts_cores
    return (
        round(model.asked()[0] / accepts, 4),
        round(sum(copy.cores for copy in model.launches.values()) / model.size.cores, 4),
    )


@dataclass(frozen=True, slots=True)
class PoolHost:
    """As a day names it."""

    name: str
    kind: str
    zone: str
    cell: int
    habits: HostBehavior


class HostPool:
    """`out` takes JSON lines: samples `["s", t, host, asked, used]` as shares of what it accepts and has, launches
    `["l", t, host, launch, service, refused]`. Times are of the machine's clock, alike in all processes."""

    def __init__(self, hosts: list[PoolHost], cluster: Cluster, discovery: Address, seed: int, net: Net, out):
        self.hosts, self.cluster, self.discovery, self.seed, self.net = hosts, cluster, discovery, seed, net
        self.out = out
        self.places: dict[str, Address] = {}
        self.servers: dict[str, HostServer] = {}
        self.scopes: dict[str, anyio.CancelScope] = {}
        self.boots: dict[str, int] = {}

    async def run(self, listen: Address, *, task_status=anyio.TASK_STATUS_IGNORED) -> None:
        async with anyio.create_task_group() as self.tasks:
            for host in self.hosts:
                await self.start(host.name, young=False)
            task_status.started((listen[0], 0))
            at = anyio.current_time()
            while True:
                at += SAMPLE_INTERVAL
                await anyio.sleep_until(at)
                self.sample()

    def write(self, *row) -> None:
        self.out.write(json.dumps(row).encode() + b"\n")

    def noted(self, host: str, launch: tuple, service: str, refused: bool) -> None:
        self.write("l", round(time.time(), 3), host, launch, service, refused)

    def sample(self) -> None:
        now = round(time.time(), 3)
        for name, server in self.servers.items():
            self.write("s", now, name, *load_shares(server.model))

    async def start(self, name: str, young: bool = True) -> None:
        """Again at its old address; without its jobs."""
        host = next(host for host in self.hosts if host.name == name)
        boot = self.boots[name] = max(self.boots.get(name, 0) + 1, time.time_ns() // 1_000_000)
        model = SampledHostModel(
            self.noted,
            name,
            host.kind,
            self.cluster,
            host.habits,
            boot,
            Random(f"{self.seed} {name} {boot}"),
            anyio.current_time(),
            young,
        )
        server = self.servers[name] = HostServer(
            model, self.net, self.discovery, "itself", host.zone, host.cell
        )
        scope = self.scopes[name] = anyio.CancelScope()

        async def scoped(*, task_status):
            with scope:
                await server.run(self.places.get(name, ("127.0.0.1", 0)), task_status=task_status)

        self.places[name] = await self.tasks.start(scoped)

    async def kill(self, name: str) -> None:
        self.servers.pop(name, None)
        self.scopes[name].cancel()

    def control(self, order: dict) -> None:
        """`{"host": name, "do": "kill" or "start" or {fault: value}}`; or `{"flush": true}`."""
        if "flush" in order:
            self.out.flush()
        elif order["do"] == "kill":
            self.tasks.start_soon(self.kill, order["host"])
        elif order["do"] == "start":
            self.tasks.start_soon(self.start, order["host"])
        elif order["host"] in self.servers:
            self.servers[order["host"]].control(order["do"])


def read_hosts(path: Path) -> list[PoolHost]:
    """Raises OSError, ValueError."""
    return [
        PoolHost(row["name"], row["kind"], row["zone"], row["cell"], HostBehavior(**row["habits"]))
        for row in json.loads(path.read_text(encoding="utf-8"))
    ]
