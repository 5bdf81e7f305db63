"""The wall clock of a controller is stepped while it runs; ages, ends and slow start go by real time."""

import math
import subprocess
import sys
import time

import anyio
import pytest

from linedeal.drmaa import build
from linedeal.lab.clock_step import SteppedClock
from linedeal.platform.unix_clock import UnixClock
from tests.platform_fixture import Host, unix_ms_ago
from tests.test_terms import Recorder, bus_entry, max_in_window, run_cluster, settings

STEPS = [3600.0, -3600.0, 60.0, -2.0, 0.0]  # seconds
LOSS_SECONDS = 8.05  # from the loss of a job with its host until its owner has to be told
LIMIT, SPAN, COLD_SECONDS = 4, 0.6, 8.0  # launches in so many seconds to a host that started so long ago


@pytest.fixture
def anyio_backend():
    return "asyncio"


@pytest.fixture
def stepped_clock(tmp_path):
    if not build.compiler():
        pytest.skip("no C compiler on this machine: the library cannot be built")
    return SteppedClock(tmp_path)


@pytest.mark.parametrize("step", STEPS)
def test_step_reaches_the_wall_clock_of_a_process_and_not_the_monotonic_one(stepped_clock, step):
    program = "import time; print(time.time(), time.monotonic())"
    stepped_clock.step(step)
    output = subprocess.check_output([sys.executable, "-c", program], env=stepped_clock.environment)
    unix_time, monotonic = map(float, output.split())
    assert abs(unix_time - time.time() - step) < 2.0
    assert abs(monotonic - time.monotonic()) < 2.0


def test_unix_time_goes_on_though_the_clock_is_stepped():
    unix_time, monotonic = 1e9, 50.0
    clock = UnixClock(lambda: unix_time, lambda: monotonic)
    unix_time, monotonic = unix_time + 3600.0, monotonic + 2.5
    assert clock() == 1e9 + 2.5


@pytest.mark.anyio
@pytest.mark.parametrize("step", STEPS)
async def test_jobs_that_a_restarted_host_has_lost_are_told_over(tmp_path, stepped_clock, step):
    before, after = "0000000000000001", "0000000000000002"
    host = Host()
    async with run_cluster(tmp_path, {"h": host}) as (bus, processes, _):
        bus.publish(bus_entry("h", host), full=True)
        environment = stepped_clock.environment
        process = await processes.start("n0", bus.address, bus.known(), settings(1), environment=environment)
        owner = await processes.client(process)
        await owner.setup(before)
        await owner.wait_for("answer", before)
        stepped_clock.step(step)
        await anyio.sleep(1.0)
        started = unix_ms_ago(0)  # its connections are not reset: no sign of it but the list
        await anyio.sleep(0.5)
        await owner.setup(after)
        await owner.wait_for("answer", after)
        await anyio.sleep(0.5)
        bus.publish(bus_entry("h", host, started=started))
        await owner.wait_for("release", before, LOSS_SECONDS)
        await anyio.sleep(1.0)
        assert not [line for line in owner.received if line[:2] == ("release", after)]


@pytest.mark.anyio
@pytest.mark.parametrize("step", STEPS)
async def test_host_that_has_just_started_gets_its_slow_start(tmp_path, stepped_clock, step):
    warm, cold = Host(), Recorder()
    setup = settings(1, young_limit=float(LIMIT), overload_for_ms=SPAN * 1000, cold_ms=COLD_SECONDS * 1000)
    async with run_cluster(tmp_path, {"warm": warm, "cold": cold}) as (bus, processes, _):
        bus.publish(bus_entry("warm", warm, "DRAINING"), full=True)
        process = await processes.start(
            "n0", bus.address, bus.known(), setup, environment=stepped_clock.environment
        )
        owner = await processes.client(process)
        for number in range(1, 60):
            await owner.setup(f"{number:016x}", "web", left="6000")
        stepped_clock.step(step)
        await anyio.sleep(SPAN + 0.2)
        began = time.monotonic()
        bus.publish(bus_entry("cold", cold, started=unix_ms_ago(0)))
        await anyio.sleep(2.5)
        greatest = max_in_window([at for at, _ in cold.setups if at < began + COLD_SECONDS], SPAN)
        assert 0 < greatest <= LIMIT + 2 * math.sqrt(LIMIT) + 2
