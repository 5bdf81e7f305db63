"""Which connections of owners are closed for want of descriptors, or since they send nothing of use."""

from collections.abc import Awaitable, Callable
from enum import IntEnum

import anyio

from linedeal.net import let_readers_run
from linedeal.platform.close_reason import CloseReason
from linedeal.platform.descriptors import DescriptorBudget
from linedeal.platform.owner_connection import OwnerConnection
from linedeal.platform.recipients import Recipients
from linedeal.platform.router import Router

NEW_CONNECTION_GRACE = 0.5  # seconds for which a new connection ranks after others that show no owner
FIRST_MESSAGE_DELAY = 0.05  # seconds from the accept to the first message of a client that has one to send
FIRST_MESSAGE_TIMEOUT = 2.0  # seconds for a valid message on a new connection, and for a started line to end
CHECK_INTERVAL = 0.25  # seconds between checks of all connections' timeouts
NO_IDLE_INTERVAL = 0.05  # seconds until it is looked again for a connection that may be closed


class Rank(IntEnum):
    """The order in which kinds of idle connections are closed."""

    SILENT = 0
    VALID = 1
    NEW = 2
    ARRIVING = 3  # its first message may be on its way: waited for rather than closed
    POSSIBLE_OWNER = 4
    OWNER = 5


class OwnerTimeouts:
    """Closes connections of owners that are not needed, and those that take up descriptors."""

    def __init__(
        self,
        connections: dict[int, OwnerConnection],
        router: Router,
        recipients: Recipients,
        descriptors: DescriptorBudget,
        disconnect: Callable[[OwnerConnection, CloseReason], None],
        wait_until_closed: Callable[[], Awaitable[None]],
    ):
        """`connections`: those that are open, by number. `wait_until_closed`: until none is being closed."""
        self.connections, self.router, self.recipients = connections, router, recipients
        self.descriptors, self.disconnect = descriptors, disconnect
        self.wait_until_closed = wait_until_closed

    async def close_idle_when_crowded(self) -> None:
        """Closes idle connections, by `close_rank`, while owners hold more descriptors than they may.

        Guards against connections that use up the descriptors. One with an unanswered job is never closed,
        nor one whose first message may be on its way.
        """
        while True:
            await self.descriptors.wait_until_must_close_idle()
            idle = [owner for owner in self.connections.values() if self.is_idle(owner)]
            least_needed = min(idle, key=self.close_rank, default=None)
            if least_needed is None or self.is_arriving(least_needed):
                await anyio.sleep(NO_IDLE_INTERVAL)
            elif await self.close_if_idle(least_needed, CloseReason.CROWDED):
                await self.wait_until_closed()  # its descriptor is in use until the socket is closed

    def is_idle(self, owner: OwnerConnection) -> bool:
        """Whether it may be closed: it has no unanswered job, no unhandled line and no unwritten answer."""
        return (
            owner.number not in self.router.unanswered
            and not owner.has_unhandled_lines
            and owner.is_written
            and owner.number in self.connections
        )

    def close_rank(self, owner: OwnerConnection) -> tuple:
        """The order in which idle connections are closed, lowest first.

        First those without a valid message, then those that are not known to be an owner's, then new ones.
        Those that may be owners' come last: the ends of their jobs are told there, and those of a crowd are
        all new. Among equals the one that has been silent for longest.
        """
        if self.is_arriving(owner):
            return Rank.ARRIVING, owner.received_at
        if self.recipients.is_owner(owner.number):
            return Rank.OWNER, owner.received_at
        if self.recipients.was_answered(owner.number):
            return Rank.POSSIBLE_OWNER, owner.received_at
        if owner.has_sent_valid:
            return Rank.VALID, owner.received_at
        is_new = anyio.current_time() - owner.opened_at <= NEW_CONNECTION_GRACE
        return Rank.NEW if is_new else Rank.SILENT, owner.received_at

    def is_arriving(self, owner: OwnerConnection) -> bool:
        """Whether the first message of a connection may still be on its way."""
        return not owner.has_sent_valid and anyio.current_time() - owner.opened_at <= FIRST_MESSAGE_DELAY

    async def close_if_idle(self, owner: OwnerConnection, reason: CloseReason) -> bool:
        """Closes an idle connection; returns False if it has data in its socket, which is read first.

        An owner sends a set-up again only if it was sent just before the close; a late loop may have left one
        unread for longer.
        """
        received_at = owner.received_at
        await let_readers_run()
        if owner.received_at != received_at or not self.is_idle(owner):
            return False
        self.disconnect(owner, reason)
        return True

    async def watch(self) -> None:
        """Closes connections that send nothing useful, or begin a line that does not end."""
        while True:
            await anyio.sleep(CHECK_INTERVAL)
            now = anyio.current_time()
            for owner in list(self.connections.values()):
                owner.note_partial_line(now)
                nothing_valid = not owner.has_sent_valid and now - owner.opened_at > FIRST_MESSAGE_TIMEOUT
                silent = now - owner.received_at > FIRST_MESSAGE_TIMEOUT
                useless = nothing_valid or silent and not self.recipients.was_answered(owner.number)
                if useless and self.is_idle(owner):
                    # Also a client that takes back all its jobs and then stays connected.
                    await self.close_if_idle(owner, CloseReason.USELESS)
                elif self.has_stalled_line(owner):
                    # A late loop may not have read the rest of it yet.
                    await let_readers_run()
                    if self.has_stalled_line(owner):
                        self.disconnect(owner, CloseReason.UNFINISHED_LINE)

    def has_stalled_line(self, owner: OwnerConnection) -> bool:
        """Whether a line has been incomplete for too long."""
        since = owner.partial_line_since
        return bool(since) and anyio.current_time() - since > FIRST_MESSAGE_TIMEOUT
