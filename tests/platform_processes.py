"""Controllers of the platform as processes of their own; hosts and bus are in the test's process."""

import json
import os
import subprocess
import sys
import time

import anyio

from linedeal.net import TcpNet, parse_address
from tests.platform_fixture import SETUP, OwnerClient, config_file

# Runs the program with a limit on open files and bound to some cores; 0 or empty: unchanged.
LIMITED_PROGRAM = """
import os, resource, sys
files, cores = int(sys.argv[1]), sys.argv[2]
if files:
    resource.setrlimit(resource.RLIMIT_NOFILE, (files, files))
if cores:
    os.sched_setaffinity(0, set(map(int, cores.split(","))))
os.execv(sys.executable, [sys.executable, "-m", "linedeal.platform"])
"""


class Process:
    """A controller process; `log` has its log entries so far, `address` is where it listens."""

    def __init__(self, child):
        self.child, self.log, self.address, self.begun = child, [], None, time.monotonic()
        self.ready, self.ended = anyio.Event(), anyio.Event()

    async def read(self):
        text = b""
        async for data in self.child.stderr:
            *lines, text = (text + data).split(b"\n")
            for line in lines:
                entry = json.loads(line) if line.startswith(b"{") else {"event": line.decode()}
                self.log.append(entry)
                if entry["event"] == "takes jobs":
                    self.address = parse_address(entry["address"])
                    self.ready.set()
        self.ended.set()
        self.ready.set()

    def logged(self, event):
        return [line for line in self.log if line["event"] == event]

    async def connect(self):
        with anyio.fail_after(30):
            await self.ready.wait()
        assert self.address, self.log
        return OwnerClient(await TcpNet().connect(self.address))


class Processes:
    """Starts controllers; `end` kills and awaits all of them."""

    def __init__(self, tasks, folder):
        self.tasks, self.folder, self.all = tasks, folder, []

    async def start(
        self,
        name,
        bus,
        known,
        setup=SETUP,
        sockets=256,
        memory_mb=64,
        max_files=None,
        cores=None,
        environment=None,
    ):
        path = self.folder / f"{name}.{len(self.all)}.json"
        path.write_text(
            json.dumps(
                config_file(bus, known, sockets, setup, memory_mb)
                | {"name": name, "seed": f"{len(self.all) + 1:x}"}
            )
        )

        program = [sys.executable, "-m", "linedeal.platform"]
        if max_files or cores:
            program = [
                sys.executable,
                "-c",
                LIMITED_PROGRAM,
                str(max_files or 0),
                ",".join(map(str, cores or ())),
            ]
        child = await anyio.open_process(
            program,
            stdin=subprocess.DEVNULL,
            stdout=subprocess.DEVNULL,
            env=os.environ | {"EDGE_CONFIG": str(path)} | (environment or {}),
        )
        process = Process(child)
        self.all.append(process)
        self.tasks.start_soon(process.read)
        return process

    async def client(self, process):
        client = await process.connect()
        self.tasks.start_soon(client.read)
        return client

    async def end(self):
        with anyio.CancelScope(shield=True), anyio.move_on_after(10):
            for process in self.all:
                if process.child.returncode is None:
                    process.child.kill()
            for process in self.all:
                await process.child.wait()
