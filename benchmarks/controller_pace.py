"""Throughput of one controller process with 100 stand-in hosts, and the delay that it adds.

The controller runs in a separate process; discovery, the load generator and hosts that accept at once run
in this one. The delay is measured from the submission of a job by the load generator until its offer reaches
a host, both on the same clock. For comparison, the policy module alone is given the same sequence of events
in memory: job, acceptance, end.
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

HOST_COUNT, JOB_SECONDS = 100, 4.0
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
    """Hosts in this process that accept and start each job at once and end it after JOB_SECONDS."""

    def __init__(self, net):
        """`offers` gets the time of the last offer of each job, by job id."""
        self.net, self.offers = net, {}

    async def serve(self, name, tasks, discovery):
        """Starts a host in the task group `tasks` and enters it in the list of `discovery`."""
        ends, write_lock = [], anyio.Lock()

        async def serve_link(stream):
            link = Link(stream, FrameReader())
            try:
                await link.receive()
                await link.send(encode(pb.Welcome(version=1, name=name, boot=1, age=999)))
                async with anyio.create_task_group() as host_tasks:
                    host_tasks.start_soon(end_jobs, link)
                    while True:
                        messages = await link.receive_all()
                        now, replies = anyio.current_time(), bytearray()
                        for message in messages:
                            if isinstance(message, pb.Offer):
                                self.offers[message.job.id] = now
                                replies += encode(pb.Accepted(launch=message.launch))
                                replies += encode(pb.Started(launch=message.launch))
                                ends.append((now + JOB_SECONDS, message.launch))
                            elif isinstance(message, pb.Probe):
                                replies += encode(
                                    pb.Report(
                                        number=message.number,
                                        figures={
                                            "idle_cores": 64 - len(ends),
                                            "idle_memory": 256 - len(ends),
                                        },
                                    )
                                )
                        if replies:
                            async with write_lock:
                                await link.send(bytes(replies))
            except* LinkLostError:
                pass

        async def end_jobs(link):
            while True:
                await anyio.sleep(0.1)
                replies = bytearray()
                while ends and ends[0][0] <= anyio.current_time():
                    replies += encode(pb.Ended(launch=ends.pop(0)[1], outcome=pb.DONE))
                if replies:
                    async with write_lock:
                        await link.send(bytes(replies))

        address = await tasks.start(self.net.serve, ("127.0.0.1", 0), serve_link)
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
    """Submits jobs over four links, with exponentially distributed pauses, at `rate` jobs per second.

    Returns the submission times by key, those of accepted jobs by job id, the number of jobs placed, and
    the histograms of the delays to acceptance and to the answer, in microseconds.
    """
    sent, placed, accepted = {}, [0], {}
    accepted_delays, answered_delays = HdrHistogram(1, 60_000_000, 3), HdrHistogram(1, 60_000_000, 3)

    async def run_client(number, *, task_status):
        rng, write_lock = random.Random(number), anyio.Lock()
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

        async def read_replies():
            while True:
                for message in await link.receive_all():
                    if isinstance(message, pb.Taken):
                        accepted[message.job] = sent[message.key]
                        accepted_delays.record_value(
                            max(1, int((anyio.current_time() - sent[message.key]) * 1e6))
                        )
                    elif isinstance(message, pb.Answer):
                        placed[0] += message.verdict == pb.PLACED
                        answered_delays.record_value(
                            max(1, int((anyio.current_time() - sent[message.key]) * 1e6))
                        )
                        if journal != "off":
                            async with write_lock:
                                await link.send(encode(pb.AnswerSeen(key=message.key)))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(read_replies)
            send_at, end_at = anyio.current_time(), anyio.current_time() + seconds
            count = 0
            while send_at < end_at:
                send_at += rng.expovariate(rate / 4)
                await anyio.sleep_until(send_at)
                count += 1
                key = f"{number}-{count}"
                job = pb.JobSpec(
                    offering=rng.choice(("web", "web", "feed")),
                    service=f"s{rng.randrange(50)}",
                    cores=rng.choice((0.5, 1, 2)),
                    memory=rng.choice((1, 2, 4)),
                )
                sent[key] = anyio.current_time()
                async with write_lock:
                    await link.send(encode(pb.Submit(key=key, job=job)))
            await anyio.sleep(1.5)
            tasks.cancel_scope.cancel()

    async with anyio.create_task_group() as tasks:
        for number in range(4):
            await tasks.start(run_client, number)
    return sent, accepted, placed[0], (accepted_delays, answered_delays)


def module_alone(jobs):
    """Jobs per second of CPU time that the module alone handles.

    The hosts are the same; each job is accepted at once and ends after JOB_SECONDS, at 800 jobs per second.
    """
    settings = parse_cluster(CLUSTER).settings
    module, rng = Controller(settings, 1, 0.0), random.Random(1)
    entries = tuple(
        api.HostEntry(f"h{i}", "std", "z", 0, api.Mode.SERVING, 0.0, 64.0, 256.0) for i in range(HOST_COUNT)
    )
    module.begin()
    module.handle(0.0, api.HostsListed(entries, True))
    now, ends = 0.0, []
    started_at = time.process_time()
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
                ends.append((now + JOB_SECONDS, action))
            elif isinstance(action, api.Probe):
                module.handle(
                    now, api.HostProbed(action.host, True, {"idle_cores": 40.0, "idle_memory": 200.0})
                )
        while ends and ends[0][0] <= now:
            _, ended = ends.pop(0)
            module.handle(
                now, api.LaunchEnded(ended.job, 1, ended.host, api.Result.DONE, api.Reason.UNTOLD, True)
            )
    return jobs / (time.process_time() - started_at)


async def run(rate, seconds, profile, journal):
    """Runs a controller under load.

    Returns the numbers of jobs sent, accepted and placed, the histogram of delays to the offer, those that
    `load` returns, the controller's CPU seconds and its peak memory in KiB.
    """
    net = TcpNet()
    with tempfile.TemporaryDirectory() as directory:
        cluster = Path(directory) / "cluster.hcl"
        cluster.write_text(
            CLUSTER + "journal {\n  power = %s\n}\n" % ("true" if journal == "power" else "false")
        )
        async with anyio.create_task_group() as tasks:
            discovery = Discovery(net)
            discovery_address = await tasks.start(discovery.run, ("127.0.0.1", 0))
            hosts = Hosts(net)
            for number in range(HOST_COUNT):
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
                f"127.0.0.1:{discovery_address[1]}",
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
            await anyio.sleep(HOST_COUNT / 20 + 1)  # until each host has reported the jobs that it holds
            cpu_before = cpu_of(process.pid)
            sent, accepted, placed, client_delays = await load(address, rate, seconds, hosts, journal)
            cpu_seconds = cpu_of(process.pid) - cpu_before
            memory = int(
                re.search(r"VmHWM:\s+(\d+)", Path(f"/proc/{process.pid}/status").read_text()).group(1)
            )
            delays = HdrHistogram(1, 60_000_000, 3)
            for job, sent_at in accepted.items():
                if job in hosts.offers:
                    delays.record_value(max(1, int((hosts.offers[job] - sent_at) * 1e6)))
            process.send_signal(signal.SIGTERM)
            if profile:
                profile_text = b""
                try:
                    while True:
                        profile_text += await process.stdout.receive()
                except anyio.EndOfStream:
                    print(profile_text.decode()[:4000])
            await process.wait()
            tasks.cancel_scope.cancel()
    return len(sent), len(accepted), placed, delays, client_delays, cpu_seconds, memory


def cpu_of(pid):
    """CPU seconds, user and system, that a process has used; assumes 100 clock ticks per second."""
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / 100


def main():
    """Runs the module alone, then a controller for each rate and journal setting, and prints a table."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--rates", default="250,500,750")
    parser.add_argument(
        "--journal", default="off", help="journal settings, separated by commas: off, process, power"
    )
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--profile", action="store_true")
    arguments = parser.parse_args()
    print(
        f"{HOST_COUNT} stand-in hosts, 4 client links, {arguments.seconds:g} s at each rate, "
        f"jobs that run {JOB_SECONDS:g} s"
    )
    alone = module_alone(8000)
    print(f"module alone: {alone:.0f} jobs per second of CPU time")
    print(
        f"{'journal':<9}{'rate':>6}{'acc/s':>9}{'placed':>8}{'p50 ms':>8}{'p99':>8}{'p99.9':>8}"
        f"{'acc p50':>8}{'p99':>8}{'ans p50':>8}{'p99':>8}{'CPU share':>11}"
        f"{'jobs/CPU s':>12}{'of module':>11}{'MiB':>6}"
    )
    for journal, rate in [
        (name, float(text)) for text in arguments.rates.split(",") for name in arguments.journal.split(",")
    ]:
        sent, accepted, placed, delays, client_delays, cpu_seconds, memory = anyio.run(
            run, rate, arguments.seconds, arguments.profile, journal, backend_options={"use_uvloop": True}
        )
        percentiles = [delays.get_value_at_percentile(p) / 1000 for p in (50, 99, 99.9)]
        percentiles += [times.get_value_at_percentile(p) / 1000 for times in client_delays for p in (50, 99)]
        print(
            f"{journal:<9}{rate:>6.0f}{accepted / arguments.seconds:>9.0f}{placed / max(1, sent):>8.1%}"
            + "".join(f"{value:>8.2f}" for value in percentiles)
            + f"{cpu_seconds / arguments.seconds:>11.0%}{accepted / cpu_seconds:>12.0f}"
            + f"{accepted / cpu_seconds / alone:>11.2f}{memory / 1024:>6.0f}"
        )


if __name__ == "__main__":
    main()
