"""Translates job templates to the cluster's job requests; neither does I/O nor reads the clock."""

import math
import shlex
from dataclasses import dataclass
from pathlib import PurePosixPath

from linedeal.client.client import JobRequest
from linedeal.drmaa.errors import V1, InvalidArgument, UnsupportedAttribute
from linedeal.drmaa.model import JobTemplate
from linedeal.protocol import pb

# placeholders of GFD-R.133 in arguments and paths: bulk index, home directory, working directory
INCREMENT, HOME, DIRECTORY = "$drmaa_incr_ph$", "$drmaa_hd_ph$", "$drmaa_wd_ph$"
NATIVE_KEYS = ("service", "customer", "cores", "memory", "wait")
UNSUPPORTED = (
    "email",
    "email_on_started",
    "email_on_terminated",
    "reservation_id",
    "queue_name",
    "priority",
    "candidate_machines",
    "min_phys_memory",
    "machine_os",
    "machine_arch",
    "stage_in_files",
    "stage_out_files",
    "resource_limits",
)


@dataclass(frozen=True, slots=True)
class Request:
    """One job of a template, ready to be submitted. `start_in` in seconds."""

    job: JobRequest
    work: pb.Work
    hold: bool
    start_in: float


def native_of(text: str) -> dict[str, str]:
    """Parses a native specification. Raises InvalidArgument.

    >>> native_of("service=readers cores=2 customer='school 7'")
    {'service': 'readers', 'cores': '2', 'customer': 'school 7'}
    """
    found: dict[str, str] = {}
    try:
        words = shlex.split(text)
    except ValueError as error:
        raise InvalidArgument(f"native specification: {error}", V1.INVALID_ATTRIBUTE_FORMAT) from None
    for word in words:
        name, equals, value = word.partition("=")
        if not equals or name not in NATIVE_KEYS:
            raise InvalidArgument(
                f"native specification: {word!r} is not one of {', '.join(f'{n}=...' for n in NATIVE_KEYS)}",
                V1.INVALID_ATTRIBUTE_FORMAT,
            )
        found[name] = value
    return found


def amount(native: dict[str, str], name: str, default: float) -> float:
    """The number under this name in the native specification, or the default.

    Raises InvalidArgument if it is not a positive number; `wait` may be 0.
    """
    try:
        value = float(native.get(name, default))
    except ValueError:
        value = math.nan
    if not 0 <= value < math.inf or name != "wait" and value == 0:
        raise InvalidArgument(
            f"native specification: {name}={native[name]} is not a number over 0", V1.INVALID_ATTRIBUTE_VALUE
        )
    return value


def request_of(template: JobTemplate, now: float, index: int = 0) -> Request:
    """Translates a template; `index` is the job's bulk index, 0 if it is not part of a bulk.

    `now` is the time of day in seconds since the epoch. Raises InvalidArgument and UnsupportedAttribute with
    the attribute's name.
    """
    for name in UNSUPPORTED:
        if getattr(template, name):
            raise UnsupportedAttribute(f"{name} is not supported")
    if template.max_slots is not None and template.max_slots != template.min_slots:
        raise UnsupportedAttribute("max_slots other than min_slots is not supported")
    if template.rerunnable is not None:
        raise UnsupportedAttribute(
            "rerunnable is not supported: the offering determines whether a job may run again"
        )
    if not template.remote_command:
        raise InvalidArgument("remote_command is missing", V1.INVALID_ATTRIBUTE_VALUE)
    if not template.job_category:
        raise InvalidArgument("job_category is missing: it names the offering", V1.INVALID_ATTRIBUTE_VALUE)
    native = native_of(template.native)
    if template.min_slots is not None and "cores" in native:
        raise InvalidArgument(
            "min_slots and native cores=... exclude each other", V1.CONFLICTING_ATTRIBUTE_VALUES
        )
    if template.accounting_id and "customer" in native:
        raise InvalidArgument(
            "accounting_id and native customer=... exclude each other", V1.CONFLICTING_ATTRIBUTE_VALUES
        )
    start_in = 0.0
    if template.start_time is not None:
        start_in = max(0.0, template.start_time - now)
    wait = amount(native, "wait", 0.0)
    if template.deadline_time is not None:
        if template.deadline_time <= now + start_in:
            raise InvalidArgument(
                "deadline_time has passed, or is before start_time", V1.INVALID_ATTRIBUTE_VALUE
            )
        remaining = template.deadline_time - now - start_in
        wait = min(wait, remaining) if wait else remaining
    service = native.get("service") or PurePosixPath(template.remote_command).name
    job = JobRequest(
        template.job_category,
        native.get("customer", template.accounting_id),
        service,
        amount(native, "cores", float(template.min_slots or 1)),
        amount(native, "memory", 1.0),
        wait,
    )

    work = pb.Work(
        name=template.job_name,
        command=template.remote_command,
        arguments=template.args,
        environment=template.job_environment,
        directory=template.working_directory,
        input=template.input_path,
        output=template.output_path,
        error=template.error_path,
        join=template.join_files,
    )
    return Request(job, at_index(work, index) if index else work, template.submit_as_hold, start_in)


def at_index(work: pb.Work, index: int) -> pb.Work:
    """Returns the work of one job of a bulk, with its index for the placeholder in arguments and paths."""
    result = pb.Work(index=index)
    result.MergeFrom(work)
    result.arguments[:] = [text.replace(INCREMENT, str(index)) for text in work.arguments]
    for path in ("directory", "input", "output", "error"):
        setattr(result, path, getattr(work, path).replace(INCREMENT, str(index)))
    return result


def indices(begin: int, end: int, step: int) -> range:
    """The indices of a bulk: both ends are included, as in the standard. Raises InvalidArgument.

    >>> list(indices(2, 9, 3))
    [2, 5, 8]
    """
    if begin < 1 or step < 1 or end < begin:
        raise InvalidArgument(
            f"bulk from {begin} to {end} by {step}: begin and step must be at least 1, end at least begin",
            V1.INVALID_ARGUMENT,
        )
    return range(begin, end + 1, step)
