"""The connections to one host, and which launches may have reached it.

A launch of which a byte has been written may have reached the host; one of which nothing was written never
will. A running job does not belong to a connection, so one connection is kept open while any job runs
there.
"""

import math
import traceback
from collections import deque
from collections.abc import Callable

import anyio

from linedeal.engine import effects, events
from linedeal.interface import Mode
from linedeal.loop import Inbox
from linedeal.net import (
    FrameError,
    Link,
    LinkClosedError,
    LinkLostError,
    Net,
    Stream,
    connect_within,
    let_readers_run,
    parse_address,
    run_until_link_lost,
)
from linedeal.net.base import CONNECTION_ERRORS, describe_error
from linedeal.platform import host_codec
from linedeal.platform.descriptors import DescriptorBudget
from linedeal.platform.host_codec import Code, Type
from linedeal.platform.host_connection import Connection, forget_expired, ping_frame, release_frame
from linedeal.platform.host_launches import HostLaunches
from linedeal.platform.lingering import LingeringConnections
from linedeal.platform.reachability import CheckPacer, Reachability
from linedeal.settings.records import Limits

MAX_QUEUE = 512  # messages that wait for one host
CHECK_INTERVAL = 0.25  # seconds between checks of a connection's timeouts
PARTIAL_FRAME_TIMEOUT = 1.0  # seconds for which a frame may stay incomplete
RESPONSE_TIMEOUT = 2.0  # seconds for the host to send anything after a set-up or a ping
PING_SHARE = 0.5  # of RESPONSE_TIMEOUT, after which a host that was sent a set-up is sent a ping
SEND_TIMEOUT = 2.0  # seconds for the host to read what is written
LAST_WRITE_TIMEOUT = 0.5  # seconds for that of a host that has left the list
CHECK_READ_TIME = 0.1  # seconds for which a connection that was opened as a test is read
RETRY_DELAY = 0.2  # seconds between attempts to connect to a host that runs jobs
# Answers and releases in a row without effect, such as repeated ones and those for unknown tasks.
MAX_USELESS_FRAMES = 2000
IDLE_SHARE = 0.6  # of the time after which hosts close an idle connection, after which it is closed here


class ConnectFailedError(Exception):
    """No connection could be opened; the message has the reason."""

    def __init__(self, reason: str, began_at: float | None = None, refused: bool = False):
        """`began_at`: when the attempt began; None if none was made. `refused`: by the host's system."""
        super().__init__(reason)
        self.began_at, self.refused = began_at, refused


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
        self.listed, self.net, self.limits, self.inbox, self.log = listed, net, limits, inbox, log
        self.idle_timeout, self.max_connections, self.next_number = (
            idle_timeout,
            max_connections,
            next_number,
        )
        self.descriptors, self.check_pacer, self.is_awaited = descriptors, check_pacer, is_awaited
        self.lingering = lingering
        self.outbox: deque = deque()
        self.connections: list[Connection] = []
        self.launches = HostLaunches(listed.id, report_names)
        self.wake = anyio.Event()
        self.scope = anyio.CancelScope()
        self.opening = False
        self.checking = False  # whether a connection is being opened as a test
        # A connection was lost while jobs ran: the host repeats on the next one what it sent on the lost one.
        self.reopen = False
        self.reachability = Reachability(anyio.current_time())
        # When to try again after a connection could not be opened; infinity: nothing delays the next attempt.
        self.retry_at = math.inf

    # -- for the engine's effects

    def update_host(self, listed: events.ListedHost) -> None:
        """Applies a newer listing. Unsent launches are withheld from a host that drains or is gone."""
        if (listed.mode, listed.boot) != (self.listed.mode, self.listed.boot):
            self.log.info("host changed", host=listed.id, mode=listed.mode.name, age=round(listed.age, 1))
        self.listed = listed
        if listed.mode is not Mode.SERVING:
            self.withhold()

    def launch(self, effect: effects.SendLaunch) -> None:
        """Queues a launch, or reports it as unsent if too many messages wait."""
        if len(self.outbox) >= MAX_QUEUE:
            self.report_unsent([effect])
            return
        self.launches.task_by_launch[effect.number] = effect.work[:8]
        self.enqueue(effect)

    def adopt(self, effect: effects.Adopt) -> None:
        """Notes a job that runs there already, and opens a connection for it."""
        if not self.launches.running:
            # What failed before the host was known to run a job says nothing about that job.
            self.reachability = Reachability(anyio.current_time())
        self.launches.adopt(effect.number, effect.work[:8])
        self.wake.set()

    def probe(self, effect: effects.SendProbe) -> None:
        """Queues a probe, unless too many messages wait."""
        if len(self.outbox) < MAX_QUEUE:
            self.enqueue(effect)

    def enqueue(self, effect) -> None:
        """Queues an effect for whichever connection `dispatch` chooses."""
        self.outbox.append(effect)
        self.wake.set()

    def withhold(self, number: int | None = None) -> None:
        """Withdraws the launches of which no byte has been written, or only `number`; reports them unsent."""

        def matches(effect):
            return isinstance(effect, effects.SendLaunch) and number in (None, effect.number)

        withheld = []
        for holder in (self, *self.connections):
            mine = [effect for effect in holder.outbox if matches(effect)]
            if mine:
                holder.outbox = deque(effect for effect in holder.outbox if not matches(effect))
                withheld += mine
        self.report_unsent(withheld)

    def report_unsent(self, launches: list[effects.SendLaunch]) -> None:
        """Notifies the engine that no byte of these launches was written, or will be."""
        for effect in launches:
            self.launches.task_by_launch.pop(effect.number, None)
            for connection in self.connections:
                if effect.number in connection.unsent:
                    connection.unsent.discard(effect.number)
                    del connection.unanswered[effect.work[:8]]
        if launches:
            self.inbox.put(events.LaunchesUnsent(self.listed.id, tuple(effect.number for effect in launches)))

    def stop(self, effect: effects.SendStop) -> None:
        """Cancels a launch, or ends a running job."""
        number = effect.launch.number
        self.withhold(number)
        task = self.launches.task_by_launch.get(number)
        if task is None:
            self.inbox.put(events.LaunchesCancelled(self.listed.id, (number,)))
            return
        if self.launches.running.get(task) == number:
            if task not in self.launches.stopping:
                self.launches.stopping[task] = None
                if self.connections:
                    self.least_busy().enqueue(release_frame(task))
                else:
                    self.wake.set()
            return
        del self.launches.task_by_launch[number]
        for connection in self.connections:
            if connection.unanswered.get(task) == number:
                del connection.unanswered[task]
                connection.cancelled[task] = number
                self.launches.unconfirmed[task] = connection.carried[task]
                connection.enqueue(release_frame(task))
                if connection.awaiting_since:
                    # The host has been silent since the launch: its other launches continue on the
                    # connection, new ones do not use it.
                    connection.closing = True
                return
        # The launch has ended with its connection.
        self.inbox.put(events.LaunchesCancelled(self.listed.id, (number,)))

    def forget(self, effect: effects.NotifyEnded) -> None:
        """Forgets a running job that has ended.

        If it has ended because its host left the list, it is also ended at whatever listens at that address:
        another host may have come up there, and have accepted it under the name of the one that is gone.
        """
        task = self.launches.forget(effect.number)
        if task is not None and self.listed.mode is Mode.GONE:
            connection = self.least_busy()
            if connection is not None:
                connection.enqueue(release_frame(task))

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
        """Dispatches what is queued and opens connections, until cancelled."""
        with self.scope:
            async with anyio.create_task_group() as self.tasks:
                while True:
                    await self.wait_for_work()
                    if self.dispatch() and not self.opening:
                        self.opening = True
                        self.tasks.start_soon(self.open)

    async def wait_for_work(self) -> None:
        """Waits until something is queued or has changed, or the next attempt to connect is due."""
        if self.retry_at == math.inf:
            await self.wake.wait()
        else:
            with anyio.move_on_at(self.retry_at) as delay:
                await self.wake.wait()
            if delay.cancelled_caught:
                self.retry_at = math.inf
        self.wake = anyio.Event()

    def least_busy(self, task: bytes | None = None) -> Connection | None:
        """The connection with the fewest unanswered launches; None if no connection may carry `task`.

        No connection carries two set-ups of one task. An answer is thereby known to concern this launch,
        and is no repeated answer to an earlier one.
        """
        available = [c for c in self.connections if not c.closing and task not in c.carried]
        if task is None and not available:
            return self.connections[0] if self.connections else None
        return min(available, key=lambda c: len(c.unanswered), default=None)

    def dispatch(self) -> bool:
        """Hands what is queued to connections; returns whether another connection is needed.

        Launches use an open connection rather than wait for a new one. Launches that had waited would all
        reach the host at once when it opens, and be refused there.
        """
        needed, kept, limit = False, deque(), self.max_connections()
        while self.outbox:
            effect = self.outbox.popleft()
            launch = isinstance(effect, effects.SendLaunch)
            connection = self.least_busy(effect.work[:8] if launch else None)
            if connection is None:
                kept.append(effect)
                continue
            if launch:
                needed = needed or bool(connection.unanswered)
                connection.unanswered[effect.work[:8]] = effect.number
                connection.carried[effect.work[:8]] = effect.job.expiry
                connection.unsent.add(effect.number)
            connection.enqueue(effect)
        self.outbox = kept
        if self.listed.mode is Mode.GONE:
            return False  # another host may listen at its address by now
        if kept and self.connections:
            if len(self.connections) == limit:  # one has to close; its unanswered launches continue
                min(self.connections, key=lambda c: len(c.unanswered)).closing = True
            return len(self.connections) <= limit and self.retry_at == math.inf
        needed = (
            bool(kept)
            or (needed or bool(self.launches.running) and (self.reopen or not self.connections))
            and self.retry_at == math.inf
        )
        return needed and len(self.connections) < limit

    async def open(self) -> None:
        """Opens one connection; may wait for a descriptor, and then connect, for the connect timeout each."""
        try:
            stream = await self.connect()
        except ConnectFailedError as failure:
            await self.handle_open_failure(failure)
            return
        finally:
            self.opening = False
            self.wake.set()
        now = anyio.current_time()
        self.reachability.on_connected(now)
        self.reopen = False
        connection = Connection(self.next_number(), Link(stream, host_codec.FrameReader()), now)
        self.connections.append(connection)
        for task in self.launches.stopping:
            connection.enqueue(release_frame(task))
        self.tasks.start_soon(self.serve, connection)

    async def connect(self) -> Stream:
        """Opens a stream to the host, whose descriptor is counted. Raises ConnectFailedError."""
        timeout, stream = self.limits.connect, None
        if not await self.descriptors.reserve_for_host(timeout):
            raise ConnectFailedError("no descriptor is free for it")
        began_at = anyio.current_time()
        self.reachability.on_request(began_at)
        try:
            timeout = self.reachability.attempt_timeout(began_at, timeout)
            stream = await connect_within(self.net, parse_address(self.listed.addresses[0]), timeout)
            return stream
        except TimeoutError:
            raise ConnectFailedError("it does not answer", began_at) from None
        except ValueError as error:
            raise ConnectFailedError(str(error), began_at) from None
        except CONNECTION_ERRORS as error:
            refused = isinstance(error.__cause__ or error, ConnectionRefusedError)
            raise ConnectFailedError(describe_error(error), began_at, refused) from None
        finally:
            if stream is None:
                self.descriptors.remove(hosts=1)

    async def handle_open_failure(self, failure: ConnectFailedError) -> None:
        """Reports unsent launches, or that the host is lost, and schedules the next attempt."""
        now, reason = anyio.current_time(), str(failure)
        if failure.began_at is not None:
            self.reachability.on_attempt_failed(failure.refused)
        self.retry_at = self.reachability.next_attempt_at(now, RETRY_DELAY, self.limits.connect)
        if self.connections:
            return
        unsent = tuple(e.number for e in self.outbox if isinstance(e, effects.SendLaunch))
        self.outbox.clear()
        for number in unsent:
            self.launches.task_by_launch.pop(number, None)
        await self.inbox.post(events.LinkDown(self.listed.id, 0, unsent, reason))
        if (
            self.launches.running
            and failure.began_at is not None
            and self.reachability.is_lost(failure.began_at)
        ):
            self.log.warning(
                "host lost", host=self.listed.id, reason=reason, standing=len(self.launches.running)
            )
            await self.inbox.post(events.HostLost(self.listed.id))

    def may_check(self) -> bool:
        """Whether a connection may be opened as a test; another host may have a gone one's address."""
        busy = self.checking or self.opening
        return bool(self.launches.running) and not busy and self.listed.mode is not Mode.GONE

    async def check(self) -> None:
        """Tests a quiet host by a connection, which is closed again after what the host repeats on it.

        The other connections stay as they are: the host sends what concerns a job on that of its set-up.
        """
        try:
            stream = await self.connect()
        except ConnectFailedError:
            return  # `is_ping_due` follows: the connections that are open are tested by pings
        finally:
            self.checking = False
        now = anyio.current_time()
        self.reachability.on_connected(now)
        connection = Connection(self.next_number(), Link(stream, host_codec.FrameReader()), now)
        try:
            await self.read_until(connection, now + CHECK_READ_TIME)
            await self.end_writing(connection)
            await self.linger(connection)
        except LinkLostError:
            pass  # it was to be closed anyway
        except Exception:
            self.log.error("fault", where=self.listed.id, trace=traceback.format_exc())
        finally:
            await self.close(connection)

    async def serve(self, connection: Connection) -> None:
        """Runs a connection until it ends, reports what was on it, and reads what the host still sends."""
        try:
            try:
                error = await self.exchange(connection)
                await self.end_writing(connection)
            finally:
                # Only once it has ended for the host may its launches go elsewhere.
                self.connections.remove(connection)
            await self.report_lost(connection, error)
            await self.linger(connection)
        finally:
            await self.close(connection)

    async def exchange(self, connection: Connection) -> LinkLostError:
        """Writes and reads until the connection is lost or to be closed; returns why."""
        try:
            await run_until_link_lost(
                self.write(connection), self.read(connection), self.check_timeouts(connection)
            )
        except LinkLostError as error:
            return error
        except Exception as error:
            # An error in this program that one host's input triggers ends only that connection.
            self.log.error("fault", where=self.listed.id, trace=traceback.format_exc())
            return LinkLostError(type(error).__name__)

    async def end_writing(self, connection: Connection) -> None:
        """Closes a connection for the host, which can still be read if jobs run there.

        Not if a write is unfinished: what is left of it must not reach the host any more.
        """
        connection.closing = True
        if self.launches.running and not connection.sending:
            await connection.link.end_writing()
        else:
            await self.close(connection)

    async def close(self, connection: Connection) -> None:
        """Closes a connection's socket, once."""
        if not connection.closed:
            connection.closed = True
            await connection.link.close()
            self.descriptors.remove(hosts=1)

    async def linger(self, connection: Connection) -> None:
        """Reads a connection on which nothing is written any more, until the host closes it too.

        A host whose process hangs sends the ends of jobs on it before it notices the close. No longer than
        jobs run there, and as `lingering` has room.
        """
        if not self.launches.running:
            return
        try:
            with self.lingering.hold(self.listed.id, connection.was_heard):
                while self.launches.running:
                    await self.read_until(connection, anyio.current_time() + CHECK_INTERVAL)
        except LinkLostError:
            pass
        except Exception:
            # As in `exchange`: what one host's input triggers ends only that connection.
            self.log.error("fault", where=self.listed.id, trace=traceback.format_exc())

    async def report_lost(self, connection: Connection, error: LinkLostError) -> None:
        """Reports what was on a connection that has ended; `error` says why."""
        self.launches.on_connection_lost(connection)
        if self.may_have_lost_frames(connection, error):
            self.reopen = True
        self.outbox.extendleft(
            effect for effect in reversed(connection.outbox) if isinstance(effect, effects.SendProbe)
        )
        unsent = tuple(number for number in connection.unanswered.values() if number in connection.unsent)
        if connection.unanswered:
            self.log.info(
                "launches cut",
                host=self.listed.id,
                reason=str(error),
                out=len(connection.unanswered),
                unsent=len(unsent),
            )
        if connection.cancelled:
            self.inbox.put(events.LaunchesCancelled(self.listed.id, tuple(connection.cancelled.values())))
        had_requests = bool(connection.unanswered or connection.probes)
        connection.forget_requests()
        if had_requests:
            await self.inbox.post(events.LinkDown(self.listed.id, connection.number, unsent, str(error)))
        self.wake.set()

    def may_have_lost_frames(self, connection: Connection, error: LinkLostError) -> bool:
        """Whether the host may have sent something about a running job on a connection that is not read.

        Not if the host has closed a connection that was not used for long: it was idle.
        """
        idle = anyio.current_time() - connection.used_at >= self.idle_timeout * IDLE_SHARE
        return bool(self.launches.running) and not (idle and isinstance(error, LinkClosedError))

    async def write(self, connection: Connection) -> None:
        """Writes what is queued. Raises LinkLostError if the host does not read it in time."""
        while True:
            await connection.wake.wait()
            connection.wake = anyio.Event()
            if connection.cancelled or connection.unsent:
                # What a late loop has not read yet may be the answer to a launch that is cancelled
                # (`accept_despite_cancel`), or the disconnect of an owner whose job is about to be launched.
                await let_readers_run()
            data, cancelled = self.encode_outbox(connection), dict(connection.cancelled)
            if data:
                connection.used_at = anyio.current_time()
                connection.sending = True
                await connection.link.send(data, SEND_TIMEOUT)
                connection.sending = False
                if cancelled:
                    for task in cancelled:
                        del connection.cancelled[task]
                    self.inbox.put(events.LaunchesCancelled(self.listed.id, tuple(cancelled.values())))
            connection.written.set()
            connection.written = anyio.Event()

    def encode_outbox(self, connection: Connection) -> bytes:
        """Returns the bytes of the next write, after it has reported the launches in them as sent."""
        now, data, numbers, awaits_reply = anyio.current_time(), bytearray(), [], False
        while connection.outbox:
            effect = connection.outbox.popleft()
            if isinstance(effect, bytes):
                data += effect
            elif isinstance(effect, effects.SendProbe):
                probe = effect.number.to_bytes(8)
                connection.probes[probe] = effect.number
                data += host_codec.encode(Type.PING, probe, host_codec.parameter(Code.CAUSE, b"\x01"))
                awaits_reply = True
                self.reachability.on_request(now)
            elif self.is_outdated(effect, now):
                self.report_unsent([effect])
            else:
                connection.unsent.discard(effect.number)
                numbers.append(effect.number)
                wait = host_codec.parameter(Code.WAIT, b"%d" % ((effect.due - now) * 1000))
                data += host_codec.encode(Type.SETUP, effect.work[:8], effect.work[8:] + wait)
                awaits_reply = True
        if numbers:
            self.inbox.put(events.LaunchesSent(self.listed.id, connection.number, tuple(numbers)))
        if awaits_reply and not connection.awaiting_since:
            connection.awaiting_since = now
        return bytes(data)

    def is_outdated(self, effect: effects.SendLaunch, now: float) -> bool:
        """Whether the decision to launch no longer holds.

        The host has restarted and is in its slow start, or drains and accepts nothing; the launch is late,
        or the mark of a labelled job forgotten; or the owner has disconnected, and the job is not awaited.
        """
        return (
            effect.boot != self.listed.boot
            or self.listed.mode is not Mode.SERVING
            or now >= min(effect.due, effect.send_by)
            or not self.is_awaited(effect.work[:8])
        )

    async def read(self, connection: Connection) -> None:
        """Reads frames and posts the engine's events of them. Raises LinkLostError."""
        while True:
            await self.handle_frames(connection, await connection.link.receive_all())

    async def read_until(self, connection: Connection, deadline: float) -> None:
        """As `read`, until loop time `deadline`; what has been read by then is handled to its end."""
        while True:
            frames = None
            with anyio.move_on_at(deadline):
                frames = await connection.link.receive_all()
            if frames is None:
                return
            await self.handle_frames(connection, frames)

    async def handle_frames(self, connection: Connection, frames: list[host_codec.Frame]) -> None:
        """Posts the engine's events of frames that have arrived together. Raises LinkLostError."""
        now = connection.used_at = anyio.current_time()
        connection.was_heard = True
        self.reachability.on_message(now)
        connection.awaiting_since, connection.pinged = 0.0, False
        connection.partial_frame_since = now if connection.link.reader.buffer else 0.0
        received, frame_error = [], None
        for frame in frames:
            try:
                event = self.launches.handle_frame(connection, frame)
            except FrameError as error:
                frame_error = error
                break
            if event is not None:
                received.append(event)
                connection.useless_frames = 0
            elif frame.type in (Type.ANSWER, Type.RELEASE):
                connection.useless_frames += 1
        # This link has recorded them, and takes a repeated one for a frame without effect.
        await self.inbox.deliver(*received)
        if frame_error is not None:
            raise LinkLostError(f"bad frame: {frame_error}")
        if connection.useless_frames > MAX_USELESS_FRAMES:
            # Guards against a host whose frames occupy the loop.
            raise LinkLostError(f"{connection.useless_frames} answers in a row to no launch")

    async def check_timeouts(self, connection: Connection) -> None:
        """Tests a quiet host. Raises LinkLostError if the connection hangs or is no longer needed."""
        while True:
            await anyio.sleep(CHECK_INTERVAL)
            now = anyio.current_time()
            self.note_partial_frame(connection, now)
            if connection.has_awaited(RESPONSE_TIMEOUT * PING_SHARE, now) and not connection.pinged:
                # A healthy host that accepts a launch only when its job runs may have nothing to send yet.
                self.ping(connection, now)
            if self.reason_to_close(connection, now):
                # If this process stood still, what was missing may have arrived and be unread.
                await let_readers_run()
                reason = self.reason_to_close(connection, now)
                if reason:
                    raise LinkLostError(reason)
            for tasks in (connection.carried, self.launches.unconfirmed):
                forget_expired(tasks, connection.unanswered, now)
            if self.is_ping_due(connection, now):
                self.ping(connection, now)
            if self.may_check() and self.reachability.is_check_due(now) and self.check_pacer.take(now):
                self.test_host(connection, now)

    def note_partial_frame(self, connection: Connection, now: float) -> None:
        """Notes since when a frame has been incomplete."""
        buffer = connection.link.reader.buffer
        connection.partial_frame_since = (connection.partial_frame_since or now) if buffer else 0.0

    def reason_to_close(self, connection: Connection, now: float) -> str:
        """Why a connection has to be closed; empty if it is kept.

        While jobs run, one is never closed for being idle: the host may be about to report the end of one.
        """
        partial_since, idle_for = connection.partial_frame_since, now - connection.used_at
        if partial_since and now - partial_since > PARTIAL_FRAME_TIMEOUT:
            return "a frame that does not end"
        if connection.has_awaited(RESPONSE_TIMEOUT, now):
            return f"nothing received for {RESPONSE_TIMEOUT:g} s"
        if len(connection.outbox) > MAX_QUEUE:
            return f"{len(connection.outbox)} messages wait for it"
        if connection.closing and not connection.unanswered:
            return "its last launch was not answered"
        if connection.unanswered or self.launches.running:
            return ""
        if idle_for > self.idle_timeout * IDLE_SHARE:
            return "idle"
        if self.descriptors.waiting_for_host and self.descriptors.full and idle_for > CHECK_INTERVAL:
            return "idle, and its descriptor is needed"
        return ""

    def is_ping_due(self, connection: Connection, now: float) -> bool:
        """Whether a host on which jobs run has been quiet for so long that it has to be pinged there."""
        if not self.launches.running or connection.pinged:
            return False
        return self.reachability.is_ping_due(now, connection.opened_at)

    def test_host(self, connection: Connection, now: float) -> None:
        """Begins a test of a quiet host, for which no connection of an owner has to be closed."""
        if not self.descriptors.full:
            self.checking = True
            self.tasks.start_soon(self.check)
        elif not connection.pinged:
            self.ping(connection, now)

    def ping(self, connection: Connection, now: float) -> None:
        """Pings the host; `check_timeouts` closes the connection if it sends nothing in time."""
        connection.pinged = True
        connection.awaiting_since = connection.awaiting_since or now
        self.reachability.on_request(now)
        connection.enqueue(ping_frame())
