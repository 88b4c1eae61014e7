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
RELEARN_SECONDS: Final = 10.0
"""Time for which all messages must have had the same delay before it counts as none. A suspended
machine's clock stands still, so that all of its later messages look delayed."""
MAX_GAP_SECONDS: Final = 2.0
"""Longest time between two of these messages; four intervals between updates."""
MAX_SENDERS: Final = 8_192
"""Processes that are remembered, the least recently heard are dropped: over three times the
instances of the largest fleet."""


class SenderDelays:
    """The delays of the messages of one process."""

    def __init__(self) -> None:
        self._least = float("inf")
        """Difference of the clocks for a message without delay, at `_at`."""
        self._at = 0.0
        self._candidate = float("inf")
        """The least difference since `_candidate_since`."""
        self._candidate_since = 0.0

    def find_delay(self, sent: float, now: float) -> float:
        """Return for how many seconds a message was on its way, and learn from it.

        `sent` is the reading of the sender's clock, `now` that of the receiver's.
        """
        difference = now - sent
        self._least = min(difference, self._least + (now - self._at) * MAX_DRIFT)
        self._relearn(difference, now)
        self._at = now
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
        """Return for how many seconds a message was on its way; 0 for a sender's first one."""
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
