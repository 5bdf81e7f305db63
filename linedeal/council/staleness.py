"""Detects a member that restarted with an older copy of its directory. Pure functions.

Every packet carries its sender's version, and each member stores durably the newest version it has seen of
every other member before it acts on the packet. A directory counts its lives and its writes. A copy made
before the last write that any other member saw therefore shows either a life that was already seen, or fewer
writes at its start than were seen.
"""

from dataclasses import replace
from enum import Enum

from linedeal.council.records import ReplicaVersion


class Freshness(Enum):
    """How a received version compares with the newest one seen of the same directory."""

    KNOWN = "the same life, nothing newer"
    NEWER = "newer: stored before the packet is processed"
    STALE = "of an earlier life or an older copy: the packet is rejected and the sender is notified"


def check_freshness(
    seen: ReplicaVersion | None, received: ReplicaVersion
) -> tuple[Freshness, ReplicaVersion]:
    """Compares a received version with the newest one seen, and returns the newest of both as well."""
    if seen is None:
        return Freshness.NEWER, received
    if received.start == seen.start:
        if received.writes <= seen.writes:
            return Freshness.KNOWN, seen
        return Freshness.NEWER, replace(seen, writes=received.writes)
    if received.life > seen.life and received.born >= seen.writes:
        return Freshness.NEWER, received
    return Freshness.STALE, seen


def is_outdated(own: ReplicaVersion, seen: ReplicaVersion) -> bool:
    """Returns whether the version that another member saw proves that this directory is an older copy.

    A delayed report about an earlier life of this directory proves nothing: it has no more writes than this
    life started with.
    """
    return (
        seen.incarnation == own.incarnation
        and seen.start != own.start
        and (seen.life >= own.life or seen.writes > own.born)
    )
