"""Schedules full garbage collections for moments at which the event loop is idle.

By default the interpreter decides when to run a full collection. With thousands of jobs in memory one takes a
tenth of a second or more, during which nothing is read or answered, and a busy loop is late already. Objects
that exist when the program starts are excluded from all collections. Collections of the younger generations
are short and run as usual.
"""

import gc

import anyio

from linedeal.loop.lateness import Lateness

CHECK_INTERVAL = 0.5  # seconds between two checks whether the loop is idle
IDLE_LATENESS = 0.01  # seconds of lateness up to which the loop counts as idle
MIN_INTERVAL = 10.0  # seconds between two full collections, at least
# seconds after which a full collection runs even if the loop is busy: bounds the growth of memory
MAX_INTERVAL = 120.0
# collections of the middle generation before the interpreter starts a full one on its own: practically never
DISABLED_THRESHOLD = 1 << 30


async def collect_garbage_when_idle(lateness: Lateness) -> None:
    """Runs full collections while the loop is idle. When cancelled, restores the collector's settings."""
    previous = gc.get_threshold()
    gc.freeze()
    gc.set_threshold(*previous[:2], DISABLED_THRESHOLD)
    try:
        collected_at = anyio.current_time()
        while True:
            await anyio.sleep(CHECK_INTERVAL)
            elapsed = anyio.current_time() - collected_at
            if elapsed >= MAX_INTERVAL or elapsed >= MIN_INTERVAL and lateness.now() <= IDLE_LATENESS:
                gc.collect()
                collected_at = anyio.current_time()
    finally:
        gc.set_threshold(*previous)
        gc.unfreeze()
