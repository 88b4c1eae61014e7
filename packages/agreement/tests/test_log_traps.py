import unittest

from persimmonusher_agreement.configuration_objects import Accepted, Change, Conflict
from persimmonusher_agreement.log_messages import PreVoteRequest, VoteReply, VoteRequest
from persimmonusher_lab.log_disk import DiskFault
from persimmonusher_lab.log_schedule import LogSchedule
from persimmonusher_model.errors import UsherError

HOUR_SECONDS = 3_600.0


class LogTrapsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.schedule = LogSchedule(seed=7, tick=0.2)
        self.cluster = self.schedule.cluster
        self.schedule.run(4.0)
        self.number = 0

    def get_leader(self) -> str:
        leader = self.cluster.find_leader()
        assert leader is not None, "no leader"
        return leader.replica.keeper.partition("#")[0]

    def get_follower(self) -> str:
        return next(name for name in self.cluster.keepers if name != self.get_leader())

    def change(self, operator: str = "clerk", name: str = "p") -> Change:
        self.number += 1
        shown = self.cluster.find_leader()
        change = self.cluster.make_change(self.number, operator, name, shown)
        self.schedule.ask("", change)
        return change

    def accept(self, count: int = 1, name: str = "p") -> list[Change]:
        """Propose changes one after the other, and check that each is accepted."""
        changes = []
        for _ in range(count):
            changes.append(self.change(name=name))
            self.schedule.run(0.5)
            verdict = self.cluster.invariants.verdicts[changes[-1].change_id]
            self.assertIsInstance(verdict, Accepted)
        return changes

    def check_all_agree(self) -> None:
        self.schedule.run(6.0)
        running = list(self.cluster.list_running())
        self.assertEqual(len(running), 3)
        self.assertEqual(len({keeper.configuration.revision for keeper in running}), 1)
        for keeper in running:
            self.cluster.invariants.check_end(keeper, self.cluster.changes)

    def test_operators_with_equal_numbers_of_changes_race(self) -> None:
        """Two operators repeatedly change the same profile from the same revision.

        Each round has one winner, and the other operator gets the winner's change.
        """
        self.accept()
        for _ in range(10):
            changes = [self.change("takeuchi"), self.change("graziani")]
            self.schedule.run(1.0)
            verdicts = [self.cluster.invariants.verdicts[c.change_id] for c in changes]
            (winner,) = [verdict for verdict in verdicts if isinstance(verdict, Accepted)]
            (loser,) = [verdict for verdict in verdicts if isinstance(verdict, Conflict)]
            self.assertEqual(loser.winner.revision, winner.revision)
            self.assertIn(loser.winner.change_id, [c.change_id for c in changes])
        self.check_all_agree()

    def test_a_resend_after_a_new_leader_and_snapshots_gets_the_first_verdict(self) -> None:
        """The leader commits a change and crashes before it answers; the operator resends it.

        Later the log is compacted and all keepers restart, and the operator resends it once more.
        """
        (change,) = self.accept()
        first = self.cluster.invariants.verdicts[change.change_id]
        self.schedule.stop(self.get_leader(), 20.0)
        self.schedule.run(5.0)
        self.assertEqual(self.cluster.propose(self.get_leader(), change, self.schedule.now), first)
        self.accept(20)
        for name in self.cluster.keepers:
            self.schedule.stop(name, 1.0)
        self.schedule.run(5.0)
        leader = self.cluster.find_leader()
        assert leader is not None
        self.assertGreater(leader.replica.log.base_index, 10)
        self.assertEqual(self.cluster.propose(self.get_leader(), change, self.schedule.now), first)
        self.assertEqual(self.cluster.find_leader().configuration.revision, 21)  # type: ignore[union-attr]

    def test_a_follower_isolated_for_hours_returns_without_disruption(self) -> None:
        """A keeper is cut off for two hours both ways, or for an hour one way.

        It tries thousands of elections. On its return the leader and term must be the same, and
        no change may be reverted.
        """
        for outwards, inwards, hours in ((True, True, 2), (True, False, 1), (False, True, 1)):
            with self.subTest(outwards=outwards, inwards=inwards):
                name = self.get_follower()
                for other in set(self.cluster.keepers) - {name}:
                    if outwards:
                        self.schedule.cut(name, other, hours * HOUR_SECONDS)
                    if inwards:
                        self.schedule.cut(other, name, hours * HOUR_SECONDS)
                leader = self.cluster.find_leader()
                assert leader is not None
                term = leader.replica.term
                self.accept(3)
                self.schedule.run(hours * HOUR_SECONDS)
                self.check_all_agree()
                self.assertIs(self.cluster.find_leader(), leader)
                self.assertEqual(leader.replica.term, term)

    def test_a_keeper_that_hears_no_leader_deposes_none(self) -> None:
        """A keeper receives nothing from the leader, or from anyone; its log is up to date.

        It starts elections. The others hear their leader and must refuse it, also if its vote
        request reaches them without a pre-vote, as a late one can.
        """
        for cut_from_all in (True, False):
            with self.subTest(cut_from_all=cut_from_all):
                self.check_cut_off_keeper(cut_from_all)

    def check_cut_off_keeper(self, cut_from_all: bool) -> None:
        self.schedule.run(4.0)
        leader = self.cluster.find_leader()
        assert leader is not None
        term = leader.replica.term
        name = self.get_follower()
        cut_sources = set(self.cluster.keepers) - {name} if cut_from_all else {self.get_leader()}
        for other in cut_sources:
            self.schedule.cut(other, name, 60.0)
        self.schedule.run(30.0)
        cut_off_identity = self.cluster.keepers[name].identity
        for other in set(self.cluster.keepers) - {name}:
            target = self.cluster.keepers[other].identity
            request = VoteRequest(cut_off_identity, target, term + 1, 999, term)
            self.cluster.deliver(request, "fleet1", self.schedule.now)
            self.schedule.flush(other)
        self.schedule.run(30.0)
        self.accept()
        self.assertIs(self.cluster.find_leader(), leader)
        self.assertEqual(leader.replica.term, term)

    def test_an_isolated_leader_accepts_nothing_and_reverts_nothing(self) -> None:
        """The leader is cut off without an error, both ways or one way; the rest elects another.

        While cut off it must decide no change and confirm no read. On its return the entries that
        it had appended are removed; the changes that the others accepted meanwhile stay.
        """
        for outwards, inwards in ((True, True), (True, False), (False, True)):
            with self.subTest(outwards=outwards, inwards=inwards):
                name = self.get_leader()
                cut_off = self.cluster.keepers[name].running
                assert cut_off is not None
                revision = cut_off.configuration.revision
                for other in set(self.cluster.keepers) - {name}:
                    if outwards:
                        self.schedule.cut(name, other, 60.0)
                    if inwards:
                        self.schedule.cut(other, name, 60.0)
                lost = self.cluster.make_change(1, f"lost{outwards}{inwards}", "lost")
                verdict = self.cluster.propose(name, lost, self.schedule.now)
                self.assertIsNone(verdict)
                ticket = cut_off.start_read(self.schedule.now)
                self.schedule.flush(name)
                self.schedule.run(1.6)
                self.assertFalse(cut_off.replica.is_leader)
                self.assertFalse(cut_off.is_confirmed(ticket))
                with self.assertRaises(UsherError):
                    cut_off.start_read(self.schedule.now)
                self.assertEqual(cut_off.configuration.revision, revision)
                self.schedule.run(6.0)
                self.accept(2)
                self.schedule.run(60.0)
                self.check_all_agree()

    def test_a_deposed_leader_confirms_no_read(self) -> None:
        """A leader is cut off, and an operator reads the latest state before it detects that."""
        name = self.get_leader()
        old = self.cluster.keepers[name].running
        assert old is not None
        self.schedule.isolate(name, 60.0)
        ticket = old.start_read(self.schedule.now)
        self.schedule.flush(name)
        self.schedule.run(0.5)
        self.assertTrue(old.replica.is_leader)
        self.assertFalse(old.is_confirmed(ticket))

    def test_restart_after_hundreds_of_changes(self) -> None:
        """All keepers restart at once, each from a snapshot and the log after it."""
        changes = self.accept(300)
        for name in self.cluster.keepers:
            self.schedule.stop(name, 1.0)
        self.schedule.run(6.0)
        self.check_all_agree()
        leader = self.cluster.find_leader()
        assert leader is not None
        self.assertEqual(leader.configuration.revision, 300)
        self.assertGreater(leader.replica.log.base_index, 280)
        self.assertEqual(leader.configuration.find_verdict(changes[0]), Accepted(1))  # type: ignore[arg-type]

    def test_one_keeper_is_repaired_on_an_empty_disk_and_a_second_is_lost(self) -> None:
        """One keeper's disk is replaced; right after it has caught up, another keeper is lost.

        The survivor and the repaired keeper hold the accepted changes and must go on together. If
        the second is lost before the first has caught up, no change may be decided until the second
        returns, and all changes must be there then.
        """
        for pause in (0.2, 8.0):
            with self.subTest(pause=pause):
                changes = self.accept(5)
                repaired, lost = list(self.cluster.keepers)[:2]
                self.schedule.wipe(repaired)
                self.schedule.run(1.0 + pause)
                self.schedule.stop(lost, 30.0)
                before = len(self.cluster.invariants.verdicts)
                late = self.change()
                self.schedule.run(8.0)
                self.schedule.ask(late.change_id)
                self.schedule.run(2.0)
                decided = len(self.cluster.invariants.verdicts) - before
                self.assertEqual(decided, 1 if pause > 1 else 0)
                self.schedule.run(25.0)
                self.check_all_agree()
                for keeper in self.cluster.list_running():
                    self.assertEqual(len(keeper.replica.log.members.list_voters()), 3)
                    self.assertIsNotNone(keeper.configuration.find_verdict(changes[0]))

    def test_a_wiped_keeper_answers_for_no_promise_of_its_lost_disk(self) -> None:
        """A keeper grants its vote and loses its disk; a second candidate asks in the same term.

        The empty keeper has no record of the vote. If it voted again with the old id, the term
        could have two leaders.
        """
        name = self.get_follower()
        old = self.cluster.keepers[name].identity
        self.schedule.wipe(name, 0.0)
        self.cluster.start(name, self.schedule.now)
        asking = self.cluster.keepers[self.get_leader()].identity
        for kind in (VoteRequest, PreVoteRequest):
            self.cluster.deliver(kind(asking, old, 99, 999, 98), "fleet1", self.schedule.now)
        self.assertEqual(self.cluster.flush(name).messages, ())
        self.assertNotEqual(self.cluster.keepers[name].identity, old)

    def test_a_vote_survives_a_crash(self) -> None:
        """A keeper votes, crashes and restarts; a second candidate asks in the same term."""
        name = self.get_follower()
        keeper = self.cluster.keepers[name]
        self.schedule.stop(name, 0.0)
        self.cluster.start(name, self.schedule.now)
        first, second = [k.identity for n, k in self.cluster.keepers.items() if n != name]
        replies = []
        for candidate in (first, second):
            request = VoteRequest(candidate, keeper.identity, 99, 999, 98)
            self.cluster.deliver(request, "fleet1", self.schedule.now)
            replies.extend(self.cluster.flush(name).messages)
            self.cluster.crash(name)
            self.cluster.start(name, self.schedule.now)
        granted = [reply.granted for reply in replies if isinstance(reply, VoteReply)]
        self.assertEqual(granted, [True, False])

    def test_a_failing_disk_ends_the_keeper_and_loses_nothing(self) -> None:
        """The leader's disk loses a write, writes but reports an error, or is full.

        The keeper must stop rather than acknowledge; the others elect a leader and go on.
        """
        for fault in DiskFault:
            with self.subTest(fault):
                name = self.get_leader()
                self.cluster.keepers[name].disk.fault = fault
                change = self.change()
                self.assertIsNone(self.cluster.keepers[name].running)
                self.schedule.run(6.0)
                self.schedule.ask(change.change_id)
                self.schedule.run(2.0)
                self.assertIn(change.change_id, self.cluster.invariants.verdicts)
                self.check_all_agree()

    def test_a_clock_that_jumps_changes_no_outcome(self) -> None:
        """The clock of the leader or of a follower jumps an hour, forward or back.

        It must depose no leader, and the keeper goes on with its heartbeats and elections.
        """
        for jump in (3_600.0, -3_600.0):
            for name in (self.get_leader(), self.get_follower()):
                with self.subTest(jump=jump, name=name):
                    leader = self.get_leader()
                    self.cluster.keepers[name].clock_offset += jump
                    self.accept(3)
                    self.assertEqual(self.get_leader(), leader)
        self.schedule.stop(self.get_leader(), 5.0)
        self.schedule.run(6.0)
        self.accept(1)
        self.check_all_agree()

    def test_keepers_are_changed_one_at_a_time(self) -> None:
        """An operator removes two keepers at once: the second removal has to wait."""
        leader = self.cluster.find_leader()
        assert leader is not None
        others = [k.identity for k in self.cluster.keepers.values()]
        others.remove(leader.replica.keeper)
        leader.dismiss(others[0], self.schedule.now)
        with self.assertRaises(UsherError):
            leader.dismiss(others[1], self.schedule.now)


if __name__ == "__main__":
    unittest.main()
