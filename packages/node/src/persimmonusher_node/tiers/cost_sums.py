"""Cost samples on their way: queued until they are sent, and merged over the fleet at a keeper."""

from bisect import bisect_right
from collections import OrderedDict
from collections.abc import Iterable
from math import exp
from typing import Final

from persimmonusher_decisions.costs import CostSample
from persimmonusher_model.identifiers import ServiceName
from persimmonusher_node.tiers.load_wire import measure_sample

MAX_KINDS: Final = 256
"""Kinds of one service; beyond it the one that was updated longest ago is dropped."""
MAX_TOTAL_KINDS: Final = 65_536
"""Kinds of all services, some 20 MB; beyond it the service that was updated longest ago is
dropped."""
MAX_QUEUED_KINDS: Final = 4_096
"""Kinds queued for sending; samples of further kinds are dropped."""
MIN_CHANGE: Final = 0.1
"""Part of a mean by which it must have changed to be sent again."""
MEMORY_SECONDS: Final = 4.0
"""Time constant with which earlier samples lose weight: 8% is left of them after 10 s."""
KEPT_SAMPLES: Final = 8.0
"""Weight, in samples, below which time alone doesn't reduce a kind: the mean of a rare kind would
otherwise be that of its last request."""

CostKey = tuple[ServiceName, str]


class CostQueue:
    """Samples to be sent, merged by service and kind."""

    def __init__(self) -> None:
        self._sums: dict[CostKey, tuple[int, float]] = {}
        """Number of samples and the sum of their times, by service and kind."""

    def add(self, samples: Iterable[CostSample]) -> None:
        """Queue samples."""
        for sample in samples:
            key = (sample.service, sample.kind)
            if key not in self._sums and len(self._sums) >= MAX_QUEUED_KINDS:
                continue
            count, total = self._sums.get(key, (0, 0.0))
            self._sums[key] = (
                count + sample.count,
                total + sample.count * sample.mean_seconds,
            )

    def pop(self, max_bytes: int) -> tuple[CostSample, ...]:
        """Remove and return the kinds that were queued first, within a number of bytes.

        One is returned even if it alone is larger.
        """
        popped: list[CostSample] = []
        for (service, kind), (count, total) in self._sums.items():
            sample = CostSample(service, kind, count, total / max(1, count))
            max_bytes -= measure_sample(sample)
            if max_bytes < 0 and popped:
                break
            popped.append(sample)
        for sample in popped:
            del self._sums[sample.service, sample.kind]
        return tuple(popped)


class FleetCost:
    """The mean cost of one kind over the samples of all entries."""

    __slots__ = ("mean", "sent_mean", "updated_at", "version", "weight")

    def __init__(self, mean: float, now: float) -> None:
        self.mean = mean
        self.weight = 0.0
        self.updated_at = now
        self.sent_mean = 0.0
        self.version = 0

    def add(self, count: int, mean: float, now: float) -> None:
        """Add the mean of `count` samples."""
        kept = self.weight * exp(min(0.0, self.updated_at - now) / MEMORY_SECONDS)
        kept = max(kept, min(self.weight, KEPT_SAMPLES))
        self.weight = kept + count
        self.mean += (mean - self.mean) * count / self.weight
        self.updated_at = now

    @property
    def has_changed(self) -> bool:
        """Return whether the mean differs enough from the one that was sent last."""
        return abs(self.mean - self.sent_mean) > MIN_CHANGE * self.sent_mean


class CostSums:
    """The mean costs over the fleet, with a version that rises with each change to be sent."""

    def __init__(self) -> None:
        self._services: OrderedDict[ServiceName, OrderedDict[str, FleetCost]] = OrderedDict()
        self._kinds = 0
        self.version = 0
        self._changes: list[tuple[int, ServiceName, str]] = []
        """Changes by version; superseded ones are removed from time to time."""

    def add(self, samples: Iterable[CostSample], now: float) -> None:
        """Merge samples of entries."""
        for sample in samples:
            if sample.count:
                self._add_one(sample, now)
        if len(self._changes) > 2 * (MAX_KINDS + self._kinds):
            self._changes = [change for change in self._changes if self._find(change) is not None]

    def list_changed(self, since: int, max_bytes: int) -> tuple[list[CostSample], int]:
        """Return the costs that changed since a version, oldest change first.

        Also returns the version up to which they go, as far as they fit into a number of bytes; one
        is returned even if it alone is larger.
        """
        changed: list[CostSample] = []
        first = bisect_right(self._changes, since, key=lambda change: change[0])
        for change in self._changes[first:]:
            cost = self._find(change)
            if cost is not None:
                _, service, kind = change
                sample = CostSample(service, kind, max(1, round(cost.weight)), cost.sent_mean)
                max_bytes -= measure_sample(sample)
                if max_bytes < 0 and changed:
                    return changed, since
                changed.append(sample)
            since = change[0]
        return changed, since

    def _add_one(self, sample: CostSample, now: float) -> None:
        kinds = self._services.setdefault(sample.service, OrderedDict())
        self._services.move_to_end(sample.service)
        cost = kinds.get(sample.kind)
        if cost is None:
            cost = kinds[sample.kind] = FleetCost(sample.mean_seconds, now)
            self._kinds += 1
            self._drop_oldest(kinds)
        kinds.move_to_end(sample.kind)
        cost.add(sample.count, sample.mean_seconds, now)
        if cost.has_changed:
            self.version += 1
            cost.version, cost.sent_mean = self.version, cost.mean
            self._changes.append((self.version, sample.service, sample.kind))

    def _drop_oldest(self, kinds: OrderedDict[str, FleetCost]) -> None:
        """Drop what was updated longest ago while a service or all together have too many kinds."""
        if len(kinds) > MAX_KINDS:
            kinds.popitem(last=False)
            self._kinds -= 1
        if self._kinds > MAX_TOTAL_KINDS:
            _, dropped = self._services.popitem(last=False)
            self._kinds -= len(dropped)

    def _find(self, change: tuple[int, ServiceName, str]) -> FleetCost | None:
        """Return the cost of a change, or None if it was changed again or dropped since."""
        version, service, kind = change
        kinds = self._services.get(service)
        cost = None if kinds is None else kinds.get(kind)
        return cost if cost is not None and cost.version == version else None
