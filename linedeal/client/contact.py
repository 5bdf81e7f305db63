"""Where a session lives, as one line of text: its contact string, with which it can be opened again.

    127.0.0.1:7100,127.0.0.1:7101/readers?customer=school

Controllers first, then the session's name, then the customer. The customer's key is never part of it.
"""

import os
import secrets
from dataclasses import dataclass, replace
from pathlib import Path

from linedeal.net import Address, parse_address

SESSION_MOST = 120


class ContactError(ValueError):
    """The text names no session that could be opened; says why."""


@dataclass(frozen=True, slots=True)
class Contact:
    controllers: tuple[Address, ...]
    session: str = ""
    customer: str = ""

    def __str__(self) -> str:
        text = ",".join(f"{host}:{port}" for host, port in self.controllers)
        text += f"/{self.session}" if self.session else ""
        return text + (f"?customer={self.customer}" if self.customer else "")

    def named(self) -> "Contact":
        """The same with a session; a new name where there was none."""
        return self if self.session else replace(self, session=f"s{secrets.token_hex(6)}")


def parse_contact(text: str) -> Contact:
    """
    >>> parse_contact("127.0.0.1:7100,127.0.0.1:7101/readers?customer=school")
    Contact(controllers=(('127.0.0.1', 7100), ('127.0.0.1', 7101)), session='readers', customer='school')
    >>> str(parse_contact("h:1/s"))
    'h:1/s'
    """
    rest, _, query = text.strip().partition("?")
    places, _, session = rest.partition("/")
    customer = ""
    if query:
        name, _, customer = query.partition("=")
        if name != "customer" or not customer:
            raise ContactError(f"{text!r}: only ?customer=NAME may follow the session")
    if not places:
        raise ContactError(f"{text!r}: names no controller")
    if len(session) > SESSION_MOST or not all(c.isalnum() or c in "-_." for c in session):
        raise ContactError(
            f"{text!r}: a session is letters, digits, '-', '_' and '.', {SESSION_MOST} at most"
        )
    try:
        return Contact(tuple(parse_address(place) for place in places.split(",")), session, customer)
    except ValueError as error:
        raise ContactError(str(error)) from None


def default_contact() -> str:
    """What LINEDEAL_CONTACT says; empty where it is not set."""
    return os.environ.get("LINEDEAL_CONTACT", "")


def token_of(customer: str) -> str:
    """The customer's key: LINEDEAL_TOKEN, or the first line of the file that LINEDEAL_TOKEN_FILE names."""
    token = os.environ.get("LINEDEAL_TOKEN", "")
    place = os.environ.get("LINEDEAL_TOKEN_FILE", "")
    if token or not place or not customer:
        return token
    try:
        return Path(place).read_text(encoding="utf-8").splitlines()[0].strip()
    except (OSError, UnicodeDecodeError, IndexError) as error:
        raise ContactError(f"{place}: no key can be read: {error}") from None
