"""What owners are answered between SIGTERM and the earliest SIGKILL."""

import signal
import time

import anyio
import pytest

from linedeal.platform.host_codec import Type
from tests.owner_pool import OwnerPool
from tests.platform_fixture import Host
from tests.test_terms import bus_entry, run_cluster, settings

pytestmark = pytest.mark.anyio
LONGEST_EXPIRY = 3.0  # seconds, as SIGKILL counts it
KILL_AFTER_EXPIRY = 0.7  # seconds from SIGTERM, beyond the longest expiry, until the earliest SIGKILL


@pytest.fixture
def anyio_backend():
    return "asyncio"


class SilentHost(Host):
    """Answers no set-up."""

    def __init__(self):
        super().__init__(self.ignore)

    async def ignore(self, host, stream, frame):
        return frame.type == Type.SETUP


@pytest.mark.parametrize("sent_after", [0.3, 0.6, 0.68, 0.72, 0.78])
async def test_set_up_after_sigterm_is_answered_before_the_earliest_kill(tmp_path, sent_after):
    # Owners go on sending on open connections until the kill, which comes soon where all jobs expire soon.
    expiry, host = 0.5, SilentHost()
    setup = settings(1)
    setup |= {"classes": [offering | {"give_up_ms": expiry * 1000} for offering in setup["classes"]]}
    async with run_cluster(tmp_path, {"h": host}) as (bus, processes, _):
        bus.publish(bus_entry("h", host), full=True)
        process = await processes.start("n0", bus.address, bus.known(), setup)
        owner = await processes.client(process)
        await owner.send("ping", "0000000000000001", cause=0)
        await owner.wait_for("pong", "0000000000000001")
        process.child.send_signal(signal.SIGTERM)
        began = time.monotonic()
        waiting = 0
        while (since := time.monotonic() - began) < sent_after:
            # Each keeps the program running until its answer, so that the last one finds it there.
            waiting += 1
            await owner.setup(f"{100 + waiting:016x}", left=f"{expiry * 1000:.0f}")
            await anyio.sleep(min(0.05, sent_after - since))
        await owner.setup("0000000000000002", left=f"{expiry * 1000:.0f}")
        kill_at = began + expiry + KILL_AFTER_EXPIRY
        await owner.wait_for("release", "0000000000000002", kill_at - time.monotonic())


@pytest.mark.parametrize("interval", [0.002, 0.01, 0.02])
async def test_it_ends_before_the_earliest_kill_though_set_ups_keep_coming(tmp_path, interval):
    # Guards against set-ups that the kill finds unanswered: owners go on sending on open connections.
    host = Host()
    async with run_cluster(tmp_path, {"h": host}) as (bus, processes, tasks):
        bus.publish(bus_entry("h", host), full=True)
        process = await processes.start("n0", bus.address, bus.known(), settings(1))
        await process.ready.wait()
        pool = OwnerPool(tasks, process.address)
        await pool.submit("0000000000000001")  # it runs on
        await anyio.sleep(0.2)
        process.child.send_signal(signal.SIGTERM)
        kill_at = time.monotonic() + LONGEST_EXPIRY + KILL_AFTER_EXPIRY
        number = 1
        while not process.ended.is_set() and time.monotonic() < kill_at:
            number += 1
            if pool.connections:
                await pool.submit(f"{number:016x}", left="2000")
            await anyio.sleep(interval)
        assert process.ended.is_set()
        await anyio.sleep(0.2)
        assert number > 100 and not [task for task, job in pool.jobs.items() if job.lost or not job.answers]
