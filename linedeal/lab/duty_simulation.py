"""Simulates controllers that take over a duty from each other under faults.

Clocks drift, processes freeze, messages are lost and controllers are partitioned from the council.

Time is simulated. The council is a single register that makes one change at a time; the model checker shows
that the real council behaves like that. Every owner sends effects, a few per second, to a host that checks
fencing tokens. The checks are based on what the host executed and on which controllers would act.
"""

import heapq
import random
from dataclasses import dataclass, field

from linedeal.council import slots
from linedeal.council.records import Outcome, Request, Response, Value
from linedeal.duties.duty import DutyError
from linedeal.duties.fence import Fence
from linedeal.duties.holder import Gained, Holder, LeaseTiming, Lost


@dataclass(frozen=True, slots=True)
class FaultModel:
    """Which faults occur. Durations are in seconds of true time; rates are per second and controller."""

    max_drift: float = 0.05  # clocks run up to this share faster or slower
    max_delay: float = 0.3  # of a message
    loss_rate: float = 0.1  # share of messages that are lost
    freeze_rate: float = 0.03
    max_freeze: float = 12.0
    partition_rate: float = 0.03  # from the council; the host remains reachable
    max_partition: float = 12.0
    # A tenth of this is the share of effects whose sender freezes between its check and its send.
    send_freeze_share: float = 0.3
    handover_rate: float = 0.02  # handovers of the duty by its owner


@dataclass(slots=True)
class SimulationResult:
    """What happened in a simulation."""

    # effects that the host executed: time, controller, token, step of the work
    executed: list[tuple[float, str, int, int]] = field(default_factory=list)
    rejected: int = 0  # effects that the fence rejected
    owner_changes: int = 0
    # seconds from the last effect of an owner to the first one of the next
    takeover_gaps: list[float] = field(default_factory=list)
    violations: list[str] = field(default_factory=list)


@dataclass(slots=True)
class Clock:
    """A controller's clock, and until when (in true time) the controller is frozen or partitioned."""

    rate: float
    offset: float
    frozen_until: float = 0.0
    partitioned_until: float = 0.0

    def read(self, now: float) -> float:
        """Returns what the clock shows at a true time."""
        return now * self.rate + self.offset


class DutySimulation:
    """A deterministic simulation of several controllers, the council and one host."""

    def __init__(
        self,
        seed: int,
        controllers: int = 4,
        fault_model: FaultModel = FaultModel(),  # noqa: B008 - frozen, so one instance can be shared
        timing: LeaseTiming = LeaseTiming(),  # noqa: B008 - frozen, so one instance can be shared
    ):
        """Schedules the first events of all controllers at time 0."""
        self.random = random.Random(seed)
        self.fault_model, self.now, self.events, self.last_number = fault_model, 0.0, [], 0
        self.value, self.fence, self.result = Value(), Fence(), SimulationResult()
        self.holders: dict[str, Holder] = {}
        self.clocks: dict[str, Clock] = {}
        self.next_steps: dict[str, int] = {}  # the next step of the work, as each owner knows it
        for number in range(controllers):
            name = f"n{number}"
            rate = 1 + self.random.uniform(-fault_model.max_drift, fault_model.max_drift)
            self.clocks[name] = Clock(rate, self.random.uniform(0, 1000))
            self.holders[name] = Holder(
                "work", name, True, self.random.random, self.clocks[name].read(0.0), timing
            )
            self.schedule(0.0, self.tick, name)
            self.schedule(0.2, self.act, name)
            self.schedule(1.0, self.inject_faults, name)

    def play(self, seconds: float) -> SimulationResult:
        """Runs the simulation up to a time, and checks after each event."""
        while self.events and self.events[0][0] <= seconds:
            self.now, _, what, arguments = heapq.heappop(self.events)
            what(*arguments)
            self.check_single_owner()
        return self.result

    def schedule(self, seconds: float, what, *arguments) -> None:
        """Calls `what` after `seconds`; calls for the same time are made in the order of scheduling."""
        self.last_number += 1
        heapq.heappush(self.events, (self.now + seconds, self.last_number, what, arguments))

    def check_single_owner(self) -> None:
        """Checks that at most one running controller may act now."""
        acting = [
            name
            for name, holder in self.holders.items()
            if self.now >= self.clocks[name].frozen_until
            and holder.fencing_token(self.clocks[name].read(self.now)) is not None
        ]
        if len(acting) > 1:
            self.result.violations.append(
                f"{' and '.join(acting)} may act at the same time, at {self.now:.3f}"
            )

    # --- controllers

    def is_running(self, name: str, again, *arguments) -> bool:
        """Returns whether a controller is not frozen.

        If it is frozen, `again` is scheduled for the end of the freeze.
        """
        clock = self.clocks[name]
        if self.now < clock.frozen_until:
            self.schedule(clock.frozen_until - self.now, again, name, *arguments)
            return False
        return True

    def tick(self, name: str) -> None:
        """Runs the timers of a controller's holder."""
        if self.is_running(name, self.tick):
            holder, clock = self.holders[name], self.clocks[name]
            self.carry_out(name, holder.tick(clock.read(self.now)))
            due = (holder.next_tick(clock.read(self.now)) - clock.read(self.now)) / clock.rate
            self.schedule(min(max(due, 0.01), 0.5), self.tick, name)

    def carry_out(self, name: str, output: list) -> None:
        """Sends a holder's requests to the council, one in ten of them twice, and handles its events."""
        for one in output:
            if type(one) is Request and self.is_delivered(name):
                self.schedule(self.delay(), self.change, name, one)
                if self.random.random() < 0.1:
                    self.schedule(self.delay(), self.change, name, one)  # duplicated
            elif type(one) is Gained:
                self.next_steps[name] = int(one.progress or b"0")
                self.result.owner_changes += 1
            elif type(one) is Lost:
                self.next_steps.pop(name, None)

    def is_delivered(self, name: str) -> bool:
        """Returns whether a message between a controller and the council arrives."""
        return (
            self.now >= self.clocks[name].partitioned_until
            and self.random.random() >= self.fault_model.loss_rate
        )

    def delay(self) -> float:
        """Returns the delay of a message."""
        return self.random.uniform(0.001, self.fault_model.max_delay)

    def change(self, name: str, request: Request) -> None:
        """Handles a request at the council."""
        outcome = Outcome.READ
        if request.change is not None:
            outcome, self.value = slots.apply_change(self.value, request.change)
        if self.is_delivered(name):
            self.schedule(self.delay(), self.receive_response, name, Response(request, outcome, self.value))

    def receive_response(self, name: str, response: Response) -> None:
        """Handles the council's response at a controller."""
        if self.is_running(name, self.receive_response, response):
            self.carry_out(
                name, self.holders[name].handle_response(response, self.clocks[name].read(self.now))
            )

    def act(self, name: str) -> None:
        """Sends an effect if the controller may act. It may freeze between that check and the send."""
        if not self.is_running(name, self.act):
            return
        holder, clock = self.holders[name], self.clocks[name]
        token = holder.fencing_token(clock.read(self.now))
        if token is not None and name in self.next_steps:
            step = self.next_steps[name]
            if self.random.random() < self.fault_model.send_freeze_share * 0.1:
                clock.frozen_until = max(
                    clock.frozen_until, self.now + self.random.uniform(0, self.fault_model.max_freeze)
                )
            self.send(name, token, step)
            self.next_steps[name] += 1
            self.carry_out(name, holder.record(b"%d" % self.next_steps[name], clock.read(self.now)))
        self.schedule(0.3, self.act, name)

    def send(self, name: str, token: int, step: int) -> None:
        """Sends an effect to the host; effects are delayed but not lost."""
        if self.is_running(name, self.send, token, step):
            self.schedule(self.delay(), self.execute, name, token, step)

    def execute(self, name: str, token: int, step: int) -> None:
        """Handles an effect at the host, and checks its token and step against those executed before."""
        try:
            self.fence = self.fence.admit("work", token)
        except DutyError:
            self.result.rejected += 1
            return
        executed = self.result.executed
        if executed and executed[-1][2] > token:
            self.result.violations.append(f"token {token} of {name} is executed after {executed[-1][2]}")
        if executed and executed[-1][2] == token and executed[-1][1] != name:
            self.result.violations.append(f"token {token} belongs to both {name} and {executed[-1][1]}")
        if executed and executed[-1][2] < token:
            self.result.takeover_gaps.append(self.now - executed[-1][0])
            if step < executed[-1][3] - 20:
                self.result.violations.append(
                    f"{name} continues at step {step}, but {executed[-1][3]} was executed"
                )
        executed.append((self.now, name, token, step))

    def inject_faults(self, name: str) -> None:
        """Freezes, partitions or hands over at random, once per second and controller."""
        clock, chance = self.clocks[name], self.random.random
        if chance() < self.fault_model.freeze_rate:
            clock.frozen_until = max(
                clock.frozen_until, self.now + self.random.uniform(1, self.fault_model.max_freeze)
            )
        if chance() < self.fault_model.partition_rate:
            clock.partitioned_until = max(
                clock.partitioned_until, self.now + self.random.uniform(1, self.fault_model.max_partition)
            )
        holder = self.holders[name]
        if (
            chance() < self.fault_model.handover_rate
            and holder.fencing_token(clock.read(self.now)) is not None
            and self.now >= clock.frozen_until
        ):
            successor = self.random.choice([""] + [other for other in self.holders if other != name])
            self.carry_out(name, holder.resign(clock.read(self.now), successor))
        self.schedule(1.0, self.inject_faults, name)
