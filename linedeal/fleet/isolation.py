"""Runs the fleet's part of a controller so that no fault of it ends the controller: placing jobs does not depend on it."""

import traceback
from typing import Awaitable, Callable

import anyio

RESTART_DELAY = (
    1.0,
    60.0,
)  # seconds after a fault until it is begun anew, doubled from the first to the second


async def run_isolated(where: str, work: Callable[[], Awaitable[None]], log) -> None:
    """Until it ends by itself. A fault ends what it was at, and it begins anew: what it owned, others take over."""
    pause = RESTART_DELAY[0]
    while True:
        try:
            await work()
            return
        except Exception:
            log.error("fault", where=where, trace=traceback.format_exc())
        await anyio.sleep(pause)
        pause = min(2 * pause, RESTART_DELAY[1])
