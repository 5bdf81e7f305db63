"""Controllers that take one duty from each other in simulated time: clocks that run apart, freezes, cuts, lost words.

The council is one register here that does one change at a time, as the explorer shows it to be. Every owner sends an
effect a few times a second to a host that keeps a fence. Judged from what the host carried out and from who would act.
"""

import heapq
import random
from dataclasses import dataclass, field

from linedeal.council.records import Response, Request, Outcome, Value
from linedeal.council import slots
from linedeal.duties.duty import DutyError
from linedeal.duties.fence import Fence
from linedeal.duties.holder import Gained, Holder, LeaseTiming, Lost


@dataclass(frozen=True, slots=True)
class FaultModel:
    """What goes wrong; seconds of true time, rates and shares from 0 to 1."""

    max_drift: float = 0.05  # clocks run up to this much faster or slower
    max_delay: float = 0.3  # of a word, at most
    loss_rate: float = 0.1
    freeze_rate: float = 0.03  # a second and controller
    max_freeze: float = 12.0  # longest
    partition_rate: float = 0.03  # from the council, not from the host
    max_partition: float = 12.0
    send_freeze_share: float = 0.3  # effects whose sender is frozen between its check and its send
    handover_rate: float = 0.02  # an owner hands over, a second


@dataclass(slots=True)
class SimulationResult:
    """What happened."""

    executed: list[tuple[float, str, int, int]] = field(
        default_factory=list
    )  # time, who, token, step of the work
    rejected: int = 0
    owner_changes: int = 0  # changes of owner
    gaps: list[float] = field(
        default_factory=list
    )  # seconds from an owner's last effect to the next one's first
    violations: list[str] = field(default_factory=list)


@dataclass(slots=True)
class Clock:
    rate: float
    offset: float
    frozen_until: float = 0.0
    cut_until: float = 0.0

    def read(self, now: float) -> float:
        return now * self.rate + self.offset


class DutySimulation:
    def __init__(
        self,
        seed: int,
        controllers: int = 4,
        fault_model: FaultModel = FaultModel(),
        timing: LeaseTiming = LeaseTiming(),
    ):
        self.random = random.Random(seed)
        self.fault_model, self.now, self.events, self.number = fault_model, 0.0, [], 0
        self.value, self.fence, self.course = Value(), Fence(), SimulationResult()
        self.holders: dict[str, Holder] = {}
        self.clocks: dict[str, Clock] = {}
        self.steps: dict[str, int] = {}  # the next step of the work, as each owner knows it
        for number in range(controllers):
            name = f"n{number}"
            rate = 1 + self.random.uniform(-fault_model.max_drift, fault_model.max_drift)
            self.clocks[name] = Clock(rate, self.random.uniform(0, 1000))
            self.holders[name] = Holder(
                "work", name, True, self.random.random, self.clocks[name].read(0.0), timing
            )
            self.after(0.0, self.turn, name)
            self.after(0.2, self.act, name)
            self.after(1.0, self.trouble, name)

    def play(self, seconds: float) -> SimulationResult:
        while self.events and self.events[0][0] <= seconds:
            self.now, _, what, arguments = heapq.heappop(self.events)
            what(*arguments)
            self.watch()
        return self.course

    def after(self, seconds: float, what, *arguments) -> None:
        self.number += 1
        heapq.heappush(self.events, (self.now + seconds, self.number, what, arguments))

    def watch(self) -> None:
        acting = [
            name
            for name, holder in self.holders.items()
            if self.now >= self.clocks[name].frozen_until
            and holder.fencing_token(self.clocks[name].read(self.now)) is not None
        ]
        if len(acting) > 1:
            self.course.violations.append(f"{' and '.join(acting)} act at once at {self.now:.3f}")

    # --- controllers

    def thaw(self, name: str, again, *arguments) -> bool:
        """Whether it runs; else this happens when it runs on."""
        clock = self.clocks[name]
        if self.now < clock.frozen_until:
            self.after(clock.frozen_until - self.now, again, name, *arguments)
            return False
        return True

    def turn(self, name: str) -> None:
        if self.thaw(name, self.turn):
            holder, clock = self.holders[name], self.clocks[name]
            self.carry_out(name, holder.tick(clock.read(self.now)))
            due = (holder.next_tick(clock.read(self.now)) - clock.read(self.now)) / clock.rate
            self.after(min(max(due, 0.01), 0.5), self.turn, name)

    def carry_out(self, name: str, out: list) -> None:
        for one in out:
            if type(one) is Request and self.passes(name):
                self.after(self.delay(), self.change, name, one)
                if self.random.random() < 0.1:
                    self.after(self.delay(), self.change, name, one)  # doubled
            elif type(one) is Gained:
                self.steps[name] = int(one.progress or b"0")
                self.course.owner_changes += 1
            elif type(one) is Lost:
                self.steps.pop(name, None)

    def passes(self, name: str) -> bool:
        return self.now >= self.clocks[name].cut_until and self.random.random() >= self.fault_model.loss_rate

    def delay(self) -> float:
        return self.random.uniform(0.001, self.fault_model.max_delay)

    def change(self, name: str, ask: Request) -> None:
        """At the council."""
        outcome = Outcome.READ
        if ask.change is not None:
            outcome, self.value = slots.apply_change(self.value, ask.change)
        if self.passes(name):
            self.after(self.delay(), self.answer, name, Response(ask, outcome, self.value))

    def answer(self, name: str, answer: Response) -> None:
        if self.thaw(name, self.answer, answer):
            self.carry_out(name, self.holders[name].handle_response(answer, self.clocks[name].read(self.now)))

    def act(self, name: str) -> None:
        """Check, then send: between them the process may be frozen."""
        if not self.thaw(name, self.act):
            return
        holder, clock = self.holders[name], self.clocks[name]
        token = holder.fencing_token(clock.read(self.now))
        if token is not None and name in self.steps:
            step = self.steps[name]
            if self.random.random() < self.fault_model.send_freeze_share * 0.1:
                clock.frozen_until = max(
                    clock.frozen_until, self.now + self.random.uniform(0, self.fault_model.max_freeze)
                )
            self.send(name, token, step)
            self.steps[name] += 1
            self.carry_out(name, holder.record(b"%d" % self.steps[name], clock.read(self.now)))
        self.after(0.3, self.act, name)

    def send(self, name: str, token: int, step: int) -> None:
        if self.thaw(name, self.send, token, step):
            self.after(self.delay(), self.carry, name, token, step)

    def carry(self, name: str, token: int, step: int) -> None:
        """At the host."""
        try:
            self.fence = self.fence.admit("work", token)
        except DutyError:
            self.course.rejected += 1
            return
        carried = self.course.executed
        if carried and carried[-1][2] > token:
            self.course.violations.append(f"token {token} of {name} is carried out after {carried[-1][2]}")
        if carried and carried[-1][2] == token and carried[-1][1] != name:
            self.course.violations.append(f"token {token} is {name}'s and {carried[-1][1]}'s")
        if carried and carried[-1][2] < token:
            self.course.gaps.append(self.now - carried[-1][0])
            if step < carried[-1][3] - 20:
                self.course.violations.append(f"{name} begins at step {step}, {carried[-1][3]} was done")
        carried.append((self.now, name, token, step))

    def trouble(self, name: str) -> None:
        clock, chance = self.clocks[name], self.random.random
        if chance() < self.fault_model.freeze_rate:
            clock.frozen_until = max(
                clock.frozen_until, self.now + self.random.uniform(1, self.fault_model.max_freeze)
            )
        if chance() < self.fault_model.partition_rate:
            clock.cut_until = max(
                clock.cut_until, self.now + self.random.uniform(1, self.fault_model.max_partition)
            )
        holder = self.holders[name]
        if (
            chance() < self.fault_model.handover_rate
            and holder.fencing_token(clock.read(self.now)) is not None
            and self.now >= clock.frozen_until
        ):
            heir = self.random.choice([""] + [other for other in self.holders if other != name])
            self.carry_out(name, holder.resign(clock.read(self.now), heir))
        self.after(1.0, self.trouble, name)
