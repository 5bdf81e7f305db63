"""How bytes travel. Everything that uses the network is handed a `Net`: real sockets, or pipes in memory."""

from linedeal.net.base import (
    Address,
    Capacity,
    FrameError,
    Link,
    LinkLostError,
    Net,
    NetAttribute,
    open_link,
    parse_address,
)
from linedeal.net.tcp import TcpNet
from linedeal.net.tasks import read_what_came, run_until_link_lost

__all__ = [
    "Address",
    "Capacity",
    "FrameError",
    "Link",
    "LinkLostError",
    "Net",
    "NetAttribute",
    "TcpNet",
    "open_link",
    "parse_address",
    "read_what_came",
    "run_until_link_lost",
]
