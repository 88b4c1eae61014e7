"""Weighted choice of the service for a route's next request."""

from collections.abc import Sequence
from random import Random

from persimmonusher_model.identifiers import ServiceName
from persimmonusher_model.routing import WeightedService


class WeightedChooser:
    """Smooth weighted round robin over a route's services, from a random start.

    A route may be split 90 to 10 over dozens of instances that each see a few of its requests per
    second. With random choice, a service's share would deviate by several percent over the few
    hundred requests by which an operator judges a release. Smooth weighted round robin deviates by
    less than one request for each instance. Because of the random start, not all instances send
    their first requests to the service with the largest weight.

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
