"""The controller's core: events in, effects out. It does no I/O and takes the time and the random seed as
arguments.
"""

from linedeal.engine.engine import Engine

__all__ = ["Engine"]
