"""Timers in one heap, rung in order of time and then of arming."""

import heapq
from typing import Iterator

SWEEP = 1000  # cancelled timers that may stay in the heap at least


class Timers:
    def __init__(self):
        self.heap: list[tuple[float, int, str, object]] = []
        self.armed = 0
        self.cancelled: set[int] = set()

    def arm(self, at: float, kind: str, key) -> int:
        """Its number, by which it can be cancelled."""
        self.armed += 1
        heapq.heappush(self.heap, (at, self.armed, kind, key))
        return self.armed

    def cancel(self, number: int) -> None:
        """For the few that are armed days ahead: each would stay in the heap until then, its job long gone."""
        self.cancelled.add(number)
        if len(self.cancelled) > SWEEP and len(self.cancelled) > len(self.heap) / 2:
            self.heap = [timer for timer in self.heap if timer[1] not in self.cancelled]
            heapq.heapify(self.heap)
            self.cancelled.clear()

    def due(self, now: float) -> Iterator[tuple[str, object]]:
        """Those due by `now`; timers armed meanwhile ring in the next turn, so one turn always ends."""
        ring = []
        while self.heap and self.heap[0][0] <= now:
            ring.append(heapq.heappop(self.heap))
        for _, number, kind, key in ring:
            if number in self.cancelled:
                self.cancelled.discard(number)
            else:
                yield kind, key

    def next(self) -> float:
        """When the first is due; infinity where none is armed."""
        return self.heap[0][0] if self.heap else float("inf")
