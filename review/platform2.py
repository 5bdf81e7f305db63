"""Stand-ins for what surrounds a controller, after the protocol page: event bus, hosts, owners; on loopback.

They run in the process of a case; the controller is a process of its own, started by the deploy file's `run`.
Each keeps to the page, but for the disruption that a case names. What is sent and received goes to the case's
record.
"""

import asyncio
import itertools
import json
import os
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
import weakref
from pathlib import Path
from random import Random

ROOT = Path(__file__).resolve().parent.parent
HELD, BROKEN, NOT_RUN = 0, 1, 2  # a case's exit status
SETUP, ANSWER, RELEASE, NOTE, PING, PONG = 1, 9, 12, 44, 52, 53
CAUSE, DESCRIPTION, WAIT, NAME, REPORT, FIGURE = 58, 61, 19, 37, 43, 52
OVER, CUT, REFUSED, CANCELLED, ERROR, MOOT = 16, 41, 34, 31, 47, 102
SDP = "9d41c07a5be2f318\r\nc=IN IP4 127.0.0.1\r\nm=audio 31000 RTP/AVP 0 8 101\r\n"
KIND, CORES, MEMORY = "std-36c", 36.0, 80.0
CORES_EACH, MEMORY_EACH = 0.4, 1.2  # that a task uses
OTHERS_CORES, OTHERS_MEMORY = 4.0, 8.0  # asked for and used on each host by jobs of other controllers


class NotRunError(Exception):
    """The case could not be played; the text says why."""


class Record:
    """What was sent, answered and run, in the order in which it happened."""

    def __init__(self):
        """Starts now."""
        self.began, self.lines, self.file = time.monotonic(), [], None

    def now(self):
        """Seconds since the start."""
        return time.monotonic() - self.began

    def add(self, who, what):
        """Notes one line, and returns its time."""
        at = self.now()
        self.lines.append(f"{at:9.3f}  {who:<12} {what}")
        if self.file is not None:
            print(self.lines[-1], file=self.file)
        return at

    def write(self, path):
        """Writes all lines to a file."""
        Path(path).write_text("\n".join(self.lines) + "\n")


def settings(controllers=1, confirms="accepted", idle_ms=15000.0, kinds=(KIND,)):
    """The settings of a small deployment: two offerings that may run again and one that must not."""
    names = ("shop-web", "proof-render", "press-feed")
    expiries, effects = (6000.0, 5000.0, 10000.0), ("retryable", "retryable", "fragile")
    return {
        "fleet_size": controllers,
        "kinds": list(kinds),
        "discovery": "subscribe",
        "projects": [{"name": "gramatu-stacija", "share": 0.82}, {"name": "plakatu-darbnica", "share": 0.18}],
        "classes": [
            {
                "name": n,
                "give_up_ms": e,
                "on_time_ms": 1000.0,
                "worth": 1.0,
                "late_share": 0.2,
                "idempotency": x,
            }
            for n, e, x in zip(names, expiries, effects, strict=True)
        ],
        "domain": {
            "accepts_cores": 2.5,
            "admit_memory": 1.5,
            "class_calm": [1.0, 0.8, 0.8],
            "class_spread": ["off"] * 3,
            "confirms": confirms,
            "cores_by_kind": [CORES] * len(kinds),
            "fades_over": [1.0, 0.15, 0.25],
            "free_by": "used",
            "kind_by_class": [-1] * 3,
            "quota_cores": [400.0, 100.0],
            "size_memory": [MEMORY] * len(kinds),
            "spread_most": [0] * 3,
            "young_limit": 90.0,
        },
        "permissions": {
            "connect_timeout_ms": 250.0,
            "keepalive_ms": idle_ms,
            "max_attempts": 4,
            "may_probe": True,
            "retry_after": True,
            "cancelling": True,
            "max_retry_after_ms": 3000.0,
        },
        "load_info": {"how": "on_probe", "names": ["x0", "x1", "queue"]},
        "prices": {"fleet": 0.0},
        "rules": {
            "ask_within_ms": 10000.0,
            "cold_ms": 17000.0,
            "cold_share": 0.21,
            "drain_grace_ms": 1000.0,
            "fall_multiple": 3.0,
            "overload_for_ms": 3000.0,
            "answer_slack_ms": 50.0,
        },
    }


def reset(writer):
    """Ends a connection by a reset instead of an orderly close."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        except OSError:
            pass
    writer.transport.abort()


def frame(kind, task, *parameters):
    """One frame of the hosts' protocol; a parameter is a pair of code and bytes."""
    body = b"".join(struct.pack(">BH", code, len(value)) + value for code, value in parameters)
    return struct.pack(">HB8s", 9 + len(body), kind, task) + body


def release(task, cause, note=""):
    """A release or refusal, with the host's reason if it gives one."""
    return frame(RELEASE, task, (CAUSE, bytes([cause])), *([(NAME, note.encode())] if note else []))


async def read_frame(reader):
    """The next frame as its type, task and parameters by code."""
    head = await reader.readexactly(11)
    length, kind, task = struct.unpack(">HB8s", head)
    body, found = await reader.readexactly(length - 9), {}
    while body:
        code, size = struct.unpack(">BH", body[:3])
        found[code], body = body[3 : 3 + size], body[3 + size :]
    return kind, task, found


class Bus:
    """The event bus: numbered events, read by long polling.

    `until_close`: a response has no stated length; the end of its connection ends it, as HTTP/1.1 allows.
    `delay`: seconds by which each response comes late.
    """

    def __init__(self, record, until_close=False, delay=0.0):
        """Starts without events."""
        self.record, self.until_close, self.delay = record, until_close, delay
        self.events, self.changed, self.break_next = [], asyncio.Event(), False

    async def start(self):
        """Listens on a free port."""
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"

    def tell(self, *servers, full=False):
        """Adds an event."""
        number = len(self.events) + 1
        topology = {"version": number, "full": full, "servers": list(servers)}
        self.events.append({"offset": number, "topology": topology})
        self.record.add("bus", f"event {number}: " + ", ".join(f"{s['id']} {s['state']}" for s in servers))
        self.changed.set()
        self.changed = asyncio.Event()

    def known(self):
        """The events so far, as the configuration holds them."""
        return {"offset": len(self.events), "batch": list(self.events)}

    async def serve(self, reader, writer):
        """Answers the requests of one connection."""
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                query = dict(p.split("=") for p in head.split(" ")[1].partition("?")[2].split("&"))
                number, hold = int(query["from"]), min(5000, int(query["hold"])) / 1000
                self.record.add("controller", f"asks the bus for events after {number}")
                if number >= len(self.events):
                    try:
                        await asyncio.wait_for(self.changed.wait(), hold)
                    except TimeoutError:
                        pass
                await asyncio.sleep(self.delay)
                batch = self.events[number:]
                body = json.dumps({"offset": len(self.events), "batch": batch}).encode()
                if not self.until_close:
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
                    await writer.drain()
                    self.record.add("bus", f"answered with {len(batch)} events")
                    continue
                if batch and self.break_next:
                    self.break_next, body = False, body[: len(body) - 40]
                    self.record.add("bus", f"breaks off partway through event {batch[-1]['offset']}")
                else:
                    self.record.add("bus", f"answered with {len(batch)} events")
                writer.write(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + body)
                await writer.drain()
                break
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()


class Standing:
    """A task that stands at a host."""

    def __init__(self, task, connection, offering):
        """`connection`: that of its set-up."""
        self.task, self.connection, self.offering, self.timer = task, connection, offering, None


class Host:
    """One host. It looks at one set-up at a time and accepts it, unless `decide` says otherwise.

    `life`: returns the seconds for which a task stands; `admit`: seconds to look at one set-up.
    `decide`: called with the host, task, offering and connection; returns the cause of a refusal, or None.
    `notes_every`: seconds between notes on what each task uses; 0: none.
    """

    def __init__(self, record, name, life=lambda: 15.0, admit=0.0085, decide=None, notes_every=0.0):
        """Listens nowhere yet."""
        self.record, self.name, self.life, self.admit, self.decide = record, name, life, admit, decide
        self.notes_every = notes_every
        self.standing, self.repeats, self.connections, self.queue = {}, [], [], None
        self.accepted, self.ended, self.setups = {}, {}, []  # task to time; all that came
        self.opened, self.numbers = 0, weakref.WeakKeyDictionary()
        self.started_ms, self.port, self.server, self.background = 0, 0, None, []

    async def start(self):
        """Listens, on the former port if there was one."""
        self.queue = asyncio.Queue()
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port, backlog=256)
        self.port = self.server.sockets[0].getsockname()[1]
        self.background = [asyncio.create_task(self.look())]
        if self.notes_every:
            self.background.append(asyncio.create_task(self.send_notes()))

    def entry(self, state="SERVING"):
        """How the bus lists it."""
        return {
            "id": self.name,
            "addr": f"127.0.0.1:{self.port}",
            "zone": "riga-room1",
            "kind": KIND,
            "cell": 0,
            "state": state,
            "weight": 1,
            "started_ms": self.started_ms,
            "unasked": [
                CORES - OTHERS_CORES - 0.5 * len(self.standing),
                MEMORY - OTHERS_MEMORY - len(self.standing),
            ],
        }

    def die(self):
        """The process dies: its connections are reset and its tasks cut; new connections are refused."""
        self.record.add(self.name, f"dies with {len(self.standing)} tasks")
        for job in self.background:
            job.cancel()
        self.server.close()
        for standing in self.standing.values():
            standing.timer.cancel()
            self.ended[standing.task] = self.record.now()
        self.standing.clear()
        self.repeats.clear()
        for writer in self.connections:
            reset(writer)
        self.connections = []

    async def serve(self, reader, writer):
        """Serves one connection. Releases are sent once more on the next one that is opened, so here."""
        self.connections.append(writer)
        self.opened += 1
        number = self.numbers[writer] = self.opened
        repeats, self.repeats = self.repeats, []
        self.record.add(self.name, f"connection {number} opened")
        if repeats:
            names = " ".join(task.hex() for task, _ in repeats)
            self.record.add(self.name, f"connection {number}: repeats the releases of {names}")
            writer.write(b"".join(release(task, cause) for task, cause in repeats))
        try:
            while True:
                kind, task, parameters = await read_frame(reader)
                if kind == SETUP:
                    offering = parameters[16].decode()
                    self.record.add(self.name, f"set-up {task.hex()} {offering}")
                    self.setups.append(task)
                    self.queue.put_nowait((task, offering, writer))
                elif kind == RELEASE:
                    self.give_up(task, writer)
                elif kind == PING:
                    self.answer_ping(task, writer)
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            pass
        finally:
            self.record.add(self.name, f"connection {number} has ended")
            if writer in self.connections:
                self.connections.remove(writer)
            writer.close()

    def answer_ping(self, task, writer):
        """Passes a test, and reports what its tasks leave unused."""
        cores = CORES - OTHERS_CORES - CORES_EACH * len(self.standing)
        memory = MEMORY - OTHERS_MEMORY - MEMORY_EACH * len(self.standing)
        report = f"x0:{max(0.0, cores):.2f};x1:{max(0.0, memory):.2f};queue:{self.queue.qsize()}"
        writer.write(frame(PONG, task, (CAUSE, b"\x01"), (REPORT, report.encode())))

    def give_up(self, task, writer):
        """The controller gives a set-up up, or ends a task that stands."""
        standing = self.standing.pop(task, None)
        if standing is not None:
            standing.timer.cancel()
            self.ended[task] = self.record.add(self.name, f"cut {task.hex()} for the controller")
            writer.write(release(task, CANCELLED))
        else:
            self.record.add(self.name, f"set-up {task.hex()} given up")

    async def look(self):
        """Looks at one set-up after the other."""
        while True:
            task, offering, writer = await self.queue.get()
            await asyncio.sleep(self.admit)
            if writer not in self.connections:
                continue  # given up with its connection
            cause = self.decide(self, task, offering, writer) if self.decide else None
            if cause is not None:
                self.record.add(self.name, f"refuses {task.hex()} with {cause}")
                writer.write(release(task, cause, "nc" if cause == REFUSED else ""))
                continue
            self.accept(task, offering, writer)

    def accept(self, task, offering, writer):
        """Takes a task, which stands from now on."""
        standing = self.standing[task] = Standing(task, writer, offering)
        self.accepted[task] = self.record.add(self.name, f"accepts {task.hex()}")
        standing.timer = asyncio.get_running_loop().call_later(self.life(), self.end, task)
        writer.write(frame(ANSWER, task, (DESCRIPTION, self.description(task).encode())))

    def description(self, task):
        """The description that this host gives for a task."""
        return SDP + f"a={self.name}-{task.hex()}\r\n"

    def end(self, task, cause=OVER):
        """A task comes to its end; its release goes where the page says."""
        standing = self.standing.pop(task)
        writer = standing.connection
        if writer not in self.connections:
            writer = self.connections[0] if self.connections else None
        where = f"connection {self.numbers[writer]}" if writer is not None else "no connection"
        self.ended[task] = self.record.add(self.name, f"{task.hex()} has come to its end, told on {where}")
        if writer is not None:
            writer.write(release(task, cause))
        self.repeats.append((task, cause))

    async def send_notes(self):
        """Tells what each task uses."""
        while True:
            await asyncio.sleep(self.notes_every)
            for task, standing in list(self.standing.items()):
                if standing.connection in self.connections:
                    for name, value in (("c", CORES_EACH), ("m", MEMORY_EACH)):
                        note = frame(NOTE, task, (NAME, name.encode()), (FIGURE, b"%.1f" % value))
                        standing.connection.write(note)


class HostProcess:
    """A host as a process of its own, which can be stopped and continued. Its record joins the case's.

    `lives`: the least and the most seconds for which a task stands there.
    """

    def __init__(self, record, folder, name, lives):
        """Starts it."""
        self.record, self.name, self.path = record, name, Path(folder) / f"{name}.host"
        order = [sys.executable, __file__, name, str(record.began), str(self.path), *map(str, lives)]
        self.child = subprocess.Popen(order, stdin=subprocess.DEVNULL, stdout=subprocess.PIPE, text=True)
        listed = Host(record, name)
        listed.port = int(self.child.stdout.readline())
        self.entry = listed.entry

    def signal(self, number):
        """Sends it a signal."""
        self.record.add(self.name, f"is sent {signal.Signals(number).name}")
        self.child.send_signal(number)

    def end(self):
        """Ends it, and takes over its record."""
        if self.child.poll() is None:
            self.child.kill()
            self.child.wait()
            if self.path.exists():
                self.record.lines += self.path.read_text().splitlines()
                self.record.lines.sort(key=lambda line: line[:9])


async def run_host(name, began, path, least, most):
    """Runs a host until it is killed; writes its record line by line."""
    record, random = Record(), Random(name)
    record.began, record.file = float(began), open(path, "w", buffering=1)
    host = Host(record, name, life=lambda: random.uniform(float(least), float(most)), notes_every=0.5)
    await host.start()
    print(host.port, flush=True)
    await asyncio.Event().wait()


class Owner:
    """One connection of an owner; `got` has the lines received, by task."""

    numbers = itertools.count(1)

    def __init__(self, record, who="owner"):
        """Not connected yet."""
        self.record, self.who, self.got, self.closed = record, f"{who}{next(Owner.numbers)}", {}, None
        self.changed = asyncio.Event()

    async def connect(self, address):
        """Connects to the controller."""
        self.reader, self.writer = await asyncio.open_connection(*address)
        self.job = asyncio.create_task(self.read())
        return self

    async def read(self):
        """Reads until the connection ends."""
        try:
            while line := await self.reader.readline():
                message = json.loads(line)
                at = self.record.add(self.who, f"receives {line.decode().strip()[:160]}")
                self.got.setdefault(message["id"], []).append((at, message))
                self.notify()
        except (ConnectionError, ValueError) as error:
            self.record.add(self.who, f"{type(error).__name__}")
        if self.closed is None:
            self.closed = self.record.add(self.who, "its connection was closed by the controller")
            self.writer.close()
        self.notify()

    def notify(self):
        """Wakes who waits for a message."""
        self.changed.set()
        self.changed = asyncio.Event()

    def send(self, *messages):
        """Sends messages in one write."""
        for message in messages:
            text = json.dumps({k: v for k, v in message.items() if k != "sdp"})
            self.record.add(self.who, f"sends {text[:200]}")
        self.writer.write(b"".join(json.dumps(m).encode() + b"\n" for m in messages))

    def close(self):
        """Closes the connection."""
        if self.closed is None:
            self.closed = self.record.add(self.who, "closes its connection")
            self.writer.close()

    def message(self, task, kind):
        """Time and content of the first message of that kind on a task, or None."""
        return next(((at, m) for at, m in self.got.get(task, ()) if m["type"] == kind), None)

    async def wait_for(self, task, kinds, timeout):
        """The first message of one of these kinds on a task; None if none comes, or the connection ends."""
        until = time.monotonic() + timeout
        while True:
            changed = self.changed
            for kind in kinds:
                if found := self.message(task, kind):
                    return found
            if self.closed is not None or time.monotonic() >= until:
                return None
            try:
                await asyncio.wait_for(changed.wait(), max(0.001, until - time.monotonic()))
            except TimeoutError:
                pass


task_numbers = itertools.count(0x9B1F03AA5C000000 + (int(time.time()) & 0xFFFF) * 0x10000)


def new_task():
    """A new id."""
    return f"{next(task_numbers):016x}"


def setup(task, offering="shop-web", left=None, at="", service="00000000b4d65521", cores=0.5, memory=1):
    """A set-up; `at`: the host that holds the task already."""
    expiries = {"shop-web": 6000, "proof-render": 5000, "press-feed": 10000}
    extras = f"cores:{cores};memory:{memory};service:{service}" + (f";at:{at}" if at else "")
    return {
        "type": "setup",
        "id": task,
        "fields": {
            "class": offering,
            "left": str(left or expiries[offering]),
            "tenant": "gramatu-stacija",
            "key": task[::-1],
            "extras": extras,
        },
        "sdp": SDP,
    }


def given_up(task):
    """An owner's release: the set-up is given up, or the task that stands is ended."""
    return {"type": "release", "id": task, "fields": {}, "cause": OVER}


class Controller:
    """A controller as the operators start it; `kill` and `start` may follow each other."""

    def __init__(self, record, bus, folder, name="n1", sockets=1024, **rest):
        """`rest` goes to the settings."""
        self.record, self.bus, self.folder, self.name, self.sockets = record, bus, Path(folder), name, sockets
        with socket.socket() as free:
            free.bind(("127.0.0.1", 0))
            self.address = free.getsockname()
        self.settings, self.child, self.starts = settings(**rest), None, 0
        with (ROOT / "deploy" / "balancer.toml").open("rb") as file:
            self.run = tomllib.load(file)["run"]
        self.log = (self.folder / f"{name}.log").open("ab")

    def write_config(self, bus_address=None):
        """Writes the configuration file."""
        content = {
            "name": self.name,
            "listen": f"{self.address[0]}:{self.address[1]}",
            "seed": f"{0x8C1F30D27A5BE964 + self.starts:x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": self.sockets},
            "bus": bus_address or self.bus.address,
            "known": self.bus.known(),
            "settings": self.settings,
        }
        path, fresh = self.folder / f"{self.name}.json", self.folder / f"{self.name}.new"
        fresh.write_text(json.dumps(content))
        fresh.rename(path)
        return path

    async def start(self):
        """Starts it, and returns once it has passed a test."""
        self.starts += 1
        private = self.folder / f"{self.name}.{self.starts}"
        private.mkdir()
        environment = {
            k: v for k, v in os.environ.items() if not k.startswith(("EDGE_", "LINEDEAL_", "PYTHON"))
        } | {
            "EDGE_NAME": self.name,
            "EDGE_LISTEN": f"{self.address[0]}:{self.address[1]}",
            "EDGE_CONFIG": str(self.write_config()),
            "TMPDIR": str(private),
        }
        self.child = subprocess.Popen(
            ["/bin/sh", "-c", self.run],
            cwd=ROOT,
            env=environment,
            stdin=subprocess.DEVNULL,
            stdout=self.log,
            stderr=self.log,
            start_new_session=True,
        )
        self.record.add(self.name, "started")
        until = time.monotonic() + 30
        while time.monotonic() < until:
            if self.child.poll() is not None:
                raise NotRunError(f"the controller ended with {self.child.returncode}")
            if await self.passes_test():
                self.record.add(self.name, "has passed a test")
                return
            await asyncio.sleep(0.02)
        raise NotRunError("the controller was not ready within 30 s")

    async def passes_test(self):
        """Whether it passes a test on a connection of its own."""
        try:
            reader, writer = await asyncio.open_connection(*self.address)
        except OSError:
            return False
        try:
            test = {"type": "ping", "id": new_task(), "fields": {}, "cause": 0}
            writer.write(json.dumps(test).encode() + b"\n")
            line = await asyncio.wait_for(reader.readline(), 2.0)
            return bool(line) and json.loads(line).get("cause") == 1
        except (OSError, TimeoutError):
            return False
        finally:
            writer.close()

    def signal(self, number):
        """Sends it a signal."""
        self.record.add(self.name, f"is sent {signal.Signals(number).name}")
        os.kill(self.child.pid, number)

    async def ended(self):
        """Waits until it has ended; returns its status."""
        while self.child.poll() is None:
            await asyncio.sleep(0.005)
        return self.child.returncode

    def end(self):
        """Ends what is left of it."""
        if self.child is not None and self.child.poll() is None:
            os.killpg(self.child.pid, signal.SIGKILL)
            self.child.wait()
        self.log.close()


def play(case, path, limit=110):
    """Plays `case`, an async function of the record, a temporary folder, the controllers and the trouble.

    It adds those that it starts to the list, and returns the violations that it saw. The record goes to the
    file at `path`. Exits with the status.
    """
    record, controllers, status = Record(), [], NOT_RUN
    trouble = os.environ.get("TROUBLE", "1") != "0"
    temporary = tempfile.mkdtemp(prefix="linedeal-review-")

    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))

    async def run():
        return await asyncio.wait_for(case(record, temporary, controllers, trouble), limit)

    try:
        violations = asyncio.run(run())
        for text in violations:
            record.add("VERDICT", text)
        record.add("VERDICT", f"{len(violations)} violations" if violations else "the rule held")
        status = BROKEN if violations else HELD
    except (Exception, SystemExit) as error:
        record.add("VERDICT", f"not run: {type(error).__name__} {error}")
    finally:
        for controller in controllers:
            controller.end()
        for log in sorted(Path(temporary).glob("*.log")):
            record.lines += ["", f"log of {log.stem}:", *log.read_text(errors="replace").splitlines()[-60:]]
        record.write(path)
        shutil.rmtree(temporary, ignore_errors=True)
    print("\n".join(line for line in record.lines if "VERDICT" in line), flush=True)
    os._exit(status)  # without the complaints of connections that outlive their loop


if __name__ == "__main__":
    asyncio.run(run_host(*sys.argv[1:]))
