"""The messages that a keeper builds once and sends to all its followers."""

from collections.abc import Iterable, Sequence
from math import ceil
from typing import Final

from persimmonusher_model.clock import Clock
from persimmonusher_model.identifiers import Revision
from persimmonusher_node.ages import bound_age
from persimmonusher_node.configuration_client import ConfigurationClient
from persimmonusher_node.keeper import KeeperRole
from persimmonusher_node.keeper_wire import encode_parts
from persimmonusher_node.tiers.fleet_work import FleetWork
from persimmonusher_node.tiers.load_book import LoadBook
from persimmonusher_node.tiers.packed_parts import pack_part
from persimmonusher_protocol import control_pb2

STATUS_MAX_AGE_SECONDS: Final = 0.1
"""Age up to which a status is sent to further followers: far below the time after which a follower
considers a keeper stale."""
MAX_CACHED_REVISIONS: Final = 64
"""Starting revisions whose updates are cached: nearly all followers hold the last revision or
none."""


class FollowFeed:
    """Builds each message once for all followers that receive the same content."""

    def __init__(
        self,
        failure_domain: str,
        role: KeeperRole,
        view: ConfigurationClient,
        loads: LoadBook,
        fleet: FleetWork,
        clock: Clock,
    ) -> None:
        self._failure_domain = failure_domain
        self._role = role
        self._view = view
        self._loads = loads
        self._fleet = fleet
        self._clock = clock
        self.places_version = 0
        """Rises whenever the keepers or the peers change."""
        self._places: tuple[tuple[str, str], ...] = ()
        self._peers: tuple[str, ...] = ()
        self._statuses: dict[str, control_pb2.FollowUpdate] = {}
        """The latest status for each failure domain; the empty name stands for all servers."""
        self._fleet_bytes: dict[str, int] = {}
        """Bytes of the fleet's loads in each of them."""
        self._costs: dict[int, tuple[control_pb2.FollowUpdate | None, int]] = {}
        """The costs after a version, and the version up to which they go."""
        self._statuses_at = float("-inf")
        self._parts: dict[Revision, tuple[control_pb2.FollowUpdate, ...]] = {}
        """Updates that lead to `_parts_revision`, by the revision that they begin at."""
        self._parts_revision = Revision(0)

    def replace_peers(self, addresses: Iterable[str]) -> None:
        """Set the followers' addresses, and include the keepers that joined or left since."""
        peers, places = tuple(sorted(addresses)), self._list_places()
        if (peers, places) != (self._peers, self._places):
            self._peers, self._places = peers, places
            self.places_version += 1

    def make_places(self) -> control_pb2.FollowUpdate:
        """Return the keepers, and the peers of the followers."""
        return control_pb2.FollowUpdate(keepers=self.list_keepers(), peers=self._peers)

    def list_keepers(self) -> list[control_pb2.KeeperPlace]:
        """Return the keepers that the log names at present."""
        return [
            control_pb2.KeeperPlace(address=address, failure_domain=domain)
            for address, domain in self._list_places()
        ]

    def make_status(self, failure_domain: str = "") -> control_pb2.FollowUpdate:
        """Return this keeper's freshness, the number of entries, and the requests in progress.

        A follower in another failure domain gets the loads of the servers there only: it sends them
        most of its requests, and traffic between domains is expensive.
        """
        now = self._clock.monotonic()
        if now - self._statuses_at > STATUS_MAX_AGE_SECONDS:
            self._statuses, self._costs, self._statuses_at = {}, {}, now
        domain = self._find_scope(failure_domain)
        if domain not in self._statuses:
            self._statuses[domain] = self._describe(domain, now)
        return self._statuses[domain]

    def find_fleet_bytes(self, failure_domain: str) -> int:
        """Return the bytes of the fleet's loads in the status for a failure domain."""
        return self._fleet_bytes.get(self._find_scope(failure_domain), 0)

    def make_costs(self, since: int) -> tuple[control_pb2.FollowUpdate | None, int]:
        """Return the costs after a version, if any, and the version up to which they go."""
        if since not in self._costs:
            self._costs[since] = self._fleet.make_costs(since)
        return self._costs[since]

    def _find_scope(self, failure_domain: str) -> str:
        return "" if failure_domain == self._failure_domain else failure_domain

    def make_parts(self, since: Revision) -> Sequence[control_pb2.FollowUpdate]:
        """Return the updates from a follower's revision to this keeper's.

        All entries may restart at once, each without any configuration. If the keeper encoded
        thousands of servers for each follower in turn, the last one would get them seconds after
        the first. So the updates are cached until the next change; only the last one is copied for
        each call, as it also carries this keeper's freshness.
        """
        revision = self._view.revision()
        if revision != self._parts_revision or len(self._parts) > MAX_CACHED_REVISIONS:
            self._parts, self._parts_revision = {}, revision
        if since not in self._parts:
            batch = self._view.collect_since(since)
            self._parts[since] = tuple(map(pack_part, encode_parts(batch)))
        *first, last = self._parts[since]
        fresh_last = control_pb2.FollowUpdate()
        fresh_last.CopyFrom(last)
        self._add_freshness(fresh_last, self._clock.monotonic())
        return (*first, fresh_last)

    def _describe(self, domain: str, now: float) -> control_pb2.FollowUpdate:
        sums = self._loads.find_sums(now)
        servers = self._view.servers
        loads = (
            control_pb2.Load(server=server, in_progress=count)
            for server, count in (sums or {}).items()
            if not domain or servers.is_in_domain(server, domain)
        )
        update = control_pb2.FollowUpdate(loads=loads, has_loads=sums is not None)
        bytes_before = update.ByteSize()
        self._fleet.add_loads(
            update, lambda server: not domain or servers.is_in_domain(server, domain), now
        )
        self._fleet_bytes[domain] = update.ByteSize() - bytes_before
        self._add_freshness(update, now)
        return update

    def make_standing(self) -> control_pb2.Standing:
        """Return this keeper's freshness and revision."""
        age_ms = self._find_age_ms(self._clock.monotonic())
        return control_pb2.Standing(majority_age_ms=age_ms, revision=self._view.revision())

    def _find_age_ms(self, now: float) -> int:
        age = self._role.keeper.replica.find_majority_age(now)
        return ceil(bound_age(age) * 1000.0)

    def _add_freshness(self, update: control_pb2.FollowUpdate, now: float) -> None:
        replica = self._role.keeper.replica
        update.majority_age_ms = self._find_age_ms(now)
        update.entries = self._role.followers.find_total(replica.is_leader, now)

    def _list_places(self) -> tuple[tuple[str, str], ...]:
        members = self._role.keeper.replica.log.members.members
        return tuple((member.address, member.failure_domain) for member in members)
