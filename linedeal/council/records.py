"""The data that council members store and the packets that they exchange.

Terms follow Lamport's "Paxos made simple" and Rystsov's "CASPaxos: Replicated State Machines without logs":
ballot, promise, accept, quorum. An epoch is the period during which one roster of members is in force.
"""

from dataclasses import dataclass
from enum import Enum

MAX_REMEMBERED_CHANGES = 32  # most recent changes of a register that can be recognized by their id
MAX_KEYS = 64  # registers in a council; all of them together fit into one frame
MAX_BODY_BYTES = 8192  # of one register's value
ROSTER_KEY = "council/roster"  # the register that holds the next roster


class InvalidRequestError(Exception):
    """A request that the council can never carry out; the message is one plain line."""


@dataclass(frozen=True, slots=True, order=True)
class Ballot:
    """A proposal number, ordered by epoch first.

    `start` is drawn at random at each start of a process, so no two proposals share a ballot.
    """

    epoch: int = 0
    round: int = 0
    member: str = ""
    start: int = 0


ZERO_BALLOT = Ballot()


@dataclass(frozen=True, slots=True)
class Value:
    """A register's value; version 0 means that the register was never written."""

    version: int = 0
    body: bytes = b""
    changes: tuple[str, ...] = ()  # ids of the changes that made the most recent versions, newest last


ABSENT_VALUE = Value()


@dataclass(frozen=True, slots=True)
class Slot:
    """One member's acceptor state for one register."""

    promised: Ballot = ZERO_BALLOT
    accepted: Ballot = ZERO_BALLOT
    value: Value = ABSENT_VALUE


EMPTY_SLOT = Slot()


@dataclass(frozen=True, slots=True, order=True)
class Identity:
    """A member: its name and a random incarnation drawn when its directory was created.

    A member that lost its directory gets a new incarnation and counts as another member.
    """

    name: str
    incarnation: int


@dataclass(frozen=True, slots=True)
class Roster:
    """The members of one epoch."""

    epoch: int
    members: tuple[Identity, ...]  # sorted

    @property
    def majority(self) -> int:
        """The size of a quorum."""
        return len(self.members) // 2 + 1

    def names(self) -> list[str]:
        """Returns the members' names in order."""
        return [member.name for member in self.members]


@dataclass(frozen=True, slots=True)
class ReplicaVersion:
    """The process that sends a packet and the version of its durable state.

    `life` and `writes` are counters that are stored durably, so an older copy of the directory can be
    recognized.
    """

    name: str
    incarnation: int
    life: int
    start: int  # drawn at random when the process starts
    born: int  # writes of this directory before this life
    writes: int  # writes of this directory up to now


# requests to the council


@dataclass(frozen=True, slots=True)
class Change:
    """A compare-and-set: makes `body` the register's value if its version is still `expect`.

    `id` is chosen by the client and must never be used twice.
    """

    id: str
    expect: int
    body: bytes


@dataclass(frozen=True, slots=True)
class Request:
    """A client's read or change of one register."""

    number: int  # chosen by the client, repeated in the response
    client: str
    key: str
    change: Change | None  # None: read
    deadline: float  # seconds, by this member's clock


class Outcome(Enum):
    """How a request ended; the member names are sent to clients."""

    READ = "the register's value"
    DONE = "the change was made"
    CONFLICT = "the register has another version"
    UNKNOWN = "no majority answered in time; a change may or may not have been made"
    BUSY = "as much waits already as may wait"
    UNREADY = "this member may not vote yet, or no more"


@dataclass(frozen=True, slots=True)
class Response:
    """The outcome of a request; `value` is the register's value where it is known."""

    request: Request
    outcome: Outcome
    value: Value = ABSENT_VALUE


# packets between members; `round` numbers one attempt of one proposer's life


@dataclass(frozen=True, slots=True)
class Look:
    """Requests an acceptor's accepted value, without a ballot: the fast path of a read."""

    round: int
    key: str


@dataclass(frozen=True, slots=True)
class Looked:
    """Reply to `Look`."""

    round: int
    accepted: Ballot
    value: Value


@dataclass(frozen=True, slots=True)
class Prepare:
    """Phase 1: requests an acceptor's promise to accept no lower ballot."""

    round: int
    key: str
    ballot: Ballot


@dataclass(frozen=True, slots=True)
class Promised:
    """Reply to `Prepare`: the promise, with the value accepted last."""

    round: int
    accepted: Ballot
    value: Value


@dataclass(frozen=True, slots=True)
class Accept:
    """Phase 2: asks an acceptor to accept a value at this ballot."""

    round: int
    key: str
    ballot: Ballot
    value: Value


@dataclass(frozen=True, slots=True)
class Accepted:
    """Reply to `Accept`: the vote."""

    round: int


@dataclass(frozen=True, slots=True)
class Outbid:
    """Rejects a `Prepare` or `Accept`: a higher ballot was promised."""

    round: int
    promised: Ballot


@dataclass(frozen=True, slots=True)
class Seal:
    """Asks a member to stop voting in the epoch before this roster's and to report everything it accepted."""

    roster: Roster


@dataclass(frozen=True, slots=True)
class Sealed:
    """Reply to `Seal`: the member's accepted values."""

    epoch: int  # the next epoch
    state: tuple[tuple[str, Ballot, Value], ...]


@dataclass(frozen=True, slots=True)
class Install:
    """Starts this roster's epoch with this state."""

    roster: Roster
    state: tuple[tuple[str, Ballot, Value], ...]


@dataclass(frozen=True, slots=True)
class Installed:
    """Reply to `Install`: the receiver is in this epoch."""

    epoch: int


@dataclass(frozen=True, slots=True)
class Pulse:
    """Heartbeat of one life of a member."""

    reply: int = 0  # the start of the life it replies to, which is now stored durably here; 0: not a reply


@dataclass(frozen=True, slots=True)
class Older:
    """Notifies a member that a newer state of its directory was seen than the one it reports."""

    seen: ReplicaVersion


@dataclass(frozen=True, slots=True)
class Elsewhere:
    """Notifies a member that it is not in this roster, the newest one known to the sender."""

    roster: Roster


@dataclass(frozen=True, slots=True)
class Found:
    """Proposes the first roster."""

    roster: Roster


@dataclass(frozen=True, slots=True)
class Agreed:
    """Reply to `Found`: agrees to the first roster."""

    roster: Roster


@dataclass(frozen=True, slots=True)
class Packet:
    """The envelope of every message between members."""

    cluster: str
    sender: ReplicaVersion
    epoch: int  # of the sender; 0: it belongs to no council yet
    message: object


# effects of a member, in order: nothing behind a Persist is carried out before that is on disk


@dataclass(frozen=True, slots=True)
class Persist:
    """Stores records durably."""

    records: tuple[tuple[str, object], ...]  # name, value; replaces an earlier record of the same name


@dataclass(frozen=True, slots=True)
class Send:
    """Sends a packet to a member, given by its name."""

    to: str
    packet: Packet


@dataclass(frozen=True, slots=True)
class Retire:
    """Reports that this directory may never vote again; the operator has to replace the member."""

    reason: str


@dataclass(frozen=True, slots=True)
class MemberOptions:
    """Intervals in seconds, and limits on waiting requests."""

    heartbeat_interval: float = 1.0  # between two heartbeats to a peer
    retry_timeout: float = 0.4  # without replies of a majority until the next attempt
    backoff: float = 0.05  # after a higher ballot was seen, doubled with each attempt and jittered
    max_waiting: int = 1024  # requests that wait at a member
    max_waiting_per_client: int = 32
