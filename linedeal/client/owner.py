"""The owner of a session's jobs: asks, follows, orders and waits, over broken links and dead controllers.

    async with Owner.open(TcpNet(), parse_contact("127.0.0.1:7100/readers")) as owner:
        job = await owner.submit(JobRequest("course-reader", "school", "readers", 2.0, 4.0))
        done = await owner.wait_until_over(job)

One task a controller keeps the link to it; `retry_rules` says what a broken one means for each job. What the owner hears
is kept by key; whoever waits is woken at each change.
"""

import secrets
import time
import zlib
from collections import deque
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import AsyncIterator, Iterable

import anyio

from linedeal.client import retry_rules
from linedeal.client.client import JobRequest, JobDeclinedError
from linedeal.client.contact import Contact
from linedeal.client.retry_rules import Next, State
from linedeal.net import Address, Link, LinkLostError, Net, open_link
from linedeal.protocol import VERSION, FrameReader, encode, pb

OTHERS = 1.0  # seconds, once one controller is heard, for those not reached yet
AGAIN = 0.2  # seconds between two tries to reach a controller
CONNECT = 5.0  # seconds for a link to stand
PATIENCE = 2.0  # seconds after which a redoable job is asked for elsewhere
UNSEEN_MOST = 500  # jobs asked for and not known to be taken, at a time
ASK_WITHIN = 30.0  # seconds for which a job that is turned away "for now" is asked for again

NOT_YET = "not reached yet"
HOLD, RELEASE, END = pb.HOLD, pb.RELEASE, pb.END
STAGES = {number: name.removeprefix("STAGE_").lower().replace("_", " ") for name, number in pb.Stage.items()}
BEFORE, AT_HOST = ("held", "later", "waiting"), ("placed", "running")


class SessionOpenError(Exception):
    """No controller can be reached, or none lets this owner in; `refused`: one did not take the customer's key."""

    def __init__(self, text: str, refused: bool):
        super().__init__(text)
        self.refused = refused


class NoSuchJobError(KeyError):
    """No controller of the contact knows the key."""


class OrderRefusedError(Exception):
    """The job does not stand so that the order could be followed; the text says how it stands."""


@dataclass(frozen=True, slots=True)
class Ran:
    """How a run ended: exit status (None: it did not exit by itself), seconds, memory in the cluster's unit."""

    status: int | None
    seconds: float
    core_seconds: float
    memory: float


@dataclass(frozen=True, slots=True)
class JobStatus:
    """How a job stands. `stage`: asked, held, later, waiting, placed, running, done, error, lost, stopped, rejected,
    written off, refused or unknown. Times are those of this machine's time of day; None: not yet."""

    key: str
    stage: str
    offering: str = ""
    customer: str = ""
    service: str = ""
    cores: float = 0.0
    memory: float = 0.0
    name: str = ""
    job: str = ""
    host: str = ""
    reason: str = ""
    ran: Ran | None = None
    taken_at: float | None = None
    placed_at: float | None = None
    ended_at: float | None = None
    ending: bool = False

    @property
    def answered(self) -> bool:
        return self.stage not in ("asked", *BEFORE)

    @property
    def over(self) -> bool:
        return self.answered and self.stage not in AT_HOST


@dataclass(slots=True, eq=False)
class Course:
    """A job as this owner knows it. `submit` is None for one that was found at a controller."""

    key: str
    home: "Home"
    submit: pb.Submit | None
    standing: JobStatus
    state: State = State.ASKED
    sent: bool = False
    redoable: bool = False
    told_safe: bool = False
    taken: anyio.Event = field(default_factory=anyio.Event)
    turned: JobDeclinedError | None = None
    turns: int = 0
    begin_by: float = 0.0
    left: list["Home"] = field(default_factory=list)  # asked before; what they still hold is ended

    def view(self) -> retry_rules.View:
        return retry_rules.View(self.state, self.sent, self.redoable, self.told_safe)


@dataclass(slots=True, eq=False)
class Home:
    """One controller of the contact."""

    address: Address
    link: Link | None = None
    heard: bool = False  # it has told all that it holds, once
    lost_at: float = 0.0
    why: str = NOT_YET
    refuses: bool = False
    writing: anyio.Lock = field(default_factory=anyio.Lock)
    orders: dict[str, deque] = field(default_factory=dict)
    strays: dict[str, None] = field(default_factory=dict)  # jobs there that were moved meanwhile

    def __str__(self) -> str:
        return f"{self.address[0]}:{self.address[1]}"


@dataclass(slots=True, eq=False)
class Waiting:
    """An order under way."""

    kind: int
    done: anyio.Event = field(default_factory=anyio.Event)
    reply: pb.Ordered | None = None
    again: bool = False


class Owner:
    def __init__(
        self,
        net: Net,
        contact: Contact,
        token: str = "",
        patience: float = PATIENCE,
        first_controller: int | None = None,
    ):
        self.net, self.contact, self.token, self.patience = net, contact.named(), token, patience
        # sessions begin at different controllers, so that no single one gets them all
        turn = (
            zlib.crc32(self.contact.session.encode()) % len(contact.controllers)
            if first_controller is None
            else first_controller
        )
        places = contact.controllers[turn:] + contact.controllers[:turn]
        self.homes = [Home(address) for address in places]
        self.courses: dict[str, Course] = {}
        self.effects: dict[str, bool] = {}  # offering: whether it is redoable
        self.changed = anyio.Event()
        self.prefix, self.numbers = secrets.token_hex(3), 0
        self.moved: dict[str, list[Home]] = {}  # forgotten jobs, and where something of them may still be
        self.news: deque[str] = deque(maxlen=4096)  # keys of jobs that changed, the newest last
        self.news_count = 0
        self.unseen = anyio.Semaphore(UNSEEN_MOST)
        self.later: list[tuple[float, Course]] = []  # turned away for now, with the time to ask again

    @classmethod
    @asynccontextmanager
    async def open(
        cls,
        net: Net,
        contact: Contact,
        token: str = "",
        timeout: float = 5.0,
        patience: float = PATIENCE,
        first_controller: int | None = None,
    ) -> AsyncIterator["Owner"]:
        """The session for the block; its jobs go on when it is left. `first_controller`: which of the contact's controllers new
        jobs go to while it is there; else the session's name says. Raises SessionOpenError if no controller answers."""
        owner = cls(net, contact, token, patience, first_controller)
        async with anyio.create_task_group() as tasks:
            for home in owner.homes:
                tasks.start_soon(owner.keep, home)
            tasks.start_soon(owner.mind)
            with anyio.move_on_after(timeout):
                while not any(home.heard for home in owner.homes) and not all(
                    home.refuses for home in owner.homes
                ):
                    await owner.change()
            fault = None
            if any(home.heard for home in owner.homes):
                # a session that is opened again has jobs at any of them: the first one heard does not speak for all
                with anyio.move_on_after(OTHERS):
                    while any(home.why == NOT_YET and not home.heard for home in owner.homes):
                        await owner.change()
                try:
                    yield owner
                except Exception as error:
                    fault = error  # a task group would wrap it
            else:
                fault = SessionOpenError(
                    "; ".join(f"{home}: {home.why}" for home in owner.homes),
                    any(home.refuses for home in owner.homes),
                )
            tasks.cancel_scope.cancel()
        if fault is not None:
            raise fault

    # -- asking

    async def submit(
        self,
        ask: JobRequest,
        key: str = "",
        work: pb.Work | None = None,
        hold: bool = False,
        start_in: float = 0.0,
        timeout: float = ASK_WITHIN,
    ) -> str:
        """Asks for a job and waits until it is taken; its key. The same key and content joins what was asked before.

        Raises JobDeclinedError where it is not taken, TimeoutError after `timeout` seconds: then it may be.
        """
        key = key or self.new_key()
        spec = pb.JobSpec(
            offering=ask.offering,
            customer=ask.customer,
            service=ask.service,
            cores=ask.cores,
            memory=ask.memory,
            work=work.SerializeToString(deterministic=True) if work else b"",
        )
        message = pb.Submit(key=key, job=spec, wait=ask.wait, follow=True, hold=hold, start_in=start_in)
        async with self.unseen:
            home = next((home for home in self.homes if home.link), self.homes[0])
            known = self.courses.get(key)
            if known is None or known.state in (State.REFUSED, State.UNKNOWN):
                known = self.courses[key] = Course(
                    key,
                    home,
                    message,
                    JobStatus(
                        key,
                        "asked",
                        ask.offering,
                        ask.customer,
                        ask.service,
                        ask.cores,
                        ask.memory,
                        work.name if work else "",
                    ),
                    redoable=self.effects.get(ask.offering, False),
                )
            else:
                known.submit, known.taken, known.turned = message, anyio.Event(), None
            known.begin_by = anyio.current_time() + timeout
            await self.ask(known)
            with anyio.fail_after(timeout + 1.0):
                await known.taken.wait()
        if known.turned is not None:
            raise known.turned
        return key

    def new_key(self) -> str:
        """One that no job of the session has, in this process or another."""
        self.numbers += 1
        return f"{self.prefix}-{self.numbers}"

    async def submit_many(
        self,
        asks: Iterable[tuple[JobRequest, str, pb.Work | None]],
        hold: bool = False,
        start_in: float = 0.0,
        timeout: float = ASK_WITHIN,
    ) -> list[str]:
        """All of them taken, or JobDeclinedError for the first that was not: then those taken are ended again. Raises
        TimeoutError as `submit`: then some may be taken."""
        asks = list(asks)
        faults: list[JobDeclinedError | TimeoutError] = []

        async def one(ask, key, work):
            try:
                await self.submit(ask, key, work, hold, start_in, timeout)
            except (JobDeclinedError, TimeoutError) as error:
                faults.append(error)

        for at in range(0, len(asks), UNSEEN_MOST):
            async with anyio.create_task_group() as tasks:
                for ask, key, work in asks[at : at + UNSEEN_MOST]:
                    tasks.start_soon(one, ask, key, work)
            if faults:
                break
        for fault in faults:
            if isinstance(fault, TimeoutError):
                raise fault
        if faults:
            for _, key, _ in asks:
                if key in self.courses and self.courses[key].state is not State.REFUSED:
                    try:
                        await self.order(key, END)
                    except OrderRefusedError:
                        pass  # it is over already
            raise faults[0]
        return [key for _, key, _ in asks]

    async def ask(self, job: Course) -> None:
        if job.home.link is not None:
            job.sent = True
            await self.send(job.home, job.submit)

    # -- following

    def status(self, key: str) -> JobStatus:
        """How the job stands by what was heard last. Raises NoSuchJobError."""
        try:
            return self.courses[key].standing
        except KeyError:
            raise NoSuchJobError(key) from None

    async def find(self, key: str, timeout: float = 5.0) -> JobStatus:
        """As `status`; waits for controllers that have not been heard yet, since one of them may know the job."""
        with anyio.move_on_after(timeout):
            while key not in self.courses and not all(home.heard or home.refuses for home in self.homes):
                await self.change()
        return self.status(key)

    def keys(self) -> list[str]:
        """Of all jobs that are not forgotten, in the order in which they were taken, as far as heard."""
        return list(self.courses)

    async def wait_until(self, keys: Iterable[str], test, every: bool = False) -> list[JobStatus]:
        """Waits until `test` holds of one job, or of every one; those of which it holds. Raises NoSuchJobError."""
        keys = list(keys)
        missing, seen = dict.fromkeys(keys), self.news_count
        held = {key: standing for key in missing if test(standing := self.status(key))}
        while not held or every and len(held) < len(missing):
            await self.change()
            # only what has changed is looked at again: a bulk of 10,000 changes 30,000 times
            new = self.news_count - seen
            fresh = missing if new > len(self.news) else [self.news[-back] for back in range(new, 0, -1)]
            seen = self.news_count
            for key in fresh:
                if key in missing and test(standing := self.status(key)):
                    held[key] = standing
        return [held[key] for key in missing if key in held]

    async def wait_until_over(self, key: str) -> JobStatus:
        return (await self.wait_until([key], lambda standing: standing.over))[0]

    async def change(self) -> None:
        await self.changed.wait()

    def wake(self, key: str = "") -> None:
        if key:
            self.news.append(key)
            self.news_count += 1
        self.changed.set()
        self.changed = anyio.Event()

    # -- ordering

    async def order(self, key: str, kind: int) -> None:
        """Holds, releases or ends a job; returns when its controller has done so. Raises OrderRefusedError, NoSuchJobError."""
        job = self.courses.get(key)
        if job is None:
            raise NoSuchJobError(key)
        waiting = Waiting(kind)
        job.home.orders.setdefault(key, deque()).append(waiting)
        await self.send(job.home, pb.Order(key=key, kind=kind))
        await waiting.done.wait()
        reply = waiting.reply
        # an order that was sent again after a break may have been followed the first time
        if reply.fault == pb.WRONG_STATE and not (waiting.again and followed(kind, self.status(key))):
            raise OrderRefusedError(reply.reason)
        if reply.fault == pb.NO_SUCH_JOB:
            raise NoSuchJobError(key)

    async def forget(self, key: str) -> None:
        """Nothing more is heard of a job that is over; its controller drops it too."""
        job = self.courses.get(key)
        if job is None:
            raise NoSuchJobError(key)
        if job.standing.over:
            del self.courses[key]
            if job.left:
                self.moved[key] = job.left
            await self.send(job.home, pb.Forget(key=key))

    async def move(self, key: str) -> None:
        """The owner knows that it is safe to ask for this job at another controller."""
        self.courses[key].told_safe = True
        await self.look_away()

    # -- links

    async def send(self, home: Home, message) -> None:
        link = home.link
        if link is None:
            return  # told again when it is back
        try:
            async with home.writing:
                await link.send(encode(message))
        except LinkLostError:
            pass  # the reading side sees it too, and acts on it

    async def keep(self, home: Home) -> None:
        """The link to one controller, made again whenever it breaks."""
        while True:
            link = None
            try:
                link = await self.connect(home)
                home.refuses = False
                await self.learn(home, link)
                home.link, home.why = link, ""
                await self.catch_up(home)
                while True:
                    for message in await link.receive_all():
                        await self.heard(home, message)
            except LinkLostError as error:
                home.why = str(error)
            finally:
                home.lost_at = anyio.current_time() if home.link else home.lost_at
                home.link = None
                if link is not None:
                    await link.close()
            self.wake()
            await anyio.sleep(AGAIN if not home.refuses else 10 * AGAIN)

    async def connect(self, home: Home) -> Link:
        link, welcome = await open_link(
            self.net,
            home.address,
            FrameReader(),
            encode(
                pb.Hello(
                    version=VERSION,
                    role=pb.CLIENT,
                    name=self.contact.session,
                    session=self.contact.session,
                    customer=self.contact.customer,
                    token=self.token,
                )
            ),
            CONNECT,
        )
        if not isinstance(welcome, pb.Welcome):
            await link.close()
            home.refuses = isinstance(welcome, pb.Bye) and not welcome.retry_after
            raise LinkLostError(getattr(welcome, "reason", "") or "no welcome")
        for offering in welcome.offerings:
            self.effects[offering.name] = offering.redoable
        return link

    async def learn(self, home: Home, link: Link) -> None:
        """All that the controller holds for the session, page by page."""
        listed, after, more = set(), "", True
        while more:
            await link.send(encode(pb.AskStanding(after=after)))
            more = None
            while more is None:
                message = await link.receive()
                if isinstance(message, pb.AllTold):
                    more = message.more
                elif isinstance(message, pb.Standing):
                    listed.add(message.key)
                    after = message.key
                    await self.told(home, message)
                elif isinstance(message, pb.Bye):
                    raise LinkLostError(message.reason)
        home.heard = True
        for job in list(self.courses.values()):
            if job.home is home:
                match retry_rules.home_back(job.view(), job.key in listed):
                    case Next.UNKNOWN:
                        self.settle(
                            job, State.UNKNOWN, "unknown", "its controller knows nothing of it any more"
                        )
                    case Next.ASK:
                        job.state, job.sent = State.ASKED, False
        self.wake()

    async def catch_up(self, home: Home) -> None:
        """Questions and orders that the break may have swallowed are sent again."""
        for job in list(self.courses.values()):
            if job.home is home and job.state is State.ASKED and job.submit is not None:
                await self.ask(job)
        for key in list(home.strays):
            await self.end_stray(home, key)
        home.strays.clear()
        for key, orders in list(home.orders.items()):
            for waiting in orders:
                waiting.again = True
                await self.send(home, pb.Order(key=key, kind=waiting.kind))
        self.wake()

    async def heard(self, home: Home, message) -> None:
        match message:
            case pb.Standing():
                await self.told(home, message)
            case pb.Taken(key=key):
                job = self.courses.get(key)
                if job is not None:
                    if job.home is home and job.state is State.ASKED:
                        job.state = State.TAKEN
                    job.taken.set()  # by this question, or joined
            case pb.TurnedAway():
                await self.turned_away(home, message)
            case pb.Ordered():
                self.ordered(home, message)
            case pb.Bye():
                raise LinkLostError(f"told to go: {message.reason}")

    async def told(self, home: Home, message: pb.Standing) -> None:
        job = self.courses.get(message.key)
        if home in (self.moved.get(message.key, ()) if job is None else job.left):
            # the job was moved; what its first home still holds of it is ended, whatever came of it
            if home.link is None:
                home.strays[message.key] = None  # told on the way to standing: ended once the link does
            else:
                await self.end_stray(home, message.key)
            return
        if job is None:
            job = self.courses[message.key] = Course(
                message.key,
                home,
                None,
                JobStatus(message.key, "asked"),
                sent=True,
                redoable=self.effects.get(message.job.offering, False),
            )
        elif job.home is not home:
            return
        if job.state in (State.OVER, State.UNKNOWN):
            return
        job.standing = standing_of(message, time.time())
        job.state = (
            State.OVER if job.standing.over else State.ANSWERED if job.standing.answered else State.TAKEN
        )
        job.taken.set()
        self.wake(job.key)

    async def end_stray(self, home: Home, key: str) -> None:
        await self.send(home, pb.Order(key=key, kind=pb.END))
        await self.send(home, pb.Forget(key=key))  # passed over there until it has ended

    async def turned_away(self, home: Home, message: pb.TurnedAway) -> None:
        job = self.courses.get(message.key)
        if job is None or job.home is not home or job.submit is None:
            return
        if not message.retry_after or anyio.current_time() + message.retry_after > job.begin_by:
            fault = JobDeclinedError(message.reason, message.retry_after)
            if job.state is State.ASKED:
                self.settle(job, State.REFUSED, "refused", message.reason)
            job.turned = fault
            job.taken.set()
            return
        job.turns += 1
        others = [other for other in self.homes if other.link and other is not home]
        if others:  # not taken, so that it is safe to ask anywhere
            job.home = others[job.turns % len(others)]
        job.sent = False
        self.later.append(
            (
                anyio.current_time() + (0.0 if others and job.turns <= len(others) else message.retry_after),
                job,
            )
        )

    def ordered(self, home: Home, message: pb.Ordered) -> None:
        orders = home.orders.get(message.key)
        if orders:
            waiting = orders.popleft()
            if not orders:
                del home.orders[message.key]
            waiting.reply = message
            waiting.done.set()

    def settle(self, job: Course, state: State, stage: str, why: str) -> None:
        known = job.standing
        job.state, job.standing = (
            state,
            JobStatus(
                job.key,
                stage,
                known.offering,
                known.customer,
                known.service,
                known.cores,
                known.memory,
                known.name,
                known.job,
                known.host,
                why,
                known.ran,
                known.taken_at,
                known.placed_at,
                time.time(),
            ),
        )
        job.taken.set()
        self.wake(job.key)

    async def mind(self) -> None:
        """Sends what was put off, and looks after jobs whose home is away."""
        while True:
            await anyio.sleep(AGAIN / 2)
            now = anyio.current_time()
            due, self.later = (
                [job for at, job in self.later if at <= now],
                [x for x in self.later if x[0] > now],
            )
            for job in due:
                if job.state is State.ASKED:
                    await self.ask(job)
            await self.look_away()

    async def look_away(self) -> None:
        now = anyio.current_time()
        here = [home for home in self.homes if home.link]
        if len(here) == len(self.homes) or not here:
            return
        for job in list(self.courses.values()):
            if (
                job.home.link is None
                and job.submit is not None
                and retry_rules.home_away(job.view(), now - job.home.lost_at, self.patience, True)
                is Next.MOVE
            ):
                job.left.append(job.home)
                job.home, job.state, job.sent = here[0], State.ASKED, False
                await self.ask(job)


def followed(kind: int, standing: JobStatus) -> bool:
    """Whether the job stands as if the order had been followed."""
    if kind == HOLD:
        return standing.stage == "held"
    if kind == RELEASE:
        return standing.stage not in ("held", "asked")
    return standing.over or standing.ending


def standing_of(message: pb.Standing, now: float) -> JobStatus:
    def at(ago):
        return None if ago < 0 else now - ago

    ran, job = None, message.job
    if message.HasField("ran"):
        ran = Ran(
            message.ran.status if message.ran.HasField("status") else None,
            message.ran.seconds,
            message.ran.core_seconds,
            message.ran.memory,
        )
    return JobStatus(
        message.key,
        STAGES.get(message.stage, "unknown"),
        job.offering,
        job.customer,
        job.service,
        job.cores,
        job.memory,
        message.name,
        job.id,
        message.host,
        message.reason,
        ran,
        at(message.taken_ago),
        at(message.placed_ago),
        at(message.ended_ago),
        message.ending,
    )
