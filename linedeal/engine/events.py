"""What the engine is told. Each comes from one link, from discovery or from a client; times are not in them, the
engine is told the time of each turn."""

from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple

from linedeal.interface import Job, Mode, Reason, Result


class LaunchId(NamedTuple):
    """One launch of one controller over all its lives."""

    life: int
    number: int


class Phase(Enum):
    """How far a host has come with a launch."""

    QUEUED = "waits to be looked at"
    ACCEPTED = "accepted"
    RUNNING = "started"
    OVER = "ended"


@dataclass(frozen=True, slots=True)
class ListedHost:
    id: str
    addresses: tuple[str, ...]
    kind: str
    zone: str
    cell: int
    mode: Mode
    boot: int  # another number after each start of the host
    age: float  # seconds since that start, when the list was sent
    free_cores: float | None
    free_memory: float | None


@dataclass(frozen=True, slots=True)
class Ran:
    """How a run ended, by its host: exit status (None: it did not exit by itself), seconds, memory at most."""

    status: int | None
    seconds: float
    core_seconds: float
    memory: float


@dataclass(frozen=True, slots=True)
class HeldLaunch:
    """What a host says of a launch when a link is made."""

    launch: LaunchId
    job: Job
    phase: Phase
    result: Result = Result.DONE
    why: Reason = Reason.UNTOLD
    ran: Ran | None = None


# from discovery


@dataclass(frozen=True, slots=True)
class HostListReceived:
    hosts: tuple[ListedHost, ...]
    whole: bool
    version: int
    remembered: bool = False


@dataclass(frozen=True, slots=True)
class HostListFailed:
    reason: str


# from clients; `client` is the number of a link


@dataclass(frozen=True, slots=True)
class Submitted:
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
    work: bytes = b""  # for the host, carried as it is
    follow: bool = False  # its owner wants to hear of its course after the answer
    hold: bool = False
    start_in: float = 0.0  # seconds for which it is not looked at


@dataclass(frozen=True, slots=True)
class JobWithdrawn:
    client: int
    key: str
    session: str = ""


@dataclass(frozen=True, slots=True)
class RunningJobHandedOver:
    """The owner says that this job stands at that host already, and is this controller's from now on."""

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
    """The owner ends a job that stands; its host says when it has ended."""

    job: str


@dataclass(frozen=True, slots=True)
class AnswerSeen:
    """The session has its answer: it need not be kept any more."""

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
    """How one job stands, or, with no key, all of the session's after key `after`."""

    client: int
    session: str
    key: str
    after: str = ""


@dataclass(frozen=True, slots=True)
class ForgetRequested:
    """The owner wants to hear of this job no more; one that is owed an answer or runs is kept."""

    session: str
    key: str


@dataclass(frozen=True, slots=True)
class ClientDisconnected:
    client: int


# from the link to a host


@dataclass(frozen=True, slots=True)
class LaunchesSent:
    """Frames of these launches are about to be written: from here on they may reach the host."""

    host: str
    link: int
    numbers: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class LaunchesUnsent:
    """Launches that the link kept back: they were called off in time, or too many waited."""

    host: str
    numbers: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class LaunchesCancelled:
    """The words that give these launches up have been written, or what they left on is closed: none is out any more."""

    host: str
    numbers: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class LinkUp:
    host: str
    link: int
    boot: int
    age: float = 0.0  # seconds since that boot
    held: tuple[HeldLaunch, ...] = ()
    forgot: bool = False


@dataclass(frozen=True, slots=True)
class LinkDown:
    """The link has ended, or was never made (link 0); `unsent` launches never began to leave."""

    host: str
    link: int
    unsent: tuple[int, ...] = ()
    reason: str = ""


@dataclass(frozen=True, slots=True)
class Fenced:
    """A host has met a later life of this controller."""

    host: str
    reason: str


@dataclass(frozen=True, slots=True)
class Accepted:
    """`host_reply`: what the host gave with its yes, for the owner, carried as it is. `cancel_withdrawn`: it came before the word that
    gives the launch up, which the link has taken back."""

    host: str
    launch: LaunchId
    host_reply: str = ""
    cancel_withdrawn: bool = False


@dataclass(frozen=True, slots=True)
class Refused:
    host: str
    launch: LaunchId
    why: Reason
    detail: str = ""


@dataclass(frozen=True, slots=True)
class Started:
    host: str
    launch: LaunchId


@dataclass(frozen=True, slots=True)
class UsageReported:
    host: str
    launch: LaunchId
    cores: float
    memory: float


@dataclass(frozen=True, slots=True)
class ServiceReported:
    """Figures under 0 were not told."""

    host: str
    launch: LaunchId
    share: float
    host_memory: float


@dataclass(frozen=True, slots=True)
class LaunchEnded:
    host: str
    launch: LaunchId
    result: Result
    why: Reason
    ran: Ran | None = None


@dataclass(frozen=True, slots=True)
class MetricReported:
    """One figure of a job that stands: `what` as in the interface's `MetricReported`."""

    host: str
    launch: LaunchId
    what: str
    value: float


@dataclass(frozen=True, slots=True)
class HostLost:
    """It has died, or has been out of reach for so long that what stood there counts as lost."""

    host: str


@dataclass(frozen=True, slots=True)
class ProbeReported:
    host: str
    number: int
    figures: dict[str, float] = field(default_factory=dict)
