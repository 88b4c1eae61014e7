"""The messages that the followers of one keeper share."""

from collections.abc import Iterable, Sequence
from math import ceil
from typing import Final

from persimmonusher_model.clock import Clock
from persimmonusher_model.identifiers import Revision
from persimmonusher_node.ages import bound_age
from persimmonusher_node.configuration_client import ConfigurationClient
from persimmonusher_node.keeper import KeeperRole
from persimmonusher_node.keeper_wire import encode_parts
from persimmonusher_node.tiers.load_book import LoadBook
from persimmonusher_node.tiers.packed_parts import pack_part
from persimmonusher_protocol import control_pb2

SHARED_SECONDS: Final = 0.1
"""How old a status may be that is sent to a further follower: far below the time after which a
follower holds a keeper for stale."""
REVISIONS_KEPT: Final = 64
"""Revisions of followers for which what they lack is kept: nearly all hold the last one or none."""


class FollowFeed:
    """Makes each message once for all followers that are to hear the same."""

    def __init__(
        self,
        failure_domain: str,
        role: KeeperRole,
        view: ConfigurationClient,
        loads: LoadBook,
        clock: Clock,
    ) -> None:
        self._failure_domain = failure_domain
        self._role = role
        self._view = view
        self._loads = loads
        self._clock = clock
        self.places_version = 0
        """Rises when the keepers or the peers change."""
        self._places: tuple[tuple[str, str], ...] = ()
        self._peers: tuple[str, ...] = ()
        self._statuses: dict[str, control_pb2.FollowUpdate] = {}
        """The latest, by the failure domain that it is for."""
        self._statuses_at = float("-inf")
        self._parts: dict[Revision, tuple[control_pb2.FollowUpdate, ...]] = {}
        """Updates to the revision below, by the one that they begin at."""
        self._parts_revision = Revision(0)

    def replace_peers(self, addresses: Iterable[str]) -> None:
        """Take who follows; keepers that came or went since are told along with it."""
        peers, places = tuple(sorted(addresses)), self._list_places()
        if (peers, places) != (self._peers, self._places):
            self._peers, self._places = peers, places
            self.places_version += 1

    def make_places(self) -> control_pb2.FollowUpdate:
        """Return the keepers, and the peers of the followers."""
        return control_pb2.FollowUpdate(keepers=self.list_keepers(), peers=self._peers)

    def list_keepers(self) -> list[control_pb2.KeeperPlace]:
        """Return the keepers as they are now."""
        return [
            control_pb2.KeeperPlace(address=address, failure_domain=domain)
            for address, domain in self._list_places()
        ]

    def make_status(self, failure_domain: str = "") -> control_pb2.FollowUpdate:
        """Return how fresh this keeper is, the size of the fleet, and what is in progress.

        A follower of another failure domain is told of the servers there only. It sends most of its
        work to them, and bytes between domains are dear.
        """
        now = self._clock.monotonic()
        if now - self._statuses_at > SHARED_SECONDS:
            self._statuses, self._statuses_at = {}, now
        domain = "" if failure_domain == self._failure_domain else failure_domain
        if domain not in self._statuses:
            self._statuses[domain] = self._describe(domain, now)
        return self._statuses[domain]

    def make_parts(self, since: Revision) -> Sequence[control_pb2.FollowUpdate]:
        """Return what a follower lacks from a revision to this keeper's.

        The load it is for: all entries start again at once, and each lacks everything. The harm:
        encoding thousands of servers for one after the other, the keeper serves the last of them
        seconds after the first. So a batch is kept until the next change; only its last update is
        made anew, as it also tells how fresh this keeper is.
        """
        revision = self._view.revision()
        if revision != self._parts_revision or len(self._parts) > REVISIONS_KEPT:
            self._parts, self._parts_revision = {}, revision
        if since not in self._parts:
            batch = self._view.collect_since(since)
            self._parts[since] = tuple(map(pack_part, encode_parts(batch)))
        *first, last = self._parts[since]
        fresh = control_pb2.FollowUpdate()
        fresh.CopyFrom(last)
        self._add_freshness(fresh, self._clock.monotonic())
        return (*first, fresh)

    def _describe(self, domain: str, now: float) -> control_pb2.FollowUpdate:
        sums = self._loads.find_sums(now)
        servers = self._view.servers
        loads = (
            control_pb2.Load(server=server, in_progress=count)
            for server, count in (sums or {}).items()
            if not domain or servers.is_in_domain(server, domain)
        )
        update = control_pb2.FollowUpdate(loads=loads, has_loads=sums is not None)
        self._add_freshness(update, now)
        return update

    def make_standing(self) -> control_pb2.Standing:
        """Return how fresh this keeper is, and what it holds."""
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
