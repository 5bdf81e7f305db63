"""Whose job or link is taken when what a controller may hold is nearly used up. Free of I/O and clock."""

RESERVE = 8  # one part in so many of what may be held is for customers that hold less than an even share


class FairShares:
    """How much each customer has of one thing that is bounded for all: jobs that wait, links, bytes of the journal."""

    def __init__(self):
        self.of: dict[str, int] = {}  # only of customers that have some

    def add(self, customer: str, amount: int) -> None:
        """`amount` below 0 gives back."""
        now = self.of.get(customer, 0) + amount
        if now:
            self.of[customer] = now
        else:
            del self.of[customer]

    def admits(self, customer: str, held: int, most: int) -> bool:
        """Whether this customer may have more, where `held` of at most `most` are in use by all.

        Guards the others against one that fills all there is: an even share counts a place for one more to come.

        >>> shares = FairShares()
        >>> shares.add("crowd", 35)
        >>> shares.admits("crowd", 34, 40), shares.admits("crowd", 35, 40)
        (True, False)
        >>> shares.admits("school", 35, 40), shares.admits("school", 40, 40)
        (True, False)
        """
        if held >= most:
            return False
        return held < most - most // RESERVE or self.of.get(customer, 0) < most / (len(self.of) + 1)
