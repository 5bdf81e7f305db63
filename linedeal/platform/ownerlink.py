"""The connections of owners: read, answered, bounded. What they mean is the route's to say."""

from collections import deque

import anyio

from linedeal.loop import Inbox
from linedeal.net import Address, Link, LinkLost, Net, until_lost
from linedeal.platform.owners import LineReader
from linedeal.platform.route import Route, Unwelcome

FIRST_WORD = 2.0        # seconds for a new connection to say something usual, and for a line to end
UNREAD = 262144         # bytes that an owner may leave unread
SEND_WITHIN = 5.0       # seconds for an owner to read what is written
BAD_MOST = 20           # messages that are refused as they are read, on one connection
BAD_PAUSE = 0.05        # seconds for which a connection is not read after each of them
WAITING = 4096          # releases that wait for a connection to leave on
LOOK = 0.25             # seconds between two looks for lines that do not end


class OwnerLink:
    def __init__(self, number: int, link: Link, now: float):
        self.number, self.link, self.began = number, link, now
        self.usual = False              # it has said something that the protocol has
        self.served = False             # it has brought a set-up that was taken
        self.bad = 0
        self.outbox = bytearray()
        self.wake = anyio.Event()
        self.lost = anyio.Event()
        self.why = ""

    def let_go(self, why: str) -> None:
        self.why = why
        self.lost.set()

    def queue(self, data: bytes) -> None:
        self.outbox += data
        if len(self.outbox) > UNREAD:
            self.let_go("it leaves too much unread")
        self.wake.set()


class Owners:
    def __init__(self, route: Route, net: Net, inbox: Inbox, most: int, next_number, log):
        """`most`: connections at one time."""
        self.route, self.net, self.inbox, self.most, self.next_number, self.log = (
            route, net, inbox, most, next_number, log)
        self.links: dict[int, OwnerLink] = {}
        self.waiting: deque[bytes] = deque(maxlen=WAITING)
        self.counts = {"connections": 0, "shed": 0, "refused as read": 0, "closed on": 0}

    async def run(self, address: Address, *, task_status=anyio.TASK_STATUS_IGNORED) -> None:
        await self.net.serve(address, self.handle, task_status=task_status)

    def send(self, client: int, data: bytes) -> None:
        """To that connection; where it has gone, what is about a standing task leaves on any that serves."""
        if not client or not data:
            return
        link = self.links.get(client) or next((link for link in reversed(self.links.values()) if link.served), None)
        if link is None:
            self.waiting.append(data)
        else:
            link.queue(data)

    async def handle(self, stream) -> None:
        owner = OwnerLink(self.next_number(), Link(stream, LineReader()), anyio.current_time())
        self.links[owner.number] = owner
        self.counts["connections"] += 1
        self.shed()
        try:
            await until_lost(self.read(owner), self.write(owner), self.mind(owner), self.gone(owner))
        except LinkLost as error:
            self.log.debug("owner let go", reason=str(error))
        finally:
            del self.links[owner.number]
            await owner.link.close()
            self.inbox.put(self.route.client_left(owner.number))

    def shed(self) -> None:
        """Guards against connections that use up the descriptors: those that have said nothing go first, then those
        with nothing open, oldest first; one with a set-up open never does, then the newest has to."""
        if len(self.links) <= self.most:
            return
        able = [link for link in self.links.values() if link.number not in self.route.open and not link.lost.is_set()]
        if able:
            self.counts["shed"] += 1
            min(able, key=lambda link: (link.usual, link.served, link.began)).let_go("too many connections")

    async def gone(self, owner: OwnerLink) -> None:
        await owner.lost.wait()
        raise LinkLost(owner.why)

    async def read(self, owner: OwnerLink) -> None:
        while True:
            for line in await owner.link.receive_all():
                try:
                    heard = self.route.heard(owner.number, line)
                except Unwelcome as error:
                    self.counts["closed on"] += 1
                    raise LinkLost(str(error)) from None
                if heard.reply:
                    owner.queue(heard.reply)
                if heard.event is not None:
                    owner.served = True
                    await self.inbox.post(heard.event)
                if heard.usual:
                    self.usual(owner)
                elif heard.usual is False:
                    await self.unusual(owner)

    def usual(self, owner: OwnerLink) -> None:
        owner.usual = True
        if owner.served:
            while self.waiting:
                owner.queue(self.waiting.popleft())

    async def unusual(self, owner: OwnerLink) -> None:
        """Guards against floods of what cannot be taken: each costs its own connection a pause, many the connection."""
        owner.bad += 1
        self.counts["refused as read"] += 1
        if owner.bad > BAD_MOST:
            raise LinkLost(f"{owner.bad} messages that cannot be taken")
        await anyio.sleep(BAD_PAUSE)

    async def mind(self, owner: OwnerLink) -> None:
        unfinished = 0.0
        while True:
            await anyio.sleep(LOOK)
            now = anyio.current_time()
            if not owner.usual and now - owner.began > FIRST_WORD:
                raise LinkLost("it says nothing of use")
            unfinished = (unfinished or now) if owner.link.reader.rest else 0.0
            if unfinished and now - unfinished > FIRST_WORD:
                raise LinkLost("a line that does not end")

    async def write(self, owner: OwnerLink) -> None:
        while True:
            await owner.wake.wait()
            owner.wake = anyio.Event()
            data, owner.outbox = bytes(owner.outbox), bytearray()
            await owner.link.send(data, SEND_WITHIN)
