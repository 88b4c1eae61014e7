"""A simulated platform balancer: it chooses a random entry that has not failed recently."""

from collections.abc import Callable, Collection, Sequence
from random import Random
from typing import Final

AVOID_SECONDS: Final = 1.0
"""How long an entry that failed is left out: one period of a usual health check."""


class Balancer:
    """Chooses an entry for each try."""

    def __init__(
        self, entries: Sequence[str], random: Random, monotonic: Callable[[], float]
    ) -> None:
        self._entries = list(entries)
        self._random = random
        self._monotonic = monotonic
        self._avoided_until: dict[str, float] = {}

    def choose(self, tried: Collection[str]) -> str:
        """Choose a live entry, preferably one that was not tried; any entry if none is live."""
        now = self._monotonic()
        live = [item for item in self._entries if self._avoided_until.get(item, now) <= now]
        fresh = [item for item in live if item not in tried]
        return self._random.choice(fresh or live or self._entries)

    def note_failure(self, entry: str) -> None:
        """Leave out an entry that gave no answer, for `AVOID_SECONDS`."""
        self._avoided_until[entry] = self._monotonic() + AVOID_SECONDS
