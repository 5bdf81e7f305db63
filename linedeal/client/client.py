"""A client without a session: one link to one controller, on which any number of jobs wait for their answer.

async with Client.connect(net, address, "school-7") as client:
    answer = await client.submit(JobRequest("course-reader", "school", "readers", 2.0, 4.0))
"""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass

import anyio

from linedeal.net import Address, Link, LinkLostError, Net, open_link
from linedeal.protocol import VERSION, FrameReader, encode, pb

VERDICTS = {pb.PLACED: "placed", pb.REJECTED: "rejected", pb.WRITTEN_OFF: "written off"}


@dataclass(frozen=True, slots=True)
class JobRequest:
    """What a job requires: `cores`, and `memory` in the cluster's unit.

    `wait` is the time limit in seconds for finding a host; 0 means as long as the offering allows.
    """

    offering: str
    customer: str
    service: str
    cores: float
    memory: float
    wait: float = 0.0


@dataclass(frozen=True, slots=True)
class JobAnswer:
    """The one answer to a job.

    `verdict` is placed, rejected (it did not run, so a retry is harmless) or written off (it may have run).
    """

    job: str
    verdict: str
    host: str


class JobDeclinedError(Exception):
    """The controller did not accept the job and has no record of it; a retry is harmless."""

    def __init__(self, reason: str, retry_after: float):
        """Sets the controller's reason and its advice on when to retry."""
        super().__init__(reason)
        self.retry_after = retry_after  # seconds; 0 if a retry will not help


class ConnectionLostError(Exception):
    """The link was lost before the answer arrived, or could not be opened.

    `may_have_run` is true if the submission may have reached the controller: then only a redoable job may be
    submitted again.
    """

    def __init__(self, reason: str, may_have_run: bool):
        """Sets the reason and whether the job may have run."""
        super().__init__(reason)
        self.may_have_run = may_have_run


@dataclass(slots=True, eq=False)
class PendingJob:
    """A submission that has not been answered; the event is set when it is, or when the link is lost."""

    event: anyio.Event
    result: object = None
    accepted_as: str = ""  # the controller's id of the job, once accepted


class Client:
    """The client's end of one link, opened with `Client.connect`.

    `disconnect_reason` is empty while connected.
    """

    def __init__(self, link: Link):
        """Uses an open link; `read` has to run for answers to arrive."""
        self.link = link
        self.pending: dict[str, PendingJob] = {}
        self.key_count = 0
        self.disconnect_reason = ""
        self.send_lock = anyio.Lock()

    @classmethod
    @asynccontextmanager
    async def connect(
        cls, net: Net, address: Address, name: str, timeout: float = 5.0
    ) -> AsyncIterator["Client"]:
        """Connects for the duration of the block; leaving it withdraws all jobs that are not answered.

        `timeout` in seconds. Raises ConnectionLostError. For jobs that survive a lost link or a controller
        restart, use `client.Owner`.
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
            raise ConnectionLostError(f"closed by the controller: {welcome.reason}", False)
        client, failure = cls(link), None
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(client.read)
                try:
                    yield client
                except Exception as error:
                    failure = error  # raised below: the task group would wrap it in an exception group
                tasks.cancel_scope.cancel()
        finally:
            await link.close()
        if failure is not None:
            raise failure

    async def read(self) -> None:
        """Receives answers until the link is lost, then wakes everything that waits."""
        try:
            while True:
                message = await self.link.receive()
                pending = self.pending.get(getattr(message, "key", ""))
                if pending is None:
                    if isinstance(message, pb.Bye):
                        raise LinkLostError(f"closed by the controller: {message.reason}")
                elif isinstance(message, pb.Taken):
                    pending.accepted_as = message.job
                else:
                    pending.result = message
                    pending.event.set()
        except LinkLostError as error:
            self.disconnect_reason = str(error)
            for pending in self.pending.values():
                pending.event.set()

    async def submit(self, request: JobRequest, key: str = "") -> JobAnswer:
        """Submits a job and returns its one answer; cancelling the call withdraws the job.

        `key` identifies the submission on this link; it is generated if empty. Raises JobDeclinedError and
        ConnectionLostError.
        """
        self.key_count += 1
        key = key or f"j{self.key_count}"
        if self.disconnect_reason:
            raise ConnectionLostError(self.disconnect_reason, False)
        pending = self.pending[key] = PendingJob(anyio.Event())
        spec = pb.JobSpec(
            offering=request.offering,
            customer=request.customer,
            service=request.service,
            cores=request.cores,
            memory=request.memory,
        )
        try:
            await self.send(pb.Submit(key=key, job=spec, wait=request.wait))
            await pending.event.wait()
        except LinkLostError as error:
            raise ConnectionLostError(str(error), True) from None  # the controller may have received it
        except anyio.get_cancelled_exc_class():
            with anyio.CancelScope(shield=True), anyio.move_on_after(1.0):
                await self.withdraw(key)
            raise
        finally:
            del self.pending[key]
        message = pending.result
        if message is None:
            raise ConnectionLostError(self.disconnect_reason, True)
        if isinstance(message, pb.TurnedAway):
            raise JobDeclinedError(message.reason, message.retry_after)
        return JobAnswer(message.job, VERDICTS.get(message.verdict, "written off"), message.host)

    async def withdraw(self, key: str) -> None:
        """Withdraws a job that is not answered yet; does nothing if the link is lost."""
        try:
            await self.send(pb.TakeBack(key=key))
        except LinkLostError:
            pass  # the controller withdraws a client's jobs when its link is lost

    async def send(self, message) -> None:
        """Sends one message. Raises LinkLostError."""
        async with self.send_lock:
            await self.link.send(encode(message))
