"""A controller's state directory: its incarnation number (a count of starts) and last host list, in SQLite.

SQLite is used because the data is small, must survive a kill at any byte, and needs a lock that keeps two
processes from sharing one directory; a file format of our own would have to reimplement its journal.
"""

import sqlite3
from dataclasses import replace
from pathlib import Path

import msgspec

from linedeal.engine.events import ListedHost
from linedeal.state.journal_clock import Base
from linedeal.state.upgrade import FORMAT, upgrade


class StoreError(Exception):
    """The state directory cannot be used. The message is one line that names the file or directory."""


def open_database(path: Path, table: str) -> sqlite3.Connection:
    """Opens or creates the SQLite database at `path` with this key-value table, locked for this process.

    Each commit is flushed to disk. Raises StoreError if the database is locked, damaged or not accessible; no
    connection is left open then.
    """
    db = None
    try:
        path.parent.mkdir(parents=True, exist_ok=True)
        db = sqlite3.connect(path, timeout=0.5, isolation_level=None, check_same_thread=False)
        db.execute("PRAGMA locking_mode=EXCLUSIVE")
        db.execute("PRAGMA journal_mode=WAL")
        db.execute("PRAGMA synchronous=FULL")  # announced state must survive a power failure too
        db.execute("BEGIN EXCLUSIVE")  # takes the lock now instead of at the first write
        db.execute(f"CREATE TABLE IF NOT EXISTS {table} (name TEXT PRIMARY KEY, value BLOB) STRICT")
        db.execute("COMMIT")
        (health,) = db.execute("PRAGMA quick_check(1)").fetchone()
        # detects pages that were torn or changed by another program
        if health != "ok":
            raise StoreError(f"{path}: damaged: {health.splitlines()[-1]}")
        return db
    except BaseException as error:
        if db is not None:
            db.close()
        if isinstance(error, sqlite3.OperationalError):
            problem = "another controller uses it" if "locked" in str(error) else str(error)
            raise StoreError(f"{path}: {problem}") from None
        if isinstance(error, sqlite3.DatabaseError):
            raise StoreError(f"{path}: {error}") from None
        if isinstance(error, OSError):
            raise StoreError(f"{path.parent}: {error.strerror}") from None
        raise


class Store:
    """The store of one controller, opened once per process. A kill at any time leaves it consistent."""

    def __init__(self, directory: str | Path):
        """Opens the store and upgrades it if necessary. Raises StoreError, with the database closed again."""
        self.db = None
        try:
            self.open(directory)
        except StoreError:
            if self.db is not None:
                self.db.close()  # releases the lock and rolls back an unfinished upgrade
            raise

    def open(self, directory) -> None:
        """Opens the database in `directory` and upgrades its format. Raises StoreError."""
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
            raise StoreError(f"{path}: cannot be upgraded from format {found} to {FORMAT}: {error}") from None

    def get(self, name: str, kind):
        """The value stored under `name`, decoded as type `kind`; None if there is none. Raises StoreError."""
        row = self.db.execute("SELECT value FROM kept WHERE name = ?", (name,)).fetchone()
        try:
            return None if row is None else msgspec.msgpack.decode(row[0], type=kind)
        except msgspec.DecodeError as error:
            raise StoreError(f"{self.path}: {name} cannot be read: {error}") from None

    def put(self, name: str, value) -> None:
        """Stores `value` under `name`. Raises StoreError."""
        try:
            self.db.execute(
                "INSERT INTO kept VALUES (?, ?) ON CONFLICT (name) DO UPDATE SET value = excluded.value",
                (name, msgspec.msgpack.encode(value)),
            )
        except sqlite3.Error as error:
            raise StoreError(f"{self.path}: {name} cannot be stored: {error}") from None

    def next_life(self) -> int:
        """A number larger than that of all earlier incarnations (starts); it is on disk when this returns."""
        life = (self.get("life", int) or 0) + 1
        self.put("life", life)
        return life

    def load_host_list(self, at: float) -> tuple[int, tuple[ListedHost, ...]]:
        """The version and hosts of the last stored list; (0, ()) if there is none.

        `at` is the journal time, in seconds. The ages of the hosts are increased by the time that has passed
        since the list was stored, or by nothing if the clock was set back.
        """
        stored_at, version, hosts = self.get("list", tuple[float, int, tuple[ListedHost, ...]]) or (at, 0, ())
        passed = max(0.0, at - stored_at)
        return version, tuple(replace(host, age=host.age + passed) for host in hosts)

    def save_host_list(self, at: float, version: int, hosts: tuple[ListedHost, ...]) -> None:
        """Stores the host list with the journal time `at`, in seconds. Raises StoreError."""
        self.put("list", (at, version, hosts))

    def load_clock(self) -> Base | None:
        """The stored base of the journal's clock, None if there is none."""
        return self.get("clock", Base)

    def save_clock(self, base: Base) -> None:
        """Stores the base of the journal's clock. Raises StoreError."""
        self.put("clock", base)

    def close(self) -> None:
        """Closes the database and releases its lock."""
        self.db.close()
