"""Organisations: whose requests come with which API keys, how many, and how urgent they are."""

import re
import secrets
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from hashlib import blake2b
from typing import Final, NewType

from persimmonusher_model.errors import ErrorCode, Finding
from persimmonusher_model.identifiers import CallerId

KeyDigest = NewType("KeyDigest", bytes)
"""Stands for an API key inside one process; another process makes another digest of it."""

DIGEST_BYTES: Final = 16
HEADER_TEXT: Final = re.compile(r"[!-~]+( +[!-~]+)*")
"""What a header can carry as it is; a line break in it would begin another header."""
_SALT: Final = secrets.token_bytes(DIGEST_BYTES)


def digest_key(key: str) -> KeyDigest:
    """Return what stands for an API key, which is a secret and kept nowhere as it is."""
    data = key.encode(errors="surrogatepass")
    return KeyDigest(blake2b(data, digest_size=DIGEST_BYTES, key=_SALT).digest())


@dataclass(frozen=True, slots=True)
class RequestQuota:
    """How many requests of an organisation may run, over all instances together."""

    per_second: int
    burst: int
    """Requests beyond the rate that may come at once."""


@dataclass(frozen=True, slots=True)
class Organisation:
    """One organisation of the routing document."""

    name: CallerId
    keys: tuple[KeyDigest, ...]
    priority: int | None = None
    """0 is the most urgent; goes before the route's. None leaves it to the route."""
    quota: RequestQuota | None = None
    """None is no limit."""


class OrganisationBook:
    """The organisations in force, by API key and by name.

    >>> acme = Organisation(CallerId("acme"), (digest_key("k1"),))
    >>> book = OrganisationBook([acme])
    >>> book.find_by_key(digest_key("k1")) is acme, book.find_by_key(digest_key("k2"))
    (True, None)
    """

    def __init__(self, organisations: Sequence[Organisation]) -> None:
        self._by_name = {one.name: one for one in organisations}
        self._by_key = {key: one for one in organisations for key in one.keys}

    def find_by_key(self, key: KeyDigest) -> Organisation | None:
        """Return the organisation that holds an API key, or None for an unknown key."""
        return self._by_key.get(key)

    def find(self, name: CallerId) -> Organisation | None:
        """Return an organisation by its name."""
        return self._by_name.get(name)


def check_organisations(organisations: Sequence[Organisation]) -> Iterator[Finding]:
    """Yield what keeps the organisations from being in force; keys are told by their place."""
    names: set[CallerId] = set()
    holders: dict[KeyDigest, CallerId] = {}
    for number, one in enumerate(organisations):
        path = f"organisations.{number}"
        if HEADER_TEXT.fullmatch(one.name) is None:
            message = f"{one.name!r} must be visible ASCII, as servers are told it in a header"
            yield Finding(ErrorCode.BAD_VALUE, f"{path}.name", message)
        if one.name in names:
            message = f"two organisations are named {one.name!r}"
            yield Finding(ErrorCode.BAD_VALUE, f"{path}.name", message)
        names.add(one.name)
        for place, key in enumerate(one.keys):
            holder = holders.setdefault(key, one.name)
            if holder != one.name:
                message = f"the key belongs to organisation {holder!r} too"
                yield Finding(ErrorCode.BAD_VALUE, f"{path}.keys.{place}", message)
