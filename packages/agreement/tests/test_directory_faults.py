import unittest
from dataclasses import replace

from persimmonusher_agreement.membership_limits import MembershipLimits
from persimmonusher_agreement.server_record import ServerState
from persimmonusher_lab.membership_checks import FleetChecker
from persimmonusher_lab.virtual_fleet import VirtualFleet, VirtualServer

MAX_DRAIN_SECONDS = 2.0
SHORT_LIMITS = MembershipLimits(dead_retention_seconds=60.0, stopped_retention_seconds=120.0)


def start_fleet(
    count: int = 12,
    seed: int = 1,
    loss: float = 0.0,
    servers: int = 8,
    limits: MembershipLimits | None = None,
) -> tuple[VirtualFleet, FleetChecker, list[VirtualServer]]:
    fleet = VirtualFleet(count, seed, limits=limits, loss=loss)
    checker = FleetChecker(fleet)
    started = [fleet.add_server(f"worker-{number}") for number in range(servers)]
    fleet.run(8.0)
    return fleet, checker, started


def count_knowing(fleet: VirtualFleet, server: VirtualServer, state: ServerState) -> int:
    found = (one.fleet.directory.find(server.record.server_id) for one in fleet.list_running())
    return sum(record is not None and record.state is state for record in found)


def count_listing(fleet: VirtualFleet, server: VirtualServer) -> int:
    listed = (
        one.fleet.directory.list_servers(server.record.service) for one in fleet.list_running()
    )
    names = [{record.server_id for record in records} for records in listed]
    return sum(server.record.server_id in listing for listing in names)


class DirectoryFaultTest(unittest.TestCase):
    def expect_clean(self, checker: FleetChecker) -> None:
        self.assertEqual([str(violation) for violation in checker.violations], [])

    def wait_until_known(
        self, fleet: VirtualFleet, server: VirtualServer, state: ServerState, bound: float
    ) -> float:
        took = fleet.run_until(
            lambda: count_knowing(fleet, server, state) == len(fleet.list_running()), bound
        )
        self.assertIsNotNone(took, f"{state.name} did not reach all within {bound} s")
        return took or 0.0

    def test_a_drain_reaches_all_in_two_seconds_at_twenty_percent_loss(self) -> None:
        """
        A stopping backend server announces that it drains, while each datagram between instances is
        lost with a probability of 0.2. Entries that miss the drain go on sending it requests.
        """
        for seed in range(3):
            fleet, checker, servers = start_fleet(48, seed, loss=0.2, servers=24)
            for number, server in enumerate(servers):
                with self.subTest(seed=seed, number=number):
                    fleet.tell(server, ServerState.DRAINING, entry=number)
                    self.wait_until_known(fleet, server, ServerState.DRAINING, MAX_DRAIN_SECONDS)
            self.expect_clean(checker)

    def test_a_drain_reaches_all_when_the_entry_that_was_told_is_killed(self) -> None:
        """
        The entry that receives a server's drain is killed at once, before or just after it sends
        its first datagrams. The server repeats the drain each second through other entries.
        """
        for seed in range(2):
            fleet, checker, servers = start_fleet(48, seed, loss=0.2)
            for number, server in enumerate(servers):
                with self.subTest(seed=seed, number=number):
                    if number % 2:
                        fleet.cut_one_way((number,), range(48))
                    fleet.tell(server, ServerState.DRAINING, entry=number)
                    fleet.crash(number)
                    self.wait_until_known(fleet, server, ServerState.DRAINING, MAX_DRAIN_SECONDS)
            self.expect_clean(checker)

    def test_a_drain_crosses_a_one_way_cut(self) -> None:
        """
        The entry that received the drain can't reach one failure domain, or a whole domain can't
        reach another one; the drain must get there through the third domain.
        """
        cuts = (((3,), range(1, 48, 3)), (range(0, 48, 3), range(1, 48, 3)))
        for senders, receivers in cuts:
            for seed in range(2):
                with self.subTest(senders=senders, seed=seed):
                    fleet, checker, servers = start_fleet(48, seed)
                    fleet.cut_one_way(senders, receivers)
                    fleet.tell(servers[0], ServerState.DRAINING, entry=3)
                    self.wait_until_known(
                        fleet, servers[0], ServerState.DRAINING, MAX_DRAIN_SECONDS
                    )
                    self.expect_clean(checker)

    def test_a_late_old_announcement_undoes_nothing(self) -> None:
        """
        An announcement of "ready" waits in a slow connection while the server announces that it
        drains and then that it stopped. It arrives last, at an entry that may know neither.
        """
        fleet, checker, servers = start_fleet()
        server = servers[0]
        server.announcing = False
        old = replace(server.record, sequence=server.record.sequence)
        fleet.tell(server, ServerState.DRAINING, entry=1)
        fleet.deliver(old, 2)
        fleet.run(5.0)
        self.assertEqual(count_knowing(fleet, server, ServerState.DRAINING), 12)
        fleet.tell(server, ServerState.STOPPED, entry=3)
        fleet.run(5.0)
        fleet.deliver(old, 4)
        fleet.run(10.0)
        self.assertEqual(count_listing(fleet, server), 0)
        self.expect_clean(checker)

    def test_a_late_announcement_of_an_earlier_boot_undoes_nothing(self) -> None:
        fleet, checker, servers = start_fleet()
        server = servers[0]
        old = server.record
        server.record = replace(old, boot_id=2, sequence=0, address="10.1.0.2:9000")
        fleet.run(5.0)
        fleet.deliver(replace(old, sequence=10_000), 4)
        fleet.run(5.0)
        found = [one.fleet.directory.find(old.server_id) for one in fleet.instances]
        self.assertEqual({record and record.address for record in found}, {"10.1.0.2:9000"})
        self.expect_clean(checker)

    def test_a_silent_server_is_lost_and_comes_back(self) -> None:
        """
        A server's machine loses power. Its watchers declare it lost after the heartbeat timeout,
        and all instances stop listing it; it is listed again once it announces itself. With message
        loss the watchers last heard it at different times, and must not count each other's answers
        as signs of life.
        """
        for seed, loss in ((1, 0.0), (1, 0.2), (4, 0.2), (5, 0.2)):
            with self.subTest(seed=seed, loss=loss):
                fleet, checker, servers = start_fleet(48, seed, loss)
                servers[0].announcing = False
                fleet.run(4.0)
                self.assertEqual(count_listing(fleet, servers[0]), 48)
                fleet.run(5.0)
                self.assertEqual(count_listing(fleet, servers[0]), 0)
                servers[0].announcing = True
                fleet.run(1.0 + MAX_DRAIN_SECONDS)
                self.assertEqual(count_listing(fleet, servers[0]), 48)
                self.expect_clean(checker)

    def test_one_cut_instance_removes_no_server(self) -> None:
        """
        For minutes one instance receives nothing, or nothing that it sends arrives, or both. It
        watches some servers, finds them silent, and must not get them removed.
        """
        others = [number for number in range(12) if number != 4]
        for senders, receivers in ((others, [4]), ([4], others)):
            with self.subTest(senders=senders):
                fleet, checker, servers = start_fleet()
                fleet.cut_one_way(senders, receivers)
                fleet.unreachable.add(4)
                fleet.run(120.0)
                fleet.heal()
                fleet.run(30.0)
                self.assertEqual([count_listing(fleet, server) for server in servers], [12] * 8)
                self.expect_clean(checker)

    def test_an_isolated_instance_keeps_its_servers_for_hours(self) -> None:
        """
        An instance is cut off from all others for two hours, while callers still reach it. It
        receives only its share of the announcements and must go on listing the servers.
        """
        fleet, checker, servers = start_fleet(3)
        fleet.cut_both_ways([2], [0, 1])
        fleet.unreachable.add(2)
        fleet.run(2 * 3600.0)
        self.assertEqual([count_listing(fleet, server) for server in servers], [3] * 8)
        fleet.heal()
        fleet.run(30.0)
        checker.check_members()
        self.expect_clean(checker)

    def test_a_frozen_watcher_removes_no_server(self) -> None:
        """
        Three instances are frozen for ten minutes and continue; the balancer drops them after ten
        seconds. By their clocks, all servers that they watch have been silent for ten minutes.
        """
        fleet, checker, servers = start_fleet()
        for number in (2, 3, 4):
            fleet.freeze(number)
        fleet.run(10.0)
        fleet.unreachable.update((2, 3, 4))
        fleet.run(600.0)
        fleet.unreachable.clear()
        for number in (2, 3, 4):
            fleet.thaw(number)
        fleet.run(60.0)
        self.assertEqual([count_listing(fleet, server) for server in servers], [12] * 8)
        self.expect_clean(checker)

    def test_a_broken_balancer_removes_no_server(self) -> None:
        """
        The balancer drops announcements for ten minutes, while callers' requests pass. All servers
        fall silent at once; if none of them were listed, every request would be refused.
        """
        fleet, checker, servers = start_fleet()
        fleet.unreachable.update(range(12))
        fleet.run(600.0)
        self.assertEqual([count_listing(fleet, server) for server in servers], [12] * 8)
        fleet.heal()
        fleet.run(10.0)
        self.expect_clean(checker)

    def test_the_smaller_side_of_a_cut_removes_no_server(self) -> None:
        """
        A failure domain is cut off, and all announcements reach the larger side only. The cut-off
        instances are the only watchers they know, hear nothing, and must keep the servers.
        """
        fleet, checker, servers = start_fleet()
        island = list(range(1, 12, 3))
        fleet.cut_both_ways(island, [n for n in range(12) if n not in island])
        fleet.unreachable.update(island)
        fleet.run(300.0)
        self.assertEqual([count_listing(fleet, server) for server in servers], [12] * 8)
        fleet.heal()
        fleet.run(30.0)
        self.expect_clean(checker)

    def test_a_stopped_server_does_not_come_back_after_its_tombstone(self) -> None:
        """
        A server stops while some instances are cut off or frozen, or one runs alone, for longer
        than the others keep its tombstone. On their return they still hold it as ready, and must
        not spread that.
        """
        for fault in ("isolated", "island", "frozen"):
            with self.subTest(fault=fault):
                fleet, checker, servers = start_fleet(limits=SHORT_LIMITS)
                group = [1] if fault != "island" else list(range(1, 12, 3))
                if fault == "frozen":
                    fleet.freeze(1)
                else:
                    fleet.cut_both_ways(group, [n for n in range(12) if n not in group])
                    fleet.unreachable.update(group)
                servers[0].announcing = False
                fleet.tell(servers[0], ServerState.STOPPED, entry=0)
                fleet.run(300.0)
                self.assertIsNone(
                    fleet.instances[0].fleet.directory.find(servers[0].record.server_id)
                )
                if fault == "frozen":
                    fleet.thaw(1)
                fleet.heal()
                for _ in range(300):
                    fleet.run(0.1)
                    held = fleet.instances[0].fleet.directory.find(servers[0].record.server_id)
                    self.assertTrue(held is None or held.is_tombstone)
                checker.check_gone(servers[0].record.server_id)
                checker.check_members()
                self.assertEqual(
                    [count_listing(fleet, server) for server in servers], [0] + [12] * 7
                )

    def test_a_restarted_entry_learns_every_server(self) -> None:
        """
        An entry restarts while 300 servers are known, more than one exchange carries. It must
        list them all within a few seconds.
        """
        fleet, checker, servers = start_fleet(6, servers=300)
        fleet.crash(5)
        fleet.restart(5)
        directory = fleet.instances[5].fleet.directory
        took = fleet.run_until(lambda: directory.live_count == 300, 2.5)
        self.assertIsNotNone(took)
        self.expect_clean(checker)


if __name__ == "__main__":
    unittest.main()
