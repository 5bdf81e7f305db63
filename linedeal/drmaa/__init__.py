"""Job submission by the DRMAA standard: sessions, templates and job states.

The Python interface follows GFD.194 (version 2), `v1` and the C library GFD-R.133 (version 1). docs/drmaa.md
says what each call does in the cluster.

    from linedeal.drmaa import JobTemplate, SessionManager

    with SessionManager().create_job_session("readers", "127.0.0.1:7100") as session:
        template = JobTemplate(remote_command="/bin/print", job_category="course-reader", native="cores=2")
        job = session.run_job(template)
        print(job.wait_terminated().exit_status)
"""

from linedeal.drmaa.errors import (
    DeniedByDrms,
    DrmaaError,
    DrmCommunication,
    Internal,
    InvalidArgument,
    InvalidSession,
    InvalidState,
    Timeout,
    TryLater,
    UnsupportedAttribute,
    UnsupportedOperation,
)
from linedeal.drmaa.model import JobInfo, JobState, JobTemplate
from linedeal.drmaa.session import AsyncJob, AsyncJobArray, AsyncJobSession, open_job_session
from linedeal.drmaa.sync import Job, JobArray, JobSession, SessionManager

__all__ = [
    "AsyncJob",
    "AsyncJobArray",
    "AsyncJobSession",
    "DeniedByDrms",
    "DrmCommunication",
    "DrmaaError",
    "Internal",
    "InvalidArgument",
    "InvalidSession",
    "InvalidState",
    "Job",
    "JobArray",
    "JobInfo",
    "JobSession",
    "JobState",
    "JobTemplate",
    "SessionManager",
    "Timeout",
    "TryLater",
    "UnsupportedAttribute",
    "UnsupportedOperation",
    "open_job_session",
]
