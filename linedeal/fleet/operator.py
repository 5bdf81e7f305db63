"""What operators do with campaigns and duties, for the commands and for day files: plan a campaign, read its
status, pause, resume or abort it, or hand a duty over.

`timeout` is always the limit in seconds for the whole call.
"""

import uuid
from dataclasses import dataclass, replace

import anyio

from linedeal.council.records import Change, Outcome
from linedeal.duties import campaign
from linedeal.duties import duty as duties
from linedeal.duties.campaign import PLAN_KEY, Mode, Plan, Progress, Want
from linedeal.duties.duty import Duty, DutyError
from linedeal.fleet.campaign_duty import CAMPAIGN_DUTY
from linedeal.fleet.council_client import CouncilClient, CouncilReply
from linedeal.fleet.hosts import HostNow, HostsNow, decode_hosts
from linedeal.protocol import pb
from linedeal.settings.records import Bounds


class CouncilUnavailableError(Exception):
    """The council gave no answer in time; one plain line with the members that did not answer."""


@dataclass(frozen=True, slots=True)
class HostSelection:
    """Selects the hosts that match every criterion; an empty one matches all hosts."""

    names: tuple[str, ...] = ()
    kinds: tuple[str, ...] = ()
    zones: tuple[str, ...] = ()
    cells: tuple[int, ...] = ()

    def matches(self, name: str, host: HostNow) -> bool:
        """Returns whether the host is selected."""
        return all(
            (not wanted or actual in wanted)
            for wanted, actual in (
                (self.names, name),
                (self.kinds, host.kind),
                (self.zones, host.zone),
                (self.cells, host.cell),
            )
        )


@dataclass(frozen=True, slots=True)
class CampaignStatus:
    """The last campaign's plan, None if there was none, and the duty that carries it out."""

    plan: Plan | None
    version: int  # of the plan's register
    duty: Duty
    progress: Progress

    @property
    def is_running(self) -> bool:
        """Whether the plan is neither done nor aborted; a paused campaign is running."""
        return self.plan is not None and not (self.progress.id == self.plan.id and self.progress.ended)


def require_read(reply: CouncilReply, what: str) -> CouncilReply:
    """Returns the reply of a successful read. Raises CouncilUnavailableError for any other."""
    if reply.outcome is not Outcome.READ:
        raise CouncilUnavailableError(
            f"{what}: {reply.outcome.value}" + "".join(f"; {line}" for line in reply.unanswered)
        )
    return reply


async def campaign_status(client: CouncilClient, timeout: float) -> CampaignStatus:
    """Reads the last campaign's plan and progress. Raises CouncilUnavailableError, DutyError."""
    plan = require_read(await client.read(PLAN_KEY, timeout / 2), "the campaign's plan")
    owner = require_read(await client.read(CAMPAIGN_DUTY, timeout / 2), "the campaign's owner")
    duty = duties.decode(owner.value.body)
    return CampaignStatus(
        campaign.decode(plan.value.body, Plan),
        plan.value.version,
        duty,
        campaign.decode(duty.progress, Progress),
    )


async def list_hosts(client: CouncilClient, timeout: float) -> HostsNow:
    """Returns the hosts as the first member that answers knows them.

    Raises CouncilUnavailableError, DutyError.
    """
    return decode_hosts(
        require_read(await client.request(pb.CouncilAsk(kind=pb.HOSTS), timeout), "the hosts").value.body
    )


def plan_campaign(
    id: str, known: HostsNow, selection: HostSelection, bounds: Bounds, own_bounds: Bounds
) -> Plan:
    """Plans a campaign over the selected hosts.

    `own_bounds` are the cluster file's bounds, which no plan may exceed. Raises DutyError if the plan could
    not be carried out.
    """
    fleet = {name: (host.kind, host.cell) for name, host in known.hosts.items() if host.mode is not Mode.GONE}
    if unknown := [name for name in selection.names if name not in fleet]:
        raise DutyError(f"not among the hosts that serve: {campaign.format_hosts(unknown)}")
    selected = {name for name in fleet if selection.matches(name, known.hosts[name])}
    view = campaign.ClusterView({name: host.state for name, host in known.hosts.items()})
    return campaign.validate(campaign.make_plan(id, selected, fleet, bounds.within(own_bounds)), view)


async def start_campaign(client: CouncilClient, plan: Plan, timeout: float) -> None:
    """Starts a campaign.

    Raises CouncilUnavailableError; DutyError while another campaign runs, or if the name was the last one's.
    """
    status = await campaign_status(client, timeout / 2)
    if status.plan is not None and status.plan.id == plan.id:
        raise DutyError(f"{plan.id} has run already: a campaign's name is used once")
    if status.is_running:
        raise DutyError(
            f"{status.plan.id} is not over: {campaign.describe_progress(status.plan, status.progress)}"
        )
    await write_plan(client, plan, status.version, timeout / 2)


async def change_campaign(client: CouncilClient, id: str, want: Want, timeout: float) -> CampaignStatus:
    """Pauses, resumes or aborts the running campaign. Returns its status from before.

    Raises CouncilUnavailableError; DutyError if it does not run, or if an aborted one is to do anything else.
    """
    status = await campaign_status(client, timeout / 2)
    if status.plan is None or status.plan.id != id:
        raise DutyError(f"no campaign {id} runs" + (f"; {status.plan.id} does" if status.is_running else ""))
    if not status.is_running:
        raise DutyError(f"{id} is over: {campaign.describe_progress(status.plan, status.progress)}")
    if status.plan.want is Want.ABORT and want is not Want.ABORT:
        raise DutyError(f"{id} is being aborted")
    if status.plan.want is not want:
        await write_plan(client, replace(status.plan, want=want), status.version, timeout / 2)
    return status


async def hand_over(client: CouncilClient, name: str, successor: str, timeout: float) -> Duty:
    """Takes the duty from its owner, and returns it as it was.

    `successor`, a controller's name and life, may acquire it first; empty: any controller may. Raises
    CouncilUnavailableError; DutyError if nobody owns it, or if the owner changes meanwhile.
    """
    deadline = anyio.current_time() + timeout
    previous = None
    while True:
        reply = require_read(await client.read(name, deadline - anyio.current_time()), name)
        duty = duties.decode(reply.value.body)
        if previous is not None and (duty.owner, duty.token) != (previous.owner, previous.token):
            raise DutyError(f"{duty.owner or 'nobody'} owns it now: check it again")
        previous = duty
        change = Change(
            f"operator/{uuid.uuid4().hex}",
            reply.value.version,
            duties.encode(duties.revoke(duty, successor)),
        )
        reply = await client.change(name, change, max(0.1, deadline - anyio.current_time()))
        if reply.outcome is not Outcome.CONFLICT:  # on a conflict the owner has renewed its lease meanwhile
            require_done(reply, "", name)
            return duty


def require_done(reply: CouncilReply, conflict: str, what: str) -> None:
    """Checks the reply to a change.

    Raises DutyError with the text `conflict` if the register had another version, and
    CouncilUnavailableError if it is not known that the change was made.
    """
    if reply.outcome is Outcome.CONFLICT:
        raise DutyError(conflict)
    if reply.outcome is not Outcome.DONE:
        raise CouncilUnavailableError(
            f"{what}: {reply.outcome.value}" + "".join(f"; {line}" for line in reply.unanswered)
        )


async def write_plan(client: CouncilClient, plan: Plan, version: int, timeout: float) -> None:
    """Writes the plan over this version of the register.

    Raises CouncilUnavailableError; DutyError if another operator has written one meanwhile.
    """
    change = Change(f"operator/{uuid.uuid4().hex}", version, campaign.encode(plan))
    require_done(
        await client.change(PLAN_KEY, change, timeout),
        "another operator changed it meanwhile: check it again",
        "the plan",
    )
