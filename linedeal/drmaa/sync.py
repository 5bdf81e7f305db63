"""Blocking job sessions for programs without an event loop.

Each session runs its asynchronous counterpart (`session`) in a thread of its own, and raises the same errors.
Timeouts are in seconds; a wait with timeout 0 only checks the current state.
"""

from collections.abc import Iterable, Sequence
from contextlib import ExitStack

import anyio.from_thread

from linedeal.drmaa import errors
from linedeal.drmaa.errors import V1
from linedeal.drmaa.model import JobInfo, JobState, JobTemplate
from linedeal.drmaa.session import FOREVER, AsyncJob, AsyncJobArray, contact_of, open_job_session


class SessionManager:
    """Creates, opens and destroys sessions.

    The controllers store a session's jobs and nothing else of it: a session is created by giving it a name.
    """

    drms_name = "linedeal"
    drmaa_version = (2, 2)

    def create_job_session(self, name: str = "", contact: str = "", token: str = "") -> "JobSession":
        """Opens a session with this name, or a random one. Raises InvalidSession and DrmCommunication."""
        return JobSession(str(contact_of(contact, name)), token)

    def open_job_session(self, contact: str, token: str = "") -> "JobSession":
        """Opens an earlier session, with its jobs that were not reaped, by its contact string.

        Raises InvalidSession and DrmCommunication.
        """
        if not contact_of(contact).session or "/" not in contact:
            raise errors.InvalidSession(f"{contact!r} names no session", V1.INVALID_CONTACT_STRING)
        return JobSession(contact, token)

    def destroy_job_session(self, session: "JobSession") -> None:
        """Ends and reaps all jobs of the session, then closes it."""
        for job in session.jobs():
            try:
                job.terminate()
                job.wait_terminated()
            except errors.InvalidState:
                pass  # it has already ended
            job.reap()
        session.close()

    def open_monitoring_session(self, contact: str = ""):
        """Always raises UnsupportedOperation."""
        raise errors.UnsupportedOperation("monitoring sessions are not supported")

    def create_reservation_session(self, name: str = "", contact: str = ""):
        """Always raises UnsupportedOperation."""
        raise errors.UnsupportedOperation("reservations are not supported")


class JobSession:
    """An open session and a context manager that closes it; see AsyncJobSession for the operations."""

    def __init__(self, contact: str, token: str = ""):
        """Opens the session. Raises InvalidSession and DrmCommunication."""
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
        """Returns the session."""
        return self

    def __exit__(self, *error) -> None:
        """Closes the session."""
        self.close()

    def close(self) -> None:
        """Closes the session; its jobs continue, and `contact` opens it again."""
        if self.open:
            self.open = False
            self.stack.close()

    def call(self, function, *args):
        """Calls a function in the session's event loop. Raises InvalidSession if the session is closed."""
        if not self.open:
            raise errors.InvalidSession("the session is closed")
        return self.portal.call(function, *args)

    @property
    def contact(self) -> str:
        """The contact string that opens this session again."""
        return self.inner.contact

    @property
    def name(self) -> str:
        """The session's name."""
        return self.inner.name

    @property
    def job_categories(self) -> tuple[str, ...]:
        """The names of the cluster's offerings, as announced by its controllers."""
        return self.inner.job_categories

    def run_job(self, template: JobTemplate) -> "Job":
        """Submits a job and returns once the cluster has accepted it."""
        return Job(self, self.call(self.inner.run_job, template))

    def run_bulk_jobs(self, template: JobTemplate, begin: int, end: int, step: int = 1) -> "JobArray":
        """Submits one job per index; if one is declined, those accepted before it are ended."""
        return JobArray(self, self.call(self.inner.run_bulk_jobs, template, begin, end, step))

    def jobs(self, states: Iterable[JobState] | None = None) -> list["Job"]:
        """Returns all jobs that are not reaped; only those in `states` if given."""
        return [Job(self, job) for job in self.call(self.inner.jobs, states)]

    def job(self, job_id: str) -> "Job":
        """Returns the job with this id."""
        return Job(self, self.call(self.inner.job, job_id))

    def job_array(self, array_id: str) -> "JobArray":
        """Returns the bulk with this id."""
        return JobArray(self, self.call(self.inner.job_array, array_id))

    def wait_any_started(self, jobs: Sequence["Job"], timeout: float = FOREVER) -> "Job":
        """Returns the first job that runs or has ended."""
        return Job(self, self.call(self.inner.wait_any_started, [job.inner for job in jobs], timeout))

    def wait_any_terminated(self, jobs: Sequence["Job"], timeout: float = FOREVER) -> "Job":
        """Returns the first job that has ended."""
        return Job(self, self.call(self.inner.wait_any_terminated, [job.inner for job in jobs], timeout))

    def wait_all_terminated(self, jobs: Sequence["Job"], timeout: float = FOREVER) -> list[JobInfo]:
        """Returns the infos of all jobs once all have ended."""
        return self.call(self.inner.wait_all_terminated, [job.inner for job in jobs], timeout)


class Job:
    """A job of a session; see AsyncJob for the operations."""

    def __init__(self, session: JobSession, inner: AsyncJob):
        """Wraps a job of the asynchronous session."""
        self.session, self.inner, self.job_id = session, inner, inner.job_id

    def __repr__(self) -> str:
        """The job's id, for debugging."""
        return repr(self.inner)

    def hold(self) -> None:
        """Keeps a waiting job from being launched."""
        self.session.call(self.inner.hold)

    def release(self) -> None:
        """Releases a held job."""
        self.session.call(self.inner.release)

    def terminate(self) -> None:
        """Ends the job."""
        self.session.call(self.inner.terminate)

    def suspend(self) -> None:
        """Always raises UnsupportedOperation."""
        self.session.call(self.inner.suspend)

    def resume(self) -> None:
        """Always raises UnsupportedOperation."""
        self.session.call(self.inner.resume)

    def state(self) -> tuple[JobState, str]:
        """Returns the state, and as sub-state the cluster's name of the stage."""
        return self.session.call(self.inner.state)

    def info(self) -> JobInfo:
        """Returns the job's current info."""
        return self.session.call(self.inner.info)

    def wait_started(self, timeout: float = FOREVER) -> JobInfo:
        """Waits until the job runs or has ended."""
        return self.session.call(self.inner.wait_started, timeout)

    def wait_terminated(self, timeout: float = FOREVER) -> JobInfo:
        """Waits until the job has ended."""
        return self.session.call(self.inner.wait_terminated, timeout)

    def reap(self) -> None:
        """Deletes all records of the job, which has to have ended."""
        self.session.call(self.inner.reap)


class JobArray:
    """The jobs of one bulk submission."""

    def __init__(self, session: JobSession, inner: AsyncJobArray):
        """Wraps an array of the asynchronous session."""
        self.session, self.inner, self.job_array_id = session, inner, inner.job_array_id
        self.jobs = tuple(Job(session, job) for job in inner.jobs)

    def hold(self) -> None:
        """Holds every job."""
        self.session.call(self.inner.hold)

    def release(self) -> None:
        """Releases every job."""
        self.session.call(self.inner.release)

    def terminate(self) -> None:
        """Ends every job."""
        self.session.call(self.inner.terminate)

    def wait_terminated(self, timeout: float = FOREVER) -> list[JobInfo]:
        """Waits until all jobs have ended."""
        return self.session.call(self.inner.wait_terminated, timeout)
