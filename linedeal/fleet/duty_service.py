"""A controller's part in the fleet's duties: it sends reports, competes for the duties, and does the work of
those that it owns. Scheduling does not depend on any of it.

A duty's work is a coroutine `work(owned)` that is cancelled as soon as the duty is lost. Each effect first
calls `owned.token()`, which raises once the lease has expired by this machine's clock.
"""

import random
import traceback
from collections.abc import Awaitable, Callable

import anyio

from linedeal.council.records import Change, Outcome, Request, Response
from linedeal.duties import census
from linedeal.duties.duty import DutyError, owner_name
from linedeal.duties.holder import Gained, Holder, HolderState, LeaseTiming, Lost, Saved
from linedeal.fleet.campaign_duty import CAMPAIGN_DUTY, CampaignDuty
from linedeal.fleet.council_client import CouncilClient, CouncilRequestError
from linedeal.fleet.hosts import HostsNow
from linedeal.fleet.orders import OrderSender
from linedeal.protocol import pb
from linedeal.settings.records import CampaignSettings, CouncilSettings

REPORT_INTERVAL = 2.0  # seconds
CENSUS_INTERVAL = 3.0  # seconds
CENSUS_DUTY = "duty/census"  # the duty's register; the census itself is in census.CENSUS_KEY
DUTIES = (CENSUS_DUTY, CAMPAIGN_DUTY)


class NotOwnerError(Exception):
    """This controller may not act on the duty any more."""


class OwnedDuty:
    """What a duty's work is given: the token for its effects, and its progress."""

    def __init__(self, holder: Holder, gained: Gained, carry_out):
        """`carry_out` takes the holder's output."""
        self.holder, self.progress, self.carry_out = holder, gained.progress, carry_out
        self.saved = anyio.Event()

    def token(self) -> int:
        """Returns the fencing token for an effect that begins now. Raises NotOwnerError."""
        token = self.holder.fencing_token(anyio.current_time())
        if token is None:
            raise NotOwnerError
        return token

    async def record(self, progress: bytes) -> None:
        """Stores progress, and returns once the council has it.

        If the duty is lost first, the work is cancelled here.
        """
        self.saved = anyio.Event()
        self.progress = progress
        self.carry_out(self.holder.record(progress, anyio.current_time()))
        await self.saved.wait()


class DutyRunner:
    """Runs one duty's state machine at one controller, and the duty's work while it is owned."""

    def __init__(
        self,
        name: str,
        who: str,
        client: CouncilClient,
        timing: LeaseTiming,
        work: Callable[[OwnedDuty], Awaitable],
        log,
    ):
        """`name` is the duty's register; `who` is the controller's name and life, and seeds the jitter."""
        self.name, self.client, self.work, self.log = name, client, work, log
        self.holder = Holder(name, who, True, random.Random(who).random, anyio.current_time(), timing)
        self.changed = anyio.Event()
        self.owned: OwnedDuty | None = None
        self.scope: anyio.CancelScope | None = None

    async def run(self) -> None:
        """Calls the state machine when it is due. Runs until cancelled."""
        async with anyio.create_task_group() as self.tasks:
            while True:
                now = anyio.current_time()
                self.carry_out(self.holder.tick(now))
                self.changed = anyio.Event()
                with anyio.move_on_after(max(0.005, self.holder.next_tick(now) - anyio.current_time())):
                    await self.changed.wait()

    def carry_out(self, output: list) -> None:
        """Sends the state machine's requests, and handles its events."""
        for item in output:
            if type(item) is Request:
                self.tasks.start_soon(self.send, item)
            elif type(item) is Gained:
                self.log.info("duty gained", duty=self.name, token=item.token)
                self.owned = OwnedDuty(self.holder, item, self.carry_out)
                self.tasks.start_soon(self.run_work, self.owned)
            elif type(item) is Lost:
                self.log.warning("duty lost", duty=self.name, token=item.token, reason=item.reason)
                if self.scope is not None:
                    self.scope.cancel()
            elif type(item) is Saved and self.owned is not None:
                self.owned.saved.set()
        self.changed.set()

    def leave(self) -> None:
        """Stops the work, resigns the duty if it is owned, and does not compete for it any more."""
        self.holder.eligible = False
        if self.scope is not None:
            self.scope.cancel()  # no further effects after this
        if self.holder.state is HolderState.OWNING:
            self.carry_out(self.holder.resign(anyio.current_time()))

    async def send(self, request: Request) -> None:
        """Sends a request to the council, and passes the response to the state machine."""
        timeout = max(0.05, request.deadline - anyio.current_time())
        try:
            if request.change is None:
                reply = await self.client.read(request.key, timeout)
            else:
                reply = await self.client.change(request.key, request.change, timeout)
        except CouncilRequestError as error:
            self.log.error("council request refused", duty=self.name, reason=str(error))
            return
        self.carry_out(
            self.holder.handle_response(Response(request, reply.outcome, reply.value), anyio.current_time())
        )

    async def run_work(self, owned: OwnedDuty) -> None:
        """Runs the duty's work until the duty is lost or the work fails."""
        with anyio.CancelScope() as self.scope:
            try:
                await self.work(owned)
            except NotOwnerError:
                pass  # the state machine reports `Lost` at its next tick
            except Exception:
                # A failure of one duty's work must not end the controller, and the duty must continue: it
                # is resigned, because another controller may succeed.
                self.log.error("fault", where=self.name, trace=traceback.format_exc())
                self.carry_out(self.holder.resign(anyio.current_time()))


class DutyService:
    """Runs the reports and the duties of one controller."""

    def __init__(
        self,
        settings: CouncilSettings,
        name: str,
        life: int,
        token: str,
        net,
        status,
        log,
        campaign: CampaignSettings = CampaignSettings(),  # noqa: B008 - frozen, so one instance can be shared
        hosts: Callable[[], HostsNow] = HostsNow,
    ):
        """`status()` returns the controller's sums and current figures, for its reports; `hosts()` its hosts.

        `token` authenticates the controller to the council's members and to hosts.
        """
        self.settings, self.name, self.life, self.status, self.log = settings, name, life, status, log
        self.campaign, self.hosts = campaign, hosts
        self.token, self.net = token, net
        self.timing = LeaseTiming(
            lease=settings.lease,
            drift=settings.drift,
            margin=0.05 * settings.lease,
            renew_interval=settings.lease / 4,
            poll_interval=settings.lease / 6,
            response_timeout=settings.lease / 6,
        )
        self.jitter = random.Random(f"{name} {life}").random
        self.runners: list[DutyRunner] = []
        self.census: census.Census | None = None
        self.census_at = 0.0  # when it was received, by this machine's clock

    async def run(self) -> None:
        """Runs the reports and the duties until cancelled."""
        async with (
            CouncilClient(self.settings, self.name, self.token, self.net, self.jitter) as self.client,
            anyio.create_task_group() as tasks,
        ):
            who = owner_name(self.name, self.life)
            works = {CENSUS_DUTY: self.take_census}
            if self.campaign.tool is not None:
                campaign_duty = CampaignDuty(
                    self.campaign,
                    self.client,
                    OrderSender(self.settings, who, self.token, self.net),
                    self.timing.response_timeout,
                    self.hosts,
                    lambda: self.census,
                    self.log,
                )
                works[CAMPAIGN_DUTY] = campaign_duty.work
            self.runners = [
                DutyRunner(duty, who, self.client, self.timing, work, self.log)
                for duty, work in works.items()
            ]
            for runner in self.runners:
                tasks.start_soon(runner.run)
            tasks.start_soon(self.report)

    async def leave(self, timeout: float) -> None:
        """Resigns all duties, so that others need not wait for the leases to expire, and acquires no others.

        Returns when the council has confirmed it, at the latest after `timeout` seconds.
        """
        for runner in self.runners:
            runner.leave()
        with anyio.move_on_after(timeout):
            while any(runner.holder.state is not HolderState.WATCHING for runner in self.runners):
                await anyio.sleep(0.02)

    async def report(self) -> None:
        """Reports to one member at intervals; the reply holds the last census that this member has."""
        while True:
            await anyio.sleep(REPORT_INTERVAL * (0.75 + 0.5 * self.jitter()))
            sums, figures = self.status()
            report = census.Report(self.name, self.life, sums, figures)
            try:
                reply = await self.client.request(
                    pb.CouncilAsk(kind=pb.REPORT, body=census.encode(report)), REPORT_INTERVAL
                )
                if reply.outcome is Outcome.READ and reply.value.body:
                    self.receive_census(census.decode(reply.value.body, census.Census))
            except (CouncilRequestError, DutyError) as error:
                self.log.warning("report not sent", reason=str(error))

    def receive_census(self, received: census.Census) -> None:
        """Stores a census if it is newer: a member may lag, and an owner may have been late."""
        if self.census is None or (received.token, received.number) > (
            self.census.token,
            self.census.number,
        ):
            self.census, self.census_at = received, anyio.current_time()

    async def take_census(self, owned: OwnedDuty) -> None:
        """The work of the census duty: merges the members' reports at intervals, and writes the result."""
        number = 0
        while True:
            gathered = await self.gather_reports()
            number += 1
            merged = census.merge_reports(gathered, owned.token(), number)
            current = await self.client.read(census.CENSUS_KEY, self.timing.response_timeout)
            if current.outcome is Outcome.READ and self.is_older(current.value.body, merged):
                # A late owner fails by the version: a later owner's census was written since this read.
                await self.client.change(
                    census.CENSUS_KEY,
                    Change(
                        f"{self.name}/{self.life}/{owned.token()}/{number}",
                        current.value.version,
                        census.encode(merged),
                    ),
                    self.timing.response_timeout,
                )
            await anyio.sleep(CENSUS_INTERVAL)

    def is_older(self, body: bytes, merged: census.Census) -> bool:
        """Returns whether a stored census may be replaced: the fence that protects a later token's result."""
        if not body:
            return True
        stored = census.decode(body, census.Census)
        return (stored.token, stored.number) < (merged.token, merged.number)

    async def gather_reports(self) -> list[list[census.ReceivedReport]]:
        """Returns the reports that each member has.

        Controllers whose reports only an unreachable member has count as missing.
        """
        gathered = []

        async def gather_from(member):
            reply = await self.client.request_member(
                member, pb.CouncilAsk(kind=pb.REPORTS), self.timing.response_timeout
            )
            if reply is not None:
                gathered.append(census.decode(reply.body, list[census.ReceivedReport]))

        async with anyio.create_task_group() as tasks:
            for member in self.settings.members:
                tasks.start_soon(gather_from, member)
        return gathered
