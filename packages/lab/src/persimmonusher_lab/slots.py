"""The slots of a stand-in backend server, with a bounded queue before them."""

import time
from collections import deque
from collections.abc import Iterator
from contextlib import contextmanager

from eventlet.event import Event
from eventlet.timeout import Timeout

from persimmonusher_lab import wire


class NotRunError(Exception):
    """The request was refused before any of its work; the message is the reason."""


class Slots:
    """Lets `slots` requests run at once and queues at most `queue_limit` more."""

    def __init__(self, slots: int, queue_limit: int) -> None:
        self._free = slots
        self._slots = slots
        self._queue_limit = queue_limit
        self._waiting: deque[Event] = deque()
        self._history: deque[tuple[float, int]] = deque(maxlen=1000)

    @property
    def load(self) -> int:
        """Return the requests in progress and queued."""
        return self._slots - self._free + len(self._waiting)

    def find_load_at(self, now: float, lag: float) -> int:
        """Return the load as it was `lag` seconds ago, 0 if no load is recorded from then."""
        if not lag:
            return self.load
        old = [load for at, load in self._history if at <= now - lag]
        return old[-1] if old else 0

    @contextmanager
    def enter(self, deadline: float) -> Iterator[None]:
        """Hold a slot; raise NotRunError when the queue is full or the deadline passes."""
        self._acquire(deadline)
        self._history.append((time.monotonic(), self.load))
        try:
            yield
        finally:
            self._release()
            self._history.append((time.monotonic(), self.load))

    def _acquire(self, deadline: float) -> None:
        if self._free:
            self._free -= 1
            return
        if len(self._waiting) >= self._queue_limit:
            raise NotRunError(wire.SHED)
        turn = Event()
        self._waiting.append(turn)
        try:
            with Timeout(max(0.0, deadline - time.monotonic())):
                turn.wait()
        except Timeout:
            if turn.ready():
                self._release()
            else:
                self._waiting.remove(turn)
            raise NotRunError(wire.SHED) from None

    def _release(self) -> None:
        if self._waiting:
            self._waiting.popleft().send(None)
        else:
            self._free += 1
