"""A controller's directory: its life number and the last list of hosts, in SQLite.

SQLite because what is kept is small, must survive a kill at any byte, and wants a lock so that two processes never
share one directory; a file of our own would be a worse copy of its journal.
"""

import sqlite3
from dataclasses import replace
from pathlib import Path

import msgspec

from linedeal.engine.events import ListedHost
from linedeal.state.journal_clock import Base
from linedeal.state.upgrade import FORMAT, upgrade


class StoreError(Exception):
    """The directory cannot be used; its text is one plain line that names it."""


def open_database(path: Path, table: str) -> sqlite3.Connection:
    """The database at `path` with this table, locked for this process; what is written is flushed at each commit.
    Raises StoreError; none is left open then."""
    db = None
    try:
        path.parent.mkdir(parents=True, exist_ok=True)
        db = sqlite3.connect(path, timeout=0.5, isolation_level=None, check_same_thread=False)
        db.execute("PRAGMA locking_mode=EXCLUSIVE")
        db.execute("PRAGMA journal_mode=WAL")
        db.execute("PRAGMA synchronous=FULL")  # what was told must outlive a loss of power too
        db.execute("BEGIN EXCLUSIVE")  # takes the lock now, not at the first write
        db.execute(f"CREATE TABLE IF NOT EXISTS {table} (name TEXT PRIMARY KEY, value BLOB) STRICT")
        db.execute("COMMIT")
        (health,) = db.execute("PRAGMA quick_check(1)").fetchone()
        if health != "ok":  # guards against a page that was torn or written by another hand
            raise StoreError(f"{path}: damaged: {health.splitlines()[-1]}")
        return db
    except BaseException as error:
        if db is not None:
            db.close()
        if isinstance(error, sqlite3.OperationalError):
            said = "another controller uses it" if "locked" in str(error) else str(error)
            raise StoreError(f"{path}: {said}") from None
        if isinstance(error, sqlite3.DatabaseError):
            raise StoreError(f"{path}: {error}") from None
        if isinstance(error, OSError):
            raise StoreError(f"{path.parent}: {error.strerror}") from None
        raise


class Store:
    """Open it once a process; `close` it, or die: both leave it whole."""

    def __init__(self, directory: str | Path):
        self.db = None
        try:
            self.open(directory)
        except StoreError:
            if self.db is not None:
                self.db.close()  # its lock, and an upgrade that was cut short, go with it
            raise

    def open(self, directory) -> None:
        path = self.path = Path(directory) / "controller.db"
        self.db = open_database(path, "kept")
        if self.get("format", int) is None:
            self.put("format", FORMAT)
        found = self.get("format", int)
        if not isinstance(found, int) or not 1 <= found <= FORMAT:
            raise StoreError(f"{path}: has format {found}, this version reads 1 to {FORMAT}")
        try:
            upgrade(self.db, found, lambda number: self.put("format", number))
        except sqlite3.Error as error:
            raise StoreError(f"{path}: cannot be brought from format {found} to {FORMAT}: {error}") from None

    def get(self, name: str, kind):
        row = self.db.execute("SELECT value FROM kept WHERE name = ?", (name,)).fetchone()
        try:
            return None if row is None else msgspec.msgpack.decode(row[0], type=kind)
        except msgspec.DecodeError as error:
            raise StoreError(f"{self.path}: {name} cannot be read: {error}") from None

    def put(self, name: str, value) -> None:
        try:
            self.db.execute(
                "INSERT INTO kept VALUES (?, ?) ON CONFLICT (name) DO UPDATE SET value = excluded.value",
                (name, msgspec.msgpack.encode(value)),
            )
        except sqlite3.Error as error:
            raise StoreError(f"{self.path}: {name} cannot be kept: {error}") from None

    def next_life(self) -> int:
        """A number larger than that of every life before; on disk when this returns."""
        life = (self.get("life", int) or 0) + 1
        self.put("life", life)
        return life

    def load_host_list(self, at: float) -> tuple[int, tuple[ListedHost, ...]]:
        """The version and hosts of the list kept last; (0, ()) where there is none.

        `at` is the time of day; hosts have grown older by what has passed since, or by nothing if clocks jumped.
        """
        kept_at, version, hosts = self.get("list", tuple[float, int, tuple[ListedHost, ...]]) or (at, 0, ())
        passed = max(0.0, at - kept_at)
        return version, tuple(replace(host, age=host.age + passed) for host in hosts)

    def save_host_list(self, at: float, version: int, hosts: tuple[ListedHost, ...]) -> None:
        self.put("list", (at, version, hosts))

    def load_clock(self) -> Base | None:
        return self.get("clock", Base)

    def save_clock(self, base: Base) -> None:
        self.put("clock", base)

    def close(self) -> None:
        self.db.close()
