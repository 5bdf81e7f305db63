"""A failure detector for one host on which jobs run: when to ping it, and when its jobs count as lost.

A host may be cut off for some seconds and come back with its jobs, so silence alone proves nothing. An
outage is known to have lasted from the first ping or connection attempt since the host's last message:
before that the host may have had nothing to say. The jobs of a host that is gone have to be reported lost
in limited time, so a quiet host is pinged often. Free of I/O; times are seconds on the event loop's clock.
"""

import math

OUTAGE_TOLERATED = 6.0  # seconds for which a host may be cut off and keep its jobs
RECONNECT_MARGIN = 0.4  # seconds beyond that for a host that is back to accept a connection
QUIET_BEFORE_PING = 0.75  # seconds of silence after which a host on which jobs run is sent a ping
MIN_FAILED_ATTEMPTS = 3  # connections in a row that fail before an outage is concluded from one of them
REFUSALS_BEFORE_LOST = 2  # refused connections in a row that show that the host's process has died


class Reachability:
    """Whether one host can be reached, as far as its messages and the attempts to connect to it show."""

    def __init__(self, now: float):
        """Starts as if the host had been heard at `now`."""
        self.heard_at = now
        self.unanswered_since = math.inf  # the first ping or connection attempt since the last message
        self.failed_attempts = 0  # to connect, in a row
        self.refusals = 0  # refused connections in a row

    def on_received(self, now: float) -> None:
        """Notes that the host has sent something or accepted a connection."""
        self.heard_at, self.unanswered_since = now, math.inf
        self.failed_attempts = self.refusals = 0

    def on_request(self, now: float) -> None:
        """Notes a ping or the beginning of an attempt to connect, which a reachable host answers at once."""
        self.unanswered_since = min(self.unanswered_since, now)

    def on_attempt_failed(self, refused: bool) -> None:
        """Notes that a connection could not be opened. `refused`: the host's system has refused it."""
        self.failed_attempts += 1
        self.refusals = self.refusals + 1 if refused else 0

    def is_ping_due(self, now: float) -> bool:
        """Whether the host has been quiet for so long that it has to be pinged."""
        return self.unanswered_since == math.inf and now - self.heard_at > QUIET_BEFORE_PING

    def is_lost(self, attempt_began_at: float) -> bool:
        """Whether the host's jobs are lost, now that the attempt to connect that began then has failed."""
        if self.refusals >= REFUSALS_BEFORE_LOST:
            return True
        return self.failed_attempts >= MIN_FAILED_ATTEMPTS and attempt_began_at >= self.decisive_attempt_at()

    def decisive_attempt_at(self) -> float:
        """The time from which a connection that cannot be opened shows that the host's jobs are lost."""
        return self.unanswered_since + OUTAGE_TOLERATED + RECONNECT_MARGIN

    def next_attempt_at(self, now: float, delay: float, timeout: float) -> float:
        """When to connect again after a failure.

        After `delay`, but not so that an attempt of length `timeout` would still be under way when the
        decisive one is due.
        """
        next_at, decisive_at = now + delay, self.decisive_attempt_at()
        return decisive_at if next_at < decisive_at < next_at + timeout else next_at
