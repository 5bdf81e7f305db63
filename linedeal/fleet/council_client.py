"""The council's client, for controllers and commands: tries one member after the other until one answers."""

import itertools
from collections.abc import Callable
from dataclasses import dataclass

import anyio

from linedeal.council.records import Change, Outcome, Value
from linedeal.duties.duty import controller_of
from linedeal.fleet.peer_link import open_to_member
from linedeal.net import Address, LinkLostError, Net
from linedeal.protocol import VERSION, encode, pb
from linedeal.settings.records import CouncilSettings

CONNECT_TIMEOUT = 0.5  # seconds for a link to a member
MEMBER_TIMEOUT = 0.7  # seconds that one member has to answer before the next one is tried
RETRY_DELAY = 0.05  # seconds between a member that did not answer and the next
RETRYABLE_OUTCOMES = (Outcome.BUSY, Outcome.UNREADY, Outcome.UNKNOWN)  # another member may have an answer


class CouncilRequestError(Exception):
    """A member refused a request that the council can never carry out; the message is one plain line."""


@dataclass(frozen=True, slots=True)
class CouncilReply:
    """The council's answer to a request."""

    outcome: Outcome
    value: Value
    member: str  # the member that answered; empty: none did
    unanswered: tuple[str, ...] = ()  # members that were tried and did not answer, each with the reason


class CouncilClient:
    """Sends requests to the members of the council, over one link per member, made when it is needed.

    An async context manager: links run in a task group that lives as long as the block. `name` is a
    controller's name and life, or names the operator. `jitter` returns numbers in [0, 1).
    """

    def __init__(
        self, settings: CouncilSettings, name: str, token: str, net: Net, jitter: Callable[[], float]
    ):
        """`token` proves to a member that the client belongs to the cluster."""
        self.settings, self.name, self.net = settings, name, net
        # Clients are spread over the members. A member's own process tries itself last: a report that only it
        # held would be lost with it, and the loss would go unnoticed.
        self.own_member = controller_of(name)
        self.members = sorted(settings.places, key=lambda member: (member == self.own_member, jitter()))
        self.hello = encode(
            pb.Hello(version=VERSION, role=pb.CONTROLLER, name=name, session=settings.id, token=token)
        )
        self.links: dict[str, MemberLink] = {}
        self.request_numbers = itertools.count(1)

    async def __aenter__(self):
        """Opens the task group of the links."""
        self.tasks = anyio.create_task_group()
        await self.tasks.__aenter__()
        return self

    async def __aexit__(self, *error):
        """Closes all links. An exception of the block is raised as it is, not inside an exception group."""
        self.tasks.cancel_scope.cancel()
        try:
            return await self.tasks.__aexit__(*error)
        except BaseExceptionGroup as group:
            # The group holds only the block's own exception, which its caller expects bare.
            if group.exceptions == (error[1],):
                raise error[1] from None
            raise

    async def read(self, key: str, timeout: float) -> CouncilReply:
        """Reads a register, within `timeout` seconds. Raises CouncilRequestError."""
        return await self.request(pb.CouncilAsk(kind=pb.READ, key=key), timeout)

    async def change(self, key: str, change: Change, timeout: float) -> CouncilReply:
        """Changes a register, within `timeout` seconds. Raises CouncilRequestError.

        After the outcome UNKNOWN the change may have been made or not; repeat it with the same id.
        """
        return await self.request(
            pb.CouncilAsk(kind=pb.CHANGE, key=key, id=change.id, expect=change.expect, body=change.body),
            timeout,
        )

    async def request(self, message: pb.CouncilAsk, timeout: float) -> CouncilReply:
        """Sends a request to one member after the other, first to the one that answered last.

        The outcome is UNKNOWN if none answers within `timeout` seconds. Raises CouncilRequestError.
        """
        deadline = anyio.current_time() + timeout
        # why each member did not answer; the one that was tried last is at the end
        unanswered: dict[str, str] = {}
        for member in itertools.cycle(tuple(self.members)):
            remaining = deadline - anyio.current_time()
            if remaining <= 0:
                return CouncilReply(Outcome.UNKNOWN, Value(), "", format_unanswered(unanswered))
            unanswered.pop(member, None)
            try:
                reply = await self.send_request(member, message, min(remaining, MEMBER_TIMEOUT))
                outcome = Outcome[reply.outcome]
                if outcome not in RETRYABLE_OUTCOMES:
                    break
                unanswered[member] = outcome.value
            except LinkLostError as error:
                unanswered[member] = str(error)
            await anyio.sleep(min(RETRY_DELAY, remaining))
        if self.members[0] != member and member != self.own_member:  # the own member stays last in any case
            self.members.remove(member)
            self.members.insert(0, member)
        return CouncilReply(outcome, Value(reply.version, reply.body), member, format_unanswered(unanswered))

    async def request_member(
        self, member: str, message: pb.CouncilAsk, timeout: float
    ) -> pb.CouncilTold | None:
        """Sends a request to this member only; None if it does not answer in time or refuses."""
        try:
            return await self.send_request(member, message, timeout)
        except (LinkLostError, CouncilRequestError):
            return None

    async def send_request(self, member: str, message: pb.CouncilAsk, timeout: float) -> pb.CouncilTold:
        """Sends a copy of `message` to a member, and returns its reply.

        Raises LinkLostError if it does not answer within `timeout` seconds, CouncilRequestError if it
        refuses.
        """
        link = self.links.get(member)
        if link is None or link.lost:
            link = self.links[member] = MemberLink()
            self.tasks.start_soon(link.run, self.net, self.settings.places[member], self.hello)
        numbered = pb.CouncilAsk()
        numbered.CopyFrom(message)
        numbered.number, numbered.within = next(self.request_numbers), timeout
        reply = await link.request(numbered, timeout)
        if reply.outcome == "FAULT":
            raise CouncilRequestError(f"{member}: {reply.body.decode(errors='replace')}")
        if reply.outcome not in Outcome.__members__:
            raise LinkLostError(f"unknown outcome, of a later version: {reply.outcome[:40]}")
        return reply


def format_unanswered(reasons: dict[str, str]) -> tuple[str, ...]:
    """Returns a line for each member that did not answer."""
    return tuple(f"{member}: {reason}" for member, reason in reasons.items())


class MemberLink:
    """One link to one member, for any number of concurrent requests."""

    def __init__(self):
        """The link is opened by `run`."""
        self.lost = ""  # the reason, once it is lost
        self.link = None
        self.write_lock = anyio.Lock()  # one frame at a time: several duties send concurrently
        self.ready, self.ended = anyio.Event(), anyio.Event()
        self.waiting: dict[int, tuple[anyio.Event, list]] = {}  # by the request's number

    async def run(self, net: Net, address: Address, hello: bytes) -> None:
        """Opens the link and passes replies to their requests, until the link is lost."""
        try:
            self.link = await open_to_member(net, address, hello, CONNECT_TIMEOUT)
            try:
                self.ready.set()
                while True:
                    for message in await self.link.receive_all():
                        if isinstance(message, pb.CouncilTold) and message.number in self.waiting:
                            event, replies = self.waiting[message.number]
                            replies.append(message)
                            event.set()
            finally:
                await self.link.close()
        except LinkLostError as error:
            self.lost = str(error) or "lost"
        finally:
            self.lost = self.lost or "ended"
            self.ready.set()
            for event, _ in self.waiting.values():
                event.set()

    async def request(self, message: pb.CouncilAsk, timeout: float) -> pb.CouncilTold:
        """Sends a numbered request and returns the reply.

        Raises LinkLostError if the link is lost first, or after `timeout` seconds.
        """
        event, replies = self.waiting[message.number] = anyio.Event(), []
        try:
            with anyio.move_on_after(timeout):
                await self.ready.wait()
                if not self.lost:
                    async with self.write_lock:
                        await self.link.send(encode(message), timeout)
                    await event.wait()
            if not replies:
                raise LinkLostError(self.lost or f"no answer within {timeout:g} s")
            return replies[0]
        finally:
            del self.waiting[message.number]
