"""The event loop shared by all ways into the engine: event inbox, engine stepping, loop lateness, garbage
collection.
"""

from linedeal.loop.garbage import collect_garbage_when_idle
from linedeal.loop.inbox import Inbox
from linedeal.loop.lateness import Lateness
from linedeal.loop.stepper import EngineStepper

__all__ = ["EngineStepper", "Inbox", "Lateness", "collect_garbage_when_idle"]
