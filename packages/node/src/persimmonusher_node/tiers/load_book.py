"""Requests in progress at the entries that follow one keeper, by backend server."""

from collections import Counter
from collections.abc import Mapping
from typing import Final

REPORT_EXPIRY_SECONDS: Final = 1.5
"""Time for which a report counts: more than three of the entries' reporting intervals."""


class LoadBook:
    """The latest report of each entry, and their sum."""

    def __init__(self) -> None:
        self._reports: dict[str, tuple[float, Mapping[str, int]]] = {}

    def record(self, instance: str, loads: Mapping[str, int], now: float) -> None:
        """Replace an entry's report, a mapping from servers to requests in progress."""
        self._reports[instance] = (now, loads)

    def find_sums(self, now: float) -> Counter[str] | None:
        """Return requests in progress by server; None if no report is recent enough."""
        self._reports = {
            name: report
            for name, report in self._reports.items()
            if now - report[0] <= REPORT_EXPIRY_SECONDS
        }
        if not self._reports:
            return None
        total: Counter[str] = Counter()
        for _, loads in self._reports.values():
            total.update(loads)
        return total
