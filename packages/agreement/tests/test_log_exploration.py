import unittest

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, precondition, rule

from persimmonusher_agreement.configuration_objects import Change
from persimmonusher_agreement.log_messages import LogMessage, find_instance
from persimmonusher_lab.log_cluster import LogCluster
from persimmonusher_lab.log_disk import DiskFault

NAMES = st.sampled_from(["k1", "k2", "k3"])
POSITIONS = st.integers(0, 1_000)


class KeepersMachine(RuleBasedStateMachine):
    """Three keepers; Hypothesis chooses every event, and every step checks the invariants.

    Messages wait in one bag: they are delivered in any order, twice, or never. After a disk is
    lost, no other is lost until its keeper is a voter again: three keepers tolerate no more.
    """

    def __init__(self) -> None:
        super().__init__()
        self.cluster = LogCluster(seed=1, snapshot_entries=5)
        self.now = 0.0
        self.number = 0
        self.bag: list[tuple[LogMessage, str]] = []
        for name in self.cluster.keepers:
            self.flush(name)

    def flush(self, name: str) -> None:
        output = self.cluster.flush(name)
        self.bag.extend((message, output.lineage) for message in output.messages)
        del self.bag[:-200]

    def take(self, position: int) -> tuple[LogMessage, str]:
        return self.bag.pop(position % len(self.bag))

    @rule(name=NAMES, seconds=st.sampled_from([0.1, 0.5, 2.5]))
    def let_time_pass(self, name: str, seconds: float) -> None:
        self.now += seconds
        self.cluster.advance(name, self.now)
        self.flush(name)

    @rule(rounds=st.integers(1, 8))
    def run_well(self, rounds: int) -> None:
        """Deliver waiting messages in order, for some heartbeats."""
        for _ in range(rounds):
            self.now += 0.2
            for name in self.cluster.keepers:
                self.cluster.advance(name, self.now)
                self.flush(name)
            for _ in range(60):
                if self.bag:
                    self.deliver(0)

    @precondition(lambda self: self.bag)
    @rule(position=POSITIONS)
    def deliver(self, position: int) -> None:
        message, lineage = self.take(position)
        self.cluster.deliver(message, lineage, self.now)
        self.flush(find_instance(message.target))

    @precondition(lambda self: self.bag)
    @rule(position=POSITIONS)
    def duplicate(self, position: int) -> None:
        self.bag.append(self.bag[position % len(self.bag)])

    @precondition(lambda self: self.bag)
    @rule(position=POSITIONS, count=st.integers(1, 20))
    def lose(self, position: int, count: int) -> None:
        start = position % len(self.bag)
        del self.bag[start : start + count]

    @precondition(lambda self: self.bag)
    @rule(position=POSITIONS)
    def crash_before_sync(self, position: int) -> None:
        message, lineage = self.take(position)
        self.cluster.deliver(message, lineage, self.now)
        self.cluster.crash(find_instance(message.target))

    @precondition(lambda self: self.bag)
    @rule(position=POSITIONS)
    def crash_after_sync(self, position: int) -> None:
        message, lineage = self.take(position)
        name = find_instance(message.target)
        self.cluster.deliver(message, lineage, self.now)
        self.cluster.flush(name)
        self.cluster.crash(name)

    @rule(name=NAMES)
    def restart(self, name: str) -> None:
        self.cluster.crash(name)
        self.cluster.start(name, self.now)

    @rule(name=NAMES, fault=st.sampled_from(DiskFault))
    def fail_disk(self, name: str, fault: DiskFault) -> None:
        self.cluster.keepers[name].disk.fault = fault

    @rule(name=NAMES)
    def wipe(self, name: str) -> None:
        leader = self.cluster.find_leader()
        if leader is None or self.cluster.keepers[name].running is leader:
            return
        voters = set(leader.replica.log.members.list_voters())
        if voters == {keeper.identity for keeper in self.cluster.keepers.values()}:
            self.cluster.wipe(name)
            self.cluster.start(name, self.now)

    @rule()
    def admit(self) -> None:
        self.cluster.admit_missing(self.now)

    @rule(name=NAMES, operator=st.sampled_from(["takeuchi", "graziani"]))
    def change(self, name: str, operator: str) -> None:
        self.number += 1
        change = self.cluster.make_change(self.number, operator)
        self.ask(name, change)

    @precondition(lambda self: self.cluster.changes)
    @rule(name=NAMES, position=POSITIONS)
    def resend(self, name: str, position: int) -> None:
        changes = list(self.cluster.changes.values())
        self.ask(name, changes[position % len(changes)])

    def ask(self, name: str, change: Change) -> None:
        self.cluster.propose(name, change, self.now)
        self.flush(name)

    @rule(entry=st.integers(0, 1), name=NAMES)
    def pull(self, entry: int, name: str) -> None:
        self.cluster.pull(entry, name)

    def teardown(self) -> None:
        """End the faults: all verdicts must still be there, and a new change must be decided."""
        self.bag.clear()
        for name, keeper in self.cluster.keepers.items():
            keeper.disk.fault = None
            self.restart(name)
        for _ in range(60):
            self.run_well(1)
            self.cluster.admit_missing(self.now)
        last = self.cluster.make_change(1, "last", "last", self.cluster.find_leader())
        for name in self.cluster.keepers:
            self.ask(name, last)
        self.run_well(8)
        assert "last-1" in self.cluster.invariants.verdicts, "no change is decided any more"
        for running in self.cluster.list_running():
            self.cluster.invariants.check_end(running, self.cluster.changes)


KeepersMachine.TestCase.settings = settings(
    derandomize=True,
    deadline=None,
    max_examples=250,
    stateful_step_count=60,
    suppress_health_check=list(HealthCheck),
)


class KeepersTest(KeepersMachine.TestCase):  # type: ignore[name-defined,misc]
    """Explore the log with events chosen by Hypothesis."""


if __name__ == "__main__":
    unittest.main()
