"""The delivery of the end of each running job to its owner: a state machine, free of I/O.

A running job belongs to no connection, so neither does its end. From the moment the job runs, or is handed
over, until its owner has been told of its end or needs not be, it has one `EndDelivery`. `TRANSITIONS` says
what happens to it; any other pair of state and event changes nothing. The message goes to the connection that
placed the job or handed it over. If that has closed, it goes to one that has shown to be an owner's, as
`recipients.py` has it, and waits while there is none.

The platform acknowledges no message. One that was written whole counts as delivered; one whose connection was
lost while it was being written may have arrived, and is not repeated: the id may have a new job by then.
Times are seconds on the clock of the caller.
"""

from collections import Counter, OrderedDict
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from enum import Enum

from linedeal.platform.recipients import Recipients

MAX_OWED = 4096  # ends that wait for a connection
MAX_DELIVERY_TIME = 1.0  # seconds from the end of a job until its owner has to be told


class State(Enum):
    """Where the end of a job is; the last four are final."""

    RUNNING = "the job runs"
    RELEASED = "the job runs, but its owner has ended it and is told no more"
    OWED = "the job has ended, and no connection carries the message yet"
    QUEUED = "the message waits on a connection"
    WRITING = "the message is being written"
    DELIVERED = "the message has been written"
    NOT_OWED = "the job has ended, as its owner wanted"
    CUT = "the connection was lost while the message was being written, which may have arrived"
    DROPPED = "too many ends waited for a connection"


class Event(Enum):
    """What happens to a job, or to the connection that carries its end."""

    OWNER_RELEASE = "its owner ends the job"
    HOST_END = "the job has ended"
    ASSIGNED = "an open connection was chosen for the message"
    WRITE_BEGAN = "the connection begins to write what waits on it"
    WRITTEN = "the connection has written that"
    CONNECTION_CLOSED = "the connection has closed"
    CROWDED_OUT = "there is no room for as many ends that wait"


FINAL = frozenset((State.DELIVERED, State.NOT_OWED, State.CUT, State.DROPPED))
TRANSITIONS = {
    (State.RUNNING, Event.OWNER_RELEASE): State.RELEASED,
    (State.RUNNING, Event.HOST_END): State.OWED,
    (State.RELEASED, Event.HOST_END): State.NOT_OWED,
    (State.OWED, Event.ASSIGNED): State.QUEUED,
    (State.OWED, Event.CROWDED_OUT): State.DROPPED,
    (State.QUEUED, Event.WRITE_BEGAN): State.WRITING,
    (State.QUEUED, Event.CONNECTION_CLOSED): State.OWED,
    (State.WRITING, Event.WRITTEN): State.DELIVERED,
    (State.WRITING, Event.CONNECTION_CLOSED): State.CUT,
}


@dataclass(slots=True, eq=False)
class EndDelivery:
    """The end of one job. `connection`: that of the job, and later the one that carries the message."""

    task: str
    connection: int
    state: State = State.RUNNING
    message: bytes = b""
    ended_at: float = 0.0

    def apply(self, event: Event) -> None:
        """Takes the transition of an event, if the state has one."""
        self.state = TRANSITIONS.get((self.state, event), self.state)


class EndDeliveries:
    """The ends of all running jobs, and those that are not delivered yet."""

    def __init__(self, recipients: Recipients, clock: Callable[[], float], max_owed: int = MAX_OWED):
        """`recipients` is told what becomes of the jobs of each connection; `clock` returns seconds."""
        self.recipients, self.clock, self.max_owed = recipients, clock, max_owed
        self.running: dict[str, EndDelivery] = {}  # by task; also those that their owners have ended
        self.owed: OrderedDict[EndDelivery, None] = OrderedDict()  # the oldest first
        self.carried: dict[int, list[EndDelivery]] = {}  # by connection: queued there, or being written
        self.counts: Counter[State] = Counter()  # of the final states
        self.late = 0  # deliveries after MAX_DELIVERY_TIME
        self.told_elsewhere = 0  # ends that were queued on another connection than their job's

    # -- the job

    def begin(self, task: str, connection: int) -> None:
        """Notes a job that runs, or that its owner says does."""
        self.running[task] = EndDelivery(task, connection)

    def discard(self, task: str) -> None:
        """Forgets a job that was said to run and was not adopted."""
        self.running.pop(task, None)

    def release(self, task: str) -> None:
        """Its owner ends a running job, or no longer waits for its end."""
        delivery = self.running[task]
        delivery.apply(Event.OWNER_RELEASE)
        self.recipients.on_taken_back(delivery.connection, task)

    def is_released(self, task: str) -> bool:
        """Whether the owner of a running job has ended it."""
        return task in self.running and self.running[task].state is State.RELEASED

    def end(self, task: str, message: bytes, confirmed: bool) -> EndDelivery | None:
        """A running job has ended: returns what is to be queued on its connection now, if anything.

        `confirmed`: its host says that it has run to its end.
        """
        delivery = self.running.pop(task)
        delivery.apply(Event.HOST_END)
        if delivery.state in FINAL:
            self.finish(delivery)
            return None
        delivery.message, delivery.ended_at = message, self.clock()
        self.recipients.on_ended(delivery.connection, task, confirmed)
        if self.recipients.is_open(delivery.connection):
            return self.assign_to(delivery, delivery.connection)
        self.await_connection(delivery)
        return None

    # -- the connections

    def assign(self) -> Iterator[EndDelivery]:
        """Yields the ends that wait, each as it is to be queued on the connection chosen for it."""
        while self.owed:
            connection = self.recipients.choose()
            if not connection:
                return
            while self.owed and self.recipients.is_open(connection):
                delivery, _ = self.owed.popitem(last=False)
                self.told_elsewhere += 1
                yield self.assign_to(delivery, connection)

    def assign_to(self, delivery: EndDelivery, connection: int) -> EndDelivery:
        """Notes that an open connection is to carry the message."""
        delivery.apply(Event.ASSIGNED)
        delivery.connection = connection
        self.carried.setdefault(connection, []).append(delivery)
        return delivery

    def await_connection(self, delivery: EndDelivery) -> None:
        """Keeps an end until a connection is chosen; drops the oldest if too many wait."""
        self.owed[delivery] = None
        if len(self.owed) > self.max_owed:
            oldest, _ = self.owed.popitem(last=False)
            oldest.apply(Event.CROWDED_OUT)
            self.finish(oldest)

    def on_write_began(self, connection: int) -> None:
        """A connection begins to write all that waits on it."""
        for delivery in self.carried.get(connection, ()):
            delivery.apply(Event.WRITE_BEGAN)

    def on_written(self, connection: int) -> None:
        """A connection has written what it began to write."""
        self.advance_carried(connection, Event.WRITTEN)

    def on_disconnected(self, connection: int) -> None:
        """A connection has closed: what waited on it goes to another."""
        self.advance_carried(connection, Event.CONNECTION_CLOSED)

    def advance_carried(self, connection: int, event: Event) -> None:
        """Applies an event to all ends that a connection carries, and sorts them by what they are then."""
        for delivery in self.carried.pop(connection, ()):
            delivery.apply(event)
            if delivery.state in FINAL:
                self.finish(delivery)
            elif delivery.state is State.OWED:
                self.await_connection(delivery)
            else:
                self.carried.setdefault(connection, []).append(delivery)

    def summary(self) -> dict[str, int]:
        """Counts for the log: what waits, and what did not go as it should."""
        return {
            "ends waiting": len(self.owed),
            "ends late": self.late,
            "ends cut": self.counts[State.CUT],
            "ends dropped": self.counts[State.DROPPED],
        }

    def details(self) -> dict[str, int | float]:
        """What the log has of the ends beside `summary`; `longest_wait` in seconds, of those that wait."""
        oldest = next(iter(self.owed), None)
        return {
            "running": len(self.running),
            "told": self.counts[State.DELIVERED],
            "told_elsewhere": self.told_elsewhere,
            "not_owed": self.counts[State.NOT_OWED],
            "longest_wait": round(self.clock() - oldest.ended_at, 3) if oldest else 0.0,
        }

    def finish(self, delivery: EndDelivery) -> None:
        """Counts a delivery that is over."""
        self.counts[delivery.state] += 1
        if delivery.state is State.DELIVERED and self.clock() - delivery.ended_at > MAX_DELIVERY_TIME:
            self.late += 1
