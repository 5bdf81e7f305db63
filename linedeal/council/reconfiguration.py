"""How one roster follows another. Pure functions; the course is:

1. the next roster is chosen in the register `records.ROSTER_KEY` of the present epoch, so there is only one;
2. a majority of the present members seal: durably, they vote no more in this epoch, and say what they accepted;
3. what they say is merged, register by register the vote at the highest ballot, and installed in the new members,
   who vote in the new epoch from then on.

Whatever was chosen was accepted by a majority, which meets the sealed one in a member; so every member of the new epoch
has it, or what followed it, and so has each who is installed later by one of them. Two who install after different
majorities may leave different votes that were never chosen: `slots.chosen_value` does not take them for chosen.
"""

from typing import Iterable

from linedeal.council.records import ROSTER_KEY, Ballot, InvalidRequestError, Identity, Roster, Slot, Value

State = tuple[tuple[str, Ballot, Value], ...]


def accepted_state(slots: dict[str, Slot]) -> State:
    return tuple(
        sorted((key, slot.accepted, slot.value) for key, slot in slots.items() if slot.accepted.epoch)
    )


def merge_states(states: Iterable[State]) -> dict[str, Slot]:
    """The slots of a member that begins with these: nothing promised in the new epoch yet."""
    result: dict[str, Slot] = {}
    for one in states:
        for key, ballot, value in one:
            if key not in result or ballot > result[key].accepted:
                result[key] = Slot(ballot, ballot, value)
    return result


def replace_member(roster: Roster, old: str, new: Identity) -> Roster:
    """The next roster. Raises InvalidRequestError with one plain line.

    >>> one = Roster(1, (Identity("a", 1), Identity("b", 2), Identity("c", 3)))
    >>> replace_member(one, "c", Identity("d", 4)).names()
    ['a', 'b', 'd']
    """
    if old not in roster.names():
        raise InvalidRequestError(f"{old} is not a member of the council: {', '.join(roster.names())}")
    rest = [member for member in roster.members if member.name != old]
    if new.name in [member.name for member in rest]:
        raise InvalidRequestError(f"{new.name} is a member of the council already")
    if new in roster.members:
        raise InvalidRequestError(f"{new.name} is the same member: nothing to replace")
    return Roster(roster.epoch + 1, tuple(sorted((*rest, new))))


def encode_roster(roster: Roster) -> bytes:
    """As the register holds it.

    >>> decode_roster(encode_roster(Roster(2, (Identity("a", 1),))))
    Roster(epoch=2, members=(Identity(name='a', incarnation=1),))
    """
    lines = [str(roster.epoch)] + [f"{member.incarnation} {member.name}" for member in roster.members]
    return "\n".join(lines).encode()


def decode_roster(body: bytes) -> Roster:
    """Raises InvalidRequestError where the register holds anything else."""
    try:
        epoch, *lines = body.decode().split("\n")
        members = [line.split(" ", 1) for line in lines]
        return Roster(int(epoch), tuple(Identity(name, int(incarnation)) for incarnation, name in members))
    except ValueError:
        raise InvalidRequestError(f"{ROSTER_KEY} holds no roster: {body[:80]!r}") from None
