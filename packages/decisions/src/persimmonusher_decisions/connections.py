"""Each instance's share of the connections that a server accepts."""

from collections.abc import Collection
from typing import Final

from persimmonusher_decisions.server import BackendServer
from persimmonusher_decisions.track import ServerTrack
from persimmonusher_model.identifiers import InstanceId
from persimmonusher_model.rendezvous import WEIGHT_RANGE, weigh

USED_LIMIT_SHARE: Final = 0.9
"""Part of a server's connection limit that is shared out. While a membership change spreads,
instances disagree on the number of live instances."""


class ConnectionBudget:
    """Divides a server's connections among the live entry instances.

    With hundreds of entry instances in front of servers that accept a few hundred connections, a
    server would refuse connections even for work that it has slots for. If there is at least one
    connection for each instance, all get equal parts. With more instances than connections,
    rendezvous hashing picks the instances that may connect to a server, so that each works with a
    stable subset of the servers and sees enough of their answers to judge them.
    """

    def __init__(self, instance_id: InstanceId) -> None:
        self._instance_id = instance_id
        self._live = 1

    def replace_entry_count(self, live: int) -> None:
        """Set the number of live entry instances, this one included."""
        self._live = max(1, live)

    def find_limit(self, server: BackendServer, profile_limit: int) -> int:
        """Return how many connections to a server this instance may hold; may be 0."""
        limit = (server.connection_limit or profile_limit) * USED_LIMIT_SHARE
        share = limit / self._live
        if share >= 1.0:
            return int(share)
        return int(self.rank(server) < share)

    def share(self, tracks: Collection[ServerTrack], profile_limit: int) -> None:
        """Set each track's connection limit; at least one server always gets a connection."""
        for track in tracks:
            track.connection_limit = self.find_limit(track.server, profile_limit)
        if tracks and not any(track.connection_limit for track in tracks):
            best_ranked = min(tracks, key=lambda track: self.rank(track.server))
            best_ranked.connection_limit = 1

    def rank(self, server: BackendServer) -> float:
        """Return this instance's rendezvous rank for a server, from 0 (first) to 1."""
        return weigh(self._instance_id, server.server_id) / WEIGHT_RANGE
