"""What the council keeps and what its members say to each other.

Terms as in Lamport's "Paxos made simple" and Rystsov's "CASPaxos: Replicated State Machines without logs": ballot,
promise, accept, quorum. An epoch is the time of one roster.
"""

from dataclasses import dataclass
from enum import Enum

RECENT = 32  # versions of a register whose change is remembered by its id
MOST_KEYS = 64  # registers a council holds; all of them together fit into one frame
MOST_BODY = 8192  # bytes of one register's value
ROSTER_KEY = "council/roster"  # the register that says which roster comes next


class InvalidRequestError(Exception):
    """One plain line: what was asked of the council cannot be."""


@dataclass(frozen=True, slots=True, order=True)
class Ballot:
    """Ordered by epoch first. `start` is drawn anew at each start of a process, so no two proposals share a ballot."""

    epoch: int = 0
    round: int = 0
    member: str = ""
    start: int = 0


ZERO = Ballot()


@dataclass(frozen=True, slots=True)
class Value:
    """A register's value; version 0 is that of a register nobody wrote yet."""

    version: int = 0
    body: bytes = b""
    changes: tuple[str, ...] = ()  # ids of the changes that made the last versions, newest last


ABSENT = Value()


@dataclass(frozen=True, slots=True)
class Slot:
    """How one member stands to one register."""

    promised: Ballot = ZERO
    accepted: Ballot = ZERO
    value: Value = ABSENT


EMPTY = Slot()


@dataclass(frozen=True, slots=True, order=True)
class Identity:
    """A member is its name and the incarnation drawn when its directory was made; a lost directory is another one."""

    name: str
    incarnation: int


@dataclass(frozen=True, slots=True)
class Roster:
    epoch: int
    members: tuple[Identity, ...]  # sorted

    @property
    def majority(self) -> int:
        return len(self.members) // 2 + 1

    def names(self) -> list[str]:
        return [member.name for member in self.members]


@dataclass(frozen=True, slots=True)
class ReplicaVersion:
    """Which life of which directory says something. Counted up durably, so that an older copy shows."""

    name: str
    incarnation: int
    life: int
    start: int  # drawn at the start of the process
    born: int  # writes of this directory before this life
    writes: int  # and by now


# what is asked of the council


@dataclass(frozen=True, slots=True)
class Change:
    """Make `body` the register's value if its version is `expect` still. `id` is the asker's, never used twice."""

    id: str
    expect: int
    body: bytes


@dataclass(frozen=True, slots=True)
class Request:
    number: int  # the asker's, named in the answer
    client: str
    key: str
    change: Change | None  # None: read
    deadline: float  # this member's clock, seconds


class Outcome(Enum):
    READ = "the register's value"
    DONE = "the change was made"
    CONFLICT = "the register has another version"
    UNKNOWN = "no majority answered in time; a change may or may not have been made"
    BUSY = "as much waits already as may wait"
    UNREADY = "this member may not vote yet, or no more"


@dataclass(frozen=True, slots=True)
class Response:
    request: Request
    outcome: Outcome
    value: Value = ABSENT


# what members say; `round` numbers one try of one proposer's life


@dataclass(frozen=True, slots=True)
class Look:
    round: int
    key: str


@dataclass(frozen=True, slots=True)
class Looked:
    round: int
    accepted: Ballot
    value: Value


@dataclass(frozen=True, slots=True)
class Prepare:
    round: int
    key: str
    ballot: Ballot


@dataclass(frozen=True, slots=True)
class Promised:
    round: int
    accepted: Ballot
    value: Value


@dataclass(frozen=True, slots=True)
class Accept:
    round: int
    key: str
    ballot: Ballot
    value: Value


@dataclass(frozen=True, slots=True)
class Accepted:
    round: int


@dataclass(frozen=True, slots=True)
class Outbid:
    """A higher ballot was promised."""

    round: int
    promised: Ballot


@dataclass(frozen=True, slots=True)
class Seal:
    """Vote no more in the epoch before this roster's, and say all you accepted."""

    roster: Roster


@dataclass(frozen=True, slots=True)
class Sealed:
    epoch: int  # that comes
    state: tuple[tuple[str, Ballot, Value], ...]


@dataclass(frozen=True, slots=True)
class Install:
    """Begin this roster's epoch with this state."""

    roster: Roster
    state: tuple[tuple[str, Ballot, Value], ...]


@dataclass(frozen=True, slots=True)
class Installed:
    epoch: int


@dataclass(frozen=True, slots=True)
class Pulse:
    """I am here, in this life."""

    reply: int = 0  # the start of the life it answers, which is known durably now; 0: answers none


@dataclass(frozen=True, slots=True)
class Older:
    """What was last seen of your directory is newer than what you say of it."""

    seen: ReplicaVersion


@dataclass(frozen=True, slots=True)
class Elsewhere:
    """You are not of this roster, which is the newest known here."""

    roster: Roster


@dataclass(frozen=True, slots=True)
class Found:
    """Shall these be the first members?"""

    roster: Roster


@dataclass(frozen=True, slots=True)
class Agreed:
    roster: Roster


@dataclass(frozen=True, slots=True)
class Packet:
    cluster: str
    sender: ReplicaVersion
    epoch: int  # of the sender; 0: it belongs to no council yet
    message: object


# what a member wants done, in this order: nothing behind a Persist is carried out before it is on disk


@dataclass(frozen=True, slots=True)
class Persist:
    records: tuple[tuple[str, object], ...]  # name, value; a name kept before is replaced


@dataclass(frozen=True, slots=True)
class Send:
    to: str
    packet: Packet


@dataclass(frozen=True, slots=True)
class Retire:
    """This directory may vote no more, for this reason; the operator replaces the member."""

    reason: str


@dataclass(frozen=True, slots=True)
class MemberOptions:
    """Seconds, and bounds of what waits."""

    pulse: float = 1.0  # between two pulses to a peer
    again: float = 0.4  # without a majority's replies until the next try
    backoff: float = 0.05  # after being outbid, doubled each time and spread
    most_waiting: int = 1024  # asks that wait at a member
    most_of_client: int = 32
