"""What every route into the engine shares: where links leave their events, and when the engine turns."""

from linedeal.loop.garbage import collect_garbage_when_idle
from linedeal.loop.inbox import Inbox
from linedeal.loop.lateness import Lateness
from linedeal.loop.stepper import EngineStepper

__all__ = ["Inbox", "Lateness", "EngineStepper", "collect_garbage_when_idle"]
