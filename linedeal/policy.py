"""The decision module: chooses a host for each job and decides when a job is rejected or written off.

Create a `Controller(settings, seed, now)`, carry out the actions that `begin()` returns, pass each event to
`handle(now, event)` and, after the last event of a point in time, call `schedule_waiting(now)`. Actions are
to be carried out in the order in which they are returned. Event and action types are in
`linedeal/interface.py`, the design is in `docs/design.md`. The module does no input or output and reads no
clock: the same settings, seed and events give the same actions.

Mechanisms beside the design:
1. load of other controllers: what they hold on a host is derived from lists, probes and reported pressure,
   less what this controller holds there
2. backoff and ejection: a host that refuses, does not answer or answers late, fails an offering's jobs or
   serves poorly gets no jobs for a while
3. preferred hosts (affinity): all controllers sample the same few hosts for a service, and near ties go to
   hosts that already have the service's program
4. fewest hosts: where hosts in use have a price, only the fullest hosts that the load needs are candidates
5. scheduling order: customers within their share first, then by value, then by remaining time
6. slow start: a host that has just started gets this controller's part of what all controllers may send
   together
"""

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field, replace
from operator import itemgetter
from random import Random
from zlib import crc32

from linedeal import interface as api
from linedeal.interface import Effect, Mode, Reason, Result, TopologyLevel

# Cost function F = HOST_COST * hosts in use - LONE_TAZ_GAIN * hosts with exactly one taz. It is that of the
# paper "Multi-Objective Job Placement in Clusters" (ClavisMO).
# HOST_COST is the paper's alpha and LONE_TAZ_GAIN its beta, with beta > alpha.
# `taz` and `turtle` are the paper's terms, too: a taz is a service whose jobs use nearly all the cores they
# request, a turtle any other.
HOST_COST = 1.0
LONE_TAZ_GAIN = 2.0

# Usage as a share of the requested cores. The gap keeps a service near the threshold from alternating.
TAZ_THRESHOLD = 0.9  # at or above it a turtle becomes a taz
TURTLE_THRESHOLD = 0.75  # below it a taz becomes a turtle again

# Differences in free capacity, as a share of a host, within which hosts tie.
TIE_MARGIN = 0.05
WARM_TIE_MARGIN = 0.4  # for hosts that already have the job's program

# Backoff of a host after a failure, seconds: the first, doubled with each further failure up to the maximum.
REFUSAL_BACKOFF = 0.3  # the host counts as full after a refusal
REFUSAL_BACKOFF_MAX = 2.4
FAILURE_BACKOFF = 1.0  # after a missing answer, and for an offering whose job failed there
UNRESPONSIVE_BACKOFF_MAX = 8.0
EJECTION_MAX = 16.0  # of one offering from a host that fails its jobs
POOR_SERVICE_BACKOFF = 1.5  # not doubled
POOR_SERVICE_THRESHOLD = 0.6  # share of service below which a host counts as full

MAX_IDLE_PROGRAMS = 12  # services whose program a host is assumed to keep after their last job there

# Planned usage limits of a host.
CORES_MARGIN = 0.13  # share of the cores added to the lowest degradation start of all offerings
MEMORY_LIMIT = 0.96  # share of the memory

# Usage assumed before the first report, as a share of what a job requests.
DEFAULT_CORES_USAGE = 0.65
DEFAULT_MEMORY_USAGE = 0.8

AVERAGES_INTERVAL = 0.2  # seconds between sums over all hosts
START_PENALTY = 0.01  # share of a host's capacity deducted for each job there that has not started yet
LIST_LAG_ALLOWANCE = 0.06  # share of a host assumed to be freed by others' jobs since the last list
PRIOR_WEIGHT = 10.0  # requested cores, or memory, that the default usage ratio counts as
PROBE_VALIDITY = 2.0  # seconds before list entries start to replace a usage figure from a probe
PROBE_ROUND_MAX = 4.0  # seconds that probing every host once may take; if it took longer, no host is probed
SPARE_HOSTS = 0.75  # hosts in use beyond the load, for each controller, where hosts have a price

# When a host's answer counts as late.
LATE_ANSWER_FACTOR = 5.0  # multiple of the offering's usual time to answer
LATE_ANSWER_MIN = 0.5  # seconds
ANSWER_TIME_WEIGHT = 0.15  # weight of one sample in the moving averages of answer times and arrival gaps

IN_USE_THRESHOLD = 0.02  # share of a host's cores requested by others from which it counts as in use

MIN_PREFERRED_HOSTS = 2  # hosts sampled for a service
HASH_MULTIPLIER = 2654435761  # odd factor (Knuth's multiplicative hash) that scatters services over hosts

# Weight of a new figure in a moving average.
HOST_USAGE_WEIGHT = 0.5
JOB_USAGE_WEIGHT = 0.15

SUBSCRIBE_RETRY = 1.0  # seconds before the first retry after a failed list, doubled with each failure
LIST_SILENCE_MAX = 6.0  # seconds without a list after which the subscription is renewed
EXPIRY_MARGIN = 0.03  # seconds before a job's expiry at which waiting ends

# Slow start: the margins keep the launches of all controllers together below the limit of a starting host.
SLOW_START_SHARE = 0.8  # of the host's launch limit
SLOW_START_WINDOW_FACTOR = 1.1  # of the window that the limit is counted over
SLOT_SHARE = 0.1  # of that window: the length of one of this controller's send slots

ACCEPTANCE_TIMEOUT_SHARE = 0.25  # share of an offering's expiry that a host may take to accept a launch
MAX_USAGE_RATIO = 4.0  # usage beyond this multiple of a job's request is no estimate for other jobs
MAX_SERVICES = 4096  # services remembered; beyond that, services without a job are forgotten
MAX_ENTRIES_PER_HOST = 2000  # this controller's launches on one host, and ejections remembered for it

# Work of one scheduling pass, so that other events need not wait for it.
MAX_CHOICES = 100  # jobs for which a host is chosen
MAX_HOST_EVALUATIONS = 8000  # hosts evaluated for those jobs

NEVER_RAN = (Result.TURNED_AWAY, Result.UNREACHABLE, Result.UNSENT)

# What a job's lifecycle yields apart from the host to launch on.
AWAIT_HOST = "room"
RUNNING = "runs"

NEVER = float("inf")


@dataclass(slots=True)
class Service:
    """Estimated usage of a service's jobs, as shares of what they request, and its launches by domain."""

    cores: float
    memory: float
    taz: bool = False
    answer_time: float = 0.0  # seconds that hosts took to confirm, as a moving average
    name_hash: int = 0  # combined with a host's name_hash it determines the service's preferred hosts
    launches_in: dict = field(default_factory=dict)  # launches without an outcome, by domain of the spread
    job_count: int = 0  # of this controller's tracked jobs


@dataclass(slots=True, eq=False)
class TrackedJob:
    """A job that this controller is responsible for: waiting, launched or running."""

    job: api.Job
    offering: api.Offering
    service: Service
    lifecycle: Iterator = None
    host: "Host" = None  # of the launch without an outcome
    domain: object = None  # of that launch, as counted for the spread
    launches: int = 0
    failed_on: "Host" = None  # the first host that failed it
    uncertain_launch: tuple = None  # host and time of the first launch that may have run
    sent_at: float = 0.0
    answer_due: float = 0.0  # after it the answer of a healthy host is late
    confirmed: bool = False
    started: bool = False
    ended: bool = False  # answered, or no longer owed an answer
    cores: float = 0.0  # in use according to the last report
    memory: float = 0.0

    def usage(self):
        """Cores and memory in use: as last reported, or estimated from the service."""
        job, service = self.job, self.service
        memory = job.memory * service.memory
        return self.cores or job.cores * service.cores, self.memory if self.memory > memory else memory


@dataclass(slots=True, eq=False)
class Host:
    """A listed host: this controller's launches there, the estimated load of others, backoffs and ejections.

    Loads are tuples of requested cores, requested memory, cores in use and memory in use, or one half of
    that.
    """

    entry: api.HostEntry
    size: api.HostKind
    jobs: dict = field(default_factory=dict)  # launches without an outcome, by job id
    starting: int = 0  # of them, not started yet
    answer_due: float = NEVER  # earliest of the launches not confirmed
    tazes: int = 0
    own_load: tuple = (0.0, 0.0, 0.0, 0.0)  # of this controller's jobs
    total_load: tuple = None  # own load and that of others; None: to be summed again
    others_requested: tuple = None  # cores and memory requested by other controllers' jobs; None: not known
    others_usage: tuple = None  # cores and memory in use by them; None: not known
    probed_usage_at: float = -NEVER
    full_until: float = 0.0
    unresponsive_until: float = 0.0
    missed_answers: int = 0  # in a row
    refusals: int = 0  # in a row
    # by offering and customer: end of the ejection, and number of errors so far
    ejections: dict = field(default_factory=dict)
    send_times: deque = field(default_factory=lambda: deque(maxlen=500))
    programs: dict = field(default_factory=dict)  # launches of each service; 0: program may still be there
    probed_at: float = 0.0
    name_hash: int = 0
    slot_start: float = None  # during slow start: the start of one of this controller's send slots

    def recount(self):
        """Recalculates the figures that depend on `jobs`.

        One pass over all launches of the host, since it runs at each change of one of them.
        """
        starting = tazes = 0
        due, requested_cores, requested_memory, used_cores, used_memory = NEVER, 0, 0, 0, 0
        for tracked in self.jobs.values():
            job = tracked.job
            starting += not tracked.started
            tazes += tracked.service.taz
            if not tracked.confirmed and tracked.answer_due < due:
                due = tracked.answer_due
            cores, memory = tracked.usage()
            requested_cores, requested_memory = requested_cores + job.cores, requested_memory + job.memory
            used_cores, used_memory = used_cores + cores, used_memory + memory
        self.starting, self.tazes, self.answer_due = starting, tazes, due
        self.own_load, self.total_load = (requested_cores, requested_memory, used_cores, used_memory), None


class Controller:
    """One controller's scheduling decisions; see the module's description for how it is driven."""

    def __init__(self, settings, seed, now):
        """`seed` is for choices among equal hosts; `now` is in seconds, on the clock of all later calls."""
        self.settings, self.random, list_lag = (
            settings,
            Random(seed),
            LIST_LAG_ALLOWANCE * (1 - 1 / settings.controllers),
        )
        self.now = self.created_at = self.list_received_at = self.averages_due = self.last_arrival = now
        self.hosts, self.tracked_jobs, self.services, self.waiting = {}, {}, {}, {}
        self.held_cores = {customer: 0.0 for customer in settings.quotas}
        self.offering_estimates = {
            name: Service(DEFAULT_CORES_USAGE, DEFAULT_MEMORY_USAGE) for name in settings.offerings
        }
        self.planned_cores = (
            min((o.degradation_start for o in settings.offerings.values()), default=1.0) + CORES_MARGIN
        )
        self.arrival_gap = 1.0  # seconds between jobs arriving here, as a moving average
        self.capacity_limits = settings.accepts_cores, settings.accepts_memory, list_lag, self.planned_cores
        self.usage_ratio, self.mean_requested = (DEFAULT_CORES_USAGE, DEFAULT_CORES_USAGE), (0.5, 0.5)
        self.serving_hosts = self.failed_lists = 0  # hosts that accept jobs; failed lists in a row
        # next_slot: start of the earliest later send slot of a host in slow start
        self.capacity_freed, self.next_slot = False, NEVER
        # choices left for jobs as they arrive, and the limit of one scheduling pass
        self.choices_left = self.max_choices = MAX_CHOICES
        # shapes of jobs without a host in the scheduling pass under way; None: no pass is under way
        self.unplaced_shapes = None
        # hosts of kinds that the settings do not name, and the actions to return
        self.unknown_kind_hosts, self.actions = set(), []

    # -- events

    def begin(self):
        """Returns the first actions; call it once, before any event."""
        self.actions = []
        if self.settings.must_subscribe:
            self.subscribe()
            self.set_timer(LIST_SILENCE_MAX, "list")
        self.set_timer(self.settings.slow_start_window, "room")
        return self.actions

    def handle(self, now, event):
        """Processes one event and returns the actions it leads to."""
        self.now, self.actions = now, []
        match event:
            case api.JobArrived(job, uncertain_launch):
                self.job_arrived(job, uncertain_launch)
            case api.MetricReported(job, _, metric, value):
                self.metric_reported(job, metric, value)
            case api.LaunchConfirmed(job):
                self.launch_confirmed(job)
            case api.LaunchEnded(job, _, _, result, reason, closed):
                self.launch_ended(job, result, reason, closed)
            case api.HostsListed(hosts, whole, remembered):
                self.hosts_listed(hosts, whole, remembered)
            case api.ListLost():
                self.failed_lists += 1
                self.actions.append(api.Log(f"list out of reach, time {self.failed_lists} in a row"))
                self.set_timer(
                    min(
                        SUBSCRIBE_RETRY * 2 ** (self.failed_lists - 1), self.settings.subscription_timeout / 2
                    ),
                    "ask",
                )
            case api.JobFound(job, host):
                self.job_found(job, host)
            case api.JobWithdrawn(job):
                self.job_withdrawn(job)
            case api.TimerFired(key):
                self.timer_fired(key)
            case api.HostProbed(host, answered, report):
                self.host_probed(host, answered, report)
        return self.actions

    def schedule_waiting(self, now):
        """Scheduling pass: offers freed capacity to waiting jobs in scheduling order; returns the actions.

        A pass that reaches its limit continues in the next call, for which it sets a timer.
        """
        self.now, self.actions = now, []
        self.choices_left = self.max_choices = min(
            MAX_CHOICES, max(1, MAX_HOST_EVALUATIONS // max(1, len(self.hosts)))
        )
        if self.capacity_freed and self.unplaced_shapes is None:
            self.capacity_freed, self.unplaced_shapes = False, set()
        if self.unplaced_shapes is None:
            return self.actions
        choices = 0
        for tracked in sorted(self.waiting.values(), key=self.scheduling_order):
            shape = (
                tracked.offering.name,
                tracked.job.cores,
                tracked.job.memory,
                tracked.uncertain_launch,
                tracked.offering.spread_level is TopologyLevel.NONE or tracked.job.service,
            )
            if shape in self.unplaced_shapes:
                continue
            if choices == self.max_choices:
                # thousands of sizes, or hundreds of hosts to evaluate, would delay other events: the
                # remaining jobs are left to later passes
                self.set_timer(0.0, "rest")
                return self.actions
            host, choices = self.choose_host(tracked), choices + 1
            if host:
                del self.waiting[tracked.job.id]
                self.resume(tracked, host)
            else:
                self.unplaced_shapes.add(shape)
        self.unplaced_shapes = None
        if self.capacity_freed:  # during this pass
            self.set_timer(0.0, "rest")
        return self.actions

    def set_timer(self, delay, key):
        """Requests a `TimerFired` with `key` after `delay` seconds."""
        self.actions.append(api.Timer(delay, key))

    def track_job(self, job):
        """Registers a job and its service, and creates its lifecycle."""
        offering = self.settings.offerings[job.offering]
        service = self.services.pop(job.service, None)
        if service is None:
            estimate = self.offering_estimates[job.offering]
            service = Service(estimate.cores, estimate.memory, name_hash=crc32(job.service.encode()))
            # bounds the memory where each job names a new service; a service with jobs stays, as its spread
            # would be lost with it
            while len(self.services) >= MAX_SERVICES:
                idle = next((name for name, known in self.services.items() if not known.job_count), None)
                if idle is None:
                    break
                del self.services[idle]
        self.services[job.service] = service
        service.job_count += 1
        tracked = self.tracked_jobs[job.id] = TrackedJob(job, offering, service)
        tracked.lifecycle = self.lifecycle(tracked)
        return tracked

    def forget(self, tracked):
        """Stops tracking a job; no effect if it is no longer tracked."""
        if self.tracked_jobs.pop(tracked.job.id, None):
            tracked.service.job_count -= 1

    def job_arrived(self, job, uncertain_launch):
        """Accepts a new job; `uncertain_launch`: host id and time of an earlier launch that may have run."""
        gap, self.last_arrival = min(self.now - self.last_arrival, PROBE_ROUND_MAX), self.now
        self.arrival_gap += ANSWER_TIME_WEIGHT * (gap - self.arrival_gap)
        # Probes the host that was probed longest ago. At most one probe for each job and no more than the
        # choices of a pass, since finding that host examines all hosts. No probe where a round over all hosts
        # takes so long that its figures are out of date by the end. Drawback: where only a probe would show
        # that a host has recovered.
        if (
            self.choices_left > 0
            and self.settings.may_probe
            and 0 < len(self.hosts) * self.arrival_gap <= PROBE_ROUND_MAX
        ):
            host = min(self.hosts.values(), key=lambda host: (host.entry.mode is Mode.GONE, host.probed_at))
            host.probed_at = self.now
            self.actions.append(api.Probe(host.entry.id))
        tracked = self.track_job(job)
        if uncertain_launch:
            # the host is None if it is no longer listed; then no host can recognize a repeat of the job
            tracked.uncertain_launch = self.hosts.get(uncertain_launch[0]), uncertain_launch[1]
        self.resume(tracked, None)

    def job_found(self, job, host_id):
        """Adopts a job that already runs on a host; ignores unknown hosts, known jobs and invalid sizes."""
        host = self.hosts.get(host_id)
        if host is None or job.id in self.tracked_jobs or not is_valid(job.cores, job.memory):
            return
        tracked = self.track_job(job)
        tracked.ended = tracked.confirmed = tracked.started = True
        self.add_launch(tracked, host)
        if host.others_requested:  # the job was there before, so the lists counted it as another controller's
            host.total_load = None
            host.others_requested = (
                max(0.0, host.others_requested[0] - job.cores),
                max(0.0, host.others_requested[1] - job.memory),
            )

    def job_withdrawn(self, job_id):
        """Ends a job that is no longer owed an answer."""
        tracked = self.tracked_jobs.get(job_id)
        if tracked and not tracked.ended:
            tracked.ended = True
            self.waiting.pop(job_id, None)
            if tracked.host is None:
                self.forget(tracked)

    def timer_fired(self, key):
        """`key` is "room", "ask", "list", "rest" (no effect of its own) or the id of a waiting job."""
        if key == "room":
            self.capacity_freed = True
        elif key == "ask":
            self.subscribe()
        elif key == "list":
            if self.now - self.list_received_at >= LIST_SILENCE_MAX:
                self.subscribe()
            self.set_timer(LIST_SILENCE_MAX, "list")
        elif tracked := self.waiting.pop(key, None):
            self.resume(tracked, None)

    # -- lifecycle of a job

    def lifecycle(self, tracked):
        """Generator that leads a job through its launches; returns the answer, or None where none is owed.

        Yields AWAIT_HOST until it is sent a host (None: the time is up), then that host to launch there,
        until it is sent the launch's result (None: confirmed), then RUNNING.
        """
        while tracked.launches < self.settings.max_launches:
            host = yield AWAIT_HOST
            if host is None:
                break
            result = yield host
            if result is None:
                yield RUNNING
                return None
            if tracked.ended:
                return None
            if result is Result.ERROR and tracked.failed_on is not host:
                break  # it has failed on two hosts, so the job itself is at fault
            if result not in NEVER_RAN:
                tracked.uncertain_launch = tracked.uncertain_launch or (host, tracked.sent_at)
                if tracked.offering.effect is Effect.IRREVERSIBLE:
                    break
        harmless = tracked.uncertain_launch is None or tracked.offering.effect is Effect.REDOABLE
        return api.Reject(tracked.job.id) if harmless else api.WriteOff(tracked.job.id)

    def resume(self, tracked, value):
        """Sends `value` into a job's lifecycle and acts on what it yields, until it has to wait."""
        while True:
            try:
                step = tracked.lifecycle.send(value)
            except StopIteration as stop:
                if stop.value:
                    self.actions.append(stop.value)
                tracked.ended = True
                if tracked.host is None:
                    self.forget(tracked)
                return
            if step is RUNNING:
                tracked.ended = True
                return
            if step is not AWAIT_HOST:
                return self.send_launch(tracked, step)
            if self.now >= tracked.job.expiry - EXPIRY_MARGIN:
                value = None
                continue
            # a lost zone releases hundreds of jobs at once; choosing for all in one step delayed other jobs'
            # answers
            self.choices_left -= 1
            value = self.choose_host(tracked) if self.choices_left >= 0 else None
            if value is None:
                self.capacity_freed |= self.choices_left < 0
                self.waiting[tracked.job.id] = tracked
                self.set_timer(tracked.job.expiry - EXPIRY_MARGIN - self.now, tracked.job.id)
                return

    def scheduling_order(self, tracked):
        """Sort key of waiting jobs: customers within their share first, then by value, then by expiry."""
        customer = tracked.job.customer
        over_share = (
            customer in self.held_cores
            and self.held_cores[customer] > self.settings.quotas[customer] / self.settings.controllers
        )
        return over_share, -tracked.offering.value, tracked.job.expiry

    # -- the design: filter the hosts, keep those that increase F least, take the one with most free capacity

    def choose_host(self, tracked):
        """The host to launch a job on, or None if no host may run it now."""
        if not self.needs_launch(tracked):
            return None
        candidates, now, name, self.next_slot = (
            [],
            self.now,
            (tracked.offering.name, tracked.job.customer),
            NEVER,
        )
        # Hosts that fail this offering's jobs for this customer. Where all hosts do, the cause is elsewhere
        # and none is excluded.
        ejected = [
            host
            for host in self.hosts.values()
            if host.ejections and host.ejections.get(name, (0.0,))[0] > now or host is tracked.failed_on
        ]
        ejected = ejected if len(ejected) < len(self.hosts) else ()
        self.refresh_averages()
        request = tracked.job.cores, tracked.job.memory, *tracked.usage()
        for host in self.hosts.values():
            if host.full_until <= now and host.unresponsive_until <= now and host not in ejected:
                free = self.free_capacity(request, host)
                if free >= 0 and self.host_allowed(tracked, host):
                    candidates.append((self.cost_change(tracked, host), free, host))
        if not candidates:
            if self.next_slot < NEVER:
                self.set_timer(self.next_slot - now, "room")
            return None
        # Hosts with a late answer are used last: they may be overloaded, hung or cut off before any launch
        # there has failed. Also covers hosts that start slowly. Drawback: a single job that is slow to answer
        # also diverts jobs.
        candidates = [
            candidate for candidate in candidates if candidate[2].answer_due > self.now
        ] or candidates
        if self.settings.host_price:
            candidates = with_least_cost(self.fullest_needed(candidates))
        # Affinity: all controllers sample the same few hosts for a service, so its program is there and no
        # host attracts all jobs. Hosts known to run or keep the service are candidates too. Also covers lost
        # programs and restarts of controllers. Drawback: when a service's load surges, its few hosts are
        # filled first.
        service, service_hash = tracked.job.service, tracked.service.name_hash
        candidates.sort(
            key=lambda candidate: (service_hash ^ candidate[2].name_hash) * HASH_MULTIPLIER & 0xFFFFFFFF
        )
        preferred = max(MIN_PREFERRED_HOSTS, len(candidates) // self.settings.controllers)
        candidates = with_least_cost(
            candidates[:preferred] + [c for c in candidates[preferred:] if service in c[2].programs]
        )
        most_free = max(free for _, free, _ in candidates)
        candidates = [
            c for c in candidates if c[1] >= most_free - WARM_TIE_MARGIN and service in c[2].programs
        ] or candidates
        most_free = max(free for _, free, _ in candidates)
        return self.random.choice([host for _, free, host in candidates if free >= most_free - TIE_MARGIN])

    def fullest_needed(self, candidates):
        """The fullest candidates that the load needs.

        With more controllers, which choose from the same delayed figures, more hosts are needed.
        """
        full = self.serving_hosts - len(candidates)
        load = full + len(candidates) - sum(map(itemgetter(1), candidates)) / MEMORY_LIMIT
        needed = max(1, int(load + SPARE_HOSTS * (1 + self.settings.controllers)) - full)
        return sorted(candidates, key=itemgetter(1))[:needed]

    def cost_change(self, tracked, host):
        """Change of F if the job is launched on the host."""
        change = (
            0.0
            if host.jobs
            or host.others_requested
            and host.others_requested[0] > IN_USE_THRESHOLD * host.size.cores
            else HOST_COST
        )
        if tracked.service.taz:
            change -= LONE_TAZ_GAIN * ((host.tazes == 0) - (host.tazes == 1))
        return change

    def free_capacity(self, request, host):
        """Free capacity with the job added, as a share of the host; below 0 if the job does not fit.

        `request` is the job's requested cores, requested memory, cores in use and memory in use.
        """
        requested_cores, requested_memory, used_cores, used_memory = host.total_load or self.sum_load(host)
        (accepts_cores, accepts_memory, list_lag, planned_cores), size = self.capacity_limits, host.size
        left = accepts_cores - (requested_cores + request[0]) / size.cores
        other = accepts_memory - (requested_memory + request[1]) / size.memory
        left = (left if left < other else other) + list_lag  # min() would cost more than the sums
        other = planned_cores - (used_cores + request[2]) / size.cores
        left = left if left < other else other
        other = MEMORY_LIMIT - (used_memory + request[3]) / size.memory
        left = left if left < other else other
        return max(0.0, left - START_PENALTY * host.starting) if left >= 0 else -1.0

    def sum_load(self, host):
        """Recalculates and returns the host's total load: this controller's and the others'."""
        own, requested, used = (
            host.own_load,
            self.requested_by_others(host),
            host.others_usage or self.used_by_others(host),
        )
        host.total_load = own[0] + requested[0], own[1] + requested[1], own[2] + used[0], own[3] + used[1]
        return host.total_load

    def refresh_averages(self):
        """Updates the averages over all hosts, at most every AVERAGES_INTERVAL seconds.

        They are what others request on average, and the share of requests that is in use.
        """
        if self.now < self.averages_due:
            return
        self.averages_due = self.now + AVERAGES_INTERVAL
        hosts = self.hosts.values()
        for host in hosts:
            host.total_load = None  # the averages below replace what is not known of a host
        own = [sum(host.own_load[i] for host in hosts if host.jobs) for i in range(4)]
        self.usage_ratio = [
            (own[i + 2] + PRIOR_WEIGHT * DEFAULT_CORES_USAGE) / (own[i] + PRIOR_WEIGHT) for i in (0, 1)
        ]
        reported = [host for host in hosts if host.others_requested]
        if reported:
            # bounded by what a host accepts, so that one host's wrong figure does not dominate
            settings = self.settings
            self.mean_requested = (
                sum(
                    min(settings.accepts_cores, host.others_requested[0] / host.size.cores)
                    for host in reported
                )
                / len(reported),
                sum(
                    min(settings.accepts_memory, host.others_requested[1] / host.size.memory)
                    for host in reported
                )
                / len(reported),
            )

    def requested_by_others(self, host):
        """Cores and memory that others' jobs request on the host; the average where that is not known."""
        return host.others_requested or (
            self.mean_requested[0] * host.size.cores,
            self.mean_requested[1] * host.size.memory,
        )

    def used_by_others(self, host):
        """Cores and memory that others use, estimated with the usage ratio of this controller's own jobs."""
        requested = self.requested_by_others(host)
        return requested[0] * self.usage_ratio[0], requested[1] * self.usage_ratio[1]

    # -- launch rules: each launch is checked here, and each rule is enforced here

    def needs_launch(self, tracked):
        """Whether the job is owed an answer, has no launch out and has time left."""
        return not (tracked.ended or tracked.host or self.now >= tracked.job.expiry - EXPIRY_MARGIN)

    def launch_allowed(self, tracked, host):
        """Whether the job may be launched on the host now."""
        return self.needs_launch(tracked) and self.host_allowed(tracked, host)

    def host_allowed(self, tracked, host):
        """Whether the rules allow the host for the job: mode, kind, repeats, slow start and spread."""
        entry, offering = host.entry, tracked.offering
        if entry.mode is not Mode.SERVING or (offering.kind and entry.kind != offering.kind):
            return False
        if len(host.jobs) >= MAX_ENTRIES_PER_HOST:  # jobs with tiny requests; each slows down every recount
            return False
        if tracked.uncertain_launch and offering.effect is not Effect.REDOABLE:
            first = tracked.uncertain_launch[0]
            if (
                offering.effect is Effect.IRREVERSIBLE
                or first is None
                or self.now >= dedup_expires_at(tracked)
                or (domain_of(offering.dedup_level, first) != domain_of(offering.dedup_level, host))
            ):
                return False
        if entry.booted and self.now < entry.booted + self.settings.slow_start_duration:
            # launches that this controller sent there before its own restart are not known
            if self.now < self.created_at + self.settings.slow_start_window:
                return False
            window, part = (
                self.settings.slow_start_window * SLOW_START_WINDOW_FACTOR,
                self.settings.slow_start_limit * SLOW_START_SHARE / self.settings.controllers,
            )
            # less than one launch a window: one each, in slots offset at random, or all would send at once
            if part < 1.0 and host.slot_start is None:
                host.slot_start = self.random.uniform(0.0, window / part)
            since = 0.0 if host.slot_start is None else (self.now - host.slot_start) % (window / part)
            while host.send_times and host.send_times[0] <= self.now - window:
                host.send_times.popleft()
            if since >= SLOT_SHARE * window or len(host.send_times) + 1 > max(1.0, part):
                if part < 1.0:
                    self.next_slot = min(
                        self.next_slot, self.now + window / part - since + SLOT_SHARE * window / 2
                    )
                return False
        if offering.spread_level is not TopologyLevel.NONE:
            if (
                tracked.service.launches_in.get(domain_of(offering.spread_level, host), 0)
                >= offering.max_per_domain
            ):
                return False
        return True

    def send_launch(self, tracked, host):
        """Launches the job on the host. Raises AssertionError if the launch rules forbid it."""
        if not self.launch_allowed(tracked, host):
            raise AssertionError("the launch rules forbid this launch")
        timeout = tracked.job.expiry - EXPIRY_MARGIN - self.now
        late = max(
            LATE_ANSWER_MIN,
            LATE_ANSWER_FACTOR * self.offering_estimates[tracked.offering.name].answer_time,
        )
        # an acceptance takes little time, so a launch that a host is slow to accept is cancelled early; to
        # cancel a start would waste the work done
        if not self.settings.starts_confirmed:
            timeout = min(timeout, ACCEPTANCE_TIMEOUT_SHARE * tracked.offering.expiry)
            if tracked.offering.effect is Effect.REDOABLE:
                timeout = min(timeout, late)
        tracked.launches += 1
        tracked.sent_at, tracked.started = self.now, False
        tracked.answer_due = self.now + late
        host.send_times.append(self.now)
        self.add_launch(tracked, host)
        self.actions.append(
            api.Launch(tracked.job.id, host.entry.id, timeout, dedup_expires_at(tracked) - self.now)
        )

    def add_launch(self, tracked, host):
        """Counts a job as launched on a host: for its spread, its customer's share and the host's load."""
        tracked.host, tracked.domain = host, domain_of(tracked.offering.spread_level, host)
        tracked.service.launches_in[tracked.domain] = tracked.service.launches_in.get(tracked.domain, 0) + 1
        host.jobs[tracked.job.id] = tracked
        host.programs[tracked.job.service] = host.programs.pop(tracked.job.service, 0) + 1
        if tracked.job.customer in self.held_cores:
            self.held_cores[tracked.job.customer] += tracked.job.cores
        host.recount()

    def remove_launch(self, tracked):
        """Reverses `add_launch` for a launch that has ended; returns its host."""
        host, tracked.host = tracked.host, None
        tracked.service.launches_in[tracked.domain] -= 1
        del host.jobs[tracked.job.id]
        if tracked.job.customer in self.held_cores:
            self.held_cores[tracked.job.customer] -= tracked.job.cores
        host.programs[tracked.job.service] -= 1
        for service in [service for service, count in host.programs.items() if not count][
            :-MAX_IDLE_PROGRAMS
        ]:
            del host.programs[service]
        host.recount()
        self.capacity_freed = True
        return host

    # -- what hosts answer

    def launch_confirmed(self, job_id):
        """The host has accepted the job or, with `starts_confirmed`, started it."""
        tracked = self.tracked_jobs.get(job_id)
        if tracked is None or tracked.host is None or tracked.confirmed:
            return
        tracked.confirmed = True
        self.record_answer_time(tracked)
        tracked.host.recount()
        tracked.started = tracked.started or self.settings.starts_confirmed
        tracked.host.missed_answers = tracked.host.refusals = 0
        if tracked.host.ejections:
            tracked.host.ejections.pop((tracked.offering.name, tracked.job.customer), None)
        if tracked.failed_on and tracked.failed_on is not tracked.host:
            self.eject(tracked, tracked.failed_on)  # the job runs elsewhere, so that host was at fault
        if not tracked.ended:
            self.resume(tracked, None)

    def record_answer_time(self, tracked):
        """Updates the offering's usual time to answer; a launch that timed out took at least that long."""
        estimate = self.offering_estimates[tracked.offering.name]
        estimate.answer_time += ANSWER_TIME_WEIGHT * (self.now - tracked.sent_at - estimate.answer_time)

    def launch_ended(self, job_id, result, reason, closed):
        """Handles the outcome of a launch; `closed`: the job is no longer owed an answer."""
        tracked = self.tracked_jobs.get(job_id)
        if tracked is None or tracked.host is None:
            return
        host = self.remove_launch(tracked)
        if result is Result.SILENT and not tracked.confirmed:
            self.record_answer_time(tracked)
        if result in (Result.SILENT, Result.UNREACHABLE) or result is Result.CUT and reason is Reason.UNTOLD:
            self.mark_unresponsive(host)
        elif result is Result.TURNED_AWAY or reason is Reason.EVICTED:
            host.missed_answers = 0
            host.full_until = self.backoff_until(
                host, "refuses", REFUSAL_BACKOFF, REFUSAL_BACKOFF_MAX, host.refusals
            )
            host.refusals += 1
            if not tracked.confirmed and not host.programs.get(tracked.job.service):
                host.programs.pop(tracked.job.service, None)
        elif result is Result.ERROR:
            tracked.failed_on = tracked.failed_on or host
            # an irreversible job is not launched again, so no other host can show whether the job itself
            # failed
            if tracked.offering.effect is Effect.IRREVERSIBLE:
                self.eject(tracked, host)
        tracked.ended = tracked.ended or closed
        if tracked.ended or tracked.confirmed:
            self.forget(tracked)
        else:
            self.resume(tracked, result)

    def eject(self, tracked, host):
        """Excludes the host for the job's offering and customer for a while.

        A host that fails one kind of job quickly would otherwise seem to have the most free capacity. Covers
        any fault of one host with one offering. Drawback: unused capacity if the fault ends long before the
        ejection. Ejections are per customer: otherwise one customer's jobs that fail everywhere would eject
        the hosts for all others.
        """
        name = tracked.offering.name, tracked.job.customer
        count = host.ejections.get(name, (0.0, 0))[1]
        until = self.backoff_until(host, f"errs on {name[0]}", FAILURE_BACKOFF, EJECTION_MAX, count)
        if len(host.ejections) >= MAX_ENTRIES_PER_HOST:  # a new customer with each job
            host.ejections = {
                known: ejection for known, ejection in host.ejections.items() if ejection[0] > self.now
            }
        host.ejections[name] = (until, count + 1)

    def mark_unresponsive(self, host):
        """Backoff after a missing answer; answers missing at the same time count once."""
        if host.unresponsive_until > self.now:
            return
        host.unresponsive_until = self.backoff_until(
            host, "gives no answer", FAILURE_BACKOFF, UNRESPONSIVE_BACKOFF_MAX, host.missed_answers
        )
        host.missed_answers += 1

    def backoff_until(self, host, problem, first, limit, count):
        """End of the backoff after `count` earlier failures; waiting jobs are reconsidered then.

        The backoff is `first` seconds, doubled with each earlier failure, up to `limit`. Logs the second
        failure in a row.
        """
        if count == 1:
            self.actions.append(api.Log(f"{host.entry.id} {problem}, twice in a row"))
        backoff = min(first * 2**count, limit)
        self.set_timer(backoff, "room")
        return self.now + backoff

    def metric_reported(self, job_id, metric, value):
        """A host's report on a running job; reports on unknown jobs and invalid values are ignored."""
        tracked = self.tracked_jobs.get(job_id)
        if tracked is None or tracked.host is None or not is_valid(value):
            return
        job = tracked.job
        if metric == "started":
            tracked.started = True
            tracked.host.recount()
        elif metric in ("cores", "memory"):
            # One job's usage also updates the estimates of its service and of its offering. The bounds keep a
            # tiny request, or a figure beyond the host's size, from distorting them.
            requested, value = getattr(job, metric), min(value, getattr(tracked.host.size, metric))
            setattr(tracked, metric, value)
            value = min(value, MAX_USAGE_RATIO * requested)
            for estimate, weight in (
                (tracked.service, JOB_USAGE_WEIGHT),
                (self.offering_estimates[job.offering], JOB_USAGE_WEIGHT / 10),
            ):
                old = getattr(estimate, metric)
                setattr(estimate, metric, old + weight * (value / requested - old))
            service = tracked.service
            service.taz = service.cores >= (TURTLE_THRESHOLD if service.taz else TAZ_THRESHOLD)
            tracked.host.recount()
        elif metric in ("served", "host_memory"):
            self.pressure_reported(tracked, tracked.host, metric, value)

    def pressure_reported(self, tracked, host, metric, value):
        """Raises the estimate of others' usage on a host that serves poorly or runs out of memory.

        `value` is the share of service a job gets, or the share of the host's memory in use, whoever uses it.
        """
        size, own = host.size, host.own_load
        self.refresh_averages()
        cores, memory = host.others_usage or self.used_by_others(host)
        if metric == "served":
            busy = tracked.offering.degradation_start + tracked.offering.degradation_span * (1 - value)
            cores = max(cores, busy * size.cores - own[2])
        else:
            memory = max(memory, value * size.memory - own[3])
        host.others_usage, host.total_load = (cores, memory), None
        if metric == "served" and value < POOR_SERVICE_THRESHOLD:
            # Catches overload that the planned usage does not show, and hosts that are slow or half dead.
            # Drawback: where all hosts serve poorly, jobs wait that would still have earned a little.
            host.full_until = self.backoff_until(
                host, "serves poorly", POOR_SERVICE_BACKOFF, POOR_SERVICE_BACKOFF, 0
            )

    def host_probed(self, host_id, answered, report):
        """The outcome of a probe: ends the host's backoff, or starts one where it did not answer."""
        host = self.hosts.get(host_id)
        if host is None:
            return
        if not answered:
            self.mark_unresponsive(host)
            return
        host.missed_answers, host.unresponsive_until = 0, min(host.unresponsive_until, self.now)
        if is_valid(report.get("idle_cores"), report.get("idle_memory"), minimum=-NEVER):
            own, host.probed_usage_at = host.own_load, self.now
            host.others_usage = blend(
                host.others_usage,
                (
                    host.size.cores - report["idle_cores"] - own[2],
                    host.size.memory - report["idle_memory"] - own[3],
                ),
            )
            host.total_load = None
        self.capacity_freed = True

    # -- which hosts there are

    def subscribe(self):
        """Requests the host list, and its changes from then on."""
        self.list_received_at = self.now
        self.actions.append(api.Subscribe())

    def hosts_listed(self, entries, whole, remembered):
        """Applies a list; a whole one also removes the hosts it does not name. `remembered`: not fresh."""
        self.failed_lists = self.failed_lists if remembered else 0
        self.list_received_at = self.now
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
        self.capacity_freed = True

    def update_host(self, entry):
        """Applies a list entry; a host of a kind without settings is left out and logged once."""
        host = self.hosts.get(entry.id)
        if host is None:
            if entry.kind not in self.settings.kinds:  # its capacity is not known
                if entry.id not in self.unknown_kind_hosts and len(self.unknown_kind_hosts) < MAX_SERVICES:
                    self.unknown_kind_hosts.add(entry.id)
                    text = f"{entry.id} is left out: no setting names its kind {entry.kind!r}"
                    self.actions.append(api.Log(text))
                return
            host = self.hosts[entry.id] = Host(
                entry, self.settings.kinds[entry.kind], name_hash=crc32(entry.id.encode())
            )
        if entry.booted > host.entry.booted:
            host.programs = {service: count for service, count in host.programs.items() if count}
            host.others_requested = host.others_usage = host.slot_start = None
        host.entry, host.total_load = entry, None
        if entry.mode is not Mode.GONE and is_valid(
            entry.free_cores, entry.free_memory or 0.0, minimum=-NEVER
        ):
            own = host.own_load
            if host.others_usage and host.probed_usage_at < self.now - PROBE_VALIDITY:
                host.others_usage = blend(host.others_usage, self.used_by_others(host))
            # replaced rather than averaged: a list may contain only changes, so old figures would never fade
            host.others_requested = (
                max(0.0, host.size.cores - entry.free_cores - own[0]),
                max(0.0, host.size.memory - (entry.free_memory or 0.0) - own[1]),
            )


def is_valid(*figures, minimum=0.0):
    """Whether all figures are finite numbers of at least `minimum`.

    Keeps one host's invalid report out of the sums over all hosts.
    """
    return all(figure is not None and minimum <= figure < NEVER and figure != -NEVER for figure in figures)


def dedup_expires_at(tracked):
    """When hosts stop recognizing repeats of a labelled job that may have run; infinity for any other job."""
    labelled = tracked.uncertain_launch and tracked.offering.effect is Effect.LABELLED
    return tracked.uncertain_launch[1] + tracked.offering.dedup_window - EXPIRY_MARGIN if labelled else NEVER


def with_least_cost(candidates):
    """The candidates with the least change of F."""
    least = min(candidate[0] for candidate in candidates)
    return [candidate for candidate in candidates if candidate[0] == least]


def blend(old, new):
    """Moving average of two figures; the new ones where there are no old ones."""
    return (
        new if old is None else tuple(a + HOST_USAGE_WEIGHT * (b - a) for a, b in zip(old, new, strict=False))
    )


def domain_of(level, host):
    """The domain of that topology level that a host is in."""
    entry = host.entry
    return {
        TopologyLevel.ALL: "all",
        TopologyLevel.ZONE: entry.zone,
        TopologyLevel.CELL: entry.cell,
    }.get(level, entry.id)
