"""Decides when the engine runs: when events arrive or a timer is due, and at most once per tick."""

import anyio

from linedeal.loop.inbox import Inbox


class EngineStepper:
    """Runs the engine's steps and waits between them."""

    def __init__(self, engine, inbox: Inbox, tick: float):
        """`tick`: seconds between two steps, at least."""
        self.engine, self.inbox, self.tick = engine, inbox, tick
        self.stepped_at = 0.0

    def step(self) -> list:
        """Handles all events that have arrived and all timers that are due; returns the effects in order."""
        self.stepped_at = anyio.current_time()
        effects = self.engine.step(self.stepped_at)
        # before the effects are carried out: events that arrive meanwhile belong to the next step
        self.inbox.clear()
        return effects

    async def wait(self, until: float) -> None:
        """Waits for an event or for loop time `until`, and at least a tick: under load one step handles many
        events.
        """
        with anyio.move_on_at(until):
            await self.inbox.arrived.wait()
        await anyio.sleep_until(self.stepped_at + self.tick)
