"""The connections to one host, from the first that opens until the host is removed.

A running job does not belong to a connection, so one connection is kept open while any job runs there.
"""

import math
import traceback
from collections.abc import Callable

import anyio

from linedeal.engine import effects, events
from linedeal.interface import Mode
from linedeal.loop import Inbox
from linedeal.net import Link, LinkClosedError, LinkLostError, Net, Stream, run_until_link_lost
from linedeal.platform import host_codec
from linedeal.platform.descriptors import DescriptorBudget
from linedeal.platform.host_closing import HostClosing
from linedeal.platform.host_connection import Connection, release_frame
from linedeal.platform.host_connector import ConnectFailedError, HostConnector
from linedeal.platform.host_exchange import HostExchange
from linedeal.platform.host_launches import HostLaunches
from linedeal.platform.host_requests import HostRequests
from linedeal.platform.host_state import HostState
from linedeal.platform.host_timeouts import HostTimeouts
from linedeal.platform.lingering import LingeringConnections
from linedeal.platform.reachability import CheckPacer, Reachability
from linedeal.settings.records import Limits

LAST_WRITE_TIMEOUT = 0.5  # seconds for a host that has left the list to read what is written
CHECK_READ_TIME = 0.1  # seconds for which a connection that was opened as a test is read


class HostLink:
    """One host during the run of a controller. The synchronous methods carry out the engine's effects."""

    def __init__(
        self,
        listed: events.ListedHost,
        net: Net,
        limits: Limits,
        idle_timeout: float,
        report_names: dict[str, str],
        max_connections: Callable[[], int],
        descriptors: DescriptorBudget,
        check_pacer: CheckPacer,
        lingering: LingeringConnections,
        is_awaited: Callable[[bytes], bool],
        inbox: Inbox,
        next_number,
        log,
    ):
        """Starts without a connection.

        `idle_timeout`: seconds after which the host closes an unused connection.
        `max_connections`: returns the connections that a host may have now. More than one, so that a
        malformed answer, which ends its connection, affects few launches.
        `is_awaited`: whether the owner of a task still waits for its answer.
        """
        self.launches = HostLaunches(listed.id, report_names)
        reachability = Reachability(anyio.current_time())
        self.state = HostState(
            listed, self.launches, limits, idle_timeout, descriptors, inbox, log, reachability
        )
        self.connections = self.state.connections
        self.requests = HostRequests(self.state, max_connections)
        self.connector = HostConnector(self.state, net)
        self.exchange = HostExchange(self.state, self.requests, is_awaited)
        self.closing = HostClosing(self.state, self.exchange, lingering)
        self.timeouts = HostTimeouts(self.state, check_pacer, self.may_begin_check, self.begin_check)
        self.next_number, self.inbox, self.log = next_number, inbox, log
        self.scope = anyio.CancelScope()
        self.opening = False
        self.checking = False  # whether a connection is being opened as a test

    # -- for the engine's effects

    def update_host(self, listed: events.ListedHost) -> None:
        """Applies a newer listing. Unsent launches are withheld from a host that drains or is gone."""
        known = self.state.listed
        if (listed.mode, listed.boot) != (known.mode, known.boot):
            self.log.info("host changed", host=listed.id, mode=listed.mode.name, age=round(listed.age, 1))
        self.state.listed = listed
        if listed.mode is not Mode.SERVING:
            self.withhold()

    def launch(self, effect: effects.SendLaunch) -> None:
        """Queues a launch, or reports it as unsent if too many messages wait."""
        self.requests.launch(effect)

    def adopt(self, effect: effects.Adopt) -> None:
        """Notes a job that runs there already, and opens a connection for it."""
        if not self.state.runs_jobs:
            # What failed before the host was known to run a job says nothing about that job.
            self.state.reachability = Reachability(anyio.current_time())
        self.launches.adopt(effect.number, effect.work[:8])
        self.state.wake.set()

    def probe(self, effect: effects.SendProbe) -> None:
        """Queues a probe, unless too many messages wait."""
        self.requests.probe(effect)

    def withhold(self, number: int | None = None) -> None:
        """Withdraws the launches of which no byte has been written, or only `number`; reports them unsent."""
        self.requests.withhold(number)

    def stop(self, effect: effects.SendStop) -> None:
        """Cancels a launch, or ends a running job."""
        self.requests.stop(effect)

    def forget(self, effect: effects.NotifyEnded) -> None:
        """Forgets a running job that has ended."""
        self.requests.forget(effect)

    def cancel(self) -> None:
        """Ends all connections once what is queued for them is written; the host has been removed."""
        if any(connection.is_writing for connection in self.connections):
            self.tasks.start_soon(self.cancel_after_last_write)
        else:
            self.scope.cancel()

    async def cancel_after_last_write(self) -> None:
        """Waits until what is queued is written, for a limited time, and ends all connections."""
        with anyio.move_on_after(LAST_WRITE_TIMEOUT):
            for connection in list(self.connections):
                while connection.is_writing and connection in self.connections:
                    await connection.written.wait()
        self.scope.cancel()

    # -- tasks

    async def run(self) -> None:
        """Hands out what is queued and opens connections, until cancelled."""
        with self.scope:
            async with anyio.create_task_group() as self.tasks:
                while True:
                    await self.wait_for_work()
                    if self.requests.hand_out() and not self.opening:
                        self.opening = True
                        self.tasks.start_soon(self.open)

    async def wait_for_work(self) -> None:
        """Waits until something is queued or has changed, or the next attempt to connect is due."""
        state = self.state
        if state.is_retry_delayed:
            with anyio.move_on_at(state.retry_at) as delay:
                await state.wake.wait()
            if delay.cancelled_caught:
                state.retry_at = math.inf
        else:
            await state.wake.wait()
        state.wake = anyio.Event()

    async def open(self) -> None:
        """Opens one connection, and serves it in a task of its own."""
        try:
            stream = await self.connector.connect()
        except ConnectFailedError as failure:
            await self.handle_open_failure(failure)
            return
        finally:
            self.opening = False
            self.state.wake.set()
        self.state.reopen = False
        connection = self.connection_on(stream)
        self.connections.append(connection)
        for task in self.launches.stopping:
            connection.enqueue(release_frame(task))
        self.tasks.start_soon(self.serve, connection)

    def connection_on(self, stream: Stream) -> Connection:
        """A new connection on an open stream."""
        link = Link(stream, host_codec.FrameReader())
        return Connection(self.next_number(), link, anyio.current_time())

    async def handle_open_failure(self, failure: ConnectFailedError) -> None:
        """Reports unsent launches, or that the host is lost; the next attempt is scheduled."""
        self.connector.note_failure(failure)
        if self.connections:
            return
        host, reason = self.state.id, str(failure)
        await self.inbox.post(events.LinkDown(host, 0, self.requests.take_launches(), reason))
        if self.connector.shows_loss(failure):
            self.log.warning("host lost", host=host, reason=reason, standing=len(self.launches.running))
            await self.inbox.post(events.HostLost(host))

    async def serve(self, connection: Connection) -> None:
        """Runs a connection until it ends, reports what was on it, and reads what the host still sends."""
        try:
            try:
                error = await self.run_until_lost(connection)
                await self.closing.end_writing(connection)
            finally:
                # Only once it has ended for the host may its launches go elsewhere.
                self.connections.remove(connection)
            await self.report_lost(connection, error)
            await self.closing.linger(connection)
        finally:
            await self.closing.close(connection)

    async def run_until_lost(self, connection: Connection) -> LinkLostError:
        """Writes and reads until the connection is lost or to be closed; returns why."""
        write, read = self.exchange.write(connection), self.exchange.read(connection)
        try:
            await run_until_link_lost(write, read, self.timeouts.watch(connection))
        except LinkLostError as error:
            return error
        except Exception as error:
            # An error in this program that one host's input triggers ends only that connection.
            self.log.error("fault", where=self.state.id, trace=traceback.format_exc())
            return LinkLostError(type(error).__name__)

    async def report_lost(self, connection: Connection, error: LinkLostError) -> None:
        """Reports what was on a connection that has ended; `error` says why."""
        host = self.state.id
        self.launches.on_connection_lost(connection)
        if self.may_have_lost_frames(connection, error):
            self.state.reopen = True
        self.requests.queue_probes_again(connection)
        unsent = tuple(number for number in connection.unanswered.values() if number in connection.unsent)
        if connection.unanswered:
            out = len(connection.unanswered)
            self.log.info("launches cut", host=host, reason=str(error), out=out, unsent=len(unsent))
        if connection.cancelled:
            self.inbox.put(events.LaunchesCancelled(host, tuple(connection.cancelled.values())))
        had_requests = bool(connection.unanswered or connection.probes)
        connection.forget_requests()
        if had_requests:
            await self.inbox.post(events.LinkDown(host, connection.number, unsent, str(error)))
        self.state.wake.set()

    def may_have_lost_frames(self, connection: Connection, error: LinkLostError) -> bool:
        """Whether the host may have sent something about a running job on a connection that is not read.

        Not if the host has closed a connection that was not used for long: it was idle.
        """
        is_idle = self.timeouts.is_idle(connection, anyio.current_time())
        return self.state.runs_jobs and not (is_idle and isinstance(error, LinkClosedError))

    # -- tests of a quiet host

    def may_begin_check(self) -> bool:
        """Whether a connection may be opened as a test; another host may have a gone one's address."""
        return self.state.runs_jobs and not (self.checking or self.opening or self.state.is_gone)

    def begin_check(self) -> None:
        """Begins a test of the host."""
        self.checking = True
        self.tasks.start_soon(self.check)

    async def check(self) -> None:
        """Tests a quiet host by a connection, which is closed again after what the host repeats on it.

        The other connections stay as they are: the host sends what concerns a job on that of its set-up.
        """
        try:
            stream = await self.connector.connect()
        except ConnectFailedError:
            return  # `is_ping_due` follows: the connections that are open are tested by pings
        finally:
            self.checking = False
        connection = self.connection_on(stream)
        try:
            await self.exchange.read_until(connection, connection.opened_at + CHECK_READ_TIME)
            await self.closing.end_writing(connection)
            await self.closing.linger(connection)
        except LinkLostError:
            pass  # it was to be closed anyway
        except Exception:
            self.log.error("fault", where=self.state.id, trace=traceback.format_exc())
        finally:
            await self.closing.close(connection)
