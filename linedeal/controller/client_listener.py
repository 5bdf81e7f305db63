"""The listener for clients, which submit jobs and wait for answers.

Only the engine accepts jobs; a client without a session that disconnects withdraws its jobs.
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

import anyio

from linedeal.controller import owners, translate
from linedeal.engine import events
from linedeal.engine.admission import FairShares
from linedeal.loop import Inbox
from linedeal.net import Address, Link, LinkLostError, Net, run_until_link_lost
from linedeal.protocol import VERSION, FrameReader, encode, pb
from linedeal.settings.keys import AuthenticationError, admit
from linedeal.settings.records import Cluster

MAX_SESSION_CHARS = 200  # of a session's name
MAX_KEY_CHARS = 200  # of a client's key for a job
MAX_NAME_CHARS = 80  # of a client's name, for the log


@dataclass(slots=True, eq=False)
class Client:
    """The link of one client."""

    number: int
    link: Link
    name: str = ""
    session: str = ""  # qualified by the authenticated customer, so that no other customer can name it
    customer: str = ""  # authenticated by its key; empty without one
    outbox: deque = field(default_factory=deque)
    queued_bytes: int = 0  # in the outbox
    wakeup: anyio.Event = field(default_factory=anyio.Event)
    overflowed: anyio.Event = field(default_factory=anyio.Event)


class ClientListener:
    """Accepts links from clients and exchanges messages between them and the engine."""

    def __init__(
        self,
        controller: str,
        net: Net,
        cluster: Cluster,
        inbox: Inbox,
        log,
        awaits_answer: Callable[[int], bool],
    ):
        """`awaits_answer` returns whether the link with a given number is owed an answer by the engine."""
        self.keys, limits = cluster.keys, cluster.limits
        self.offerings = translate.offerings(cluster.settings)
        self.controller, self.net, self.limits, self.inbox, self.log = controller, net, limits, inbox, log
        self.awaits_answer = awaits_answer
        self.clients: dict[int, Client] = {}
        self.last_number = 0
        self.unidentified_links = 0  # links without a hello so far
        self.links = FairShares()  # links of each authenticated customer
        self.closing = False

    async def run(self, address: Address, *, task_status=anyio.TASK_STATUS_IGNORED) -> None:
        """Serves clients on `address` until cancelled; reports the address in use to `task_status`."""
        await self.net.serve(address, self.handle, task_status=task_status)

    def send(self, number: int, effect) -> None:
        """Queues the message of an effect for a client, unless it has disconnected.

        A client whose queue exceeds `limits.client_bytes` is disconnected, so that it does not delay others.
        """
        client = self.clients.get(number)
        if client is None:
            return
        data = encode(translate.message_for_client(effect))
        client.outbox.append(data)
        client.queued_bytes += len(data)
        if client.queued_bytes > self.limits.client_bytes:
            client.overflowed.set()
        client.wakeup.set()

    async def handle(self, stream) -> None:
        """Serves one connection until it is closed; the engine learns that the client has disconnected."""
        link = Link(stream, FrameReader())
        self.last_number += 1
        client = Client(self.last_number, link)
        reason = ""
        try:
            await self.handshake(client)
            await self.serve(client)
        except LinkLostError as error:
            reason = str(error)
        finally:
            registered = self.clients.pop(client.number, None)
            await link.close()
            if registered is not None:
                self.links.add(client.customer, -1)
                with anyio.CancelScope(shield=True):
                    await self.inbox.post(events.ClientDisconnected(client.number))
        if reason != "closed by the other side":
            self.log.warning("client let go", client=client.name or client.number, reason=reason)

    async def handshake(self, client: Client) -> None:
        """Receives a client's hello, authenticates and registers it. Raises LinkLostError on refusal."""
        # connections without a hello use a file descriptor each until they time out
        if self.unidentified_links >= self.limits.clients:
            raise LinkLostError("too many links that have not said who they are")
        self.unidentified_links += 1
        try:
            with anyio.fail_after(self.limits.hello):
                if self.closing or len(self.clients) >= self.limits.clients:
                    refusal = "the controller ends" if self.closing else "too many clients"
                    await client.link.send(
                        encode(pb.Bye(reason=refusal, retry_after=self.limits.retry_after))
                    )
                    raise LinkLostError(refusal)
                hello = await client.link.receive()
                if not isinstance(hello, pb.Hello):
                    raise LinkLostError(f"{type(hello).__name__} instead of a hello")
                try:
                    client.customer = admit(self.keys, hello.customer, hello.token)
                except AuthenticationError as error:
                    await client.link.send(encode(pb.Bye(reason=str(error))))
                    raise LinkLostError(str(error)) from None
                client.name = hello.name[:MAX_NAME_CHARS]
                client.session = owners.qualified(client.customer, hello.session[:MAX_SESSION_CHARS])
                if not self.admits(client):
                    await client.link.send(
                        encode(pb.Bye(reason="too many clients", retry_after=self.limits.retry_after))
                    )
                    raise LinkLostError("too many clients" + " of this customer" * bool(client.customer))
                # counted before the welcome is sent: other clients may be admitted meanwhile
                self.clients[client.number] = client
                self.links.add(client.customer, 1)
                await client.link.send(
                    encode(
                        pb.Welcome(
                            version=min(hello.version, VERSION),
                            name=self.controller,
                            offerings=self.offerings,
                        )
                    )
                )
        except TimeoutError:
            raise LinkLostError(f"no hello within {self.limits.hello:g} s") from None
        finally:
            self.unidentified_links -= 1

    def admits(self, client: Client) -> bool:
        """Whether the limit on links, and the customer's fair share of it, leave a link for this client.

        The share keeps one customer from using all links. Clients without a key are not counted by customer,
        since nothing proves the name that they give.
        """
        if not client.customer:
            return len(self.clients) < self.limits.clients
        return self.links.admits(client.customer, len(self.clients), self.limits.clients)

    async def serve(self, client: Client) -> None:
        """Exchanges messages with a registered client until its link is lost. Raises LinkLostError."""
        await run_until_link_lost(self.write(client), self.read(client), self.watch_overflow(client))

    async def read(self, client: Client) -> None:
        """Passes messages to the engine. Raises LinkLostError if the client is idle for too long."""
        while True:
            with anyio.move_on_after(self.limits.client_idle) as idle:
                messages = await client.link.receive_all()
            if idle.cancelled_caught:
                if client.session or self.awaits_answer(client.number):
                    continue  # the owner of a session may wait for days and is notified of changes
                raise LinkLostError(f"idle for {self.limits.client_idle:g} s")
            await self.inbox.post(*[self.event_of(client, message) for message in messages])

    def event_of(self, client: Client, message):
        """The engine event of a client's message. Raises LinkLostError if a client may not send it."""
        # a longer key might not fit into the answer that contains it
        if (
            len(getattr(message, "key", "")) > MAX_KEY_CHARS
            or isinstance(message, pb.Submit)
            and not message.key
        ):
            raise LinkLostError(f"a key of {len(message.key)} characters, 1 to {MAX_KEY_CHARS} are allowed")
        match message:
            case pb.Submit():
                return translate.submit_event(client.number, client.session, client.customer, message)
            case pb.TakeBack():
                return events.JobWithdrawn(client.number, message.key, client.session)
            case pb.AnswerSeen():
                return events.AnswerSeen(client.session, message.key)
            case pb.Forget():
                return events.ForgetRequested(client.session, message.key)
            case pb.Order() if message.kind in translate.ORDERS:
                return events.Ordered(
                    client.number, client.session, message.key, translate.ORDERS[message.kind]
                )
            case pb.AskStanding():
                return events.StatusRequested(client.number, client.session, message.key, message.after)
        raise LinkLostError(f"a client may not send {type(message).__name__}")

    async def watch_overflow(self, client: Client) -> None:
        """Waits until the client's queue is too long, then raises LinkLostError."""
        await client.overflowed.wait()
        raise LinkLostError(
            f"it leaves {client.queued_bytes} bytes unread, over the limit of {self.limits.client_bytes}"
        )

    async def write(self, client: Client) -> None:
        """Sends queued messages. Raises LinkLostError if the client does not read them in time."""
        while True:
            await client.wakeup.wait()
            client.wakeup = anyio.Event()
            while client.outbox:
                data = b"".join(client.outbox)
                client.outbox.clear()
                await client.link.send(data, self.limits.client_idle)
                client.queued_bytes -= len(data)
