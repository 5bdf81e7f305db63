"""How many jobs a second one controller process sustains with 100 stand-in hosts, and what it adds.

The controller runs as a process of its own; hosts that say yes at once, discovery and the load run in others. The
delay is from the bytes of a job's submission leaving the load to its offer reaching a host, both on one clock.
Beside it, in the same run: the module alone, fed in memory with the same course of events (job, yes, end).
"""

import argparse
import json
import random
import re
import signal
import subprocess
import sys
import tempfile
import time
from pathlib import Path

import anyio
from hdrh.histogram import HdrHistogram

from linedeal import interface as api
from linedeal.net import Link, LinkLostError, TcpNet, parse_address
from linedeal.policy import Controller
from linedeal.protocol import FrameReader, encode, pb
from linedeal.settings.cluster import parse_cluster
from linedeal.standin.discovery import Discovery

HOSTS, LIFE = 100, 4.0
CLUSTER = """
cluster {
  controllers = 1
}
kind "std" {
  cores = 64
  memory = 256
}
offering "web" {
  expiry = 10
  effect = "redoable"
}
offering "feed" {
  expiry = 10
  effect = "irreversible"
}
"""


class Hosts:
    """All hosts in one process: each accepts at once, starts at once and ends after LIFE seconds."""

    def __init__(self, net):
        self.net, self.offers = net, {}

    async def serve(self, name, tasks, discovery):
        ends, writing = [], anyio.Lock()

        async def handle(stream):
            link = Link(stream, FrameReader())
            try:
                await link.receive()
                await link.send(encode(pb.Welcome(version=1, name=name, boot=1, age=999)))
                async with anyio.create_task_group() as own:
                    own.start_soon(finish, link)
                    while True:
                        messages = await link.receive_all()
                        now, out = anyio.current_time(), bytearray()
                        for message in messages:
                            if isinstance(message, pb.Offer):
                                self.offers[message.job.id] = now
                                out += encode(pb.Accepted(launch=message.launch))
                                out += encode(pb.Started(launch=message.launch))
                                ends.append((now + LIFE, message.launch))
                            elif isinstance(message, pb.Probe):
                                out += encode(
                                    pb.Report(
                                        number=message.number,
                                        figures={
                                            "idle_cores": 64 - len(ends),
                                            "idle_memory": 256 - len(ends),
                                        },
                                    )
                                )
                        if out:
                            async with writing:
                                await link.send(bytes(out))
            except* LinkLostError:
                pass

        async def finish(link):
            while True:
                await anyio.sleep(0.1)
                out = bytearray()
                while ends and ends[0][0] <= anyio.current_time():
                    out += encode(pb.Ended(launch=ends.pop(0)[1], outcome=pb.DONE))
                if out:
                    async with writing:
                        await link.send(bytes(out))

        address = await tasks.start(self.net.serve, ("127.0.0.1", 0), handle)
        discovery.reports[name] = (
            anyio.current_time() + 1e6,
            pb.HostEntry(
                id=name,
                addresses=[f"127.0.0.1:{address[1]}"],
                kind="std",
                zone="z",
                mode=pb.SERVING,
                boot=1,
                age=1e6 + 999,
                free_cores=64,
                free_memory=256,
            ),
        )


async def load(address, rate, seconds, hosts, journal):
    """Submits at a steady rate over four links; returns sent times by job, and answers."""
    sent, placed, taken = {}, [0], {}
    told, answered = HdrHistogram(1, 60_000_000, 3), HdrHistogram(1, 60_000_000, 3)

    async def one(number, *, task_status):
        rng, writing = random.Random(number), anyio.Lock()
        link = Link(await TcpNet().connect(address), FrameReader())
        await link.send(
            encode(
                pb.Hello(
                    version=1,
                    role=pb.CLIENT,
                    name=f"load{number}",
                    session=f"load{number}" if journal != "off" else "",
                )
            )
        )
        await link.receive()
        task_status.started()

        async def read():
            while True:
                for message in await link.receive_all():
                    if isinstance(message, pb.Taken):
                        taken[message.job] = sent[message.key]
                        told.record_value(max(1, int((anyio.current_time() - sent[message.key]) * 1e6)))
                    elif isinstance(message, pb.Answer):
                        placed[0] += message.verdict == pb.PLACED
                        answered.record_value(max(1, int((anyio.current_time() - sent[message.key]) * 1e6)))
                        if journal != "off":
                            async with writing:
                                await link.send(encode(pb.AnswerSeen(key=message.key)))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(read)
            at, ends = anyio.current_time(), anyio.current_time() + seconds
            count = 0
            while at < ends:
                at += rng.expovariate(rate / 4)
                await anyio.sleep_until(at)
                count += 1
                key = f"{number}-{count}"
                job = pb.JobSpec(
                    offering=rng.choice(("web", "web", "feed")),
                    service=f"s{rng.randrange(50)}",
                    cores=rng.choice((0.5, 1, 2)),
                    memory=rng.choice((1, 2, 4)),
                )
                sent[key] = anyio.current_time()
                async with writing:
                    await link.send(encode(pb.Submit(key=key, job=job)))
            await anyio.sleep(1.5)
            tasks.cancel_scope.cancel()

    async with anyio.create_task_group() as tasks:
        for number in range(4):
            await tasks.start(one, number)
    return sent, taken, placed[0], (told, answered)


def module_alone(jobs):
    """Jobs a second of the module itself: the same hosts, jobs that are accepted and end after as many others."""
    settings = parse_cluster(CLUSTER).settings
    module, rng = Controller(settings, 1, 0.0), random.Random(1)
    entries = tuple(
        api.HostEntry(f"h{i}", "std", "z", 0, api.Mode.SERVING, 0.0, 64.0, 256.0) for i in range(HOSTS)
    )
    module.begin()
    module.handle(0.0, api.HostsListed(entries, True))
    now, ends = 0.0, []
    begun = time.process_time()
    for number in range(jobs):
        now += 1 / 800
        job = api.Job(
            f"j{number}",
            rng.choice(("web", "web", "feed")),
            "",
            f"s{rng.randrange(50)}",
            rng.choice((0.5, 1, 2)),
            rng.choice((1, 2, 4)),
            now + 10,
        )
        actions = list(module.handle(now, api.JobArrived(job))) + list(module.schedule_waiting(now))
        for action in actions:
            if isinstance(action, api.Launch):
                module.handle(now, api.LaunchConfirmed(action.job, 1, action.host))
                module.handle(now, api.MetricReported(action.job, action.host, "started", 1.0))
                ends.append((now + LIFE, action))
            elif isinstance(action, api.Probe):
                module.handle(
                    now, api.HostProbed(action.host, True, {"idle_cores": 40.0, "idle_memory": 200.0})
                )
        while ends and ends[0][0] <= now:
            _, ended = ends.pop(0)
            module.handle(
                now, api.LaunchEnded(ended.job, 1, ended.host, api.Result.DONE, api.Reason.UNTOLD, True)
            )
    return jobs / (time.process_time() - begun)


async def run(rate, seconds, profile, journal):
    net = TcpNet()
    with tempfile.TemporaryDirectory() as directory:
        cluster = Path(directory) / "cluster.hcl"
        cluster.write_text(
            CLUSTER + "journal {\n  power = %s\n}\n" % ("true" if journal == "power" else "false")
        )
        async with anyio.create_task_group() as tasks:
            discovery = Discovery(net)
            watched = await tasks.start(discovery.run, ("127.0.0.1", 0))
            hosts = Hosts(net)
            for number in range(HOSTS):
                await hosts.serve(f"h{number}", tasks, discovery)
            await anyio.sleep(0.6)
            command = [
                "-m",
                "linedeal",
                "controller",
                "--name",
                "c",
                "--cluster",
                str(cluster),
                "--discovery",
                f"127.0.0.1:{watched[1]}",
                "--state",
                directory + "/state",
                "--seed",
                "1",
            ]
            if profile:
                command = ["-m", "cProfile", "-s", "tottime", *command]
            process = await anyio.open_process([sys.executable, *command], stderr=subprocess.DEVNULL)
            line = await process.stdout.receive()
            address = parse_address(json.loads(line)["address"])
            await anyio.sleep(HOSTS / 20 + 1)  # each host has been asked what it holds
            before = cpu_of(process.pid)
            sent, taken, placed, told = await load(address, rate, seconds, hosts, journal)
            busy = cpu_of(process.pid) - before
            memory = int(
                re.search(r"VmHWM:\s+(\d+)", Path(f"/proc/{process.pid}/status").read_text()).group(1)
            )
            delays = HdrHistogram(1, 60_000_000, 3)
            for job, at in taken.items():
                if job in hosts.offers:
                    delays.record_value(max(1, int((hosts.offers[job] - at) * 1e6)))
            process.send_signal(signal.SIGTERM)
            if profile:
                text = b""
                try:
                    while True:
                        text += await process.stdout.receive()
                except anyio.EndOfStream:
                    print(text.decode()[:4000])
            await process.wait()
            tasks.cancel_scope.cancel()
    return len(sent), len(taken), placed, delays, told, busy, memory


def cpu_of(pid):
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / 100


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--rates", default="250,500,750")
    parser.add_argument("--journal", default="off", help="off, process, power: which of them, with commas")
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--profile", action="store_true")
    args = parser.parse_args()
    print(
        f"{HOSTS} stand-in hosts, 4 client links, {args.seconds:g} s at each rate, jobs that run {LIFE:g} s"
    )
    alone = module_alone(8000)
    print(f"module alone: {alone:.0f} jobs a second of CPU")
    print(
        f"{'journal':<9}{'rate':>6}{'taken/s':>9}{'placed':>8}{'p50 ms':>8}{'p99':>8}{'p99.9':>8}{'tak p50':>8}{'p99':>8}{'ans p50':>8}{'p99':>8}{'CPU share':>11}"
        f"{'jobs/CPU s':>12}{'of module':>11}{'MiB':>6}"
    )
    for journal, rate in [
        (j, float(text)) for text in args.rates.split(",") for j in args.journal.split(",")
    ]:
        asked, taken, placed, delays, told, busy, memory = anyio.run(
            run, rate, args.seconds, args.profile, journal, backend_options={"use_uvloop": True}
        )
        points = [delays.get_value_at_percentile(p) / 1000 for p in (50, 99, 99.9)]
        points += [times.get_value_at_percentile(p) / 1000 for times in told for p in (50, 99)]
        print(
            f"{journal:<9}{rate:>6.0f}{taken / args.seconds:>9.0f}{placed / max(1, asked):>8.1%}"
            + "".join(f"{point:>8.2f}" for point in points)
            + f"{busy / args.seconds:>11.0%}{taken / busy:>12.0f}{taken / busy / alone:>11.2f}{memory / 1024:>6.0f}"
        )


if __name__ == "__main__":
    main()
