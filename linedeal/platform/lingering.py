"""Limits the connections that linger: on which this side has ended writing, and still reads.

A host whose process hangs notices only later that a connection was closed. Until then it may send the end of
a job there, and a connection that is no longer read would lose it. A connection therefore lingers while jobs
run at its host, until the host closes it too. Each takes a descriptor, so their number is limited.
"""

from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

import anyio

MAX_PER_HOST = 16
BUDGET_SHARE = 0.1  # of the budget of descriptors, for those to all hosts together


@dataclass(eq=False, slots=True)
class LingeringConnection:
    """A connection that is only read. `was_heard`: whether the host has sent anything on it."""

    host: str
    was_heard: bool
    scope: anyio.CancelScope = field(default_factory=anyio.CancelScope)  # of its reader


class LingeringConnections:
    """All connections of the process that linger; ends some when there are too many."""

    def __init__(self, budget: int):
        """`budget`: descriptors for all connections of the process."""
        self.limit = int(budget * BUDGET_SHARE)
        self.connections: list[LingeringConnection] = []  # in the order in which they began to linger

    @contextmanager
    def hold(self, host: str, was_heard: bool) -> Iterator[None]:
        """Counts one connection while the context reads it; cancels the context if there are too many."""
        connection = LingeringConnection(host, was_heard)
        self.connections.append(connection)
        self.enforce_limits()
        try:
            with connection.scope:
                yield
        finally:
            if connection in self.connections:
                self.connections.remove(connection)

    def enforce_limits(self) -> None:
        """Ends connections, those of the host with the most first, until the limits are kept."""
        while len(self.connections) > min(MAX_PER_HOST, self.limit):
            host, count = Counter(one.host for one in self.connections).most_common(1)[0]
            if count <= MAX_PER_HOST and len(self.connections) <= self.limit:
                return
            ended = self.least_needed(host)
            self.connections.remove(ended)
            ended.scope.cancel()

    def least_needed(self, host: str) -> LingeringConnection:
        """The newest connection on which the host has sent nothing, or else its oldest one.

        A host sends the end of a job on the connection of the job's launch first, on which it has answered.
        """
        mine = [one for one in self.connections if one.host == host]
        unheard = [one for one in mine if not one.was_heard]
        return unheard[-1] if unheard else mine[0]
