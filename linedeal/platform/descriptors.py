"""One budget of file descriptors for all connections of the process.

Connections of owners and connections to hosts share the budget. A reserve is held for the listener,
the event bus, the interpreter, and connections accepted before an idle one has closed. An idle owner's
connection is closed when a connection to a host needs its descriptor; one with an unanswered job never is.
"""

import anyio

RESERVED = 24  # for the process itself, the event bus and what has just been accepted
# Of these: connections that may be accepted beyond the budget. A connection that brings work is then accepted
# although idle ones have used up the budget.
ACCEPT_RESERVE = 8
OWNERS_SHARE = 0.5  # of the budget: beyond it, idle connections of owners are closed
HOSTS_SHARE = 0.35  # of the budget: several connections to each host stay below it


class DescriptorBudget:
    """Counts descriptors in use, makes new connections wait, and decides when idle ones have to be closed."""

    def __init__(self, limit: int):
        """`limit`: descriptors that the process may have open."""
        self.budget = limit - RESERVED
        self.owners = 0  # connections of owners whose sockets are not closed
        self.hosts = 0  # connections to hosts, opening or open, whose sockets are not closed
        self.waiting_for_host = 0  # connections to hosts that wait for a descriptor
        self.changed = anyio.Event()

    def connections_per_host(self, hosts: int, limit: int) -> int:
        """The connections that each of `hosts` hosts may have: at least one, at most `limit`."""
        return max(1, min(limit, int(self.budget * HOSTS_SHARE) // max(1, hosts)))

    @property
    def must_close_idle(self) -> bool:
        """Whether owners have more than their share, so that an idle connection has to be closed."""
        return (
            self.owners > int(self.budget * OWNERS_SHARE)
            or self.full
            and (self.waiting_for_host > 0 or self.owners + self.hosts > self.budget)
        )

    @property
    def full(self) -> bool:
        """Whether the budget is used up."""
        return self.owners + self.hosts >= self.budget

    @property
    def may_accept(self) -> bool:
        """Whether one more connection of an owner may be accepted.

        Beyond the owners' share this is so only if no connection to a host waits for the descriptor.
        """
        used = self.owners + self.hosts
        if self.owners >= int(self.budget * OWNERS_SHARE):
            used += self.waiting_for_host
        return used < self.budget + ACCEPT_RESERVE

    async def reserve(self) -> None:
        """Waits until a connection of an owner may be accepted, and counts it."""
        while not self.may_accept:
            await self.changed.wait()
        self.add(owners=1)

    def release(self) -> None:
        """Counts one connection of an owner less."""
        self.remove(owners=1)

    def add(self, owners: int = 0, hosts: int = 0) -> None:
        """Counts more descriptors as used, whether or not the budget has them."""
        self.owners, self.hosts = self.owners + owners, self.hosts + hosts
        self.notify()

    def remove(self, owners: int = 0, hosts: int = 0) -> None:
        """Counts fewer descriptors as used."""
        self.add(-owners, -hosts)

    def notify(self) -> None:
        """Wakes everything that waits for a change of the counts."""
        self.changed.set()
        self.changed = anyio.Event()

    async def wait_until_must_close_idle(self) -> None:
        """Returns when `must_close_idle` is true."""
        while not self.must_close_idle:
            await self.changed.wait()

    async def reserve_for_host(self, timeout: float) -> bool:
        """Waits at most `timeout` seconds for a descriptor; whether there was one. It is counted then."""
        with anyio.move_on_after(timeout):
            self.waiting_for_host += 1
            self.notify()
            try:
                while self.full:
                    await self.changed.wait()
                self.add(hosts=1)
                return True
            finally:
                self.waiting_for_host -= 1
        return False
