"""Graceful stop: fail the health check, stop accepting, let requests in flight end, then exit.

Every request in flight ends by itself at its own deadline, which is at most ten minutes, or is
answered as cut off where `stop_seconds` are over before. Any connections left after that belong to
callers that neither send nor read, and are cut off.
"""

import signal
from types import FrameType
from typing import Final

import eventlet
from eventlet.event import Event
from structlog import get_logger

from persimmonusher_model.clock import Clock
from persimmonusher_node.callers import MAX_DEADLINE_MS
from persimmonusher_node.forwarding import Forwarder
from persimmonusher_node.listener import HttpListener
from persimmonusher_node.relay_listener import RelayListener
from persimmonusher_node.settings import Settings
from persimmonusher_node.stop_progress import StopEffect

POLL_SECONDS: Final = 0.05
LAST_ANSWERS_SECONDS: Final = 0.2
"""Time to send the last answers, to requests that are still unserved at the end of a stop. Short
enough that the process still ends well before the supervisor kills it."""

_log = get_logger(__name__)


class StopSignal:
    """Turns SIGTERM and SIGINT into an event; only the first of them counts.

    A second signal does not shorten the stop: a supervisor that sends it early would otherwise cut
    off the requests that the first signal lets end. SIGKILL still ends the process at once.
    """

    def __init__(self, clock: Clock) -> None:
        self._event = Event()
        self._clock = clock
        self.signalled_at: float | None = None
        """Monotonic time of the first signal; the supervisor counts its time from there, also where
        a busy process begins to stop later."""

    def install(self) -> None:
        """Install the handlers for SIGTERM and SIGINT."""
        signal.signal(signal.SIGTERM, self._handle)
        signal.signal(signal.SIGINT, self._handle)

    def request(self) -> None:
        """Request the stop, as a signal does."""
        if self.signalled_at is None:
            self.signalled_at = self._clock.monotonic()
            # A signal handler runs between any two instructions, where a switch of green threads is
            # unsafe, so the hub sends the event.
            eventlet.hubs.get_hub().schedule_call_global(0, self._event.send)

    def wait(self) -> float:
        """Wait for the first signal and return its monotonic time."""
        self._event.wait()
        assert self.signalled_at is not None
        return self.signalled_at

    def _handle(self, number: int, frame: FrameType | None) -> None:
        self.request()


class GracefulStop:
    """Ends the callers' listener without cutting off a request in flight."""

    def __init__(
        self,
        settings: Settings,
        listener: HttpListener,
        forwarder: Forwarder,
        clock: Clock,
        relay: RelayListener | None = None,
    ) -> None:
        self._relay = relay
        self._settings = settings
        self._listener = listener
        self._forwarder = forwarder
        self._clock = clock

    def run(self, signalled_at: float | None = None) -> bool:
        """Carry out the stop; return True if no connection, relayed or not, had to be cut off.

        `signalled_at` is the monotonic time from which the supervisor counts, by default now.
        """
        if signalled_at is None:
            signalled_at = self._clock.monotonic()
        self._forwarder.begin_stop(self._settings.stop_seconds, signalled_at)
        self._listener.close_after_answers()
        if self._relay is not None:
            self._relay.stopping = True
        _log.info("stopping", in_flight=self._forwarder.in_flight)
        delay_left = self._settings.stop_delay_seconds - self._forwarder.stop.seconds
        eventlet.sleep(max(0.0, delay_left))
        self._listener.stop_accepting()
        self._forwarder.stop.is_closed = True
        started = self._clock.monotonic()
        is_whole = self._listener.wait_until_idle(lambda: self._is_overdue(started))
        aborted = relayed_cut = 0
        if not is_whole:
            self._answer_overdue()
            aborted = self._listener.connections
            self._listener.abort()
        if self._relay is not None:
            if not self._relay.wait_until_idle(lambda: self._is_overdue(started)):
                is_whole = False
            relayed_cut = self._relay.connections
        self._log_effects(is_whole, aborted, relayed_cut)
        return is_whole

    def _log_effects(self, is_whole: bool, aborted: int, relayed_cut: int) -> None:
        """Log what the stop did to requests and connections, as a warning if it cut any off."""
        progress = self._forwarder.stop
        write = _log.info if is_whole else _log.warning
        write(
            "stop-effects",
            **{effect.name.lower(): progress.counts[effect] for effect in StopEffect},
            unread=self._listener.unread_connections,
            aborted=aborted,
            relayed_cut=relayed_cut,
            cut_off_ids=progress.cut_off_ids,
            seconds=round(progress.seconds, 3),
        )

    def _answer_overdue(self) -> None:
        """Answer the requests that no server answered: a timeout says more than a reset."""
        self._forwarder.cut_off()
        until = self._clock.monotonic() + LAST_ANSWERS_SECONDS
        self._listener.wait_until_idle(lambda: self._clock.monotonic() > until)

    def _is_overdue(self, started: float) -> bool:
        left = self._forwarder.stop.seconds_left
        if left is not None:
            # The supervisor kills the process soon after this, and its callers would not even get
            # a reset.
            return left < 0.0
        limits = self._settings.limits
        grace = limits.head_seconds + limits.body_seconds + limits.write_seconds
        waited = self._clock.monotonic() - started
        if self._forwarder.in_flight:
            return waited > MAX_DEADLINE_MS / 1000.0 + grace
        return waited > grace
