"""Controllers on the platform's route as processes of their own, beside scripted hosts and a scripted bus in this one."""

import json
import os
import subprocess
import sys
import time

import anyio

from tests.platform_fixture import SETUP, OwnerClient, config_file
from linedeal.net import TcpNet, parse_address


# the program in a process that may hold so many files, on these cores
BOUNDED = """
import os, resource, sys
files, cores = int(sys.argv[1]), sys.argv[2]
if files:
    resource.setrlimit(resource.RLIMIT_NOFILE, (files, files))
if cores:
    os.sched_setaffinity(0, set(map(int, cores.split(","))))
os.execv(sys.executable, [sys.executable, "-m", "linedeal.platform"])
"""


class Process:
    """One life of a controller; `log` is all that it has said, `address` where it listens."""

    def __init__(self, child):
        self.child, self.log, self.address, self.begun = child, [], None, time.monotonic()
        self.up, self.over = anyio.Event(), anyio.Event()

    async def read(self):
        text = b""
        async for data in self.child.stderr:
            *lines, text = (text + data).split(b"\n")
            for line in lines:
                said = json.loads(line) if line.startswith(b"{") else {"event": line.decode()}
                self.log.append(said)
                if said["event"] == "takes jobs":
                    self.address = parse_address(said["address"])
                    self.up.set()
        self.over.set()
        self.up.set()

    def logged(self, event):
        return [line for line in self.log if line["event"] == event]

    async def connect(self):
        with anyio.fail_after(30):
            await self.up.wait()
        assert self.address, self.log
        return OwnerClient(await TcpNet().connect(self.address))


class Processes:
    """Ends what it started, by process id."""

    def __init__(self, tasks, folder):
        self.tasks, self.folder, self.all = tasks, folder, []

    async def start(self, name, bus, known, setup=SETUP, sockets=256, max_files=None, cores=None):
        path = self.folder / f"{name}.{len(self.all)}.json"
        path.write_text(
            json.dumps(
                config_file(bus, known, sockets, setup) | {"name": name, "seed": "%x" % (len(self.all) + 1)}
            )
        )

        program = [sys.executable, "-m", "linedeal.platform"]
        if max_files or cores:
            program = [sys.executable, "-c", BOUNDED, str(max_files or 0), ",".join(map(str, cores or ()))]
        child = await anyio.open_process(
            program,
            stdin=subprocess.DEVNULL,
            stdout=subprocess.DEVNULL,
            env=os.environ | {"EDGE_CONFIG": str(path)},
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
