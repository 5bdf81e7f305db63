"""The campaign's work at the controller that owns it: reads the plan, writes progress, then sends orders.

What may be done is `duties/campaign.py`'s to say. Each order asks for the token as it leaves: an owner whose lease has
run out by its own clock sends nothing, and one that was frozen in between is refused by whoever gets the order.
"""

from typing import Callable

import anyio

from linedeal.council.records import Outcome
from linedeal.duties import campaign
from linedeal.duties.campaign import PLAN_KEY, Plan, Progress
from linedeal.duties.campaign_runner import CampaignRunner, OrderKind, Order
from linedeal.duties.duty import DutyError
from linedeal.fleet.council_client import CouncilClient
from linedeal.fleet.hosts import HostsNow
from linedeal.fleet.orders import Orderer
from linedeal.net import LinkLostError, parse_address
from linedeal.settings.records import CampaignSettings

CAMPAIGN_DUTY = "duty/campaign"
EVERY = 0.5  # seconds between two looks while one runs
IDLE = 2.0  # ... while none does
ORDER = 1.0  # seconds for an order to be answered by a host
TOOL = 30.0  # ... by the tool, which replaces a host meanwhile


class CampaignDuty:
    """`hosts()` gives the controller's list; `latest()` its last census, if any."""

    def __init__(
        self,
        settings: CampaignSettings,
        asker: CouncilClient,
        orderer: Orderer,
        answer: float,
        hosts: Callable[[], HostsNow],
        latest,
        log,
    ):
        self.settings, self.asker, self.orderer, self.answer = settings, asker, orderer, answer
        self.hosts, self.latest, self.log = hosts, latest, log

    async def work(self, owned) -> None:
        """Until the duty is lost."""
        course = CampaignRunner(
            campaign.decode(owned.progress, Progress), anyio.current_time(), self.settings.news
        )
        under_way: set[Order] = set()
        async with anyio.create_task_group() as tasks:
            while True:
                plan = await self.plan()
                if plan is None or plan.id == course.stored.id and course.stored.ended:
                    await anyio.sleep(IDLE)
                    continue
                await self.step(owned, course, plan)
                for order in course.orders():
                    if order not in under_way:
                        under_way.add(order)
                        tasks.start_soon(self.order, owned, course, order, under_way)
                await anyio.sleep(EVERY)

    async def plan(self) -> Plan | None:
        told = await self.asker.read(PLAN_KEY, self.answer)
        if told.outcome is not Outcome.READ:
            return None
        try:
            return campaign.decode(told.value.body, Plan)
        except DutyError as refusal:
            self.log.error("campaign stands still", reason=str(refusal))
            return None

    async def step(self, owned, course: CampaignRunner, plan: Plan) -> None:
        now, listed, census = anyio.current_time(), self.hosts(), self.latest()
        if census is not None:
            course.receive_census(census, now)
        after = course.step(
            plan,
            self.settings.bounds,
            {name: host.seen for name, host in listed.hosts.items()},
            listed.age,
            now,
        )
        if after is None:
            return
        await owned.record(
            campaign.encode(after)
        )  # returns once the council has it; cancelled if it never will
        course.mark_stored(after, now)
        self.log.info("campaign", stands=campaign.describe_progress(plan, after))

    async def order(self, owned, course: CampaignRunner, order: Order, under_way: set[Order]) -> None:
        try:
            address, within = self.settings.tool, TOOL
            if order.kind is OrderKind.DRAIN:
                host = self.hosts().hosts.get(order.host)
                if host is None or not host.address:
                    return
                address, within = parse_address(host.address), ORDER
            reply = await self.orderer.send(address, order, CAMPAIGN_DUTY, owned.token(), within)
            if reply is not None:
                if not reply.done and course.order_errors.get(order.host) != reply.reason:
                    self.log.warning(
                        "order refused", host=order.host, kind=order.kind.name, reason=reply.reason
                    )
                course.receive_reply(order, reply, anyio.current_time())
        except LinkLostError as error:
            if course.order_errors.get(order.host) != str(error):
                self.log.warning("order not sent", host=order.host, kind=order.kind.name, reason=str(error))
            course.order_errors[order.host] = str(error)
        finally:
            under_way.discard(order)
