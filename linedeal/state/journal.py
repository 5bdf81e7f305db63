"""The journal of jobs: what is owed, what was launched, what was answered. In the controller's own store.

One transaction a turn of the engine, so that all jobs of a turn share one flush (group commit). With `power`, each
commit is flushed to the disk and outlives a loss of power; without, it is in the system's hands, which is enough for
the death of the process at any byte.
"""

import sqlite3
import zlib
from dataclasses import dataclass

import msgspec

from linedeal.engine import effects as do
from linedeal.engine.events import LaunchId
from linedeal.engine.recovery import KeptAnswer, OldLaunch, OpenJob
from linedeal.interface import Job
from linedeal.state.store import Store, StoreFault

TABLES = """
CREATE TABLE IF NOT EXISTS jobs (id TEXT PRIMARY KEY, session TEXT, key TEXT, job BLOB, sum INTEGER, expires REAL,
    verdict TEXT, host TEXT, answered REAL) STRICT;
CREATE TABLE IF NOT EXISTS launches (life INTEGER, number INTEGER, job TEXT, host TEXT, boot INTEGER, sent REAL,
    void INTEGER, PRIMARY KEY (life, number)) STRICT, WITHOUT ROWID;
CREATE INDEX IF NOT EXISTS launches_of ON launches (job);
"""


@dataclass(frozen=True, slots=True)
class Found:
    """What earlier lives left: jobs owed an answer, and answers that their sessions have not confirmed."""

    open: tuple[OpenJob, ...]
    answers: tuple[KeptAnswer, ...]


class Journal:
    def __init__(self, store: Store, power: bool = False):
        self.store, self.db = store, store.db
        try:
            self.db.execute(f"PRAGMA synchronous={'FULL' if power else 'NORMAL'}")
            for statement in TABLES.split(";"):
                self.db.execute(statement)
        except sqlite3.Error as error:
            raise StoreFault(f"{store.path}: {error}") from None

    def write(self, at: float, life: int, effects: list) -> None:
        """All that these effects ask to be kept, in one transaction. Raises StoreFault; then nothing of it is kept."""
        try:
            self.db.execute("BEGIN IMMEDIATE")
            for effect in effects:
                WRITERS[type(effect)](self, at, life, effect)
            self.db.execute("COMMIT")
        except sqlite3.Error as error:
            if self.db.in_transaction:
                self.db.execute("ROLLBACK")
            raise StoreFault(f"{self.store.path}: journal cannot be written: {error}") from None

    def take(self, at, life, effect: do.Take) -> None:
        job = msgspec.msgpack.encode(effect.record)
        self.db.execute("INSERT OR IGNORE INTO jobs (id, session, key, job, sum, expires) VALUES (?, ?, ?, ?, ?, ?)",
                        (effect.job, effect.session, effect.key, job, zlib.crc32(job), at + effect.expires_in))

    def launch(self, at, life, effect: do.SendLaunch) -> None:
        self.db.execute("INSERT INTO launches VALUES (?, ?, ?, ?, ?, ?, 0)",
                        (life, effect.number, effect.job.id, effect.host, effect.boot, at))

    def answer(self, at, life, effect: do.Answer) -> None:
        self.db.execute("UPDATE jobs SET verdict = ?, host = ?, answered = ? WHERE id = ?",
                        (effect.verdict.value, effect.host, at, effect.job))

    def void(self, at, life, effect: do.KeepVoid) -> None:
        self.db.execute("UPDATE launches SET void = 1 WHERE life = ? AND number = ?", effect.launch)

    def drop(self, at, life, effect: do.KeepNoMore) -> None:
        self.db.execute("DELETE FROM launches WHERE job = ?", (effect.job,))
        self.db.execute("DELETE FROM jobs WHERE id = ?", (effect.job,))

    def read(self, at: float, longest: float) -> Found:
        """What earlier lives left. `longest`: seconds that any job may wait, which bounds what a clock that jumped can
        do. Raises StoreFault for a record that does not match its checksum."""
        open_jobs, answers = [], []
        for job_id, session, key, blob, total, expires, verdict, host in self.db.execute(
                "SELECT id, session, key, job, sum, expires, verdict, host FROM jobs ORDER BY rowid").fetchall():
            if zlib.crc32(blob) != total:
                raise StoreFault(f"{self.store.path}: job {job_id} does not match its checksum")
            job = msgspec.msgpack.decode(blob, type=Job)
            if verdict is not None:
                answers.append(KeptAnswer(session, key, job, verdict, host))
                continue
            left = min(max(0.0, expires - at), longest)
            launches = tuple(OldLaunch(LaunchId(life, number), host, boot, bool(void)) for life, number, host, boot, void
                             in self.db.execute("SELECT life, number, host, boot, void FROM launches WHERE job = ? "
                                                "ORDER BY life, number", (job_id,)))
            open_jobs.append(OpenJob(session, key, job, left, launches))
        return Found(tuple(open_jobs), tuple(answers))

    def compact(self, at: float, keep_answers: float) -> int:
        """Drops answers kept longer than that; returns how many. A clock that was set back drops none early."""
        try:
            old = [row[0] for row in self.db.execute(
                "SELECT id FROM jobs WHERE answered IS NOT NULL AND answered < ? LIMIT 5000", (at - keep_answers,))]
            if old:
                self.db.execute("BEGIN IMMEDIATE")
                for job_id in old:
                    self.drop(at, 0, do.KeepNoMore(job_id))
                self.db.execute("COMMIT")
        except sqlite3.Error as error:
            if self.db.in_transaction:
                self.db.execute("ROLLBACK")
            raise StoreFault(f"{self.store.path}: journal cannot be compacted: {error}") from None
        return len(old)


def to_keep(effects: list) -> list:
    """Those of a turn's effects that have to be on disk before any of the turn is carried out."""
    return [effect for effect in effects
            if isinstance(effect, (do.KeepVoid, do.KeepNoMore))
            or isinstance(effect, do.Take) and effect.record is not None
            or isinstance(effect, (do.SendLaunch, do.Answer)) and effect.keep]


WRITERS = {do.Take: Journal.take, do.SendLaunch: Journal.launch, do.Answer: Journal.answer, do.KeepVoid: Journal.void,
           do.KeepNoMore: Journal.drop}
