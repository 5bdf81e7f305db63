"""A stand-in for the operators' tool that replaces a host: it tells whoever started it, and waits to be told that the
host has started anew. Which boots it replaced is on its disk before it begins.
"""

import json
from pathlib import Path
from typing import Callable

import anyio

from linedeal.net import Address, Link, LinkLostError, Net
from linedeal.protocol import FrameReader, pb
from linedeal.settings.records import CouncilSettings
from linedeal.standin.orders import HELLO, FenceFileError, PersistentFence, refused, serve_owner, write_whole

REPLACED = 25.0  # seconds for a host to be replaced


class ToolServer:
    """`begin(host, boot)` starts a replacement; `control({"boots": {host: boot}})` tells how hosts have started."""

    def __init__(
        self, net: Net, council: CouncilSettings, directory: Path | None, begin: Callable[[str, int], None]
    ):
        self.net, self.council, self.begin = net, council, begin
        self.fence = PersistentFence(directory and directory / "tool-fence.json")
        self.path = directory and directory / "tool-replaced.json"
        self.begun: dict[str, list[int]] = {}  # by campaign and host: boots that it began to replace
        if self.path is not None and self.path.exists():
            try:
                self.begun = json.loads(self.path.read_text(encoding="utf-8"))
            except (OSError, ValueError) as error:
                raise FenceFileError(f"{self.path}: cannot be read: {error}") from None
        self.boots: dict[str, int] = {}
        self.changed = anyio.Event()

    async def run(self, listen: Address, *, task_status=anyio.TASK_STATUS_IGNORED) -> None:
        await self.net.serve(listen, self.handle, task_status=task_status)

    async def handle(self, stream) -> None:
        link = Link(stream, FrameReader())
        try:
            with anyio.fail_after(HELLO):
                hello = await link.receive()
            if isinstance(hello, pb.Hello) and hello.role == pb.OWNER:
                await serve_owner(link, hello, "tool", self.council, self.carry_out)
        except (LinkLostError, TimeoutError):
            pass  # an owner that goes asks again, or its successor does
        finally:
            await link.close()

    async def carry_out(self, order: pb.DutyOrder) -> pb.DutyTold:
        """Done where the boot that is meant has been replaced by this campaign, now or before."""
        why = refused(order, self.fence, (pb.HOST_REPLACE,))
        known = f"{order.campaign}/{order.host}"
        if not why and order.kind == pb.HOST_REPLACE and order.host not in self.boots:
            why = f"no host {order.host} is known here"
        if why or order.kind != pb.HOST_REPLACE:
            return self.told(order, not why, why)
        if self.boots[order.host] == order.boot:
            if order.boot not in self.begun.get(known, ()):
                self.begun.setdefault(known, []).append(order.boot)
                if self.path is not None:
                    write_whole(self.path, self.begun)
            self.begin(
                order.host, order.boot
            )  # again where it was begun and never ended: then it is this boot still
            with anyio.move_on_after(REPLACED):
                while self.boots[order.host] == order.boot:
                    await self.changed.wait()
            # guards against an old owner that is told the effect is its own: a newer one may have asked meanwhile
            why = refused(order, self.fence, (pb.HOST_REPLACE,))
            if why:
                return self.told(order, False, why)
        if self.boots[order.host] == order.boot:
            return self.told(order, False, f"not replaced within {REPLACED:g} s")
        if order.boot not in self.begun.get(known, ()):
            return self.told(order, False, f"boot {order.boot} was meant and is no more")
        return self.told(order, True, "")

    def told(self, order: pb.DutyOrder, done: bool, why: str) -> pb.DutyTold:
        return pb.DutyTold(
            done=done, why=why, boot=self.boots.get(order.host, 0), token=self.fence.fence.highest(order.duty)
        )

    def control(self, order: dict) -> None:
        self.boots.update(order["boots"])
        self.changed.set()
        self.changed = anyio.Event()
