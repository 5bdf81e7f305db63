"""What the frames of a host mean for the launches there."""

import pytest

from linedeal.engine import events
from linedeal.platform import owner_codec
from linedeal.platform.host_codec import FrameReader
from linedeal.platform.host_connection import Connection
from linedeal.platform.host_launches import INCARNATION, HostLaunches
from tests.platform_fixture import release

TASK = bytes.fromhex("00000000000000a1")


@pytest.fixture
def launches():
    launches = HostLaunches("h1", {})
    launches.adopt(7, TASK)
    return launches


def handle(launches, data):
    (frame,) = FrameReader().feed(data)
    return launches.handle_frame(Connection(1, None, 0.0), frame)


@pytest.mark.anyio
@pytest.mark.parametrize("cause", [owner_codec.REFUSED, owner_codec.NOT_SENT])
async def test_late_copy_of_a_refusal_does_not_end_the_job_that_runs_there_since(launches, cause):
    # Guards against a host's second word on a launch that never ran, after the job was launched there again.
    assert handle(launches, release(TASK, cause)) is None
    assert launches.running == {TASK: 7} and launches.task_by_launch == {7: TASK}


@pytest.mark.anyio
@pytest.mark.parametrize(
    "cause", [owner_codec.NORMAL, owner_codec.LOST, owner_codec.STOPPED, owner_codec.FAILED]
)
async def test_release_of_a_running_job_ends_it(launches, cause):
    event = handle(launches, release(TASK, cause))
    assert type(event) is events.LaunchEnded and event.launch == events.LaunchId(INCARNATION, 7)
    assert not launches.running and not launches.task_by_launch
