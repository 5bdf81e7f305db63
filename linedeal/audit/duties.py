"""Checks the duties' work against the record.

Uses orders and their replies, changes of the council's registers, and starts and deaths of hosts. Knows
nothing of how a duty's owner decides.
"""

from dataclasses import dataclass

from linedeal.audit.traffic import CAMPAIGN, NEVER, PLAN, ObservedLaunch, ObservedOrder, Traffic
from linedeal.duties import campaign
from linedeal.duties.campaign import Plan, Progress, Stage
from linedeal.duties.duty import DutyError, decode
from linedeal.interface import Effect
from linedeal.protocol import pb
from linedeal.settings.records import Cluster

# seconds after a host's death within which a duty's owner need not have detected it: two requests to the host
# may time out first, and the owner's host list may be late
DEATH_NOTICE_TIME = 6.0
CLAIMS = {
    "tokens": "the tokens of effects carried out never go down, and each is one owner's",
    "planned": "nothing is ordered before the council has recorded it",
    "twice": "no host is drained twice for one campaign",
    "limit": "never more hosts out at once than permitted, dead hosts included",
    "irreversible": "no host is replaced under an irreversible job",
    "ends": "each campaign ends, or gives the reason why it waits",
}
STAGES = {pb.HOST_DRAIN: Stage.DRAINS, pb.HOST_REPLACE: Stage.REPLACES}


@dataclass(frozen=True, slots=True)
class DutyBreach:
    """A breach of one of `CLAIMS`; `t` in seconds on the recorder's clock."""

    claim: str
    t: float
    text: str


def find_duty_breaches(traffic: Traffic, cluster: Cluster) -> list[DutyBreach]:
    """Every breach, in order of time; empty when all claims hold."""
    found = [
        *check_tokens(traffic),
        *check_planned(traffic),
        *check_repeated_drains(traffic),
        *check_limits(traffic, cluster),
        *check_irreversible(traffic, cluster),
        *check_ends(traffic),
    ]
    return sorted(found, key=lambda breach: (breach.t, breach.claim, breach.text))


def executed_orders(traffic: Traffic) -> list[ObservedOrder]:
    """Drains and replacements whose reply confirms the execution."""
    return [order for order in traffic.orders if order.done and order.kind != pb.HOST_LOOK]


def check_tokens(traffic: Traffic):
    """Claim "tokens": each token has one owner, and no receiver executes a lower one after a higher one."""
    by_receiver: dict[tuple[str, str], list[ObservedOrder]] = {}
    owners: dict[tuple[str, int], str] = {}
    for order in executed_orders(traffic):
        by_receiver.setdefault((order.to, order.duty), []).append(order)
    for order in traffic.orders:
        if owners.setdefault((order.duty, order.token), order.owner) != order.owner:
            yield DutyBreach(
                "tokens",
                order.t,
                f"token {order.token} of {order.duty} is {order.owner}'s and "
                f"{owners[order.duty, order.token]}'s",
            )
    for (receiver, duty), orders in by_receiver.items():
        for later in orders:
            before = max(
                (other.token for other in orders if other.answered_at < later.earliest_execution), default=0
            )
            if later.token < max(before, later.highest_token):
                yield DutyBreach(
                    "tokens",
                    later.answered_at,
                    f"{receiver} carried out token {later.token} of {duty} by {later.owner} "
                    f"after {max(before, later.highest_token)}",
                )


def progress_changes(traffic: Traffic) -> list[tuple[float, float, Progress]]:
    """Each change of the campaign's progress: when it was requested, when made, and the progress.

    Leaves out what cannot be decoded.
    """
    found = []
    for change in traffic.changes:
        if change.key == CAMPAIGN:
            try:
                found.append((change.t, change.made, campaign.decode(decode(change.body).progress, Progress)))
            except DutyError:
                pass  # readers of the register reject it as well
    return found


def step_times(traffic: Traffic) -> dict[tuple, float]:
    """Since when the council has recorded each step, by campaign, host, boot and stage."""
    first: dict[tuple, float] = {}
    for _, made, progress in progress_changes(traffic):
        for update in progress.out:
            step = progress.id, update.host, update.boot, update.stage
            first[step] = min(first.get(step, NEVER), made)
    return first


def check_planned(traffic: Traffic):
    """Claim "planned": no drain or replacement is ordered before the council has recorded it."""
    first = step_times(traffic)
    for order in traffic.orders:
        if order.kind in STAGES:
            recorded = first.get((order.campaign, order.host, order.boot, STAGES[order.kind]), NEVER)
            if order.t < recorded:
                yield DutyBreach(
                    "planned",
                    order.t,
                    f"{order.owner} ordered {STAGES[order.kind].name.lower()} for "
                    f"{order.host} boot {order.boot}, which the council has not recorded",
                )


def check_repeated_drains(traffic: Traffic):
    """Claim "twice": no host is drained for a campaign that has replaced it."""
    replaced: dict[tuple[str, str], float] = {}  # since when, by campaign and host
    for order in executed_orders(traffic):
        if order.kind == pb.HOST_REPLACE:
            key = order.campaign, order.host
            replaced[key] = min(replaced.get(key, NEVER), order.answered_at)
    for order in executed_orders(traffic):
        since = replaced.get((order.campaign, order.host), NEVER)
        if order.kind == pb.HOST_DRAIN and order.earliest_execution > since:
            yield DutyBreach(
                "twice", order.t, f"{order.host} was drained for {order.campaign} after it had been replaced"
            )


def unavailable_spans(traffic: Traffic) -> tuple[dict, dict]:
    """By host: when a campaign had it out of service, and when it was dead, each up to its next start."""
    starts: dict[str, list[float]] = {}
    for (host, _), t in traffic.booted.items():
        starts.setdefault(host, []).append(t)

    def next_start(host, since):
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
        out.setdefault(host, []).append((since, next_start(host, since)))
    for t, what, who in traffic.marks:
        if what == "kill" and who in starts:
            dead.setdefault(who, []).append((t, next_start(who, t)))
    return out, dead


def check_limits(traffic: Traffic, cluster: Cluster):
    """Claim "limit": no executed drain exceeds the campaign's bounds on hosts and cells.

    Checked at the first order for each drain. Counts the hosts that campaigns have out then, and those that
    had died DEATH_NOTICE_TIME before the drain was planned, so that its owner must have known.
    """
    plans = plans_of(traffic)
    out, dead = unavailable_spans(traffic)
    planned, seen = step_times(traffic), set()
    for order in sorted(executed_orders(traffic), key=lambda order: order.answered_at):
        if order.kind != pb.HOST_DRAIN or (order.host, order.boot) in seen:
            continue
        seen.add((order.host, order.boot))
        planned_at = min(
            order.answered_at, planned.get((order.campaign, order.host, order.boot, Stage.DRAINS), NEVER)
        )
        plan = plans.get(order.campaign)
        bounds = cluster.campaign.bounds if plan is None else plan.bounds.within(cluster.campaign.bounds)
        away = {order.host} | {
            host
            for host, spans in out.items()
            if any(start < order.answered_at < end for start, end in spans)
        }
        away |= {
            host
            for host, spans in dead.items()
            if any(start + DEATH_NOTICE_TIME < planned_at < end for start, end in spans)
        }
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


def check_irreversible(traffic: Traffic, cluster: Cluster):
    """Claim "irreversible": no host is replaced while it holds an irreversible job.

    A job is over once its host has sent so, also if a cut holds the message.
    """
    offerings = cluster.settings.offerings
    for t, what, who in traffic.marks:
        if what == "replace":
            for launch in traffic.launches.values():
                if (
                    launch.host == who
                    and offerings[launch.job.offering].effect is Effect.IRREVERSIBLE
                    and launch.accepted < t < min(launch.end_sent, launch.lost)
                    and not ended_unreported(traffic, launch, t)
                ):
                    yield DutyBreach("irreversible", t, f"{who} was replaced under {launch.job.id}")


def ended_unreported(traffic: Traffic, launch: ObservedLaunch, t: float) -> bool:
    """Whether a reply of the host proves before `t` that the launch had ended, though no link reported it.

    An end that occurs while the controller is disconnected is reported only on its next link, and is lost if
    the host goes first. The host's own reply to an order counts then: asked after the last link that knew of
    the launch had ended, it was draining, so that it accepted nothing new, and held no irreversible job.
    While that link is open, only what is reported on it counts.
    """
    return any(
        order.to == launch.host
        and order.answering_boot == launch.boot
        and order.drained
        and launch.unreported_since < order.earliest_execution
        and order.answered_at < t
        for order in traffic.orders
    )


def campaign_outcomes(traffic: Traffic) -> list[tuple[Plan, Progress]]:
    """Each recorded plan in its last version, with its last recorded progress."""
    last = {progress.id: progress for _, made, progress in progress_changes(traffic) if made < NEVER}
    return [(plan, last.get(plan.id, Progress())) for plan in plans_of(traffic).values()]


def plans_of(traffic: Traffic) -> dict[str, Plan]:
    """The recorded plans in their last version, by id."""
    plans = [
        campaign.decode(change.body, Plan)
        for change in traffic.changes
        if change.key == PLAN and change.made < NEVER
    ]
    return {plan.id: plan for plan in plans}


def check_ends(traffic: Traffic):
    """Claim "ends": a campaign has ended, has hosts out of service, or gives the reason why it waits."""
    for plan, progress in campaign_outcomes(traffic):
        if not (progress.ended or progress.stands or progress.out):
            yield DutyBreach("ends", traffic.end, f"{plan.id} has neither ended nor given a reason to wait")
