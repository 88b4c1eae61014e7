"""Trials: single requests that find out whether a suspected server has recovered."""

from collections.abc import Iterable
from random import Random
from typing import Final

from persimmonusher_decisions.track import ServerTrack

TRIALS_PER_SECOND: Final = 1.0
"""Trials per second of one suspected server, from all instances together. Two successful ones prove
it healthy."""
BACKUP_DELAY_SECONDS: Final = 0.5
"""Time after which other instances begin to try a server than the one whose request failed."""
FAR_DELAY_SECONDS: Final = 1.5
"""Additional delay of instances in other failure domains than the server's, to which answers cost
more; a domain may have no instance of its own."""
CONFIRMATIONS_PER_SECOND: Final = 4.0
"""Trials per second of a server after a first successful one, from all instances together."""
TRIAL_SHARE: Final = 0.1
"""Largest part of an instance's first attempts that are trials: a trial is likely to fail."""
MAX_CREDIT: Final = 3.0
"""Trials that may follow each other at once after a time with fewer of them."""


class TrialSchedule:
    """Decides when this instance may send a suspected server a single request.

    How long a fault lasts isn't known. If servers returned with their full share once a suspicion
    ends, each return of one that is still failing would cost several requests, and so suspicions
    would have to outlast most faults, with recovered servers idle. So a server returns when single
    requests have succeeded there, spread over the instances, whose outcome all of them hear of.
    """

    def __init__(self, random: Random) -> None:
        self._random = random
        self._credit = MAX_CREDIT
        self._live = 1

    def replace_entry_count(self, live: int) -> None:
        """Set the number of live entry instances, which share the trials of each server."""
        self._live = live

    def schedule(self, track: ServerTrack, is_own: bool) -> None:
        """Set this instance's first trial of a server that has just been suspected.

        The instance whose request failed is the first to try the server again, so that trials
        follow each other at even intervals. The others follow later in case it has no request to
        try it with.
        """
        track.trial_at = track.trials_from
        if not is_own:
            spread = self._live / TRIALS_PER_SECOND
            track.trial_at += BACKUP_DELAY_SECONDS + spread * self._random.random()
        if track.far_load:
            track.trial_at += FAR_DELAY_SECONDS

    def schedule_confirmation(self, track: ServerTrack, now: float) -> None:
        """Bring a trial forward after another one has succeeded."""
        trial_at = now + self._live / CONFIRMATIONS_PER_SECOND * self._random.random()
        if track.far_load:
            trial_at += FAR_DELAY_SECONDS
        track.trial_at = min(track.trial_at, trial_at)

    def earn(self) -> None:
        """Count a first attempt."""
        self._credit = min(MAX_CREDIT, self._credit + TRIAL_SHARE)

    def choose(self, suspected: Iterable[ServerTrack], now: float) -> ServerTrack | None:
        """Return a suspected server whose trial is due, and charge it; None if there is none."""
        if self._credit < 1.0:
            return None
        due = [track for track in suspected if self._is_due(track, now)]
        if not due:
            return None
        track = min(due, key=lambda track: track.trial_at)
        self._credit -= 1.0
        interval = self._live / TRIALS_PER_SECOND
        track.trial_at = now + interval * (0.5 + self._random.random())
        return track

    @staticmethod
    def _is_due(track: ServerTrack, now: float) -> bool:
        """Return whether a trial is due at a server; at most one request is in progress there."""
        is_in_time = track.trial_at <= now < track.suspect_until
        return is_in_time and not track.outstanding and track.may_take(now)
