"""The choice of the keeper that an entry follows."""

from collections.abc import Sequence
from dataclasses import dataclass
from random import Random

from persimmonusher_model.rendezvous import weigh


@dataclass(frozen=True, slots=True)
class KeeperPlace:
    """The address of a keeper's peer interface, and its failure domain, empty if unknown."""

    address: str
    failure_domain: str = ""


class KeeperChoice:
    """Chooses among the known keepers.

    A keeper of the entry's own failure domain is preferred, since traffic between domains is
    billed; among several there, a random choice spreads the entries. All entries of a domain
    without a keeper choose the same keeper of another domain: each keeper adds up the requests in
    progress of the entries that follow it, and if these entries followed different keepers, no
    keeper would know the load of that domain's servers. When that keeper is lost, they all switch
    to the same next one.
    """

    def __init__(self, failure_domain: str, random: Random) -> None:
        self._failure_domain = failure_domain
        self._random = random
        self._avoid_until: dict[str, float] = {}

    def avoid_until(self, address: str, until: float) -> None:
        """Choose this keeper only after all others until the time `until`."""
        self._avoid_until[address] = until

    def is_avoided(self, address: str, now: float) -> bool:
        """Return whether `avoid_until` was called for a keeper and its time isn't over."""
        return self._avoid_until.get(address, now) > now

    def choose(self, places: Sequence[KeeperPlace], now: float) -> KeeperPlace:
        """Return the keeper to follow next; an avoided one only if all are avoided."""
        return self.order(places, now)[0]

    def order(self, places: Sequence[KeeperPlace], now: float) -> list[KeeperPlace]:
        """Return the keepers in the order in which to ask them, the avoided ones last."""

        def rank(place: KeeperPlace) -> tuple[float, int, float]:
            avoided = max(0.0, self._avoid_until.get(place.address, now) - now)
            return (avoided, *self._prefer(place))

        return sorted(places, key=rank)

    def find_better(
        self, followed: KeeperPlace, places: Sequence[KeeperPlace], now: float
    ) -> KeeperPlace | None:
        """Return a keeper that is preferred to the one that is followed, or None.

        A keeper of the entry's own failure domain is never left for another one.
        """
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
