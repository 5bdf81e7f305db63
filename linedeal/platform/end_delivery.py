"""The delivery of the end of each running job to its owner: a state machine, free of I/O.

A running job belongs to no connection, so neither does its end. From the moment the job runs, or is handed
over, until its owner has been told of its end or needs not be, it has one `EndDelivery`. `TRANSITIONS` says
what happens to it; any other pair of state and event changes nothing. The message goes to the connection that
placed the job or handed it over. If that has closed, it goes to one that has shown to be an owner's, as
`recipients.py` has it. While there is none, it is offered after `OFFER_DELAY` to all that may be owners',
also to those that come later, until one has shown to be an owner's or `OFFER_TIME` is over: an owner passes
over a message about a task that it does not have or that is over, since its own end of it may have crossed.

The platform acknowledges no message. One that was written whole counts as delivered if its connection stays
open for `CROSSING_TIME` after that: an owner that closes it sooner may have done so before the message
arrived, and is told again on another. No harm is done if it had arrived: each set-up has a new id. Times are
seconds on the clock of the caller.
"""

import math
from collections import Counter, OrderedDict, deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from enum import Enum
from itertools import islice

from linedeal.platform.recipients import Recipients

MAX_OWED = 4096  # ends that wait for a connection
MAX_DELIVERY_TIME = 1.0  # seconds from the end of a job until its owner has to be told
CROSSING_TIME = 0.25  # seconds in which a close and a message may cross, with a loop that is late
OFFER_DELAY = 0.4  # seconds from the end of a job until connections are told that only may be its owner's
MAX_OFFERS = 4096  # messages in one pass; each has some 60 bytes
OFFER_TIME = 8.0  # seconds from the end of a job for which it is offered to connections that come


class State(Enum):
    """Where the end of a job is; the last three are final."""

    RUNNING = "the job runs"
    RELEASED = "the job runs, but its owner has ended it and is told no more"
    OWED = "the job has ended, and no connection carries the message yet"
    QUEUED = "the message waits on a connection"
    WRITING = "the message is being written"
    SENT = "the message has been written, and may cross a close of its connection"
    DELIVERED = "the message has been written"
    NOT_OWED = "the job has ended, as its owner wanted"
    DROPPED = "too many ends waited for a connection"


class Event(Enum):
    """What happens to a job, or to the connection that carries its end."""

    OWNER_RELEASE = "its owner ends the job"
    HOST_END = "the job has ended"
    ASSIGNED = "an open connection was chosen for the message"
    WRITE_BEGAN = "the connection begins to write what waits on it"
    WRITTEN = "the connection has written that"
    CONNECTION_CLOSED = "the connection has closed"
    NOT_CROSSED = "the connection has stayed open since"
    OFFERS_DONE = "those that may be its owner were told, and one has shown to be an owner, or time is up"
    CROWDED_OUT = "there is no room for as many ends that wait"


FINAL = frozenset((State.DELIVERED, State.NOT_OWED, State.DROPPED))
TRANSITIONS = {
    (State.RUNNING, Event.OWNER_RELEASE): State.RELEASED,
    (State.RUNNING, Event.HOST_END): State.OWED,
    (State.RELEASED, Event.HOST_END): State.NOT_OWED,
    (State.OWED, Event.ASSIGNED): State.QUEUED,
    (State.OWED, Event.CROWDED_OUT): State.DROPPED,
    (State.OWED, Event.OFFERS_DONE): State.DELIVERED,
    (State.QUEUED, Event.WRITE_BEGAN): State.WRITING,
    (State.QUEUED, Event.CONNECTION_CLOSED): State.OWED,
    (State.WRITING, Event.WRITTEN): State.SENT,
    (State.WRITING, Event.CONNECTION_CLOSED): State.OWED,
    (State.SENT, Event.CONNECTION_CLOSED): State.OWED,
    (State.SENT, Event.NOT_CROSSED): State.DELIVERED,
}


@dataclass(frozen=True, slots=True)
class Offer:
    """A message for a connection that may be the owner's."""

    task: str
    connection: int
    message: bytes


@dataclass(slots=True, eq=False)
class EndDelivery:
    """The end of one job. `connection`: that of the job, and later the one that carries the message."""

    task: str
    connection: int
    state: State = State.RUNNING
    message: bytes = b""
    ended_at: float = 0.0
    told_at: float = math.inf  # when the message was written, or first offered
    owed_number: int = 0  # its place among all that have waited for a connection

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
        # By connection: those that are queued there, being written, or were written lately.
        self.carried: dict[int, dict[EndDelivery, None]] = {}
        self.sent: deque[EndDelivery] = deque()  # those that were written lately, in that order
        self.owed_count = 0  # of all that have waited so far
        self.offered_until: dict[int, int] = {}  # by connection: the number of the last one offered to it
        self.counts: Counter[State] = Counter()  # of the final states
        self.cut = 0  # closes of connections that ends may have crossed
        self.late = 0  # deliveries after MAX_DELIVERY_TIME
        self.told_elsewhere = 0  # ends that were queued on another connection than their job's
        self.told_on_offer = 0  # ends that were only offered

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
                if delivery.owed_number <= self.offered_until.get(connection, 0):
                    self.finish_offered(delivery)
                else:
                    yield self.assign_to(delivery, connection)

    def offer(self) -> Iterator[Offer]:
        """Yields messages for connections that may be owners', MAX_OFFERS at most; call it again and again.

        The ends are offered in the order in which they began to wait, so one number for each connection says
        which it has been told.
        """
        now = self.clock()
        due = [delivery for delivery in self.owed if now - delivery.ended_at >= OFFER_DELAY]
        if not due:
            return
        yield from islice(self.new_offers(due, now), MAX_OFFERS)
        for delivery in due:
            is_over = delivery.told_at < math.inf and now - delivery.ended_at > OFFER_TIME
            if is_over and delivery in self.owed:  # it may have been dropped meanwhile
                del self.owed[delivery]
                self.finish_offered(delivery)

    def new_offers(self, due: list[EndDelivery], now: float) -> Iterator[Offer]:
        """Yields each of the ends for each connection that may be its owner's and was not told of it yet."""
        for connection in self.recipients.possible():
            offered = self.offered_until.get(connection, 0)
            if offered >= due[-1].owed_number:
                continue
            for delivery in due:
                if not self.recipients.is_open(connection):
                    break  # it has closed meanwhile
                if delivery.owed_number > offered:
                    self.offered_until[connection] = delivery.owed_number
                    delivery.told_at = min(delivery.told_at, now)
                    yield Offer(delivery.task, connection, delivery.message)

    def finish_offered(self, delivery: EndDelivery) -> None:
        """Counts an end as told that was offered to whoever may be its owner."""
        delivery.apply(Event.OFFERS_DONE)
        self.told_on_offer += 1
        self.finish(delivery)

    def assign_to(self, delivery: EndDelivery, connection: int) -> EndDelivery:
        """Notes that an open connection is to carry the message."""
        delivery.apply(Event.ASSIGNED)
        delivery.connection = connection
        self.carried.setdefault(connection, {})[delivery] = None
        return delivery

    def await_connection(self, delivery: EndDelivery) -> None:
        """Keeps an end until a connection is chosen; drops the oldest if too many wait."""
        self.owed_count += 1
        delivery.owed_number = self.owed_count
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
        for delivery in self.carried.get(connection, ()):
            if delivery.state is State.WRITING:
                delivery.apply(Event.WRITTEN)
                delivery.told_at = self.clock()
                self.sent.append(delivery)

    def settle(self) -> None:
        """Counts as delivered what was written CROSSING_TIME ago and longer."""
        until = self.clock() - CROSSING_TIME
        while self.sent and self.sent[0].told_at <= until:
            delivery = self.sent.popleft()
            if delivery.state is not State.SENT:
                continue  # its connection has closed
            delivery.apply(Event.NOT_CROSSED)
            del self.carried[delivery.connection][delivery]
            self.finish(delivery)

    def on_disconnected(self, connection: int) -> None:
        """A connection has closed: what waited on it goes to another."""
        self.offered_until.pop(connection, None)
        for delivery in self.carried.pop(connection, ()):
            self.cut += delivery.state is not State.QUEUED
            delivery.apply(Event.CONNECTION_CLOSED)
            delivery.told_at = math.inf
            self.await_connection(delivery)

    def has_untold(self) -> bool:
        """Whether there is an end of which nobody was told, or that may have crossed a close."""
        return any(self.carried.values()) or any(delivery.told_at == math.inf for delivery in self.owed)

    def summary(self) -> dict[str, int]:
        """Counts for the log: what waits, and what did not go as it should."""
        return {
            "ends waiting": len(self.owed),
            "ends late": self.late,
            "ends cut": self.cut,
            "ends dropped": self.counts[State.DROPPED],
        }

    def details(self) -> dict[str, int | float]:
        """What the log has of the ends beside `summary`; `longest_wait` in seconds, of those that wait."""
        oldest = next(iter(self.owed), None)
        return {
            "running": len(self.running),
            "told": self.counts[State.DELIVERED],
            "told_elsewhere": self.told_elsewhere,
            "told_on_offer": self.told_on_offer,
            "not_owed": self.counts[State.NOT_OWED],
            "longest_wait": round(self.clock() - oldest.ended_at, 3) if oldest else 0.0,
        }

    def finish(self, delivery: EndDelivery) -> None:
        """Counts a delivery that is over."""
        self.counts[delivery.state] += 1
        if delivery.state is State.DELIVERED and delivery.told_at - delivery.ended_at > MAX_DELIVERY_TIME:
            self.late += 1
