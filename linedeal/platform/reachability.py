"""A failure detector for one host on which jobs run: when to test it, and when its jobs count as lost.

A host may be cut off for some seconds and come back with its jobs, so silence alone proves nothing. An
outage is known to have lasted from the first test since the host was last heard: before that the host may
have had nothing to say. The jobs of a host that is gone have to be reported lost in limited time, so a quiet
host is tested often. The test is a connection, which the host's system accepts at once; a ping, which costs
the host work, follows if there is no message for longer. With more quiet hosts than may be tested, some
outages begin unseen; their jobs are then reported lost when the last message is as old as it may be. Free of
I/O; times are seconds on the event loop's clock.
"""

import math

OUTAGE_TOLERATED = 6.0  # seconds for which a host may be cut off and keep its jobs
LOSS_DEADLINE = 7.5  # seconds after the host was last heard when its loss is decided, to be reported within 8
RECONNECT_MARGIN = 0.2  # seconds beyond OUTAGE_TOLERATED for a host that is back to accept a connection
DECISIVE_ATTEMPT_TIMEOUT = 0.5  # seconds at most for an attempt to connect that may show a loss
QUIET_BEFORE_CHECK = 1.0  # seconds of silence after which a connection is opened as a test
QUIET_BEFORE_PING = 2.5  # seconds without a message after which a host is sent a ping
MESSAGE_AGE_MAX = 4.0  # seconds without a message after which no connection is opened as a test
SECOND_PING_DELAY = 0.5  # seconds without a reply to a test after which open connections are pinged
MIN_FAILED_ATTEMPTS = 3  # connections in a row that fail before an outage is concluded from one of them
MAX_CHECKS_PER_SECOND = 200  # connections opened as tests, to all hosts
MAX_CHECKS_AT_ONCE = 20  # of these after a time without any
REFUSALS_BEFORE_LOST = 2  # refused connections in a row that show that the host's process has died


class Reachability:
    """Whether one host can be reached, as far as its messages and the attempts to connect to it show."""

    def __init__(self, now: float):
        """Starts as if the host had been heard at `now`."""
        self.heard_at = now  # the last message, or accepted connection
        self.message_at = now
        self.unanswered_since = math.inf  # the first ping or attempt to connect since the host was heard
        self.failed_attempts = 0  # to connect, in a row
        self.refusals = 0  # refused connections in a row

    def on_message(self, now: float) -> None:
        """Notes that the host has sent something."""
        self.message_at = now
        self.on_connected(now)

    def on_connected(self, now: float) -> None:
        """Notes that the host has accepted a connection."""
        self.heard_at, self.unanswered_since = now, math.inf
        self.failed_attempts = self.refusals = 0

    def on_request(self, now: float) -> None:
        """Notes a ping or the beginning of an attempt to connect, which a reachable host answers at once."""
        self.unanswered_since = min(self.unanswered_since, now)

    def on_request_failed_here(self, began_at: float) -> None:
        """Notes that the request that began then has never been sent, so that no reply is due to it."""
        if self.unanswered_since == began_at:
            self.unanswered_since = math.inf

    def on_attempt_failed(self, refused: bool) -> None:
        """Notes that a connection could not be opened. `refused`: the host's system has refused it."""
        self.failed_attempts += 1
        self.refusals = self.refusals + 1 if refused else 0

    def is_check_due(self, now: float) -> bool:
        """Whether the host has been quiet for so long that a connection has to be opened as a test.

        Not if it answers no pings either: its process hangs, and would find them all in its queue.
        """
        quiet = now - self.heard_at > QUIET_BEFORE_CHECK
        return quiet and self.unanswered_since == math.inf and now - self.message_at <= MESSAGE_AGE_MAX

    def is_ping_due(self, now: float, opened_at: float) -> bool:
        """Whether a connection that was opened then and has not been pinged since its last message has to be.

        While the host can be reached, one ping on any of its connections is enough. Otherwise each of them is
        pinged, so that all are closed if the host is gone: as long as one is left, nothing shows a loss.
        """
        if self.unanswered_since == math.inf:
            return now - max(self.message_at, opened_at) > QUIET_BEFORE_PING
        return now - self.unanswered_since > SECOND_PING_DELAY

    def is_lost(self, attempt_began_at: float) -> bool:
        """Whether the host's jobs are lost, now that the attempt to connect that began then has failed."""
        if self.refusals >= REFUSALS_BEFORE_LOST:
            return True
        return self.failed_attempts >= MIN_FAILED_ATTEMPTS and attempt_began_at >= self.decisive_attempt_at()

    def decisive_attempt_at(self) -> float:
        """The time from which a connection that cannot be opened shows that the host's jobs are lost."""
        outage_over_at = self.unanswered_since + OUTAGE_TOLERATED + RECONNECT_MARGIN
        return min(outage_over_at, self.heard_at + LOSS_DEADLINE)

    def attempt_timeout(self, now: float, timeout: float) -> float:
        """Seconds for an attempt to connect that begins now: `timeout`, or less if it is a decisive one."""
        return min(timeout, DECISIVE_ATTEMPT_TIMEOUT) if now >= self.decisive_attempt_at() else timeout

    def next_attempt_at(self, now: float, delay: float, timeout: float) -> float:
        """When to connect again after a failure.

        After `delay`, but not so that an attempt of length `timeout` would still be under way when the
        decisive one is due.
        """
        next_at, decisive_at = now + delay, self.decisive_attempt_at()
        return decisive_at if next_at < decisive_at < next_at + timeout else next_at


class CheckPacer:
    """Limits the connections that are opened as tests, to all hosts together: a token bucket."""

    def __init__(self):
        """Starts with a full bucket."""
        self.tokens, self.refilled_at = float(MAX_CHECKS_AT_ONCE), 0.0

    def take(self, now: float) -> bool:
        """Whether one more test may begin now; it is counted then."""
        refilled = self.tokens + (now - self.refilled_at) * MAX_CHECKS_PER_SECOND
        self.tokens, self.refilled_at = min(refilled, float(MAX_CHECKS_AT_ONCE)), now
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True
