"""Reads the file in EDGE_CONFIG into immutable records."""

from dataclasses import dataclass
from pathlib import Path

import msgspec

from linedeal.net import Address, parse_address
from linedeal.platform import bus
from linedeal.settings import build
from linedeal.settings.records import Cluster, JournalSettings, Limits, Rules
from linedeal.wiresettings import SettingError, read_settings, report_names

PROBE_TIMEOUT = 1.0  # seconds after which a probe counts as unanswered
CONNECT_SLACK = 0.05  # seconds that are added to the connect timeout of the settings
MAX_TIMEOUT = 3600.0  # seconds
MAX_MEMORY_MB = 1 << 20
MAX_FILE_BYTES = 16 << 20


class ConfigError(Exception):
    """The configuration cannot be used; the text is one line that names the file and the field."""


class FileLimits(msgspec.Struct):
    """The process's limits as the file has them: descriptors, megabytes, cores."""

    sockets: int
    memory_mb: float = 0.0
    cores: float = 1.0


class File(msgspec.Struct):
    """The file as it is written; its field names are the keys."""

    name: str
    listen: str
    bus: str
    settings: dict
    limits: FileLimits
    known: bus.Batch
    seed: str = "0"


@dataclass(frozen=True, slots=True)
class Config:
    """The checked configuration of one controller.

    `memory_bytes`: the process's limit; 0 if the file has none.
    `idle_timeout`: seconds after which hosts close an unused connection.
    `report_names`: the module's names for the figures of a host's report.
    """

    name: str
    listen: Address
    bus: Address
    seed: int
    sockets: int
    memory_bytes: int
    known: bus.Batch
    cluster: Cluster
    idle_timeout: float
    report_names: dict[str, str]


def read(path: str) -> Config:
    """Reads and checks the file at `path`. Raises ConfigError."""
    try:
        with Path(path).open("rb") as file:
            data = file.read(MAX_FILE_BYTES + 1)
    except OSError as error:
        raise ConfigError(f"{path}: cannot be read: {error.strerror}") from None
    if len(data) > MAX_FILE_BYTES:
        raise ConfigError(f"{path}: over {MAX_FILE_BYTES} bytes")
    return parse(data, path)


def parse(data: bytes, path: str) -> Config:
    """Checks the content of a configuration file; `path` is for messages only. Raises ConfigError."""
    try:
        file = msgspec.json.decode(data, type=File)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError, OverflowError) as error:
        raise ConfigError(f"{path}: {error}") from None
    field = "listen"
    try:
        listen = parse_address(file.listen)
        field = "bus"
        address = parse_address(file.bus)
        field = "seed"
        seed = int(file.seed, 16)
    except ValueError as error:
        raise ConfigError(f"{path}: {field}: {error}") from None
    if file.limits.sockets < 64:
        raise ConfigError(f"{path}: limits.sockets is {file.limits.sockets}, at least 64 are needed")
    if not 0 <= file.limits.memory_mb <= MAX_MEMORY_MB:
        raise ConfigError(f"{path}: limits.memory_mb is {file.limits.memory_mb:g}, out of range")
    try:
        settings = read_settings(file.settings)
        permissions = file.settings.get("permissions") or {}
        connect_timeout, idle_timeout = (
            build.number(permissions.get(key), f"permissions.{key}") / 1000
            for key in ("connect_timeout_ms", "keepalive_ms")
        )
    except SettingError as error:
        raise ConfigError(f"{path}: settings: {error}") from None
    if not (0 < connect_timeout <= MAX_TIMEOUT and 0 < idle_timeout <= MAX_TIMEOUT):
        raise ConfigError(
            f"{path}: settings: permissions: connect_timeout_ms and keepalive_ms are out of range"
        )
    limits = Limits(connect=connect_timeout + CONNECT_SLACK, probe=PROBE_TIMEOUT)
    return Config(
        file.name,
        listen,
        address,
        seed,
        file.limits.sockets,
        int(file.limits.memory_mb * (1 << 20)),
        file.known,
        Cluster(settings, limits, Rules(), JournalSettings()),
        idle_timeout,
        report_names(file.settings),
    )
