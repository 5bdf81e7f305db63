"""Asynchronous job sessions of GFD.194: a wrapper of `client.Owner` with the standard's names and errors."""

import time
from collections.abc import AsyncIterator, Iterable, Iterator, Sequence
from contextlib import asynccontextmanager, contextmanager

import anyio

from linedeal.client.client import JobDeclinedError
from linedeal.client.contact import Contact, ContactError, default_contact, parse_contact, read_token
from linedeal.client.owner import (
    END,
    HOLD,
    RELEASE,
    JobStatus,
    NoSuchJobError,
    OrderRefusedError,
    Owner,
    SessionOpenError,
)
from linedeal.drmaa import errors, translate
from linedeal.drmaa.errors import V1
from linedeal.drmaa.model import STATE_OF_STAGE, JobInfo, JobState, JobTemplate, info_of
from linedeal.net import Net, TcpNet

FOREVER = float("inf")  # a timeout that never expires
# order -> version 1's error number if the controller refuses it
REFUSAL_NUMBERS = {
    HOLD: V1.HOLD_INCONSISTENT_STATE,
    RELEASE: V1.RELEASE_INCONSISTENT_STATE,
    END: V1.INVALID_JOB,
}


def contact_of(text: str, name: str = "") -> Contact:
    """Parses a contact string, the default one if it is empty, and sets the session's name if given.

    Raises InvalidSession.
    """
    text = text or default_contact()
    if not text:
        raise errors.InvalidSession(
            "no contact, and LINEDEAL_CONTACT is not set", V1.NO_DEFAULT_CONTACT_STRING_SELECTED
        )
    try:
        contact = parse_contact(text)
        if name:
            contact = parse_contact(str(Contact(contact.controllers, name, contact.customer)))
        return contact.with_session_name()
    except ContactError as error:
        raise errors.InvalidSession(str(error), V1.INVALID_CONTACT_STRING) from None


@asynccontextmanager
async def open_job_session(
    contact: str = "", name: str = "", net: Net | None = None, token: str = ""
) -> AsyncIterator["AsyncJobSession"]:
    """Opens a session for the duration of the block; its jobs continue, and the same contact opens it again.

    Without `token` the customer's key is read from the environment. Raises InvalidSession and
    DrmCommunication.
    """
    parsed = contact_of(contact, name)
    try:
        token = token or read_token(parsed.customer)
    except ContactError as error:
        raise errors.InvalidSession(str(error), V1.AUTH_FAILURE) from None
    try:
        async with Owner.open(net or TcpNet(), parsed, token) as owner:
            yield AsyncJobSession(owner)
    except SessionOpenError as error:
        if error.refused:
            raise errors.InvalidSession(str(error), V1.AUTH_FAILURE) from None
        raise errors.DrmCommunication(str(error)) from None


class AsyncJobSession:
    """An open session. Timeouts are in seconds; a wait with timeout 0 only checks the current state."""

    def __init__(self, owner: Owner):
        """Uses an open client session."""
        self.owner = owner

    @property
    def contact(self) -> str:
        """The contact string that opens this session again."""
        return str(self.owner.contact)

    @property
    def name(self) -> str:
        """The session's name."""
        return self.owner.contact.session

    @property
    def job_categories(self) -> tuple[str, ...]:
        """The names of the cluster's offerings, as announced by its controllers."""
        return tuple(sorted(self.owner.redoable_by_offering))

    async def run_job(self, template: JobTemplate, timeout: float = 30.0) -> "AsyncJob":
        """Submits a job and returns once the cluster has accepted it.

        Raises DeniedByDrms, TryLater, InvalidArgument, UnsupportedAttribute and DrmCommunication.
        """
        request = self.request(template)
        with translate_submit_errors():
            key = await self.owner.submit(
                request.job, "", request.work, request.hold, request.start_in, timeout
            )
        return AsyncJob(self, key)

    async def run_bulk_jobs(
        self, template: JobTemplate, begin: int, end: int, step: int = 1, timeout: float = 60.0
    ) -> "AsyncJobArray":
        """Submits one job per index; if one is declined, those accepted before it are ended.

        Raises the same errors as `run_job`.
        """
        numbers = translate.indices(begin, end, step)
        array = self.owner.new_key()
        requests = [self.request(template, index) for index in numbers]
        with translate_submit_errors():
            keys = await self.owner.submit_many(
                [
                    (request.job, f"{array}.{index}", request.work)
                    for index, request in zip(numbers, requests, strict=False)
                ],
                template.submit_as_hold,
                requests[0].start_in,
                timeout,
            )
        return AsyncJobArray(self, array, tuple(AsyncJob(self, key) for key in keys))

    def request(self, template: JobTemplate, index: int = 0) -> translate.Request:
        """Translates a template, for a bulk index if not 0.

        Raises InvalidArgument and UnsupportedAttribute.
        """
        request = translate.request_of(template, time.time(), index)
        if request.job.offering not in self.owner.redoable_by_offering:
            raise errors.InvalidArgument(f"no offering {request.job.offering!r}", V1.INVALID_ATTRIBUTE_VALUE)
        return request

    def jobs(self, states: Iterable[JobState] | None = None) -> list["AsyncJob"]:
        """Returns the jobs that are not reaped, in order of acceptance; only those in `states` if given."""
        wanted = None if states is None else set(states)
        return [
            AsyncJob(self, key)
            for key in self.owner.keys()
            if wanted is None or STATE_OF_STAGE[self.owner.status(key).stage] in wanted
        ]

    async def job(self, job_id: str) -> "AsyncJob":
        """Returns the job with this id. Raises InvalidArgument if no controller knows it."""
        with translate_unknown_jobs():
            await self.owner.find(job_id)
        return AsyncJob(self, job_id)

    def job_array(self, array_id: str) -> "AsyncJobArray":
        """Returns the bulk with this id. Raises InvalidArgument if none of its jobs is left."""
        jobs = tuple(job for job in self.jobs() if job.job_id.rpartition(".")[0] == array_id)
        if not jobs:
            raise errors.InvalidArgument(f"no job array {array_id!r}", V1.INVALID_JOB)
        return AsyncJobArray(self, array_id, jobs)

    async def wait_any_started(self, jobs: Sequence["AsyncJob"], timeout: float = FOREVER) -> "AsyncJob":
        """Returns the first job that runs or has ended. Raises Timeout and InvalidArgument."""
        return AsyncJob(self, (await self.wait([job.job_id for job in jobs], started, timeout))[0].key)

    async def wait_any_terminated(self, jobs: Sequence["AsyncJob"], timeout: float = FOREVER) -> "AsyncJob":
        """Returns the first job that has ended. Raises Timeout and InvalidArgument."""
        return AsyncJob(self, (await self.wait([job.job_id for job in jobs], terminated, timeout))[0].key)

    async def wait_all_terminated(
        self, jobs: Sequence["AsyncJob"], timeout: float = FOREVER
    ) -> list[JobInfo]:
        """Returns the infos of all jobs once all have ended. Raises Timeout and InvalidArgument."""
        statuses = await self.wait([job.job_id for job in jobs], terminated, timeout, every=True)
        return [info_of(status) for status in statuses]

    async def wait(
        self, keys: Sequence[str], predicate, timeout: float, every: bool = False
    ) -> list[JobStatus]:
        """Waits until the predicate is true for one job, or with `every` for all, and returns these statuses.

        Raises Timeout after `timeout` seconds (0 only checks the current state), and InvalidArgument for an
        unknown job.
        """
        if not keys:
            raise errors.InvalidArgument("no jobs to wait for", V1.INVALID_JOB)
        with translate_unknown_jobs():
            for key in keys:
                await self.owner.find(key)
            with anyio.move_on_after(max(timeout, 0.0) if timeout != FOREVER else None):
                if timeout <= 0:
                    matching = [status for status in map(self.owner.status, keys) if predicate(status)]
                    if len(matching) == len(keys) or matching and not every:
                        return matching
                else:
                    return await self.owner.wait_until(keys, predicate, every)
        raise errors.Timeout(f"timed out after {timeout:g} s")


class AsyncJob:
    """A job of a session. An operation on a job that no controller knows raises InvalidArgument."""

    def __init__(self, session: AsyncJobSession, job_id: str):
        """Refers to a job of the session by its id, without checking it."""
        self.session, self.job_id = session, job_id

    def __repr__(self) -> str:
        """The job's id, for debugging."""
        return f"<job {self.job_id}>"

    async def hold(self) -> None:
        """Keeps a waiting job from being launched. Raises InvalidState if it has been launched."""
        await self.order(HOLD)

    async def release(self) -> None:
        """Releases a held job. Raises InvalidState if it is not held."""
        await self.order(RELEASE)

    async def terminate(self) -> None:
        """Ends the job: at once if no host has it, otherwise when its host confirms. Raises InvalidState."""
        await self.order(END)

    async def suspend(self) -> None:
        """Always raises UnsupportedOperation."""
        raise errors.UnsupportedOperation("hosts do not suspend jobs")

    async def resume(self) -> None:
        """Always raises UnsupportedOperation."""
        raise errors.UnsupportedOperation("hosts do not suspend jobs")

    async def order(self, kind: int) -> None:
        """Sends HOLD, RELEASE or END. Raises InvalidState if the controller refuses it."""
        with translate_unknown_jobs():
            try:
                await self.session.owner.find(self.job_id)
                await self.session.owner.order(self.job_id, kind)
            except OrderRefusedError as error:
                raise errors.InvalidState(f"{self.job_id}: {error}", REFUSAL_NUMBERS[kind]) from None

    async def state(self) -> tuple[JobState, str]:
        """Returns the state, and as sub-state the cluster's name of the stage."""
        status = await self.status()
        return STATE_OF_STAGE[status.stage], status.stage

    async def info(self) -> JobInfo:
        """Returns the job's current info."""
        return info_of(await self.status())

    async def status(self) -> JobStatus:
        """Returns the client library's status of the job."""
        with translate_unknown_jobs():
            return await self.session.owner.find(self.job_id)

    async def wait_started(self, timeout: float = FOREVER) -> JobInfo:
        """Waits until the job runs or has ended. Raises Timeout."""
        return info_of((await self.session.wait([self.job_id], started, timeout))[0])

    async def wait_terminated(self, timeout: float = FOREVER) -> JobInfo:
        """Waits until the job has ended. Raises Timeout."""
        return info_of((await self.session.wait([self.job_id], terminated, timeout))[0])

    async def reap(self) -> None:
        """Deletes all records of the job. Raises InvalidState if it has not ended."""
        with translate_unknown_jobs():
            if not (await self.session.owner.find(self.job_id)).over:
                raise errors.InvalidState(f"{self.job_id} has not ended", V1.INVALID_JOB)
            await self.session.owner.forget(self.job_id)


class AsyncJobArray:
    """The jobs of one bulk submission."""

    def __init__(self, session: AsyncJobSession, job_array_id: str, jobs: tuple[AsyncJob, ...]):
        """Groups jobs of the session under the array's id."""
        self.session, self.job_array_id, self.jobs = session, job_array_id, jobs

    async def hold(self) -> None:
        """Holds every job; raises the first error after all have been tried."""
        await self.each("hold")

    async def release(self) -> None:
        """Releases every job; raises the first error after all have been tried."""
        await self.each("release")

    async def terminate(self) -> None:
        """Ends every job; raises the first error after all have been tried."""
        await self.each("terminate")

    async def each(self, operation: str) -> None:
        """Calls the AsyncJob method of this name on all jobs; raises the first DrmaaError after that."""
        failures = []

        async def call_one(job):
            try:
                await getattr(job, operation)()
            except errors.DrmaaError as error:
                failures.append(error)

        async with anyio.create_task_group() as tasks:
            for job in self.jobs:
                tasks.start_soon(call_one, job)
        if failures:
            raise failures[0]

    async def wait_terminated(self, timeout: float = FOREVER) -> list[JobInfo]:
        """Waits until all jobs have ended. Raises Timeout."""
        return await self.session.wait_all_terminated(self.jobs, timeout)


def started(status: JobStatus) -> bool:
    """Whether the job runs, or has ended."""
    return status.stage == "running" or status.over


def terminated(status: JobStatus) -> bool:
    """Whether the job has ended."""
    return status.over


@contextmanager
def translate_submit_errors() -> Iterator[None]:
    """Raises the errors of a submission as those of the standard."""
    try:
        yield
    except JobDeclinedError as error:
        raise (errors.TryLater if error.retry_after else errors.DeniedByDrms)(str(error)) from None
    except TimeoutError:
        raise errors.DrmCommunication("no controller reported whether the job was accepted") from None


@contextmanager
def translate_unknown_jobs() -> Iterator[None]:
    """Raises NoSuchJobError as InvalidArgument."""
    try:
        yield
    except NoSuchJobError as error:
        raise errors.InvalidArgument(f"no job {error.args[0]!r} in this session", V1.INVALID_JOB) from None
