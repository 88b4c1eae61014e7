"""Simulates, in virtual time, instances with servers that ask for limits or rests, or leave."""

from collections.abc import Callable
from dataclasses import dataclass, field
from heapq import heappop, heappush
from itertools import count
from random import Random

from decisions_helpers import SERVICE, make_request, make_server

from persimmonusher_decisions.advice import ServerAdvice
from persimmonusher_decisions.notices import Notice
from persimmonusher_decisions.traffic import ServiceTraffic
from persimmonusher_decisions.work import Decision, Dispatch, Outcome, OutcomeKind, Refusal
from persimmonusher_model.identifiers import FailureDomain, InstanceId, ServerId
from persimmonusher_model.profile import Profile

WAY_SECONDS = 0.002
WORK_SECONDS = 0.1
LONGEST_NOTICE_SECONDS = 0.3
ADVANCE_SECONDS = 0.25
SILENT = ServerAdvice()


@dataclass(frozen=True)
class Scene:
    """The size of the fleet, its load, and its disturbances."""

    instances: int = 36
    servers: int = 10
    requests_a_second: float = 1.0
    """At each instance."""
    burst_at: float = float("inf")
    burst_factor: float = 1.0
    """Factor on the request rate from `burst_at` on."""
    seconds: float = 20.0
    lost_share: float = 0.0
    """Part of the notices that are lost, at each receiver independently."""
    cut_share: float = 0.0
    """Part of the instances that receive no notices at all."""
    counted_share: float = 1.0
    """Part of the instances that each instance counts as live, from second 6 on."""
    disturbances: int = 0
    """Number of restarts and freezes of instances, at random times."""


@dataclass
class Arrival:
    """A request that reached a server."""

    server_id: ServerId
    instance: int
    at: float


@dataclass(frozen=True)
class Rest:
    """A refusal that asked an instance for rest; `at` is when the instance received it."""

    server_id: ServerId
    instance: int
    at: float
    seconds: float


@dataclass
class Seen:
    """The events that servers, instances and callers saw."""

    arrivals: list[Arrival] = field(default_factory=list)
    informed_at: dict[ServerId, dict[int, float]] = field(default_factory=dict)
    """When each instance first received an answer by which the server asks for something."""
    rests: list[Rest] = field(default_factory=list)
    disturbed: set[int] = field(default_factory=set)
    """Instances that were restarted or frozen; assertions leave them out."""
    refused: int = 0
    served: int = 0

    def list_arrivals(self, server_id: ServerId) -> list[Arrival]:
        """List the requests that reached a server."""
        return [arrival for arrival in self.arrivals if arrival.server_id == server_id]

    def list_informed_arrivals(self, server_id: ServerId, told_seconds: float) -> list[Arrival]:
        """List the requests from instances that had the server's answer `told_seconds` before."""
        informed_at = self.informed_at.get(server_id, {})
        never = float("inf")
        return [
            arrival
            for arrival in self.list_arrivals(server_id)
            if arrival.at >= informed_at.get(arrival.instance, never) + told_seconds
            and arrival.instance not in self.disturbed
        ]


class AskingServers:
    """Runs the decisions of all instances; `advise` returns what a server's answers ask for."""

    def __init__(
        self,
        scene: Scene,
        profile: Profile,
        advise: Callable[[ServerId, float], ServerAdvice],
        seed: int,
    ) -> None:
        self._scene = scene
        self._advise = advise
        self._random = Random(seed)
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = count()
        self._now = 0.0
        self.seen = Seen()
        self._profile = profile
        self._servers = [make_server(index) for index in range(scene.servers)]
        self._instances = [self._make_instance(index) for index in range(scene.instances)]
        self._frozen_until = [0.0] * scene.instances
        cut = int(scene.cut_share * scene.instances)
        self._receivers = self._random.sample(range(scene.instances), scene.instances - cut)

    def _make_instance(self, index: int) -> ServiceTraffic:
        traffic = ServiceTraffic(
            self._profile,
            FailureDomain(f"d{index % 4}"),
            Random(self._random.random()),
            SERVICE,
            InstanceId(f"e{index}"),
            1,
        )
        traffic.replace_entry_count(self._scene.instances)
        traffic.replace_servers(self._servers, self._now)
        return traffic

    def run(self) -> Seen:
        """Run the simulation to its end."""
        for _ in range(self._scene.disturbances):
            self._after(self._random.uniform(0.0, self._scene.seconds), self._disturb)
        self._after(0.0, self._arrive)
        self._after(ADVANCE_SECONDS, self._advance)
        self._after(6.0, self._miscount)
        while self._events:
            self._now, _, event = heappop(self._events)
            event()
        return self.seen

    def _after(self, seconds: float, event: Callable[[], None]) -> None:
        heappush(self._events, (self._now + seconds, next(self._numbers), event))

    def _arrive(self) -> None:
        if self._now >= self._scene.seconds:
            return
        rate = self._scene.requests_a_second * self._scene.instances
        if self._now >= self._scene.burst_at:
            rate *= self._scene.burst_factor
        self._after(self._random.expovariate(rate), self._arrive)
        index = self._random.randrange(self._scene.instances)
        if self._frozen_until[index] > self._now:
            return
        request = make_request(
            f"r{next(self._numbers)}", self._now, idempotent=self._random.random() < 0.5
        )
        self._apply_decision(index, self._instances[index].offer(request, self._now))

    def _disturb(self) -> None:
        """Restart an instance or freeze it for some seconds, and mark it as disturbed."""
        index = self._random.randrange(self._scene.instances)
        self.seen.disturbed.add(index)
        if self._random.random() < 0.5:
            self._instances[index] = self._make_instance(index)
        else:
            self._frozen_until[index] = self._now + self._random.uniform(0.3, 4.0)

    def _apply_decision(self, index: int, decision: Decision) -> None:
        if isinstance(decision, Dispatch):
            self._after(WAY_SECONDS, lambda: self._arrive_at_server(index, decision))
        elif isinstance(decision, Refusal):
            self.seen.refused += 1

    def _arrive_at_server(self, index: int, dispatch: Dispatch) -> None:
        server_id = dispatch.server.server_id
        self.seen.arrivals.append(Arrival(server_id, index, self._now))
        # One request in fifty fails, and is retried if it is idempotent.
        kind = OutcomeKind.FAILURE if self._random.random() < 0.02 else OutcomeKind.SUCCESS
        advice = self._advise(server_id, self._now + WORK_SECONDS)
        if advice.rest_seconds:
            kind = OutcomeKind.REFUSED
            self._after(0.0, lambda: self._answer(index, dispatch, kind, advice))
        else:
            self._after(WORK_SECONDS, lambda: self._answer(index, dispatch, kind, advice))

    def _answer(
        self, index: int, dispatch: Dispatch, kind: OutcomeKind, advice: ServerAdvice
    ) -> None:
        if self._frozen_until[index] > self._now:
            again = self._frozen_until[index] - self._now
            self._after(again, lambda: self._answer(index, dispatch, kind, advice))
            return
        if advice != SILENT:
            informed_at = self.seen.informed_at.setdefault(dispatch.server.server_id, {})
            informed_at.setdefault(index, self._now)
        if advice.rest_seconds:
            rest = Rest(dispatch.server.server_id, index, self._now, advice.rest_seconds)
            self.seen.rests.append(rest)
        instance = self._instances[index]
        instance.apply_advice(dispatch, advice, self._now)
        outcome = Outcome(kind, self._now - dispatch.started)
        for released in instance.finish(dispatch, outcome, self._now):
            self._apply_decision(index, released)
        for notice in instance.pop_notices():
            self._notify_others(notice)
        if kind is OutcomeKind.SUCCESS:
            self.seen.served += 1
        elif dispatch.request.idempotent or kind is OutcomeKind.REFUSED:
            again = instance.retry(dispatch, outcome, self._now)
            if isinstance(again, Dispatch) or kind is OutcomeKind.REFUSED:
                self._apply_decision(index, again)

    def _notify_others(self, notice: Notice) -> None:
        for index in self._receivers:
            if self._random.random() >= self._scene.lost_share:
                late = max(0.0, self._frozen_until[index] - self._now)
                seconds = late + self._random.uniform(0.003, LONGEST_NOTICE_SECONDS)
                self._after(seconds, lambda index=index: self._receive_notice(index, notice))

    def _receive_notice(self, index: int, notice: Notice) -> None:
        self._instances[index].apply_notice(notice, self._now)

    def _advance(self) -> None:
        if self._now >= self._scene.seconds:
            return
        self._after(ADVANCE_SECONDS, self._advance)
        for index, instance in enumerate(self._instances):
            if self._frozen_until[index] > self._now:
                continue
            for decision in instance.advance(self._now):
                self._apply_decision(index, decision)

    def _miscount(self) -> None:
        counted = int(self._scene.counted_share * self._scene.instances)
        for instance in self._instances:
            instance.replace_entry_count(counted)
