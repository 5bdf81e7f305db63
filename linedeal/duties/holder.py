"""One controller's state machine for one duty: watch, acquire, renew, hand over, resign.

Time and the council's responses go in, requests to the council and events come out.

The lease decides when to act, but safety does not rest on it: each effect carries a fencing token, and
`fence` rejects old ones. An owner still stops early and the others start late, so that few effects are
rejected: the owner counts its lease from when it sent the renewal, less the maximum clock drift and a margin;
the others count from when they last saw a renewal, plus the same.
"""

from collections.abc import Callable
from dataclasses import dataclass, replace
from enum import Enum

from linedeal.council.records import Change, Outcome, Request, Response
from linedeal.duties import duty as duties
from linedeal.duties.duty import Duty, DutyError


@dataclass(frozen=True, slots=True)
class LeaseTiming:
    """Durations in seconds, by the controller's own clock."""

    lease: float = 6.0
    drift: float = 0.05  # largest relative deviation of a clock's rate from true time
    margin: float = 0.3  # in addition to the drift
    renew_interval: float = 1.5
    poll_interval: float = 1.0  # between two reads of the duty by a controller that does not own it
    response_timeout: float = 1.0  # for the council to respond

    @property
    def acting_time(self) -> float:
        """For how long an owner may act after it sent a renewal."""
        return self.lease * (1 - self.drift) - self.margin

    def takeover_delay(self, lease: float) -> float:
        """Returns for how long others must have seen no renewal of this lease before they take over."""
        return lease * (1 + self.drift) + self.margin


class HolderState(Enum):
    """What a holder does about its duty."""

    WATCHING = "another controller owns it, or nobody"
    ACQUIRING = "has requested it"
    OWNING = "owns it"
    RELEASING = "is giving it up"


@dataclass(frozen=True, slots=True)
class Gained:
    """Event: this controller owns the duty now."""

    token: int
    progress: bytes


@dataclass(frozen=True, slots=True)
class Lost:
    """Event: this controller no longer owns the duty."""

    token: int
    reason: str


@dataclass(frozen=True, slots=True)
class Saved:
    """Event: this progress is stored in the council."""

    progress: bytes


@dataclass(frozen=True, slots=True)
class Pending:
    """A change under way.

    It is requested again, unchanged, until its outcome is known; the council makes it at most once.
    """

    request: Request
    sent: float
    becomes: Duty


class Holder:
    """The state machine for one duty at one controller. Calls return the requests and events that follow.

    `who` is a name and incarnation that no other process ever has. `eligible`: the duty is taken over when
    possible. `jitter` returns numbers in [0, 1).
    """

    def __init__(
        self,
        duty: str,
        who: str,
        eligible: bool,
        jitter: Callable[[], float],
        now: float,
        timing: LeaseTiming = LeaseTiming(),  # noqa: B008 - frozen, so one instance can be shared
    ):
        """Starts as a watcher. `duty` is the key of the duty's register."""
        self.name, self.who, self.eligible, self.jitter, self.timing = duty, who, eligible, jitter, timing
        self.state = HolderState.WATCHING
        self.duty, self.version = Duty(), -1  # as last read; -1: not read yet
        self.unchanged_since = 0.0  # when the version that was read last was first seen
        self.token = 0
        self.acts_until = float("-inf")
        self.renew_at = now
        # with jitter, so that controllers that start together poll at different times
        self.poll_at = now + jitter() * timing.poll_interval
        self.pending: Pending | None = None
        self.reading: Request | None = None
        self.unsaved_progress: bytes | None = None
        self.resigning_to: str | None = None  # the successor, empty for any; None: it does not resign
        self.last_number = 0
        self.output: list = []

    # --- called by the owner of the state machine

    def fencing_token(self, now: float) -> int | None:
        """Returns the token for an effect that starts now, or None if this controller may not act."""
        return self.token if self.state is HolderState.OWNING and now < self.acts_until else None

    def record(self, progress: bytes, now: float) -> list:
        """Requests that progress is stored; `Saved` reports when it is.

        Replaces progress that was not yet sent.
        """
        self.unsaved_progress = progress
        return self.tick(now)

    def resign(self, now: float, successor: str = "") -> list:
        """Gives the duty up, for anybody or for a successor."""
        self.resigning_to = successor
        return self.tick(now)

    def tick(self, now: float) -> list:
        """Handles timers. Must be called at `next_tick()`, or later."""
        if self.state is HolderState.OWNING and now >= self.acts_until:
            self.lose(f"no renewal was confirmed for {self.timing.acting_time:.2f} s", now)
        if self.pending is not None:
            if now >= self.pending.request.deadline:
                self.repeat_change(now)
        elif self.reading is not None:
            if now >= self.reading.deadline:
                self.read(now)
        elif self.state is HolderState.OWNING:
            if self.resigning_to is not None:
                self.state = HolderState.RELEASING
                self.change(lambda: duties.release(self.duty, self.who, self.token, self.resigning_to), now)
            elif self.unsaved_progress is not None or now >= self.renew_at:
                self.change(lambda: duties.renew(self.duty, self.who, self.token, self.unsaved_progress), now)
        elif now >= self.poll_at:
            self.read(now)
        return self.take_output()

    def handle_response(self, response: Response, now: float) -> list:
        """Handles the council's response to a request of this holder; others are ignored."""
        if self.reading is not None and response.request.number == self.reading.number:
            self.reading = None
            if response.outcome is Outcome.READ:
                self.update(response.value.version, duties.decode(response.value.body), now)
                self.try_to_acquire(now)
        elif self.pending is not None and response.request.number == self.pending.request.number:
            if response.outcome is Outcome.DONE:
                self.change_made(response, now)
            elif response.outcome is Outcome.CONFLICT:
                self.change_rejected(response, now)
            # otherwise it is not known whether the change was made; `tick` requests it again
        return self.take_output()

    def next_tick(self, now: float) -> float:
        """Returns when `tick` is due."""
        times = [self.acts_until] if self.state is HolderState.OWNING else []
        if self.pending is not None:
            times.append(self.pending.request.deadline)
        elif self.reading is not None:
            times.append(self.reading.deadline)
        elif self.state is HolderState.OWNING:
            times.append(
                now if self.unsaved_progress is not None or self.resigning_to is not None else self.renew_at
            )
        else:
            times.append(self.poll_at)
        return min(times)

    # --- internal

    def take_output(self) -> list:
        """Returns the requests and events collected since the last call and clears them."""
        output, self.output = self.output, []
        return output

    def request(self, change: Change | None, now: float) -> Request:
        """Sends a change, or a read if `change` is None."""
        self.last_number += 1
        request = Request(self.last_number, self.who, self.name, change, now + self.timing.response_timeout)
        self.output.append(request)
        return request

    def read(self, now: float) -> None:
        """Reads the duty, and schedules the next read."""
        self.reading = self.request(None, now)
        self.poll_at = now + self.timing.poll_interval * (0.75 + 0.5 * self.jitter())

    def change(self, transition: Callable[[], Duty], now: float) -> None:
        """Requests a transition of the duty. If the last known state does not allow it, the duty is lost."""
        try:
            becomes = transition()
        except DutyError as error:
            if self.state is not HolderState.WATCHING:
                self.lose(str(error), now)
            return
        self.last_number += 1
        change = Change(f"{self.who}/{self.last_number}", self.version, duties.encode(becomes))
        self.pending = Pending(self.request(change, now), now, becomes)

    def repeat_change(self, now: float) -> None:
        """Requests the same change again.

        The lease counts from the first request, which may have been carried out.
        """
        self.pending = replace(self.pending, request=self.request(self.pending.request.change, now))

    def update(self, version: int, duty: Duty, now: float) -> None:
        """Notes the duty as read or changed."""
        if version != self.version:
            self.version, self.duty, self.unchanged_since = version, duty, now

    def try_to_acquire(self, now: float) -> None:
        """Requests the duty if it is free or its lease has expired."""
        if not self.eligible or self.state is not HolderState.WATCHING:
            return
        expired = now - self.unchanged_since >= self.timing.takeover_delay(self.duty.lease)
        try:
            duties.acquire(self.duty, self.who, self.timing.lease, expired)
        except DutyError:
            return
        self.state = HolderState.ACQUIRING
        self.change(lambda: duties.acquire(self.duty, self.who, self.timing.lease, expired), now)

    def change_made(self, response: Response, now: float) -> None:
        """Handles the confirmation of the pending change."""
        made, self.pending = self.pending, None
        # other changes may have followed already; what counts here is the version that this change made
        self.update(made.request.change.expect + 1, made.becomes, now)
        if self.state is HolderState.RELEASING:
            self.state, self.resigning_to = HolderState.WATCHING, None
            self.output.append(Lost(self.token, "given up"))
            return
        overtaken = response.value.version > made.request.change.expect + 1
        if (
            self.state is HolderState.ACQUIRING
            and not overtaken
            and made.sent + self.timing.acting_time > now
        ):
            self.state, self.token = HolderState.OWNING, made.becomes.token
            self.output.append(Gained(self.token, made.becomes.progress))
        elif self.state is HolderState.ACQUIRING or overtaken:
            self.lose("it was confirmed too late", now)
            return
        self.acts_until = made.sent + self.timing.acting_time
        self.renew_at = made.sent + self.timing.renew_interval
        if self.unsaved_progress is not None and made.becomes.progress == self.unsaved_progress:
            self.unsaved_progress = None
            self.output.append(Saved(made.becomes.progress))

    def change_rejected(self, response: Response, now: float) -> None:
        """Handles a conflict: somebody else changed the duty."""
        self.pending = None
        self.update(response.value.version, duties.decode(response.value.body), now)
        owner = self.duty.owner or "nobody"
        self.lose(f"owned by {owner} with token {self.duty.token}", now)

    def lose(self, reason: str, now: float) -> None:
        """Returns to watching; `Lost` is reported only if the duty was owned.

        A pending change is still completed.
        """
        if self.state in (HolderState.OWNING, HolderState.RELEASING):
            self.output.append(Lost(self.token, reason))
        self.state, self.unsaved_progress, self.resigning_to = HolderState.WATCHING, None, None
        self.acts_until = float("-inf")
        self.poll_at = now
