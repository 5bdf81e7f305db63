"""What owners and controllers say to each other: JSON lines. Bytes in, messages out; no socket here."""

import re
from dataclasses import dataclass
from typing import Iterator

import msgspec

from linedeal import interface as api
from linedeal.net import FrameError

MOST = 16384  # bytes of one line
NAME_MOST = 64  # characters of a service's or a task's name
CORES_MOST = 1e6  # of either figure of one job: no machine has that
ID = re.compile(r"[0-9a-f]{16}")
FIGURE = re.compile(r"[0-9]{1,9}(\.[0-9]{1,9})?")
NAME = re.compile(r"[!-~]{1,%d}" % NAME_MOST)

GIVEN_UP, CUT, REFUSED, ENDED_OTHERWISE, FAILED, NEVER_LEFT = 16, 41, 34, 31, 47, 102  # causes


class Line(msgspec.Struct):
    """One message. `fault`: why it is not one, though its id can be read."""

    type: str
    id: str
    fields: dict[str, str | int | float] = {}
    cause: int | None = None
    sdp: str | None = None
    fault: str = ""


class BadAsk(Exception):
    """A set-up that cannot be taken; its text says why."""


@dataclass(frozen=True, slots=True)
class Ask:
    """A set-up that can be taken. `left`: seconds; `at`: the host that holds it already, or empty."""

    offering: str
    customer: str
    service: str
    cores: float
    memory: float
    left: float
    at: str
    key: str
    mark: str = ""  # of a labelled job, by which its hosts know a repeat


class LineReader:
    """Cuts a byte stream into lines. Holds at most one unfinished line, so what a peer can make it hold is bounded."""

    def __init__(self):
        self.rest = bytearray()

    def feed(self, data: bytes) -> Iterator[Line]:
        """Raises FrameError for what has no id to be answered under."""
        self.rest += data
        start = 0
        try:
            while True:
                end = self.rest.find(b"\n", start)
                if (len(self.rest) if end < 0 else end) - start >= MOST:
                    raise FrameError(f"a line of more than {MOST} bytes")
                if end < 0:
                    return
                line, start = bytes(self.rest[start:end]), end + 1
                if line.strip():
                    yield decode(line)
        finally:
            del self.rest[:start]

    def finish(self) -> None:
        if self.rest:
            raise FrameError(f"the stream ended inside a line, {len(self.rest)} bytes in")


LINES = msgspec.json.Decoder(Line)
ANYTHING = msgspec.json.Decoder()
ENCODER = msgspec.json.Encoder()


def decode(data: bytes) -> Line:
    try:
        line = LINES.decode(data)
        fault = ""
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError, OverflowError):
        line, fault = salvaged(data), "not a message of this protocol"
    if not ID.fullmatch(line.id):
        raise FrameError("a line without an id")
    line.fault = fault
    return line


def salvaged(data: bytes) -> Line:
    """The type and id of what is sound JSON and yet no message."""
    try:
        loose = ANYTHING.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError, OverflowError):
        raise FrameError("a line that cannot be read") from None
    if not isinstance(loose, dict) or not isinstance(loose.get("id"), str):
        raise FrameError("a line without an id")
    return Line(str(loose.get("type")), loose["id"])


def read_ask(line: Line, settings: api.Settings) -> Ask:
    """Raises BadAsk."""
    fields = line.fields
    offering = settings.offerings.get(str(fields.get("class")))
    if offering is None:
        raise BadAsk("no such offering")
    customer = str(fields.get("tenant", ""))
    if customer not in settings.quotas if settings.quotas else customer:
        raise BadAsk("no such customer")
    if not line.sdp:
        raise BadAsk("no description")
    extras = read_pairs(str(fields.get("extras", "")))
    service, at = extras.get("service", ""), extras.get("at", "")
    if not NAME.fullmatch(service):
        raise BadAsk("no service")
    cores, memory = (figure(extras.get(name), name) for name in ("cores", "memory"))
    if not (0 < cores <= CORES_MOST and 0 < memory <= CORES_MOST):
        raise BadAsk("cores or memory out of range")
    left = 0.0 if at and "left" not in fields else figure(fields.get("left"), "left") / 1000
    if not at and not 0 < left <= offering.expiry:
        raise BadAsk("left out of range")
    key = str(fields.get("key", ""))
    mark = str(fields.get("idem", ""))
    if any(name and not NAME.fullmatch(name) for name in (key, mark)):
        raise BadAsk("a key or a mark that is no name")
    return Ask(offering.name, customer, service, cores, memory, left, at, key, mark)


def read_pairs(text: str) -> dict[str, str]:
    """`name:value` pairs between semicolons; a value may hold colons, a name stands once."""
    pairs = {}
    for part in filter(None, text.split(";")):
        name, colon, value = part.partition(":")
        if not colon or name in pairs:
            raise BadAsk("extras that cannot be read")
        pairs[name] = value
    return pairs


def figure(value, name: str) -> float:
    """Plain decimal figures only: no sign, exponent, infinity or digits of other alphabets."""
    if not FIGURE.fullmatch(str(value)):
        raise BadAsk(f"{name} is no figure in range")
    return float(value)


def answer(task: str, description: str) -> bytes:
    return ENCODER.encode({"type": "answer", "id": task, "fields": {}, "sdp": description}) + b"\n"


def release(task: str, cause: int) -> bytes:
    return ENCODER.encode({"type": "release", "id": task, "fields": {}, "cause": cause}) + b"\n"


def pong(task: str, passed: bool) -> bytes:
    return ENCODER.encode({"type": "pong", "id": task, "fields": {}, "cause": int(passed)}) + b"\n"
