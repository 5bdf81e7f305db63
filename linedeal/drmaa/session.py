"""Job sessions in the manner of GFD.194, async: the owner's jobs under the standard's names and errors."""

import time
from contextlib import asynccontextmanager, contextmanager
from typing import AsyncIterator, Iterable, Iterator, Sequence

import anyio

from linedeal.client.client import JobDeclinedError
from linedeal.client.contact import Contact, ContactError, default_contact, parse_contact, token_of
from linedeal.client.owner import (
    END,
    HOLD,
    RELEASE,
    NoSuchJobError,
    OrderRefusedError,
    Owner,
    SessionOpenError,
    JobStatus,
)
from linedeal.drmaa import errors, translate
from linedeal.drmaa.errors import V1
from linedeal.drmaa.model import STATES, JobInfo, JobState, JobTemplate, info_of
from linedeal.net import Net, TcpNet

FOREVER = float("inf")
REFUSALS = {HOLD: V1.HOLD_INCONSISTENT_STATE, RELEASE: V1.RELEASE_INCONSISTENT_STATE, END: V1.INVALID_JOB}


def contact_of(text: str, name: str = "") -> Contact:
    """The contact of a session; an empty text is the default one. Raises InvalidSession."""
    text = text or default_contact()
    if not text:
        raise errors.InvalidSession(
            "no contact, and LINEDEAL_CONTACT is not set", V1.NO_DEFAULT_CONTACT_STRING_SELECTED
        )
    try:
        contact = parse_contact(text)
        if name:
            contact = parse_contact(str(Contact(contact.controllers, name, contact.customer)))
        return contact.named()
    except ContactError as error:
        raise errors.InvalidSession(str(error), V1.INVALID_CONTACT_STRING) from None


@asynccontextmanager
async def open_job_session(
    contact: str = "", name: str = "", net: Net | None = None, token: str = ""
) -> AsyncIterator["AsyncJobSession"]:
    """The session for the block; its jobs go on when it is left, and the same contact opens it again."""
    place = contact_of(contact, name)
    try:
        token = token or token_of(place.customer)
    except ContactError as error:
        raise errors.InvalidSession(str(error), V1.AUTH_FAILURE) from None
    try:
        async with Owner.open(net or TcpNet(), place, token) as owner:
            yield AsyncJobSession(owner)
    except SessionOpenError as fault:
        if fault.refused:
            raise errors.InvalidSession(str(fault), V1.AUTH_FAILURE) from None
        raise errors.DrmCommunication(str(fault)) from None


class AsyncJobSession:
    def __init__(self, owner: Owner):
        self.owner = owner

    @property
    def contact(self) -> str:
        return str(self.owner.contact)

    @property
    def name(self) -> str:
        return self.owner.contact.session

    @property
    def job_categories(self) -> tuple[str, ...]:
        """The cluster's offerings, as its controllers tell them."""
        return tuple(sorted(self.owner.effects))

    async def run_job(self, template: JobTemplate, timeout: float = 30.0) -> "AsyncJob":
        """Returns when the cluster has taken the job. Raises DeniedByDrms, TryLater, InvalidArgument,
        UnsupportedAttribute, DrmCommunication."""
        request = self.request(template)
        with submitting():
            key = await self.owner.submit(
                request.ask, "", request.work, request.hold, request.start_in, timeout
            )
        return AsyncJob(self, key)

    async def run_bulk_jobs(
        self, template: JobTemplate, begin: int, end: int, step: int = 1, timeout: float = 60.0
    ) -> "AsyncJobArray":
        """One job an index, all taken or none left: those taken before a refusal are ended again."""
        numbers = translate.indices(begin, end, step)
        array = self.owner.new_key()
        requests = [self.request(template, index) for index in numbers]
        with submitting():
            keys = await self.owner.submit_many(
                [
                    (request.ask, f"{array}.{index}", request.work)
                    for index, request in zip(numbers, requests)
                ],
                template.submit_as_hold,
                requests[0].start_in,
                timeout,
            )
        return AsyncJobArray(self, array, tuple(AsyncJob(self, key) for key in keys))

    def request(self, template: JobTemplate, index: int = 0) -> translate.Request:
        request = translate.request_of(template, time.time(), index)
        if request.ask.offering not in self.owner.effects:
            raise errors.InvalidArgument(f"no offering {request.ask.offering!r}", V1.INVALID_ATTRIBUTE_VALUE)
        return request

    def jobs(self, states: Iterable[JobState] | None = None) -> list["AsyncJob"]:
        """Those not reaped, in the order in which they were taken; of these states only, if given."""
        wanted = None if states is None else set(states)
        return [
            AsyncJob(self, key)
            for key in self.owner.keys()
            if wanted is None or STATES[self.owner.status(key).stage] in wanted
        ]

    async def job(self, job_id: str) -> "AsyncJob":
        """Raises InvalidArgument where no controller knows it."""
        with known_jobs():
            await self.owner.find(job_id)
        return AsyncJob(self, job_id)

    def job_array(self, array_id: str) -> "AsyncJobArray":
        jobs = tuple(job for job in self.jobs() if job.job_id.rpartition(".")[0] == array_id)
        if not jobs:
            raise errors.InvalidArgument(f"no job array {array_id!r}", V1.INVALID_JOB)
        return AsyncJobArray(self, array_id, jobs)

    async def wait_any_started(self, jobs: Sequence["AsyncJob"], timeout: float = FOREVER) -> "AsyncJob":
        return AsyncJob(self, (await self.wait([job.job_id for job in jobs], started, timeout))[0].key)

    async def wait_any_terminated(self, jobs: Sequence["AsyncJob"], timeout: float = FOREVER) -> "AsyncJob":
        return AsyncJob(self, (await self.wait([job.job_id for job in jobs], terminated, timeout))[0].key)

    async def wait_all_terminated(
        self, jobs: Sequence["AsyncJob"], timeout: float = FOREVER
    ) -> list[JobInfo]:
        found = await self.wait([job.job_id for job in jobs], terminated, timeout, every=True)
        return [info_of(standing) for standing in found]

    async def wait(self, keys: Sequence[str], test, timeout: float, every: bool = False) -> list[JobStatus]:
        """Raises Timeout after so many seconds (0: only looks), InvalidArgument for a job that is not there."""
        if not keys:
            raise errors.InvalidArgument("no jobs to wait for", V1.INVALID_JOB)
        with known_jobs():
            for key in keys:
                await self.owner.find(key)
            with anyio.move_on_after(max(timeout, 0.0) if timeout != FOREVER else None):
                if timeout <= 0:
                    held = [standing for standing in map(self.owner.status, keys) if test(standing)]
                    if len(held) == len(keys) or held and not every:
                        return held
                else:
                    return await self.owner.wait_until(keys, test, every)
        raise errors.Timeout(f"not within {timeout:g} s")


class AsyncJob:
    def __init__(self, session: AsyncJobSession, job_id: str):
        self.session, self.job_id = session, job_id

    def __repr__(self) -> str:
        return f"<job {self.job_id}>"

    async def hold(self) -> None:
        await self.order(HOLD)

    async def release(self) -> None:
        await self.order(RELEASE)

    async def terminate(self) -> None:
        """Ended at once where no host has it; else as soon as its host says so."""
        await self.order(END)

    async def suspend(self) -> None:
        raise errors.UnsupportedOperation("hosts do not suspend jobs")

    async def resume(self) -> None:
        raise errors.UnsupportedOperation("hosts do not suspend jobs")

    async def order(self, kind: int) -> None:
        with known_jobs():
            try:
                await self.session.owner.find(self.job_id)
                await self.session.owner.order(self.job_id, kind)
            except OrderRefusedError as error:
                raise errors.InvalidState(f"{self.job_id}: {error}", REFUSALS[kind]) from None

    async def state(self) -> tuple[JobState, str]:
        """With the cluster's own word for it."""
        standing = await self.standing()
        return STATES[standing.stage], standing.stage

    async def info(self) -> JobInfo:
        return info_of(await self.standing())

    async def standing(self) -> JobStatus:
        with known_jobs():
            return await self.session.owner.find(self.job_id)

    async def wait_started(self, timeout: float = FOREVER) -> JobInfo:
        """Until it runs, or ended without."""
        return info_of((await self.session.wait([self.job_id], started, timeout))[0])

    async def wait_terminated(self, timeout: float = FOREVER) -> JobInfo:
        return info_of((await self.session.wait([self.job_id], terminated, timeout))[0])

    async def reap(self) -> None:
        """Nothing more is kept of it. Raises InvalidState before its end."""
        with known_jobs():
            if not (await self.session.owner.find(self.job_id)).over:
                raise errors.InvalidState(f"{self.job_id} has not ended", V1.INVALID_JOB)
            await self.session.owner.forget(self.job_id)


class AsyncJobArray:
    def __init__(self, session: AsyncJobSession, job_array_id: str, jobs: tuple[AsyncJob, ...]):
        self.session, self.job_array_id, self.jobs = session, job_array_id, jobs

    async def hold(self) -> None:
        await self.each("hold")

    async def release(self) -> None:
        await self.each("release")

    async def terminate(self) -> None:
        await self.each("terminate")

    async def each(self, what: str) -> None:
        """All are tried; the first refusal is raised after that."""
        faults = []

        async def one(job):
            try:
                await getattr(job, what)()
            except errors.DrmaaError as error:
                faults.append(error)

        async with anyio.create_task_group() as tasks:
            for job in self.jobs:
                tasks.start_soon(one, job)
        if faults:
            raise faults[0]

    async def wait_terminated(self, timeout: float = FOREVER) -> list[JobInfo]:
        return await self.session.wait_all_terminated(self.jobs, timeout)


def started(standing: JobStatus) -> bool:
    return standing.stage == "running" or standing.over


def terminated(standing: JobStatus) -> bool:
    return standing.over


@contextmanager
def submitting() -> Iterator[None]:
    """Turns what a submission can meet into the standard's errors."""
    try:
        yield
    except JobDeclinedError as error:
        raise (errors.TryLater if error.retry_after else errors.DeniedByDrms)(str(error)) from None
    except TimeoutError:
        raise errors.DrmCommunication("no controller said whether the job was taken") from None


@contextmanager
def known_jobs() -> Iterator[None]:
    """A job that no controller knows is an invalid argument."""
    try:
        yield
    except NoSuchJobError as error:
        raise errors.InvalidArgument(f"no job {error.args[0]!r} in this session", V1.INVALID_JOB) from None
