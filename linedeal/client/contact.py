"""The contact string of a session: one line of text that names its controllers and opens it again.

    127.0.0.1:7100,127.0.0.1:7101/readers?customer=school

The controllers come first, then the session's name, then the customer. The customer's
key is never part of it.
"""

import os
import secrets
from dataclasses import dataclass, replace
from pathlib import Path

from linedeal.net import Address, parse_address

MAX_SESSION_NAME_LENGTH = 120  # characters


class ContactError(ValueError):
    """A contact string, or the file with the customer's key, is unusable; the message has the reason."""


@dataclass(frozen=True, slots=True)
class Contact:
    """The controllers, session name and customer of a session; `str()` gives the contact string."""

    controllers: tuple[Address, ...]
    session: str = ""
    customer: str = ""

    def __str__(self) -> str:
        """The contact string, which `parse_contact` reads."""
        text = ",".join(f"{host}:{port}" for host, port in self.controllers)
        text += f"/{self.session}" if self.session else ""
        return text + (f"?customer={self.customer}" if self.customer else "")

    def with_session_name(self) -> "Contact":
        """Returns the same contact, with a random session name if it has none."""
        return self if self.session else replace(self, session=f"s{secrets.token_hex(6)}")


def parse_contact(text: str) -> Contact:
    """Parses a contact string. Raises ContactError.

    >>> parse_contact("127.0.0.1:7100,127.0.0.1:7101/readers?customer=school")
    Contact(controllers=(('127.0.0.1', 7100), ('127.0.0.1', 7101)), session='readers', customer='school')
    >>> str(parse_contact("h:1/s"))
    'h:1/s'
    """
    rest, _, query = text.strip().partition("?")
    controllers, _, session = rest.partition("/")
    customer = ""
    if query:
        name, _, customer = query.partition("=")
        if name != "customer" or not customer:
            raise ContactError(f"{text!r}: only ?customer=NAME may follow the session")
    if not controllers:
        raise ContactError(f"{text!r}: names no controller")
    if len(session) > MAX_SESSION_NAME_LENGTH or not all(c.isalnum() or c in "-_." for c in session):
        raise ContactError(
            f"{text!r}: a session name has letters, digits, '-', '_' and '.', "
            f"{MAX_SESSION_NAME_LENGTH} at most"
        )
    try:
        return Contact(tuple(parse_address(address) for address in controllers.split(",")), session, customer)
    except ValueError as error:
        raise ContactError(str(error)) from None


def default_contact() -> str:
    """The value of LINEDEAL_CONTACT, empty if it is not set."""
    return os.environ.get("LINEDEAL_CONTACT", "")


def read_token(customer: str) -> str:
    """The customer's key: LINEDEAL_TOKEN, or the first line of the file that LINEDEAL_TOKEN_FILE names.

    Without a customer the file is not read. Raises ContactError if it cannot be read.
    """
    token = os.environ.get("LINEDEAL_TOKEN", "")
    path = os.environ.get("LINEDEAL_TOKEN_FILE", "")
    if token or not path or not customer:
        return token
    try:
        return Path(path).read_text(encoding="utf-8").splitlines()[0].strip()
    except (OSError, UnicodeDecodeError, IndexError) as error:
        raise ContactError(f"{path}: no key can be read: {error}") from None
