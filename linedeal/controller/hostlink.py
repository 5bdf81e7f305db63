"""The link to one host: made on demand, written and read by two tasks, reported to the engine as it is.

What has begun to be written may reach the host; what has not never will. This file keeps that line.
"""

from collections import deque

import anyio

from linedeal.controller import translate
from linedeal.engine import effects
from linedeal.engine import events
from linedeal.interface import Mode
from linedeal.loop import Inbox
from linedeal.net import Address, Link, LinkLostError, Net, open_link, parse_address, run_until_link_lost
from linedeal.protocol import VERSION, FrameReader, encode, pb
from linedeal.settings.records import Limits

WRITE_MOST = 65536  # bytes taken for one write: what is in it has left, so it is not all that waits


class HostLink:
    """One host's link over the life of a controller. The sync methods are for the loop that carries out effects."""

    def __init__(
        self,
        listed: events.ListedHost,
        controller: str,
        life: int,
        net: Net,
        limits: Limits,
        inbox: Inbox,
        next_link,
        log,
    ):
        self.listed, self.controller, self.life = listed, controller, life
        self.net, self.limits, self.inbox, self.next_link, self.log = net, limits, inbox, next_link, log
        self.outbox: deque = deque()
        self.up = False
        self.boot = 0  # of the host at the other end
        self.wake = anyio.Event()
        self.written_at = self.heard_at = 0.0
        self.scope = anyio.CancelScope()

    # -- for the engine's effects

    def open(self) -> None:
        self.wake.set()

    def launch(self, effect: effects.SendLaunch) -> None:
        if len(self.outbox) >= self.limits.link_queue:
            self.inbox.put(events.LaunchesUnsent(self.listed.id, (effect.number,)))
            return
        self.queue(effect)

    def relist(self, listed: events.ListedHost) -> None:
        """What a newer list says of the host. Launches that still wait for one that drains go back."""
        self.listed = listed
        if listed.mode is not Mode.SERVING:
            self.keep_back()

    def keep_back(self, number: int | None = None) -> None:
        """Hands launches back that have not begun to leave, or that one: what they were decided on holds no more."""

        def meant(effect):
            return isinstance(effect, effects.SendLaunch) and number in (None, effect.number)

        back = tuple(effect.number for effect in self.outbox if meant(effect))
        if back:
            self.outbox = deque(effect for effect in self.outbox if not meant(effect))
            self.inbox.put(events.LaunchesUnsent(self.listed.id, back))

    def stop(self, effect: effects.SendStop) -> None:
        if effect.launch.life == self.life:
            self.keep_back(effect.launch.number)
        self.tell(effect)

    def probe(self, effect: effects.SendProbe) -> None:
        if len(self.outbox) < self.limits.link_queue:
            self.queue(effect)

    def tell(self, effect) -> None:
        """Only on a link that stands: a new one tells the engine all that it needs to say it again."""
        if (
            self.up and len(self.outbox) < 2 * self.limits.link_queue
        ):  # past that the link is ended, see keep_alive
            self.queue(effect)

    def queue(self, effect) -> None:
        self.outbox.append(effect)
        self.wake.set()

    # -- the task

    async def run_until_dropped(self) -> None:
        with self.scope:
            await self.run()

    def cancel(self) -> None:
        """The host is gone for good."""
        self.scope.cancel()

    async def run(self) -> None:
        """Makes the link each time it is asked for, until cancelled."""
        while True:
            await self.wake.wait()
            link, number, why = None, 0, ""
            try:
                link, welcome = await self.make()
                number = self.next_number
                await self.inbox.post(
                    events.LinkUp(
                        self.listed.id,
                        number,
                        welcome.boot,
                        welcome.age,
                        tuple(translate.held(item) for item in welcome.held),
                        welcome.forgot,
                    )
                )
                self.boot = welcome.boot
                await self.serve(link, number)
            except LinkLostError as error:
                why = str(error)
            finally:
                self.up = False
                if link is not None:
                    await link.close()
            self.log.debug("link down", host=self.listed.id, link=number, reason=why)
            await self.down(number, why)

    async def down(self, number: int, why: str) -> None:
        waiting, self.outbox = self.outbox, deque()
        self.wake = anyio.Event()
        await self.inbox.post(
            events.LinkDown(
                self.listed.id,
                number,
                tuple(e.number for e in waiting if isinstance(e, effects.SendLaunch)),
                why,
            )
        )

    async def make(self) -> tuple[Link, pb.Welcome]:
        """A link that the host has welcomed. Raises LinkLostError; no launch has left by then."""
        why = "it has no address"
        for text in self.listed.addresses:
            try:
                return await self.greet(parse_address(text))
            except (ValueError, LinkLostError) as error:
                why = f"{text}: {error}"
        raise LinkLostError(why)

    async def greet(self, address: Address) -> tuple[Link, pb.Welcome]:
        self.next_number = self.next_link()
        link, message = await open_link(
            self.net,
            address,
            FrameReader(),
            encode(
                pb.Hello(
                    version=VERSION,
                    role=pb.CONTROLLER,
                    name=self.controller,
                    life=self.life,
                    link=self.next_number,
                )
            ),
            self.limits.connect,
        )
        try:
            if isinstance(message, pb.Bye) and message.fenced:
                await self.inbox.post(events.Fenced(self.listed.id, message.reason[:200]))
                raise LinkLostError("fenced")
            if not isinstance(message, pb.Welcome):
                raise LinkLostError(f"{type(message).__name__} in place of a welcome")
            if message.name != self.listed.id:
                raise LinkLostError(
                    f"host {message.name[:80]!r} answers there"
                )  # an address that was given to another
        except BaseException:
            await link.close()
            raise
        return link, message

    async def serve(self, link: Link, number: int) -> None:
        self.up = True
        self.heard_at = anyio.current_time()
        self.written_at = 0.0
        await run_until_link_lost(self.write(link, number), self.keep_alive(link), self.read(link))

    async def read(self, link: Link) -> None:
        while True:
            messages = await link.receive_all()
            self.heard_at = anyio.current_time()
            received = [translate.host_said(self.listed.id, message) for message in messages]
            await self.inbox.post(*[event for event in received if event is not None])

    async def write(self, link: Link, number: int) -> None:
        while True:
            await self.wake.wait()
            self.wake = anyio.Event()
            while self.outbox:
                data, numbers = self.gather()
                if not data:
                    continue
                if numbers:
                    # told before the first byte goes: from here on it cannot be known that they did not arrive
                    self.inbox.put(events.LaunchesSent(self.listed.id, number, tuple(numbers)))
                if self.written_at <= self.heard_at:
                    self.written_at = anyio.current_time()
                await link.send(data, self.limits.link_silent)

    def gather(self) -> tuple[bytes, list[int]]:
        """The bytes of the next write, and the launches in it."""
        now, data, numbers = anyio.current_time(), bytearray(), []
        while self.outbox and len(data) < WRITE_MOST:
            effect = self.outbox.popleft()
            match effect:
                case effects.SendLaunch(_, number, _, _, boot) if boot != self.boot:
                    # guards against a host that started again since: what was meant for a warm host would all reach
                    # a cold one at once, past the gate that paces sends to young hosts
                    self.inbox.put(events.LaunchesUnsent(self.listed.id, (number,)))
                case effects.SendLaunch(_, number) if effect.send_by <= now:
                    # guards against a repeat of a labelled job that waited here until its mark was forgotten
                    self.inbox.put(events.LaunchesUnsent(self.listed.id, (number,)))
                case effects.SendLaunch(_, number, job, due):
                    numbers.append(number)
                    data += encode(
                        pb.Offer(
                            launch=self.own(number), job=translate.spec_of(job, effect.work), wait=due - now
                        )
                    )
                case effects.SendProbe(_, number):
                    data += encode(pb.Probe(number=number))
                case effects.SendStop(_, launch):
                    data += encode(pb.Stop(launch=self.own(*reversed(launch))))
                case effects.SendEndSeen(_, launch):
                    data += encode(pb.EndSeen(launch=self.own(*reversed(launch))))
        return bytes(data), numbers

    def own(self, number: int, life: int = 0) -> pb.LaunchId:
        return pb.LaunchId(controller=self.controller, life=life or self.life, number=number)

    async def keep_alive(self, link: Link) -> None:
        """Ends a link whose host has not said a word since we last wrote: half-open links look like this."""
        while True:
            await anyio.sleep(self.limits.link_silent / 4)
            now = anyio.current_time()
            if len(self.outbox) >= 2 * self.limits.link_queue:
                raise LinkLostError(f"{len(self.outbox)} messages wait for it")
            if self.written_at <= self.heard_at:
                continue
            if now - self.written_at > self.limits.link_silent:
                raise LinkLostError(f"nothing heard for {now - self.heard_at:.1f} s")
            if (
                now - self.written_at > self.limits.link_silent / 2
                and len(self.outbox) < self.limits.link_queue
            ):
                self.queue(effects.SendProbe(self.listed.id, 0))
