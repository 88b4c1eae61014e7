"""What an entry knows of the fleet's work in progress and costs, and when that is too old."""

from collections import OrderedDict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Final

import structlog

from persimmonusher_decisions.costs import CostSample
from persimmonusher_decisions.server_work import WorkInProgress
from persimmonusher_model.identifiers import ServerId, ServiceName
from persimmonusher_node.ages import bound_age
from persimmonusher_node.line_budget import LineBudget
from persimmonusher_node.tiers.load_wire import decode_sample, unpack_loads
from persimmonusher_protocol import control_pb2

logger = structlog.get_logger(__name__)

MAX_AGE_SECONDS: Final = 2.0
"""Age above which the work isn't used: placement is then as without it."""
MAX_KINDS: Final = 256
"""Costs held for one service; the one that was updated longest ago is dropped."""
MAX_SERVICES: Final = 256
"""Services of which costs are held; an entry that serves more learns the others by itself."""


@dataclass(frozen=True)
class FleetLoads:
    """The work in progress by server, from all entries of the fleet."""

    work: Mapping[ServerId, WorkInProgress]
    taken_at: float
    """Reading of the own clock when the oldest part was taken, or before."""


def decode_fleet_loads(
    update: control_pb2.FollowUpdate, delay: float, now: float
) -> FleetLoads | None:
    """Return the loads in an update that was on its way for `delay` seconds.

    None if it has none, or none that can be read.
    """
    if not update.has_fleet_loads:
        return None
    work = unpack_loads(update.fleet_loads, update.packed_fleet_loads)
    if work is None:
        return None
    if update.fleet_loads_left_out_ms:
        work = add_estimates(work, update.loads, update.fleet_loads_left_out_ms / 1000.0)
    taken_at = now - delay - update.fleet_loads_age_ms / 1000.0
    return FleetLoads({ServerId(server): one for server, one in work.items()}, taken_at)


def add_estimates(
    work: Mapping[str, WorkInProgress], loads: Iterable[control_pb2.Load], most_seconds: float
) -> dict[str, WorkInProgress]:
    """Return the work with estimates for servers that were left out as they have too little.

    `loads` are the requests in progress of the entries that follow the same keeper, which are all
    that is known of these servers. Each request counts as the listed ones do on average.
    """
    requests = sum(one.requests for one in work.values())
    mean = sum(one.seconds for one in work.values()) / max(1, requests)
    estimates = {
        load.server: WorkInProgress(load.in_progress, min(most_seconds, load.in_progress * mean))
        for load in loads
        if load.server not in work
    }
    return {**estimates, **work}


class FleetLoadsWatch:
    """The age of the loads received last; logs when they become too old, and current again."""

    def __init__(self, lines: LineBudget) -> None:
        self._lines = lines
        self._taken_at = float("-inf")
        self._needed_since: float | None = None
        """Since when this entry has had work in progress; None while it has none."""
        self._stale_since: float | None = None
        self.servers = 0
        """Servers with work in the loads received last."""

    def find_age(self, now: float) -> float:
        """Return the age of the oldest part in seconds; infinite before the first loads."""
        return now - self._taken_at

    def describe(self, now: float) -> tuple[float, int]:
        """Return the age in seconds, at most an hour, and the number of servers with work."""
        return bound_age(self.find_age(now)), self.servers

    def record_need(self, has_work: bool, now: float) -> None:
        """Record whether this entry has work in progress.

        Without any, no keeper needs to send loads, and old ones are no fault.
        """
        if not has_work:
            self._needed_since = None
        elif self._needed_since is None:
            self._needed_since = now
        self._check(now)

    def try_record(self, loads: FleetLoads, now: float) -> bool:
        """Return whether loads may be used, and if so record them."""
        if now - loads.taken_at > MAX_AGE_SECONDS:
            return False
        self._taken_at = loads.taken_at
        self.servers = len(loads.work)
        self._check(now)
        return True

    def _check(self, now: float) -> None:
        is_current = self.find_age(now) <= MAX_AGE_SECONDS
        if is_current and self._stale_since is not None:
            seconds = round(now - self._stale_since, 3)
            self._stale_since = None
            self._log("fleet-loads-current", seconds=seconds, servers=self.servers)
        needed = self._needed_since is not None and now - self._needed_since > MAX_AGE_SECONDS
        if not is_current and needed and self._stale_since is None:
            self._stale_since = now
            age = self.find_age(now)
            self._log("fleet-loads-stale", age=None if age == float("inf") else round(age, 3))

    def _log(self, event: str, **fields: float | None) -> None:
        if self._lines.try_acquire():
            logger.warning(event, left_out=self._lines.pop_left_out_count(), **fields)


class FleetCosts:
    """The costs that keepers sent, kept for services that get their first request here later."""

    def __init__(self) -> None:
        self._services: OrderedDict[ServiceName, OrderedDict[str, CostSample]] = OrderedDict()

    def record(
        self, costs: Iterable[control_pb2.CostSample]
    ) -> dict[ServiceName, list[CostSample]]:
        """Record costs and return them by service."""
        by_service: dict[ServiceName, list[CostSample]] = {}
        for sample in map(decode_sample, costs):
            by_service.setdefault(sample.service, []).append(sample)
            kinds = self._services.setdefault(sample.service, OrderedDict())
            self._services.move_to_end(sample.service)
            kinds[sample.kind] = sample
            kinds.move_to_end(sample.kind)
            if len(kinds) > MAX_KINDS:
                kinds.popitem(last=False)
            if len(self._services) > MAX_SERVICES:
                self._services.popitem(last=False)
        return by_service

    def list_all(self, service: ServiceName) -> list[CostSample]:
        """Return all costs held of a service."""
        return list(self._services.get(service, {}).values())
