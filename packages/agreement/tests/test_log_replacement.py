import unittest
from random import Random

from persimmonusher_agreement.configuration_keeper import ConfigurationKeeper, LossTolerance
from persimmonusher_agreement.configuration_objects import Accepted, Change
from persimmonusher_agreement.log_messages import find_instance
from persimmonusher_lab.log_schedule import LogSchedule

TWO_LOST = LossTolerance.for_losses(2)
FOREVER_SECONDS = 1e9


class LogReplacementTest(unittest.TestCase):
    """Five voters that may lose two disks at once, and a spare keeper, in virtual time."""

    def start(self, seed: int, size: int = 6) -> None:
        self.random = Random(seed)
        self.schedule = LogSchedule(seed, size=size, tolerance=TWO_LOST)
        self.cluster = self.schedule.cluster
        self.schedule.run(5.0)
        self.number = 0

    def get_leader(self) -> ConfigurationKeeper:
        leader = self.cluster.find_leader()
        assert leader is not None, "no leader"
        return leader

    def list_voters(self) -> list[str]:
        voters = self.get_leader().replica.log.members.list_voters()
        return [find_instance(voter) for voter in voters]

    def accept(self) -> Change:
        """Propose a change, and return in the step in which it is accepted."""
        self.number += 1
        change = self.cluster.make_change(self.number, "clerk", "p", self.get_leader())
        for _ in range(400):
            self.schedule.ask("", change)
            if change.change_id in self.cluster.invariants.verdicts:
                verdict = self.cluster.invariants.verdicts[change.change_id]
                self.assertIsInstance(verdict, Accepted)
                return change
            self.schedule.run(0.02)
        raise AssertionError("the change was not accepted within 8 s")

    def check_all_kept(self, changes: list[Change]) -> None:
        configuration = self.get_leader().configuration
        for change in changes:
            self.assertIsInstance(configuration.find_verdict(change), Accepted)

    def test_two_disks_lost_right_after_an_acknowledgement_lose_nothing(self) -> None:
        """Two keepers lose their disks right after a change is acknowledged.

        They return empty, with new ids. Every acknowledged change must still be there, also after
        several such losses, when all the first disks are gone.
        """
        for seed in range(25):
            with self.subTest(seed=seed):
                self.start(seed)
                changes = []
                for _ in range(5):
                    changes.append(self.accept())
                    for name in self.random.sample(self.list_voters(), 2):
                        self.schedule.wipe(name, self.random.uniform(0.1, 2.0))
                    self.schedule.run(15.0)
                    self.check_all_kept(changes)
                    self.assertEqual(len(self.list_voters()), 5)

    def test_keepers_that_are_gone_for_good_are_replaced_without_an_operator(self) -> None:
        """A keeper's machine is removed for good, and later two other keepers lose their disks.

        The spare must replace the first keeper, so that the later losses still leave a majority.
        Without a spare, a silent voter stays a voter.
        """
        for seed in range(15):
            with self.subTest(seed=seed):
                self.start(seed)
                changes = [self.accept()]
                gone = self.random.choice(self.list_voters())
                self.schedule.stop(gone, FOREVER_SECONDS)
                self.schedule.run(15.0)
                self.assertNotIn(gone, self.list_voters())
                self.assertEqual(len(self.list_voters()), 5)
                changes.append(self.accept())
                for name in self.random.sample(self.list_voters(), 2):
                    self.schedule.wipe(name, 0.5)
                self.schedule.run(15.0)
                self.check_all_kept(changes)
                last = self.random.choice(self.list_voters())
                self.schedule.stop(last, FOREVER_SECONDS)
                self.schedule.run(20.0)
                self.assertIn(last, self.list_voters())
                changes.append(self.accept())
                self.check_all_kept(changes)
