"""A link of the platform's route on a mock clock: what it concludes when its host falls silent."""

import errno
import os
from functools import partial

import anyio
import pytest
import trio

from linedeal.engine import events
from linedeal.loop.inbox import LINK_QUOTA, MAX_WAITING
from linedeal.platform.host_connection import ping_frame
from linedeal.platform.host_timeouts import RESPONSE_TIMEOUT
from linedeal.platform.reachability import (
    MAX_CHECKS_AT_ONCE,
    MAX_CHECKS_PER_SECOND,
    QUIET_BEFORE_PING,
    CheckPacer,
    Reachability,
)
from tests.host_link_fixture import SimulatedHost, ignore, play, pong, start_jobs
from tests.platform_fixture import release

OUTAGE = 6.0  # seconds for which the users' pages let a host be cut off and keep its tasks
TOLD_WITHIN = 8.0  # seconds after a task's end in which its owner has to be told if the host cannot say so
TASK = bytes.fromhex("0123456789abcdef")
# Seconds after the job's start at which the trouble begins: all positions between two messages of the host.
TROUBLE_STARTS = [10.0 + step * 0.1 for step in range(26)]


@pytest.mark.parametrize("connections", [1, 2, 4])
@pytest.mark.parametrize("start", TROUBLE_STARTS)
def test_host_cut_off_for_six_seconds_keeps_its_jobs(start, connections):
    # Guards against outages counted from the host's last message, which may be seconds before the outage.
    async def scenario(under_test):
        await start_jobs(under_test, connections)
        await anyio.sleep(start)
        under_test.host.cut_off()
        under_test.host.repeats.append(release((1).to_bytes(8), 16))  # it ends meanwhile
        await anyio.sleep(OUTAGE)
        assert not under_test.times_of(events.HostLost)
        under_test.host.reachable.set()
        await anyio.sleep(2.0)
        assert not under_test.times_of(events.HostLost)
        assert len(under_test.times_of(events.LaunchEnded)) == 1

    play(scenario)


@pytest.mark.parametrize("connections, connect_timeout", [(1, 0.3), (2, 0.3), (4, 0.3), (2, 1.05)])
@pytest.mark.parametrize("start", TROUBLE_STARTS)
def test_jobs_of_a_vanished_host_are_lost_in_time(start, connections, connect_timeout):
    # Guards against outages that are concluded too late, or never since open connections are left untested.
    async def scenario(under_test):
        await start_jobs(under_test, connections)
        await anyio.sleep(start)
        under_test.host.cut_off()
        vanished_at = anyio.current_time()
        await anyio.sleep(20)
        lost = under_test.times_of(events.HostLost)
        assert lost and lost[0] - vanished_at <= TOLD_WITHIN

    play(scenario, connect_timeout)


@pytest.mark.parametrize("start", TROUBLE_STARTS)
def test_jobs_of_a_vanished_host_are_lost_in_time_though_no_check_is_free(start):
    # Guards against a limit on tests, used up by other hosts, that makes the report of a loss late.
    async def scenario(under_test):
        under_test.link.timeouts.check_pacer.take = lambda now: False
        await start_jobs(under_test, 2)
        await anyio.sleep(start)
        under_test.host.cut_off()
        vanished_at = anyio.current_time()
        await anyio.sleep(20)
        lost = under_test.times_of(events.HostLost)
        assert lost and lost[0] - vanished_at <= TOLD_WITHIN

    play(scenario)


def test_host_cut_off_keeps_its_jobs_though_no_check_is_free():
    # Guards against a limit on tests, used up by other hosts, that lets an outage of 6 s begin unseen.
    async def scenario(under_test, start):
        under_test.link.timeouts.check_pacer.take = lambda now: False
        await start_jobs(under_test, 1)
        await anyio.sleep(start)
        under_test.host.cut_off()
        await anyio.sleep(OUTAGE)
        under_test.host.reachable.set()
        await anyio.sleep(2.0)
        assert not under_test.times_of(events.HostLost), f"lost when cut off after {start:.1f} s"

    for start in TROUBLE_STARTS:
        play(partial(scenario, start=start))


def test_replies_that_arrived_during_a_stall_keep_their_connection():
    # Guards against a connection closed for silence though the reply lies unread: this process stood still.
    async def scenario(under_test):
        await start_jobs(under_test, 1)
        (connection,) = under_test.link.connections
        (stream,) = under_test.host.streams
        under_test.host.reply = ignore
        for _ in range(20):  # which of two tasks runs first after a stall is left to chance
            while not connection.awaiting_since:
                await anyio.sleep(0.1)
            await anyio.sleep(1.0)
            stream.send_stream.send_nowait(pong(bytes(8)))
            trio.lowlevel.current_clock().jump(2.0)
            await anyio.sleep(0.5)
            assert under_test.link.connections == [connection]

    play(scenario)


def test_quiet_hosts_are_pinged_while_descriptors_are_used_up():
    # Guards against tests of hosts that cost idle owners their connections, and hosts left untested for that.
    async def scenario(under_test):
        await start_jobs(under_test, 1)
        connections = list(under_test.link.connections)
        under_test.descriptors.add(owners=under_test.descriptors.budget)
        for _ in range(2000):
            await anyio.sleep(0.01)
            assert not under_test.descriptors.waiting_for_host
        assert under_test.link.connections == connections and len(under_test.host.streams) == 1
        under_test.host.cut_off()
        await anyio.sleep(TOLD_WITHIN)
        assert under_test.link.state.reachability.unanswered_since < anyio.current_time()

    play(scenario)


def test_hanging_host_is_connected_to_no_oftener_than_its_connections_are_given_up():
    # Guards against a host whose process hangs and whose queue of new connections is filled by tests.
    async def scenario(under_test):
        await start_jobs(under_test, 1)
        under_test.host.reply = ignore
        opened = []
        connect = under_test.host.connect

        async def counted(address):
            opened.append(anyio.current_time())
            return await connect(address)

        under_test.host.connect = counted
        hangs_from = anyio.current_time()
        await anyio.sleep(60.0)
        assert not under_test.times_of(events.HostLost)
        late = [at for at in opened if at > hangs_from + 5.0]
        assert len(late) <= 55.0 / (QUIET_BEFORE_PING + RESPONSE_TIMEOUT)

    play(scenario)


def test_release_lost_with_a_half_open_connection_arrives_on_the_next_test():
    # Guards against tests that open a connection without reading what the host repeats on it.
    async def scenario(under_test):
        await start_jobs(under_test, 1)
        under_test.host.repeats.append(release((1).to_bytes(8), 16))
        await anyio.sleep(2.0)
        assert len(under_test.times_of(events.LaunchEnded)) == 1 and len(under_test.link.connections) == 1
        assert under_test.descriptors.hosts == 1

    play(scenario)


def test_release_read_on_a_test_is_not_lost_while_the_engine_is_busy():
    # Guards against a test that ends while what it has read waits for room in the engine's inbox.
    async def scenario(under_test):
        await start_jobs(under_test, 1)
        under_test.host.repeats.append(release((1).to_bytes(8), 16))
        under_test.inbox.waiting = MAX_WAITING
        await anyio.sleep(2.0)
        under_test.inbox.clear()
        await anyio.sleep(0.1)
        assert len(under_test.times_of(events.LaunchEnded)) == 1

    play(scenario)


def test_releases_that_were_read_are_not_lost_with_their_connection():
    # Guards against a reader that is cancelled while it waits for the engine, with ends that it has recorded
    # and not handed over (review case 9).
    async def scenario(under_test):
        await start_jobs(under_test, 1)
        under_test.inbox.clear()
        jobs = range(1000, 1000 + 3 * LINK_QUOTA)
        for number in jobs:
            under_test.adopt(number, number.to_bytes(8))
        (stream,) = under_test.host.streams
        await stream.send(b"".join(release(number.to_bytes(8), 16) for number in jobs))
        await anyio.sleep(0.1)
        assert len(under_test.times_of(events.LaunchEnded)) == LINK_QUOTA  # the reader waits for the engine
        await stream.aclose()
        (connection,) = under_test.link.connections
        connection.enqueue(ping_frame())  # the writer finds the connection closed
        await anyio.sleep(1.0)
        assert connection not in under_test.link.connections
        assert len(under_test.times_of(events.LaunchEnded)) == len(jobs)

    play(scenario)


class ResettingHost(SimulatedHost):
    """A host whose connections end by a reset."""

    async def connect(self, address):
        near = await super().connect(address)
        receive = near.receive

        async def receive_until_reset():
            try:
                return await receive()
            except anyio.EndOfStream:
                raise anyio.BrokenResourceError from None

        near.receive = receive_until_reset
        return near


def test_connection_reset_after_a_quiet_time_is_reopened_despite_a_busy_one():
    # Guards against a release lost with a connection that was taken for an idle one: the host repeats it on
    # the next that opens, and none did while another connection was busy.
    async def scenario(under_test):
        await start_jobs(under_test, 2)
        quiet_stream, busy_stream = under_test.host.streams
        for _ in range(20):
            await busy_stream.send(pong(bytes(8)))
            await anyio.sleep(0.5)
        assert len(under_test.link.connections) == 2
        under_test.host.repeats.append(release((1).to_bytes(8), 16))
        await quiet_stream.aclose()
        for _ in range(2):
            await busy_stream.send(pong(bytes(8)))
            await anyio.sleep(0.5)
        assert len(under_test.times_of(events.LaunchEnded)) == 1

    play(scenario, host_type=ResettingHost)


def test_outage_is_concluded_from_three_failed_attempts_and_no_fewer():
    # Guards against one attempt that failed for another reason ending all jobs of a host.
    reachability = Reachability(0.0)
    reachability.on_request(1.0)
    late = reachability.decisive_attempt_at() + 1.0
    verdicts = []
    for _ in range(3):
        reachability.on_attempt_failed(refused=False)
        verdicts.append(reachability.is_lost(late))
    assert verdicts == [False, False, True]


def test_death_is_concluded_from_two_refusals_in_a_row_and_no_fewer():
    # Guards against one refused connection, as of a full queue, ending all jobs of a host.
    reachability, verdicts = Reachability(0.0), []
    for refused in (True, False, True, True):
        reachability.on_attempt_failed(refused)
        verdicts.append(reachability.is_lost(0.0))
    assert verdicts == [False, False, False, True]


def test_tests_of_all_hosts_together_are_limited():
    # Guards against fleets whose size drives up the connections of each controller.
    pacer, taken = CheckPacer(), 0
    for step in range(1000):
        taken += sum(pacer.take(100.0 + step * 0.01) for _ in range(50))
    assert taken <= MAX_CHECKS_AT_ONCE + 10 * MAX_CHECKS_PER_SECOND


def test_handed_over_jobs_survive_a_connection_that_opens_late():
    # Guards against the first failed attempt after a start counting as an outage of six seconds.
    async def scenario(under_test):
        await anyio.sleep(100.0)  # a system's clock is far from 0 when a controller starts
        under_test.host.cut_off()
        under_test.adopt(1, TASK)
        await anyio.sleep(1.0)
        under_test.host.reachable.set()
        await anyio.sleep(1.0)
        assert len(under_test.link.connections) == 1 and not under_test.times_of(events.HostLost)

    play(scenario)


def test_jobs_are_not_lost_for_want_of_a_descriptor():
    # Guards against an attempt that was never made counting as one that the host did not answer.
    async def scenario(under_test):
        under_test.descriptors.add(owners=under_test.descriptors.budget)
        under_test.adopt(1, TASK)
        await anyio.sleep(20.0)
        assert not under_test.times_of(events.HostLost)
        under_test.descriptors.remove(owners=1)
        await anyio.sleep(1.0)
        assert len(under_test.link.connections) == 1

    play(scenario)


class FailingConnects(SimulatedHost):
    """A host to which no connection can be opened while `error` is set."""

    error = None

    async def connect(self, address):
        if self.error is not None:
            raise OSError(self.error, os.strerror(self.error))
        return await super().connect(address)


def lost_while_connects_fail(error):
    """Whether jobs count as lost after 20 s in which no connection opens; then one has to open again."""
    lost = []

    async def scenario(under_test):
        under_test.adopt(1, TASK)
        await anyio.sleep(1.0)
        under_test.host.error = error
        for stream in list(under_test.host.streams):
            await stream.aclose()
        await anyio.sleep(20.0)
        lost.extend(under_test.times_of(events.HostLost))
        under_test.host.error = None
        await anyio.sleep(1.0)
        if not lost:
            assert len(under_test.link.connections) == 1

    play(scenario, host_type=FailingConnects)
    return bool(lost)


@pytest.mark.parametrize("error", ["EMFILE", "ENFILE", "ENOBUFS", "ENOMEM", "EADDRNOTAVAIL"])
def test_jobs_are_not_lost_while_this_machine_has_no_resources_to_connect(error):
    # Guards against taking what is short here for a sign of the host.
    assert not lost_while_connects_fail(getattr(errno, error))


@pytest.mark.parametrize("error", ["ETIMEDOUT", "EHOSTUNREACH", "ENETUNREACH", "ECONNREFUSED"])
def test_jobs_are_lost_if_the_host_cannot_be_reached_for_long(error):
    assert lost_while_connects_fail(getattr(errno, error))


@pytest.mark.parametrize("start", [step * 0.001 for step in range(100)])
def test_link_connects_again_though_its_timer_fires_a_rounding_error_early(start, monkeypatch):
    # Guards against a retry whose time is compared with a clock of whole milliseconds and which is then never
    # made: the host would neither be connected to again nor count as lost.
    exact_time = anyio.current_time
    monkeypatch.setattr(anyio, "current_time", lambda: int(exact_time() * 1000 + 0.5) / 1000)

    async def scenario(under_test):
        await anyio.sleep(start)
        await start_jobs(under_test, 1)
        under_test.host.cut_off()
        await anyio.sleep(4.5)
        assert not under_test.link.connections
        under_test.host.reachable.set()
        await anyio.sleep(1.0)
        assert len(under_test.link.connections) == 1

    play(scenario)
