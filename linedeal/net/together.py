"""Tasks that share a link's fate."""

from typing import Coroutine

import anyio

from linedeal.net.base import LinkLost


async def until_lost(*works: Coroutine) -> None:
    """Runs all of `works` until one raises LinkLost, ends the others and raises it. Other errors pass as they are."""
    ended: list[LinkLost] = []

    async def end_with(work) -> None:
        try:
            await work
        except LinkLost as error:
            ended.append(error)
            tasks.cancel_scope.cancel()

    async with anyio.create_task_group() as tasks:
        for work in works:
            tasks.start_soon(end_with, work)
    raise ended[0]
