"""The hosts as one controller knows them from its host list, for the campaign and for operators."""

from dataclasses import dataclass, field

import msgspec

from linedeal.duties.campaign import HostState, Mode
from linedeal.duties.duty import DutyError


@dataclass(frozen=True, slots=True)
class HostNow:
    """A host as the controller knows it at this moment. The field names are sent."""

    kind: str
    zone: str
    cell: int
    mode: Mode
    boot: int
    age: float  # seconds since that boot, by this controller's clock
    address: str  # HOST:PORT; empty: not known

    @property
    def state(self) -> HostState:
        """The part that the campaign uses."""
        return HostState(self.mode, self.boot, self.age)


@dataclass(frozen=True, slots=True)
class HostsNow:
    """All hosts by name. The field names are sent."""

    hosts: dict[str, HostNow] = field(default_factory=dict)
    age: float = 0.0  # seconds since the host list was received last, changed or not


def encode_hosts(hosts: HostsNow) -> bytes:
    """Encodes the hosts for the reply to an operator.

    >>> now = HostsNow({"h1": HostNow("std", "a", 1, Mode.SERVES, 7, 2.0, "10.0.0.1:80")}, 0.5)
    >>> decode_hosts(encode_hosts(now)) == now
    True
    """
    return msgspec.msgpack.encode(hosts)


def decode_hosts(body: bytes) -> HostsNow:
    """Decodes the hosts. Raises DutyError."""
    try:
        return msgspec.msgpack.decode(body, type=HostsNow)
    except msgspec.DecodeError as error:
        raise DutyError(f"malformed list of hosts: {error}") from None
