"""What a council's member keeps, in a database of its own beside the controller's: it is flushed at each commit, and a
fault of it must not touch jobs.
"""

import random
import sqlite3
from pathlib import Path

import msgspec

from linedeal.council.records import Identity, Persist
from linedeal.fleet import codec
from linedeal.state import StoreError, open_database

FILE = "council.db"


class CouncilStore:
    """One process at a time. Raises StoreError, one plain line that names the file."""

    def __init__(self, directory: str | Path, name: str, cluster: str):
        self.path = Path(directory) / FILE
        self.db = open_database(self.path, "council")
        try:
            self.kept = self.read()
            self.identity = self.known(name, cluster)
        except sqlite3.Error as error:
            self.close()
            raise StoreError(f"{self.path}: {error}") from None
        except StoreError:
            self.close()
            raise

    def read(self) -> dict[str, object]:
        found = {}
        for name, value in self.db.execute("SELECT name, value FROM council"):
            try:
                found[name] = codec.read_back(name, value)
            except (msgspec.DecodeError, KeyError) as error:
                raise StoreError(f"{self.path}: {name} cannot be read: {error}") from None
        return found

    def known(self, name: str, cluster: str) -> Identity:
        """Who this directory is: drawn when it was made. It serves one name in one cluster for ever."""
        if "identity" not in self.kept:
            incarnation = random.SystemRandom().randrange(1, 1 << 62)
            self.write([Persist((("identity", Identity(name, incarnation)), ("cluster", cluster)))])
            self.kept |= {"identity": Identity(name, incarnation), "cluster": cluster}
        identity = self.kept["identity"]
        if (identity.name, self.kept["cluster"]) != (name, cluster):
            raise StoreError(
                f"{self.path}: is {identity.name}'s of council {self.kept['cluster']}, "
                f"not {name}'s of {cluster}"
            )
        return identity

    def write(self, keeps: list[Persist]) -> None:
        """All of them, in one commit: on disk when this returns."""
        try:
            self.db.execute("BEGIN IMMEDIATE")
            for keep in keeps:
                self.db.executemany(
                    "INSERT INTO council VALUES (?, ?) ON CONFLICT (name) DO UPDATE SET value = excluded.value",
                    [(name, codec.kept(value)) for name, value in keep.records],
                )
            self.db.execute("COMMIT")
        except sqlite3.Error as error:
            if self.db.in_transaction:
                self.db.execute("ROLLBACK")
            raise StoreError(f"{self.path}: cannot be written: {error}") from None

    def close(self) -> None:
        self.db.close()
