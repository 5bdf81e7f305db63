"""The link to one host: established on demand, and written and read by two tasks.

A launch whose frame has begun to be written may reach the host; one that is still queued cannot. The events
reported to the engine keep that distinction.
"""

from collections import deque

import anyio

from linedeal.controller import translate
from linedeal.engine import effects, events
from linedeal.interface import Mode
from linedeal.loop import Inbox
from linedeal.net import (
    Address,
    Link,
    LinkLostError,
    Net,
    let_readers_run,
    open_link,
    parse_address,
    run_until_link_lost,
)
from linedeal.protocol import VERSION, FrameReader, encode, pb
from linedeal.settings.records import Limits

# bytes of one write: its launches count as sent, so a larger write would take more launches out of the queue
MAX_WRITE_BYTES = 65536
MAX_NAME_CHARS = 80  # of a host's name in an error message


class HostLink:
    """The link to one host during one incarnation of a controller.

    The synchronous methods are called by the loop that executes effects.
    """

    def __init__(
        self,
        listed: events.ListedHost,
        controller: str,
        life: int,
        net: Net,
        limits: Limits,
        inbox: Inbox,
        next_link_number,
        log,
    ):
        """Creates the link without connecting; `next_link_number()` gives each connection its number."""
        self.listed, self.controller, self.life = listed, controller, life
        self.net, self.limits, self.inbox, self.next_link_number, self.log = (
            net,
            limits,
            inbox,
            next_link_number,
            log,
        )
        self.outbox: deque = deque()
        self.up = False
        self.boot = 0  # boot number of the connected host
        self.wakeup = anyio.Event()
        self.written_at = self.received_at = 0.0
        self.scope = anyio.CancelScope()

    # -- called for the engine's effects

    def open(self) -> None:
        """Requests a connection, if there is none."""
        self.wakeup.set()

    def launch(self, effect: effects.SendLaunch) -> None:
        """Queues a launch; returns it to the engine as unsent if the queue is full."""
        if len(self.outbox) >= self.limits.link_queue:
            self.inbox.put(events.LaunchesUnsent(self.listed.id, (effect.number,)))
            return
        self.enqueue(effect)

    def update_host(self, listed: events.ListedHost) -> None:
        """Updates the host's list entry; queued launches for a draining host are returned as unsent."""
        self.listed = listed
        if listed.mode is not Mode.SERVING:
            self.withhold()

    def withhold(self, number: int | None = None) -> None:
        """Returns queued launches, or only the one with this number, to the engine as unsent."""

        def withheld(effect):
            return isinstance(effect, effects.SendLaunch) and number in (None, effect.number)

        numbers = tuple(effect.number for effect in self.outbox if withheld(effect))
        if numbers:
            self.outbox = deque(effect for effect in self.outbox if not withheld(effect))
            self.inbox.put(events.LaunchesUnsent(self.listed.id, numbers))

    def stop(self, effect: effects.SendStop) -> None:
        """Queues the stop of a launch, which is withheld if it has not been sent yet."""
        if effect.launch.life == self.life:
            self.withhold(effect.launch.number)
        self.send_if_up(effect)

    def probe(self, effect: effects.SendProbe) -> None:
        """Queues a probe, unless the queue is full."""
        if len(self.outbox) < self.limits.link_queue:
            self.enqueue(effect)

    def send_if_up(self, effect) -> None:
        """Queues an effect only while the link is up.

        When a new link is established, the engine learns what the host holds and repeats what is still
        needed.
        """
        # at twice the limit `keep_alive` closes the link
        if self.up and len(self.outbox) < 2 * self.limits.link_queue:
            self.enqueue(effect)

    def enqueue(self, effect) -> None:
        """Adds an effect to the queue, even beyond its limit, and requests a connection."""
        self.outbox.append(effect)
        self.wakeup.set()

    # -- the task

    async def run_until_cancelled(self) -> None:
        """Runs the link until `cancel` is called."""
        with self.scope:
            await self.run()

    def cancel(self) -> None:
        """Ends the link, for a host that has been removed."""
        self.scope.cancel()

    async def run(self) -> None:
        """Connects whenever a message is queued or a connection requested, until cancelled."""
        while True:
            await self.wakeup.wait()
            link, number, reason = None, 0, ""
            try:
                link, welcome = await self.connect()
                number = self.link_number
                await self.inbox.post(
                    events.LinkUp(
                        self.listed.id,
                        number,
                        welcome.boot,
                        welcome.age,
                        tuple(translate.held_launch(item) for item in welcome.held),
                        welcome.forgot,
                    )
                )
                self.boot = welcome.boot
                await self.serve(link, number)
            except LinkLostError as error:
                reason = str(error)
            finally:
                self.up = False
                if link is not None:
                    await link.close()
            self.log.debug("link down", host=self.listed.id, link=number, reason=reason)
            await self.report_down(number, reason)

    async def report_down(self, number: int, reason: str) -> None:
        """Clears the queue and reports the lost link, with the launches that were not sent, to the engine."""
        waiting, self.outbox = self.outbox, deque()
        self.wakeup = anyio.Event()
        await self.inbox.post(
            events.LinkDown(
                self.listed.id,
                number,
                tuple(effect.number for effect in waiting if isinstance(effect, effects.SendLaunch)),
                reason,
            )
        )

    async def connect(self) -> tuple[Link, pb.Welcome]:
        """A link to the host and the host's welcome. Raises LinkLostError, before any launch is sent."""
        reason = "the host has no address"
        for text in self.listed.addresses:
            try:
                return await self.handshake(parse_address(text))
            except (ValueError, LinkLostError) as error:
                reason = f"{text}: {error}"
        raise LinkLostError(reason)

    async def handshake(self, address: Address) -> tuple[Link, pb.Welcome]:
        """As `connect`, with one of the host's addresses."""
        self.link_number = self.next_link_number()
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
                    link=self.link_number,
                )
            ),
            self.limits.connect,
        )
        try:
            if isinstance(message, pb.Bye) and message.fenced:
                await self.inbox.post(
                    events.Fenced(self.listed.id, message.reason[: translate.MAX_TEXT_CHARS])
                )
                raise LinkLostError("fenced")
            if not isinstance(message, pb.Welcome):
                raise LinkLostError(f"{type(message).__name__} instead of a welcome")
            if message.name != self.listed.id:
                # the address has been reassigned to another host
                raise LinkLostError(f"host {message.name[:MAX_NAME_CHARS]!r} answers there")
        except BaseException:
            await link.close()
            raise
        return link, message

    async def serve(self, link: Link, number: int) -> None:
        """Exchanges messages on an established link. Raises LinkLostError."""
        self.up = True
        self.received_at = anyio.current_time()
        self.written_at = 0.0
        await run_until_link_lost(self.write(link, number), self.keep_alive(link), self.read(link))

    async def read(self, link: Link) -> None:
        """Passes received messages to the engine. Raises LinkLostError."""
        while True:
            messages = await link.receive_all()
            self.received_at = anyio.current_time()
            received = [translate.host_event(self.listed.id, message) for message in messages]
            await self.inbox.post(*[event for event in received if event is not None])

    async def write(self, link: Link, number: int) -> None:
        """Sends queued messages and reports launches as sent before their first byte is written.

        Raises LinkLostError.
        """
        while True:
            await self.wakeup.wait()
            self.wakeup = anyio.Event()
            while self.outbox:
                data, numbers = self.next_batch()
                if not data:
                    continue
                if numbers:
                    # reported before the first byte is written: from here on they may reach the host
                    self.inbox.put(events.LaunchesSent(self.listed.id, number, tuple(numbers)))
                if self.written_at <= self.received_at:
                    self.written_at = anyio.current_time()
                await link.send(data, self.limits.link_silent)

    def next_batch(self) -> tuple[bytes, list[int]]:
        """The bytes of the next write, and the numbers of the launches in it.

        Launches that may no longer be sent are returned to the engine as unsent.
        """
        now, data, numbers = anyio.current_time(), bytearray(), []
        while self.outbox and len(data) < MAX_WRITE_BYTES:
            effect = self.outbox.popleft()
            match effect:
                case effects.SendLaunch(_, number, _, _, boot) if boot != self.boot:
                    # the host has restarted since: launches queued for a warm host would all reach a cold one
                    # at once, bypassing the limit on launches during slow start
                    self.inbox.put(events.LaunchesUnsent(self.listed.id, (number,)))
                case effects.SendLaunch(_, number) if effect.send_by <= now:
                    # a repeat of a labelled job that has waited longer than hosts remember its label would
                    # run again
                    self.inbox.put(events.LaunchesUnsent(self.listed.id, (number,)))
                case effects.SendLaunch(_, number, job, due):
                    numbers.append(number)
                    data += encode(
                        pb.Offer(
                            launch=self.launch_id_message(number),
                            job=translate.spec_of(job, effect.work),
                            wait=due - now,
                        )
                    )
                case effects.SendProbe(_, number):
                    data += encode(pb.Probe(number=number))
                case effects.SendStop(_, launch):
                    data += encode(pb.Stop(launch=self.launch_id_message(*reversed(launch))))
                case effects.SendEndSeen(_, launch):
                    data += encode(pb.EndSeen(launch=self.launch_id_message(*reversed(launch))))
        return bytes(data), numbers

    def launch_id_message(self, number: int, life: int = 0) -> pb.LaunchId:
        """The message with a launch's ID, of this incarnation unless another is given."""
        return pb.LaunchId(controller=self.controller, life=life or self.life, number=number)

    async def keep_alive(self, link: Link) -> None:
        """Raises LinkLostError if nothing is received for too long after a write or the queue is too long.

        This detects half-open links. A probe is sent halfway, so that a live host has something to reply to.
        """
        while True:
            await anyio.sleep(self.limits.link_silent / 4)
            now = anyio.current_time()
            if len(self.outbox) >= 2 * self.limits.link_queue:
                raise LinkLostError(f"{len(self.outbox)} messages wait for it")
            if self.written_at <= self.received_at:
                continue
            if now - self.written_at > self.limits.link_silent:
                # If this process stood still, the reply may have arrived and be unread.
                await let_readers_run()
                if self.written_at <= self.received_at:
                    continue
                raise LinkLostError(f"nothing received for {now - self.received_at:.1f} s")
            if (
                now - self.written_at > self.limits.link_silent / 2
                and len(self.outbox) < self.limits.link_queue
            ):
                self.enqueue(effects.SendProbe(self.listed.id, 0))
