"""When garbage in cycles is looked for through all that is held.

The interpreter does that as it sees fit: with thousands of jobs held it takes a tenth of a second and more, in which nothing
is read or answered, and a loop that is busy is late already. Here it waits for a quiet moment. What the program has at its
start is left out of every look; young objects are looked through as ever, which is short.
"""

import gc

import anyio

from linedeal.loop.lateness import Lateness

LOOK = 0.5  # seconds between two looks whether the loop is quiet
QUIET = 0.01  # seconds of lateness up to which it is
BETWEEN = 10.0  # seconds between two full collections, at least
MOST = (
    120.0  # seconds after which one is made however busy the loop is: guards against memory that only grows
)
NEVER = 1 << 30  # collections of the middle generation after which the interpreter would make one


async def collect_garbage_when_idle(lateness: Lateness) -> None:
    former = gc.get_threshold()
    gc.freeze()
    gc.set_threshold(*former[:2], NEVER)
    try:
        made_at = anyio.current_time()
        while True:
            await anyio.sleep(LOOK)
            since = anyio.current_time() - made_at
            if since >= MOST or since >= BETWEEN and lateness.now() <= QUIET:
                gc.collect()
                made_at = anyio.current_time()
    finally:
        gc.set_threshold(*former)
        gc.unfreeze()
