"""The record of a day's traffic: the bytes that passed on each link, with times, and when links ended.

The file has one JSON object a line, so that any tool can read it.
"""

import base64
from collections.abc import Iterator
from pathlib import Path

import msgspec


class Entry(msgspec.Struct, omit_defaults=True, frozen=True):
    """One event. The field names are the keys of the file.

    `e` is one of open, data, end, or mark: something done to a process or the network from outside.
    """

    t: float  # seconds on the recorder's clock
    e: str
    link: int = 0  # number of the link, from 1
    to: str = ""  # open: name of the listener
    d: str = ""  # data and end: ">" towards the listener, "<" from it
    b: str = ""  # data: base64
    held: bool = False  # data: held by a cut when it arrived, so it may not have been delivered
    arrived: float = 0.0  # data from the listener that was held: when it arrived; otherwise 0
    what: str = ""  # mark: what was done
    who: str = ""  # mark: to whom


class Recorder:
    """Collects entries, in memory or in a file. `t` of its methods: seconds on the recorder's clock."""

    def __init__(self, path: str | Path | None = None):
        """`path`: the file to write; None: entries are kept in `entries`."""
        self.entries: list[Entry] = []
        self.file = open(path, "wb", buffering=1 << 16) if path else None
        self.encoder = msgspec.json.Encoder()
        self.links = 0

    def opened(self, t: float, to: str) -> int:
        """Records a new link to the listener `to` and returns its number."""
        self.links += 1
        self.add(Entry(t, "open", self.links, to=to))
        return self.links

    def data(
        self, t: float, link: int, direction: str, data: bytes, held: bool = False, arrived: float = 0.0
    ) -> None:
        """Records bytes; `held` if they came during a cut, `arrived` if they were kept since then."""
        text = base64.b64encode(data).decode()
        self.add(Entry(t, "data", link, d=direction, b=text, held=held, arrived=arrived))

    def ended(self, t: float, link: int, direction: str) -> None:
        """Records that one direction of a link has ended."""
        self.add(Entry(t, "end", link, d=direction))

    def mark(self, t: float, what: str, who: str) -> None:
        """Records that `what` was done to `who` from outside."""
        self.add(Entry(t, "mark", what=what, who=who))

    def add(self, entry: Entry) -> None:
        """Adds an entry to the file, or to `entries`."""
        if self.file is None:
            self.entries.append(entry)
        else:
            self.file.write(self.encoder.encode(entry) + b"\n")

    def flush(self) -> None:
        """Writes buffered entries to the file."""
        if self.file is not None:
            self.file.flush()


class RecordError(Exception):
    """A record cannot be read; the message names the file and the line."""


def read_record(path: str | Path) -> Iterator[Entry]:
    """Yields the entries of a file. Raises RecordError."""
    decoder = msgspec.json.Decoder(Entry)
    try:
        with open(path, "rb") as file:
            for number, line in enumerate(file, 1):
                try:
                    yield decoder.decode(line)
                except msgspec.DecodeError as error:
                    raise RecordError(f"{path}: line {number}: {error}") from None
    except OSError as error:
        raise RecordError(f"{path}: {error.strerror}") from None
