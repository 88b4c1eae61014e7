"""Placement by expected work in a fleet with uneven requests and uneven servers."""

import unittest
from dataclasses import replace

from decisions_helpers import dispatched, make_request, make_traffic
from heavy_loads import PROFILE
from uneven_fleet import UnevenFleet, UnevenLoad

from persimmonusher_decisions.server_work import MAX_AGE_SECONDS, WorkInProgress
from persimmonusher_decisions.work import Outcome, OutcomeKind
from persimmonusher_model.identifiers import ServerId

AWARE = PROFILE.model_copy(update={"work_aware": True})
LOAD = UnevenLoad(instances=31, seconds=28.0, state_age=0.1)
"""Two routes of 0.38 and 1.9 s, one request in 100 five times as long, speeds of 0.7 to 1.3."""


def play(load: UnevenLoad, is_aware: bool, seed: int = 1) -> UnevenFleet:
    fleet = UnevenFleet(load, AWARE if is_aware else PROFILE, seed)
    fleet.run()
    return fleet


class UnevenLoadTest(unittest.TestCase):
    def test_uneven_requests_load_servers_more_evenly_than_counts(self) -> None:
        """Guards against long waits at some servers while others have free slots.

        With sums that are 0.1, 0.5 or 1.5 s old on arrival, at 0.3 to 1.2 of capacity; old ones
        guard against herding on servers that were idle then.
        """
        for utilization, age in ((0.3, 0.5), (0.6, 0.5), (0.9, 0.1), (0.9, 1.5), (1.2, 0.5)):
            with self.subTest(utilization=utilization, age=age):
                load = replace(LOAD, utilization=utilization, state_age=age)
                counted, aware = play(load, False), play(load, True)
                self.assertLessEqual(aware.wait_quantile, counted.wait_quantile)
                self.assertLess(aware.busiest_ratio, counted.busiest_ratio)

    def test_without_sums_every_decision_is_the_same(self) -> None:
        """Guards against any other placement when the keepers are gone, at 0.6 of capacity."""
        load = replace(LOAD, state_age=None, seconds=14.0)
        counted, aware = play(load, False), play(load, True)
        self.assertEqual(counted.waits, aware.waits)
        self.assertEqual(counted.served.seconds, aware.served.seconds)


class StateTest(unittest.TestCase):
    """Load pattern: idle service, single requests."""

    def setUp(self) -> None:
        self.traffic = make_traffic(2, AWARE.model_copy(update={"far_load_percent": 0}), live=9)
        self.traffic.advance(10.0)

    def count_on_first(self, now: float) -> int:
        names = []
        for number in range(4):
            decision = self.traffic.offer(make_request(f"{now}-{number}", now), now)
            names.append(dispatched(decision).server.server_id)
        return names.count(ServerId("s0"))

    def test_sums_count_until_they_are_too_old(self) -> None:
        """Guards against sums that are used after the link to the keeper is lost."""
        self.traffic.apply_work({ServerId("s0"): WorkInProgress(9, 1.0)}, 0.1)
        self.assertEqual(self.count_on_first(10.0), 0)
        self.assertGreater(self.count_on_first(9.9 + MAX_AGE_SECONDS + 0.01), 2)

    def test_sums_that_arrive_too_old_are_ignored(self) -> None:
        """Guards against a keeper that passes on sums of keepers that are long gone."""
        self.traffic.apply_work({ServerId("s0"): WorkInProgress(9, 1.0)}, MAX_AGE_SECONDS + 0.1)
        self.assertEqual(self.count_on_first(10.0), 2)

    def test_own_requests_count_once(self) -> None:
        """Guards against counting an instance's own requests in its report and in the sums."""
        first = dispatched(self.traffic.offer(make_request("a", 10.0), 10.0))
        work = self.traffic.list_work()
        name = first.server.server_id
        self.assertEqual(list(work), [name])
        self.traffic.advance(10.1)
        self.traffic.apply_work({name: WorkInProgress(1, work[name])}, 0.1)
        names = {name}
        for number in range(3):
            decision = self.traffic.offer(make_request(f"b{number}", 10.1), 10.1)
            names.add(dispatched(decision).server.server_id)
        self.assertEqual(len(self.traffic.list_work()), 2)
        self.assertEqual(set(self.traffic.list_in_progress().values()), {2})
        self.traffic.finish(first, Outcome(OutcomeKind.SUCCESS, 0.3), 10.3)

    def test_only_answers_of_servers_with_free_slots_are_learned(self) -> None:
        """Guards against waits in a server's queue that count as service time."""
        busy = {ServerId(f"s{index}"): WorkInProgress(4, 1.0) for index in range(2)}
        for work, expected in ((busy, 0), ({}, 1)):
            self.traffic.apply_work(work, 0.0)
            dispatch = dispatched(self.traffic.offer(make_request("w", 10.0), 10.0))
            self.traffic.finish(dispatch, Outcome(OutcomeKind.SUCCESS, 0.3), 10.3)
            learned = [s for s in self.traffic.pop_cost_samples() if s.kind == "s"]
            self.assertEqual(len(learned), expected)

    def test_disabled_it_reports_and_learns_nothing(self) -> None:
        """Guards against messages and memory of deployments that do not enable it."""
        traffic = make_traffic(2, PROFILE)
        dispatch = dispatched(traffic.offer(make_request("a"), 0.0))
        traffic.apply_work({ServerId("s0"): WorkInProgress(9, 1.0)}, 0.0)
        self.assertEqual(traffic.list_work(), {})
        self.assertIsNone(traffic.describe_work(0.0))
        traffic.finish(dispatch, Outcome(OutcomeKind.SUCCESS, 0.3), 0.3)
        self.assertEqual(traffic.pop_cost_samples(), ())


if __name__ == "__main__":
    unittest.main()
