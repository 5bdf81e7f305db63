"""Simulated operators' tool that replaces hosts.

It requests each replacement from the process that started it, and waits for the report that the host has
booted again. It records the boots that it replaces on disk before it begins.
"""

import json
from collections.abc import Callable
from pathlib import Path

import anyio

from linedeal.net import Address, Link, LinkLostError, Net
from linedeal.protocol import FrameReader, pb
from linedeal.settings.records import CouncilSettings
from linedeal.standin.orders import (
    HELLO_TIMEOUT,
    FenceFileError,
    PersistentFence,
    refusal_reason,
    replace_file,
    serve_owner,
)

REPLACE_TIMEOUT = 25.0  # seconds for a host to be replaced


class ToolServer:
    """Has hosts replaced on orders of a duty's owner.

    `begin(host, boot)` starts a replacement; `control({"boots": {host: boot}})` reports which boots run.
    """

    def __init__(
        self, net: Net, council: CouncilSettings, directory: Path | None, begin: Callable[[str, int], None]
    ):
        """Reads its files in `directory`; None: kept in memory. Raises FenceFileError."""
        self.net, self.council, self.begin = net, council, begin
        self.fence = PersistentFence(directory and directory / "tool-fence.json")
        self.path = directory and directory / "tool-replaced.json"
        self.begun: dict[str, list[int]] = {}  # by campaign and host: boots whose replacement has begun
        if self.path is not None and self.path.exists():
            try:
                self.begun = json.loads(self.path.read_text(encoding="utf-8"))
            except (OSError, ValueError) as error:
                raise FenceFileError(f"{self.path}: cannot be read: {error}") from None
        self.boots: dict[str, int] = {}
        self.changed = anyio.Event()

    async def run(self, listen: Address, *, task_status=anyio.TASK_STATUS_IGNORED) -> None:
        """Serves owners until cancelled; reports the address at which it listens."""
        await self.net.serve(listen, self.handle, task_status=task_status)

    async def handle(self, stream) -> None:
        """Serves one connection; other roles than a duty's owner are disconnected."""
        link = Link(stream, FrameReader())
        try:
            with anyio.fail_after(HELLO_TIMEOUT):
                hello = await link.receive()
            if isinstance(hello, pb.Hello) and hello.role == pb.OWNER:
                await serve_owner(link, hello, "tool", self.council, self.carry_out)
        except (LinkLostError, TimeoutError):
            pass  # the owner, or its successor, orders again
        finally:
            await link.close()

    async def carry_out(self, order: pb.DutyOrder) -> pb.DutyTold:
        """Replies "done" where this campaign has replaced the boot named in the order, now or before.

        Waits up to REPLACE_TIMEOUT seconds for the host's next boot.
        """
        why = refusal_reason(order, self.fence, (pb.HOST_REPLACE,))
        known = f"{order.campaign}/{order.host}"
        if not why and order.kind == pb.HOST_REPLACE and order.host not in self.boots:
            why = f"no host {order.host} is known here"
        if why or order.kind != pb.HOST_REPLACE:
            return self.reply(order, not why, why)
        if self.boots[order.host] == order.boot:
            if order.boot not in self.begun.get(known, ()):
                self.begun.setdefault(known, []).append(order.boot)
                if self.path is not None:
                    replace_file(self.path, self.begun)
            # Also where the replacement has begun before and never completed: the boot is still the same.
            self.begin(order.host, order.boot)
            with anyio.move_on_after(REPLACE_TIMEOUT):
                while self.boots[order.host] == order.boot:
                    await self.changed.wait()
            # A newer owner may have ordered meanwhile: the effect must not be confirmed to the old one.
            why = refusal_reason(order, self.fence, (pb.HOST_REPLACE,))
            if why:
                return self.reply(order, False, why)
        if self.boots[order.host] == order.boot:
            return self.reply(order, False, f"not replaced within {REPLACE_TIMEOUT:g} s")
        if order.boot not in self.begun.get(known, ()):
            return self.reply(order, False, f"boot {order.boot} was meant and is no more")
        return self.reply(order, True, "")

    def reply(self, order: pb.DutyOrder, done: bool, why: str) -> pb.DutyTold:
        """The reply to an order, with the host's current boot and the highest token of the duty."""
        return pb.DutyTold(
            done=done, why=why, boot=self.boots.get(order.host, 0), token=self.fence.fence.highest(order.duty)
        )

    def control(self, order: dict) -> None:
        """Takes the hosts' current boots from `order["boots"]`."""
        self.boots.update(order["boots"])
        self.changed.set()
        self.changed = anyio.Event()
