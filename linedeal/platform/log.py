"""The log of the live controller: one JSON line an event on standard error, as `linedeal.logs` writes them.

structlog with its consoles costs a fifth of a second at each start and 6 MB, which a restart under load pays for.
"""

import sys
from datetime import datetime, timezone

import msgspec

ENCODER = msgspec.json.Encoder(enc_hook=str)


class Log:
    def __init__(self, verbose: bool = False, bound: dict | None = None, stream=None):
        self.verbose, self.bound, self.stream = verbose, bound or {}, stream or sys.stderr

    def bind(self, **fields) -> "Log":
        return Log(self.verbose, self.bound | fields, self.stream)

    def write(self, level: str, event: str, fields: dict) -> None:
        now = datetime.now(timezone.utc).isoformat().replace("+00:00", "Z")
        line = self.bound | fields | {"event": event, "level": level, "timestamp": now}
        self.stream.write(ENCODER.encode(line).decode() + "\n")
        self.stream.flush()

    def debug(self, event: str, **fields) -> None:
        if self.verbose:
            self.write("debug", event, fields)

    def info(self, event: str, **fields) -> None:
        self.write("info", event, fields)

    def warning(self, event: str, **fields) -> None:
        self.write("warning", event, fields)

    def error(self, event: str, **fields) -> None:
        self.write("error", event, fields)
