"""Shared by long-running commands: orders on standard input, signals, and unwrapping of exception groups."""

import json
import signal
import sys
from collections.abc import Callable

import anyio
import anyio.to_thread


async def read_orders(control: Callable[[dict], None], log) -> None:
    """Reads orders, one JSON object per line, from standard input and passes each to `control`.

    Returns at the end of the input, which means that the parent process is gone. Orders that `control`
    rejects with ValueError, TypeError or KeyError are logged and skipped.
    """
    while True:
        line = await anyio.to_thread.run_sync(sys.stdin.readline, abandon_on_cancel=True)
        if not line:
            return
        try:
            control(json.loads(line))
        except (ValueError, TypeError, KeyError) as error:
            log.error("order failed", order=line.strip()[:200], reason=str(error))


async def stop_on_signal(shut_down: Callable[[], None]) -> None:
    """Calls `shut_down` at the first SIGTERM or SIGINT and returns."""
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            shut_down()
            return


def print_address(address) -> None:
    """Prints the address that a command listens on, as JSON on the first line of its output."""
    print(json.dumps({"address": f"{address[0]}:{address[1]}"}), flush=True)


def unwrap(group: BaseExceptionGroup) -> BaseException:
    """The exception inside nested groups that hold only one; otherwise the innermost group with several."""
    error: BaseException = group
    while isinstance(error, BaseExceptionGroup) and len(error.exceptions) == 1:
        error = error.exceptions[0]
    return error
