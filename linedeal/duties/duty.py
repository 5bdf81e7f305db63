"""A duty as the council keeps it, and what may become of it. Pure functions; the council's version makes each exact.

Terms as in lease-based leader election: the owner renews its lease, others take the duty over when it has run out.
"""

from dataclasses import dataclass, replace

import msgspec

MAX_PROGRESS_BYTES = 6144  # bytes; the rest of a register's value is the record around it


class DutyError(Exception):
    """One plain line: why the duty does not become that."""


@dataclass(frozen=True, slots=True)
class Duty:
    owner: str = ""  # a controller's name and life; empty: nobody's
    token: int = 0  # rises with each change of owner, and never falls
    lease: float = 0.0  # seconds by the owner's clock from when it sent its last renewal
    beat: int = 0  # renewals under this token
    heir: str = ""  # whom it was handed to; others let it be for a lease
    progress: bytes = b""  # the work's own account, kept from owner to owner


def acquire(duty: Duty, who: str, lease: float, over: bool) -> Duty:
    """`over`: the asker's own clock shows that the owner's lease, or the heir's time, has run out.

    >>> acquire(Duty(), "n1", 5.0, over=False).token
    1
    """
    if (
        duty.owner not in ("", who) and not over
    ):  # one that lost sight of its own lease begins with a new token
        raise DutyError(f"{duty.owner} owns it, token {duty.token}")
    if duty.heir not in ("", who) and not over:
        raise DutyError(f"it was handed to {duty.heir}")
    return Duty(who, duty.token + 1, lease, 0, "", duty.progress)


def check_owner(duty: Duty, who: str, token: int) -> None:
    """Raises DutyError unless `who` has it by this token."""
    if (duty.owner, duty.token) != (who, token):
        raise DutyError(f"{duty.owner or 'nobody'} owns it by token {duty.token}, not {who} by {token}")


def renew(duty: Duty, who: str, token: int, progress: bytes | None = None) -> Duty:
    """With new progress, or the old."""
    check_owner(duty, who, token)
    if progress is not None and len(progress) > MAX_PROGRESS_BYTES:
        raise DutyError(f"{len(progress)} bytes of progress, at most {MAX_PROGRESS_BYTES} are kept")
    return replace(duty, beat=duty.beat + 1, progress=duty.progress if progress is None else progress)


def release(duty: Duty, who: str, token: int, heir: str = "") -> Duty:
    """Resigned, or handed over to an heir."""
    check_owner(duty, who, token)
    return replace(duty, owner="", beat=duty.beat + 1, heir=heir)


def revoke(duty: Duty, heir: str = "") -> Duty:
    """By an operator, from whoever has it. Its owner's next renewal fails; what it sends until then is refused from the
    next owner's first effect on.

    >>> revoke(Duty("n1", 3, 5.0, 2), "n2")
    Duty(owner='', token=3, lease=5.0, beat=3, heir='n2', progress=b'')
    """
    if not duty.owner:
        raise DutyError("nobody owns it")
    return replace(duty, owner="", beat=duty.beat + 1, heir=heir)


def encode(duty: Duty) -> bytes:
    """
    >>> decode(encode(Duty("n1", 3, 5.0, 2, "", b"x"))) == Duty("n1", 3, 5.0, 2, "", b"x")
    True
    """
    return msgspec.msgpack.encode(duty)


def decode(body: bytes) -> Duty:
    """Of an empty register: a duty that nobody had yet. Raises DutyError where it holds anything else."""
    if not body:
        return Duty()
    try:
        return msgspec.msgpack.decode(body, type=Duty)
    except msgspec.DecodeError as error:
        raise DutyError(f"the register holds no duty: {error}") from None
