"""What the parts of the link to one host share."""

import math
from dataclasses import dataclass, field

import anyio

from linedeal.engine import events
from linedeal.interface import Mode
from linedeal.loop import Inbox
from linedeal.platform.descriptors import DescriptorBudget
from linedeal.platform.host_connection import Connection
from linedeal.platform.host_launches import HostLaunches
from linedeal.platform.reachability import Reachability
from linedeal.settings.records import Limits


@dataclass(eq=False, slots=True)
class HostState:
    """One host as the controller knows it, its open connections, and where its events go."""

    listed: events.ListedHost  # its newest listing
    launches: HostLaunches
    limits: Limits
    idle_timeout: float  # seconds after which the host closes an unused connection
    descriptors: DescriptorBudget
    inbox: Inbox
    log: object
    reachability: Reachability
    connections: list[Connection] = field(default_factory=list)
    # A connection was lost while jobs ran: the host repeats on the next one what it sent on the lost one.
    reopen: bool = False
    # When to try again after a connection could not be opened; infinity: nothing delays the next attempt.
    retry_at: float = math.inf
    wake: anyio.Event = field(default_factory=anyio.Event)  # something is queued or has changed

    @property
    def id(self) -> str:
        """The host's name."""
        return self.listed.id

    @property
    def is_gone(self) -> bool:
        """Whether it has left the list; another host may listen at its address by now."""
        return self.listed.mode is Mode.GONE

    @property
    def is_retry_delayed(self) -> bool:
        """Whether the next attempt to connect is put off."""
        return self.retry_at != math.inf

    @property
    def runs_jobs(self) -> bool:
        """Whether any job runs there, as far as it has said."""
        return bool(self.launches.running)
