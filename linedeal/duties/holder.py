"""One controller's course with one duty: watch, acquire, renew, hand over, resign. Time and answers in, asks out.

The lease says when to act, and is not what safety rests on: each effect carries the token, and `fence` refuses old
ones. Still an owner stops early and others begin late, so that little is refused: it counts its lease from when it
sent the renewal, less the greatest drift of a clock and a margin; others count from when they last saw a renewal, plus
the same.
"""

from dataclasses import dataclass, replace
from enum import Enum
from typing import Callable

from linedeal.council.records import Response, Request, Change, Outcome
from linedeal.duties import duty as duties
from linedeal.duties.duty import Duty, DutyError


@dataclass(frozen=True, slots=True)
class LeaseTiming:
    """Seconds, by the controller's own clock."""

    lease: float = 6.0
    drift: float = 0.05  # by which one clock may run faster or slower than true time
    margin: float = 0.3  # beside that
    renew_interval: float = 1.5  # from one renewal to the next
    poll_interval: float = 1.0  # from one look to the next by who does not own it
    response_timeout: float = 1.0  # that the council has for an answer

    @property
    def acts(self) -> float:
        """For which an owner acts after it sent a renewal."""
        return self.lease * (1 - self.drift) - self.margin

    def waits(self, lease: float) -> float:
        """For which others see no renewal of an owner with this lease before they take the duty over."""
        return lease * (1 + self.drift) + self.margin


class HolderState(Enum):
    WATCHING = "another has it, or nobody"
    ACQUIRING = "asks for it"
    OWNING = "owns it"
    RELEASING = "gives it up"


@dataclass(frozen=True, slots=True)
class Gained:
    token: int
    progress: bytes


@dataclass(frozen=True, slots=True)
class Lost:
    token: int
    reason: str


@dataclass(frozen=True, slots=True)
class Saved:
    """This progress stands in the council."""

    progress: bytes


@dataclass(frozen=True, slots=True)
class Pending:
    """A change on its way. Asked again unchanged until the council knows: it makes it once at most."""

    request: Request
    sent: float
    becomes: Duty


class Holder:
    """`who` is a name and life that no other process ever has; `eligible`: it takes the duty over when it may."""

    def __init__(
        self,
        duty: str,
        who: str,
        eligible: bool,
        spread: Callable[[], float],
        now: float,
        timing: LeaseTiming = LeaseTiming(),
    ):
        self.name, self.who, self.eligible, self.spread, self.timing = duty, who, eligible, spread, timing
        self.state = HolderState.WATCHING
        self.duty, self.version = Duty(), -1  # as last read; -1: not read yet
        self.steady_since = 0.0  # since when what was read did not change
        self.token = 0
        self.acts_until = float("-inf")
        self.renew_at = now
        self.look_at = now + spread() * timing.poll_interval  # many that start together do not look together
        self.pending: Pending | None = None
        self.reading: Request | None = None
        self.plan: bytes | None = None  # progress to be written next
        self.leaving: str | None = None  # the heir, or empty for whoever comes
        self.asked = 0
        self.out: list = []

    # --- what the caller calls

    def fencing_token(self, now: float) -> int | None:
        """The token for an effect begun now; None: it is not ours to act on."""
        return self.token if self.state is HolderState.OWNING and now < self.acts_until else None

    def record(self, progress: bytes, now: float) -> list:
        """Progress to be written; `Saved` says when it stands. A later one takes its place if it has not left yet."""
        self.plan = progress
        return self.tick(now)

    def resign(self, now: float, heir: str = "") -> list:
        self.leaving = heir
        return self.tick(now)

    def tick(self, now: float) -> list:
        if self.state is HolderState.OWNING and now >= self.acts_until:
            self.lose(f"no renewal was confirmed for {self.timing.acts:.2f} s", now)
        if self.pending is not None:
            if now >= self.pending.request.deadline:
                self.again(now)
        elif self.reading is not None:
            if now >= self.reading.deadline:
                self.read(now)
        elif self.state is HolderState.OWNING:
            if self.leaving is not None:
                self.state = HolderState.RELEASING
                self.change(lambda: duties.release(self.duty, self.who, self.token, self.leaving), now)
            elif self.plan is not None or now >= self.renew_at:
                self.change(lambda: duties.renew(self.duty, self.who, self.token, self.plan), now)
        elif now >= self.look_at:
            self.read(now)
        return self.done()

    def handle_response(self, answer: Response, now: float) -> list:
        if self.reading is not None and answer.request.number == self.reading.number:
            self.reading = None
            if answer.outcome is Outcome.READ:
                self.saw(answer.value.version, duties.decode(answer.value.body), now)
                self.try_to_acquire(now)
        elif self.pending is not None and answer.request.number == self.pending.request.number:
            if answer.outcome is Outcome.DONE:
                self.changed(answer, now)
            elif answer.outcome is Outcome.CONFLICT:
                self.refused(answer, now)
            # else: whether it was made is not known; `tick` asks the same again
        return self.done()

    def next_tick(self, now: float) -> float:
        """When `tick` is due."""
        times = [self.acts_until] if self.state is HolderState.OWNING else []
        if self.pending is not None:
            times.append(self.pending.request.deadline)
        elif self.reading is not None:
            times.append(self.reading.deadline)
        elif self.state is HolderState.OWNING:
            times.append(now if self.plan is not None or self.leaving is not None else self.renew_at)
        else:
            times.append(self.look_at)
        return min(times)

    # --- inside

    def done(self) -> list:
        out, self.out = self.out, []
        return out

    def ask(self, change: Change | None, now: float) -> Request:
        self.asked += 1
        ask = Request(self.asked, self.who, self.name, change, now + self.timing.response_timeout)
        self.out.append(ask)
        return ask

    def read(self, now: float) -> None:
        self.reading = self.ask(None, now)
        self.look_at = now + self.timing.poll_interval * (0.75 + 0.5 * self.spread())

    def change(self, become: Callable[[], Duty], now: float) -> None:
        try:
            becomes = become()
        except DutyError as refusal:
            if self.state is not HolderState.WATCHING:
                self.lose(str(refusal), now)
            return
        self.asked += 1
        change = Change(f"{self.who}/{self.asked}", self.version, duties.encode(becomes))
        self.pending = Pending(self.ask(change, now), now, becomes)

    def again(self, now: float) -> None:
        """The same change; a lease is counted from when it was first sent, as that may be what was made."""
        self.pending = replace(self.pending, request=self.ask(self.pending.request.change, now))

    def saw(self, version: int, duty: Duty, now: float) -> None:
        if version != self.version:
            self.version, self.duty, self.steady_since = version, duty, now

    def try_to_acquire(self, now: float) -> None:
        if not self.eligible or self.state is not HolderState.WATCHING:
            return
        over = now - self.steady_since >= self.timing.waits(self.duty.lease)
        try:
            duties.acquire(self.duty, self.who, self.timing.lease, over)
        except DutyError:
            return
        self.state = HolderState.ACQUIRING
        self.change(lambda: duties.acquire(self.duty, self.who, self.timing.lease, over), now)

    def changed(self, answer: Response, now: float) -> None:
        made, self.pending = self.pending, None
        # a change told as made may have been followed by others already; what it made is what counts here
        self.saw(made.request.change.expect + 1, made.becomes, now)
        if self.state is HolderState.RELEASING:
            self.state, self.leaving = HolderState.WATCHING, None
            self.out.append(Lost(self.token, "given up"))
            return
        overtaken = answer.value.version > made.request.change.expect + 1
        if self.state is HolderState.ACQUIRING and not overtaken and made.sent + self.timing.acts > now:
            self.state, self.token = HolderState.OWNING, made.becomes.token
            self.out.append(Gained(self.token, made.becomes.progress))
        elif self.state is HolderState.ACQUIRING or overtaken:
            self.lose("it came too late", now)
            return
        self.acts_until = made.sent + self.timing.acts
        self.renew_at = made.sent + self.timing.renew_interval
        if self.plan is not None and made.becomes.progress == self.plan:
            self.plan = None
            self.out.append(Saved(made.becomes.progress))

    def refused(self, answer: Response, now: float) -> None:
        self.pending = None
        self.saw(answer.value.version, duties.decode(answer.value.body), now)
        holder = self.duty.owner or "nobody"
        self.lose(f"{holder} owns it by token {self.duty.token}", now)

    def lose(self, why: str, now: float) -> None:
        """Only who owned it is told; a change that is still on its way is followed to its end."""
        if self.state in (HolderState.OWNING, HolderState.RELEASING):
            self.out.append(Lost(self.token, why))
        self.state, self.plan, self.leaving = HolderState.WATCHING, None, None
        self.acts_until = float("-inf")
        self.look_at = now
