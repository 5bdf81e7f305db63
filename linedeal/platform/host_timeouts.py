"""The limits of time on the connections of one host: when one is closed, and when the host is tested."""

from collections.abc import Callable

import anyio

from linedeal.net import LinkLostError, let_readers_run
from linedeal.platform.host_connection import Connection, forget_expired, ping_frame
from linedeal.platform.host_requests import MAX_QUEUE
from linedeal.platform.host_state import HostState
from linedeal.platform.reachability import CheckPacer

CHECK_INTERVAL = 0.25  # seconds between checks of a connection's timeouts
PARTIAL_FRAME_TIMEOUT = 1.0  # seconds for which a frame may stay incomplete
RESPONSE_TIMEOUT = 2.0  # seconds for the host to send anything after a set-up or a ping
PING_SHARE = 0.5  # of RESPONSE_TIMEOUT, after which a host that was sent a set-up is sent a ping
IDLE_SHARE = 0.6  # of the time after which hosts close an idle connection, after which it is closed here


class HostTimeouts:
    """Checks the connections of one host while they are open."""

    def __init__(
        self,
        host: HostState,
        check_pacer: CheckPacer,
        may_begin_check: Callable[[], bool],
        begin_check: Callable[[], None],
    ):
        """`begin_check`: opens a connection as a test of the host; `may_begin_check`: whether it may now."""
        self.host, self.check_pacer = host, check_pacer
        self.may_begin_check, self.begin_check = may_begin_check, begin_check

    async def watch(self, connection: Connection) -> None:
        """Tests a quiet host. Raises LinkLostError if the connection hangs or is no longer needed."""
        while True:
            await anyio.sleep(CHECK_INTERVAL)
            now = anyio.current_time()
            connection.note_partial_frame(now)
            if connection.has_awaited(RESPONSE_TIMEOUT * PING_SHARE, now) and not connection.pinged:
                # A healthy host that accepts a launch only when its job runs may have nothing to send yet.
                self.ping(connection, now)
            if self.reason_to_close(connection, now):
                # If this process stood still, what was missing may have arrived and be unread.
                await let_readers_run()
                reason = self.reason_to_close(connection, now)
                if reason:
                    raise LinkLostError(reason)
            for tasks in (connection.carried, self.host.launches.unconfirmed):
                forget_expired(tasks, connection.unanswered, now)
            self.test_if_quiet(connection, now)

    def reason_to_close(self, connection: Connection, now: float) -> str:
        """Why a connection has to be closed; empty if it is kept.

        While jobs run, one is never closed for being idle: the host may be about to report the end of one.
        """
        partial_since = connection.partial_frame_since
        if partial_since and now - partial_since > PARTIAL_FRAME_TIMEOUT:
            return "a frame that does not end"
        if connection.has_awaited(RESPONSE_TIMEOUT, now):
            return f"nothing received for {RESPONSE_TIMEOUT:g} s"
        if len(connection.outbox) > MAX_QUEUE:
            return f"{len(connection.outbox)} messages wait for it"
        if connection.closing and not connection.unanswered:
            return "its last launch was not answered"
        if connection.unanswered or self.host.runs_jobs:
            return ""
        if self.is_idle(connection, now):
            return "idle"
        descriptors, idle_for = self.host.descriptors, now - connection.used_at
        if descriptors.waiting_for_host and descriptors.full and idle_for > CHECK_INTERVAL:
            return "idle, and its descriptor is needed"
        return ""

    def is_idle(self, connection: Connection, now: float) -> bool:
        """Whether a connection has not been used for so long that the host may close it soon."""
        return now - connection.used_at >= self.host.idle_timeout * IDLE_SHARE

    def test_if_quiet(self, connection: Connection, now: float) -> None:
        """Tests a host that runs jobs and has been quiet, by a ping or by another connection."""
        if self.is_ping_due(connection, now):
            self.ping(connection, now)
        is_due = self.may_begin_check() and self.host.reachability.is_check_due(now)
        if not is_due or not self.check_pacer.take(now):
            return
        if not self.host.descriptors.full:
            self.begin_check()
        elif not connection.pinged:  # for a test, no connection of an owner is closed
            self.ping(connection, now)

    def is_ping_due(self, connection: Connection, now: float) -> bool:
        """Whether a host on which jobs run has been quiet for so long that it has to be pinged there."""
        if not self.host.runs_jobs or connection.pinged:
            return False
        return self.host.reachability.is_ping_due(now, connection.opened_at)

    def ping(self, connection: Connection, now: float) -> None:
        """Pings the host; `watch` closes the connection if it sends nothing in time."""
        connection.pinged = True
        connection.awaiting_since = connection.awaiting_since or now
        self.host.reachability.on_request(now)
        connection.enqueue(ping_frame())
