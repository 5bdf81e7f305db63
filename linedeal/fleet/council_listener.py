"""Where a member of the council listens: to the other members, and to controllers and operators that ask it."""

from collections import deque
from dataclasses import dataclass, field

import anyio

from linedeal.fleet import codec
from linedeal.net import Address, FrameError, Link, LinkLostError, Net, run_until_link_lost
from linedeal.protocol import VERSION, FrameReader, encode, pb
from linedeal.settings.keys import council_refuses
from linedeal.settings.records import CouncilSettings

LINKS = 600  # at once
HELLO = 5.0  # seconds within which a new link says who it is
IDLE = 120.0  # seconds without a word from an asker
ANSWERS = 256  # that wait to be read by one asker


@dataclass(slots=True, eq=False)
class ClientLink:
    """One link of a controller or an operator."""

    name: str
    link: Link
    outbox: deque = field(default_factory=deque)
    wake: anyio.Event = field(default_factory=anyio.Event)

    def tell(self, told: pb.CouncilTold) -> None:
        self.outbox.append(told)
        self.wake.set()


class CouncilListener:
    """`heard(packet)` and `asked(asker, message)` are the service's; both may wait for room."""

    def __init__(self, name: str, settings: CouncilSettings, net: Net, heard, asked, log):
        self.name, self.settings, self.net, self.log = name, settings, net, log
        self.heard, self.asked = heard, asked
        self.links = 0

    async def run(self, address: Address, *, task_status=anyio.TASK_STATUS_IGNORED) -> None:
        await self.net.serve(address, self.handle, task_status=task_status)

    async def handle(self, stream) -> None:
        link = Link(stream, FrameReader())
        self.links += 1
        who = "a stranger"
        try:
            hello = await self.greet(link)
            who = hello.name[:80]
            if hello.role == pb.MEMBER:
                await self.listen(link, who)
            else:
                await self.serve(ClientLink(who, link))
        except LinkLostError as error:
            if str(error) != "closed by the other side":
                self.log.warning("council lets go", who=who, reason=str(error))
        finally:
            self.links -= 1
            await link.close()

    async def greet(self, link: Link) -> pb.Hello:
        try:
            with anyio.fail_after(HELLO):
                if self.links > LINKS:
                    await self.refuse(link, "too many links")
                hello = await link.receive()
                if not isinstance(hello, pb.Hello):
                    raise LinkLostError(f"{type(hello).__name__} in place of a hello")
                if why := council_refuses(self.settings, hello.session, hello.token):
                    await self.refuse(link, why)
                await link.send(
                    encode(pb.Welcome(version=min(hello.version, VERSION), name=self.name)), HELLO
                )
                return hello
        except TimeoutError:
            raise LinkLostError(f"no hello within {HELLO:g} s") from None

    async def refuse(self, link: Link, why: str) -> None:
        await link.send(encode(pb.Bye(reason=why)), HELLO)
        raise LinkLostError(why)

    async def listen(self, link: Link, name: str) -> None:
        while True:
            for message in await link.receive_all():
                if not isinstance(message, pb.CouncilPacket):
                    raise LinkLostError(f"a member may not send {type(message).__name__}")
                try:
                    packet = codec.unpacked(message.packet)
                except FrameError as error:
                    raise LinkLostError(str(error)) from None
                if packet.sender.name != name:
                    raise LinkLostError(f"it said hello as {name} and speaks as {packet.sender.name[:64]}")
                await self.heard(packet)

    async def serve(self, asker: ClientLink) -> None:
        await run_until_link_lost(self.read(asker), self.write(asker))

    async def read(self, asker: ClientLink) -> None:
        while True:
            try:
                with anyio.fail_after(IDLE):
                    messages = await asker.link.receive_all()
            except TimeoutError:
                raise LinkLostError(f"idle for {IDLE:g} s") from None
            for message in messages:
                if not isinstance(message, pb.CouncilAsk):
                    raise LinkLostError(f"an asker may not send {type(message).__name__}")
                if len(asker.outbox) >= ANSWERS:
                    raise LinkLostError(f"it leaves {ANSWERS} answers unread")
                await self.asked(asker, message)

    async def write(self, asker: ClientLink) -> None:
        while True:
            await asker.wake.wait()
            asker.wake = anyio.Event()
            while asker.outbox:
                try:
                    data = encode(asker.outbox.popleft())
                except FrameError as error:
                    raise LinkLostError(str(error)) from None
                await asker.link.send(data, HELLO)
