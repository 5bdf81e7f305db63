"""The subscription to discovery: each `Watch` leads to an event with a host list or to `HostListFailed`."""

import anyio

from linedeal.controller import translate
from linedeal.engine import events
from linedeal.loop import Inbox
from linedeal.net import Address, Link, LinkLostError, Net, open_link, run_until_link_lost
from linedeal.protocol import VERSION, FrameReader, encode, pb
from linedeal.settings.records import Limits


class DiscoveryWatch:
    """Maintains a link to discovery while the engine requests host lists, and passes them to the engine."""

    def __init__(
        self, address: Address, controller: str, life: int, net: Net, limits: Limits, inbox: Inbox, log
    ):
        """Connects to `address` as incarnation `life` of controller `controller`, when first requested."""
        self.address, self.controller, self.life = address, controller, life
        self.net, self.limits, self.inbox, self.log = net, limits, inbox, log
        self.requested = anyio.Event()
        self.version = 0  # of the list last applied; 0 requests a complete list
        self.requested_at: float | None = None
        self.received_at = anyio.current_time()  # when a list or a change of it was last received

    def request(self) -> None:
        """Requests the changes since the last list, or a complete list."""
        self.requested.set()

    async def run(self) -> None:
        """Connects whenever a list is requested; reports each failure to the engine. Runs until cancelled."""
        while True:
            await self.requested.wait()
            link, reason = None, ""
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
                    raise LinkLostError(f"{type(welcome).__name__} instead of a welcome")
                await self.serve(link)
            except LinkLostError as error:
                reason = str(error)
            finally:
                if link is not None:
                    await link.close()
            self.log.debug("discovery lost", reason=reason)
            self.requested = anyio.Event()
            await self.inbox.post(events.HostListFailed(reason))

    async def serve(self, link: Link) -> None:
        """Exchanges messages on an established link. Raises LinkLostError."""
        await run_until_link_lost(self.write(link), self.read(link))

    async def write(self, link: Link) -> None:
        """Sends requests. Raises LinkLostError if one is not answered within `limits.watch` seconds."""
        while True:
            await self.requested.wait()
            self.requested = anyio.Event()
            self.requested_at = anyio.current_time()
            await link.send(encode(pb.Watch(known_version=self.version)), self.limits.watch)
            await anyio.sleep(self.limits.watch)
            if self.requested_at is not None:
                raise LinkLostError(
                    f"a request for the host list was not answered within {self.limits.watch:g} s"
                )

    async def read(self, link: Link) -> None:
        """Passes received lists to the engine; requests a complete list if a change is missing."""
        while True:
            message = await link.receive()
            if isinstance(message, pb.Bye):
                raise LinkLostError(f"closed by discovery: {message.reason[: translate.MAX_TEXT_CHARS]}")
            if isinstance(message, pb.ListLost):
                raise LinkLostError(f"discovery: {message.reason[: translate.MAX_TEXT_CHARS]}")
            if not isinstance(message, pb.HostList):
                raise LinkLostError(f"discovery may not send {type(message).__name__}")
            if not message.whole and message.since > self.version:
                self.version = 0  # a change is missing: the next request is for a complete list
                self.requested.set()
                continue
            self.requested_at = None
            self.received_at = anyio.current_time()
            self.version = message.version
            await self.inbox.post(
                events.HostListReceived(
                    tuple(translate.listed_host(entry) for entry in message.hosts),
                    message.whole,
                    message.version,
                )
            )
