"""The replicated directory of backend servers, kept by what they announce.

Freshness is (boot_id, sequence): a late, older announcement can't undo a newer one. An announcement
that says nothing new is a heartbeat and stays with the server's watchers; only changes travel.
"""

from collections import deque
from collections.abc import Collection, Mapping
from dataclasses import dataclass
from types import MappingProxyType
from typing import Final

from persimmonusher_agreement.membership_limits import MembershipLimits
from persimmonusher_agreement.record import hash_key
from persimmonusher_agreement.record_store import RecordStore
from persimmonusher_agreement.server_record import ServerRecord
from persimmonusher_model.identifiers import ServerId, ServiceName

SHARDS: Final = 256
"""Servers share their watchers by shard: 256 choices among 2,500 instances can be kept up to date
within milliseconds, 110,000 can't. Each instance watches 256 x 3 / 2,500 shards of 430 servers."""
EMPTY: Final[Mapping[ServerId, ServerRecord]] = MappingProxyType({})


@dataclass(frozen=True)
class Announced:
    """What became of an announcement."""

    accepted: bool
    """False when a newer one is known."""
    changed: bool
    """It says something new, and is to be passed on."""


class Directory:
    """Merges records of backend servers and lists those that are not stopped and not lost."""

    def __init__(self, store: RecordStore, limits: MembershipLimits) -> None:
        self._store = store
        self._limits = limits
        self._by_service: dict[ServiceName, dict[ServerId, ServerRecord]] = {}
        self._by_shard: dict[int, dict[ServerId, ServerRecord]] = {}
        self._versions: dict[ServiceName, int] = {}
        self._buried: deque[tuple[float, ServerRecord]] = deque()
        self.live_count = 0
        """Servers that are not stopped and not lost."""

    def announce(self, record: ServerRecord, active: float) -> Announced:
        """Take what a backend server says of itself."""
        held = self.find(record.server_id)
        if held is not None and record.version < held.version:
            return Announced(accepted=False, changed=False)
        if held is not None and record.describe_content() == held.describe_content():
            return Announced(accepted=True, changed=False)
        return Announced(accepted=True, changed=self.apply(record, active))

    def apply(self, record: ServerRecord, active: float) -> bool:
        """Merge a record; tell whether it was newer."""
        held = self.find(record.server_id)
        if not self._store.put(record):
            return False
        if held is not None:
            self._take_out(held)
        self._put_in(record, active)
        return True

    def find(self, server_id: ServerId) -> ServerRecord | None:
        """Return what is known of a server, also when it is stopped or lost."""
        held = self._store.get(make_key_hash(server_id))
        return held if isinstance(held, ServerRecord) else None

    def list_servers(self, service: ServiceName) -> Collection[ServerRecord]:
        """List the servers of a service that are not stopped and not lost."""
        return self._by_service.get(service, EMPTY).values()

    def list_services(self) -> Collection[ServiceName]:
        """List the services that have, or had, a server."""
        return self._versions.keys()

    def list_shard(self, shard: int) -> Mapping[ServerId, ServerRecord]:
        """Return the live servers of one shard."""
        return self._by_shard.get(shard, EMPTY)

    def version(self, service: ServiceName) -> int:
        """Return a number that rises whenever `list_servers` changes."""
        return self._versions.get(service, 0)

    def expire(self, active: float) -> None:
        """Forget tombstones that are older than the retention."""
        kept_since = active - self._limits.stopped_retention
        while self._buried and self._buried[0][0] < kept_since:
            _, record = self._buried.popleft()
            if self._store.get(record.key_hash) is record:
                self._store.remove(record)

    def forget_all(self) -> None:
        """Forget every server, after a pause longer than tombstones are kept.

        Failure: a process that was paused for days still holds servers as ready whose tombstones
        all others have forgotten, and would bring them back. It shows as work sent to servers that
        stopped long ago. Forgetting first holds because the others' records then all come anew.
        """
        for services in list(self._by_service.values()):
            for record in list(services.values()):
                self._take_out(record)
                self._store.remove(record)
        for _, record in self._buried:
            self._store.remove(record)
        self._buried.clear()

    def _put_in(self, record: ServerRecord, active: float) -> None:
        self._versions[record.service] = self._versions.get(record.service, 0) + 1
        if record.is_tombstone:
            self._buried.append((active, record))
            return
        self.live_count += 1
        self._by_service.setdefault(record.service, {})[record.server_id] = record
        shard = find_shard(record.server_id)
        self._by_shard.setdefault(shard, {})[record.server_id] = record

    def _take_out(self, record: ServerRecord) -> None:
        self._versions[record.service] = self._versions.get(record.service, 0) + 1
        if record.is_tombstone:
            return
        self.live_count -= 1
        del self._by_service[record.service][record.server_id]
        del self._by_shard[find_shard(record.server_id)][record.server_id]


def make_key_hash(server_id: ServerId) -> int:
    """Return the hash that the store knows a server by."""
    return hash_key(f"s/{server_id}")


def find_shard(server_id: ServerId) -> int:
    """Return the shard whose watchers listen for this server."""
    return make_key_hash(server_id) % SHARDS
