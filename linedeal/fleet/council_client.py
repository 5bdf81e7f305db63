"""Asks the council, from a controller or a command: one member after the other, until one answers."""

import itertools
from dataclasses import dataclass
from typing import Callable

import anyio

from linedeal.council.records import Change, Outcome, Value
from linedeal.fleet.peer_link import open_to_member
from linedeal.net import Address, LinkLostError, Net
from linedeal.protocol import VERSION, encode, pb
from linedeal.settings.records import CouncilSettings

CONNECT = 0.5  # seconds for a link to a member
SLICE = 0.7  # seconds that one member has before the next is asked too
PAUSE = 0.05  # seconds from one that did not answer to the next
NO_ANSWER = (Outcome.BUSY, Outcome.UNREADY, Outcome.UNKNOWN)  # another member may have one


class CouncilRequestError(Exception):
    """What was asked cannot be; one plain line, from the member."""


@dataclass(frozen=True, slots=True)
class CouncilReply:
    outcome: Outcome
    value: Value
    by: str  # the member that answered; empty: none did
    silent: tuple[str, ...] = ()  # members that were asked and said nothing, with why


class CouncilClient:
    """Use as an async context manager inside a task group's life. One link a member, made when it is needed."""

    def __init__(
        self, settings: CouncilSettings, name: str, token: str, net: Net, spread: Callable[[], float]
    ):
        self.settings, self.name, self.net = settings, name, net
        # askers spread over the members; a member asks itself last, so that what it reported is known when it is gone
        self.own = name.partition("/")[0]
        self.order = sorted(settings.places, key=lambda member: (member == self.own, spread()))
        self.hello = encode(
            pb.Hello(version=VERSION, role=pb.CONTROLLER, name=name, session=settings.id, token=token)
        )
        self.links: dict[str, MemberLink] = {}
        self.numbers = itertools.count(1)

    async def __aenter__(self):
        self.tasks = anyio.create_task_group()
        await self.tasks.__aenter__()
        return self

    async def __aexit__(self, *error):
        self.tasks.cancel_scope.cancel()
        try:
            return await self.tasks.__aexit__(*error)
        except BaseExceptionGroup as group:
            if group.exceptions == (error[1],):  # the body's own: whoever called it knows that one
                raise error[1] from None
            raise

    async def read(self, key: str, within: float) -> CouncilReply:
        return await self.ask(pb.CouncilAsk(kind=pb.READ, key=key), within)

    async def change(self, key: str, change: Change, within: float) -> CouncilReply:
        """UNKNOWN: it may or may not have been made; ask the same again."""
        return await self.ask(
            pb.CouncilAsk(kind=pb.CHANGE, key=key, id=change.id, expect=change.expect, body=change.body),
            within,
        )

    async def ask(self, said: pb.CouncilAsk, within: float) -> CouncilReply:
        """From the member that answered last on; raises CouncilRequestError."""
        until = anyio.current_time() + within
        silent: dict[str, str] = {}  # why each that was asked has no answer, last heard last
        for member in itertools.cycle(tuple(self.order)):
            left = until - anyio.current_time()
            if left <= 0:
                return CouncilReply(Outcome.UNKNOWN, Value(), "", lines(silent))
            silent.pop(member, None)
            try:
                told = await self.ask_one(member, said, min(left, SLICE))
                outcome = Outcome[told.outcome]
                if outcome not in NO_ANSWER:
                    break
                silent[member] = outcome.value
            except LinkLostError as error:
                silent[member] = str(error)
            await anyio.sleep(min(PAUSE, left))
        if self.order[0] != member and member != self.own:  # itself stays last, also where it alone was up
            self.order.remove(member)
            self.order.insert(0, member)
        return CouncilReply(outcome, Value(told.version, told.body), member, lines(silent))

    async def ask_member(self, member: str, said: pb.CouncilAsk, within: float) -> pb.CouncilTold | None:
        """This member and no other; None where it does not answer."""
        try:
            return await self.ask_one(member, said, within)
        except (LinkLostError, CouncilRequestError):
            return None

    async def ask_one(self, member: str, said: pb.CouncilAsk, within: float) -> pb.CouncilTold:
        """Raises LinkLostError where it does not answer in time, CouncilRequestError where it refuses."""
        link = self.links.get(member)
        if link is None or link.lost:
            link = self.links[member] = MemberLink()
            self.tasks.start_soon(link.run, self.net, self.settings.places[member], self.hello)
        mine = pb.CouncilAsk()
        mine.CopyFrom(said)
        mine.number, mine.within = next(self.numbers), within
        told = await link.ask(mine, within)
        if told.outcome == "FAULT":
            raise CouncilRequestError(f"{member}: {told.body.decode(errors='replace')}")
        if told.outcome not in Outcome.__members__:
            raise LinkLostError(f"an outcome of a later version: {told.outcome[:40]}")
        return told


def lines(silent: dict[str, str]) -> tuple[str, ...]:
    return tuple(f"{member}: {why}" for member, why in silent.items())


class MemberLink:
    """One link to one member, for any number of asks at once."""

    def __init__(self):
        self.lost = ""
        self.link = None
        self.writing = anyio.Lock()  # one frame at a time: several duties ask at once
        self.ready, self.ended = anyio.Event(), anyio.Event()
        self.waiting: dict[int, tuple[anyio.Event, list]] = {}

    async def run(self, net: Net, address: Address, hello: bytes) -> None:
        try:
            self.link = await open_to_member(net, address, hello, CONNECT)
            try:
                self.ready.set()
                while True:
                    for told in await self.link.receive_all():
                        if isinstance(told, pb.CouncilTold) and told.number in self.waiting:
                            event, got = self.waiting[told.number]
                            got.append(told)
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

    async def ask(self, said: pb.CouncilAsk, within: float) -> pb.CouncilTold:
        event, got = self.waiting[said.number] = anyio.Event(), []
        try:
            with anyio.move_on_after(within):
                await self.ready.wait()
                if not self.lost:
                    async with self.writing:
                        await self.link.send(encode(said), within)
                    await event.wait()
            if not got:
                raise LinkLostError(self.lost or f"no answer within {within:g} s")
            return got[0]
        finally:
            del self.waiting[said.number]
