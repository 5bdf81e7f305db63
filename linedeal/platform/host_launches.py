"""The launches that are out or running at one host, and what the host's frames say about them.

Free of I/O: frames come in, events for the engine go out.
"""

from linedeal.engine import events
from linedeal.interface import Reason, Result
from linedeal.net import FrameError
from linedeal.platform import host_codec, owner_codec
from linedeal.platform.host_codec import Code, Type
from linedeal.platform.host_connection import Connection, release_frame
from linedeal.wiresettings import METRICS, REASONS

INCARNATION = 1  # always the first: a controller on the platform knows of no earlier run
REASON_BY_NAME = dict(
    zip(
        ("nc", "nm", "nq", "nh", "ev", "pre", "dr"),
        (REASONS[number] for number in range(1, 8)),
        strict=False,
    )
)
NOTE_NAMES = dict(
    zip(("live", "c", "m", "s", "p"), (METRICS[number] for number in range(1, 6)), strict=False)
)
NEVER_RAN = frozenset((owner_codec.REFUSED, owner_codec.NOT_SENT))
# Causes that a host gives only for a launch that it has not accepted.
BEFORE_ACCEPTANCE = NEVER_RAN | {owner_codec.FAILED}
RESULT_BY_CAUSE = {
    owner_codec.NORMAL: Result.DONE,
    owner_codec.STOPPED: Result.STOPPED,
    owner_codec.FAILED: Result.ERROR,
}


class HostLaunches:
    """What one host holds, as far as its frames have said."""

    def __init__(self, host: str, report_names: dict[str, str]):
        """Starts empty. `report_names`: the engine's name for each figure of the host's reports."""
        self.host, self.report_names = host, report_names
        self.task_by_launch: dict[int, bytes] = {}  # of launches that are unanswered or running
        self.running: dict[bytes, int] = {}  # launches whose jobs run there, by task
        # Running tasks that are to end, until the host reports that they have ended.
        self.stopping: dict[bytes, None] = {}
        # Tasks of launches that ended without a reply, each with the time until which it may be launched
        # again. What the host sends about one of them may concern the earlier launch.
        self.unconfirmed: dict[bytes, float] = {}

    def adopt(self, number: int, task: bytes) -> None:
        """Notes a job that runs there already."""
        self.task_by_launch[number] = task
        self.running[task] = number

    def forget(self, number: int) -> bytes | None:
        """Forgets a job that has ended, without a frame of the host; returns its task if it ran there."""
        task = self.task_by_launch.pop(number, None)
        if task is None or self.running.get(task) != number:
            return None
        del self.running[task]
        self.stopping.pop(task, None)
        return task

    def on_connection_lost(self, connection: Connection) -> None:
        """Forgets the launches that were out on a connection, and remembers those that may have arrived."""
        for task, number in connection.unanswered.items():
            self.task_by_launch.pop(number, None)
            if number not in connection.unsent:
                self.unconfirmed[task] = connection.carried[task]

    def handle_frame(self, connection: Connection, frame: host_codec.Frame):
        """Returns the engine's event, or None if there is none. Raises FrameError."""
        host, task = self.host, frame.task
        if frame.type == Type.NOTE:
            number, metric = self.running.get(task), NOTE_NAMES.get(frame.text(Code.NAME))
            value = host_codec.parse_figure(frame.text(Code.FIGURE)) if metric != "started" else 1.0
            if number is None or metric is None or value is None:
                return None
            return events.MetricReported(host, events.LaunchId(INCARNATION, number), metric, value)
        if frame.type == Type.PONG:
            number = connection.probes.pop(task, None)
            if number is None or frame.cause() != 1:
                return None
            figures = frame.figures(Code.REPORT)
            return events.ProbeReported(
                host,
                number,
                {
                    self.report_names[name]: value
                    for name, value in figures.items()
                    if name in self.report_names
                },
            )
        if (
            frame.type == Type.ANSWER
            and task in connection.unanswered
            and connection.unanswered[task] not in connection.unsent
        ):
            description = frame.text(Code.DESCRIPTION)
            if not description:
                raise FrameError("an answer without a description")
            number = connection.unanswered.pop(task)
            self.running[task] = number
            return events.Accepted(host, events.LaunchId(INCARNATION, number), description)
        if frame.type == Type.ANSWER and task in connection.cancelled:
            return self.accept_despite_cancel(connection, frame)
        if frame.type == Type.RELEASE:
            return self.handle_release(connection, frame)
        if frame.type == Type.PING:
            connection.enqueue(host_codec.encode(Type.PONG, task, host_codec.parameter(Code.CAUSE, b"\x01")))
        return None  # repeated frames, unknown tasks and other types are ignored

    def accept_despite_cancel(self, connection: Connection, frame: host_codec.Frame):
        """Accepts an answer that arrives before its launch's cancellation is written; withdraws that.

        Were the answer ignored, the job would run there until the cancellation arrives, and be launched
        elsewhere as if it never had.
        """
        task, description = frame.task, frame.text(Code.DESCRIPTION)
        if not description or release_frame(task) not in connection.outbox:
            return None  # the cancellation is on its way, and ends the job there
        connection.outbox.remove(release_frame(task))
        number = connection.cancelled.pop(task)
        self.task_by_launch[number] = task
        self.running[task] = number
        return events.Accepted(
            self.host, events.LaunchId(INCARNATION, number), description, cancel_withdrawn=True
        )

    def handle_release(self, connection: Connection, frame: host_codec.Frame):
        """Returns the event of a refusal, a failed launch or an ended job, if any. Raises FrameError."""
        host, task, cause = self.host, frame.task, frame.cause()
        reason = REASON_BY_NAME.get(frame.text(Code.NAME), Reason.UNTOLD)
        number = connection.unanswered.get(task)
        ambiguous = task in self.unconfirmed and cause not in BEFORE_ACCEPTANCE
        if ambiguous and task not in self.stopping and (cause == owner_codec.STOPPED or number is not None):
            return None  # of the earlier launch, which the host had accepted when its cancellation arrived
        if number is not None and number not in connection.unsent:
            del connection.unanswered[task]
            self.task_by_launch.pop(number, None)
            launch = events.LaunchId(INCARNATION, number)
            if cause == owner_codec.REFUSED:
                return events.Refused(host, launch, reason)
            if cause == owner_codec.NOT_SENT:
                return events.LaunchesUnsent(host, (number,))
            return events.LaunchEnded(
                host, launch, Result.ERROR if cause == owner_codec.FAILED else Result.CUT, reason
            )
        if cause in NEVER_RAN:
            return None  # a late copy about an earlier launch: what runs has been accepted
        number = self.running.pop(task, None)
        if number is None:
            return None
        self.task_by_launch.pop(number, None)
        self.stopping.pop(task, None)
        return events.LaunchEnded(
            host, events.LaunchId(INCARNATION, number), RESULT_BY_CAUSE.get(cause, Result.CUT), reason
        )
