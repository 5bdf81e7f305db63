"""Where links leave their events for the engine."""

import anyio

from linedeal.engine import events

MAX_WAITING = (
    4096  # events that may wait before links have to: a slow engine slows its peers, it does not swell
)
SHARE = 64  # events of one link in one turn


def dear(event) -> bool:
    """A question whose answer is a page of standings costs as much as some hundred other events."""
    return type(event) is events.StatusRequested and not event.key


class Inbox:
    def __init__(self, engine_put):
        self.engine_put = engine_put
        self.waiting = 0
        self.arrived = anyio.Event()
        self.taken = anyio.Event()

    def put(self, event) -> None:
        """For the few that may not wait."""
        self.engine_put(event)
        self.waiting += 1
        self.arrived.set()

    async def post(self, *received) -> None:
        """In order; waits while too many are there already, and after its share until the turn has taken that."""
        given = 0
        for event in received:
            if not given:
                await self.wait_for_space()
            self.put(event)
            given += 1
            if given == SHARE or dear(
                event
            ):  # guards against one link's flood that makes a turn long for all others
                await self.taken.wait()
                given = 0

    async def wait_for_space(self) -> None:
        """Waits while too many are there already."""
        while self.waiting >= MAX_WAITING:
            await self.taken.wait()

    def clear(self) -> None:
        """The engine has taken all that was there."""
        self.waiting = 0
        self.arrived = anyio.Event()
        self.taken.set()
        self.taken = anyio.Event()
