"""The state of one connection to a host, and the frames that are the same for every host."""

from collections import deque
from collections.abc import Container

import anyio

from linedeal.engine import effects
from linedeal.net import Link
from linedeal.platform import host_codec, owner_codec
from linedeal.platform.host_codec import Code, Type


class Connection:
    """The state of one connection to a host."""

    def __init__(self, number: int, link: Link, now: float):
        """`number`: identifies the connection in the engine's events."""
        self.number, self.link, self.opened_at = number, link, now
        self.outbox: deque = deque()
        self.wake = anyio.Event()
        self.unanswered: dict[bytes, int] = {}  # launches without an answer, by task
        self.unsent: set[int] = set()  # those of them of which no byte has been written
        # Cancelled launches whose release has not been written yet, by task.
        self.cancelled: dict[bytes, int] = {}
        # Tasks whose set-up was sent here, each with the time until which it may be launched again.
        self.carried: dict[bytes, float] = {}
        self.probes: dict[bytes, int] = {}
        self.used_at = now
        self.was_heard = False  # whether the host has sent anything on it
        self.awaiting_since = 0.0  # the first set-up or ping since the host last sent anything; 0: none
        self.pinged = False  # since the host last sent anything
        self.partial_frame_since = 0.0  # 0: no frame is incomplete
        self.useless_frames = 0  # answers and releases since the last that had an effect
        self.closing = False  # gets no further launches
        self.closed = False  # its socket
        self.sending = False
        self.written = anyio.Event()  # set after each write

    def has_awaited(self, seconds: float, now: float) -> bool:
        """Whether a reply has been due for longer than `seconds` and the host has sent nothing."""
        return bool(self.awaiting_since) and now - self.awaiting_since > seconds

    @property
    def is_writing(self) -> bool:
        """Whether anything is queued or being written."""
        return bool(self.outbox) or self.sending

    def note_launch(self, effect: effects.SendLaunch) -> None:
        """Notes a launch that this connection is to carry."""
        task = effect.work[:8]
        self.unanswered[task] = effect.number
        self.carried[task] = effect.job.expiry
        self.unsent.add(effect.number)

    def note_heard(self, now: float) -> None:
        """Notes that the host has sent something, after which no reply is due."""
        self.used_at, self.was_heard = now, True
        self.awaiting_since, self.pinged = 0.0, False
        self.partial_frame_since = now if self.link.reader.buffer else 0.0

    def note_partial_frame(self, now: float) -> None:
        """Notes since when a frame has been incomplete."""
        self.partial_frame_since = (self.partial_frame_since or now) if self.link.reader.buffer else 0.0

    def enqueue(self, effect) -> None:
        """Queues an effect, or the bytes of a frame."""
        self.outbox.append(effect)
        self.wake.set()

    def forget_requests(self) -> None:
        """Forgets what a reply was due to: the requests count as lost, and later replies are ignored."""
        self.outbox.clear()
        self.unanswered.clear()
        self.unsent.clear()
        self.cancelled.clear()
        self.probes.clear()


def forget_expired(tasks: dict[bytes, float], unanswered: Container[bytes], now: float) -> None:
    """Removes the tasks whose time, until which they may be launched again, has passed.

    Those of `unanswered` stay: what the host sends about one of them may still concern an earlier launch.
    """
    for task in [task for task, until in tasks.items() if until <= now and task not in unanswered]:
        del tasks[task]


def ping_frame() -> bytes:
    """A ping that requests no report; it only checks whether the host answers."""
    return host_codec.encode(Type.PING, bytes(8), host_codec.parameter(Code.CAUSE, b"\x00"))


def release_frame(task: bytes) -> bytes:
    """Cancels a launch, or ends a running job."""
    return host_codec.encode(
        Type.RELEASE, task, host_codec.parameter(Code.CAUSE, bytes([owner_codec.NORMAL]))
    )
