"""Connects an entry's services with the work and costs that keepers collect."""

import asyncio
from collections.abc import Callable, Iterable, Mapping
from heapq import nlargest
from typing import Final
from weakref import WeakSet

from persimmonusher_model.clock import Clock
from persimmonusher_model.identifiers import ServerId
from persimmonusher_node.component import Component
from persimmonusher_node.line_budget import LineBudget
from persimmonusher_node.loop import start_coroutine
from persimmonusher_node.services import LiveService
from persimmonusher_node.tiers.cost_sums import CostQueue
from persimmonusher_node.tiers.fleet_loads import FleetCosts, FleetLoadsWatch, decode_fleet_loads
from persimmonusher_node.tiers.keeper_port import ReportedLoads
from persimmonusher_protocol import control_pb2

MAX_REPORT_SERVERS: Final = 200
"""Servers of which the work is reported, those with the most first: 600 bytes in a report. The
keeper estimates the rest from the work that others report there."""
MAX_REPORT_COST_BYTES: Final = 400
"""Costs in one report: at 2.5 reports a second these are 1 KB/s."""
SAMPLE_SECONDS: Final = 0.5
"""Interval at which the age of the loads is checked, also while no keeper is followed."""
LINES_PER_SECOND: Final = 1
"""Log lines about the age of the loads."""


class EntryWork(Component):
    """Reads work and costs from the services that are work-aware, and applies those of the fleet.

    The other services neither report nor get any.
    """

    def __init__(self, list_services: Callable[[], Iterable[LiveService]], clock: Clock) -> None:
        self._list_services = list_services
        self._clock = clock
        self._unsent = CostQueue()
        self._costs = FleetCosts()
        self._informed: WeakSet[LiveService] = WeakSet()
        """Services that got all costs held when they came into use."""
        self._task: asyncio.Task[None] | None = None
        self.watch = FleetLoadsWatch(LineBudget(clock, LINES_PER_SECOND))

    def start(self) -> None:
        """Start to watch the age of the loads."""
        self._task = start_coroutine(self._sample())

    def stop(self) -> None:
        """Stop watching."""
        if self._task is not None:
            self._task.cancel()
            self._task = None

    async def _sample(self) -> None:
        while True:
            has_work = any(live.traffic.list_work() for live in self._list_work_aware())
            self.watch.record_need(has_work, self._clock.monotonic())
            await asyncio.sleep(SAMPLE_SECONDS)

    def make_report(self, in_progress: Mapping[ServerId, int]) -> ReportedLoads:
        """Return the report to the keeper with the work and costs of work-aware services."""
        services = self._list_work_aware()
        if not services:
            return ReportedLoads(in_progress)
        work: dict[ServerId, float] = {}
        for live in services:
            work.update(live.traffic.list_work())
            self._unsent.add(live.traffic.pop_cost_samples())
        if len(work) > MAX_REPORT_SERVERS:
            work = {
                server: work[server]
                for server in nlargest(MAX_REPORT_SERVERS, work, work.__getitem__)
            }
        return ReportedLoads(in_progress, work, self._unsent.pop(MAX_REPORT_COST_BYTES))

    def apply_update(self, update: control_pb2.FollowUpdate, delay: float) -> None:
        """Apply the loads and costs of an update that was on its way for `delay` seconds."""
        self._apply_costs(update)
        now = self._clock.monotonic()
        loads = decode_fleet_loads(update, delay, now)
        if loads is None or not self.watch.try_record(loads, now):
            return
        for live in self._list_work_aware():
            live.traffic.apply_work(loads.work, now - loads.taken_at)

    def _apply_costs(self, update: control_pb2.FollowUpdate) -> None:
        changed = self._costs.record(update.costs)
        for live in self._list_work_aware():
            if live not in self._informed:
                self._informed.add(live)
                live.traffic.apply_cost_samples(self._costs.list_all(live.name))
            elif live.name in changed:
                live.traffic.apply_cost_samples(changed[live.name])

    def _list_work_aware(self) -> list[LiveService]:
        return [live for live in self._list_services() if live.profile.work_aware]
