"""The data plane's periodic work: deadlines, disconnected callers, queued requests, idle sockets.

One green thread checks all requests in flight, instead of a timer and a socket watch for each: most
requests end within one period and then cost nothing.
"""

from collections.abc import Sequence
from typing import Final

from eventlet import sleep, spawn
from eventlet.greenthread import GreenThread
from structlog import get_logger

from persimmonusher_decisions.work import OutcomeKind
from persimmonusher_model.clock import Clock
from persimmonusher_node.component import Component
from persimmonusher_node.forwarding import Forwarder
from persimmonusher_node.service_log import ServiceLog
from persimmonusher_node.services import ServiceBook
from persimmonusher_node.upstream import Upstream

TICK_SECONDS: Final = 0.05
"""Longest delay in refusing a queued request or in enforcing the deadline of an answer that arrives
slowly; for a silent server, its socket's timeout enforces the deadline. A shorter interval would
keep an idle instance busy with ticks."""
CALLER_CHECK_TICKS: Final = 2
"""A disconnected caller is noticed within 0.1 s; each check costs one system call per request."""
PROBE_TICKS: Final = 5
"""Lost ways to servers are probed this often, each of them more seldom."""
HOUSEKEEPING_TICKS: Final = 20

_log = get_logger(__name__)


class Watch(Component):
    """Drives `ServiceBook`; ends requests whose deadline passed or whose caller disconnected."""

    def __init__(
        self,
        services: ServiceBook,
        forwarder: Forwarder,
        upstream: Upstream,
        logs: Sequence[ServiceLog],
        clock: Clock,
    ) -> None:
        self._services = services
        self._forwarder = forwarder
        self._upstream = upstream
        self._logs = logs
        self._clock = clock
        self._thread: GreenThread | None = None

    def start(self) -> None:
        """Start the periodic ticks."""
        self._thread = spawn(self._run)

    def stop(self) -> None:
        """End the ticks and close idle connections to backend servers."""
        if self._thread is not None:
            self._thread.kill()
            self._thread = None
        self._upstream.close()

    def _run(self) -> None:
        ticks = 0
        while True:
            sleep(TICK_SECONDS)
            try:
                self.tick(ticks)
            except Exception:
                # One fault must not end the ticks: without them the instance would hold requests
                # past their deadline forever.
                _log.exception("tick failed")
            ticks += 1

    def tick(self, ticks: int) -> None:
        """Do the work of one tick; `ticks` is its number."""
        is_housekeeping = ticks % HOUSEKEEPING_TICKS == 0
        self._end_expired_runs()
        if ticks % CALLER_CHECK_TICKS == 0:
            self._end_abandoned_runs()
        if ticks % PROBE_TICKS == 0:
            self._upstream.ways.probe()
        if is_housekeeping:
            self._services.refresh_entry_count()
            self._upstream.expire()
            for log in self._logs:
                log.write()
        self._services.advance(self._forwarder.deliver_decision, is_housekeeping)

    def _end_expired_runs(self) -> None:
        now = self._clock.monotonic()
        for run in self._forwarder.list_runs():
            if now >= run.request.deadline:
                run.stop(OutcomeKind.TIMEOUT)

    def _end_abandoned_runs(self) -> None:
        now = self._clock.monotonic()
        latest_arrival = now - TICK_SECONDS
        for run in self._forwarder.list_runs():
            if run.call.arrived < latest_arrival and run.call.has_caller_left():
                run.handle_departure(now)
