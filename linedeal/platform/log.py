"""The log of a controller on the platform: one JSON line per event, in the format of `linedeal.logs`.

structlog with its console renderers costs 0.2 s at each start and 6 MB, too much for a restart under load.
"""

import sys
from collections import Counter
from datetime import UTC, datetime

import msgspec

ENCODER = msgspec.json.Encoder(enc_hook=str)


class Log:
    """Writes events with their fields; has the part of structlog's interface that the controller uses."""

    def __init__(self, verbose: bool = False, bound: dict | None = None, stream=None):
        """`verbose`: also writes debug events. `bound`: fields of each line. `stream`: where it writes to."""
        self.verbose, self.bound, self.stream = verbose, bound or {}, stream or sys.stderr

    def bind(self, **fields) -> "Log":
        """Returns a log that adds `fields` to every line."""
        return Log(self.verbose, self.bound | fields, self.stream)

    def write(self, level: str, event: str, fields: dict) -> None:
        """Writes one line and flushes it."""
        now = datetime.now(UTC).isoformat().replace("+00:00", "Z")
        line = self.bound | fields | {"event": event, "level": level, "timestamp": now}
        self.stream.write(ENCODER.encode(line).decode() + "\n")
        self.stream.flush()

    def debug(self, event: str, **fields) -> None:
        """Writes an event for debugging, only if `verbose`."""
        if self.verbose:
            self.write("debug", event, fields)

    def info(self, event: str, **fields) -> None:
        """Writes an event of normal operation."""
        self.write("info", event, fields)

    def warning(self, event: str, **fields) -> None:
        """Writes an event that may need attention."""
        self.write("warning", event, fields)

    def error(self, event: str, **fields) -> None:
        """Writes an event that needs attention."""
        self.write("error", event, fields)


class LimitedLog:
    """Writes to a log at most some lines for each event until `reset`; counts those that it left out."""

    def __init__(self, log, max_lines: int):
        """`max_lines`: for each event."""
        self.log, self.max_lines = log, max_lines
        self.lines: Counter[str] = Counter()

    def write(self, level: str, event: str, **fields) -> None:
        """Writes an event, unless too many lines of it have been written."""
        self.lines[event] += 1
        if self.lines[event] <= self.max_lines:
            getattr(self.log, level)(event, **fields)

    def reset(self) -> int:
        """Begins anew; returns how many lines were left out."""
        left_out = sum(max(0, count - self.max_lines) for count in self.lines.values())
        self.lines.clear()
        return left_out
