import unittest
from random import Random

from persimmonusher_agreement.configuration_keeper import LossTolerance, form_first_snapshot
from persimmonusher_agreement.configuration_objects import Change, ObjectKey, ObjectKind
from persimmonusher_agreement.keeper_members import form_members
from persimmonusher_agreement.log_messages import KeeperId, LogMessage
from persimmonusher_agreement.log_replica import LogReplica
from persimmonusher_agreement.log_timing import LogTiming
from persimmonusher_lab.log_disk import MemoryDisk
from persimmonusher_model.identifiers import Revision

NAMES = [KeeperId(f"k{number}#a") for number in range(1, 6)]


class LogCopiesTest(unittest.TestCase):
    """Replicas that exchange messages within this process; only some of them answer."""

    def lead(self, voters: int, copies: int, answering: int) -> tuple[LogReplica, int]:
        """Return the leader and the index of a change that `answering` followers acknowledged."""
        names = NAMES[:voters]
        members = form_members("fleet", {name: name for name in names})
        replicas = {
            name: LogReplica(name, MemoryDisk(), LogTiming(), Random(n), 0.0, copies)
            for n, name in enumerate(names)
        }
        for replica in replicas.values():
            replica.form(form_first_snapshot(members))
        leader = replicas[names[0]]
        now = 0.0
        while not leader.is_ready_leader:
            now += 0.5
            leader.advance(now)
            self.deliver(leader, replicas, set(names), now)
        key = ObjectKey(ObjectKind.PROFILE, "p")
        index = leader.propose(Change("c", "clerk", key, Revision(0), "{}"), now)
        self.deliver(leader, replicas, set(names[: answering + 1]), now)
        return leader, index

    def deliver(
        self,
        leader: LogReplica,
        replicas: dict[KeeperId, LogReplica],
        alive: set[KeeperId],
        now: float,
    ) -> None:
        waiting: list[LogMessage] = list(leader.flush())
        while waiting:
            message = waiting.pop(0)
            if message.target in alive:
                replicas[message.target].receive(message, now)
                waiting.extend(replicas[message.target].flush())

    def test_a_change_is_committed_with_one_copy_more_than_disks_that_may_be_lost(self) -> None:
        """Two disks may be lost at once, but in the first seconds there are only three keepers.

        A majority of three is two: a change acknowledged with two copies would be gone if just
        these two disks are lost, although that many losses are tolerated.
        """
        two_lost = LossTolerance.for_losses(2)
        self.assertEqual((two_lost.copies, two_lost.voters), (3, 5))
        cases = [
            ("majority of three, one may be lost", 3, 2, 1, True),
            ("majority of three, two may be lost", 3, 3, 1, False),
            ("all of three", 3, 3, 2, True),
            ("majority of five", 5, 3, 2, True),
            ("two of five", 5, 3, 1, False),
            ("more copies asked for than there are keepers", 2, 3, 1, True),
        ]
        for name, voters, copies, answering, committed in cases:
            with self.subTest(name):
                leader, index = self.lead(voters, copies, answering)
                self.assertEqual(leader.commit >= index, committed)
