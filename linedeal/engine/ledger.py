"""How each job of a session stands, from its first word to its end. One record a job; free of I/O and clock.

The answer (placed, rejected, written off) is what the five rules speak of. A job that is followed has a course after
it: started, ended, how. The ledger keeps that course for its owner, and says which step changed what is shown.
"""

from dataclasses import dataclass, field
from enum import Enum

from linedeal.engine.events import LaunchId, Ran
from linedeal.interface import Job, Reason, Result


class Stage(Enum):
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


BEFORE = (Stage.HELD, Stage.LATER, Stage.WAITING)  # owed an answer
AT_HOST = (Stage.PLACED, Stage.RUNNING)
ENDS = {Result.DONE: Stage.DONE, Result.ERROR: Stage.ERROR, Result.STOPPED: Stage.STOPPED}
VERDICTS = {"placed": Stage.PLACED, "rejected": Stage.REJECTED, "written off": Stage.WRITTEN_OFF}


@dataclass(slots=True, eq=False)
class Entry:
    """Times are seconds on the engine's clock; under those of this life for what an earlier one did."""

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
    launch: LaunchId | None = None  # that was placed
    reason: str = ""
    ran: Ran | None = None
    ending: bool = False  # its owner wants it ended
    timer: int = 0  # of its hold's end or its start time

    @property
    def verdict(self) -> str:
        """Its answer; empty while it is owed."""
        if self.stage in BEFORE:
            return ""
        return {Stage.REJECTED: "rejected", Stage.WRITTEN_OFF: "written off"}.get(self.stage, "placed")

    @property
    def over(self) -> bool:
        """Nothing will change any more."""
        return self.stage not in BEFORE and self.stage not in AT_HOST


@dataclass(slots=True)
class Ledger:
    entries: dict[tuple[str, str], Entry] = field(default_factory=dict)
    by_job: dict[str, Entry] = field(default_factory=dict)
    by_session: dict[str, dict[str, Entry]] = field(default_factory=dict)

    def add(self, entry: Entry) -> None:
        self.entries[entry.session, entry.key] = self.by_job[entry.job.id] = entry
        self.by_session.setdefault(entry.session, {})[entry.key] = entry

    def drop(self, entry: Entry) -> None:
        del self.entries[entry.session, entry.key], self.by_job[entry.job.id]
        of_session = self.by_session[entry.session]
        del of_session[entry.key]
        if not of_session:
            del self.by_session[entry.session]

    def page(self, session: str, after: str, most: int) -> tuple[list[Entry], bool]:
        """The session's jobs that were taken after key `after`, at most so many, and whether there are more."""
        found = self.by_session.get(session, {})
        keys = iter(found)
        if after in found:
            for key in keys:
                if key == after:
                    break
        page = []
        for key in keys:
            if len(page) == most:
                return page, True
            page.append(found[key])
        return page, False

    def answered(
        self, entry: Entry, now: float, verdict: str, host: str, launch: LaunchId | None, reason: str
    ) -> None:
        entry.stage, entry.host, entry.launch = VERDICTS[verdict], host, launch
        entry.reason = entry.reason or reason
        if entry.stage is Stage.PLACED:
            entry.placed_at = now
        else:
            entry.ended_at = now

    def of_launch(self, job: str, launch: LaunchId) -> Entry | None:
        """The entry whose placed launch that is, while it is at its host."""
        entry = self.by_job.get(job)
        return entry if entry is not None and entry.launch == launch and entry.stage in AT_HOST else None

    def started(self, job: str, launch: LaunchId) -> Entry | None:
        entry = self.of_launch(job, launch)
        if entry is None or entry.stage is Stage.RUNNING:
            return None
        entry.stage = Stage.RUNNING
        return entry

    def ended(
        self, job: str, launch: LaunchId, now: float, result: Result, why: Reason, ran: Ran | None
    ) -> Entry | None:
        entry = self.of_launch(job, launch)
        if entry is None:
            return None
        entry.stage, entry.ended_at, entry.ran = ENDS.get(result, Stage.LOST), now, ran
        entry.reason = "" if entry.stage is Stage.DONE or why is Reason.UNTOLD else why.value
        return entry
