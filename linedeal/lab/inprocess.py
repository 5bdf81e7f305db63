"""A test cluster of tasks in one process, connected by pipes in memory.

On trio's mock clock a day takes no longer than its computation, and the same seed gives the same day. A
paused host is simulated by cutting all its links, a paused controller by stopping its engine.
"""

from collections.abc import Iterable
from pathlib import Path
from random import Random

import anyio

from linedeal.controller.runtime import Runtime, Setup
from linedeal.lab.day import ControllerSpec, Day, HostSpec
from linedeal.lab.record import Recorder
from linedeal.lab.tap import NetworkConditions, TapNet
from linedeal.net.memory import MemoryNet, pipe
from linedeal.policy import Controller
from linedeal.standin.discovery import Discovery
from linedeal.standin.host import HostServer
from linedeal.standin.model import HostModel
from linedeal.state import Store


class PausableRuntime(Runtime):
    """A controller that can be paused between two engine steps. Uses no threads and the loop's clock."""

    resumed: anyio.Event | None = None  # set on resume; None while not paused

    async def on_disk(self, call, *args):
        """Calls `call` in this thread."""
        return call(*args)

    def journal_time(self) -> float:
        """Loop time, in place of the clock that outlives processes."""
        return anyio.current_time()

    async def wait(self, until: float) -> None:
        """Waits for the next engine step, and as long as the controller is paused."""
        await super().wait(until)
        while self.resumed is not None:
            await self.resumed.wait()


class InProcessCluster:
    """Runs a day's cluster. Use as an async context manager."""

    def __init__(
        self, day: Day, directory: Path, log, policy=Controller, runtime=PausableRuntime, model=HostModel
    ):
        """`policy`, `runtime`, `model`: the classes of the decision module, of controllers and of hosts."""
        self.day, self.directory, self.log, self.policy, self.runtime = day, directory, log, policy, runtime
        self.model = model
        self.recorder, self.network = Recorder(), NetworkConditions()
        self.memory = MemoryNet()
        self.controllers: dict[str, tuple] = {}
        self.host_specs: dict[str, HostSpec] = {}
        self.scopes: dict[str, anyio.CancelScope] = {}
        self.servers: dict[str, object] = {}
        self.boots: dict[str, int] = {}

    async def __aenter__(self):
        """Starts discovery, hosts and controllers."""
        self.tasks = anyio.create_task_group()
        await self.tasks.__aenter__()
        self.net = TapNet(self.memory, self.recorder, self.network, {}, pipe, self.tasks)
        self.servers["discovery"] = Discovery(self.memory)
        await self.start_task("discovery", self.servers["discovery"].run)
        for spec in self.day.hosts:
            await self.start_host(spec, False)
        await anyio.sleep(1.0)
        for spec in self.day.controllers:
            await self.start_controller(spec)
        return self

    async def __aexit__(self, *error):
        """Cancels all tasks."""
        self.tasks.cancel_scope.cancel()
        await self.tasks.__aexit__(*error)

    async def start_task(self, name: str, run) -> None:
        """Starts the task of a part of the cluster, at the address `(name, 1)`; `kill` cancels it."""
        self.net.names[name, 1] = name
        scope = self.scopes[name] = anyio.CancelScope()

        async def run_in_scope(*, task_status):
            with scope:
                await run((name, 1), task_status=task_status)

        await self.tasks.start(run_in_scope)

    async def start_host(self, spec: HostSpec, slow_start: bool) -> None:
        """Adds a host; with `slow_start` it starts slowly, as a machine that has just booted."""
        self.host_specs[spec.name] = spec
        boot = self.boots[spec.name] = self.boots.get(spec.name, 0) + 1
        model = self.model(
            spec.name,
            spec.kind,
            self.day.cluster,
            spec.habits,
            boot,
            Random(f"{self.day.seed} {spec.name} {boot}"),
            anyio.current_time(),
            slow_start,
        )
        server = self.servers[spec.name] = HostServer(
            model, self.memory, ("discovery", 1), f"{spec.name}:1", spec.zone, spec.cell
        )
        await self.start_task(spec.name, server.run)

    async def start_controller(self, spec: ControllerSpec) -> None:
        """Starts a controller with its state in a directory of its name."""
        self.controllers[spec.name] = (spec.name, 1)
        store = Store(self.directory / spec.name)
        number = [c.name for c in self.day.controllers].index(spec.name)
        setup = Setup(
            spec.name, self.day.cluster, (spec.name, 1), ("discovery", 1), self.day.seed * 100 + number
        )
        runtime = self.servers[spec.name] = self.runtime(setup, store, self.net, self.log, self.policy)

        async def run(_, *, task_status):
            try:
                await runtime.run(task_status=task_status)
            finally:
                store.close()

        await self.start_task(spec.name, run)

    async def start(self, name: str) -> None:
        """Starts a killed part again at its old address; a host begins its slow start."""
        await self.mark("start", name)
        if name in self.host_specs:
            await self.start_host(self.host_specs[name], True)
        else:
            await self.start_controller(next(spec for spec in self.day.controllers if spec.name == name))

    async def kill(self, name: str) -> None:
        """Cancels the task of a part and gives it a moment to end."""
        await self.mark("kill", name)
        self.scopes[name].cancel()
        await anyio.sleep(0.01)

    async def set_paused(self, name: str, paused: bool) -> None:
        """Pauses or resumes a controller; cuts or restores all links of a host."""
        await self.mark("stop" if paused else "continue", name)
        server = self.servers[name]
        if name in self.host_specs:
            others = [*self.controllers, "discovery"]
            await self.cut([pair for other in others for pair in ((name, other), (other, name))], paused)
        elif paused:
            server.resumed = anyio.Event()
        else:
            server.resumed.set()
            server.resumed = None

    async def order(self, name: str, order: dict) -> None:
        """Passes a JSON order to a part."""
        self.servers[name].control(order)

    async def cut(self, pairs: Iterable[tuple[str, str]], on: bool) -> None:
        """Cuts or restores the network in these directions, each `(from, to)`."""
        (self.network.cut if on else self.network.heal)(pairs)

    async def mark(self, what: str, who: str) -> None:
        """Adds a mark to the traffic record: `what` was done to `who`."""
        self.recorder.mark(anyio.current_time(), what, who)
