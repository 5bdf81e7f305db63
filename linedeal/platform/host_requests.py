"""What is queued for one host, and which of its connections carries it."""

from collections import deque
from collections.abc import Callable

from linedeal.engine import effects, events
from linedeal.platform.host_connection import Connection, release_frame
from linedeal.platform.host_state import HostState

MAX_QUEUE = 512  # messages that wait for one host


class HostRequests:
    """The launches, probes and releases for one host, from the engine's effects to its connections."""

    def __init__(self, host: HostState, max_connections: Callable[[], int]):
        """`max_connections`: returns the connections that the host may have now."""
        self.host, self.max_connections = host, max_connections
        self.outbox: deque = deque()  # effects that no connection carries yet

    def launch(self, effect: effects.SendLaunch) -> None:
        """Queues a launch, or reports it as unsent if too many messages wait."""
        if len(self.outbox) >= MAX_QUEUE:
            self.report_unsent([effect])
            return
        self.host.launches.task_by_launch[effect.number] = effect.work[:8]
        self.enqueue(effect)

    def probe(self, effect: effects.SendProbe) -> None:
        """Queues a probe, unless too many messages wait."""
        if len(self.outbox) < MAX_QUEUE:
            self.enqueue(effect)

    def enqueue(self, effect) -> None:
        """Queues an effect for whichever connection `hand_out` chooses."""
        self.outbox.append(effect)
        self.host.wake.set()

    def withhold(self, number: int | None = None) -> None:
        """Withdraws the launches of which no byte has been written, or only `number`; reports them unsent."""

        def matches(effect):
            return isinstance(effect, effects.SendLaunch) and number in (None, effect.number)

        withheld = []
        for holder in (self, *self.host.connections):
            mine = [effect for effect in holder.outbox if matches(effect)]
            if mine:
                holder.outbox = deque(effect for effect in holder.outbox if not matches(effect))
                withheld += mine
        self.report_unsent(withheld)

    def report_unsent(self, launches: list[effects.SendLaunch]) -> None:
        """Notifies the engine that no byte of these launches was written, or will be."""
        for effect in launches:
            self.host.launches.task_by_launch.pop(effect.number, None)
            for connection in self.host.connections:
                if effect.number in connection.unsent:
                    connection.unsent.discard(effect.number)
                    del connection.unanswered[effect.work[:8]]
        if launches:
            numbers = tuple(effect.number for effect in launches)
            self.host.inbox.put(events.LaunchesUnsent(self.host.id, numbers))

    def take_launches(self) -> tuple[int, ...]:
        """Empties the queue, and returns the launches that were in it, which are not sent."""
        unsent = tuple(effect.number for effect in self.outbox if isinstance(effect, effects.SendLaunch))
        self.outbox.clear()
        for number in unsent:
            self.host.launches.task_by_launch.pop(number, None)
        return unsent

    def queue_probes_again(self, connection: Connection) -> None:
        """Takes the probes back that a lost connection has not written."""
        self.outbox.extendleft(
            effect for effect in reversed(connection.outbox) if isinstance(effect, effects.SendProbe)
        )

    def stop(self, effect: effects.SendStop) -> None:
        """Cancels a launch, or ends a running job."""
        number, launches = effect.launch.number, self.host.launches
        self.withhold(number)
        task = launches.task_by_launch.get(number)
        if task is not None and launches.running.get(task) == number:
            self.end_job(task)
            return
        if task is not None:
            del launches.task_by_launch[number]
            if self.cancel_unanswered(task, number):
                return
        # It was never sent, or has ended with its connection.
        self.host.inbox.put(events.LaunchesCancelled(self.host.id, (number,)))

    def end_job(self, task: bytes) -> None:
        """Ends a running job, once: the release is repeated on each connection that opens."""
        if task in self.host.launches.stopping:
            return
        self.host.launches.stopping[task] = None
        connection = self.least_busy()
        if connection is not None:
            connection.enqueue(release_frame(task))
        else:
            self.host.wake.set()

    def cancel_unanswered(self, task: bytes, number: int) -> bool:
        """Cancels a launch on the connection on which it is unanswered; returns whether there is one."""
        for connection in self.host.connections:
            if connection.unanswered.get(task) == number:
                del connection.unanswered[task]
                connection.cancelled[task] = number
                self.host.launches.unconfirmed[task] = connection.carried[task]
                connection.enqueue(release_frame(task))
                if connection.awaiting_since:
                    # The host has been silent since the launch: its other launches continue on the
                    # connection, new ones do not use it.
                    connection.closing = True
                return True
        return False

    def forget(self, effect: effects.NotifyEnded) -> None:
        """Forgets a running job that has ended.

        If it has ended because its host left the list, it is also ended at whatever listens at that address:
        another host may have come up there, and have accepted it under the name of the one that is gone.
        """
        task = self.host.launches.forget(effect.number)
        if task is not None and self.host.is_gone:
            connection = self.least_busy()
            if connection is not None:
                connection.enqueue(release_frame(task))

    def least_busy(self, task: bytes | None = None) -> Connection | None:
        """The connection with the fewest unanswered launches; None if no connection may carry `task`.

        No connection carries two set-ups of one task. An answer is thereby known to concern this launch,
        and is no repeated answer to an earlier one.
        """
        connections = self.host.connections
        available = [one for one in connections if not one.closing and task not in one.carried]
        if task is None and not available:
            return connections[0] if connections else None
        return min(available, key=lambda connection: len(connection.unanswered), default=None)

    def hand_out(self) -> bool:
        """Hands what is queued to connections; returns whether another connection is needed.

        Launches use an open connection rather than wait for a new one. Launches that had waited would all
        reach the host at once when it opens, and be refused there.
        """
        kept, is_shared = deque(), False
        while self.outbox:
            effect = self.outbox.popleft()
            is_launch = isinstance(effect, effects.SendLaunch)
            connection = self.least_busy(effect.work[:8] if is_launch else None)
            if connection is None:
                kept.append(effect)
                continue
            if is_launch:
                is_shared = is_shared or bool(connection.unanswered)
                connection.note_launch(effect)
            connection.enqueue(effect)
        self.outbox = kept
        return not self.host.is_gone and self.needs_connection(is_shared)

    def needs_connection(self, is_shared: bool) -> bool:
        """Whether another connection is to be opened. `is_shared`: a launch shares one with others."""
        host, limit = self.host, self.max_connections()
        may_try = not host.is_retry_delayed
        if self.outbox and host.connections:
            if len(host.connections) == limit:  # one has to close; its unanswered launches continue
                min(host.connections, key=lambda connection: len(connection.unanswered)).closing = True
            return len(host.connections) <= limit and may_try
        for_jobs = host.runs_jobs and (host.reopen or not host.connections)
        needed = bool(self.outbox) or (is_shared or for_jobs) and may_try
        return needed and len(host.connections) < limit
