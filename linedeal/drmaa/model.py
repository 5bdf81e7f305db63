"""What the standard passes around: job states, templates and infos. Names as in GFD.194, written the Python way."""

from dataclasses import dataclass, field
from enum import Enum

from linedeal.client.owner import JobStatus


class JobState(Enum):
    UNDETERMINED = "undetermined"
    QUEUED = "queued"
    QUEUED_HELD = "queued held"
    RUNNING = "running"
    SUSPENDED = "suspended"  # never: hosts do not suspend
    REQUEUED = "requeued"  # never: a job that is lost after its answer is not taken up again
    REQUEUED_HELD = "requeued held"  # never
    DONE = "done"
    FAILED = "failed"


# the state that a stage is shown as; docs/drmaa.md has the reasons
STATES = {
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
    """What to run and how. `native` and `job_category` say where: see docs/drmaa.md.

    Times are seconds of the time of day. Attributes of the standard that the cluster has nothing for are here so that
    setting them gives UnsupportedAttribute and not silence.
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
    """How a job stands, or ended. Times are seconds of the time of day, None where that has not been."""

    job_id: str
    job_state: JobState
    job_sub_state: str  # the cluster's own word
    exit_status: int | None  # None where it did not exit by itself
    terminating_signal: str  # empty: hosts tell none
    annotation: str  # why, in plain words
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


def info_of(standing: JobStatus) -> JobInfo:
    ran = standing.ran
    return JobInfo(
        standing.key,
        STATES[standing.stage],
        standing.stage,
        ran.status if ran else None,
        "",
        standing.reason,
        (standing.host,) if standing.host else (),
        standing.customer,
        standing.cores,
        standing.offering,
        standing.name,
        ran.seconds if ran else None,
        ran.core_seconds if ran else None,
        ran.memory if ran else None,
        standing.taken_at,
        standing.placed_at,
        standing.ended_at,
    )
