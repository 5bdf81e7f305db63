"""Plays a day on a cluster of processes or of tasks, and returns what was recorded."""

import logging
import tempfile
from collections.abc import Awaitable, Callable, Iterable
from pathlib import Path

import anyio
import structlog
import trio
import trio.testing

from linedeal.lab.day import Day
from linedeal.lab.director import Director
from linedeal.lab.inprocess import InProcessCluster, PausableRuntime
from linedeal.lab.load import LoadGenerator, Tally
from linedeal.lab.processes import ProcessCluster
from linedeal.lab.record import Entry, read_record
from linedeal.net import TcpNet
from linedeal.policy import Controller
from linedeal.standin.model import HostModel

PROGRESS_INTERVAL = 5.0  # seconds between two lines of progress
# a log that prints critical events only
QUIET_LOG = structlog.wrap_logger(
    structlog.PrintLogger(), wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL)
)


async def play(day: Day, cluster, net, print_line: Callable[[str], None]) -> Tally:
    """Runs the load and the orders of a day on a test cluster; returns when each job has ended for its owner.

    `print_line` is called with each line of progress.
    """
    tally = Tally()
    load = LoadGenerator(day, net, cluster.controllers, tally)
    director = Director(day, cluster, load, print_line)
    begun = anyio.current_time()

    async def progress():
        while True:
            await anyio.sleep(PROGRESS_INTERVAL)
            ends: dict[str, int] = {}
            for by_end in tally.ends.values():
                for end, count in by_end.items():
                    ends[end] = ends.get(end, 0) + count
            summary = ", ".join(f"{count} {end}" for end, count in sorted(ends.items()))
            print_line(
                f"{anyio.current_time() - begun:6.1f}  {sum(tally.asked.values())} submitted: "
                f"{summary or 'none ended'}"
            )

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(progress)
        async with anyio.create_task_group() as workers:
            workers.start_soon(director.run)
            workers.start_soon(load.run)
        tasks.cancel_scope.cancel()
    return tally


async def play_processes(day: Day, directory: Path, print_line) -> tuple[Tally, Iterable[Entry]]:
    """Plays the day in real time over sockets, with processes that can be killed.

    Returns the tally and the record of traffic, which is read from `directory` as it is iterated.
    """
    async with ProcessCluster(day, directory) as cluster:
        print_line(f"   0.0  {len(day.controllers)} controllers and {len(day.hosts)} hosts are running")
        tally = await play(day, cluster, TcpNet(), print_line)
        await cluster.order("tap", {"flush": True})
        await anyio.sleep(0.5)
    return tally, read_record(directory / "traffic.jsonl")


def run_in_memory(
    day: Day,
    work: Callable[[InProcessCluster], Awaitable],
    policy=Controller,
    runtime=PausableRuntime,
    model=HostModel,
):
    """Runs the day's cluster in this process on trio's mock clock, and returns the result of `work(cluster)`.

    Deterministic: the same day, seed and work give the same result.
    """
    # trio runs tasks that are ready at the same time in random order: seeded, the order is reproducible
    trio._core._run._ALLOW_DETERMINISTIC_SCHEDULING = True
    trio._core._run._r.seed(day.seed)

    async def main():
        with tempfile.TemporaryDirectory() as directory:
            async with InProcessCluster(day, Path(directory), QUIET_LOG, policy, runtime, model) as cluster:
                return await work(cluster)

    return trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


def play_in_memory(
    day: Day, print_line=lambda line: None, policy=Controller, runtime=PausableRuntime
) -> tuple[Tally, list[Entry]]:
    """Plays the day's load and orders in memory. The same day and seed give the same record."""

    async def work(cluster):
        tally = await play(day, cluster, cluster.net, print_line)
        return tally, cluster.recorder.entries

    return run_in_memory(day, work, policy, runtime)
