"""What goes into the decision module and what comes out of it, free of any wire.

Times are float seconds on one clock, ids stay as given. A daemon makes a `policy.Controller` from `Settings`,
feeds it events in order and carries out the actions that each call returns.
"""

from dataclasses import dataclass, field
from enum import Enum


class Effect(Enum):
    REDOABLE = "may run again"
    LABELLED = "carries a mark by which repeats are known"
    IRREVERSIBLE = "must never run twice"


class TopologyLevel(Enum):
    """What a spread, or the group that knows a labelled job's repeats, is counted over."""

    NONE = "nothing"
    HOST = "one host"
    CELL = "one group of hosts"
    ZONE = "one location"
    ALL = "all hosts"


class Mode(Enum):
    SERVING = "takes jobs"
    DRAINING = "finishes its work"
    GONE = "removed"


class Result(Enum):
    """How a launch ended."""

    DONE = "the job ran to its end"
    TURNED_AWAY = "never ran: the host refused it or handed it back"
    UNREACHABLE = "never ran: no connection"
    UNSENT = "never ran: it was not sent"
    SILENT = "no answer in time"
    CUT = "the answer or the running job was lost"
    ERROR = "the host failed"
    STOPPED = "called off"


class Reason(Enum):
    """What the host said of a result."""

    UNTOLD = "nothing"
    CORES = "no cores"
    MEMORY = "no memory"
    QUEUE = "too many offers wait"
    NOT_HERE = "wrong host, or a copy stands"
    EVICTED = "memory ran out"
    PUSHED_OUT = "made way for another"
    SENT_AWAY = "the host drains"


@dataclass(frozen=True, slots=True)
class Offering:
    name: str
    expiry: float
    value: float
    effect: Effect
    dedup_level: TopologyLevel
    dedup_window: float
    kind: str | None
    degradation_start: float
    degradation_span: float
    spread_level: TopologyLevel
    max_per_domain: int


@dataclass(frozen=True, slots=True)
class HostKind:
    cores: float
    memory: float


@dataclass(frozen=True, slots=True)
class Settings:
    controllers: int
    offerings: dict[str, Offering]
    kinds: dict[str, HostKind]
    quotas: dict[str, float]
    accepts_cores: float
    accepts_memory: float
    starts_confirmed: bool
    host_price: float
    must_subscribe: bool
    subscription_timeout: float
    may_probe: bool
    max_launches: int
    slow_start_duration: float
    slow_start_limit: float
    slow_start_window: float


@dataclass(slots=True)
class Job:
    id: str
    offering: str
    customer: str
    service: str
    cores: float
    memory: float
    expiry: float


@dataclass(frozen=True, slots=True)
class HostEntry:
    id: str
    kind: str
    zone: str
    cell: int
    mode: Mode
    booted: float
    free_cores: float | None
    free_memory: float | None


# Events


@dataclass(frozen=True, slots=True)
class HostsListed:
    hosts: tuple[HostEntry, ...]
    whole: bool
    remembered: bool = False


@dataclass(frozen=True, slots=True)
class ListLost:
    pass


@dataclass(frozen=True, slots=True)
class JobArrived:
    """`uncertain_launch`: the host and time of an earlier launch, unknown to the module, that may have run."""

    job: Job
    uncertain_launch: tuple[str, float] | None = None


@dataclass(frozen=True, slots=True)
class JobFound:
    """A job that runs already and is this controller's from now on."""

    job: Job
    host: str


@dataclass(frozen=True, slots=True)
class LaunchConfirmed:
    job: str
    launch: int
    host: str


@dataclass(frozen=True, slots=True)
class MetricReported:
    """`what` is started, cores, memory, served or host_memory."""

    job: str
    host: str
    metric: str
    value: float


@dataclass(frozen=True, slots=True)
class LaunchEnded:
    job: str
    launch: int
    host: str
    result: Result
    reason: Reason
    closed: bool


@dataclass(frozen=True, slots=True)
class JobWithdrawn:
    job: str


@dataclass(frozen=True, slots=True)
class TimerFired:
    key: str


@dataclass(frozen=True, slots=True)
class HostProbed:
    host: str
    answered: bool
    report: dict[str, float] = field(default_factory=dict)


# Actions


@dataclass(frozen=True, slots=True)
class Launch:
    job: str
    host: str
    timeout: float
    send_within: float = float("inf")  # seconds within which it has to leave, or must not leave any more


@dataclass(frozen=True, slots=True)
class Reject:
    job: str


@dataclass(frozen=True, slots=True)
class WriteOff:
    job: str


@dataclass(frozen=True, slots=True)
class Timer:
    delay: float
    key: str


@dataclass(frozen=True, slots=True)
class Probe:
    host: str


@dataclass(frozen=True, slots=True)
class Subscribe:
    pass


@dataclass(frozen=True, slots=True)
class Log:
    text: str
