"""How late the loop is: what is read now may have lain in its socket for so long."""

import anyio

EVERY = 0.02  # seconds between two beats


class Lateness:
    def __init__(self):
        self.last = 0.0  # seconds by which the last beat came late
        self.due = float("inf")  # when the next one is due

    async def run(self) -> None:
        while True:
            self.due = anyio.current_time() + EVERY
            await anyio.sleep(EVERY)
            self.last = max(0.0, anyio.current_time() - self.due)

    def now(self) -> float:
        """Seconds: by the beat that is overdue, or by the last one."""
        return max(self.last, anyio.current_time() - self.due)
