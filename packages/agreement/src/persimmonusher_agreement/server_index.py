"""Registered servers by address, and those that have ended in the order of their ends."""

from collections import OrderedDict
from collections.abc import Iterable
from typing import Final

from persimmonusher_agreement.configuration_objects import ObjectKey, Record
from persimmonusher_agreement.registration import (
    RegisteredState,
    Registration,
    decode_registration,
)

ENDED_KEPT: Final = 4_096
"""Ended registrations that are kept, so that a late word of such a server changes nothing. A word
comes seconds late; at 15,000 restarts a day these are the ends of six hours."""


class ServerIndex:
    """What applying a registration looks up, without reading all registrations for it.

    A change of one server would otherwise read 110,000 of them; and without an end to what is kept
    of ended servers, each keeper and entry would hold every server that ever was.
    """

    def __init__(self, ended_kept: int = ENDED_KEPT) -> None:
        self._ended_kept = ended_kept
        self._live: dict[ObjectKey, Registration] = {}
        self._by_address: dict[str, set[ObjectKey]] = {}
        self._ended: OrderedDict[ObjectKey, None] = OrderedDict()

    def take(self, record: Record) -> None:
        """Take a server's latest record; records must come in the order of their revisions."""
        key = record.key
        self._ended.pop(key, None)
        former = self._live.pop(key, None)
        if former is not None:
            self._remove_address(key, former.address)
        if record.body is None:
            return
        server = decode_registration(key.name, record.body)
        if server.state is RegisteredState.STOPPED:
            self._ended[key] = None
            return
        self._live[key] = server
        self._by_address.setdefault(server.address, set()).add(key)

    def list_rivals(self, new: Registration) -> list[Registration]:
        """List other servers that are registered at the same address, in the order of names."""
        keys = self._by_address.get(new.address, set()) - {new.key}
        return [self._live[key] for key in sorted(keys, key=lambda key: key.name)]

    def list_expired(self) -> Iterable[ObjectKey]:
        """List the ended servers beyond those that are kept, the longest ended first."""
        beyond = len(self._ended) - self._ended_kept
        return [key for key, _ in zip(self._ended, range(beyond), strict=False)]

    def _remove_address(self, key: ObjectKey, address: str) -> None:
        keys = self._by_address[address]
        keys.discard(key)
        if not keys:
            del self._by_address[address]
