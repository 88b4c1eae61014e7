"""Registered servers by address, and stopped servers in the order in which they stopped."""

from collections import OrderedDict
from collections.abc import Iterable
from typing import Final

from persimmonusher_agreement.configuration_objects import ObjectKey, Record
from persimmonusher_agreement.registration import (
    RegisteredState,
    Registration,
    decode_registration,
)

MAX_ENDED_SERVERS: Final = 4_096
"""Stopped registrations that are kept, so that a late registration of such a server has no effect.
It may come seconds late; at 15,000 restarts a day these are the ones that stopped within six
hours."""


class ServerIndex:
    """Indexes for applying a registration without reading all registrations.

    Without them, a change of one server would read 110,000 registrations. And without a bound on
    the stopped servers that are kept, each keeper and entry would hold every server that ever ran.
    """

    def __init__(self, ended_kept: int = MAX_ENDED_SERVERS) -> None:
        self._ended_kept = ended_kept
        self._live: dict[ObjectKey, Registration] = {}
        self._by_address: dict[str, set[ObjectKey]] = {}
        self._ended: OrderedDict[ObjectKey, None] = OrderedDict()

    def update(self, record: Record) -> None:
        """Index a server's latest record; records must come in the order of their revisions."""
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
        """List the stopped servers beyond those that are kept, the longest stopped first."""
        beyond = len(self._ended) - self._ended_kept
        return [key for key, _ in zip(self._ended, range(beyond), strict=False)]

    def _remove_address(self, key: ObjectKey, address: str) -> None:
        keys = self._by_address[address]
        keys.discard(key)
        if not keys:
            del self._by_address[address]
