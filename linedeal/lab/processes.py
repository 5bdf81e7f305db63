"""A cluster of processes on loopback sockets: what can die is a process of its own, and the tap is another."""

import json
import os
import random
import signal
import socket
import subprocess
import sys
import time
from dataclasses import asdict
from pathlib import Path
from typing import Iterable

import anyio
import anyio.abc

from linedeal.lab.day import ControllerSpec, Day, HostSpec
from linedeal.lab.operating import Operator
from linedeal.net import parse_address

READY = 20.0  # seconds for a process to say where it listens
SEATS = 20000, 32000  # ports for the council, which are known before their process starts
STARTS = 5  # tries, where its port is still taken


def free_port() -> int:
    """One that nobody listens at, below those that the system gives out: until its process takes it, nobody else does."""
    while True:
        port = random.randrange(*SEATS)
        with socket.socket() as held:
            try:
                held.bind(("127.0.0.1", port))
                return port
            except OSError:
                continue  # taken: another


class ClusterProcessError(Exception):
    """A process of the cluster did not come up; its text names the process and its log."""


class ProcessCluster:
    """Use as an async context manager; leaving it ends every process that it started."""

    def __init__(self, day: Day, directory: Path):
        self.day, self.directory = day, directory
        self.running: dict[str, anyio.abc.Process] = {}
        self.commands: dict[str, list[str]] = {}
        self.ports: dict[str, str] = {}  # where each really listens
        self.routes: dict[str, str] = {}  # and where the tap listens for it
        self.controllers: dict[str, tuple] = {}
        self.host_specs: dict[str, HostSpec] = {}
        self.boots: dict[str, int] = {}
        self.tap_answers: dict[str, str] = {}
        self.tap_told = anyio.Event()
        self.cluster_path = day.cluster_path
        self.seats: dict[str, str] = {}  # where each member's council really listens
        self.replacing: set[tuple[str, int]] = set()  # hosts and boots that the tool is at

    async def __aenter__(self):
        self.directory.mkdir(parents=True, exist_ok=True)
        self.tasks = anyio.create_task_group()
        await self.tasks.__aenter__()
        try:
            await self.spawn("tap", ["tap", "--record", str(self.directory / "traffic.jsonl"), "--control"])
            await self.run("discovery", ["discovery", "--control"])
            async with anyio.create_task_group() as starting:
                for spec in self.day.hosts:
                    starting.start_soon(self.start_host, spec, False)
            await self.seat_council()
            await self.start_tool()
            await anyio.sleep(1.0)  # the first list is whole before a controller asks for it
            async with anyio.create_task_group() as starting:
                for spec in self.day.controllers:
                    starting.start_soon(self.start_controller, spec)
        except BaseException:
            await self.end()
            raise
        return self

    async def __aexit__(self, *error):
        await self.end()

    async def end(self) -> None:
        with anyio.CancelScope(shield=True):
            for name, process in self.running.items():
                if process.returncode is None:
                    process.send_signal(signal.SIGCONT)
                    # the tap writes its record to the end; a thread of it reads orders, and ends when they do
                    await process.stdin.aclose() if name == "tap" else process.kill()
            for process in self.running.values():
                with anyio.move_on_after(5.0):
                    await process.wait()
                if process.returncode is None:
                    process.kill()
                    await process.wait()
        self.tasks.cancel_scope.cancel()
        await self.tasks.__aexit__(None, None, None)

    # -- starting

    async def spawn(self, name: str, command: list[str]) -> str:
        """Starts a process and returns the address that it tells on its first line."""
        log = self.directory / f"{name}.log"
        for _ in range(STARTS):
            with open(log, "ab") as errors:
                process = await anyio.open_process(
                    [sys.executable, "-m", "linedeal", *command],
                    stdin=subprocess.PIPE,
                    stdout=subprocess.PIPE,
                    stderr=errors,
                    start_new_session=True,
                )  # a Ctrl-C is ours to pass on
            self.running[name] = process
            line = b""
            with anyio.move_on_after(READY):
                try:
                    while not line.endswith(b"\n"):
                        line += await process.stdout.receive(1 if name != "tap" else 65536)
                except anyio.EndOfStream:
                    pass
            if line.endswith(b"\n"):
                if name in ("tap", "tool"):
                    self.tasks.start_soon(self.hear, process)
                return json.loads(line)["address"]
            if process.returncode is None:
                process.kill()
            await process.wait()
            await anyio.sleep(0.2)
        raise ClusterProcessError(f"{name} did not start, see {log}")

    async def hear(self, process) -> None:
        """What the tap and the tool tell, a JSON object a line."""
        rest = b""
        try:
            while True:
                rest += await process.stdout.receive()
                *lines, rest = rest.split(b"\n")
                for line in lines:
                    told = json.loads(line)
                    if "route" in told:
                        self.tap_answers.update([told["route"]])
                        self.tap_told.set()
                        self.tap_told = anyio.Event()
                    else:
                        self.tasks.start_soon(self.replace, *told["replace"])
        except (anyio.EndOfStream, anyio.ClosedResourceError):
            pass

    async def replace(self, name: str, boot: int) -> None:
        """What the operators' tool does: this boot of the host goes, the next comes."""
        if self.boots.get(name) != boot or (name, boot) in self.replacing:
            return
        self.replacing.add((name, boot))
        try:
            await self.mark("replace", name)
            if self.running[name].returncode is None:
                await self.kill(name)
            await self.start(name)
        finally:
            self.replacing.discard((name, boot))

    @property
    def operator(self) -> Operator:
        return Operator(self.cluster_path)

    async def start_tool(self) -> None:
        if self.day.cluster.campaign.tool is not None:
            await self.run(
                "tool",
                [
                    "tool",
                    "--cluster",
                    self.day.cluster_path,
                    "--state",
                    str(self.directory / "tool"),
                    "--control",
                ],
            )
            await self.order("tool", {"boots": self.boots})
            self.put_in_place(self.day.cluster.campaign.tool, self.routes["tool"])

    def put_in_place(self, address: tuple[str, int], route: str) -> None:
        """The controllers' cluster file names the tap's route in place of an address."""
        text = Path(self.cluster_path).read_text(encoding="utf-8")
        self.cluster_path = str(self.directory / "cluster-in-place.hcl")
        Path(self.cluster_path).write_text(text.replace('"%s:%d"' % address, f'"{route}"'), encoding="utf-8")

    async def run(self, name: str, command: list[str]) -> None:
        """Starts what listens, and a route through the tap to it."""
        self.commands[name] = command
        self.ports[name] = await self.spawn(name, [*command, "--listen", "127.0.0.1:0"])
        await self.route(name, self.ports[name])

    async def route(self, name: str, to: str) -> None:
        await self.order("tap", {"route": [name, to]})
        while name not in self.tap_answers:
            await self.tap_told.wait()
        self.routes[name] = self.tap_answers[name]

    async def seat_council(self) -> None:
        """A port and a route for each member, ahead of all controllers: their file names the routes."""
        for member, address in self.day.cluster.council.places.items():
            self.seats[member] = f"127.0.0.1:{free_port()}"
            await self.route(f"{member}/council", self.seats[member])
            self.put_in_place(address, self.routes[f"{member}/council"])

    async def start_host(self, spec: HostSpec, slow_start: bool) -> None:
        self.host_specs[spec.name] = spec
        self.boots[spec.name] = time.time_ns() // 1_000_000
        await self.run(spec.name, self.host_command(spec, slow_start))
        await self.order(spec.name, {"advertise": self.routes[spec.name]})

    def host_command(self, spec: HostSpec, slow_start: bool) -> list[str]:
        return [
            "host",
            "--name",
            spec.name,
            "--kind",
            spec.kind,
            "--zone",
            spec.zone,
            "--cell",
            str(spec.cell),
            "--cluster",
            self.day.cluster_path,
            "--discovery",
            self.ports["discovery"],
            "--seed",
            str(self.day.seed),
            "--boot",
            str(self.boots[spec.name]),
            "--habits",
            json.dumps(asdict(spec.habits)),
            "--fence",
            str(self.directory / f"{spec.name}.fence"),
            "--control",
            *(["--young"] if slow_start else []),
        ]

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
                *(["--council-listen", self.seats[spec.name]] if spec.name in self.seats else []),
                *(["--clock", str(spec.clock)] if spec.clock != 1.0 else []),
            ],
        )
        self.controllers[spec.name] = parse_address(self.routes[spec.name])

    # -- what a day does

    async def start(self, name: str) -> None:
        """Again, at its old address; a host comes back young."""
        command = self.commands[name]
        if name in self.host_specs:
            self.boots[name] = max(self.boots[name] + 1, time.time_ns() // 1_000_000)
            command = self.host_command(self.host_specs[name], True) + ["--advertise", self.routes[name]]
        await self.mark("start", name)
        await self.spawn(name, [*command, "--listen", self.ports[name]])
        if "tool" in self.running and (name == "tool" or name in self.host_specs):
            await self.order("tool", {"boots": self.boots})

    async def kill(self, name: str) -> None:
        await self.mark("kill", name)
        process = self.running[name]
        if process.returncode is None:
            process.kill()
        await process.wait()

    async def set_paused(self, name: str, paused: bool) -> None:
        await self.mark("stop" if paused else "continue", name)
        os.kill(self.running[name].pid, signal.SIGSTOP if paused else signal.SIGCONT)

    async def order(self, name: str, order: dict) -> None:
        process = self.running[name]
        try:
            await process.stdin.send(json.dumps(order).encode() + b"\n")
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            if name == "tap" or process.returncode is None:
                raise ClusterProcessError(
                    f"{name} takes no orders any more, see {self.directory / name}.log"
                ) from None

    async def cut(self, pairs: Iterable[tuple[str, str]], on: bool) -> None:
        await self.order("tap", {"cut" if on else "heal": list(pairs)})

    async def mark(self, what: str, who: str) -> None:
        await self.order("tap", {"mark": [what, who]})
