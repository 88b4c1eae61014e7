import unittest
from collections import Counter
from random import Random

from persimmonusher_decisions.splitting import WeightedChooser
from persimmonusher_model.identifiers import ServiceName
from persimmonusher_model.routing import WeightedService


def make_parts(**weights: int) -> list[WeightedService]:
    return [WeightedService(ServiceName(name), weight) for name, weight in weights.items()]


class SplittingTest(unittest.TestCase):
    def test_few_requests_over_many_instances_keep_the_weights(self) -> None:
        """Guards against a share that is wrong over few requests on many instances.

        An operator sends a tenth of a route to a new release and judges it after 300 requests. Each
        of 48 instances sees six of them; the release must still get its tenth.
        """
        total: Counter[str] = Counter()
        for instance in range(48):
            chooser = WeightedChooser(make_parts(old=90, new=10), Random(instance))
            total.update(chooser.choose() for _ in range(6))
        self.assertAlmostEqual(total["new"] / 288, 0.1, delta=0.03)

    def test_one_instance_is_never_off_by_more_than_a_request(self) -> None:
        chooser = WeightedChooser(make_parts(a=50, b=30, c=20), Random(3))
        seen: Counter[str] = Counter()
        for number in range(1, 201):
            seen[chooser.choose()] += 1
            for name, share in (("a", 0.5), ("b", 0.3), ("c", 0.2)):
                self.assertLess(abs(seen[name] - number * share), 2.0)

    def test_a_part_without_weight_gets_nothing(self) -> None:
        chooser = WeightedChooser(make_parts(a=1, b=0), Random(1))
        self.assertEqual({chooser.choose() for _ in range(20)}, {"a"})
