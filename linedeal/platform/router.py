"""Maps the platform's task ids to the engine's jobs and back. Free of I/O; does not decide where jobs run."""

from dataclasses import dataclass

from linedeal import interface as api
from linedeal.engine import effects, events
from linedeal.platform import host_codec, owner_codec
from linedeal.platform.end_delivery import EndDeliveries, EndDelivery
from linedeal.platform.host_codec import Code
from linedeal.platform.request_budget import RequestBudget
from linedeal.platform.withdrawn import WithdrawnTasks

MIN_TIME_LEFT = 0.001  # seconds
IGNORED_TYPES = frozenset(("progress", "released", "note", "move", "pong"))


class UnanswerableError(Exception):
    """No reply can be given under this id, so the connection has to be closed."""


@dataclass(slots=True, eq=False)
class Task:
    """An id whose job is unanswered or running."""

    id: str
    client: int  # number of the connection on which its set-up arrived
    job: str = ""  # the engine's id of it
    size: int = 0  # bytes that its set-up is counted with until it is answered


@dataclass(frozen=True, slots=True)
class LineResult:
    """The outcome of one line: an event for the engine, a reply, or neither.

    `valid`: whether the protocol allows the line; None if that is unknown, as for a task that has ended.
    """

    event: object = None
    reply: bytes = b""
    valid: bool | None = True


class Router:
    """Translates lines of owners to engine events, and engine effects to messages for owners."""

    def __init__(
        self,
        settings: api.Settings,
        ends: EndDeliveries,
        budget: RequestBudget,
        withdrawn: WithdrawnTasks,
    ):
        """Starts without tasks; `ready` is reported in the reply to a ping.

        `ends` is notified of all running jobs; `budget` counts the set-ups without an answer, `withdrawn` has
        the ids of those that were taken back.
        """
        self.settings, self.ends, self.budget = settings, ends, budget
        self.withdrawn = withdrawn
        self.ready = False
        self.tasks: dict[str, Task] = {}
        self.by_job: dict[str, Task] = {}
        self.unanswered: dict[int, set[str]] = {}  # ids of jobs without an answer, by connection

    def is_awaited(self, task: bytes) -> bool:
        """Whether the owner still waits for an answer, as far as its messages have been read."""
        id = task.hex()
        return id in self.tasks and not self.is_running(id)

    def is_running(self, task: str) -> bool:
        """Whether a host runs its job, and its answer has been given."""
        return task in self.ends.running

    # -- from owners

    def handle_line(self, client: int, line: owner_codec.Line, waited: float = 0.0) -> LineResult:
        """Handles one line of connection `client`. Raises UnanswerableError.

        `waited`: seconds for which the line may have been unread.
        """
        if line.fault:
            return self.refuse(line.id)
        if line.type == "setup":
            return self.handle_setup(client, line, waited)
        if line.type == "release":
            return self.handle_release(client, line)
        if line.type == "ping":
            return LineResult(reply=owner_codec.encode_pong(line.id, self.ready))
        if line.type in IGNORED_TYPES:
            return LineResult(valid=line.id in self.tasks or None)
        return self.refuse(line.id)

    def refuse(self, task: str) -> LineResult:
        """Refuses a message that is invalid, or for which there is no room.

        Raises UnanswerableError if its id is that of a known task.
        """
        if task in self.tasks:
            # The owner would mistake this for a refusal of that task's job, which may have been launched.
            raise UnanswerableError("a message that is refused has the id of a known task")
        return LineResult(reply=owner_codec.encode_release(task, owner_codec.REFUSED), valid=False)

    def handle_setup(self, client: int, line: owner_codec.Line, waited: float) -> LineResult:
        """Handles a job to be placed, or one that a host runs already. Raises UnanswerableError."""
        known, is_running = self.tasks.get(line.id), self.is_running(line.id)
        try:
            request = owner_codec.parse_request(line, self.settings)
        except owner_codec.InvalidRequestError:
            return self.refuse(line.id)
        if is_running and request.host:
            # Its owner may name, on any connection, what this controller holds already.
            return LineResult()
        if known is not None:
            if known.client == client and not is_running:
                # the first set-up with this id stays in effect and is answered
                return LineResult(valid=False)
            raise UnanswerableError("a second set-up under the id of a known task")
        if line.id in self.withdrawn and not request.host:
            # Its first launch may have run: no second one, and no promise that it has not run.
            return LineResult(reply=owner_codec.encode_release(line.id, owner_codec.FAILED), valid=None)
        task = self.tasks[line.id] = Task(line.id, client)
        work = build_work(line.id, request, line.sdp)
        if request.host:
            self.ends.begin(line.id, client)
            return LineResult(
                events.RunningJobHandedOver(
                    client,
                    line.id,
                    request.offering,
                    request.customer,
                    request.service,
                    request.cores,
                    request.memory,
                    request.host,
                    work,
                )
            )
        task.size = owner_codec.memory_bytes(line)
        self.budget.add(client, task.size)
        self.unanswered.setdefault(client, set()).add(task.id)
        return LineResult(
            events.Submitted(
                client,
                line.id,
                request.offering,
                request.customer,
                request.service,
                request.cores,
                request.memory,
                # The owner counts the time from when it sent the line.
                max(MIN_TIME_LEFT, request.time_left - waited),
                work=work,
            )
        )

    def handle_release(self, client: int, line: owner_codec.Line) -> LineResult:
        """Handles an owner's cancellation, or its end of a running job. Raises UnanswerableError."""
        task = self.tasks.get(line.id)
        if task is None:
            return LineResult(valid=None)  # it may have crossed a release from here
        if self.is_running(task.id):  # belongs to no connection, so any may end it
            self.ends.release(task.id)
            # Without a job the engine has not adopted it yet: `is_ended_by_owner` says so when it has.
            return LineResult(events.StopRequested(task.job) if task.job else None)
        if task.client != client:
            raise UnanswerableError("it cancels a job of another connection")
        self.withdraw(task)
        return LineResult(events.JobWithdrawn(client, task.id))

    def outlives_connection(self, line: owner_codec.Line) -> bool:
        """Whether a line counts although its connection has ended: lines about running jobs do."""
        if line.type == "setup":
            return owner_codec.names_host(line)
        return line.type == "release" and self.is_running(line.id)

    def disconnect(self, client: int) -> events.ClientDisconnected:
        """Forgets the unanswered jobs of a connection that has ended; returns the event for the engine."""
        for task in list(self.unanswered.get(client, ())):
            self.withdraw(self.tasks[task])
        return events.ClientDisconnected(client)

    def withdraw(self, task: Task) -> None:
        """Forgets a task whose owner waits no longer; remembers its id if the engine may have launched it."""
        if task.job:
            self.withdrawn.add(task.id)
        self.remove(task)

    def remove(self, task: Task) -> None:
        """Forgets a task."""
        self.tasks.pop(task.id, None)
        self.by_job.pop(task.job, None)
        self.mark_answered(task)

    def mark_answered(self, task: Task) -> None:
        """Counts a task as answered on its connection."""
        ids = self.unanswered.get(task.client, set())
        if task.id in ids:
            self.budget.add(task.client, -task.size)
            ids.remove(task.id)
            if not ids:
                del self.unanswered[task.client]

    # -- from the engine; each returns the connection and the bytes for it, or connection 0 for none

    def on_accepted(self, effect: effects.AcceptJob | effects.Adopt) -> None:
        """Notes the engine's id of a job."""
        task = self.tasks.get(effect.key)
        if task is not None:
            task.job = effect.job
            self.by_job[effect.job] = task

    def on_adopted(self, effect: effects.Adopt) -> None:
        """Notes the engine's id of a job that was handed over."""
        self.on_accepted(effect)
        self.ends.recipients.on_handed_over(effect.client, effect.key)

    def is_ended_by_owner(self, task: str) -> bool:
        """Whether its owner has ended a task that runs."""
        return self.ends.is_released(task)

    def on_declined(self, effect: effects.DeclineJob) -> tuple[int, bytes]:
        """Refuses a job that the engine did not accept."""
        task = self.tasks.get(effect.key)
        if task is None or task.client != effect.client:
            return 0, b""
        self.remove(task)
        self.ends.discard(task.id)
        self.ends.recipients.on_refused(task.client)
        return task.client, owner_codec.encode_release(task.id, owner_codec.REFUSED)

    def on_answer(self, effect: effects.Answer) -> tuple[int, bytes]:
        """Passes on the engine's answer to a job."""
        task = self.by_job.get(effect.job)
        if task is None:
            return 0, b""
        if effect.verdict is effects.Verdict.PLACED:
            self.mark_answered(task)
            self.ends.begin(task.id, task.client)
            self.ends.recipients.on_placed(task.client, task.id)
            return task.client, owner_codec.encode_answer(task.id, effect.host_reply)
        self.remove(task)
        self.ends.recipients.on_refused(task.client)
        cause = owner_codec.REFUSED if effect.verdict is effects.Verdict.REJECTED else owner_codec.FAILED
        return task.client, owner_codec.encode_release(task.id, cause)

    def on_ended(self, effect: effects.NotifyEnded) -> EndDelivery | None:
        """Passes on the end of a running job, unless its owner ended it; returns what is to be queued now."""
        task = self.by_job.get(effect.job)
        if task is None:
            return None
        self.remove(task)
        if effect.result is api.Result.STOPPED:
            self.ends.release(task.id)
        is_done = effect.result is api.Result.DONE
        message = owner_codec.encode_release(task.id, owner_codec.NORMAL if is_done else owner_codec.LOST)
        return self.ends.end(task.id, message, confirmed=is_done)


def build_work(task: str, request: owner_codec.JobRequest, description: str) -> bytes:
    """The bytes that go to the host unchanged: the id, and the parameters that the owner gave."""
    parts = [bytes.fromhex(task), host_codec.parameter(Code.OFFERING, request.offering.encode())]
    if request.key:
        parts.append(host_codec.parameter(Code.KEY, request.key.encode()))
    if request.mark:
        parts.append(host_codec.parameter(Code.MARK, request.mark.encode()))
    parts.append(host_codec.parameter(Code.DESCRIPTION, description.encode()))
    return b"".join(parts)
