"""The stored record of a duty and its transitions, as in lease-based leader election. Pure functions.

The owner renews its lease; others take the duty over once the lease has expired. Each transition is written
with the version of the register that it was computed from, so concurrent transitions cannot both succeed.
"""

from dataclasses import dataclass, replace

import msgspec

MAX_PROGRESS_BYTES = 6144  # the rest of a register's value is left to the other fields


class DutyError(Exception):
    """A transition or request is not allowed, or data cannot be decoded. The message is one plain line."""


@dataclass(frozen=True, slots=True)
class Duty:
    """A duty as stored in its register."""

    owner: str = ""  # name and incarnation of a controller; empty: no owner
    token: int = 0  # the fencing token: rises with each change of owner, and never falls
    lease: float = 0.0  # seconds, by the owner's clock, from when it sent its last renewal
    beat: int = 0  # heartbeat counter: renewals under this token
    heir: str = ""  # the designated successor; others wait for one lease
    progress: bytes = b""  # state of the work, passed from owner to owner


def owner_name(controller: str, life: int) -> str:
    """Names an incarnation of a controller, as it owns duties and as its links to the council name it.

    >>> owner_name("n1", 3)
    'n1/3'
    """
    return f"{controller}/{life}"


def controller_of(owner: str) -> str:
    """The controller of a name made by `owner_name`; any other name is returned as it is.

    >>> controller_of("n1/3"), controller_of("n1")
    ('n1', 'n1')
    """
    return owner.partition("/")[0]


def acquire(duty: Duty, who: str, lease: float, expired: bool) -> Duty:
    """Returns the duty as owned by `who`, with a new token. Raises DutyError if it may not be acquired yet.

    `expired`: by the caller's own clock, the lease or the time reserved for the successor has run out.

    >>> acquire(Duty(), "n1", 5.0, expired=False).token
    1
    """
    # an owner that is no longer certain of its own lease acquires the duty again, with a new token
    if duty.owner not in ("", who) and not expired:
        raise DutyError(f"owned by {duty.owner} with token {duty.token}")
    if duty.heir not in ("", who) and not expired:
        raise DutyError(f"it was handed over to {duty.heir}")
    return Duty(who, duty.token + 1, lease, 0, "", duty.progress)


def check_owner(duty: Duty, who: str, token: int) -> None:
    """Raises DutyError unless `who` owns the duty with this token."""
    if (duty.owner, duty.token) != (who, token):
        raise DutyError(
            f"owned by {duty.owner or 'nobody'} with token {duty.token}, not by {who} with token {token}"
        )


def renew(duty: Duty, who: str, token: int, progress: bytes | None = None) -> Duty:
    """Returns the duty with its lease renewed, and new progress if any is given.

    Raises DutyError if `who` does not own it with this token, or the progress is too large.
    """
    check_owner(duty, who, token)
    if progress is not None and len(progress) > MAX_PROGRESS_BYTES:
        raise DutyError(f"{len(progress)} bytes of progress, the maximum is {MAX_PROGRESS_BYTES}")
    return replace(duty, beat=duty.beat + 1, progress=duty.progress if progress is None else progress)


def release(duty: Duty, who: str, token: int, successor: str = "") -> Duty:
    """Returns the duty as released by its owner, to any controller or to a successor.

    Raises DutyError if `who` does not own it with this token.
    """
    check_owner(duty, who, token)
    return replace(duty, owner="", beat=duty.beat + 1, heir=successor)


def revoke(duty: Duty, successor: str = "") -> Duty:
    """Returns the duty as taken from its owner by an operator. Raises DutyError if it has no owner.

    The owner's next renewal fails. What it sends until then is rejected once the next owner's first effect
    was carried out.

    >>> revoke(Duty("n1", 3, 5.0, 2), "n2")
    Duty(owner='', token=3, lease=5.0, beat=3, heir='n2', progress=b'')
    """
    if not duty.owner:
        raise DutyError("nobody owns it")
    return replace(duty, owner="", beat=duty.beat + 1, heir=successor)


def encode(duty: Duty) -> bytes:
    """Encodes a duty as the value of its register.

    >>> decode(encode(Duty("n1", 3, 5.0, 2, "", b"x"))) == Duty("n1", 3, 5.0, 2, "", b"x")
    True
    """
    return msgspec.msgpack.encode(duty)


def decode(body: bytes) -> Duty:
    """Decodes the value of a duty's register; an empty one is a duty that never had an owner.

    Raises DutyError if it is anything else.
    """
    if not body:
        return Duty()
    try:
        return msgspec.msgpack.decode(body, type=Duty)
    except msgspec.DecodeError as error:
        raise DutyError(f"the register holds no duty: {error}") from None
