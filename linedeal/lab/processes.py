"""A test cluster of processes on loopback sockets: each part that can be killed is a separate process.

All links except those from hosts to discovery lead through the tap, a proxy process that records traffic and
injects network faults.
"""

import json
import os
import random
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Iterable
from dataclasses import asdict
from pathlib import Path

import anyio
import anyio.abc

from linedeal.lab.day import ControllerSpec, Day, HostSpec
from linedeal.lab.operating import Operator
from linedeal.net import parse_address

START_TIMEOUT = 20.0  # seconds for a process to print the address at which it listens
# Range of the ports for council listeners. They are chosen before their processes start, so the range is
# below the ephemeral ports that the system assigns.
COUNCIL_PORTS = 20000, 32000
MAX_START_ATTEMPTS = 5  # a restarted process fails while its old port is still in use


def free_port() -> int:
    """Returns a port that is not in use, outside the system's ephemeral port range.

    No other process is likely to bind it before the process that it is reserved for.
    """
    while True:
        port = random.randrange(*COUNCIL_PORTS)
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
                return port
            except OSError:
                continue  # in use: try another


class ClusterProcessError(Exception):
    """A process of the cluster did not start or has ended; the message names the process and its log."""


class ProcessCluster:
    """Runs a day's cluster. Use as an async context manager; leaving it ends every process it started."""

    def __init__(self, day: Day, directory: Path):
        """`directory`: for state, logs and the record of traffic; created if missing."""
        self.day, self.directory = day, directory
        self.running: dict[str, anyio.abc.Process] = {}
        self.commands: dict[str, list[str]] = {}
        self.ports: dict[str, str] = {}  # by name: the address at which the process itself listens
        self.routes: dict[str, str] = {}  # by name: the address at which the tap listens for it
        self.controllers: dict[str, tuple] = {}
        self.host_specs: dict[str, HostSpec] = {}
        self.boots: dict[str, int] = {}  # by host: time of its start, in milliseconds of the system clock
        self.tap_routes: dict[str, str] = {}  # routes that the tap has reported
        self.tap_reported = anyio.Event()
        self.cluster_path = day.cluster_path
        self.council_addresses: dict[str, str] = {}  # by member: where its council listener listens
        self.replacing: set[tuple[str, int]] = set()  # hosts and boots being replaced for the tool

    async def __aenter__(self):
        """Starts all processes. Raises ClusterProcessError if one does not start."""
        self.directory.mkdir(parents=True, exist_ok=True)
        self.tasks = anyio.create_task_group()
        await self.tasks.__aenter__()
        try:
            await self.spawn("tap", ["tap", "--record", str(self.directory / "traffic.jsonl"), "--control"])
            await self.run("discovery", ["discovery", "--control"])
            async with anyio.create_task_group() as starting:
                for spec in self.day.hosts:
                    starting.start_soon(self.start_host, spec, False)
            await self.reserve_council_routes()
            await self.start_tool()
            await anyio.sleep(1.0)  # all hosts are listed before a controller reads the list
            async with anyio.create_task_group() as starting:
                for spec in self.day.controllers:
                    starting.start_soon(self.start_controller, spec)
        except BaseException:
            await self.end()
            raise
        return self

    async def __aexit__(self, *error):
        """Ends all processes."""
        await self.end()

    async def end(self) -> None:
        """Ends all processes and waits for them, also when cancelled."""
        with anyio.CancelScope(shield=True):
            for name, process in self.running.items():
                if process.returncode is None:
                    process.send_signal(signal.SIGCONT)
                    # The tap is not killed, so that its record is complete: it ends when its input is closed.
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
        """Starts a process and returns the address that it prints on its first line.

        Raises ClusterProcessError after MAX_START_ATTEMPTS.
        """
        log = self.directory / f"{name}.log"
        for _ in range(MAX_START_ATTEMPTS):
            with open(log, "ab") as errors:
                process = await anyio.open_process(
                    [sys.executable, "-m", "linedeal", *command],
                    stdin=subprocess.PIPE,
                    stdout=subprocess.PIPE,
                    stderr=errors,
                    # Ctrl-C reaches this process only, which then ends the others.
                    start_new_session=True,
                )
            self.running[name] = process
            line = b""
            with anyio.move_on_after(START_TIMEOUT):
                try:
                    while not line.endswith(b"\n"):
                        line += await process.stdout.receive(1 if name != "tap" else 65536)
                except anyio.EndOfStream:
                    pass
            if line.endswith(b"\n"):
                if name in ("tap", "tool"):
                    self.tasks.start_soon(self.read_reports, process)
                return json.loads(line)["address"]
            if process.returncode is None:
                process.kill()
            await process.wait()
            await anyio.sleep(0.2)
        raise ClusterProcessError(f"{name} did not start, see {log}")

    async def read_reports(self, process) -> None:
        """Handles what the tap and the tool print: one JSON object a line."""
        rest = b""
        try:
            while True:
                rest += await process.stdout.receive()
                *lines, rest = rest.split(b"\n")
                for line in lines:
                    report = json.loads(line)
                    if "route" in report:
                        self.tap_routes.update([report["route"]])
                        self.tap_reported.set()
                        self.tap_reported = anyio.Event()
                    else:
                        self.tasks.start_soon(self.replace, *report["replace"])
        except (anyio.EndOfStream, anyio.ClosedResourceError):
            pass

    async def replace(self, name: str, boot: int) -> None:
        """Restarts a host at the tool's request, unless this boot has ended or is already being replaced."""
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
        """An operator of this cluster; reads its cluster file."""
        return Operator(self.cluster_path)

    async def start_tool(self) -> None:
        """Starts the stand-in for the operators' tool, if the cluster file has a campaign block."""
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
            self.replace_address(self.day.cluster.campaign.tool, self.routes["tool"])

    def replace_address(self, address: tuple[str, int], route: str) -> None:
        """Replaces an address in the cluster file that controllers read with the tap's route."""
        text = Path(self.cluster_path).read_text(encoding="utf-8")
        self.cluster_path = str(self.directory / "cluster-in-place.hcl")
        Path(self.cluster_path).write_text(
            text.replace(f'"{address[0]}:{address[1]}"', f'"{route}"'), encoding="utf-8"
        )

    async def run(self, name: str, command: list[str]) -> None:
        """Starts a process that listens, and adds a route to it through the tap."""
        self.commands[name] = command
        self.ports[name] = await self.spawn(name, [*command, "--listen", "127.0.0.1:0"])
        await self.route(name, self.ports[name])

    async def route(self, name: str, to: str) -> None:
        """Makes the tap listen on behalf of `name`, and waits for the address of that listener."""
        await self.order("tap", {"route": [name, to]})
        while name not in self.tap_routes:
            await self.tap_reported.wait()
        self.routes[name] = self.tap_routes[name]

    async def reserve_council_routes(self) -> None:
        """Chooses a port and a route for each council member before controllers start and read the routes."""
        for member, address in self.day.cluster.council.places.items():
            self.council_addresses[member] = f"127.0.0.1:{free_port()}"
            await self.route(f"{member}/council", self.council_addresses[member])
            self.replace_address(address, self.routes[f"{member}/council"])

    async def start_host(self, spec: HostSpec, slow_start: bool) -> None:
        """Adds a host; with `slow_start` it starts slowly, as a machine that has just booted."""
        self.host_specs[spec.name] = spec
        self.boots[spec.name] = time.time_ns() // 1_000_000
        await self.run(spec.name, self.host_command(spec, slow_start))
        await self.order(spec.name, {"advertise": self.routes[spec.name]})

    def host_command(self, spec: HostSpec, slow_start: bool) -> list[str]:
        """Returns the command line that starts the current boot of the host."""
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
        """Starts a controller with its state in a directory of its name."""
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
                *(
                    ["--council-listen", self.council_addresses[spec.name]]
                    if spec.name in self.council_addresses
                    else []
                ),
                *(["--clock", str(spec.clock)] if spec.clock != 1.0 else []),
            ],
        )
        self.controllers[spec.name] = parse_address(self.routes[spec.name])

    # -- faults and commands of a day

    async def start(self, name: str) -> None:
        """Starts a process again at its old address; a host begins its slow start."""
        command = self.commands[name]
        if name in self.host_specs:
            self.boots[name] = max(self.boots[name] + 1, time.time_ns() // 1_000_000)
            command = self.host_command(self.host_specs[name], True) + ["--advertise", self.routes[name]]
        await self.mark("start", name)
        await self.spawn(name, [*command, "--listen", self.ports[name]])
        if "tool" in self.running and (name == "tool" or name in self.host_specs):
            await self.order("tool", {"boots": self.boots})

    async def kill(self, name: str) -> None:
        """Kills a process and waits for its end."""
        await self.mark("kill", name)
        process = self.running[name]
        if process.returncode is None:
            process.kill()
        await process.wait()

    async def set_paused(self, name: str, paused: bool) -> None:
        """Pauses a process with SIGSTOP, or resumes it with SIGCONT."""
        await self.mark("stop" if paused else "continue", name)
        os.kill(self.running[name].pid, signal.SIGSTOP if paused else signal.SIGCONT)

    async def order(self, name: str, order: dict) -> None:
        """Writes a JSON order to a process. A process other than the tap is skipped if it has ended.

        Raises ClusterProcessError.
        """
        process = self.running[name]
        try:
            await process.stdin.send(json.dumps(order).encode() + b"\n")
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            if name == "tap" or process.returncode is None:
                raise ClusterProcessError(
                    f"{name} no longer reads orders, see {self.directory / name}.log"
                ) from None

    async def cut(self, pairs: Iterable[tuple[str, str]], on: bool) -> None:
        """Cuts or restores the network in these directions, each `(from, to)`."""
        await self.order("tap", {"cut" if on else "heal": list(pairs)})

    async def mark(self, what: str, who: str) -> None:
        """Adds a mark to the traffic record: `what` was done to `who`."""
        await self.order("tap", {"mark": [what, who]})
