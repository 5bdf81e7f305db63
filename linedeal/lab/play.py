"""Plays a day on either playground and hands back what was recorded."""

import logging
import tempfile
from pathlib import Path
from typing import Awaitable, Callable, Iterable

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

PROGRESS = 5.0  # seconds between two lines of progress
QUIET_LOG = structlog.wrap_logger(
    structlog.PrintLogger(), wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL)
)


async def play(day: Day, ground, net, say: Callable[[str], None]) -> Tally:
    """The load and the orders of a day, until all is answered."""
    tally = Tally()
    owners = LoadGenerator(day, net, ground.controllers, tally)
    director = Director(day, ground, owners, say)
    begun = anyio.current_time()

    async def progress():
        while True:
            await anyio.sleep(PROGRESS)
            ends: dict[str, int] = {}
            for by_end in tally.ends.values():
                for end, count in by_end.items():
                    ends[end] = ends.get(end, 0) + count
            said = ", ".join(f"{count} {end}" for end, count in sorted(ends.items()))
            say(
                f"{anyio.current_time() - begun:6.1f}  {sum(tally.asked.values())} asked: {said or 'none ended'}"
            )

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(progress)
        async with anyio.create_task_group() as works:
            works.start_soon(director.run)
            works.start_soon(owners.run)
        tasks.cancel_scope.cancel()
    return tally


async def play_processes(day: Day, directory: Path, say) -> tuple[Tally, Iterable[Entry]]:
    """Over sockets, in real time, with processes that can die."""
    async with ProcessCluster(day, directory) as ground:
        say(f"   0.0  {len(day.controllers)} controllers and {len(day.hosts)} hosts stand")
        tally = await play(day, ground, TcpNet(), say)
        await ground.order("tap", {"flush": True})
        await anyio.sleep(0.5)
    return tally, read_record(directory / "traffic.jsonl")


def run_in_memory(
    day: Day,
    work: Callable[[InProcessCluster], Awaitable],
    policy=Controller,
    runtime=PausableRuntime,
    model=HostModel,
):
    """What `work(ground)` returns, with the day's cluster standing in this process on trio's mock clock. The same day,
    seed and work give the same course."""
    # trio shuffles tasks that are ready at once; seeded, it does so the same way each time
    trio._core._run._ALLOW_DETERMINISTIC_SCHEDULING = True
    trio._core._run._r.seed(day.seed)

    async def main():
        with tempfile.TemporaryDirectory() as directory:
            async with InProcessCluster(day, Path(directory), QUIET_LOG, policy, runtime, model) as ground:
                return await work(ground)

    return trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


def play_in_memory(
    day: Day, say=lambda line: None, policy=Controller, runtime=PausableRuntime
) -> tuple[Tally, list[Entry]]:
    """The day's load and orders, in memory. The same day and seed give the same record."""

    async def work(ground):
        tally = await play(day, ground, ground.net, say)
        return tally, ground.recorder.entries

    return run_in_memory(day, work, policy, runtime)
