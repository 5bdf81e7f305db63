"""One life of a controller: the loop that turns the engine and carries out its effects, and the tasks around it."""

import itertools
import time
from dataclasses import dataclass, replace

import anyio
import anyio.to_thread

from linedeal.controller.client_listener import ClientListener
from linedeal.controller.hostlink import HostLink
from linedeal.controller.watch import DiscoveryWatch
from linedeal.engine import Engine
from linedeal.engine import effects
from linedeal.engine import events
from linedeal.interface import Mode
from linedeal.loop import Inbox, EngineStepper
from linedeal.net import Address, Net
from linedeal.policy import Controller
from linedeal.settings.records import Cluster
from linedeal.state import Store, StoreError, journal_clock
from linedeal.state.journal import FULL_AT, Journal, effects_to_persist

KEEP_EVERY = 1.0  # seconds between two writes of the list
ROOM_EVERY = 1.0  # seconds between two looks at the journal's room
TELL_EVERY = 10.0  # seconds between two lines that sum up
LEAVE_DUTIES = 1.0  # seconds for the council to hear, at the end, that duties are given up


class HaltedError(Exception):
    """This life has to end; its text says why."""


@dataclass(frozen=True, slots=True)
class Setup:
    name: str
    cluster: Cluster
    listen: Address
    discovery: Address
    seed: int
    council_seat: Address | None = (
        None  # where it listens as a member of the council; None: at the file's address
    )
    council_token: str = ""  # shown to the council's members


class Runtime:
    def __init__(self, setup: Setup, store: Store, net: Net, log, policy=Controller):
        self.setup, self.store, self.net = setup, store, net
        self.life = store.next_life()  # on disk before anything of this life can be sent
        kept = setup.cluster.journal
        self.journal = Journal(store, kept.power, kept.most, kept.spare)
        self.clock = journal_clock.resume(
            store.load_clock(),
            journal_clock.current_boot_id(),
            journal_clock.monotonic(),
            time.time(),
            self.journal.last_written(),
        )
        store.save_clock(self.clock.base)
        self.disk = anyio.Lock()  # one connection: one transaction at a time
        self.log = log.bind(controller=setup.name, life=self.life)
        self.policy = policy
        self.links: dict[str, HostLink] = {}
        self.kept: dict[str, events.ListedHost] = {}
        self.dirty = anyio.Event()
        self.leaving = anyio.Event()
        self.office = None  # its part in the fleet's duties, where there is a council

    async def run(self, *, task_status=anyio.TASK_STATUS_IGNORED) -> None:
        """Runs until `shut_down` is called or the life has to end (HaltedError). Tells the address that clients may use."""
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
        numbers = itertools.count(1)
        self.next_link = lambda: next(numbers)
        async with anyio.create_task_group() as self.tasks:
            self.remember()
            self.recover()
            for effect in self.engine.begin():
                self.carry(effect)
            self.tasks.start_soon(self.watch.run)
            self.tasks.start_soon(self.keep_list)
            self.tasks.start_soon(self.tell)
            self.tasks.start_soon(self.watch_room)
            self.begin_fleet()
            address = await self.tasks.start(self.client_listener.run, self.setup.listen)
            self.log.info("takes jobs", address=f"{address[0]}:{address[1]}")
            task_status.started(address)
            await self.turn_until_left()
            if self.office is not None:
                await self.office.leave(LEAVE_DUTIES)
            self.tasks.cancel_scope.cancel()
        self.store.close()

    def begin_fleet(self) -> None:
        """The controller's part in work on behalf of the fleet, where the cluster file has a council. Tasks of their
        own with faults of their own: a job's way knows nothing of them."""
        council = self.setup.cluster.council
        if not council.members:
            return
        # only now: what runs without a council loads none of it
        from linedeal.fleet.apart import run_apart
        from linedeal.fleet.office import Office
        from linedeal.fleet.service import Council

        if self.setup.name in council.places:
            seat = self.setup.council_seat or council.places[self.setup.name]
            member = Council(
                council,
                self.setup.name,
                self.store.path.parent,
                seat,
                self.setup.council_token,
                self.net,
                self.log,
                hosts=self.hosts_now,
            )
            self.tasks.start_soon(run_apart, "council", member.run, self.log)
        self.office = Office(
            council,
            self.setup.name,
            self.life,
            self.setup.council_token,
            self.net,
            self.sees,
            self.log,
            self.setup.cluster.campaign,
            self.hosts_now,
        )
        self.tasks.start_soon(run_apart, "duties", self.office.run, self.log)

    def hosts_now(self):
        """For the fleet's duties: the hosts by the list, and how old that is."""
        from linedeal.duties.campaign import Mode as Stands
        from linedeal.fleet.hosts import HostNow, HostsNow

        now = anyio.current_time()
        return HostsNow(
            {
                record.listed.id: HostNow(
                    record.listed.kind,
                    record.listed.zone,
                    record.listed.cell,
                    Stands[MODES[record.listed.mode]],
                    record.listed.boot,
                    now - record.booted,
                    next(iter(record.listed.addresses), ""),
                )
                for record in self.engine.fleet.hosts.values()
            },
            now - self.watch.heard_at,
        )

    def sees(self) -> tuple[dict[str, float], dict[str, float]]:
        """Sums since its start, and how it stands now, for the log and the census."""
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
        """Take nothing new, answer what is held, and end; at the latest after `limits.leave` seconds."""
        self.client_listener.closing = True
        self.leaving.set()
        self.inbox.arrived.set()

    def remember(self) -> None:
        version, hosts = self.store.load_host_list(self.journal_time())
        if hosts:
            self.log.info("starts from the list kept last", hosts=len(hosts), version=version)
            self.engine.put(events.HostListReceived(hosts, True, version, remembered=True))

    def recover(self) -> None:
        longest = max(offering.expiry for offering in self.setup.cluster.settings.offerings.values())
        found = self.journal.read(self.journal_time(), longest, self.clock.doubt)
        if self.clock.doubt:
            self.log.warning("the time of day was set back: no window of an earlier life is believed")
        if found.open or found.answers:
            self.log.info("journal read", owed=len(found.open), answers=len(found.answers))
        self.engine.recover(found.open, found.answers)

    async def persist(self, emitted: list) -> None:
        """Where each commit is flushed a thread waits for the disk. Without, a commit takes less than a thread's hop,
        which costs up to one switch of the interpreter each way."""
        if self.setup.cluster.journal.power:
            await self.on_disk(self.journal.write, self.journal_time(), self.life, emitted)
        else:
            async with self.disk:
                self.journal.write(self.journal_time(), self.life, emitted)
        if self.journal.full:
            self.mind_room(True)

    async def watch_room(self) -> None:
        while True:
            self.mind_room(await self.on_disk(self.journal.look))
            self.engine.journal_usage = self.journal.in_use, int(self.journal.max_bytes * FULL_AT)
            await anyio.sleep(ROOM_EVERY)

    def mind_room(self, full: bool) -> None:
        if full != self.engine.journal_full:
            self.engine.journal_full = full
            if full:
                self.log.error(
                    "journal is full: sessions' jobs are turned away",
                    used=self.journal.used(),
                    most=self.journal.max_bytes,
                )
            else:
                self.log.info("journal has room again", used=self.journal.used())

    async def turn_until_left(self) -> None:
        ends = float("inf")
        while True:
            emitted = self.stepper.step()
            keep = effects_to_persist(emitted)
            if keep:  # on disk before any of it shows: the turn's jobs share the flush, the next turn gathers meanwhile
                await self.persist(keep)
            for effect in emitted:
                self.carry(effect)
            if self.leaving.is_set():
                ends = min(ends, anyio.current_time() + self.setup.cluster.limits.leave)
                if not self.engine.unanswered or anyio.current_time() >= ends:
                    await anyio.sleep(0.05)  # the last answers are on their way to the clients
                    return
            await self.wait(min(self.engine.next_due(), ends))

    async def wait(self, until: float) -> None:
        await self.stepper.wait(until)

    def carry(self, effect) -> None:
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
            self.know(effect.host)
        elif kind is effects.RemoveHost:
            link = self.links.pop(effect.host, None)
            if link is not None:
                link.cancel()
        elif kind is effects.Watch:
            self.watch.ask()
        elif kind is effects.LogMessage:
            getattr(self.log, effect.level)(effect.event, **dict(effect.fields))
        elif kind in ONLY_KEPT:
            pass  # the journal has them
        elif kind is effects.Halt:
            raise HaltedError(effect.reason)
        else:
            raise TypeError(f"nothing carries out {effect!r}")

    # -- hosts

    def know(self, listed: events.ListedHost) -> None:
        link = self.links.get(listed.id)
        if listed.mode is Mode.GONE:
            if link is not None:
                link.relist(listed)  # what waits for it goes back
            return
        if link is None:
            link = self.links[listed.id] = HostLink(
                listed,
                self.setup.name,
                self.life,
                self.net,
                self.setup.cluster.limits,
                self.inbox,
                self.next_link,
                self.log,
            )
            self.tasks.start_soon(link.run_until_dropped)
        link.relist(listed)
        old = self.kept.get(listed.id)
        self.kept[listed.id] = listed
        if old is None or replace(old, age=0.0, free_cores=None, free_memory=None) != replace(
            listed, age=0.0, free_cores=None, free_memory=None
        ):
            self.dirty.set()

    async def keep_list(self) -> None:
        """Writes the list when hosts have come, gone or changed; figures of room alone are not worth a write."""
        while True:
            await self.dirty.wait()
            self.dirty = anyio.Event()
            hosts = tuple(
                host for host in self.kept.values() if host.id in self.links and host.mode is not Mode.GONE
            )
            try:
                await self.on_disk(self.store.save_host_list, self.journal_time(), self.watch.version, hosts)
            except StoreError as error:  # the former list stays; jobs do not wait for a disk
                self.log.error("list not kept", reason=str(error))
            await anyio.sleep(KEEP_EVERY)

    # a day on a mock clock replaces these two: a thread or the machine's clock would make each run another

    async def on_disk(self, call, *args):
        async with self.disk:
            return await anyio.to_thread.run_sync(call, *args)

    def journal_time(self) -> float:
        return self.clock.at(journal_clock.monotonic())

    async def tell(self) -> None:
        while True:
            await anyio.sleep(TELL_EVERY)
            sums, stands = self.sees()
            self.log.info(
                "at work", **stands, **{name.replace(" ", "_"): value for name, value in sums.items()}
            )


LINK_EFFECTS = {
    effects.OpenLink: lambda link, effect: link.open(),
    effects.SendLaunch: HostLink.launch,
    effects.WithholdLaunch: lambda link, effect: link.keep_back(effect.number),
    effects.SendStop: HostLink.stop,
    effects.SendEndSeen: HostLink.tell,
    effects.SendProbe: HostLink.probe,
}
MODES = {Mode.SERVING: "SERVES", Mode.DRAINING: "DRAINS", Mode.GONE: "GONE"}
ONLY_KEPT = (effects.RecordNotRun, effects.DeleteRecord, effects.RecordHold, effects.RecordProgress)
CLIENT_EFFECTS = (
    effects.AcceptJob,
    effects.DeclineJob,
    effects.Answer,
    effects.JobStatus,
    effects.StatusPageEnd,
    effects.Reply,
)
