import unittest
from dataclasses import replace
from unittest import mock

from persimmonusher_agreement import log_leadership
from persimmonusher_agreement.configuration import Configuration
from persimmonusher_agreement.durable_log import DurableLog
from persimmonusher_agreement.log_messages import (
    NO_MEMBERS,
    AppendReply,
    AppendRequest,
    Entry,
    LogMessage,
    Noop,
    Snapshot,
    VoteReply,
    VoteRequest,
    find_instance,
)
from persimmonusher_lab.log_cluster import LogCluster
from persimmonusher_lab.log_disk import MemoryDisk
from persimmonusher_model.errors import ErrorCode, UsherError


class LogScriptTest(unittest.TestCase):
    """Scenarios that need an exact order, so the test decides on every delivery."""

    def setUp(self) -> None:
        self.cluster = LogCluster(seed=3, snapshot_entries=100)
        self.now = 0.0
        self.bag: list[LogMessage] = []

    def flush(self, name: str) -> None:
        self.bag.extend(self.cluster.flush(name).messages)

    def wait(self, name: str, seconds: float) -> None:
        """Advance the time of one keeper."""
        for _ in range(int(seconds / 0.2)):
            self.now += 0.2
            self.cluster.advance(name, self.now)
            self.flush(name)

    def deliver(self, names: set[str], stop_after: type | None = None) -> LogMessage | None:
        """Deliver messages among these keepers and drop all others, until one of a type arrives."""
        while self.bag:
            message = self.bag.pop(0)
            if not {find_instance(message.source), find_instance(message.target)} <= names:
                continue
            self.cluster.deliver(message, "fleet1", self.now)
            self.flush(find_instance(message.target))
            if stop_after is not None and isinstance(message, stop_after):
                return message
        return None

    def is_leader(self, name: str) -> bool:
        running = self.cluster.keepers[name].running
        return running is not None and running.replica.is_leader

    def elect(self, name: str, voter: str) -> None:
        """Make a keeper win an election with one other vote; its first entries stay in the bag."""
        self.wait(voter, 1.4)
        for _ in range(100):
            self.bag.clear()
            self.wait(name, 0.2)
            while self.bag and not self.is_leader(name):
                message = self.bag.pop(0)
                if find_instance(message.target) in (name, voter):
                    self.cluster.deliver(message, "fleet1", self.now)
                    self.flush(find_instance(message.target))
            if self.is_leader(name):
                return
        self.fail(f"{name} was not elected")

    def collect_vote(self, name: str, voter: str) -> VoteReply:
        """Make a keeper ask for votes in a new term; return the voter's, which isn't delivered."""
        for _ in range(100):
            self.bag.clear()
            self.wait(name, 0.2)
            if self.deliver({name, voter}, stop_after=VoteRequest) is not None:
                break
        return next(message for message in self.bag if isinstance(message, VoteReply))

    def test_an_entry_of_an_earlier_term_is_not_committed_by_counting(self) -> None:
        """A change reaches only its leader, which crashes; another keeper leads and crashes too.

        The first leads again and copies the old entry to a second keeper: a majority holds it. The
        other one may still win an election and overwrite it, so it must not be acknowledged yet.
        """
        everyone = set(self.cluster.keepers)
        self.elect("k1", "k2")
        self.deliver(everyone)
        for _ in range(5):
            self.wait("k1", 0.2)
            self.deliver(everyone)
        change = self.cluster.make_change(1, "clerk", "p")
        self.cluster.propose("k1", change, self.now)
        self.cluster.flush("k1")
        self.cluster.crash("k1")
        self.elect("k3", "k2")
        self.cluster.crash("k3")
        self.bag.clear()
        self.cluster.start("k1", self.now)
        with mock.patch.object(log_leadership, "MAX_BATCH_ENTRIES", 1):
            self.elect("k1", "k2")
            reply = None
            while not (isinstance(reply, AppendReply) and reply.success):
                reply = self.deliver({"k1", "k2"}, AppendReply)
                self.assertIsNotNone(reply)
        self.assertEqual(self.cluster.invariants.verdicts, {})
        self.cluster.crash("k1")
        self.bag.clear()
        self.cluster.start("k3", self.now)
        self.elect("k3", "k2")
        self.deliver({"k2", "k3"})
        self.cluster.start("k1", self.now)
        for _ in range(10):
            self.wait("k3", 0.2)
            self.deliver(everyone)
        revisions = [keeper.configuration.revision for keeper in self.cluster.list_running()]
        self.assertEqual(revisions, [0, 0, 0])

    def find_ages(self) -> list[float]:
        replicas = [keeper.replica for keeper in self.cluster.list_running()]
        return [replica.find_majority_age(self.now) for replica in replicas]

    def test_a_pause_makes_a_keeper_stale_only_until_it_hears_a_majority_again(self) -> None:
        """All machines pause for some seconds, a few times, and continue without other faults.

        The failure: afterwards each keeper reported an age of the sum of all pauses until it was
        restarted, so entries stopped following each of them at once and had no routes known to be
        current. Until a keeper has heard of a majority since a pause, it must not look fresh.
        """
        everyone = set(self.cluster.keepers)
        self.elect("k1", "k2")
        for _ in range(3):
            self.deliver(everyone)
            self.now += 4.0
            self.assertGreater(min(self.find_ages()), 3.9)
            for _ in range(5):
                self.wait("k1", 0.2)
                self.deliver(everyone)
            self.assertTrue(self.is_leader("k1"))
            self.assertLess(max(self.find_ages()), 0.5)

    def test_a_late_request_cuts_off_no_entries_that_were_acknowledged(self) -> None:
        """A follower has acknowledged three changes; an older, shorter request arrives late.

        If the log were cut off at its end, changes that the leader counted here would be lost.
        """
        everyone = set(self.cluster.keepers)
        self.elect("k1", "k2")
        self.deliver(everyone)
        self.cluster.propose("k1", self.cluster.make_change(1, "clerk", "p1"), self.now)
        early = self.cluster.flush("k1").messages
        for number in (2, 3):
            change = self.cluster.make_change(number, "clerk", f"p{number}")
            self.cluster.propose("k1", change, self.now)
        self.bag.extend(early)
        self.flush("k1")
        self.deliver(everyone)
        before = self.get_last_index("k2")
        self.assertEqual(before, self.get_last_index("k1"))
        for message in early:
            self.cluster.deliver(message, "fleet1", self.now)
        self.assertEqual(self.get_last_index("k2"), before)

    def test_a_deposed_leader_is_refused_and_an_own_entry_is_not_acknowledged(self) -> None:
        """A leader appends a change and is cut off; the others elect another leader.

        The old leader's late messages must have no effect. When the new leader's request ends just
        before the old one's own change, the old one must not acknowledge that change.
        """
        everyone = set(self.cluster.keepers)
        self.elect("k1", "k2")
        self.deliver(everyone)
        self.cluster.propose("k1", self.cluster.make_change(1, "clerk", "p"), self.now)
        late = self.cluster.flush("k1").messages
        old = self.cluster.keepers["k1"].running
        assert old is not None
        last = old.replica.log.last_index
        self.elect("k3", "k2")
        new = self.cluster.keepers["k3"].running
        assert new is not None
        before = self.get_last_index("k2")
        for message in late:
            self.cluster.deliver(message, "fleet1", self.now)
        replies = [m for m in self.cluster.flush("k2").messages if isinstance(m, AppendReply)]
        self.assertEqual([reply.success for reply in replies], [False])
        self.assertEqual(self.get_last_index("k2"), before)
        source, target = new.replica.keeper, old.replica.keeper
        term = old.replica.log.find_term(last - 1)
        assert term is not None
        heartbeat = AppendRequest(source, target, new.replica.term, last - 1, term, (), last + 5, 1)
        self.cluster.deliver(heartbeat, "fleet1", self.now)
        (reply,) = self.cluster.flush("k1").messages
        assert isinstance(reply, AppendReply)
        self.assertEqual((reply.success, reply.match), (True, last - 1))
        self.assertLess(old.replica.commit, last)

    # Guards against a leader that was elected by a vote for an earlier term.
    def test_a_late_vote_does_not_count_in_a_later_term(self) -> None:
        late = self.collect_vote("k1", "k2")
        current = self.collect_vote("k1", "k2")
        self.assertGreater(current.term, late.term)
        for vote, leads in ((late, False), (current, True)):
            self.cluster.deliver(vote, "fleet1", self.now)
            self.assertEqual(self.is_leader("k1"), leads)

    def test_messages_of_a_log_that_was_formed_and_lost_are_dropped(self) -> None:
        """A log is lost and formed anew, and a message of the first log arrives late.

        Both logs have the same indexes and terms, so only the lineage distinguishes them.
        """
        self.elect("k1", "k2")
        self.deliver(set(self.cluster.keepers))
        keepers = self.cluster.keepers
        before = self.get_last_index("k2")
        entry = Entry(2, 98, Noop())
        source, target = keepers["k3"].identity, keepers["k2"].identity
        late = AppendRequest(source, target, 99, 1, 1, (entry,), 2, 1)
        self.cluster.deliver(late, "fleet0", self.now)
        self.assertEqual(self.cluster.flush("k2").messages, ())
        self.assertEqual(self.get_last_index("k2"), before)

    def test_a_keeper_that_lacks_a_committed_change_is_not_elected(self) -> None:
        """A change is committed on two keepers; the leader crashes and the third one stands."""
        everyone = set(self.cluster.keepers)
        self.elect("k1", "k2")
        self.deliver(everyone)
        self.cluster.propose("k1", self.cluster.make_change(1, "clerk", "p"), self.now)
        self.flush("k1")
        self.deliver({"k1", "k2"})
        self.assertEqual(len(self.cluster.invariants.verdicts), 1)
        self.cluster.crash("k1")
        with self.assertRaisesRegex(AssertionError, "k3 was not elected"):
            self.elect("k3", "k2")
        self.elect("k2", "k3")

    def test_a_snapshot_keeps_acknowledged_entries_after_it(self) -> None:
        """A late snapshot reaches a follower that has acknowledged entries after its index.

        If it removed them, the majority that the leader counted would not hold them any more.
        """
        for term, last in ((1, 5), (2, 3)):
            with self.subTest(term=term):
                disk = MemoryDisk()
                log = DurableLog(disk)
                log.append([Entry(index, 1, Noop()) for index in range(1, 6)])
                log.sync()
                state = Configuration("fleet").capture()
                log.save_snapshot(Snapshot(3, term, NO_MEMBERS, state))
                self.assertEqual(log.last_index, last)
                self.assertEqual(DurableLog(disk).last_index, last)

    def get_last_index(self, name: str) -> int:
        running = self.cluster.keepers[name].running
        assert running is not None
        return running.replica.log.last_index

    def test_two_voters_are_never_changed_at_once(self) -> None:
        """If two voters were removed in one step, two majorities might share no keeper."""
        self.elect("k1", "k2")
        self.deliver(set(self.cluster.keepers))
        leader = self.cluster.keepers["k1"].running
        assert leader is not None
        members = leader.replica.log.members
        for kept in (members.members[:1], ()):
            with self.assertRaises(UsherError) as caught:
                leader.replica.propose(replace(members, members=kept), self.now)
            self.assertIs(caught.exception.code, ErrorCode.BAD_REQUEST)


if __name__ == "__main__":
    unittest.main()
