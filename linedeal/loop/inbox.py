"""Where links leave their events for the engine."""

import anyio

from linedeal.engine import events as on

MOST = 4096  # events that may wait before links have to: a slow engine slows its peers, it does not swell
SHARE = 64  # events of one link in one turn


def dear(event) -> bool:
    """A question whose answer is a page of standings costs as much as some hundred other events."""
    return type(event) is on.StandingAsked and not event.key


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

    async def post(self, *events) -> None:
        """In order; waits while too many are there already, and after its share until the turn has taken that."""
        given = 0
        for event in events:
            if not given:
                await self.ready()
            self.put(event)
            given += 1
            if given == SHARE or dear(
                event
            ):  # guards against one link's flood that makes a turn long for all others
                await self.taken.wait()
                given = 0

    async def ready(self) -> None:
        """Waits while too many are there already."""
        while self.waiting >= MOST:
            await self.taken.wait()

    def turned(self) -> None:
        """The engine has taken all that was there."""
        self.waiting = 0
        self.arrived = anyio.Event()
        self.taken.set()
        self.taken = anyio.Event()
