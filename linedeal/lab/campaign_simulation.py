"""Simulates campaigns in which owners fail, orders are delayed, lost or duplicated, and hosts fail.

An owner can fail at every point of its step, or only freeze and send its orders late. Other operators drain
hosts as well. The checks are based on what the hosts and the operators' tool carried out.

Time is simulated. The council is a single register that only the duty's present owner changes, as other tests
show of the real council.
"""

import heapq
import random
from collections.abc import Iterable
from dataclasses import dataclass, field

from linedeal.duties import campaign
from linedeal.duties.campaign import HostState, Mode, Progress
from linedeal.duties.campaign_runner import CampaignRunner, Order, OrderKind, OrderReply
from linedeal.duties.census import Census
from linedeal.duties.duty import DutyError
from linedeal.duties.fence import Fence
from linedeal.settings.records import Bounds

STEP = 0.5  # seconds of simulated time


@dataclass(frozen=True, slots=True)
class FaultModel:
    """Which faults occur. Rates are probabilities per step, times are in seconds."""

    owner_failure_rate: float = 0.05  # at each point of its step where the owner can fail
    frozen_share: float = 0.5  # of failed owners: only frozen, and later send the orders they had prepared
    loss_rate: float = 0.1  # share of orders and replies that are lost
    max_delay: float = 6.0  # of orders and replies
    host_failure_rate: float = 0.004  # per host
    max_downtime: float = 8.0  # of a host that failed
    manual_drain_rate: float = 0.002  # per host: drained, and replaced later, by another operator
    list_delay: float = 2.0


@dataclass(slots=True)
class SimulatedHost:
    """A host and its current boot."""

    name: str
    boot: int = 1
    booted_at: float = -1000.0
    down_by_campaign: bool = False  # replaced by the campaign
    down_until: float = 0.0
    draining: bool = False
    manually_drained: bool = False  # drained by another operator
    jobs: list[tuple[float, bool]] = field(default_factory=list)  # end time, and whether it is irreversible
    fence: Fence = Fence()


@dataclass(slots=True)
class SimulationResult:
    """What happened in a simulation, and which rules were violated."""

    violations: list[str] = field(default_factory=list)
    drains: list[tuple[float, str, int]] = field(default_factory=list)  # time, host, boot
    replaced: dict[str, list[int]] = field(default_factory=dict)  # boots by host
    rejected: int = 0  # orders that a fence rejected
    owner_count: int = 1
    max_out: int = 0  # most hosts out of service at the same time because of the campaign
    lost_jobs: int = 0  # that were still on a host when it was replaced
    ended_at: float = 0.0
    progress: Progress = Progress()


class CampaignSimulation:
    """A deterministic simulation of one campaign.

    `runner_class` is the owner's state machine; a test can pass one with a safeguard removed.
    """

    def __init__(
        self,
        seed: int,
        hosts: int = 12,
        bounds: Bounds = Bounds(  # noqa: B008 - frozen, so one instance can be shared
            most=3, cells=2, room=0.5, patience=20.0, warm=3.0, away=40.0
        ),
        fault_model: FaultModel = FaultModel(),  # noqa: B008 - frozen, so one instance can be shared
        runner_class: type[CampaignRunner] = CampaignRunner,
    ):
        """Plans the replacement of all hosts. Two thirds of them are of one kind; cells have four hosts."""
        self.random, self.fault_model, self.runner_class = random.Random(seed), fault_model, runner_class
        self.hosts = {f"h{i:02}": SimulatedHost(f"h{i:02}") for i in range(hosts)}
        fleet = {name: ("std" if place % 3 else "press", place // 4) for place, name in enumerate(self.hosts)}
        self.plan = campaign.make_plan("r1", set(fleet), fleet, bounds)
        self.bounds = bounds
        self.now, self.token, self.last_number = 0.0, 1, 0
        self.register = b""
        self.events: list = []
        self.lists: list[tuple[float, dict[str, HostState]]] = []
        self.result = SimulationResult()
        self.owner = self.runner_class(Progress(), 0.0)

    def play(self, seconds: float) -> SimulationResult:
        """Runs the simulation until the campaign has ended, for at most `seconds`."""
        while self.now < seconds and not self.result.progress.ended:
            self.now += STEP
            self.step_hosts()
            while self.events and self.events[0][0] <= self.now:
                _, _, call, arguments = heapq.heappop(self.events)
                call(*arguments)
            self.step_owner()
        self.result.ended_at = self.now
        if (
            not self.result.progress.ended
            and not self.result.progress.stands
            and not self.result.progress.out
        ):
            self.result.violations.append("the campaign has neither ended nor given a reason to wait")
        return self.result

    def schedule(self, seconds: float, call, *arguments) -> None:
        """Calls `call` after `seconds`; calls for the same time are made in the order of scheduling."""
        self.last_number += 1
        heapq.heappush(self.events, (self.now + seconds, self.last_number, call, arguments))

    # --- hosts

    def step_hosts(self) -> None:
        """Ends and starts jobs, lets hosts fail or be drained manually, and updates the delayed host list."""
        chance = self.random.random
        for host in self.hosts.values():
            if host.down_until > self.now:
                continue
            host.jobs = [job for job in host.jobs if job[0] > self.now]
            if not host.draining and chance() < 0.3 and len(host.jobs) < 6:
                host.jobs.append((self.now + self.random.expovariate(1 / 8), chance() < 0.2))
            if chance() < self.fault_model.host_failure_rate:
                self.reboot(host, self.random.uniform(1, self.fault_model.max_downtime))
            elif not host.draining and chance() < self.fault_model.manual_drain_rate:
                host.draining = host.manually_drained = True
                self.schedule(self.random.uniform(3, 15), self.replace_manually, host, host.boot)
        self.lists.append(
            (
                self.now,
                {
                    host.name: HostState(
                        Mode.GONE
                        if host.down_until > self.now
                        else Mode.DRAINS
                        if host.draining
                        else Mode.SERVES,
                        host.boot,
                        self.now - host.booted_at,
                    )
                    for host in self.hosts.values()
                },
            )
        )
        while len(self.lists) > 2 and self.lists[1][0] <= self.now - self.fault_model.list_delay:
            self.lists.pop(0)

    def replace_manually(self, host: SimulatedHost, boot: int) -> None:
        """Replaces a host that another operator drained, unless it has rebooted meanwhile."""
        if host.boot == boot:
            self.reboot(host, 1.0)

    def reboot(self, host: SimulatedHost, downtime: float) -> None:
        """Stops a host, loses its jobs, and starts its next boot after the downtime."""
        host.down_until, host.booted_at, host.down_by_campaign = (
            self.now + downtime,
            self.now + downtime,
            False,
        )
        host.boot += 1
        host.draining = host.manually_drained = False
        host.jobs = []

    # --- the owner

    def step_owner(self) -> None:
        """Runs one step of the duty's owner, which can fail between any two parts of it."""
        hosts = self.lists[0][1]
        owner, token = self.owner, self.token
        owner.receive_census(Census(token, int(self.now / STEP), 1, (), 0, 0.0, {}, {}), self.now)
        after = owner.step(self.plan, self.bounds, hosts, 1.0, self.now)
        if self.maybe_fail_owner(owner, token, []):
            return
        if after is not None:
            self.check_progress(after, hosts)
            self.register = campaign.encode(after)
            self.result.progress = after
            if self.maybe_fail_owner(owner, token, []):  # stored, but the owner did not learn it
                return
            owner.mark_stored(after, self.now)
        orders = owner.orders()
        if self.maybe_fail_owner(owner, token, orders):
            return
        for order in orders:
            self.send(owner, token, order)
        self.maybe_fail_owner(owner, token, orders)

    def check_progress(self, after: Progress, hosts: dict[str, HostState]) -> None:
        """Checks the bounds if hosts are taken out of service.

        Counted are all hosts that are out because of the campaign, and those listed as gone.
        """
        before = {(update.host, update.boot) for update in self.result.progress.out}
        out = {update.host for update in after.out}
        if {
            (update.host, update.boot)
            for update in after.out
            if update.host not in {host for host, _ in before}
        }:
            gone = {host for host, state in hosts.items() if state.mode is Mode.GONE}
            if len(out | gone) > self.bounds.most:
                self.result.violations.append(
                    f"{sorted(out | gone)} are to be out of service at {self.now:g}"
                )

    def maybe_fail_owner(self, owner: CampaignRunner, token: int, orders: list[Order]) -> bool:
        """Lets the owner fail at random, and returns whether it did.

        The next owner starts from the register. The failed one may only have been frozen; then it sends
        `orders` later.
        """
        if self.random.random() >= self.fault_model.owner_failure_rate:
            return False
        if self.random.random() < self.fault_model.frozen_share:
            for order in orders:
                self.schedule(self.random.uniform(0, 30), self.send, owner, token, order)
        self.token += 1
        self.result.owner_count += 1
        self.owner = self.runner_class(campaign.decode(self.register, Progress), self.now)
        return True

    def send(self, owner, token: int, order: Order) -> None:
        """Sends an order to a host or to the tool, with random delay, loss and duplication."""
        for _ in range(self.delivery_count()):
            self.schedule(
                self.random.uniform(0, self.fault_model.max_delay), self.execute, owner, token, order
            )

    def delivery_count(self) -> int:
        """Returns how often a message is delivered: not at all, once or twice."""
        return (
            0 if self.random.random() < self.fault_model.loss_rate else 2 if self.random.random() < 0.1 else 1
        )

    # --- how hosts and the tool carry out orders

    def execute(self, owner, token: int, order: Order) -> None:
        """Carries out an order and replies, unless the token is outdated or the host is down."""
        host = self.hosts[order.host]
        if order.kind is OrderKind.DRAIN and host.down_until > self.now:
            return
        try:
            # The real tool has its own fence; here it shares that of each host.
            host.fence = host.fence.admit("campaign", token)
        except DutyError:
            self.result.rejected += 1
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
        for _ in range(self.delivery_count()):
            self.schedule(
                self.random.uniform(0, self.fault_model.max_delay), self.receive_reply, owner, order, reply
            )

    def receive_reply(self, owner, order: Order, reply: OrderReply) -> None:
        """Hands a reply to its owner, if that is still the owner."""
        if owner is self.owner:
            owner.receive_reply(order, reply, self.now)

    def drain(self, host: SimulatedHost, order: Order) -> None:
        """Drains a host, and checks the number of hosts that are out of service."""
        if host.boot != order.boot or host.draining:
            return
        if host.name in self.result.replaced:
            self.result.violations.append(f"{host.name} is drained after it was replaced, at {self.now:g}")
        host.draining = True
        self.result.drains.append((self.now, host.name, host.boot))
        # Only hosts that are out because of the campaign count: the owner knew of failed hosts when it made
        # the plan, and others may have failed before a delayed order arrives.
        out = [
            other.name
            for other in self.hosts.values()
            if other.draining
            and not other.manually_drained
            or other.down_until > self.now
            and other.down_by_campaign
        ]
        self.result.max_out = max(self.result.max_out, len(out))
        if len(out) > self.bounds.most:
            self.result.violations.append(f"{len(out)} are out of service at {self.now:g}: {', '.join(out)}")

    def replace(self, host: SimulatedHost, order: Order) -> OrderReply:
        """Replaces a boot of a host, as the operators' tool does.

        Checks that no irreversible job runs on it.
        """
        replaced = self.result.replaced.get(host.name, [])
        if host.boot == order.boot:
            if order.boot not in replaced:
                self.result.replaced.setdefault(host.name, []).append(order.boot)
            if any(irreversible for _, irreversible in host.jobs) and host.down_until <= self.now:
                self.result.violations.append(
                    f"{host.name} is replaced while an irreversible job runs, at {self.now:g}"
                )
            self.result.lost_jobs += len(host.jobs)
            self.reboot(host, 2.0)
            host.down_by_campaign = True
        if order.boot not in self.result.replaced.get(host.name, []):
            return OrderReply(False, host.boot, reason="another boot")
        return OrderReply(True, host.boot)


def run_simulations(seeds: Iterable[int], seconds: float = 900.0, **settings) -> list[SimulationResult]:
    """Runs one simulation for each seed; `settings` are arguments of `CampaignSimulation`."""
    return [CampaignSimulation(seed, **settings).play(seconds) for seed in seeds]
