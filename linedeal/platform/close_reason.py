"""Why a connection of an owner was closed, as the log and its counts have it."""

from enum import StrEnum


class CloseReason(StrEnum):
    """The reasons that are counted each by itself."""

    BY_OWNER = "closed by the other side"
    LOST = "lost"
    CROWDED = "too many connections"
    USELESS = "it sends nothing of use"
    UNFINISHED_LINE = "a line that does not end"
    UNREAD = "it leaves too much unread"
    MOST_UNREAD = "it leaves the most unread of all"
    INVALID = "it sent what cannot be answered"
    FAULT = "a fault of this program"
    SHUTDOWN = "the program ends"
