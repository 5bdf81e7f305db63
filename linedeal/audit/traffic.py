"""From recorded bytes to what each side said and was told, and when."""

import base64
from collections import deque
from dataclasses import dataclass, field
from typing import Iterable

from linedeal.lab.record import Entry
from linedeal.protocol import FrameError, FrameReader, pb

NEVER = float("inf")


@dataclass(slots=True, eq=False)
class ObservedLaunch:
    controller: str
    life: int
    number: int
    job: pb.JobSpec
    host: str
    t: float
    wait: float
    link: int
    boot: int
    held_back: bool  # a cut kept it when it came
    link_end: float = NEVER
    accepted: float = NEVER
    started: float = NEVER
    refused: float = NEVER
    ended: float = NEVER
    stopped: float = NEVER
    lost: float = NEVER  # a later welcome of another boot, or the host told as gone
    absent: float = NEVER  # a later welcome of the same boot that does not name it: it never ran
    heard_on: object = None  # the last link that was told of it, as it was offered or by its welcome
    unheard: float = NEVER  # since when that one has ended: what comes of the launch then is told to nobody
    outcome: int = 0
    usage_reports: list[tuple[float, float]] = field(default_factory=list)  # when told, cores in use

    @property
    def never_ran(self) -> float:
        """Since when it is known that it did not run."""
        return min(self.refused if self.refused < self.started else NEVER, self.absent)


@dataclass(slots=True, eq=False)
class ObservedJob:
    id: str
    controller: str
    offering: str
    customer: str
    cores: float
    key: str
    link: int
    taken: float
    wait: float
    answers: list[tuple[float, int]] = field(default_factory=list)
    left: float = NEVER
    session: str = ""
    status_verdicts: list[tuple[float, int]] = field(default_factory=list)  # verdicts shown by its standing
    began: float = 0.0  # when its time to find a host began, where not as it was taken
    over: bool = False  # its owner has let go of it: the key is free
    aside: bool = False  # held, or its start time has not come
    launches: list[ObservedLaunch] = field(default_factory=list)

    @property
    def reported_verdicts(self) -> list[tuple[float, int]]:
        """Each time that its owner was told a verdict, by an answer or by its standing."""
        return sorted(self.answers + self.status_verdicts)


@dataclass(slots=True, eq=False)
class Told:
    """What one life of a controller had been told of one host."""

    modes: list[tuple[float, int]] = field(default_factory=list)
    boots: dict[int, float] = field(default_factory=dict)


@dataclass(slots=True, eq=False)
class ObservedOrder:
    """An order of a duty's owner, and what it was told."""

    t: float  # as it came to the recorder
    held: bool  # a cut kept it then
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
    highest_token: int = 0  # token that the other side had seen
    at: int = 0  # boot of the host that answered
    clear: bool = False  # the host said that it drains, and held no irreversible job

    @property
    def came(self) -> float:
        """The earliest at which it can have been carried out."""
        return self.t if not self.held else self.answered_at


@dataclass(slots=True, eq=False)
class ObservedChange:
    """A change of one of the council's registers that was asked for."""

    t: float
    key: str
    body: bytes
    made: float = NEVER  # when its asker was told that it is made


@dataclass(slots=True)
class ObservedLink:
    to: str
    forth: FrameReader = field(default_factory=FrameReader)
    back: FrameReader = field(default_factory=FrameReader)
    hello: object = None
    opened: float = 0.0
    boot: int = 0
    asks: dict[str, deque] = field(default_factory=dict)  # not answered yet, by key
    launches: list[ObservedLaunch] = field(default_factory=list)
    knows: list[ObservedLaunch] = field(default_factory=list)  # those, and the ones that its welcome named
    numbered: dict[int, object] = field(
        default_factory=dict
    )  # orders or changes of this link by their numbers
    broken: bool = False


@dataclass(slots=True)
class Traffic:
    """All that the rules are judged by."""

    jobs: dict[str, ObservedJob] = field(default_factory=dict)
    launches: dict[tuple, ObservedLaunch] = field(default_factory=dict)
    told: dict[tuple, Told] = field(default_factory=dict)  # by controller, life, host
    sessions: dict[tuple[str, str], list[list[float]]] = field(
        default_factory=dict
    )  # links of a controller's session
    places: dict[str, tuple[str, int]] = field(default_factory=dict)  # zone and cell, by host
    booted: dict[tuple[str, int], float] = field(default_factory=dict)  # by host and boot
    marks: list[tuple[float, str, str]] = field(default_factory=list)
    found: list[tuple] = field(
        default_factory=list
    )  # welcome's time, controller, life, launch of an earlier life
    turned_away: int = 0
    doubled: list[tuple[float, int, str]] = field(
        default_factory=list
    )  # numbers used twice: time, rule, what
    orders: list[ObservedOrder] = field(default_factory=list)
    changes: list[ObservedChange] = field(default_factory=list)
    bad_frames: list[tuple[float, str, str]] = field(default_factory=list)
    end: float = 0.0


def reconstruct_traffic(entries: Iterable[Entry]) -> Traffic:
    """Reads a whole record."""
    reader = Reader()
    for entry in entries:
        reader.take(entry)
    # joined at the end: an offer may pass on its link before "taken" does on the client's
    for launch in reader.traffic.launches.values():
        job = reader.traffic.jobs.get(launch.job.id)
        if job is not None:
            job.launches.append(launch)
    return reader.traffic


class Reader:
    def __init__(self):
        self.traffic = Traffic()
        self.links: dict[int, ObservedLink] = {}
        self.keys: dict[tuple[str, str, str], str] = {}  # job by controller, session and key
        self.life_hosts: dict[tuple, set[str]] = {}

    def take(self, entry: Entry) -> None:
        self.traffic.end = max(self.traffic.end, entry.t)
        if entry.e == "mark":
            self.traffic.marks.append((entry.t, entry.what, entry.who))
        elif entry.e == "open":
            self.links[entry.link] = ObservedLink(entry.to, opened=entry.t)
        elif entry.e == "end":
            self.ended(entry.t, self.links[entry.link])
        else:
            link = self.links[entry.link]
            if link.broken:
                return
            reader = link.forth if entry.d == ">" else link.back
            try:
                for message in reader.feed(base64.b64decode(entry.b)):
                    if message is not None:
                        self.message(entry, link, message)
            except FrameError as error:
                link.broken = True
                self.traffic.bad_frames.append((entry.t, link.to, str(error)))

    def ended(self, t, link) -> None:
        for launch in link.launches:
            launch.link_end = min(launch.link_end, t)
        for launch in link.knows:
            if launch.heard_on is link:
                launch.unheard = min(launch.unheard, t)
        if link.hello is None or link.hello.role != pb.CLIENT:
            return
        if link.hello.session:  # its jobs go on; while no link stands nothing can be told
            for span in self.traffic.sessions.get((link.to, link.hello.session), ()):
                if span[2] == id(link):
                    span[1] = min(span[1], t)
            return
        for job in self.traffic.jobs.values():
            if job.link == id(link):
                job.left = min(job.left, t)

    def message(self, entry, link, message) -> None:
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
        # each is answered once, in order: by "taken" or by "turned away", however many have one key
        link.asks.setdefault(message.key, deque()).append(message)

    def taken(self, entry, link, message) -> None:
        ask, known = link.asks[message.key].popleft(), self.traffic.jobs.get(message.job)
        if known is not None:
            if not known.session or (known.session, known.key) != (link.hello.session, message.key):
                self.traffic.doubled.append((entry.t, 1, f"{message.job} was taken twice"))
            return  # joined by its own session and key
        other = self.keys.get((link.to, link.hello.session, message.key)) if link.hello.session else None
        if other is not None and not self.traffic.jobs[other].over:
            self.traffic.doubled.append(
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
            ask.job.offering,
            ask.job.customer,
            ask.job.cores,
            message.key,
            id(link),
            entry.t,
            ask.wait,
            session=link.hello.session,
            aside=ask.hold,
        )
        if ask.start_in:
            job.began = entry.t + ask.start_in

    def standing(self, entry, link, message) -> None:
        job = self.traffic.jobs.get(message.job.id)
        if job is not None and message.stage in STAGE_VERDICTS:
            job.status_verdicts.append((entry.t, STAGE_VERDICTS[message.stage]))

    def ordered(self, entry, link, message) -> None:
        job = self.traffic.jobs.get(self.keys.get((link.to, link.hello.session, message.key), ""))
        if job is not None and message.fault == pb.FAULT_NONE:
            if message.kind == pb.HOLD:
                job.aside = True
            elif message.kind == pb.RELEASE:
                job.aside = False
                job.began = entry.t

    def forget(self, entry, link, message) -> None:
        job = self.traffic.jobs.get(self.keys.get((link.to, link.hello.session, message.key), ""))
        if job is not None:
            job.over = True

    def turned_away(self, entry, link, message) -> None:
        self.traffic.turned_away += 1
        if link.asks.get(message.key):
            link.asks[message.key].popleft()

    def answer(self, entry, link, message) -> None:
        job = self.traffic.jobs.get(message.job)
        if job is not None:
            job.answers.append((entry.t, message.verdict))

    def take_back(self, entry, link, message) -> None:
        for job in self.traffic.jobs.values():
            if job.link == id(link) and job.key == message.key and not job.answers:
                job.left = min(job.left, entry.t)

    # -- controller and host

    def find(self, launch) -> ObservedLaunch | None:
        return self.traffic.launches.get((launch.controller, launch.life, launch.number))

    def offer(self, entry, link, message) -> None:
        seen = ObservedLaunch(
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
        key = seen.controller, seen.life, seen.number
        if key in self.traffic.launches:
            self.traffic.doubled.append(
                (
                    entry.t,
                    2,
                    f"launch {key[1]}.{key[2]} of {key[0]} was sent twice, to "
                    f"{self.traffic.launches[key].host} and {seen.host}",
                )
            )
        self.traffic.launches[key] = seen
        link.launches.append(seen)
        self.hears(link, seen)

    def hears(self, link, launch) -> None:
        link.knows.append(launch)
        launch.heard_on, launch.unheard = link, NEVER

    def use(self, entry, link, message) -> None:
        launch = self.find(message.launch)
        if launch is not None:
            launch.usage_reports.append((entry.t, message.cores))

    def welcome(self, entry, link, message) -> None:
        link.boot = message.boot
        name, life, host = link.hello.name, link.hello.life, link.to
        self.boot(host, message.boot, entry.t, message.age)
        told = self.traffic.told.setdefault((name, life, host), Told())
        told.boots.setdefault(message.boot, entry.t)
        held = {(item.launch.life, item.launch.number): item for item in message.held}
        for launch in self.traffic.launches.values():
            if launch.controller != name or launch.host != host:
                continue
            item = held.get((launch.life, launch.number))
            if item is not None:
                self.hears(link, launch)
            if item is None and launch.link != entry.link:
                if message.boot != launch.boot:
                    launch.lost = min(launch.lost, entry.t)
                elif not message.forgot and launch.life <= life:
                    # a host gives its account to a life after it has taken that life's number: what an earlier one
                    # sent and it does not name, it never held
                    launch.absent = min(launch.absent, entry.t)
            elif item is not None and item.phase == pb.OVER:
                launch.ended, launch.outcome = min(launch.ended, entry.t), item.outcome
            elif item is not None and item.phase in (pb.ACCEPTED, pb.RUNNING):
                launch.accepted = min(launch.accepted, entry.t)
                if item.phase == pb.RUNNING:
                    launch.started = min(launch.started, entry.t)
                if launch.life != life:
                    self.traffic.found.append((entry.t, name, life, launch))

    def boot(self, host, boot, t, age) -> None:
        known = self.traffic.booted.get((host, boot), NEVER)
        self.traffic.booted[host, boot] = min(known, t - age)

    # -- discovery

    def host_list(self, entry, link, message) -> None:
        name, life = link.hello.name, link.hello.life
        known = self.life_hosts.setdefault((name, life), set())
        for item in message.hosts:
            self.traffic.places[item.id] = (item.zone, item.cell)
            self.boot(item.id, item.boot, entry.t, item.age)
            told = self.traffic.told.setdefault((name, life, item.id), Told())
            told.modes.append((entry.t, item.mode))
            told.boots.setdefault(item.boot, entry.t)
            known.add(item.id)
        if message.whole:
            for host in known - {item.id for item in message.hosts}:
                self.traffic.told[name, life, host].modes.append((entry.t, pb.GONE))

    # -- duties

    def order(self, entry, link, message) -> None:
        seen = ObservedOrder(
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
        self.traffic.orders.append(seen)
        link.numbered[message.number] = seen

    def order_told(self, entry, link, message) -> None:
        seen = link.numbered.pop(message.number, None)
        if seen is not None:
            seen.answered_at, seen.done, seen.highest_token = entry.t, message.done, message.token
            seen.at, seen.clear = message.boot, message.draining and not message.irreversible

    def council_ask(self, entry, link, message) -> None:
        if message.kind == pb.CHANGE and message.key in (PLAN, CAMPAIGN):
            seen = ObservedChange(entry.t, message.key, message.body)
            self.traffic.changes.append(seen)
            link.numbered[message.number] = seen

    def council_told(self, entry, link, message) -> None:
        seen = link.numbered.pop(message.number, None)
        if seen is not None and message.outcome == "DONE":
            seen.made = entry.t


PLAN, CAMPAIGN = "campaign/plan", "duty/campaign"  # registers, as docs/protocol.md names them
AT_HOST = (pb.STAGE_PLACED, pb.STAGE_RUNNING, pb.STAGE_DONE, pb.STAGE_ERROR, pb.STAGE_LOST, pb.STAGE_STOPPED)
STAGE_VERDICTS = {
    pb.STAGE_REJECTED: pb.REJECTED,
    pb.STAGE_WRITTEN_OFF: pb.WRITTEN_OFF,
    **dict.fromkeys(AT_HOST, pb.PLACED),
}


def said(what):
    """A handler that notes when a host, or the controller itself, first said that of a launch."""

    def handler(reader, entry, link, message):
        launch = reader.find(message.launch)
        if launch is not None and launch.host == link.to:
            setattr(launch, what, min(getattr(launch, what), entry.t))
            if what == "started":
                launch.accepted = min(launch.accepted, entry.t)
            elif what == "ended":
                launch.outcome = message.outcome

    return handler


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
    (pb.CONTROLLER, "<", pb.Accepted): said("accepted"),
    (pb.CONTROLLER, "<", pb.Refused): said("refused"),
    (pb.CONTROLLER, "<", pb.Started): said("started"),
    (pb.CONTROLLER, "<", pb.Ended): said("ended"),
    (pb.CONTROLLER, ">", pb.Stop): said("stopped"),
    (pb.OWNER, ">", pb.DutyOrder): Reader.order,
    (pb.OWNER, "<", pb.DutyTold): Reader.order_told,
    (pb.CONTROLLER, ">", pb.CouncilAsk): Reader.council_ask,
    (pb.CONTROLLER, "<", pb.CouncilTold): Reader.council_told,
}
