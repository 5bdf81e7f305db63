"""Who may submit: one key a customer, kept as its hash. Free of I/O."""

import hashlib
import hmac
import re
from dataclasses import dataclass, field

COUNCIL = "council"  # stands for the customer whose key is checked
FORM = re.compile(r"sha256:[0-9a-f]{64}")


@dataclass(frozen=True, slots=True)
class Keys:
    """`hashes`: sha256 of each customer's key, in the form that `hash_of` gives. `needed`: no link without one."""

    hashes: dict[str, str] = field(default_factory=dict)
    needed: bool = False


def hash_of(token: str) -> str:
    """What stands in the cluster file for a key. Keys are long random texts, so a plain hash gives nothing away.

    >>> hash_of("x")[:18]
    'sha256:2d711642b72'
    """
    return "sha256:" + hashlib.sha256(token.encode()).hexdigest()


NOBODY = hash_of("")


class AuthenticationError(Exception):
    """Its text is what the client is told: never whether the customer exists."""


def admit(keys: Keys, customer: str, token: str) -> str:
    """The customer that this token proves, empty for a link without one. Raises AuthenticationError.

    The same comparison is made whether or not the customer is known, in a time that does not depend on where the
    texts differ.
    """
    same = hmac.compare_digest(keys.hashes.get(customer, NOBODY).encode(), hash_of(token).encode())
    if customer in keys.hashes:
        if not same or not token:
            raise AuthenticationError("customer and key do not fit")
        return customer
    if token or keys.needed:
        raise AuthenticationError(
            "customer and key do not fit" if token else "a customer and its key are needed"
        )
    return ""


def council_refuses(council, session: str, token: str) -> str:
    """Why whoever says hello with this council's id and key may not speak on its behalf; empty where it may."""
    if session != council.id:
        return f"this is council {council.id}, not {session[:64]}"
    keys = Keys({COUNCIL: council.key}, True) if council.key else Keys()
    try:
        admit(keys, COUNCIL if council.key else "", token)
    except AuthenticationError:
        return "the council's key does not fit"
    return ""
