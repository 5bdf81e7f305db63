"""The connections to one host. What has begun to be written may reach it, what has not never will: this file keeps
that line. A standing job belongs to no connection, so one is kept up while any stands there.
"""

import traceback
from collections import deque
from typing import Callable

import anyio

from linedeal.engine import effects
from linedeal.engine import events
from linedeal.interface import Mode, Reason, Result
from linedeal.loop import Inbox
from linedeal.net import (
    FrameError,
    Link,
    LinkLostError,
    Net,
    parse_address,
    read_what_came,
    run_until_link_lost,
)
from linedeal.net.base import CONNECTION_ERRORS, reason
from linedeal.platform import host_codec, owner_codec
from linedeal.platform.descriptors import Descriptors
from linedeal.platform.host_codec import Code, Type
from linedeal.settings.records import Limits
from linedeal.wiresettings import METRICS, REASONS

LIFE = 1  # a start knows of no earlier one
QUEUE = 512  # messages that wait for one host
LOOK = 0.25  # seconds between two looks at a connection
UNFINISHED = 1.0  # seconds for which a frame may stay unfinished
SILENT = 2.0  # seconds without a word after a set-up or a test
TEST_SHARE = 0.5  # of them after which a host that was set up is tested
QUIET = 2.5  # seconds without a word after which a host with standing jobs is tested
SEND_WITHIN = 2.0  # seconds for a host to make room for what is written
LOST_AFTER = 6.0  # seconds out of reach after which what stands there counts as lost
RETRY = 0.2  # seconds between two tries for standing jobs' sake
REFUSALS = 2  # refused connections in a row that show a dead process
IDLE_TALK = 2000  # answers and releases on end that mean nothing, as second copies and unknown tasks
IDLE_SHARE = 0.6  # of the idle time after which hosts close, after which we do
WHY = dict(zip(("nc", "nm", "nq", "nh", "ev", "pre", "dr"), (REASONS[number] for number in range(1, 8))))
NOTE_NAMES = dict(zip(("live", "c", "m", "s", "p"), (METRICS[number] for number in range(1, 6))))
FIRST_WORDS = frozenset(
    (owner_codec.REFUSED, owner_codec.NEVER_LEFT, owner_codec.FAILED)
)  # only ever before an answer
ENDS = {
    owner_codec.GIVEN_UP: Result.DONE,
    owner_codec.ENDED_OTHERWISE: Result.STOPPED,
    owner_codec.FAILED: Result.ERROR,
}


class Connection:
    def __init__(self, number: int, link: Link, now: float):
        self.number, self.link = number, link
        self.outbox: deque = deque()
        self.wake = anyio.Event()
        self.out: dict[bytes, int] = {}  # launches without an answer, by task
        self.unsent: set[int] = set()  # ... of which nothing has been written yet
        self.recalled: dict[bytes, int] = {}  # given up, by task, and the word of it is not written yet
        self.carried: dict[
            bytes, float
        ] = {}  # tasks whose set-up it was given, until when one may come again
        self.probes: dict[bytes, int] = {}
        self.used_at = now
        self.asked_at = 0.0  # the first set-up or test since it was last heard; 0: none
        self.tested = False  # since it was last heard
        self.unfinished_at = 0.0
        self.idle_talk = 0  # answers and releases since the last that meant something
        self.shut = False  # takes no launch any more

    def queue(self, effect) -> None:
        self.outbox.append(effect)
        self.wake.set()


class HostLink:
    """One host over the life of a controller. The sync methods are for the loop that carries out effects."""

    def __init__(
        self,
        listed: events.ListedHost,
        net: Net,
        limits: Limits,
        idle: float,
        report_names: dict[str, str],
        most: Callable[[], int],
        descriptors: Descriptors,
        wanted: Callable[[bytes], bool],
        inbox: Inbox,
        next_number,
        log,
    ):
        """`most`: connections to one host at this time. More than one, so that a spoilt answer costs few others theirs.
        `wanted`: whether the owner of a task still waits for it."""
        self.listed, self.net, self.limits, self.inbox, self.log = listed, net, limits, inbox, log
        self.idle, self.report_names, self.most, self.next_number = idle, report_names, most, next_number
        self.descriptors, self.wanted = descriptors, wanted
        self.outbox: deque = deque()
        self.connections: list[Connection] = []
        self.tasks_of: dict[int, bytes] = {}  # launches that are out or stand
        self.standing: dict[bytes, int] = {}
        self.stops: dict[bytes, None] = {}  # standing jobs to be ended there, until it says so
        self.unsettled: dict[
            bytes, float
        ] = {}  # tasks of launches that ended without a word of the host, until
        # when one may come again: what it says may be about the former
        self.wake = anyio.Event()
        self.scope = anyio.CancelScope()
        self.opening = False
        self.reopen = False  # one was lost while jobs stood: what the host said there comes on the next
        self.heard_at = 0.0
        self.shut_until = 0.0  # no further connection before, others serve
        self.refusals = 0

    # -- for the engine's effects

    def relist(self, listed: events.ListedHost) -> None:
        """What a newer list says. Launches that still wait for a host that drains, or is gone, go back."""
        if (listed.mode, listed.boot) != (self.listed.mode, self.listed.boot):
            self.log.info("host changed", host=listed.id, mode=listed.mode.name, age=round(listed.age, 1))
        self.listed = listed
        if listed.mode is not Mode.SERVING:
            self.keep_back()

    def launch(self, effect: effects.SendLaunch) -> None:
        if len(self.outbox) >= QUEUE:
            self.hand_back([effect])
            return
        self.tasks_of[effect.number] = effect.work[:8]
        self.queue(effect)

    def adopt(self, effect: effects.Adopt) -> None:
        self.tasks_of[effect.number] = effect.work[:8]
        self.standing[effect.work[:8]] = effect.number
        self.wake.set()

    def probe(self, effect: effects.SendProbe) -> None:
        if len(self.outbox) < QUEUE:
            self.queue(effect)

    def queue(self, effect) -> None:
        self.outbox.append(effect)
        self.wake.set()

    def keep_back(self, number: int | None = None) -> None:
        """Hands launches back that have not begun to leave, or that one."""

        def meant(effect):
            return isinstance(effect, effects.SendLaunch) and number in (None, effect.number)

        back = []
        for holder in (self, *self.connections):
            mine = [effect for effect in holder.outbox if meant(effect)]
            if mine:
                holder.outbox = deque(effect for effect in holder.outbox if not meant(effect))
                back += mine
        self.hand_back(back)

    def hand_back(self, launches: list[effects.SendLaunch]) -> None:
        """Of these nothing was written, and nothing will be."""
        for effect in launches:
            self.tasks_of.pop(effect.number, None)
            for connection in self.connections:
                if effect.number in connection.unsent:
                    connection.unsent.discard(effect.number)
                    del connection.out[effect.work[:8]]
        if launches:
            self.inbox.put(events.LaunchesUnsent(self.listed.id, tuple(effect.number for effect in launches)))

    def stop(self, effect: effects.SendStop) -> None:
        """Gives a launch up, or ends what stands."""
        number = effect.launch.number
        self.keep_back(number)
        task = self.tasks_of.get(number)
        if task is None:
            self.inbox.put(events.LaunchesCancelled(self.listed.id, (number,)))
            return
        if self.standing.get(task) == number:
            if task not in self.stops:
                self.stops[task] = None
                if self.connections:
                    self.best().queue(released(task))
                else:
                    self.wake.set()
            return
        del self.tasks_of[number]
        for connection in self.connections:
            if connection.out.get(task) == number:
                del connection.out[task]
                connection.recalled[task] = number
                self.unsettled[task] = connection.carried[task]
                connection.queue(released(task))
                if (
                    connection.asked_at
                ):  # not a word since: whatever else is out on it goes on, nothing new does
                    connection.shut = True
                return
        self.inbox.put(
            events.LaunchesCancelled(self.listed.id, (number,))
        )  # its connection has gone, and it with that

    def forget(self, effect: effects.NotifyEnded) -> None:
        task = self.tasks_of.pop(effect.number, None)
        if task is not None and self.standing.get(task) == effect.number:
            del self.standing[task]
            self.stops.pop(task, None)

    def cancel(self) -> None:
        """The host is gone for good."""
        self.scope.cancel()

    # -- tasks

    async def run(self) -> None:
        with self.scope:
            async with anyio.create_task_group() as self.tasks:
                while True:
                    await self.wake.wait()
                    self.wake = anyio.Event()
                    if self.dispatch() and not self.opening:
                        self.opening = True
                        self.tasks.start_soon(self.open)

    def best(self, task: bytes | None = None) -> Connection | None:
        """The least busy. For a launch, None where none may carry it: no connection ever carries two set-ups of one
        task, which is how a word is known to be about this launch and no copy of one about an earlier launch."""
        fit = [c for c in self.connections if not c.shut and task not in c.carried]
        if task is None and not fit:
            return self.connections[0] if self.connections else None
        return min(fit, key=lambda c: len(c.out), default=None)

    def dispatch(self) -> bool:
        """Hands what waits to connections; true where one more is wanted. Nothing waits for that where others serve:
        launches held up meanwhile would all reach the host in one moment, and be refused there."""
        now, wanted, stay, most = anyio.current_time(), False, deque(), self.most()
        while self.outbox:
            effect = self.outbox.popleft()
            launch = isinstance(effect, effects.SendLaunch)
            best = self.best(effect.work[:8] if launch else None)
            if best is None:
                stay.append(effect)
                continue
            if launch:
                wanted = wanted or bool(best.out)
                best.out[effect.work[:8]] = effect.number
                best.carried[effect.work[:8]] = effect.job.expiry
                best.unsent.add(effect.number)
            best.queue(effect)
        self.outbox = stay
        if self.listed.mode is Mode.GONE:
            return False  # another may listen at its address by now
        if stay and self.connections:
            if len(self.connections) == most:  # its place is needed; what is out on it goes on
                min(self.connections, key=lambda c: len(c.out)).shut = True
            return len(self.connections) <= most and now >= self.shut_until
        wanted = (
            bool(stay)
            or (wanted or self.reopen or bool(self.standing) and not self.connections)
            and now >= self.shut_until
        )
        return wanted and len(self.connections) < most

    async def open(self) -> None:
        stream = why = None
        refused, within = False, self.limits.connect
        if not await self.descriptors.for_host(within):
            why = "no descriptor is free for it"
        else:
            try:
                with anyio.fail_after(within):
                    stream = await self.net.connect(parse_address(self.listed.addresses[0]))
            except TimeoutError:
                why = "it does not answer"
            except ValueError as error:
                why = str(error)
            except CONNECTION_ERRORS as error:
                why, refused = reason(error), isinstance(error.__cause__ or error, ConnectionRefusedError)
            finally:
                if stream is None:
                    self.descriptors.given_back(hosts=1)
        self.opening = False
        self.wake.set()
        if stream is None:
            await self.not_opened(why, refused)
            return
        now = self.heard_at = anyio.current_time()
        self.refusals, self.reopen = 0, False
        connection = Connection(self.next_number(), Link(stream, host_codec.FrameReader()), now)
        self.connections.append(connection)
        for task in self.stops:
            connection.queue(released(task))
        self.tasks.start_soon(self.serve, connection)

    async def not_opened(self, why: str, refused: bool) -> None:
        now = anyio.current_time()
        self.refusals = self.refusals + 1 if refused else 0
        self.shut_until = now + RETRY
        if not self.connections:
            unsent = tuple(e.number for e in self.outbox if isinstance(e, effects.SendLaunch))
            self.outbox.clear()
            for number in unsent:
                self.tasks_of.pop(number, None)
            await self.inbox.post(events.LinkDown(self.listed.id, 0, unsent, why))
            if self.standing and (self.refusals >= REFUSALS or now - self.heard_at > LOST_AFTER):
                self.log.warning("host lost", host=self.listed.id, reason=why, standing=len(self.standing))
                await self.inbox.post(events.HostLost(self.listed.id))
        self.tasks.start_soon(self.wake_later, RETRY)

    async def wake_later(self, seconds: float) -> None:
        await anyio.sleep(seconds)
        self.wake.set()

    async def serve(self, connection: Connection) -> None:
        try:
            await run_until_link_lost(self.write(connection), self.read(connection), self.mind(connection))
        except LinkLostError as error:
            why = str(error)
        except (
            Exception
        ) as error:  # a fault of ours that one host's bytes bring out ends that connection alone
            why = type(error).__name__
            self.log.error("fault", where=self.listed.id, trace=traceback.format_exc())
        finally:
            connection.shut = True
            await connection.link.close()
            self.descriptors.given_back(hosts=1)
            self.connections.remove(
                connection
            )  # only now: what is out on it may go elsewhere once it is closed
        for task, number in connection.out.items():
            self.tasks_of.pop(number, None)
            if number not in connection.unsent:
                self.unsettled[task] = connection.carried[task]
        self.reopen = (
            bool(self.standing) and anyio.current_time() - connection.used_at < self.idle * IDLE_SHARE
        )
        self.outbox.extendleft(
            effect for effect in reversed(connection.outbox) if isinstance(effect, effects.SendProbe)
        )
        unsent = tuple(number for number in connection.out.values() if number in connection.unsent)
        if connection.out:
            self.log.info(
                "launches cut", host=self.listed.id, reason=why, out=len(connection.out), unsent=len(unsent)
            )
        if connection.recalled:
            self.inbox.put(events.LaunchesCancelled(self.listed.id, tuple(connection.recalled.values())))
        if connection.out or connection.probes:
            await self.inbox.post(events.LinkDown(self.listed.id, connection.number, unsent, why))
        self.wake.set()

    async def write(self, connection: Connection) -> None:
        while True:
            await connection.wake.wait()
            connection.wake = anyio.Event()
            if connection.recalled or connection.unsent:
                # what a late loop has not read yet may be the answer (`after_all`), or the word of an owner that goes
                await read_what_came()
            data, recalled = self.gather(connection), dict(connection.recalled)
            if data:
                connection.used_at = anyio.current_time()
                await connection.link.send(data, SEND_WITHIN)
                if recalled:
                    for task in recalled:
                        del connection.recalled[task]
                    self.inbox.put(events.LaunchesCancelled(self.listed.id, tuple(recalled.values())))

    def gather(self, connection: Connection) -> bytes:
        """The bytes of the next write. The engine is told of launches in it before the first byte goes."""
        now, data, numbers, asks = anyio.current_time(), bytearray(), [], False
        while connection.outbox:
            effect = connection.outbox.popleft()
            if isinstance(effect, bytes):
                data += effect
            elif isinstance(effect, effects.SendProbe):
                probe = effect.number.to_bytes(8)
                connection.probes[probe] = effect.number
                data += host_codec.encode(Type.PING, probe, host_codec.parameter(Code.CAUSE, b"\x01"))
                asks = True
            elif self.stale(effect, now):
                self.hand_back([effect])
            else:
                connection.unsent.discard(effect.number)
                numbers.append(effect.number)
                wait = host_codec.parameter(Code.WAIT, b"%d" % ((effect.due - now) * 1000))
                data += host_codec.encode(Type.SETUP, effect.work[:8], effect.work[8:] + wait)
                asks = True
        if numbers:
            self.inbox.put(events.LaunchesSent(self.listed.id, connection.number, tuple(numbers)))
        if asks and not connection.asked_at:
            connection.asked_at = now
        return bytes(data)

    def stale(self, effect: effects.SendLaunch, now: float) -> bool:
        """Whether what it was decided on holds no more: a host that started again is cold, one that drains takes
        nothing, a labelled job's mark is forgotten, nobody waits for the job of an owner that has gone."""
        return (
            effect.boot != self.listed.boot
            or self.listed.mode is not Mode.SERVING
            or now >= min(effect.due, effect.send_by)
            or not self.wanted(effect.work[:8])
        )

    async def read(self, connection: Connection) -> None:
        while True:
            frames = await connection.link.receive_all()
            now = connection.used_at = self.heard_at = anyio.current_time()
            connection.asked_at, connection.tested = 0.0, False
            connection.unfinished_at = now if connection.link.reader.rest else 0.0
            received, fault = [], None
            for frame in frames:
                try:
                    event = self.said(connection, frame)
                except FrameError as error:
                    fault = error
                    break
                if event is not None:
                    received.append(event)
                    connection.idle_talk = 0
                elif frame.type in (Type.ANSWER, Type.RELEASE):
                    connection.idle_talk += 1
            await self.inbox.post(*received)
            if fault is not None:
                raise LinkLostError(f"bad frame: {fault}")
            if connection.idle_talk > IDLE_TALK:  # guards against one that takes the loop from all others
                raise LinkLostError(f"{connection.idle_talk} answers on end to nothing that is out")

    async def mind(self, connection: Connection) -> None:
        """Ends a connection that is of no more use; what hangs, cut off or spoilt looks like this."""
        while True:
            await anyio.sleep(LOOK)
            now = anyio.current_time()
            rest = connection.link.reader.rest
            connection.unfinished_at = (connection.unfinished_at or now) if rest else 0.0
            if rest and now - connection.unfinished_at > UNFINISHED:
                raise LinkLostError("a frame that does not end")
            if (
                connection.asked_at
                and now - connection.asked_at > SILENT * TEST_SHARE
                and not connection.tested
            ):
                # a host that says yes only as a job runs may be well and have nothing to say yet
                connection.tested = True
                connection.queue(test())
            if connection.asked_at and now - connection.asked_at > SILENT:
                raise LinkLostError(f"not a word for {SILENT:g} s")
            if len(connection.outbox) > QUEUE:
                raise LinkLostError(f"{len(connection.outbox)} messages wait for it")
            if connection.shut and not connection.out:
                raise LinkLostError("its last launch was not answered")
            last = self.standing and len(self.connections) == 1
            if now - connection.used_at > self.idle * IDLE_SHARE and not connection.out and not self.standing:
                raise LinkLostError(
                    "idle"
                )  # while jobs stand the host may be about to say on it that one has ended
            if (
                self.descriptors.wanted
                and self.descriptors.full
                and not connection.out
                and not self.standing
                and (now - connection.used_at > LOOK)
            ):
                raise LinkLostError("idle, and its descriptor is wanted")
            for spent in connection.carried, self.unsettled:
                for task in [
                    task for task, until in spent.items() if until <= now and task not in connection.out
                ]:
                    del spent[task]
            if last and not connection.asked_at and now - self.heard_at > QUIET:
                connection.asked_at, connection.tested = now, True
                connection.queue(test())

    # -- what the host says

    def said(self, connection: Connection, frame: host_codec.Frame):
        """The engine's event, or None. Raises FrameError."""
        host, task = self.listed.id, frame.task
        if frame.type == Type.NOTE:
            number, what = self.standing.get(task), NOTE_NAMES.get(frame.text(Code.NAME))
            value = host_codec.figure(frame.text(Code.FIGURE)) if what != "started" else 1.0
            if number is None or what is None or value is None:
                return None
            return events.MetricReported(host, events.LaunchId(LIFE, number), what, value)
        if frame.type == Type.PONG:
            number = connection.probes.pop(task, None)
            if number is None or frame.cause() != 1:
                return None
            figures = frame.pairs(Code.REPORT)
            return events.ProbeReported(
                host,
                number,
                {
                    self.report_names[name]: value
                    for name, value in figures.items()
                    if name in self.report_names
                },
            )
        if (
            frame.type == Type.ANSWER
            and task in connection.out
            and connection.out[task] not in connection.unsent
        ):
            description = frame.text(Code.DESCRIPTION)
            if not description:
                raise FrameError("an answer without a description")
            number = connection.out.pop(task)
            self.standing[task] = number
            return events.Accepted(host, events.LaunchId(LIFE, number), description)
        if frame.type == Type.ANSWER and task in connection.recalled:
            return self.after_all(connection, frame)
        if frame.type == Type.RELEASE:
            return self.released(connection, frame)
        if frame.type == Type.PING:
            connection.queue(host_codec.encode(Type.PONG, task, host_codec.parameter(Code.CAUSE, b"\x01")))
        return None  # second copies, unknown tasks and what means nothing are passed over

    def after_all(self, connection: Connection, frame: host_codec.Frame):
        """Answered before the word that gives it up was written: that word is taken back. Passed over, the job would
        stand there until it was, and be launched elsewhere as if it never had."""
        task, description = frame.task, frame.text(Code.DESCRIPTION)
        if not description or released(task) not in connection.outbox:
            return None  # the word is on its way, and ends it there
        connection.outbox.remove(released(task))
        number = connection.recalled.pop(task)
        self.tasks_of[number] = task
        self.standing[task] = number
        return events.Accepted(
            self.listed.id, events.LaunchId(LIFE, number), description, cancel_withdrawn=True
        )

    def released(self, connection: Connection, frame: host_codec.Frame):
        host, task, cause = self.listed.id, frame.task, frame.cause()
        why = WHY.get(frame.text(Code.NAME), Reason.UNTOLD)
        number = connection.out.get(task)
        stale = task in self.unsettled and cause not in FIRST_WORDS
        if stale and task not in self.stops and (cause == owner_codec.ENDED_OTHERWISE or number is not None):
            return None  # of the launch before, which it had taken when the word came that gives it up
        if number is not None and number not in connection.unsent:
            del connection.out[task]
            self.tasks_of.pop(number, None)
            launch = events.LaunchId(LIFE, number)
            if cause == owner_codec.REFUSED:
                return events.Refused(host, launch, why)
            if cause == owner_codec.NEVER_LEFT:
                return events.LaunchesUnsent(host, (number,))
            return events.LaunchEnded(
                host, launch, Result.ERROR if cause == owner_codec.FAILED else Result.CUT, why
            )
        number = self.standing.pop(task, None)
        if number is None:
            return None
        self.tasks_of.pop(number, None)
        self.stops.pop(task, None)
        return events.LaunchEnded(host, events.LaunchId(LIFE, number), ENDS.get(cause, Result.CUT), why)


def test() -> bytes:
    return host_codec.encode(Type.PING, bytes(8), host_codec.parameter(Code.CAUSE, b"\x00"))


def released(task: bytes) -> bytes:
    return host_codec.encode(
        Type.RELEASE, task, host_codec.parameter(Code.CAUSE, bytes([owner_codec.GIVEN_UP]))
    )
