"""What whoever carries out an effect checks: the highest token seen for each duty only rises. Pure.

This, and no clock, is what keeps a late owner from doing harm. The caller keeps the tokens where its effects outlive
it, before it carries the effect out.
"""

from dataclasses import dataclass

from linedeal.duties.duty import DutyError

MOST_DUTIES = 256


@dataclass(frozen=True, slots=True)
class Fence:
    tokens: tuple[tuple[str, int], ...] = ()  # duty and the highest token seen, sorted

    def highest(self, duty: str) -> int:
        return dict(self.tokens).get(duty, 0)

    def admit(self, duty: str, token: int) -> "Fence":
        """The fence once an effect by this token is let through. Raises DutyError for an old owner's.

        >>> fence = Fence().admit("campaign", 4)
        >>> fence.admit("campaign", 3)
        Traceback (most recent call last):
        linedeal.duties.duty.DutyError: campaign: token 3 is an old owner's, 4 was seen
        """
        highest = self.highest(duty)
        if token < highest:
            raise DutyError(f"{duty}: token {token} is an old owner's, {highest} was seen")
        if not highest and len(self.tokens) >= MOST_DUTIES:
            raise DutyError(f"{duty}: tokens of {MOST_DUTIES} duties are kept already")
        if token == highest:
            return self
        return Fence(tuple(sorted((dict(self.tokens) | {duty: token}).items())))
