"""The course of a graceful stop: its times, and what it does to requests and connections."""

from collections import Counter
from enum import Enum
from typing import Final

from persimmonusher_model.clock import Clock

STOP_STEP: Final = "stop"
"""The step of a request's record that says what a stop did to the request."""
MAX_LISTED_IDS: Final = 20
"""Most request ids on one log line."""


class StopEffect(Enum):
    """What a stop does to a request."""

    IN_FLIGHT = "in-flight"
    """The request was in flight at the signal."""
    ARRIVED = "arrived"
    """The request arrived after the signal and was accepted."""
    REFUSED = "refused"
    """The request was refused, not run, as too little time was left for it or for an attempt."""
    CUT_OFF = "cut-off"
    """The request had no answer at the end of the stop, and was ended."""


class StopProgress:
    """The times of one instance's stop, and counts of its effects; times are monotonic seconds."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._signalled_at: float | None = None
        self._ends_at: float | None = None
        self.is_closed = False
        """Whether the listener is closed, so that requests come on open connections only."""
        self.counts: Counter[StopEffect] = Counter()
        self.cut_off_ids: list[str] = []
        """The first requests that were cut off, MAX_LISTED_IDS at most."""

    @property
    def is_stopping(self) -> bool:
        """Return whether the stop has begun."""
        return self._signalled_at is not None

    @property
    def seconds(self) -> float:
        """Return the time since the stop began; 0 before it."""
        return 0.0 if self._signalled_at is None else self._clock.monotonic() - self._signalled_at

    @property
    def seconds_left(self) -> float | None:
        """Return the time until the stop ends what is left; None where it doesn't."""
        return None if self._ends_at is None else self._ends_at - self._clock.monotonic()

    def begin(self, stop_seconds: float | None, signalled_at: float) -> None:
        """Begin a stop that was signalled at a time, at most now.

        It ends what is left `stop_seconds` after the signal, or doesn't for None.
        """
        self._signalled_at = signalled_at
        if stop_seconds is not None:
            self._ends_at = signalled_at + stop_seconds

    def count(self, effect: StopEffect, request_id: str = "") -> None:
        """Count an effect; list the request if it was cut off."""
        self.counts[effect] += 1
        if effect is StopEffect.CUT_OFF and len(self.cut_off_ids) < MAX_LISTED_IDS:
            self.cut_off_ids.append(request_id)

    def describe(self) -> str:
        """Return the stop's times as text, such as `2.31 s after the signal, 2.89 s left`."""
        left = self.seconds_left
        text = f"{self.seconds:.2f} s after the signal"
        return text if left is None else f"{text}, {left:.2f} s left"
