"""Unix time that goes on evenly though the system's clock is stepped."""

import time
from collections.abc import Callable


class UnixClock:
    """The system's Unix time as it was first read, counted on by the monotonic clock.

    The age of a host is a span of real time. By a clock that was stepped meanwhile, a host that has just
    started would look as old as the step is long, or new for as long.
    """

    def __init__(
        self, unix_time: Callable[[], float] = time.time, monotonic: Callable[[], float] = time.monotonic
    ):
        """Reads both clocks, which return seconds."""
        self.monotonic = monotonic
        self.unix_time_at_zero = unix_time() - monotonic()

    def __call__(self) -> float:
        """Unix time in seconds."""
        return self.unix_time_at_zero + self.monotonic()
