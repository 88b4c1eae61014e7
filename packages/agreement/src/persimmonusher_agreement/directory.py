"""The replicated directory of backend servers, maintained from their announcements.

Freshness is (boot_id, sequence): a late, older announcement can't undo a newer one. An announcement
without a change is a heartbeat and goes only to the server's watchers; only changes are replicated.
"""

from collections import deque
from collections.abc import Collection, Mapping
from dataclasses import dataclass
from types import MappingProxyType
from typing import Final

from persimmonusher_agreement.membership_limits import MembershipLimits
from persimmonusher_agreement.record import hash_key
from persimmonusher_agreement.record_store import RecordStore
from persimmonusher_agreement.server_record import ServerRecord, ServerState
from persimmonusher_model.identifiers import ServerId, ServiceName

SHARD_COUNT: Final = 256
"""All servers of a shard have the same watchers: 256 choices among 2,500 instances can be updated
within milliseconds, 110,000 can't. Each instance watches 256 x 3 / 2,500 shards of 430 servers."""
NO_SERVERS: Final[Mapping[ServerId, ServerRecord]] = MappingProxyType({})

ServersById = dict[ServerId, ServerRecord]


@dataclass(frozen=True)
class AnnouncementResult:
    """The result of an announcement."""

    accepted: bool
    """False when a newer one is known."""
    changed: bool
    """True if it changed the server's record, which is to be sent to other instances."""
    relayed: bool = True
    """False when this instance is cut off, so that other instances may not learn of it.

    Failure: an entry that is cut off from the others, but not from the balancer, receives
    announcements that don't reach the watchers; five in a row make the server look lost, and a
    drain announced there stays unknown. The server should then announce itself again at once,
    through another entry.
    """


class Directory:
    """Merges records of backend servers and lists those of each service."""

    def __init__(self, store: RecordStore, limits: MembershipLimits) -> None:
        self._store = store
        self._limits = limits
        self._live: dict[ServiceName, ServersById] = {}
        self._lost: dict[ServiceName, ServersById] = {}
        self._unconfirmed: dict[ServiceName, ServersById] = {}
        self._by_shard: dict[int, ServersById] = {}
        self._versions: dict[ServiceName, int] = {}
        self._tombstones: deque[tuple[float, ServerRecord]] = deque()
        self._recently_lost: deque[tuple[float, ServerRecord]] = deque()
        self.changes = 0
        """Rises with every change of any service's servers."""
        self.may_confirm = True
        """Whether equal records from others confirm ours; False on the smaller side of a cut."""
        self.live_count = 0
        """Servers that are not stopped, not lost and not unconfirmed."""

    def announce(self, record: ServerRecord, active: float) -> AnnouncementResult:
        """Process a backend server's announcement of itself."""
        held = self.find(record.server_id)
        if held is not None and record.version < held.version:
            return AnnouncementResult(accepted=False, changed=False)
        if held is not None and record.describe_content() == held.describe_content():
            return AnnouncementResult(accepted=True, changed=False)
        return AnnouncementResult(accepted=True, changed=self.apply(record, active) is not None)

    def apply(self, record: ServerRecord, active: float) -> ServerRecord | None:
        """Merge a record; return the one to send on, or None if it brought nothing new."""
        held = self.find(record.server_id)
        newest = self._confirm(record)
        if newest is None or not self._store.put(newest):
            return None
        if held is not None:
            self._remove_record(held)
        self._add_record(newest, active)
        return newest

    def find(self, server_id: ServerId) -> ServerRecord | None:
        """Return a server's record, even if stopped or lost; None if unconfirmed or unknown."""
        held = self._store.get(hash_key(f"s/{server_id}"))
        return held if isinstance(held, ServerRecord) else None

    def list_servers(self, service: ServiceName) -> tuple[ServerRecord, ...]:
        """List the servers of a service that are not stopped, and in general not lost.

        Load: the path of the announcements breaks (the balancer, a network between servers and
        entries) while callers' requests pass, so most of a service's servers count as lost within
        seconds. Harm: the remaining few are overloaded, or every request is refused. Limit: while
        more servers are lost than remain, the lost ones are listed too, and detection by real
        requests finds out which answer. After `lost_listing_seconds` a lost server isn't listed any
        more, unless the service has no live one.
        """
        live = self._live.get(service, NO_SERVERS)
        unconfirmed = self._unconfirmed.get(service, NO_SERVERS)
        lost = self._lost.get(service, NO_SERVERS)
        listed = (*live.values(), *unconfirmed.values())
        return (*listed, *lost.values()) if len(lost) > len(listed) else listed

    def list_services(self) -> Collection[ServiceName]:
        """List the services that have, or had, a server."""
        return self._versions.keys()

    def list_shard(self, shard: int) -> Mapping[ServerId, ServerRecord]:
        """Return the live servers of one shard."""
        return self._by_shard.get(shard, NO_SERVERS)

    def version(self, service: ServiceName) -> int:
        """Return a number that rises whenever `list_servers` changes."""
        return self._versions.get(service, 0)

    def expire(self, active: float) -> list[ServiceName]:
        """Remove what is older than its retention; return the services whose list may differ."""
        kept_since = active - self._limits.stopped_retention_seconds
        while self._tombstones and self._tombstones[0][0] < kept_since:
            self._forget(self._tombstones.popleft()[1])
        listed_since = active - self._limits.lost_listing_seconds
        believed: list[ServiceName] = []
        while self._recently_lost and self._recently_lost[0][0] < listed_since:
            _, record = self._recently_lost.popleft()
            if self._live.get(record.service) and self._drop(self._lost, record):
                believed.append(record.service)
        return believed

    def mark_all_unconfirmed(self) -> None:
        """Mark every server as unconfirmed: still listed, but not exchanged with other instances.

        Failure: an instance that was cut off, or paused, for longer than tombstones are kept still
        holds servers as ready that stopped meanwhile, and would spread them again. Then requests
        are sent to servers that stopped long ago. The guard holds because this is called before
        the first tombstone expires, and only a record from another instance, or an announcement,
        makes an unconfirmed server an exchanged one again.
        """
        for group in list(self._live.values()):
            for record in list(group.values()):
                self._remove_record(record)
                self._store.remove(record)
                self._unconfirmed.setdefault(record.service, {})[record.server_id] = record
        for _, record in self._tombstones:
            self._forget(record)
        self._tombstones.clear()

    def drop_unconfirmed(self) -> list[ServiceName]:
        """Remove the servers that are still unconfirmed; return their services."""
        services = [service for service, group in self._unconfirmed.items() if group]
        self._unconfirmed.clear()
        for service in services:
            self._raise_version(service)
        return services

    def _add_record(self, record: ServerRecord, active: float) -> None:
        self._raise_version(record.service)
        self._drop(self._unconfirmed, record)
        if record.is_tombstone:
            self._tombstones.append((active, record))
            if record.state <= ServerState.READY:
                self._lost.setdefault(record.service, {})[record.server_id] = record
                self._recently_lost.append((active, record))
            return
        self.live_count += 1
        self._live.setdefault(record.service, {})[record.server_id] = record
        shard = find_shard(record.server_id)
        self._by_shard.setdefault(shard, {})[record.server_id] = record

    def _remove_record(self, record: ServerRecord) -> None:
        self._raise_version(record.service)
        if record.is_tombstone:
            self._drop(self._lost, record)
            return
        self.live_count -= 1
        del self._live[record.service][record.server_id]
        del self._by_shard[find_shard(record.server_id)][record.server_id]

    def _confirm(self, record: ServerRecord) -> ServerRecord | None:
        """Return the newer of the record and the unconfirmed one, or None if it confirms nothing.

        Failure: of two cut-off instances, one marks its directory as unconfirmed a moment before
        the other, learns it from the other again and sends it on as news, then the other does the
        same, and so on for hours, until the cut heals and the rest of the fleet learns it too. So
        on the smaller side of a cut, only newer records confirm a server.
        """
        unconfirmed = self._unconfirmed.get(record.service, NO_SERVERS).get(record.server_id)
        if unconfirmed is None or record.supersedes(unconfirmed):
            return record
        return unconfirmed if self.may_confirm else None

    def _forget(self, record: ServerRecord) -> None:
        if self._store.get(record.key_hash) is record:
            self._remove_record(record)
            self._store.remove(record)

    def _drop(self, groups: dict[ServiceName, ServersById], record: ServerRecord) -> bool:
        """Remove a server from a group and, if it was in it, raise its service's version."""
        dropped = groups.get(record.service, {}).pop(record.server_id, None) is not None
        if dropped:
            self._raise_version(record.service)
        return dropped

    def _raise_version(self, service: ServiceName) -> None:
        self._versions[service] = self._versions.get(service, 0) + 1
        self.changes += 1


def find_shard(server_id: ServerId) -> int:
    """Return the shard of a server, whose watchers receive the server's heartbeats."""
    return hash_key(f"s/{server_id}") % SHARD_COUNT
