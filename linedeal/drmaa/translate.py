"""From a template to what a controller is asked. Free of I/O and clock: the time of day is passed in."""

import math
import shlex
from dataclasses import dataclass
from pathlib import PurePosixPath

from linedeal.client.client import JobRequest
from linedeal.drmaa.errors import V1, InvalidArgument, UnsupportedAttribute
from linedeal.drmaa.model import JobTemplate
from linedeal.protocol import pb

INCREMENT, HOME, DIRECTORY = "$drmaa_incr_ph$", "$drmaa_hd_ph$", "$drmaa_wd_ph$"
NATIVE = ("service", "customer", "cores", "memory", "wait")
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
    """One job of a template, ready to be asked for. `start_in` in seconds."""

    ask: JobRequest
    work: pb.Work
    hold: bool
    start_in: float


def native_of(text: str) -> dict[str, str]:
    """
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
        if not equals or name not in NATIVE:
            raise InvalidArgument(
                f"native specification: {word!r} is none of {', '.join(f'{n}=...' for n in NATIVE)}",
                V1.INVALID_ATTRIBUTE_FORMAT,
            )
        found[name] = value
    return found


def amount(native: dict[str, str], name: str, usual: float) -> float:
    try:
        value = float(native.get(name, usual))
    except ValueError:
        value = math.nan
    if not 0 <= value < math.inf or name != "wait" and value == 0:
        raise InvalidArgument(
            f"native specification: {name}={native[name]} is no number over 0", V1.INVALID_ATTRIBUTE_VALUE
        )
    return value


def request_of(template: JobTemplate, now: float, index: int = 0) -> Request:
    """The job of that bulk index (0: not of a bulk). Raises InvalidArgument or UnsupportedAttribute by name."""
    for name in UNSUPPORTED:
        if getattr(template, name):
            raise UnsupportedAttribute(f"{name} is not supported")
    if template.max_slots is not None and template.max_slots != template.min_slots:
        raise UnsupportedAttribute("max_slots other than min_slots is not supported")
    if template.rerunnable is not None:
        raise UnsupportedAttribute(
            "rerunnable is the offering's: its effect says whether a job may run again"
        )
    if not template.remote_command:
        raise InvalidArgument("remote_command is missing", V1.INVALID_ATTRIBUTE_VALUE)
    if not template.job_category:
        raise InvalidArgument("job_category is missing: it names the offering", V1.INVALID_ATTRIBUTE_VALUE)
    native = native_of(template.native)
    if template.min_slots is not None and "cores" in native:
        raise InvalidArgument(
            "min_slots and native cores=... say the same thing", V1.CONFLICTING_ATTRIBUTE_VALUES
        )
    if template.accounting_id and "customer" in native:
        raise InvalidArgument(
            "accounting_id and native customer=... say the same thing", V1.CONFLICTING_ATTRIBUTE_VALUES
        )
    start_in = 0.0
    if template.start_time is not None:
        start_in = max(0.0, template.start_time - now)
    wait = amount(native, "wait", 0.0)
    if template.deadline_time is not None:
        if template.deadline_time <= now + start_in:
            raise InvalidArgument(
                "deadline_time has passed, or lies before start_time", V1.INVALID_ATTRIBUTE_VALUE
            )
        left = template.deadline_time - now - start_in
        wait = min(wait, left) if wait else left
    service = native.get("service") or PurePosixPath(template.remote_command).name
    ask = JobRequest(
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
    return Request(ask, at_index(work, index) if index else work, template.submit_as_hold, start_in)


def at_index(work: pb.Work, index: int) -> pb.Work:
    """The work of one job of a bulk: its index stands where the placeholder did, in arguments and paths."""
    own = pb.Work(index=index)
    own.MergeFrom(work)
    own.arguments[:] = [text.replace(INCREMENT, str(index)) for text in work.arguments]
    for path in ("directory", "input", "output", "error"):
        setattr(own, path, getattr(work, path).replace(INCREMENT, str(index)))
    return own


def indices(begin: int, end: int, step: int) -> range:
    """Those of a bulk, as the standard counts them. Raises InvalidArgument.

    >>> list(indices(2, 9, 3))
    [2, 5, 8]
    """
    if begin < 1 or step < 1 or end < begin:
        raise InvalidArgument(
            f"bulk from {begin} to {end} by {step}: begin and step are 1 at least, end is not before begin",
            V1.INVALID_ARGUMENT,
        )
    return range(begin, end + 1, step)
