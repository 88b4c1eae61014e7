"""The times and sizes of membership and the directory, each with its reason."""

import math
from dataclasses import dataclass


@dataclass(frozen=True)
class MembershipLimits:
    """All durations in seconds, all sizes in bytes."""

    gossip_interval: float = 0.1
    """Seven hops reach 2,500 instances with a fan-out of 3: 0.7 s."""
    gossip_fanout: int = 3
    probe_interval: float = 1.0
    """One ping and one answer a second: about 0.3 KB/s with headers, whatever the fleet's size."""
    direct_timeout: float = 0.3
    """A hundred times the round trip within a region."""
    probe_helpers: int = 3
    unheard_seconds: float = 4.0
    """Without an answer to any probe for four intervals, an instance takes itself for cut off; at
    20% loss with helpers that happens once in a million."""
    suspicion_seconds: float = 3.0
    """Times log10 of the fleet's size, at least once: time for a refutation to travel."""
    cut_rounds: int = 3
    """Rounds answered only through others before a path is shown as cut; one is mere loss."""
    dead_retention: float = 12 * 3600.0
    """A dead instance is probed now and then for so long, and counted in the fleet's size, so
    that the smaller side of a cut knows that it is the smaller side."""
    minority_retention: float = 7 * 86400.0
    """The same on the smaller side, which must not forget the larger one while cut off."""
    stopped_retention: float = 24 * 3600.0
    """Tombstones of servers. An instance that is cut off or paused for a third of it no longer
    passes on what it knows of servers: `Directory.doubt_all`."""
    confirm_seconds: float = 10.0
    """For doubted servers to be confirmed once a majority is seen again: ten announcements."""
    deaf_seconds: float = 1.0
    """After a pause of a third of it, what waits in the sockets is as old; it is dropped."""
    lost_listing: float = 3600.0
    """Lost servers count for so long as a sign of a common cause: `Directory.list_servers`."""
    reconnect_interval: float = 2.0
    seed_interval: float = 10.0
    sync_interval: float = 0.25
    """Between exchanges while all records fit one summary (at most 4 KB/s), and of larger stores
    that have been the same for `settle_seconds`."""
    unsettled_sync_interval: float = 5.0
    """Between exchanges of larger stores, 2.5 KB each, while changes come in: 0.5 KB/s."""
    settle_seconds: float = 1.0
    """What a rumour takes to reach all; a difference that outlives it is one that rumours missed,
    and a store that hasn't changed meanwhile lacks it or is alone with it."""
    summary_bytes: int = 1000
    """Keeps a summary with its header under the 1,400 bytes of one datagram."""
    catch_up_interval: float = 0.05
    """Between exchanges while the last one brought records that we lacked."""
    budget_rate: float = 6000.0
    """Of the 8 KB/s for all control, a node leaves 2 KB/s to configuration and evidence."""
    budget_burst: float = 4_000_000.0
    """Eleven minutes' worth, for the start of a fleet, a healed cut, or an instance that pulls the
    directory. What bounds the rate meanwhile: 30 rumours of 1.3 KB and 20 exchanges of 18 KB a
    second."""
    watchers: int = 3
    heartbeat_timeout: float = 5.0
    silence_interval: float = 0.5
    """Between looks at which watched servers are silent."""
    heartbeat_rate: float = 2000.0
    """Bytes a second that one instance may spend on passing heartbeats on."""

    def suspicion_timeout(self, fleet_size: int) -> float:
        """Return how long a suspected instance has to refute: 5 s at 48, 10 s at 2,500."""
        return self.suspicion_seconds * max(1.0, math.log10(max(1, fleet_size)))
