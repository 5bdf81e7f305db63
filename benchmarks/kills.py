"""Random kills under load: are jobs of sessions answered once, twice or never?

    python benchmarks/kills.py [--jobs 100000] [--kills 1000] [--processes 8]

Each process plays one run in memory on a mock clock, with its own seed: two controllers with journals on
disk, 12 stand-in hosts, and owners that submit jobs of all three effects at a steady rate, while one
controller at a time is killed at a random moment and restarted after 0 to 0.4 s. Every answer sent to an
owner and every launch that a host started is counted.
"""

import argparse
import tempfile
import time
from collections import Counter
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from random import Random

import anyio

from linedeal import audit
from linedeal.client import JobDeclinedError, JobRequest
from linedeal.client.contact import Contact
from linedeal.client.owner import Owner
from linedeal.lab.day import parse_day
from linedeal.lab.play import run_in_memory

CLUSTER = """
cluster {
  controllers = 2
}
kind "std" {
  cores = 64
  memory = 256
}
offering "web" {
  expiry = 6
  effect = "redoable"
}
offering "mail" {
  expiry = 6
  effect = "labelled"
  group = "all"
  window = 5
}
offering "feed" {
  expiry = 6
  effect = "irreversible"
}
"""
DAY = (
    "cluster cluster.hcl\nseed {seed}\nlength 1\ncontrollers 2\nhabit setup=0.05 life=0.4 look=0.002\n"
    "hosts 12 kind std\nload web 1\n"
)
JOBS_PER_SECOND = 40.0  # for each controller


def play(seed: int, jobs: int, kills: int) -> Counter:
    """Plays one run; returns the number of jobs by result."""
    with tempfile.TemporaryDirectory() as directory:
        (Path(directory) / "cluster.hcl").write_text(CLUSTER)
        day = parse_day(DAY.format(seed=seed), f"{directory}/kills.day", Path(directory))
        return run_in_memory(day, lambda cluster: under_load(cluster, Random(seed), jobs, kills))


async def under_load(cluster, random: Random, jobs: int, kills: int) -> Counter:
    """Submits jobs while controllers are killed and audits the traffic; returns the counts by result."""
    counts = Counter()
    seconds = jobs / (2 * JOBS_PER_SECOND)

    async def run_job(owner, request):
        try:
            key = await owner.submit(request, timeout=60.0)
        except JobDeclinedError:
            counts["turned away"] += 1
            return
        except TimeoutError:
            counts["not taken in 60 s"] += 1
            return
        with anyio.move_on_after(60.0) as time_limit:
            await owner.wait_until([key], lambda status: status.over)
        if time_limit.cancelled_caught:
            counts["never"] += 1
            return
        status = owner.status(key)
        counts[f"{request.offering} {status.stage}"] += 1
        counts["taken"] += 1
        await owner.forget(key)

    async def submit_jobs(name):
        async with Owner.open(cluster.net, Contact(((name, 1),), f"owner-{name}"), timeout=30.0) as owner:
            async with anyio.create_task_group() as tasks:
                for number in range(jobs // 2):
                    request = JobRequest(("web", "mail", "feed")[number % 3], "", f"s{number % 9}", 1.0, 1.0)
                    tasks.start_soon(run_job, owner, request)
                    await anyio.sleep(1 / JOBS_PER_SECOND)

    async def kill_controllers():
        for _ in range(kills):
            await anyio.sleep(random.uniform(0.5, 1.5) * seconds / kills)
            name = random.choice(("c1", "c2"))
            await cluster.kill(name)
            await anyio.sleep(random.uniform(0.0, 0.4))
            await cluster.start(name)
            counts["kills"] += 1

    async with anyio.create_task_group() as tasks:
        for name in ("c1", "c2"):
            tasks.start_soon(submit_jobs, name)
        tasks.start_soon(kill_controllers)
    traffic = audit.reconstruct_traffic(cluster.recorder.entries)
    for breach in audit.find_breaches(traffic, cluster.day.cluster):
        counts[f"rule {breach.rule} broken"] += 1
    for job in traffic.jobs.values():
        counts["answered twice"] += len({verdict for _, verdict in job.answers + job.status_verdicts}) > 1
        if job.offering == "feed":
            counts["irreversible run twice"] += sum(launch.started < 1e9 for launch in job.launches) > 1
    return counts


def main() -> None:
    """Splits the jobs and kills into runs, plays them in parallel and prints the sums."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--jobs", type=int, default=100_000)
    parser.add_argument("--kills", type=int, default=1000)
    parser.add_argument("--processes", type=int, default=8)
    parser.add_argument("--batch", type=int, default=2500, help="number of jobs in a run")
    parser.add_argument("--seed", type=int, default=1)
    arguments = parser.parse_args()
    runs = -(-arguments.jobs // arguments.batch)
    started_at, total = time.time(), Counter()
    with ProcessPoolExecutor(arguments.processes) as pool:
        for counts in pool.map(
            play,
            range(arguments.seed, arguments.seed + runs),
            [arguments.batch] * runs,
            [-(-arguments.kills // runs)] * runs,
        ):
            total += counts
    total.setdefault("never", 0)
    print(
        f"{runs} runs of {arguments.batch} jobs, {time.time() - started_at:.0f} s "
        f"on {arguments.processes} processes"
    )
    for name, count in sorted(total.items()):
        print(f"  {name:28} {count}")
    for name in ("never", "answered twice", "irreversible run twice"):
        print(f"  {name}: {total[name]}")


if __name__ == "__main__":
    main()
