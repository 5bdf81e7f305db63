"""The state of each job that a session owns, from submission to its end. One entry per job. No I/O, no clock.

The five rules are about the answer (placed, rejected, written off). A job that is followed also has a history
after its answer: started, ended, and how. The ledger keeps it for the owner and reports which steps changed
it.
"""

from dataclasses import dataclass, field
from enum import Enum

from linedeal.engine.events import LaunchId, Ran
from linedeal.interface import Job, Reason, Result


class Stage(Enum):
    """The stage of a job."""

    HELD = "its owner holds it"
    LATER = "its start time has not come"
    WAITING = "waits for a host"
    PLACED = "a host has it"
    RUNNING = "started"
    DONE = "ran to its end"
    ERROR = "its host failed it"
    LOST = "lost with its host"
    STOPPED = "ended by its owner"
    REJECTED = "rejected"
    WRITTEN_OFF = "written off"


UNANSWERED = (Stage.HELD, Stage.LATER, Stage.WAITING)
AT_HOST = (Stage.PLACED, Stage.RUNNING)
STAGE_OF_RESULT = {Result.DONE: Stage.DONE, Result.ERROR: Stage.ERROR, Result.STOPPED: Stage.STOPPED}
VERDICTS = {"placed": Stage.PLACED, "rejected": Stage.REJECTED, "written off": Stage.WRITTEN_OFF}


@dataclass(slots=True, eq=False)
class Entry:
    """One job of a session.

    Times are seconds on the engine's clock; before the start of this incarnation for what an earlier one did.
    """

    session: str
    key: str
    job: Job
    work: bytes = b""
    follow: bool = False
    stage: Stage = Stage.WAITING
    taken_at: float = 0.0
    placed_at: float | None = None
    ended_at: float | None = None
    host: str = ""
    launch: LaunchId | None = None  # the one that was placed
    reason: str = ""
    ran: Ran | None = None
    ending: bool = False  # its owner has ordered its end
    timer: int = 0  # number of the timer that ends its hold or its wait for the start time

    @property
    def verdict(self) -> str:
        """Its answer; empty while it is owed."""
        if self.stage in UNANSWERED:
            return ""
        return {Stage.REJECTED: "rejected", Stage.WRITTEN_OFF: "written off"}.get(self.stage, "placed")

    @property
    def over(self) -> bool:
        """Whether the stage is final."""
        return self.stage not in UNANSWERED and self.stage not in AT_HOST


@dataclass(slots=True)
class Ledger:
    """All entries, by session and key, by job and by session."""

    entries: dict[tuple[str, str], Entry] = field(default_factory=dict)
    by_job: dict[str, Entry] = field(default_factory=dict)
    by_session: dict[str, dict[str, Entry]] = field(default_factory=dict)

    def add(self, entry: Entry) -> None:
        """Adds an entry, replacing one of the same session and key."""
        self.entries[entry.session, entry.key] = self.by_job[entry.job.id] = entry
        self.by_session.setdefault(entry.session, {})[entry.key] = entry

    def remove(self, entry: Entry) -> None:
        """Removes an entry."""
        del self.entries[entry.session, entry.key], self.by_job[entry.job.id]
        of_session = self.by_session[entry.session]
        del of_session[entry.key]
        if not of_session:
            del self.by_session[entry.session]

    def page(self, session: str, after: str, limit: int) -> tuple[list[Entry], bool]:
        """Up to `limit` of the session's jobs accepted after key `after`, and whether there are more."""
        found = self.by_session.get(session, {})
        keys = iter(found)
        if after in found:
            for key in keys:
                if key == after:
                    break
        page = []
        for key in keys:
            if len(page) == limit:
                return page, True
            page.append(found[key])
        return page, False

    def record_answer(
        self, entry: Entry, now: float, verdict: str, host: str, launch: LaunchId | None, reason: str
    ) -> None:
        """Records the answer; a reason that is known already stays."""
        entry.stage, entry.host, entry.launch = VERDICTS[verdict], host, launch
        entry.reason = entry.reason or reason
        if entry.stage is Stage.PLACED:
            entry.placed_at = now
        else:
            entry.ended_at = now

    def of_launch(self, job: str, launch: LaunchId) -> Entry | None:
        """The job's entry, if this launch was placed and the job is still at its host."""
        entry = self.by_job.get(job)
        return entry if entry is not None and entry.launch == launch and entry.stage in AT_HOST else None

    def record_start(self, job: str, launch: LaunchId) -> Entry | None:
        """Records that a placed job runs; returns its entry if that is news."""
        entry = self.of_launch(job, launch)
        if entry is None or entry.stage is Stage.RUNNING:
            return None
        entry.stage = Stage.RUNNING
        return entry

    def record_end(
        self, job: str, launch: LaunchId, now: float, result: Result, reason: Reason, ran: Ran | None
    ) -> Entry | None:
        """Records how a placed job ended; returns its entry if that is news."""
        entry = self.of_launch(job, launch)
        if entry is None:
            return None
        entry.stage, entry.ended_at, entry.ran = STAGE_OF_RESULT.get(result, Stage.LOST), now, ran
        entry.reason = "" if entry.stage is Stage.DONE or reason is Reason.UNTOLD else reason.value
        return entry
