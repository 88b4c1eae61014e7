"""A service on a virtual clock: callers, entry instances, servers, and one assessor.

It is kept small: one service, no membership, no directory. Messages between instances take the
one-way latency and none is lost; a case may only cut a server's answers off from a domain.
"""

import re
from collections import Counter, defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import Final

from persimmonusher_decisions.assessor import Assessor
from persimmonusher_decisions.evidence_messages import EjectionSet, EjectionState, EvidenceDigest
from persimmonusher_decisions.work import (
    AFTER_ATTEMPTS,
    Decision,
    Dispatch,
    Outcome,
    OutcomeKind,
    Refusal,
    Request,
    Wait,
)
from persimmonusher_lab.decisions_policies import BASELINES, SERVICE, Policy, Usher
from persimmonusher_lab.decisions_servers import (
    Attempt,
    Call,
    EventLoop,
    FakeServer,
    make_server,
)
from persimmonusher_lab.decisions_sites import (
    LONG_WORK_SECONDS,
    LONG_WORK_SHARE,
    MEAN_WORK_SECONDS,
    SHORT_WORK_SECONDS,
    Site,
)
from persimmonusher_model.identifiers import (
    CallerId,
    FailureDomain,
    InstanceId,
    RequestId,
    ServerId,
)

ADVANCE_SECONDS: Final = 0.05
DIGEST_SECONDS: Final = 0.05
"""How often an entry instance asks its policy for a digest; most calls return none."""
RENEW_SECONDS: Final = 1.0
ASSESS_SECONDS: Final = 0.1
LOCAL_LATENCY_SECONDS: Final = 0.0003
LOOKUP_SHARE: Final = 0.85
CALLERS: Final = 40
DEADLINE_SECONDS: Final = 3.0
RESEND_SECONDS: Final = 1.0
NUMBER_PATTERN: Final = re.compile(r"\d+")
MEAN_PAUSE_INTERVAL_SECONDS: Final = 60.0
"""Natural noise of a healthy server: pauses, blips in which half its work fails, such as when its
own connection to a database breaks, and differences between servers in failures and speed."""
MEAN_BLIP_INTERVAL_SECONDS: Final = 120.0
BLIP_SECONDS: Final = 0.15
NATURAL_FAILURE_SHARES: Final = (0.002, 0.012)
NATURAL_DURATION_FACTORS: Final = (0.85, 1.2)
MEAN_PAUSE_SECONDS: Final = 0.15
MAX_PAUSE_SECONDS: Final = 0.6


@dataclass(frozen=True)
class Case:
    """One situation: the load, and what happens at FAULT_AT."""

    name: str
    load: Callable[[float], float]
    """Offered load as a share of capacity, by time."""
    inject: "Callable[[Simulation], None] | None" = None
    seconds: float = 9.0
    faulty_count: int = 0
    """How many servers have the fault, counted from the first."""
    skewed: bool = False
    watched_domain: int | None = None
    """The failure domain whose requests the servers record; None means all domains."""
    greedy: bool = False
    """Whether one caller sends half of all requests."""


FAULT_AT: Final = 4.0


@dataclass
class Tally:
    """What one run counted from FAULT_AT on."""

    latencies: list[float] = field(default_factory=list)
    outcomes: Counter[str] = field(default_factory=Counter)
    refusals: Counter[str] = field(default_factory=Counter)
    refusal_waits: list[float] = field(default_factory=list)
    offered_by: Counter[str] = field(default_factory=Counter)
    served_by: Counter[str] = field(default_factory=Counter)
    offered_classes: Counter[str] = field(default_factory=Counter)
    served_classes: Counter[str] = field(default_factory=Counter)
    attempts: int = 0
    false_ejections: int = 0
    lowest_capacity: float = 1.0
    notes: Counter[str] = field(default_factory=Counter)
    ejection_times: dict[ServerId, list[float]] = field(default_factory=lambda: defaultdict(list))


class Simulation:
    """One run of one case under one policy with one seed."""

    def __init__(self, site: Site, case: Case, policy: str, seed: int) -> None:
        self.site = site
        self.case = case
        self.loop = EventLoop()
        self.random = Random(seed * 7919 + 17)
        self.tally = Tally()
        self.servers = [
            FakeServer(
                self.loop,
                Random(seed * 101 + index),
                make_server(index, site.domains, site.slots, site.connections),
            )
            for index in range(site.server_count)
        ]
        self.by_id = {item.server.server_id: item for item in self.servers}
        self.domains = [FailureDomain(f"domain-{i % site.domains}") for i in range(site.entries)]
        self.policies = [self._make_policy(policy, index, seed) for index in range(site.entries)]
        self.assessor: Assessor | None = None
        if policy == "usher":
            self.assessor = Assessor(SERVICE, site.profile, InstanceId("entry-0"), 1)
        self._attempts: dict[int, Attempt] = {}
        self._calls: dict[RequestId, Call] = {}
        self._count = 0
        self._last_ejections: EjectionSet | None = None
        self._last_exchanged_at = [0.0] * site.entries

    def run(self) -> Tally:
        """Run the case to its end and return what was counted."""
        announced = [item.server for item in self.servers]
        for policy in self.policies:
            policy.replace_servers(announced, 0.0)
        if self.assessor:
            self.assessor.replace_servers(announced, 0.0)
            self._assess()
        for index in range(self.site.entries):
            phase = index / self.site.entries * ADVANCE_SECONDS
            self.loop.call_at(phase, self._tick, index)
        for server in self.servers:
            server.noise_failure_share = self.random.uniform(*NATURAL_FAILURE_SHARES)
            if self.case.watched_domain is not None:
                server.watched_from = {self.domains[self.case.watched_domain]}
            server.duration_factor = self.random.uniform(*NATURAL_DURATION_FACTORS)
            self.loop.call_later(
                self._draw_exponential(MEAN_PAUSE_INTERVAL_SECONDS), self._pause, server
            )
            self.loop.call_later(
                self._draw_exponential(MEAN_BLIP_INTERVAL_SECONDS), self._blip, server
            )
        if self.case.inject:
            self.loop.call_at(FAULT_AT, self.case.inject, self)
        self.loop.call_at(FAULT_AT, self._watch_capacity)
        self.loop.call_later(0.0, self._arrive)
        self.loop.run_until(self.case.seconds)
        return self.tally

    @property
    def capacity(self) -> float:
        """Return the requests per second with every slot busy, at each server's own speed."""
        return (
            sum(item.server.slots / item.duration_factor for item in self.servers)
            / MEAN_WORK_SECONDS
        )

    def announce(self) -> None:
        """Send every instance and the assessor the servers' current announcements."""
        announced = [item.server for item in self.servers]
        for policy in self.policies:
            policy.replace_servers(announced, self.loop.now)
        if self.assessor:
            self.assessor.replace_servers(announced, self.loop.now)

    def make_call(self, work: float, entry: int, caller: str) -> Call:
        """Return a caller's request that arrives now."""
        return Call(self.loop.now, work, entry, caller)

    def send(self, call: Call, fingerprint: str, idempotent: bool) -> None:
        """Offer a caller's request to its entry instance now."""
        self._count += 1
        now = self.loop.now
        request = Request(
            RequestId(str(self._count)),
            CallerId(call.caller),
            "lookup" if idempotent else "entry",
            idempotent,
            now,
            now + DEADLINE_SECONDS,
            fingerprint,
        )
        self._calls[request.request_id] = call
        if now >= FAULT_AT:
            self.tally.offered_by[call.caller] += 1
            self.tally.offered_classes[request.request_class] += 1
        self._carry_out(self.policies[call.entry].offer(request, now), call)

    def _make_policy(self, name: str, index: int, seed: int) -> Policy:
        random = Random(seed * 1009 + index)
        if name == "usher":
            site = self.site
            return Usher(
                site.profile,
                self.domains[index],
                random,
                InstanceId(f"entry-{index}"),
                site.entries,
            )
        return BASELINES[name](random)

    def _draw_exponential(self, mean: float) -> float:
        return self.random.expovariate(1.0 / mean)

    def _pause(self, server: FakeServer) -> None:
        server.pause(min(MAX_PAUSE_SECONDS, self._draw_exponential(MEAN_PAUSE_SECONDS)))
        self.loop.call_later(
            self._draw_exponential(MEAN_PAUSE_INTERVAL_SECONDS), self._pause, server
        )

    def _blip(self, server: FakeServer) -> None:
        server.blip_until = self.loop.now + BLIP_SECONDS
        self.loop.call_later(self._draw_exponential(MEAN_BLIP_INTERVAL_SECONDS), self._blip, server)

    def _arrive(self) -> None:
        now = self.loop.now
        rate = self.case.load(now) * self.site.capacity
        self.loop.call_later(self._draw_exponential(1.0 / rate), self._arrive)
        random = self.random
        entry = int(random.random() * self.site.entries)
        if self.case.skewed and random.random() < 0.4:
            entry = entry % 3
        caller = int(random.random() * CALLERS)
        if self.case.greedy and random.random() < 0.5:
            caller = 0
        work = self._draw_exponential(
            LONG_WORK_SECONDS if random.random() < LONG_WORK_SHARE else SHORT_WORK_SECONDS
        )
        idempotent = random.random() < LOOKUP_SHARE
        number = int(500 * random.random() ** 3) if idempotent else self._count
        call = self.make_call(work, entry, f"caller-{caller}")
        self.send(call, f"{idempotent}-{number}", idempotent)

    def _tick(self, index: int) -> None:
        self.loop.call_later(ADVANCE_SECONDS, self._tick, index)
        policy = self.policies[index]
        for decision in policy.advance(self.loop.now):
            self._carry_out(decision, self._calls[decision.request.request_id])
        if self.assessor is None:
            return
        digest = policy.digest(self.loop.now)
        if digest is not None or self.loop.now - self._last_exchanged_at[index] >= RENEW_SECONDS:
            self._exchange(index, digest)

    def _exchange(self, index: int, digest: EvidenceDigest | None) -> None:
        asked = self.loop.now
        self._last_exchanged_at[index] = asked
        self.loop.call_later(self.site.one_way_latency, self._serve_exchange, index, digest, asked)

    def _serve_exchange(self, index: int, digest: EvidenceDigest | None, asked: float) -> None:
        assert self.assessor is not None
        if digest is not None:
            self.assessor.receive(digest, self.loop.now)
        assert self._last_ejections is not None
        self.loop.call_later(
            self.site.one_way_latency, self._apply, index, self._last_ejections, asked
        )

    def _apply(self, index: int, ejections: EjectionSet, asked: float) -> None:
        for copy in self.policies[index].apply(ejections, asked):
            self._carry_out(copy, self._calls[copy.request.request_id])

    def _assess(self) -> None:
        assert self.assessor is not None
        self.loop.call_later(ASSESS_SECONDS, self._assess)
        before = self._last_ejections
        current = self.assessor.assess(self.loop.now)
        self._last_ejections = current
        if self.loop.now >= FAULT_AT and current.note:
            self.tally.notes[NUMBER_PATTERN.sub("n", current.note)] += 1
        if before is None:
            return
        if current.differs_from(before):
            self._count_ejections(before, current)
            for index in range(self.site.entries):
                self.loop.call_later(self.site.one_way_latency, self._exchange, index, None)

    def _count_ejections(self, before: EjectionSet, current: EjectionSet) -> None:
        def list_ejected(ejections: EjectionSet) -> set[tuple[ServerId, FailureDomain]]:
            return {
                (item.server_id, item.seen_from)
                for item in ejections.ejections
                if item.state is EjectionState.EJECTED
            }

        faulty = {item.server.server_id for item in self.servers[: self.case.faulty_count]}
        newly_ejected = {server_id for server_id, _ in list_ejected(current) - list_ejected(before)}
        for server_id in newly_ejected:
            self.tally.ejection_times[server_id].append(self.loop.now)
            if server_id not in faulty and not self.by_id[server_id].crashes:
                self.tally.false_ejections += 1

    def _watch_capacity(self) -> None:
        self.loop.call_later(0.05, self._watch_capacity)
        for policy in self.policies:
            share = 1.0 - len(policy.list_excluded()) / len(self.servers)
            self.tally.lowest_capacity = min(self.tally.lowest_capacity, share)

    def _carry_out(self, decision: Decision, call: Call) -> None:
        if isinstance(decision, Dispatch):
            self._dispatch(decision, call)
        elif isinstance(decision, Refusal):
            self._refuse(decision, call)
        else:
            assert isinstance(decision, Wait)

    def _dispatch(self, dispatch: Dispatch, call: Call) -> None:
        call.attempts += 1
        attempt = Attempt(call, dispatch, self.domains[call.entry])
        if self.loop.now >= FAULT_AT:
            self.tally.attempts += 1
        server = self.by_id[dispatch.server.server_id]
        self.loop.call_later(
            self._find_latency(attempt), server.receive, attempt, self._send_answer
        )
        self.loop.call_at(dispatch.request.deadline, self._time_out, attempt)

    def _find_latency(self, attempt: Attempt) -> float:
        local = attempt.dispatch.server.failure_domain == attempt.domain
        return LOCAL_LATENCY_SECONDS if local else self.site.one_way_latency

    def _send_answer(self, attempt: Attempt, kind: OutcomeKind, load: int | None) -> None:
        server = self.by_id[attempt.dispatch.server.server_id]
        if attempt.domain not in server.fault.cut_from:
            self.loop.call_later(self._find_latency(attempt), self._close, attempt, kind, load)

    def _time_out(self, attempt: Attempt) -> None:
        if not attempt.closed:
            self._close(attempt, OutcomeKind.TIMEOUT, None)

    def _close(self, attempt: Attempt, kind: OutcomeKind, load: int | None) -> None:
        if attempt.closed:
            return
        attempt.closed = True
        call, dispatch = attempt.call, attempt.dispatch
        now = self.loop.now
        if call.done:
            kind = OutcomeKind.CANCELLED
        outcome = Outcome(kind, now - dispatch.started, load)
        policy = self.policies[call.entry]
        for decision in policy.finish(dispatch, outcome, now):
            self._carry_out(decision, self._calls[decision.request.request_id])
        call.attempts -= 1
        if call.done:
            return
        request = dispatch.request
        if kind is OutcomeKind.SUCCESS:
            self._end(call, request, "ok")
        elif call.attempts:
            return
        elif kind is not OutcomeKind.TIMEOUT and (
            request.idempotent or kind is OutcomeKind.REFUSED
        ):
            self._carry_out(policy.retry(dispatch, outcome, now), call)
        else:
            self._end(call, request, kind.value)

    def _refuse(self, refusal: Refusal, call: Call) -> None:
        if self.loop.now >= FAULT_AT and call.arrived >= FAULT_AT:
            self.tally.refusals[refusal.reason.value] += 1
            if refusal.reason not in AFTER_ATTEMPTS:
                self.tally.refusal_waits.append(self.loop.now - call.arrived)
        self._end(call, refusal.request, "refused")

    def _end(self, call: Call, request: Request, outcome: str) -> None:
        call.done = True
        self._calls.pop(request.request_id, None)
        if call.arrived < FAULT_AT:
            return
        tally = self.tally
        tally.outcomes[outcome] += 1
        if outcome == "ok":
            tally.latencies.append(self.loop.now - call.arrived)
            tally.served_by[call.caller] += 1
            tally.served_classes[request.request_class] += 1
