"""One link to one controller, with many jobs on it.

async with Client.connect(net, address, "school-7") as client:
    answer = await client.submit(JobRequest("course-reader", "school", "readers", 2.0, 4.0))
"""

from contextlib import asynccontextmanager
from dataclasses import dataclass
from typing import AsyncIterator

import anyio

from linedeal.net import Address, Link, LinkLostError, Net, open_link
from linedeal.protocol import VERSION, FrameReader, encode, pb

VERDICTS = {pb.PLACED: "placed", pb.REJECTED: "rejected", pb.WRITTEN_OFF: "written off"}


@dataclass(frozen=True, slots=True)
class JobRequest:
    """Cores, memory in the cluster's unit, seconds to wait (0: as long as the offering allows)."""

    offering: str
    customer: str
    service: str
    cores: float
    memory: float
    wait: float = 0.0


@dataclass(frozen=True, slots=True)
class Answered:
    """`verdict`: placed, rejected (trying again is harmless) or written off (it may have run)."""

    job: str
    verdict: str
    host: str


class JobDeclinedError(Exception):
    """The controller did not take the job: it holds nothing of it, and trying again is harmless."""

    def __init__(self, reason: str, retry_after: float):
        super().__init__(reason)
        self.retry_after = retry_after  # seconds; 0 where trying again will not help


class ConnectionLostError(Exception):
    """The link ended before the answer. `may_have_run` tells whether the controller had taken the job by then: if so it
    may have run, and only a redoable one may be asked for again."""

    def __init__(self, why: str, may_have_run: bool):
        super().__init__(why)
        self.may_have_run = may_have_run


@dataclass(slots=True, eq=False)
class Waiting:
    event: anyio.Event
    result: object = None
    taken: str = ""


class Client:
    def __init__(self, link: Link):
        self.link = link
        self.waiting: dict[str, Waiting] = {}
        self.keys = 0
        self.disconnect_reason = ""
        self.writing = anyio.Lock()

    @classmethod
    @asynccontextmanager
    async def connect(
        cls, net: Net, address: Address, name: str, timeout: float = 5.0
    ) -> AsyncIterator["Client"]:
        """A client for the block; leaving it takes back all that still waits. Raises ConnectionLostError.

        Jobs that outlive link and controller are asked for by a `client.Owner`.
        """
        try:
            link, welcome = await open_link(
                net,
                address,
                FrameReader(),
                encode(pb.Hello(version=VERSION, role=pb.CLIENT, name=name)),
                timeout,
            )
        except LinkLostError as error:
            raise ConnectionLostError(str(error), False) from None
        if isinstance(welcome, pb.Bye):
            await link.close()
            raise ConnectionLostError(f"told to go: {welcome.reason}", False)
        client, fault = cls(link), None
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(client.read)
                try:
                    yield client
                except Exception as error:
                    fault = error  # a task group would wrap it
                tasks.cancel_scope.cancel()
        finally:
            await link.close()
        if fault is not None:
            raise fault

    async def read(self) -> None:
        try:
            while True:
                message = await self.link.receive()
                waiting = self.waiting.get(getattr(message, "key", ""))
                if waiting is None:
                    if isinstance(message, pb.Bye):
                        raise LinkLostError(f"told to go: {message.reason}")
                elif isinstance(message, pb.Taken):
                    waiting.taken = message.job
                else:
                    waiting.result = message
                    waiting.event.set()
        except LinkLostError as error:
            self.disconnect_reason = str(error)
            for waiting in self.waiting.values():
                waiting.event.set()

    async def submit(self, ask: JobRequest, key: str = "") -> Answered:
        """The job's one answer. Raises JobDeclinedError or ConnectionLostError. Cancelled, it takes the job back."""
        self.keys += 1
        key = key or f"j{self.keys}"
        if self.disconnect_reason:
            raise ConnectionLostError(self.disconnect_reason, False)
        waiting = self.waiting[key] = Waiting(anyio.Event())
        spec = pb.JobSpec(
            offering=ask.offering,
            customer=ask.customer,
            service=ask.service,
            cores=ask.cores,
            memory=ask.memory,
        )
        try:
            await self.send(pb.Submit(key=key, job=spec, wait=ask.wait))
            await waiting.event.wait()
        except LinkLostError as error:
            raise ConnectionLostError(str(error), True) from None  # the job may have got there
        except anyio.get_cancelled_exc_class():
            with anyio.CancelScope(shield=True), anyio.move_on_after(1.0):
                await self.take_back(key)
            raise
        finally:
            del self.waiting[key]
        message = waiting.result
        if message is None:
            raise ConnectionLostError(self.disconnect_reason, True)
        if isinstance(message, pb.TurnedAway):
            raise JobDeclinedError(message.reason, message.retry_after)
        return Answered(message.job, VERDICTS.get(message.verdict, "written off"), message.host)

    async def take_back(self, key: str) -> None:
        try:
            await self.send(pb.TakeBack(key=key))
        except LinkLostError:
            pass  # leaving takes it back as well

    async def send(self, message) -> None:
        async with self.writing:
            await self.link.send(encode(message))
