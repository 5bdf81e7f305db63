"""Closes connections to one host so that nothing is lost that the host still sends on them.

A connection is first closed for the host, and read until the host closes it too or no job runs there.
"""

import traceback

import anyio

from linedeal.net import LinkLostError
from linedeal.platform.host_connection import Connection
from linedeal.platform.host_exchange import HostExchange
from linedeal.platform.host_state import HostState
from linedeal.platform.lingering import LingeringConnections

JOBS_CHECK_INTERVAL = 0.25  # seconds between looks whether any job still runs at the host


class HostClosing:
    """Ends the connections of one host."""

    def __init__(self, host: HostState, exchange: HostExchange, lingering: LingeringConnections):
        """`lingering`: the connections of the process that are only read."""
        self.host, self.exchange, self.lingering = host, exchange, lingering

    async def end_writing(self, connection: Connection) -> None:
        """Closes a connection for the host, which can still be read if jobs run there.

        Not if a write is unfinished: what is left of it must not reach the host any more.
        """
        connection.closing = True
        if self.host.runs_jobs and not connection.sending:
            await connection.link.end_writing()
        else:
            await self.close(connection)

    async def linger(self, connection: Connection) -> None:
        """Reads a connection on which nothing is written any more, until the host closes it too.

        A host whose process hangs sends the ends of jobs on it before it notices the close. No longer than
        jobs run there, and as `lingering` has room.
        """
        if not self.host.runs_jobs:
            return
        try:
            with self.lingering.hold(self.host.id, connection.was_heard):
                while self.host.runs_jobs:
                    deadline = anyio.current_time() + JOBS_CHECK_INTERVAL
                    await self.exchange.read_until(connection, deadline)
        except LinkLostError:
            pass
        except Exception:
            # An error in this program that one host's input triggers ends only that connection.
            self.host.log.error("fault", where=self.host.id, trace=traceback.format_exc())

    async def close(self, connection: Connection) -> None:
        """Closes a connection's socket, once."""
        if not connection.closed:
            connection.closed = True
            await connection.link.close()
            self.host.descriptors.remove(hosts=1)
