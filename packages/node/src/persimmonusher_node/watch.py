"""The clockwork of the data plane: deadlines, callers that left, waiting requests, idle sockets.

One green thread looks at all requests in flight instead of a timer and a socket watch for each:
most requests are over within one period and then cost nothing.
"""

from typing import Final

from eventlet import sleep, spawn
from eventlet.greenthread import GreenThread
from structlog import get_logger

from persimmonusher_decisions.work import OutcomeKind
from persimmonusher_model.clock import Clock
from persimmonusher_node.component import Component
from persimmonusher_node.forwarding import Forwarder
from persimmonusher_node.services import ServiceBook
from persimmonusher_node.upstream import Upstream

TICK_SECONDS: Final = 0.05
"""How late a queued request may be refused, or the deadline of a trickling answer enforced; a
silent server's ends with its socket's timeout. Shorter, an idle instance is busy with its ticks."""
CALLER_CHECK_TICKS: Final = 2
"""A caller that left is noticed within 0.1 s; each check is one system call a request."""
HOUSEKEEPING_TICKS: Final = 20

_log = get_logger(__name__)


class Watch(Component):
    """Drives `ServiceBook` and ends requests whose deadline passed or whose caller left."""

    def __init__(
        self, services: ServiceBook, forwarder: Forwarder, upstream: Upstream, clock: Clock
    ) -> None:
        self._services = services
        self._forwarder = forwarder
        self._upstream = upstream
        self._clock = clock
        self._thread: GreenThread | None = None

    def start(self) -> None:
        """Begin to tick."""
        self._thread = spawn(self._run)

    def stop(self) -> None:
        """End the ticks and close the kept connections."""
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
                # Without its ticks the instance would hold late requests for ever, so one fault
                # must not end them.
                _log.exception("tick failed")
            ticks += 1

    def tick(self, ticks: int) -> None:
        """Do the work of one tick."""
        housekeeping = ticks % HOUSEKEEPING_TICKS == 0
        self._end_late_runs()
        if ticks % CALLER_CHECK_TICKS == 0:
            self._end_left_runs()
        if housekeeping:
            self._services.count_entries()
            self._upstream.expire()
        self._services.advance(self._forwarder.deliver, housekeeping)

    def _end_late_runs(self) -> None:
        now = self._clock.monotonic()
        for run in self._forwarder.list_runs():
            if now >= run.request.deadline:
                run.stop(OutcomeKind.TIMEOUT)

    def _end_left_runs(self) -> None:
        now = self._clock.monotonic()
        oldest = now - TICK_SECONDS
        for run in self._forwarder.list_runs():
            if run.call.arrived < oldest and run.call.has_caller_left():
                run.leave(now)
