"""The data types of the standard: job states, templates and infos, with GFD.194's names in Python style."""

from dataclasses import dataclass, field
from enum import Enum

from linedeal.client.owner import JobStatus


class JobState(Enum):
    """The job states of GFD.194; some never occur in this cluster."""

    UNDETERMINED = "undetermined"
    QUEUED = "queued"
    QUEUED_HELD = "queued held"
    RUNNING = "running"
    SUSPENDED = "suspended"  # never occurs: hosts do not suspend jobs
    REQUEUED = "requeued"  # never occurs: a job that is lost after its answer is not queued again
    REQUEUED_HELD = "requeued held"  # never occurs
    DONE = "done"
    FAILED = "failed"


# stage of the cluster -> state; docs/drmaa.md has the reasons
STATE_OF_STAGE = {
    "asked": JobState.QUEUED,
    "held": JobState.QUEUED_HELD,
    "later": JobState.QUEUED,
    "waiting": JobState.QUEUED,
    "placed": JobState.QUEUED,
    "running": JobState.RUNNING,
    "done": JobState.DONE,
    "error": JobState.FAILED,
    "lost": JobState.FAILED,
    "stopped": JobState.FAILED,
    "rejected": JobState.FAILED,
    "written off": JobState.FAILED,
    "refused": JobState.FAILED,
    "unknown": JobState.UNDETERMINED,
}


@dataclass(frozen=True, slots=True)
class JobTemplate:
    """What to run and how; `job_category` names the offering, `native` the resources (see docs/drmaa.md).

    Times are seconds since the epoch. Attributes that the cluster does not support are present so that
    setting them raises UnsupportedAttribute and is not silently ignored.
    """

    remote_command: str = ""
    args: tuple[str, ...] = ()
    submit_as_hold: bool = False
    rerunnable: bool | None = None
    job_environment: dict[str, str] = field(default_factory=dict)
    working_directory: str = ""
    job_category: str = ""
    email: tuple[str, ...] = ()
    email_on_started: bool = False
    email_on_terminated: bool = False
    job_name: str = ""
    input_path: str = ""
    output_path: str = ""
    error_path: str = ""
    join_files: bool = False
    reservation_id: str = ""
    queue_name: str = ""
    min_slots: int | None = None
    max_slots: int | None = None
    priority: int | None = None
    candidate_machines: tuple[str, ...] = ()
    min_phys_memory: int | None = None
    machine_os: str = ""
    machine_arch: str = ""
    start_time: float | None = None
    deadline_time: float | None = None
    stage_in_files: dict[str, str] = field(default_factory=dict)
    stage_out_files: dict[str, str] = field(default_factory=dict)
    resource_limits: dict[str, str] = field(default_factory=dict)
    accounting_id: str = ""
    native: str = ""


@dataclass(frozen=True, slots=True)
class JobInfo:
    """The status of a job and, once it has ended, its result.

    Times are seconds since the epoch, None if not reached yet.
    """

    job_id: str
    job_state: JobState
    job_sub_state: str  # the cluster's name of the stage
    exit_status: int | None  # None if it did not exit on its own
    terminating_signal: str  # always empty: hosts do not report signals
    annotation: str  # the reason for the state
    allocated_machines: tuple[str, ...]
    job_owner: str
    slots: float
    queue_name: str  # the offering
    job_name: str
    wallclock_time: float | None  # seconds
    cpu_time: float | None  # core seconds
    max_memory: float | None  # in the cluster's unit
    submission_time: float | None
    dispatch_time: float | None
    finish_time: float | None


def info_of(status: JobStatus) -> JobInfo:
    """Converts the client library's job status."""
    ran = status.ran
    return JobInfo(
        status.key,
        STATE_OF_STAGE[status.stage],
        status.stage,
        ran.status if ran else None,
        "",
        status.reason,
        (status.host,) if status.host else (),
        status.customer,
        status.cores,
        status.offering,
        status.name,
        ran.seconds if ran else None,
        ran.core_seconds if ran else None,
        ran.memory if ran else None,
        status.taken_at,
        status.placed_at,
        status.ended_at,
    )
