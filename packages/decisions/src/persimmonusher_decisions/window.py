"""How many requests one entry instance keeps in progress at a service's servers."""

from typing import Final

from persimmonusher_model.identifiers import ServerId

LOW_PRESSURE: Final = 1.5
"""Reported load for each slot up to which servers' queues are short."""
HIGH_PRESSURE: Final = 2.5
"""Reported load for each slot from which on work only waits at the servers."""
LARGEST_REPORT: Final = 4.0
PRESSURE_MEMORY: Final = 0.1
"""Weight of the newest report: some ten servers' answers make up the pressure, so that one that
lies can't move it far."""
SHRINK_SECONDS: Final = 0.05
"""At most one reduction in this time, about one round of answers under overload."""
SHRINK_ON_PRESSURE: Final = 0.9
SHRINK_ON_REFUSAL: Final = 0.8
ALONE_SECONDS: Final = 1.0
"""Refusals of one server alone say that it is ill, or unlucky. Only when another one refused within
this time is the service full."""
FULL: Final = 1.0
"""Known load for each slot from which on a server's refusal may be for being full. What is known is
this failure domain's share of its load, and a server that is full has several times its slots
waiting."""
LARGEST_SHARE: Final = 2.0
"""Upper limit in times the service's slots: what a single instance could ever need."""


class ConcurrencyWindow:
    """An additive-increase, multiplicative-decrease limit on requests in progress.

    The load it is for: demand above capacity. The harm: work that waits at a server can't be
    ordered, refused or given its deadline's due any more, and answers that come too late are work
    lost. So the limit is kept where servers report their slots filled with a short queue, and the
    rest waits, or is refused, at the entry instance. It adapts instead of being an equal part of
    the slots, since skewed demand gives one instance many times the work of another. The lower
    limit is that equal part: a server that wrongly reports a full queue can't starve an instance.
    """

    def __init__(self) -> None:
        self._smallest = 1.0
        self._largest = 2.0
        self._limit = 2.0
        self._sized = False
        self._pressure: float | None = None
        self._shrink_at = 0.0
        self._refused_by: ServerId | None = None
        self._refused_at = 0.0

    @property
    def limit(self) -> float:
        """Return the number of requests that may be in progress."""
        return self._limit

    def resize(self, slots: int, live: int, fewest: int = 1) -> None:
        """Take the service's open slots, the live instances, and what each may always have."""
        equal_part = slots / max(1, live)
        self._smallest = max(1.0, equal_part, min(fewest, slots))
        self._largest = max(2.0, LARGEST_SHARE * slots)
        if not self._sized:
            self._sized = slots > 0
            self._limit = 2.0 * self._smallest
        self._limit = min(self._largest, max(self._smallest, self._limit))

    def record_answer(self, load_for_each_slot: float | None, in_progress: int, now: float) -> None:
        """Take an answer with the load its server reported, if it did."""
        if load_for_each_slot is not None:
            report = min(LARGEST_REPORT, load_for_each_slot)
            last = report if self._pressure is None else self._pressure
            self._pressure = last + PRESSURE_MEMORY * (report - last)
        pressure = self._pressure
        if pressure is not None and pressure > HIGH_PRESSURE:
            self._shrink(SHRINK_ON_PRESSURE, now)
        elif in_progress + 1 >= self._limit:
            step = 1.0 if pressure is not None and pressure < LOW_PRESSURE else 1.0 / self._limit
            self._limit = min(self._largest, self._limit + step)

    def record_refusal(self, server_id: ServerId, known_load: float, now: float) -> None:
        """Take a server's own refusal, and its load for each slot as far as it is known here.

        The load it is for: servers that refuse half their work for seconds, one of them or all,
        while their slots are free. The harm: each refusal would shrink the limit, and for seconds
        after they are well requests would wait here for no reason: up to 0.95 s, on instances
        whose callers come in clumps.
        """
        if known_load < FULL:
            return
        former, self._refused_by, at = self._refused_by, server_id, self._refused_at
        self._refused_at = now
        if former not in (None, server_id) and now - at <= ALONE_SECONDS:
            self._shrink(SHRINK_ON_REFUSAL, now)

    def _shrink(self, factor: float, now: float) -> None:
        if now < self._shrink_at:
            return
        self._shrink_at = now + SHRINK_SECONDS
        self._limit = max(self._smallest, self._limit * factor)
