"""Time that a controller needs after a start to recover the jobs in its journal, and disk space for each job.

    python benchmarks/recovery.py [--jobs 1000,10000] [--hosts 20]

Runs in one process over in-memory pipes, in real time. Seven tenths of the jobs run on their hosts, and the
host's report resolves them. Two tenths were never launched, and go back to the policy module. One tenth were
launched but never reached the host, which has the same boot and does not report them; they also go back to
the module. "Decided" is when recovery has resolved every job, "answered" is when the module has also
placed the jobs that went back to it.
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


def write_journal(directory: Path, jobs: int, hosts: int) -> tuple[dict[str, list], int]:
    """Writes the journal that incarnation 1 leaves behind with `jobs` jobs.

    Returns the launches that each host holds, as (number, job), and the size of the journal in bytes.
    """
    store = Store(directory)
    store.next_life()
    journal = Journal(store, reserve_bytes=1 << 16)
    clock = journal_clock.resume(
        None, journal_clock.current_boot_id(), journal_clock.monotonic(), time.time(), 0.0
    )
    store.save_clock(clock.base)
    now, held = clock.at(journal_clock.monotonic()), {f"h{n:02}": [] for n in range(hosts)}
    empty_size = (directory / "controller.db").stat().st_size
    for first in range(0, jobs, 100):
        emitted = []
        for n in range(first, min(first + 100, jobs)):
            offering = ("web", "feed")[n % 2]
            job = Job(f"c.1.{n}", offering, "school", f"s{n % 50}", 1.0, 1.0, 60.0)
            emitted.append(effects.AcceptJob(1, f"k{n}", job.id, "s", job, 60.0, follow=True))
            if n % 10 < 8:
                host = f"h{n % hosts:02}"
                emitted.append(effects.SendLaunch(host, n, job, 3.0, 1, True))
                if n % 10 < 7:
                    held[host].append((n, job))
        journal.write(now, 1, emitted)
    store.db.execute("PRAGMA wal_checkpoint(TRUNCATE)")
    size = (directory / "controller.db").stat().st_size - empty_size
    store.close()
    return held, size


async def measure(directory: Path, jobs: int, hosts: int) -> dict:
    """Starts a controller on a journal with `jobs` jobs; returns what is printed, with times in seconds."""
    held, size = write_journal(directory, jobs, hosts)
    cluster = parse_cluster(CLUSTER)
    cluster = replace(cluster, limits=replace(cluster.limits, held=3 * jobs))
    net, result = MemoryNet(), {"jobs": jobs, "hosts": hosts, "journal bytes a job": round(size / jobs)}
    async with anyio.create_task_group() as tasks:
        await tasks.start(Discovery(net).run, ("discovery", 1))
        for name, held_launches in held.items():
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
            for number, job in held_launches:
                launch = HeldLaunch(
                    ("c", 1, number),
                    pb.JobSpec(id=job.id, offering=job.offering, service=job.service, cores=1.0, memory=1.0),
                    1.0,
                    pb.RUNNING,
                )
                model.launches[launch.id] = launch
            await tasks.start(HostServer(model, net, ("discovery", 1), f"{name}:1", "z", 0).run, (name, 1))
        await anyio.sleep(0.5)
        started_at = time.perf_counter()
        runtime = Runtime(
            Setup("c", cluster, ("c", 1), ("discovery", 1), 7), Store(directory), net, QUIET_LOG
        )
        await tasks.start(runtime.run)
        result["read and taking jobs"] = time.perf_counter() - started_at
        engine, longest_wait = runtime.engine, 0.0
        while engine.unresolved or engine.unanswered:
            if not engine.unresolved and "decided" not in result:
                result["decided"] = time.perf_counter() - started_at
            slept_at = time.perf_counter()
            await anyio.sleep(0.001)
            longest_wait = max(longest_wait, time.perf_counter() - slept_at)
        result.setdefault("decided", time.perf_counter() - started_at)
        result["answered"] = time.perf_counter() - started_at
        result["longest time that links waited"] = longest_wait
        result["placed"] = engine.counts["placed"]
        tasks.cancel_scope.cancel()
    return result


def main() -> None:
    """Measures each number of jobs and prints the times, also as ratios to the first number."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--jobs", default="1000,10000")
    parser.add_argument("--hosts", type=int, default=20)
    arguments = parser.parse_args()
    baseline = None
    for jobs in map(int, arguments.jobs.split(",")):
        with tempfile.TemporaryDirectory() as directory:
            result = anyio.run(measure, Path(directory), jobs, arguments.hosts)
        baseline = baseline or result
        print(
            ", ".join(
                f"{name} {value:.3f} s" if isinstance(value, float) else f"{name} {value}"
                for name, value in result.items()
            )
        )
        print(
            f"  {jobs / baseline['jobs']:g} times the jobs, "
            f"decided in {result['decided'] / baseline['decided']:.2f} times the time, "
            f"answered in {result['answered'] / baseline['answered']:.2f} times"
        )


if __name__ == "__main__":
    main()
