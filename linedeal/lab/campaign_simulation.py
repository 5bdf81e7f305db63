"""Campaigns in simulated time: owners that die at every step or go on late, orders that come late, twice or never, hosts
that die and come back, hands other than the campaign's, bounds that shrink. Judged from what hosts and tool carried out.

The council is what it is shown to be elsewhere: one register that takes a change of its owner alone.
"""

import heapq
import random
from dataclasses import dataclass, field

from linedeal.duties import campaign
from linedeal.duties.campaign import Mode, Progress, HostState
from linedeal.duties.campaign_runner import CampaignRunner, OrderKind, Order, OrderReply
from linedeal.duties.census import Census
from linedeal.duties.duty import DutyError
from linedeal.duties.fence import Fence
from linedeal.settings.records import Bounds

STEP = 0.5


@dataclass(frozen=True, slots=True)
class FaultModel:
    """What goes wrong: chances a step, shares, seconds."""

    owner_failure_rate: float = 0.05  # the owner, at any of its steps
    frozen_share: float = 0.5  # share of dead owners that were only frozen, and send what they had begun
    loss_rate: float = 0.1  # orders and answers
    max_delay: float = 6.0  # orders, at most
    host_failure_rate: float = 0.004  # a host, by itself
    max_downtime: float = 8.0  # seconds for which it is gone, at most
    manual_drain_rate: float = 0.002  # a host drained by another hand, and replaced by it
    list_delay: float = 2.0


@dataclass(slots=True)
class SimHost:
    name: str
    boot: int = 1
    began: float = -1000.0
    by_campaign: bool = False  # gone by the tool's hand
    back: float = 0.0  # gone until then
    draining: bool = False
    other: bool = False  # by another hand
    jobs: list[tuple[float, bool]] = field(default_factory=list)  # over when, irreversible
    fence: Fence = Fence()


@dataclass(slots=True)
class SimulationResult:
    """What happened, and what may not have."""

    violations: list[str] = field(default_factory=list)
    drains: list[tuple[float, str, int]] = field(default_factory=list)
    replaced: dict[str, list[int]] = field(default_factory=dict)
    rejected: int = 0
    owner_count: int = 1
    max_out: int = 0
    lost: int = 0  # jobs that a replacement took with it
    ended: float = 0.0
    progress: Progress = Progress()


class CampaignSimulation:
    """`course` is the owner's class, so that guards can be taken out of it."""

    def __init__(
        self,
        seed: int,
        hosts: int = 12,
        bounds: Bounds = Bounds(most=3, cells=2, room=0.5, patience=20.0, warm=3.0, away=40.0),
        fault_model: FaultModel = FaultModel(),
        course=CampaignRunner,
    ):
        self.random, self.fault_model, self.course_of = random.Random(seed), fault_model, course
        self.hosts = {f"h{i:02}": SimHost(f"h{i:02}") for i in range(hosts)}
        fleet = {name: ("std" if place % 3 else "press", place // 4) for place, name in enumerate(self.hosts)}
        self.plan = campaign.make_plan("r1", set(fleet), fleet, bounds)
        self.mine = bounds
        self.now, self.token, self.number = 0.0, 1, 0
        self.register = b""
        self.flights: list = []
        self.lists: list[tuple[float, dict[str, HostState]]] = []
        self.course = SimulationResult()
        self.owner = self.course_of(Progress(), 0.0)

    def play(self, seconds: float) -> SimulationResult:
        while self.now < seconds and not self.course.progress.ended:
            self.now += STEP
            self.hosts_go_on()
            while self.flights and self.flights[0][0] <= self.now:
                _, _, call, arguments = heapq.heappop(self.flights)
                call(*arguments)
            self.own()
        self.course.ended = self.now
        if (
            not self.course.progress.ended
            and not self.course.progress.stands
            and not self.course.progress.out
        ):
            self.course.violations.append("it neither ended nor says why it stands")
        return self.course

    def after(self, seconds: float, call, *arguments) -> None:
        self.number += 1
        heapq.heappush(self.flights, (self.now + seconds, self.number, call, arguments))

    # --- hosts

    def hosts_go_on(self) -> None:
        chance = self.random.random
        for host in self.hosts.values():
            if host.back > self.now:
                continue
            host.jobs = [job for job in host.jobs if job[0] > self.now]
            if not host.draining and chance() < 0.3 and len(host.jobs) < 6:
                host.jobs.append((self.now + self.random.expovariate(1 / 8), chance() < 0.2))
            if chance() < self.fault_model.host_failure_rate:
                self.start(host, self.random.uniform(1, self.fault_model.max_downtime))
            elif not host.draining and chance() < self.fault_model.manual_drain_rate:
                host.draining = host.other = True
                self.after(self.random.uniform(3, 15), self.other_hand, host, host.boot)
        self.lists.append(
            (
                self.now,
                {
                    host.name: HostState(
                        Mode.GONE if host.back > self.now else Mode.DRAINS if host.draining else Mode.SERVES,
                        host.boot,
                        self.now - host.began,
                    )
                    for host in self.hosts.values()
                },
            )
        )
        while len(self.lists) > 2 and self.lists[1][0] <= self.now - self.fault_model.list_delay:
            self.lists.pop(0)

    def other_hand(self, host: SimHost, boot: int) -> None:
        if host.boot == boot:
            self.start(host, 1.0)

    def start(self, host: SimHost, down: float) -> None:
        host.back, host.began, host.by_campaign = self.now + down, self.now + down, False
        host.boot += 1
        host.draining = host.other = False
        host.jobs = []

    # --- the owner

    def own(self) -> None:
        seen = self.lists[0][1]
        owner, token = self.owner, self.token
        owner.receive_census(Census(token, int(self.now / STEP), 1, (), 0, 0.0, {}, {}), self.now)
        after = owner.step(self.plan, self.mine, seen, 1.0, self.now)
        if self.maybe_fail_owner(owner, token, []):
            return
        if after is not None:
            self.judge_plan(after, seen)
            self.register = campaign.encode(after)
            self.course.progress = after
            if self.maybe_fail_owner(owner, token, []):  # written, and its owner never heard of it
                return
            owner.mark_stored(after, self.now)
        orders = owner.orders()
        if self.maybe_fail_owner(owner, token, orders):
            return
        for order in orders:
            self.send(owner, token, order)
        self.maybe_fail_owner(owner, token, orders)

    def judge_plan(self, after: Progress, seen: dict[str, HostState]) -> None:
        """Hosts that go out now, beside all that are out by the campaign or are known to have died."""
        former = {(turn.host, turn.boot) for turn in self.course.progress.out}
        turns = {turn.host for turn in after.out}
        if {(turn.host, turn.boot) for turn in after.out if turn.host not in {host for host, _ in former}}:
            dead = {host for host, stands in seen.items() if stands.mode is Mode.GONE}
            if len(turns | dead) > self.mine.most:
                self.course.violations.append(f"{sorted(turns | dead)} are to be out at {self.now:g}")

    def maybe_fail_owner(self, owner: CampaignRunner, token: int, orders: list[Order]) -> bool:
        """The next owner goes by the register; this one may have been frozen, and sends what it had begun."""
        if self.random.random() >= self.fault_model.owner_failure_rate:
            return False
        if self.random.random() < self.fault_model.frozen_share:
            for order in orders:
                self.after(self.random.uniform(0, 30), self.send, owner, token, order)
        self.token += 1
        self.course.owner_count += 1
        self.owner = self.course_of(campaign.decode(self.register, Progress), self.now)
        return True

    def send(self, owner, token: int, order: Order) -> None:
        for _ in range(self.copies()):
            self.after(self.random.uniform(0, self.fault_model.max_delay), self.carry, owner, token, order)

    def copies(self) -> int:
        return (
            0 if self.random.random() < self.fault_model.loss_rate else 2 if self.random.random() < 0.1 else 1
        )

    # --- hosts and tool carry out

    def carry(self, owner, token: int, order: Order) -> None:
        host = self.hosts[order.host]
        if order.kind is OrderKind.DRAIN and host.back > self.now:
            return
        try:
            host.fence = host.fence.admit("campaign", token)  # the tool keeps its own, a host each here
        except DutyError:
            self.course.rejected += 1
            return
        if order.kind is OrderKind.DRAIN:
            self.drain(host, order)
            reply = OrderReply(
                host.boot == order.boot,
                host.boot,
                host.draining,
                len(host.jobs),
                sum(irreversible for _, irreversible in host.jobs),
            )
        else:
            reply = self.replace(host, order)
        for _ in range(self.copies()):
            self.after(self.random.uniform(0, self.fault_model.max_delay), self.told, owner, order, reply)

    def told(self, owner, order: Order, reply: OrderReply) -> None:
        if owner is self.owner:
            owner.receive_reply(order, reply, self.now)

    def drain(self, host: SimHost, order: Order) -> None:
        if host.boot != order.boot or host.draining:
            return
        if host.name in self.course.replaced:
            self.course.violations.append(f"{host.name} is drained after it was replaced, at {self.now:g}")
        host.draining = True
        self.course.drains.append((self.now, host.name, host.boot))
        # by the campaign alone: of deaths it knew as it planned, and an order may come late
        out = [
            other.name
            for other in self.hosts.values()
            if other.draining and not other.other or other.back > self.now and other.by_campaign
        ]
        self.course.max_out = max(self.course.max_out, len(out))
        if len(out) > self.mine.most:
            self.course.violations.append(f"{len(out)} are out at {self.now:g}: {', '.join(out)}")

    def replace(self, host: SimHost, order: Order) -> OrderReply:
        begun = self.course.replaced.get(host.name, [])
        if host.boot == order.boot:
            if order.boot not in begun:
                self.course.replaced.setdefault(host.name, []).append(order.boot)
            if any(irreversible for _, irreversible in host.jobs) and host.back <= self.now:
                self.course.violations.append(
                    f"{host.name} is replaced under an irreversible job at {self.now:g}"
                )
            self.course.lost += len(host.jobs)
            self.start(host, 2.0)
            host.by_campaign = True
        if order.boot not in self.course.replaced.get(host.name, []):
            return OrderReply(False, host.boot, reason="another boot")
        return OrderReply(True, host.boot)


def run_simulations(seeds, seconds: float = 900.0, **settings) -> list[SimulationResult]:
    return [CampaignSimulation(seed, **settings).play(seconds) for seed in seeds]
