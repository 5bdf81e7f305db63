"""A controller's part in the fleet's duties: it reports, takes the duties it may take, and does their work while it
owns them. Jobs know nothing of it.

A duty's work is a coroutine `work(owned)` that is cancelled as soon as the duty is lost; each effect asks
`owned.token()` first, which raises once the lease has run out by this machine's clock.
"""

import random
import traceback
from typing import Awaitable, Callable

import anyio

from linedeal.council.records import Response, Request, Change, Outcome
from linedeal.duties import census
from linedeal.duties.duty import DutyError
from linedeal.duties.holder import Gained, Holder, LeaseTiming, Lost, Saved, HolderState
from linedeal.fleet.council_client import CouncilClient, CouncilRequestError
from linedeal.fleet.hosts import HostsNow
from linedeal.fleet.orders import Orderer
from linedeal.fleet.campaign_duty import CAMPAIGN_DUTY, CampaignDuty
from linedeal.protocol import pb
from linedeal.settings.records import CampaignSettings, CouncilSettings

REPORT_EVERY = 2.0  # seconds
CENSUS_EVERY = 3.0
CENSUS_DUTY = "duty/census"  # the register of the duty; its result is in another
DUTIES = (CENSUS_DUTY, CAMPAIGN_DUTY)


class NotOwned(Exception):
    """The duty is not ours to act on any more."""


class Owned:
    """What a duty's work has in hand."""

    def __init__(self, holder: Holder, gained: Gained, put):
        self.holder, self.progress, self.put = holder, gained.progress, put
        self.saved = anyio.Event()

    def token(self) -> int:
        """For an effect begun now. Raises NotOwned."""
        token = self.holder.fencing_token(anyio.current_time())
        if token is None:
            raise NotOwned
        return token

    async def record(self, progress: bytes) -> None:
        """Returns when the council has it; a lost duty cancels the work before."""
        self.saved = anyio.Event()
        self.progress = progress
        self.put(self.holder.record(progress, anyio.current_time()))
        await self.saved.wait()


class Desk:
    """One duty at one controller."""

    def __init__(
        self,
        name: str,
        who: str,
        asker: CouncilClient,
        timing: LeaseTiming,
        work: Callable[[Owned], Awaitable],
        log,
    ):
        self.name, self.asker, self.work, self.log = name, asker, work, log
        self.holder = Holder(name, who, True, random.Random(who).random, anyio.current_time(), timing)
        self.turned = anyio.Event()
        self.owned: Owned | None = None
        self.scope: anyio.CancelScope | None = None

    async def run(self) -> None:
        async with anyio.create_task_group() as self.tasks:
            while True:
                now = anyio.current_time()
                self.carry_out(self.holder.tick(now))
                self.turned = anyio.Event()
                with anyio.move_on_after(max(0.005, self.holder.next_tick(now) - anyio.current_time())):
                    await self.turned.wait()

    def carry_out(self, out: list) -> None:
        for one in out:
            if type(one) is Request:
                self.tasks.start_soon(self.ask, one)
            elif type(one) is Gained:
                self.log.info("duty gained", duty=self.name, token=one.token)
                self.owned = Owned(self.holder, one, self.carry_out)
                self.tasks.start_soon(self.do, self.owned)
            elif type(one) is Lost:
                self.log.warning("duty lost", duty=self.name, token=one.token, reason=one.reason)
                if self.scope is not None:
                    self.scope.cancel()
            elif type(one) is Saved and self.owned is not None:
                self.owned.saved.set()
        self.turned.set()

    def leave(self) -> None:
        self.holder.eligible = False
        if self.scope is not None:
            self.scope.cancel()  # nothing of it is ordered any more
        if self.holder.state is HolderState.OWNING:
            self.carry_out(self.holder.resign(anyio.current_time()))

    async def ask(self, ask: Request) -> None:
        within = max(0.05, ask.deadline - anyio.current_time())
        try:
            if ask.change is None:
                told = await self.asker.read(ask.key, within)
            else:
                told = await self.asker.change(ask.key, ask.change, within)
        except CouncilRequestError as fault:
            self.log.error("council refuses", duty=self.name, reason=str(fault))
            return
        self.carry_out(
            self.holder.handle_response(Response(ask, told.outcome, told.value), anyio.current_time())
        )

    async def do(self, owned: Owned) -> None:
        with anyio.CancelScope() as self.scope:
            try:
                await self.work(owned)
            except NotOwned:
                pass  # `Lost` says it, at the holder's next turn
            except Exception:
                # a fault of one duty's work ends neither the controller nor the duty: another may do better
                self.log.error("fault", where=self.name, trace=traceback.format_exc())
                self.carry_out(self.holder.resign(anyio.current_time()))


class DutyService:
    """`sees()` gives the sums and figures of this controller, for its report; `hosts()` its list."""

    def __init__(
        self,
        settings: CouncilSettings,
        name: str,
        life: int,
        token: str,
        net,
        sees,
        log,
        campaign: CampaignSettings = CampaignSettings(),
        hosts: Callable[[], HostsNow] = HostsNow,
    ):
        self.settings, self.name, self.life, self.sees, self.log = settings, name, life, sees, log
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
        self.spread = random.Random(f"{name} {life}").random
        self.desks: list[Desk] = []
        self.census: census.Census | None = None
        self.census_at = 0.0  # when it was heard, this machine's clock

    async def run(self) -> None:
        async with (
            CouncilClient(self.settings, self.name, self.token, self.net, self.spread) as self.asker,
            anyio.create_task_group() as tasks,
        ):
            who = f"{self.name}/{self.life}"
            works = {CENSUS_DUTY: self.take_census}
            if self.campaign.tool is not None:
                release = CampaignDuty(
                    self.campaign,
                    self.asker,
                    Orderer(self.settings, who, self.token, self.net),
                    self.timing.response_timeout,
                    self.hosts,
                    lambda: self.census,
                    self.log,
                )
                works[CAMPAIGN_DUTY] = release.work
            self.desks = [
                Desk(duty, who, self.asker, self.timing, work, self.log) for duty, work in works.items()
            ]
            for desk in self.desks:
                tasks.start_soon(desk.run)
            tasks.start_soon(self.report)

    async def leave(self, within: float) -> None:
        """Gives up what it owns, so that another need not wait for the lease to end; takes nothing any more."""
        for desk in self.desks:
            desk.leave()
        with anyio.move_on_after(within):
            while any(desk.holder.state is not HolderState.WATCHING for desk in self.desks):
                await anyio.sleep(0.02)

    async def report(self) -> None:
        """To one member; its answer has the last census that it knows."""
        while True:
            await anyio.sleep(REPORT_EVERY * (0.75 + 0.5 * self.spread()))
            sums, stands = self.sees()
            report = census.Report(self.name, self.life, sums, stands)
            try:
                told = await self.asker.ask(
                    pb.CouncilAsk(kind=pb.REPORT, body=census.encode(report)), REPORT_EVERY
                )
                if told.outcome is Outcome.READ and told.value.body:
                    self.heard(census.decode(told.value.body, census.Census))
            except (CouncilRequestError, DutyError) as fault:
                self.log.warning("not reported", reason=str(fault))

    def heard(self, fresh: census.Census) -> None:
        """A member that lags, or an owner that was late, tells nothing new."""
        if self.census is None or (fresh.token, fresh.number) > (self.census.token, self.census.number):
            self.census, self.census_at = fresh, anyio.current_time()

    async def take_census(self, owned: Owned) -> None:
        number = 0
        while True:
            gathered = await self.gather()
            number += 1
            made = census.merge_reports(gathered, owned.token(), number)
            at = await self.asker.read(census.CENSUS_KEY, self.timing.response_timeout)
            if at.outcome is Outcome.READ and self.older(at.value.body, made):
                # the version makes an owner fail that was late: a later one's census was written since this read
                await self.asker.change(
                    census.CENSUS_KEY,
                    Change(
                        f"{self.name}/{self.life}/{owned.token()}/{number}",
                        at.value.version,
                        census.encode(made),
                    ),
                    self.timing.response_timeout,
                )
            await anyio.sleep(CENSUS_EVERY)

    def older(self, body: bytes, made: census.Census) -> bool:
        """The fence of the result: nothing is written over a later token's."""
        if not body:
            return True
        known = census.decode(body, census.Census)
        return (known.token, known.number) < (made.token, made.number)

    async def gather(self) -> list[list[census.ReceivedReport]]:
        """What each member has; one that does not answer leaves its controllers to be missed."""
        gathered = []

        async def one(member):
            told = await self.asker.ask_member(
                member, pb.CouncilAsk(kind=pb.REPORTS), self.timing.response_timeout
            )
            if told is not None:
                gathered.append(census.decode(told.body, list[census.ReceivedReport]))

        async with anyio.create_task_group() as tasks:
            for member in self.settings.members:
                tasks.start_soon(one, member)
        return gathered
