"""The interface of the decision module: its settings, events and actions, independent of any protocol.

Times are float seconds on one clock, durations are seconds, cores and memory are in the units of the hosts'
sizes, ids are passed through unchanged. A caller creates a `policy.Controller` from `Settings`, passes it
events in order and carries out the actions that each call returns.
"""

from dataclasses import dataclass, field
from enum import Enum


class Effect(Enum):
    """What a repeated run of an offering's job does."""

    REDOABLE = "may run again"
    LABELLED = "carries a mark by which repeats are known"
    IRREVERSIBLE = "must never run twice"


class TopologyLevel(Enum):
    """The hosts that form one domain: for a spread, or for recognizing repeats of a labelled job."""

    NONE = "nothing"
    HOST = "one host"
    CELL = "one group of hosts"
    ZONE = "one location"
    ALL = "all hosts"


class Mode(Enum):
    """Whether a host accepts jobs."""

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
    """The host's reason for a result."""

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
    """A class of jobs and the rules for launching them.

    `degradation_start` is the share of a host's cores up to which its jobs are served in full; service falls
    to zero over a further `degradation_span`.
    """

    name: str
    expiry: float  # seconds within which a job is owed an answer
    value: float  # of a job, for the scheduling order
    effect: Effect
    dedup_level: TopologyLevel  # domain whose hosts recognize repeats of a labelled job
    dedup_window: float  # seconds for which they do
    kind: str | None  # of the hosts that run it; None: any
    degradation_start: float
    degradation_span: float
    spread_level: TopologyLevel  # domains over which a service's jobs are spread
    max_per_domain: int  # jobs of one service in one of those domains


@dataclass(frozen=True, slots=True)
class HostKind:
    """The size of the hosts of one kind."""

    cores: float
    memory: float


@dataclass(frozen=True, slots=True)
class Settings:
    """The settings of the cluster that decisions depend on; the same for all controllers."""

    controllers: int
    offerings: dict[str, Offering]
    kinds: dict[str, HostKind]
    quotas: dict[str, float]  # cores per customer, summed over all controllers
    accepts_cores: float  # multiple of its cores up to which a host accepts requests
    accepts_memory: float  # the same for its memory
    starts_confirmed: bool  # hosts confirm a launch when the job runs, not when they accept it
    host_price: float  # over 0: each host in use costs, so jobs are packed onto fewer hosts
    must_subscribe: bool  # host lists are sent only after `Subscribe`
    # seconds after which a controller without a subscription counts as notified of what the host list says;
    # the deadlines of the rules, such as the drain grace, start then
    subscription_timeout: float
    may_probe: bool
    max_launches: int  # of one job
    slow_start_duration: float  # seconds after its start during which a host tolerates few launches
    slow_start_limit: float  # launches that it tolerates in one window, from all controllers
    slow_start_window: float  # seconds


@dataclass(slots=True)
class Job:
    """A job as submitted; `expiry` is the time by which it is owed an answer."""

    id: str
    offering: str
    customer: str
    service: str
    cores: float
    memory: float
    expiry: float


@dataclass(frozen=True, slots=True)
class HostEntry:
    """A host as listed by discovery. Free is what no job has requested; None: not known."""

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
    """A list of hosts has arrived.

    `whole`: hosts that it does not name are gone. `remembered`: it is not a fresh list but a cached one.
    """

    hosts: tuple[HostEntry, ...]
    whole: bool
    remembered: bool = False


@dataclass(frozen=True, slots=True)
class ListLost:
    """A subscription has failed or ended."""


@dataclass(frozen=True, slots=True)
class JobArrived:
    """A job to launch.

    `uncertain_launch`: host and time of an earlier launch, not known to the module, that may have run.
    """

    job: Job
    uncertain_launch: tuple[str, float] | None = None


@dataclass(frozen=True, slots=True)
class JobFound:
    """A job that already runs and belongs to this controller from now on."""

    job: Job
    host: str


@dataclass(frozen=True, slots=True)
class LaunchConfirmed:
    """The host has accepted the launch or, with `starts_confirmed`, started the job."""

    job: str
    launch: int
    host: str


@dataclass(frozen=True, slots=True)
class MetricReported:
    """A host's figure for a running job; `metric` is started, cores, memory, served or host_memory."""

    job: str
    host: str
    metric: str
    value: float


@dataclass(frozen=True, slots=True)
class LaunchEnded:
    """A launch has its outcome; `closed`: the job is no longer owed an answer."""

    job: str
    launch: int
    host: str
    result: Result
    reason: Reason
    closed: bool


@dataclass(frozen=True, slots=True)
class JobWithdrawn:
    """The owner has withdrawn the job; it is no longer owed an answer."""

    job: str


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A `Timer` is due."""

    key: str


@dataclass(frozen=True, slots=True)
class HostProbed:
    """The outcome of a `Probe`; `report` has the host's figures by name, empty if it did not answer."""

    host: str
    answered: bool
    report: dict[str, float] = field(default_factory=dict)


# Actions


@dataclass(frozen=True, slots=True)
class Launch:
    """Send the job to the host, and cancel the launch if it is not confirmed within `timeout` seconds."""

    job: str
    host: str
    timeout: float
    send_within: float = float("inf")  # seconds after which it must no longer be sent


@dataclass(frozen=True, slots=True)
class Reject:
    """Answer the job as rejected: it did not run, or may run again."""

    job: str


@dataclass(frozen=True, slots=True)
class WriteOff:
    """Answer the job as written off: it may have run and must not be launched again."""

    job: str


@dataclass(frozen=True, slots=True)
class Timer:
    """Send a `TimerFired` with `key` after `delay` seconds."""

    delay: float
    key: str


@dataclass(frozen=True, slots=True)
class Probe:
    """Request a host's figures."""

    host: str


@dataclass(frozen=True, slots=True)
class Subscribe:
    """Request the host list, and its changes from then on."""


@dataclass(frozen=True, slots=True)
class Log:
    """Write a line for the operator."""

    text: str
