"""The interface of a test cluster, whether it consists of processes or of tasks in one process."""

from collections.abc import Iterable
from typing import Protocol

from linedeal.lab.day import HostSpec


class LabCluster(Protocol):
    """A cluster on which a day is played. Processes are addressed by name."""

    controllers: dict[str, tuple]  # by name: the address at which clients reach it
    host_specs: dict[str, HostSpec]

    async def start_host(self, spec: HostSpec, slow_start: bool) -> None:
        """Adds a host; with `slow_start` it starts slowly, as a machine that has just booted."""
        ...

    async def start(self, name: str) -> None:
        """Starts a killed process again at its old address; a host begins its slow start."""
        ...

    async def kill(self, name: str) -> None:
        """Kills a process at once."""
        ...

    async def set_paused(self, name: str, paused: bool) -> None:
        """Pauses or resumes a process."""
        ...

    async def order(self, name: str, order: dict) -> None:
        """Sends a JSON order to a process."""
        ...

    async def cut(self, pairs: Iterable[tuple[str, str]], on: bool) -> None:
        """Cuts or restores the network in these directions, each `(from, to)`."""
        ...

    async def mark(self, what: str, who: str) -> None:
        """Adds a mark to the traffic record: `what` was done to `who`."""
        ...
