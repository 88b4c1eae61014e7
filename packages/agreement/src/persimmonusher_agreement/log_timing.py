"""Timeouts and intervals of the keepers' elections and heartbeats."""

from dataclasses import dataclass


@dataclass(frozen=True)
class LogTiming:
    """Timing of the replicated log, in seconds.

    The election timeout is five heartbeats, so that a lost message or a pause of the event loop
    starts no election. Each wait is drawn between one and two timeouts, so that candidates rarely
    stand at the same time.
    """

    heartbeat_seconds: float = 0.2
    election_timeout_seconds: float = 1.0
    snapshot_retry_seconds: float = 5.0
    first_election_seconds: float | None = None
    """The shortest first wait after a start; None means the election timeout. After all keepers
    were killed at once there is no leader, and entries that were killed with them have no
    configuration until one is elected. A single keeper that starts disturbs no leader: keepers that
    hear one refuse it their pre-votes."""
    split_vote_wait_seconds: float = 0.2
    """The shortest wait of a candidate after a split vote: far above the time in which votes are
    requested and granted, and far below the election timeout, whose length is needed only to
    distinguish a lost leader from a late one."""
