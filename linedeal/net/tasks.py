"""Tasks that share a link's fate, and what tasks owe each other's links."""

from typing import Coroutine

import anyio

from linedeal.net.base import LinkLostError

ROUNDS = (
    3  # of the loop: one looks at the sockets, one hands on what came, in one the task that reads it runs
)


async def run_until_link_lost(*works: Coroutine) -> None:
    """Runs all of `works` until one raises LinkLostError, ends the others and raises it. Other errors pass as they are."""
    ended: list[LinkLostError] = []

    async def end_with(work) -> None:
        try:
            await work
        except LinkLostError as error:
            ended.append(error)
            tasks.cancel_scope.cancel()

    async with anyio.create_task_group() as tasks:
        for work in works:
            tasks.start_soon(end_with, work)
    raise ended[0]


async def read_what_came() -> None:
    """Lets the tasks that read take what lies in their sockets already. After a long turn a decision may be older than a
    word that was there before it; whoever is about to do what that word forbids looks here first."""
    for _ in range(ROUNDS):
        await anyio.sleep(0)
