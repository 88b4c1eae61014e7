"""Times and sizes of membership and the directory of servers."""

import math
from dataclasses import dataclass


@dataclass(frozen=True)
class MembershipLimits:
    """All durations in seconds, all sizes in bytes."""

    gossip_interval: float = 0.1
    """With a fan-out of 3, seven hops reach 2,500 instances: 0.7 s."""
    gossip_fanout: int = 3
    probe_interval: float = 1.0
    """One ping and one answer a second: about 0.3 KB/s with headers, whatever the fleet's size."""
    direct_timeout_seconds: float = 0.3
    """A hundred times the round trip within a region."""
    probe_helpers: int = 3
    unanswered_seconds: float = 4.0
    """An instance without an answer to any probe for four intervals considers itself cut off; by
    mere loss, at 20% and with helpers, that happens once in a million."""
    suspicion_seconds: float = 3.0
    """Multiplied by log10 of the fleet's size, at least by 1: time for a refutation to arrive."""
    cut_rounds: int = 3
    """Rounds answered only through helpers before a path is reported as cut; one may be loss."""
    dead_retention_seconds: float = 12 * 3600.0
    """For this time a dead instance is probed now and then, and counts as part of the fleet, so
    that the smaller side of a cut knows that it is the smaller side."""
    minority_retention_seconds: float = 7 * 86400.0
    """The same on the smaller side, which must not forget the larger one while it is cut off."""
    stopped_retention_seconds: float = 24 * 3600.0
    """For tombstones of servers. An instance that is cut off or paused for a third of it no longer
    sends on the server records that it holds: `Directory.mark_all_unconfirmed`."""
    confirm_seconds: float = 10.0
    """For unconfirmed servers to be confirmed once a majority is seen again: ten announcements."""
    drop_after_pause_seconds: float = 1.0
    """Time after a pause of a third of `stopped_retention_seconds` in which received datagrams are
    dropped, since those that waited in the sockets are as old as the pause."""
    lost_listing_seconds: float = 3600.0
    """For this time, lost servers count as a sign of a common cause: `Directory.list_servers`."""
    reconnect_interval: float = 2.0
    seed_interval: float = 10.0
    sync_interval: float = 0.25
    """Between exchanges while all records fit one summary (at most 4 KB/s), or while a larger store
    has not changed for `settle_seconds`."""
    unsettled_sync_interval: float = 5.0
    """Between exchanges of larger stores, 2.5 KB each, while they change: 0.5 KB/s."""
    settle_seconds: float = 1.0
    """The time in which a rumour reaches all instances. A difference that lasts longer is one that
    rumours missed, and a store that hasn't changed meanwhile lacks the record or is the only one
    that has it."""
    summary_bytes: int = 1000
    """Keeps a summary with its header under the 1,400 bytes of one datagram."""
    catch_up_interval: float = 0.05
    """Between exchanges while the last one brought records that we lacked."""
    budget_rate: float = 6000.0
    """Bytes a second of the 8 KB/s for all control; 2 KB/s remain for configuration and
    evidence."""
    budget_burst: float = 4_000_000.0
    """The budget of eleven minutes, for the start of a fleet, a healed cut, or an instance that
    fetches the directory. Meanwhile the rate is bounded by 30 rumours of 1.3 KB and 20 exchanges of
    18 KB a second."""
    watchers: int = 3
    heartbeat_timeout_seconds: float = 5.0
    silence_check_seconds: float = 0.5
    """Between checks which watched servers are silent."""
    heartbeat_rate: float = 2000.0
    """Bytes a second that one instance may spend on forwarding heartbeats."""

    def suspicion_timeout_seconds(self, fleet_size: int) -> float:
        """Return how long a suspected instance has to refute: 5 s at 48, 10 s at 2,500."""
        return self.suspicion_seconds * max(1.0, math.log10(max(1, fleet_size)))
