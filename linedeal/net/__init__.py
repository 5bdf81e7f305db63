"""Network transport. Code that uses the network is given a `Net`: TCP sockets, or pipes in memory."""

from linedeal.net.base import (
    Address,
    Capacity,
    FrameError,
    Link,
    LinkClosedError,
    LinkLostError,
    Net,
    NetAttribute,
    Stream,
    open_link,
    parse_address,
)
from linedeal.net.connect import connect_within
from linedeal.net.tasks import let_readers_run, run_until_link_lost
from linedeal.net.tcp import TcpNet

__all__ = [
    "Address",
    "Capacity",
    "FrameError",
    "Link",
    "LinkClosedError",
    "LinkLostError",
    "Net",
    "NetAttribute",
    "Stream",
    "TcpNet",
    "connect_within",
    "let_readers_run",
    "open_link",
    "parse_address",
    "run_until_link_lost",
]
