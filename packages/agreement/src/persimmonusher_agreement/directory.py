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
from persimmonusher_agreement.server_record import ServerRecord, ServerState
from persimmonusher_model.identifiers import ServerId, ServiceName

SHARDS: Final = 256
"""Servers share their watchers by shard: 256 choices among 2,500 instances can be kept up to date
within milliseconds, 110,000 can't. Each instance watches 256 x 3 / 2,500 shards of 430 servers."""
EMPTY: Final[Mapping[ServerId, ServerRecord]] = MappingProxyType({})

Group = dict[ServerId, ServerRecord]


@dataclass(frozen=True)
class Announced:
    """What became of an announcement."""

    accepted: bool
    """False when a newer one is known."""
    changed: bool
    """It says something new, and is to be passed on."""
    relayed: bool = True
    """False when this instance is cut off, so that nobody else may hear of it.

    Failure: an entry that is cut off from the others, but not from the balancer, swallows
    announcements; five in a row look like a lost server, and a drain told to it stays unknown. The
    server should then announce itself again at once, through another entry.
    """


class Directory:
    """Merges records of backend servers and lists those that may take work or are draining."""

    def __init__(self, store: RecordStore, limits: MembershipLimits) -> None:
        self._store = store
        self._limits = limits
        self._live: dict[ServiceName, Group] = {}
        self._lost: dict[ServiceName, Group] = {}
        self._doubted: dict[ServiceName, Group] = {}
        self._by_shard: dict[int, Group] = {}
        self._versions: dict[ServiceName, int] = {}
        self._buried: deque[tuple[float, ServerRecord]] = deque()
        self._recently_lost: deque[tuple[float, ServerRecord]] = deque()
        self.changes = 0
        """Rises with every change of any service's servers."""
        self.may_confirm = True
        """Records from others confirm doubted ones; False on the smaller side of a cut."""
        self.live_count = 0
        """Servers that are not stopped, not lost and not doubted."""

    def announce(self, record: ServerRecord, active: float) -> Announced:
        """Take what a backend server says of itself."""
        held = self.find(record.server_id)
        if held is not None and record.version < held.version:
            return Announced(accepted=False, changed=False)
        if held is not None and record.describe_content() == held.describe_content():
            return Announced(accepted=True, changed=False)
        return Announced(accepted=True, changed=self.apply(record, active) is not None)

    def apply(self, record: ServerRecord, active: float) -> ServerRecord | None:
        """Merge a record; return the one to pass on, or None where nothing is new."""
        held = self.find(record.server_id)
        newest = self._confirm(record)
        if newest is None or not self._store.put(newest):
            return None
        if held is not None:
            self._take_out(held)
        self._put_in(newest, active)
        return newest

    def find(self, server_id: ServerId) -> ServerRecord | None:
        """Return what is known of a server, also when it is stopped or lost."""
        held = self._store.get(hash_key(f"s/{server_id}"))
        return held if isinstance(held, ServerRecord) else None

    def list_servers(self, service: ServiceName) -> tuple[ServerRecord, ...]:
        """List the servers of a service that are not stopped, and in general not lost.

        Load: the way that announcements take breaks (the balancer, a network between servers and
        entries), while callers' requests pass, and most of a service's servers are lost within
        seconds. Harm: the few that are left are overrun, or every request is refused. Limit: when
        more of them are lost than left, the lost are listed too, and detection by real work tells
        which answer. `lost_listing` seconds later the loss is believed, unless none would be left.
        """
        live = self._live.get(service, EMPTY)
        doubted = self._doubted.get(service, EMPTY)
        lost = self._lost.get(service, EMPTY)
        listed = (*live.values(), *doubted.values())
        return (*listed, *lost.values()) if len(lost) > len(listed) else listed

    def list_services(self) -> Collection[ServiceName]:
        """List the services that have, or had, a server."""
        return self._versions.keys()

    def list_shard(self, shard: int) -> Mapping[ServerId, ServerRecord]:
        """Return the live servers of one shard."""
        return self._by_shard.get(shard, EMPTY)

    def version(self, service: ServiceName) -> int:
        """Return a number that rises whenever `list_servers` changes."""
        return self._versions.get(service, 0)

    def expire(self, active: float) -> list[ServiceName]:
        """Forget what is older than its retention; return the services whose list may differ."""
        kept_since = active - self._limits.stopped_retention
        while self._buried and self._buried[0][0] < kept_since:
            self._forget(self._buried.popleft()[1])
        listed_since = active - self._limits.lost_listing
        believed: list[ServiceName] = []
        while self._recently_lost and self._recently_lost[0][0] < listed_since:
            _, record = self._recently_lost.popleft()
            if self._live.get(record.service) and self._drop(self._lost, record):
                believed.append(record.service)
        return believed

    def doubt_all(self) -> None:
        """Take every record out of what is exchanged, and go on listing the servers.

        Failure: an instance that was cut off, or paused, for longer than tombstones are kept still
        holds servers as ready that stopped meanwhile, and would bring them back. It shows as work
        sent to servers that stopped long ago. The guard holds because this is done before the
        first tombstone expires, and nothing but a record from others, or an announcement, makes a
        doubted server an exchanged one again.
        """
        for group in list(self._live.values()):
            for record in list(group.values()):
                self._take_out(record)
                self._store.remove(record)
                self._doubted.setdefault(record.service, {})[record.server_id] = record
        for _, record in self._buried:
            self._forget(record)
        self._buried.clear()

    def drop_doubted(self) -> list[ServiceName]:
        """Forget the doubted servers that nobody has confirmed; return their services."""
        services = [service for service, group in self._doubted.items() if group]
        self._doubted.clear()
        for service in services:
            self._raise_version(service)
        return services

    def _put_in(self, record: ServerRecord, active: float) -> None:
        self._raise_version(record.service)
        self._drop(self._doubted, record)
        if record.is_tombstone:
            self._buried.append((active, record))
            if record.state <= ServerState.READY:
                self._lost.setdefault(record.service, {})[record.server_id] = record
                self._recently_lost.append((active, record))
            return
        self.live_count += 1
        self._live.setdefault(record.service, {})[record.server_id] = record
        shard = find_shard(record.server_id)
        self._by_shard.setdefault(shard, {})[record.server_id] = record

    def _take_out(self, record: ServerRecord) -> None:
        self._raise_version(record.service)
        if record.is_tombstone:
            self._drop(self._lost, record)
            return
        self.live_count -= 1
        del self._live[record.service][record.server_id]
        del self._by_shard[find_shard(record.server_id)][record.server_id]

    def _confirm(self, record: ServerRecord) -> ServerRecord | None:
        """Return the newer of the record and the doubted one, None if it confirms nothing.

        Failure: of two cut-off instances, one doubts its directory a moment before the other,
        learns it back, passes it on as news, and so on for hours, until the cut heals and the
        others learn it too. So on the smaller side only newer records count.
        """
        doubted = self._doubted.get(record.service, EMPTY).get(record.server_id)
        if doubted is None or record.supersedes(doubted):
            return record
        return doubted if self.may_confirm else None

    def _forget(self, record: ServerRecord) -> None:
        if self._store.get(record.key_hash) is record:
            self._take_out(record)
            self._store.remove(record)

    def _drop(self, groups: dict[ServiceName, Group], record: ServerRecord) -> bool:
        """Take a server out of a group, and its service's version up, if it is in it."""
        dropped = groups.get(record.service, {}).pop(record.server_id, None) is not None
        if dropped:
            self._raise_version(record.service)
        return dropped

    def _raise_version(self, service: ServiceName) -> None:
        self._versions[service] = self._versions.get(service, 0) + 1
        self.changes += 1


def find_shard(server_id: ServerId) -> int:
    """Return the shard whose watchers listen for this server."""
    return hash_key(f"s/{server_id}") % SHARDS
