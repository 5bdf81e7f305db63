"""Measures how late the event loop runs: what is read now may have waited in its socket for that long."""

import anyio

INTERVAL = 0.02  # seconds between two samples


class Lateness:
    """Samples by how much a periodic sleep overruns."""

    def __init__(self):
        """Reports a lateness of 0 until `run` has started."""
        self.last = 0.0  # seconds by which the last sample was late
        self.due = float("inf")  # loop time at which the next sample is due

    async def run(self) -> None:
        """Takes samples until cancelled."""
        while True:
            self.due = anyio.current_time() + INTERVAL
            await anyio.sleep(INTERVAL)
            self.last = max(0.0, anyio.current_time() - self.due)

    def now(self) -> float:
        """The lateness in seconds: that of the last sample, or of the one that is overdue if that is more."""
        return max(self.last, anyio.current_time() - self.due)
