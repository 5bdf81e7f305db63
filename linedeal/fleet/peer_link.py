"""Links from a member of the council to the others: one a peer, each with a bound of its own.

What one sends may be lost, late or doubled, so nothing is kept for a peer that is away: what waits for it longest goes.
"""

from collections import deque
from typing import Callable

import anyio

from linedeal.council.records import Packet
from linedeal.fleet import codec
from linedeal.net import Address, FrameError, Link, LinkLostError, Net, open_link, run_until_link_lost
from linedeal.protocol import FrameReader, encode, pb

QUEUE = 512  # packets that wait for one peer
CONNECT = 1.0  # seconds for a link to stand
SEND = 2.0  # seconds for the peer to make room for what is written
AGAIN = (0.1, 2.0)  # seconds until the next try, doubled from the first to the second


async def open_to_member(net: Net, address: Address, hello: bytes, within: float) -> Link:
    """A link that a member has welcomed. Raises LinkLostError, with its reason where it told one; no link is left open."""
    link, welcome = await open_link(net, address, FrameReader(), hello, within)
    if not isinstance(welcome, pb.Welcome):
        await link.close()
        raise LinkLostError(
            getattr(welcome, "reason", "") or f"{type(welcome).__name__} in place of a welcome"
        )
    return link


class PeerLink:
    def __init__(self, name: str, address: Address, hello: bytes, net: Net, spread: Callable[[], float], log):
        self.name, self.address, self.hello, self.net, self.spread, self.log = (
            name,
            address,
            hello,
            net,
            spread,
            log,
        )
        self.outbox: deque[Packet] = deque(maxlen=QUEUE)
        self.wake = anyio.Event()
        self.up = False

    def send(self, packet: Packet) -> None:
        self.outbox.append(packet)
        self.wake.set()

    async def run(self) -> None:
        pause = AGAIN[0]
        while True:
            await self.wake.wait()
            try:
                link = await open_to_member(self.net, self.address, self.hello, CONNECT)
                try:
                    self.up, pause = True, AGAIN[0]
                    self.log.info("council link stands", peer=self.name)
                    await run_until_link_lost(self.write(link), self.read(link))
                finally:
                    await link.close()
            except LinkLostError as error:
                if self.up or pause >= AGAIN[1]:
                    self.log.warning("council link down", peer=self.name, reason=str(error))
            self.up = False
            self.outbox.clear()  # old by the time there is a link again, and said anew then
            self.wake = anyio.Event()
            await anyio.sleep(pause * (0.75 + 0.5 * self.spread()))
            pause = min(2 * pause, AGAIN[1])

    async def write(self, link) -> None:
        while True:
            await self.wake.wait()
            self.wake = anyio.Event()
            while self.outbox:
                try:
                    data = encode(pb.CouncilPacket(packet=codec.packed(self.outbox.popleft())))
                except FrameError as error:
                    raise LinkLostError(str(error)) from None
                await link.send(data, SEND)

    async def read(self, link) -> None:
        """The peer says nothing here but goodbye: its packets come on the link that it makes."""
        message = await link.receive()
        raise LinkLostError(
            getattr(message, "reason", "") or f"{type(message).__name__} from a peer that was to listen"
        )
