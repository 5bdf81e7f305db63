"""The same sessions for programs without an event loop: one thread of the portal runs the async ones."""

from contextlib import ExitStack
from typing import Iterable, Sequence

import anyio.from_thread

from linedeal.drmaa import errors
from linedeal.drmaa.errors import V1
from linedeal.drmaa.model import JobInfo, JobState, JobTemplate
from linedeal.drmaa.session import FOREVER, AsyncJob, AsyncJobArray, contact_of, open_job_session


class SessionManager:
    """Sessions are kept by the controllers that hold their jobs: creating one is giving it a name."""

    drms_name = "linedeal"
    drmaa_version = (2, 2)

    def create_job_session(self, name: str = "", contact: str = "", token: str = "") -> "JobSession":
        """Opens it at the contact's controllers. Raises InvalidSession, DrmCommunication."""
        return JobSession(str(contact_of(contact, name)), token)

    def open_job_session(self, contact: str, token: str = "") -> "JobSession":
        """By the contact of an earlier session: its jobs that were not reaped are there again."""
        if not contact_of(contact).session or "/" not in contact:
            raise errors.InvalidSession(f"{contact!r} names no session", V1.INVALID_CONTACT_STRING)
        return JobSession(contact, token)

    def destroy_job_session(self, session: "JobSession") -> None:
        """Ends all its jobs, reaps them and closes it."""
        for job in session.jobs():
            try:
                job.terminate()
                job.wait_terminated()
            except errors.InvalidState:
                pass  # it has ended
            job.reap()
        session.close()

    def open_monitoring_session(self, contact: str = ""):
        raise errors.UnsupportedOperation("no monitoring sessions")

    def create_reservation_session(self, name: str = "", contact: str = ""):
        raise errors.UnsupportedOperation("no reservations")


class JobSession:
    def __init__(self, contact: str, token: str = ""):
        self.stack = ExitStack()
        try:
            self.portal = self.stack.enter_context(anyio.from_thread.start_blocking_portal("asyncio"))
            self.inner = self.stack.enter_context(
                self.portal.wrap_async_context_manager(open_job_session(contact, token=token))
            )
        except BaseException:
            self.stack.close()
            raise
        self.open = True

    def __enter__(self) -> "JobSession":
        return self

    def __exit__(self, *error) -> None:
        self.close()

    def close(self) -> None:
        """Jobs go on; `contact` opens the session again."""
        if self.open:
            self.open = False
            self.stack.close()

    def call(self, work, *args):
        if not self.open:
            raise errors.InvalidSession("the session is closed")
        return self.portal.call(work, *args)

    @property
    def contact(self) -> str:
        return self.inner.contact

    @property
    def name(self) -> str:
        return self.inner.name

    @property
    def job_categories(self) -> tuple[str, ...]:
        return self.inner.job_categories

    def run_job(self, template: JobTemplate) -> "Job":
        return Job(self, self.call(self.inner.run_job, template))

    def run_bulk_jobs(self, template: JobTemplate, begin: int, end: int, step: int = 1) -> "JobArray":
        return JobArray(self, self.call(self.inner.run_bulk_jobs, template, begin, end, step))

    def jobs(self, states: Iterable[JobState] | None = None) -> list["Job"]:
        return [Job(self, job) for job in self.call(self.inner.jobs, states)]

    def job(self, job_id: str) -> "Job":
        return Job(self, self.call(self.inner.job, job_id))

    def job_array(self, array_id: str) -> "JobArray":
        return JobArray(self, self.call(self.inner.job_array, array_id))

    def wait_any_started(self, jobs: Sequence["Job"], timeout: float = FOREVER) -> "Job":
        return Job(self, self.call(self.inner.wait_any_started, [job.inner for job in jobs], timeout))

    def wait_any_terminated(self, jobs: Sequence["Job"], timeout: float = FOREVER) -> "Job":
        return Job(self, self.call(self.inner.wait_any_terminated, [job.inner for job in jobs], timeout))

    def wait_all_terminated(self, jobs: Sequence["Job"], timeout: float = FOREVER) -> list[JobInfo]:
        return self.call(self.inner.wait_all_terminated, [job.inner for job in jobs], timeout)


class Job:
    def __init__(self, session: JobSession, inner: AsyncJob):
        self.session, self.inner, self.job_id = session, inner, inner.job_id

    def __repr__(self) -> str:
        return repr(self.inner)

    def hold(self) -> None:
        self.session.call(self.inner.hold)

    def release(self) -> None:
        self.session.call(self.inner.release)

    def terminate(self) -> None:
        self.session.call(self.inner.terminate)

    def suspend(self) -> None:
        self.session.call(self.inner.suspend)

    def resume(self) -> None:
        self.session.call(self.inner.resume)

    def state(self) -> tuple[JobState, str]:
        return self.session.call(self.inner.state)

    def info(self) -> JobInfo:
        return self.session.call(self.inner.info)

    def wait_started(self, timeout: float = FOREVER) -> JobInfo:
        return self.session.call(self.inner.wait_started, timeout)

    def wait_terminated(self, timeout: float = FOREVER) -> JobInfo:
        return self.session.call(self.inner.wait_terminated, timeout)

    def reap(self) -> None:
        self.session.call(self.inner.reap)


class JobArray:
    def __init__(self, session: JobSession, inner: AsyncJobArray):
        self.session, self.inner, self.job_array_id = session, inner, inner.job_array_id
        self.jobs = tuple(Job(session, job) for job in inner.jobs)

    def hold(self) -> None:
        self.session.call(self.inner.hold)

    def release(self) -> None:
        self.session.call(self.inner.release)

    def terminate(self) -> None:
        self.session.call(self.inner.terminate)

    def wait_terminated(self, timeout: float = FOREVER) -> list[JobInfo]:
        return self.session.call(self.inner.wait_terminated, timeout)
