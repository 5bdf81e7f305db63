"""Events: what the engine is notified of, by a link to a host, by discovery or by a client.

Events carry no times: the engine is passed the time of each step.
"""

from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple

from linedeal.interface import Job, Mode, Reason, Result


class LaunchId(NamedTuple):
    """Identifies one launch of a controller across all its incarnations."""

    life: int
    number: int


class Phase(Enum):
    """The phase of a launch at its host."""

    QUEUED = "waits to be looked at"
    ACCEPTED = "accepted"
    RUNNING = "started"
    OVER = "ended"


@dataclass(frozen=True, slots=True)
class ListedHost:
    """One host of a list."""

    id: str
    addresses: tuple[str, ...]
    kind: str
    zone: str
    cell: int
    mode: Mode
    boot: int  # changes with each start of the host
    age: float  # seconds since that start, when the list was sent
    free_cores: float | None
    free_memory: float | None


@dataclass(frozen=True, slots=True)
class Ran:
    """How a run ended, as its host reports it: exit status (None: it did not exit on its own), usage, peak
    memory.
    """

    status: int | None
    seconds: float
    core_seconds: float
    memory: float


@dataclass(frozen=True, slots=True)
class HeldLaunch:
    """One launch in the inventory that a host sends when a link is opened."""

    launch: LaunchId
    job: Job
    phase: Phase
    result: Result = Result.DONE
    reason: Reason = Reason.UNTOLD
    ran: Ran | None = None


# From discovery


@dataclass(frozen=True, slots=True)
class HostListReceived:
    """A list of hosts: all (`whole`) or changed ones; `remembered`: stored by an earlier incarnation."""

    hosts: tuple[ListedHost, ...]
    whole: bool
    version: int
    remembered: bool = False


@dataclass(frozen=True, slots=True)
class HostListFailed:
    """Discovery cannot be reached, or its reply was unusable."""

    reason: str


# From clients; `client` is the number of a link


@dataclass(frozen=True, slots=True)
class Submitted:
    """A client submits a job."""

    client: int
    key: str
    offering: str
    customer: str
    service: str
    cores: float
    memory: float
    wait: float  # seconds; 0: as long as the offering allows
    session: str = ""  # where not empty, the job belongs to it and not to the link
    proven: str = ""  # the customer whose key this link has shown
    work: bytes = b""  # for the host, passed on unchanged
    follow: bool = False  # its owner wants to be notified of its progress after the answer
    hold: bool = False
    start_in: float = 0.0  # seconds before which it is not launched


@dataclass(frozen=True, slots=True)
class JobWithdrawn:
    """A client withdraws its job."""

    client: int
    key: str
    session: str = ""


@dataclass(frozen=True, slots=True)
class RunningJobHandedOver:
    """An owner reports a job that runs at a host already; it is this controller's from now on."""

    client: int
    key: str
    offering: str
    customer: str
    service: str
    cores: float
    memory: float
    host: str
    work: bytes = b""


@dataclass(frozen=True, slots=True)
class StopRequested:
    """An owner ends a running job; its host reports when it has ended."""

    job: str


@dataclass(frozen=True, slots=True)
class AnswerSeen:
    """The session has received its answer: it need not be stored any longer."""

    session: str
    key: str


@dataclass(frozen=True, slots=True)
class Ordered:
    """An owner holds, releases or ends a job."""

    client: int
    session: str
    key: str
    kind: object  # a control.OrderKind


@dataclass(frozen=True, slots=True)
class StatusRequested:
    """A client requests the state of one job or, without a key, of the session's jobs that follow key
    `after`.
    """

    client: int
    session: str
    key: str
    after: str = ""


@dataclass(frozen=True, slots=True)
class ForgetRequested:
    """An owner no longer needs a job. Its record is retained while an answer is owed or the job runs."""

    session: str
    key: str


@dataclass(frozen=True, slots=True)
class ClientDisconnected:
    """The link to a client has ended."""

    client: int


# From the link to a host


@dataclass(frozen=True, slots=True)
class LaunchesSent:
    """Frames of these launches are about to be written: from now on they may reach the host."""

    host: str
    link: int
    numbers: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class LaunchesUnsent:
    """The link did not send these launches: they were cancelled in time, or too many were waiting."""

    host: str
    numbers: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class LaunchesCancelled:
    """The cancellation of these launches has been written, or their connection is closed: none is out any
    more.
    """

    host: str
    numbers: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class LinkUp:
    """A link to a host is up.

    `held` is the host's inventory. `forgot`: the host has dropped ends of launches that were not
    acknowledged, so a launch that is missing from the inventory may still have run.
    """

    host: str
    link: int
    boot: int
    age: float = 0.0  # seconds since that boot
    held: tuple[HeldLaunch, ...] = ()
    forgot: bool = False


@dataclass(frozen=True, slots=True)
class LinkDown:
    """The link has ended, or was never established (link 0); no byte of the `unsent` launches was written."""

    host: str
    link: int
    unsent: tuple[int, ...] = ()
    reason: str = ""


@dataclass(frozen=True, slots=True)
class Fenced:
    """A host has seen a later incarnation of this controller."""

    host: str
    reason: str


@dataclass(frozen=True, slots=True)
class Accepted:
    """A host accepts a launch.

    `host_reply`: what the host sent with its acceptance, passed on unchanged to the owner.
    `cancel_withdrawn`: the acceptance arrived before the cancellation was written, and the link has withdrawn
    the cancellation.
    """

    host: str
    launch: LaunchId
    host_reply: str = ""
    cancel_withdrawn: bool = False


@dataclass(frozen=True, slots=True)
class Refused:
    """A host refuses a launch, or returns one that it has not started."""

    host: str
    launch: LaunchId
    reason: Reason
    detail: str = ""


@dataclass(frozen=True, slots=True)
class Started:
    """A launch runs."""

    host: str
    launch: LaunchId


@dataclass(frozen=True, slots=True)
class UsageReported:
    """Cores and memory that a running job uses."""

    host: str
    launch: LaunchId
    cores: float
    memory: float


@dataclass(frozen=True, slots=True)
class ServiceReported:
    """The share of its requests that a running job served, and its host's memory; below 0: not reported."""

    host: str
    launch: LaunchId
    share: float
    host_memory: float


@dataclass(frozen=True, slots=True)
class LaunchEnded:
    """A launch has ended."""

    host: str
    launch: LaunchId
    result: Result
    reason: Reason
    ran: Ran | None = None


@dataclass(frozen=True, slots=True)
class MetricReported:
    """One metric of a running job: `metric` as in the interface's `MetricReported`."""

    host: str
    launch: LaunchId
    metric: str
    value: float


@dataclass(frozen=True, slots=True)
class HostLost:
    """The host has died, or has been unreachable for so long that its running jobs count as lost."""

    host: str


@dataclass(frozen=True, slots=True)
class ProbeReported:
    """A host's reply to a probe."""

    host: str
    number: int
    figures: dict[str, float] = field(default_factory=dict)
