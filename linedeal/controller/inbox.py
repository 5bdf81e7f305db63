"""Where links leave their events for the engine."""

import anyio

MOST = 4096     # events that may wait before links have to: a slow engine slows its peers, it does not swell


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
        """In order; waits while too many are there already."""
        while self.waiting >= MOST:
            await self.taken.wait()
        for event in events:
            self.put(event)

    def turned(self) -> None:
        """The engine has taken all that was there."""
        self.waiting = 0
        self.arrived = anyio.Event()
        self.taken.set()
        self.taken = anyio.Event()
