"""A fleet simulation that tells which part of the healthy servers got requests."""

from collections import defaultdict

from fleet_simulation import FleetSimulation, Load

from persimmonusher_decisions.traffic import ServiceTraffic
from persimmonusher_decisions.work import Dispatch
from persimmonusher_model.identifiers import ServerId
from persimmonusher_model.profile import Profile

WINDOW_SECONDS = 2.0


class RecordedFleet(FleetSimulation):
    """A fleet simulation that records, by time window, which servers got requests."""

    def __init__(self, load: Load, profile: Profile, seed: int) -> None:
        super().__init__(load, profile, seed)
        self.reached: defaultdict[int, set[ServerId]] = defaultdict(set)

    def _reach(self, instance: ServiceTraffic, dispatch: Dispatch) -> None:
        self.reached[int(self._now / WINDOW_SECONDS)].add(dispatch.server.server_id)
        super()._reach(instance, dispatch)

    def find_shares_used(self) -> list[float]:
        """Return, by window, the part of the servers healthy in it and before that got requests."""
        shares = []
        for window in range(2, int(self._load.seconds / WINDOW_SECONDS)):
            healthy = [name for name in self._servers if self._is_healthy(name, window)]
            used = sum(name in self.reached[window] for name in healthy)
            shares.append(used / len(healthy))
        return shares

    def _is_healthy(self, name: ServerId, window: int) -> bool:
        """Return whether a server was healthy in a window and the one before."""
        begin = (window - 1) * WINDOW_SECONDS
        moments = [begin + 0.25 * step for step in range(16)]
        return not any(self._servers[name].is_faulty(moment) for moment in moments)
