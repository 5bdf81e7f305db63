"""EDGE_CONFIG as frozen records. Raises ConfigFault, one plain line that names place and fault."""

from dataclasses import dataclass
from pathlib import Path

import msgspec

from linedeal.net import Address, parse_address
from linedeal.platform import bus
from linedeal.settings import build
from linedeal.settings.records import Cluster, JournalSettings, Limits, Rules
from linedeal.wiresettings import SettingError, read_settings, report_names

PROBE = 1.0  # seconds after which a probe counts as unanswered
CONNECT_SLACK = 0.05  # seconds: a connection's time-out is that of the settings and so much
WAIT_MOST = 3600.0  # seconds
BYTES_MOST = 16 << 20  # of the file


class ConfigFault(Exception):
    pass


class FileLimits(msgspec.Struct):
    sockets: int
    memory_mb: float = 0.0
    cores: float = 1.0


class File(msgspec.Struct):
    name: str
    listen: str
    bus: str
    settings: dict
    limits: FileLimits
    known: bus.Batch
    seed: str = "0"


@dataclass(frozen=True, slots=True)
class Config:
    name: str
    listen: Address
    bus: Address
    seed: int
    sockets: int
    known: bus.Batch
    cluster: Cluster
    idle: float  # seconds after which hosts close a connection
    report_names: dict[str, str]  # what the module calls the figures of a host's report


def read(path: str) -> Config:
    try:
        with Path(path).open("rb") as file:
            data = file.read(BYTES_MOST + 1)
    except OSError as error:
        raise ConfigFault(f"{path}: cannot be read: {error.strerror}") from None
    if len(data) > BYTES_MOST:
        raise ConfigFault(f"{path}: over {BYTES_MOST} bytes")
    return parse(data, path)


def parse(data: bytes, path: str) -> Config:
    try:
        file = msgspec.json.decode(data, type=File)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError, OverflowError) as error:
        raise ConfigFault(f"{path}: {error}") from None
    place = "listen"
    try:
        listen = parse_address(file.listen)
        place = "bus"
        address = parse_address(file.bus)
        place = "seed"
        seed = int(file.seed, 16)
    except ValueError as error:
        raise ConfigFault(f"{path}: {place}: {error}") from None
    if file.limits.sockets < 64:
        raise ConfigFault(f"{path}: limits.sockets is {file.limits.sockets}, at least 64 are needed")
    try:
        settings = read_settings(file.settings)
        permissions = file.settings.get("permissions") or {}
        connect, idle = (
            build.number(permissions.get(key), f"permissions.{key}") / 1000
            for key in ("connect_timeout_ms", "keepalive_ms")
        )
    except SettingError as error:
        raise ConfigFault(f"{path}: settings: {error}") from None
    if not (0 < connect <= WAIT_MOST and 0 < idle <= WAIT_MOST):
        raise ConfigFault(
            f"{path}: settings: permissions: connect_timeout_ms and keepalive_ms have to be in range"
        )
    limits = Limits(connect=connect + CONNECT_SLACK, probe=PROBE)
    return Config(
        file.name,
        listen,
        address,
        seed,
        file.limits.sockets,
        file.known,
        Cluster(settings, limits, Rules(), JournalSettings()),
        idle,
        report_names(file.settings),
    )
