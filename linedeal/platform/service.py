"""One life of a controller on the platform: starts, turns the engine, carries out its effects, obeys signals."""

import itertools
import signal
import time
from pathlib import Path
from random import Random

import anyio

from linedeal.engine import Engine
from linedeal.engine import effects
from linedeal.engine import events
from linedeal.interface import Mode
from linedeal.loop import Inbox, Lateness, EngineStepper, collect_garbage_when_idle
from linedeal.net import Net, read_what_came
from linedeal.platform import config
from linedeal.platform.bus import BadEvent, BusPoll, Feed
from linedeal.platform.descriptors import Descriptors
from linedeal.platform.hostlink import LIFE, HostLink
from linedeal.platform.ownerlink import Owners
from linedeal.platform.router import Route

COMING = 0.8  # seconds after SIGTERM for which set-ups still come
STANDING_MOST = 3.4  # seconds after SIGTERM for which ends of what stands are passed on
PASS_ON = 0.2  # seconds beyond the last expiry, and for the last answers to be read
ONE_HOST = 4  # connections to one host, where there are few
TELL_EVERY = 10.0  # seconds between two lines that sum up
NOTES_MOST = 20  # lines of one kind between two of those


class Service:
    def __init__(self, setup: config.Config, path: str, net: Net, log):
        self.setup, self.path, self.net, self.log = setup, path, net, log.bind(controller=setup.name)
        self.hosts: dict[str, HostLink] = {}
        self.leaving_at = float("inf")
        self.said: dict[str, int] = {}

    async def run(self, *, task_status=anyio.TASK_STATUS_IGNORED) -> None:
        setup = self.setup
        numbers = itertools.count(1)
        self.next_number = lambda: next(numbers)
        self.engine = Engine(
            setup.cluster, setup.name, LIFE, setup.seed, anyio.current_time(), hosts_send_inventory=False
        )
        self.inbox = Inbox(self.engine.put)
        self.stepper = EngineStepper(self.engine, self.inbox, setup.cluster.limits.tick)
        self.route = Route(setup.cluster.settings)
        self.descriptors = Descriptors(setup.sockets)
        self.lateness = Lateness()
        self.owners = Owners(
            self.route, self.net, self.inbox, self.descriptors, self.lateness, self.next_number, self.log
        )
        self.feed = Feed()
        self.bus = BusPoll(setup.bus, self.feed, self.net, self.inbox, Random(setup.seed + 2), self.log)
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as signals:
            async with anyio.create_task_group() as self.tasks:
                self.tasks.start_soon(self.obey, signals)
                for effect in self.engine.begin():
                    self.carry(effect)
                self.start_list()
                self.turn()
                self.tasks.start_soon(self.bus.run)
                self.tasks.start_soon(self.tell)
                self.tasks.start_soon(self.lateness.run)
                self.tasks.start_soon(collect_garbage_when_idle, self.lateness)
                address = await self.tasks.start(self.owners.run, setup.listen)
                self.log.info(
                    "takes jobs", address="%s:%d" % address, hosts=len(self.hosts), events=self.feed.number
                )
                task_status.started(address)
                await self.turn_until_left()
                self.tasks.cancel_scope.cancel()

    def start_list(self) -> None:
        try:
            for heard in self.feed.take(self.setup.known, time.time()):
                self.engine.put(heard)
        except BadEvent as error:
            self.log.warning("list at the start", reason=str(error))
            self.feed.number = 0

    async def obey(self, signals) -> None:
        async for number in signals:
            if number == signal.SIGHUP:
                self.reload()
            else:
                self.leaving_at = min(self.leaving_at, anyio.current_time())
                self.log.info("leaves", owed=len(self.engine.unanswered))
                self.inbox.arrived.set()

    def reload(self) -> None:
        try:
            fresh = config.read(self.path)
        except config.ConfigFault as error:
            self.log.error("configuration refused, the former stays", reason=str(error))
            return
        self.bus.move(fresh.bus)
        self.log.info("configuration read", bus="%s:%d" % fresh.bus)

    def turn(self) -> None:
        for effect in self.stepper.step():
            self.carry(effect)
        self.route.ready = self.engine.ready

    async def turn_until_left(self) -> None:
        longest = max(
            (offering.expiry for offering in self.setup.cluster.settings.offerings.values()), default=0.0
        )
        leave_most = max(STANDING_MOST, COMING + longest + PASS_ON)
        steps = COMING, STANDING_MOST, leave_most  # seconds after SIGTERM at which something changes
        while True:
            await self.owners.closed()  # before a turn that may be long
            now = anyio.current_time()
            # guards against jobs without end that keep it from ending: who comes later than any should is turned away
            self.engine.shutting_down = now >= self.leaving_at + COMING
            self.turn()
            since = now - self.leaving_at
            if since >= leave_most or since >= COMING and not self.owes(since):
                await self.owners.flush(PASS_ON)
                await read_what_came()
                if since >= leave_most or not self.brought():
                    self.log.info("ends", owed=len(self.engine.unanswered))
                    return
            due = self.engine.next_due()
            if self.leaving_at <= now:
                due = min(due, self.leaving_at + min(step for step in steps if step > since))
                if self.owners.unwritten():
                    due = min(due, now + PASS_ON)
            await self.stepper.wait(due)

    def brought(self) -> bool:
        """Whether something has come meanwhile that is owed an answer, or an answer is not written."""
        return (
            self.owners.unwritten()
            or self.owners.lines_wait()
            or self.owners.coming()
            or any(type(event) is events.Submitted for event in self.engine.arrived)
        )

    def owes(self, since: float) -> bool:
        """So long after SIGTERM. What is owed an answer is waited for: each job has its answer by its expiry, and one that
        ends with its connection would be lost. What stands goes on at its hosts; its ends are passed on for a while."""
        return bool(self.engine.unanswered) or bool(self.route.tasks) and since < STANDING_MOST

    def carry(self, effect) -> None:
        kind = type(effect)
        if kind in LINK_EFFECTS:
            link = self.hosts.get(effect.host)
            if link is not None:
                LINK_EFFECTS[kind](link, effect)
            elif kind is effects.SendLaunch:
                self.inbox.put(events.LaunchesUnsent(effect.host, (effect.number,)))
            elif kind is effects.SendStop:
                self.inbox.put(events.LaunchesCancelled(effect.host, (effect.launch.number,)))
        if kind in OWNER_EFFECTS:
            if kind is effects.Adopt or kind is effects.Answer and effect.verdict is effects.Verdict.PLACED:
                self.owners.serves(effect.client)
            told = OWNER_EFFECTS[kind](self.route, effect)
            if told is not None:
                self.owners.send(*told, lasting=kind is effects.NotifyEnded)
                if kind is effects.Answer and effect.verdict is effects.Verdict.PLACED and not told[1]:
                    # its owner has gone meanwhile, and the engine takes it for answered: nobody would end it there
                    self.inbox.put(events.StopRequested(effect.job))
        elif kind is effects.AddHost:
            self.know(effect.host)
        elif kind is effects.RemoveHost:
            link = self.hosts.pop(effect.host, None)
            if link is not None:
                link.cancel()
        elif kind is effects.LogMessage:
            self.note(effect)
        elif kind not in LINK_EFFECTS and kind not in NEEDLESS:
            raise TypeError(f"nothing carries out {effect!r}")

    def note(self, effect: effects.LogMessage) -> None:
        """Bounded in rate: a trouble that goes on is told by its count."""
        count = self.said[effect.event] = self.said.get(effect.event, 0) + 1
        if count <= NOTES_MOST:
            getattr(self.log, effect.level)(effect.event, **dict(effect.fields))

    def know(self, listed: events.ListedHost) -> None:
        link = self.hosts.get(listed.id)
        if link is None:
            if listed.mode is Mode.GONE:
                return
            setup = self.setup
            link = self.hosts[listed.id] = HostLink(
                listed,
                self.net,
                setup.cluster.limits,
                setup.idle,
                setup.report_names,
                self.connections,
                self.descriptors,
                self.route.waits,
                self.inbox,
                self.next_number,
                self.log,
            )
            self.tasks.start_soon(link.run)
        link.relist(listed)

    def connections(self) -> int:
        """To one host, now."""
        return self.descriptors.to_one_host(len(self.hosts), ONE_HOST)

    async def tell(self) -> None:
        while True:
            await anyio.sleep(TELL_EVERY)
            self.said.clear()
            counts = {
                name.replace(" ", "_"): value
                for name, value in (self.engine.counts | self.owners.counts).items()
                if value
            }
            self.log.info(
                "at work",
                held=len(self.engine.unanswered),
                waiting=len(self.engine.module.waiting),
                standing=len(self.route.tasks) - len(self.engine.unanswered),
                owners=len(self.owners.links),
                links=sum(len(link.connections) for link in self.hosts.values()),
                hosts=len(self.hosts),
                known_launches=len(self.engine.launches),
                kb=resident(),
                **counts,
            )


def resident() -> int:
    """Memory in use, in KB; 0 where the system does not tell."""
    try:
        return int(Path("/proc/self/statm").read_text().split()[1]) * 4
    except (OSError, ValueError, IndexError):
        return 0


LINK_EFFECTS = {
    effects.SendLaunch: HostLink.launch,
    effects.SendProbe: HostLink.probe,
    effects.SendStop: HostLink.stop,
    effects.WithholdLaunch: lambda link, effect: link.keep_back(effect.number),
    effects.Adopt: HostLink.adopt,
    effects.NotifyEnded: HostLink.forget,
}
OWNER_EFFECTS = {
    effects.AcceptJob: Route.taken,
    effects.Adopt: Route.taken,
    effects.DeclineJob: Route.turned_away,
    effects.Answer: Route.answer,
    effects.NotifyEnded: Route.over,
}
NEEDLESS = (
    effects.Watch,
    effects.SendEndSeen,
)  # the bus is read all the time, and hosts wait for no word of an end
