"""When the engine turns: at an arrival or when something is due, and at most once a tick."""

import anyio

from linedeal.loop.inbox import Inbox


class EngineStepper:
    def __init__(self, engine, inbox: Inbox, tick: float):
        self.engine, self.inbox, self.tick = engine, inbox, tick
        self.stepped_at = 0.0

    def step(self) -> list:
        """Takes in all that has arrived and is due; what is to be done, in order."""
        self.stepped_at = anyio.current_time()
        effects = self.engine.step(self.stepped_at)
        self.inbox.clear()  # now: what comes in while these effects are carried out is the next turn's
        return effects

    async def wait(self, until: float) -> None:
        """Until something arrives or is due; at least a tick, so that under load one turn takes in many events."""
        with anyio.move_on_at(until):
            await self.inbox.arrived.wait()
        await anyio.sleep_until(self.stepped_at + self.tick)
