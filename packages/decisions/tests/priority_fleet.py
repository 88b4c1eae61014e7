"""A fleet simulation whose requests have priorities and organisations."""

from collections import Counter
from dataclasses import replace

from decisions_helpers import make_request
from fleet_simulation import Caller, FleetSimulation, Load
from heavy_loads import PROFILE

from persimmonusher_decisions.traffic import ServiceTraffic
from persimmonusher_decisions.work import Dispatch, OutcomeKind, Refusal, RefusalReason
from persimmonusher_model.identifiers import CallerId
from persimmonusher_model.profile import Profile

URGENT_FIRST = PROFILE.model_copy(update={"urgent_first": True})
SURGE_ORGANISATION = "o0"


class PriorityFleet(FleetSimulation):
    """Counts, from `learned` seconds on, the requests offered and served by priority."""

    def __init__(
        self,
        load: Load,
        weights: tuple[float, ...],
        profile: Profile = URGENT_FIRST,
        seed: int = 3,
        learned: float = 8.0,
        surge: float = 1.0,
        surge_from: float = 0.0,
    ) -> None:
        super().__init__(load, profile, seed)
        self._weights = weights
        self._learned = learned
        self._surge = surge
        self._surge_from = surge_from
        self.offered: Counter[str] = Counter()
        self.good: Counter[str] = Counter()
        self.ended: Counter[int] = Counter()
        self.gate_refusals = 0
        self.retry_after: list[float] = []

    def find_share(self, name: str) -> float:
        """Return the served part of the requests of a priority (`p1`) or organisation (`o1`)."""
        return self.good[name] / self.offered[name]

    def find_rate(self, begin: int, end: int) -> float:
        """Return the requests served per second between two times."""
        return sum(self.ended[second] for second in range(begin, end)) / (end - begin)

    def _send_request(self, caller: Caller, instance: ServiceTraffic, name: str) -> None:
        priority = self._random.choices(range(len(self._weights)), self._weights)[0]
        # Ten organisations; one sends `surge` times as much from `surge_from` on.
        organisation = self._random.choices(range(10), (self._find_surge(), *[1.0] * 9))[0]
        seconds = min(3.0, caller.arrived + self._load.patience - self._now)
        request = replace(
            make_request(name, self._now, idempotent=caller.idempotent, seconds=seconds),
            priority=priority,
            caller=CallerId(f"o{organisation}"),
        )
        self._callers[request.request_id] = caller
        self._count(request.priority, request.caller, self.offered)
        self._apply_decision(instance, instance.offer(request, self._now))

    def _find_surge(self) -> float:
        return self._surge if self._now >= self._surge_from else 1.0

    def _arrive(self) -> None:
        usual = self._load
        total = (self._find_surge() + 9.0) / 10.0
        self._load = replace(usual, requests_a_second=total * usual.requests_a_second)
        super()._arrive()
        self._load = usual

    def _refuse(self, refusal: Refusal) -> None:
        is_counted = self._now >= self._learned
        if is_counted and refusal.reason is RefusalReason.LESS_URGENT:
            self.gate_refusals += 1
            self.retry_after.append(refusal.retry_after)
        super()._refuse(refusal)

    def _answer(self, instance: ServiceTraffic, dispatch: Dispatch, kind: OutcomeKind) -> None:
        if kind is OutcomeKind.SUCCESS:
            self.ended[int(self._now)] += 1
            request = dispatch.request
            if request.arrived >= self._learned:
                self.good[f"p{request.priority}"] += 1
                self.good[request.caller] += 1
        super()._answer(instance, dispatch, kind)

    def _count(self, priority: int, caller: str, counts: Counter[str]) -> None:
        if self._now >= self._learned:
            counts[f"p{priority}"] += 1
            counts[caller] += 1
