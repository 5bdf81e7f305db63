"""The operator of a day: sends its duty and campaign commands to the council, as the command line does."""

import random

from linedeal.duties import duty as duties
from linedeal.duties.campaign import Plan, Want
from linedeal.fleet import operator
from linedeal.fleet.council_client import CouncilClient
from linedeal.net import TcpNet
from linedeal.settings.cluster import read_cluster
from linedeal.settings.records import Bounds

TIMEOUT = 8.0  # seconds for each command
MAX_ATTEMPTS = 3  # attempts to start a campaign while no majority of the council answers
CAMPAIGN_CHANGES = {"pause": Want.PAUSE, "resume": Want.RUN, "abort": Want.ABORT}


class Operator:
    """Issues commands to the council. Each raises CouncilUnavailableError, or DutyError if it is refused."""

    def __init__(self, cluster_path: str):
        """`cluster_path`: the file that the day's controllers read. Raises ConfigError."""
        self.cluster = read_cluster(cluster_path)

    def council_client(self) -> CouncilClient:
        """A new client of the council; use it as an async context manager."""
        return CouncilClient(self.cluster.council, "an operator", "", TcpNet(), random.random)

    async def start_campaign(self, name: str, hosts: tuple[str, ...], bounds: dict[str, str]) -> Plan:
        """Starts a campaign and returns its plan. `bounds`: as text; others are those of the cluster file."""
        cluster_bounds = self.cluster.campaign.bounds
        types = {key: type(getattr(cluster_bounds, key)) for key in bounds}
        requested = Bounds(
            **{
                key: types[key](bounds[key]) if key in bounds else getattr(cluster_bounds, key)
                for key in cluster_bounds.__dataclass_fields__
            }
        )
        async with self.council_client() as client:
            for attempts_left in reversed(range(MAX_ATTEMPTS)):
                try:
                    known = (
                        (await operator.campaign_status(client, TIMEOUT)).plan
                        if attempts_left < MAX_ATTEMPTS - 1
                        else None
                    )
                    if known is not None and known.id == name:
                        return known  # an earlier attempt succeeded, but its answer was late
                    plan = operator.plan_campaign(
                        name,
                        await operator.list_hosts(client, TIMEOUT),
                        operator.HostSelection(hosts),
                        requested,
                        cluster_bounds,
                    )
                    await operator.start_campaign(client, plan, TIMEOUT)
                    return plan
                except operator.CouncilUnavailableError:
                    if not attempts_left:
                        raise

    async def change_campaign(self, name: str, change: str) -> None:
        """Applies a change of CAMPAIGN_CHANGES: pause, resume or abort."""
        async with self.council_client() as client:
            await operator.change_campaign(client, name, CAMPAIGN_CHANGES[change], TIMEOUT)

    async def hand_over(self, duty: str, successor: str = "") -> None:
        """Takes a duty from its owner, for `successor` or, if that is empty, for any controller."""
        async with self.council_client() as client:
            await operator.hand_over(client, f"duty/{duty}", successor, TIMEOUT)

    async def duty_owner(self, duty: str) -> str:
        """The name of the controller that owns a duty. Raises DutyError if none does."""
        async with self.council_client() as client:
            reply = operator.require_read(await client.read(f"duty/{duty}", TIMEOUT), duty)
        owner = duties.controller_of(duties.decode(reply.value.body).owner)
        if not owner:
            raise duties.DutyError(f"nobody owns {duty}")
        return owner

    async def campaign_status(self) -> operator.CampaignStatus:
        """The plan, the duty and the progress of the latest campaign."""
        async with self.council_client() as client:
            return await operator.campaign_status(client, TIMEOUT)
