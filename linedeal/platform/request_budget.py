"""One budget of memory for what owners have requested and not been answered yet. Free of I/O.

It counts the lines that are read ahead of those handled, and the set-ups without an answer. A connection may
use up a part of it; when it is nearly used up, what is left goes to the connections that have the least.
"""

from linedeal.engine.admission import FairShares

MEMORY_SHARE = 6  # one part in so many of the process's memory limit is the budget
CONNECTION_SHARE = 4  # one part in so many of the budget is the most that one connection may use
DEFAULT_MEMORY_BYTES = 192 << 20  # the limit of a process whose configuration names none


class RequestBudget:
    """Bytes in use, by connection and in total."""

    def __init__(self, memory_limit: int):
        """`memory_limit`: bytes that the process may use; 0: not known."""
        self.total = (memory_limit or DEFAULT_MEMORY_BYTES) // MEMORY_SHARE
        self.used = 0
        self.shares = FairShares()

    def admits(self, connection: int, size: int) -> bool:
        """Whether a connection may use `size` bytes more."""
        own = self.shares.of.get(connection, 0)
        if own + size > self.total // CONNECTION_SHARE:
            return False
        return self.shares.admits(connection, self.used + size, self.total)

    def add(self, connection: int, size: int) -> None:
        """Counts `size` bytes more for a connection, admitted or not; a negative size: fewer."""
        self.used += size
        self.shares.add(connection, size)
