"""Replaces one roster of members with the next. Pure functions; the protocol has three steps:

1. The next roster is chosen in the register `records.ROSTER_KEY` of the current epoch, so there is only one.
2. A majority of the current members seal the epoch: durably, they stop voting in it, and they report what
   they accepted.
3. The reports are merged, the vote at the highest ballot winning in each register, and installed in the new
   members, which vote in the new epoch from then on.

A chosen value was accepted by a majority, which shares a member with every sealed majority. So every member
of the new epoch has the value or a successor of it, and so has each member that one of them installs later.
Two members that were installed from different majorities may hold different votes that were never chosen;
`slots.chosen_value` does not take those for chosen.
"""

from collections.abc import Iterable

from linedeal.council.records import ROSTER_KEY, Ballot, Identity, InvalidRequestError, Roster, Slot, Value

State = tuple[tuple[str, Ballot, Value], ...]


def accepted_state(slots: dict[str, Slot]) -> State:
    """Returns what a member accepted: key, ballot and value of each register, sorted by key."""
    return tuple(
        sorted((key, slot.accepted, slot.value) for key, slot in slots.items() if slot.accepted.epoch)
    )


def merge_states(states: Iterable[State]) -> dict[str, Slot]:
    """Returns the slots of a member that starts a new epoch: nothing is promised in that epoch yet."""
    result: dict[str, Slot] = {}
    for state in states:
        for key, ballot, value in state:
            if key not in result or ballot > result[key].accepted:
                result[key] = Slot(ballot, ballot, value)
    return result


def replace_member(roster: Roster, old: str, new: Identity) -> Roster:
    """Returns the next roster, with `new` in the place of `old`.

    Raises InvalidRequestError if `old` is not a member, or `new` already is one.

    >>> one = Roster(1, (Identity("a", 1), Identity("b", 2), Identity("c", 3)))
    >>> replace_member(one, "c", Identity("d", 4)).names()
    ['a', 'b', 'd']
    """
    if old not in roster.names():
        raise InvalidRequestError(f"{old} is not a member of the council: {', '.join(roster.names())}")
    rest = [member for member in roster.members if member.name != old]
    if new.name in [member.name for member in rest]:
        raise InvalidRequestError(f"{new.name} is already a member of the council")
    if new in roster.members:
        raise InvalidRequestError(f"{new.name} is the same member: nothing to replace")
    return Roster(roster.epoch + 1, tuple(sorted((*rest, new))))


def encode_roster(roster: Roster) -> bytes:
    """Encodes a roster as the value of its register.

    >>> decode_roster(encode_roster(Roster(2, (Identity("a", 1),))))
    Roster(epoch=2, members=(Identity(name='a', incarnation=1),))
    """
    lines = [str(roster.epoch)] + [f"{member.incarnation} {member.name}" for member in roster.members]
    return "\n".join(lines).encode()


def decode_roster(body: bytes) -> Roster:
    """Decodes the value of the roster's register. Raises InvalidRequestError if it is not a roster."""
    try:
        epoch, *lines = body.decode().split("\n")
        members = [line.split(" ", 1) for line in lines]
        return Roster(int(epoch), tuple(Identity(name, int(incarnation)) for incarnation, name in members))
    except ValueError:
        raise InvalidRequestError(f"{ROSTER_KEY} holds no roster: {body[:80]!r}") from None
