"""Which servers an instance can reach over a connection that is already open."""

from collections.abc import Iterable, Iterator
from typing import Final

from persimmonusher_decisions.track import ServerTrack

IDLE_SECONDS: Final = 4.0
"""Longest idle time of a connection that is used again: servers keep idle ones for 5 s or more."""
NON_IDEMPOTENT_IDLE_SECONDS: Final = 1.0
"""The same for a non-idempotent request: if the server closes the connection at that moment, the
request's outcome is unknown and it can't be sent again."""
MAX_IDLE_PER_SERVER: Final = 8
"""Idle connections to one server that are remembered."""


class ConnectionReuse:
    """Estimates the idle connections of an instance from the ends of its attempts.

    With more servers than requests in a second, an instance that chooses servers at random opens a
    connection for nearly each request. That costs a server's slot for a moment, the caller a round
    trip, and both sides processor time. Placement therefore compares the servers with an idle
    connection too, and counts `Placement.opening_load` for the others.
    """

    def __init__(self) -> None:
        self._tracks: dict[ServerTrack, None] = {}
        """Servers with idle connections, the one used last at the end."""
        self._open: frozenset[ServerTrack] = frozenset()

    def record_kept(self, track: ServerTrack, now: float) -> None:
        """Record that an attempt has ended and its connection can be used again.

        An answer may come in after its server has said that it leaves.
        """
        if track not in self._open:
            return
        track.idle_since.append(now)
        del track.idle_since[:-MAX_IDLE_PER_SERVER]
        self._tracks.pop(track, None)
        self._tracks[track] = None

    def take(self, track: ServerTrack) -> None:
        """Record that an attempt begins, which uses the connection that was idle for least time."""
        if track.idle_since:
            track.idle_since.pop()
        if not track.idle_since:
            self._tracks.pop(track, None)

    def list_newest(self, oldest: float) -> Iterator[ServerTrack]:
        """Yield the servers with a connection that is idle since `oldest` or later."""
        for track in reversed(self._tracks):
            if track.idle_since[-1] < oldest:
                return
            yield track

    def replace_open(self, tracks: Iterable[ServerTrack]) -> None:
        """Set the servers that may be chosen; connections to others don't count."""
        self._open = frozenset(tracks)
        self._tracks = {track: None for track in self._tracks if track in self._open}

    def expire(self, now: float) -> None:
        """Forget the connections that have been idle for too long."""
        while self._tracks:
            track = next(iter(self._tracks))
            if track.idle_since[-1] >= now - IDLE_SECONDS:
                return
            track.idle_since.clear()
            del self._tracks[track]


def find_oldest_usable(idempotent: bool, now: float) -> float:
    """Return the earliest `idle_since` of a connection that a request may use."""
    return now - (IDLE_SECONDS if idempotent else NON_IDEMPOTENT_IDLE_SECONDS)
