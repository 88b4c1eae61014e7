"""Suspicion: servers are avoided for some seconds after a failure that any instance saw."""

from collections import deque
from collections.abc import Collection
from math import ceil
from typing import Final

from persimmonusher_decisions.doubts import NEEDED_REQUESTS
from persimmonusher_decisions.failure_memory import FailureMemory
from persimmonusher_decisions.notices import Notice, NoticeKind
from persimmonusher_decisions.track import ServerTrack
from persimmonusher_decisions.trials import TrialSchedule
from persimmonusher_decisions.work import Dispatch, Outcome, OutcomeKind
from persimmonusher_model.identifiers import RequestId, ServiceName
from persimmonusher_model.profile import Profile

SUSPICIOUS_KINDS: Final = frozenset(
    {OutcomeKind.FAILURE, OutcomeKind.TIMEOUT, OutcomeKind.BROKEN, OutcomeKind.UNREACHED}
)
MIN_TIMEOUT_SECONDS: Final = 0.5
"""A timeout after less time than this doesn't count against the server: usual work takes some
tenths of a second."""
EARLY_LATENCY_SHARE: Final = 0.25
"""A failure within this part of the usual latency counts as early, before the work was done. One in
25 requests is that fast by itself where latency spreads by a factor of two about its median."""
MIN_ANSWERS: Final = 3
"""Answers needed to know the usual latency; before that every failure counts as early."""
NEWEST_LATENCY_WEIGHT: Final = 0.1
"""Weight of the newest answer in the usual latency: about ten answers make it up."""
TRIAL_PHASE_FACTOR: Final = 3.0
"""Longest time in which a server gets trial requests only, in multiples of `suspect_ms`. After it,
the server gets its full share again: there were too few requests to try it with."""
QUICK_TRIALS: Final = 4
"""Failed trials in a row after which each further one doubles the time without requests. Most
faults have ended by then, and a server that still fails is likely to go on failing."""
MAX_WAIT_FACTOR: Final = 4.0
"""Longest time without requests, in multiples of `suspect_ms`."""
SMALL_SERVICE_SUSPECT_SHARE: Final = 0.56
"""Part of its servers up to which a small service may avoid `fewest_suspects` servers, whatever the
floor."""
MAX_NOTICES: Final = 256
"""Notices waiting to be sent; older ones are dropped, as thousands of failures add no
information."""


def find_max_suspects(servers: int, profile: Profile) -> int:
    """Return how many of a service's servers may be avoided at the same time.

    The more servers a service has, the closer the share of failing ones stays to its mean. Of a
    hundred servers, half never fail at the same time by chance, and avoiding that many would leave
    healthy ones idle. Of nine servers, five sometimes do, and a floor chosen for a hundred would
    send work to two of them.
    """
    allowed = servers - ceil(servers * profile.health_floor_percent / 100)
    largest = int(servers * SMALL_SERVICE_SUSPECT_SHARE)
    return max(allowed, min(profile.fewest_suspects, largest))


class Suspicion:
    """Avoids a server for first attempts after a single failure, within a floor.

    Servers may fail most of their work for a few seconds, one after the other, while dozens of
    instances each see only a handful of a server's answers in that time. If each instance waited
    for evidence of its own, each would add a failed request: dozens in each episode, and those that
    aren't idempotent can't be retried. A healthy server fails about one request in a hundred, so
    after a failure the server is far more likely to be faulty. Avoiding a healthy one costs its
    share of work for a few seconds, for which the others have room. If they haven't, because too
    many are suspected at once, the floor keeps those in use whose failure is the longest ago: then
    the cause is more likely the work, or an overload, than the servers.

    A late failure, after a time in which the work may have been done, more likely belongs to the
    request: a faulty server mostly fails at once. Healthy servers show such failures too, in one of
    a hundred requests. If each counted, so many healthy servers would be avoided that the floor
    would keep faulty ones in use. So it takes two.

    A server that one instance can't reach may be reachable for all others. If each report counted
    when links fail and not servers, all servers would soon be avoided everywhere, and the floor
    would keep faulty ones in use. So the instance that can't reach a server avoids it at once, and
    the others only after several such reports.

    An overdue request makes the server suspected before it fails, but only at the instance that
    sent it: the network path between the two may drop packets, and further requests there would be
    lost as well before the first one times out. It isn't reported to others, since one request in
    forty is slow without a fault.

    A suspected server gets no first attempts for `suspect_ms`, and then single trial requests (see
    `TrialSchedule`). Two that succeed end the suspicion everywhere, one that fails begins it again.
    While the others are busy, lookups go to the servers whose failure is the longest ago, as a
    lookup can be retried when it fails.
    """

    def __init__(self, service: ServiceName, trials: TrialSchedule, memory: FailureMemory) -> None:
        self._service = service
        self._trials = trials
        self._memory = memory
        self._notices: deque[Notice] = deque(maxlen=MAX_NOTICES)
        self._usual_latency = 0.0
        self._answers = 0

    def pop_notices(self) -> tuple[Notice, ...]:
        """Return and clear the notices to be sent to other instances at once."""
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
        """Record the end of an attempt: a failure counts against its server and is reported."""
        kind = outcome.kind
        is_short_timeout = kind is OutcomeKind.TIMEOUT and outcome.latency < MIN_TIMEOUT_SECONDS
        if kind not in SUSPICIOUS_KINDS or is_short_timeout:
            return
        notice = Notice(
            self._classify(outcome),
            self._service,
            track.server_id,
            track.server.boot_id,
            dispatch.request.fingerprint if kind is OutcomeKind.BROKEN else "",
            dispatch.request.request_id,
            now - dispatch.started,
        )
        self._notices.append(notice)
        # An instance that can't reach a server avoids it, whether or not others can.
        if notice.kind is NoticeKind.UNREACHED:
            self.suspect(track, tracks, profile, dispatch.started, now)
        elif self._is_believed(notice, track, now):
            self._memory.record(track, now)
            self.suspect(track, tracks, profile, dispatch.started, now)

    def record_answer(self, dispatch: Dispatch, track: ServerTrack, now: float) -> None:
        """Record a successful answer: its latency, and that a suspected server may be healthy."""
        latency = now - dispatch.started
        if track.is_suspected(now) and track.suspected_at < dispatch.started:
            self._record_recovery(track, dispatch.request.request_id, now)
            self._notices.append(
                Notice(
                    NoticeKind.RECOVERED,
                    self._service,
                    track.server_id,
                    track.server.boot_id,
                    request_id=dispatch.request.request_id,
                    seconds=latency,
                )
            )
        self._answers += 1
        weight = max(NEWEST_LATENCY_WEIGHT, 1.0 / self._answers)
        self._usual_latency += weight * (latency - self._usual_latency)

    def apply_notice(
        self,
        notice: Notice,
        track: ServerTrack,
        tracks: Collection[ServerTrack],
        profile: Profile,
        now: float,
    ) -> bool:
        """Apply a notice of this or another instance; return whether the server's use changes."""
        if notice.kind is NoticeKind.RECOVERED:
            proves = track.is_suspected(now) and track.suspected_at < now - notice.seconds
            return proves and self._record_recovery(track, notice.request_id, now)
        if not self._is_believed(notice, track, now):
            return False
        self._memory.record(track, now)
        started = now - notice.seconds
        return self.suspect(track, tracks, profile, started, now, is_own=False)

    @staticmethod
    def _is_believed(notice: Notice, track: ServerTrack, now: float) -> bool:
        """Return whether a failure makes its server suspected, or needs others to confirm it."""
        needs_others = notice.kind in NEEDED_REQUESTS
        return not needs_others or track.doubts.add(notice.kind, notice.request_id, now)

    def suspect(
        self,
        track: ServerTrack,
        tracks: Collection[ServerTrack],
        profile: Profile,
        started: float,
        now: float,
        is_own: bool = True,
    ) -> bool:
        """Avoid a server from now on until trials succeed; return whether it was in use.

        `started` is when the request was sent that failed, and `is_own` whether this instance sent
        it. A profile with a `suspect_ms` of 0 turns suspicion off.
        """
        if not profile.suspect_ms:
            return False
        is_news = not track.is_avoided(now)
        seconds = profile.suspect_ms / 1000.0
        if not track.is_suspected(now):
            track.failed_trials = 0
        elif now >= track.trials_from:
            track.failed_trials += 1
        doublings = max(0, track.failed_trials - QUICK_TRIALS)
        wait = seconds * min(MAX_WAIT_FACTOR, 2.0**doublings)
        track.doubts.forget(NoticeKind.RECOVERED)
        track.suspected_at = now
        track.trials_from = max(now, started + wait)
        track.suspect_until = track.trials_from + TRIAL_PHASE_FACTOR * seconds
        self._trials.schedule(track, is_own)
        track.kept_by_floor = False
        suspected = [item for item in tracks if item.is_avoided(now)]
        allowed = find_max_suspects(len(tracks), profile)
        if len(suspected) > allowed:
            suspected.sort(key=lambda item: item.suspected_at)
            for item in suspected[: len(suspected) - allowed]:
                item.kept_by_floor = True
        return is_news

    def _record_recovery(self, track: ServerTrack, request_id: RequestId, now: float) -> bool:
        """Record a successful lookup; return whether it ends the suspicion of its server."""
        proved = track.doubts.add(NoticeKind.RECOVERED, request_id, now)
        if proved:
            track.suspect_until = now
        else:
            self._trials.schedule_confirmation(track, now)
        return proved

    def _classify(self, outcome: Outcome) -> NoticeKind:
        if outcome.kind is OutcomeKind.BROKEN:
            return NoticeKind.CRASHED
        if outcome.kind is OutcomeKind.UNREACHED:
            return NoticeKind.UNREACHED
        is_known = self._answers >= MIN_ANSWERS
        late = is_known and outcome.latency > EARLY_LATENCY_SHARE * self._usual_latency
        if outcome.kind is OutcomeKind.FAILURE and late:
            return NoticeKind.FAILED_LATE
        return NoticeKind.FAILED
