"""The watch on discovery: each `Watch` is answered by a list, or by `HostListFailed`."""

import anyio

from linedeal.controller import translate
from linedeal.engine import events
from linedeal.loop import Inbox
from linedeal.net import Address, Link, LinkLostError, Net, open_link, run_until_link_lost
from linedeal.protocol import VERSION, FrameReader, encode, pb
from linedeal.settings.records import Limits


class DiscoveryWatch:
    def __init__(
        self, address: Address, controller: str, life: int, net: Net, limits: Limits, inbox: Inbox, log
    ):
        self.address, self.controller, self.life = address, controller, life
        self.net, self.limits, self.inbox, self.log = net, limits, inbox, log
        self.wanted = anyio.Event()
        self.version = 0  # of the list as applied; 0 asks for the whole
        self.asked_at: float | None = None
        self.heard_at = anyio.current_time()  # a list, or a change of it

    def ask(self) -> None:
        self.wanted.set()

    async def run(self) -> None:
        while True:
            await self.wanted.wait()
            link, why = None, ""
            try:
                link, welcome = await open_link(
                    self.net,
                    self.address,
                    FrameReader(),
                    encode(
                        pb.Hello(version=VERSION, role=pb.CONTROLLER, name=self.controller, life=self.life)
                    ),
                    self.limits.watch,
                )
                if not isinstance(welcome, pb.Welcome):
                    raise LinkLostError(f"{type(welcome).__name__} in place of a welcome")
                await self.serve(link)
            except LinkLostError as error:
                why = str(error)
            finally:
                if link is not None:
                    await link.close()
            self.log.debug("discovery lost", reason=why)
            self.wanted = anyio.Event()
            await self.inbox.post(events.HostListFailed(why))

    async def serve(self, link: Link) -> None:
        await run_until_link_lost(self.write(link), self.read(link))

    async def write(self, link: Link) -> None:
        while True:
            await self.wanted.wait()
            self.wanted = anyio.Event()
            self.asked_at = anyio.current_time()
            await link.send(encode(pb.Watch(known_version=self.version)), self.limits.watch)
            await anyio.sleep(self.limits.watch)
            if self.asked_at is not None:
                raise LinkLostError(f"a watch was not answered within {self.limits.watch:g} s")

    async def read(self, link: Link) -> None:
        while True:
            message = await link.receive()
            if isinstance(message, pb.Bye):
                raise LinkLostError(f"told to go: {message.reason[:200]}")
            if isinstance(message, pb.ListLost):
                raise LinkLostError(f"discovery: {message.reason[:200]}")
            if not isinstance(message, pb.HostList):
                raise LinkLostError(f"discovery may not send {type(message).__name__}")
            if not message.whole and message.since > self.version:
                self.version = 0  # a change is missing: the next watch asks for the whole
                self.wanted.set()
                continue
            self.asked_at = None
            self.heard_at = anyio.current_time()
            self.version = message.version
            await self.inbox.post(
                events.HostListReceived(
                    tuple(translate.listed(entry) for entry in message.hosts), message.whole, message.version
                )
            )
