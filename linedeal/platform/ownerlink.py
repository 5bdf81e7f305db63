"""The connections of owners: read, answered, bounded. What they mean is the route's to say."""

import traceback
from collections import deque

import anyio

from linedeal.loop import Inbox, Lateness
from linedeal.net import Address, Link, LinkLostError, Net, NetAttribute, read_what_came
from linedeal.platform.descriptors import Descriptors
from linedeal.platform.owner_codec import Line, LineReader
from linedeal.platform.router import Heard, Route, Unwelcome

TO_SPEAK = 0.5  # seconds for which a new connection is not held to be a silent one
FIRST_WORD = 2.0  # seconds for a new connection to say something usual, and for a line to end
AHEAD = 512  # lines read ahead of those that are taken: a close or a cancel behind them is seen at once
UNREAD = 262144  # bytes that an owner may leave unread
SEND_WITHIN = 5.0  # seconds for an owner to read what is written
BAD_MOST = 20  # messages that are refused as they are read, on one connection
BAD_PAUSE = 0.05  # seconds for which a connection is not read after each of them
WAITING = 4096  # releases that wait for a connection to leave on
ACCEPT_ROUNDS = (
    2  # times the loop's lateness that a connection waits to be accepted, with what it has brought
)
NEW_ROUNDS = (
    4  # times the loop's lateness that one waits to be read that brought nothing: accepted, set up, read
)
CLOSES = 8  # rounds of the loop that a close takes at most
LOOK = 0.25  # seconds between two looks for lines that do not end
FLUSHED = 0.05  # seconds between two looks whether all is written


class OwnerLink:
    def __init__(self, number: int, link: Link, now: float):
        self.number, self.link, self.began, self.heard_at = number, link, now, now
        self.brought_at: float | None = (
            None  # when what is read first was read, where that was as it was accepted
        )
        self.usual = False  # it has said something that the protocol has
        self.served = False  # it has brought a job that stands, now or before: a host knows its owner's jobs
        self.bad = 0
        self.unfinished_at = 0.0  # since when a line lacks its end
        self.lines: deque[tuple[Line, float]] = (
            deque()
        )  # read, and not taken yet; since when they have lain here
        self.came = anyio.Event()
        self.room = anyio.Event()
        self.outbox: list[
            tuple[bytes, bool]
        ] = []  # what is to be written, and whether it is about what stands
        self.unread = 0  # bytes in it
        self.writing = False  # what was in it last is being written
        self.wake = anyio.Event()
        self.scope = anyio.CancelScope()
        self.why = ""


class Owners:
    def __init__(
        self,
        route: Route,
        net: Net,
        inbox: Inbox,
        descriptors: Descriptors,
        lateness: Lateness,
        next_number,
        log,
    ):
        self.route, self.net, self.inbox, self.descriptors, self.lateness, self.next_number, self.log = (
            route,
            net,
            inbox,
            descriptors,
            lateness,
            next_number,
            log,
        )
        self.links: dict[int, OwnerLink] = {}
        self.closing = 0  # let go of, their sockets not closed yet
        self.waiting: deque[bytes] = deque(maxlen=WAITING)
        self.counts = {"connections": 0, "shed": 0, "refused as read": 0, "closed on": 0}

    async def run(self, address: Address, *, task_status=anyio.TASK_STATUS_IGNORED) -> None:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.mind)
            tasks.start_soon(self.shed)
            await self.net.serve(address, self.handle, capacity=self.descriptors, task_status=task_status)

    def serves(self, client: int) -> None:
        link = self.links.get(client)
        if link is not None:
            link.served = True
            while self.waiting:
                self.queue(link, self.waiting.popleft(), True)

    def send(self, client: int, data: bytes, lasting: bool = False) -> None:
        """To that connection; where it has gone, what is about a standing task (`lasting`) leaves on the last one that
        serves: one whose jobs hosts take. Any other may be of a client that passes nothing on."""
        if not client or not data:
            return
        link = self.links.get(client)
        if link is None and lasting:
            link = next((link for link in reversed(self.links.values()) if link.served), None)
        if link is not None:
            self.queue(link, data, lasting)
        elif lasting:
            self.waiting.append(data)

    def queue(self, owner: OwnerLink, data: bytes, lasting: bool = False) -> None:
        owner.outbox.append((data, lasting))
        owner.unread += len(data)
        if owner.unread > UNREAD:
            self.let_go(owner, "it leaves too much unread")
        owner.wake.set()

    async def handle(self, stream) -> None:
        owner = OwnerLink(self.next_number(), Link(stream, LineReader()), anyio.current_time())
        owner.brought_at = stream.extra(NetAttribute.brought_at, None)
        self.links[owner.number] = owner
        self.counts["connections"] += 1
        try:
            with owner.scope:  # three tasks and no exceptions in groups: hundreds of these come and go
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(self.until_lost, owner, self.write)
                    tasks.start_soon(self.until_lost, owner, self.take)
                    await self.until_lost(owner, self.read)
        finally:
            self.let_go(owner, "the program ends")
            await owner.link.close()
            self.closing -= 1
            self.log.debug("owner let go", reason=owner.why)

    def let_go(self, owner: OwnerLink, why: str) -> None:
        """Its client has disconnected, or is about to be: told at once, its socket may take a while to close. What it has
        brought about jobs that stand counts all the same, and what it was to hear of them others hear."""
        if owner.number not in self.links:
            return
        del self.links[owner.number]
        self.closing += 1
        owner.why = why
        owner.scope.cancel()
        for line, came in owner.lines:
            if self.route.outlives(line):
                try:
                    self.hear(owner, line, came)
                except LinkLostError:
                    pass  # it ends in any case
        self.inbox.put(self.route.client_left(owner.number))
        for data, lasting in owner.outbox:
            if lasting:
                self.send(owner.number, data, lasting)

    async def until_lost(self, owner: OwnerLink, work) -> None:
        try:
            await work(owner)
        except LinkLostError as error:
            self.let_go(owner, str(error))
        except (
            Exception
        ) as error:  # a fault of ours that one owner's bytes bring out ends that connection alone
            self.log.error("fault", where="owner", trace=traceback.format_exc())
            self.let_go(owner, type(error).__name__)

    async def shed(self) -> None:
        """Guards against connections that use up the descriptors: closes idle ones while there are too many, by `rank`;
        one with a set-up open never."""
        while True:
            await self.descriptors.until_crowded()
            able = [owner for owner in self.links.values() if self.idle(owner)]
            if not able:
                await anyio.sleep(FLUSHED)
            elif await self.close_idle(min(able, key=self.rank), "too many connections"):
                self.counts["shed"] += 1
                await self.closed()  # it counts until its socket is closed

    def idle(self, owner: OwnerLink) -> bool:
        """It may be closed: nothing that it has brought is open, as far as has been read."""
        return owner.number not in self.route.open and not owner.lines and owner.number in self.links

    def rank(self, owner: OwnerLink) -> tuple:
        """Those of least use first: silent, without a job that ever stood, with one, new; then unheard for longest."""
        new = not owner.usual and anyio.current_time() - owner.began <= TO_SPEAK
        return 3 if new else int(owner.usual) + int(owner.served), owner.heard_at

    async def close_idle(self, owner: OwnerLink, why: str) -> bool:
        """Closes what is idle, unless a set-up lies unread in its socket, where a late loop has left it for longer than
        its owner would send it again."""
        heard_at = owner.heard_at
        await read_what_came()
        if owner.heard_at != heard_at or not self.idle(owner):
            return False
        self.let_go(owner, why)
        return True

    async def read(self, owner: OwnerLink) -> None:
        """Never waits for what it has read to be taken: behind it may be the word that its client has gone."""
        while True:
            lines = await owner.link.receive_all()
            if owner.scope.cancel_called:
                # guards against a job taken from a connection that is being let go: what crosses the close is sent
                # again by its owner, who sees no answer on this one
                return
            late, new = self.lateness.now(), owner.heard_at == owner.began
            owner.heard_at = anyio.current_time()
            if owner.brought_at is not None:
                came, owner.brought_at = owner.brought_at - late * ACCEPT_ROUNDS, None
            else:
                came = owner.heard_at - late * (NEW_ROUNDS if new else 1)
            for line in lines:
                if (
                    line.type == "release"
                    and line.id in self.route.tasks
                    and not line.fault
                    and not any(ahead.id == line.id for ahead, _ in owner.lines)
                ):
                    self.hear(owner, line, came)  # a cancel waits for nothing ahead of it
                else:
                    owner.lines.append((line, came))
            owner.came.set()
            while len(owner.lines) > AHEAD:
                owner.room = anyio.Event()
                await owner.room.wait()

    def hear(self, owner: OwnerLink, line: Line, came: float) -> Heard:
        """Raises LinkLostError."""
        try:
            heard = self.route.heard(owner.number, line, anyio.current_time() - came)
        except Unwelcome as error:
            self.counts["closed on"] += 1
            raise LinkLostError(str(error)) from None
        if heard.reply:
            self.queue(owner, heard.reply)
        if heard.event is not None:
            self.inbox.put(heard.event)
        owner.usual = owner.usual or bool(heard.usual)
        return heard

    async def take(self, owner: OwnerLink) -> None:
        while True:
            await owner.came.wait()
            owner.came = anyio.Event()
            while owner.lines:
                await self.inbox.wait_for_space()
                if self.hear(owner, *owner.lines.popleft()).usual is False:
                    await self.unusual(owner)
                owner.room.set()

    async def unusual(self, owner: OwnerLink) -> None:
        """Guards against floods of what cannot be taken: each costs its own connection a pause, many the connection."""
        owner.bad += 1
        self.counts["refused as read"] += 1
        if owner.bad > BAD_MOST:
            raise LinkLostError(f"{owner.bad} messages that cannot be taken")
        await anyio.sleep(BAD_PAUSE)

    async def mind(self) -> None:
        """Lets go of connections that say nothing of use, or begin a line that does not end."""
        while True:
            await anyio.sleep(LOOK)
            now = anyio.current_time()
            for owner in list(self.links.values()):
                owner.unfinished_at = (owner.unfinished_at or now) if owner.link.reader.rest else 0.0
                nothing = not owner.usual and now - owner.began > FIRST_WORD
                idle = not owner.served and now - owner.heard_at > FIRST_WORD
                if (nothing or idle) and self.idle(owner):
                    await self.close_idle(
                        owner, "it says nothing of use"
                    )  # or takes back all it asked for, and waits
                elif owner.unfinished_at and now - owner.unfinished_at > FIRST_WORD:
                    self.let_go(owner, "a line that does not end")

    async def closed(self) -> None:
        """Waits, a little, until what was let go of as idle is closed: what comes in between would be lost with it."""
        for _ in range(CLOSES):
            if not self.closing:
                return
            await anyio.sleep(0)

    async def write(self, owner: OwnerLink) -> None:
        while True:
            await owner.wake.wait()
            owner.wake = anyio.Event()
            data, owner.outbox, owner.unread = b"".join(data for data, _ in owner.outbox), [], 0
            owner.writing = True
            await owner.link.send(data, SEND_WITHIN)
            owner.writing = False

    def unwritten(self) -> bool:
        return any(owner.outbox or owner.writing for owner in self.links.values())

    def lines_wait(self) -> bool:
        return any(owner.lines for owner in self.links.values())

    def coming(self) -> bool:
        """A connection has been accepted that is not served yet."""
        return self.descriptors.owners > len(self.links) + self.closing

    async def flush(self, within: float) -> None:
        """Waits until all that was queued is written, at most so many seconds."""
        with anyio.move_on_after(within):
            while self.unwritten():
                await anyio.sleep(FLUSHED)
            await anyio.sleep(FLUSHED)  # and on its way
