"""A request in flight: what it waits for, and how it is ended early.

What the end of a request's time, or the departure of its caller, means at each step:

- before the first byte of any attempt, be it the first, a further one or a copy: it isn't sent;
- in the queue: it is taken out;
- at a server: idempotent work is cancelled. Other work goes on to its end, since cutting it off
  would only turn its outcome unknown; what a server then refuses is not sent on.

That holds for work with an idempotency key too: its claim is released with the refusal, so that a
resend runs at once, and nothing runs later for a caller that has given up.
"""

from eventlet.event import Event

from persimmonusher_decisions.work import Decision, Dispatch, OutcomeKind, Request
from persimmonusher_node.calls import Call
from persimmonusher_node.records import RequestRecord
from persimmonusher_node.services import LiveService
from persimmonusher_node.upstream import Attempt


class Run:
    """One request in flight at this instance, in a green thread of its own."""

    def __init__(
        self, call: Call, live: LiveService, request: Request, record: RequestRecord
    ) -> None:
        self.call = call
        self.live = live
        self.request = request
        self.record = record
        self._attempts: dict[int, Attempt] = {}
        self.may_have_run = False
        """Whether an attempt ended without proof that the request did not run."""
        self.server_seconds = 0.0
        self.stopped: OutcomeKind | None = None
        """TIMEOUT once the deadline passed, CANCELLED once the caller of idempotent work left."""
        self.sent = 1
        """Attempts that were sent, copies included."""
        self.settled = False
        """Whether one copy of a hedged request has won."""
        self.caller_left = False
        """Whether the caller was seen to have left."""
        self._release: Event | None = None

    def add_attempt(self, dispatch: Dispatch, attempt: Attempt) -> None:
        """Take an attempt that `stop` must reach."""
        self._attempts[dispatch.attempt] = attempt
        if self.stopped is not None:
            attempt.cancel(self.stopped)

    def remove_attempt(self, dispatch: Dispatch) -> None:
        """Forget an attempt that ended."""
        self._attempts.pop(dispatch.attempt, None)

    def cancel_attempts(self, kind: OutcomeKind, but: Dispatch | None = None) -> None:
        """End the attempts in flight, but for one."""
        for number, attempt in list(self._attempts.items()):
            if but is None or number != but.attempt:
                attempt.cancel(kind)

    def wait(self) -> Decision | None:
        """Wait for the release of a queued request; None when it was stopped meanwhile."""
        if self.stopped is not None:
            self.live.traffic.withdraw(self.request)
            return None
        self._release = Event()
        decision: Decision | None = self._release.wait()
        return decision

    def release(self, decision: Decision | None) -> bool:
        """Hand a decision to the waiting run; False when it doesn't wait any more."""
        event, self._release = self._release, None
        if event is None:
            return False
        event.send(decision)
        return True

    @property
    def is_waiting(self) -> bool:
        """Tell whether the request is queued."""
        return self._release is not None

    def stop(self, kind: OutcomeKind) -> None:
        """End the run early; `kind` is TIMEOUT or CANCELLED."""
        if self.stopped is not None:
            return
        self.stopped = kind
        if self._release is not None:
            self.live.traffic.withdraw(self.request)
            self.release(None)
        self.cancel_attempts(kind)

    def may_begin(self, now: float) -> bool:
        """Tell whether an attempt may begin now; asks the caller's connection itself.

        The periodic check of callers may be late, so it isn't relied on.
        """
        if now >= self.request.deadline:
            self.stop(OutcomeKind.TIMEOUT)
        elif not self.caller_left and self.call.has_caller_left():
            self.leave(now)
        return self.stopped is None and not self.caller_left

    def leave(self, now: float) -> None:
        """Take note that the caller left; cancel idempotent work and what waits here."""
        if not self.caller_left:
            self.caller_left = True
            self.record.add_note("left", "the caller closed its connection", now)
        if self.request.idempotent or self.is_waiting:
            self.stop(OutcomeKind.CANCELLED)
