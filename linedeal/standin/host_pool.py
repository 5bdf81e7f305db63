"""Many simulated hosts in one process, each listening on its own port: for rigs of hundreds of controllers.

Samples the hosts' true load ten times a second and records every launch that arrives and whether it found
free capacity, independent of what controllers assume. Partitions and kills of hosts are simulated here, as no
recording proxy is placed between so many links.
"""

import json
import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from random import Random

import anyio

from linedeal.net import Address, Net
from linedeal.protocol import pb
from linedeal.settings.records import Cluster
from linedeal.standin.host import HostServer
from linedeal.standin.model import HostBehavior, HostModel, launch_key

SAMPLE_INTERVAL = 0.1  # seconds between two samples of all hosts
CAPACITY_REFUSALS = (pb.NO_CORES, pb.NO_MEMORY, pb.QUEUE_FULL)


class SampledHostModel(HostModel):
    """Reports each launch on arrival, and once more where it is refused for lack of capacity."""

    def __init__(self, on_launch: Callable[[str, tuple, str, bool], None], name: str, *rest):
        """`on_launch(host, launch, service, refused)`; `rest` as of `HostModel`."""
        super().__init__(name, *rest)
        self.on_launch = on_launch

    def receive_offer(self, now, offer) -> None:
        """Reports the launch, then handles the offer."""
        self.on_launch(self.name, launch_key(offer.launch), offer.job.service, False)
        super().receive_offer(now, offer)

    def refuse(self, launch, reason) -> None:
        """Reports a refusal for lack of capacity, then refuses."""
        if reason in CAPACITY_REFUSALS:
            self.on_launch(self.name, launch.id, launch.job.service, True)
        super().refuse(launch, reason)


def load_shares(model: HostModel) -> tuple[float, float]:
    """Requested cores as a share of those that the host accepts, and cores in use as a share of its size."""
    accepts = model.size.cores * model.cluster.settings.accepts_cores
    return (
        round(model.requested()[0] / accepts, 4),
        round(sum(launch.cores for launch in model.launches.values()) / model.size.cores, 4),
    )


@dataclass(frozen=True, slots=True)
class PoolHost:
    """A host as a day file describes it."""

    name: str
    kind: str
    zone: str
    cell: int
    behavior: HostBehavior


class HostPool:
    """Runs the hosts and writes JSON lines to `out`.

    Samples are `["s", t, host, requested, used]`, as shares of what the host accepts and has; launches are
    `["l", t, host, launch, service, refused]`. Times are seconds of the machine's clock, the same in all
    processes.
    """

    def __init__(self, hosts: list[PoolHost], cluster: Cluster, discovery: Address, seed: int, net: Net, out):
        """`out`: a binary file, left open. Hosts with equal names, boots and seeds behave alike."""
        self.hosts, self.cluster, self.discovery, self.seed, self.net = hosts, cluster, discovery, seed, net
        self.out = out
        self.addresses: dict[str, Address] = {}
        self.servers: dict[str, HostServer] = {}
        self.scopes: dict[str, anyio.CancelScope] = {}
        self.boots: dict[str, int] = {}

    async def run(self, listen: Address, *, task_status=anyio.TASK_STATUS_IGNORED) -> None:
        """Starts all hosts and samples them until cancelled.

        Reports port 0, as the pool itself does not listen.
        """
        async with anyio.create_task_group() as self.tasks:
            for host in self.hosts:
                await self.start(host.name, slow_start=False)
            task_status.started((listen[0], 0))
            at = anyio.current_time()
            while True:
                at += SAMPLE_INTERVAL
                await anyio.sleep_until(at)
                self.sample()

    def write(self, *row) -> None:
        """Writes one JSON line; buffered by `out`."""
        self.out.write(json.dumps(row).encode() + b"\n")

    def record_launch(self, host: str, launch: tuple, service: str, refused: bool) -> None:
        """Writes the line of a launch that arrived or was refused for lack of capacity."""
        self.write("l", round(time.time(), 3), host, launch, service, refused)

    def sample(self) -> None:
        """Writes one line for each host that is up."""
        now = round(time.time(), 3)
        for name, server in self.servers.items():
            self.write("s", now, name, *load_shares(server.model))

    async def start(self, name: str, slow_start: bool = True) -> None:
        """Starts a host without jobs; at its former address where it ran before."""
        host = next(host for host in self.hosts if host.name == name)
        boot = self.boots[name] = max(self.boots.get(name, 0) + 1, time.time_ns() // 1_000_000)
        model = SampledHostModel(
            self.record_launch,
            name,
            host.kind,
            self.cluster,
            host.behavior,
            boot,
            Random(f"{self.seed} {name} {boot}"),
            anyio.current_time(),
            slow_start,
        )
        server = self.servers[name] = HostServer(
            model, self.net, self.discovery, "itself", host.zone, host.cell
        )
        scope = self.scopes[name] = anyio.CancelScope()

        async def scoped(*, task_status):
            with scope:
                await server.run(self.addresses.get(name, ("127.0.0.1", 0)), task_status=task_status)

        self.addresses[name] = await self.tasks.start(scoped)

    async def kill(self, name: str) -> None:
        """Ends a host's tasks and links at once."""
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
    """The hosts of a JSON file. Raises OSError or ValueError where it cannot be read or decoded."""
    return [
        PoolHost(row["name"], row["kind"], row["zone"], row["cell"], HostBehavior(**row["habits"]))
        for row in json.loads(path.read_text(encoding="utf-8"))
    ]
