"""Runs the council and the duties so that a failure of theirs never ends the controller.

Placing jobs must not depend on them.
"""

import traceback
from collections.abc import Awaitable, Callable

import anyio

# seconds until the restart after a failure: the first, and the limit as it doubles
RESTART_DELAY = (1.0, 60.0)


async def run_isolated(where: str, work: Callable[[], Awaitable[None]], log) -> None:
    """Runs `work` until it returns, and restarts it after any exception.

    Each exception is logged with `where`. A duty that the failed run owned passes to another controller when
    its lease expires.
    """
    delay = RESTART_DELAY[0]
    while True:
        try:
            await work()
            return
        except Exception:
            log.error("fault", where=where, trace=traceback.format_exc())
        await anyio.sleep(delay)
        delay = min(2 * delay, RESTART_DELAY[1])
