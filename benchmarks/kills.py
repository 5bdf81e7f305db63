"""Random kills under load: are jobs of sessions answered once, twice or never?

    python benchmarks/kills.py [--jobs 100000] [--kills 1000] [--processes 8]

In memory on mock clocks, one run a process with a seed of its own: two controllers with journals on disk, 12 stand-in
hosts, an owner that asks for jobs of all three effects at a steady rate while either controller is killed at random
moments and started again after 0 to 0.4 s. Every answer that passes to the owner is counted, and each launch that a
host began to run.
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
from linedeal.client import JobRequest, JobDeclinedError
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
RATE = 40.0  # jobs a second, for each controller


def play(seed: int, jobs: int, kills: int) -> Counter:
    with tempfile.TemporaryDirectory() as place:
        (Path(place) / "cluster.hcl").write_text(CLUSTER)
        day = parse_day(DAY.format(seed=seed), f"{place}/kills.day", Path(place))
        return run_in_memory(day, lambda ground: under_load(ground, Random(seed), jobs, kills))


async def under_load(ground, random: Random, jobs: int, kills: int) -> Counter:
    found = Counter()
    span = jobs / (2 * RATE)

    async def own(owner, ask):
        try:
            key = await owner.submit(ask, timeout=60.0)
        except JobDeclinedError:
            found["turned away"] += 1
            return
        except TimeoutError:
            found["not taken in 60 s"] += 1
            return
        with anyio.move_on_after(60.0) as late:
            await owner.wait_until([key], lambda standing: standing.over)
        if late.cancelled_caught:
            found["never"] += 1
            return
        standing = owner.status(key)
        found[f"{ask.offering} {standing.stage}"] += 1
        found["taken"] += 1
        await owner.forget(key)

    async def load(name):
        async with Owner.open(ground.net, Contact(((name, 1),), f"owner-{name}"), timeout=30.0) as owner:
            async with anyio.create_task_group() as tasks:
                for number in range(jobs // 2):
                    ask = JobRequest(("web", "mail", "feed")[number % 3], "", f"s{number % 9}", 1.0, 1.0)
                    tasks.start_soon(own, owner, ask)
                    await anyio.sleep(1 / RATE)

    async def killer():
        for _ in range(kills):
            await anyio.sleep(random.uniform(0.5, 1.5) * span / kills)
            name = random.choice(("c1", "c2"))
            await ground.kill(name)
            await anyio.sleep(random.uniform(0.0, 0.4))
            await ground.start(name)
            found["kills"] += 1

    async with anyio.create_task_group() as tasks:
        for name in ("c1", "c2"):
            tasks.start_soon(load, name)
        tasks.start_soon(killer)
    traffic = audit.reconstruct_traffic(ground.recorder.entries)
    for breach in audit.find_breaches(traffic, ground.day.cluster):
        found[f"rule {breach.rule} broken"] += 1
    for job in traffic.jobs.values():
        found["answered twice"] += len({verdict for _, verdict in job.answers + job.status_verdicts}) > 1
        if job.offering == "feed":
            found["irreversible run twice"] += sum(launch.started < 1e9 for launch in job.launches) > 1
    return found


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--jobs", type=int, default=100_000)
    parser.add_argument("--kills", type=int, default=1000)
    parser.add_argument("--processes", type=int, default=8)
    parser.add_argument("--batch", type=int, default=2500, help="jobs of one run")
    parser.add_argument("--seed", type=int, default=1)
    args = parser.parse_args()
    runs = -(-args.jobs // args.batch)
    began, total = time.time(), Counter()
    with ProcessPoolExecutor(args.processes) as pool:
        for found in pool.map(
            play, range(args.seed, args.seed + runs), [args.batch] * runs, [-(-args.kills // runs)] * runs
        ):
            total += found
    total.setdefault("never", 0)
    print(f"{runs} runs of {args.batch} jobs, {time.time() - began:.0f} s on {args.processes} processes")
    for name, count in sorted(total.items()):
        print(f"  {name:28} {count}")
    for name in ("never", "answered twice", "irreversible run twice"):
        print(f"  {name}: {total[name]}")


if __name__ == "__main__":
    main()
