"""The queue in which links leave their events for the engine."""

from collections import deque

import anyio

from linedeal.engine import events

# events that may wait before links are made to wait too: a slow engine slows its peers down, and its memory
# is bounded
MAX_WAITING = 4096
LINK_QUOTA = 64  # events of one link in one engine step


def is_expensive(event) -> bool:
    """Whether the event requests a page of job states, which costs as much as some hundred other events."""
    return type(event) is events.StatusRequested and not event.key


class Inbox:
    """Passes events on to the engine, with a bound on their number and a quota for each link and step."""

    def __init__(self, engine_put):
        """`engine_put`: called with each event; the engine handles it in its next step."""
        self.engine_put = engine_put
        self.waiting = 0
        self.arrived = anyio.Event()
        self.taken = anyio.Event()

    def put(self, event) -> None:
        """Adds an event at once, ignoring the bound. For the few senders that cannot wait."""
        self.engine_put(event)
        self.waiting += 1
        self.arrived.set()

    async def post(self, *received) -> None:
        """Adds events in order. Waits while the inbox is full, and after each quota until a step has handled
        it. If it is cancelled, the events that are left are dropped.
        """
        await self.add_in_turns(deque(received))

    async def deliver(self, *received) -> None:
        """As `post`, but if it is cancelled, the events that are left are added at once.

        For events that the sender has recorded as passed on, so that they must not be dropped.
        """
        left = deque(received)
        try:
            await self.add_in_turns(left)
        finally:
            for event in left:
                self.put(event)

    async def add_in_turns(self, left: deque) -> None:
        """Takes events off `left` and adds them, a quota for each step."""
        given = 0
        while left:
            if not given:
                await self.wait_for_space()
            event = left.popleft()
            self.put(event)
            given += 1
            # guards against a flood on one link, which would make a step long for all others
            if given == LINK_QUOTA or is_expensive(event):
                await self.taken.wait()
                given = 0

    async def wait_for_space(self) -> None:
        """Waits while the inbox is full."""
        while self.waiting >= MAX_WAITING:
            await self.taken.wait()

    def clear(self) -> None:
        """Called after each step: the engine has taken all events, and waiting senders may continue."""
        self.waiting = 0
        self.arrived = anyio.Event()
        self.taken.set()
        self.taken = anyio.Event()
