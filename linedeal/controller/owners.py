"""Who a client is, and which jobs are its own. Free of I/O."""

import hmac

from linedeal.settings.keys import Keys, hash_of

NOBODY = hash_of("")


class NotAdmitted(Exception):
    """Its text is what the client is told: never whether the customer exists."""


def admit(keys: Keys, customer: str, token: str) -> str:
    """The customer that this token proves, empty for a link without one. Raises NotAdmitted.

    The same comparison is made whether or not the customer is known, in a time that does not depend on where the
    texts differ.
    """
    same = hmac.compare_digest(keys.hashes.get(customer, NOBODY).encode(), hash_of(token).encode())
    if customer in keys.hashes:
        if not same or not token:
            raise NotAdmitted("customer and key do not fit")
        return customer
    if token or keys.needed:
        raise NotAdmitted("customer and key do not fit" if token else "a customer and its key are needed")
    return ""


def qualified(proven: str, session: str) -> str:
    """The name under which a session's jobs are kept: only links that have proven the same customer come to it.

    >>> qualified("school", "s1"), qualified("", "school/s1"), qualified("", "")
    ('school/s1', '/school/s1', '')
    """
    return f"{proven}/{session}" if session else ""
