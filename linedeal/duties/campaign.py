"""A campaign: a rolling replacement of hosts, a few at a time. Pure functions that decide the next steps.

A host waits, drains until its work is over or its drain times out, is replaced by the operators'
tool, and counts as out of service until its successor serves and has warmed up. Each step is stored in the
council before its order is sent, so the next owner of the duty knows every order that may still be under way.
Orders name the boot that they are meant for and can be repeated at any time.
"""

from collections import Counter
from dataclasses import dataclass, field, replace
from enum import IntEnum

import msgspec

from linedeal.duties.duty import MAX_PROGRESS_BYTES, DutyError
from linedeal.settings.records import Bounds

PLAN_KEY = "campaign/plan"  # the register that holds the plan, written by operators only
MAX_PLAN_BYTES = 8192  # upper limit of what a register holds
RESERVED_PROGRESS_BYTES = 2048  # of the progress, for everything but the list of finished hosts
MAX_REASON_CHARACTERS = 200  # of the reason why no further host is started
RESUME_FACTOR = 0.75  # of the share at which the campaign pauses itself: below that it resumes
MIN_SAMPLE = 10  # launches, or jobs to be placed: a share of fewer is not significant


class Mode(IntEnum):
    """A host's state in the host list."""

    SERVES = 1
    DRAINS = 2
    GONE = 3


class Stage(IntEnum):
    """The stage of a host that is out of service because of the campaign."""

    DRAINS = 1  # accepts no new jobs while its running jobs continue
    REPLACES = 2  # being replaced by the tool, until its successor has warmed up


class Want(IntEnum):
    """What the operator wants of the campaign."""

    RUN = 1
    PAUSE = 2  # starts no further host; those that are out of service are completed
    ABORT = 3  # the same, and then ends


@dataclass(frozen=True, slots=True)
class Plan:
    """A campaign as planned by an operator; stored in the register `PLAN_KEY`.

    `fleet` holds every host that counts against the bounds, with its kind and cell, at the time of planning.
    """

    id: str
    targets: tuple[str, ...]  # in the order in which they are started
    fleet: dict[str, tuple[str, int]]
    bounds: Bounds
    want: Want = Want.RUN


@dataclass(frozen=True, slots=True)
class HostUpdate:
    """A host that is out of service because of the campaign."""

    host: str
    stage: Stage
    boot: int  # that is drained and replaced
    spent: float = 0.0  # seconds in this stage when the progress was last stored


@dataclass(frozen=True, slots=True)
class Progress:
    """The progress of the duty, as stored.

    Finished hosts are indices into the plan's targets, to save space.
    """

    id: str = ""  # of the plan
    out: tuple[HostUpdate, ...] = ()  # hosts out of service
    done: tuple[int, ...] = ()
    left: dict[int, str] = field(default_factory=dict)  # skipped hosts, with the reason
    ended: str = ""  # empty, done or aborted
    stands: str = ""  # why no further host is started, if none is


@dataclass(frozen=True, slots=True)
class HostState:
    """A host according to the owner's host list."""

    mode: Mode
    boot: int
    age: float  # seconds since that boot


@dataclass(frozen=True, slots=True)
class DrainState:
    """What a host last replied to this owner's drain order."""

    boot: int
    draining: bool
    jobs: int
    irreversible: int


@dataclass(frozen=True, slots=True)
class ClusterView:
    """All data of the owner besides the plan.

    `unresponsive_seconds`: for how long each host out of service has not replied. `replaced`: hosts and boots
    that the tool has reported to this owner as replaced. `unexpected_boots`: by host, a boot that the tool
    found in place of the one named in the order and did not replace.
    """

    hosts: dict[str, HostState]
    drains: dict[str, DrainState] = field(default_factory=dict)
    unresponsive_seconds: dict[str, float] = field(default_factory=dict)
    replaced: frozenset[tuple[str, int]] = frozenset()
    unexpected_boots: dict[str, int] = field(default_factory=dict)
    # for how long nothing was out of service and no waiting host was there to be started
    idle_seconds: float = 0.0
    stale_reason: str = ""  # why the view is too old to start another host
    overload_reason: str = ""  # why the cluster is too loaded to start another host

    def gone(self, host: str) -> bool:
        """Returns whether the host is not listed, or listed as gone."""
        return host not in self.hosts or self.hosts[host].mode is Mode.GONE

    def serves(self, host: str) -> bool:
        """Returns whether the host is listed as serving."""
        return host in self.hosts and self.hosts[host].mode is Mode.SERVES


# --- a plan


def validate(plan: Plan, view: ClusterView) -> Plan:
    """Returns the plan.

    Raises DutyError if it could never be carried out, or would not fit into its register.
    """
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
    if (size := len(encode(plan))) > MAX_PLAN_BYTES:
        raise DutyError(
            f"the plan takes {size} bytes, a register holds {MAX_PLAN_BYTES}: "
            "plan some zones or kinds at a time"
        )
    if (
        size := len(encode(Progress(plan.id, (), tuple(range(len(plan.targets))))))
    ) > MAX_PROGRESS_BYTES - RESERVED_PROGRESS_BYTES:
        raise DutyError(f"its progress would take {size} bytes: plan some zones or kinds at a time")
    return plan


def make_plan(id: str, hosts: set[str], fleet: dict[str, tuple[str, int]], bounds: Bounds) -> Plan:
    """Returns a plan ordered by cell: few cells are affected at once, and each for a short time."""
    targets = sorted(hosts, key=lambda host: (fleet.get(host, ("", 0))[1], host))
    return Plan(id, tuple(targets), fleet, bounds)


def batches(plan: Plan) -> list[list[str]]:
    """Returns the hosts that would be out of service together if each batch ended at once, for display.

    Raises DutyError if the bounds exclude a host altogether.
    """
    remaining, found = list(plan.targets), []
    view = ClusterView({host: HostState(Mode.SERVES, 1, 1e9) for host in plan.fleet})
    while remaining:
        batch: list[str] = []
        for host in remaining:
            if not blocking_reason(plan, plan.bounds, view, set(batch), host):
                batch.append(host)
        if not batch:
            raise DutyError(f"{remaining[0]} can never be taken out of service within the bounds")
        found.append(batch)
        remaining = [host for host in remaining if host not in batch]
    return found


# --- limits


def out_of_service(plan: Plan, progress: Progress, view: ClusterView) -> set[str]:
    """Returns the hosts out of service: by the campaign, dead, drained by others, or no longer listed."""
    return {update.host for update in progress.out} | {host for host in plan.fleet if not view.serves(host)}


def blocking_reason(plan: Plan, bounds: Bounds, view: ClusterView, out: set[str], host: str) -> str:
    """Returns why `host` may not go out of service in addition to `out`, or an empty text if it may."""
    if not view.serves(host):
        return (
            "drains by another hand"
            if host in view.hosts and view.hosts[host].mode is Mode.DRAINS
            else "is not there"
        )
    after = out | {host}
    if len(after) > bounds.most:
        return f"{len(out)} out of service ({format_hosts(sorted(out))}), {bounds.most} may be"
    if len(cells := {plan.fleet[name][1] for name in after}) > bounds.cells:
        return (
            f"hosts of {len(cells) - 1} cells are out of service ({format_hosts(sorted(out))}), "
            f"{bounds.cells} may be"
        )
    kind = plan.fleet[host][0]
    of_kind = [name for name, (its_kind, _) in plan.fleet.items() if its_kind == kind]
    gone = sum(name in after for name in of_kind)
    if gone > bounds.room * len(of_kind):
        return f"{gone - 1} of {len(of_kind)} hosts of kind {kind} are out, {bounds.room:.0%} may be"
    return ""


# --- the steps of one host


def advance_host(update: HostUpdate, bounds: Bounds, view: ClusterView) -> HostUpdate | None:
    """Returns the host's next state, or None once its successor serves and has warmed up."""
    state, drain = view.hosts.get(update.host), view.drains.get(update.host)
    if update.stage is Stage.REPLACES:
        if (update.host, update.boot) not in view.replaced:
            if view.unexpected_boots.get(update.host, update.boot) != update.boot:
                # the host crashed and restarted on its own: it may have new work, so it drains again
                return HostUpdate(update.host, Stage.DRAINS, view.unexpected_boots[update.host])
            return update
        if view.serves(update.host) and state.boot != update.boot and state.age >= bounds.warm:
            return None
        return update
    if drain is not None and drain.boot != update.boot:
        # the host crashed while it drained and restarted: the new boot has to drain
        return HostUpdate(update.host, Stage.DRAINS, drain.boot)
    if (
        drain is not None
        and drain.draining
        and not drain.irreversible
        and (not drain.jobs or update.spent >= bounds.patience)
    ):
        return HostUpdate(update.host, Stage.REPLACES, update.boot)
    if view.gone(update.host) and view.unresponsive_seconds.get(update.host, 0.0) >= bounds.patience:
        # its jobs died with it, or else it would have replied by now
        return HostUpdate(update.host, Stage.REPLACES, update.boot)
    return update


# --- the whole campaign


def decide(plan: Plan, progress: Progress, own_bounds: Bounds, view: ClusterView) -> Progress:
    """Returns the progress that has to be stored before any order that follows from it is sent.

    `own_bounds`: the bounds in this owner's cluster file; the tighter of these and the plan's hold.
    """
    bounds = plan.bounds.within(own_bounds)
    if progress.id != plan.id:
        progress = Progress(plan.id)
    if progress.ended:
        return progress
    index = {host: place for place, host in enumerate(plan.targets)}
    updates = [(update, advance_host(update, bounds, view)) for update in progress.out]
    done = tuple(
        sorted({*progress.done, *(index[update.host] for update, after in updates if after is None)})
    )
    progress = replace(progress, out=tuple(after for _, after in updates if after is not None), done=done)
    waiting = [
        host
        for host in plan.targets
        if index[host] not in done
        and index[host] not in progress.left
        and host not in {update.host for update in progress.out}
    ]
    if not progress.out and (not waiting or plan.want is Want.ABORT):
        return replace(progress, ended="aborted" if waiting else "done", stands="")
    if plan.want is not Want.RUN:
        return replace(
            progress, stands="paused by the operator" if plan.want is Want.PAUSE else "being aborted"
        )
    if view.stale_reason or view.overload_reason:
        return replace(progress, stands=(view.stale_reason or view.overload_reason)[:MAX_REASON_CHARACTERS])
    reason, started = "", []
    for host in waiting:
        out = out_of_service(plan, progress, view) | {update.host for update in started}
        blocked = blocking_reason(plan, bounds, view, out, host)
        if not blocked:
            started.append(HostUpdate(host, Stage.DRAINS, view.hosts[host].boot))
        elif not reason or reason.endswith("is not there"):
            reason = f"{host} waits: {blocked}"
    if (
        not started
        and not progress.out
        and all(not view.serves(host) for host in waiting)
        and view.idle_seconds >= bounds.away
    ):
        reasons = {index[host]: blocking_reason(plan, bounds, view, set(), host) for host in waiting}
        return replace(progress, left={**progress.left, **reasons}, stands="")
    return replace(
        progress, out=(*progress.out, *started), stands="" if started else reason[:MAX_REASON_CHARACTERS]
    )


def is_idle(plan: Plan, progress: Progress, view: ClusterView) -> bool:
    """Returns whether nothing is out of service and none of the waiting hosts serves.

    After `Bounds.away` seconds of this the campaign continues without the waiting hosts.
    """
    finished = {plan.targets[place] for place in (*progress.done, *progress.left)}
    return not progress.out and all(not view.serves(host) for host in plan.targets if host not in finished)


def check_overload(previous: str, share: float, limit: float, what: str) -> str:
    """Returns why the cluster is too loaded for another host to go out of service, or an empty text.

    `previous` is the last result: the campaign pauses at the limit and resumes at `RESUME_FACTOR` of it.

    >>> check_overload("", 0.31, 0.3, "launches were turned away")
    '31% launches were turned away, it pauses from 30%'
    >>> check_overload("so", 0.25, 0.3, "x") != "", check_overload("so", 0.2, 0.3, "x")
    (True, '')
    """
    if share < (RESUME_FACTOR * limit if previous else limit):
        return ""
    return f"{share:.0%} {what}, it pauses from {limit:.0%}"


def overload_shares(before, after) -> list[tuple[float, str]]:
    """Returns what two consecutive censuses show of the load: shares from 0 to 1, each with a label."""
    launches = after.sums.get("launches", 0) - before.sums.get("launches", 0)
    refused = after.sums.get("launches refused", 0) - before.sums.get("launches refused", 0)
    taken = after.sums.get("taken", 0) - before.sums.get("taken", 0)
    waiting, to_place = after.stands.get("waiting", 0), before.stands.get("waiting", 0) + taken
    return [
        (refused / launches if launches >= MIN_SAMPLE else 0.0, "of launches were turned away"),
        (
            min(1.0, waiting / to_place) if to_place >= MIN_SAMPLE else 0.0,
            "of the jobs to be placed still wait",
        ),
    ]


def describe_progress(plan: Plan, progress: Progress) -> str:
    """Returns the campaign's state as one line for display."""
    if progress.id != plan.id:
        return f"{plan.id}: not begun, {len(plan.targets)} hosts"
    out = ", ".join(f"{update.host} {update.stage.name.lower()}" for update in progress.out)
    left = "; ".join(f"{plan.targets[place]} {reason}" for place, reason in sorted(progress.left.items()))
    return (
        f"{plan.id}: {progress.ended or 'runs'}, {len(progress.done)} of {len(plan.targets)} hosts done"
        + (f"; out: {out}" if out else "")
        + (f"; left out: {left}" if left else "")
        + (f"; {progress.stands}" if progress.stands else "")
    )


def format_hosts(hosts: list[str], limit: int = 5) -> str:
    """Lists up to `limit` hosts by name and counts the others.

    >>> format_hosts(["a", "b", "c"], 2)
    'a, b and 1 more'
    """
    return ", ".join(hosts[:limit]) + (f" and {len(hosts) - limit} more" if len(hosts) > limit else "")


def encode(data: Plan | Progress) -> bytes:
    """Encodes a plan or progress for its register."""
    return msgspec.msgpack.encode(data)


def decode(body: bytes, kind):
    """Decodes a Plan or Progress; an empty body is no plan (None), or empty progress.

    Raises DutyError if it is anything else.
    """
    if not body:
        return None if kind is Plan else Progress()
    try:
        return msgspec.msgpack.decode(body, type=kind)
    except msgspec.DecodeError as error:
        raise DutyError(f"no {kind.__name__.lower()} of a campaign: {error}") from None
