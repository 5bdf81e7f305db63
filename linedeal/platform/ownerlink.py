"""Connections of owners: reads, writes and limits. The router decides what their lines mean."""

import traceback
from collections import Counter

import anyio

from linedeal.loop import Inbox, Lateness
from linedeal.net import Address, Link, LinkClosedError, LinkLostError, Net, NetAttribute, let_readers_run
from linedeal.platform.close_reason import CloseReason
from linedeal.platform.descriptors import DescriptorBudget
from linedeal.platform.end_delivery import EndDeliveries, EndDelivery
from linedeal.platform.line_queue import LineQueue
from linedeal.platform.log import LimitedLog
from linedeal.platform.owner_codec import Line, LineReader, drop_unused, is_job_request
from linedeal.platform.owner_connection import OwnerConnection
from linedeal.platform.owner_timeouts import OwnerTimeouts
from linedeal.platform.recipients import Recipients
from linedeal.platform.request_budget import RequestBudget
from linedeal.platform.router import LineResult, Router, UnanswerableError

MAX_UNREAD_BYTES = 262144  # that an owner may leave unread
MAX_TOTAL_UNREAD_BYTES = 8 << 20  # that all owners together may
SEND_TIMEOUT = 5.0  # seconds for an owner to read what is written
MAX_INVALID_LINES = 20  # on one connection
INVALID_LINE_PAUSE = 0.05  # seconds for which a connection is not handled after each of them
# Bytes of one read from which more is likely to be in the socket, such as the end of the connection.
BACKLOG_BYTES = 16384
MAX_BACKLOG_TIME = 0.5  # seconds of such reads after which the set-ups that wait are refused
# How long bytes may have been unread, in multiples of the loop's lateness: until a connection that came
# with bytes is accepted; and until one that came without is accepted, set up and read.
ACCEPT_ITERATIONS = 2
NEW_CONNECTION_ITERATIONS = 4
CLOSE_ITERATIONS = 8  # loop iterations that a close takes at most
FLUSH_INTERVAL = 0.05  # seconds between checks whether all is written
OWED_ENDS_INTERVAL = 0.25  # seconds between looks for a connection to be told of the ends that wait
NOTICEABLE_WAIT = 0.25  # seconds for which an end has waited that is logged


class UnanswerableLineError(LinkLostError):
    """The owner sent a message that cannot be answered, or too many that are invalid."""


class OwnerServer:
    """Accepts connections of owners and exchanges lines with them."""

    def __init__(
        self,
        router: Router,
        recipients: Recipients,
        ends: EndDeliveries,
        budget: RequestBudget,
        net: Net,
        inbox: Inbox,
        descriptors: DescriptorBudget,
        lateness: Lateness,
        next_number,
        log,
        limited_log: LimitedLog,
    ):
        """`next_number`: returns the number of the next connection. `limited_log`: for what comes often."""
        self.router, self.recipients, self.ends, self.budget = router, recipients, ends, budget
        self.net, self.inbox = net, inbox
        self.descriptors, self.lateness, self.next_number = descriptors, lateness, next_number
        self.log, self.limited_log = log, limited_log
        self.links: dict[int, OwnerConnection] = {}
        self.unread = 0  # bytes that are queued for all of them, or being written
        self.closing = 0  # connections that are disconnected but whose sockets are not closed yet
        self.counts = {"connections": 0, "refused as read": 0, "no room": 0, "closed on": 0}
        self.closes: Counter[CloseReason] = Counter()  # connections that have been closed
        self.timeouts = OwnerTimeouts(
            self.links, router, recipients, descriptors, self.disconnect, self.wait_until_closed
        )

    async def run(self, address: Address, *, task_status=anyio.TASK_STATUS_IGNORED) -> None:
        """Serves until cancelled; reports the address that it listens on. Raises OSError if it cannot."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.timeouts.watch)
            tasks.start_soon(self.timeouts.close_idle_when_crowded)
            tasks.start_soon(self.send_owed_ends_regularly)
            await self.net.serve(address, self.handle, capacity=self.descriptors, task_status=task_status)

    def send(self, client: int, data: bytes) -> None:
        """Sends `data` to a connection; does nothing if it has ended."""
        link = self.links.get(client)
        if link is not None and data:
            self.enqueue(link, data)

    def send_end(self, delivery: EndDelivery) -> None:
        """Queues the end of a job on the open connection that is to carry it."""
        self.enqueue(self.links[delivery.connection], delivery.message)

    def send_owed_ends(self) -> None:
        """Sends the ends of jobs whose connections have closed to the owner chosen for them."""
        for delivery in self.ends.assign():
            self.log_waited(delivery)
            self.send_end(delivery)

    async def send_owed_ends_regularly(self) -> None:
        """Sends the ends that wait to whoever has come to show an owner, or may be one, until cancelled."""
        while True:
            await anyio.sleep(OWED_ENDS_INTERVAL)
            self.ends.settle()
            self.send_owed_ends()
            for offer in self.ends.offer():
                self.send(offer.connection, offer.message)

    def log_waited(self, delivery: EndDelivery) -> None:
        """Logs an end that is told on another connection than its job's after a noticeable wait."""
        waited = anyio.current_time() - delivery.ended_at
        if waited > NOTICEABLE_WAIT:
            self.limited_log.write(
                "info",
                "end waited for a connection",
                task=delivery.task,
                waited=round(waited, 3),
                connection=delivery.connection,
                open=len(self.links),
            )

    def enqueue(self, owner: OwnerConnection, data: bytes) -> None:
        """Queues `data` on an open connection; disconnects one that leaves too much unread."""
        if owner.number not in self.links:
            return
        owner.outbox.append(data)
        self.count_unread(owner, len(data))
        if owner.unread > MAX_UNREAD_BYTES:
            self.disconnect(owner, CloseReason.UNREAD)
        elif self.unread > MAX_TOTAL_UNREAD_BYTES:
            most_unread = max(self.links.values(), key=lambda link: link.unread)
            self.disconnect(most_unread, CloseReason.MOST_UNREAD)
        owner.wake.set()

    def count_unread(self, owner: OwnerConnection, size: int) -> None:
        """Counts bytes that are queued for an open connection; a negative size: that have been written."""
        owner.unread += size
        self.unread += size

    async def handle(self, stream) -> None:
        """Serves one connection until it ends."""
        number = self.next_number()
        lines = LineQueue(number, self.budget)
        owner = OwnerConnection(number, Link(stream, LineReader()), lines, anyio.current_time())
        owner.first_bytes_at = stream.extra(NetAttribute.received_at, None)
        self.links[owner.number] = owner
        self.recipients.on_connected(owner.number)
        self.counts["connections"] += 1
        try:
            # The tasks end by the scope, without exception groups: there are hundreds of short connections.
            with owner.scope:
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(self.run_until_lost, owner, self.write)
                    tasks.start_soon(self.run_until_lost, owner, self.handle_lines)
                    await self.run_until_lost(owner, self.read)
        finally:
            self.disconnect(owner, CloseReason.SHUTDOWN)
            await owner.link.close()
            self.closing -= 1
            self.log.debug("owner disconnected", reason=owner.reason)

    def disconnect(self, owner: OwnerConnection, reason: CloseReason, detail: str = "") -> None:
        """Ends a connection and notifies the engine at once, since closing the socket may take a while.

        Lines about running jobs that were read already are still handled, and the ends of jobs that were
        queued for it go to other connections.
        """
        if owner.number not in self.links:
            return
        self.log_close(owner, reason, detail)
        del self.links[owner.number]
        self.recipients.on_disconnected(owner.number)
        self.ends.on_disconnected(owner.number)
        self.closing += 1
        owner.reason = detail or reason
        self.count_unread(owner, -owner.unread)
        owner.scope.cancel()
        lines = [(queued.line, queued.arrived_at) for queued in owner.lines.drain()]
        lines += [(line, owner.received_at) for line in owner.received]
        owner.received.clear()
        for line, arrived_at in lines:
            if self.router.outlives_connection(line):
                try:
                    self.handle_line(owner, line, arrived_at)
                except LinkLostError:
                    pass  # it ends in any case
        self.inbox.put(self.router.disconnect(owner.number))

    def log_close(self, owner: OwnerConnection, reason: CloseReason, detail: str) -> None:
        """Counts the close of a connection; logs one that its owner has not closed and may still need."""
        self.closes[reason] += 1
        if reason in (CloseReason.BY_OWNER, CloseReason.SHUTDOWN):
            return
        unanswered = len(self.router.unanswered.get(owner.number, ()))
        if unanswered or self.recipients.is_owner(owner.number):
            now = anyio.current_time()
            self.limited_log.write(
                "info",
                "owner's connection closed",
                connection=owner.number,
                reason=reason,
                detail=detail,
                unanswered=unanswered,
                running=self.recipients.running_jobs(owner.number),
                open_for=round(now - owner.opened_at, 3),
                silent_for=round(now - owner.received_at, 3),
            )

    async def run_until_lost(self, owner: OwnerConnection, work) -> None:
        """Runs one of a connection's tasks, and disconnects it if the task raises."""
        try:
            await work(owner)
        except LinkClosedError:
            self.disconnect(owner, CloseReason.BY_OWNER)
        except UnanswerableLineError as error:
            self.disconnect(owner, CloseReason.INVALID, str(error))
        except LinkLostError as error:
            self.disconnect(owner, CloseReason.LOST, str(error))
        except Exception as error:
            # An error in this program that one owner's input triggers ends only that connection.
            self.log.error("fault", where="owner", trace=traceback.format_exc())
            self.disconnect(owner, CloseReason.FAULT, type(error).__name__)

    async def read(self, owner: OwnerConnection) -> None:
        """Reads lines, without waiting for earlier ones to be handled: a disconnect may follow them."""
        while True:
            lines = await owner.link.receive_all()
            if owner.scope.cancel_called:
                # The connection is being closed. Its owner sends what crossed the close again elsewhere,
                # since it gets no answer here; a job accepted now would run twice.
                return
            late, new = self.lateness.now(), owner.received_at == owner.opened_at
            owner.received_at = anyio.current_time()
            # Lines have been completed: the time limit of the one that is incomplete now begins anew.
            owner.partial_line_since = owner.received_at if owner.link.reader.buffer else 0.0
            if owner.first_bytes_at is not None:
                arrived_at, owner.first_bytes_at = owner.first_bytes_at - late * ACCEPT_ITERATIONS, None
            else:
                arrived_at = owner.received_at - late * (NEW_CONNECTION_ITERATIONS if new else 1)
            owner.received.extend(lines)
            del lines  # so that nothing is held while this task waits
            while owner.received:
                await self.receive_line(owner, owner.received[0], arrived_at)
                if owner.received:  # empty if the connection has been closed meanwhile
                    owner.received.popleft()
            owner.lines_arrived.set()

    async def receive_line(self, owner: OwnerConnection, line: Line, arrived_at: float) -> None:
        """Queues a line, or handles it at once. Raises LinkLostError.

        Never waits for room but with lines about running jobs, which count whatever follows them: a
        cancellation or a close may be behind any other. A set-up for which there is no room is refused.
        """
        drop_unused(line)
        if line.type == "release" and not line.fault and not owner.lines.hands_over(line.id):
            # A cancellation overtakes the lines before it.
            if not owner.lines.remove_job_requests(line.id):
                self.handle_line(owner, line, arrived_at)
        elif owner.lines.has_room(line):
            owner.lines.append(line, arrived_at)
        elif self.router.outlives_connection(line):
            await self.wait_for_room(owner, line)
            owner.lines.append(line, arrived_at)
        elif is_job_request(line):
            self.refuse_unread(owner, line)
        elif self.handle_line(owner, line, arrived_at).valid is False:
            self.count_invalid(owner)

    async def wait_for_room(self, owner: OwnerConnection, line: Line) -> None:
        """Waits until there is room for a line, or it would be the only one of its connection."""
        owner.lines_arrived.set()
        while owner.lines and not owner.lines.has_room(line):
            owner.line_handled = anyio.Event()
            await owner.line_handled.wait()

    def refuse_unread(self, owner: OwnerConnection, line: Line) -> None:
        """Refuses a set-up for which there is no room. Raises LinkLostError if its id is in use."""
        self.counts["no room"] += 1
        try:
            if owner.lines.requests_job(line.id):
                raise UnanswerableError("two set-ups under one id")
            self.enqueue(owner, self.router.refuse(line.id).reply)
        except UnanswerableError as error:
            raise self.count_unanswerable(error) from None

    def handle_line(self, owner: OwnerConnection, line: Line, arrived_at: float) -> LineResult:
        """Handles one line: queues the reply and puts the event. Raises LinkLostError."""
        try:
            result = self.router.handle_line(owner.number, line, anyio.current_time() - arrived_at)
        except UnanswerableError as error:
            raise self.count_unanswerable(error) from None
        if result.reply:
            self.enqueue(owner, result.reply)
        if result.event is not None:
            self.inbox.put(result.event)
        if result.valid:
            owner.has_sent_valid = True
            if not self.recipients.may_be_owner(owner.number) and not self.router.outlives_connection(line):
                self.recipients.on_valid_message(owner.number)
        return result

    def count_unanswerable(self, error: UnanswerableError) -> LinkLostError:
        """Counts a message that cannot be answered; returns the error that closes its connection."""
        self.counts["closed on"] += 1
        return UnanswerableLineError(str(error))

    async def handle_lines(self, owner: OwnerConnection) -> None:
        """Handles lines in the order of their arrival, as fast as the engine takes their events."""
        while True:
            await owner.lines_arrived.wait()
            owner.lines_arrived = anyio.Event()
            await self.wait_until_read(owner)
            while owner.lines:
                await self.inbox.wait_for_space()
                if not owner.lines:
                    break  # taken back meanwhile
                queued = owner.lines.popleft()
                if self.handle_line(owner, queued.line, queued.arrived_at).valid is False:
                    self.count_invalid(owner)
                    await anyio.sleep(INVALID_LINE_PAUSE)
                owner.line_handled.set()

    async def wait_until_read(self, owner: OwnerConnection) -> None:
        """Waits until all is read that a connection has sent, if that is much.

        Its client may have closed it since, or taken back what it requested; the set-ups before that would
        be launched for nobody. One that sends without a pause has its waiting set-ups refused.
        """
        began_at = anyio.current_time()
        while owner.link.received_bytes >= BACKLOG_BYTES:
            reads = owner.link.reads
            await let_readers_run()
            if owner.link.reads == reads:
                return
            if anyio.current_time() - began_at > MAX_BACKLOG_TIME:
                began_at = anyio.current_time()
                for line in owner.lines.remove_all_job_requests():
                    self.refuse_unread(owner, line)

    def count_invalid(self, owner: OwnerConnection) -> None:
        """Counts an invalid line; raises LinkLostError after too many of them.

        Guards against floods of invalid lines, at the cost of their own connection only.
        """
        owner.invalid_lines += 1
        self.counts["refused as read"] += 1
        if owner.invalid_lines > MAX_INVALID_LINES:
            raise UnanswerableLineError(f"{owner.invalid_lines} invalid messages")

    async def wait_until_closed(self) -> None:
        """Waits for the sockets of disconnected owners to close, a few loop iterations at most.

        What arrives on them in between would be lost.
        """
        for _ in range(CLOSE_ITERATIONS):
            if not self.closing:
                return
            await anyio.sleep(0)

    async def write(self, owner: OwnerConnection) -> None:
        """Writes what is queued. Raises LinkLostError if the owner does not read it in time."""
        while True:
            await owner.wake.wait()
            owner.wake = anyio.Event()
            data, owner.outbox = b"".join(owner.outbox), []
            self.ends.on_write_began(owner.number)
            owner.writing = True
            await owner.link.send(data, SEND_TIMEOUT)
            owner.writing = False
            self.ends.on_written(owner.number)
            if owner.number in self.links:
                self.count_unread(owner, -len(data))

    def summary(self) -> dict[str, int]:
        """Counts for the log."""
        return self.counts | {"shed": self.closes[CloseReason.CROWDED]}

    def has_unwritten(self) -> bool:
        """Whether anything is queued or being written."""
        return not all(owner.is_written for owner in self.links.values())

    def has_unhandled_lines(self) -> bool:
        """Whether lines that were read are not handled yet."""
        return any(owner.has_unhandled_lines for owner in self.links.values())

    def has_unserved(self) -> bool:
        """Whether a connection has been accepted that is not served yet."""
        return self.descriptors.owners > len(self.links) + self.closing

    async def flush(self, timeout: float) -> None:
        """Waits at most `timeout` seconds until all that was queued is written."""
        with anyio.move_on_after(timeout):
            while self.has_unwritten():
                await anyio.sleep(FLUSH_INTERVAL)
            await anyio.sleep(FLUSH_INTERVAL)  # for the system to send it
