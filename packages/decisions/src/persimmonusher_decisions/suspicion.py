"""Servers that are passed by for some seconds after a failure, whoever saw it."""

from collections.abc import Collection
from math import ceil

from persimmonusher_decisions.track import ServerTrack
from persimmonusher_model.profile import Profile


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
