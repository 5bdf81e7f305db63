"""The owner's state machine for a campaign. Time and replies go in, progress and orders come out; no I/O.

It holds what the owner knows of the hosts and the tool, and decides what to store and what to order.
Nothing is ordered before it is stored in the council: `orders` is computed from what `mark_stored` reported,
never from progress that is still being written.
"""

from dataclasses import dataclass, replace
from enum import Enum

from linedeal.duties import campaign
from linedeal.duties.campaign import ClusterView, DrainState, HostState, Plan, Progress, Stage
from linedeal.duties.census import Census
from linedeal.settings.records import Bounds

SAVE_INTERVAL = 10.0  # seconds between two writes of how long each host has been out of service


class OrderKind(Enum):
    """What is ordered, and from whom."""

    DRAIN = "to the host: accept no new jobs, and report what it still holds"
    REPLACE = "to the operators' tool: replace this boot of the host"


@dataclass(frozen=True, slots=True)
class Order:
    """An order about one boot of a host. It may be sent again at any time."""

    kind: OrderKind
    campaign: str
    host: str
    boot: int


@dataclass(frozen=True, slots=True)
class OrderReply:
    """The reply of a host or of the tool: whether the order is carried out, and the host's state."""

    done: bool
    boot: int
    draining: bool = False
    jobs: int = 0
    irreversible: int = 0
    reason: str = ""


class CampaignRunner:
    """One owner's view of the campaign.

    `progress` is the duty's progress when it was gained; `news` is the age in seconds from which the host
    list or the census is too old to rely on.
    """

    def __init__(self, progress: Progress, now: float, news: float = 15.0):
        """Starts with the stored progress and no knowledge of the hosts."""
        self.max_age = news
        self.stored = progress  # as it is in the council
        self.stored_at = now  # the times of the hosts in `stored` count from then
        self.drains: dict[str, DrainState] = {}
        # when each host out of service replied last, or went out of service
        self.heard_at: dict[str, float] = {}
        self.replaced: set[tuple[str, int]] = set()
        self.unexpected_boots: dict[str, int] = {}
        self.idle_since: float | None = None
        self.overload_reason = ""
        self.census: Census | None = None
        self.previous_census: Census | None = None
        self.census_at = now
        self.order_errors: dict[str, str] = {}  # why the last order about a host was not carried out

    def receive_census(self, census: Census, now: float) -> None:
        """Stores a census, if it is newer.

        Two consecutive ones of one owner show what happened between them.
        """
        if self.census is None or (census.token, census.number) > (self.census.token, self.census.number):
            self.previous_census, self.census, self.census_at = self.census, census, now

    def step(
        self, plan: Plan, own_bounds: Bounds, hosts: dict[str, HostState], list_age: float, now: float
    ) -> Progress | None:
        """Returns the progress that has to be stored next, or None if the stored one is up to date."""
        elapsed = now - self.stored_at
        progress = self.stored if self.stored.id == plan.id else Progress(plan.id)
        aged = replace(
            progress, out=tuple(replace(update, spent=update.spent + elapsed) for update in progress.out)
        )
        for update in aged.out:
            self.heard_at.setdefault(update.host, now)
        view = self.view(plan, own_bounds, aged, hosts, list_age, now)
        after = campaign.decide(plan, aged, own_bounds, view)
        if without_times(after) == without_times(self.stored) and (not after.out or elapsed < SAVE_INTERVAL):
            return None
        return after

    def view(self, plan, own_bounds, progress, hosts, list_age, now) -> ClusterView:
        """Returns what is known now, and forgets replies about hosts that are back in service."""
        out = {update.host for update in progress.out}
        for known in (self.drains, self.heard_at, self.unexpected_boots, self.order_errors):
            for host in set(known) - out:
                del known[host]
        view = ClusterView(
            hosts,
            dict(self.drains),
            {host: now - at for host, at in self.heard_at.items()},
            frozenset(self.replaced),
            dict(self.unexpected_boots),
        )
        if not campaign.is_idle(plan, progress, view):
            self.idle_since = None
        elif self.idle_since is None:
            self.idle_since = now
        self.overload_reason = self.check_overload(plan.bounds.within(own_bounds).strain)
        return replace(
            view,
            idle_seconds=0.0 if self.idle_since is None else now - self.idle_since,
            stale_reason=self.check_age(list_age, now),
            overload_reason=self.overload_reason,
        )

    def check_age(self, list_age: float, now: float) -> str:
        """Returns why the information is too old to take another host out of service, or an empty text."""
        if list_age > self.max_age:
            return f"the list of hosts is {list_age:.0f} s old"
        if self.census is None or now - self.census_at > self.max_age:
            return f"no census for {now - self.census_at:.0f} s: whether work is strained is not known"
        return ""

    def check_overload(self, limit: float) -> str:
        """Returns why the cluster is too loaded for another host to go out of service, or an empty text."""
        if self.previous_census is None or self.previous_census.token != self.census.token:
            return self.overload_reason
        for share, what in campaign.overload_shares(self.previous_census, self.census):
            if reason := campaign.check_overload(self.overload_reason, share, limit, what):
                return reason
        return ""

    def mark_stored(self, progress: Progress, now: float) -> None:
        """Notes that this progress is stored in the council."""
        self.stored, self.stored_at = progress, now

    def orders(self) -> list[Order]:
        """Returns all orders that may be given now.

        They are repeated until answered, since any may be lost.
        """
        orders = []
        for update in self.stored.out:
            if update.stage is Stage.DRAINS:
                orders.append(Order(OrderKind.DRAIN, self.stored.id, update.host, update.boot))
            elif (update.host, update.boot) not in self.replaced:
                orders.append(Order(OrderKind.REPLACE, self.stored.id, update.host, update.boot))
        return orders

    def receive_reply(self, order: Order, reply: OrderReply, now: float) -> None:
        """Handles the reply to an order."""
        self.heard_at[order.host] = now
        self.order_errors[order.host] = "" if reply.done else reply.reason
        if order.kind is OrderKind.DRAIN:
            self.drains[order.host] = DrainState(reply.boot, reply.draining, reply.jobs, reply.irreversible)
        elif reply.done:
            self.replaced.add((order.host, order.boot))
        elif reply.boot not in (0, order.boot):
            self.unexpected_boots[order.host] = reply.boot


def without_times(progress: Progress) -> Progress:
    """Returns the progress without the times spent, which change without any event."""
    return replace(progress, out=tuple(replace(update, spent=0.0) for update in progress.out))
