"""The council's packets and records as bytes: msgpack, read back strictly into the same frozen records."""

import msgspec

from linedeal.council import records as said
from linedeal.council.records import Identity, Mark, Packet, Roster, Slot
from linedeal.net import FrameError

KINDS = {
    kind.__name__: kind
    for kind in (
        said.Look,
        said.Looked,
        said.Prepare,
        said.Promised,
        said.Accept,
        said.Accepted,
        said.Outbid,
        said.Seal,
        said.Sealed,
        said.Install,
        said.Installed,
        said.Pulse,
        said.Older,
        said.Elsewhere,
        said.Found,
        said.Agreed,
    )
}
Form = tuple[str, Mark, int, str, msgspec.Raw]
KEPT = {
    "life": int,
    "writes": int,
    "retired": str,
    "roster": Roster,
    "sealed": Roster | None,
    "agreed": Roster,
    "seen": tuple[Mark, ...],
    "identity": Identity,
    "cluster": str,
}


def packed(packet: Packet) -> bytes:
    """
    >>> packet = Packet("lapa", Mark("a", 1, 2, 3, 4, 5), 1, said.Look(7, "k"))
    >>> unpacked(packed(packet)) == packet
    True
    """
    return msgspec.msgpack.encode(
        (packet.cluster, packet.mark, packet.epoch, type(packet.said).__name__, packet.said)
    )


def unpacked(data: bytes) -> Packet:
    """Raises FrameError."""
    try:
        cluster, mark, epoch, kind, body = msgspec.msgpack.decode(data, type=Form)
        if kind not in KINDS:
            raise FrameError(f"no packet of a council is called {kind[:40]!r}")
        return Packet(cluster, mark, epoch, msgspec.msgpack.decode(body, type=KINDS[kind]))
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        raise FrameError(f"no packet of a council: {error}") from None


def kept(value) -> bytes:
    return msgspec.msgpack.encode(value)


def read_back(name: str, data: bytes):
    """Raises msgspec.DecodeError, or KeyError for a record that no version wrote."""
    return msgspec.msgpack.decode(data, type=Slot if name.startswith("slot/") else KEPT[name])
