"""The journal of jobs: what is owed, what was launched, what was answered. In the controller's own store.

One transaction a turn of the engine, so that all jobs of a turn share one flush (group commit). With `power`, each
commit is flushed to the disk and outlives a loss of power; without, it is in the system's hands, which is enough for
the death of the process at any byte. All times in it are those of `state.journal_clock`.
"""

import sqlite3
import zlib
from dataclasses import dataclass

import msgspec

from linedeal.engine import effects
from linedeal.engine.events import LaunchId, Ran
from linedeal.engine.ledger import VERDICTS
from linedeal.engine.recovery import StoredAnswer, OldLaunch, OpenJob
from linedeal.interface import Job
from linedeal.state.store import Store, StoreError

TABLES = """
CREATE TABLE IF NOT EXISTS jobs (id TEXT PRIMARY KEY, session TEXT, key TEXT, job BLOB, sum INTEGER, expires REAL,
    verdict TEXT, host TEXT, answered REAL, work BLOB NOT NULL DEFAULT x'', follow INTEGER NOT NULL DEFAULT 0,
    held INTEGER NOT NULL DEFAULT 0, starts REAL, taken REAL NOT NULL DEFAULT 0, stage TEXT, life INTEGER,
    number INTEGER, reason TEXT NOT NULL DEFAULT '', ran BLOB, ended REAL, ending INTEGER NOT NULL DEFAULT 0) STRICT;
CREATE TABLE IF NOT EXISTS launches (life INTEGER, number INTEGER, job TEXT, host TEXT, boot INTEGER, sent REAL,
    void INTEGER, PRIMARY KEY (life, number)) STRICT, WITHOUT ROWID;
CREATE INDEX IF NOT EXISTS launches_of ON launches (job)
"""
FULL_AT, ROOM_AT = 0.9, 0.8  # parts of the bound: past the first it counts as full, below the second as not


class JournalFull(StoreError):
    """No room on the disk or within the bound, with the spare given up."""


@dataclass(frozen=True, slots=True)
class Found:
    """What earlier lives left: jobs owed an answer, and jobs answered and not forgotten."""

    open: tuple[OpenJob, ...]
    answers: tuple[StoredAnswer, ...]


class Journal:
    """`max_bytes`: bytes it may take. `reserve_bytes`: bytes held back on the disk, so that what is taken can be seen through."""

    def __init__(
        self, store: Store, power: bool = False, max_bytes: int = 1 << 30, reserve_bytes: int = 1 << 22
    ):
        self.store, self.db, self.max_bytes, self.reserve_bytes = store, store.db, max_bytes, reserve_bytes
        self.spare_path = store.path.with_name("spare")
        try:
            self.db.execute(f"PRAGMA synchronous={'FULL' if power else 'NORMAL'}")
            for statement in TABLES.split(";"):
                self.db.execute(statement)
            self.page = self.db.execute("PRAGMA page_size").fetchone()[0]
            self.db.execute(f"PRAGMA max_page_count={max(max_bytes // self.page, 64)}")
        except sqlite3.Error as error:
            raise StoreError(f"{store.path}: {error}") from None
        self.full, self.in_use = False, 0
        self.starved = not self.set_spare()

    # -- room

    def set_spare(self) -> bool:
        """Takes the spare on the disk; False where there is no room for it."""
        try:
            if not self.spare_path.exists() or self.spare_path.stat().st_size < self.reserve_bytes:
                with open(self.spare_path, "wb") as file:
                    for at in range(
                        0, self.reserve_bytes, 65536
                    ):  # real bytes: a hole would hold nothing back
                        file.write(b"\xa5" * min(65536, self.reserve_bytes - at))
            return True
        except OSError:
            self.give_spare()
            return False

    def give_spare(self) -> None:
        try:
            self.spare_path.unlink(missing_ok=True)
        except OSError:
            pass  # the write that wanted its room fails and says so

    def used(self) -> int:
        """Bytes in use; freed pages are used again and do not count."""
        pages, free = (
            self.db.execute(f"PRAGMA {name}").fetchone()[0] for name in ("page_count", "freelist_count")
        )
        return (pages - free) * self.page

    def look(self) -> bool:
        """Whether it counts as full: then nothing more is taken, and what is taken is seen through."""
        self.in_use = used = self.used()
        if self.starved and not self.spare_path.exists():
            self.starved = not self.set_spare()
        self.full = self.starved or used > self.max_bytes * (ROOM_AT if self.full else FULL_AT)
        return self.full

    # -- writing

    def write(self, at: float, life: int, emitted: list) -> None:
        """All that these effects ask to be kept, in one transaction. Raises StoreError; then nothing of it is kept."""
        try:
            self.transact(at, life, emitted)
        except sqlite3.Error as error:
            if not is_full(error):
                raise StoreError(f"{self.store.path}: journal cannot be written: {error}") from None
            self.full = self.starved = True
            self.give_spare()
            try:
                self.db.execute(
                    f"PRAGMA max_page_count={max((self.max_bytes + self.reserve_bytes) // self.page, 64)}"
                )
                self.transact(at, life, emitted)
            except sqlite3.Error as again:
                raise JournalFull(f"{self.store.path}: journal cannot be written: {again}") from None

    def transact(self, at, life, emitted) -> None:
        try:
            self.db.execute("BEGIN IMMEDIATE")
            for effect in emitted:
                WRITERS[type(effect)](self, at, life, effect)
            self.db.execute("COMMIT")
        except sqlite3.Error:
            if self.db.in_transaction:
                self.db.execute("ROLLBACK")
            raise

    def take(self, at, life, effect: effects.AcceptJob) -> None:
        # the promise goes into the job's record, where older versions pass over it
        job = msgspec.msgpack.encode(msgspec.to_builtins(effect.record) | {"promise": effect.guarantee})
        starts = at + effect.start_in if effect.start_in else None
        expires = effect.expires_in if effect.held or starts else at + effect.expires_in
        self.db.execute(
            "INSERT OR IGNORE INTO jobs (id, session, key, job, sum, expires, work, follow, held, starts, taken) "
            "VALUES (?, ?, ?, ?, ?, ?, ?, ?, ?, ?, ?)",
            (
                effect.job,
                effect.session,
                effect.key,
                job,
                zlib.crc32(effect.work, zlib.crc32(job)),
                expires,
                effect.work,
                effect.follow,
                effect.held,
                starts,
                at,
            ),
        )

    def launch(self, at, life, effect: effects.SendLaunch) -> None:
        self.db.execute(
            "INSERT INTO launches VALUES (?, ?, ?, ?, ?, ?, 0)",
            (life, effect.number, effect.job.id, effect.host, effect.boot, at),
        )

    def answer(self, at, life, effect: effects.Answer) -> None:
        stage, over = VERDICTS[effect.verdict.value].name, effect.verdict is not effects.Verdict.PLACED
        self.db.execute(
            "UPDATE jobs SET verdict = ?, host = ?, answered = ?, stage = ?, life = ?, number = ?, reason = ?, ended = ? "
            "WHERE id = ?",
            (
                effect.verdict.value,
                effect.host,
                at,
                stage,
                *(effect.launch or (None, None)),
                effect.reason,
                at if over else None,
                effect.job,
            ),
        )

    def hold(self, at, life, effect: effects.RecordHold) -> None:
        self.db.execute(
            "UPDATE jobs SET held = ?, starts = NULL, expires = ? WHERE id = ?",
            (effect.held, effect.remaining if effect.held else at + effect.remaining, effect.job),
        )

    def course(self, at, life, effect: effects.RecordProgress) -> None:
        ran = None if effect.ran is None else msgspec.msgpack.encode(effect.ran)
        self.db.execute(
            "UPDATE jobs SET stage = ?, reason = ?, ran = ?, ended = ?, ending = ? WHERE id = ?",
            (effect.stage, effect.reason, ran, at if effect.over else None, effect.ending, effect.job),
        )

    def void(self, at, life, effect: effects.RecordNotRun) -> None:
        self.db.execute("UPDATE launches SET void = 1 WHERE life = ? AND number = ?", effect.launch)

    def drop(self, at, life, effect: effects.DeleteRecord) -> None:
        self.db.execute("DELETE FROM launches WHERE job = ?", (effect.job,))
        self.db.execute("DELETE FROM jobs WHERE id = ?", (effect.job,))

    # -- reading

    def last_written(self) -> float:
        """The latest time in it, 0 where there is none."""
        return self.db.execute(
            "SELECT max(coalesce((SELECT max(taken) FROM jobs), 0), coalesce((SELECT max(answered) FROM jobs), 0), "
            "coalesce((SELECT max(ended) FROM jobs), 0), coalesce((SELECT max(sent) FROM launches), 0))"
        ).fetchone()[0]

    def read(self, at: float, longest: float, doubt: bool = False) -> Found:
        """What earlier lives left. `longest`: seconds that any job may wait, which bounds what a clock that jumped can
        do; `doubt`: it has jumped, so that no launch's time is believed. Raises StoreError for a record that does not
        match its checksum, or cannot be read at all."""
        try:
            return self.found(at, longest, doubt)
        except (sqlite3.Error, msgspec.MsgspecError, TypeError) as error:
            raise StoreError(f"{self.store.path}: damaged: {error}") from None

    def found(self, at: float, longest: float, doubt: bool) -> Found:
        launches: dict[str, list[OldLaunch]] = {}
        for life, number, job, host, boot, sent, void in self.db.execute(
            "SELECT life, number, job, host, boot, sent, void FROM launches ORDER BY life, number"
        ).fetchall():
            ago = float("inf") if doubt or sent > at else at - sent
            launches.setdefault(job, []).append(
                OldLaunch(LaunchId(life, number), host, boot, bool(void), ago)
            )
        open_jobs, answers = [], []
        for row in self.db.execute(
            "SELECT id, session, key, job, work, sum, expires, host, follow, held, starts, taken, stage, life, "
            "number, reason, ran, answered, ended, ending FROM jobs ORDER BY rowid"
        ).fetchall():
            (
                job_id,
                session,
                key,
                blob,
                work,
                total,
                expires,
                host,
                follow,
                held,
                starts,
                taken,
                stage,
                life,
                number,
                reason,
                ran,
                answered,
                ended,
                ending,
            ) = row
            if zlib.crc32(work, zlib.crc32(blob)) != total:
                raise StoreError(f"{self.store.path}: job {job_id} does not match its checksum")
            record = msgspec.msgpack.decode(blob, type=dict)
            promise, job = record.pop("promise", ""), msgspec.convert(record, Job)

            def ago(then):
                return None if then is None else max(0.0, at - then)

            if stage is not None:
                answers.append(
                    StoredAnswer(
                        session,
                        key,
                        job,
                        stage,
                        host or "",
                        None if life is None else LaunchId(life, number),
                        reason,
                        work,
                        bool(follow),
                        bool(ending),
                        None if ran is None else msgspec.msgpack.decode(ran, type=Ran),
                        ago(taken),
                        ago(answered),
                        ago(ended),
                    )
                )
                continue
            aside = held or starts is not None
            left = min(max(0.0, expires if aside else expires - at), longest)
            open_jobs.append(
                OpenJob(
                    session,
                    key,
                    job,
                    left,
                    tuple(launches.get(job_id, ())),
                    work,
                    bool(follow),
                    bool(held),
                    max(0.001, starts - at) if starts is not None else 0.0,
                    ago(taken),
                    promise,
                )
            )
        return Found(tuple(open_jobs), tuple(answers))


def is_full(error: sqlite3.Error) -> bool:
    code = getattr(error, "sqlite_errorcode", None)
    return code is not None and code & 0xFF == sqlite3.SQLITE_FULL


def effects_to_persist(emitted: list) -> list:
    """Those of a turn's effects that have to be on disk before any of the turn is carried out."""
    return [
        effect
        for effect in emitted
        if isinstance(
            effect, (effects.RecordNotRun, effects.DeleteRecord, effects.RecordHold, effects.RecordProgress)
        )
        or isinstance(effect, effects.AcceptJob)
        and effect.record is not None
        or isinstance(effect, (effects.SendLaunch, effects.Answer))
        and effect.persist
    ]


WRITERS = {
    effects.AcceptJob: Journal.take,
    effects.SendLaunch: Journal.launch,
    effects.Answer: Journal.answer,
    effects.RecordNotRun: Journal.void,
    effects.DeleteRecord: Journal.drop,
    effects.RecordHold: Journal.hold,
    effects.RecordProgress: Journal.course,
}
