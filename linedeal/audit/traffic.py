"""Reconstructs from recorded bytes what each side sent and received, and when.

All times are seconds on the recorder's clock; `NEVER` is the time of an event that is not in the record.
"""

import base64
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field

from linedeal.lab.record import Entry
from linedeal.protocol import FrameError, FrameReader, pb

NEVER = float("inf")


@dataclass(slots=True, eq=False)
class ObservedLaunch:
    """A launch offered to a host, and what the host and the controller reported about it."""

    controller: str
    life: int  # incarnation of the controller that sent it
    number: int
    job: pb.JobSpec
    host: str
    t: float  # when the offer passed the recorder
    wait: float  # seconds that the controller waits for an acceptance
    link: int  # recorder's number of the link that carried the offer
    boot: int  # boot that the host named in its welcome on that link
    held_back: bool  # a network cut delayed the offer, which may not have reached the host
    link_end: float = NEVER
    accepted: float = NEVER
    started: float = NEVER
    refused: float = NEVER
    ended: float = NEVER
    end_sent: float = NEVER  # when the host had sent that it ended; before `ended` if a cut held it
    stopped: float = NEVER
    lost: float = NEVER  # first later welcome of another boot of the host
    absent: float = NEVER  # first later welcome of the same boot that does not name it: it never ran
    # last link on which the launch was known: the one that carried the offer, or whose welcome named it
    reporting_link: object = None
    # end of that link: until the next link, no report about the launch reaches its controller
    unreported_since: float = NEVER
    outcome: int = 0
    usage_reports: list[tuple[float, float]] = field(default_factory=list)  # time, cores in use

    @property
    def never_ran(self) -> float:
        """Time from which the record proves that the launch did not run; `NEVER` if there is no proof."""
        return min(self.refused if self.refused < self.started else NEVER, self.absent)


@dataclass(slots=True, eq=False)
class ObservedJob:
    """A job that a controller accepted, its launches, and the verdicts sent to its owner."""

    id: str
    controller: str
    offering: str
    customer: str
    cores: float
    key: str
    link: int  # id() of the observed client link
    taken: float  # when the controller acknowledged it
    wait: float  # seconds that the owner allows for an answer; 0: the offering's expiry applies
    answers: list[tuple[float, int]] = field(default_factory=list)  # time, verdict
    left: float = NEVER  # when its owner disconnected or withdrew it; for jobs without a session
    session: str = ""
    status_verdicts: list[tuple[float, int]] = field(default_factory=list)  # verdicts in status messages
    began: float = 0.0  # when its expiry starts to count, if later than its acceptance
    over: bool = False  # its owner has released it, so the session may use the key again
    on_hold: bool = False  # held by its owner
    launches: list[ObservedLaunch] = field(default_factory=list)

    @property
    def reported_verdicts(self) -> list[tuple[float, int]]:
        """Time and verdict of each answer and each status message that its owner received, in order."""
        return sorted(self.answers + self.status_verdicts)


@dataclass(slots=True, eq=False)
class HostView:
    """What one incarnation of a controller had been informed of about one host."""

    modes: list[tuple[float, int]] = field(default_factory=list)  # time, mode
    boots: dict[int, float] = field(default_factory=dict)  # by boot: when it was first named


@dataclass(slots=True, eq=False)
class ObservedOrder:
    """An order of a duty's owner, and the reply to it."""

    t: float  # when it passed the recorder
    held: bool  # a network cut delayed it
    to: str
    owner: str
    duty: str
    token: int
    campaign: str
    kind: int
    host: str
    boot: int
    answered_at: float = NEVER
    done: bool = False
    highest_token: int = 0  # highest fencing token that the receiver had admitted
    answering_boot: int = 0  # boot of the host that replied
    drained: bool = False  # the host replied that it drains and holds no irreversible job

    @property
    def earliest_execution(self) -> float:
        """The earliest time at which the order can have been executed."""
        return self.t if not self.held else self.answered_at


@dataclass(slots=True, eq=False)
class ObservedChange:
    """A requested change of one of the council's registers."""

    t: float
    key: str
    body: bytes
    made: float = NEVER  # when the council's confirmation passed the recorder


@dataclass(slots=True)
class ObservedLink:
    """One connection, and the state needed to interpret its messages."""

    to: str
    sent: FrameReader = field(default_factory=FrameReader)  # towards `to`
    received: FrameReader = field(default_factory=FrameReader)  # from `to`
    hello: object = None
    opened: float = 0.0
    boot: int = 0
    requests: dict[str, deque] = field(default_factory=dict)  # submissions without a reply, by key
    launches: list[ObservedLaunch] = field(default_factory=list)  # offered on this link
    # those offered on this link, and those that its welcome named
    known_launches: list[ObservedLaunch] = field(default_factory=list)
    # orders or changes sent on this link that have no reply yet, by number
    pending: dict[int, object] = field(default_factory=dict)
    broken: bool = False  # a frame could not be decoded: the rest is skipped


@dataclass(slots=True)
class Traffic:
    """What the rules and the duties' claims are checked against."""

    jobs: dict[str, ObservedJob] = field(default_factory=dict)
    launches: dict[tuple, ObservedLaunch] = field(default_factory=dict)  # by controller, incarnation, number
    host_views: dict[tuple, HostView] = field(default_factory=dict)  # by controller, incarnation, host
    # links of a session as [opened, ended, id of the link], by controller and session
    sessions: dict[tuple[str, str], list[list[float]]] = field(default_factory=dict)
    places: dict[str, tuple[str, int]] = field(default_factory=dict)  # zone and cell, by host
    booted: dict[tuple[str, int], float] = field(default_factory=dict)  # by host and boot
    marks: list[tuple[float, str, str]] = field(default_factory=list)  # injected faults: time, what, who
    # launches of an earlier incarnation that a welcome named: time of the welcome, the controller and its new
    # incarnation, and the launch
    recovered: list[tuple] = field(default_factory=list)
    turned_away: int = 0
    # identifiers used twice: time, number of the rule, text
    duplicates: list[tuple[float, int, str]] = field(default_factory=list)
    orders: list[ObservedOrder] = field(default_factory=list)
    changes: list[ObservedChange] = field(default_factory=list)
    bad_frames: list[tuple[float, str, str]] = field(default_factory=list)
    end: float = 0.0


def reconstruct_traffic(entries: Iterable[Entry]) -> Traffic:
    """Reads a whole record. A frame that cannot be decoded goes to `bad_frames`; then its link is skipped."""
    reader = Reader()
    for entry in entries:
        reader.process(entry)
    # Launches are assigned to jobs last: an offer may pass the recorder before "taken" does.
    for launch in reader.traffic.launches.values():
        job = reader.traffic.jobs.get(launch.job.id)
        if job is not None:
            job.launches.append(launch)
    return reader.traffic


class Reader:
    """Processes the entries of a record in order and fills `traffic`."""

    def __init__(self):
        """Starts without any link."""
        self.traffic = Traffic()
        self.links: dict[int, ObservedLink] = {}
        self.keys: dict[tuple[str, str, str], str] = {}  # id of the job, by controller, session and key
        # hosts that discovery has named, by controller and incarnation
        self.listed_hosts: dict[tuple, set[str]] = {}

    def process(self, entry: Entry) -> None:
        """Interprets one entry. Entries of a link whose frames cannot be decoded are skipped."""
        self.traffic.end = max(self.traffic.end, entry.t)
        if entry.e == "mark":
            self.traffic.marks.append((entry.t, entry.what, entry.who))
        elif entry.e == "open":
            self.links[entry.link] = ObservedLink(entry.to, opened=entry.t)
        elif entry.e == "end":
            self.record_link_end(entry.t, self.links[entry.link])
        else:
            link = self.links[entry.link]
            if link.broken:
                return
            reader = link.sent if entry.d == ">" else link.received
            try:
                for message in reader.feed(base64.b64decode(entry.b)):
                    if message is not None:
                        self.dispatch(entry, link, message)
            except FrameError as error:
                link.broken = True
                self.traffic.bad_frames.append((entry.t, link.to, str(error)))

    def record_link_end(self, t, link) -> None:
        """Records the end of a link for its launches, its session or its client's jobs."""
        for launch in link.launches:
            launch.link_end = min(launch.link_end, t)
        for launch in link.known_launches:
            if launch.reporting_link is link:
                launch.unreported_since = min(launch.unreported_since, t)
        if link.hello is None or link.hello.role != pb.CLIENT:
            return
        if link.hello.session:  # its jobs continue, but without a link no answer can be delivered
            for span in self.traffic.sessions.get((link.to, link.hello.session), ()):
                if span[2] == id(link):
                    span[1] = min(span[1], t)
            return
        for job in self.traffic.jobs.values():
            if job.link == id(link):
                job.left = min(job.left, t)

    def dispatch(self, entry, link, message) -> None:
        """Dispatches a message by the role that the link's hello named, its direction and its type."""
        if isinstance(message, pb.Hello) and entry.d == ">":
            link.hello = message
            if message.role == pb.CLIENT and message.session:
                self.traffic.sessions.setdefault((link.to, message.session), []).append(
                    [entry.t, NEVER, id(link)]
                )
        elif link.hello is not None:
            handler = HANDLERS.get((link.hello.role, entry.d, type(message)))
            if handler is not None:
                handler(self, entry, link, message)

    # -- client and controller

    def submit(self, entry, link, message) -> None:
        """A client submits a job."""
        # Each submission gets one reply, "taken" or "turned away", in order, also where several share a key.
        link.requests.setdefault(message.key, deque()).append(message)

    def taken(self, entry, link, message) -> None:
        """The controller accepts a job, or confirms a repeated submission of a session's job."""
        request, known = link.requests[message.key].popleft(), self.traffic.jobs.get(message.job)
        if known is not None:
            if not known.session or (known.session, known.key) != (link.hello.session, message.key):
                self.traffic.duplicates.append((entry.t, 1, f"{message.job} was taken twice"))
            return  # a repeated submission of the same session and key
        other = self.keys.get((link.to, link.hello.session, message.key)) if link.hello.session else None
        if other is not None and not self.traffic.jobs[other].over:
            self.traffic.duplicates.append(
                (
                    entry.t,
                    1,
                    f"key {message.key} of session {link.hello.session} was taken as "
                    f"{other} and as {message.job}",
                )
            )
        self.keys[link.to, link.hello.session, message.key] = message.job
        job = self.traffic.jobs[message.job] = ObservedJob(
            message.job,
            link.to,
            request.job.offering,
            request.job.customer,
            request.job.cores,
            message.key,
            id(link),
            entry.t,
            request.wait,
            session=link.hello.session,
            on_hold=request.hold,
        )
        if request.start_in:
            job.began = entry.t + request.start_in

    def standing(self, entry, link, message) -> None:
        """The controller reports a job's stage; most stages imply a verdict."""
        job = self.traffic.jobs.get(message.job.id)
        if job is not None and message.stage in STAGE_VERDICTS:
            job.status_verdicts.append((entry.t, STAGE_VERDICTS[message.stage]))

    def ordered(self, entry, link, message) -> None:
        """The controller confirms an owner's order: a hold or a release moves the job's due time."""
        job = self.traffic.jobs.get(self.keys.get((link.to, link.hello.session, message.key), ""))
        if job is not None and message.fault == pb.FAULT_NONE:
            if message.kind == pb.HOLD:
                job.on_hold = True
            elif message.kind == pb.RELEASE:
                job.on_hold = False
                job.began = entry.t

    def forget(self, entry, link, message) -> None:
        """An owner releases a job: its key may be used again."""
        job = self.traffic.jobs.get(self.keys.get((link.to, link.hello.session, message.key), ""))
        if job is not None:
            job.over = True

    def turned_away(self, entry, link, message) -> None:
        """The controller declines a submission."""
        self.traffic.turned_away += 1
        if link.requests.get(message.key):
            link.requests[message.key].popleft()

    def answer(self, entry, link, message) -> None:
        """The controller answers a job."""
        job = self.traffic.jobs.get(message.job)
        if job is not None:
            job.answers.append((entry.t, message.verdict))

    def take_back(self, entry, link, message) -> None:
        """A client withdraws a job that has no answer yet."""
        for job in self.traffic.jobs.values():
            if job.link == id(link) and job.key == message.key and not job.answers:
                job.left = min(job.left, entry.t)

    # -- controller and host

    def find_launch(self, launch) -> ObservedLaunch | None:
        """Returns the launch with that id, or None if its offer was not recorded."""
        return self.traffic.launches.get((launch.controller, launch.life, launch.number))

    def offer(self, entry, link, message) -> None:
        """A controller offers a launch to a host."""
        launch = ObservedLaunch(
            message.launch.controller,
            message.launch.life,
            message.launch.number,
            message.job,
            link.to,
            entry.t,
            message.wait,
            entry.link,
            link.boot,
            entry.held,
        )
        key = launch.controller, launch.life, launch.number
        if key in self.traffic.launches:
            self.traffic.duplicates.append(
                (
                    entry.t,
                    2,
                    f"launch {key[1]}.{key[2]} of {key[0]} was sent twice, to "
                    f"{self.traffic.launches[key].host} and {launch.host}",
                )
            )
        self.traffic.launches[key] = launch
        link.launches.append(launch)
        self.set_reporting_link(link, launch)

    def set_reporting_link(self, link, launch) -> None:
        """Records that from now on the launch's controller receives reports about it on this link."""
        link.known_launches.append(launch)
        launch.reporting_link, launch.unreported_since = link, NEVER

    def use(self, entry, link, message) -> None:
        """A host reports the cores that a launch uses."""
        launch = self.find_launch(message.launch)
        if launch is not None:
            launch.usage_reports.append((entry.t, message.cores))

    def welcome(self, entry, link, message) -> None:
        """A host sends its inventory to a controller: records what it proves of each earlier launch."""
        link.boot = message.boot
        name, life, host = link.hello.name, link.hello.life, link.to
        self.record_boot(host, message.boot, entry.t, message.age)
        view = self.traffic.host_views.setdefault((name, life, host), HostView())
        view.boots.setdefault(message.boot, entry.t)
        held = {(item.launch.life, item.launch.number): item for item in message.held}
        for launch in self.traffic.launches.values():
            if launch.controller != name or launch.host != host:
                continue
            item = held.get((launch.life, launch.number))
            if item is not None:
                self.set_reporting_link(link, launch)
            if item is None and launch.link != entry.link:
                if message.boot != launch.boot:
                    launch.lost = min(launch.lost, entry.t)
                elif not message.forgot and launch.life <= life:
                    # The host registers the incarnation before it sends its inventory, and accepts nothing of
                    # earlier ones from then on: a launch of theirs that it omits was never held there.
                    launch.absent = min(launch.absent, entry.t)
            elif item is not None and item.phase == pb.OVER:
                launch.ended, launch.outcome = min(launch.ended, entry.t), item.outcome
                launch.end_sent = min(launch.end_sent, sent_at(entry))
            elif item is not None and item.phase in (pb.ACCEPTED, pb.RUNNING):
                launch.accepted = min(launch.accepted, entry.t)
                if item.phase == pb.RUNNING:
                    launch.started = min(launch.started, entry.t)
                if launch.life != life:
                    self.traffic.recovered.append((entry.t, name, life, launch))

    def record_boot(self, host, boot, t, age) -> None:
        """Records when a host booted, by the earliest estimate. `age`: seconds since the boot, at `t`."""
        known = self.traffic.booted.get((host, boot), NEVER)
        self.traffic.booted[host, boot] = min(known, t - age)

    # -- discovery

    def host_list(self, entry, link, message) -> None:
        """Discovery sends hosts; known hosts that are missing in a complete list are gone."""
        name, life = link.hello.name, link.hello.life
        known = self.listed_hosts.setdefault((name, life), set())
        for item in message.hosts:
            self.traffic.places[item.id] = (item.zone, item.cell)
            self.record_boot(item.id, item.boot, entry.t, item.age)
            view = self.traffic.host_views.setdefault((name, life, item.id), HostView())
            view.modes.append((entry.t, item.mode))
            view.boots.setdefault(item.boot, entry.t)
            known.add(item.id)
        if message.whole:
            for host in known - {item.id for item in message.hosts}:
                self.traffic.host_views[name, life, host].modes.append((entry.t, pb.GONE))

    # -- duties

    def order(self, entry, link, message) -> None:
        """A duty's owner sends an order to a host or to the operators' tool."""
        order = ObservedOrder(
            entry.t,
            entry.held,
            link.to,
            link.hello.name,
            message.duty,
            message.token,
            message.campaign,
            message.kind,
            message.host,
            message.boot,
        )
        self.traffic.orders.append(order)
        link.pending[message.number] = order

    def order_reply(self, entry, link, message) -> None:
        """A host or the tool replies to an order."""
        order = link.pending.pop(message.number, None)
        if order is not None:
            order.answered_at, order.done, order.highest_token = entry.t, message.done, message.token
            order.answering_boot, order.drained = message.boot, message.draining and not message.irreversible

    def council_ask(self, entry, link, message) -> None:
        """A controller requests a change of a register; those of plan and campaign are recorded."""
        if message.kind == pb.CHANGE and message.key in (PLAN, CAMPAIGN):
            change = ObservedChange(entry.t, message.key, message.body)
            self.traffic.changes.append(change)
            link.pending[message.number] = change

    def council_reply(self, entry, link, message) -> None:
        """The council replies to a request."""
        change = link.pending.pop(message.number, None)
        if change is not None and message.outcome == "DONE":
            change.made = entry.t


PLAN, CAMPAIGN = "campaign/plan", "duty/campaign"  # registers, as docs/protocol.md names them
# stages that a job reaches only after it has been placed
PLACED_STAGES = (
    pb.STAGE_PLACED,
    pb.STAGE_RUNNING,
    pb.STAGE_DONE,
    pb.STAGE_ERROR,
    pb.STAGE_LOST,
    pb.STAGE_STOPPED,
)
STAGE_VERDICTS = {
    pb.STAGE_REJECTED: pb.REJECTED,
    pb.STAGE_WRITTEN_OFF: pb.WRITTEN_OFF,
    **dict.fromkeys(PLACED_STAGES, pb.PLACED),
}


def sent_at(entry: Entry) -> float:
    """When the listener had sent what an entry has passed on, as far as the recorder knows."""
    return entry.arrived or entry.t


def first_time_of(event):
    """A handler that records when a launch's host, or its controller, first reported that event.

    `event` is the field of `ObservedLaunch` that takes the time.
    """

    def handler(reader, entry, link, message):
        launch = reader.find_launch(message.launch)
        if launch is not None and launch.host == link.to:
            setattr(launch, event, min(getattr(launch, event), entry.t))
            if event == "started":
                launch.accepted = min(launch.accepted, entry.t)
            elif event == "ended":
                launch.outcome = message.outcome
                launch.end_sent = min(launch.end_sent, sent_at(entry))

    return handler


# by the role in the link's hello, the direction (">" towards the listener) and the type of the message
HANDLERS = {
    (pb.CLIENT, ">", pb.Submit): Reader.submit,
    (pb.CLIENT, "<", pb.Taken): Reader.taken,
    (pb.CLIENT, "<", pb.TurnedAway): Reader.turned_away,
    (pb.CLIENT, "<", pb.Answer): Reader.answer,
    (pb.CLIENT, ">", pb.TakeBack): Reader.take_back,
    (pb.CLIENT, "<", pb.Standing): Reader.standing,
    (pb.CLIENT, "<", pb.Ordered): Reader.ordered,
    (pb.CLIENT, ">", pb.Forget): Reader.forget,
    (pb.CLIENT, ">", pb.AnswerSeen): Reader.forget,
    (pb.CONTROLLER, ">", pb.Offer): Reader.offer,
    (pb.CONTROLLER, "<", pb.Welcome): Reader.welcome,
    (pb.CONTROLLER, "<", pb.HostList): Reader.host_list,
    (pb.CONTROLLER, "<", pb.Use): Reader.use,
    (pb.CONTROLLER, "<", pb.Accepted): first_time_of("accepted"),
    (pb.CONTROLLER, "<", pb.Refused): first_time_of("refused"),
    (pb.CONTROLLER, "<", pb.Started): first_time_of("started"),
    (pb.CONTROLLER, "<", pb.Ended): first_time_of("ended"),
    (pb.CONTROLLER, ">", pb.Stop): first_time_of("stopped"),
    (pb.OWNER, ">", pb.DutyOrder): Reader.order,
    (pb.OWNER, "<", pb.DutyTold): Reader.order_reply,
    (pb.CONTROLLER, ">", pb.CouncilAsk): Reader.council_ask,
    (pb.CONTROLLER, "<", pb.CouncilTold): Reader.council_reply,
}
