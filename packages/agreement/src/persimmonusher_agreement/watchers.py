"""Which instances watch a backend server: chosen by rendezvous hashing, without messages."""

from collections.abc import Mapping
from typing import Final

from persimmonusher_agreement.directory import SHARD_COUNT, find_shard
from persimmonusher_agreement.member_record import MemberRecord
from persimmonusher_model.identifiers import InstanceId, ServerId
from persimmonusher_model.rendezvous import choose_spread, weigh

MAX_HASHES_PER_STEP: Final = 20_000
"""Hashes in one step to choose watchers again, so that a step doesn't delay datagrams in a large
fleet."""
MIN_SHARDS_PER_STEP: Final = 8
MAX_ADDED_COMPARED: Final = 16
"""With more new instances, comparing each one with each shard costs more than choosing again."""


class WatcherChoice:
    """Keeps the watchers of each shard up to date while instances join and leave.

    Load: at 2,500 instances one joins or leaves every 3 s, and choosing for one shard takes 2,500
    hashes. So watchers are chosen again only for shards that lost a watcher, or for which a new
    instance may outrank one.
    """

    def __init__(self, own: InstanceId, count: int) -> None:
        self._own = own
        self._count = count
        self._domains: dict[str, str] = {}
        self._chosen: dict[int, tuple[InstanceId, ...]] = {}
        self._stale: set[int] = set(range(SHARD_COUNT))
        self._own_shards: dict[int, None] = {}
        self._changes = -1

    def update(self, live: Mapping[InstanceId, MemberRecord], changes: int) -> None:
        """Set the live instances; an equal `changes` means that they are the same as before."""
        if changes == self._changes:
            return
        self._changes = changes
        domains: dict[str, str] = {name: member.failure_domain for name, member in live.items()}
        added = [name for name in domains if domains[name] != self._domains.get(name)]
        gone = {name for name in self._domains if domains.get(name) != self._domains[name]}
        self._domains = domains
        if len(added) > MAX_ADDED_COMPARED:
            self._stale = set(range(SHARD_COUNT))
            return
        for shard, chosen in self._chosen.items():
            if gone.intersection(chosen) or self._is_outranked(shard, chosen, added):
                self._stale.add(shard)

    def list_watchers(self, server_id: ServerId) -> tuple[InstanceId, ...]:
        """List the watchers of a server, in rank order."""
        return self.list_shard_watchers(find_shard(server_id))

    def list_own_shards(self) -> list[int]:
        """List the shards that this instance watches; choose again for some stale shards first."""
        step = max(MIN_SHARDS_PER_STEP, MAX_HASHES_PER_STEP // max(1, len(self._domains)))
        for shard in sorted(self._stale)[:step]:
            self.list_shard_watchers(shard)
        return list(self._own_shards)

    def list_shard_watchers(self, shard: int) -> tuple[InstanceId, ...]:
        """List the watchers of a shard in rank order, chosen again if the shard is stale."""
        if shard in self._stale:
            names = choose_spread(self._domains, _make_key(shard), self._count)
            self._chosen[shard] = tuple(InstanceId(name) for name in names)
            self._stale.discard(shard)
            self._own_shards.pop(shard, None)
            if self._own in names:
                self._own_shards[shard] = None
        return self._chosen[shard]

    def _is_outranked(self, shard: int, chosen: tuple[InstanceId, ...], added: list[str]) -> bool:
        if not added or len(chosen) < self._count:
            return bool(added)
        key = _make_key(shard)
        lowest = min(weigh(name, key) for name in chosen)
        domains = {self._domains.get(name) for name in chosen}
        shares_domain = len(domains) < len(chosen)
        return any(
            weigh(name, key) > lowest or (shares_domain and self._domains[name] not in domains)
            for name in added
        )


def _make_key(shard: int) -> str:
    return f"watch/{shard}"
