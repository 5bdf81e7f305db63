"""linedeal's network protocol: frames, without I/O, and their messages. Specified in docs/protocol.md."""

from linedeal.protocol import linedeal_pb2 as pb
from linedeal.protocol.frames import FrameError, FrameReader, encode

VERSION = 1  # highest protocol version that this program supports

__all__ = ["VERSION", "pb", "FrameError", "FrameReader", "encode"]
