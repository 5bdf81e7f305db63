"""The operator of a day: what its file says of duties and campaigns, asked of the council as the commands do."""

import random

from linedeal.duties import duty as duties
from linedeal.duties.campaign import Plan, Want
from linedeal.fleet import operator
from linedeal.fleet.council_client import CouncilClient
from linedeal.net import TcpNet
from linedeal.settings.cluster import read_cluster
from linedeal.settings.records import Bounds

WITHIN = 8.0  # seconds for each
TRIES = 3  # while no majority answers
WISHES = {"pause": Want.PAUSE, "resume": Want.RUN, "abort": Want.ABORT}


class Operator:
    """`cluster_path` is the file that the day's controllers read."""

    def __init__(self, cluster_path: str):
        self.cluster = read_cluster(cluster_path)

    def council_client(self) -> CouncilClient:
        return CouncilClient(self.cluster.council, "an operator", "", TcpNet(), random.random)

    async def start_campaign(self, name: str, hosts: tuple[str, ...], bounds: dict[str, str]) -> Plan:
        mine = self.cluster.campaign.bounds
        kinds = {key: type(getattr(mine, key)) for key in bounds}
        wanted = Bounds(
            **{
                key: kinds[key](bounds[key]) if key in bounds else getattr(mine, key)
                for key in mine.__dataclass_fields__
            }
        )
        async with self.council_client() as client:
            for left in reversed(range(TRIES)):
                try:
                    known = (
                        (await operator.campaign_status(client, WITHIN)).plan if left < TRIES - 1 else None
                    )
                    if known is not None and known.id == name:
                        return known  # it was made, and nobody could say so in time
                    plan = operator.plan_campaign(
                        name,
                        await operator.list_hosts(client, WITHIN),
                        operator.HostSelection(hosts),
                        wanted,
                        mine,
                    )
                    await operator.start_campaign(client, plan, WITHIN)
                    return plan
                except operator.CouncilUnavailableError:
                    if not left:
                        raise

    async def change_campaign(self, name: str, wish: str) -> None:
        async with self.council_client() as client:
            await operator.change_campaign(client, name, WISHES[wish], WITHIN)

    async def hand_over(self, duty: str, heir: str = "") -> None:
        async with self.council_client() as client:
            await operator.hand_over(client, f"duty/{duty}", heir, WITHIN)

    async def duty_owner(self, duty: str) -> str:
        """The controller that has it; raises CouncilUnavailableError, and DutyError where nobody has."""
        async with self.council_client() as client:
            told = operator.require_read(await client.read(f"duty/{duty}", WITHIN), duty)
        owner = duties.decode(told.value.body).owner.partition("/")[0]
        if not owner:
            raise duties.DutyError(f"nobody owns {duty}")
        return owner

    async def campaign_status(self) -> operator.CampaignStatus:
        async with self.council_client() as client:
            return await operator.campaign_status(client, WITHIN)
