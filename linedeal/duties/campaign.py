"""A campaign: a release over a set of hosts, a few at a time. What may be done next; pure functions, no I/O, no clock.

A host waits, drains until its work is over or its patience has passed, is replaced by the operators' tool, and counts
as out of service until its successor serves and is warm. What is planned stands in the council before its order is
sent, so whoever owns the duty next finds all that may be on its way. Orders name the boot that they mean and may be
sent again at will.
"""

from collections import Counter
from dataclasses import dataclass, field, replace
from enum import IntEnum

import msgspec

from linedeal.duties.duty import MAX_PROGRESS_BYTES, DutyError
from linedeal.settings.records import Bounds

PLAN_KEY = "campaign/plan"  # the register that holds the plan, written by operators alone
MOST_PLAN = 8192  # bytes of it: a register holds no more
MOST_SAID = 200  # characters of why it stands
RESUMES = 0.75  # of the share at which it pauses by itself: under that it goes on
FEW = 10  # launches, or jobs to be placed: shares of fewer tell nothing


class Mode(IntEnum):
    """How the list has a host."""

    SERVES = 1
    DRAINS = 2
    GONE = 3


class Stage(IntEnum):
    DRAINS = 1  # takes nothing new; its work goes on
    REPLACES = 2  # by the tool; its successor is not warm yet


class Want(IntEnum):
    """The operator's."""

    RUN = 1
    PAUSE = 2  # begins no further host; those that are out are seen through
    ABORT = 3  # the same, and then ends


@dataclass(frozen=True, slots=True)
class Plan:
    """`fleet` has all hosts whose loss counts, with kind and cell, as they stood when the plan was made."""

    id: str
    targets: tuple[str, ...]  # in the order in which they are begun
    fleet: dict[str, tuple[str, int]]
    bounds: Bounds
    want: Want = Want.RUN


@dataclass(frozen=True, slots=True)
class HostUpdate:
    """A host that is out by this campaign."""

    host: str
    stage: Stage
    boot: int  # that is drained and replaced
    spent: float = 0.0  # seconds in this stage, as they were last written


@dataclass(frozen=True, slots=True)
class Progress:
    """The duty's progress. Hosts are numbers in the plan's targets where there may be many."""

    id: str = ""
    out: tuple[HostUpdate, ...] = ()
    done: tuple[int, ...] = ()
    left: dict[int, str] = field(default_factory=dict)  # gone on without, and why
    ended: str = ""  # done or aborted
    stands: str = ""  # why no further host is begun, where none is


@dataclass(frozen=True, slots=True)
class HostState:
    """A host by the owner's list."""

    mode: Mode
    boot: int
    age: float


@dataclass(frozen=True, slots=True)
class DrainState:
    """What a host said of itself last, in answer to this owner."""

    boot: int
    draining: bool
    jobs: int
    irreversible: int


@dataclass(frozen=True, slots=True)
class ClusterView:
    """All that the owner knows besides the plan. `silent`: seconds for which a host that is out has said nothing;
    `replaced`: boots that the tool has told this owner it replaced; `others`: boots it found in place of the one meant
    and had not replaced."""

    hosts: dict[str, HostState]
    drains: dict[str, DrainState] = field(default_factory=dict)
    unresponsive_seconds: dict[str, float] = field(default_factory=dict)
    replaced: frozenset[tuple[str, int]] = frozenset()
    unexpected_boots: dict[str, int] = field(default_factory=dict)
    idle_seconds: float = (
        0.0  # seconds for which nothing was out and no host could be begun as none was there
    )
    stale_reason: str = ""  # why the view is too old to begin a host on
    overload_reason: str = ""  # why work is too strained for another host

    def gone(self, host: str) -> bool:
        return host not in self.hosts or self.hosts[host].mode is Mode.GONE

    def serves(self, host: str) -> bool:
        return host in self.hosts and self.hosts[host].mode is Mode.SERVES


# --- a plan


def validate(plan: Plan, view: ClusterView) -> Plan:
    """Raises DutyError where it could never be carried out."""
    if not plan.targets:
        raise DutyError("it names no host")
    if unknown := [host for host in plan.targets if host not in plan.fleet]:
        raise DutyError(f"not among the hosts that serve: {format_hosts(unknown)}")
    sizes = Counter(kind for kind, _ in plan.fleet.values())
    for kind in sorted({plan.fleet[host][0] for host in plan.targets}):
        if plan.bounds.room * sizes[kind] < 1:
            raise DutyError(
                f"kind {kind}: one of its {sizes[kind]} hosts is {1 / sizes[kind]:.0%} of its room, "
                f"{plan.bounds.room:.0%} may be out at once"
            )
    if plan.bounds.most < 1 or plan.bounds.cells < 1:
        raise DutyError("not one host may be out at once")
    if (size := len(encode(plan))) > MOST_PLAN:
        raise DutyError(
            f"the plan takes {size} bytes, a register holds {MOST_PLAN}: plan some zones or kinds at a time"
        )
    if (
        size := len(encode(Progress(plan.id, (), tuple(range(len(plan.targets))))))
    ) > MAX_PROGRESS_BYTES - 2048:
        raise DutyError(f"its progress would take {size} bytes: plan some zones or kinds at a time")
    return plan


def make_plan(id: str, hosts: set[str], fleet: dict[str, tuple[str, int]], bounds: Bounds) -> Plan:
    """Cell by cell, so that few cells are out at once and each is over early."""
    targets = sorted(hosts, key=lambda host: (fleet.get(host, ("", 0))[1], host))
    return Plan(id, tuple(targets), fleet, bounds)


def batches(plan: Plan) -> list[list[str]]:
    """Which hosts would be out together if all went well and each batch ended at once; for the plan's showing."""
    left, found = list(plan.targets), []
    view = ClusterView({host: HostState(Mode.SERVES, 1, 1e9) for host in plan.fleet})
    while left:
        batch: list[str] = []
        for host in left:
            if not blocking_reason(plan, plan.bounds, view, set(batch), host):
                batch.append(host)
        if not batch:
            raise DutyError(f"{left[0]} can never be begun within its bounds")
        found.append(batch)
        left = [host for host in left if host not in batch]
    return found


# --- limits


def out_of_service(plan: Plan, progress: Progress, view: ClusterView) -> set[str]:
    """Out by this campaign, and those that died, drain by another hand, or are listed no more."""
    return {turn.host for turn in progress.out} | {host for host in plan.fleet if not view.serves(host)}


def blocking_reason(plan: Plan, bounds: Bounds, view: ClusterView, out: set[str], host: str) -> str:
    """Why `host` may not go out beside `out`; empty where it may."""
    if not view.serves(host):
        return (
            "drains by another hand"
            if host in view.hosts and view.hosts[host].mode is Mode.DRAINS
            else "is not there"
        )
    after = out | {host}
    if len(after) > bounds.most:
        return f"{len(out)} out of service ({format_hosts(sorted(out))}), {bounds.most} may be"
    if len(cells := {plan.fleet[one][1] for one in after}) > bounds.cells:
        return f"hosts of {len(cells) - 1} cells are out of service ({format_hosts(sorted(out))}), {bounds.cells} may be"
    kind = plan.fleet[host][0]
    of_kind = [one for one, (its, _) in plan.fleet.items() if its == kind]
    gone = sum(one in after for one in of_kind)
    if gone > bounds.room * len(of_kind):
        return f"{gone - 1} of {len(of_kind)} hosts of kind {kind} are out, {bounds.room:.0%} may be"
    return ""


# --- the course of one host


def advance_host(turn: HostUpdate, bounds: Bounds, view: ClusterView) -> HostUpdate | None:
    """The host's turn by what is known now; None: its successor serves and is warm."""
    seen, look = view.hosts.get(turn.host), view.drains.get(turn.host)
    if turn.stage is Stage.REPLACES:
        if (turn.host, turn.boot) not in view.replaced:
            if view.unexpected_boots.get(turn.host, turn.boot) != turn.boot:
                # it died and came back by itself, and may have work again: it drains anew
                return HostUpdate(turn.host, Stage.DRAINS, view.unexpected_boots[turn.host])
            return turn
        if view.serves(turn.host) and seen.boot != turn.boot and seen.age >= bounds.warm:
            return None
        return turn
    if look is not None and look.boot != turn.boot:
        return HostUpdate(
            turn.host, Stage.DRAINS, look.boot
        )  # it died in its drain and came back: another life to drain
    if (
        look is not None
        and look.draining
        and not look.irreversible
        and (not look.jobs or turn.spent >= bounds.patience)
    ):
        return HostUpdate(turn.host, Stage.REPLACES, turn.boot)
    if view.gone(turn.host) and view.unresponsive_seconds.get(turn.host, 0.0) >= bounds.patience:
        return HostUpdate(
            turn.host, Stage.REPLACES, turn.boot
        )  # what ran there went with it, or would have been heard of
    return turn


# --- the whole


def decide(plan: Plan, progress: Progress, mine: Bounds, view: ClusterView) -> Progress:
    """The progress to be written before anything of it is ordered. `mine`: this owner's cluster file's bounds."""
    bounds = plan.bounds.within(mine)
    if progress.id != plan.id:
        progress = Progress(plan.id)
    if progress.ended:
        return progress
    number = {host: place for place, host in enumerate(plan.targets)}
    turns = [(turn, advance_host(turn, bounds, view)) for turn in progress.out]
    done = tuple(sorted({*progress.done, *(number[turn.host] for turn, after in turns if after is None)}))
    progress = replace(progress, out=tuple(after for _, after in turns if after is not None), done=done)
    waiting = [
        host
        for host in plan.targets
        if number[host] not in done
        and number[host] not in progress.left
        and host not in {turn.host for turn in progress.out}
    ]
    if not progress.out and (not waiting or plan.want is Want.ABORT):
        return replace(progress, ended="aborted" if waiting else "done", stands="")
    if plan.want is not Want.RUN:
        return replace(
            progress, stands="paused by the operator" if plan.want is Want.PAUSE else "being aborted"
        )
    if view.stale_reason or view.overload_reason:
        return replace(progress, stands=(view.stale_reason or view.overload_reason)[:MOST_SAID])
    stands, begun = "", []
    for host in waiting:
        out = out_of_service(plan, progress, view) | {turn.host for turn in begun}
        why = blocking_reason(plan, bounds, view, out, host)
        if not why:
            begun.append(HostUpdate(host, Stage.DRAINS, view.hosts[host].boot))
        elif not stands or stands.endswith("is not there"):
            stands = f"{host} waits: {why}"
    if (
        not begun
        and not progress.out
        and all(not view.serves(host) for host in waiting)
        and view.idle_seconds >= bounds.away
    ):
        reasons = {number[host]: blocking_reason(plan, bounds, view, set(), host) for host in waiting}
        return replace(progress, left={**progress.left, **reasons}, stands="")
    return replace(progress, out=(*progress.out, *begun), stands="" if begun else stands[:MOST_SAID])


def idle(plan: Plan, progress: Progress, view: ClusterView) -> bool:
    """Nothing is out, and of those that wait none serves: the time to `away` runs."""
    named_out = {plan.targets[place] for place in (*progress.done, *progress.left)}
    return not progress.out and all(not view.serves(host) for host in plan.targets if host not in named_out)


def check_overload(known: str, share: float, limit: float, what: str) -> str:
    """Why work is too strained for another host, or empty. `known`: what was said before; it pauses at the limit and
    goes on well under it.

    >>> check_overload("", 0.31, 0.3, "launches were turned away")
    '31% launches were turned away, it pauses from 30%'
    >>> check_overload("so", 0.25, 0.3, "x") != "", check_overload("so", 0.2, 0.3, "x")
    (True, '')
    """
    if share < (RESUMES * limit if known else limit):
        return ""
    return f"{share:.0%} {what}, it pauses from {limit:.0%}"


def overload_shares(before, after) -> list[tuple[float, str]]:
    """What two censuses in a row say of strain: share and what of."""
    launches = after.sums.get("launches", 0) - before.sums.get("launches", 0)
    refused = after.sums.get("launches refused", 0) - before.sums.get("launches refused", 0)
    taken = after.sums.get("taken", 0) - before.sums.get("taken", 0)
    waiting, to_place = after.stands.get("waiting", 0), before.stands.get("waiting", 0) + taken
    return [
        (refused / launches if launches >= FEW else 0.0, "of launches were turned away"),
        (min(1.0, waiting / to_place) if to_place >= FEW else 0.0, "of the jobs to be placed still wait"),
    ]


def describe_progress(plan: Plan, progress: Progress) -> str:
    """One line for people."""
    if progress.id != plan.id:
        return f"{plan.id}: not begun, {len(plan.targets)} hosts"
    out = ", ".join(f"{turn.host} {turn.stage.name.lower()}" for turn in progress.out)
    left = "; ".join(f"{plan.targets[place]} {why}" for place, why in sorted(progress.left.items()))
    return (
        f"{plan.id}: {progress.ended or 'runs'}, {len(progress.done)} of {len(plan.targets)} hosts done"
        + (f"; out: {out}" if out else "")
        + (f"; left out: {left}" if left else "")
        + (f"; {progress.stands}" if progress.stands else "")
    )


def format_hosts(hosts: list[str], most: int = 5) -> str:
    """
    >>> format_hosts(["a", "b", "c"], 2)
    'a, b and 1 more'
    """
    return ", ".join(hosts[:most]) + (f" and {len(hosts) - most} more" if len(hosts) > most else "")


def encode(what: Plan | Progress) -> bytes:
    return msgspec.msgpack.encode(what)


def decode(body: bytes, kind):
    """A plan, None where there is none yet; or progress. Raises DutyError, one plain line."""
    if not body:
        return None if kind is Plan else Progress()
    try:
        return msgspec.msgpack.decode(body, type=kind)
    except msgspec.DecodeError as error:
        raise DutyError(f"no {kind.__name__.lower()} of a campaign: {error}") from None
