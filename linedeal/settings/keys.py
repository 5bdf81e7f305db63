"""Who may submit: one key a customer, kept as its hash."""

import hashlib
import re
from dataclasses import dataclass, field

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
