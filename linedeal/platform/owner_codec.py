"""The codec of the JSON lines between owners and controllers. Free of I/O: bytes in, messages out."""

import re
import sys
from collections.abc import Iterator
from dataclasses import dataclass

import msgspec

from linedeal import interface as api
from linedeal.net import FrameError

MAX_LINE_BYTES = 16384
MAX_NAME_LENGTH = 64  # characters of the name of a service, a key or a mark
MAX_RESOURCES = 1e6  # cores, or memory, that one job may request; no machine has as much
ID = re.compile(r"[0-9a-f]{16}")
FIGURE = re.compile(r"[0-9]{1,9}(\.[0-9]{1,9})?")
SETUP_FIELDS = ("class", "left", "tenant", "key", "idem", "extras")  # those of which a set-up makes use
LINE_MEMORY_BYTES = 3072  # of the objects that hold one line, or the job that it requests, beside its texts
NAME = re.compile(rf"[!-~]{{1,{MAX_NAME_LENGTH}}}")

# The causes of a release. From a host, NORMAL means that the job has ended on its own; from a controller or
# an owner, that the launch or the job is cancelled.
NORMAL, LOST, REFUSED, STOPPED, FAILED, NOT_SENT = 16, 41, 34, 31, 47, 102


class Line(msgspec.Struct):
    """One message. `fault`: why it is invalid although its id can be read; empty otherwise."""

    type: str
    id: str
    fields: dict[str, str | int | float] = {}
    cause: int | None = None
    sdp: str | None = None
    fault: str = ""


class InvalidRequestError(Exception):
    """A set-up that cannot be accepted; the message has the reason."""


@dataclass(frozen=True, slots=True)
class JobRequest:
    """A valid set-up.

    `time_left`: seconds until the job expires.
    `host`: the host that runs the job already, empty for a job to be placed.
    `mark`: identifies a labelled job, so that its hosts recognise a repeat; empty for other jobs.
    """

    offering: str
    customer: str
    service: str
    cores: float
    memory: float
    time_left: float
    host: str
    key: str
    mark: str = ""


class LineReader:
    """Cuts a byte stream into lines. Holds at most one incomplete line, so its memory is bounded."""

    def __init__(self):
        """Starts at the beginning of a stream."""
        self.buffer = bytearray()

    def feed(self, data: bytes) -> Iterator[Line]:
        """Yields the messages that are complete. Raises FrameError at a line that has no id to reply to."""
        self.buffer += data
        start = 0
        try:
            while True:
                end = self.buffer.find(b"\n", start)
                if (len(self.buffer) if end < 0 else end) - start >= MAX_LINE_BYTES:
                    raise FrameError(f"a line of more than {MAX_LINE_BYTES} bytes")
                if end < 0:
                    return
                line, start = bytes(self.buffer[start:end]), end + 1
                if line.strip():
                    yield decode(line)
        finally:
            del self.buffer[:start]

    def finish(self) -> None:
        """Raises FrameError if the stream ended inside a line."""
        if self.buffer:
            raise FrameError(f"the stream ended inside a line, {len(self.buffer)} bytes in")


LINE_DECODER = msgspec.json.Decoder(Line)
JSON_DECODER = msgspec.json.Decoder()
ENCODER = msgspec.json.Encoder()


def decode(data: bytes) -> Line:
    """Decodes one line; an invalid message that has an id gets a `fault`. Raises FrameError without an id."""
    try:
        line = LINE_DECODER.decode(data)
        fault = ""
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError, OverflowError):
        line, fault = decode_type_and_id(data), "not a message of this protocol"
    if not ID.fullmatch(line.id):
        raise FrameError("a line without an id")
    line.fault = fault
    return line


def decode_type_and_id(data: bytes) -> Line:
    """Decodes the type and id of valid JSON that is not a valid message. Raises FrameError."""
    try:
        value = JSON_DECODER.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError, OverflowError):
        raise FrameError("a line that cannot be read") from None
    if not isinstance(value, dict) or not isinstance(value.get("id"), str):
        raise FrameError("a line without an id")
    return Line(str(value.get("type")), value["id"])


def drop_unused(line: Line) -> None:
    """Drops what a controller makes no use of: a line may have a thousand fields, each an object."""
    if line.type == "setup":
        line.fields = {name: line.fields[name] for name in SETUP_FIELDS if name in line.fields}
    else:
        line.fields, line.sdp = {}, None


def memory_bytes(line: Line) -> int:
    """The memory that a line takes up while it waits, and its job after it."""
    return LINE_MEMORY_BYTES + sys.getsizeof(line.sdp) + sum(map(sys.getsizeof, line.fields.values()))


def names_host(line: Line) -> bool:
    """Whether a set-up names the host that runs its job already."""
    return "at:" in str(line.fields.get("extras", ""))


def is_job_request(line: Line) -> bool:
    """Whether a line is a set-up for a job to be placed, as far as can be told without checking it."""
    return line.type == "setup" and not line.fault and not names_host(line)


def parse_request(line: Line, settings: api.Settings) -> JobRequest:
    """Checks a set-up against the settings. Raises InvalidRequestError."""
    fields = line.fields
    offering = settings.offerings.get(str(fields.get("class")))
    if offering is None:
        raise InvalidRequestError("no such offering")
    customer = str(fields.get("tenant", ""))
    if customer not in settings.quotas if settings.quotas else customer:
        raise InvalidRequestError("no such customer")
    if not line.sdp:
        raise InvalidRequestError("no description")
    extras = parse_pairs(str(fields.get("extras", "")))
    service, host = extras.get("service", ""), extras.get("at", "")
    if not NAME.fullmatch(service):
        raise InvalidRequestError("no service")
    cores, memory = (parse_figure(extras.get(name), name) for name in ("cores", "memory"))
    if not (0 < cores <= MAX_RESOURCES and 0 < memory <= MAX_RESOURCES):
        raise InvalidRequestError("cores or memory out of range")
    time_left = 0.0 if host and "left" not in fields else parse_figure(fields.get("left"), "left") / 1000
    if not host and not 0 < time_left <= offering.expiry:
        raise InvalidRequestError("left out of range")
    key = str(fields.get("key", ""))
    mark = str(fields.get("idem", ""))
    if any(name and not NAME.fullmatch(name) for name in (key, mark)):
        raise InvalidRequestError("key or idem is not a valid name")
    return JobRequest(offering.name, customer, service, cores, memory, time_left, host, key, mark)


def parse_pairs(text: str) -> dict[str, str]:
    """Parses `name:value` pairs separated by semicolons. Raises InvalidRequestError.

    A value may contain colons; a name may occur once.
    """
    pairs = {}
    for part in filter(None, text.split(";")):
        name, colon, value = part.partition(":")
        if not colon or name in pairs:
            raise InvalidRequestError("extras that cannot be read")
        pairs[name] = value
    return pairs


def parse_figure(value, name: str) -> float:
    """Parses a plain decimal figure: no sign, exponent, infinity or digits of other scripts.

    Raises InvalidRequestError, with `name` in its text.
    """
    if not FIGURE.fullmatch(str(value)):
        raise InvalidRequestError(f"{name} is not a decimal figure in range")
    return float(value)


def encode_answer(task: str, description: str) -> bytes:
    """Encodes the message that a job was placed, with the host's description of it."""
    return ENCODER.encode({"type": "answer", "id": task, "fields": {}, "sdp": description}) + b"\n"


def encode_release(task: str, cause: int) -> bytes:
    """Encodes the message that a job has ended or was not placed."""
    return ENCODER.encode({"type": "release", "id": task, "fields": {}, "cause": cause}) + b"\n"


def encode_pong(task: str, ready: bool) -> bytes:
    """Encodes the reply to a ping: whether the controller is ready."""
    return ENCODER.encode({"type": "pong", "id": task, "fields": {}, "cause": int(ready)}) + b"\n"
