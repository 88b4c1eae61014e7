"""Which of a route's services takes the next request, by weight."""

from collections.abc import Sequence
from random import Random

from persimmonusher_model.identifiers import ServiceName
from persimmonusher_model.routing import WeightedService


class WeightedChooser:
    """Takes services in turn, each as often as its weight says.

    The load it is for: a route split 90 to 10 over dozens of instances that each see a few of its
    requests a second. The harm: drawn at random, a part's share strays by several percent over the
    few hundred requests by which an operator judges a release. Smooth weighted round robin is off
    by less than one request an instance; a random start keeps the instances from sending their
    first requests all to the heaviest part.

    >>> parts = [WeightedService(ServiceName("a"), 2), WeightedService(ServiceName("b"), 1)]
    >>> chooser = WeightedChooser(parts, Random(1))
    >>> sorted(chooser.choose() for _ in range(3))
    ['a', 'a', 'b']
    """

    def __init__(self, parts: Sequence[WeightedService], random: Random) -> None:
        self._parts = tuple(part for part in parts if part.weight > 0)
        self._total = sum(part.weight for part in self._parts)
        self._credit = [0] * len(self._parts)
        for _ in range(random.randrange(self._total)):
            self.choose()

    def choose(self) -> ServiceName:
        """Return the service of the next request."""
        if len(self._parts) == 1:
            return self._parts[0].service
        best = 0
        for index, part in enumerate(self._parts):
            self._credit[index] += part.weight
            if self._credit[index] > self._credit[best]:
                best = index
        self._credit[best] -= self._total
        return self._parts[best].service
