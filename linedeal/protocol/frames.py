"""Frames: a length, a form, and one `Envelope`. Bytes in, messages out; no socket here.

4 bytes   length of what follows the form, unsigned, big-endian
1 byte    form: 0 plain, 1 zstd
length    the envelope, as protobuf, packed or not
"""

import struct
from typing import Iterator

import zstandard
from google.protobuf.message import DecodeError, EncodeError

from linedeal.net import FrameError
from linedeal.protocol import linedeal_pb2 as pb

HEADER = struct.Struct(">IB")
PLAIN, PACKED = 0, 1
MOST = 1 << 20  # bytes of one frame on the wire
MOST_UNPACKED = 16 << 20  # bytes of one envelope once unpacked
PACK_FROM = 1024  # host lists shorter than this gain nothing from zstd


def encode(message, compress: bool = False) -> bytes:
    """One frame around `message`, any message that `Envelope` can hold. Raises FrameError when it is too large.

    >>> reader = FrameReader()
    >>> [m.number for m in reader.feed(encode(pb.Probe(number=7)))]
    [7]
    """
    try:
        body = pb.Envelope(**{FIELDS[type(message)]: message}).SerializeToString(deterministic=True)
    except EncodeError as error:
        raise FrameError(f"{type(message).__name__} cannot be encoded: {error}") from None
    form = PLAIN
    if compress and len(body) >= PACK_FROM:
        body, form = zstandard.ZstdCompressor(level=3).compress(body), PACKED
    if len(body) > MOST:
        raise FrameError(f"{type(message).__name__} of {len(body)} bytes is over the {MOST} of a frame")
    return HEADER.pack(len(body), form) + body


class FrameReader:
    """Cuts a byte stream into messages.

    Feed it what arrived, in pieces of any size; it gives the messages that are whole. It keeps at most one
    unfinished frame, so what a peer can make it hold is bounded by `most`.
    """

    def __init__(self, most: int = MOST):
        self.most = most
        self.rest = bytearray()

    def feed(self, data: bytes) -> Iterator:
        """Yields messages; None for one of a later version, which is to be passed over. Raises FrameError."""
        self.rest += data
        while len(self.rest) >= HEADER.size:
            length, form = HEADER.unpack_from(self.rest)
            if length > self.most:
                raise FrameError(f"a frame of {length} bytes, at most {self.most} are taken")
            if form not in (PLAIN, PACKED):
                raise FrameError(f"a frame of unknown form {form}")
            if len(self.rest) < HEADER.size + length:
                return
            body = bytes(self.rest[HEADER.size : HEADER.size + length])
            del self.rest[: HEADER.size + length]
            yield decode(body, form)

    def finish(self):
        """The stream has ended. Raises FrameError when it ended inside a frame."""
        if self.rest:
            raise FrameError(f"the stream ended inside a frame, {len(self.rest)} bytes in")


def decode(body: bytes, form: int):
    if form == PACKED:
        body = unpack(body)
    envelope = pb.Envelope()
    try:
        envelope.ParseFromString(body)
    except DecodeError:
        raise FrameError("a frame that holds no message") from None
    name = envelope.WhichOneof("body")
    return None if name is None else getattr(envelope, name)


def unpack(body: bytes) -> bytes:
    # guards against a small frame that unpacks to gigabytes: the size is bounded whatever its header claims
    try:
        with zstandard.ZstdDecompressor().stream_reader(body) as reader:
            plain = reader.read(MOST_UNPACKED + 1)
    except zstandard.ZstdError as error:
        raise FrameError(f"a packed frame cannot be unpacked: {error}") from None
    if len(plain) > MOST_UNPACKED:
        raise FrameError(f"a packed frame unpacks to more than {MOST_UNPACKED} bytes")
    return plain


FIELDS = {field.message_type._concrete_class: field.name for field in pb.Envelope.DESCRIPTOR.fields}
