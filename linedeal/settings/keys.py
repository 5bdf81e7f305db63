"""Authentication of customers by one key each, of which only the hash is configured. Does no I/O."""

import hashlib
import hmac
import re
from dataclasses import dataclass, field

COUNCIL = "council"  # customer name under which the council's key is checked
HASH_PATTERN = re.compile(r"sha256:[0-9a-f]{64}")


@dataclass(frozen=True, slots=True)
class Keys:
    """Hashes of the customers' keys, as returned by `hash_of`. With `needed` every link has to show a key."""

    hashes: dict[str, str] = field(default_factory=dict)
    needed: bool = False


def hash_of(token: str) -> str:
    """The hash of a key, as written in the cluster file.

    A plain hash is enough, since keys are long random texts.

    >>> hash_of("x")[:18]
    'sha256:2d711642b72'
    """
    return "sha256:" + hashlib.sha256(token.encode()).hexdigest()


UNKNOWN_CUSTOMER_HASH = hash_of("")  # compared for customers without a key


class AuthenticationError(Exception):
    """The key is missing or wrong. The message goes to the client and hides whether the customer exists."""


def admit(keys: Keys, customer: str, token: str) -> str:
    """The customer authenticated by `token`, empty for a link without one. Raises AuthenticationError.

    The same constant-time comparison is made whether or not the customer is known.
    """
    matches = hmac.compare_digest(
        keys.hashes.get(customer, UNKNOWN_CUSTOMER_HASH).encode(), hash_of(token).encode()
    )
    if customer in keys.hashes:
        if not matches or not token:
            raise AuthenticationError("customer and key do not fit")
        return customer
    if token or keys.needed:
        raise AuthenticationError(
            "customer and key do not fit" if token else "a customer and its key are needed"
        )
    return ""


def council_refuses(council, session: str, token: str) -> str:
    """Why a peer with this council ID and key is refused; empty if it is admitted."""
    if session != council.id:
        return f"this is council {council.id}, not {session[:64]}"
    keys = Keys({COUNCIL: council.key}, True) if council.key else Keys()
    try:
        admit(keys, COUNCIL if council.key else "", token)
    except AuthenticationError:
        return "the council's key does not fit"
    return ""
