"""Further attempts of the whole fleet in any ten seconds, while entries are killed and miscounted.

All callers' requests begin to be refused, so that every entry wants as many further attempts as it
may send. RETRY_BOUND_SEEDS="0 200" plays a range of series.
"""

import os
import unittest
from random import Random

from virtual_retries import Fleet

CALM_SECONDS = 12.0
REFUSED_SHARE = 0.8


class RetryBoundTest(unittest.TestCase):
    def setUp(self) -> None:
        self.fleet = Fleet(count=40, slack=64.0, rate=80.0, seed=1)

    def begin_refusing(self, rate: float = 80.0) -> None:
        self.fleet.rate = rate
        self.fleet.run(CALM_SECONDS)
        self.fleet.failing = REFUSED_SHARE

    def check(self) -> None:
        self.assertGreater(len(self.fleet.further), 60)
        self.assertLessEqual(self.fleet.find_excess(), 0.0)

    # Guards against a budget that is too large even while no entry starts or stops.
    def test_a_calm_fleet_keeps_the_bound(self) -> None:
        self.begin_refusing()
        self.fleet.run(15.0)
        self.check()

    # Guards against a second budget for entries that are killed and start again.
    def test_killed_entries_that_start_again_keep_the_bound(self) -> None:
        self.begin_refusing()
        self.fleet.run(2.0)
        killed = range(22)
        self.fleet.kill(killed)
        self.fleet.run(0.5)
        for number in killed:
            self.fleet.start(number)
        self.fleet.run(0.5)
        self.fleet.tell(25)
        self.fleet.run(0.5)
        self.fleet.tell(40)
        self.fleet.run(12.0)
        self.check()

    # Guards against a second budget for entries that are stopped and started in turn.
    def test_a_rolling_restart_keeps_the_bound(self) -> None:
        self.begin_refusing()
        for first in range(0, 40, 4):
            pair = range(first, first + 4)
            self.fleet.kill(pair)
            self.fleet.run(0.5)
            for number in pair:
                self.fleet.start(number, counted=40)
            self.fleet.run(0.5)
        self.fleet.run(5.0)
        self.check()

    # Guards against entries that start with their keepers, which count a few of them at first.
    def test_a_fleet_whose_processes_are_all_killed_keeps_the_bound(self) -> None:
        self.begin_refusing(rate=40.0)
        self.fleet.run(2.0)
        self.fleet.kill(range(40))
        for number in range(40):
            self.fleet.start(number)
        for counted in (1, 3, 20, 40):
            self.fleet.run(0.7)
            self.fleet.tell(counted)
        self.fleet.run(12.0)
        self.check()

    # Guards against entries that share out the slack among too few while the others still spend.
    def test_entries_that_are_told_of_half_of_the_fleet_keep_the_bound(self) -> None:
        self.begin_refusing()
        self.fleet.run(3.0)
        self.fleet.tell(21, range(21))
        self.fleet.run(12.0)
        self.check()

    # Guards against a second budget for the requests of callers whose entry was lost.
    def test_callers_that_move_to_the_remaining_entries_keep_the_bound(self) -> None:
        self.begin_refusing(rate=400.0)
        self.fleet.run(3.0)
        self.fleet.kill(range(22))
        self.fleet.run(12.0)
        self.check()


class RetrySeriesTest(unittest.TestCase):
    # Guards against sequences of kills, restarts and wrong numbers of entries not thought of here.
    def test_drawn_series_keep_the_bound(self) -> None:
        first, last = map(int, os.environ.get("RETRY_BOUND_SEEDS", "0 12").split())
        for seed in range(first, last):
            with self.subTest(seed=seed):
                self.assertLessEqual(play_series(seed).find_excess(), 0.0)


def play_series(seed: int) -> Fleet:
    """Play six disruptions in 15 s, each drawn, in a fleet of a drawn size and rate."""
    fleet = Fleet(count=40, slack=64.0, rate=80.0, seed=seed)
    random = Random(seed)
    fleet.rate = random.choice((20.0, 80.0, 200.0, 400.0))
    fleet.run(CALM_SECONDS)
    fleet.failing = random.choice((0.3, 0.6, 0.9))
    for _ in range(6):
        fleet.run(random.uniform(0.2, 2.5))
        chosen = random.sample(range(fleet.count), random.randint(2, 28))
        kind = random.choice(("kill", "kill", "restart", "miscount", "calm"))
        if kind == "kill":
            fleet.kill([number for number in chosen if number in fleet.entries])
            fleet.run(random.uniform(0.2, 2.0))
        if kind in ("kill", "restart"):
            for number in chosen:
                fleet.start(number, random.choice((0, 5, fleet.count)))
            fleet.run(random.uniform(0.2, 1.5))
        if kind == "miscount":
            fleet.tell(random.randint(1, fleet.count), [n for n in chosen if n in fleet.entries])
            continue
        fleet.tell(fleet.count)
    fleet.run(5.0)
    return fleet


if __name__ == "__main__":
    unittest.main()
