"""Gossip of changes: a queue of rumours, each sent a bounded number of times, within a budget.

Load: at the target size (2,500 instances, 15,400 restarts of instances and as many of backend
servers a day) about 15,400 x 3 records of members and 15,400 x 4 of servers change a day, which is
1.25 changes a second. A change is some 110 bytes and each instance sends it
ceil(4 log10 2,501) = 14 times: 1.25 x 14 x 110 = 1.9 KB/s, within the 8 KB/s for all control.
"""

import math
from dataclasses import dataclass
from typing import Final

from persimmonusher_agreement.record import Record

TRANSMISSION_FACTOR: Final = 4.0
"""Sends of a change by one instance, as a multiple of log10 of the fleet's size. After k sends by
each informed instance, a fraction of about exp(-k) is left out, which anti-entropy repairs; 14
sends leave out 1 in 10^6 at 2,500 instances."""
MIN_TRANSMISSIONS: Final = 14
"""At 48 instances and 20% loss, exp(-14 x 0.8) x 48: 0.07% of changes miss an instance."""
FLOOD_QUEUE_LENGTH: Final = 20
"""Queue length from which on received copies count as sends: the changes of two datagrams."""


def count_transmissions(fleet_size: int) -> int:
    """Return how often one instance sends each change, in a fleet of this size."""
    return max(MIN_TRANSMISSIONS, math.ceil(TRANSMISSION_FACTOR * math.log10(fleet_size + 1)))


@dataclass
class _Rumour:
    """A change, how often it has been sent, and how often it is still to be sent."""

    record: Record
    sent: int
    remaining: int


class GossipQueue:
    """The changes that this instance still has to send; at most one for each key."""

    def __init__(self) -> None:
        self._rumours: dict[int, _Rumour] = {}

    def __len__(self) -> int:
        return len(self._rumours)

    def add(self, record: Record, transmissions: int) -> None:
        """Queue a change; it replaces an older one of the same key."""
        self._rumours.pop(record.key_hash, None)
        if transmissions > 0:
            self._rumours[record.key_hash] = _Rumour(record, 0, transmissions)

    def count_duplicate(self, record: Record) -> None:
        """Count a copy received from another instance as a send, if the queue is long.

        Load: hundreds of changes at once, as at a cold start. Harm: every instance sends each of
        them 14 times, mostly to instances that know it. Limit: the received copies show how far a
        change has spread. In a short queue copies don't count: at 48 instances and 20% loss, half
        as many sends would leave out an instance for nine changes in ten.
        """
        if len(self._rumours) < FLOOD_QUEUE_LENGTH:
            return
        self.count_send(record)

    def count_send(self, record: Record) -> None:
        """Count one transmission of a change, if it is queued."""
        rumour = self._rumours.get(record.key_hash)
        if rumour is not None and rumour.record.version == record.version:
            self._count(rumour)

    def clear(self) -> None:
        """Remove all queued changes."""
        self._rumours.clear()

    def take(self, limit_bytes: int, urgent_only: bool = False) -> tuple[Record, ...]:
        """Return the changes that fit, urgent and least sent first, and count a send of each."""
        taken: list[Record] = []
        room = limit_bytes
        for rumour in sorted(self._rumours.values(), key=_order):
            size = rumour.record.size
            if size > room or (urgent_only and not rumour.record.is_urgent):
                continue
            room -= size
            taken.append(rumour.record)
            self._count(rumour)
        return tuple(taken)

    def _count(self, rumour: _Rumour) -> None:
        rumour.sent += 1
        rumour.remaining -= 1
        if rumour.remaining <= 0:
            del self._rumours[rumour.record.key_hash]


def _order(rumour: _Rumour) -> tuple[bool, int]:
    return (not rumour.record.is_urgent, rumour.sent)


class ByteBudget:
    """A token bucket of bytes; probes and urgent rumours may overdraw it, other messages wait.

    Load: a mass restart queues thousands of changes at once. Harm: without a bound, the gossip of
    all instances fills the links that callers' answers need. Limit: the rate is the share of the
    8 KB/s for control that membership may use; the burst lets a joining instance catch up.
    """

    def __init__(self, rate: float, burst: float) -> None:
        self._rate = rate
        self._burst = burst
        self._tokens = burst
        self._updated = 0.0

    def available(self, active: float) -> float:
        """Return the bytes that may be sent now; negative when overdrawn."""
        elapsed = max(0.0, active - self._updated)
        self._tokens = min(self._burst, self._tokens + elapsed * self._rate)
        self._updated = active
        return self._tokens

    def spend(self, size: int) -> None:
        """Take bytes out; the balance may become negative."""
        self._tokens -= size
