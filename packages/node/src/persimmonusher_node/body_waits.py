"""What the bodies that a process reads at the same time share: who gives way, and turns."""

from abc import ABC, abstractmethod
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Final

from eventlet import sleep

from persimmonusher_model.clock import Clock

MIN_STALL_SECONDS: Final = 0.5
"""A body of which nothing has arrived for this long may be given up for others. Longer than the
pause after a lost packet."""
ROOM_POLLS: Final = 10
ROOM_POLL_SECONDS: Final = 0.005
"""A body that is given up frees its memory at once, unless a server has got a part of it: then the
attempt ends first."""
WASTEFUL_PART: Final = 0.25
"""Part of the time that bodies whose framing is longer than their bytes may take, all together."""
MAX_TURN_SECONDS: Final = 0.05
"""A turn that seems to have been longer has waited for its caller."""


class WaitingBody(ABC):
    """A body that is being read."""

    progressed_at: float
    """When the last bytes arrived, by the clock of `BodyWaits`."""

    @abstractmethod
    def give_up(self) -> None:
        """End the reading; its green thread frees what it holds before other threads run."""


class BodyWaits:
    """The bodies being read in a process."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._bodies: set[WaitingBody] = set()
        self._next_turn = clock.monotonic()
        self.given_up = 0
        """How many bodies were given up to make room."""

    def read_time(self) -> float:
        """Return the time that `WaitingBody.progressed_at` is compared with."""
        return self._clock.monotonic()

    @contextmanager
    def include(self, body: WaitingBody) -> Iterator[None]:
        """Let a body give way to others while it is being read."""
        self._bodies.add(body)
        try:
            yield
        finally:
            self._bodies.discard(body)

    def make_room(self, has_room: Callable[[], bool]) -> bool:
        """Give up bodies until there is room, those first that have waited longest for callers.

        Returns False if there is none and no body has waited for MIN_STALL_SECONDS. No other green
        thread runs between the last call of `has_room` and the return.
        """
        while not has_room():
            if not self._give_up_stalest():
                return False
            for _ in range(ROOM_POLLS):
                sleep(ROOM_POLL_SECONDS)
                if has_room():
                    break
        return True

    def _give_up_stalest(self) -> bool:
        stalest = min(self._bodies, key=lambda body: body.progressed_at, default=None)
        if stalest is None:
            return False
        if self._clock.monotonic() - stalest.progressed_at < MIN_STALL_SECONDS:
            return False
        self._bodies.discard(stalest)
        self.given_up += 1
        stalest.give_up()
        return True

    def take_turn(self, is_wasteful: bool, turn_seconds: float) -> None:
        """Let other green threads run; all wasteful bodies together get one turn at a time.

        `turn_seconds` is how long the turn that ends here has taken.
        """
        if not is_wasteful:
            sleep(0)
            return
        now = self._clock.monotonic()
        turn_seconds = min(turn_seconds, MAX_TURN_SECONDS)
        self._next_turn = max(now, self._next_turn) + turn_seconds / WASTEFUL_PART
        sleep(self._next_turn - now)
