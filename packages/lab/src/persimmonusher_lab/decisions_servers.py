"""Simulated backend servers on a virtual clock, with injected faults."""

import heapq
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import Any, Final

from persimmonusher_decisions.server import BackendServer, ServerState
from persimmonusher_decisions.work import Dispatch, OutcomeKind
from persimmonusher_lab.decisions_policies import SERVICE
from persimmonusher_model.identifiers import FailureDomain, ServerId

QUEUE_LIMIT_PER_SLOT: Final = 8
"""A server refuses requests beyond this many queued ones per slot."""
BLIP_FAILURE_SHARE: Final = 0.5
FAIL_FAST_SECONDS: Final = 0.001
CRASH_SECONDS: Final = 4.0
"""Time that a crashed server takes to restart."""


class EventLoop:
    """Runs scheduled calls in order of virtual time."""

    def __init__(self) -> None:
        self.now = 0.0
        self._heap: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self._count = 0

    def call_at(self, at: float, call: Callable[..., None], *args: Any) -> None:
        """Schedule a call."""
        self._count += 1
        heapq.heappush(self._heap, (at, self._count, call, args))

    def call_later(self, delay: float, call: Callable[..., None], *args: Any) -> None:
        """Schedule a call after a delay."""
        self.call_at(self.now + delay, call, *args)

    def run_until(self, end: float) -> None:
        """Run all calls that are due up to `end`."""
        heap = self._heap
        while heap and heap[0][0] <= end:
            self.now, _, call, args = heapq.heappop(heap)
            call(*args)
        self.now = end


class Call:
    """One caller's request in the simulation."""

    __slots__ = ("arrived", "attempts", "caller", "crashing", "done", "entry", "work")

    def __init__(self, arrived: float, work: float, entry: int, caller: str) -> None:
        self.arrived = arrived
        self.work = work
        self.entry = entry
        self.caller = caller
        self.crashing = False
        self.done = False
        self.attempts = 0


class Attempt:
    """One copy of a request on its way to, at, or back from a server."""

    __slots__ = ("call", "closed", "dispatch", "domain")

    def __init__(self, call: Call, dispatch: Dispatch, domain: FailureDomain) -> None:
        self.call = call
        self.dispatch = dispatch
        self.domain = domain
        self.closed = False


@dataclass
class Fault:
    """The current faults of a server."""

    failure_share: float = 0.0
    """Share of real work that it fails."""
    fail_fast: bool = False
    slow_factor: float = 1.0
    """Multiplies the time that each request takes."""
    cut_from: set[FailureDomain] = field(default_factory=set)
    """Domains that its answers don't reach: a one-way cut."""
    reported_load: int | None = None
    """Load that it reports instead of the actual one."""
    cold_until: float = 0.0


Answer = Callable[[Attempt, OutcomeKind, int | None], None]


class FakeServer:
    """A server with slots, a bounded queue and faults; it records when requests arrive."""

    COLD_FACTOR: Final = 4.0
    """Initial factor on the time of work on a cold server; it falls linearly to 1."""
    COLD_SECONDS: Final = 8.0

    def __init__(self, loop: EventLoop, random: Random, server: BackendServer) -> None:
        self._loop = loop
        self._random = random
        self.server = server
        self.fault = Fault()
        self.noise_failure_share = 0.0
        self.duration_factor = 1.0
        self.blip_until = 0.0
        self.paused_until = 0.0
        self._paused_from = 0.0
        self.crashed_until = 0.0
        self.crashes = 0
        self._queue: deque[tuple[Attempt, Answer]] = deque()
        self._running: dict[Attempt, Answer] = {}
        self.watched_from: set[FailureDomain] = set()
        """Failure domains whose requests are recorded in `received`; empty means all."""
        self.received: list[float] = []
        """Arrival times of requests, from which the detection time is computed."""

    @property
    def load(self) -> int:
        """Return the reported load: requests running and queued, unless a fault overrides it."""
        if self.fault.reported_load is not None:
            return self.fault.reported_load
        return len(self._running) + len(self._queue)

    def pause(self, seconds: float) -> None:
        """Stop all work for a time, as a garbage collection does."""
        self._paused_from = self._loop.now
        self.paused_until = self._loop.now + seconds

    def receive(self, attempt: Attempt, answer: Answer) -> None:
        """Start, queue or refuse a request that arrives now."""
        if not self.watched_from or attempt.domain in self.watched_from:
            self.received.append(self._loop.now)
        if self._loop.now < self.crashed_until:
            answer(attempt, OutcomeKind.REFUSED, None)
        elif len(self._queue) >= QUEUE_LIMIT_PER_SLOT * self.server.slots:
            answer(attempt, OutcomeKind.REFUSED, self.load)
        elif len(self._running) < self.server.slots:
            self._start(attempt, answer)
        else:
            self._queue.append((attempt, answer))

    def _start(self, attempt: Attempt, answer: Answer) -> None:
        self._running[attempt] = answer
        noise_share = (
            BLIP_FAILURE_SHARE if self._loop.now < self.blip_until else self.noise_failure_share
        )
        failure_share = max(noise_share, self.fault.failure_share)
        failed = self._random.random() < failure_share
        kind = OutcomeKind.FAILURE if failed else OutcomeKind.SUCCESS
        seconds = attempt.call.work * self._find_duration_factor()
        if failed and self.fault.fail_fast:
            seconds = FAIL_FAST_SECONDS
        start = max(self._loop.now, self.paused_until)
        self._loop.call_at(start + seconds, self._finish, attempt, kind, self._loop.now)

    def _find_duration_factor(self) -> float:
        factor = self.fault.slow_factor * self.duration_factor
        cold_left = self.fault.cold_until - self._loop.now
        if cold_left > 0.0:
            factor *= 1.0 + (self.COLD_FACTOR - 1.0) * cold_left / self.COLD_SECONDS
        return factor

    def _finish(self, attempt: Attempt, kind: OutcomeKind, started: float) -> None:
        answer = self._running.get(attempt)
        if answer is None:
            return
        if self._loop.now < self.paused_until and started < self._paused_from:
            unfinished = self._loop.now - self._paused_from
            self._loop.call_at(
                self.paused_until + unfinished, self._finish, attempt, kind, self._loop.now
            )
            return
        if attempt.call.crashing:
            self._crash()
            return
        del self._running[attempt]
        answer(attempt, kind, self.load)
        while self._queue and len(self._running) < self.server.slots:
            queued, queued_answer = self._queue.popleft()
            if not queued.closed:
                self._start(queued, queued_answer)

    def _crash(self) -> None:
        self.crashes += 1
        self.crashed_until = self._loop.now + CRASH_SECONDS
        interrupted = [*self._running.items(), *self._queue]
        self._running.clear()
        self._queue.clear()
        for attempt, answer in interrupted:
            answer(attempt, OutcomeKind.BROKEN, None)


def make_server(index: int, domains: int, slots: int, connections: int) -> BackendServer:
    """Return the announcement of one of a service's servers; the domains take turns."""
    return BackendServer(
        server_id=ServerId(f"server-{index}"),
        service=SERVICE,
        address=f"10.0.0.{index}:8080",
        failure_domain=FailureDomain(f"domain-{index % domains}"),
        slots=slots,
        connection_limit=connections,
        boot_id=1,
        sequence=1,
        state=ServerState.READY,
    )
