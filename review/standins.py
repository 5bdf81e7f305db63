"""Stand-ins of the platform for the review's cases: event bus, hosts, owner, and the controller's process.

Written from the users' protocol page alone; nothing of linedeal is imported. All addresses are loopback, all
ports free ones. Everything that is sent, answered and run goes to the case's record.
"""

import asyncio
import json
import os
import select
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
SETUP, ANSWER, RELEASE, NOTE, PING, PONG = 1, 9, 12, 44, 52, 53
NAME, REPORT, FIGURE, CAUSE, DESCRIPTION = 37, 43, 52, 58, 61
DONE, CANCELLED = 16, 31
SDP = "9d41c07a5be2f318\r\nc=IN IP4 127.0.0.1\r\nm=audio 31000 RTP/AVP 0 8 101\r\n"
MOST = 2  # jobs of one service on one machine, where the settings ask for it
KEEPALIVE = 15.0  # seconds after which hosts close an idle connection
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CannotRunError(Exception):
    """The case could not be set up; it says nothing about the rule."""


class Record:
    """The case's record: one line for each thing that was sent, answered or run."""

    def __init__(self, path):
        """Begins a new record at `path`."""
        self.file, self.begun = Path(path).open("w"), time.monotonic()

    def __call__(self, text):
        """Writes one line with the seconds since the begin."""
        self.file.write(f"{time.monotonic() - self.begun:8.3f} {text}\n")
        self.file.flush()


def free_port(ip):
    """A port that was free just now."""
    with socket.socket() as sock:
        sock.bind((ip, 0))
        return sock.getsockname()[1]


def settings(spread=False, running=False):
    """The settings of a small deployment: two offerings that may run again and an irreversible one.

    `spread`: the irreversible one runs on big hosts only, and on each at most MOST jobs of one service.
    `running`: hosts answer once the job runs, and not when they accept it.
    """
    return {
        "fleet_size": 1,
        "kinds": ["std", "big"],
        "discovery": "subscribe",
        "projects": [{"name": "acme"}, {"name": "other"}],
        "classes": [
            {
                "name": name,
                "give_up_ms": 3000.0,
                "worth": worth,
                "idempotency": effect,
                "group": "all",
                "window_ms": 8000.0,
            }
            for name, effect, worth in (
                ("web", "retryable", 1.0),
                ("mail", "dedup", 1.0),
                ("feed", "fragile", 5.0),
            )
        ],
        "domain": {
            "accepts_cores": 2.0,
            "admit_memory": 1.5,
            "class_calm": [1.0, 0.8, 0.8],
            "class_spread": ["off", "off", "machine" if spread else "off"],
            "confirms": "running" if running else "accepted",
            "cores_by_kind": [36, 48],
            "fades_over": [1.0, 0.15, 0.2],
            "free_by": "used",
            "kind_by_class": [-1, -1, 1 if spread else -1],
            "quota_cores": [200.0, 100.0],
            "size_memory": [80.0, 100.0],
            "spread_most": [MOST] * 3,
            "young_limit": 90.0,
        },
        "permissions": {
            "connect_timeout_ms": 250.0,
            "keepalive_ms": KEEPALIVE * 1000,
            "max_attempts": 4,
            "may_probe": True,
        },
        "prices": {"fleet": 0.0},
        "rules": {"ask_within_ms": 10000.0, "cold_ms": 12000.0, "overload_for_ms": 3000.0},
    }


# -- the event bus


class Bus:
    """Numbered events over HTTP, held until there is a later one or the wait is over."""

    def __init__(self, record):
        """Starts without events."""
        self.record, self.events, self.changed = record, [], asyncio.Event()

    async def start(self):
        """Listens on a free port."""
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"

    def publish(self, *servers, full=False):
        """Adds one event."""
        offset = len(self.events) + 1
        topology = {"version": offset, "full": full, "servers": list(servers)}
        self.events.append({"offset": offset, "topology": topology})
        states = ", ".join(f"{server['id']} {server['state']}" for server in servers)
        self.record(f"bus      event {offset}{' (whole list)' if full else ''}: {states}")
        self.changed.set()
        self.changed = asyncio.Event()

    def known(self):
        """What a controller's configuration has of it."""
        return {"offset": len(self.events), "batch": list(self.events)}

    async def serve(self, reader, writer):
        """Answers the calls on one connection."""
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                query = head.split(b"?", 1)[1].split(b" ", 1)[0].decode()
                asked = dict(pair.split("=") for pair in query.split("&"))
                number, hold = int(asked["from"]), min(5.0, int(asked["hold"]) / 1000)
                if number >= len(self.events):
                    try:
                        await asyncio.wait_for(self.changed.wait(), hold)
                    except TimeoutError:
                        pass
                body = json.dumps({"offset": len(self.events), "batch": self.events[number:]}).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            writer.close()


# -- hosts


def frame(kind, task, *parameters):
    """One binary message; `parameters` are pairs of code and value."""
    body = b"".join(struct.pack(">BH", code, len(value)) + value for code, value in parameters)
    return struct.pack(">HB8s", 9 + len(body), kind, task) + body


class HostTask:
    """A task that stands at a host."""

    def __init__(self, description, connection):
        """`connection`: that of its set-up."""
        self.description, self.connection = description, connection


class Host:
    """Accepts each set-up after a short look and keeps the task until it is ended.

    A standing task belongs to no connection. Its release goes on its set-up's connection, failing that on any
    open one, and on the next connection opened as well.
    """

    def __init__(self, name, record, kind="std", port=0, on_setup=None, notes=0.0):
        """`on_setup`: called with the host and the task at each set-up that arrives.

        `notes`: seconds between the notes on the use of each standing task; 0: none.
        """
        self.name, self.record, self.kind, self.port = name, record, kind, port
        self.on_setup, self.notes = on_setup, notes
        self.tasks, self.connections, self.to_repeat = {}, [], []
        self.silent, self.paused, self.accepted, self.stuffing = False, False, 0, []
        self.heard_at = 0.0  # when the controller was last answered or told anything
        self.given_up = set()  # set-ups, each with its connection's number

    async def start(self):
        """Listens, on a free port unless one was given."""
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind(("127.0.0.1", self.port))
        self.listener.listen(128)
        self.listener.setblocking(False)
        self.port = self.listener.getsockname()[1]
        self.accepting = asyncio.create_task(self.accept())
        self.minding = asyncio.create_task(self.mind())

    def entry(self, state="SERVING", started_ms=0):
        """How the list names it."""
        return {
            "id": self.name,
            "addr": f"127.0.0.1:{self.port}",
            "zone": "east",
            "kind": self.kind,
            "cell": 0,
            "state": state,
            "weight": 1,
            "started_ms": started_ms,
            "unasked": [36, 80],
        }

    async def accept(self):
        """Accepts connections until stopped."""
        loop = asyncio.get_running_loop()
        while True:
            sock, _ = await loop.sock_accept(self.listener)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            reader, writer = await asyncio.open_connection(sock=sock)
            self.accepted += 1
            writer.number, writer.used_at = self.accepted, time.monotonic()
            self.record(f"{self.name:8} connection {writer.number} opened")
            self.connections.append(writer)
            for data, text in self.to_repeat:
                self.record(f"{self.name:8} on connection {writer.number}, again: {text}")
                self.send(writer, data)
            self.to_repeat.clear()
            writer.serving = asyncio.create_task(self.serve(reader, writer))

    def send(self, writer, data):
        """Sends one message."""
        writer.used_at = self.heard_at = time.monotonic()
        writer.write(data)

    async def mind(self):
        """Sends notes on what the standing tasks use, and closes idle connections."""
        noted = time.monotonic()
        while not self.silent:
            await asyncio.sleep(0.1)
            now = time.monotonic()
            if self.paused:
                continue
            if self.notes and now - noted >= self.notes:
                noted = now
                for task, held in self.tasks.items():
                    if held.connection in self.connections:
                        self.send(held.connection, frame(NOTE, task, (NAME, b"c"), (FIGURE, b"0.5")))
            for writer in [w for w in self.connections if now - w.used_at > KEEPALIVE]:
                self.connections.remove(writer)
                self.record(f"{self.name:8} connection {writer.number} closed by the host: idle")
                writer.close()

    async def serve(self, reader, writer):
        """Handles the messages on one connection."""
        try:
            while True:
                (length,) = struct.unpack(">H", await reader.readexactly(2))
                body = await reader.readexactly(length)
                writer.used_at = time.monotonic()
                if not self.silent:
                    self.handle(writer, body[0], body[1:9], body[9:])
        except (OSError, asyncio.IncompleteReadError):
            pass
        if not self.silent and writer in self.connections:
            self.connections.remove(writer)
            self.record(f"{self.name:8} connection {writer.number} closed by the controller")
            writer.close()

    def handle(self, writer, kind, task, rest):
        """Handles one message."""
        parameters, offset = {}, 0
        while offset < len(rest):
            code, length = struct.unpack_from(">BH", rest, offset)
            parameters[code] = rest[offset + 3 : offset + 3 + length]
            offset += 3 + length
        if kind == SETUP:
            self.record(f"{self.name:8} set-up {task.hex()} arrived on connection {writer.number}")
            if self.on_setup:
                self.on_setup(self, task)
            asyncio.get_running_loop().call_later(0.02, self.admit, writer, task, parameters)
        elif kind == PING:
            report = (REPORT, b"x0:36;x1:80;queue:0")
            asked = parameters.get(CAUSE) == b"\x01"
            self.send(writer, frame(PONG, task, (CAUSE, b"\x01"), *([report] if asked else [])))
        elif kind == RELEASE and task in self.tasks:
            self.record(f"{self.name:8} {task.hex()} is ended by the controller")
            self.end(task, CANCELLED)
        elif kind == RELEASE:
            self.record(f"{self.name:8} {task.hex()} is given up")
            self.given_up.add((writer.number, task))

    def admit(self, writer, task, parameters):
        """Answers a set-up: the task stands, unless the set-up was given up, also by a close."""
        if writer not in self.connections or self.silent or (writer.number, task) in self.given_up:
            return
        if self.paused:
            asyncio.get_running_loop().call_later(0.1, self.admit, writer, task, parameters)
            return
        description = parameters[DESCRIPTION]
        self.tasks[task] = HostTask(description, writer)
        self.record(f"{self.name:8} {task.hex()} stands; answered on connection {writer.number}")
        self.send(writer, frame(ANSWER, task, (DESCRIPTION, description)))

    def end(self, task, cause):
        """Ends a standing task and sends its release."""
        held = self.tasks.pop(task)
        data, text = frame(RELEASE, task, (CAUSE, bytes([cause]))), f"release of {task.hex()}, cause {cause}"
        open_ones = [held.connection] if held.connection in self.connections else self.connections[:1]
        for writer in open_ones:
            self.record(f"{self.name:8} on connection {writer.number}: {text}")
            self.send(writer, data)
        self.to_repeat.append((data, text))

    async def block_new(self):
        """From now on new connections do not come up: the queue of those not accepted is kept full."""
        self.accepting.cancel()
        self.listener.listen(0)
        for _ in range(4):
            sock = socket.socket()
            sock.setblocking(False)
            sock.connect_ex(("127.0.0.1", self.port))
            self.stuffing.append(sock)
        await asyncio.sleep(0.1)
        if select.select([], self.stuffing[-1:], [], 0)[1]:
            raise CannotRunError("the queue of new connections cannot be filled here")

    def unblock_new(self):
        """New connections come up again."""
        for sock in self.stuffing:
            sock.close()
        self.stuffing.clear()
        while True:
            try:
                self.listener.accept()[0].close()
            except BlockingIOError:
                break
        self.listener.listen(128)
        self.accepting = asyncio.create_task(self.accept())

    async def vanish(self):
        """The machine is gone: open connections stay open and silent, new ones never come up."""
        self.silent = True
        for task in self.tasks:
            self.record(f"{self.name:8} {task.hex()} ended with its machine")
        self.tasks.clear()
        self.record(f"{self.name:8} VANISHED with {len(self.connections)} connections open")
        await self.block_new()

    async def fall_silent(self):
        """The host is cut off: it reads and says nothing, and new connections do not come up."""
        self.paused = True
        for writer in self.connections:
            writer.transport.pause_reading()
        self.record(f"{self.name:8} FALLS SILENT with {len(self.tasks)} tasks")
        await self.block_new()

    def go_on(self):
        """The host is back, with its tasks."""
        self.paused = False
        self.record(f"{self.name:8} IS BACK with {len(self.tasks)} tasks")
        self.unblock_new()
        for writer in self.connections:
            if not writer.transport.is_closing():
                writer.transport.resume_reading()

    def die(self):
        """The process dies: its connections are reset and its tasks are cut."""
        self.minding.cancel()
        self.accepting.cancel()
        self.listener.close()
        for writer in self.connections:
            reset(writer)
        self.connections.clear()
        for task in self.tasks:
            self.record(f"{self.name:8} {task.hex()} cut with its process")
        self.tasks.clear()
        self.record(f"{self.name:8} DIED")


def reset(writer):
    """Resets a connection."""
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


# -- owners


def spread_check(service_of, faults):
    """For hosts' `on_setup`: notes set-ups with which one machine gets more than MOST jobs of a service."""

    def check(host, task):
        service = service_of.get(task.hex())
        standing = [known.hex() for known in host.tasks if service and service_of[known.hex()] == service]
        if len(standing) >= MOST:
            faults.append(
                f"spread: {task.hex()} of service {service} was sent to {host.name}, where "
                f"{' and '.join(standing)} of it stand; {MOST} are allowed on a machine"
            )

    return check


def told_too_early(owner, hosts):
    """Tasks that were released towards their owner while they stand at a host."""
    return [
        f"{task} was released towards its owner with cause {cause}, and stands at {host.name}"
        for _, kind, task, cause, _ in owner.lines
        for host in hosts
        if kind == "release" and bytes.fromhex(task) in host.tasks
    ]


class Owner:
    """One connection of an owner. `lines` has what was received: time, type, task, cause, description."""

    def __init__(self, name, record):
        """Starts unconnected."""
        self.name, self.record, self.lines, self.arrived, self.closed = (
            name,
            record,
            [],
            asyncio.Event(),
            False,
        )

    async def connect(self, address):
        """Connects to a controller; raises OSError."""
        ip, port = address.rsplit(":", 1)
        self.reader, self.writer = await asyncio.open_connection(ip, int(port))
        self.reading = asyncio.create_task(self.read())

    async def read(self):
        """Reads lines until the connection ends."""
        try:
            while line := await self.reader.readline():
                message = json.loads(line)
                got = message["type"], message["id"], message.get("cause"), message.get("sdp")
                self.lines.append((time.monotonic(), *got))
                self.record(f"{self.name:8} received {got[0]} {got[1]} cause {got[2]}")
                self.arrived.set()
                self.arrived = asyncio.Event()
        except OSError:
            pass
        self.closed = True
        self.record(f"{self.name:8} connection ended")

    def send(self, kind, task, fields=None, **rest):
        """Sends one line."""
        message = {"type": kind, "id": task, "fields": fields or {}, **rest}
        text = " ".join(f"{name}={value}" for name, value in message["fields"].items())
        self.record(f"{self.name:8} sends {kind} {task} {text}")
        self.writer.write(json.dumps(message).encode() + b"\n")

    def setup(self, task, offering="web", service="s0", left=3000, at="", cores="1", tenant="acme"):
        """Sends a set-up."""
        extras = f"cores:{cores};memory:2;service:{service}" + (f";at:{at}" if at else "")
        fields = {"class": offering, "left": str(left), "tenant": tenant, "key": task, "extras": extras}
        self.send("setup", task, fields, sdp=SDP)

    async def wait_for(self, kind, task, within):
        """The line of that kind about the task, or None if there is none in time."""
        until = time.monotonic() + within
        while True:
            for line in self.lines:
                if line[1:3] == (kind, task):
                    return line
            try:
                await asyncio.wait_for(self.arrived.wait(), max(0.0, until - time.monotonic()))
            except TimeoutError:
                return None

    async def final(self, task, within):
        """The final answer to a set-up: `answer`, or `release` with its cause; None if there is none."""
        until = time.monotonic() + within
        while time.monotonic() < until:
            for line in self.lines:
                if line[2] == task and line[1] in ("answer", "release"):
                    return line
            await asyncio.sleep(0.01)
        return None


def task_id(number):
    """An id of 16 hex digits."""
    return f"{os.getpid() & 0xFFFFFF:06x}{number:010x}"


# -- the controller


class Controller:
    """One controller, started by the deploy file's `run` as the operators start it."""

    def __init__(self, record, folder, bus, setup, name="n1"):
        """`folder`: for the configuration and the log."""
        self.record, self.folder, self.bus, self.setup, self.name = record, Path(folder), bus, setup, name
        self.address, self.starts = f"127.0.0.1:{free_port('127.0.0.1')}", 0

    def write_config(self):
        """Writes the configuration file; replaces it in one step."""
        config = {
            "name": self.name,
            "listen": self.address,
            "seed": f"8c1f30d27a5be9{self.starts:02x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 512},
            "bus": self.bus.address,
            "known": self.bus.known(),
            "settings": self.setup,
        }
        path = self.folder / "config.json"
        path.with_suffix(".new").write_text(json.dumps(config))
        path.with_suffix(".new").replace(path)
        return path

    async def start(self):
        """Starts the program and waits until it has passed a test."""
        self.starts += 1
        path = self.write_config()
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        inherited = {
            name: value for name, value in os.environ.items() if name not in ("PYTHONPATH", "TROUBLE")
        }
        environment = inherited | {
            "EDGE_NAME": self.name,
            "EDGE_LISTEN": self.address,
            "EDGE_CONFIG": str(path),
            "TMPDIR": str(self.folder),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        self.log = (self.folder / f"{self.name}.{self.starts}.log").open("wb")
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", run, cwd=ROOT, env=environment, stdout=self.log, stderr=self.log
        )
        self.record(f"{self.name:8} started, start {self.starts}")
        until = time.monotonic() + 30
        while time.monotonic() < until and self.process.returncode is None:
            probe = Owner("front", lambda _: None)
            try:
                await probe.connect(self.address)
                probe.send("ping", task_id(0xFFFF), cause=0)
                pong = await probe.wait_for("pong", task_id(0xFFFF), 1.0)
                if pong and pong[3] == 1:
                    self.record(f"{self.name:8} passed a test")
                    return
            except OSError:
                pass
            finally:
                if hasattr(probe, "writer"):
                    probe.writer.close()
            await asyncio.sleep(0.05)
        raise CannotRunError("the controller did not pass a test within 30 s")

    def signal(self, number):
        """Sends the controller a signal."""
        self.record(f"{self.name:8} is sent {signal.Signals(number).name}")
        self.process.send_signal(number)

    async def kill(self):
        """Kills the controller outright."""
        if self.process.returncode is None:
            self.signal(signal.SIGKILL)
        await self.process.wait()
        self.log.close()

    def print_log(self):
        """Copies the controller's log to the record."""
        for start in range(1, self.starts + 1):
            for line in (self.folder / f"{self.name}.{start}.log").read_text().splitlines():
                self.record(f"log of {self.name}, start {start}: {line}")


def main(case, record_path):
    """Runs `case(record, temporary folder)`, which returns the faults it saw; exits as the cases have to.

    `record_path`: the file that gets what was sent, answered and run.
    """
    record = Record(record_path)
    record(f"TROUBLE={int(TROUBLE)}")
    status = 2
    with tempfile.TemporaryDirectory() as temporary:
        try:
            faults = asyncio.run(asyncio.wait_for(case(record, temporary), 110))
        except Exception as error:  # of the case or a stand-in; it says nothing about the rule
            record(f"the case could not run: {error!r}")
            print(f"could not run: {error!r}")
        else:
            for fault in faults:
                record(f"BROKEN   {fault}")
                print(f"broken: {fault}")
            if not faults:
                print("the rule held")
            record("the rule was broken" if faults else "the rule held")
            status = 1 if faults else 0
    sys.exit(status)
