"""The times by which keepers hold elections and send heartbeats."""

from dataclasses import dataclass


@dataclass(frozen=True)
class LogTiming:
    """Times of the log in seconds.

    The election timeout is five heartbeats, so that a lost message or a pause of the loop starts
    no election; each wait is drawn between one and two timeouts, so that candidates part.
    """

    heartbeat: float = 0.2
    election_timeout: float = 1.0
    snapshot_retry: float = 5.0
    first_election: float | None = None
    """The shortest first wait after a start, where it is to be another than the election timeout.
    After all keepers were killed at once nobody leads, and each second until somebody does is a
    second without configuration for entries that were killed with them. A keeper that starts
    alone disturbs nobody: those that hear a leader refuse it their pre-votes."""
    split_vote: float = 0.2
    """The shortest wait of a candidate whose term's votes went to another one too: far above the
    time in which votes are asked for and given, and far below the election timeout, which is for
    telling a lost leader from a late one."""
