"""linedeal's own protocol: frames (sans-I/O) and the messages in them. Specified in docs/protocol.md."""

from linedeal.protocol import linedeal_pb2 as pb
from linedeal.protocol.frames import FrameError, FrameReader, encode

VERSION = 1  # highest that this program speaks

__all__ = ["VERSION", "pb", "FrameError", "FrameReader", "encode"]
