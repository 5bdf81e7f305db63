"""The controller without sockets: events in, effects out. No I/O, no clock and no chance of its own."""

from linedeal.engine.engine import Engine

__all__ = ["Engine"]
