"""Version 1 of the standard (GFD-R.133) on top of the sessions: its attributes, numbers and waits. What the C library
asks for, this answers; no wire in here."""

import re
import time
from datetime import datetime, timedelta, timezone

from linedeal.drmaa import errors
from linedeal.drmaa.errors import V1, DrmaaError
from linedeal.drmaa.model import JobTemplate, info_of
from linedeal.drmaa.session import FOREVER, AsyncJob, AsyncJobSession, terminated

ANY, ALL = "DRMAA_JOB_IDS_SESSION_ANY", "DRMAA_JOB_IDS_SESSION_ALL"
SUSPEND, RESUME, HOLD, RELEASE, TERMINATE = range(5)
QUEUED, USER_HELD, RUNNING, DONE, FAILED, UNDETERMINED = 0x10, 0x12, 0x20, 0x30, 0x40, 0x00
PS = {
    "asked": QUEUED,
    "held": USER_HELD,
    "later": QUEUED,
    "waiting": QUEUED,
    "placed": QUEUED,
    "running": RUNNING,
    "done": DONE,
    "unknown": UNDETERMINED,
}
# of the number that drmaa_wait gives: which questions it answers with yes, and in the low byte the exit status
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
WHEN = re.compile(
    r"(?:(?:(?:(\d\d)?(\d\d)/)?(\d\d)/)?(\d\d) +)?(\d\d):(\d\d)(?::(\d\d))?(?: *([-+])(\d\d):(\d\d))?"
)


def moment(text: str, now: datetime) -> float:
    """A partial time of GFD-R.133, `[[[[CC]YY/]MM/]DD] hh:mm[:ss] [{-|+}UU:uu]`: what is left out is filled so that it
    lies ahead. Seconds of the time of day; `now` with its zone. Raises InvalidArgument.

    >>> at = datetime(2026, 3, 28, 12, 0, tzinfo=timezone.utc)
    >>> datetime.fromtimestamp(moment("11:30", at), timezone.utc).isoformat()
    '2026-03-29T11:30:00+00:00'
    >>> datetime.fromtimestamp(moment("2026/05/01 06:00:07 +02:00", at), timezone.utc).isoformat()
    '2026-05-01T04:00:07+00:00'
    """
    match = WHEN.fullmatch(text.strip())
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
        given = ahead(given, now, bool(month), bool(day))
    return given.timestamp()


def ahead(given: datetime, now: datetime, month: bool, day: bool) -> datetime:
    """The next moment of that kind; a day that the next month has not is looked for in those after it."""
    if not day:
        return given + timedelta(days=1)
    for step in range(1, 49):
        months = given.month - 1 + (12 * step if month else step)
        try:
            return given.replace(year=given.year + months // 12, month=months % 12 + 1)
        except ValueError:
            continue
    raise errors.InvalidArgument(f"no {given.day} comes again", V1.INVALID_ATTRIBUTE_VALUE)


def path_of(text: str) -> str:
    """`[host]:path`, the host left away: hosts run the job, their own paths are meant."""
    host, colon, path = text.partition(":")
    if not colon or not path:
        raise errors.InvalidArgument(f"{text!r} is not [host]:path", V1.INVALID_ATTRIBUTE_FORMAT)
    if host:
        raise errors.InvalidArgument(
            f"{text!r}: a path on a named host is not supported", V1.INVALID_ATTRIBUTE_VALUE
        )
    return path


def flag(text: str) -> bool:
    if text not in ("y", "n", "0", "1"):
        raise errors.InvalidArgument(f"{text!r} is neither y nor n", V1.INVALID_ATTRIBUTE_FORMAT)
    return text in ("y", "1")


def check(name: str, values: list[str], now: datetime) -> None:
    """Whether an attribute may have this value. Raises InvalidArgument, which names the fault."""
    if name not in SCALARS and name not in VECTORS:
        raise errors.InvalidArgument(f"no attribute {name!r}", V1.INVALID_ARGUMENT)
    if name in ("drmaa_start_time", "drmaa_deadline_time"):
        moment(values[0], now)
    elif name in ("drmaa_input_path", "drmaa_output_path", "drmaa_error_path"):
        path_of(values[0])
    elif name in ("drmaa_join_files", "drmaa_block_email"):
        flag(values[0])
    elif name == "drmaa_js_state" and values[0] not in ("drmaa_active", "drmaa_hold"):
        raise errors.InvalidArgument(
            f"{values[0]!r} is neither drmaa_active nor drmaa_hold", V1.INVALID_ATTRIBUTE_VALUE
        )
    elif name == "drmaa_v_env" and not all(value.partition("=")[0] and "=" in value for value in values):
        raise errors.InvalidArgument("drmaa_v_env holds NAME=VALUE each", V1.INVALID_ATTRIBUTE_FORMAT)


def template_of(scalars: dict[str, str], vectors: dict[str, list[str]], now: datetime) -> JobTemplate:
    """Raises InvalidArgument. E-mail attributes are taken and nothing is ever sent, as the standard allows."""
    for name, value in scalars.items():
        check(name, [value], now)
    for name, values in vectors.items():
        check(name, values, now)

    def get(name, read=str, usual=None):
        return read(scalars[name]) if name in scalars else usual

    def when(text):
        return moment(text, now)

    return JobTemplate(
        remote_command=get("drmaa_remote_command", usual=""),
        args=tuple(vectors.get("drmaa_v_argv", ())),
        submit_as_hold=get("drmaa_js_state") == "drmaa_hold",
        job_environment=dict(value.split("=", 1) for value in vectors.get("drmaa_v_env", ())),
        working_directory=get("drmaa_wd", usual=""),
        job_category=get("drmaa_job_category", usual=""),
        job_name=get("drmaa_job_name", usual=""),
        input_path=get("drmaa_input_path", path_of, ""),
        output_path=get("drmaa_output_path", path_of, ""),
        error_path=get("drmaa_error_path", path_of, ""),
        join_files=get("drmaa_join_files", flag, False),
        start_time=get("drmaa_start_time", when),
        deadline_time=get("drmaa_deadline_time", when),
        native=get("drmaa_native_specification", usual=""),
    )


class V1Session:
    """The calls of version 1 on one open session. All raise DrmaaError, whose `v1` is the number to return."""

    def __init__(self, session: AsyncJobSession):
        self.session, self.owner = session, session.owner

    async def run_job(self, scalars: dict[str, str], vectors: dict[str, list[str]]) -> str:
        return (await self.session.run_job(template_of(scalars, vectors, here()))).job_id

    async def run_bulk(self, scalars, vectors, begin: int, end: int, step: int) -> list[str]:
        array = await self.session.run_bulk_jobs(template_of(scalars, vectors, here()), begin, end, step)
        return [job.job_id for job in array.jobs]

    async def control(self, job_id: str, action: int) -> None:
        if action in (SUSPEND, RESUME):
            await self.one(job_id)
            raise errors.InvalidState(
                "hosts do not suspend jobs",
                V1.SUSPEND_INCONSISTENT_STATE if action == SUSPEND else V1.RESUME_INCONSISTENT_STATE,
            )
        calls = {HOLD: AsyncJob.hold, RELEASE: AsyncJob.release, TERMINATE: AsyncJob.terminate}
        if action not in calls:
            raise errors.InvalidArgument(f"no action {action}")
        if job_id == ALL:
            for key in [key for key in self.owner.keys() if not self.owner.status(key).over]:
                await calls[action](AsyncJob(self.session, key))
        else:
            await calls[action](await self.one(job_id))

    async def one(self, job_id: str) -> AsyncJob:
        return await self.session.job(job_id)

    async def ps(self, job_id: str) -> int:
        return PS.get((await (await self.one(job_id)).standing()).stage, FAILED)

    async def synchronize(self, job_ids: list[str], timeout: float, dispose: bool) -> None:
        """ALL means those of the session that are not reaped when this is called."""
        keys = self.owner.keys() if ALL in job_ids else job_ids
        if not keys:
            return
        await self.session.wait(keys, terminated, timeout, every=True)
        if dispose:
            for key in keys:
                await self.reap(key)

    async def wait(self, job_id: str, timeout: float) -> tuple[str, int, list[str]]:
        """The job that ended, its status number, its use of resources; it is reaped. Two waits never get one job."""
        keys = self.owner.keys() if job_id == ANY else [job_id]
        if not keys:
            raise errors.InvalidArgument("no job of this session is left to wait for", V1.INVALID_JOB)
        ended = (await self.session.wait(keys, terminated, timeout))[0]
        await self.reap(ended.key)
        return ended.key, status_of(ended), rusage(ended)

    async def reap(self, key: str) -> None:
        try:
            await AsyncJob(self.session, key).reap()
        except errors.InvalidArgument:
            pass  # another wait was faster


def status_of(standing) -> int:
    """What the DRMAA 1.0 macros are asked about: exited with a status, or never ran, or neither."""
    if standing.ran is None:
        return ABORTED
    return EXITED | standing.ran.status & 0xFF if standing.ran.status is not None else 0


def rusage(standing) -> list[str]:
    """NAME=VALUE each; of a job that never ran only when it was taken, when it ended and how."""
    info = info_of(standing)
    figures = {"submission_time": info.submission_time, "end_time": info.finish_time}
    if standing.ran is not None:
        figures |= {
            "start_time": (info.finish_time or 0) - info.wallclock_time,
            "wallclock": info.wallclock_time,
            "cpu": info.cpu_time,
            "maxmem": info.max_memory,
        }
    texts = {"host": standing.host, "outcome": standing.stage, "reason": standing.reason}
    return [f"{name}={value:.3f}" for name, value in figures.items() if value is not None] + [
        f"{name}={value}" for name, value in texts.items() if value
    ]


def here() -> datetime:
    """Now, with this machine's zone: partial times are meant in it."""
    return datetime.fromtimestamp(time.time()).astimezone()


def timeout_of(seconds: int) -> float:
    return FOREVER if seconds < 0 else float(seconds)
