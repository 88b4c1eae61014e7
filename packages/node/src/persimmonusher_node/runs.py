"""A request in flight: what it waits for, and how it is ended early.

When the deadline passes or the caller leaves, the effect depends on where the request is:

- before the first byte of an attempt (the first, a retry or a hedged copy): it is not sent;
- in the queue: it is removed from the queue;
- at a server, past the deadline: the attempt is cut off;
- at a server, after the caller left: an idempotent request is cancelled. Any other goes on to its
  end, since cutting it off would only make its outcome unknown; if the server then refuses it, it
  is not sent to another one.

The same holds for a request with an idempotency key. Its claim is released when the request did not
run, so that a resend runs at once, and nothing runs later for a caller that has left.
"""

from typing import Final

from eventlet.event import Event

from persimmonusher_decisions.work import Decision, Dispatch, OutcomeKind, Request
from persimmonusher_node.calls import Call
from persimmonusher_node.records import RequestRecord
from persimmonusher_node.services import LiveService
from persimmonusher_node.stop_progress import STOP_STEP, StopEffect, StopProgress
from persimmonusher_node.upstream import Attempt

DEFAULT_TARGET_SECONDS: Final = 1.0
"""Assumed time of a server for a request whose route states no target."""


class Run:
    """One request in flight at this instance, in the green thread of its caller's connection."""

    def __init__(
        self,
        call: Call,
        live: LiveService,
        request: Request,
        record: RequestRecord,
        progress: StopProgress,
    ) -> None:
        self.call = call
        self.live = live
        self.request = request
        self.record = record
        self._progress = progress
        self._attempts: dict[int, Attempt] = {}
        self.may_have_run = False
        """Whether some attempt ended without proof that the server did not run the request."""
        self.server_seconds = 0.0
        self.stopped: OutcomeKind | None = None
        """TIMEOUT once the deadline passed, CANCELLED once the caller of idempotent work left."""
        self.hedge_attempt = 1
        """Attempt number of the hedged copy; 1 where none was sent."""
        self.has_winner = False
        """Whether one copy of a hedged request has won."""
        self.is_cut_off = False
        """Whether a stop ended the request, for want of time."""
        self.caller_left = False
        """Whether the caller was seen to have left."""
        self.is_over = False
        """Whether the request has ended: nothing begins for it any more."""
        self._release: Event | None = None

    def add_attempt(self, dispatch: Dispatch, attempt: Attempt) -> None:
        """Register an attempt so that `stop` and `end` can cancel it, also before it begins."""
        self._attempts[dispatch.attempt] = attempt
        if self.stopped is not None:
            attempt.cancel(self.stopped)
        elif self.is_over:
            attempt.cancel(OutcomeKind.CANCELLED)

    def remove_attempt(self, dispatch: Dispatch) -> None:
        """Remove an attempt that has ended."""
        self._attempts.pop(dispatch.attempt, None)

    def cancel_attempts(self, kind: OutcomeKind, except_for: Dispatch | None = None) -> None:
        """Cancel the attempts in flight, except for one."""
        for number, attempt in list(self._attempts.items()):
            if except_for is None or number != except_for.attempt:
                attempt.cancel(kind)

    def wait(self) -> Decision | None:
        """Wait until the queued request is released; return None if it was stopped first."""
        if self.stopped is not None:
            self.live.traffic.withdraw(self.request)
            return None
        self._release = Event()
        decision: Decision | None = self._release.wait()
        return decision

    def release(self, decision: Decision | None) -> bool:
        """Pass a decision to the waiting request; return False if it does not wait any more."""
        event, self._release = self._release, None
        if event is None:
            return False
        event.send(decision)
        return True

    @property
    def is_waiting(self) -> bool:
        """Return whether the request is queued."""
        return self._release is not None

    def stop(self, kind: OutcomeKind) -> None:
        """End the request early; `kind` is TIMEOUT or CANCELLED."""
        if self.stopped is not None:
            return
        self.stopped = kind
        if self._release is not None:
            self.live.traffic.withdraw(self.request)
            self.release(None)
        self.cancel_attempts(kind)

    def note_stop(self, effect: StopEffect, now: float, detail: str = "") -> None:
        """Record what a stop does to the request, on its record and in the stop's counts."""
        reason = f"{effect.value}, {self._progress.describe()}{detail}"
        self.record.add_note(STOP_STEP, reason, now, effect.value)
        self._progress.count(effect, self.request.request_id)

    def cut_off(self, effect: StopEffect, now: float) -> None:
        """End the request early, as the stop has no time left for it."""
        self.is_cut_off = True
        self.note_stop(effect, now)
        self.stop(OutcomeKind.TIMEOUT)

    def end(self) -> None:
        """Record that the request has ended, and cancel the attempts that are left.

        From here on the caller's connection belongs to the caller's next request.
        """
        self.is_over = True
        self.cancel_attempts(OutcomeKind.CANCELLED)

    def may_begin(self, now: float) -> bool:
        """Return whether an attempt may begin now; stops the request where it may not.

        This checks the caller's connection itself, since the periodic check may be late.
        """
        if self.is_over:
            return False
        if now >= self.request.deadline:
            self.stop(OutcomeKind.TIMEOUT)
        elif self.stopped is None and self._is_too_late(now):
            self.cut_off(StopEffect.REFUSED, now)
        elif not self.caller_left and self.call.has_caller_left():
            self.handle_departure(now)
        return self.stopped is None and not self.caller_left

    def _is_too_late(self, now: float) -> bool:
        """Return whether a stop would probably end an attempt that begins now.

        The request was accepted when more time was left. If it isn't idempotent, being refused is
        better for its caller than an unknown outcome.
        """
        left = self._progress.seconds_left
        if left is None or not self._progress.is_closed or self.request.idempotent:
            return False
        rule = self.call.rule
        target_seconds = DEFAULT_TARGET_SECONDS if rule is None else rule.target_ms / 1000.0
        return left < min(target_seconds, self.request.deadline - now)

    def handle_departure(self, now: float) -> None:
        """Record that the caller left; cancel the request if it is idempotent or queued."""
        if not self.caller_left:
            self.caller_left = True
            self.record.add_note("left", "the caller closed its connection", now)
        if self.request.idempotent or self.is_waiting:
            self.stop(OutcomeKind.CANCELLED)
