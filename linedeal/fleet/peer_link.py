"""Links from a member of the council to the others: one for each peer, each with a bounded queue.

Packets may be lost, delayed or duplicated, so nothing is stored for a peer that cannot be reached: when its
queue is full, the oldest packet is dropped.
"""

from collections import deque
from collections.abc import Callable

import anyio

from linedeal.council.records import Packet
from linedeal.fleet import codec
from linedeal.net import Address, FrameError, Link, LinkLostError, Net, open_link, run_until_link_lost
from linedeal.protocol import FrameReader, encode, pb

MAX_QUEUED_PACKETS = 512  # that wait for one peer
CONNECT_TIMEOUT = 1.0  # seconds until the peer has answered the hello
SEND_TIMEOUT = 2.0  # seconds for the peer to accept what is sent
RECONNECT_DELAY = (0.1, 2.0)  # seconds until the next attempt: the first, and the limit as it doubles


async def open_to_member(net: Net, address: Address, hello: bytes, timeout: float) -> Link:
    """Opens a link to a member, and returns it once the member has accepted it.

    Raises LinkLostError, with the member's reason if it sent one; the link is closed then.
    """
    link, welcome = await open_link(net, address, FrameReader(), hello, timeout)
    if not isinstance(welcome, pb.Welcome):
        await link.close()
        raise LinkLostError(
            getattr(welcome, "reason", "") or f"{type(welcome).__name__} in place of a welcome"
        )
    return link


class PeerLink:
    """Sends packets to one other member and reconnects when the link is lost."""

    def __init__(self, name: str, address: Address, hello: bytes, net: Net, jitter: Callable[[], float], log):
        """`name` is the peer's. `jitter` returns numbers in [0, 1)."""
        self.name, self.address, self.hello, self.net, self.jitter, self.log = (
            name,
            address,
            hello,
            net,
            jitter,
            log,
        )
        self.outbox: deque[Packet] = deque(maxlen=MAX_QUEUED_PACKETS)
        self.wake = anyio.Event()
        self.up = False

    def send(self, packet: Packet) -> None:
        """Queues a packet."""
        self.outbox.append(packet)
        self.wake.set()

    async def run(self) -> None:
        """Connects when there is something to send, and sends it. Runs until cancelled."""
        delay = RECONNECT_DELAY[0]
        while True:
            await self.wake.wait()
            try:
                link = await open_to_member(self.net, self.address, self.hello, CONNECT_TIMEOUT)
                try:
                    self.up, delay = True, RECONNECT_DELAY[0]
                    self.log.info("council link up", peer=self.name)
                    await run_until_link_lost(self.write(link), self.read(link))
                finally:
                    await link.close()
            except LinkLostError as error:
                if self.up or delay >= RECONNECT_DELAY[1]:
                    self.log.warning("council link down", peer=self.name, reason=str(error))
            self.up = False
            # stale by the time there is a link again; the member repeats what is still needed
            self.outbox.clear()
            self.wake = anyio.Event()
            await anyio.sleep(delay * (0.75 + 0.5 * self.jitter()))
            delay = min(2 * delay, RECONNECT_DELAY[1])

    async def write(self, link) -> None:
        """Sends queued packets. Raises LinkLostError."""
        while True:
            await self.wake.wait()
            self.wake = anyio.Event()
            while self.outbox:
                try:
                    data = encode(pb.CouncilPacket(packet=codec.encode_packet(self.outbox.popleft())))
                except FrameError as error:
                    raise LinkLostError(str(error)) from None
                await link.send(data, SEND_TIMEOUT)

    async def read(self, link) -> None:
        """Waits for the end of the link, and raises LinkLostError with the peer's reason if it sends one.

        The peer sends nothing else here: its own packets arrive on the link that it opens itself.
        """
        message = await link.receive()
        raise LinkLostError(
            getattr(message, "reason", "") or f"{type(message).__name__} from a peer that sends nothing here"
        )
