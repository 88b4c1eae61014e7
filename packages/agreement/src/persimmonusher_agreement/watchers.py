"""Which instances watch a backend server: agreed by rendezvous hashing, without messages."""

from collections.abc import Mapping
from typing import Final

from persimmonusher_agreement.directory import SHARDS, find_shard
from persimmonusher_agreement.member_record import MemberRecord
from persimmonusher_model.identifiers import InstanceId, ServerId
from persimmonusher_model.rendezvous import choose_spread, weigh

HASHES_PER_STEP: Final = 20_000
"""Hashes for choosing anew in one step, so that a step of a large fleet holds up no datagram."""
MIN_SHARDS_PER_STEP: Final = 8
MANY_ADDED: Final = 16
"""Above this, comparing each new instance with each shard costs more than choosing anew."""


class WatcherChoice:
    """Keeps the watchers of each shard up to date while instances come and go.

    Load: at 2,500 instances one comes or goes every 3 s, and choosing for one shard takes 2,500
    hashes. Only shards are chosen anew that lost a watcher, or that a new instance outranks.
    """

    def __init__(self, own: InstanceId, count: int) -> None:
        self._own = own
        self._count = count
        self._domains: dict[str, str] = {}
        self._chosen: dict[int, tuple[InstanceId, ...]] = {}
        self._stale: set[int] = set(range(SHARDS))
        self._own_shards: dict[int, None] = {}
        self._changes = -1

    def update(self, live: Mapping[InstanceId, MemberRecord], changes: int) -> None:
        """Take the live instances; `changes` tells cheaply whether they are the same."""
        if changes == self._changes:
            return
        self._changes = changes
        domains: dict[str, str] = {name: member.failure_domain for name, member in live.items()}
        added = [name for name in domains if domains[name] != self._domains.get(name)]
        gone = {name for name in self._domains if domains.get(name) != self._domains[name]}
        self._domains = domains
        if len(added) > MANY_ADDED:
            self._stale = set(range(SHARDS))
            return
        for shard, chosen in self._chosen.items():
            if gone.intersection(chosen) or self._is_outranked(shard, chosen, added):
                self._stale.add(shard)

    def list_watchers(self, server_id: ServerId) -> tuple[InstanceId, ...]:
        """List the watchers of a server, in rank order."""
        return self.list_shard_watchers(find_shard(server_id))

    def list_own_shards(self) -> list[int]:
        """List the shards that this instance watches, choosing some of the stale ones anew."""
        step = max(MIN_SHARDS_PER_STEP, HASHES_PER_STEP // max(1, len(self._domains)))
        for shard in sorted(self._stale)[:step]:
            self.list_shard_watchers(shard)
        return list(self._own_shards)

    def list_shard_watchers(self, shard: int) -> tuple[InstanceId, ...]:
        """List the watchers of a shard, chosen anew if it is stale."""
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
        crowded = len(domains) < len(chosen)
        return any(
            weigh(name, key) > lowest or (crowded and self._domains[name] not in domains)
            for name in added
        )


def _make_key(shard: int) -> str:
    return f"watch/{shard}"
