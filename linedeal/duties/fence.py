"""The check of fencing tokens by the process that carries out a duty's effects. Pure.

The highest token seen for each duty only rises, and effects with a lower one are rejected. This, and not any
clock, prevents a former owner from doing harm. Where effects outlive the process that carries them out, the
caller has to store the tokens before it carries out the effect.
"""

from dataclasses import dataclass

from linedeal.duties.duty import DutyError

MAX_DUTIES = 256


@dataclass(frozen=True, slots=True)
class Fence:
    """The highest token seen for each duty."""

    tokens: tuple[tuple[str, int], ...] = ()  # duty and token, sorted

    def highest(self, duty: str) -> int:
        """Returns the highest token seen for the duty, or 0."""
        return dict(self.tokens).get(duty, 0)

    def admit(self, duty: str, token: int) -> "Fence":
        """Returns the fence after an effect with this token is admitted.

        Raises DutyError if a higher token was seen, or tokens of too many duties are stored.

        >>> fence = Fence().admit("campaign", 4)
        >>> fence.admit("campaign", 3)
        Traceback (most recent call last):
        linedeal.duties.duty.DutyError: campaign: token 3 is an old owner's, 4 was seen
        """
        highest = self.highest(duty)
        if token < highest:
            raise DutyError(f"{duty}: token {token} is an old owner's, {highest} was seen")
        if not highest and len(self.tokens) >= MAX_DUTIES:
            raise DutyError(f"{duty}: tokens of {MAX_DUTIES} duties are already stored")
        if token == highest:
            return self
        return Fence(tuple(sorted((dict(self.tokens) | {duty: token}).items())))
