"""The record of a day's traffic: what passed between controllers and the rest, as bytes with times, and when links
ended. JSON lines, so that a record can be read with any tool. The recorder sits between the two sides of a link."""

import base64
from pathlib import Path
from typing import Iterator

import msgspec


class Entry(msgspec.Struct, omit_defaults=True, frozen=True):
    """`e`: open, data, end, or mark (something done to a process or the network from outside)."""

    t: float  # seconds on the recorder's clock
    e: str
    link: int = 0
    to: str = ""  # open: the name of what listens there
    d: str = ""  # data and end: ">" towards it, "<" back
    b: str = ""  # data: base64
    held: bool = False  # data: kept by a cut when it came, so it may never have got through
    what: str = ""  # mark
    who: str = ""  # mark


class Recorder:
    def __init__(self, path: str | Path | None = None):
        self.entries: list[Entry] = []
        self.file = open(path, "wb", buffering=1 << 16) if path else None
        self.encoder = msgspec.json.Encoder()
        self.links = 0

    def opened(self, t: float, to: str) -> int:
        self.links += 1
        self.add(Entry(t, "open", self.links, to=to))
        return self.links

    def data(self, t: float, link: int, direction: str, data: bytes, held: bool = False) -> None:
        self.add(Entry(t, "data", link, d=direction, b=base64.b64encode(data).decode(), held=held))

    def ended(self, t: float, link: int, direction: str) -> None:
        self.add(Entry(t, "end", link, d=direction))

    def mark(self, t: float, what: str, who: str) -> None:
        self.add(Entry(t, "mark", what=what, who=who))

    def add(self, entry: Entry) -> None:
        if self.file is None:
            self.entries.append(entry)
        else:
            self.file.write(self.encoder.encode(entry) + b"\n")

    def flush(self) -> None:
        if self.file is not None:
            self.file.flush()


class RecordError(Exception):
    """Names the file and the line that cannot be read."""


def read_record(path: str | Path) -> Iterator[Entry]:
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
