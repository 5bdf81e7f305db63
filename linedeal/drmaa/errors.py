"""The errors of the DRMAA standards: exceptions for version 2, and version 1's numbers as `V1`."""

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
    """Base class of the DRMAA exceptions; `v1` is the corresponding error number of version 1."""

    v1 = V1.INTERNAL_ERROR

    def __init__(self, text: str, v1: V1 | None = None):
        """Sets the message, and the number if it differs from that of the class."""
        super().__init__(text)
        if v1 is not None:
            self.v1 = v1


class Internal(DrmaaError):  # noqa: N818  (name of the standard)
    """An internal error of this library."""


class DrmCommunication(DrmaaError):  # noqa: N818  (name of the standard)
    """No controller can be reached, or none replies."""

    v1 = V1.DRM_COMMUNICATION_FAILURE


class DeniedByDrms(DrmaaError):  # noqa: N818  (name of the standard)
    """The cluster does not accept the job, and a retry will not help."""

    v1 = V1.DENIED_BY_DRM


class TryLater(DrmaaError):  # noqa: N818  (name of the standard)
    """The cluster does not accept the job at the moment; it may after a while."""

    v1 = V1.TRY_LATER


class Timeout(DrmaaError):  # noqa: N818  (name of the standard)
    """The wait has timed out; the job continues."""

    v1 = V1.EXIT_TIMEOUT


class InvalidArgument(DrmaaError):  # noqa: N818  (name of the standard)
    """An argument, attribute or job id has no valid value."""

    v1 = V1.INVALID_ARGUMENT


class InvalidSession(DrmaaError):  # noqa: N818  (name of the standard)
    """The contact is malformed, the session is closed, or the customer's key is refused."""

    v1 = V1.NO_ACTIVE_SESSION


class InvalidState(DrmaaError):  # noqa: N818  (name of the standard)
    """The job's state does not permit the operation."""

    v1 = V1.HOLD_INCONSISTENT_STATE


class UnsupportedAttribute(DrmaaError):  # noqa: N818  (name of the standard)
    """The template sets an attribute that the cluster cannot honour."""

    v1 = V1.INVALID_ARGUMENT


class UnsupportedOperation(DrmaaError):  # noqa: N818  (name of the standard)
    """The cluster does not have this operation."""

    v1 = V1.DENIED_BY_DRM
