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

MAX_ROUTES: Final = 96
"""Routes remembered for one service, and the service as a whole."""
MAX_DETAILS: Final = 96
"""Routes with method and size class remembered for one service."""
MAX_ORGANISATIONS: Final = 64
MAX_SERVERS: Final = 512
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
"""Largest weight, in samples, of the mean over all instances."""
MAX_OWN_SAMPLES: Final = 16.0
"""Largest weight, in samples, of this instance's own mean beside it."""
MAX_SERVER_RATIO: Final = 4.0
"""Where service times are compared with the expected ones to learn a server's speed, they are
clamped to this many times those: a single expensive request says little about the server."""
MAX_ORGANISATION_RATIO: Final = 8.0
"""The same for organisations. It is larger, as all requests of one may be that expensive."""
MAX_SPEED: Final = 2.0
MIN_SPEED: Final = 0.4
"""Bounds of a server's speed relative to the others. A server that is slower than this is left to
the assessor, which ejects it."""
SIZE_CLASS_SHIFT: Final = 12
"""Bodies below 4 KiB (2^12 bytes) share a size class; above, each doubling begins another one."""
NO_SERVICE: Final = ServiceName("")
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


class KindEstimate:
    """What is known of one kind: this instance's own samples and the mean of all instances.

    `own_count` and `fleet_count` are weights in samples; earlier samples lose weight.
    """

    __slots__ = (
        "fleet_count",
        "fleet_mean",
        "own_count",
        "own_mean",
        "unsent_count",
        "unsent_total",
        "updated_at",
    )

    def __init__(self, now: float) -> None:
        self.own_count = 0.0
        self.own_mean = 0.0
        self.updated_at = now
        self.fleet_count = 0.0
        self.fleet_mean = 0.0
        self.unsent_count = 0
        self.unsent_total = 0.0

    def add(self, value: float, now: float, memory_seconds: float) -> None:
        """Add a sample of this instance's own."""
        kept = self.own_count * exp(min(0.0, self.updated_at - now) / memory_seconds)
        kept = max(kept, min(self.own_count, KEPT_SAMPLES))
        self.own_count = kept + 1.0
        self.own_mean += (value - self.own_mean) / self.own_count
        self.updated_at = now
        self.unsent_count += 1
        self.unsent_total += value

    def apply(self, count: float, mean: float) -> None:
        """Apply a mean over all instances; it replaces the one before it, except for small counts.

        A mean of few samples is averaged with what was known, as it may be that of one answer.
        """
        kept = min(self.fleet_count, KEPT_SAMPLES)
        self.fleet_mean += (mean - self.fleet_mean) * count / (kept + count)
        self.fleet_count = kept + count

    def refine(self, wider: float) -> float:
        """Return the estimate for this kind, given that of the wider class."""
        fleet = min(self.fleet_count, MAX_FLEET_SAMPLES)
        own = min(self.own_count, MAX_OWN_SAMPLES) if fleet else self.own_count
        total = wider * PRIOR_SAMPLES + self.fleet_mean * fleet + self.own_mean * own
        return total / (PRIOR_SAMPLES + fleet + own)


class CostBook:
    """Estimates by kind, at most `max_kinds` of them; the least recently used one is dropped."""

    def __init__(self, max_kinds: int, memory_seconds: float) -> None:
        self._max_kinds = max_kinds
        self._memory_seconds = memory_seconds
        self._estimates: OrderedDict[str, KindEstimate] = OrderedDict()

    def __len__(self) -> int:
        return len(self._estimates)

    def find(self, kind: str) -> KindEstimate | None:
        """Return the estimate of a kind, or None; it counts as used."""
        estimate = self._estimates.get(kind)
        if estimate is not None:
            self._estimates.move_to_end(kind)
        return estimate

    def refine(self, kind: str, wider: float) -> float:
        """Return the estimate for a kind, or that of the wider class if it is unknown."""
        estimate = self.find(kind)
        return wider if estimate is None else estimate.refine(wider)

    def add(self, kind: str, value: float, now: float) -> None:
        """Add a sample of this instance's own."""
        self._keep(kind, now).add(value, now, self._memory_seconds)

    def apply(self, sample: CostSample, now: float) -> None:
        """Apply a mean over all instances."""
        self._keep(sample.kind, now).apply(sample.count, sample.mean_seconds)

    def pop_samples(self, service: ServiceName) -> list[CostSample]:
        """Return this instance's samples since the last call."""
        samples = []
        for kind, estimate in self._estimates.items():
            if estimate.unsent_count:
                mean = estimate.unsent_total / estimate.unsent_count
                samples.append(CostSample(service, kind, estimate.unsent_count, mean))
                estimate.unsent_count, estimate.unsent_total = 0, 0.0
        return samples

    def _keep(self, kind: str, now: float) -> KindEstimate:
        estimate = self.find(kind)
        if estimate is None:
            estimate = self._estimates[kind] = KindEstimate(now)
            if len(self._estimates) > self._max_kinds:
                self._estimates.popitem(last=False)
        return estimate


class CostModel:
    """Estimates service times from this instance's own samples and those of all instances.

    An estimate begins with the mean of the service and is refined by the route, then by method and
    size class, each as far as there are samples. The result is multiplied by the ratio of the
    organisation. So an unknown or rare kind gets the estimate of its wider class. Each level
    has a book of its own, so that many narrow kinds don't displace the wider ones.
    """

    def __init__(self, service: ServiceName = NO_SERVICE) -> None:
        self._service = service
        self._routes = CostBook(MAX_ROUTES, COST_MEMORY_SECONDS)
        self._details = CostBook(MAX_DETAILS, COST_MEMORY_SECONDS)
        self._organisations = CostBook(MAX_ORGANISATIONS, COST_MEMORY_SECONDS)
        self._servers = CostBook(MAX_SERVERS, SPEED_MEMORY_SECONDS)

    @property
    def mean_seconds(self) -> float:
        """Return the mean service time of all requests of the service; 0 if unknown."""
        known = self._routes.find(SERVICE_KIND)
        return 0.0 if known is None else self._find_mean(known)

    def estimate(self, request: Request) -> float:
        """Return the expected service time of a request in seconds; 0 if nothing is known yet."""
        mean = self.mean_seconds
        if not mean:
            return 0.0
        kinds = RequestKinds.derive(request)
        return self._refine(kinds, mean) * self._organisations.refine(kinds.organisation, 1.0)

    def find_speed(self, server_id: ServerId) -> float:
        """Return a server's speed relative to the others; 1 for an average or unknown one."""
        ratio = self._servers.refine(name_kind(SERVER_PREFIX, server_id), 1.0)
        return 1.0 / min(1.0 / MIN_SPEED, max(1.0 / MAX_SPEED, ratio))

    def record(self, request: Request, server_id: ServerId, seconds: float, now: float) -> None:
        """Add the service time of a request that a server began at once."""
        kinds = RequestKinds.derive(request)
        similar = self._refine(kinds, self.mean_seconds)
        if similar:
            self._record_ratios(kinds, server_id, seconds, similar, now)
        self._routes.add(SERVICE_KIND, seconds, now)
        self._routes.add(kinds.route, seconds, now)
        self._details.add(kinds.detail, seconds, now)

    def pop_samples(self) -> tuple[CostSample, ...]:
        """Return what was recorded since the last call, to be sent to the other instances."""
        books = (self._routes, self._details, self._organisations, self._servers)
        return tuple(sample for book in books for sample in book.pop_samples(self._service))

    def apply_samples(self, samples: Iterable[CostSample], now: float) -> None:
        """Apply means over all instances; those of other services are ignored."""
        for sample in samples:
            if sample.service == self._service and sample.count > 0 and sample.mean_seconds > 0.0:
                self._find_book(sample.kind).apply(sample, now)

    def _record_ratios(
        self, kinds: RequestKinds, server_id: ServerId, seconds: float, similar: float, now: float
    ) -> None:
        """Compare a service time with that of similar requests, `similar`.

        For its organisation only if the route is known: otherwise the difference is the route's.
        """
        expected = similar * self._organisations.refine(kinds.organisation, 1.0)
        server_kind = name_kind(SERVER_PREFIX, server_id)
        self._servers.add(server_kind, _find_ratio(seconds, expected, MAX_SERVER_RATIO), now)
        if self._routes.find(kinds.route) is not None:
            ratio = _find_ratio(seconds, similar, MAX_ORGANISATION_RATIO)
            self._organisations.add(kinds.organisation, ratio, now)

    def _refine(self, kinds: RequestKinds, mean: float) -> float:
        return self._details.refine(kinds.detail, self._routes.refine(kinds.route, mean))

    def _find_book(self, kind: str) -> CostBook:
        books = {
            SERVER_PREFIX: self._servers,
            ORGANISATION_PREFIX: self._organisations,
            DETAIL_PREFIX: self._details,
        }
        return books.get(kind[:2], self._routes)

    @staticmethod
    def _find_mean(known: KindEstimate) -> float:
        return known.refine(known.fleet_mean if known.fleet_count else known.own_mean)


def _find_ratio(seconds: float, expected: float, largest: float) -> float:
    return min(largest, max(1.0 / largest, seconds / expected))
