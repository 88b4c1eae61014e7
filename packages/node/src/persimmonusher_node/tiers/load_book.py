"""What the entries that follow one keeper have in progress, by backend server."""

from collections import Counter
from collections.abc import Mapping
from typing import Final

FORGET_SECONDS: Final = 1.5
"""A report counts for so long: three of the entries' periods."""


class LoadBook:
    """The latest report of each entry, and their sum."""

    def __init__(self) -> None:
        self._reports: dict[str, tuple[float, Mapping[str, int]]] = {}

    def take(self, instance: str, loads: Mapping[str, int], now: float) -> None:
        """Take an entry's report in place of its former one."""
        self._reports[instance] = (now, loads)

    def find_sums(self, now: float) -> Counter[str] | None:
        """Return requests in progress by server; None where no entry has reported lately."""
        self._reports = {
            name: report
            for name, report in self._reports.items()
            if now - report[0] <= FORGET_SECONDS
        }
        if not self._reports:
            return None
        total: Counter[str] = Counter()
        for _, loads in self._reports.values():
            total.update(loads)
        return total
