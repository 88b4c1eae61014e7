"""A request in flight: what it waits for, and how it is ended early."""

from eventlet.event import Event

from persimmonusher_decisions.work import Decision, OutcomeKind, Request
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
        self.attempt: Attempt | None = None
        self.may_have_run = False
        """Whether an attempt ended without proof that the request did not run."""
        self.server_seconds = 0.0
        self.stopped: OutcomeKind | None = None
        """TIMEOUT once the deadline passed, CANCELLED once the caller of idempotent work left."""
        self._release: Event | None = None

    def wait(self) -> Decision | None:
        """Wait for the release of a queued request; None when it was stopped meanwhile."""
        if self.stopped is not None:
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
        if self.attempt is not None:
            self.attempt.cancel(kind)

    def leave(self) -> None:
        """Take note that the caller left.

        Idempotent work is cancelled, and so is what still waits here. Non-idempotent work that
        was dispatched runs to its end: cutting it off would only turn its outcome unknown.
        """
        if self.request.idempotent or self.is_waiting:
            self.stop(OutcomeKind.CANCELLED)
