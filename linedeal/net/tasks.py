"""Tasks that end together with a link, and a pause that lets the tasks that read run first."""

from collections.abc import Coroutine

import anyio

from linedeal.net.base import LinkLostError

# Loop iterations until data in a socket has been handled: one polls the sockets, one passes the data on,
# and in one the task that reads it runs.
READ_ITERATIONS = 3


async def run_until_link_lost(*works: Coroutine) -> None:
    """Runs all of `works` until one raises LinkLostError, cancels the others and raises it.

    Other exceptions propagate unchanged.
    """
    ended: list[LinkLostError] = []

    async def run_one(work) -> None:
        try:
            await work
        except LinkLostError as error:
            ended.append(error)
            tasks.cancel_scope.cancel()

    async with anyio.create_task_group() as tasks:
        for work in works:
            tasks.start_soon(run_one, work)
    raise ended[0]


async def let_readers_run() -> None:
    """Lets the tasks that read handle the data that is in their sockets already.

    After a long loop iteration a decision may be older than a message that arrived before it, for instance a
    cancellation. Called before an action that such a message would forbid.
    """
    for _ in range(READ_ITERATIONS):
        await anyio.sleep(0)
