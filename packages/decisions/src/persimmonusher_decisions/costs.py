"""The expected service time of a request, learned by kind and exchanged between instances.

A service time is the time that a server works on a request, without the time in a queue.
"""

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass
from hashlib import blake2b
from math import exp
from typing import Final

from persimmonusher_decisions.work import Request
from persimmonusher_model.identifiers import ServerId, ServiceName

MAX_KINDS: Final = 256
"""Kinds remembered for one service; the least recently used one is dropped."""
MAX_KIND_CHARACTERS: Final = 64
COST_MEMORY_SECONDS: Final = 4.0
"""Time constant with which earlier samples lose weight: 8% is left of them after 10 s."""
SPEED_MEMORY_SECONDS: Final = 15.0
"""The same for servers. They get fewer samples than a kind of request, and change less often."""
KEPT_SAMPLES: Final = 4.0
"""Weight, in samples, below which time alone doesn't reduce a kind, so that a rare one is still
known. Each new sample of it then counts a fifth."""
PRIOR_SAMPLES: Final = 4.0
"""Weight, in samples, of the wider class in an estimate: with as many samples, half of it is that
of the kind itself."""
MAX_FLEET_SAMPLES: Final = 64.0
"""Largest weight, in samples, of the other instances' estimate beside this instance's own."""
MAX_SAMPLE_RATIO: Final = 4.0
"""A service time is clamped to this many times the expected one where it is compared with it, for
servers and organisations: a single expensive request says little about either."""
MAX_SPEED: Final = 2.0
MIN_SPEED: Final = 0.4
"""Bounds of a server's speed relative to the others. A server that is slower than this is left to
the assessor, which ejects it."""
SIZE_CLASS_SHIFT: Final = 12
"""Bodies below 4 KiB (2^12 bytes) share a size class; above, each doubling begins another one."""
SERVICE_KIND: Final = "s"
ROUTE_PREFIX: Final = "r:"
DETAIL_PREFIX: Final = "d:"
ORGANISATION_PREFIX: Final = "o:"
SERVER_PREFIX: Final = "v:"


@dataclass(frozen=True)
class CostSample:
    """The mean service time of `count` requests of one kind.

    `kind` has up to 64 characters and identifies the service as a whole, a route, a route with
    method and size class, an organisation, or a server. For organisations and servers,
    `mean_seconds` is the ratio of the service time to the expected one of the same requests.
    """

    service: ServiceName
    kind: str
    count: int
    mean_seconds: float


def name_kind(prefix: str, *parts: str) -> str:
    """Return the name of a kind, with a digest in place of parts that are too long together."""
    name = prefix + "|".join(parts)
    if len(name) <= MAX_KIND_CHARACTERS:
        return name
    return prefix + blake2b(name.encode(), digest_size=16).hexdigest()


@dataclass(frozen=True)
class RequestKinds:
    """The kinds that a request belongs to, except that of the service."""

    route: str
    detail: str
    organisation: str

    @classmethod
    def derive(cls, request: Request) -> "RequestKinds":
        """Return the kinds of a request."""
        size_class = str((request.body_bytes >> SIZE_CLASS_SHIFT).bit_length())
        return cls(
            name_kind(ROUTE_PREFIX, request.request_class),
            name_kind(DETAIL_PREFIX, request.request_class, request.method, size_class),
            name_kind(ORGANISATION_PREFIX, request.caller),
        )


class MeanEstimate:
    """A mean over samples that lose weight with time; `count` is their weight in samples."""

    __slots__ = ("count", "mean", "updated_at")

    def __init__(self, count: float, mean: float, now: float) -> None:
        self.count = count
        self.mean = mean
        self.updated_at = now

    def add(self, count: float, mean: float, now: float, memory_seconds: float) -> None:
        """Add the mean of `count` samples taken now."""
        kept = self.count * exp(min(0.0, self.updated_at - now) / memory_seconds)
        kept = max(kept, min(self.count, KEPT_SAMPLES))
        self.count = kept + count
        self.mean += (mean - self.mean) * count / self.count
        self.updated_at = now


class CostBook:
    """Mean estimates by kind, at most `max_kinds` of them.

    Keepers can merge the samples of their followers with it as entries do with their own.
    """

    def __init__(self, max_kinds: int = MAX_KINDS) -> None:
        self._max_kinds = max_kinds
        self._estimates: OrderedDict[str, MeanEstimate] = OrderedDict()

    def __len__(self) -> int:
        return len(self._estimates)

    def add(self, kind: str, count: float, mean: float, now: float) -> None:
        """Add the mean of `count` samples of a kind."""
        estimate = self._estimates.get(kind)
        if estimate is None:
            self._estimates[kind] = MeanEstimate(count, mean, now)
            if len(self._estimates) > self._max_kinds:
                self._estimates.popitem(last=False)
            return
        is_server = kind.startswith(SERVER_PREFIX)
        memory_seconds = SPEED_MEMORY_SECONDS if is_server else COST_MEMORY_SECONDS
        estimate.add(count, mean, now, memory_seconds)
        self._estimates.move_to_end(kind)

    def find(self, kind: str) -> MeanEstimate | None:
        """Return the estimate of a kind, or None; it counts as used."""
        estimate = self._estimates.get(kind)
        if estimate is not None:
            self._estimates.move_to_end(kind)
        return estimate


class CostModel:
    """Estimates service times from this instance's own samples and those of all instances.

    An estimate begins with the mean of the service and is refined by the route, then by method and
    size class, each as far as there are samples. The result is multiplied by the ratio of the
    organisation. So an unknown or rare kind gets the estimate of its wider class.
    """

    def __init__(self, service: ServiceName) -> None:
        self._service = service
        self._own = CostBook()
        self._fleet = CostBook()
        self._unsent = CostBook()
        self._unsent_totals: dict[str, tuple[int, float]] = {}

    def estimate(self, request: Request) -> float:
        """Return the expected service time of a request in seconds; 0 if nothing is known yet."""
        raise NotImplementedError

    def find_speed(self, server_id: ServerId) -> float:
        """Return a server's speed relative to the others; 1 for an average or unknown one."""
        raise NotImplementedError

    def record(self, request: Request, server_id: ServerId, seconds: float, now: float) -> None:
        """Add the service time of a request that a server began at once."""
        raise NotImplementedError

    def pop_samples(self) -> tuple[CostSample, ...]:
        """Return what was recorded since the last call, to be sent to the other instances."""
        raise NotImplementedError

    def apply_samples(self, samples: Iterable[CostSample], now: float) -> None:
        """Apply the means over all instances."""
        raise NotImplementedError
