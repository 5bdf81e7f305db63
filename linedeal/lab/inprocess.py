"""A cluster of tasks in one process, over pipes in memory. On trio's mock clock a day takes as long as its work
takes, and the same seed gives the same day.

A host that stands still is played as one whose links are all cut; a controller that does, stands still itself.
"""

from pathlib import Path
from random import Random
from typing import Iterable

import anyio

from linedeal.controller.runtime import Runtime, Setup
from linedeal.lab.day import ControllerSpec, Day, HostSpec
from linedeal.lab.record import Recorder
from linedeal.lab.tap import TapNet, Weather
from linedeal.net.memory import MemoryNet, pipe
from linedeal.policy import Controller
from linedeal.standin.discovery import Discovery
from linedeal.standin.host import HostServer
from linedeal.standin.model import HostModel
from linedeal.state import Store


class PausableRuntime(Runtime):
    """Stands still between two turns when told to; no threads, and no time but the day's."""

    still: anyio.Event | None = None

    async def on_disk(self, call, *args):
        return call(*args)

    def journal_time(self) -> float:
        return anyio.current_time()

    async def wait(self, until: float) -> None:
        await super().wait(until)
        while self.still is not None:
            await self.still.wait()


class InProcessCluster:
    """Use as an async context manager."""

    def __init__(
        self, day: Day, directory: Path, log, policy=Controller, runtime=PausableRuntime, model=HostModel
    ):
        self.day, self.directory, self.log, self.policy, self.runtime = day, directory, log, policy, runtime
        self.model = model
        self.recorder, self.weather = Recorder(), Weather()
        self.memory = MemoryNet()
        self.controllers: dict[str, tuple] = {}
        self.host_specs: dict[str, HostSpec] = {}
        self.scopes: dict[str, anyio.CancelScope] = {}
        self.servers: dict[str, object] = {}
        self.boots: dict[str, int] = {}

    async def __aenter__(self):
        self.tasks = anyio.create_task_group()
        await self.tasks.__aenter__()
        self.net = TapNet(self.memory, self.recorder, self.weather, {}, pipe, self.tasks)
        self.servers["discovery"] = Discovery(self.memory)
        await self.begin("discovery", self.servers["discovery"].run)
        for spec in self.day.hosts:
            await self.start_host(spec, False)
        await anyio.sleep(1.0)
        for spec in self.day.controllers:
            await self.start_controller(spec)
        return self

    async def __aexit__(self, *error):
        self.tasks.cancel_scope.cancel()
        await self.tasks.__aexit__(*error)

    async def begin(self, name: str, run) -> None:
        self.net.names[name, 1] = name
        scope = self.scopes[name] = anyio.CancelScope()

        async def scoped(*, task_status):
            with scope:
                await run((name, 1), task_status=task_status)

        await self.tasks.start(scoped)

    async def start_host(self, spec: HostSpec, slow_start: bool) -> None:
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
        await self.begin(spec.name, server.run)

    async def start_controller(self, spec: ControllerSpec) -> None:
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

        await self.begin(spec.name, run)

    async def start(self, name: str) -> None:
        await self.mark("start", name)
        if name in self.host_specs:
            await self.start_host(self.host_specs[name], True)
        else:
            await self.start_controller(next(spec for spec in self.day.controllers if spec.name == name))

    async def kill(self, name: str) -> None:
        await self.mark("kill", name)
        self.scopes[name].cancel()
        await anyio.sleep(0.01)

    async def set_paused(self, name: str, paused: bool) -> None:
        await self.mark("stop" if paused else "continue", name)
        server = self.servers[name]
        if name in self.host_specs:
            others = [*self.controllers, "discovery"]
            await self.cut([pair for other in others for pair in ((name, other), (other, name))], paused)
        elif paused:
            server.still = anyio.Event()
        else:
            server.still.set()
            server.still = None

    async def order(self, name: str, order: dict) -> None:
        self.servers[name].control(order)

    async def cut(self, pairs: Iterable[tuple[str, str]], on: bool) -> None:
        (self.weather.cut if on else self.weather.heal)(pairs)

    async def mark(self, what: str, who: str) -> None:
        self.recorder.mark(anyio.current_time(), what, who)
