"""Urgency: which new requests are refused first while a service has too little capacity."""

from collections import OrderedDict
from collections.abc import Iterable, Mapping
from math import exp, inf
from random import Random
from typing import Final

from persimmonusher_decisions.track import ServerTrack
from persimmonusher_decisions.work import Refusal, RefusalReason, Request
from persimmonusher_model.identifiers import CallerId, ServerId

TARGET_LOAD_PER_SLOT: Final = 1.25
"""Load per slot of the less loaded servers that the gate aims at while capacity is short. With
more, the most loaded servers refuse attempts; well below 1, slots would be idle."""
LEAST_LOADED_SHARE: Final = 0.4
"""Part of the servers, the least loaded ones, whose highest load is compared with the target."""
LOAD_GAIN: Final = 0.25
"""Change of the logarithm of the admitted share for each load per slot above the target."""
LASTING_GAIN_PER_SECOND: Final = 0.25
"""The same for each second that the load has been above it."""
LASTING_MEMORY_SECONDS: Final = 10.0
"""Memory of that sum. Without an end, the sums of the instances drift apart."""
FREE_LOAD_PER_SLOT: Final = 0.6
"""Load per slot below which so many slots are free that all requests are soon admitted again."""
RECOVERY_PER_SECOND: Final = 4.0
"""Growth of that logarithm while servers have free slots, per second."""
USUAL_SHARE_SECONDS: Final = 10.0
MAX_STEP_SECONDS: Final = 0.5
"""Longest time that one update counts for, after a pause without requests."""
MAX_SUMS_AGE_SECONDS: Final = 2.0
"""Age from which the sums are replaced by the loads that placement knows."""
MIN_LOG_SHARE: Final = -3.0
"""Logarithm of the smallest admitted share, one request in 20."""
SHED_LOAD_PER_SLOT: Final = 1.0
"""Load per slot that a service counts for the share of attempts that busy servers refuse."""
MAX_OWN_LOAD_PER_SLOT: Final = 0.5
"""Most that an instance's own refused attempts and queue add to the load: it sees few attempts."""
RATE_MEMORY_SECONDS: Final = 4.0
"""Memory of the request rates by kind: an instance sees 3 to 9 requests a second."""
USUAL_MEMORY_SECONDS: Final = 60.0
"""Memory of an organisation's usual number of requests."""
SURGE_FACTOR: Final = 2.0
SURGE_REQUESTS: Final = 2.0
"""An organisation surges while it sends more than this many requests in `RATE_MEMORY_SECONDS` plus
the factor times its usual number. Then all beyond the usual number are in surplus."""
SURGE_LEARNING_SHARE: Final = 0.5
"""Part of a surge's rate that is learned as usual at least. With it a new organisation, or one that
grows for good, is no surge after a minute or two; with less than a half it would stay one."""
LEARNING_SECONDS: Final = 10.0
"""Time after its first request in which an instance counts no request as surplus."""
MAX_ORGANISATIONS: Final = 512
SHORT_SHARE: Final = 0.9
"""Share from which nothing is refused: the servers' queues take up so small a difference."""
FAIR_SHARE: Final = 0.25
"""Smallest share of any kind that is owed to it, as a part of the most urgent one's."""
LEAST_SHARE: Final = 0.27
"""The share that the gate gives it: a little more, for what servers refuse and for moments with
less."""
MOMENTARY_LEAST_SHARE: Final = 0.15
"""The same for a moment in which the most urgent kind couldn't be admitted whole otherwise, since
one instance's estimate of the capacity varies."""
SURPLUS: Final = 1_000_000
"""Added to the priority of requests in surplus, so that they come after all others."""
FAILURE_MEMORY_SECONDS: Final = 2.0
LESS_URGENT_BUDGET_SHARE: Final = 0.5
"""Part of the retry budget that less urgent requests may use while more urgent ones fail."""
MAX_RETRY_AFTER_SECONDS: Final = 20.0


class RecentCount:
    """A number of requests that decays exponentially."""

    __slots__ = ("_at", "_count")

    def __init__(self) -> None:
        self._count = 0.0
        self._at = 0.0

    def add(self, now: float, memory: float, count: float = 1.0) -> None:
        """Count one request, or a part of it."""
        self._count = self.find(now, memory) + count
        self._at = now

    def find(self, now: float, memory: float) -> float:
        """Return the decayed number."""
        return self._count * exp((self._at - now) / memory) if self._count else 0.0


class Surges:
    """Tells which requests exceed their organisation's usual rate by far."""

    def __init__(self) -> None:
        self._counts: OrderedDict[CallerId, tuple[RecentCount, RecentCount]] = OrderedDict()
        self._first_at = inf

    def record(self, caller: CallerId, now: float) -> float:
        """Count a request; return the part of the organisation's requests that is in surplus."""
        self._first_at = min(self._first_at, now)
        recent, usual = self._counts.setdefault(caller, (RecentCount(), RecentCount()))
        self._counts.move_to_end(caller)
        if len(self._counts) > MAX_ORGANISATIONS:
            self._counts.popitem(last=False)
        seconds = min(USUAL_MEMORY_SECONDS, max(RATE_MEMORY_SECONDS, now - self._first_at))
        usually = usual.find(now, USUAL_MEMORY_SECONDS) * RATE_MEMORY_SECONDS / seconds
        recent.add(now, RATE_MEMORY_SECONDS)
        number = recent.find(now, RATE_MEMORY_SECONDS)
        is_surge = number > SURGE_REQUESTS + SURGE_FACTOR * usually
        is_learned = now - self._first_at >= LEARNING_SECONDS
        surplus = 1.0 - usually / number if is_surge and is_learned else 0.0
        weight = max(SURGE_LEARNING_SHARE, usually / number) if surplus else 1.0
        usual.add(now, USUAL_MEMORY_SECONDS, weight)
        return surplus


class Shortage:
    """The share of the requests that a service's capacity allows to admit, by the servers' load.

    All instances see the same loads, up to half a second late, and so admit about the same share.
    The share follows the load's distance from the target and its sum over time; what only this
    instance sees isn't summed.
    """

    def __init__(self) -> None:
        self._lasting = 0.0
        self._at = -inf
        self.share = 1.0
        self.usual_share = 1.0
        """Average of the share over USUAL_SHARE_SECONDS."""
        self._sums: Mapping[ServerId, int] = {}
        self._sums_at = -inf
        self._has_new_sums = False

    def replace_sums(self, sums: Mapping[ServerId, int]) -> None:
        """Replace the requests in progress by server, as summed over several instances."""
        self._sums = dict(sums)
        self._has_new_sums = True

    def update(
        self, tracks: Iterable[ServerTrack], shed_share: float, queued_share: float, now: float
    ) -> None:
        """Update the share from the loads, the refused attempts and this instance's queue.

        `queued_share` is the number of waiting requests for each one in progress.
        """
        if self._has_new_sums:
            self._has_new_sums = False
            self._sums_at = now
        is_fresh = now - self._sums_at < MAX_SUMS_AGE_SECONDS
        loads = sorted(
            self._find_load(track, is_fresh)
            for track in tracks
            if track.is_ready and track.ejection_state is None and not track.is_suspected(now)
        )
        if not loads:
            return
        load = loads[int(LEAST_LOADED_SHARE * (len(loads) - 1))]
        seconds = min(MAX_STEP_SECONDS, now - self._at)
        self._at = now
        if load < FREE_LOAD_PER_SLOT:
            self._lasting = min(0.0, self._lasting + RECOVERY_PER_SECOND * seconds)
            self._set(exp(self._lasting), seconds)
            return
        above = load - TARGET_LOAD_PER_SLOT
        change = LASTING_GAIN_PER_SECOND * seconds * above
        kept = self._lasting * exp(-seconds / LASTING_MEMORY_SECONDS)
        self._lasting = max(MIN_LOG_SHARE, min(0.0, kept - change))
        own = SHED_LOAD_PER_SLOT * shed_share + queued_share
        at_once = self._lasting - LOAD_GAIN * (above + min(MAX_OWN_LOAD_PER_SLOT, own))
        self._set(exp(max(MIN_LOG_SHARE, min(0.0, at_once))), seconds)

    def _find_load(self, track: ServerTrack, is_fresh: bool) -> float:
        """Return a server's load per slot.

        The load that placement knows is clamped about the mean and falls by half with each update,
        which would hold requests back for seconds after a shortage.
        """
        if not is_fresh:
            return track.known_load
        return max(track.outstanding, self._sums.get(track.server_id, 0)) / track.slots

    def _set(self, share: float, seconds: float) -> None:
        self.share = share
        weight = 1.0 - exp(-seconds / USUAL_SHARE_SECONDS)
        self.usual_share += weight * (share - self.usual_share)


def share_out(counts: dict[int, float], share: float, usual_share: float) -> dict[int, float]:
    """Return the admitted share of each rank, so that `share` of all requests are admitted.

    Lower ranks come first. None gets less than LEAST_SHARE of what the first one gets, except in
    moments in which `share` is lower than the average of some seconds, `usual_share`.
    """
    total = sum(counts.values())
    ranks = sorted(counts)
    if not total:
        return dict.fromkeys(ranks, 1.0)
    first = counts[ranks[0]]
    rest = total - first
    admitted = share * total
    fits = usual_share * total >= first + FAIR_SHARE * rest
    floor = MOMENTARY_LEAST_SHARE if fits else LEAST_SHARE
    top = min(1.0, admitted / (first + floor * rest))
    least = LEAST_SHARE * top
    if rest:
        least = min(least, (admitted - top * first) / rest)
    left = admitted - least * total
    shares = {}
    for rank in ranks:
        room = (top - least) * counts[rank]
        given = min(room, max(0.0, left))
        left -= given
        shares[rank] = least + (given / counts[rank] if counts[rank] else 0.0)
    return shares


class UrgencyGate:
    """Refuses less urgent requests first while a service's capacity is short; off by default.

    Queues form at the servers, which know no priorities. So the gate keeps these short, by refusing
    new requests at the entry before they are sent anywhere, by their priority and by whether their
    organisation sends many times its usual number. Rates and failures are those that this instance
    sees; loads are the sums that it is sent.
    """

    def __init__(self, random: Random) -> None:
        self._random = random
        self._shortage = Shortage()
        self._surges = Surges()
        self._counts: dict[int, RecentCount] = {}
        self._failed_at: dict[int, float] = {}
        self.is_on = False

    @property
    def admitted_share(self) -> float:
        """Return the share of the requests that the capacity allows; 1 while it isn't short."""
        return self._shortage.share

    def apply_loads(self, loads: Mapping[ServerId, int]) -> None:
        """Apply the requests in progress by server, summed over several or all instances."""
        if self.is_on:
            self._shortage.replace_sums(loads)

    def find_refusal(
        self,
        request: Request,
        tracks: Iterable[ServerTrack],
        shed_share: float,
        queued_share: float,
        now: float,
    ) -> Refusal | None:
        """Return the refusal of a new request, or None if it is admitted."""
        if not self.is_on:
            return None
        self._shortage.update(tracks, shed_share, queued_share, now)
        surplus = self._surges.record(request.caller, now)
        rank = request.priority
        if surplus and self._random.random() < surplus:
            rank += SURPLUS
        self._counts.setdefault(rank, RecentCount()).add(now, RATE_MEMORY_SECONDS)
        if self._shortage.share >= SHORT_SHARE:
            return None
        counts = {
            rank: count.find(now, RATE_MEMORY_SECONDS) for rank, count in self._counts.items()
        }
        share = share_out(counts, self._shortage.share, self._shortage.usual_share)[rank]
        if share >= 1.0 or self._random.random() < share:
            return None
        seconds = min(MAX_RETRY_AFTER_SECONDS, 1.0 / share) * (0.5 + self._random.random())
        return Refusal(request, RefusalReason.LESS_URGENT, max(1.0, seconds))

    def record_failure(self, request: Request, now: float) -> None:
        """Record that an attempt of a request failed."""
        if self.is_on:
            self._failed_at[request.priority] = now

    def find_budget_share(self, request: Request, now: float) -> float:
        """Return the part of the retry budget that a request may use."""
        since = now - FAILURE_MEMORY_SECONDS
        for priority, at in self._failed_at.items():
            if self.is_on and priority < request.priority and at > since:
                return LESS_URGENT_BUDGET_SHARE
        return 1.0
