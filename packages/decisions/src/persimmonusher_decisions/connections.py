"""Each instance's part of the connections that a server accepts."""

from collections.abc import Collection
from typing import Final

from persimmonusher_decisions.server import BackendServer
from persimmonusher_decisions.track import ServerTrack
from persimmonusher_model.identifiers import InstanceId
from persimmonusher_model.rendezvous import weigh

HEADROOM: Final = 0.9
"""Part of a server's limit that is used: for as long as membership spreads, instances count
different numbers of live ones."""
LARGEST_WEIGHT: Final = 2**64


class ConnectionBudget:
    """Shares out a server's connections among the live entry instances.

    The load it is for: hundreds of entry instances before servers that accept some hundred
    connections. The harm: the server refuses connections, also those of work it has slots for.
    While each instance gets at least one connection, all get equal parts. With more instances
    than connections, rendezvous hashing picks the instances that may connect to a server, so each
    works with a steady subset of the servers and sees enough of their answers to judge them.
    """

    def __init__(self, instance_id: InstanceId) -> None:
        self._instance_id = instance_id
        self._live = 1

    def replace_entry_count(self, live: int) -> None:
        """Take the number of live entry instances, this one included."""
        self._live = max(1, live)

    def find_limit(self, server: BackendServer, profile_limit: int) -> int:
        """Return the connections to a server that this instance may hold, 0 for none."""
        limit = (server.connection_limit or profile_limit) * HEADROOM
        share = limit / self._live
        if share >= 1.0:
            return int(share)
        return int(self.rank(server) < share)

    def share(self, tracks: Collection[ServerTrack], profile_limit: int) -> None:
        """Give each server's track its limit; at least one server may always be connected to."""
        for track in tracks:
            track.connection_limit = self.find_limit(track.server, profile_limit)
        if tracks and not any(track.connection_limit for track in tracks):
            nearest = min(tracks, key=lambda track: self.rank(track.server))
            nearest.connection_limit = 1

    def rank(self, server: BackendServer) -> float:
        """Return this instance's place for a server, from 0 (first) to 1."""
        return weigh(self._instance_id, server.server_id) / LARGEST_WEIGHT
