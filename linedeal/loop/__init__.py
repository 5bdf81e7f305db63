"""What every route into the engine shares: where links leave their events, and when the engine turns."""

from linedeal.loop.collecting import collect_when_quiet
from linedeal.loop.inbox import Inbox
from linedeal.loop.lateness import Lateness
from linedeal.loop.turning import Turning

__all__ = ["Inbox", "Lateness", "Turning", "collect_when_quiet"]
