"""Timers in a single heap, fired in order of time and then of arming."""

import heapq
from collections.abc import Iterator

MIN_CANCELLED = 1000  # cancelled timers that may stay in the heap before it is rebuilt without them


class Timers:
    """Armed timers, each with a kind and a key. The caller passes the time."""

    def __init__(self):
        """Starts with no timer armed."""
        self.heap: list[tuple[float, int, str, object]] = []
        self.armed = 0
        self.cancelled: set[int] = set()

    def arm(self, at: float, kind: str, key) -> int:
        """Arms a timer; returns the number by which it can be cancelled."""
        self.armed += 1
        heapq.heappush(self.heap, (at, self.armed, kind, key))
        return self.armed

    def cancel(self, number: int) -> None:
        """Cancels a timer.

        For the few that are armed days ahead: each would otherwise stay in the heap until then, long after
        its job.
        """
        self.cancelled.add(number)
        if len(self.cancelled) > MIN_CANCELLED and len(self.cancelled) > len(self.heap) / 2:
            self.heap = [timer for timer in self.heap if timer[1] not in self.cancelled]
            heapq.heapify(self.heap)
            self.cancelled.clear()

    def pop_due(self, now: float) -> Iterator[tuple[str, object]]:
        """Kind and key of each timer due by `now`.

        Timers that are armed meanwhile fire in the next step, so that every step ends.
        """
        due = []
        while self.heap and self.heap[0][0] <= now:
            due.append(heapq.heappop(self.heap))
        for _, number, kind, key in due:
            if number in self.cancelled:
                self.cancelled.discard(number)
            else:
                yield kind, key

    def next_due(self) -> float:
        """When the first timer is due; infinity if none is armed."""
        return self.heap[0][0] if self.heap else float("inf")
