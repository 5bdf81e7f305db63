"""The state of one connection of an owner."""

from collections import deque

import anyio

from linedeal.net import Link
from linedeal.platform.line_queue import LineQueue
from linedeal.platform.owner_codec import Line


class OwnerConnection:
    """The state of one owner's connection."""

    def __init__(self, number: int, link: Link, lines: LineQueue, now: float):
        """`number`: identifies the connection in the engine and the router."""
        self.number, self.link, self.opened_at, self.received_at = number, link, now, now
        self.lines = lines
        # When the first bytes were read, if that was done at the accept; None once they are handled.
        self.first_bytes_at: float | None = None
        self.has_sent_valid = False  # a message that the protocol allows
        self.invalid_lines = 0
        self.partial_line_since = 0.0  # 0: no line is incomplete
        self.received: deque[Line] = deque()  # by the last read, and not in `lines` yet
        self.lines_arrived = anyio.Event()
        self.line_handled = anyio.Event()
        self.outbox: list[bytes] = []
        self.unread = 0  # bytes in the outbox, or being written
        self.writing = False  # what was in the outbox is being written
        self.wake = anyio.Event()
        self.scope = anyio.CancelScope()
        self.reason = ""  # of its close

    @property
    def is_written(self) -> bool:
        """Whether all that was queued has been written."""
        return not (self.outbox or self.writing)

    @property
    def has_unhandled_lines(self) -> bool:
        """Whether lines that were read are not handled yet."""
        return bool(self.lines or self.received)

    def note_partial_line(self, now: float) -> None:
        """Notes since when a line has been incomplete."""
        self.partial_line_since = (self.partial_line_since or now) if self.link.reader.buffer else 0.0
