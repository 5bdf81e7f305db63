"""A small cluster for tests of clients: controllers and simulated hosts in this process.

They are connected by pipes in memory on a mock clock or, for clients that are programs, by loopback sockets
in a thread.
"""

import random
from contextlib import ExitStack, contextmanager

import anyio
import anyio.from_thread

from linedeal.controller.runtime import Runtime, Setup
from linedeal.lab import play
from linedeal.lab.day import parse_day
from linedeal.net import TcpNet
from linedeal.settings.cluster import parse_cluster
from linedeal.standin.discovery import Discovery
from linedeal.standin.host import HostServer
from linedeal.standin.model import HostBehavior, HostModel
from linedeal.state import Store
from tests.engine_driver import CLUSTER

CLUSTER = CLUSTER.replace("held = 5", "held = 20000").replace("controllers = 1", "controllers = 2")


def run_in_memory(directory, work, hosts=3, habits="setup=0.1 life=1", cluster=CLUSTER):
    """Runs `work(cluster)` on a mock clock; returns its result. Controllers: c1 and c2; hosts: h01 ..."""
    (directory / "cluster.hcl").write_text(cluster)
    day = parse_day(
        f"cluster cluster.hcl\nseed 5\nlength 1\ncontrollers 2\nhabit {habits}\nhosts {hosts} kind std\n"
        "load web 1\n",
        str(directory / "x.day"),
        directory,
    )
    return play.run_in_memory(day, work)


class SocketCluster:
    """Created by `socket_cluster`. `contact` names both controllers, c1 and c2."""

    def __init__(self, directory, cluster, habits):
        self.directory, self.cluster, self.habits = directory, parse_cluster(cluster), habits
        self.net, self.boots = TcpNet(), {}
        self.scopes: dict[str, anyio.CancelScope] = {}
        self.addresses: dict[str, tuple] = {}

    async def run(self, *, task_status):
        async with anyio.create_task_group() as self.tasks:
            self.discovery_address = await self.tasks.start(Discovery(self.net).run, ("127.0.0.1", 0))
            for name in ("h1", "h2", "h3"):
                model = HostModel(
                    name,
                    "std",
                    self.cluster,
                    self.habits,
                    1,
                    random.Random(name),
                    anyio.current_time(),
                    False,
                )
                server = HostServer(model, self.net, self.discovery_address, "itself", "z", 0)
                await self.tasks.start(server.run, ("127.0.0.1", 0))
            await anyio.sleep(0.3)
            for name in ("c1", "c2"):
                await self.start(name)
            await anyio.sleep(0.3)
            self.contact = ",".join(f"127.0.0.1:{port}" for _, port in self.addresses.values())
            task_status.started()

    async def start(self, name):
        store = Store(self.directory / name)
        setup = Setup(
            name, self.cluster, self.addresses.get(name, ("127.0.0.1", 0)), self.discovery_address, 7
        )
        runtime = Runtime(setup, store, self.net, play.QUIET_LOG)
        scope = self.scopes[name] = anyio.CancelScope()

        async def run(*, task_status):
            try:
                with scope:
                    await runtime.run(task_status=task_status)
            finally:
                store.close()

        self.addresses[name] = await self.tasks.start(run)

    async def kill(self, name):
        self.scopes[name].cancel()
        await anyio.sleep(0.05)


@contextmanager
def socket_cluster(directory, cluster=CLUSTER, habits=HostBehavior(setup=0.02, life=0.4, look=0.001)):  # noqa: B008 - never changed
    running_cluster = SocketCluster(directory, cluster, habits)
    with ExitStack() as stack:
        portal = stack.enter_context(anyio.from_thread.start_blocking_portal("asyncio"))
        future, _ = portal.start_task(running_cluster.run)
        stack.callback(future.cancel)
        running_cluster.call = portal.call
        yield running_cluster
