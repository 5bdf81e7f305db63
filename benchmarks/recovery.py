"""How long a controller takes, after its start, to settle what its journal says it owes; what a job costs on disk.

    python benchmarks/recovery.py [--jobs 1000,10000] [--hosts 20]

In one process over pipes in memory, in real time: of the jobs, seven tenths run on their hosts (the host's account
settles them), two tenths were never launched (back to the module), one tenth were launched and never arrived (same
boot, not named: back to the module). "Decided" is when recovery has said what becomes of each, "answered" when the
module has placed those that went back to it too.
"""

import argparse
import tempfile
import time
from dataclasses import replace
from pathlib import Path
from random import Random

import anyio

from linedeal.controller.runtime import Runtime, Setup
from linedeal.engine import effects
from linedeal.interface import Job
from linedeal.lab.play import QUIET_LOG
from linedeal.net.memory import MemoryNet
from linedeal.protocol import pb
from linedeal.settings.cluster import parse_cluster
from linedeal.standin.discovery import Discovery
from linedeal.standin.host import HostServer
from linedeal.standin.model import HeldLaunch, HostBehavior, HostModel
from linedeal.state import Store, journal_clock
from linedeal.state.journal import Journal

CLUSTER = """
cluster {
  controllers = 1
}
kind "std" {
  cores = 100000
  memory = 100000
}
offering "web" {
  expiry = 60
  effect = "redoable"
}
offering "feed" {
  expiry = 60
  effect = "irreversible"
}
"""


def fill(directory: Path, jobs: int, hosts: int) -> tuple[dict[str, list], int]:
    """A journal as a life 1 with so many jobs would leave it; what each host holds, and the bytes it takes."""
    store = Store(directory)
    store.next_life()
    journal = Journal(store, reserve_bytes=1 << 16)
    clock = journal_clock.resume(
        None, journal_clock.current_boot_id(), journal_clock.monotonic(), time.time(), 0.0
    )
    store.save_clock(clock.base)
    at, held = clock.at(journal_clock.monotonic()), {f"h{n:02}": [] for n in range(hosts)}
    before = (directory / "controller.db").stat().st_size
    for begin in range(0, jobs, 100):
        emitted = []
        for n in range(begin, min(begin + 100, jobs)):
            offering = ("web", "feed")[n % 2]
            job = Job(f"c.1.{n}", offering, "school", f"s{n % 50}", 1.0, 1.0, 60.0)
            emitted.append(effects.AcceptJob(1, f"k{n}", job.id, "s", job, 60.0, follow=True))
            if n % 10 < 8:
                host = f"h{n % hosts:02}"
                emitted.append(effects.SendLaunch(host, n, job, 3.0, 1, True))
                if n % 10 < 7:
                    held[host].append((n, job))
        journal.write(at, 1, emitted)
    store.db.execute("PRAGMA wal_checkpoint(TRUNCATE)")
    size = (directory / "controller.db").stat().st_size - before
    store.close()
    return held, size


async def measure(directory: Path, jobs: int, hosts: int) -> dict:
    held, size = fill(directory, jobs, hosts)
    cluster = parse_cluster(CLUSTER)
    cluster = replace(cluster, limits=replace(cluster.limits, held=3 * jobs))
    net, result = MemoryNet(), {"jobs": jobs, "hosts": hosts, "journal bytes a job": round(size / jobs)}
    async with anyio.create_task_group() as tasks:
        await tasks.start(Discovery(net).run, ("discovery", 1))
        for name, copies in held.items():
            model = HostModel(
                name,
                "std",
                cluster,
                HostBehavior(life=1e6, queue=10**6, starts=10**6),
                1,
                Random(name),
                anyio.current_time(),
                False,
            )
            for number, job in copies:
                copy = HeldLaunch(
                    ("c", 1, number),
                    pb.JobSpec(id=job.id, offering=job.offering, service=job.service, cores=1.0, memory=1.0),
                    1.0,
                    pb.RUNNING,
                )
                model.launches[copy.id] = copy
            await tasks.start(HostServer(model, net, ("discovery", 1), f"{name}:1", "z", 0).run, (name, 1))
        await anyio.sleep(0.5)
        began = time.perf_counter()
        runtime = Runtime(
            Setup("c", cluster, ("c", 1), ("discovery", 1), 7), Store(directory), net, QUIET_LOG
        )
        await tasks.start(runtime.run)
        result["read and taking jobs"] = time.perf_counter() - began
        engine, worst = runtime.engine, 0.0
        while engine.unresolved or engine.unanswered:
            if not engine.unresolved and "decided" not in result:
                result["decided"] = time.perf_counter() - began
            mark = time.perf_counter()
            await anyio.sleep(0.001)
            worst = max(worst, time.perf_counter() - mark)
        result.setdefault("decided", time.perf_counter() - began)
        result["answered"] = time.perf_counter() - began
        result["longest time that links waited"] = worst
        result["placed"] = engine.counts["placed"]
        tasks.cancel_scope.cancel()
    return result


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--jobs", default="1000,10000")
    parser.add_argument("--hosts", type=int, default=20)
    args = parser.parse_args()
    base = None
    for jobs in map(int, args.jobs.split(",")):
        with tempfile.TemporaryDirectory() as place:
            result = anyio.run(measure, Path(place), jobs, args.hosts)
        base = base or result
        print(
            ", ".join(
                f"{name} {value:.3f} s" if isinstance(value, float) else f"{name} {value}"
                for name, value in result.items()
            )
        )
        print(
            f"  {jobs / base['jobs']:g} times the jobs, decided in {result['decided'] / base['decided']:.2f} times the "
            f"time, answered in {result['answered'] / base['answered']:.2f} times"
        )


if __name__ == "__main__":
    main()
