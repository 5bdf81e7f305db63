"""After a start, each host is asked what it holds of ours: paced, so that controllers that start together do not
all ask one host at once. Free of I/O and clock; chance is passed in."""

from random import Random


class ConnectPacer:
    """Hands out the hosts still to be asked, in an order of this controller's own.

    >>> pacer = ConnectPacer(10.0, Random(1))
    >>> pacer.add(["a", "b", "c"])
    >>> [len(pacer.take(now)) for now in (0.0, 0.05, 0.2)]
    [1, 0, 2]
    """

    def __init__(self, pace: float, random: Random):
        self.pace, self.random = pace, random  # hosts a second
        self.waiting: list[str] = []
        self.due = 0.0

    def add(self, hosts: list[str], first: frozenset[str] = frozenset()) -> None:
        """`first`: those that owners wait for are asked before the others."""
        self.waiting += hosts
        self.random.shuffle(self.waiting)
        self.waiting.sort(key=lambda host: host in first)  # taken from the end

    def take(self, now: float) -> list[str]:
        """Those to ask now."""
        taken = []
        self.due = max(
            self.due, now - 1.0
        )  # a stall is no licence for a burst of more than one second's worth
        while self.waiting and self.due <= now:
            taken.append(self.waiting.pop())
            self.due += 1.0 / self.pace
        return taken


RELINK, RELINK_MOST = 0.2, 5.0  # seconds before a link that broke is made again, first and at most


def reconnect_delay(tries: int, random: Random) -> float:
    """Seconds to wait before the next try; scattered, so that all controllers do not come back in one moment."""
    return min(RELINK * 2 ** (tries - 1), RELINK_MOST) * (0.5 + random.random())
