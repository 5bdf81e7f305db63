"""One incarnation of a controller, from its start to its end: the engine's loop and the tasks around it."""

import itertools
import time
from dataclasses import dataclass, replace

import anyio
import anyio.to_thread

from linedeal.controller.client_listener import ClientListener
from linedeal.controller.hostlink import HostLink
from linedeal.controller.watch import DiscoveryWatch
from linedeal.engine import Engine, effects, events
from linedeal.interface import Mode
from linedeal.loop import EngineStepper, Inbox
from linedeal.net import Address, Net
from linedeal.policy import Controller
from linedeal.settings.records import Cluster
from linedeal.state import Store, StoreError, journal_clock
from linedeal.state.journal import FULL_AT, Journal, effects_to_persist

HOST_LIST_INTERVAL = 1.0  # minimum seconds between two writes of the host list
SPACE_CHECK_INTERVAL = 1.0  # seconds between two checks of the journal's size
STATUS_INTERVAL = 10.0  # seconds between two log lines with the status
DUTY_RELEASE_TIMEOUT = 1.0  # seconds to release duties at the council before the end
FLUSH_DELAY = 0.05  # seconds before the end for the last answers to be sent


class HaltedError(Exception):
    """This incarnation of the controller has to end. The message has the reason."""


@dataclass(frozen=True, slots=True)
class Setup:
    """What a controller is started with."""

    name: str
    cluster: Cluster
    listen: Address
    discovery: Address
    seed: int
    # address on which it listens as a member of the council; None: the address in the cluster file
    council_listen: Address | None = None
    council_token: str = ""  # key shown to the council's members


class Runtime:
    """Runs one controller: the engine, the links to clients, hosts and discovery, and the journal."""

    def __init__(self, setup: Setup, store: Store, net: Net, log, policy=Controller):
        """Begins a new incarnation in `store` and opens the journal. `policy` is the decision module's class.

        Raises StoreError.
        """
        self.setup, self.store, self.net = setup, store, net
        self.life = store.next_life()  # on disk before this incarnation sends anything
        settings = setup.cluster.journal
        self.journal = Journal(store, settings.power, settings.most, settings.spare)
        self.clock = journal_clock.resume(
            store.load_clock(),
            journal_clock.current_boot_id(),
            journal_clock.monotonic(),
            time.time(),
            self.journal.last_written(),
        )
        store.save_clock(self.clock.base)
        self.disk_lock = anyio.Lock()  # the database has one connection, with one transaction at a time
        self.log = log.bind(controller=setup.name, life=self.life)
        self.policy = policy
        self.links: dict[str, HostLink] = {}
        self.listed_hosts: dict[str, events.ListedHost] = {}
        self.host_list_changed = anyio.Event()
        self.shutting_down = anyio.Event()
        self.duty_service = None  # only in a cluster with a council

    async def run(self, *, task_status=anyio.TASK_STATUS_IGNORED) -> None:
        """Runs until `shut_down` is called; reports the address for clients to `task_status`.

        Raises HaltedError if this incarnation has to end, and StoreError if the journal cannot be read or
        written.
        """
        now = anyio.current_time()
        self.engine = Engine(
            self.setup.cluster, self.setup.name, self.life, self.setup.seed + self.life, now, self.policy
        )
        self.inbox = Inbox(self.engine.put)
        self.stepper = EngineStepper(self.engine, self.inbox, self.setup.cluster.limits.tick)
        self.client_listener = ClientListener(
            self.setup.name,
            self.net,
            self.setup.cluster,
            self.inbox,
            self.log,
            lambda client: bool(self.engine.clients.get(client)),
        )
        self.watch = DiscoveryWatch(
            self.setup.discovery,
            self.setup.name,
            self.life,
            self.net,
            self.setup.cluster.limits,
            self.inbox,
            self.log,
        )
        link_numbers = itertools.count(1)
        self.next_link_number = lambda: next(link_numbers)
        async with anyio.create_task_group() as self.tasks:
            self.load_host_list()
            self.recover()
            for effect in self.engine.begin():
                self.execute(effect)
            self.tasks.start_soon(self.watch.run)
            self.tasks.start_soon(self.save_host_list)
            self.tasks.start_soon(self.log_status)
            self.tasks.start_soon(self.monitor_journal)
            self.start_fleet_services()
            address = await self.tasks.start(self.client_listener.run, self.setup.listen)
            self.log.info("takes jobs", address=f"{address[0]}:{address[1]}")
            task_status.started(address)
            await self.run_engine()
            if self.duty_service is not None:
                await self.duty_service.leave(DUTY_RELEASE_TIMEOUT)
            self.tasks.cancel_scope.cancel()
        self.store.close()

    def start_fleet_services(self) -> None:
        """Starts the council member and the duty service, if the cluster file has a council.

        They run in isolated tasks: their failures do not affect the scheduling of jobs.
        """
        council = self.setup.cluster.council
        if not council.members:
            return
        # imported here, so that controllers without a council do not load it
        from linedeal.fleet.council_service import CouncilService
        from linedeal.fleet.duty_service import DutyService
        from linedeal.fleet.isolation import run_isolated

        if self.setup.name in council.places:
            address = self.setup.council_listen or council.places[self.setup.name]
            member = CouncilService(
                council,
                self.setup.name,
                self.store.path.parent,
                address,
                self.setup.council_token,
                self.net,
                self.log,
                hosts=self.hosts_now,
            )
            self.tasks.start_soon(run_isolated, "council", member.run, self.log)
        self.duty_service = DutyService(
            council,
            self.setup.name,
            self.life,
            self.setup.council_token,
            self.net,
            self.status,
            self.log,
            self.setup.cluster.campaign,
            self.hosts_now,
        )
        self.tasks.start_soon(run_isolated, "duties", self.duty_service.run, self.log)

    def hosts_now(self):
        """The hosts of the last host list and its age in seconds, for the fleet's duties."""
        from linedeal.duties.campaign import Mode as CampaignMode
        from linedeal.fleet.hosts import HostNow, HostsNow

        now = anyio.current_time()
        return HostsNow(
            {
                record.listed.id: HostNow(
                    record.listed.kind,
                    record.listed.zone,
                    record.listed.cell,
                    CampaignMode[CAMPAIGN_MODES[record.listed.mode]],
                    record.listed.boot,
                    now - record.booted,
                    next(iter(record.listed.addresses), ""),
                )
                for record in self.engine.fleet.hosts.values()
            },
            now - self.watch.received_at,
        )

    def status(self) -> tuple[dict[str, float], dict[str, float]]:
        """Counters since the start, and current values, for the log and the census."""
        return (
            {name: value for name, value in self.engine.counts.items() if value},
            {
                "held": len(self.engine.unanswered),
                "waiting": len(self.engine.module.waiting),
                "clients": len(self.client_listener.clients),
                "links": sum(link.up for link in self.links.values()),
                "hosts": len(self.links),
            },
        )

    def shut_down(self) -> None:
        """Stops accepting clients, and ends when all jobs are answered or after `limits.leave` seconds."""
        self.client_listener.closing = True
        self.shutting_down.set()
        self.inbox.arrived.set()

    def load_host_list(self) -> None:
        """Passes the last stored host list to the engine."""
        version, hosts = self.store.load_host_list(self.journal_time())
        if hosts:
            self.log.info("starts from the list kept last", hosts=len(hosts), version=version)
            self.engine.put(events.HostListReceived(hosts, True, version, remembered=True))

    def recover(self) -> None:
        """Passes the jobs of earlier incarnations from the journal to the engine. Raises StoreError."""
        max_wait = max(offering.expiry for offering in self.setup.cluster.settings.offerings.values())
        contents = self.journal.read(self.journal_time(), max_wait, self.clock.doubt)
        if self.clock.doubt:
            self.log.warning("the time of day was set back: windows of earlier lives count as over")
        if contents.open or contents.answers:
            self.log.info("journal read", owed=len(contents.open), answers=len(contents.answers))
        self.engine.recover(contents.open, contents.answers)

    async def persist(self, emitted: list) -> None:
        """Writes effects to the journal. Raises StoreError.

        If each commit is flushed, a thread waits for the disk. Otherwise a commit takes less time than
        handing it to a thread, which costs up to one interpreter switch interval each way.
        """
        if self.setup.cluster.journal.power:
            await self.on_disk(self.journal.write, self.journal_time(), self.life, emitted)
        else:
            async with self.disk_lock:
                self.journal.write(self.journal_time(), self.life, emitted)
        if self.journal.full:
            self.set_journal_full(True)

    async def monitor_journal(self) -> None:
        """Checks periodically whether the journal is full. Runs until cancelled."""
        while True:
            self.set_journal_full(await self.on_disk(self.journal.check_space))
            self.engine.journal_usage = self.journal.last_bytes_in_use, int(self.journal.max_bytes * FULL_AT)
            await anyio.sleep(SPACE_CHECK_INTERVAL)

    def set_journal_full(self, full: bool) -> None:
        """Notifies the engine whether the journal is full, and logs changes."""
        if full != self.engine.journal_full:
            self.engine.journal_full = full
            if full:
                self.log.error(
                    "journal is full: sessions' jobs are turned away",
                    used=self.journal.bytes_in_use(),
                    most=self.journal.max_bytes,
                )
            else:
                self.log.info("journal has room again", used=self.journal.bytes_in_use())

    async def run_engine(self) -> None:
        """Runs engine steps and executes their effects until the shutdown is complete."""
        ends_at = float("inf")
        while True:
            emitted = self.stepper.step()
            to_persist = effects_to_persist(emitted)
            # on disk before any effect is visible. All jobs of the step share one flush, and events that
            # arrive meanwhile are handled by the next step.
            if to_persist:
                await self.persist(to_persist)
            for effect in emitted:
                self.execute(effect)
            if self.shutting_down.is_set():
                ends_at = min(ends_at, anyio.current_time() + self.setup.cluster.limits.leave)
                if not self.engine.unanswered or anyio.current_time() >= ends_at:
                    await anyio.sleep(FLUSH_DELAY)
                    return
            await self.wait(min(self.engine.next_due(), ends_at))

    async def wait(self, until: float) -> None:
        """Waits for an event, at most until loop time `until`, and at least for the tick."""
        await self.stepper.wait(until)

    def execute(self, effect) -> None:
        """Executes one effect of the engine. Raises HaltedError."""
        kind = type(effect)
        if kind in LINK_EFFECTS:
            link = self.links.get(effect.host)
            if link is not None:
                LINK_EFFECTS[kind](link, effect)
            elif kind is effects.SendLaunch:
                self.inbox.put(events.LaunchesUnsent(effect.host, (effect.number,)))
        elif kind in CLIENT_EFFECTS:
            self.client_listener.send(effect.client, effect)
        elif kind is effects.AddHost:
            self.update_host(effect.host)
        elif kind is effects.RemoveHost:
            link = self.links.pop(effect.host, None)
            if link is not None:
                link.cancel()
        elif kind is effects.Watch:
            self.watch.request()
        elif kind is effects.LogMessage:
            getattr(self.log, effect.level)(effect.event, **dict(effect.fields))
        elif kind in JOURNAL_EFFECTS:
            pass  # already written by `persist`
        elif kind is effects.Halt:
            raise HaltedError(effect.reason)
        else:
            raise TypeError(f"unknown effect {effect!r}")

    # -- hosts

    def update_host(self, listed: events.ListedHost) -> None:
        """Creates or updates the link of a listed host."""
        link = self.links.get(listed.id)
        if listed.mode is Mode.GONE:
            if link is not None:
                link.update_host(listed)  # returns queued launches to the engine
            return
        if link is None:
            link = self.links[listed.id] = HostLink(
                listed,
                self.setup.name,
                self.life,
                self.net,
                self.setup.cluster.limits,
                self.inbox,
                self.next_link_number,
                self.log,
            )
            self.tasks.start_soon(link.run_until_cancelled)
        link.update_host(listed)
        previous = self.listed_hosts.get(listed.id)
        self.listed_hosts[listed.id] = listed
        if previous is None or replace(previous, age=0.0, free_cores=None, free_memory=None) != replace(
            listed, age=0.0, free_cores=None, free_memory=None
        ):
            self.host_list_changed.set()

    async def save_host_list(self) -> None:
        """Stores the host list when hosts are added, removed or changed. Runs until cancelled.

        Changes of free capacity alone are not stored.
        """
        while True:
            await self.host_list_changed.wait()
            self.host_list_changed = anyio.Event()
            hosts = tuple(
                host
                for host in self.listed_hosts.values()
                if host.id in self.links and host.mode is not Mode.GONE
            )
            try:
                await self.on_disk(self.store.save_host_list, self.journal_time(), self.watch.version, hosts)
            except StoreError as error:
                # the previous list stays in use; jobs do not depend on the disk
                self.log.error("list not kept", reason=str(error))
            await anyio.sleep(HOST_LIST_INTERVAL)

    # Runs on a mock clock override these two: threads and the machine's clock would make them irreproducible.

    async def on_disk(self, call, *args):
        """Calls a function that accesses the disk, in a thread and one at a time."""
        async with self.disk_lock:
            return await anyio.to_thread.run_sync(call, *args)

    def journal_time(self) -> float:
        """The current time of the journal's clock, in seconds."""
        return self.clock.at(journal_clock.monotonic())

    async def log_status(self) -> None:
        """Logs the status periodically. Runs until cancelled."""
        while True:
            await anyio.sleep(STATUS_INTERVAL)
            counters, current = self.status()
            self.log.info(
                "at work", **current, **{name.replace(" ", "_"): value for name, value in counters.items()}
            )


# the method of a link that executes an effect, by its class
LINK_EFFECTS = {
    effects.OpenLink: lambda link, effect: link.open(),
    effects.SendLaunch: HostLink.launch,
    effects.WithholdLaunch: lambda link, effect: link.withhold(effect.number),
    effects.SendStop: HostLink.stop,
    effects.SendEndSeen: HostLink.send_if_up,
    effects.SendProbe: HostLink.probe,
}
CAMPAIGN_MODES = {Mode.SERVING: "SERVES", Mode.DRAINING: "DRAINS", Mode.GONE: "GONE"}
JOURNAL_EFFECTS = (effects.RecordNotRun, effects.DeleteRecord, effects.RecordHold, effects.RecordProgress)
CLIENT_EFFECTS = (
    effects.AcceptJob,
    effects.DeclineJob,
    effects.Answer,
    effects.JobStatus,
    effects.StatusPageEnd,
    effects.Reply,
)
