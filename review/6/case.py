"""A bad client takes hundreds of requests back: releases have to go to the usual owner all the same."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from platform2 import Bus, Controller, Host, NotRunError, Owner, given_up, new_task, play, setup

REQUESTS = 300  # of the bad client
IDLE = 4.0  # seconds after which an owner closes a connection without a task
LIMIT = 8.05  # seconds after its end by which a job has to be released, however its release was lost


async def case(record, folder, controllers, trouble):
    """A job's connection has been closed by its owner, who has another one open, as the job ends."""
    bus = Bus(record)
    await bus.start()
    lives = iter([9.0])
    hosts = [Host(record, f"s-{n:08x}", life=lambda: next(lives, 60.0)) for n in range(8)]
    for host in hosts:
        await host.start()
    bus.tell(*(host.entry() for host in hosts), full=True)
    controller = Controller(record, bus, folder)
    controllers.append(controller)
    await controller.start()

    first = await Owner(record).connect(controller.address)
    job = new_task()
    first.send(setup(job))
    if not await first.wait_for(job, ("answer",), 6.0):
        raise NotRunError("the job was not placed")
    await asyncio.sleep(IDLE)
    first.close()
    second = await Owner(record).connect(controller.address)
    other = new_task()
    second.send(setup(other))
    if not await second.wait_for(other, ("answer",), 6.0):
        raise NotRunError("the second job was not placed")
    if trouble:
        bad = await Owner(record, "bad").connect(controller.address)
        requests = [new_task() for _ in range(REQUESTS)]
        bad.send(*(setup(request, service=f"{n % 20:016x}") for n, request in enumerate(requests)))
        await asyncio.sleep(0.5)
        bad.send(*(given_up(request) for request in requests))

    task = bytes.fromhex(job)
    while not (ended := next((host.ended[task] for host in hosts if task in host.ended), None)):
        await asyncio.sleep(0.01)
    await asyncio.sleep(LIMIT)
    if second.message(job, "release"):
        return []
    stranger = "; the bad client was sent it instead" if trouble and bad.message(job, "release") else ""
    return [f"{job} came to its end at {ended:.3f} and was not released to its owner{stranger}"]


if __name__ == "__main__":
    play(case, Path(__file__).resolve().with_name("record.txt"))
