"""The job journal: accepted jobs, launches and answers, in the controller's store.

Each engine step is one transaction, so that all its jobs share one flush (group commit). With `power`, each
commit is flushed to the disk and survives a power failure; without, it is left to the operating system, which
is enough to survive a kill of the process at any byte. All times in the journal are those of
`state.journal_clock`.
"""

import sqlite3
import zlib
from dataclasses import dataclass

import msgspec

from linedeal.engine import effects
from linedeal.engine.events import LaunchId, Ran
from linedeal.engine.ledger import VERDICTS
from linedeal.engine.recovery import OldLaunch, OpenJob, StoredAnswer
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
"""  # noqa: E501 - SQLite stores the text of the statements
# shares of the size limit: above the first the journal counts as full, below the second as no longer full
FULL_AT, NOT_FULL_AT = 0.9, 0.8
RESERVE_CHUNK_BYTES = 65536  # written at once when the reserve file is created
MIN_DATABASE_PAGES = 64  # lower limit of max_page_count, so that the tables always fit


class JournalFullError(StoreError):
    """The disk or the size limit leaves no space, with the reserve released."""


@dataclass(frozen=True, slots=True)
class JournalContents:
    """The jobs of earlier incarnations: those without an answer, and those with a stored answer."""

    open: tuple[OpenJob, ...]
    answers: tuple[StoredAnswer, ...]


class Journal:
    """Stores the jobs of sessions, their launches and answers."""

    def __init__(
        self, store: Store, power: bool = False, max_bytes: int = 1 << 30, reserve_bytes: int = 1 << 22
    ):
        """Opens the journal in `store`. Raises StoreError.

        `power` flushes each commit to the disk. `max_bytes` limits the size of the database. `reserve_bytes`
        are allocated in a separate file, which is deleted when the disk is full: accepted jobs can then still
        be completed.
        """
        self.store, self.db, self.max_bytes, self.reserve_bytes = store, store.db, max_bytes, reserve_bytes
        self.reserve_path = store.path.with_name("spare")
        try:
            self.db.execute(f"PRAGMA synchronous={'FULL' if power else 'NORMAL'}")
            for statement in TABLES.split(";"):
                self.db.execute(statement)
            self.page_bytes = self.db.execute("PRAGMA page_size").fetchone()[0]
            self.db.execute(f"PRAGMA max_page_count={max(max_bytes // self.page_bytes, MIN_DATABASE_PAGES)}")
        except sqlite3.Error as error:
            raise StoreError(f"{store.path}: {error}") from None
        self.full, self.last_bytes_in_use = False, 0
        self.reserve_missing = not self.create_reserve()

    # -- space

    def create_reserve(self) -> bool:
        """Creates the reserve file if it is missing or too short; False if the disk has no space for it."""
        try:
            if not self.reserve_path.exists() or self.reserve_path.stat().st_size < self.reserve_bytes:
                with open(self.reserve_path, "wb") as file:
                    # written in full: a sparse file would not allocate disk space
                    for offset in range(0, self.reserve_bytes, RESERVE_CHUNK_BYTES):
                        file.write(b"\xa5" * min(RESERVE_CHUNK_BYTES, self.reserve_bytes - offset))
            return True
        except OSError:
            self.release_reserve()
            return False

    def release_reserve(self) -> None:
        """Deletes the reserve file, which frees its disk space."""
        try:
            self.reserve_path.unlink(missing_ok=True)
        except OSError:
            pass  # the write that needs the space fails and reports it

    def bytes_in_use(self) -> int:
        """Bytes of the database in use, without free pages, which SQLite uses again."""
        pages, free_pages = (
            self.db.execute(f"PRAGMA {name}").fetchone()[0] for name in ("page_count", "freelist_count")
        )
        return (pages - free_pages) * self.page_bytes

    def check_space(self) -> bool:
        """Measures the size and returns whether the journal counts as full.

        While it is full, no jobs of sessions are accepted; accepted jobs are completed. The limits for
        becoming full and for becoming usable again differ, so that the state does not alternate near the
        limit.
        """
        self.last_bytes_in_use = in_use = self.bytes_in_use()
        if self.reserve_missing and not self.reserve_path.exists():
            self.reserve_missing = not self.create_reserve()
        self.full = self.reserve_missing or in_use > self.max_bytes * (NOT_FULL_AT if self.full else FULL_AT)
        return self.full

    # -- writing

    def write(self, at: float, life: int, emitted: list) -> None:
        """Writes these effects in one transaction, at journal time `at`, in seconds.

        If the disk is full, the reserve is released and the transaction repeated. Raises StoreError, or
        JournalFullError if there is still no space; nothing of the transaction is stored then.
        """
        try:
            self.transact(at, life, emitted)
        except sqlite3.Error as error:
            if not is_full(error):
                raise StoreError(f"{self.store.path}: journal cannot be written: {error}") from None
            self.full = self.reserve_missing = True
            self.release_reserve()
            try:
                self.db.execute(
                    "PRAGMA max_page_count="
                    f"{max((self.max_bytes + self.reserve_bytes) // self.page_bytes, MIN_DATABASE_PAGES)}"
                )
                self.transact(at, life, emitted)
            except sqlite3.Error as retry_error:
                raise JournalFullError(
                    f"{self.store.path}: journal cannot be written: {retry_error}"
                ) from None

    def transact(self, at, life, emitted) -> None:
        """Writes these effects in one transaction, which is rolled back on sqlite3.Error."""
        try:
            self.db.execute("BEGIN IMMEDIATE")
            for effect in emitted:
                WRITERS[type(effect)](self, at, life, effect)
            self.db.execute("COMMIT")
        except sqlite3.Error:
            if self.db.in_transaction:
                self.db.execute("ROLLBACK")
            raise

    def insert_job(self, at, life, effect: effects.AcceptJob) -> None:
        """Stores an accepted job, with a checksum over its record and work."""
        # the effect guarantee is a key of the encoded record, which older versions ignore
        job = msgspec.msgpack.encode(msgspec.to_builtins(effect.record) | {"promise": effect.guarantee})
        starts = at + effect.start_in if effect.start_in else None
        expires = effect.expires_in if effect.held or starts else at + effect.expires_in
        self.db.execute(
            "INSERT OR IGNORE INTO jobs "
            "(id, session, key, job, sum, expires, work, follow, held, starts, taken) "
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

    def insert_launch(self, at, life, effect: effects.SendLaunch) -> None:
        """Stores a launch before it is sent."""
        self.db.execute(
            "INSERT INTO launches VALUES (?, ?, ?, ?, ?, ?, 0)",
            (life, effect.number, effect.job.id, effect.host, effect.boot, at),
        )

    def store_answer(self, at, life, effect: effects.Answer) -> None:
        """Stores the answer given for a job."""
        stage, over = VERDICTS[effect.verdict.value].name, effect.verdict is not effects.Verdict.PLACED
        self.db.execute(
            "UPDATE jobs SET verdict = ?, host = ?, answered = ?, stage = ?, life = ?, number = ?, "
            "reason = ?, ended = ? WHERE id = ?",
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

    def store_hold(self, at, life, effect: effects.RecordHold) -> None:
        """Stores that a job is held or released, with the time that it may still wait."""
        self.db.execute(
            "UPDATE jobs SET held = ?, starts = NULL, expires = ? WHERE id = ?",
            (effect.held, effect.remaining if effect.held else at + effect.remaining, effect.job),
        )

    def store_progress(self, at, life, effect: effects.RecordProgress) -> None:
        """Stores the stage of a placed job."""
        ran = None if effect.ran is None else msgspec.msgpack.encode(effect.ran)
        self.db.execute(
            "UPDATE jobs SET stage = ?, reason = ?, ran = ?, ended = ?, ending = ? WHERE id = ?",
            (effect.stage, effect.reason, ran, at if effect.over else None, effect.ending, effect.job),
        )

    def mark_not_run(self, at, life, effect: effects.RecordNotRun) -> None:
        """Stores that a launch did not run."""
        self.db.execute("UPDATE launches SET void = 1 WHERE life = ? AND number = ?", effect.launch)

    def delete_job(self, at, life, effect: effects.DeleteRecord) -> None:
        """Deletes a job and its launches."""
        self.db.execute("DELETE FROM launches WHERE job = ?", (effect.job,))
        self.db.execute("DELETE FROM jobs WHERE id = ?", (effect.job,))

    # -- reading

    def last_written(self) -> float:
        """The latest time in the journal, in seconds; 0 if it is empty."""
        return self.db.execute(
            "SELECT max(coalesce((SELECT max(taken) FROM jobs), 0), "
            "coalesce((SELECT max(answered) FROM jobs), 0), "
            "coalesce((SELECT max(ended) FROM jobs), 0), coalesce((SELECT max(sent) FROM launches), 0))"
        ).fetchone()[0]

    def read(self, at: float, max_wait: float, doubt: bool = False) -> JournalContents:
        """The jobs of earlier incarnations, with times relative to journal time `at`, in seconds.

        `max_wait` limits the seconds that a job may still wait, even if a change of the clock altered its
        times. With `doubt` the clock was set back, and the send times of launches count as unknown. Raises
        StoreError for a record that does not match its checksum or cannot be decoded.
        """
        try:
            return self.read_tables(at, max_wait, doubt)
        except (sqlite3.Error, msgspec.MsgspecError, TypeError) as error:
            raise StoreError(f"{self.store.path}: damaged: {error}") from None

    def read_tables(self, at: float, max_wait: float, doubt: bool) -> JournalContents:
        """As `read`, but raises the errors of sqlite3 and msgspec as they are."""
        launches: dict[str, list[OldLaunch]] = {}
        for life, number, job, host, boot, sent, void in self.db.execute(
            "SELECT life, number, job, host, boot, sent, void FROM launches ORDER BY life, number"
        ).fetchall():
            sent_ago = float("inf") if doubt or sent > at else at - sent
            launches.setdefault(job, []).append(
                OldLaunch(LaunchId(life, number), host, boot, bool(void), sent_ago)
            )
        open_jobs, answers = [], []
        for row in self.db.execute(
            "SELECT id, session, key, job, work, sum, expires, host, follow, held, starts, taken, stage, "
            "life, number, reason, ran, answered, ended, ending FROM jobs ORDER BY rowid"
        ).fetchall():
            (
                job_id,
                session,
                key,
                encoded_record,
                work,
                checksum,
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
            if zlib.crc32(work, zlib.crc32(encoded_record)) != checksum:
                raise StoreError(f"{self.store.path}: job {job_id} does not match its checksum")
            record = msgspec.msgpack.decode(encoded_record, type=dict)
            guarantee, job = record.pop("promise", ""), msgspec.convert(record, Job)

            def ago(time):
                return None if time is None else max(0.0, at - time)

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
            # the expiry of a job that is held or starts later is stored as a duration
            not_released = held or starts is not None
            expires_in = min(max(0.0, expires if not_released else expires - at), max_wait)
            open_jobs.append(
                OpenJob(
                    session,
                    key,
                    job,
                    expires_in,
                    tuple(launches.get(job_id, ())),
                    work,
                    bool(follow),
                    bool(held),
                    max(0.001, starts - at) if starts is not None else 0.0,
                    ago(taken),
                    guarantee,
                )
            )
        return JournalContents(tuple(open_jobs), tuple(answers))


def is_full(error: sqlite3.Error) -> bool:
    """Whether the error reports a full disk or a database at its size limit."""
    code = getattr(error, "sqlite_errorcode", None)
    return code is not None and code & 0xFF == sqlite3.SQLITE_FULL


def effects_to_persist(emitted: list) -> list:
    """The effects of an engine step that must be on disk before any effect of the step is executed."""
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


# the method that writes an effect, by its class
WRITERS = {
    effects.AcceptJob: Journal.insert_job,
    effects.SendLaunch: Journal.insert_launch,
    effects.Answer: Journal.store_answer,
    effects.RecordNotRun: Journal.mark_not_run,
    effects.DeleteRecord: Journal.delete_job,
    effects.RecordHold: Journal.store_hold,
    effects.RecordProgress: Journal.store_progress,
}
