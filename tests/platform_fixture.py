"""Simulated parts of the platform on loopback: settings, scripted event bus and hosts, an owner."""

import json
import time
from contextlib import asynccontextmanager

import anyio
import anyio.abc

from linedeal import interface as api
from linedeal.net import TcpNet
from linedeal.platform import config, host_codec, owner_codec
from linedeal.platform.host_codec import Code, Type
from linedeal.platform.service import Service

SETUP = {
    "fleet_size": 1,
    "kinds": ["std"],
    "discovery": "subscribe",
    "projects": [{"name": "acme"}],
    "classes": [
        {
            "name": name,
            "give_up_ms": 6000.0,
            "worth": 1.0,
            "idempotency": effect,
            "group": "all",
            "window_ms": 5000.0,
        }
        for name, effect in (("web", "retryable"), ("mail", "dedup"), ("feed", "fragile"))
    ],
    "domain": {
        "accepts_cores": 2.0,
        "admit_memory": 1.5,
        "class_calm": [1.0] * 3,
        "class_spread": ["off"] * 3,
        "confirms": "accepted",
        "cores_by_kind": [36],
        "fades_over": [1.0] * 3,
        "free_by": "used",
        "kind_by_class": [-1] * 3,
        "quota_cores": [100.0],
        "size_memory": [80.0],
        "spread_most": [2] * 3,
        "young_limit": 94.0,
    },
    "permissions": {
        "connect_timeout_ms": 250.0,
        "keepalive_ms": 15000.0,
        "max_attempts": 4,
        "may_probe": True,
    },
    "prices": {"fleet": 0.0},
    "rules": {"ask_within_ms": 10000.0, "cold_ms": 17000.0, "overload_for_ms": 3000.0},
}
SDP = "9d41c07a5be2f318\r\nc=IN IP4 10.4.7.9\r\n"


def config_file(bus, known, sockets=256, setup=SETUP, memory_mb=64):
    return {
        "name": "n1",
        "listen": "127.0.0.1:0",
        "seed": "8c1f30d27a5be964",
        "bus": bus,
        "known": known,
        "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
        "settings": setup,
    }


def parsed_config(**rest):
    return config.parse(
        json.dumps(config_file("127.0.0.1:9", {"offset": 0, "batch": []}, **rest)).encode(), "config.json"
    )


SETTINGS = parsed_config().cluster.settings


class Host:
    """Accepts all jobs. `script(host, stream, frame)` returns True for a frame that it has handled itself."""

    def __init__(self, script=None):
        self.script = script
        self.frames: list[host_codec.Frame] = []
        self.streams: list[anyio.abc.SocketStream] = []
        self.running: set[bytes] = set()
        self.scope = anyio.CancelScope()

    async def run(self, *, task_status):
        with self.scope:
            listener = await anyio.create_tcp_listener(
                local_host="127.0.0.1", local_port=getattr(self, "port", 0)
            )
            async with listener:
                self.port = listener.extra(anyio.abc.SocketAttribute.local_port)
                task_status.started()
                await listener.serve(self.handle)

    async def stop(self):
        self.scope.cancel()
        for stream in self.streams:
            await anyio.aclose_forcefully(stream)

    async def handle(self, stream):
        self.streams.append(stream)
        reader = host_codec.FrameReader()
        try:
            while True:
                for frame in reader.feed(await stream.receive()):
                    self.frames.append(frame)
                    if not (self.script and await self.script(self, stream, frame)):
                        await self.default_reply(stream, frame)
        except (anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError):
            self.streams.remove(stream)

    async def default_reply(self, stream, frame):
        if frame.type == Type.SETUP:
            self.running.add(frame.task)
            await stream.send(answer(frame.task))
        elif frame.type == Type.PING:
            await stream.send(
                host_codec.encode(
                    Type.PONG,
                    frame.task,
                    host_codec.parameter(Code.CAUSE, b"\x01")
                    + host_codec.parameter(Code.REPORT, b"x0:36;x1:80;queue:0"),
                )
            )
        elif frame.type == Type.RELEASE and frame.task in self.running:
            self.running.discard(frame.task)
            await stream.send(release(frame.task, 31))

    def received(self, kind):
        return [frame for frame in self.frames if frame.type == kind]


def answer(task, description=SDP + "host\r\n"):
    return host_codec.encode(Type.ANSWER, task, host_codec.parameter(Code.DESCRIPTION, description.encode()))


def release(task, cause, note=None):
    named = host_codec.parameter(Code.NAME, note.encode()) if note else b""
    return host_codec.encode(Type.RELEASE, task, host_codec.parameter(Code.CAUSE, bytes([cause])) + named)


class Bus:
    """Answers each call with the events so far; `on_call` returns True for a call it has answered itself."""

    def __init__(self, on_call=None):
        self.events, self.on_call, self.calls, self.changed = [], on_call, [], anyio.Event()

    def publish(self, *servers, full=False):
        offset = len(self.events) + 1
        self.events.append(
            {"offset": offset, "topology": {"version": offset, "full": full, "servers": list(servers)}}
        )
        self.changed.set()
        self.changed = anyio.Event()

    def known(self):
        return {"offset": len(self.events), "batch": list(self.events)}

    async def run(self, *, task_status):
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1", local_port=0)
        async with listener:
            self.address = f"127.0.0.1:{listener.extra(anyio.abc.SocketAttribute.local_port)}"
            task_status.started()
            await listener.serve(self.handle)

    async def handle(self, stream):
        data = b""
        try:
            while True:
                while b"\r\n\r\n" not in data:
                    data += await stream.receive()
                head, _, data = data.partition(b"\r\n\r\n")
                number = int(head.split(b"from=")[1].split(b"&")[0])
                self.calls.append(number)
                if self.on_call and await self.on_call(self, stream, number):
                    return
                if number >= len(self.events):
                    with anyio.move_on_after(2.0):
                        await self.changed.wait()
                body = json.dumps({"offset": len(self.events), "batch": self.events[number:]}).encode()
                await stream.send(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
        except (anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError):
            pass


class OwnerClient:
    """One connection of an owner; `received` has all lines so far, `closed` is set once it has ended."""

    def __init__(self, stream):
        self.stream, self.received, self.closed, self.arrival = stream, [], anyio.Event(), anyio.Event()
        self.send_lock = anyio.Lock()

    async def read(self):
        reader = owner_codec.LineReader()
        try:
            while True:
                for line in reader.feed(await self.stream.receive()):
                    self.received.append((line.type, line.id, line.cause, line.sdp))
                    self.arrival.set()
                    self.arrival = anyio.Event()
        except (anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError):
            self.closed.set()

    async def send(self, kind, task, cause=None, sdp=None, **fields):
        line = {"type": kind, "id": task, "fields": fields, "cause": cause, "sdp": sdp}
        async with self.send_lock:
            await self.stream.send(
                json.dumps({k: v for k, v in line.items() if v is not None}).encode() + b"\n"
            )

    async def setup(self, task, offering="web", at="", left="3000", service="s", cores=1, **fields):
        extras = f"cores:{cores};memory:2;service:{service}" + (f";at:{at}" if at else "")
        await self.send(
            "setup",
            task,
            sdp=SDP,
            left=left,
            tenant="acme",
            key="k",
            extras=extras,
            **{"class": offering} | fields,
        )

    async def wait_for(self, kind, task, within=3.0):
        """The first line of that kind for the task."""
        with anyio.fail_after(within):
            while True:
                arrival = self.arrival
                found = [line for line in self.received if line[:2] == (kind, task)]
                if found:
                    return found[0]
                await arrival.wait()


def setup_line(task, fields=(), sdp=SDP):
    """A set-up of a small job, as it is sent; `fields`: more of them."""
    known = {"class": "web", "left": "6000", "tenant": "acme", "extras": "cores:0.1;memory:0.1;service:s"}
    line = {"type": "setup", "id": task, "fields": known | dict(fields), "sdp": sdp}
    return json.dumps(line, separators=(",", ":")).encode() + b"\n"


class PlatformCluster:
    """The controller under test with its bus and hosts."""

    def __init__(self, tasks, service, bus, hosts_of, address):
        self.tasks, self.service, self.bus, self.hosts, self.address = tasks, service, bus, hosts_of, address

    async def client(self):
        client = OwnerClient(await TcpNet().connect(self.address))
        self.tasks.start_soon(client.read)
        return client

    def server_entry(self, name, state="SERVING", **rest):
        return {
            "id": name,
            "addr": f"127.0.0.1:{self.hosts[name].port}",
            "kind": "std",
            "zone": "z",
            "cell": 0,
            "state": state,
            "started_ms": 0,
            "unasked": [36, 80],
        } | rest

    async def wait_until(self, seconds, condition):
        with anyio.fail_after(seconds):
            while not condition():
                await anyio.sleep(0.01)


@asynccontextmanager
async def platform_cluster(tmp_path, log, hosts_of=None, on_call=None, net=None, **rest):
    """Runs a controller on loopback with its bus and its hosts, h1 and h2 unless given."""
    hosts_of = hosts_of or {"h1": Host(), "h2": Host()}
    async with anyio.create_task_group() as tasks:
        bus = Bus(on_call)
        await tasks.start(bus.run)
        for host in hosts_of.values():
            await tasks.start(host.run)
        cluster = PlatformCluster(tasks, None, bus, hosts_of, None)
        bus.publish(*(cluster.server_entry(name) for name in hosts_of), full=True)
        path = tmp_path / "config.json"
        path.write_text(json.dumps(config_file(bus.address, bus.known(), **rest)))
        cluster.service = Service(config.read(str(path)), str(path), net or TcpNet(), log)
        cluster.address = await tasks.start(cluster.service.run)
        cluster.path = path
        with anyio.fail_after(60):
            yield cluster
        tasks.cancel_scope.cancel()


def unix_ms_ago(seconds):
    """The Unix time so many seconds ago, in milliseconds."""
    return int((time.time() - seconds) * 1000)


def running_job_count(service, host):
    """How many jobs the decision module counts on that host."""
    return len(service.engine.module.hosts[host].jobs)


__all__ = [
    "SETTINGS",
    "SDP",
    "Bus",
    "OwnerClient",
    "PlatformCluster",
    "Host",
    "answer",
    "api",
    "config_file",
    "platform_cluster",
    "running_job_count",
    "unix_ms_ago",
    "parsed_config",
    "release",
    "setup_line",
]
