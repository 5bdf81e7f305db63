"""The campaign duty's work at the controller that owns it: read the plan, store progress, then send orders.

`duties/campaign.py` decides what may be done. Each order takes the fencing token when it is sent: an owner
whose lease has expired by its own clock sends nothing, and the orders of one that was suspended in between
are rejected by their receivers.
"""

from collections.abc import Callable

import anyio

from linedeal.council.records import Outcome
from linedeal.duties import campaign
from linedeal.duties.campaign import PLAN_KEY, Plan, Progress
from linedeal.duties.campaign_runner import CampaignRunner, Order, OrderKind
from linedeal.duties.duty import DutyError
from linedeal.fleet.council_client import CouncilClient
from linedeal.fleet.hosts import HostsNow
from linedeal.fleet.orders import OrderSender
from linedeal.net import LinkLostError, parse_address
from linedeal.settings.records import CampaignSettings

CAMPAIGN_DUTY = "duty/campaign"  # the duty's register
STEP_INTERVAL = 0.5  # seconds between two steps of a running campaign
POLL_INTERVAL = 2.0  # seconds between two reads of the plan while no campaign runs
HOST_TIMEOUT = 1.0  # seconds for a host to reply to an order
TOOL_TIMEOUT = 30.0  # seconds for the tool to reply; it replaces the host meanwhile


class CampaignDuty:
    """The campaign duty's work.

    `hosts()` returns the hosts as the controller knows them; `latest_census()` the last census that it
    received, or None.
    """

    def __init__(
        self,
        settings: CampaignSettings,
        client: CouncilClient,
        orders: OrderSender,
        response_timeout: float,
        hosts: Callable[[], HostsNow],
        latest_census,
        log,
    ):
        """`response_timeout`: seconds for the council to respond."""
        self.settings, self.client, self.orders, self.response_timeout = (
            settings,
            client,
            orders,
            response_timeout,
        )
        self.hosts, self.latest_census, self.log = hosts, latest_census, log

    async def work(self, owned) -> None:
        """Carries out campaigns until the duty is lost, which cancels it."""
        runner = CampaignRunner(
            campaign.decode(owned.progress, Progress), anyio.current_time(), self.settings.news
        )
        under_way: set[Order] = set()
        async with anyio.create_task_group() as tasks:
            while True:
                plan = await self.read_plan()
                if plan is None or plan.id == runner.stored.id and runner.stored.ended:
                    await anyio.sleep(POLL_INTERVAL)
                    continue
                await self.step(owned, runner, plan)
                for order in runner.orders():
                    if order not in under_way:
                        under_way.add(order)
                        tasks.start_soon(self.send_order, owned, runner, order, under_way)
                await anyio.sleep(STEP_INTERVAL)

    async def read_plan(self) -> Plan | None:
        """Returns the plan; None if there is none, or if it cannot be read."""
        reply = await self.client.read(PLAN_KEY, self.response_timeout)
        if reply.outcome is not Outcome.READ:
            return None
        try:
            return campaign.decode(reply.value.body, Plan)
        except DutyError as error:
            self.log.error("campaign plan is malformed", reason=str(error))
            return None

    async def step(self, owned, runner: CampaignRunner, plan: Plan) -> None:
        """Decides about the next hosts, and stores the progress if it has changed."""
        now, known, census = anyio.current_time(), self.hosts(), self.latest_census()
        if census is not None:
            runner.receive_census(census, now)
        progress = runner.step(
            plan,
            self.settings.bounds,
            {name: host.state for name, host in known.hosts.items()},
            known.age,
            now,
        )
        if progress is None:
            return
        # returns once the council has the progress; if it never will, the work is cancelled here
        await owned.record(campaign.encode(progress))
        runner.mark_stored(progress, now)
        self.log.info("campaign", stands=campaign.describe_progress(plan, progress))

    async def send_order(self, owned, runner: CampaignRunner, order: Order, under_way: set[Order]) -> None:
        """Sends one order, and passes the reply to the runner, which repeats orders that got none."""
        try:
            address, timeout = self.settings.tool, TOOL_TIMEOUT
            if order.kind is OrderKind.DRAIN:
                host = self.hosts().hosts.get(order.host)
                if host is None or not host.address:
                    return
                address, timeout = parse_address(host.address), HOST_TIMEOUT
            reply = await self.orders.send(address, order, CAMPAIGN_DUTY, owned.token(), timeout)
            if reply is not None:
                if not reply.done and runner.order_errors.get(order.host) != reply.reason:
                    self.log.warning(
                        "order refused", host=order.host, kind=order.kind.name, reason=reply.reason
                    )
                runner.receive_reply(order, reply, anyio.current_time())
        except LinkLostError as error:
            if runner.order_errors.get(order.host) != str(error):
                self.log.warning("order not sent", host=order.host, kind=order.kind.name, reason=str(error))
            runner.order_errors[order.host] = str(error)
        finally:
            under_way.discard(order)
