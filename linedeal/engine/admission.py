"""Divides a bounded resource fairly among customers when it is nearly used up. No I/O, no clock."""

from collections.abc import Hashable

# one part in RESERVE of the limit is left to customers that hold less than an even share
RESERVE = 8


class FairShares:
    """How much each customer holds of one resource with a common limit: waiting jobs, links, bytes of the
    journal.
    """

    def __init__(self):
        """Starts with nothing held."""
        self.of: dict[Hashable, int] = {}  # only customers that hold something

    def add(self, customer: Hashable, amount: int) -> None:
        """Adds to what the customer holds; a negative `amount` gives back."""
        now = self.of.get(customer, 0) + amount
        if now:
            self.of[customer] = now
        else:
            self.of.pop(customer, None)

    def admits(self, customer: Hashable, held: int, limit: int) -> bool:
        """Whether this customer may have more, where all customers together hold `held` of at most `limit`.

        Protects the others against one customer that uses up the whole limit. An even share is computed as if
        one more customer were there.

        >>> shares = FairShares()
        >>> shares.add("crowd", 35)
        >>> shares.admits("crowd", 34, 40), shares.admits("crowd", 35, 40)
        (True, False)
        >>> shares.admits("school", 35, 40), shares.admits("school", 40, 40)
        (True, False)
        """
        if held >= limit:
            return False
        return held < limit - limit // RESERVE or self.of.get(customer, 0) < limit / (len(self.of) + 1)
