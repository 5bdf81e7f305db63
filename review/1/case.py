"""A fifth of the hosts is cut off for six seconds in a quiet time and comes back with all its tasks."""

import asyncio
import time
from pathlib import Path

import standins
from standins import Bus, CannotRunError, Controller, Host, Owner, task_id

SILENT = 5.9  # seconds; 6 s are named
LAST_WORD = 1.0  # seconds between the first host's last word and the cut
TOLD_WITHIN = 8.0 + 0.05  # seconds of its end, if no release could be sent
SOME_TIME = 9.0  # seconds that are waited for it


async def case(record, folder):
    """Places six irreversible jobs of one service, cuts two of ten hosts off, looks at what owners hear."""
    service_of, faults = {}, []
    bus, check = Bus(record), standins.spread_check(service_of, faults)
    await bus.start()
    hosts = [Host(f"std{i}", record) for i in range(1, 8)]
    hosts += [Host(f"big{i}", record, kind="big", on_setup=check, notes=5.0) for i in range(1, 4)]
    for host in hosts:
        await host.start()
    bus.publish(*(host.entry() for host in hosts), full=True)
    controller = Controller(record, folder, bus, standins.settings(spread=True, running=True))
    try:
        await controller.start()
        owner = Owner("owner", record)
        await owner.connect(controller.address)
        for task in map(task_id, range(1, 7)):
            service_of[task] = "catalogue"
            owner.setup(task, offering="feed", service="catalogue")
            line = await owner.final(task, 4.0)
            if line is None or line[1] != "answer":
                raise CannotRunError(f"{task} was not placed")
        await asyncio.sleep(6)
        cut = [host for host in hosts if host.tasks][:2]
        said = cut[0].heard_at
        while cut[0].heard_at == said:
            await asyncio.sleep(0.01)
        await asyncio.sleep(cut[0].heard_at + LAST_WORD - time.monotonic())
        if standins.TROUBLE:
            await asyncio.gather(*(host.fall_silent() for host in cut))
        await asyncio.sleep(SILENT - 0.1)
        faults += standins.told_too_early(owner, hosts)
        if standins.TROUBLE:
            for host in cut:
                host.go_on()
        await asyncio.sleep(1)

        told = {task for _, kind, task, _, _ in owner.lines if kind == "release"}
        ended, at = [], time.monotonic()
        for host in cut:
            for task in [task for task in host.tasks if task.hex() not in told]:
                host.end(task, standins.DONE)
                ended.append(task.hex())
        await asyncio.sleep(SOME_TIME)
        for task in ended:
            line = await owner.wait_for("release", task, 0.01)
            if line is None or line[0] - at > TOLD_WITHIN:
                faults.append(f"{task} is over, and its owner was not told within {TOLD_WITHIN} s")

        more = [task_id(i) for i in (7, 8)]
        for task in more:
            service_of[task] = "catalogue"
            owner.setup(task, offering="feed", service="catalogue")
        for task in more:
            await owner.final(task, 5.0)
        await asyncio.sleep(1)
    finally:
        await controller.kill()
        controller.print_log()
    return faults


if __name__ == "__main__":
    standins.main(case, Path(__file__).parent / "record.txt")
