"""Every decision of linedeal. Make a `Controller(settings, seed, now)`, carry out what `begin()` returns,
feed each event to `handle(now, event)` and, after the last of that time, call `schedule_waiting(now)`; carry out the
actions they return, in order. The types are in `linedeal/interface.py`, the design in `docs/design.md`.

Mechanisms beside the design:
1. others' load: what others hold on a host, told from lists, probes and pressure less what we hold
2. marks: a host that refuses, is silent or late, errs on an offering or serves poorly is spared a while
3. homes: all controllers sample the same few hosts for a service, and near ties go to those that keep it
4. fewest hosts: where hosts in use have a price, only the fullest that the load needs are offered
5. waiting order: within a customer's share first, then by value, then by time left
6. slow start: a host that has just started gets our part of what all controllers together may send
"""

from collections import deque
from dataclasses import dataclass, field, replace
from operator import itemgetter
from random import Random
from typing import Iterator
from zlib import crc32

from linedeal import interface as api
from linedeal.interface import Effect, Mode, Reason, Result, TopologyLevel

ALPHA, BETA = 1.0, 2.0  # weights of hosts in use and of tazes alone
TAZ_AT, TURTLE_AT = 0.9, 0.75  # share of the ask in use at which a service becomes a taz, and a turtle again
NEAR, NEAR_WARM = 0.05, 0.4  # rooms this close, as a share of a host, tie; and where it has the job's program
FULL_MARK, FULL_MOST = 0.3, 2.4  # seconds that a host which refused counts as full; doubled in a row
SILENT_MARK, SILENT_MOST = 1.0, 8.0  # seconds that a host without an answer is spared, first and at most
ILL_MOST = 16.0  # seconds that a host which errs is left alone by an offering, at most
PROGRAMS = 12  # services that a host is trusted to keep after their last job
CALM_MARGIN, MEMORY_SHARE = 0.13, 0.96  # planned: cores over the calmest offering's share; share of memory
UNKNOWN_USE, UNKNOWN_MEMORY = 0.65, 0.8  # shares of its ask a job is taken to use before any note
LOAD_EVERY = 0.2  # seconds between sums over all hosts
START_WEIGHT, LATE_LIST = 0.01, 0.06  # shares of a host: a waiting start's; what came free since the list
PRIOR_ASK = 10.0  # cores and memory that the prior of the use ratio weighs
USED_VALID, ROUND = 2.0, 4.0  # seconds that a probe's figure does not fade; that asking all hosts may take
SPARE_HOSTS = 0.75  # hosts in use beyond the load, for each controller, where they have a price
POOR, POOR_MARK = 0.6, 1.5  # service under which a host counts as full, and for how long
LATE_ANSWER, ANSWER_LEAST, ANSWER_SEEN = 5.0, 0.5, 0.15  # times the usual, seconds, weight of one answer
IN_USE = 0.02  # share of a host's cores asked by others from which it holds known jobs
HOMES, SPREAD = 2, 2654435761  # hosts sampled for a service; odd factor that scatters services over hosts
HEARD_WEIGHT, USE_WEIGHT = 0.5, 0.15  # weights of a new figure against the old ones
ASK_AGAIN, QUIET_LIST = 1.0, 6.0  # seconds before a list that failed, or says nothing, is asked for again
LAST_MOMENT = 0.03  # seconds before a job's expiry at which waiting ends
YOUNG_SHARE, YOUNG_SPAN, SLOT = 0.8, 1.1, 0.1  # of a young host's offers; of its span; of that, a turn
PATIENCE = 0.25  # share of an offering's expiry that a launch may take to be accepted
USE_MOST = 4.0  # times its ask: what a job uses beyond that tells nothing of others
MAX_SERVICES, MAX_ENTRIES_PER_HOST = (
    4096,
    2000,
)  # services remembered (those without a job go first); our launches on one host
MAX_CHOICES, MAX_HOST_EVALUATIONS = (
    100,
    8000,
)  # jobs, and hosts for them, looked at in one settling: others' events wait for it

NEVER_RAN = (Result.TURNED_AWAY, Result.UNREACHABLE, Result.UNSENT)
ROOM, RUNS, NEVER = "room", "runs", float("inf")


@dataclass(slots=True)
class Service:
    """What is known of a service's use, as shares of what its jobs ask."""

    cores: float
    memory: float
    taz: bool = False
    answer: float = 0.0  # seconds that hosts lately took to confirm
    mark: int = 0  # of its name, as a host has one of its id: together they tell its homes
    there: dict = field(default_factory=dict)  # launches without an outcome, by place of the spread
    tracks: int = 0  # jobs in this controller's care


@dataclass(slots=True, eq=False)
class TrackedJob:
    """A job in this controller's care."""

    job: api.Job
    offering: api.Offering
    service: Service
    life: Iterator = None
    host: "Host" = None  # where its launch without an outcome is
    place: object = None  # ... and what counts it for the spread
    launches: int = 0
    erred: "Host" = None  # the host that first failed it
    uncertain_launch: tuple = None  # host and time of the first launch that may have run
    sent: float = 0.0
    answer_due: float = 0.0  # when a host that is well has answered
    confirmed: bool = False
    started: bool = False
    ended: bool = False  # answered, or no answer is owed
    cores: float = 0.0  # in use by the last note
    memory: float = 0.0

    def usage(self):
        job, service = self.job, self.service
        memory = job.memory * service.memory
        return self.cores or job.cores * service.cores, self.memory if self.memory > memory else memory


@dataclass(slots=True, eq=False)
class Host:
    entry: api.HostEntry
    size: api.HostKind
    jobs: dict = field(default_factory=dict)  # launches without an outcome, by job id
    starting: int = 0  # how many wait for their start
    answer_due: float = NEVER  # earliest among those not confirmed
    tazes: int = 0
    own: tuple = (0.0, 0.0, 0.0, 0.0)  # cores and memory asked and used by this controller's jobs
    load: tuple = None  # the same with what others ask and use; None: to be summed anew
    asked: tuple = None  # cores and memory that others' jobs ask
    used: tuple = None  # and use
    used_heard: float = -NEVER
    full_until: float = 0.0
    silent_until: float = 0.0
    fails: int = 0
    refusals: int = 0  # in a row
    ejections: dict = field(
        default_factory=dict
    )  # by offering and customer: until when, after how many errors
    sends: deque = field(default_factory=lambda: deque(maxlen=500))
    programs: dict = field(default_factory=dict)  # launches of each service; 0: its program may be kept
    probed: float = 0.0
    mark: int = 0
    slot: float = None  # while it is young: when one of our turns to send begins

    def tally(self):
        """One pass: this runs at each change of a launch, over all of the host's."""
        starting = tazes = 0
        due, asked, asked_memory, used, used_memory = NEVER, 0, 0, 0, 0
        for track in self.jobs.values():
            job = track.job
            starting += not track.started
            tazes += track.service.taz
            if not track.confirmed and track.answer_due < due:
                due = track.answer_due
            cores, memory = track.usage()
            asked, asked_memory = asked + job.cores, asked_memory + job.memory
            used, used_memory = used + cores, used_memory + memory
        self.starting, self.tazes, self.answer_due = starting, tazes, due
        self.own, self.load = (asked, asked_memory, used, used_memory), None


class Controller:
    def __init__(self, settings, seed, now):
        self.settings, self.random, late = settings, Random(seed), LATE_LIST * (1 - 1 / settings.controllers)
        self.now = self.begun = self.heard_list = self.load_due = self.came = now
        self.hosts, self.tracked_jobs, self.services, self.waiting = {}, {}, {}, {}
        self.held = {customer: 0.0 for customer in settings.quotas}
        self.offering_estimates = {name: Service(UNKNOWN_USE, UNKNOWN_MEMORY) for name in settings.offerings}
        self.calm = min((o.degradation_start for o in settings.offerings.values()), default=1.0) + CALM_MARGIN
        self.gap = 1.0  # seconds between own jobs, lately
        self.bounds = settings.accepts_cores, settings.accepts_memory, late, self.calm
        self.use_ratio, self.mean_asked = (UNKNOWN_USE, UNKNOWN_USE), (0.5, 0.5)
        self.serving_hosts = self.asks = 0  # hosts that take jobs; lists that failed in a row
        self.room_made, self.paced = False, NEVER  # paced: when the next slot of a young host comes
        self.direct = self.most = MAX_CHOICES  # jobs looked at as their events come, and in one settling
        self.refused = None  # shapes that found no room in the settling that goes on, if any
        self.strange, self.out = set(), []  # hosts of kinds that no setting names; what is to be done

    # -- events

    def begin(self):
        self.out = []
        if self.settings.must_subscribe:
            self.ask()
            self.timer(QUIET_LIST, "list")
        self.timer(self.settings.slow_start_window, "room")
        return self.out

    def handle(self, now, event):
        self.now, self.out = now, []
        match event:
            case api.JobArrived(job, risk):
                self.arrived(job, risk)
            case api.MetricReported(job, _, what, value):
                self.noted(job, what, value)
            case api.LaunchConfirmed(job):
                self.confirmed(job)
            case api.LaunchEnded(job, _, _, result, why, closed):
                self.launch_ended(job, result, why, closed)
            case api.HostsListed(hosts, whole, remembered):
                self.listed(hosts, whole, remembered)
            case api.ListLost():
                self.asks += 1
                self.out.append(api.Log(f"list out of reach, time {self.asks} in a row"))
                self.timer(
                    min(ASK_AGAIN * 2 ** (self.asks - 1), self.settings.subscription_timeout / 2), "ask"
                )
            case api.JobFound(job, host):
                self.found(job, host)
            case api.JobWithdrawn(job):
                self.withdrawn(job)
            case api.TimerFired(key):
                self.woken(key)
            case api.HostProbed(host, answered, report):
                self.probed(host, answered, report)
        return self.out

    def schedule_waiting(self, now):
        """Offers room that has come free to those who wait, in the order in which they deserve it."""
        self.now, self.out = now, []
        self.direct = self.most = min(MAX_CHOICES, max(1, MAX_HOST_EVALUATIONS // max(1, len(self.hosts))))
        if self.room_made and self.refused is None:
            self.room_made, self.refused = False, set()
        if self.refused is None:
            return self.out
        tries = 0
        for track in sorted(self.waiting.values(), key=self.claim):
            shape = (
                track.offering.name,
                track.job.cores,
                track.job.memory,
                track.uncertain_launch,
                track.offering.spread_level is TopologyLevel.NONE or track.job.service,
            )
            if shape in self.refused:
                continue
            if tries == self.most:
                # guards against thousands of sizes, or hundreds of hosts to weigh: the rest in turns to come
                self.timer(0.0, "rest")
                return self.out
            host, tries = self.choose_host(track), tries + 1
            if host:
                del self.waiting[track.job.id]
                self.step(track, host)
            else:
                self.refused.add(shape)
        self.refused = None
        if self.room_made:  # came free while it went on
            self.timer(0.0, "rest")
        return self.out

    def timer(self, delay, key):
        self.out.append(api.Timer(delay, key))

    def track(self, job):
        offering = self.settings.offerings[job.offering]
        service = self.services.pop(job.service, None)
        if service is None:
            usual = self.offering_estimates[job.offering]
            service = Service(usual.cores, usual.memory, mark=crc32(job.service.encode()))
            # guards against a new name for each job; a service in use stays, or its spread would be lost
            while len(self.services) >= MAX_SERVICES:
                idle = next((name for name, known in self.services.items() if not known.tracks), None)
                if idle is None:
                    break
                del self.services[idle]
        self.services[job.service] = service
        service.tracks += 1
        track = self.tracked_jobs[job.id] = TrackedJob(job, offering, service)
        track.life = self.life(track)
        return track

    def forget(self, track):
        if self.tracked_jobs.pop(track.job.id, None):
            track.service.tracks -= 1

    def arrived(self, job, risk):
        gap, self.came = min(self.now - self.came, ROUND), self.now
        self.gap += ANSWER_SEEN * (gap - self.gap)
        # one a job, no more a turn than choices, since who is asked is a look at all; none where its news is
        # old long before the round is over: it changes nothing. Harms where only probes find a host well
        if self.direct > 0 and self.settings.may_probe and 0 < len(self.hosts) * self.gap <= ROUND:
            host = min(self.hosts.values(), key=lambda host: (host.entry.mode is Mode.GONE, host.probed))
            host.probed = self.now
            self.out.append(api.Probe(host.entry.id))
        track = self.track(job)
        if risk:
            track.uncertain_launch = (
                self.hosts.get(risk[0]),
                risk[1],
            )  # None: gone since, and its group with it
        self.step(track, None)

    def found(self, job, host_id):
        host = self.hosts.get(host_id)
        if host is None or job.id in self.tracked_jobs or not sound(job.cores, job.memory):
            return
        track = self.track(job)
        track.ended = track.confirmed = track.started = True
        self.hold(track, host)
        if host.asked:  # it was there before: what lists said of the host held it already
            host.load = None
            host.asked = max(0.0, host.asked[0] - job.cores), max(0.0, host.asked[1] - job.memory)

    def withdrawn(self, job_id):
        track = self.tracked_jobs.get(job_id)
        if track and not track.ended:
            track.ended = True
            self.waiting.pop(job_id, None)
            if track.host is None:
                self.forget(track)

    def woken(self, key):
        if key == "room":
            self.room_made = True
        elif key == "ask":
            self.ask()
        elif key == "list":
            if self.now - self.heard_list >= QUIET_LIST:
                self.ask()
            self.timer(QUIET_LIST, "list")
        elif track := self.waiting.pop(key, None):
            self.step(track, None)

    # -- a job's life

    def life(self, track):
        """Yields ROOM until a host has some, then that host to launch there, then RUNS; returns the answer"""
        while track.launches < self.settings.max_launches:
            host = yield ROOM
            if host is None:
                break
            ended = yield host
            if ended is None:
                yield RUNS
                return None
            if track.ended:
                return None
            if ended is Result.ERROR and track.erred is not host:
                break  # it fails wherever it runs
            if ended not in NEVER_RAN:
                track.uncertain_launch = track.uncertain_launch or (host, track.sent)
                if track.offering.effect is Effect.IRREVERSIBLE:
                    break
        harmless = track.uncertain_launch is None or track.offering.effect is Effect.REDOABLE
        return api.Reject(track.job.id) if harmless else api.WriteOff(track.job.id)

    def step(self, track, value):
        """Resumes a job's life with what it waited for, and sees to what it wants next."""
        while True:
            try:
                want = track.life.send(value)
            except StopIteration as stop:
                if stop.value:
                    self.out.append(stop.value)
                track.ended = True
                if track.host is None:
                    self.forget(track)
                return
            if want is RUNS:
                track.ended = True
                return
            if want is not ROOM:
                return self.send(track, want)
            if self.now >= track.job.expiry - LAST_MOMENT:
                value = None
                continue
            self.direct -= 1  # guards against a lost zone's hundreds in one turn: others' answers came late
            value = self.choose_host(track) if self.direct >= 0 else None
            if value is None:
                self.room_made |= self.direct < 0
                self.waiting[track.job.id] = track
                self.timer(track.job.expiry - LAST_MOMENT - self.now, track.job.id)
                return

    def claim(self, track):
        customer = track.job.customer
        over = (
            customer in self.held
            and self.held[customer] > self.settings.quotas[customer] / self.settings.controllers
        )
        return over, -track.offering.value, track.job.expiry

    # -- the design: filter, change in F, most room

    def choose_host(self, track):
        if not self.needs_launch(track):
            return None
        # hosts that answer an offering with errors; where all do, the fault is elsewhere and none is ill
        offers, now, name, self.paced = [], self.now, (track.offering.name, track.job.customer), NEVER
        ill = [
            host
            for host in self.hosts.values()
            if host.ejections and host.ejections.get(name, (0.0,))[0] > now or host is track.erred
        ]
        ill = ill if len(ill) < len(self.hosts) else ()
        self.refresh_averages()
        ask = track.job.cores, track.job.memory, *track.usage()
        for host in self.hosts.values():
            if host.full_until <= now and host.silent_until <= now and host not in ill:
                room = self.free_capacity(ask, host)
                if room >= 0 and self.host_allowed(track, host):
                    offers.append((self.change(track, host), room, host))
        if not offers:
            if self.paced < NEVER:
                self.timer(self.paced - now, "room")
            return None
        # a late answer: the host is jammed, hung or cut off, though no launch there has failed yet; covers
        # slow starts too; the others are filled first, which harms where one job alone is slow to answer
        offers = [offer for offer in offers if offer[2].answer_due > self.now] or offers
        if self.settings.host_price:
            offers = least_change(self.fewest(offers))
        # all controllers sample the same few hosts for a service: its program is there and no host draws all;
        # those known to run or keep it are looked at besides. Covers lost programs and controllers' restarts
        # too; harms where a service's use surges: its few homes are crowded first
        service, mark = track.job.service, track.service.mark
        offers.sort(key=lambda offer: (mark ^ offer[2].mark) * SPREAD & 0xFFFFFFFF)
        homes = max(HOMES, len(offers) // self.settings.controllers)
        offers = least_change(offers[:homes] + [o for o in offers[homes:] if service in o[2].programs])
        most = max(room for _, room, _ in offers)
        offers = [o for o in offers if o[1] >= most - NEAR_WARM and service in o[2].programs] or offers
        most = max(room for _, room, _ in offers)
        return self.random.choice([host for _, room, host in offers if room >= most - NEAR])

    def fewest(self, offers):
        """Only the fullest that the load needs; more, the more controllers pick from late figures at once."""
        full = self.serving_hosts - len(offers)
        load = full + len(offers) - sum(map(itemgetter(1), offers)) / MEMORY_SHARE
        needed = max(1, int(load + SPARE_HOSTS * (1 + self.settings.controllers)) - full)
        return sorted(offers, key=itemgetter(1))[:needed]

    def change(self, track, host):
        change = 0.0 if host.jobs or host.asked and host.asked[0] > IN_USE * host.size.cores else ALPHA
        if track.service.taz:
            change -= BETA * ((host.tazes == 0) - (host.tazes == 1))
        return change

    def free_capacity(self, ask, host):
        """Room left beside a job that asks and uses so much, as a share of the host; below 0: no fit."""
        asked_cores, asked_memory, used_cores, used_memory = host.load or self.sums(host)
        (accepts_cores, accepts_memory, late, calm), size = self.bounds, host.size
        left = accepts_cores - (asked_cores + ask[0]) / size.cores
        other = accepts_memory - (asked_memory + ask[1]) / size.memory
        left = (left if left < other else other) + late  # min() would cost more than the sums
        other = calm - (used_cores + ask[2]) / size.cores
        left = left if left < other else other
        other = MEMORY_SHARE - (used_memory + ask[3]) / size.memory
        left = left if left < other else other
        return max(0.0, left - START_WEIGHT * host.starting) if left >= 0 else -1.0

    def sums(self, host):
        own, asked, used = host.own, self.others_ask(host), host.used or self.others_use(host)
        host.load = own[0] + asked[0], own[1] + asked[1], own[2] + used[0], own[3] + used[1]
        return host.load

    def refresh_averages(self):
        """Sums over all hosts, now and then: what others ask on average, and use of what they ask."""
        if self.now < self.load_due:
            return
        self.load_due = self.now + LOAD_EVERY
        hosts = self.hosts.values()
        for host in hosts:
            host.load = None  # the sums below stand in for what is not known of it
        own = [sum(host.own[i] for host in hosts if host.jobs) for i in range(4)]
        self.use_ratio = [(own[i + 2] + PRIOR_ASK * UNKNOWN_USE) / (own[i] + PRIOR_ASK) for i in (0, 1)]
        heard = [host for host in hosts if host.asked]
        if heard:
            s = self.settings  # at most what a host accepts: one host's odd figure is not all hosts'
            self.mean_asked = (
                sum(min(s.accepts_cores, host.asked[0] / host.size.cores) for host in heard) / len(heard),
                sum(min(s.accepts_memory, host.asked[1] / host.size.memory) for host in heard) / len(heard),
            )

    def others_ask(self, host):
        return host.asked or (self.mean_asked[0] * host.size.cores, self.mean_asked[1] * host.size.memory)

    def others_use(self, host):
        """What others use of what they ask, at the ratio that this controller's own jobs show."""
        asked = self.others_ask(host)
        return asked[0] * self.use_ratio[0], asked[1] * self.use_ratio[1]

    # -- the gate: each send passes here, and each rule is kept here

    def needs_launch(self, track):
        return not (track.ended or track.host or self.now >= track.job.expiry - LAST_MOMENT)

    def launch_allowed(self, track, host):
        return self.needs_launch(track) and self.host_allowed(track, host)

    def host_allowed(self, track, host):
        entry, offering = host.entry, track.offering
        if entry.mode is not Mode.SERVING or (offering.kind and entry.kind != offering.kind):
            return False
        if (
            len(host.jobs) >= MAX_ENTRIES_PER_HOST
        ):  # guards against jobs that ask next to nothing: each costs the others
            return False
        if track.uncertain_launch and offering.effect is not Effect.REDOABLE:
            first = track.uncertain_launch[0]
            if (
                offering.effect is Effect.IRREVERSIBLE
                or first is None
                or self.now >= forgotten(track)
                or (place_of(offering.dedup_level, first) != place_of(offering.dedup_level, host))
            ):
                return False
        if entry.booted and self.now < entry.booted + self.settings.slow_start_duration:
            if (
                self.now < self.begun + self.settings.slow_start_window
            ):  # an earlier life's sends there are not known
                return False
            span, part = (
                self.settings.slow_start_window * YOUNG_SPAN,
                self.settings.slow_start_limit * YOUNG_SHARE / self.settings.controllers,
            )
            if part < 1.0 and host.slot is None:  # one each, in turns set by chance: else all come at once
                host.slot = self.random.uniform(0.0, span / part)
            since = 0.0 if host.slot is None else (self.now - host.slot) % (span / part)
            while host.sends and host.sends[0] <= self.now - span:
                host.sends.popleft()
            if since >= SLOT * span or len(host.sends) + 1 > max(1.0, part):
                if part < 1.0:
                    self.paced = min(self.paced, self.now + span / part - since + SLOT * span / 2)
                return False
        if offering.spread_level is not TopologyLevel.NONE:
            if track.service.there.get(place_of(offering.spread_level, host), 0) >= offering.max_per_domain:
                return False
        return True

    def send(self, track, host):
        if not self.launch_allowed(track, host):
            raise AssertionError("a send that the rules forbid")
        wait = track.job.expiry - LAST_MOMENT - self.now
        late = max(ANSWER_LEAST, LATE_ANSWER * self.offering_estimates[track.offering.name].answer)
        if (
            not self.settings.starts_confirmed
        ):  # a start that is given up is work lost, an acceptance is cheap
            wait = min(wait, PATIENCE * track.offering.expiry)
            if track.offering.effect is Effect.REDOABLE:
                wait = min(wait, late)
        track.launches += 1
        track.sent, track.started = self.now, False
        track.answer_due = self.now + late
        host.sends.append(self.now)
        self.hold(track, host)
        self.out.append(api.Launch(track.job.id, host.entry.id, wait, forgotten(track) - self.now))

    def hold(self, track, host):
        track.host, track.place = host, place_of(track.offering.spread_level, host)
        track.service.there[track.place] = track.service.there.get(track.place, 0) + 1
        host.jobs[track.job.id] = track
        host.programs[track.job.service] = host.programs.pop(track.job.service, 0) + 1
        if track.job.customer in self.held:
            self.held[track.job.customer] += track.job.cores
        host.tally()

    def release(self, track):
        host, track.host = track.host, None
        track.service.there[track.place] -= 1
        del host.jobs[track.job.id]
        if track.job.customer in self.held:
            self.held[track.job.customer] -= track.job.cores
        host.programs[track.job.service] -= 1
        for service in [service for service, count in host.programs.items() if not count][:-PROGRAMS]:
            del host.programs[service]
        host.tally()
        self.room_made = True
        return host

    # -- what hosts answer

    def confirmed(self, job_id):
        track = self.tracked_jobs.get(job_id)
        if track is None or track.host is None or track.confirmed:
            return
        track.confirmed = True
        self.answered(track)
        track.host.tally()
        track.started = track.started or self.settings.starts_confirmed
        track.host.fails = track.host.refusals = 0
        if track.host.ejections:
            track.host.ejections.pop((track.offering.name, track.job.customer), None)
        if track.erred and track.erred is not track.host:  # it runs elsewhere, so that host was at fault
            self.errs(track, track.erred)
        if not track.ended:
            self.step(track, None)

    def answered(self, track):
        """Learns how long answers take; those not waited for took so long at least."""
        usual = self.offering_estimates[track.offering.name]
        usual.answer += ANSWER_SEEN * (self.now - track.sent - usual.answer)

    def launch_ended(self, job_id, result, why, closed):
        track = self.tracked_jobs.get(job_id)
        if track is None or track.host is None:
            return
        host = self.release(track)
        if result is Result.SILENT and not track.confirmed:
            self.answered(track)
        if result in (Result.SILENT, Result.UNREACHABLE) or result is Result.CUT and why is Reason.UNTOLD:
            self.silent(host)
        elif result is Result.TURNED_AWAY or why is Reason.EVICTED:
            host.fails = 0
            host.full_until = self.marked(host, "refuses", FULL_MARK, FULL_MOST, host.refusals)
            host.refusals += 1
            if not track.confirmed and not host.programs.get(track.job.service):
                host.programs.pop(track.job.service, None)
        elif result is Result.ERROR:
            track.erred = track.erred or host
            if track.offering.effect is Effect.IRREVERSIBLE:  # nothing more will be learned from it
                self.errs(track, host)
        track.ended = track.ended or closed
        if track.ended or track.confirmed:
            self.forget(track)
        else:
            self.step(track, result)

    def errs(self, track, host):
        # guards against a host that fails one kind of job fast and so seems to have the most room;
        # covers any fault bound to host and offering; harmful if it is over long before its mark. By
        # customer: work that always fails, wherever it runs, would take the hosts from the others
        name = track.offering.name, track.job.customer
        count = host.ejections.get(name, (0.0, 0))[1]
        until = self.marked(host, f"errs on {name[0]}", SILENT_MARK, ILL_MOST, count)
        if len(host.ejections) >= MAX_ENTRIES_PER_HOST:  # guards against a new customer each time
            host.ejections = {known: mark for known, mark in host.ejections.items() if mark[0] > self.now}
        host.ejections[name] = (until, count + 1)

    def silent(self, host):
        if host.silent_until > self.now:
            return
        host.silent_until = self.marked(host, "gives no answer", SILENT_MARK, SILENT_MOST, host.fails)
        host.fails += 1

    def marked(self, host, what, mark, most, count):
        """Until when, after so many failures before; those who wait are looked at again then."""
        if count == 1:
            self.out.append(api.Log(f"{host.entry.id} {what}, twice in a row"))
        mark = min(mark * 2**count, most)
        self.timer(mark, "room")
        return self.now + mark

    def noted(self, job_id, what, value):
        track = self.tracked_jobs.get(job_id)
        if track is None or track.host is None or not sound(value):
            return
        job = track.job
        if what == "started":
            track.started = True
            track.host.tally()
        elif what in ("cores", "memory"):
            # guards against a tiny ask, or a host's figure beyond all sense: one job's use goes into that of
            # its service, of its offering and of all hosts
            ask, value = getattr(job, what), min(value, getattr(track.host.size, what))
            setattr(track, what, value)
            value = min(value, USE_MOST * ask)
            for known, weight in (
                (track.service, USE_WEIGHT),
                (self.offering_estimates[job.offering], USE_WEIGHT / 10),
            ):
                old = getattr(known, what)
                setattr(known, what, old + weight * (value / ask - old))
            service = track.service
            service.taz = service.cores >= (TURTLE_AT if service.taz else TAZ_AT)
            track.host.tally()
        elif what in ("served", "host_memory"):
            self.pressed(track, track.host, what, value)

    def pressed(self, track, host, what, value):
        """A host that serves poorly or runs out of memory is fuller than was thought, whoever fills it."""
        size, own = host.size, host.own
        self.refresh_averages()
        cores, memory = host.used or self.others_use(host)
        if what == "served":
            busy = track.offering.degradation_start + track.offering.degradation_span * (1 - value)
            cores = max(cores, busy * size.cores - own[2])
        else:
            memory = max(memory, value * size.memory - own[3])
        host.used, host.load = (cores, memory), None
        if what == "served" and value < POOR:
            # guards against a jam that planned use does not show; covers slow and half-dead hosts too;
            # harmful where all hosts serve poorly, since jobs then wait that would still earn a little
            host.full_until = self.marked(host, "serves poorly", POOR_MARK, POOR_MARK, 0)

    def probed(self, host_id, answered, report):
        host = self.hosts.get(host_id)
        if host is None:
            return
        if not answered:
            self.silent(host)
            return
        host.fails, host.silent_until = 0, min(host.silent_until, self.now)
        if sound(report.get("idle_cores"), report.get("idle_memory"), least=-NEVER):
            own, host.used_heard = host.own, self.now
            host.used = blend(
                host.used,
                (
                    host.size.cores - report["idle_cores"] - own[2],
                    host.size.memory - report["idle_memory"] - own[3],
                ),
            )
            host.load = None
        self.room_made = True

    # -- which hosts there are

    def ask(self):
        self.heard_list = self.now
        self.out.append(api.Subscribe())

    def listed(self, entries, whole, remembered):
        self.asks = self.asks if remembered else 0
        self.heard_list = self.now
        if whole:
            named = {entry.id for entry in entries}
            for host in self.hosts.values():
                if host.entry.id not in named:
                    host.entry = replace(host.entry, mode=Mode.GONE)
        for entry in entries:
            self.update_host(entry)
        for host in [h for h in self.hosts.values() if h.entry.mode is Mode.GONE and not h.jobs]:
            del self.hosts[host.entry.id]
        self.serving_hosts = sum(host.entry.mode is Mode.SERVING for host in self.hosts.values())
        self.room_made = True

    def update_host(self, entry):
        host = self.hosts.get(entry.id)
        if host is None:
            if entry.kind not in self.settings.kinds:  # what it has room for cannot be known
                if entry.id not in self.strange and len(self.strange) < MAX_SERVICES:
                    self.strange.add(entry.id)
                    text = f"{entry.id} is left out: no setting names its kind {entry.kind!r}"
                    self.out.append(api.Log(text))
                return
            host = self.hosts[entry.id] = Host(
                entry, self.settings.kinds[entry.kind], mark=crc32(entry.id.encode())
            )
        if entry.booted > host.entry.booted:
            host.programs = {service: count for service, count in host.programs.items() if count}
            host.asked = host.used = host.slot = None
        host.entry, host.load = entry, None
        if entry.mode is not Mode.GONE and sound(entry.free_cores, entry.free_memory or 0.0, least=-NEVER):
            own = host.own
            if host.used and host.used_heard < self.now - USED_VALID:
                host.used = blend(host.used, self.others_use(host))
            # taken whole: a list may tell only of what changes, so old figures would never fade
            host.asked = (
                max(0.0, host.size.cores - entry.free_cores - own[0]),
                max(0.0, host.size.memory - (entry.free_memory or 0.0) - own[1]),
            )


def sound(*figures, least=0.0):
    """Whether they can be reckoned with. Guards all hosts' sums against one host's word that is no figure."""
    return all(figure is not None and least <= figure < NEVER and figure != -NEVER for figure in figures)


def forgotten(track):
    """When the hosts that drop repeats of a labelled job that may have run forget it."""
    labelled = track.uncertain_launch and track.offering.effect is Effect.LABELLED
    return track.uncertain_launch[1] + track.offering.dedup_window - LAST_MOMENT if labelled else NEVER


def least_change(offers):
    least = min(offer[0] for offer in offers)
    return [offer for offer in offers if offer[0] == least]


def blend(old, new):
    return new if old is None else tuple(a + HEARD_WEIGHT * (b - a) for a, b in zip(old, new))


def place_of(place, host):
    """What of a host the others in its place share."""
    entry = host.entry
    return {TopologyLevel.ALL: "all", TopologyLevel.ZONE: entry.zone, TopologyLevel.CELL: entry.cell}.get(
        place, entry.id
    )
