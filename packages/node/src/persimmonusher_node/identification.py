"""Whose request it is, by the API key that comes with it."""

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
    """Return whose request it is, or None where its API key is missing or unknown.

    On a public route no key is needed, but one that is known still counts.
    """
    digest = find_key(headers, dialect)
    organisation = None if digest is None else book.find_by_key(digest)
    if organisation is None and not is_public:
        return None
    return Identity(organisation)


def find_key(headers: HeaderList, dialect: Dialect) -> KeyDigest | None:
    """Return the digest of the API key in a request's headers.

    None where there is none, or where several say different things: which of them a backend server
    would have read is not to be guessed.
    """
    name = dialect.credentials.lower()
    values = {value.strip() for header, value in headers if header.lower() == name}
    if len(values) != 1:
        return None
    scheme, _, key = values.pop().partition(" ")
    if scheme.lower() != dialect.credentials_scheme.lower() or not key.strip():
        return None
    return digest_key(key.strip())
