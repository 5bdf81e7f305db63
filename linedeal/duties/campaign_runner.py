"""An owner's course with a campaign: what it knows of hosts and tool, what is to be written, what is to be ordered.
Time and answers in, progress and orders out; no I/O.

Nothing is ordered that does not stand in the council: `orders` speaks of what `written` was told, never of a plan that
is still on its way there.
"""

from dataclasses import dataclass, replace
from enum import Enum

from linedeal.duties import campaign
from linedeal.duties.campaign import DrainState, Plan, Progress, HostState, Stage, ClusterView
from linedeal.duties.census import Census
from linedeal.settings.records import Bounds

KEEP_EVERY = 10.0  # seconds between two writes of how long each host has been out


class OrderKind(Enum):
    DRAIN = "to the host: take nothing new; tells what it still holds"
    REPLACE = "to the operators' tool: replace this boot of the host"


@dataclass(frozen=True, slots=True)
class Order:
    kind: OrderKind
    campaign: str
    host: str
    boot: int


@dataclass(frozen=True, slots=True)
class OrderReply:
    """What a host or the tool said to an order: whether it stands, and the host as it is."""

    done: bool
    boot: int
    draining: bool = False
    jobs: int = 0
    irreversible: int = 0
    reason: str = ""


class CampaignRunner:
    """`progress` is the duty's as it was gained; `news`: seconds after which list or census are too old to go by."""

    def __init__(self, progress: Progress, now: float, news: float = 15.0):
        self.news = news
        self.stored = progress  # as it stands in the council
        self.counted_from = now  # when `stands` was written: its hosts' times count from then
        self.looks: dict[str, DrainState] = {}
        self.heard: dict[str, float] = {}  # when each host that is out said something, or went out
        self.replaced: set[tuple[str, int]] = set()
        self.others: dict[str, int] = {}
        self.absent_since: float | None = None
        self.strained = ""
        self.census: Census | None = None
        self.last_census: Census | None = None
        self.census_at = now
        self.order_errors: dict[str, str] = {}  # why the last order about a host was not carried out

    def receive_census(self, census: Census, now: float) -> None:
        """A new one; two in a row of one owner show what went on between them."""
        if self.census is None or (census.token, census.number) > (self.census.token, self.census.number):
            self.last_census, self.census, self.census_at = self.census, census, now

    def step(
        self, plan: Plan, mine: Bounds, seen: dict[str, HostState], list_age: float, now: float
    ) -> Progress | None:
        """What is to be written before anything else; None where what stands is right still."""
        spent = now - self.counted_from
        progress = self.stored if self.stored.id == plan.id else Progress(plan.id)
        aged = replace(progress, out=tuple(replace(turn, spent=turn.spent + spent) for turn in progress.out))
        for turn in aged.out:
            self.heard.setdefault(turn.host, now)
        view = self.view(plan, mine, aged, seen, list_age, now)
        after = campaign.decide(plan, aged, mine, view)
        if bare(after) == bare(self.stored) and (not after.out or spent < KEEP_EVERY):
            return None
        return after

    def view(self, plan, mine, progress, seen, list_age, now) -> ClusterView:
        out = {turn.host for turn in progress.out}
        for kept in (self.looks, self.heard, self.others, self.order_errors):
            for host in set(kept) - out:
                del kept[host]
        view = ClusterView(
            seen,
            dict(self.looks),
            {host: now - at for host, at in self.heard.items()},
            frozenset(self.replaced),
            dict(self.others),
        )
        if not campaign.idle(plan, progress, view):
            self.absent_since = None
        elif self.absent_since is None:
            self.absent_since = now
        self.strained = self.strain(plan.bounds.within(mine).strain)
        return replace(
            view,
            idle_seconds=0.0 if self.absent_since is None else now - self.absent_since,
            stale_reason=self.blind(list_age, now),
            overload_reason=self.strained,
        )

    def blind(self, list_age: float, now: float) -> str:
        if list_age > self.news:
            return f"the list of hosts is {list_age:.0f} s old"
        if self.census is None or now - self.census_at > self.news:
            return f"no census for {now - self.census_at:.0f} s: whether work is strained is not known"
        return ""

    def strain(self, limit: float) -> str:
        if self.last_census is None or self.last_census.token != self.census.token:
            return self.strained
        for share, what in campaign.overload_shares(self.last_census, self.census):
            if said := campaign.check_overload(self.strained, share, limit, what):
                return said
        return ""

    def mark_stored(self, progress: Progress, now: float) -> None:
        """It stands in the council."""
        self.stored, self.counted_from = progress, now

    def orders(self) -> list[Order]:
        """All that may be ordered now; sent again until it is answered, as any may have been lost."""
        found = []
        for turn in self.stored.out:
            if turn.stage is Stage.DRAINS:
                found.append(Order(OrderKind.DRAIN, self.stored.id, turn.host, turn.boot))
            elif (turn.host, turn.boot) not in self.replaced:
                found.append(Order(OrderKind.REPLACE, self.stored.id, turn.host, turn.boot))
        return found

    def receive_reply(self, order: Order, reply: OrderReply, now: float) -> None:
        self.heard[order.host] = now
        self.order_errors[order.host] = "" if reply.done else reply.reason
        if order.kind is OrderKind.DRAIN:
            self.looks[order.host] = DrainState(reply.boot, reply.draining, reply.jobs, reply.irreversible)
        elif reply.done:
            self.replaced.add((order.host, order.boot))
        elif reply.boot not in (0, order.boot):
            self.others[order.host] = reply.boot


def bare(progress: Progress) -> Progress:
    """Without the times, which pass by themselves."""
    return replace(progress, out=tuple(replace(turn, spent=0.0) for turn in progress.out))
