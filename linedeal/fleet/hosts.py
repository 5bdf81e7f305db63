"""The hosts as one controller has them by its list, for the campaign and for operators."""

from dataclasses import dataclass, field

import msgspec

from linedeal.duties.campaign import Mode, HostState
from linedeal.duties.duty import DutyError


@dataclass(frozen=True, slots=True)
class HostNow:
    kind: str
    zone: str
    cell: int
    mode: Mode
    boot: int
    age: float  # seconds since that boot, by this controller's reckoning
    address: str  # HOST:PORT; empty: none is known

    @property
    def seen(self) -> HostState:
        return HostState(self.mode, self.boot, self.age)


@dataclass(frozen=True, slots=True)
class HostsNow:
    """`age`: seconds since the list was last heard, whatever it said."""

    hosts: dict[str, HostNow] = field(default_factory=dict)
    age: float = 0.0


def encoded_hosts(hosts: HostsNow) -> bytes:
    """
    >>> now = HostsNow({"h1": HostNow("std", "a", 1, Mode.SERVES, 7, 2.0, "10.0.0.1:80")}, 0.5)
    >>> read_hosts(encoded_hosts(now)) == now
    True
    """
    return msgspec.msgpack.encode(hosts)


def read_hosts(body: bytes) -> HostsNow:
    """Raises DutyError."""
    try:
        return msgspec.msgpack.decode(body, type=HostsNow)
    except msgspec.DecodeError as error:
        raise DutyError(f"no list of hosts: {error}") from None
