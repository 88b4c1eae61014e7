import unittest
from dataclasses import replace

from hypothesis import HealthCheck, settings
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from hypothesis.strategies import booleans, floats, integers, sampled_from

from persimmonusher_agreement.server_record import ServerState
from persimmonusher_lab.membership_checks import FleetChecker
from persimmonusher_lab.membership_matrix import LIMITS
from persimmonusher_lab.virtual_fleet import VirtualFleet
from persimmonusher_lab.virtual_links import Delayed, Duplicated, Reordered

INSTANCES = 6
SERVERS = 4
NUMBER = integers(0, INSTANCES - 1)


class FleetExploration(RuleBasedStateMachine):
    """Random faults in any order; after they end, all instances must agree again."""

    def __init__(self) -> None:
        super().__init__()
        self.fleet = VirtualFleet(INSTANCES, seed=7, limits=LIMITS)
        self.checker = FleetChecker(self.fleet)
        self.servers = [self.fleet.add_server(f"worker-{n}") for n in range(SERVERS)]
        self.ready = [server.record for server in self.servers]
        self.stopped: set[int] = set()
        self.fleet.run(4.0)

    @rule(seconds=floats(0.05, 12.0))
    def let_time_pass(self, seconds: float) -> None:
        self.fleet.run(seconds)

    @rule(number=NUMBER, graceful=booleans())
    def end(self, number: int, graceful: bool) -> None:
        instance = self.fleet.instances[number]
        if instance.running and not instance.frozen:
            self.fleet.leave(number) if graceful else self.fleet.crash(number)

    @rule(number=NUMBER, offset=sampled_from([0.0, -5.0]))
    def restart(self, number: int, offset: float) -> None:
        if not self.fleet.instances[number].running:
            self.fleet.restart(number, offset)

    @rule(number=NUMBER)
    def freeze_or_thaw(self, number: int) -> None:
        instance = self.fleet.instances[number]
        if instance.running:
            (self.fleet.thaw if instance.frozen else self.fleet.freeze)(number)

    @rule(sender=NUMBER, receiver=NUMBER)
    def cut_one_way(self, sender: int, receiver: int) -> None:
        self.fleet.cut_one_way([sender], [receiver])

    @rule(number=NUMBER)
    def isolate(self, number: int) -> None:
        self.fleet.cut_both_ways([number], range(INSTANCES))

    @rule(fault=sampled_from([Delayed(probability=0.3), Duplicated(), Reordered()]))
    def disturb_links(self, fault: Delayed | Duplicated | Reordered) -> None:
        self.fleet.faults = [fault]

    @rule(loss=sampled_from([0.0, 0.05, 0.2]))
    def lose(self, loss: float) -> None:
        self.fleet.loss = loss

    @rule()
    def heal(self) -> None:
        self.fleet.heal()

    @rule(server=integers(0, 1), entry=NUMBER, stop=booleans())
    def drain_or_stop(self, server: int, entry: int, stop: bool) -> None:
        if server in self.stopped:
            return
        state = ServerState.STOPPED if stop else ServerState.DRAINING
        self.fleet.tell(self.servers[server], state, entry)
        if stop:
            self.stopped.add(server)

    @rule(server=integers(0, SERVERS - 1), entry=NUMBER, sequence=integers(0, 3))
    def deliver_old(self, server: int, entry: int, sequence: int) -> None:
        self.fleet.deliver(replace(self.ready[server], sequence=sequence), entry)

    @invariant()
    def nothing_broken(self) -> None:
        assert not self.checker.violations, "\n".join(map(str, self.checker.violations))

    def teardown(self) -> None:
        self.fleet.heal()
        self.fleet.loss = 0.0
        for instance in list(self.fleet.instances):
            if instance.frozen:
                self.fleet.thaw(instance.number)
            if not self.fleet.instances[instance.number].running:
                self.fleet.restart(instance.number)
        self.fleet.run(30.0)
        self.checker.check_members()
        self.checker.check_agreement()
        for number, server in enumerate(self.servers):
            if number in self.stopped:
                self.checker.check_gone(server.record.server_id)
            else:
                self.checker.check_listed(server.record.server_id)
        self.nothing_broken()


FleetExploration.TestCase.settings = settings(
    max_examples=40,
    stateful_step_count=20,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)
FleetExplorationTest = FleetExploration.TestCase


if __name__ == "__main__":
    unittest.main()
