"""Frames, each with one `Envelope`. Converts between bytes and messages; does no I/O.

4 bytes       length of the body, unsigned, big-endian
1 byte        encoding of the body: 0 plain, 1 zstd
length bytes  body: the envelope as protobuf, compressed or not
"""

import struct
from collections.abc import Iterator

import zstandard
from google.protobuf.message import DecodeError, EncodeError

from linedeal.net import FrameError
from linedeal.protocol import linedeal_pb2 as pb

HEADER = struct.Struct(">IB")
PLAIN, COMPRESSED = 0, 1
MAX_FRAME_BYTES = 1 << 20  # length of a body on the wire
MAX_ENVELOPE_BYTES = 16 << 20  # length of a body after decompression
MIN_COMPRESSED_BYTES = 1024  # zstd gains nothing on host lists shorter than this


def encode(message, compress: bool = False) -> bytes:
    """The frame of `message`, which may be any message that `Envelope` can hold.

    Raises FrameError if the message cannot be encoded or is too large. `compress` applies zstd to long
    bodies.

    >>> reader = FrameReader()
    >>> [m.number for m in reader.feed(encode(pb.Probe(number=7)))]
    [7]
    """
    try:
        body = pb.Envelope(**{FIELDS[type(message)]: message}).SerializeToString(deterministic=True)
    except EncodeError as error:
        raise FrameError(f"{type(message).__name__} cannot be encoded: {error}") from None
    encoding = PLAIN
    if compress and len(body) >= MIN_COMPRESSED_BYTES:
        body, encoding = zstandard.ZstdCompressor(level=3).compress(body), COMPRESSED
    if len(body) > MAX_FRAME_BYTES:
        raise FrameError(
            f"{type(message).__name__} of {len(body)} bytes is over the limit of {MAX_FRAME_BYTES} bytes"
        )
    return HEADER.pack(len(body), encoding) + body


class FrameReader:
    """Splits a byte stream into messages.

    It buffers at most one incomplete frame, so the memory that a peer can make it use is bounded.
    """

    def __init__(self, max_frame_bytes: int = MAX_FRAME_BYTES):
        """Creates a reader that rejects frames with a body longer than `max_frame_bytes`."""
        self.max_frame_bytes = max_frame_bytes
        self.rest = bytearray()

    def feed(self, data: bytes) -> Iterator:
        """Adds received bytes, in pieces of any size, and yields the messages that are complete.

        Yields None for a message of a later protocol version, which the caller skips. Raises FrameError for
        bytes that are not valid frames.
        """
        self.rest += data
        while len(self.rest) >= HEADER.size:
            length, encoding = HEADER.unpack_from(self.rest)
            if length > self.max_frame_bytes:
                raise FrameError(f"frame of {length} bytes, at most {self.max_frame_bytes} are allowed")
            if encoding not in (PLAIN, COMPRESSED):
                raise FrameError(f"frame with unknown encoding {encoding}")
            if len(self.rest) < HEADER.size + length:
                return
            body = bytes(self.rest[HEADER.size : HEADER.size + length])
            del self.rest[: HEADER.size + length]
            yield decode(body, encoding)

    def finish(self):
        """Checks the end of the stream. Raises FrameError if it ended inside a frame."""
        if self.rest:
            raise FrameError(f"the stream ended inside a frame, after {len(self.rest)} bytes of it")


def decode(body: bytes, encoding: int):
    """The message in a frame's body, None if this version does not know it. Raises FrameError."""
    if encoding == COMPRESSED:
        body = decompress(body)
    envelope = pb.Envelope()
    try:
        envelope.ParseFromString(body)
    except DecodeError:
        raise FrameError("frame without a valid message") from None
    name = envelope.WhichOneof("body")
    return None if name is None else getattr(envelope, name)


def decompress(body: bytes) -> bytes:
    """The decompressed body. Raises FrameError if it is invalid or longer than MAX_ENVELOPE_BYTES.

    The length is limited regardless of the zstd header: a small frame could otherwise expand to gigabytes.
    """
    try:
        with zstandard.ZstdDecompressor().stream_reader(body) as reader:
            plain = reader.read(MAX_ENVELOPE_BYTES + 1)
    except zstandard.ZstdError as error:
        raise FrameError(f"compressed frame is invalid: {error}") from None
    if len(plain) > MAX_ENVELOPE_BYTES:
        raise FrameError(f"compressed frame expands to more than {MAX_ENVELOPE_BYTES} bytes")
    return plain


# name of the envelope's field by message class
FIELDS = {field.message_type._concrete_class: field.name for field in pb.Envelope.DESCRIPTOR.fields}
