"""Identifies the organisation of a request by its API key."""

from dataclasses import dataclass

from persimmonusher_model.organisations import (
    KeyDigest,
    Organisation,
    OrganisationBook,
    digest_key,
)
from persimmonusher_node.dialect import Dialect
from persimmonusher_node.headers import HeaderList


@dataclass(frozen=True, slots=True)
class Identity:
    """The organisation that holds a request's API key; None for a public route's request."""

    organisation: Organisation | None


def identify(
    book: OrganisationBook, headers: HeaderList, is_public: bool, dialect: Dialect
) -> Identity | None:
    """Return the identity behind a request, or None if its API key is missing or unknown.

    On a public route no key is needed, but a known one still identifies the organisation.
    """
    digest = find_key(headers, dialect)
    organisation = None if digest is None else book.find_by_key(digest)
    if organisation is None and not is_public:
        return None
    return Identity(organisation)


def find_key(headers: HeaderList, dialect: Dialect) -> KeyDigest | None:
    """Return the digest of the API key in a request's headers.

    Returns None if there is none, or if there are several different ones: it is not known which of
    them a backend server would have read.
    """
    name = dialect.credentials.lower()
    values = {value.strip() for header, value in headers if header.lower() == name}
    if len(values) != 1:
        return None
    scheme, _, key = values.pop().partition(" ")
    if scheme.lower() != dialect.credentials_scheme.lower() or not key.strip():
        return None
    return digest_key(key.strip())
