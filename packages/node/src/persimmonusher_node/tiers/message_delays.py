"""How long messages were on their way, without comparing clocks of different machines.

A process that is frozen, or a link that is cut, holds messages back for any time, and they arrive
when it comes back. Each message names the reading of its sender's monotonic clock. The smallest
difference to the receiver's clock so far stands for a message without delay.
"""

from collections import OrderedDict
from typing import Final

from persimmonusher_model.clock import Clock
from persimmonusher_protocol import control_pb2

MAX_DRIFT: Final = 0.001
"""Seconds per second by which two clocks may drift apart: ten times that of ordinary hardware."""
MAX_DRIFT_SECONDS: Final = 3_600.0
"""Longest silence of a sender that counts as drift."""
RELEARN_SECONDS: Final = 10.0
"""Time for which all messages must have had the same delay before it counts as none. A suspended
machine's clock stands still, so that all of its later messages look delayed."""
MAX_GAP_SECONDS: Final = 2.0
"""Time without a message after which there is a gap; four intervals between updates."""
CONFIRM_SECONDS: Final = 0.2
"""Time after a sender's first message, or its first after a gap, in which the delay isn't known:
those that were held back arrive together, but the next one is sent 0.4 s later."""
MAX_SENDERS: Final = 8_192
"""Processes that are remembered, the least recently heard are dropped: over three times the
instances of the largest fleet."""


class SenderDelays:
    """The delays of the messages of one process."""

    def __init__(self) -> None:
        self._first_at = 0.0
        """When the first message arrived after a gap, or the first of all."""
        self._least = float("inf")
        """Difference of the clocks for a message without delay, at `_at`."""
        self._at = float("-inf")
        self._candidate = float("inf")
        """The least difference since `_candidate_since`."""
        self._candidate_since = 0.0

    def find_delay(self, sent: float, now: float) -> float:
        """Return for how many seconds a message was on its way, and learn from it.

        `sent` is the reading of the sender's clock, `now` that of the receiver's. The result is
        infinite while the delay isn't known.
        """
        difference = now - sent
        if now - self._at > MAX_GAP_SECONDS:
            self._first_at = now
        drift = min(now - self._at, MAX_DRIFT_SECONDS) * MAX_DRIFT
        self._least = min(difference, self._least + drift)
        self._relearn(difference, now)
        self._at = now
        if now - self._first_at < CONFIRM_SECONDS:
            return float("inf")
        return difference - self._least

    def _relearn(self, difference: float, now: float) -> None:
        if now - self._at > MAX_GAP_SECONDS or difference <= self._least:
            self._candidate, self._candidate_since = difference, now
            return
        self._candidate = min(self._candidate, difference)
        if now - self._candidate_since >= RELEARN_SECONDS:
            self._least = self._candidate
            self._candidate, self._candidate_since = difference, now


class MessageDelays:
    """The delays of the messages of many processes, each known by its name and its run."""

    def __init__(self) -> None:
        self._senders: OrderedDict[tuple[str, int], SenderDelays] = OrderedDict()

    def find_delay(self, sender: str, run: int, sent: float, now: float) -> float:
        """Return for how many seconds a message was on its way; infinite if that isn't known."""
        key = (sender, run)
        delays = self._senders.setdefault(key, SenderDelays())
        self._senders.move_to_end(key)
        if len(self._senders) > MAX_SENDERS:
            self._senders.popitem(last=False)
        return delays.find_delay(sent, now)


def make_run_number(clock: Clock) -> int:
    """Return a number of 32 bits that differs from those of other processes of the same name."""
    return int(clock.wall().timestamp() * 1000.0) & 0xFFFFFFFF


def make_send_time(run: int, now: float) -> control_pb2.SendTime:
    """Return the wire form of a reading of this process's clock."""
    return control_pb2.SendTime(run=run, milliseconds=int(now * 1000.0))
