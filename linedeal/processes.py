"""What the long-lived commands share: orders on standard input, signals, and one plain line for what goes wrong."""

import json
import signal
import sys
from typing import Callable

import anyio
import anyio.to_thread


async def read_orders(control: Callable[[dict], None], log) -> None:
    """Orders as JSON lines on standard input, until it ends: then whoever started this process is gone."""
    while True:
        line = await anyio.to_thread.run_sync(sys.stdin.readline, abandon_on_cancel=True)
        if not line:
            return
        try:
            control(json.loads(line))
        except (ValueError, TypeError, KeyError) as error:
            log.error("order not followed", order=line.strip()[:200], reason=str(error))


async def stop_on_signal(leave: Callable[[], None]) -> None:
    """Calls `leave` at the first SIGTERM or SIGINT."""
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            leave()
            return


def print_address(address) -> None:
    """The first line of a long-lived command: where it listens, for programs."""
    print(json.dumps({"address": f"{address[0]}:{address[1]}"}), flush=True)


def unwrap(group: BaseExceptionGroup) -> BaseException:
    """The one failure in a task group's bundle, where it is one."""
    error: BaseException = group
    while isinstance(error, BaseExceptionGroup) and len(error.exceptions) == 1:
        error = error.exceptions[0]
    return error
