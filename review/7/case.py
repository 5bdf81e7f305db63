"""An owner names, with `at`, jobs that the controller holds: its other set-ups have to be answered."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from platform2 import Bus, Controller, Host, NotRunError, Owner, new_task, play, setup

JOBS = 40  # that stand; a controller of the deployment has several hundred
SLACK = 0.55  # seconds after a set-up's time in which an answer still counts


async def case(record, folder, controllers, trouble):
    """Jobs stand. On a new connection the owner names them, between set-ups of new jobs."""
    bus = Bus(record)
    await bus.start()
    hosts = [Host(record, f"s-{n:08x}", life=lambda: 60.0) for n in range(8)]
    for host in hosts:
        await host.start()
    bus.tell(*(host.entry() for host in hosts), full=True)
    controller = Controller(record, bus, folder)
    controllers.append(controller)
    await controller.start()

    first = await Owner(record).connect(controller.address)
    jobs = [new_task() for _ in range(JOBS)]
    for number, job in enumerate(jobs):
        first.send(setup(job, service=f"{number % 12:016x}"))
        await asyncio.sleep(0.04)
    await asyncio.sleep(0.5)
    where = {task.hex(): host.name for host in hosts for task in host.standing}
    if sorted(where) != sorted(jobs):
        raise NotRunError("not all jobs were placed")

    second = await Owner(record).connect(controller.address)
    fresh = {new_task(): offering for offering in ("shop-web", "proof-render", "press-feed")}
    named = [setup(job, service=f"{n % 12:016x}", at=where[job]) for n, job in enumerate(jobs)]
    second.send(*(named if trouble else []), *(setup(job, offering) for job, offering in fresh.items()))
    sent = record.now()

    violations = []
    for job, left in zip(fresh, (6.0, 5.0, 10.0), strict=True):
        if not await second.wait_for(job, ("answer", "release"), sent + left + SLACK - record.now()):
            ended = (
                f", whose connection the controller closed at {second.closed:.3f}" if second.closed else ""
            )
            violations.append(f"set-up {job} of {sent:.3f} got no answer{ended}")
    return violations


if __name__ == "__main__":
    play(case, Path(__file__).resolve().with_name("record.txt"))
