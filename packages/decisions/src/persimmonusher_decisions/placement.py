"""Placement: chooses the least loaded server for a request, as far as this instance can know."""

from collections.abc import Iterable, Sequence
from itertools import chain, islice
from math import exp, inf
from random import Random
from typing import Final

from persimmonusher_decisions.connection_reuse import ConnectionReuse, find_oldest_usable
from persimmonusher_decisions.evidence_messages import EjectionState
from persimmonusher_decisions.failure_memory import FailureMemory
from persimmonusher_decisions.ramp import find_ramp_share
from persimmonusher_decisions.rate_limits import RateLimits
from persimmonusher_decisions.server_work import ServerWork
from persimmonusher_decisions.track import ServerTrack
from persimmonusher_decisions.trials import TrialSchedule
from persimmonusher_model.identifiers import FailureDomain, ServerId

REFRESH_INTERVAL_SECONDS: Final = 0.1
"""Reports and penalties decay in steps of this length, so that the hot path only adds."""
REPORT_MEMORY_SECONDS: Final = 1.0
"""Time constant with which a server's load report decays to the mean of all servers."""
PENALTY_MEMORY_SECONDS: Final = 3.0
MAX_PENALTY_PER_SLOT: Final = 2.0
"""Largest penalty, in multiples of a server's slots. A penalized server still gets work once all
others are that loaded: its share falls, but its capacity stays available."""
MIN_PENALTY_PER_SLOT: Final = 1 / 32
"""Part of a server's slots below which its penalty is set to 0. Decay alone never reaches 0, and
between idle servers any remainder would always decide."""
MIN_DIFFERENCE_REQUESTS: Final = 0.001
"""Difference in requests below which a decayed report is replaced by the mean."""
MAX_REPORT_FACTOR: Final = 2.0
"""A report is clamped to between the mean of all servers' reports divided by this and this many
times the mean, or the mean plus the server's slots where that is more."""
CROWDED_LOAD_PER_SLOT: Final = 2.0
"""Load per slot of the least loaded trusted server above which suspected servers are used, by
further attempts and in services without lookups: a request would wait for about one answer. With a
lower value more requests reach a failing server, with a higher one more are refused in bursts.
Above it no hedged copies are sent either."""
BUSY_LOAD_PER_SLOT: Final = 1.0
"""Load per slot of the least loaded trusted server above which a request would have to wait. Then
lookups, which can be retried, try suspected servers, and all requests may use the suspected servers
that the floor keeps in use."""
LOOKUP_MEMORY_SECONDS: Final = 4.0
"""While the last lookup is more recent than this, first attempts of other requests leave it to
lookups to try suspected servers. In a service without lookups they have to try them themselves."""
DETOUR_LOAD_PER_SLOT: Final = 0.75
"""Load per slot of the servers that seldom fail above which lookups leave them to requests that
can't be repeated. These prefer them up to BUSY_LOAD_PER_SLOT."""
MAX_DETOUR_LOAD_PER_SLOT: Final = 0.5
"""Load per slot by which the server that a lookup then gets may be above them: half an answer's
time at most."""
SPARED_LOAD_MARGIN_PER_SLOT: Final = 0.5
"""Load per slot by which a suspected server that the floor keeps in use must be below a trusted
one to be chosen. It is likely to be failing, and a server that fails fast looks idle."""
MAX_SCANNED_SERVERS: Final = 16
"""Largest number of servers examined for one request. Of a longer list, a run of this length from
a random start is examined."""
COMPARED_SERVERS: Final = 2
"""Unsuspected servers compared for a first attempt, from the near ones and from the far ones each.
Load data on other instances' requests is up to half a second old: with more servers compared, all
instances would choose the same idle server until the next update."""


class Placement:
    """Chooses among the open servers: those that are ready, connectable and not ejected.

    36 to 48 instances, or 2,500, place requests on the same servers with no hop in between. An
    instance that counted only its own requests would overload a server that others have filled.
    So the score adds the load that the server reported with its last answer. A report may be
    stale or wrong, so it is only one input, decays to the mean within about a second, and is
    clamped around the mean by MAX_REPORT_FACTOR: a server that always reports 0 gets work as if it
    had half the mean load, and this instance's own outstanding requests there count in full.

    A server that fails fast looks idle and would attract all work. So each failure adds a penalty
    as if the server's slots were filled for some seconds. It affects the next request and decays
    by itself: an instance's own evidence lowers a server's share at once, but only the assessor
    ejects a server.
    """

    def __init__(
        self,
        failure_domain: FailureDomain,
        random: Random,
        limits: RateLimits,
        trials: TrialSchedule,
        memory: FailureMemory | None = None,
        work: ServerWork | None = None,
    ) -> None:
        self._failure_domain = failure_domain
        self._random = random
        self._limits = limits
        self._trials = trials
        self._memory = memory or FailureMemory()
        self._work = work or ServerWork()
        self._tracks: list[ServerTrack] = []
        self._open: list[ServerTrack] = []
        self._near: list[ServerTrack] = []
        self._far: list[ServerTrack] = []
        self._probed: list[ServerTrack] = []
        self._limited: list[ServerTrack] = []
        self._suspected: list[ServerTrack] = []
        self._refresh_at = -inf
        self._lookup_at = -inf
        self._mean_other_load = 0.0
        self.ramp_seconds = 0.0
        self.reuse = ConnectionReuse()
        self.opening_load = 0.0
        """Load per slot added to the score of a server without an idle connection; 0 for none."""
        self._oldest_usable = -inf
        self.far_load = 0.0
        """Load per slot added to the score of a server in another failure domain."""
        self.probe_seconds = 1.0
        """Mean interval between this instance's probes of one server."""

    @property
    def open_slots(self) -> int:
        """Return the total slots of all open servers."""
        return sum(track.slots for track in self._open)

    def has_room(self, now: float) -> bool:
        """Return whether an open server may take a request from this instance now."""
        self._skip_turns(now)
        return any(track.may_take(now) for track in self._open)

    def find_seconds_until_open(self, now: float) -> float:
        """Return the seconds until the first open server accepts requests of this instance again.

        0 if one does now, or if there is no open server. Servers are closed to an instance by a
        rate limit or by a rest that they asked for.
        """
        self._skip_turns(now)
        first = inf
        for track in self._open:
            if track.closed_until <= now:
                return 0.0
            first = min(first, track.closed_until)
        return first - now if self._open else 0.0

    def replace(self, tracks: Iterable[ServerTrack], now: float) -> None:
        """Replace the known servers; called after any change of them or of their ejections."""
        self._tracks = list(tracks)
        ready = [track for track in self._tracks if track.is_ready and track.connection_limit]
        self._open = [track for track in ready if track.ejection_state is None]
        self.reuse.replace_open(self._open)
        self._near = [track for track in self._open if self._is_near(track)]
        self._far = [track for track in self._open if not self._is_near(track)]
        self._probed = [track for track in ready if track.ejection_state is EjectionState.PROBATION]
        self._refresh(now, 0.0)

    def refresh(self, now: float) -> None:
        """Let reports and penalties decay, if it is due; `choose` does so itself."""
        if now >= self._refresh_at:
            self._refresh(now, REFRESH_INTERVAL_SECONDS)

    def choose(self, idempotent: bool, tried: ServerId | None, now: float) -> ServerTrack | None:
        """Return the server for a request; `tried` is used again only if there is no other.

        A further attempt (with `tried` given) avoids all suspected servers, also those that the
        floor keeps in use: such attempts are few, and a second failure reaches the caller.
        """
        self.refresh(now)
        self._skip_turns(now)
        self._oldest_usable = find_oldest_usable(idempotent, now)
        if self._probed and idempotent and tried is None:
            probe = self._choose_probe(now)
            if probe is not None:
                return probe
        if tried is None:
            best = self._choose_first(idempotent, now)
            return best or self._find_least_loaded(self._open, None, now)
        candidates = self._pick_candidates()
        trusted = [track for track in candidates if not track.is_suspected(now)]
        best = self._choose_among(trusted, candidates, tried, now)
        return best or self._find_least_loaded(self._open, None, now)

    def _choose_first(self, idempotent: bool, now: float) -> ServerTrack | None:
        if idempotent:
            self._lookup_at = now
        suspect = self._choose_trial(idempotent, now)
        if suspect is not None:
            return suspect
        preferred = self._choose_by_memory(idempotent, now) if self._memory.marked_count else None
        if preferred is not None:
            return preferred
        best = self._find_least_loaded(self._sample_unsuspected(now), None, now)
        if best is not None and best.load <= BUSY_LOAD_PER_SLOT:
            return best
        if idempotent and best is not None:
            suspect = self._find_suspect_to_try(now)
            if suspect is not None:
                return suspect
        candidates = self._pick_candidates()
        if best is not None and (
            best.load <= CROWDED_LOAD_PER_SLOT or self._has_recent_lookup(now)
        ):
            kept = [
                track for track in candidates if track.kept_by_floor and track.is_suspected(now)
            ]
            other = self._find_least_loaded(kept, None, now)
            return (
                other
                if other is not None and other.load < best.load - SPARED_LOAD_MARGIN_PER_SLOT
                else best
            )
        trusted = [track for track in candidates if not track.is_avoided(now)]
        return self._choose_among(trusted, candidates, None, now)

    def _choose_by_memory(self, idempotent: bool, now: float) -> ServerTrack | None:
        """Return the preferred server while some of the servers fail often, or None for any.

        Requests that can't be repeated prefer servers that seldom fail while these have free
        slots. As these fill up, lookups leave them to such requests, and find out meanwhile which
        of the others are failing. In a service with servers in other failure domains only this
        domain's part of a load is known, and such detours would overload servers.
        """
        seldom = self._find_least_loaded(self._sample_unsuspected(now, False), None, now)
        if seldom is None:
            return None
        load = seldom.load + seldom.far_load
        if not idempotent:
            return seldom if load <= BUSY_LOAD_PER_SLOT else None
        if self._far or load <= DETOUR_LOAD_PER_SLOT:
            return None
        often = self._find_least_loaded(self._sample_unsuspected(now, True), None, now)
        if often is None or often.load + often.far_load > load + MAX_DETOUR_LOAD_PER_SLOT:
            return None
        return often

    def _choose_trial(self, idempotent: bool, now: float) -> ServerTrack | None:
        """Return a suspected server whose trial is due, if this request may be the one.

        In a service with lookups, only lookups are.
        """
        self._trials.earn()
        if idempotent or not self._has_recent_lookup(now):
            return self._trials.choose(self._suspected, now)
        return None

    def _find_suspect_to_try(self, now: float) -> ServerTrack | None:
        """Return the suspected server that a lookup may try, preferably a near one.

        The result of a lookup is shared with all instances, and each failure domain has suspected
        servers of its own to try.
        """
        for servers in (self._near, self._far):
            due = [track for track in servers if track.trials_from <= now]
            suspect = self._find_longest_suspected(due, None, now)
            if suspect is not None:
                return suspect
        return None

    def _has_recent_lookup(self, now: float) -> bool:
        """Return whether this service has had a lookup lately.

        Lookups try suspected servers at a lower cost, since they can be retried.
        """
        return now - self._lookup_at < LOOKUP_MEMORY_SECONDS

    def _choose_among(
        self,
        trusted: Sequence[ServerTrack],
        candidates: Sequence[ServerTrack],
        tried: ServerId | None,
        now: float,
    ) -> ServerTrack | None:
        """Return the least loaded trusted server, or a suspected one if those are crowded."""
        best = self._find_least_loaded(trusted, tried, now)
        if len(trusted) == len(candidates):
            return best
        if best is None or best.load > CROWDED_LOAD_PER_SLOT:
            best = self._find_longest_suspected(candidates, tried, now) or best
        return best or self._find_least_loaded(candidates, tried, now)

    def record_load(self, track: ServerTrack, reported_load: int) -> None:
        """Record a server's requests in progress as reported, this instance's own included."""
        other_load = max(0.0, float(reported_load - track.outstanding))
        mean = self._mean_other_load
        highest = max(MAX_REPORT_FACTOR * mean, mean + track.slots)
        track.other_load = min(highest, max(mean / MAX_REPORT_FACTOR, other_load))
        track.base_load = track.other_load + track.penalty

    def penalize(self, track: ServerTrack, share: float) -> None:
        """Lower a server's share of work for some seconds, as if `share` of its slots were busy."""
        largest = MAX_PENALTY_PER_SLOT * track.slots
        track.penalty = min(largest, track.penalty + share * track.slots)
        track.base_load = (
            self._mean_other_load if track.other_load is None else track.other_load
        ) + track.penalty

    def _sample_unsuspected(self, now: float, fails_often: bool | None = None) -> list[ServerTrack]:
        """Return a few unsuspected open servers, from this failure domain and from the others.

        Servers with a rate limit come first and so win ties, as they are open to this instance
        only during its turn. With `fails_often` given, only servers that do or don't are returned.
        """
        return [
            *(track for track in self._limited if self._may_compare(track, now, fails_often)),
            *self._pick_connected(now, fails_often),
            *self._pick_unsuspected(self._near, now, fails_often),
            *self._pick_unsuspected(self._far, now, fails_often),
        ]

    def _pick_unsuspected(
        self, servers: Sequence[ServerTrack], now: float, fails_often: bool | None
    ) -> Iterable[ServerTrack]:
        start = int(self._random.random() * len(servers))
        run = islice(chain(servers[start:], servers[:start]), MAX_SCANNED_SERVERS)
        usable = (track for track in run if self._may_compare(track, now, fails_often))
        return islice(usable, COMPARED_SERVERS)

    def _pick_connected(self, now: float, fails_often: bool | None) -> Iterable[ServerTrack]:
        """Return a few unsuspected servers with an idle connection, if `opening_load` is used."""
        if not self.opening_load:
            return ()
        connected = self.reuse.list_newest(self._oldest_usable)
        usable = (track for track in connected if self._may_compare(track, now, fails_often))
        return islice(usable, COMPARED_SERVERS)

    @staticmethod
    def _may_compare(track: ServerTrack, now: float, fails_often: bool | None) -> bool:
        if track.closed_until > now or track.is_suspected(now):
            return False
        return fails_often is None or track.fails_often is fails_often

    def _pick_candidates(self) -> Sequence[ServerTrack]:
        servers = self._open
        count = len(servers)
        if count < 2:
            return servers
        start = int(self._random.random() * count)
        if count <= MAX_SCANNED_SERVERS:
            return servers[start:] + servers[:start]
        end = start + MAX_SCANNED_SERVERS
        return servers[start:end] if end <= count else servers[start:] + servers[: end - count]

    def _find_least_loaded(
        self, servers: Sequence[ServerTrack], tried: ServerId | None, now: float
    ) -> ServerTrack | None:
        is_work_known = self._work.is_known(now)
        best = None
        best_score = inf
        for track in servers:
            outstanding = track.outstanding
            score = (outstanding + 1 + track.base_load) * track.inverse_slots + track.far_load
            if is_work_known:
                score = self._work.score(track, score)
            if self.opening_load and not self._has_idle_connection(track):
                score += self.opening_load
            if (
                score < best_score
                and outstanding < track.connection_limit
                and track.closed_until <= now
                and track.server_id != tried
            ):
                best = track
                best_score = score
        return best

    def _has_idle_connection(self, track: ServerTrack) -> bool:
        return bool(track.idle_since) and track.idle_since[-1] >= self._oldest_usable

    @staticmethod
    def _find_longest_suspected(
        servers: Sequence[ServerTrack], tried: ServerId | None, now: float
    ) -> ServerTrack | None:
        """Return the suspected server with a free slot whose failure is the longest ago.

        In a burst while many servers are avoided, the queues of the others would grow until
        requests are refused, while servers that failed only briefly, seconds ago, stay idle.
        """
        best = None
        for track in servers:
            if (
                track.is_suspected(now)
                and track.load <= 1.0
                and track.may_take(now)
                and track.server_id != tried
                and (best is None or track.suspected_at < best.suspected_at)
            ):
                best = track
        return best

    def _choose_probe(self, now: float) -> ServerTrack | None:
        """Return a server on probation whose next probe is due.

        A server that is readmitted with a full share while it still fails would fail a full share
        of requests. So each instance sends it one request at a time, at intervals, and only
        idempotent ones, which can be retried elsewhere when the probe fails.
        """
        for track in self._probed:
            if now >= track.probe_at and not track.outstanding and track.closed_until <= now:
                track.probe_at = now + self.probe_seconds * (0.5 + self._random.random())
                return track
        return None

    def _skip_turns(self, now: float) -> None:
        for track in self._limited:
            self._limits.skip_turns(track, now)

    def _refresh(self, now: float, elapsed: float) -> None:
        self._refresh_at = now + REFRESH_INTERVAL_SECONDS
        self.reuse.expire(now)
        known = [track.other_load for track in self._open if track.other_load is not None]
        mean = sum(known) / len(known) if known else 0.0
        self._mean_other_load = mean
        self._work.advance(self._tracks, now)
        report_keep = exp(-elapsed / REPORT_MEMORY_SECONDS)
        penalty_keep = exp(-elapsed / PENALTY_MEMORY_SECONDS)
        self._limited = [track for track in self._open if track.rate_limit is not None]
        self._suspected = [track for track in self._open if track.is_suspected(now)]
        self._memory.mark(self._open, now)
        for track in self._tracks:
            track.far_load = 0.0 if self._is_near(track) else self.far_load
            if track.other_load is not None:
                difference = (track.other_load - mean) * report_keep
                track.other_load = (
                    mean if abs(difference) < MIN_DIFFERENCE_REQUESTS else mean + difference
                )
            track.penalty *= penalty_keep
            if track.penalty < MIN_PENALTY_PER_SLOT * track.slots:
                track.penalty = 0.0
            share = self._update_ramp(track, now)
            track.base_load = (
                mean * share if track.other_load is None else track.other_load
            ) + track.penalty
        if elapsed:
            for servers in (self._open, self._near, self._far):
                self._random.shuffle(servers)

    def _is_near(self, track: ServerTrack) -> bool:
        return track.server.failure_domain == self._failure_domain

    def _update_ramp(self, track: ServerTrack, now: float) -> float:
        share = 1.0
        if track.ramp_from is not None:
            share = find_ramp_share(now - track.ramp_from, self.ramp_seconds)
            if share >= 1.0:
                track.ramp_from = None
        track.inverse_slots = 1.0 / (track.slots * share)
        return share
