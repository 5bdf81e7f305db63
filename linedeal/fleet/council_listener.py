"""The server side of the council's links: from the other members, and from controllers and operators."""

from collections import deque
from dataclasses import dataclass, field

import anyio

from linedeal.fleet import codec
from linedeal.net import Address, FrameError, Link, LinkLostError, Net, run_until_link_lost
from linedeal.protocol import VERSION, FrameReader, encode, pb
from linedeal.settings.keys import council_refuses
from linedeal.settings.records import CouncilSettings

MAX_LINKS = 600  # at once
HELLO_TIMEOUT = 5.0  # seconds for a new link to send its hello, and for a peer to accept what is sent to it
IDLE_TIMEOUT = 120.0  # seconds without a request after which a client's link is closed
MAX_UNREAD_REPLIES = 256  # replies that wait for one client to read them


@dataclass(slots=True, eq=False)
class ClientLink:
    """The link of a controller or an operator, with the replies that wait to be sent."""

    name: str
    link: Link
    outbox: deque = field(default_factory=deque)
    wake: anyio.Event = field(default_factory=anyio.Event)

    def send(self, message: pb.CouncilTold) -> None:
        """Queues a reply."""
        self.outbox.append(message)
        self.wake.set()


class CouncilListener:
    """Accepts links and passes on what arrives.

    `on_packet(packet)` and `on_request(client, message)` are coroutines of the service; both may wait while
    its queue is full.
    """

    def __init__(self, name: str, settings: CouncilSettings, net: Net, on_packet, on_request, log):
        """`name` is the member's name, sent in each welcome."""
        self.name, self.settings, self.net, self.log = name, settings, net, log
        self.on_packet, self.on_request = on_packet, on_request
        self.links = 0

    async def run(self, address: Address, *, task_status=anyio.TASK_STATUS_IGNORED) -> None:
        """Listens at `address` until cancelled; reports the address it listens on. Raises OSError."""
        await self.net.serve(address, self.handle, task_status=task_status)

    async def handle(self, stream) -> None:
        """Serves one connection until it ends."""
        link = Link(stream, FrameReader())
        self.links += 1
        who = "a stranger"
        try:
            hello = await self.receive_hello(link)
            who = hello.name[:80]
            if hello.role == pb.MEMBER:
                await self.receive_packets(link, who)
            else:
                await self.serve_client(ClientLink(who, link))
        except LinkLostError as error:
            if str(error) != "closed by the other side":
                self.log.warning("council link closed", who=who, reason=str(error))
        finally:
            self.links -= 1
            await link.close()

    async def receive_hello(self, link: Link) -> pb.Hello:
        """Receives and checks the hello, and answers it. Raises LinkLostError."""
        try:
            with anyio.fail_after(HELLO_TIMEOUT):
                if self.links > MAX_LINKS:
                    await self.refuse(link, "too many links")
                hello = await link.receive()
                if not isinstance(hello, pb.Hello):
                    raise LinkLostError(f"{type(hello).__name__} in place of a hello")
                if reason := council_refuses(self.settings, hello.session, hello.token):
                    await self.refuse(link, reason)
                await link.send(
                    encode(pb.Welcome(version=min(hello.version, VERSION), name=self.name)), HELLO_TIMEOUT
                )
                return hello
        except TimeoutError:
            raise LinkLostError(f"no hello within {HELLO_TIMEOUT:g} s") from None

    async def refuse(self, link: Link, reason: str) -> None:
        """Sends the reason and raises LinkLostError with it."""
        await link.send(encode(pb.Bye(reason=reason)), HELLO_TIMEOUT)
        raise LinkLostError(reason)

    async def receive_packets(self, link: Link, name: str) -> None:
        """Passes on the packets of the member `name`. Raises LinkLostError."""
        while True:
            for message in await link.receive_all():
                if not isinstance(message, pb.CouncilPacket):
                    raise LinkLostError(f"a member may not send {type(message).__name__}")
                try:
                    packet = codec.decode_packet(message.packet)
                except FrameError as error:
                    raise LinkLostError(str(error)) from None
                if packet.sender.name != name:
                    raise LinkLostError(f"its hello names {name}, its packet {packet.sender.name[:64]}")
                await self.on_packet(packet)

    async def serve_client(self, client: ClientLink) -> None:
        """Receives a client's requests and sends it the replies. Raises LinkLostError."""
        await run_until_link_lost(self.read(client), self.write(client))

    async def read(self, client: ClientLink) -> None:
        """Passes on a client's requests. Raises LinkLostError."""
        while True:
            try:
                with anyio.fail_after(IDLE_TIMEOUT):
                    messages = await client.link.receive_all()
            except TimeoutError:
                raise LinkLostError(f"idle for {IDLE_TIMEOUT:g} s") from None
            for message in messages:
                if not isinstance(message, pb.CouncilAsk):
                    raise LinkLostError(f"a client may not send {type(message).__name__}")
                if len(client.outbox) >= MAX_UNREAD_REPLIES:
                    raise LinkLostError(f"it leaves {MAX_UNREAD_REPLIES} answers unread")
                await self.on_request(client, message)

    async def write(self, client: ClientLink) -> None:
        """Sends a client its replies. Raises LinkLostError."""
        while True:
            await client.wake.wait()
            client.wake = anyio.Event()
            while client.outbox:
                try:
                    data = encode(client.outbox.popleft())
                except FrameError as error:
                    raise LinkLostError(str(error)) from None
                await client.link.send(data, HELLO_TIMEOUT)
