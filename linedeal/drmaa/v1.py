"""Version 1 of the standard (GFD-R.133) on top of the sessions: its attributes, numbers and waits.

Implements the calls of the C library; `agent` does the communication.
"""

import re
import time
from datetime import datetime, timedelta, timezone

from linedeal.drmaa import errors
from linedeal.drmaa.errors import V1
from linedeal.drmaa.model import JobTemplate, info_of
from linedeal.drmaa.session import FOREVER, AsyncJob, AsyncJobSession, terminated

ANY, ALL = "DRMAA_JOB_IDS_SESSION_ANY", "DRMAA_JOB_IDS_SESSION_ALL"
# numbers of the actions of drmaa_control and of the states of drmaa_job_ps, as in drmaa.h
SUSPEND, RESUME, HOLD, RELEASE, TERMINATE = range(5)
QUEUED, USER_HELD, RUNNING, DONE, FAILED, UNDETERMINED = 0x10, 0x12, 0x20, 0x30, 0x40, 0x00
PS_OF_STAGE = {  # stages that are not listed are FAILED
    "asked": QUEUED,
    "held": USER_HELD,
    "later": QUEUED,
    "waiting": QUEUED,
    "placed": QUEUED,
    "running": RUNNING,
    "done": DONE,
    "unknown": UNDETERMINED,
}
# flags of the number that drmaa_wait returns; its low byte is the exit status. drmaa.c has the same values.
EXITED, ABORTED = 0x100, 0x400

SCALARS = (
    "drmaa_remote_command",
    "drmaa_js_state",
    "drmaa_wd",
    "drmaa_job_category",
    "drmaa_native_specification",
    "drmaa_block_email",
    "drmaa_start_time",
    "drmaa_job_name",
    "drmaa_input_path",
    "drmaa_output_path",
    "drmaa_error_path",
    "drmaa_join_files",
    "drmaa_deadline_time",
)
VECTORS = ("drmaa_v_argv", "drmaa_v_env", "drmaa_v_email")
PARTIAL_TIME = re.compile(
    r"(?:(?:(?:(\d\d)?(\d\d)/)?(\d\d)/)?(\d\d) +)?(\d\d):(\d\d)(?::(\d\d))?(?: *([-+])(\d\d):(\d\d))?"
)


def parse_partial_time(text: str, now: datetime) -> float:
    """Parses a partial time of GFD-R.133, `[[[[CC]YY/]MM/]DD] hh:mm[:ss] [{-|+}UU:uu]`.

    Omitted fields are chosen so that the result is in the future. Returns seconds since the epoch; `now` has
    to have a time zone. Raises InvalidArgument.

    >>> at = datetime(2026, 3, 28, 12, 0, tzinfo=timezone.utc)
    >>> datetime.fromtimestamp(parse_partial_time("11:30", at), timezone.utc).isoformat()
    '2026-03-29T11:30:00+00:00'
    >>> datetime.fromtimestamp(parse_partial_time("2026/05/01 06:00:07 +02:00", at), timezone.utc).isoformat()
    '2026-05-01T04:00:07+00:00'
    """
    match = PARTIAL_TIME.fullmatch(text.strip())
    if match is None:
        raise errors.InvalidArgument(
            f"{text!r} is not [[[[CC]YY/]MM/]DD] hh:mm[:ss] [{{-|+}}UU:uu]", V1.INVALID_ATTRIBUTE_FORMAT
        )
    century, year, month, day, hour, minute, second, sign, zone_hours, zone_minutes = match.groups()
    if sign:
        shift = timedelta(hours=int(zone_hours), minutes=int(zone_minutes))
        now = now.astimezone(timezone(shift if sign == "+" else -shift))
    try:
        given = now.replace(hour=int(hour), minute=int(minute), second=int(second or 0), microsecond=0)
        if year:
            given = given.replace(year=int(century or now.year // 100) * 100 + int(year))
        if month:
            given = given.replace(day=1).replace(month=int(month))
        if day:
            given = given.replace(day=int(day))
    except ValueError as error:
        raise errors.InvalidArgument(f"{text!r}: {error}", V1.INVALID_ATTRIBUTE_VALUE) from None
    if given < now and not year:
        given = next_occurrence(given, now, bool(month), bool(day))
    return given.timestamp()


def next_occurrence(given: datetime, now: datetime, month: bool, day: bool) -> datetime:
    """Returns the next such time: the next day, month or year, depending on whether day and month are given.

    Months that do not have the day are skipped. Raises InvalidArgument if no month has it.
    """
    if not day:
        return given + timedelta(days=1)
    for step in range(1, 49):
        months = given.month - 1 + (12 * step if month else step)
        try:
            return given.replace(year=given.year + months // 12, month=months % 12 + 1)
        except ValueError:
            continue
    raise errors.InvalidArgument(f"no later month has a day {given.day}", V1.INVALID_ATTRIBUTE_VALUE)


def path_of(text: str) -> str:
    """Returns the path of `[host]:path`.

    The host must be empty, since the path is on the host that runs the job. Raises InvalidArgument.
    """
    host, colon, path = text.partition(":")
    if not colon or not path:
        raise errors.InvalidArgument(f"{text!r} is not [host]:path", V1.INVALID_ATTRIBUTE_FORMAT)
    if host:
        raise errors.InvalidArgument(
            f"{text!r}: a path on a named host is not supported", V1.INVALID_ATTRIBUTE_VALUE
        )
    return path


def parse_flag(text: str) -> bool:
    """Parses y, n, 1 or 0. Raises InvalidArgument."""
    if text not in ("y", "n", "0", "1"):
        raise errors.InvalidArgument(f"{text!r} is neither y nor n", V1.INVALID_ATTRIBUTE_FORMAT)
    return text in ("y", "1")


def check(name: str, values: list[str], now: datetime) -> None:
    """Raises InvalidArgument if there is no such attribute or it cannot have this value."""
    if name not in SCALARS and name not in VECTORS:
        raise errors.InvalidArgument(f"unknown attribute {name!r}", V1.INVALID_ARGUMENT)
    if name in ("drmaa_start_time", "drmaa_deadline_time"):
        parse_partial_time(values[0], now)
    elif name in ("drmaa_input_path", "drmaa_output_path", "drmaa_error_path"):
        path_of(values[0])
    elif name in ("drmaa_join_files", "drmaa_block_email"):
        parse_flag(values[0])
    elif name == "drmaa_js_state" and values[0] not in ("drmaa_active", "drmaa_hold"):
        raise errors.InvalidArgument(
            f"{values[0]!r} is neither drmaa_active nor drmaa_hold", V1.INVALID_ATTRIBUTE_VALUE
        )
    elif name == "drmaa_v_env" and not all(value.partition("=")[0] and "=" in value for value in values):
        raise errors.InvalidArgument(
            "each entry of drmaa_v_env must be NAME=VALUE", V1.INVALID_ATTRIBUTE_FORMAT
        )


def template_of(scalars: dict[str, str], vectors: dict[str, list[str]], now: datetime) -> JobTemplate:
    """Converts version 1's attributes to a template. Raises InvalidArgument.

    E-mail attributes are accepted, but nothing is ever sent, as the standard allows.
    """
    for name, value in scalars.items():
        check(name, [value], now)
    for name, values in vectors.items():
        check(name, values, now)

    def get(name, parse=str, default=None):
        return parse(scalars[name]) if name in scalars else default

    def parse_time(text):
        return parse_partial_time(text, now)

    return JobTemplate(
        remote_command=get("drmaa_remote_command", default=""),
        args=tuple(vectors.get("drmaa_v_argv", ())),
        submit_as_hold=get("drmaa_js_state") == "drmaa_hold",
        job_environment=dict(value.split("=", 1) for value in vectors.get("drmaa_v_env", ())),
        working_directory=get("drmaa_wd", default=""),
        job_category=get("drmaa_job_category", default=""),
        job_name=get("drmaa_job_name", default=""),
        input_path=get("drmaa_input_path", path_of, ""),
        output_path=get("drmaa_output_path", path_of, ""),
        error_path=get("drmaa_error_path", path_of, ""),
        join_files=get("drmaa_join_files", parse_flag, False),
        start_time=get("drmaa_start_time", parse_time),
        deadline_time=get("drmaa_deadline_time", parse_time),
        native=get("drmaa_native_specification", default=""),
    )


class V1Session:
    """The calls of version 1 on one open session.

    All raise DrmaaError, whose `v1` is the number to return. Timeouts are in seconds.
    """

    def __init__(self, session: AsyncJobSession):
        """Uses an open session."""
        self.session, self.owner = session, session.owner

    async def run_job(self, scalars: dict[str, str], vectors: dict[str, list[str]]) -> str:
        """drmaa_run_job: submits a job and returns its id."""
        return (await self.session.run_job(template_of(scalars, vectors, local_now()))).job_id

    async def run_bulk(self, scalars, vectors, begin: int, end: int, step: int) -> list[str]:
        """drmaa_run_bulk_jobs: submits one job per index and returns the ids."""
        array = await self.session.run_bulk_jobs(template_of(scalars, vectors, local_now()), begin, end, step)
        return [job.job_id for job in array.jobs]

    async def control(self, job_id: str, action: int) -> None:
        """drmaa_control: applies an action to one job, or to all jobs of the session that have not ended."""
        if action in (SUSPEND, RESUME):
            await self.find_job(job_id)
            raise errors.InvalidState(
                "hosts do not suspend jobs",
                V1.SUSPEND_INCONSISTENT_STATE if action == SUSPEND else V1.RESUME_INCONSISTENT_STATE,
            )
        calls = {HOLD: AsyncJob.hold, RELEASE: AsyncJob.release, TERMINATE: AsyncJob.terminate}
        if action not in calls:
            raise errors.InvalidArgument(f"unknown action {action}")
        if job_id == ALL:
            for key in [key for key in self.owner.keys() if not self.owner.status(key).over]:
                await calls[action](AsyncJob(self.session, key))
        else:
            await calls[action](await self.find_job(job_id))

    async def find_job(self, job_id: str) -> AsyncJob:
        """Returns the job with this id."""
        return await self.session.job(job_id)

    async def ps(self, job_id: str) -> int:
        """drmaa_job_ps: returns the number of the job's state."""
        return PS_OF_STAGE.get((await (await self.find_job(job_id)).status()).stage, FAILED)

    async def synchronize(self, job_ids: list[str], timeout: float, dispose: bool) -> None:
        """drmaa_synchronize: waits until all the jobs have ended, and reaps them if `dispose` is set.

        ALL stands for the session's jobs that are not reaped at the time of the call.
        """
        keys = self.owner.keys() if ALL in job_ids else job_ids
        if not keys:
            return
        await self.session.wait(keys, terminated, timeout, every=True)
        if dispose:
            for key in keys:
                await self.reap(key)

    async def wait(self, job_id: str, timeout: float) -> tuple[str, int, list[str]]:
        """drmaa_wait: reaps a job that has ended; returns its id, status number and resource usage."""
        keys = self.owner.keys() if job_id == ANY else [job_id]
        if not keys:
            raise errors.InvalidArgument("the session has no job to wait for", V1.INVALID_JOB)
        ended = (await self.session.wait(keys, terminated, timeout))[0]
        await self.reap(ended.key)
        return ended.key, status_of(ended), rusage(ended)

    async def reap(self, key: str) -> None:
        """Reaps a job that has ended; does nothing if it is already reaped."""
        try:
            await AsyncJob(self.session, key).reap()
        except errors.InvalidArgument:
            pass  # another call has reaped it


def status_of(status) -> int:
    """The number that the drmaa_wif* functions decode: exited with a status, never ran, or neither."""
    if status.ran is None:
        return ABORTED
    return EXITED | status.ran.status & 0xFF if status.ran.status is not None else 0


def rusage(status) -> list[str]:
    """The resource usage as NAME=VALUE entries; times are in seconds since the epoch.

    For a job that never ran it consists of the times of submission and end, and the outcome.
    """
    info = info_of(status)
    figures = {"submission_time": info.submission_time, "end_time": info.finish_time}
    if status.ran is not None:
        figures |= {
            "start_time": (info.finish_time or 0) - info.wallclock_time,
            "wallclock": info.wallclock_time,
            "cpu": info.cpu_time,
            "maxmem": info.max_memory,
        }
    texts = {"host": status.host, "outcome": status.stage, "reason": status.reason}
    return [f"{name}={value:.3f}" for name, value in figures.items() if value is not None] + [
        f"{name}={value}" for name, value in texts.items() if value
    ]


def local_now() -> datetime:
    """The current time in this machine's time zone, which applies to partial times."""
    return datetime.fromtimestamp(time.time()).astimezone()


def timeout_of(seconds: int) -> float:
    """Converts a timeout of version 1, in which a negative number means forever."""
    return FOREVER if seconds < 0 else float(seconds)
