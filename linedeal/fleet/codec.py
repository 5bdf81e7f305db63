"""The council's packets and records as bytes: msgpack, read back strictly into the same frozen records."""

import msgspec

from linedeal.council import records
from linedeal.council.records import Identity, ReplicaVersion, Packet, Roster, Slot
from linedeal.net import FrameError

KINDS = {
    kind.__name__: kind
    for kind in (
        records.Look,
        records.Looked,
        records.Prepare,
        records.Promised,
        records.Accept,
        records.Accepted,
        records.Outbid,
        records.Seal,
        records.Sealed,
        records.Install,
        records.Installed,
        records.Pulse,
        records.Older,
        records.Elsewhere,
        records.Found,
        records.Agreed,
    )
}
Form = tuple[str, ReplicaVersion, int, str, msgspec.Raw]
KEPT = {
    "life": int,
    "writes": int,
    "retired": str,
    "roster": Roster,
    "sealed": Roster | None,
    "agreed": Roster,
    "seen": tuple[ReplicaVersion, ...],
    "identity": Identity,
    "cluster": str,
}


def packed(packet: Packet) -> bytes:
    """
    >>> packet = Packet("lapa", ReplicaVersion("a", 1, 2, 3, 4, 5), 1, records.Look(7, "k"))
    >>> unpacked(packed(packet)) == packet
    True
    """
    return msgspec.msgpack.encode(
        (packet.cluster, packet.sender, packet.epoch, type(packet.message).__name__, packet.message)
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
