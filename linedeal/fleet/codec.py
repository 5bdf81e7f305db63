"""Encodes the council's packets and stored records in msgpack, and decodes them strictly."""

import msgspec

from linedeal.council import records
from linedeal.council.records import Identity, Packet, ReplicaVersion, Roster, Slot
from linedeal.net import FrameError

# message types by the name that is sent
MESSAGE_TYPES = {
    message_type.__name__: message_type
    for message_type in (
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
# cluster, sender, epoch, message type, and the message itself
PacketFields = tuple[str, ReplicaVersion, int, str, msgspec.Raw]
# types of the stored records by name; registers have names "slot/..."
RECORD_TYPES = {
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


def encode_packet(packet: Packet) -> bytes:
    """Encodes a packet for the link to another member.

    >>> packet = Packet("lapa", ReplicaVersion("a", 1, 2, 3, 4, 5), 1, records.Look(7, "k"))
    >>> decode_packet(encode_packet(packet)) == packet
    True
    """
    return msgspec.msgpack.encode(
        (packet.cluster, packet.sender, packet.epoch, type(packet.message).__name__, packet.message)
    )


def decode_packet(data: bytes) -> Packet:
    """Decodes a packet. Raises FrameError."""
    try:
        cluster, sender, epoch, kind, body = msgspec.msgpack.decode(data, type=PacketFields)
        if kind not in MESSAGE_TYPES:
            raise FrameError(f"unknown type of council packet: {kind[:40]!r}")
        return Packet(cluster, sender, epoch, msgspec.msgpack.decode(body, type=MESSAGE_TYPES[kind]))
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        raise FrameError(f"malformed council packet: {error}") from None


def encode_record(value) -> bytes:
    """Encodes a record for the member's database."""
    return msgspec.msgpack.encode(value)


def decode_record(name: str, data: bytes):
    """Decodes a stored record. Raises msgspec.DecodeError, or KeyError if no version writes that name."""
    return msgspec.msgpack.decode(data, type=Slot if name.startswith("slot/") else RECORD_TYPES[name])
