"""An event loop whose clock runs fast or slow, or jumps: simulates a wrong clock in one process of a day.

Timers, timeouts and leases of that process follow it; the system's clocks stay as they are.
"""

import asyncio
import selectors


class SkewedSelector(selectors.DefaultSelector):
    """Converts the loop's timeouts to real seconds."""

    rate = 1.0  # seconds of the loop's clock in a real second

    def select(self, timeout=None):
        """Waits up to `timeout` seconds of the loop's clock."""
        return super().select(timeout / self.rate if timeout and timeout > 0 else timeout)


class SkewedEventLoop(asyncio.SelectorEventLoop):
    """An event loop whose clock advances at a configured rate."""

    def __init__(self, rate: float):
        """`rate`: seconds that the clock advances in a real second."""
        selector = SkewedSelector()
        selector.rate = rate
        super().__init__(selector)
        self.rate, self.offset, self.started_at = rate, 0.0, super().time()

    def time(self) -> float:
        """Seconds of the skewed clock."""
        real = super().time()
        if not hasattr(self, "started_at"):  # called by the constructor of the base class
            return real
        return self.started_at + (real - self.started_at) * self.rate + self.offset

    def jump(self, seconds: float) -> None:
        """Sets the clock forward."""
        self.offset += seconds
        self.call_soon(lambda: None)  # wakes the loop, which checks its timers at once
