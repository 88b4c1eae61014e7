"""The sequential test that detects failing or slow servers, and its false-positive rate."""

from dataclasses import dataclass
from math import log
from typing import Final

SLICE_SECONDS: Final = 0.1
"""Evidence is evaluated in slices of this length, each with a bounded contribution."""

MIN_USUAL_FAILING_SHARE: Final = 0.01
"""Lower bound of the peers' usual failing share: rarer failures are noise."""
MIN_USUAL_SLOW_SHARE: Final = 0.05
"""Lower bound of the peers' usual slow share."""
LENIENCY_FACTOR: Final = 1.5
"""Shares up to this many times the peers' lasting share count as natural differences between
servers."""
SLOW_TEST_REACH: Final = 0.6
"""The slow share tested for is the usual one plus this part of the rest. A server that is 2 times
slower stays below it (it still carries half its work, and placement gives it less); one that is 4
times slower is beyond it."""


@dataclass(frozen=True)
class Sensitivity:
    """The test's limits, from a profile's `detection_sensitivity`.

    `threshold` is in nats: if answers were independent, a healthy server would cross it at most
    once in e^threshold answers (Lorden's bound for CUSUM): e^16.6 is 16 million, e^21.4 two
    billion. Natural noise, which isn't independent, is bounded by the number of slices that
    evidence must span: a pause or a burst shorter than that can't eject a server, however many
    answers it affects.
    """

    threshold: float
    failing_slices: int
    slow_slices: int
    least_failing: float
    """The smallest failing share that the test is designed to detect. With a much smaller one a
    natural blip would be remembered for seconds, and a second one in that time would eject."""

    @classmethod
    def derive(cls, sensitivity: float) -> "Sensitivity":
        """Return the limits between ejection-averse (0) and detection-first (1)."""
        aversion = 1.0 - sensitivity
        return cls(
            threshold=16.0 + 6.0 * aversion,
            failing_slices=round(4 + 10 * aversion),
            slow_slices=round(19 + 8 * aversion),
            least_failing=0.12 + 0.05 * aversion,
        )


class SequentialTest:
    """A one-sided CUSUM of log-likelihood ratios, with a bounded contribution from each slice.

    It reaches a verdict from a few answers per second as soon as the evidence allows, not at the
    end of a window. With a fixed count of failures, noise would eject a busy server, and an idle
    one would never be ejected. `score` is 0 for a server like its peers and 1 at the threshold. It
    is capped at LARGEST_SCORE, so that a server that the floor kept in place can recover in about
    as many slices as its detection needed.
    """

    LARGEST_SCORE: Final = 1.5

    __slots__ = ("score",)

    def __init__(self) -> None:
        self.score = 0.0

    def add(
        self, bad: int, total: int, usual: float, faulty: float, cap: float, scale: float
    ) -> None:
        """Add one slice: `bad` of `total` answers, tested for the share `faulty` against `usual`.

        `cap` bounds the slice's contribution as a share of the threshold; `scale` is the threshold.
        """
        if not total or (not bad and not self.score):
            return
        log_ratio = bad * log(faulty / usual) + (total - bad) * log((1.0 - faulty) / (1.0 - usual))
        contribution = max(-cap, min(cap, log_ratio / scale))
        self.score = max(0.0, min(self.LARGEST_SCORE, self.score + contribution))

    def reset(self) -> None:
        """Set the score back to 0."""
        self.score = 0.0


def choose_faulty_failing_share(usual: float, least: float) -> float:
    """Return the failing share to test for, given the usual one and the least to detect."""
    return min(max(least, 4.0 * usual), (1.0 + usual) / 2.0)


def choose_faulty_slow_share(usual: float) -> float:
    """Return the slow share to test for, given the usual one."""
    return usual + SLOW_TEST_REACH * (1.0 - usual)
