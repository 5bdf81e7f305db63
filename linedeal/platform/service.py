"""One run of a controller on the platform: steps the engine, carries out its effects, handles signals."""

import itertools
import signal
from pathlib import Path
from random import Random

import anyio

from linedeal.engine import Engine, effects, events
from linedeal.interface import Mode
from linedeal.loop import EngineStepper, Inbox, Lateness, collect_garbage_when_idle
from linedeal.net import Net, let_readers_run
from linedeal.platform import config
from linedeal.platform.bus import BusPoller, BusProtocolError, Feed
from linedeal.platform.descriptors import DescriptorBudget
from linedeal.platform.end_delivery import EndDeliveries
from linedeal.platform.host_launches import INCARNATION
from linedeal.platform.hostlink import HostLink
from linedeal.platform.lingering import LingeringConnections
from linedeal.platform.log import LimitedLog
from linedeal.platform.ownerlink import OwnerServer
from linedeal.platform.reachability import CheckPacer
from linedeal.platform.recipients import Recipients
from linedeal.platform.request_budget import RequestBudget
from linedeal.platform.router import Router
from linedeal.platform.unix_clock import UnixClock
from linedeal.platform.withdrawn import WithdrawnTasks

# Seconds for which jobs are still accepted: they expire before the earliest SIGKILL.
ACCEPT_AFTER_SIGTERM = 0.65
MAX_RUNNING_AFTER_SIGTERM = 3.4  # seconds for which the ends of running jobs are still passed on
FLUSH_TIMEOUT = 0.2  # seconds beyond the last expiry, and for the last answers to be written
MAX_LAST_STEPS = 50  # in which the last input is answered before its writes are waited for again
MAX_CONNECTIONS_PER_HOST = 4
SUMMARY_INTERVAL = 10.0  # seconds between two "at work" lines
MAX_LINES_PER_EVENT = 20  # log lines with the same event between two "at work" lines


class Service:
    """Connects the engine with owners, hosts and the bus."""

    def __init__(self, setup: config.Config, path: str, net: Net, log):
        """`path`: the configuration file, which is read again on SIGHUP."""
        self.setup, self.path, self.net, self.log = setup, path, net, log.bind(controller=setup.name)
        self.hosts: dict[str, HostLink] = {}
        self.shutdown_at = float("inf")  # loop time of the first SIGTERM
        self.limited_log = LimitedLog(self.log, MAX_LINES_PER_EVENT)
        self.unix_clock = UnixClock()

    async def run(self, *, task_status=anyio.TASK_STATUS_IGNORED) -> None:
        """Runs until shut down by SIGTERM or SIGINT; reports the address that it listens on."""
        setup = self.setup
        numbers = itertools.count(1)
        self.next_number = lambda: next(numbers)
        self.engine = Engine(
            setup.cluster,
            setup.name,
            INCARNATION,
            setup.seed,
            anyio.current_time(),
            hosts_send_inventory=False,
        )
        self.inbox = Inbox(self.engine.put)
        self.stepper = EngineStepper(self.engine, self.inbox, setup.cluster.limits.tick)
        recipients = Recipients(anyio.current_time)
        budget = RequestBudget(setup.memory_bytes)
        withdrawn = WithdrawnTasks(anyio.current_time)
        self.ends = EndDeliveries(recipients, anyio.current_time)
        self.router = Router(setup.cluster.settings, self.ends, budget, withdrawn)
        self.descriptors = DescriptorBudget(setup.sockets)
        self.check_pacer = CheckPacer()
        self.lingering = LingeringConnections(self.descriptors.budget)
        self.lateness = Lateness()
        self.owners = OwnerServer(
            self.router,
            recipients,
            self.ends,
            budget,
            self.net,
            self.inbox,
            self.descriptors,
            self.lateness,
            self.next_number,
            self.log,
            self.limited_log,
        )
        self.feed = Feed()
        self.bus = BusPoller(
            setup.bus, self.feed, self.net, self.inbox, Random(setup.seed + 2), self.log, self.unix_clock
        )
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as signals:
            async with anyio.create_task_group() as self.tasks:
                self.tasks.start_soon(self.handle_signals, signals)
                for effect in self.engine.begin():
                    self.carry_out(effect)
                self.load_known_hosts()
                self.step()
                self.tasks.start_soon(self.bus.run)
                self.tasks.start_soon(self.log_summaries)
                self.tasks.start_soon(self.lateness.run)
                self.tasks.start_soon(collect_garbage_when_idle, self.lateness)
                address = await self.tasks.start(self.owners.run, setup.listen)
                self.log.info(
                    "takes jobs",
                    address=f"{address[0]}:{address[1]}",
                    hosts=len(self.hosts),
                    events=self.feed.offset,
                )
                task_status.started(address)
                await self.run_steps()
                self.tasks.cancel_scope.cancel()

    def load_known_hosts(self) -> None:
        """Passes the engine the hosts of the configuration file, so that it can start without the bus."""
        try:
            for event in self.feed.accept(self.setup.known, self.unix_clock()):
                self.engine.put(event)
        except BusProtocolError as error:
            self.log.warning("known hosts rejected", reason=str(error))
            self.feed.offset = 0

    async def handle_signals(self, signals) -> None:
        """Reloads on SIGHUP; begins the shutdown on any other signal."""
        async for number in signals:
            if number == signal.SIGHUP:
                self.reload()
            else:
                self.shutdown_at = min(self.shutdown_at, anyio.current_time())
                self.log.info("shutting down", owed=len(self.engine.unanswered))
                self.inbox.arrived.set()

    def reload(self) -> None:
        """Reads the configuration again; only the address of the bus takes effect."""
        try:
            fresh = config.read(self.path)
        except config.ConfigError as error:
            self.log.error("configuration refused, the former stays", reason=str(error))
            return
        self.bus.change_address(fresh.bus)
        self.log.info("configuration read", bus=f"{fresh.bus[0]}:{fresh.bus[1]}")

    def step(self) -> None:
        """Runs one engine step and carries out its effects."""
        for effect in self.stepper.step():
            self.carry_out(effect)
        self.owners.send_owed_ends()
        self.router.ready = self.engine.ready

    async def run_steps(self) -> None:
        """Steps the engine until the shutdown is complete."""
        longest_expiry = max(
            (offering.expiry for offering in self.setup.cluster.settings.offerings.values()), default=0.0
        )
        deadline = max(MAX_RUNNING_AFTER_SIGTERM, ACCEPT_AFTER_SIGTERM + longest_expiry + FLUSH_TIMEOUT)
        # Seconds after SIGTERM at which something changes.
        steps = ACCEPT_AFTER_SIGTERM, MAX_RUNNING_AFTER_SIGTERM, deadline
        while True:
            await self.owners.wait_until_closed()  # before a step that may be long
            now = anyio.current_time()
            # Jobs that arrive later are refused: a stream of them could keep the service from ending.
            self.engine.shutting_down = now >= self.shutdown_at + ACCEPT_AFTER_SIGTERM
            self.step()
            since = now - self.shutdown_at
            if since >= deadline or since >= ACCEPT_AFTER_SIGTERM and not self.is_needed(since):
                await self.owners.flush(FLUSH_TIMEOUT)
                if await self.answer_last_input() or since >= deadline:
                    self.log.info("ends", owed=len(self.engine.unanswered))
                    return
            due = self.engine.next_due()
            if self.shutdown_at <= now:
                due = min(due, self.shutdown_at + min(step for step in steps if step > since))
                if self.owners.has_unwritten() or self.ends.has_untold():
                    due = min(due, now + FLUSH_TIMEOUT)
            await self.stepper.wait(due)

    async def answer_last_input(self) -> bool:
        """Answers what has arrived during the last writes; whether nothing is left to be answered.

        Without a pause: owners may send on and on, and the end has to come between two of their messages.
        """
        for _ in range(MAX_LAST_STEPS):
            await let_readers_run()
            if not self.has_new_input():
                return True
            self.step()
        return False

    def has_new_input(self) -> bool:
        """Whether something has arrived that needs an answer, or an answer is not written yet."""
        return (
            self.owners.has_unwritten()
            or self.owners.has_unhandled_lines()
            or self.owners.has_unserved()
            or any(type(event) is events.Submitted for event in self.engine.arrived)
        )

    def is_needed(self, since: float) -> bool:
        """Whether the service has to keep running, `since` seconds after SIGTERM.

        It waits for every unanswered job, which has its answer by its expiry and would be lost with its
        connection. Running jobs continue at their hosts; their ends are passed on for a limited time.
        """
        if self.engine.unanswered:
            return True
        return since < MAX_RUNNING_AFTER_SIGTERM and bool(self.router.tasks or self.ends.has_untold())

    def carry_out(self, effect) -> None:
        """Carries out one effect of the engine. Raises TypeError for one that has no handler."""
        kind = type(effect)
        if kind in LINK_HANDLERS:
            link = self.hosts.get(effect.host)
            if link is not None:
                LINK_HANDLERS[kind](link, effect)
            elif kind is effects.SendLaunch:
                self.inbox.put(events.LaunchesUnsent(effect.host, (effect.number,)))
            elif kind is effects.SendStop:
                self.inbox.put(events.LaunchesCancelled(effect.host, (effect.launch.number,)))
        if kind in OWNER_HANDLERS:
            message = OWNER_HANDLERS[kind](self.router, effect)
            if message is not None:
                self.owners.send(*message)
                if kind is effects.Answer and effect.verdict is effects.Verdict.PLACED and not message[1]:
                    # The owner has disconnected, but the engine counts the job as answered; end it.
                    self.inbox.put(events.StopRequested(effect.job))
            if kind is effects.Adopt and self.router.is_ended_by_owner(effect.key):
                # The end came with the hand-over, when the engine knew no job yet.
                self.inbox.put(events.StopRequested(effect.job))
        elif kind is effects.NotifyEnded:
            delivery = self.router.on_ended(effect)
            if delivery is not None:
                self.owners.send_end(delivery)
        elif kind is effects.AddHost:
            self.update_host(effect.host)
        elif kind is effects.RemoveHost:
            link = self.hosts.pop(effect.host, None)
            if link is not None:
                link.cancel()
        elif kind is effects.LogMessage:
            self.log_message(effect)
        elif kind not in LINK_HANDLERS and kind not in IGNORED_EFFECTS:
            raise TypeError(f"no handler for {effect!r}")

    def log_message(self, effect: effects.LogMessage) -> None:
        """Logs a message of the engine, with a limit for each event; later ones show only in the counts."""
        self.limited_log.write(effect.level, effect.event, **dict(effect.fields))

    def update_host(self, listed: events.ListedHost) -> None:
        """Passes on a host's new listing; starts a link to a host that is new."""
        link = self.hosts.get(listed.id)
        if link is None:
            if listed.mode is Mode.GONE:
                return
            setup = self.setup
            link = self.hosts[listed.id] = HostLink(
                listed,
                self.net,
                setup.cluster.limits,
                setup.idle_timeout,
                setup.report_names,
                self.connections_per_host,
                self.descriptors,
                self.check_pacer,
                self.lingering,
                self.router.is_awaited,
                self.inbox,
                self.next_number,
                self.log,
            )
            self.tasks.start_soon(link.run)
        link.update_host(listed)

    def connections_per_host(self) -> int:
        """The connections that each host may have, by the number of hosts."""
        return self.descriptors.connections_per_host(len(self.hosts), MAX_CONNECTIONS_PER_HOST)

    async def log_summaries(self) -> None:
        """Logs what is counted, in lines that stay short, and resets the limit of log lines."""
        while True:
            await anyio.sleep(SUMMARY_INTERVAL)
            left_out = self.limited_log.reset()
            self.log.info("ends told", **self.ends.details())
            closes = {reason.name.lower(): count for reason, count in self.owners.closes.items()}
            self.log.info("connections closed", lines_left_out=left_out, **closes)
            counts = {
                name.replace(" ", "_"): value
                for name, value in (self.engine.counts | self.owners.summary() | self.ends.summary()).items()
                if value
            }
            self.log.info(
                "at work",
                held=len(self.engine.unanswered),
                waiting=len(self.engine.module.waiting),
                standing=len(self.router.tasks) - len(self.engine.unanswered),
                owners=len(self.owners.links),
                links=sum(len(link.connections) for link in self.hosts.values()),
                hosts=len(self.hosts),
                known_launches=len(self.engine.launches),
                kb=resident_kb(),
                **counts,
            )


def resident_kb() -> int:
    """The process's resident memory in KB, from pages of 4 KB; 0 where /proc does not have it."""
    try:
        return int(Path("/proc/self/statm").read_text().split()[1]) * 4
    except (OSError, ValueError, IndexError):
        return 0


LINK_HANDLERS = {
    effects.SendLaunch: HostLink.launch,
    effects.SendProbe: HostLink.probe,
    effects.SendStop: HostLink.stop,
    effects.WithholdLaunch: lambda link, effect: link.withhold(effect.number),
    effects.Adopt: HostLink.adopt,
    effects.NotifyEnded: HostLink.forget,
}
OWNER_HANDLERS = {
    effects.AcceptJob: Router.on_accepted,
    effects.Adopt: Router.on_adopted,
    effects.DeclineJob: Router.on_declined,
    effects.Answer: Router.on_answer,
}
# The bus is always read, and hosts expect no acknowledgement of an end.
IGNORED_EFFECTS = (effects.Watch, effects.SendEndSeen)
