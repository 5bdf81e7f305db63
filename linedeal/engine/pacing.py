"""Paces the links that a controller opens after its start, to learn what each host holds of its jobs.

Controllers that start together would otherwise all connect to the same host at once. No I/O, no clock; the
source of randomness is passed in.
"""

from random import Random


class ConnectPacer:
    """Hands out the hosts still to be connected to, at a limited rate and in an order of this controller's
    own.

    >>> pacer = ConnectPacer(10.0, Random(1))
    >>> pacer.add(["a", "b", "c"])
    >>> [len(pacer.take(now)) for now in (0.0, 0.05, 0.2)]
    [1, 0, 2]
    """

    def __init__(self, pace: float, random: Random):
        """`pace`: hosts per second."""
        self.pace, self.random = pace, random
        self.waiting: list[str] = []
        self.due = 0.0

    def add(self, hosts: list[str], first: frozenset[str] = frozenset()) -> None:
        """Adds hosts; those in `first`, which owners wait for, come before all others."""
        self.waiting += hosts
        self.random.shuffle(self.waiting)
        self.waiting.sort(key=lambda host: host in first)  # taken from the end

    def take(self, now: float) -> list[str]:
        """The hosts to connect to now."""
        taken = []
        # after a stall, at most one second's worth of hosts is handed out in a burst
        self.due = max(self.due, now - 1.0)
        while self.waiting and self.due <= now:
            taken.append(self.waiting.pop())
            self.due += 1.0 / self.pace
        return taken


# seconds before a broken link is opened again: after the first failure, and at most
RECONNECT_DELAY_MIN, RECONNECT_DELAY_MAX = 0.2, 5.0


def reconnect_delay(attempts: int, random: Random) -> float:
    """Seconds to wait before the next attempt: exponential backoff, with jitter to spread controllers out in
    time.
    """
    return min(RECONNECT_DELAY_MIN * 2 ** (attempts - 1), RECONNECT_DELAY_MAX) * (0.5 + random.random())
