import unittest
from unittest.mock import patch

from persimmonusher_agreement.configuration_keeper import LossTolerance
from persimmonusher_agreement.log_timing import LogTiming
from persimmonusher_lab import log_cluster
from persimmonusher_lab.log_schedule import LogSchedule

TIMING = LogTiming(heartbeat_seconds=0.4, election_timeout_seconds=1.2, first_election_seconds=0.3)
MAX_WAIT_SECONDS = 1.8
STEP_SECONDS = 0.05


class LogElectionsTest(unittest.TestCase):
    def find_seconds_without_leader(self, seed: int) -> float:
        """Return how long there is no leader after all five restart, two with empty disks."""
        schedule = LogSchedule(seed, size=5, tolerance=LossTolerance.for_losses(2))
        schedule.run(6.0)
        first, second, *others = schedule.cluster.keepers
        for name in (first, second):
            schedule.wipe(name, 1.0)
        for name in others:
            schedule.stop(name, 1.0)
        schedule.run(1.0)
        seconds = 0.0
        while seconds < 10.0:
            schedule.run(STEP_SECONDS)
            seconds += STEP_SECONDS
            leader = schedule.cluster.find_leader()
            if leader is not None and leader.replica.is_ready_leader:
                break
        return seconds

    def test_a_split_vote_is_soon_repeated(self) -> None:
        """Guards against seconds without a leader when all three voters left must vote alike."""
        with patch.object(log_cluster, "TIMING", TIMING):
            waits = [self.find_seconds_without_leader(seed) for seed in range(60)]
        late = [wait for wait in waits if wait > MAX_WAIT_SECONDS]
        self.assertLessEqual(len(late), 1, late)
