"""The freshness that keepers and entries report, compared with the acknowledged changes."""

import unittest
from random import Random

from persimmonusher_agreement.freshness import FreshnessLease
from persimmonusher_lab.log_cluster import TIMING
from persimmonusher_lab.log_schedule import LogSchedule
from persimmonusher_model.identifiers import Revision

STEP_SECONDS = 0.02
CHANGE_SECONDS = 0.3
FAULT_FREE_SECONDS = 3.0
ELECTION_SECONDS = TIMING.election_timeout_seconds
HEARTBEAT_SECONDS = TIMING.heartbeat_seconds
SEEDS = (*range(30), 1108, 1272)
"""With the last two, a delayed message makes a restarted keeper repeat a former answer."""


class FreshnessLeaseTest(unittest.TestCase):
    def setUp(self) -> None:
        self.lease = FreshnessLease()

    # Guards against counting an answer as fresh although it was long in transit.
    def test_an_answer_counts_from_when_it_was_asked_for(self) -> None:
        self.lease.record_answer(10.0, 0.4, Revision(3), held=Revision(3))
        self.assertAlmostEqual(self.lease.find_age(12.0), 2.4)

    # Guards against an entry that is never fresh while changes follow each other quickly.
    def test_answers_wait_for_their_revision_and_do_not_push_each_other_out(self) -> None:
        for second in range(100):
            self.lease.record_revision(Revision(max(0, second - 3)))
            self.lease.record_answer(
                float(second), 0.0, Revision(second), held=Revision(second - 3)
            )
            if second > 3:
                self.assertEqual(self.lease.find_age(float(second)), 3.0)

    # Guards against answers whose revision never arrives blocking those that count at once.
    def test_answers_that_never_count_leave_room_for_others(self) -> None:
        for second in range(100):
            self.lease.record_answer(float(second), 0.0, Revision(9), held=Revision(1))
        self.lease.record_answer(100.0, 0.0, Revision(1), held=Revision(1))
        self.assertEqual(self.lease.find_age(101.0), 1.0)

    # Guards against a late answer making the entry's configuration look older again.
    def test_an_older_answer_changes_nothing(self) -> None:
        self.lease.record_answer(10.0, 0.0, Revision(1), held=Revision(1))
        self.lease.record_answer(9.0, 0.5, Revision(1), held=Revision(1))
        self.assertEqual(self.lease.find_age(11.0), 1.0)


class FreshnessTest(unittest.TestCase):
    """A keeper that reports an age holds all changes acknowledged longer ago than that."""

    def setUp(self) -> None:
        self.begin(seed=1)

    def begin(self, seed: int, size: int = 3) -> None:
        self.schedule = LogSchedule(seed, size=size)
        self.cluster = self.schedule.cluster
        self.number = 0
        self.change_at = 0.0
        self.run_for(FAULT_FREE_SECONDS)

    def run_for(self, seconds: float) -> None:
        """Advance time while changes are made, and check all keepers, also between events."""
        end = self.schedule.now + seconds
        while self.schedule.now < end:
            self.schedule.run(STEP_SECONDS)
            if self.schedule.now >= self.change_at:
                self.change_at = self.schedule.now + CHANGE_SECONDS
                self.number += 1
                self.schedule.change(self.number, "clerk")
            for keeper in self.cluster.list_running():
                self.schedule.freshness.check_keeper(keeper, self.schedule.now)

    def find_leader(self) -> str:
        leader = self.cluster.find_leader()
        assert leader is not None
        return leader.replica.keeper.partition("#")[0]

    def find_ages(self) -> list[float]:
        running = self.cluster.list_running()
        return [keeper.replica.find_majority_age(self.schedule.now) for keeper in running]

    # Guards against counting messages as fresh that were long in transit.
    def test_a_way_that_becomes_slow_counts_as_age(self) -> None:
        leader = self.find_leader()
        followers = [name for name in self.cluster.keepers if name != leader]
        for step in range(60):
            self.schedule.slow(leader, followers[0], step * 0.05)
            self.run_for(0.2)

    # Guards against counting answers that were long in transit as a present majority.
    def test_slow_answers_make_a_leader_old(self) -> None:
        leader = self.find_leader()
        for step in range(12):
            for name in self.cluster.keepers:
                self.schedule.slow(name, leader, step * 0.05)
            self.run_for(0.2)
        replica = self.cluster.keepers[leader].running
        assert replica is not None
        self.assertGreater(replica.replica.find_majority_age(self.schedule.now), 0.5)

    # Guards against followers that report themselves fresh while their leader has no majority.
    def test_a_follower_of_a_leader_that_lost_its_majority_is_not_fresh(self) -> None:
        self.begin(seed=2, size=5)
        leader = self.find_leader()
        near, *far = [name for name in self.cluster.keepers if name != leader]
        for name in far:
            for side in (leader, near):
                self.schedule.cut(name, side, 4.0)
                self.schedule.cut(side, name, 4.0)
        self.run_for(0.9)
        keeper = self.cluster.keepers[near].running
        assert keeper is not None
        self.assertGreater(keeper.replica.find_majority_age(self.schedule.now), 0.8)
        self.run_for(6.0)

    # Guards against a leader that was replaced while frozen and then reports itself fresh.
    def test_a_leader_that_was_frozen_is_not_fresh(self) -> None:
        for seconds in (0.5, 1.5, 4.0):
            self.schedule.freeze(self.find_leader(), seconds)
            self.run_for(seconds + 4.0)

    # Guards against keepers that aren't fresh until the next heartbeat after an election.
    def test_after_an_election_all_keepers_are_fresh_at_once(self) -> None:
        for seed in range(20):
            with self.subTest(seed=seed):
                self.begin(seed, size=5)
                self.schedule.stop(self.find_leader(), ELECTION_SECONDS * 4)
                while self.cluster.find_leader() is None:
                    self.schedule.run(STEP_SECONDS)
                self.schedule.run(HEARTBEAT_SECONDS / 2)
                self.assertLess(max(self.find_ages()), HEARTBEAT_SECONDS)

    # Guards against keepers that are never fresh enough to be followed.
    def test_without_faults_every_keeper_stays_fresh(self) -> None:
        for _ in range(50):
            self.run_for(0.1)
            self.assertLess(max(self.find_ages()), 0.6)

    # Guards against sequences of cuts, slow paths, pauses and restarts beyond the other tests.
    def test_stated_ages_are_true_under_series_of_faults(self) -> None:
        for size in (3, 5):
            for seed in SEEDS:
                with self.subTest(size=size, seed=seed):
                    self.begin(seed, size)
                    self.inject_faults(Random(seed))

    def inject_faults(self, random: Random) -> None:
        names = list(self.cluster.keepers)
        for _ in range(12):
            source, target = random.sample(names, 2)
            fault = random.randrange(5)
            if fault == 0:
                self.schedule.cut(source, target, random.uniform(0.2, 3.0))
            elif fault == 1:
                self.schedule.slow(source, target, random.choice([0.0, 0.3, 0.8, 1.5]))
            elif fault == 2:
                self.schedule.freeze(source, random.uniform(0.2, 3.0))
            elif fault == 3:
                self.schedule.stop(source, random.uniform(0.1, 2.0))
            else:
                self.schedule.isolate(source, random.uniform(0.2, 3.0))
            self.run_for(random.uniform(0.1, 1.5))
        self.run_for(FAULT_FREE_SECONDS)


if __name__ == "__main__":
    unittest.main()
