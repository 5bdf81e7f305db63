"""Maps the platform's task ids to the engine's jobs and back. Free of I/O; decides nothing of where jobs go."""

from dataclasses import dataclass

from linedeal import interface as api
from linedeal.engine import effects
from linedeal.engine import events
from linedeal.platform import host_codec, owner_codec
from linedeal.platform.host_codec import Code

LEFT_LEAST = 0.001  # seconds
PASSED_OVER = frozenset(("progress", "released", "note", "move", "pong"))


class Unwelcome(Exception):
    """No answer can be given under that id: the connection has to be closed."""


@dataclass(slots=True, eq=False)
class Task:
    """One id that is open or stands."""

    id: str
    client: int  # the connection that its set-up came on
    job: str = ""  # the engine's name for it
    stands: bool = False
    ending: bool = False  # its owner has ended it and is owed no more


@dataclass(frozen=True, slots=True)
class Heard:
    """What one line comes to: an event for the engine, or a reply, or nothing. `usual`: as the protocol has it; None
    where that cannot be told, as of a word about a task that has ended."""

    event: object = None
    reply: bytes = b""
    usual: bool | None = True


class Route:
    def __init__(self, settings: api.Settings):
        self.settings = settings
        self.ready = False
        self.tasks: dict[str, Task] = {}
        self.by_job: dict[str, Task] = {}
        self.open: dict[int, set[str]] = {}  # ids that are owed an answer, by connection

    def waits(self, task: bytes) -> bool:
        """Whether its owner waits for it still: it has neither gone nor cancelled, as far as has been read."""
        known = self.tasks.get(task.hex())
        return known is not None and not known.stands

    # -- from owners

    def heard(self, client: int, line: owner_codec.Line, waited: float = 0.0) -> Heard:
        """`waited`: seconds for which it may have lain unread. Raises Unwelcome."""
        if line.fault:
            return self.refused(line.id)
        if line.type == "setup":
            return self.setup(client, line, waited)
        if line.type == "release":
            return self.released(client, line)
        if line.type == "ping":
            return Heard(reply=owner_codec.pong(line.id, self.ready))
        if line.type in PASSED_OVER:
            return Heard(usual=line.id in self.tasks or None)
        return self.refused(line.id)

    def refused(self, task: str) -> Heard:
        if (
            task in self.tasks
        ):  # a refusal would be one of the job that has this id, which may have been launched
            raise Unwelcome("a message that cannot be read has the id of a known task")
        return Heard(reply=owner_codec.release(task, owner_codec.REFUSED), usual=False)

    def setup(self, client: int, line: owner_codec.Line, waited: float) -> Heard:
        known = self.tasks.get(line.id)
        try:
            ask = owner_codec.read_ask(line, self.settings)
        except owner_codec.BadAsk:
            return self.refused(line.id)
        if known is not None:
            if known.client == client and not known.stands or known.stands and ask.at:
                return Heard(usual=False)  # the first of that id goes on, and is answered
            raise Unwelcome("a second set-up under the id of a known task")
        task = self.tasks[line.id] = Task(line.id, client, stands=bool(ask.at))
        work = work_of(line.id, ask, line.sdp)
        if ask.at:
            return Heard(
                events.RunningJobHandedOver(
                    client,
                    line.id,
                    ask.offering,
                    ask.customer,
                    ask.service,
                    ask.cores,
                    ask.memory,
                    ask.at,
                    work,
                )
            )
        self.open.setdefault(client, set()).add(task.id)
        return Heard(
            events.Submitted(
                client,
                line.id,
                ask.offering,
                ask.customer,
                ask.service,
                ask.cores,
                ask.memory,
                max(LEFT_LEAST, ask.left - waited),
                work=work,
            )
        )  # it counts from when it was sent

    def released(self, client: int, line: owner_codec.Line) -> Heard:
        task = self.tasks.get(line.id)
        if task is None:
            return Heard(usual=None)  # it may have crossed ours
        if task.stands:  # belongs to no connection
            task.ending = True
            return Heard(events.StopRequested(task.job))
        if task.client != client:
            raise Unwelcome("it gives up what another connection has open")
        self.drop(task)
        return Heard(events.JobWithdrawn(client, task.id))

    def outlives(self, line: owner_codec.Line) -> bool:
        """Whether it counts though the connection that brought it has gone: what is about jobs that stand."""
        if line.type == "setup":
            return "at:" in str(line.fields.get("extras", ""))
        return line.type == "release" and line.id in self.tasks and self.tasks[line.id].stands

    def client_left(self, client: int) -> events.ClientDisconnected:
        for task in list(self.open.get(client, ())):
            self.drop(self.tasks[task])
        return events.ClientDisconnected(client)

    def drop(self, task: Task) -> None:
        self.tasks.pop(task.id, None)
        self.by_job.pop(task.job, None)
        self.answered(task)

    def answered(self, task: Task) -> None:
        mine = self.open.get(task.client)
        if mine is not None:
            mine.discard(task.id)
            if not mine:
                del self.open[task.client]

    # -- from the engine; each gives the connection meant, or 0 for none, and the bytes for it

    def taken(self, effect: effects.AcceptJob | effects.Adopt) -> None:
        task = self.tasks.get(effect.key)
        if task is not None:
            task.job = effect.job
            self.by_job[effect.job] = task

    def turned_away(self, effect: effects.DeclineJob) -> tuple[int, bytes]:
        task = self.tasks.get(effect.key)
        if task is None or task.client != effect.client:
            return 0, b""
        self.drop(task)
        return task.client, owner_codec.release(task.id, owner_codec.REFUSED)

    def answer(self, effect: effects.Answer) -> tuple[int, bytes]:
        task = self.by_job.get(effect.job)
        if task is None:
            return 0, b""
        if effect.verdict is effects.Verdict.PLACED:
            task.stands = True
            self.answered(task)
            return task.client, owner_codec.answer(task.id, effect.host_reply)
        self.drop(task)
        cause = owner_codec.REFUSED if effect.verdict is effects.Verdict.REJECTED else owner_codec.FAILED
        return task.client, owner_codec.release(task.id, cause)

    def over(self, effect: effects.NotifyEnded) -> tuple[int, bytes]:
        """What stood has ended: its owner hears of it, unless it was the owner that ended it."""
        task = self.by_job.get(effect.job)
        if task is None:
            return 0, b""
        self.drop(task)
        if task.ending or effect.result is api.Result.STOPPED:
            return 0, b""
        return task.client, owner_codec.release(
            task.id, owner_codec.GIVEN_UP if effect.result is api.Result.DONE else owner_codec.CUT
        )


def work_of(task: str, ask: owner_codec.Ask, description: str) -> bytes:
    """What goes to the host unchanged: the id, and the parameters that its owner gave."""
    parts = [bytes.fromhex(task), host_codec.parameter(Code.OFFERING, ask.offering.encode())]
    if ask.key:
        parts.append(host_codec.parameter(Code.KEY, ask.key.encode()))
    if ask.mark:
        parts.append(host_codec.parameter(Code.MARK, ask.mark.encode()))
    parts.append(host_codec.parameter(Code.DESCRIPTION, description.encode()))
    return b"".join(parts)
