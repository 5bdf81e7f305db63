"""Which connection is told of the end of a job whose own connection has closed.

A running job belongs to no connection, and the protocol does not say which connections belong to one owner.
Clients of which nothing is known connect as well, and do not pass on what they are told of others' jobs. What
a connection has done is the evidence:

- A job that was placed on it and still runs, or has run to its end, shows an owner that waits for that end.
  The evidence grows with the time for which the owner has let the job run.
- A job that was placed on it and taken back shows nothing: a client may take back all that it requests.
- A job that it has handed over shows only that an owner may be there until the job's host confirms it, since
  the name of the job may be made up.
- A set-up of a job to be placed, or a test, shows no more: the set-ups of owners wait and are refused for
  seconds where the fleet is full, and so are those of clients that are none.

Free of I/O; times are seconds on the clock of the caller.
"""

import math
from collections.abc import Callable
from dataclasses import dataclass, field

# A job has to run for this long to be evidence. Leaves time within the second in which an end has to be told.
MIN_KEPT_TIME = 0.6
FULL_EVIDENCE_TIME = 3.0  # beyond it, the evidence does not grow
NO_EVIDENCE = -math.inf


@dataclass(slots=True)
class ConnectionHistory:
    """What one connection has done."""

    placed: dict[str, float] = field(default_factory=dict)  # when each running job was placed, oldest first
    handed_over: set[str] = field(default_factory=set)  # running jobs that it has handed over
    has_kept_job: bool = False  # a job has run until its host ended it
    was_refused: bool = False  # a set-up was refused, or written off
    has_sent_valid: bool = False  # a message that the protocol allows, and not about a running job

    @property
    def may_be_owner(self) -> bool:
        """Whether an owner may be at the other end, as far as can be told."""
        return bool(self.has_sent_valid or self.handed_over or self.has_kept_job)

    @property
    def was_answered(self) -> bool:
        """Whether a set-up was placed or refused, or a job handed over, and not taken back."""
        return bool(self.has_kept_job or self.was_refused or self.placed or self.handed_over)

    def evidence(self, now: float) -> float:
        """The evidence that an owner is at the other end: seconds up to FULL_EVIDENCE_TIME."""
        if self.has_kept_job:
            return FULL_EVIDENCE_TIME
        kept_for = now - next(iter(self.placed.values()), math.inf)
        if kept_for >= MIN_KEPT_TIME:
            return min(kept_for, FULL_EVIDENCE_TIME)
        return NO_EVIDENCE


class Recipients:
    """The history of each open connection, and the choice of one to be told of the end of a job."""

    def __init__(self, clock: Callable[[], float]):
        """`clock`: returns the time in seconds."""
        self.clock = clock
        self.histories: dict[int, ConnectionHistory] = {}  # of open connections, the newest last

    def on_connected(self, connection: int) -> None:
        """Begins the history of a connection."""
        self.histories[connection] = ConnectionHistory()

    def on_valid_message(self, connection: int) -> None:
        """Notes a message that the protocol allows, and that is not about a running job."""
        if connection in self.histories:
            self.histories[connection].has_sent_valid = True

    def on_disconnected(self, connection: int) -> None:
        """Drops the history of a connection."""
        self.histories.pop(connection, None)

    def is_open(self, connection: int) -> bool:
        """Whether a connection is open."""
        return connection in self.histories

    def on_placed(self, connection: int, task: str) -> None:
        """Notes that a host has accepted a job, and that its owner is told so."""
        if connection in self.histories:
            self.histories[connection].placed[task] = self.clock()

    def on_handed_over(self, connection: int, task: str) -> None:
        """Notes that a connection has handed over a job."""
        if connection in self.histories:
            self.histories[connection].handed_over.add(task)

    def on_refused(self, connection: int) -> None:
        """Notes that a set-up was refused or written off."""
        if connection in self.histories:
            self.histories[connection].was_refused = True

    def on_ended(self, connection: int, task: str, confirmed: bool) -> None:
        """Notes that a job has ended without its owner's doing. `confirmed`: its host says so."""
        history = self.histories.get(connection)
        if history is not None and (history.placed.pop(task, None) is not None or confirmed):
            history.has_kept_job = True
        self.on_taken_back(connection, task)

    def on_taken_back(self, connection: int, task: str) -> None:
        """Notes that a job's owner has ended it."""
        history = self.histories.get(connection)
        if history is not None:
            history.placed.pop(task, None)
            history.handed_over.discard(task)

    def is_owner(self, connection: int) -> bool:
        """Whether a connection has a job that runs, or had one that ran until its host ended it."""
        history = self.histories.get(connection)
        return history is not None and bool(history.placed or history.handed_over or history.has_kept_job)

    def may_be_owner(self, connection: int) -> bool:
        """Whether an owner may be at the other end of a connection."""
        history = self.histories.get(connection)
        return history is not None and history.may_be_owner

    def was_answered(self, connection: int) -> bool:
        """Whether set-ups of a connection have been placed or refused, or jobs handed over."""
        history = self.histories.get(connection)
        return history is not None and history.was_answered

    def possible(self) -> list[int]:
        """The connections that may be owners', the newest first."""
        newest_first = reversed(self.histories.items())
        return [connection for connection, history in newest_first if history.may_be_owner]

    def running_jobs(self, connection: int) -> int:
        """How many jobs run that a connection has placed or handed over."""
        history = self.histories.get(connection)
        return len(history.placed) + len(history.handed_over) if history is not None else 0

    def choose(self) -> int:
        """The connection with the most evidence, the newest of several; 0 if none has any."""
        now = self.clock()
        best, most = 0, NO_EVIDENCE
        for connection, history in self.histories.items():
            evidence = history.evidence(now)
            if evidence >= most and evidence > NO_EVIDENCE:
                best, most = connection, evidence
        return best
