"""Which keeper an entry follows."""

from collections.abc import Sequence
from dataclasses import dataclass
from random import Random

from persimmonusher_model.rendezvous import weigh


@dataclass(frozen=True, slots=True)
class KeeperPlace:
    """Where a keeper's peer interface listens, and its failure domain where that is known."""

    address: str
    failure_domain: str = ""


class KeeperChoice:
    """Chooses among the keepers that are known.

    A keeper of the entry's own failure domain comes first, as bytes between domains are paid for;
    among several there, chance spreads the entries. Entries of a domain without a keeper all choose
    the same one elsewhere: what they have in progress is summed up by the keeper that they follow,
    and spread over all keepers nobody would know the load of that domain's servers. When it is
    lost, they all turn to the same next one.
    """

    def __init__(self, failure_domain: str, random: Random) -> None:
        self._failure_domain = failure_domain
        self._random = random
        self._avoid_until: dict[str, float] = {}

    def avoid(self, address: str, until: float) -> None:
        """Ask a keeper only after the others until then."""
        self._avoid_until[address] = until

    def is_avoided(self, address: str, now: float) -> bool:
        """Tell whether a keeper was found lost or stale lately."""
        return self._avoid_until.get(address, now) > now

    def choose(self, places: Sequence[KeeperPlace], now: float) -> KeeperPlace:
        """Return the keeper to follow next, an avoided one only where all are."""

        def rank(place: KeeperPlace) -> tuple[float, int, float]:
            avoided = max(0.0, self._avoid_until.get(place.address, now) - now)
            return (avoided, *self._prefer(place))

        return min(places, key=rank)

    def find_better(
        self, followed: KeeperPlace, places: Sequence[KeeperPlace], now: float
    ) -> KeeperPlace | None:
        """Return a keeper to turn to from the one that is followed; None where there is none."""
        if followed.failure_domain == self._failure_domain:
            return None
        usable = [place for place in places if not self.is_avoided(place.address, now)]
        if not usable:
            return None
        best = self.choose(usable, now)
        is_better = best.address != followed.address and (
            best.failure_domain == self._failure_domain or self._weigh(best) > self._weigh(followed)
        )
        return best if is_better else None

    def _prefer(self, place: KeeperPlace) -> tuple[int, float]:
        if place.failure_domain == self._failure_domain:
            return (0, self._random.random())
        return (1, -self._weigh(place))

    def _weigh(self, place: KeeperPlace) -> float:
        return float(weigh(place.address, self._failure_domain))
