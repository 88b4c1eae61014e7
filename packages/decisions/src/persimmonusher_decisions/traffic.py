"""All decisions of one entry instance for one service, behind one interface.

The data plane calls it with events and the current time, and carries out the decisions that it
returns; there is no I/O and no clock here. Each dispatched attempt must be finished exactly once; a
second `finish` is ignored. `advance` and `digest` are called about every 50 ms.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from math import inf
from random import Random
from typing import Final

from persimmonusher_decisions.admission import Admission
from persimmonusher_decisions.advice import ServerAdvice
from persimmonusher_decisions.advice_book import AdviceBook
from persimmonusher_decisions.connections import ConnectionBudget
from persimmonusher_decisions.costs import CostModel, CostSample
from persimmonusher_decisions.digests import DigestMaker
from persimmonusher_decisions.dispatcher import Dispatcher
from persimmonusher_decisions.ejection import EjectionLease
from persimmonusher_decisions.evidence import SILENT_KINDS, EvidenceLog
from persimmonusher_decisions.evidence_messages import EjectionSet, EvidenceDigest
from persimmonusher_decisions.failure_memory import FailureMemory
from persimmonusher_decisions.further_attempts import FurtherAttempts
from persimmonusher_decisions.hedging import TRIAL_PATIENCE_SHARE, find_hedge_delay
from persimmonusher_decisions.learning import OutcomeLearning
from persimmonusher_decisions.locality import Locality
from persimmonusher_decisions.notices import Notice, NoticeKind
from persimmonusher_decisions.placement import Placement
from persimmonusher_decisions.quarantine import Quarantine
from persimmonusher_decisions.rate_limits import RateLimits
from persimmonusher_decisions.retries import RetryBudget, RetryStatus
from persimmonusher_decisions.server import BackendServer
from persimmonusher_decisions.server_work import ServerWork, WorkInProgress, WorkStatus
from persimmonusher_decisions.standing import Standing, find_standing
from persimmonusher_decisions.suspicion import Suspicion
from persimmonusher_decisions.track import ServerTrack
from persimmonusher_decisions.trials import TrialSchedule
from persimmonusher_decisions.urgency import MAX_SUMS_AGE_SECONDS, UrgencyGate
from persimmonusher_decisions.window import ConcurrencyWindow
from persimmonusher_decisions.work import (
    Decision,
    Dispatch,
    Outcome,
    OutcomeKind,
    Refusal,
    RefusalReason,
    Request,
    Wait,
)
from persimmonusher_model.identifiers import FailureDomain, InstanceId, ServerId, ServiceName
from persimmonusher_model.profile import Profile
from persimmonusher_model.rendezvous import WEIGHT_RANGE, weigh

NO_SERVICE: Final = ServiceName("")
NO_INSTANCE: Final = InstanceId("")
NO_SERVER_RETRY_AFTER_SECONDS: Final = 1.0
PROBES_PER_SECOND: Final = 16.0
"""Probes per second of one server on probation, from all instances together."""

KEPT_KINDS: Final = frozenset({OutcomeKind.SUCCESS, OutcomeKind.FAILURE, OutcomeKind.REFUSED})
"""Outcomes with a whole answer, after which the connection is usually kept."""


@dataclass(frozen=True)
class ServerStatus:
    """A backend server, whether this instance uses it, and the reason if it is restricted."""

    server: BackendServer
    taking_work: bool
    reason: str
    outstanding: int
    rate_limit: float | None = None
    """Requests per second that it accepts from all instances together; None for no limit."""
    rest_seconds: float = 0.0
    """Time left of the rest that it asked this instance for."""
    standing: Standing = Standing.IN_USE
    suspected_seconds: float = 0.0
    """Time left of its suspicion."""


class ServiceTraffic:
    """Admission, placement and retries for one service at one entry instance."""

    def __init__(
        self,
        profile: Profile,
        failure_domain: FailureDomain,
        random: Random,
        service: ServiceName = NO_SERVICE,
        instance_id: InstanceId = NO_INSTANCE,
        incarnation: int = 0,
        started: float = -inf,
    ) -> None:
        """Make the decisions of an instance whose process started at a moment, or long ago."""
        self._profile = profile
        self._failure_domain = failure_domain
        self._live = 1
        self._is_count_reliable = True
        self._tracks: dict[ServerId, ServerTrack] = {}
        self._started: bool = False
        self._evidence = EvidenceLog()
        self._limits = RateLimits(random)
        self._trials = TrialSchedule(random)
        self._memory = FailureMemory()
        self._costs = CostModel(service)
        self._work = ServerWork(self._costs)
        self._placement = Placement(
            failure_domain, random, self._limits, self._trials, self._memory, self._work
        )
        self._locality = Locality(profile)
        self._window = ConcurrencyWindow()
        self._admission = Admission(profile, random)
        rank = weigh(instance_id, service) / WEIGHT_RANGE
        self._retries = RetryBudget(profile.retry_budget_percent, started, rank)
        self._quarantine = Quarantine(profile.crash_strikes, profile.quarantine_ms / 1000.0)
        self._connections = ConnectionBudget(instance_id)
        self._lease = EjectionLease(failure_domain)
        self._digests = DigestMaker(service, instance_id, incarnation, failure_domain)
        self._suspicion = Suspicion(service, self._trials, self._memory)
        self._advice = AdviceBook(service, self._limits)
        self._dispatcher = Dispatcher(
            self._placement,
            self._evidence,
            self._admission,
            self._retries,
            self._limits,
            self._work,
        )
        self._urgency = UrgencyGate(random)
        self._further = FurtherAttempts(
            self._dispatcher,
            self._placement,
            self._evidence,
            self._admission,
            self._retries,
            self._quarantine,
            self._urgency,
        )
        self._learning = OutcomeLearning(
            self._evidence,
            self._placement,
            self._locality,
            self._window,
            self._quarantine,
            self._suspicion,
            self._costs,
        )
        self._set_limits()

    def replace_profile(self, profile: Profile) -> None:
        """Apply a new profile; requests in flight keep their deadlines."""
        self._profile = profile
        self._locality.replace_profile(profile)
        self._admission.replace_profile(profile)
        self._retries.replace_percent(profile.retry_budget_percent)
        self._quarantine.replace_limits(profile.crash_strikes, profile.quarantine_ms / 1000.0)
        self._set_limits()

    def replace_servers(self, servers: Iterable[BackendServer], now: float) -> None:
        """Replace the announced servers; evidence on those that stay is kept.

        A server that is new or was restarted begins its ramp, except on the first call with
        servers: all are new to this instance then, and none is known to be cold.
        """
        tracks: dict[ServerId, ServerTrack] = {}
        for server in servers:
            track = self._tracks.get(server.server_id)
            if track is None or track.server.boot_id != server.boot_id:
                track = self._begin_track(server, track, now)
            elif server.freshness >= track.server.freshness:
                track.server = server
                track.slots = max(1, server.slots)
            tracks[server.server_id] = track
        self._tracks = tracks
        self._started = self._started or bool(tracks)
        self._rebuild(now)

    def replace_entry_count(self, live: int, is_reliable: bool = True) -> None:
        """Set the number of live entry instances, which share what the fleet is allowed.

        While it isn't reliable, this instance has no retry slack. The retry slack is shared out
        anew with the next attempt, rate limits with the next `advance`, everything else at once.
        """
        self._is_count_reliable = is_reliable
        if live != self._live:
            self._live = max(1, live)
            self._resize_window()
            self._connections.replace_entry_count(self._live)
            self._trials.replace_entry_count(self._live)
            self._share_connections()

    @property
    def admitted_share(self) -> float | None:
        """Return the part of the requests that capacity allows, or None without `urgent_first`."""
        return self._urgency.admitted_share if self._urgency.is_on else None

    def find_connection_limit(self, server_id: ServerId) -> int:
        """Return the connections that this instance may hold to a server, 0 for an unknown one."""
        track = self._tracks.get(server_id)
        return track.connection_limit if track else 0

    def offer(self, request: Request, now: float) -> Decision:
        """Decide whether a new request is sent to a server, waits, or is refused."""
        seconds_left = self._quarantine.find_seconds_left(request.fingerprint, now)
        if seconds_left:
            return Refusal(request, RefusalReason.QUARANTINED, seconds_left)
        if not self._tracks:
            return Refusal(request, RefusalReason.NO_SERVER, NO_SERVER_RETRY_AFTER_SECONDS)
        usual = self._evidence.find_usual_latency(request.request_class)
        if now + usual > request.deadline:
            return self._admission.refuse(request, RefusalReason.DEADLINE, now)
        refusal = self._refuse_less_urgent(request, now) if self._urgency.is_on else None
        if refusal is not None:
            return refusal
        if not len(self._admission.queue) and len(self._evidence) < self._window.limit:
            dispatch = self._dispatcher.place(request, 1, None, now)
            if dispatch is not None:
                return dispatch
            if not self._placement.open_slots:
                return Refusal(request, RefusalReason.NO_SERVER, NO_SERVER_RETRY_AFTER_SECONDS)
        refusal = self._refuse_closed(request, usual, now)
        if refusal is not None:
            return refusal
        return self._admission.wait(request, usual, now) or Wait(request)

    def retry(self, dispatch: Dispatch, outcome: Outcome, now: float) -> Decision:
        """Decide on another attempt after `finish`.

        The calling code has checked that the request may safely be run again.
        """
        self._count_for_retries(now)
        return self._further.retry(self._profile, dispatch, outcome, now)

    def pop_notices(self) -> tuple[Notice, ...]:
        """Return and clear the notices to be sent to other instances at once."""
        return (*self._suspicion.pop_notices(), *self._advice.pop_notices())

    def apply_notice(self, notice: Notice, now: float) -> bool:
        """Apply another instance's notice; return whether it changes how the server is used.

        A notice on an unknown server, or on another boot of a known one, is ignored.
        """
        track = self._tracks.get(notice.server_id)
        if track is None or track.server.boot_id != notice.boot_id:
            return False
        if notice.kind is NoticeKind.LIMITED:
            self._limits.count_entries(self._live, now)
            return self._advice.apply_notice(notice, track, now)
        if notice.kind is NoticeKind.CRASHED:
            self._quarantine.record_remote_break(notice.fingerprint, notice.server_id, now)
        return self._suspicion.apply_notice(
            notice, track, self._tracks.values(), self._profile, now
        )

    def find_suspicion_seconds(self, server_id: ServerId, now: float) -> float:
        """Return the seconds for which first attempts still avoid a suspected server, or 0."""
        track = self._tracks.get(server_id)
        if track is None or not track.is_avoided(now):
            return 0.0
        return track.suspect_until - now

    def list_in_progress(self) -> dict[ServerId, int]:
        """Return this instance's requests in progress by server; idle servers are left out."""
        return {t.server_id: t.outstanding for t in self._tracks.values() if t.outstanding}

    def apply_loads(self, loads: Mapping[ServerId, int]) -> None:
        """Apply the requests in progress by server, summed over this failure domain's instances.

        In a burst in one domain all its instances prefer the near servers. If each counted only its
        own few requests, together they would fill the near servers' queues while far servers are
        idle. With the domain's sum, near servers look as busy as they are.
        """
        if not self._profile.work_aware:
            self._urgency.apply_loads(loads)
        for track in self._tracks.values():
            total = loads.get(track.server_id, 0)
            if total or track.server.failure_domain == self._failure_domain:
                self._placement.record_load(track, total)

    def list_work(self) -> dict[ServerId, float]:
        """Return the expected seconds of this instance's requests in progress, by server.

        Idle servers are left out; empty unless the profile is `work_aware`.
        """
        return self._work.report(self._tracks.values())

    def apply_work(self, work: Mapping[ServerId, WorkInProgress], age: float) -> None:
        """Apply the requests in progress by server, summed over all instances, this one included.

        `age` is the time in seconds since the oldest part of the sums was taken. Servers that
        aren't listed have no requests in progress.
        """
        self._work.apply(work, age, self._tracks.values())
        if age < MAX_SUMS_AGE_SECONDS:
            self._urgency.apply_loads({server: one.requests for server, one in work.items()})

    def describe_work(self, now: float) -> WorkStatus | None:
        """Return what is known of the work in progress, or None unless `work_aware`."""
        return self._work.describe(now)

    def describe_retries(self, now: float) -> RetryStatus:
        """Return what this instance may spend on further attempts, and has spent."""
        self._count_for_retries(now)
        return self._retries.describe(now)

    def pop_cost_samples(self) -> tuple[CostSample, ...]:
        """Return and clear the service times learned since the last call, to be sent to others."""
        return self._costs.pop_samples()

    def apply_cost_samples(self, samples: Iterable[CostSample]) -> None:
        """Apply means of service times over all instances; those of other services are ignored."""
        self._costs.apply_samples(samples, self._work.now)

    def apply_advice(self, dispatch: Dispatch, advice: ServerAdvice, now: float) -> bool:
        """Apply what a server's answer asks for; return whether it newly says that it leaves."""
        server = dispatch.server
        track = self._tracks.get(server.server_id)
        if track is None or track.server.boot_id != server.boot_id:
            return False
        self._limits.count_entries(self._live, now)
        is_leaving = self._advice.apply(track, dispatch, advice, now)
        if is_leaving:
            self._rebuild(now)
        return is_leaving

    def may_send(self, dispatch: Dispatch, now: float) -> bool:
        """Return whether an attempt may still be sent; call it before the first byte is sent.

        False if the server has asked for rest, or said that it leaves, since it was chosen.
        """
        track = self._tracks.get(dispatch.server.server_id)
        return track is None or not (track.draining or track.resting_until > now)

    def finish(self, dispatch: Dispatch, outcome: Outcome, now: float) -> tuple[Decision, ...]:
        """Record the end of an attempt; return decisions on the waiting requests it releases."""
        attempt = self._evidence.end(dispatch)
        if attempt is None:
            return ()
        track = attempt.track
        kind = outcome.kind
        if kind not in (OutcomeKind.CANCELLED, OutcomeKind.WITHHELD, OutcomeKind.CUT_OFF):
            self._admission.record_attempt(kind is OutcomeKind.REFUSED)
        if kind in KEPT_KINDS:
            self._placement.reuse.record_kept(track, now)
        if kind is OutcomeKind.SUCCESS:
            self._learning.learn_from_success(attempt, outcome, now)
        elif kind not in SILENT_KINDS and not outcome.is_way_lost:
            self._urgency.record_failure(dispatch.request, now)
            self._learning.learn_from_failure(
                attempt, outcome, self._tracks.values(), self._profile, now
            )
        elif kind is OutcomeKind.DRAINING:
            self._drop_draining(dispatch, now)
        self._learning.learn_from_load(track, outcome, now)
        return self._release(now) if len(self._admission.queue) else ()

    def withdraw(self, request: Request) -> None:
        """Remove a waiting request whose caller disconnected."""
        self._admission.queue.remove(request)

    def advance(self, now: float) -> tuple[Decision, ...]:
        """Handle the passing of time: refuse late waiting requests, release those that may go.

        Also marks overdue attempts and lets an expired ejection lease lapse.
        """
        self._work.now = now
        self._limits.count_entries(self._live, now)
        self._count_for_retries(now)
        self._evidence.mark_overdue(now)
        for attempt in self._evidence.collect_newly_overdue(now):
            started = attempt.dispatch.started
            self._suspicion.suspect(
                attempt.track, self._tracks.values(), self._profile, started, now
            )
        if self._lease.expire(now):
            self._rebuild(now)
        if not len(self._admission.queue):
            return ()
        refusals: list[Decision] = []
        for request in self._admission.queue.list_requests():
            refusal = self._refuse_late(request, now)
            if refusal is not None:
                self._admission.queue.remove(request)
                refusals.append(refusal)
        return (*refusals, *self._release(now))

    def hedge_delay(self, dispatch: Dispatch, now: float) -> float | None:
        """Return the seconds after which to call `hedge`, or None for no hedged request."""
        request = dispatch.request
        limit = self._evidence.find_slow_limit(request.request_class)
        track = self._tracks.get(dispatch.server.server_id)
        if limit is not None and track is not None and track.is_suspected(now):
            limit *= TRIAL_PATIENCE_SHARE
        return find_hedge_delay(self._profile, request, limit, now)

    def hedge(self, dispatch: Dispatch, now: float) -> Dispatch | None:
        """Return a hedged request, a second copy of an idempotent one in flight, or None."""
        self._count_for_retries(now)
        return self._further.hedge(self._profile, dispatch, now)

    def digest(self, now: float) -> EvidenceDigest | None:
        """Return evidence for the assessor, or None if there is none or none is due.

        Call it about every 0.05 s: it returns a digest once a second, and soon after a failure.
        Send each digest only once: one that is lost may stay lost.
        """
        return self._digests.make(self._tracks.values(), self._quarantine, now)

    def apply_ejections(self, ejections: EjectionSet, asked: float) -> None:
        """Apply an assessor's set; `asked` is when this instance sent the request it answers."""
        if self._lease.apply(ejections, asked):
            self._quarantine.apply(ejections.quarantines, ejections.watched, asked)
            self._rebuild(asked)

    def describe(self, now: float) -> tuple[ServerStatus, ...]:
        """List every known server with its status, for operators."""
        return tuple(
            ServerStatus(
                track.server,
                track.is_ready and track.ejection_state is None,
                track.reason or track.find_asked(now).value or track.server.state.value,
                track.outstanding,
                track.rate_limit,
                max(0.0, track.resting_until - now),
                find_standing(track, now),
                max(0.0, track.suspect_until - now),
            )
            for track in self._tracks.values()
        )

    def _count_for_retries(self, now: float) -> None:
        self._retries.count_entries(self._live, self._is_count_reliable, now)

    def _release(self, now: float) -> tuple[Decision, ...]:
        released: list[Decision] = []
        queue = self._admission.queue
        while len(queue) and len(self._evidence) < self._window.limit and self._may_place(now):
            request = queue.pop()
            decision: Decision | None = self._refuse_late(request, now)
            if decision is None:
                decision = self._dispatcher.place(request, 1, None, now)
            if decision is None:
                reason = RefusalReason.NO_SERVER
                decision = Refusal(request, reason, NO_SERVER_RETRY_AFTER_SECONDS)
            released.append(decision)
        return tuple(released)

    def _may_place(self, now: float) -> bool:
        """Return whether the next waiting request should leave the queue.

        It stays while no open server can accept a request, and leaves, to be refused, if no server
        is open at all.
        """
        return self._placement.has_room(now) or not self._placement.open_slots

    def _refuse_late(self, request: Request, now: float) -> Refusal | None:
        usual = self._evidence.find_usual_latency(request.request_class)
        reason = self._admission.find_lateness(request, usual, now)
        if reason:
            return self._admission.refuse(request, reason, now)
        return self._refuse_closed(request, usual, now)

    def _refuse_less_urgent(self, request: Request, now: float) -> Refusal | None:
        self._placement.refresh(now)
        queued_share = len(self._admission.queue) / max(1, len(self._evidence))
        tracks, shed_share = self._tracks.values(), self._admission.shed_share
        return self._urgency.find_refusal(request, tracks, shed_share, queued_share, now)

    def _refuse_closed(self, request: Request, usual: float, now: float) -> Refusal | None:
        """Refuse a request if all servers stay closed to this instance until it is too late."""
        closed = self._placement.find_seconds_until_open(now)
        if not closed or closed <= self._admission.find_wait_left(request, usual, now):
            return None
        return self._admission.refuse_closed(request, closed)

    def _drop_draining(self, dispatch: Dispatch, now: float) -> None:
        """Stop sending work to a server whose answer says that it is leaving.

        The directory may list it as ready for some seconds more; no announcement of the same boot
        brings it back.
        """
        track = self._tracks.get(dispatch.server.server_id)
        if track is not None and track.server.boot_id == dispatch.server.boot_id:
            track.draining = True
            self._rebuild(now)

    def _begin_track(
        self, server: BackendServer, before: ServerTrack | None, now: float
    ) -> ServerTrack:
        track = ServerTrack(server, now)
        if self._started:
            track.ramp_from = now
        if before is not None:
            track.ejection_state = before.ejection_state
        return track

    def _rebuild(self, now: float) -> None:
        tracks = self._tracks.values()
        self._lease.mark(tracks, self._profile.health_floor_percent, now)
        self._share_connections()
        self._placement.far_load = self._locality.far_load
        self._placement.replace(tracks, now)
        self._resize_window()

    def _resize_window(self) -> None:
        self._placement.probe_seconds = self._live / PROBES_PER_SECOND
        slots, fewest = self._placement.open_slots, self._profile.fewest_in_progress
        self._window.resize(slots, self._live, fewest)

    def _set_limits(self) -> None:
        self._work.set_enabled(self._profile.work_aware)
        self._memory.replace_seconds(self._profile.failure_memory_ms / 1000.0)
        self._urgency.is_on = self._profile.urgent_first
        self._placement.ramp_seconds = self._profile.ramp_ms / 1000.0
        self._placement.opening_load = self._profile.opening_load_percent / 100.0
        self._retries.replace_slack(self._profile.retry_slack)

    def _share_connections(self) -> None:
        limit = self._profile.connections_per_server
        self._connections.share(self._tracks.values(), limit)
