"""The front: clients connect, submit and wait. Nothing is taken here, and nothing taken is lost here: the engine
says what is taken, and a client that leaves takes its jobs back."""

from collections import deque
from dataclasses import dataclass, field
from typing import Callable

import anyio

from linedeal.controller import owners, translate
from linedeal.engine import events
from linedeal.engine.admission import FairShares
from linedeal.loop import Inbox
from linedeal.net import Address, Link, LinkLostError, Net, run_until_link_lost
from linedeal.protocol import VERSION, FrameReader, encode, pb
from linedeal.settings.keys import AuthenticationError, admit
from linedeal.settings.records import Cluster

SESSION_MOST = 200  # characters of a session's name
KEY_MOST = 200  # characters of a client's key for a job


@dataclass(slots=True, eq=False)
class Client:
    number: int
    link: Link
    name: str = ""
    session: str = ""  # qualified by the customer whose key it has shown: nobody else can name it
    proven: str = ""
    outbox: deque = field(default_factory=deque)
    waiting: int = 0  # bytes in it
    wake: anyio.Event = field(default_factory=anyio.Event)
    lost: anyio.Event = field(default_factory=anyio.Event)


class ClientListener:
    def __init__(
        self, controller: str, net: Net, cluster: Cluster, inbox: Inbox, log, owed: Callable[[int], bool]
    ):
        """`owed`: whether the link of that number waits for an answer, which the engine knows."""
        self.keys, limits = cluster.keys, cluster.limits
        self.offerings = translate.offerings(cluster.settings)
        self.controller, self.net, self.limits, self.inbox, self.log = controller, net, limits, inbox, log
        self.owed = owed
        self.clients: dict[int, Client] = {}
        self.numbers = 0
        self.strangers = 0  # links that have not said who they are
        self.links = FairShares()  # of each customer that has shown its key
        self.closing = False

    async def run(self, address: Address, *, task_status=anyio.TASK_STATUS_IGNORED) -> None:
        await self.net.serve(address, self.handle, task_status=task_status)

    def send(self, number: int, effect) -> None:
        """One message for a client that is still there. Over the bound the client is let go, others are not slowed."""
        client = self.clients.get(number)
        if client is None:
            return
        data = encode(translate.message_for_client(effect))
        client.outbox.append(data)
        client.waiting += len(data)
        if client.waiting > self.limits.client_bytes:
            client.lost.set()
        client.wake.set()

    async def handle(self, stream) -> None:
        link = Link(stream, FrameReader())
        self.numbers += 1
        client = Client(self.numbers, link)
        why = ""
        try:
            await self.greet(client)
            await self.serve(client)
        except LinkLostError as error:
            why = str(error)
        finally:
            known = self.clients.pop(client.number, None)
            await link.close()
            if known is not None:
                self.links.add(client.proven, -1)
                with anyio.CancelScope(shield=True):
                    await self.inbox.post(events.ClientDisconnected(client.number))
        if why != "closed by the other side":
            self.log.warning("client let go", client=client.name or client.number, reason=why)

    async def greet(self, client: Client) -> None:
        # guards against connections that say nothing: they cost a file each until their time is up
        if self.strangers >= self.limits.clients:
            raise LinkLostError("too many links that have not said who they are")
        self.strangers += 1
        try:
            with anyio.fail_after(self.limits.hello):
                if self.closing or len(self.clients) >= self.limits.clients:
                    said = "the controller ends" if self.closing else "too many clients"
                    await client.link.send(encode(pb.Bye(reason=said, retry_after=self.limits.retry_after)))
                    raise LinkLostError(said)
                hello = await client.link.receive()
                if not isinstance(hello, pb.Hello):
                    raise LinkLostError(f"{type(hello).__name__} in place of a hello")
                try:
                    client.proven = admit(self.keys, hello.customer, hello.token)
                except AuthenticationError as error:
                    await client.link.send(encode(pb.Bye(reason=str(error))))
                    raise LinkLostError(str(error)) from None
                client.name = hello.name[:80]
                client.session = owners.qualified(client.proven, hello.session[:SESSION_MOST])
                if not self.room_for(client):
                    await client.link.send(
                        encode(pb.Bye(reason="too many clients", retry_after=self.limits.retry_after))
                    )
                    raise LinkLostError("too many clients" + " of this customer" * bool(client.proven))
                # counted before the welcome leaves: others may say hello meanwhile
                self.clients[client.number] = client
                self.links.add(client.proven, 1)
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
            self.strangers -= 1

    def room_for(self, client: Client) -> bool:
        """Guards the other customers against one that opens all the links there are. Without a key a name proves
        nothing: then all are one customer's."""
        if not client.proven:
            return len(self.clients) < self.limits.clients
        return self.links.admits(client.proven, len(self.clients), self.limits.clients)

    async def serve(self, client: Client) -> None:
        await run_until_link_lost(self.write(client), self.read(client), self.let_go(client))

    async def read(self, client: Client) -> None:
        while True:
            with anyio.move_on_after(self.limits.client_idle) as idle:
                messages = await client.link.receive_all()
            if idle.cancelled_caught:
                if client.session or self.owed(client.number):
                    continue  # a session's owner may wait for days, and is told when something happens
                raise LinkLostError(f"idle for {self.limits.client_idle:g} s")
            await self.inbox.post(*[self.event(client, message) for message in messages])

    def event(self, client: Client, message):
        # guards against a key that does not fit into the answer that names it
        if len(getattr(message, "key", "")) > KEY_MOST or isinstance(message, pb.Submit) and not message.key:
            raise LinkLostError(f"a key of {len(message.key)} characters, 1 to {KEY_MOST} are taken")
        match message:
            case pb.Submit():
                return translate.submitted(client.number, client.session, client.proven, message)
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

    async def let_go(self, client: Client) -> None:
        await client.lost.wait()
        raise LinkLostError(
            f"it leaves {client.waiting} bytes unread, over the bound of {self.limits.client_bytes}"
        )

    async def write(self, client: Client) -> None:
        while True:
            await client.wake.wait()
            client.wake = anyio.Event()
            while client.outbox:
                data = b"".join(client.outbox)
                client.outbox.clear()
                await client.link.send(data, self.limits.client_idle)
                client.waiting -= len(data)
