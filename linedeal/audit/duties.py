"""Work on behalf of the fleet, judged from the record: orders and what they were told, changes of the council's registers,
starts and deaths of hosts. Knows nothing of who decides."""

from dataclasses import dataclass

from linedeal.audit.traffic import CAMPAIGN, NEVER, PLAN, ObservedLaunch, ObservedOrder, Traffic
from linedeal.duties import campaign
from linedeal.duties.campaign import Plan, Progress, Stage
from linedeal.duties.duty import DutyError, decode
from linedeal.interface import Effect
from linedeal.protocol import pb
from linedeal.settings.records import Cluster

KNOWN = 6.0  # seconds after a host's death within which an owner need not know of it: two silent, a late list
CLAIMS = {
    "tokens": "the tokens of effects carried out never go down, and each is one owner's",
    "planned": "nothing is ordered that does not stand in the council",
    "twice": "no host is drained twice for one campaign",
    "limit": "never more hosts out at once than may be, deaths counted",
    "irreversible": "no host is replaced under an irreversible job",
    "ends": "each campaign ends, or says why it stands",
}
STAGES = {pb.HOST_DRAIN: Stage.DRAINS, pb.HOST_REPLACE: Stage.REPLACES}


@dataclass(frozen=True, slots=True)
class DutyBreach:
    claim: str
    t: float
    text: str


def find_duty_breaches(traffic: Traffic, cluster: Cluster) -> list[DutyBreach]:
    """Every breach, in order of time; empty when all claims hold."""
    found = [
        *tokens(traffic),
        *planned(traffic),
        *twice(traffic),
        *limits(traffic, cluster),
        *irreversible(traffic, cluster),
        *ends(traffic),
    ]
    return sorted(found, key=lambda breach: (breach.t, breach.claim, breach.text))


def executed_orders(traffic: Traffic) -> list[ObservedOrder]:
    return [order for order in traffic.orders if order.done and order.kind != pb.HOST_LOOK]


def tokens(traffic: Traffic):
    places: dict[tuple[str, str], list[ObservedOrder]] = {}
    owners: dict[tuple[str, int], str] = {}
    for order in executed_orders(traffic):
        places.setdefault((order.to, order.duty), []).append(order)
    for order in traffic.orders:
        if owners.setdefault((order.duty, order.token), order.owner) != order.owner:
            yield DutyBreach(
                "tokens",
                order.t,
                f"token {order.token} of {order.duty} is {order.owner}'s and "
                f"{owners[order.duty, order.token]}'s",
            )
    for (place, duty), orders in places.items():
        for late in orders:
            before = max((other.token for other in orders if other.answered_at < late.came), default=0)
            if late.token < max(before, late.highest_token):
                yield DutyBreach(
                    "tokens",
                    late.answered_at,
                    f"{place} carried out token {late.token} of {duty} by {late.owner} "
                    f"after {max(before, late.highest_token)}",
                )


def progresses(traffic: Traffic) -> list[tuple[float, float, Progress]]:
    """Asked for, made, and what it says; those that cannot be read are nobody's progress."""
    found = []
    for change in traffic.changes:
        if change.key == CAMPAIGN:
            try:
                found.append((change.t, change.made, campaign.decode(decode(change.body).progress, Progress)))
            except DutyError:
                pass  # refused by whoever reads it, too
    return found


def standing_since(traffic: Traffic) -> dict[tuple, float]:
    """Since when each step stands in the council, by campaign, host, boot and stage."""
    first: dict[tuple, float] = {}
    for _, made, progress in progresses(traffic):
        for turn in progress.out:
            step = progress.id, turn.host, turn.boot, turn.stage
            first[step] = min(first.get(step, NEVER), made)
    return first


def planned(traffic: Traffic):
    first = standing_since(traffic)
    for order in traffic.orders:
        if order.kind in STAGES:
            stands = first.get((order.campaign, order.host, order.boot, STAGES[order.kind]), NEVER)
            if order.t < stands:
                yield DutyBreach(
                    "planned",
                    order.t,
                    f"{order.owner} ordered {STAGES[order.kind].name.lower()} for "
                    f"{order.host} boot {order.boot}, which does not stand in the council",
                )


def twice(traffic: Traffic):
    replaced: dict[tuple[str, str], float] = {}  # since when, by campaign and host
    for order in executed_orders(traffic):
        if order.kind == pb.HOST_REPLACE:
            key = order.campaign, order.host
            replaced[key] = min(replaced.get(key, NEVER), order.answered_at)
    for order in executed_orders(traffic):
        since = replaced.get((order.campaign, order.host), NEVER)
        if order.kind == pb.HOST_DRAIN and order.came > since:
            yield DutyBreach(
                "twice", order.t, f"{order.host} was drained for {order.campaign} after it had been replaced"
            )


def spans_of(traffic: Traffic) -> tuple[dict, dict]:
    """For each host, when it was out by a campaign and when it was dead: (from, to the start of its next boot)."""
    starts: dict[str, list[float]] = {}
    for (host, _), t in traffic.booted.items():
        starts.setdefault(host, []).append(t)

    def back(host, since):
        return min((t for t in starts.get(host, ()) if t > since), default=NEVER)

    drained: dict[tuple[str, int], float] = {}
    for order in executed_orders(traffic):
        if order.kind == pb.HOST_DRAIN:
            drained[order.host, order.boot] = min(
                drained.get((order.host, order.boot), NEVER), order.answered_at
            )
    out: dict[str, list] = {}
    dead: dict[str, list] = {}
    for (host, _), since in drained.items():
        out.setdefault(host, []).append((since, back(host, since)))
    for t, what, who in traffic.marks:
        if what == "kill" and who in starts:
            dead.setdefault(who, []).append((t, back(who, t)))
    return out, dead


def limits(traffic: Traffic, cluster: Cluster):
    """At the first order for each drain that is carried out: what is out by campaigns then, and what had died long enough
    before it was planned that its owner must have known."""
    plans = plans_of(traffic)
    out, dead = spans_of(traffic)
    stands, seen = standing_since(traffic), set()
    for order in sorted(executed_orders(traffic), key=lambda order: order.answered_at):
        if order.kind != pb.HOST_DRAIN or (order.host, order.boot) in seen:
            continue
        seen.add((order.host, order.boot))
        planned_at = min(
            order.answered_at, stands.get((order.campaign, order.host, order.boot, Stage.DRAINS), NEVER)
        )
        plan = plans.get(order.campaign)
        bounds = cluster.campaign.bounds if plan is None else plan.bounds.within(cluster.campaign.bounds)
        away = {order.host} | {
            host for host, spans in out.items() if any(a < order.answered_at < b for a, b in spans)
        }
        away |= {host for host, spans in dead.items() if any(a + KNOWN < planned_at < b for a, b in spans)}
        away = sorted(host for host in away if plan is None or host in plan.fleet)
        if len(away) > bounds.most:
            yield DutyBreach(
                "limit",
                order.answered_at,
                f"{len(away)} hosts are out as {order.host} drains "
                f"({campaign.format_hosts(away)}), {bounds.most} may be",
            )
        if plan is not None and len(cells := {plan.fleet[host][1] for host in away}) > bounds.cells:
            yield DutyBreach(
                "limit",
                order.answered_at,
                f"hosts of {len(cells)} cells are out as {order.host} drains, {bounds.cells} may be",
            )


def irreversible(traffic: Traffic, cluster: Cluster):
    offerings = cluster.settings.offerings
    for t, what, who in traffic.marks:
        if what == "replace":
            for launch in traffic.launches.values():
                if (
                    launch.host == who
                    and offerings[launch.job.offering].effect is Effect.IRREVERSIBLE
                    and launch.accepted < t < min(launch.ended, launch.lost)
                    and not over_unheard(traffic, launch, t)
                ):
                    yield DutyBreach("irreversible", t, f"{who} was replaced under {launch.job.id}")


def over_unheard(traffic: Traffic, launch: ObservedLaunch, t: float) -> bool:
    """An end that comes while its controller is away is told to nobody before that one's next link, and may go with the
    host. Over by the host's own word, then: asked after the last link that knew of it had ended, it drained, so that
    nothing new came, and held no irreversible job. While a link stands, only what is told on it counts."""
    return any(
        order.to == launch.host
        and order.at == launch.boot
        and order.clear
        and launch.unheard < order.came
        and order.answered_at < t
        for order in traffic.orders
    )


def campaign_outcomes(traffic: Traffic) -> list[tuple[Plan, Progress]]:
    """Each plan that was made, as last changed, with the last progress that stood."""
    last = {progress.id: progress for _, made, progress in progresses(traffic) if made < NEVER}
    return [(plan, last.get(plan.id, Progress())) for plan in plans_of(traffic).values()]


def plans_of(traffic: Traffic) -> dict[str, Plan]:
    plans = [
        campaign.decode(change.body, Plan)
        for change in traffic.changes
        if change.key == PLAN and change.made < NEVER
    ]
    return {plan.id: plan for plan in plans}


def ends(traffic: Traffic):
    for plan, progress in campaign_outcomes(traffic):
        if not (progress.ended or progress.stands or progress.out):
            yield DutyBreach("ends", traffic.end, f"{plan.id} neither ended nor says why it stands")
