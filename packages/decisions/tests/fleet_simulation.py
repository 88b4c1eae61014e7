"""Simulates the entry instances and backend servers of one service in virtual time."""

from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from heapq import heappop, heappush
from itertools import count
from random import Random

from decisions_helpers import SERVICE, make_request, make_server

from persimmonusher_decisions.notices import Notice
from persimmonusher_decisions.traffic import ServiceTraffic
from persimmonusher_decisions.work import (
    Decision,
    Dispatch,
    Outcome,
    OutcomeKind,
    Refusal,
)
from persimmonusher_model.identifiers import FailureDomain, InstanceId, RequestId, ServerId
from persimmonusher_model.profile import Profile

WAY_SECONDS = 0.0015
NOTICE_SECONDS = 0.004
LOAD_SECONDS = 0.4
QUEUE = 16
"""Requests that a server queues beyond its slots before it refuses more."""


@dataclass(frozen=True)
class Load:
    """The fleet, the callers' demand, and the servers' faults."""

    instances: int = 48
    domains: int = 4
    servers: int = 14
    slots: int = 4
    requests_a_second: float = 80.0
    work_seconds: float = 0.32
    work_spread: float = 0.3
    idempotent_share: float = 0.0
    seconds: float = 40.0
    burst_factor: float = 1.0
    """Factor on the request rate in the first `burst_seconds` of every `burst_every` seconds."""
    burst_every: float = 10.0
    burst_seconds: float = 3.0
    fault_every: float = 9.0
    """Period in seconds: each server is faulty for the first `fault_seconds` of its periods, which
    start at a random phase."""
    fault_seconds: float = 2.7
    fault_chance: float = 1.0
    """Probability that a server is faulty in a period."""
    prone_share: float = 1.0
    """Part of the servers that are ever faulty."""
    fault_share: float = 0.75
    """Part of the requests that a faulty server fails at once."""
    shed_share: float = 0.0
    """Part of the requests that every server refuses, from `shed_from` on for `shed_seconds`."""
    shed_from: float = 10.0
    shed_seconds: float = 8.5
    returns: int = 0
    """How often a caller retries, after the given retry-after, when refused as not run."""
    patience: float = 6.0
    """Seconds that a caller waits in total."""
    unlucky_share: float = 0.012
    """Part of the requests that fail without a server fault, after their work."""

    def is_shed(self, now: float, random: Random) -> bool:
        """Return whether a server refuses a request that reaches it now; draws a random number."""
        shedding = self.shed_from <= now < self.shed_from + self.shed_seconds
        return shedding and random.random() < self.shed_share

    def find_rate(self, now: float) -> float:
        """Return the requests per second at a time."""
        in_burst = now % self.burst_every < self.burst_seconds
        return self.requests_a_second * (self.burst_factor if in_burst else 1.0)


@dataclass
class Served:
    """How the callers' requests ended, and the latencies of the successful ones."""

    ends: Counter[str] = field(default_factory=Counter)
    seconds: list[float] = field(default_factory=list)
    arrivals: int = 0

    @property
    def failed_share(self) -> float:
        """Return the part of all requests that weren't served."""
        return 1.0 - self.ends["success"] / sum(self.ends.values())

    def find_share_within(self, seconds: float) -> float:
        """Return the part of all requests that were served within `seconds`."""
        return sum(taken <= seconds for taken in self.seconds) / sum(self.ends.values())

    def find_quantile(self, share: float) -> float:
        """Return a quantile of the latency of successful requests, in seconds."""
        ordered = sorted(self.seconds)
        return ordered[int(share * (len(ordered) - 1))]


@dataclass
class Caller:
    """A caller that waits for one answer, over all its tries."""

    arrived: float
    idempotent: bool
    returns: int = 0


class SimulatedServer:
    """A server with slots, a queue, and recurring faults."""

    def __init__(self, load: Load, random: Random) -> None:
        self._load = load
        self._random = random
        self._phase = random.random() * load.fault_every
        self._draws: list[float] = []
        self.is_prone = True
        self.running = 0
        self.waiting: deque[Callable[[], None]] = deque()

    def is_faulty(self, now: float) -> bool:
        """Return whether the server is faulty at this time."""
        load = self._load
        if not self.is_prone:
            return False
        number, moment = divmod(now + self._phase, load.fault_every)
        while len(self._draws) <= number:
            self._draws.append(self._random.random())
        return moment < load.fault_seconds and self._draws[int(number)] < load.fault_chance


class FleetSimulation:
    """Runs the decisions of all instances for one service with the same servers."""

    def __init__(self, load: Load, profile: Profile, seed: int = 3) -> None:
        self._load = load
        self._random = Random(seed)
        self._numbers = count()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._now = 0.0
        self.served = Served()
        self._callers: dict[RequestId, Caller] = {}
        announced = [
            replace(make_server(index), failure_domain=FailureDomain(f"d{index % load.domains}"))
            for index in range(load.servers)
        ]
        self._servers = {
            server.server_id: SimulatedServer(load, self._random) for server in announced
        }
        for server in announced[round(load.prone_share * load.servers) :]:
            self._servers[server.server_id].is_prone = False
        self._domains = [f"d{index % load.domains}" for index in range(load.instances)]
        self._instances = [
            ServiceTraffic(
                profile,
                FailureDomain(domain),
                Random(seed + index),
                SERVICE,
                InstanceId(f"e{index}"),
                1,
            )
            for index, domain in enumerate(self._domains)
        ]
        for instance in self._instances:
            instance.replace_entry_count(load.instances)
            instance.replace_servers(announced, 0.0)

    def run(self) -> Served:
        """Run the simulation and return how the requests ended."""
        self._after(0.0, self._arrive)
        self._after(LOAD_SECONDS, self._share_loads)
        while self._events:
            self._now, _, event = heappop(self._events)
            event()
        return self.served

    def _after(self, seconds: float, event: Callable[[], None]) -> None:
        heappush(self._events, (self._now + seconds, next(self._numbers), event))

    def _arrive(self) -> None:
        if self._now >= self._load.seconds:
            return
        rate = self._load.find_rate(self._now)
        self._after(self._random.expovariate(rate), self._arrive)
        instance = self._random.choice(self._instances)
        name = f"r{next(self._numbers)}"
        idempotent = self._random.random() < self._load.idempotent_share
        self._send_request(Caller(self._now, idempotent), instance, name)

    def _send_request(self, caller: Caller, instance: ServiceTraffic, name: str) -> None:
        seconds = min(3.0, caller.arrived + self._load.patience - self._now)
        request = make_request(name, self._now, idempotent=caller.idempotent, seconds=seconds)
        self._callers[request.request_id] = caller
        self._apply_decision(instance, instance.offer(request, self._now))

    def _refuse(self, refusal: Refusal) -> None:
        """Have the caller retry after `retry_after`, at any instance, if it has time left."""
        caller = self._callers[refusal.request.request_id]
        back = self._now + refusal.retry_after
        caller.returns += 1
        if caller.returns > self._load.returns or back > caller.arrived + self._load.patience:
            self.served.ends["refused"] += 1
            return
        instance = self._random.choice(self._instances)
        name = f"r{next(self._numbers)}"
        self._after(refusal.retry_after, lambda: self._send_request(caller, instance, name))

    def _apply_decision(self, instance: ServiceTraffic, decision: Decision) -> None:
        if isinstance(decision, Refusal):
            self._refuse(decision)
        elif isinstance(decision, Dispatch):
            self.served.arrivals += 1
            self._after(WAY_SECONDS, lambda: self._reach(instance, decision))

    def _reach(self, instance: ServiceTraffic, dispatch: Dispatch) -> None:
        server = self._servers[dispatch.server.server_id]

        def run() -> None:
            self._work(instance, dispatch, server)

        if self._load.is_shed(self._now, self._random):
            self._end(instance, dispatch, OutcomeKind.REFUSED)
        elif server.is_faulty(self._now) and self._random.random() < self._load.fault_share:
            self._end(instance, dispatch, OutcomeKind.FAILURE)
        elif server.running < self._load.slots:
            run()
        elif len(server.waiting) < QUEUE:
            server.waiting.append(run)
        else:
            self._end(instance, dispatch, OutcomeKind.REFUSED)

    def _work(self, instance: ServiceTraffic, dispatch: Dispatch, server: SimulatedServer) -> None:
        server.running += 1
        work = self._load.work_seconds * self._random.lognormvariate(0.0, self._load.work_spread)
        unlucky = self._random.random() < self._load.unlucky_share

        def finish() -> None:
            server.running -= 1
            if server.waiting:
                server.waiting.popleft()()
            kind = OutcomeKind.FAILURE if unlucky else OutcomeKind.SUCCESS
            self._end(instance, dispatch, kind)

        self._after(work, finish)

    def _end(self, instance: ServiceTraffic, dispatch: Dispatch, kind: OutcomeKind) -> None:
        self._after(WAY_SECONDS, lambda: self._answer(instance, dispatch, kind))

    def _answer(self, instance: ServiceTraffic, dispatch: Dispatch, kind: OutcomeKind) -> None:
        outcome = Outcome(kind, self._now - dispatch.started)
        for released in instance.finish(dispatch, outcome, self._now):
            self._apply_decision(instance, released)
        for notice in instance.pop_notices():
            self._notify_others(notice)
        again = kind is OutcomeKind.REFUSED or (
            kind is OutcomeKind.FAILURE and dispatch.request.idempotent
        )
        decision = instance.retry(dispatch, outcome, self._now) if again else None
        if isinstance(decision, Dispatch):
            self._apply_decision(instance, decision)
            return
        if isinstance(decision, Refusal) and kind is OutcomeKind.REFUSED:
            self._refuse(decision)
            return
        self.served.ends[kind.value] += 1
        if kind is OutcomeKind.SUCCESS:
            arrived = self._callers[dispatch.request.request_id].arrived
            self.served.seconds.append(self._now - arrived)

    def _notify_others(self, notice: Notice) -> None:
        def apply() -> None:
            for instance in self._instances:
                instance.apply_notice(notice, self._now)

        self._after(NOTICE_SECONDS, apply)

    def _share_loads(self) -> None:
        if self._now >= self._load.seconds:
            return
        self._after(LOAD_SECONDS, self._share_loads)
        sums: dict[str, Counter[ServerId]] = {}
        for domain, instance in zip(self._domains, self._instances, strict=True):
            sums.setdefault(domain, Counter()).update(instance.list_in_progress())
        for domain, instance in zip(self._domains, self._instances, strict=True):
            instance.advance(self._now)
            instance.apply_loads(sums[domain])
