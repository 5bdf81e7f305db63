"""A controller starts anew, standing tasks are handed over, and one connection to a host comes up late."""

import asyncio
import signal
from pathlib import Path

import standins
from standins import Bus, CannotRunError, Controller, Host, Owner, task_id

LATE = 0.4  # seconds for which no new connection to one host comes up; up to 1 s is allowed


async def case(record, folder):
    """Places six irreversible jobs of one service, restarts the controller, and asks for two more of them."""
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

        controller.signal(signal.SIGTERM)
        await asyncio.wait_for(controller.process.wait(), 10)
        await controller.start()
        owner = Owner("owner", record)
        await owner.connect(controller.address)
        late = hosts[-1]
        if standins.TROUBLE:
            await late.block_new()
            record(f"{late.name:8} new connections do not come up from now on")
        for host in hosts:
            for task in host.tasks:
                owner.setup(task.hex(), offering="feed", service="catalogue", at=host.name)
        await asyncio.sleep(LATE)
        if standins.TROUBLE:
            late.unblock_new()
            record(f"{late.name:8} new connections come up again")
        await asyncio.sleep(2)
        faults += standins.told_too_early(owner, hosts)
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
