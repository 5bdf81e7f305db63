"""One budget of file descriptors for all that the process opens: who holds how many, and who has to give way.

Connections of owners and to hosts share it. Some are kept back for what must go on whatever the others do: the listener, the
event bus, what the interpreter holds, and what is accepted before an idle connection has closed. An idle owner gives way to a
dial; an owner with a set-up open never does.
"""

import anyio

KEPT = 24  # for the process itself, the event bus and what has just been accepted
ACCEPTED = 8  # of these: connections accepted beyond the budget, so that one that works comes in where idle ones fill it
OWNERS_SHARE = 0.5  # of the rest: what connections of owners never exceed
HOSTS_SHARE = 0.35  # ... and what several connections to a host stay under


class Descriptors:
    def __init__(self, most: int):
        """`most`: what the process may hold."""
        self.budget = most - KEPT
        self.owners = 0  # connections of owners, until their sockets are closed
        self.hosts = 0  # dials to hosts and connections to them, until their sockets are closed
        self.wanted = 0  # dials that wait for a descriptor
        self.changed = anyio.Event()

    def to_one_host(self, hosts: int, most: int) -> int:
        """Connections to each of so many hosts, one at least."""
        return max(1, min(most, int(self.budget * HOSTS_SHARE) // max(1, hosts)))

    @property
    def crowded(self) -> bool:
        """Owners hold more than is theirs: an idle one has to go."""
        return (
            self.owners > int(self.budget * OWNERS_SHARE)
            or self.full
            and (self.wanted > 0 or self.owners + self.hosts > self.budget)
        )

    @property
    def full(self) -> bool:
        return self.owners + self.hosts >= self.budget

    @property
    def may_accept(self) -> bool:
        """There is room for one more connection of an owner; beyond the owners' share only where no dial waits for it."""
        held = self.owners + self.hosts
        if self.owners >= int(self.budget * OWNERS_SHARE):
            held += self.wanted
        return held < self.budget + ACCEPTED

    async def reserve(self) -> None:
        """Takes one for an owner's connection, once there is room."""
        while not self.may_accept:
            await self.changed.wait()
        self.taken(owners=1)

    def release(self) -> None:
        self.given_back(owners=1)

    def taken(self, owners: int = 0, hosts: int = 0) -> None:
        self.owners, self.hosts = self.owners + owners, self.hosts + hosts
        self.tell()

    def given_back(self, owners: int = 0, hosts: int = 0) -> None:
        self.taken(-owners, -hosts)

    def tell(self) -> None:
        self.changed.set()
        self.changed = anyio.Event()

    async def until_crowded(self) -> None:
        while not self.crowded:
            await self.changed.wait()

    async def for_host(self, within: float) -> bool:
        """Takes one for a dial; waits for one so many seconds at most, and says whether it came."""
        with anyio.move_on_after(within):
            self.wanted += 1
            self.tell()
            try:
                while self.full:
                    await self.changed.wait()
                self.taken(hosts=1)
                return True
            finally:
                self.wanted -= 1
        return False
