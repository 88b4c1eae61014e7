"""Servers that are passed by for some seconds after a failure, whoever saw it."""

from collections import deque
from collections.abc import Collection
from math import ceil
from typing import Final

from persimmonusher_decisions.notices import Notice, NoticeKind
from persimmonusher_decisions.track import ServerTrack
from persimmonusher_decisions.work import Dispatch, Outcome, OutcomeKind
from persimmonusher_model.identifiers import ServiceName
from persimmonusher_model.profile import Profile

SUSPICIOUS_KINDS: Final = frozenset(
    {OutcomeKind.FAILURE, OutcomeKind.TIMEOUT, OutcomeKind.BROKEN, OutcomeKind.UNREACHED}
)
SHORTEST_TIMEOUT_SECONDS: Final = 0.5
"""A timeout of an attempt that had less time says nothing of its server: usual work takes some
tenths of a second."""
MAX_NOTICES: Final = 256
"""Notices that wait to be told; more are dropped, as thousands of failures say no more."""


class Suspicion:
    """Passes a server by after a single failure, within a floor.

    The load it is for: servers that fail most of their work for a few seconds, one after the other,
    while dozens of instances see a handful of answers of each in that time. The harm: an instance
    that waits for its own proof adds a failure of its own before it stops; together they fail
    dozens of requests in each episode, and those that aren't idempotent can't be sent again. A
    server that is well fails about one request in a hundred, so that after a failure it is far
    likelier to be ill; passing by one that is well costs its share of a few seconds, which the
    others have room for. Where they haven't, because too many are suspected at once, the floor
    brings back those whose failure is the longest ago: then the fault is rather in the work, or in
    an overload, than in the servers.
    """

    def __init__(self, service: ServiceName) -> None:
        self._service = service
        self._notices: deque[Notice] = deque(maxlen=MAX_NOTICES)

    def take_notices(self) -> tuple[Notice, ...]:
        """Return the failures seen here that other instances are to be told of at once."""
        if not self._notices:
            return ()
        notices = tuple(self._notices)
        self._notices.clear()
        return notices

    def record(
        self,
        dispatch: Dispatch,
        track: ServerTrack,
        outcome: Outcome,
        tracks: Collection[ServerTrack],
        profile: Profile,
        now: float,
    ) -> None:
        """Take the end of an attempt here: a failure is acted on, and told."""
        kind = outcome.kind
        hasty = kind is OutcomeKind.TIMEOUT and outcome.latency < SHORTEST_TIMEOUT_SECONDS
        if kind not in SUSPICIOUS_KINDS or hasty:
            return
        self.suspect(track, tracks, profile, now)
        crashed = kind is OutcomeKind.BROKEN
        self._notices.append(
            Notice(
                NoticeKind.CRASHED if crashed else NoticeKind.FAILED,
                self._service,
                track.server_id,
                track.server.boot_id,
                dispatch.request.fingerprint if crashed else "",
            )
        )

    def suspect(
        self, track: ServerTrack, tracks: Collection[ServerTrack], profile: Profile, now: float
    ) -> bool:
        """Pass a server by from now on, for the profile's time; tell whether that is news."""
        if not profile.suspect_ms:
            return False
        is_news = track.suspect_until <= now
        track.suspect_until = now + profile.suspect_ms / 1000.0
        suspected = [item for item in tracks if item.suspect_until > now]
        allowed = len(tracks) - ceil(len(tracks) * profile.health_floor_percent / 100)
        if len(suspected) > allowed:
            suspected.sort(key=lambda item: item.suspect_until)
            for item in suspected[: len(suspected) - allowed]:
                item.suspect_until = now
        return is_news
