"""A clock that runs fast or slow, or jumps, for one process of a day: an event loop that reckons by it. Timers, time-outs
and leases of that process all follow; nothing else on the machine does."""

import asyncio
import selectors


class SkewedSelector(selectors.DefaultSelector):
    """Waits as long as the loop's own clock says, in true seconds."""

    rate = 1.0

    def select(self, timeout=None):
        return super().select(timeout / self.rate if timeout and timeout > 0 else timeout)


class SkewedEventLoop(asyncio.SelectorEventLoop):
    """`rate`: seconds of its clock in a true second. `jump` sets it forward."""

    def __init__(self, rate: float):
        selector = SkewedSelector()
        selector.rate = rate
        super().__init__(selector)
        self.rate, self.ahead, self.begun = rate, 0.0, super().time()

    def time(self) -> float:
        true = super().time()
        if not hasattr(self, "begun"):  # asked while it is being made
            return true
        return self.begun + (true - self.begun) * self.rate + self.ahead

    def jump(self, seconds: float) -> None:
        self.ahead += seconds
        self.call_soon(lambda: None)  # it looks at its timers at once
