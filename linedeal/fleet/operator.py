"""What operators do about a campaign, for commands and days alike: plan it, look at it, pause, resume, abort it."""

import uuid
from dataclasses import dataclass, replace

import anyio

from linedeal.council.records import Change, Outcome
from linedeal.duties import campaign, duty as duties
from linedeal.duties.campaign import PLAN_KEY, Mode, Plan, Progress, Want
from linedeal.duties.duty import Duty, DutyError
from linedeal.fleet.council_client import CouncilClient, CouncilReply
from linedeal.fleet.hosts import HostNow, HostsNow, read_hosts
from linedeal.fleet.campaign_duty import CAMPAIGN_DUTY
from linedeal.protocol import pb
from linedeal.settings.records import Bounds


class CouncilUnavailableError(Exception):
    """What was asked for could not be learned in time; one plain line with who said nothing."""


@dataclass(frozen=True, slots=True)
class HostSelection:
    """Which hosts: all that fit each of what is named."""

    names: tuple[str, ...] = ()
    kinds: tuple[str, ...] = ()
    zones: tuple[str, ...] = ()
    cells: tuple[int, ...] = ()

    def takes(self, name: str, host: HostNow) -> bool:
        return all(
            (not wanted or has in wanted)
            for wanted, has in (
                (self.names, name),
                (self.kinds, host.kind),
                (self.zones, host.zone),
                (self.cells, host.cell),
            )
        )


@dataclass(frozen=True, slots=True)
class CampaignStatus:
    plan: Plan | None
    version: int  # of the plan's register
    duty: Duty
    progress: Progress

    @property
    def runs(self) -> bool:
        return self.plan is not None and not (self.progress.id == self.plan.id and self.progress.ended)


def require_read(told: CouncilReply, what: str) -> CouncilReply:
    if told.outcome is not Outcome.READ:
        raise CouncilUnavailableError(
            f"{what}: {told.outcome.value}" + "".join(f"; {one}" for one in told.silent)
        )
    return told


async def campaign_status(asker: CouncilClient, within: float) -> CampaignStatus:
    """Raises CouncilUnavailableError, DutyError. Within that time in all, as the others here."""
    plan = require_read(await asker.read(PLAN_KEY, within / 2), "the campaign's plan")
    owned = require_read(await asker.read(CAMPAIGN_DUTY, within / 2), "the campaign's owner")
    duty = duties.decode(owned.value.body)
    return CampaignStatus(
        campaign.decode(plan.value.body, Plan),
        plan.value.version,
        duty,
        campaign.decode(duty.progress, Progress),
    )


async def list_hosts(asker: CouncilClient, within: float) -> HostsNow:
    """As the member that answers first has them. Raises CouncilUnavailableError."""
    return read_hosts(
        require_read(await asker.ask(pb.CouncilAsk(kind=pb.HOSTS), within), "the hosts").value.body
    )


def plan_campaign(id: str, now: HostsNow, choice: HostSelection, bounds: Bounds, mine: Bounds) -> Plan:
    """Raises DutyError where it could not be carried out. `mine`: the cluster file's bounds, which no plan may pass."""
    fleet = {name: (host.kind, host.cell) for name, host in now.hosts.items() if host.mode is not Mode.GONE}
    if absent := [name for name in choice.names if name not in fleet]:
        raise DutyError(f"not among the hosts that serve: {campaign.format_hosts(absent)}")
    chosen = {name for name in fleet if choice.takes(name, now.hosts[name])}
    view = campaign.ClusterView({name: host.seen for name, host in now.hosts.items()})
    return campaign.validate(campaign.make_plan(id, chosen, fleet, bounds.within(mine)), view)


async def start_campaign(asker: CouncilClient, plan: Plan, within: float) -> None:
    """Raises DutyError, CouncilUnavailableError."""
    stands = await campaign_status(asker, within / 2)
    if stands.plan is not None and stands.plan.id == plan.id:
        raise DutyError(f"{plan.id} has been: a campaign's name is used once")
    if stands.runs:
        raise DutyError(
            f"{stands.plan.id} is not over: {campaign.describe_progress(stands.plan, stands.progress)}"
        )
    await put(asker, plan, stands.version, within / 2)


async def change_campaign(asker: CouncilClient, id: str, want: Want, within: float) -> CampaignStatus:
    """Raises DutyError, CouncilUnavailableError."""
    stands = await campaign_status(asker, within / 2)
    if stands.plan is None or stands.plan.id != id:
        raise DutyError(f"no campaign {id} runs" + (f"; {stands.plan.id} does" if stands.runs else ""))
    if not stands.runs:
        raise DutyError(f"{id} is over: {campaign.describe_progress(stands.plan, stands.progress)}")
    if stands.plan.want is Want.ABORT and want is not Want.ABORT:
        raise DutyError(f"{id} is being aborted")
    if stands.plan.want is not want:
        await put(asker, replace(stands.plan, want=want), stands.version, within / 2)
    return stands


async def hand_over(asker: CouncilClient, name: str, heir: str, within: float) -> Duty:
    """Takes the duty from its owner, for whoever comes or for `heir`, a controller's name and life. Returns it as it was.
    Raises DutyError, CouncilUnavailableError."""
    until = anyio.current_time() + within
    was = None
    while True:
        told = require_read(await asker.read(name, until - anyio.current_time()), name)
        duty = duties.decode(told.value.body)
        if was is not None and (duty.owner, duty.token) != (was.owner, was.token):
            raise DutyError(f"{duty.owner or 'nobody'} has it meanwhile: look at it again")
        was = duty
        change = Change(
            f"operator/{uuid.uuid4().hex}", told.value.version, duties.encode(duties.revoke(duty, heir))
        )
        told = await asker.change(name, change, max(0.1, until - anyio.current_time()))
        if told.outcome is not Outcome.CONFLICT:  # else its owner has renewed it in between
            made(told, "", name)
            return duty


def made(told: CouncilReply, conflict: str, what: str) -> None:
    if told.outcome is Outcome.CONFLICT:
        raise DutyError(conflict)
    if told.outcome is not Outcome.DONE:
        raise CouncilUnavailableError(
            f"{what}: {told.outcome.value}" + "".join(f"; {one}" for one in told.silent)
        )


async def put(asker: CouncilClient, plan: Plan, version: int, within: float) -> None:
    change = Change(f"operator/{uuid.uuid4().hex}", version, campaign.encode(plan))
    made(
        await asker.change(PLAN_KEY, change, within),
        "another operator was faster: look at it again",
        "the plan",
    )
