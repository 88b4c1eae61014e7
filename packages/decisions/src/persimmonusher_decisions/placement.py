"""Where one request goes: the least loaded server, as far as this instance can know."""

from collections.abc import Iterable, Sequence
from itertools import chain, islice
from math import exp, inf
from random import Random
from typing import Final

from persimmonusher_decisions.evidence_messages import EjectionState
from persimmonusher_decisions.ramp import find_share
from persimmonusher_decisions.rate_limits import RateLimits
from persimmonusher_decisions.track import ServerTrack
from persimmonusher_model.identifiers import FailureDomain, ServerId

REFRESH_SECONDS: Final = 0.1
"""Reports and penalties fade in steps of this length, so that the hot path only adds."""
REPORT_MEMORY_SECONDS: Final = 1.0
"""After this a report counts for little, and the service's mean stands in for it."""
PENALTY_MEMORY_SECONDS: Final = 3.0
LARGEST_PENALTY_SLOTS: Final = 2.0
"""A server is taken for at most this many times its slots busier than it is, so that it still
gets work when all others are that loaded: the share falls, capacity isn't removed."""
LEAST_PENALTY_SLOTS: Final = 1 / 32
"""Part of a server's slots below which its penalty ends. It only fades, and between idle servers
any rest of it would decide for good."""
LEAST_DIFFERENCE: Final = 0.001
"""Requests by which a report that fades differs from the mean at least; below, the mean counts."""
REPORT_REACH: Final = 2.0
"""A report counts at most this many times the mean of all servers' reports, and at least the
mean divided by it."""
CROWDED: Final = 2.0
"""Load for each slot of the least loaded trusted server from which on suspected ones are used: a
request would wait for about one answer. Earlier more of them meet an ill one, later more are
refused in bursts."""
BUSY: Final = 1.0
"""Load for each slot of the least loaded trusted server from which on a request would have to wait:
then lookups, which can be sent again, try suspected servers, and all requests the spared ones."""
LOOKUP_SECONDS: Final = 4.0
"""Time since the last lookup for which other requests leave it to lookups to try suspected servers.
A service without lookups has no other way."""
SPARED_LOAD: Final = 0.5
"""Load for each slot by which a server that the floor spares must be less loaded than a trusted
one. It may well be ill, and one that fails at once looks idle."""
PROVING_SHARE: Final = 0.5
"""Part of the time for which a server is passed by, from its failure on, after which a lookup may
try it: before, most are still ill."""
SCAN_LIMIT: Final = 16
"""Servers looked at for one request at most. With more, a random run of this length is."""
COMPARED: Final = 2
"""Servers without suspicion compared for a first attempt, of the near ones and of the others each.
What is known of other instances' work is up to half a second old: told of the same idle server, all
of them send there until they are told again."""


class Placement:
    """Chooses among the servers that take work.

    The load it is for: 36 to 48 instances, or 2,500, that place on the same servers with no hop
    in between. The harm: an instance that sees its own requests only piles work on a server that
    others have filled. So the score adds what the server said of its load on its last answer.
    A report may lag or mislead, so it is one input, fades to the mean within a second, and is
    kept within REPORT_REACH of the mean: a server that always reports 0 gets work as if it had
    half the mean load, and what this instance has outstanding there counts in full.

    A server that fails at once looks idle and would attract all work. So each failure adds a
    penalty as if the server's slots were filled for some seconds. It acts on the next request and
    fades by itself: the instance's own evidence lowers a share at once, only the assessor ejects.
    """

    def __init__(self, failure_domain: FailureDomain, random: Random, limits: RateLimits) -> None:
        self._failure_domain = failure_domain
        self._random = random
        self._limits = limits
        self._tracks: list[ServerTrack] = []
        self._open: list[ServerTrack] = []
        self._near: list[ServerTrack] = []
        self._far: list[ServerTrack] = []
        self._probed: list[ServerTrack] = []
        self._limited: list[ServerTrack] = []
        self._refresh_at = -inf
        self._lookup_at = -inf
        self._mean_others = 0.0
        self.ramp_seconds = 0.0
        self.proving_seconds = 0.0
        """Time after a failure before which no lookup tries the server."""
        self.far_load = 0.0
        """Load for each slot that a server in another failure domain is taken to carry."""
        self.probe_seconds = 1.0
        """Seconds between probes of one server by this instance."""

    @property
    def open_slots(self) -> int:
        """Return the slots of all servers that take work."""
        return sum(track.slots for track in self._open)

    def has_room(self, now: float) -> bool:
        """Tell whether a server that takes work may take a request of this instance."""
        self._skip_turns(now)
        return any(track.may_take(now) for track in self._open)

    def find_seconds_closed(self, now: float) -> float:
        """Return the time until the first server takes requests of this instance again.

        0 where one does now, or where none takes work at all.
        """
        self._skip_turns(now)
        first = inf
        for track in self._open:
            if track.closed_until <= now:
                return 0.0
            first = min(first, track.closed_until)
        return first - now if self._open else 0.0

    def replace(self, tracks: Iterable[ServerTrack], now: float) -> None:
        """Take the servers that are known, after any change of them or of who is out."""
        self._tracks = list(tracks)
        ready = [track for track in self._tracks if track.is_ready and track.connection_limit]
        self._open = [track for track in ready if track.out is None]
        self._near = [track for track in self._open if self._is_near(track)]
        self._far = [track for track in self._open if not self._is_near(track)]
        self._probed = [track for track in ready if track.out is EjectionState.PROBATION]
        self._refresh(now, 0.0)

    def choose(self, idempotent: bool, tried: ServerId | None, now: float) -> ServerTrack | None:
        """Return the server for a request, not the one it was tried on unless it is the last.

        A further attempt passes by all that are suspected, also those that the floor spares: there
        are few such attempts, and a second failure is the caller's.
        """
        if now >= self._refresh_at:
            self._refresh(now, REFRESH_SECONDS)
        self._skip_turns(now)
        if self._probed and idempotent and tried is None:
            probe = self._choose_probe(now)
            if probe is not None:
                return probe
        if tried is None:
            best = self._choose_first(idempotent, now)
            return best or self._find_least(self._open, None, now)
        candidates = self._pick_candidates()
        trusted = [track for track in candidates if not track.is_suspected(now)]
        best = self._choose_among(trusted, candidates, tried, now)
        return best or self._find_least(self._open, None, now)

    def _choose_first(self, idempotent: bool, now: float) -> ServerTrack | None:
        if idempotent:
            self._lookup_at = now
        best = self._find_least(self._sample(now), None, now)
        if best is not None and best.load <= BUSY:
            return best
        if idempotent and best is not None:
            proved = self._find_to_prove(now)
            if proved is not None:
                return proved
        candidates = self._pick_candidates()
        if best is not None and (best.load <= CROWDED or self._has_lookups(now)):
            spared = [track for track in candidates if track.spared and track.is_suspected(now)]
            other = self._find_least(spared, None, now)
            return other if other is not None and other.load < best.load - SPARED_LOAD else best
        trusted = [track for track in candidates if not track.is_passed_by(now)]
        return self._choose_among(trusted, candidates, None, now)

    def _find_to_prove(self, now: float) -> ServerTrack | None:
        """Return the suspected server that a lookup may try, a near one where there is one.

        What one lookup shows is told to all, and each failure domain has servers to try of its own.
        """
        near = self._find_longest_suspected(self._near, None, now, self.proving_seconds)
        return near or self._find_longest_suspected(self._far, None, now, self.proving_seconds)

    def _has_lookups(self, now: float) -> bool:
        """Tell whether lookups go to this service, which try suspected servers at a lower price."""
        return now - self._lookup_at < LOOKUP_SECONDS

    def _choose_among(
        self,
        trusted: Sequence[ServerTrack],
        candidates: Sequence[ServerTrack],
        tried: ServerId | None,
        now: float,
    ) -> ServerTrack | None:
        """Return the least loaded trusted server, or another one where those are crowded."""
        best = self._find_least(trusted, tried, now)
        if len(trusted) == len(candidates):
            return best
        if best is None or best.load > CROWDED:
            best = self._find_longest_suspected(candidates, tried, now) or best
        return best or self._find_least(candidates, tried, now)

    def learn_load(self, track: ServerTrack, reported_load: int) -> None:
        """Take the load that a server reported on an answer, all callers together."""
        others = max(0.0, float(reported_load - track.outstanding))
        mean = self._mean_others
        highest = max(REPORT_REACH * mean, mean + track.slots)
        track.others = min(highest, max(mean / REPORT_REACH, others))
        track.base = track.others + track.penalty

    def penalize(self, track: ServerTrack, share: float) -> None:
        """Lower a server's share for some seconds, by this share of its slots."""
        largest = LARGEST_PENALTY_SLOTS * track.slots
        track.penalty = min(largest, track.penalty + share * track.slots)
        track.base = (self._mean_others if track.others is None else track.others) + track.penalty

    def _sample(self, now: float) -> list[ServerTrack]:
        """Return a few open servers without suspicion, of this domain and of the others.

        Those with a limit are among them, and go first among equals, as they are open to this
        instance for a turn only.
        """
        return [
            *(track for track in self._limited if self._may_compare(track, now)),
            *self._take_unsuspected(self._near, now),
            *self._take_unsuspected(self._far, now),
        ]

    def _take_unsuspected(
        self, servers: Sequence[ServerTrack], now: float
    ) -> Iterable[ServerTrack]:
        start = int(self._random.random() * len(servers))
        run = islice(chain(servers[start:], servers[:start]), SCAN_LIMIT)
        return islice((track for track in run if self._may_compare(track, now)), COMPARED)

    @staticmethod
    def _may_compare(track: ServerTrack, now: float) -> bool:
        return track.closed_until <= now and not track.is_suspected(now)

    def _pick_candidates(self) -> Sequence[ServerTrack]:
        servers = self._open
        count = len(servers)
        if count < 2:
            return servers
        start = int(self._random.random() * count)
        if count <= SCAN_LIMIT:
            return servers[start:] + servers[:start]
        end = start + SCAN_LIMIT
        return servers[start:end] if end <= count else servers[start:] + servers[: end - count]

    @staticmethod
    def _find_least(
        servers: Sequence[ServerTrack], tried: ServerId | None, now: float
    ) -> ServerTrack | None:
        best = None
        best_score = inf
        for track in servers:
            outstanding = track.outstanding
            score = (outstanding + 1 + track.base) * track.inverse + track.bias
            if (
                score < best_score
                and outstanding < track.connection_limit
                and track.closed_until <= now
                and track.server_id != tried
            ):
                best = track
                best_score = score
        return best

    @staticmethod
    def _find_longest_suspected(
        servers: Sequence[ServerTrack],
        tried: ServerId | None,
        now: float,
        least_seconds: float = 0.0,
    ) -> ServerTrack | None:
        """Return the suspected server with a free slot whose failure is the longest ago.

        The load it is for: a burst while many servers are passed by. The harm: the others' queues
        grow until requests are refused, while servers that were ill for a moment, seconds ago,
        stand idle.
        """
        best = None
        for track in servers:
            if (
                track.is_suspected(now)
                and track.suspected_at <= now - least_seconds
                and track.load <= 1.0
                and track.may_take(now)
                and track.server_id != tried
                and (best is None or track.suspected_at < best.suspected_at)
            ):
                best = track
        return best

    def _choose_probe(self, now: float) -> ServerTrack | None:
        """Return a server on probation whose next probe is due.

        The load it is for: readmission. The harm: a server that is still ill, given a full share
        again, spoils a full share of requests. One request at a time from each instance, at
        intervals, and only idempotent ones, which can be retried elsewhere when the probe fails.
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
        self._refresh_at = now + REFRESH_SECONDS
        known = [track.others for track in self._open if track.others is not None]
        mean = sum(known) / len(known) if known else 0.0
        self._mean_others = mean
        report_keep = exp(-elapsed / REPORT_MEMORY_SECONDS)
        penalty_keep = exp(-elapsed / PENALTY_MEMORY_SECONDS)
        self._limited = [track for track in self._open if track.rate_limit is not None]
        for track in self._tracks:
            track.bias = 0.0 if self._is_near(track) else self.far_load
            if track.others is not None:
                difference = (track.others - mean) * report_keep
                track.others = mean if abs(difference) < LEAST_DIFFERENCE else mean + difference
            track.penalty *= penalty_keep
            if track.penalty < LEAST_PENALTY_SLOTS * track.slots:
                track.penalty = 0.0
            share = self._ramp(track, now)
            track.base = (mean * share if track.others is None else track.others) + track.penalty
        if elapsed:
            for servers in (self._open, self._near, self._far):
                self._random.shuffle(servers)

    def _is_near(self, track: ServerTrack) -> bool:
        return track.server.failure_domain == self._failure_domain

    def _ramp(self, track: ServerTrack, now: float) -> float:
        share = 1.0
        if track.ramp_from is not None:
            share = find_share(now - track.ramp_from, self.ramp_seconds)
            if share >= 1.0:
                track.ramp_from = None
        track.inverse = 1.0 / (track.slots * share)
        return share
