"""What a member of the council stores on disk.

It has a database of its own beside the controller's, because it is flushed at each commit, and because its
failure must not affect jobs.
"""

import random
import sqlite3
from pathlib import Path

import msgspec

from linedeal.council.records import Identity, Persist
from linedeal.fleet import codec
from linedeal.state import StoreError, open_database

FILE_NAME = "council.db"


class CouncilStore:
    """A member's database, open in one process at a time.

    Its methods raise StoreError, one plain line that names the file.
    """

    def __init__(self, directory: str | Path, name: str, cluster: str):
        """Opens or creates the database in `directory`, for the member `name` of the council `cluster`."""
        self.path = Path(directory) / FILE_NAME
        self.db = open_database(self.path, "council")
        try:
            self.records = self.read()
            self.identity = self.check_identity(name, cluster)
        except sqlite3.Error as error:
            self.close()
            raise StoreError(f"{self.path}: {error}") from None
        except StoreError:
            self.close()
            raise

    def read(self) -> dict[str, object]:
        """Returns all stored records by name."""
        records = {}
        for name, value in self.db.execute("SELECT name, value FROM council"):
            try:
                records[name] = codec.decode_record(name, value)
            except (msgspec.DecodeError, KeyError) as error:
                raise StoreError(f"{self.path}: {name} cannot be read: {error}") from None
        return records

    def check_identity(self, name: str, cluster: str) -> Identity:
        """Returns the identity of this directory, drawn when the directory was created.

        A directory belongs to one member of one council for ever; StoreError if it is another's.
        """
        if "identity" not in self.records:
            incarnation = random.SystemRandom().randrange(1, 1 << 62)
            self.write([Persist((("identity", Identity(name, incarnation)), ("cluster", cluster)))])
            self.records |= {"identity": Identity(name, incarnation), "cluster": cluster}
        identity = self.records["identity"]
        if (identity.name, self.records["cluster"]) != (name, cluster):
            raise StoreError(
                f"{self.path}: belongs to {identity.name} of council {self.records['cluster']}, "
                f"not to {name} of {cluster}"
            )
        return identity

    def write(self, effects: list[Persist]) -> None:
        """Writes all records in one commit; they are on disk when this returns."""
        try:
            self.db.execute("BEGIN IMMEDIATE")
            for effect in effects:
                self.db.executemany(
                    "INSERT INTO council VALUES (?, ?)"
                    " ON CONFLICT (name) DO UPDATE SET value = excluded.value",
                    [(name, codec.encode_record(value)) for name, value in effect.records],
                )
            self.db.execute("COMMIT")
        except sqlite3.Error as error:
            if self.db.in_transaction:
                self.db.execute("ROLLBACK")
            raise StoreError(f"{self.path}: cannot be written: {error}") from None

    def close(self) -> None:
        """Closes the database."""
        self.db.close()
