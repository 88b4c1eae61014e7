"""The latency baseline of one class of requests, over all servers of a service."""

from math import log2
from typing import Final

BUCKETS_PER_OCTAVE: Final = 4
BUCKETS: Final = 96
MIN_LATENCY_SECONDS: Final = 0.0001
SLOW_FACTOR: Final = 3.0
"""An answer is slow beyond this many times the median. A high quantile wouldn't do: if a class
mixes short and long work, a high quantile is that of the long work, and short work on a server that
is 8 times slower would count as usual."""
HIGH_QUANTILE: Final = 0.99
STUCK_FACTOR_OF_HIGH_QUANTILE: Final = 1.5
STUCK_FACTOR_OF_MEDIAN: Final = 30.0
"""An attempt is stuck beyond both STUCK_FACTOR_OF_HIGH_QUANTILE times the 99th percentile and
STUCK_FACTOR_OF_MEDIAN times the median. Fewer than one answer in a hundred of healthy servers takes
as long, which the sequential test counts as usual. The median's factor is large because at first
there are too few samples for a 99th percentile: with a small factor, an instance that has just
started would count ordinary long work as stuck, and healthy servers would be ejected at the onset
of an overload."""
MIN_SAMPLES: Final = 32
REFRESH_SAMPLES: Final = 64
MAX_SAMPLES: Final = 1024


class LatencyBaseline:
    """A decaying logarithmic histogram of latencies in seconds, and the limits derived from it.

    From MAX_SAMPLES samples on it halves its counts, so that it follows a change of load within
    some hundred answers. Its quarter-octave buckets are accurate to 19%, enough for a factor of 3.
    """

    def __init__(self) -> None:
        self._counts = [0] * BUCKETS
        self._samples = 0
        self._until_refresh = MIN_SAMPLES
        self.median: float | None = None
        self.slow_limit: float | None = None
        """Latency beyond which an answer counts as slow; None before MIN_SAMPLES samples."""
        self.stuck_limit: float | None = None
        """Time in flight beyond which an attempt counts as failed although it hasn't ended."""

    def record(self, latency: float) -> None:
        """Add a successful answer's latency."""
        bucket = 0
        if latency > MIN_LATENCY_SECONDS:
            bucket = min(BUCKETS - 1, int(BUCKETS_PER_OCTAVE * log2(latency / MIN_LATENCY_SECONDS)))
        self._counts[bucket] += 1
        self._samples += 1
        self._until_refresh -= 1
        if self._until_refresh <= 0:
            self._refresh()

    def _refresh(self) -> None:
        self._until_refresh = REFRESH_SAMPLES
        self.median = self._find_quantile(0.5)
        self.slow_limit = SLOW_FACTOR * self.median
        high_quantile = self._find_quantile(HIGH_QUANTILE)
        self.stuck_limit = max(
            STUCK_FACTOR_OF_MEDIAN * self.median, STUCK_FACTOR_OF_HIGH_QUANTILE * high_quantile
        )
        if self._samples >= MAX_SAMPLES:
            self._counts = [count // 2 for count in self._counts]
            self._samples = sum(self._counts)

    def _find_quantile(self, share: float) -> float:
        wanted = self._samples * share
        seen = 0
        for bucket, count in enumerate(self._counts):
            seen += count
            if seen >= wanted:
                return float(MIN_LATENCY_SECONDS * 2.0 ** ((bucket + 1) / BUCKETS_PER_OCTAVE))
        return float(MIN_LATENCY_SECONDS * 2.0 ** (BUCKETS / BUCKETS_PER_OCTAVE))
