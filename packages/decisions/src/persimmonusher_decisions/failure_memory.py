"""Failure memory: which servers fail again and again, for requests that can't be repeated."""

from collections.abc import Sequence
from math import exp
from statistics import median
from typing import Final

from persimmonusher_decisions.track import ServerTrack

EPISODE_GAP_SECONDS: Final = 1.0
"""Failures of a server closer together than this count as one episode: they have one cause."""
MAX_EPISODES: Final = 3.0
"""Largest weight of a server's episodes. With it a server that has stopped failing is unmarked
after 1.1 times the memory, however long it had failed."""
SPARED_EPISODES: Final = 1.0
"""Weight above the median of the service's servers up to which a server isn't marked: one request
in a hundred fails without a fault of its server."""


class FailureMemory:
    """Marks the servers that had several failure episodes lately, as seen by this instance.

    Some servers fail most of their work for seconds, recover, and fail again. The first requests of
    each episode and the trials after it are lost if they can't be repeated, and suspicion begins
    anew each time. So placement prefers unmarked servers for such requests.

    An episode is a failure, here or at another instance, that counts against the server alone. Its
    weight decays with the memory as time constant. The sum is compared with the median of the
    service's servers: when most fail, by the work or by an overload, none is marked.
    """

    def __init__(self) -> None:
        self._seconds = 0.0
        self.marked_count = 0
        """Open servers that are marked; 0 while the memory is off."""

    def replace_seconds(self, seconds: float) -> None:
        """Set the time constant of the memory; 0 turns it off."""
        self._seconds = seconds

    def record(self, track: ServerTrack, now: float) -> None:
        """Record a failure that counts against the server."""
        if self._seconds and now - track.failed_at >= EPISODE_GAP_SECONDS:
            track.episodes = min(MAX_EPISODES, self._find_weight(track, now) + 1.0)
            track.failed_at = now

    def mark(self, tracks: Sequence[ServerTrack], now: float) -> None:
        """Mark those of the service's open servers that fail more often than the others."""
        weights = [self._find_weight(track, now) for track in tracks]
        self.marked_count = 0
        spared = SPARED_EPISODES
        if max(weights, default=0.0) > spared:
            spared += median(weights)
        for track, weight in zip(tracks, weights, strict=True):
            track.fails_often = weight > spared
            self.marked_count += track.fails_often

    def _find_weight(self, track: ServerTrack, now: float) -> float:
        if not track.episodes or not self._seconds:
            return 0.0
        return track.episodes * exp((track.failed_at - now) / self._seconds)
