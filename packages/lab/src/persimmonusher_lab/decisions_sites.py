"""The sizes of the users' fleets, and the durations of their servers' work."""

from dataclasses import dataclass
from typing import Final

from persimmonusher_model.profile import DETECTION_FIRST, EJECTION_AVERSE, Profile

SHORT_WORK_SECONDS: Final = 0.012
LONG_WORK_SECONDS: Final = 0.2
LONG_WORK_SHARE: Final = 0.05
MEAN_WORK_SECONDS: Final = (
    SHORT_WORK_SECONDS * (1 - LONG_WORK_SHARE) + LONG_WORK_SECONDS * LONG_WORK_SHARE
)


@dataclass(frozen=True)
class Site:
    """One user's fleet: its sizes, one-way latency in seconds, and profile."""

    name: str
    entries: int
    server_count: int
    slots: int
    connections: int
    one_way_latency: float
    profile: Profile
    domains: int = 4

    @property
    def capacity(self) -> float:
        """Return the requests per second with every slot busy."""
        return self.server_count * self.slots / MEAN_WORK_SECONDS


TAKEUCHI: Final = Site("Takeuchi", 48, 12, 4, 400, 0.0015, DETECTION_FIRST)
GRAZIANI: Final = Site("Graziani", 36, 10, 6, 330, 0.001, EJECTION_AVERSE)
