"""The users' sizes of today and the work that their servers do."""

from dataclasses import dataclass
from typing import Final

from persimmonusher_model.profile import DETECTION_FIRST, EJECTION_AVERSE, Profile

SHORT_WORK: Final = 0.012
LONG_WORK: Final = 0.2
LONG_SHARE: Final = 0.05
MEAN_WORK: Final = SHORT_WORK * (1 - LONG_SHARE) + LONG_WORK * LONG_SHARE


@dataclass(frozen=True)
class Site:
    """One user's size of today."""

    name: str
    entries: int
    workers: int
    slots: int
    connections: int
    latency: float
    profile: Profile
    domains: int = 4

    @property
    def capacity(self) -> float:
        """Return requests a second with every slot busy."""
        return self.workers * self.slots / MEAN_WORK


TAKEUCHI: Final = Site("Takeuchi", 48, 12, 4, 400, 0.0015, DETECTION_FIRST)
GRAZIANI: Final = Site("Graziani", 36, 10, 6, 330, 0.001, EJECTION_AVERSE)
