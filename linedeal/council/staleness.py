"""How members find out that one of them came back with an older copy of its directory. Pure functions.

Every message has its sender's mark; each member keeps durably the newest mark it saw of every other, before it counts
what came with it. A directory counts its lives and its writes. A copy from before the last write that anybody saw says
either a life that was seen already, or that it was born with fewer writes than were seen.
"""

from dataclasses import replace
from enum import Enum

from linedeal.council.records import ReplicaVersion


class Freshness(Enum):
    KNOWN = "this life, nothing newer"
    NEWER = "to be kept before it is counted"
    STALE = "of an earlier life, or of an older copy: not counted, and told so"


def check_freshness(seen: ReplicaVersion | None, mark: ReplicaVersion) -> tuple[Freshness, ReplicaVersion]:
    """What the mark shows beside the newest one seen of the same directory, and which is the newest then."""
    if seen is None:
        return Freshness.NEWER, mark
    if mark.start == seen.start:
        if mark.writes <= seen.writes:
            return Freshness.KNOWN, seen
        return Freshness.NEWER, replace(seen, writes=mark.writes)
    if mark.life > seen.life and mark.born >= seen.writes:
        return Freshness.NEWER, mark
    return Freshness.STALE, seen


def is_outdated(mine: ReplicaVersion, seen: ReplicaVersion) -> bool:
    """Whether another's word of what it saw of this directory proves that this one is an older copy.

    Word of an earlier life of ours, come late, proves nothing: it says fewer writes than we were born with.
    """
    return (
        seen.incarnation == mine.incarnation
        and seen.start != mine.start
        and (seen.life >= mine.life or seen.writes > mine.born)
    )
