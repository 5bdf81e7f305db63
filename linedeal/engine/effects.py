"""Effects: what the engine wants done, in order."""

from dataclasses import dataclass
from enum import Enum

from linedeal.engine.control import Fault, OrderKind
from linedeal.engine.events import LaunchId, ListedHost, Ran
from linedeal.engine.ledger import Stage
from linedeal.interface import Job, Result


class Verdict(Enum):
    """The answer to a job."""

    PLACED = "placed"
    REJECTED = "rejected"
    WRITTEN_OFF = "written off"


@dataclass(frozen=True, slots=True)
class AddHost:
    """The host is listed, or its entry has changed: from now on a link to it may be requested."""

    host: ListedHost


@dataclass(frozen=True, slots=True)
class RemoveHost:
    """The host is gone and has none of this controller's launches: its link ends."""

    host: str


@dataclass(frozen=True, slots=True)
class OpenLink:
    """Open the link now, to learn what the host holds."""

    host: str


@dataclass(frozen=True, slots=True)
class SendLaunch:
    """Send a launch to its host. Times are seconds on the engine's clock."""

    host: str
    number: int
    job: Job
    due: float  # when it is cancelled if there is no answer
    boot: int  # of the host, as known when the launch was decided on
    persist: bool = False  # to be on disk before its first byte is sent
    work: bytes = b""
    send_by: float = float("inf")  # its first byte is sent before then, or not at all


@dataclass(frozen=True, slots=True)
class RecordNotRun:
    """Record that this launch is known not to have run."""

    launch: LaunchId


@dataclass(frozen=True, slots=True)
class DeleteRecord:
    """Delete the job's record: no answer is owed, and no request for the job will follow."""

    job: str


@dataclass(frozen=True, slots=True)
class WithholdLaunch:
    """Do not send the launch, if no byte of it has been written; the link then reports `LaunchesUnsent`."""

    host: str
    number: int


@dataclass(frozen=True, slots=True)
class SendStop:
    """Send the host an order to cancel or end a launch."""

    host: str
    launch: LaunchId


@dataclass(frozen=True, slots=True)
class SendEndSeen:
    """Acknowledge the end of a launch; the host need not report it again."""

    host: str
    launch: LaunchId


@dataclass(frozen=True, slots=True)
class SendProbe:
    """Request a report from the host."""

    host: str
    number: int


@dataclass(frozen=True, slots=True)
class AcceptJob:
    """The job is accepted: from now on one answer is owed for it."""

    client: int
    key: str
    job: str
    session: str = ""
    record: Job | None = None  # to be on disk before the client is notified, where a session owns the job
    expires_in: float = 0.0  # seconds, from its release or start time where there is one
    work: bytes = b""
    follow: bool = False
    held: bool = False
    start_in: float = 0.0  # seconds
    guarantee: str = ""  # the effect guarantee of its offering


@dataclass(frozen=True, slots=True)
class DeclineJob:
    """The job is not accepted; no answer is owed."""

    client: int
    key: str
    reason: str
    retry_after: float  # seconds; 0: a retry would not help


@dataclass(frozen=True, slots=True)
class Answer:
    """Send the job's answer to its client."""

    client: int
    key: str
    job: str
    verdict: Verdict
    host: str = ""
    persist: bool = False  # to be on disk before the client is notified
    launch: LaunchId | None = None
    reason: str = ""
    host_reply: str = ""  # what the host sent with its acceptance


@dataclass(frozen=True, slots=True)
class Adopt:
    """The job runs at the host already; what is reported of it there belongs to this launch."""

    client: int
    key: str
    job: str
    host: str
    number: int
    work: bytes


@dataclass(frozen=True, slots=True)
class NotifyEnded:
    """Notify the owner that its running job has ended."""

    job: str
    host: str
    number: int
    result: Result


@dataclass(frozen=True, slots=True)
class RecordHold:
    """Record that the job is held or released, with the seconds that remain to wait for a host after a
    release.
    """

    job: str
    held: bool
    remaining: float
    start_in: float


@dataclass(frozen=True, slots=True)
class RecordProgress:
    """Record the progress of a placed job; `stage` is the name of a ledger.Stage."""

    job: str
    stage: str
    reason: str
    ran: Ran | None
    over: bool = False
    ending: bool = False


@dataclass(frozen=True, slots=True)
class JobStatus:
    """Send a client the state of a job. Times are seconds ago, below 0 for what has not happened."""

    client: int
    key: str
    job: Job
    work: bytes
    stage: Stage
    host: str
    reason: str
    ran: Ran | None
    taken_ago: float
    placed_ago: float
    ended_ago: float
    ending: bool


@dataclass(frozen=True, slots=True)
class StatusPageEnd:
    """The requested page of job states is complete; `more`: the session has further jobs."""

    client: int
    more: bool


@dataclass(frozen=True, slots=True)
class Reply:
    """Reply to an order, or to a status request for an unknown job (`kind` is None)."""

    client: int
    key: str
    kind: OrderKind | None
    fault: Fault
    reason: str = ""


@dataclass(frozen=True, slots=True)
class Watch:
    """Subscribe to changes of the host list at discovery."""


@dataclass(frozen=True, slots=True)
class LogMessage:
    """One log line: `event` is a fixed phrase, `fields` its keys and values."""

    level: str
    event: str
    fields: tuple[tuple[str, object], ...] = ()


@dataclass(frozen=True, slots=True)
class Halt:
    """This incarnation must end: hosts no longer accept anything from it."""

    reason: str
