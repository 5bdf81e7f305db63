"""How bytes travel. Everything that uses the network is handed a `Net`: real sockets, or pipes in memory."""

from linedeal.net.base import Address, Link, LinkLost, Net, parse_address
from linedeal.net.tcp import TcpNet
from linedeal.net.together import until_lost

__all__ = ["Address", "Link", "LinkLost", "Net", "TcpNet", "parse_address",
           "until_lost"]
