"""The standards' errors. Version 2 has exceptions, version 1 numbers; `V1` names the latter."""

from enum import IntEnum


class V1(IntEnum):
    """Error numbers of GFD-R.133."""

    SUCCESS = 0
    INTERNAL_ERROR = 1
    DRM_COMMUNICATION_FAILURE = 2
    AUTH_FAILURE = 3
    INVALID_ARGUMENT = 4
    NO_ACTIVE_SESSION = 5
    NO_MEMORY = 6
    INVALID_CONTACT_STRING = 7
    DEFAULT_CONTACT_STRING_ERROR = 8
    NO_DEFAULT_CONTACT_STRING_SELECTED = 9
    DRMS_INIT_FAILED = 10
    ALREADY_ACTIVE_SESSION = 11
    DRMS_EXIT_ERROR = 12
    INVALID_ATTRIBUTE_FORMAT = 13
    INVALID_ATTRIBUTE_VALUE = 14
    CONFLICTING_ATTRIBUTE_VALUES = 15
    TRY_LATER = 16
    DENIED_BY_DRM = 17
    INVALID_JOB = 18
    RESUME_INCONSISTENT_STATE = 19
    SUSPEND_INCONSISTENT_STATE = 20
    HOLD_INCONSISTENT_STATE = 21
    RELEASE_INCONSISTENT_STATE = 22
    EXIT_TIMEOUT = 23
    NO_RUSAGE = 24
    NO_MORE_ELEMENTS = 25


class DrmaaError(Exception):
    """Each has the number that stands for it in version 1."""

    v1 = V1.INTERNAL_ERROR

    def __init__(self, text: str, v1: V1 | None = None):
        super().__init__(text)
        if v1 is not None:
            self.v1 = v1


class Internal(DrmaaError):
    """A fault of the program."""


class DrmCommunication(DrmaaError):
    """No controller answers."""

    v1 = V1.DRM_COMMUNICATION_FAILURE


class DeniedByDrms(DrmaaError):
    """The cluster does not take this job, and asking again will not help."""

    v1 = V1.DENIED_BY_DRM


class TryLater(DrmaaError):
    """The cluster does not take this job now."""

    v1 = V1.TRY_LATER


class Timeout(DrmaaError):
    """The time to wait is over; the job goes on."""

    v1 = V1.EXIT_TIMEOUT


class InvalidArgument(DrmaaError):
    v1 = V1.INVALID_ARGUMENT


class InvalidSession(DrmaaError):
    """The contact is no contact, the session is closed, or its customer's key is not known."""

    v1 = V1.NO_ACTIVE_SESSION


class InvalidState(DrmaaError):
    """The job does not stand so that this could be done."""

    v1 = V1.HOLD_INCONSISTENT_STATE


class UnsupportedAttribute(DrmaaError):
    v1 = V1.INVALID_ARGUMENT


class UnsupportedOperation(DrmaaError):
    v1 = V1.DENIED_BY_DRM
