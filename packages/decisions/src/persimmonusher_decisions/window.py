"""An adaptive limit on the requests that an entry instance has in progress for a service."""

from typing import Final

from persimmonusher_model.identifiers import ServerId

LOW_LOAD_PER_SLOT: Final = 1.5
"""Reported load per slot below which the servers' queues are short."""
HIGH_LOAD_PER_SLOT: Final = 2.5
"""Reported load per slot above which additional requests only wait at the servers."""
MAX_REPORTED_LOAD_PER_SLOT: Final = 4.0
NEWEST_REPORT_WEIGHT: Final = 0.1
"""Weight of the newest report in the moving average of reported loads. About ten answers make it
up, so that one server's wrong reports can't move it far."""
SHRINK_INTERVAL_SECONDS: Final = 0.05
"""Shortest time between two reductions of the limit: about one round of answers under overload."""
SHRINK_FACTOR_ON_LOAD: Final = 0.9
SHRINK_FACTOR_ON_REFUSAL: Final = 0.8
REFUSAL_WINDOW_SECONDS: Final = 1.0
"""Refusals by a single server mean that this server is failing, or bad luck. The service counts as
full only if another server refused within this time."""
FULL_LOAD_PER_SLOT: Final = 1.0
"""Known load per slot below which a refusal can't mean that the server is full. Only this failure
domain's part of the load may be known, and a full server has several times its slots waiting."""
MAX_LIMIT_PER_SLOT: Final = 2.0
"""Upper bound of the limit, in multiples of the service's slots: the most that a single instance
can need."""


class ConcurrencyWindow:
    """An additive-increase, multiplicative-decrease limit on requests in progress.

    When demand exceeds capacity, requests that wait at a server can't be prioritised, refused or
    expired by their deadlines, and answers that come too late are wasted work. So the limit is
    kept where servers report filled slots and a short queue, and the remaining requests wait, or
    are refused, at the entry instance. The limit adapts instead of being an equal part of the
    slots, since skewed demand gives one instance many times the work of another. The equal part
    is its lower bound: a server that wrongly reports a full queue can't starve an instance.
    """

    def __init__(self) -> None:
        self._smallest = 1.0
        self._largest = 2.0
        self._limit = 2.0
        self._is_sized = False
        self._average_load: float | None = None
        self._may_shrink_at = 0.0
        self._refused_by: ServerId | None = None
        self._refused_at = 0.0

    @property
    def limit(self) -> float:
        """Return how many requests may be in progress; may be a fraction."""
        return self._limit

    def resize(self, slots: int, live: int, fewest: int = 1) -> None:
        """Set the bounds of the limit.

        `slots` are those of the service's open servers, `live` is the number of entry instances,
        and `fewest` the number of requests that each may always have in progress, up to `slots`.
        """
        equal_part = slots / max(1, live)
        self._smallest = max(1.0, equal_part, min(fewest, slots))
        self._largest = max(2.0, MAX_LIMIT_PER_SLOT * slots)
        if not self._is_sized:
            self._is_sized = slots > 0
            self._limit = 2.0 * self._smallest
        self._limit = min(self._largest, max(self._smallest, self._limit))

    def record_answer(self, load_per_slot: float | None, in_progress: int, now: float) -> None:
        """Adapt the limit to an answer; the load is None if the server reported none."""
        if load_per_slot is not None:
            report = min(MAX_REPORTED_LOAD_PER_SLOT, load_per_slot)
            last = report if self._average_load is None else self._average_load
            self._average_load = last + NEWEST_REPORT_WEIGHT * (report - last)
        average_load = self._average_load
        if average_load is not None and average_load > HIGH_LOAD_PER_SLOT:
            self._shrink(SHRINK_FACTOR_ON_LOAD, now)
        elif in_progress + 1 >= self._limit:
            step = (
                1.0
                if average_load is not None and average_load < LOW_LOAD_PER_SLOT
                else 1.0 / self._limit
            )
            self._limit = min(self._largest, self._limit + step)

    def record_refusal(self, server_id: ServerId, known_load: float, now: float) -> None:
        """Adapt the limit to a server's refusal, given its load per slot as known here.

        One or all servers may refuse half their work for seconds while their slots are free. If
        each such refusal shrank the limit, requests would wait here for no reason for seconds after
        the servers have recovered: up to 0.95 s, on instances whose callers arrive in bursts.
        """
        if known_load < FULL_LOAD_PER_SLOT:
            return
        former, self._refused_by, at = self._refused_by, server_id, self._refused_at
        self._refused_at = now
        if former not in (None, server_id) and now - at <= REFUSAL_WINDOW_SECONDS:
            self._shrink(SHRINK_FACTOR_ON_REFUSAL, now)

    def _shrink(self, factor: float, now: float) -> None:
        if now < self._may_shrink_at:
            return
        self._may_shrink_at = now + SHRINK_INTERVAL_SECONDS
        self._limit = max(self._smallest, self._limit * factor)
