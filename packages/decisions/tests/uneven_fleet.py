"""The simulated fleet with uneven requests and servers, and sums of work that travel late."""

from collections import Counter
from dataclasses import dataclass, replace
from math import exp
from random import Random
from typing import Any

from decisions_helpers import SERVICE
from fleet_simulation import QUEUE, FleetSimulation, Load, SimulatedServer

from persimmonusher_decisions.costs import SERVER_PREFIX, CostSample
from persimmonusher_decisions.server_work import WorkInProgress
from persimmonusher_decisions.traffic import ServiceTraffic
from persimmonusher_decisions.work import Dispatch, OutcomeKind, Request
from persimmonusher_model.identifiers import CallerId, ServerId
from persimmonusher_model.profile import Profile

REPORT_SECONDS = 0.5
WARM_UP_SECONDS = 8.0
"""Time before waits and loads are counted, in which the fleet learns costs and speeds."""


@dataclass(frozen=True)
class Route:
    """The requests of one route."""

    name: str
    share: float
    seconds: float


@dataclass(frozen=True)
class UnevenLoad(Load):
    """Demand as a share of capacity, requests that differ in cost, servers that differ in speed."""

    instances: int = 93
    domains: int = 3
    servers: int = 33
    utilization: float = 0.6
    routes: tuple[Route, ...] = (Route("short", 0.8, 0.38), Route("long", 0.2, 1.9))
    tail_share: float = 0.01
    tail_factor: float = 5.0
    speeds: tuple[float, ...] = (1.0, 0.7, 1.3, 0.85, 1.15)
    slots_of: tuple[int, ...] = (4, 6)
    full_factors: tuple[float, ...] = (1.0, 1.0, 1.3)
    """Factor on the service time while all slots of a server are taken, for every third server."""
    fault_seconds: float = 0.0
    seconds: float = 38.0
    state_age: float | None = 0.1
    """Age in seconds of the sums of work when they arrive; None if none arrive."""
    patience: float = 12.0

    def find_rate(self, now: float) -> float:
        slots = [self.slots_of[i % len(self.slots_of)] for i in range(self.servers)]
        speeds = [self.speeds[i % len(self.speeds)] for i in range(self.servers)]
        slowdowns = [self.full_factors[i % len(self.full_factors)] for i in range(self.servers)]
        capacity = sum(s * v / f for s, v, f in zip(slots, speeds, slowdowns, strict=True))
        mean = sum(route.share * route.seconds for route in self.routes)
        mean *= 1.0 + self.tail_share * (self.tail_factor - 1.0)
        burst = super().find_rate(now) / self.requests_a_second
        return self.utilization * capacity / mean * burst


class UnevenFleet(FleetSimulation):
    """Measures the waits at the servers and how evenly the servers are loaded."""

    _load: UnevenLoad

    def __init__(self, load: UnevenLoad, profile: Profile, seed: int = 3) -> None:
        super().__init__(load, profile, seed)
        self._work_random = Random(seed + 1_000)
        self.waits: list[float] = []
        self._slots: dict[ServerId, int] = {}
        self._speeds: dict[ServerId, float] = {}
        self._full_factors: dict[ServerId, float] = {}
        self._busy: dict[ServerId, float] = {}
        self._since: dict[ServerId, float] = {}
        self._costs: dict[str, tuple[float, float]] = {}
        announced = []
        for index, track in enumerate(self._instances[0].describe(0.0)):
            server = track.server
            self._slots[server.server_id] = load.slots_of[index % len(load.slots_of)]
            self._full_factors[server.server_id] = load.full_factors[index % len(load.full_factors)]
            self._speeds[server.server_id] = load.speeds[index % len(load.speeds)]
            announced.append(replace(server, slots=self._slots[server.server_id], sequence=2))
        for instance in self._instances:
            instance.replace_servers(announced, 0.0)
            self._wrap_offer(instance)
        self._after(0.0, self._exchange_work)

    def _wrap_offer(self, instance: Any) -> None:
        """Give each request a route and a caller before the instance decides on it."""
        offer = instance.offer

        def offer_uneven(request: Request, now: float) -> Any:
            routes = self._load.routes
            route = self._work_random.choices(routes, [route.share for route in routes])[0]
            caller = CallerId(f"o{self._work_random.randrange(40)}")
            return offer(replace(request, request_class=route.name, caller=caller), now)

        instance.offer = offer_uneven

    @property
    def wait_quantile(self) -> float:
        """Return the 99th percentile of the waits at servers, in seconds."""
        return sorted(self.waits)[int(0.99 * (len(self.waits) - 1))]

    @property
    def busiest_ratio(self) -> float:
        """Return the mean requests in progress per slot of the busiest server over the mean."""
        loads = [self._busy.get(name, 0.0) / slots for name, slots in self._slots.items()]
        return max(loads) / (sum(loads) / len(loads))

    def _count(self, name: ServerId, server: SimulatedServer) -> None:
        """Add up the requests in progress over time, before a change of them."""
        since = max(self._since.get(name, 0.0), WARM_UP_SECONDS)
        if since < self._now <= self._load.seconds:
            in_progress = server.running + len(server.waiting)
            self._busy[name] = self._busy.get(name, 0.0) + in_progress * (self._now - since)
        self._since[name] = self._now

    def _reach(self, instance: ServiceTraffic, dispatch: Dispatch) -> None:
        name = dispatch.server.server_id
        server = self._servers[name]
        reached = self._now

        def run() -> None:
            if reached > WARM_UP_SECONDS:
                self.waits.append(self._now - reached)
            self._work(instance, dispatch, server)

        self._count(name, server)
        if server.is_faulty(self._now) and self._random.random() < self._load.fault_share:
            self._end(instance, dispatch, OutcomeKind.FAILURE)
        elif server.running < self._slots[name]:
            run()
        elif len(server.waiting) < QUEUE:
            server.waiting.append(run)
        else:
            self._end(instance, dispatch, OutcomeKind.REFUSED)

    def _draw_seconds(self, dispatch: Dispatch, server: SimulatedServer) -> float:
        load, random = self._load, self._random
        name = dispatch.server.server_id
        route = next(r for r in load.routes if r.name == dispatch.request.request_class)
        seconds = route.seconds * random.lognormvariate(0.0, load.work_spread)
        if random.random() < load.tail_share:
            seconds *= load.tail_factor
        if server.running >= self._slots[name]:
            seconds *= self._full_factors[name]
        return seconds / self._speeds[name]

    def _work(self, instance: ServiceTraffic, dispatch: Dispatch, server: SimulatedServer) -> None:
        name = dispatch.server.server_id
        server.running += 1
        unlucky = self._random.random() < self._load.unlucky_share

        def finish() -> None:
            self._count(name, server)
            server.running -= 1
            if server.waiting:
                server.waiting.popleft()()
            kind = OutcomeKind.FAILURE if unlucky else OutcomeKind.SUCCESS
            self._end(instance, dispatch, kind)

        self._after(self._draw_seconds(dispatch, server), finish)

    def _exchange_work(self) -> None:
        """Sum the work and merge the costs of all instances, and send them out."""
        if self._now >= self._load.seconds:
            return
        self._after(REPORT_SECONDS, self._exchange_work)
        requests: Counter[ServerId] = Counter()
        seconds: dict[ServerId, float] = {}
        samples: list[CostSample] = []
        for instance in self._instances:
            instance.advance(self._now)
            requests.update(instance.list_in_progress())
            for name, work in instance.list_work().items():
                seconds[name] = seconds.get(name, 0.0) + work
            samples += instance.pop_cost_samples()
        age = self._load.state_age
        if age is None:
            return
        work_sums = {n: WorkInProgress(c, seconds.get(n, 0.0)) for n, c in requests.items()}
        costs = self._merge(samples)

        def apply() -> None:
            for instance in self._instances:
                instance.advance(self._now)
                instance.apply_cost_samples(costs)
                instance.apply_work(work_sums, age)

        self._after(age, apply)

    def _merge(self, samples: list[CostSample]) -> list[CostSample]:
        for kind, (count, mean) in self._costs.items():
            memory = 15.0 if kind.startswith(SERVER_PREFIX) else 4.0
            self._costs[kind] = count * exp(-REPORT_SECONDS / memory), mean
        for sample in samples:
            count, mean = self._costs.get(sample.kind, (0.0, 0.0))
            total = count + sample.count
            mean += (sample.mean_seconds - mean) * sample.count / total
            self._costs[sample.kind] = total, mean
        return [
            CostSample(SERVICE, kind, max(1, round(count)), mean)
            for kind, (count, mean) in self._costs.items()
        ]
