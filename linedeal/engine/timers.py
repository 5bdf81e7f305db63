"""Timers in one heap, rung in order of time and then of arming."""

import heapq
from typing import Iterator


class Timers:
    def __init__(self):
        self.heap: list[tuple[float, int, str, object]] = []
        self.armed = 0

    def arm(self, at: float, kind: str, key) -> None:
        self.armed += 1
        heapq.heappush(self.heap, (at, self.armed, kind, key))

    def due(self, now: float) -> Iterator[tuple[str, object]]:
        """Those due by `now`; timers armed meanwhile ring in the next turn, so one turn always ends."""
        ring = []
        while self.heap and self.heap[0][0] <= now:
            ring.append(heapq.heappop(self.heap))
        for _, _, kind, key in ring:
            yield kind, key

    def next(self) -> float:
        """When the first is due; infinity where none is armed."""
        return self.heap[0][0] if self.heap else float("inf")
