"""The expected service time of requests that look alike and differ in cost."""

import unittest
from collections.abc import Callable
from dataclasses import replace
from random import Random
from statistics import fmean

from decisions_helpers import SERVICE, make_request

from persimmonusher_decisions.costs import (
    MAX_DETAILS,
    MAX_KIND_CHARACTERS,
    MAX_ORGANISATIONS,
    MAX_ROUTES,
    MAX_SPEED,
    CostModel,
    CostSample,
)
from persimmonusher_decisions.work import Request
from persimmonusher_model.identifiers import ServerId

SERVER = ServerId("s0")


def make_kind(route: str, organisation: str = "o", body_bytes: int = 0) -> Request:
    request = make_request("r", caller=organisation)
    return replace(request, request_class=route, method="POST", body_bytes=body_bytes)


def find_errors(draw: Callable[[Random], tuple[Request, float]]) -> tuple[float, float]:
    """Return the mean absolute error of the model, and of the mean of the route, over the mean.

    Ten requests a second, over 200 s; errors count after the first 20 s.
    """
    random, model = Random(5), CostModel(SERVICE)
    totals: dict[str, list[float]] = {}
    ours, plain, actual = [], [], []
    for number in range(2_000):
        request, seconds = draw(random)
        seen = totals.setdefault(request.request_class, [])
        if number >= 200:
            ours.append(abs(model.estimate(request) - seconds))
            plain.append(abs(fmean(seen) - seconds))
            actual.append(seconds)
        seen.append(seconds)
        model.record(request, SERVER, seconds, number / 10)
    return fmean(ours) / fmean(actual), fmean(plain) / fmean(actual)


class ErrorTest(unittest.TestCase):
    """Load pattern: requests of one route that differ in cost."""

    def test_a_tail_that_its_organisations_cause_is_expected(self) -> None:
        """Guards against expecting the mean of the route for organisations with costly requests."""
        for share, factor in ((0.01, 5.0), (0.03, 7.0)):
            with self.subTest(share=share):

                def draw(random: Random, share: float = share, factor: float = factor):
                    is_costly = random.random() < share
                    name = "big" if is_costly else f"o{random.randrange(30)}"
                    seconds = 0.3 * random.lognormvariate(0.0, 0.3)
                    return make_kind("a", name), seconds * (factor if is_costly else 1.0)

                ours, plain = find_errors(draw)
                self.assertLess(ours, plain)

    def test_a_tail_without_a_mark_costs_little_accuracy(self) -> None:
        """Guards against a few costly requests that raise the estimate of all later ones."""
        for share, factor in ((0.01, 5.0), (0.03, 7.0)):
            with self.subTest(share=share):

                def draw(random: Random, share: float = share, factor: float = factor):
                    costly = factor if random.random() < share else 1.0
                    seconds = 0.3 * random.lognormvariate(0.0, 0.3) * costly
                    return make_kind("a", f"o{random.randrange(30)}"), seconds

                ours, plain = find_errors(draw)
                self.assertLess(ours, 1.3 * plain)

    def test_two_sizes_on_one_route_are_told_apart(self) -> None:
        """Guards against one estimate for bodies of 4 and 360 KB, 0.38 s and 1.9 s of work."""

        def draw(random: Random):
            is_large = random.random() < 0.2
            seconds = (1.9 if is_large else 0.38) * random.lognormvariate(0.0, 0.3)
            return make_kind("a", "o", 360_000 if is_large else 3_000), seconds

        ours, plain = find_errors(draw)
        self.assertLess(ours, 0.5 * plain)


class FallbackTest(unittest.TestCase):
    def setUp(self) -> None:
        self.model = CostModel(SERVICE)
        for number in range(100):
            self.model.record(make_kind("short"), SERVER, 0.38, number / 20)
            self.model.record(make_kind("long"), SERVER, 1.9, number / 20)

    def test_an_unknown_kind_gets_the_estimate_of_its_wider_class(self) -> None:
        """Guards against no estimate, or a wild one, for an organisation or size that is new."""
        known = self.model.estimate(make_kind("long"))
        self.assertAlmostEqual(known, 1.9, delta=0.1)
        self.assertAlmostEqual(self.model.estimate(make_kind("long", "new", 99_999)), known, 1)
        self.assertAlmostEqual(self.model.estimate(make_kind("other")), 1.14, delta=0.2)
        self.assertEqual(CostModel(SERVICE).estimate(make_kind("a")), 0.0)

    def test_a_change_of_the_work_is_followed_within_10_seconds(self) -> None:
        """Guards against the old estimate after a release that makes a route three times slower."""
        for number in range(50):
            self.model.record(make_kind("short"), SERVER, 1.14, 5.0 + number / 5)
        self.assertAlmostEqual(self.model.estimate(make_kind("short")), 1.14, delta=0.15)

    def test_memory_is_bounded_and_keeps_what_is_used(self) -> None:
        """Guards against unbounded memory, and against routes displaced by organisations."""
        for number in range(2_000):
            self.model.record(make_kind("short", f"o{number}" * 20), SERVER, 0.38, 6.0)
            self.model.record(make_kind(f"rare{number}"), SERVER, 5.0, 6.0)
            self.model.record(make_kind("long", "o", number << 12), SERVER, 1.9, 6.0)
        samples = self.model.pop_samples()
        self.assertLess(len(samples), MAX_ROUTES + MAX_DETAILS + MAX_ORGANISATIONS + 2)
        self.assertLessEqual(max(len(sample.kind) for sample in samples), MAX_KIND_CHARACTERS)
        self.assertAlmostEqual(self.model.estimate(make_kind("short")), 0.38, delta=0.1)
        self.assertEqual(self.model.pop_samples(), ())


class FleetTest(unittest.TestCase):
    def test_instances_learn_from_each_others_samples(self) -> None:
        """Guards against 93 instances that each wait for samples of their own."""
        first, second = CostModel(SERVICE), CostModel(SERVICE)
        for number in range(60):
            first.record(make_kind("long", body_bytes=9_000), SERVER, 1.9, number / 10)
            first.record(make_kind("short"), SERVER, 0.38, number / 10)
        samples = first.pop_samples()
        second.apply_samples(samples, 1.0)
        request = make_kind("long", body_bytes=9_000)
        self.assertAlmostEqual(second.estimate(request), 1.9, delta=0.2)
        second.apply_samples([replace(samples[0], service=SERVICE + "x", mean_seconds=9.0)], 1.0)
        self.assertAlmostEqual(second.estimate(request), 1.9, delta=0.2)

    def test_a_speed_is_shrunk_and_bounded(self) -> None:
        """Guards against one quick or slow answer that decides on a server's share."""
        model = CostModel(SERVICE)
        for number in range(50):
            model.record(make_kind("a"), SERVER, 1.0, number / 10)
        model.record(make_kind("a"), ServerId("s1"), 0.25, 5.0)
        self.assertLess(model.find_speed(ServerId("s1")), 1.3)
        model.apply_samples([CostSample(SERVICE, "v:s2", 500, 0.01)], 5.0)
        self.assertEqual(model.find_speed(ServerId("s2")), MAX_SPEED)
        self.assertEqual(model.find_speed(ServerId("s3")), 1.0)


if __name__ == "__main__":
    unittest.main()
