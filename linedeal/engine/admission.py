"""Whose job or link is taken when what a controller may hold is nearly used up. Free of I/O and clock."""

RESERVE = 8         # one part in so many of what may be held is for customers that hold less than an even share


def may_take(held: int, most: int, of_customer: int, customers: int) -> bool:
    """`held` of at most `most`, `of_customer` of it this one's, `customers`: who has any. For jobs that wait, links, and
    bytes of the journal.

    Guards the others against one that fills all there is: an even share counts a place for one more to come.

    >>> may_take(34, 40, 34, 1), may_take(35, 40, 35, 1), may_take(35, 40, 0, 1), may_take(40, 40, 0, 1)
    (True, False, True, False)
    """
    if held >= most:
        return False
    return held < most - most // RESERVE or of_customer < most / (customers + 1)
