"""The client of a session: submits, follows and controls its jobs across lost links and controller restarts.

    async with Owner.open(TcpNet(), parse_contact("127.0.0.1:7100/readers")) as owner:
        job = await owner.submit(JobRequest("course-reader", "school", "readers", 2.0, 4.0))
        done = await owner.wait_until_over(job)

One task per controller maintains the link to it; `retry_rules` decides what a lost link means for each job.
Status messages are stored by job key, and every change wakes the tasks that wait.
"""

import secrets
import time
import zlib
from collections import deque
from collections.abc import AsyncIterator, Iterable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

import anyio

from linedeal.client import retry_rules
from linedeal.client.client import JobDeclinedError, JobRequest
from linedeal.client.contact import Contact
from linedeal.client.retry_rules import Decision, State
from linedeal.net import Address, Link, LinkLostError, Net, open_link
from linedeal.protocol import VERSION, FrameReader, encode, pb

OTHER_CONTROLLERS_TIMEOUT = 1.0  # seconds to wait for the other controllers once one has sent its jobs
RECONNECT_INTERVAL = 0.2  # seconds between two attempts to reach a controller
CONNECT_TIMEOUT = 5.0  # seconds to connect and receive the welcome message
REDOABLE_RESUBMIT_DELAY = 2.0  # seconds without a link after which a redoable job is submitted elsewhere
MAX_UNCONFIRMED_SUBMITS = 500  # submissions that no controller has confirmed yet, at a time
SUBMIT_TIMEOUT = 30.0  # seconds for which a submission that is declined for the moment is retried

NOT_CONNECTED_YET = "not reached yet"
HOLD, RELEASE, END = pb.HOLD, pb.RELEASE, pb.END
STAGE_NAMES = {
    number: name.removeprefix("STAGE_").lower().replace("_", " ") for name, number in pb.Stage.items()
}
UNANSWERED_STAGES, HOST_STAGES = ("held", "later", "waiting"), ("placed", "running")


class SessionOpenError(Exception):
    """No controller can be reached, or none admits this client.

    `refused` is true if a controller was reached and refused the session, for example because of its
    customer's key.
    """

    def __init__(self, text: str, refused: bool):
        """Sets the message and whether a controller refused the session."""
        super().__init__(text)
        self.refused = refused


class NoSuchJobError(KeyError):
    """No controller of the contact has a job with this key."""


class OrderRefusedError(Exception):
    """The order does not apply to the job's current stage; the message is the controller's reason."""


@dataclass(frozen=True, slots=True)
class RunResult:
    """How a run ended, and the resources that it used.

    `status` is the exit status, None if the job did not exit by itself; `seconds` is the elapsed time,
    `core_seconds` the processor time; `memory` is in the cluster's unit.
    """

    status: int | None
    seconds: float
    core_seconds: float
    memory: float


@dataclass(frozen=True, slots=True)
class JobStatus:
    """The status of a job as last reported by its controller.

    `stage` is one of asked, held, later, waiting, placed, running, done, error, lost, stopped, rejected,
    written off, refused and unknown. Times are seconds since the epoch by this machine's clock, None if not
    reached yet. The field names are keys of the commands' JSON output.
    """

    key: str
    stage: str
    offering: str = ""
    customer: str = ""
    service: str = ""
    cores: float = 0.0
    memory: float = 0.0
    name: str = ""
    job: str = ""
    host: str = ""
    reason: str = ""
    ran: RunResult | None = None
    taken_at: float | None = None
    placed_at: float | None = None
    ended_at: float | None = None
    ending: bool = False

    @property
    def answered(self) -> bool:
        """Whether the controller has answered: the job was placed, rejected or written off."""
        return self.stage not in ("asked", *UNANSWERED_STAGES)

    @property
    def over(self) -> bool:
        """Whether the job has ended, or never will run: its status is final."""
        return self.answered and self.stage not in HOST_STAGES


@dataclass(slots=True, eq=False)
class TrackedJob:
    """A job of the session as this client knows it.

    `submit_message` is None for a job that this client did not submit but found at a controller.
    """

    key: str
    controller: "ControllerLink"
    submit_message: pb.Submit | None
    status: JobStatus
    state: State = State.ASKED
    sent: bool = False
    redoable: bool = False
    move_allowed: bool = False
    accepted: anyio.Event = field(default_factory=anyio.Event)
    declined: JobDeclinedError | None = None
    decline_count: int = 0
    submit_deadline: float = 0.0
    # controllers that it was submitted to before; any copy that they still have is ended
    former_controllers: list["ControllerLink"] = field(default_factory=list)

    def view(self) -> retry_rules.JobView:
        """The part of its state that the retry rules depend on."""
        return retry_rules.JobView(self.state, self.sent, self.redoable, self.move_allowed)


@dataclass(slots=True, eq=False)
class ControllerLink:
    """A controller of the contact and the state of the link to it."""

    address: Address
    link: Link | None = None  # None unless connected and all jobs have been received
    synced: bool = False  # it has sent all its jobs of the session at least once
    disconnected_at: float = 0.0  # event loop time
    last_error: str = NOT_CONNECTED_YET
    refuses_session: bool = False
    send_lock: anyio.Lock = field(default_factory=anyio.Lock)
    pending_orders: dict[str, deque] = field(default_factory=dict)
    # keys of jobs that it still has but that were moved to another controller; ended when the link is up
    orphaned_jobs: dict[str, None] = field(default_factory=dict)

    def __str__(self) -> str:
        """HOST:PORT."""
        return f"{self.address[0]}:{self.address[1]}"


@dataclass(slots=True, eq=False)
class PendingOrder:
    """An order that its controller has not replied to yet."""

    kind: int
    done: anyio.Event = field(default_factory=anyio.Event)
    reply: pb.Ordered | None = None
    resent: bool = False


class Owner:
    """An open session: the links to its controllers and its jobs by key. Opened with `Owner.open`."""

    def __init__(
        self,
        net: Net,
        contact: Contact,
        token: str = "",
        resubmit_after: float = REDOABLE_RESUBMIT_DELAY,
        first_controller: int | None = None,
    ):
        """Sets up the state without connecting; parameters as those of `open`."""
        self.net, self.contact, self.token, self.resubmit_after = (
            net,
            contact.with_session_name(),
            token,
            resubmit_after,
        )
        # sessions start at different controllers, which spreads the load over all of them
        start = (
            zlib.crc32(self.contact.session.encode()) % len(contact.controllers)
            if first_controller is None
            else first_controller
        )
        addresses = contact.controllers[start:] + contact.controllers[:start]
        self.controllers = [ControllerLink(address) for address in addresses]
        self.jobs: dict[str, TrackedJob] = {}
        self.redoable_by_offering: dict[str, bool] = {}
        self.change_event = anyio.Event()
        self.key_prefix, self.key_count = secrets.token_hex(3), 0
        # jobs that were moved and then forgotten, with the controllers that may still have a copy
        self.moved_jobs: dict[str, list[ControllerLink]] = {}
        self.changed_keys: deque[str] = deque(maxlen=4096)  # the latest last
        self.change_count = 0
        self.unconfirmed_submits = anyio.Semaphore(MAX_UNCONFIRMED_SUBMITS)
        self.deferred: list[tuple[float, TrackedJob]] = []  # declined, and when to retry

    @classmethod
    @asynccontextmanager
    async def open(
        cls,
        net: Net,
        contact: Contact,
        token: str = "",
        timeout: float = 5.0,
        resubmit_after: float = REDOABLE_RESUBMIT_DELAY,
        first_controller: int | None = None,
    ) -> AsyncIterator["Owner"]:
        """Opens the session for the duration of the block; its jobs continue afterwards.

        New jobs go to the first connected controller. `first_controller` is the index in the contact of the
        one to prefer; by default it depends on the session's name. `timeout` in seconds; after
        `resubmit_after` seconds without a link a redoable job is submitted to another controller. Raises
        SessionOpenError if no controller admits the session.
        """
        owner = cls(net, contact, token, resubmit_after, first_controller)
        async with anyio.create_task_group() as tasks:
            for controller in owner.controllers:
                tasks.start_soon(owner.maintain_link, controller)
            tasks.start_soon(owner.resubmit_periodically)
            with anyio.move_on_after(timeout):
                while not any(controller.synced for controller in owner.controllers) and not all(
                    controller.refuses_session for controller in owner.controllers
                ):
                    await owner.wait_for_change()
            failure = None
            if any(controller.synced for controller in owner.controllers):
                # a reopened session may have jobs at any controller, not only at the first that answers
                with anyio.move_on_after(OTHER_CONTROLLERS_TIMEOUT):
                    while any(
                        controller.last_error == NOT_CONNECTED_YET and not controller.synced
                        for controller in owner.controllers
                    ):
                        await owner.wait_for_change()
                try:
                    yield owner
                except Exception as error:
                    failure = error  # raised below: the task group would wrap it in an exception group
            else:
                failure = SessionOpenError(
                    "; ".join(f"{controller}: {controller.last_error}" for controller in owner.controllers),
                    any(controller.refuses_session for controller in owner.controllers),
                )
            tasks.cancel_scope.cancel()
        if failure is not None:
            raise failure

    # -- submission

    async def submit(
        self,
        request: JobRequest,
        key: str = "",
        work: pb.Work | None = None,
        hold: bool = False,
        start_in: float = 0.0,
        timeout: float = SUBMIT_TIMEOUT,
    ) -> str:
        """Submits a job, waits until a controller has accepted it, and returns its key.

        Submitting the same key and content again joins the existing job. `start_in` in seconds. Raises
        JobDeclinedError if the job is not accepted, and TimeoutError after `timeout` seconds: then it may
        have been accepted.
        """
        key = key or self.new_key()
        spec = pb.JobSpec(
            offering=request.offering,
            customer=request.customer,
            service=request.service,
            cores=request.cores,
            memory=request.memory,
            work=work.SerializeToString(deterministic=True) if work else b"",
        )
        message = pb.Submit(key=key, job=spec, wait=request.wait, follow=True, hold=hold, start_in=start_in)
        async with self.unconfirmed_submits:
            controller = next(
                (controller for controller in self.controllers if controller.link), self.controllers[0]
            )
            known = self.jobs.get(key)
            if known is None or known.state in (State.REFUSED, State.UNKNOWN):
                known = self.jobs[key] = TrackedJob(
                    key,
                    controller,
                    message,
                    JobStatus(
                        key,
                        "asked",
                        request.offering,
                        request.customer,
                        request.service,
                        request.cores,
                        request.memory,
                        work.name if work else "",
                    ),
                    redoable=self.redoable_by_offering.get(request.offering, False),
                )
            else:
                known.submit_message, known.accepted, known.declined = message, anyio.Event(), None
            known.submit_deadline = anyio.current_time() + timeout
            await self.send_submit(known)
            with anyio.fail_after(timeout + 1.0):
                await known.accepted.wait()
        if known.declined is not None:
            raise known.declined
        return key

    def new_key(self) -> str:
        """Returns a key that no other job of the session has, including those of other processes."""
        self.key_count += 1
        return f"{self.key_prefix}-{self.key_count}"

    async def submit_many(
        self,
        requests: Iterable[tuple[JobRequest, str, pb.Work | None]],
        hold: bool = False,
        start_in: float = 0.0,
        timeout: float = SUBMIT_TIMEOUT,
    ) -> list[str]:
        """Submits all of `(request, key, work)` and returns their keys once all are accepted.

        If a job is declined, those that were accepted are ended and the first JobDeclinedError is raised.
        Raises TimeoutError as `submit` does: then some jobs may have been accepted.
        """
        requests = list(requests)
        errors: list[JobDeclinedError | TimeoutError] = []

        async def submit_one(request, key, work):
            try:
                await self.submit(request, key, work, hold, start_in, timeout)
            except (JobDeclinedError, TimeoutError) as error:
                errors.append(error)

        for start in range(0, len(requests), MAX_UNCONFIRMED_SUBMITS):
            async with anyio.create_task_group() as tasks:
                for request, key, work in requests[start : start + MAX_UNCONFIRMED_SUBMITS]:
                    tasks.start_soon(submit_one, request, key, work)
            if errors:
                break
        for error in errors:
            if isinstance(error, TimeoutError):
                raise error
        if errors:
            for _, key, _ in requests:
                if key in self.jobs and self.jobs[key].state is not State.REFUSED:
                    try:
                        await self.order(key, END)
                    except OrderRefusedError:
                        pass  # it has already ended
            raise errors[0]
        return [key for _, key, _ in requests]

    async def send_submit(self, job: TrackedJob) -> None:
        """Sends the job's submission if the link is up; otherwise `resend_pending` does so later."""
        if job.controller.link is not None:
            job.sent = True
            await self.send(job.controller, job.submit_message)

    # -- status

    def status(self, key: str) -> JobStatus:
        """Returns the job's last known status. Raises NoSuchJobError."""
        try:
            return self.jobs[key].status
        except KeyError:
            raise NoSuchJobError(key) from None

    async def find(self, key: str, timeout: float = 5.0) -> JobStatus:
        """As `status`, but first waits for controllers that have not sent their jobs yet."""
        with anyio.move_on_after(timeout):
            while key not in self.jobs and not all(
                controller.synced or controller.refuses_session for controller in self.controllers
            ):
                await self.wait_for_change()
        return self.status(key)

    def keys(self) -> list[str]:
        """Returns the keys of all jobs that are not forgotten, in the order in which they became known."""
        return list(self.jobs)

    async def wait_until(self, keys: Iterable[str], predicate, every: bool = False) -> list[JobStatus]:
        """Waits until `predicate` is true for one job, or with `every` for all.

        Returns the statuses for which it is true. Raises NoSuchJobError.
        """
        keys = list(keys)
        wanted, seen = dict.fromkeys(keys), self.change_count
        matching = {key: status for key in wanted if predicate(status := self.status(key))}
        while not matching or every and len(matching) < len(wanted):
            await self.wait_for_change()
            # only jobs that have changed are tested again: a bulk of 10,000 jobs has 30,000 changes
            new = self.change_count - seen
            changed = (
                wanted
                if new > len(self.changed_keys)
                else [self.changed_keys[-back] for back in range(new, 0, -1)]
            )
            seen = self.change_count
            for key in changed:
                if key in wanted and predicate(status := self.status(key)):
                    matching[key] = status
        return [matching[key] for key in wanted if key in matching]

    async def wait_until_over(self, key: str) -> JobStatus:
        """Waits until the job's status is final and returns it. Raises NoSuchJobError."""
        return (await self.wait_until([key], lambda status: status.over))[0]

    async def wait_for_change(self) -> None:
        """Waits until the status of a job or the state of a link changes."""
        await self.change_event.wait()

    def notify_change(self, key: str = "") -> None:
        """Wakes all waiting tasks; `key` names the job that has changed, if it was one."""
        if key:
            self.changed_keys.append(key)
            self.change_count += 1
        self.change_event.set()
        self.change_event = anyio.Event()

    # -- orders

    async def order(self, key: str, kind: int) -> None:
        """Holds, releases or ends a job (HOLD, RELEASE, END).

        Returns once its controller has carried out the order. Raises OrderRefusedError and NoSuchJobError.
        """
        job = self.jobs.get(key)
        if job is None:
            raise NoSuchJobError(key)
        pending = PendingOrder(kind)
        job.controller.pending_orders.setdefault(key, deque()).append(pending)
        await self.send(job.controller, pb.Order(key=key, kind=kind))
        await pending.done.wait()
        reply = pending.reply
        # an order that was resent after a lost link may have been carried out the first time
        if reply.fault == pb.WRONG_STATE and not (
            pending.resent and order_carried_out(kind, self.status(key))
        ):
            raise OrderRefusedError(reply.reason)
        if reply.fault == pb.NO_SUCH_JOB:
            raise NoSuchJobError(key)

    async def forget(self, key: str) -> None:
        """Deletes a job whose status is final, here and at its controller; does nothing before that.

        Raises NoSuchJobError.
        """
        job = self.jobs.get(key)
        if job is None:
            raise NoSuchJobError(key)
        if job.status.over:
            del self.jobs[key]
            if job.former_controllers:
                self.moved_jobs[key] = job.former_controllers
            await self.send(job.controller, pb.Forget(key=key))

    async def allow_move(self, key: str) -> None:
        """Permits moving the job to another controller: the caller knows that this is safe."""
        self.jobs[key].move_allowed = True
        await self.move_stranded_jobs()

    # -- links

    async def send(self, controller: ControllerLink, message) -> None:
        """Sends a message if the link is up; a lost link is no error, since `resend_pending` follows it."""
        link = controller.link
        if link is None:
            return  # `resend_pending` sends it after reconnecting
        try:
            async with controller.send_lock:
                await link.send(encode(message))
        except LinkLostError:
            pass  # the receiving task detects it too, and reconnects

    async def maintain_link(self, controller: ControllerLink) -> None:
        """Connects to one controller, handles its messages, and reconnects whenever the link is lost."""
        while True:
            link = None
            try:
                link = await self.connect(controller)
                controller.refuses_session = False
                await self.fetch_session_jobs(controller, link)
                controller.link, controller.last_error = link, ""
                await self.resend_pending(controller)
                while True:
                    for message in await link.receive_all():
                        await self.handle_message(controller, message)
            except LinkLostError as error:
                controller.last_error = str(error)
            finally:
                controller.disconnected_at = (
                    anyio.current_time() if controller.link else controller.disconnected_at
                )
                controller.link = None
                if link is not None:
                    await link.close()
            self.notify_change()
            await anyio.sleep(
                RECONNECT_INTERVAL if not controller.refuses_session else 10 * RECONNECT_INTERVAL
            )

    async def connect(self, controller: ControllerLink) -> Link:
        """Opens a link and stores which offerings are redoable. Raises LinkLostError without a welcome."""
        link, welcome = await open_link(
            self.net,
            controller.address,
            FrameReader(),
            encode(
                pb.Hello(
                    version=VERSION,
                    role=pb.CLIENT,
                    name=self.contact.session,
                    session=self.contact.session,
                    customer=self.contact.customer,
                    token=self.token,
                )
            ),
            CONNECT_TIMEOUT,
        )
        if not isinstance(welcome, pb.Welcome):
            await link.close()
            controller.refuses_session = isinstance(welcome, pb.Bye) and not welcome.retry_after
            raise LinkLostError(getattr(welcome, "reason", "") or "no welcome message")
        for offering in welcome.offerings:
            self.redoable_by_offering[offering.name] = offering.redoable
        return link

    async def fetch_session_jobs(self, controller: ControllerLink, link: Link) -> None:
        """Receives all the controller's jobs of the session, page by page.

        The retry rules are then applied to every job that should be there.
        """
        listed, after, more = set(), "", True
        while more:
            await link.send(encode(pb.AskStanding(after=after)))
            more = None
            while more is None:
                message = await link.receive()
                if isinstance(message, pb.AllTold):
                    more = message.more
                elif isinstance(message, pb.Standing):
                    listed.add(message.key)
                    after = message.key
                    await self.handle_status(controller, message)
                elif isinstance(message, pb.Bye):
                    raise LinkLostError(message.reason)
        controller.synced = True
        for job in list(self.jobs.values()):
            if job.controller is controller:
                match retry_rules.decide_on_reconnect(job.view(), job.key in listed):
                    case Decision.UNKNOWN:
                        self.set_final_status(
                            job, State.UNKNOWN, "unknown", "its controller no longer has a record of it"
                        )
                    case Decision.ASK:
                        job.state, job.sent = State.ASKED, False
        self.notify_change()

    async def resend_pending(self, controller: ControllerLink) -> None:
        """Resends submissions and orders that may have been lost with the previous link."""
        for job in list(self.jobs.values()):
            if job.controller is controller and job.state is State.ASKED and job.submit_message is not None:
                await self.send_submit(job)
        for key in list(controller.orphaned_jobs):
            await self.end_orphaned_job(controller, key)
        controller.orphaned_jobs.clear()
        for key, orders in list(controller.pending_orders.items()):
            for pending in orders:
                pending.resent = True
                await self.send(controller, pb.Order(key=key, kind=pending.kind))
        self.notify_change()

    async def handle_message(self, controller: ControllerLink, message) -> None:
        """Handles a message of an established link. Raises LinkLostError when the controller closes it."""
        match message:
            case pb.Standing():
                await self.handle_status(controller, message)
            case pb.Taken(key=key):
                job = self.jobs.get(key)
                if job is not None:
                    if job.controller is controller and job.state is State.ASKED:
                        job.state = State.TAKEN
                    job.accepted.set()  # a new job, or joined to an existing one
            case pb.TurnedAway():
                await self.handle_declined(controller, message)
            case pb.Ordered():
                self.handle_order_reply(controller, message)
            case pb.Bye():
                raise LinkLostError(f"closed by the controller: {message.reason}")

    async def handle_status(self, controller: ControllerLink, message: pb.Standing) -> None:
        """Stores a job's reported status; ends a copy at a controller that the job was moved away from."""
        job = self.jobs.get(message.key)
        if controller in (self.moved_jobs.get(message.key, ()) if job is None else job.former_controllers):
            # the job was moved: the copy at its former controller is ended, whatever its stage
            if controller.link is None:
                # received while connecting: ended once the link is up
                controller.orphaned_jobs[message.key] = None
            else:
                await self.end_orphaned_job(controller, message.key)
            return
        if job is None:
            job = self.jobs[message.key] = TrackedJob(
                message.key,
                controller,
                None,
                JobStatus(message.key, "asked"),
                sent=True,
                redoable=self.redoable_by_offering.get(message.job.offering, False),
            )
        elif job.controller is not controller:
            return
        if job.state in (State.OVER, State.UNKNOWN):
            return
        job.status = status_from_message(message, time.time())
        job.state = State.OVER if job.status.over else State.ANSWERED if job.status.answered else State.TAKEN
        job.accepted.set()
        self.notify_change(job.key)

    async def end_orphaned_job(self, controller: ControllerLink, key: str) -> None:
        """Ends and forgets the copy of a moved job at a former controller."""
        await self.send(controller, pb.Order(key=key, kind=pb.END))
        await self.send(controller, pb.Forget(key=key))  # ignored there until the job has ended

    async def handle_declined(self, controller: ControllerLink, message: pb.TurnedAway) -> None:
        """Schedules a retry, at another controller if one is connected, or fails the submission.

        It fails if retrying is useless or the retry would come after the submission's deadline.
        """
        job = self.jobs.get(message.key)
        if job is None or job.controller is not controller or job.submit_message is None:
            return
        if not message.retry_after or anyio.current_time() + message.retry_after > job.submit_deadline:
            error = JobDeclinedError(message.reason, message.retry_after)
            if job.state is State.ASKED:
                self.set_final_status(job, State.REFUSED, "refused", message.reason)
            job.declined = error
            job.accepted.set()
            return
        job.decline_count += 1
        others = [other for other in self.controllers if other.link and other is not controller]
        if others:  # it was not accepted, so submitting it elsewhere cannot run it twice
            job.controller = others[job.decline_count % len(others)]
        job.sent = False
        self.deferred.append(
            (
                anyio.current_time()
                + (0.0 if others and job.decline_count <= len(others) else message.retry_after),
                job,
            )
        )

    def handle_order_reply(self, controller: ControllerLink, message: pb.Ordered) -> None:
        """Completes the oldest pending order for the job: a controller replies in the order of sending."""
        orders = controller.pending_orders.get(message.key)
        if orders:
            pending = orders.popleft()
            if not orders:
                del controller.pending_orders[message.key]
            pending.reply = message
            pending.done.set()

    def set_final_status(self, job: TrackedJob, state: State, stage: str, reason: str) -> None:
        """Sets a stage that no controller reports (refused, unknown), with its reason."""
        known = job.status
        job.state, job.status = (
            state,
            JobStatus(
                job.key,
                stage,
                known.offering,
                known.customer,
                known.service,
                known.cores,
                known.memory,
                known.name,
                known.job,
                known.host,
                reason,
                known.ran,
                known.taken_at,
                known.placed_at,
                time.time(),
            ),
        )
        job.accepted.set()
        self.notify_change(job.key)

    async def resubmit_periodically(self) -> None:
        """Resends deferred submissions when they are due, and moves jobs whose controller is disconnected."""
        while True:
            await anyio.sleep(RECONNECT_INTERVAL / 2)
            now = anyio.current_time()
            due, self.deferred = (
                [job for at, job in self.deferred if at <= now],
                [entry for entry in self.deferred if entry[0] > now],
            )
            for job in due:
                if job.state is State.ASKED:
                    await self.send_submit(job)
            await self.move_stranded_jobs()

    async def move_stranded_jobs(self) -> None:
        """Submits jobs of disconnected controllers to a connected one where the retry rules permit it."""
        now = anyio.current_time()
        connected = [controller for controller in self.controllers if controller.link]
        if len(connected) == len(self.controllers) or not connected:
            return
        for job in list(self.jobs.values()):
            if (
                job.controller.link is None
                and job.submit_message is not None
                and retry_rules.decide_on_link_loss(
                    job.view(), now - job.controller.disconnected_at, self.resubmit_after, True
                )
                is Decision.MOVE
            ):
                job.former_controllers.append(job.controller)
                job.controller, job.state, job.sent = connected[0], State.ASKED, False
                await self.send_submit(job)


def order_carried_out(kind: int, status: JobStatus) -> bool:
    """Whether the job's status is what carrying out the order results in."""
    if kind == HOLD:
        return status.stage == "held"
    if kind == RELEASE:
        return status.stage not in ("held", "asked")
    return status.over or status.ending


def status_from_message(message: pb.Standing, now: float) -> JobStatus:
    """The status that a controller reports; `now` is the time of day, to turn reported ages into times."""

    def time_of(age):
        return None if age < 0 else now - age

    ran, job = None, message.job
    if message.HasField("ran"):
        ran = RunResult(
            message.ran.status if message.ran.HasField("status") else None,
            message.ran.seconds,
            message.ran.core_seconds,
            message.ran.memory,
        )
    return JobStatus(
        message.key,
        STAGE_NAMES.get(message.stage, "unknown"),
        job.offering,
        job.customer,
        job.service,
        job.cores,
        job.memory,
        message.name,
        job.id,
        message.host,
        message.reason,
        ran,
        time_of(message.taken_ago),
        time_of(message.placed_ago),
        time_of(message.ended_ago),
        message.ending,
    )
