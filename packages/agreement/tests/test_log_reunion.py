"""Elections after cuts: what returning keepers, former leaders and delayed messages do to them."""

import unittest
from unittest.mock import patch

from persimmonusher_agreement.configuration_keeper import ConfigurationKeeper, LossTolerance
from persimmonusher_agreement.log_messages import (
    AppendRequest,
    LogMessage,
    PreVoteReply,
    PreVoteRequest,
    find_instance,
)
from persimmonusher_agreement.log_timing import LogTiming
from persimmonusher_lab import log_cluster
from persimmonusher_lab.log_cluster import LogCluster
from persimmonusher_lab.log_schedule import LogSchedule

TIMING = LogTiming(heartbeat_seconds=0.4, election_timeout_seconds=1.2, first_election_seconds=0.3)
MAX_WAIT_SECONDS = 1.5
"""The stated target for the time until a change is acknowledged, connections included."""
STEP_SECONDS = 0.05
LINEAGE = "fleet1"


class ReunionTest(unittest.TestCase):
    def find_seconds_without_leader(self, seed: int, size: int, cut_seconds: float) -> float:
        """Cut all keepers off and join a bare majority; return how long it has no fresh leader.

        The leader holds changes that reached nobody else.
        """
        tolerance = LossTolerance.for_losses((size - 1) // 2)
        schedule = LogSchedule(seed, tick=STEP_SECONDS, size=size, tolerance=tolerance)
        schedule.run(6.0)
        names = list(schedule.cluster.keepers)
        joined = set(names[: size // 2 + 1])
        for source in names:
            for target in names:
                seconds = cut_seconds if {source, target} <= joined else 60.0
                schedule.cut(source, target, seconds)
        schedule.change(1, "o1")
        schedule.run(cut_seconds)
        seconds = 0.0
        while seconds < 10.0 and not self.has_fresh_leader(schedule):
            schedule.run(STEP_SECONDS)
            seconds += STEP_SECONDS
        return seconds

    def has_fresh_leader(self, schedule: LogSchedule) -> bool:
        def is_fresh(keeper: ConfigurationKeeper) -> bool:
            age = keeper.replica.find_majority_age(schedule.now)
            return keeper.replica.is_ready_leader and age < TIMING.election_timeout_seconds

        return any(map(is_fresh, schedule.cluster.list_running()))

    # Guards against keepers that reach a majority again and wait for another election timeout.
    def test_a_joined_majority_has_a_leader_soon(self) -> None:
        with patch.object(log_cluster, "TIMING", TIMING):
            waits = {
                (size, cut_seconds, seed): self.find_seconds_without_leader(seed, size, cut_seconds)
                for size in (3, 5)
                for cut_seconds in (1.5, 3.0)
                for seed in range(20)
            }
        late = {case: wait for case, wait in waits.items() if wait > MAX_WAIT_SECONDS}
        self.assertEqual(late, {})


class FormerLeaderTest(unittest.TestCase):
    def setUp(self) -> None:
        self.enterContext(patch.object(log_cluster, "TIMING", TIMING))
        self.cluster = LogCluster(seed=5)
        self.names = set(self.cluster.keepers)
        self.now = 0.0
        self.advance(self.names, 4.0)
        leader = self.cluster.find_leader()
        assert leader is not None
        self.leader = find_instance(leader.replica.keeper)
        self.voter, self.candidate = sorted(self.names - {self.leader})

    def advance(self, names: set[str], seconds: float) -> list[LogMessage]:
        """Let some keepers run and reach each other only; return the messages that got lost."""
        lost: list[LogMessage] = []
        end = self.now + seconds
        while self.now < end:
            self.now += STEP_SECONDS
            for name in sorted(names):
                self.cluster.advance(name, self.now)
            sent = [message for name in sorted(names) for message in self.flush(name)]
            while sent:
                message = sent.pop(0)
                target = find_instance(message.target)
                if target in names:
                    sent += self.deliver(message)
                else:
                    lost.append(message)
        return lost

    def flush(self, name: str) -> list[LogMessage]:
        return list(self.cluster.flush(name).messages)

    def deliver(self, message: LogMessage) -> list[LogMessage]:
        self.cluster.deliver(message, LINEAGE, self.now)
        return self.flush(find_instance(message.target))

    def ask_pre_vote(self, source: str) -> bool:
        """Let a keeper ask the voter for a pre-vote; return whether it is granted."""
        keepers = self.cluster.keepers
        asking, asked = keepers[source].running, keepers[self.voter].running
        assert asking is not None and asked is not None
        log = asking.replica.log
        request = PreVoteRequest(
            asking.replica.keeper,
            asked.replica.keeper,
            log.vote.term + 1,
            log.last_index,
            log.last_term,
        )
        replies = [one for one in self.deliver(request) if isinstance(one, PreVoteReply)]
        return replies[0].granted

    # Guards against keepers that refuse the pre-votes of a leader that has stepped down.
    def test_a_leader_that_asks_for_votes_leads_no_more(self) -> None:
        self.assertFalse(self.ask_pre_vote(self.candidate))
        self.assertTrue(self.ask_pre_vote(self.leader))
        self.assertTrue(self.ask_pre_vote(self.candidate))

    # Guards against elections that are put off by what a former leader sent before a cut.
    def test_a_delayed_message_does_not_show_that_its_sender_leads(self) -> None:
        lost = self.advance({self.leader}, 0.5)
        held = [
            one
            for one in lost
            if isinstance(one, AppendRequest) and find_instance(one.target) == self.voter
        ]
        self.advance({self.voter}, TIMING.election_timeout_seconds * 2)
        self.assertTrue(self.ask_pre_vote(self.candidate))
        self.assertTrue(self.deliver(held[0]), "a delayed message is answered all the same")
        self.assertTrue(self.ask_pre_vote(self.candidate))

    # Guards against a keeper that was paused and takes its live leader for gone.
    def test_a_paused_keeper_follows_its_leader_again(self) -> None:
        others = self.names - {self.voter}
        lost = self.advance(others, TIMING.election_timeout_seconds * 2)
        for message in lost[:4]:
            self.deliver(message)
        self.advance(self.names, 2 * TIMING.heartbeat_seconds)
        paused = self.cluster.keepers[self.voter].running
        assert paused is not None and paused.replica.leader is not None
        self.assertEqual(find_instance(paused.replica.leader), self.leader)
        self.assertFalse(self.ask_pre_vote(self.candidate))


if __name__ == "__main__":
    unittest.main()
