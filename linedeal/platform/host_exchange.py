"""Writes to and reads from the connections of one host.

A launch of which a byte has been written may have reached the host; one of which nothing was written never
will.
"""

from collections.abc import Callable

import anyio

from linedeal.engine import effects, events
from linedeal.interface import Mode
from linedeal.net import FrameError, LinkLostError, let_readers_run
from linedeal.platform import host_codec
from linedeal.platform.host_codec import Code, Type
from linedeal.platform.host_connection import Connection
from linedeal.platform.host_requests import HostRequests
from linedeal.platform.host_state import HostState

SEND_TIMEOUT = 2.0  # seconds for the host to read what is written
# Answers and releases in a row without effect, such as repeated ones and those for unknown tasks.
MAX_USELESS_FRAMES = 2000


class HostExchange:
    """Exchanges frames on the connections of one host, and posts the engine's events of them."""

    def __init__(self, host: HostState, requests: HostRequests, is_awaited: Callable[[bytes], bool]):
        """`is_awaited`: whether the owner of a task still waits for its answer."""
        self.host, self.requests, self.is_awaited = host, requests, is_awaited

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
                self.report_cancelled(connection, cancelled)
            connection.written.set()
            connection.written = anyio.Event()

    def report_cancelled(self, connection: Connection, cancelled: dict[bytes, int]) -> None:
        """Reports launches, by task, whose cancellation has been written."""
        for task in cancelled:
            del connection.cancelled[task]
        if cancelled:
            self.host.inbox.put(events.LaunchesCancelled(self.host.id, tuple(cancelled.values())))

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
                self.host.reachability.on_request(now)
            elif self.is_outdated(effect, now):
                self.requests.report_unsent([effect])
            else:
                connection.unsent.discard(effect.number)
                numbers.append(effect.number)
                wait = host_codec.parameter(Code.WAIT, b"%d" % ((effect.due - now) * 1000))
                data += host_codec.encode(Type.SETUP, effect.work[:8], effect.work[8:] + wait)
                awaits_reply = True
        if numbers:
            self.host.inbox.put(events.LaunchesSent(self.host.id, connection.number, tuple(numbers)))
        if awaits_reply and not connection.awaiting_since:
            connection.awaiting_since = now
        return bytes(data)

    def is_outdated(self, effect: effects.SendLaunch, now: float) -> bool:
        """Whether the decision to launch no longer holds.

        The host has restarted and is in its slow start, or drains and accepts nothing; the launch is late,
        or the mark of a labelled job forgotten; or the owner has disconnected, and the job is not awaited.
        """
        return (
            effect.boot != self.host.listed.boot
            or self.host.listed.mode is not Mode.SERVING
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
        now = anyio.current_time()
        connection.note_heard(now)
        self.host.reachability.on_message(now)
        received, frame_error = [], None
        for frame in frames:
            try:
                event = self.host.launches.handle_frame(connection, frame)
            except FrameError as error:
                frame_error = error
                break
            if event is not None:
                received.append(event)
                connection.useless_frames = 0
            elif frame.type in (Type.ANSWER, Type.RELEASE):
                connection.useless_frames += 1
        # These are recorded already: a repeated one would be taken for a frame without effect.
        await self.host.inbox.deliver(*received)
        if frame_error is not None:
            raise LinkLostError(f"bad frame: {frame_error}")
        if connection.useless_frames > MAX_USELESS_FRAMES:
            # Guards against a host whose frames occupy the loop.
            raise LinkLostError(f"{connection.useless_frames} answers in a row to no launch")
