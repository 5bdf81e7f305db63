"""What the engine wants done, in order."""

from dataclasses import dataclass
from enum import Enum

from linedeal.engine.control import Fault, OrderKind
from linedeal.engine.events import LaunchId, ListedHost, Ran
from linedeal.engine.ledger import Stage
from linedeal.interface import Job, Result


class Verdict(Enum):
    PLACED = "placed"
    REJECTED = "rejected"
    WRITTEN_OFF = "written off"


@dataclass(frozen=True, slots=True)
class AddHost:
    """The host is listed: a link to it may be asked for from now on."""

    host: ListedHost


@dataclass(frozen=True, slots=True)
class RemoveHost:
    """It is gone and holds nothing of ours: its link ends."""

    host: str


@dataclass(frozen=True, slots=True)
class OpenLink:
    """Make the link now, to learn what the host holds."""

    host: str


@dataclass(frozen=True, slots=True)
class SendLaunch:
    host: str
    number: int
    job: Job
    due: float  # when it is given up
    boot: int  # of the host, as it was known when this was decided
    persist: bool = False  # to be on disk before its first byte leaves
    work: bytes = b""
    send_by: float = float("inf")  # its first byte leaves before then, or it does not leave


@dataclass(frozen=True, slots=True)
class RecordNotRun:
    """This launch is known not to have run."""

    launch: LaunchId


@dataclass(frozen=True, slots=True)
class DeleteRecord:
    """Nothing is owed for the job and nobody will ask for it again."""

    job: str


@dataclass(frozen=True, slots=True)
class WithholdLaunch:
    """Keep the launch back if its frame has not begun to leave; the link then tells `LaunchesUnsent`."""

    host: str
    number: int


@dataclass(frozen=True, slots=True)
class SendStop:
    host: str
    launch: LaunchId


@dataclass(frozen=True, slots=True)
class SendEndSeen:
    host: str
    launch: LaunchId


@dataclass(frozen=True, slots=True)
class SendProbe:
    host: str
    number: int


@dataclass(frozen=True, slots=True)
class AcceptJob:
    """The job is taken: from here it is owed one answer."""

    client: int
    key: str
    job: str
    session: str = ""
    record: Job | None = None  # to be on disk before the client is told, where a session owns it
    expires_in: float = 0.0  # seconds, from its release or start time where there is one
    work: bytes = b""
    follow: bool = False
    held: bool = False
    start_in: float = 0.0
    guarantee: str = ""  # what its offering says of repeats


@dataclass(frozen=True, slots=True)
class DeclineJob:
    """It is not taken; nothing is owed."""

    client: int
    key: str
    reason: str
    retry_after: float


@dataclass(frozen=True, slots=True)
class Answer:
    client: int
    key: str
    job: str
    verdict: Verdict
    host: str = ""
    persist: bool = False  # to be on disk before the client is told
    launch: LaunchId | None = None
    reason: str = ""
    host_reply: str = ""  # what the host gave with its yes


@dataclass(frozen=True, slots=True)
class Adopt:
    """The job stands at the host already; what is heard of it there is of this launch."""

    client: int
    key: str
    job: str
    host: str
    number: int
    work: bytes


@dataclass(frozen=True, slots=True)
class NotifyEnded:
    """What stood is over, which its owner is to hear."""

    job: str
    host: str
    number: int
    result: Result


@dataclass(frozen=True, slots=True)
class RecordHold:
    """Held by its owner, with `left` seconds to wait for a host once released; or released, with those."""

    job: str
    held: bool
    remaining: float
    start_in: float


@dataclass(frozen=True, slots=True)
class RecordProgress:
    """How far a placed job is; `stage` is the name of a ledger.Stage."""

    job: str
    stage: str
    reason: str
    ran: Ran | None
    over: bool = False
    ending: bool = False


@dataclass(frozen=True, slots=True)
class JobStatus:
    """For a client: how a job stands. Times are seconds ago, under 0 where that has not been."""

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
    client: int
    more: bool


@dataclass(frozen=True, slots=True)
class Reply:
    """To an order, or to a question for a job that is not there (kind None)."""

    client: int
    key: str
    kind: OrderKind | None
    fault: Fault
    reason: str = ""


@dataclass(frozen=True, slots=True)
class Watch:
    """Ask discovery to be told of changes."""


@dataclass(frozen=True, slots=True)
class LogMessage:
    """One line for the log: `event` is a fixed phrase, `fields` its keys."""

    level: str
    event: str
    fields: tuple[tuple[str, object], ...] = ()


@dataclass(frozen=True, slots=True)
class Halt:
    """This life must end: nothing it sends would count any more."""

    reason: str
