"""Tests of the messages that carry work in progress and costs: their bytes, limits and ages."""

import unittest
from random import Random
from types import SimpleNamespace
from typing import Any, cast

from structlog.testing import capture_logs

from persimmonusher_decisions.costs import CostSample
from persimmonusher_decisions.server_work import WorkInProgress
from persimmonusher_model.clock import ManualClock
from persimmonusher_model.identifiers import ServerId, ServiceName
from persimmonusher_node.line_budget import LineBudget
from persimmonusher_node.tiers.cost_sums import MAX_KINDS, CostQueue, CostSums
from persimmonusher_node.tiers.entry_work import MAX_REPORT_SERVERS, EntryWork
from persimmonusher_node.tiers.fleet_loads import FleetLoads, FleetLoadsWatch, decode_fleet_loads
from persimmonusher_node.tiers.fleet_work import FleetWork
from persimmonusher_node.tiers.grpc_keepers import encode_report
from persimmonusher_node.tiers.keeper_port import ReportedLoads
from persimmonusher_node.tiers.load_wire import pack_loads, unpack_loads
from persimmonusher_node.tiers.message_delays import RELEARN_SECONDS, MessageDelays
from persimmonusher_protocol import control_pb2 as pb

SERVICE = ServiceName("payments")
FRAME_BYTES = 14
"""Header of a gRPC message and of the HTTP/2 frame around it."""
FOLLOWER_BYTES_PER_SECOND = 2_000
NODE_BYTES_PER_SECOND = 8_000
TARGET_KEEPERS, TARGET_NODES, TARGET_SERVERS = 5, 2_500, 110_000
BYTES_PER_ENTRY = 8
"""Hash and age of one entry in a message between keepers."""
REPORTS_PER_SECOND, UPDATES_PER_SECOND = 2.5, 2.0


def make_sample(kind: str, mean: float, count: int = 1) -> CostSample:
    return CostSample(SERVICE, kind, count, mean)


class MessageBytesTest(unittest.TestCase):
    """Load pattern: all entries have requests at random servers, every one of them expensive."""

    def run_second(self, servers: int, entries: int, in_progress: int, keepers: int) -> "Bytes":
        """Return the bytes of one second, after two in which all is learned."""
        random = Random(1)
        names = [
            ServerId(f"payments-{number:06}.zone-{number % 8}:8080") for number in range(servers)
        ]
        fleets = [FleetWork(number) for number in range(keepers)]
        measured = Bytes()
        for half in range(6):
            now = 100.0 + 0.5 * half
            measured = Bytes() if half == 4 else measured
            for entry in range(entries):
                report = make_report(random, names, entry, in_progress, now)
                measured.reports.append(report.ByteSize() - strip_work(report).ByteSize())
                loads = {load.server: load.in_progress for load in report.loads}
                fleets[entry % keepers].record_report(report, loads, now)
            for number, fleet in enumerate(fleets):
                sums = fleet.make_sums(f"keeper-{number}", now)
                if sums is None:
                    continue  # The age of an entry's first report isn't known.
                measured.shared.append(sums.ByteSize() + FRAME_BYTES)
                for other in fleets:
                    if other is not fleet:
                        other.record_sums(sums, now)
            update = pb.FollowUpdate()
            fleets[0].add_loads(update, lambda server: True, now)
            costs, _ = fleets[0].make_costs(0)
            measured.updates.append(update.ByteSize())
            measured.costs.append(FRAME_BYTES + (0 if costs is None else costs.ByteSize()))
            found = unpack_loads(update.fleet_loads, update.packed_fleet_loads)
            measured.listed = len(found or {})
        return measured

    # Guards against a fleet of today's size costing more than is allowed, or losing servers to it.
    def test_a_hundred_servers_fit_into_the_bytes_of_a_follower(self) -> None:
        measured = self.run_second(servers=100, entries=93, in_progress=8, keepers=3)
        self.assertEqual(measured.listed, 100)
        self.assertLessEqual(measured.find_follower_bytes(), FOLLOWER_BYTES_PER_SECOND)
        print("\n100 servers, 93 entries, 3 keepers:", measured.describe())

    # Guards against bytes that grow with the number of servers or nodes.
    def test_the_target_size_fits_into_the_bytes_of_a_node(self) -> None:
        entries = 50
        measured = self.run_second(TARGET_SERVERS, entries, in_progress=480, keepers=1)
        followers = TARGET_NODES // TARGET_KEEPERS
        message = max(measured.shared) + BYTES_PER_ENTRY * (followers - entries)
        link = UPDATES_PER_SECOND * message
        node = measured.find_follower_bytes() + measured.find_report_bytes()
        node += link * (TARGET_KEEPERS - 1) / followers
        self.assertLessEqual(measured.find_follower_bytes(), FOLLOWER_BYTES_PER_SECOND)
        self.assertLessEqual(node, NODE_BYTES_PER_SECOND)
        print("\n110,000 servers, 50 entries of a keeper:", measured.describe())
        print(
            f"computed for 2,500 nodes: {node:.0f} B/s a node, {link:.0f} B/s a link of 5 keepers"
        )

    # Guards against the busiest servers, which entries must avoid, being those that are left out.
    def test_the_busiest_servers_are_kept(self) -> None:
        work = {f"s{n}": WorkInProgress(1, 0.001 * n) for n in range(1, 5_000)}
        for limit in (20, 700, 2_800):
            packed = pack_loads(work, limit)
            size = pb.LoadSums(loads=packed.loads).ByteSize() + len(packed.table)
            self.assertLessEqual(size, limit)
            kept = unpack_loads(packed.loads, packed.table)
            assert kept is not None
            self.assertEqual(packed.left_out_ms, 4_999 - len(kept))
            self.assertGreater(len(kept), 0)
            self.assertEqual(set(kept), {f"s{n}" for n in range(5_000 - len(kept), 5_000)})

    # Guards against taking servers for idle that were left out of a message.
    def test_servers_that_were_left_out_count_by_their_requests(self) -> None:
        update = pb.FollowUpdate(
            has_fleet_loads=True,
            fleet_loads=[pb.Load(server="s1", in_progress=4, work_ms=8_000)],
            fleet_loads_left_out_ms=5_000,
            loads=[pb.Load(server=f"s{n}", in_progress=n) for n in (1, 2, 3)],
        )
        loads = decode_fleet_loads(update, 0.0, 1.0)
        assert loads is not None
        expected = {"s1": (4, 8.0), "s2": (2, 4.0), "s3": (3, 5.0)}
        self.assertEqual(loads.work, {s: WorkInProgress(*one) for s, one in expected.items()})

    # Guards against times that are wrong by more than the estimates that they come from.
    def test_work_arrives_within_a_few_percent(self) -> None:
        work = {f"s{n}": WorkInProgress(n, 0.002 * 1.2**n) for n in range(1, 80)}
        found = unpack_loads([], pack_loads(work, 1_000).table) or {}
        self.assertEqual(set(found), set(work))
        for server, one in work.items():
            self.assertEqual(found[server].requests, one.requests)
            self.assertAlmostEqual(found[server].seconds / one.seconds, 1.0, delta=0.02)

    # Guards against a message of another version or a fault ending the stream that carries it.
    def test_a_table_that_cannot_be_read_is_ignored(self) -> None:
        packed = pack_loads({f"s{n}": WorkInProgress(1, 1.0) for n in range(50)}, 700).table
        for data in (b"noise", packed[:-9]):
            update = pb.FollowUpdate(has_fleet_loads=True, packed_fleet_loads=data)
            self.assertIsNone(decode_fleet_loads(update, 0.0, 1.0))
            FleetWork(1).record_sums(pb.LoadSums(keeper="k2", packed_loads=data), 1.0)


class Bytes:
    """Bytes of messages that were made in one second."""

    def __init__(self) -> None:
        self.reports: list[int] = []
        self.shared: list[int] = []
        self.updates: list[int] = []
        self.costs: list[int] = []
        self.listed = 0

    def find_follower_bytes(self) -> float:
        return UPDATES_PER_SECOND * (max(self.updates) + max(self.costs))

    def find_report_bytes(self) -> float:
        return REPORTS_PER_SECOND * max(self.reports)

    def describe(self) -> str:
        return (
            f"{self.find_follower_bytes():.0f} B/s to each follower with {self.listed} servers,"
            f" {self.find_report_bytes():.0f} B/s more in each entry's reports,"
            f" {UPDATES_PER_SECOND * max(self.shared):.0f} B/s from a keeper to each other one"
        )


def make_report(
    random: Random, names: list[ServerId], entry: int, in_progress: int, now: float
) -> pb.LoadReport:
    chosen = random.sample(names, in_progress)
    work = {name: random.uniform(0.1, 8.0) for name in chosen}
    live = SimpleNamespace(
        list_work=lambda: work,
        pop_cost_samples=lambda: [
            make_sample(f"d:/v1/payments/{number}|POST|5", random.uniform(0.3, 3.0), 3)
            for number in range(40)
        ],
    )
    service = SimpleNamespace(name=SERVICE, traffic=live, profile=SimpleNamespace(work_aware=True))
    loads = EntryWork(lambda: [cast("Any", service)], ManualClock()).make_report(
        {name: random.randint(1, 4) for name in chosen}
    )
    report = encode_report(f"entry-{entry:04}", loads)
    report.sent.run, report.sent.milliseconds = entry, round(now * 1000)
    return report


def strip_work(report: pb.LoadReport) -> pb.LoadReport:
    """Return a report as a previous version would send it."""
    loads = [pb.Load(server=load.server, in_progress=load.in_progress) for load in report.loads]
    return pb.LoadReport(instance=report.instance, loads=loads)


class UnawareTest(unittest.TestCase):
    # Guards against any change of the messages while no service is work-aware.
    def test_reports_without_work_change_no_message(self) -> None:
        service = SimpleNamespace(profile=SimpleNamespace(work_aware=False))
        work = EntryWork(lambda: [cast("Any", service)], ManualClock())
        report = encode_report("e1", work.make_report({ServerId("s1"): 3}))
        expected = pb.LoadReport(instance="e1", loads=[pb.Load(server="s1", in_progress=3)])
        self.assertEqual(report.SerializeToString(), expected.SerializeToString())
        fleet = FleetWork(1)
        fleet.record_report(report, {"s1": 3}, 5.0)
        update = pb.FollowUpdate(has_loads=True)
        before = update.SerializeToString()
        fleet.add_loads(update, lambda server: True, 5.0)
        self.assertEqual(update.SerializeToString(), before)
        self.assertIsNone(fleet.make_sums("k1", 5.0))
        self.assertEqual(fleet.make_costs(0), (None, 0))

    # Guards against requests of entries of the previous version, whose work is unknown, counting
    # for nothing at servers that other entries use too.
    def test_requests_without_work_count_as_the_others_on_average(self) -> None:
        fleet = FleetWork(1)
        new = pb.LoadReport(instance="new", loads=[pb.Load(server="s1", work_ms=600)])
        fleet.record_report(new, {"s1": 2}, 5.0)
        fleet.record_report(pb.LoadReport(instance="old"), {"s1": 4, "s2": 1}, 5.0)
        update = pb.FollowUpdate()
        fleet.add_loads(update, lambda server: True, 5.0)
        self.assertEqual(
            list(update.fleet_loads), [pb.Load(server="s1", in_progress=6, work_ms=1_800)]
        )


class MessageDelaysTest(unittest.TestCase):
    # Guards against leaving out for hours a machine whose clock stood still while it was suspended.
    def test_a_delay_that_stays_is_taken_for_none(self) -> None:
        delays, now = MessageDelays(), 100.0
        for offset, expected in ((5.0, 0.0), (35.0, 30.0), (35.0, 0.0)):
            for _ in range(round(RELEARN_SECONDS / 0.5)):
                now += 0.5
                delay = delays.find_delay("k1", 1, now - offset, now)
            self.assertAlmostEqual(delay, expected, delta=0.1)

    # Guards against trusting the first message of a process, which may have been held back.
    def test_a_first_message_is_of_unknown_age(self) -> None:
        delays = MessageDelays()
        self.assertEqual(delays.find_delay("k1", 1, 0.0, 30.0), float("inf"))
        self.assertEqual(delays.find_delay("k1", 1, 0.4, 30.0), float("inf"))
        self.assertEqual(delays.find_delay("k1", 1, 30.4, 30.4), 0.0)


class CostsTest(unittest.TestCase):
    # Guards against traffic for means that hardly change, and against missing a change of the work.
    def test_only_means_that_changed_by_a_tenth_are_sent(self) -> None:
        costs, now = CostSums(), 0.0
        costs.add([make_sample("r:a", 1.0, 10)], now)
        first, version = costs.list_changed(0, 1_000)
        self.assertEqual([sample.mean_seconds for sample in first], [1.0])
        for _ in range(20):
            now += 0.5
            costs.add([make_sample("r:a", 1.05, 5)], now)
        self.assertEqual(costs.list_changed(version, 1_000)[0], [])
        for _ in range(20):
            now += 0.5
            costs.add([make_sample("r:a", 3.0, 5)], now)
        [sample] = costs.list_changed(version, 1_000)[0]
        self.assertAlmostEqual(sample.mean_seconds, 3.0, delta=0.3)

    # Guards against a follower that starts, or gets a few at a time, missing some of the costs.
    def test_a_follower_gets_all_costs_in_parts(self) -> None:
        costs = CostSums()
        for number in range(600):
            costs.add([make_sample(f"r:{number % 300}", 1.0 + number, 1)], 0.0)
        heard: dict[str, float] = {}
        version, parts = 0, 0
        while version < costs.version:
            changed, version = costs.list_changed(version, 250)
            heard.update({sample.kind: sample.mean_seconds for sample in changed})
            parts += 1
        self.assertEqual(len(heard), MAX_KINDS)
        self.assertGreater(parts, 20)

    # Guards against samples that are lost or counted twice while a report has no room for them.
    def test_queued_samples_are_merged_and_sent_once(self) -> None:
        queue = CostQueue()
        for number in range(100):
            queue.add([make_sample("r:a", 1.0 + number % 2), make_sample(f"r:{number}", 1.0)])
        popped: list[CostSample] = []
        while part := queue.pop(100):
            popped.extend(part)
        self.assertEqual(len(popped), 101)
        self.assertEqual((popped[0].count, popped[0].mean_seconds), (100, 1.5))


class FleetLoadsWatchTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = ManualClock()
        self.watch = FleetLoadsWatch(LineBudget(self.clock, 1))

    # Guards against lines for an idle entry, and against a loss of all keepers that isn't logged.
    def test_a_loss_is_logged_once_and_so_is_its_end(self) -> None:
        loads = FleetLoads({ServerId("s1"): WorkInProgress(1, 1.0)}, 10.0)
        with capture_logs() as lines:
            self.watch.record_need(False, 5.0)
            self.assertTrue(self.watch.try_record(loads, 10.5))
            for tenth in range(110, 200):
                self.watch.record_need(True, tenth / 10.0)
            self.clock.advance(5.0)
            self.assertTrue(self.watch.try_record(FleetLoads({}, 19.9), 20.0))
        self.assertEqual(
            [line["event"] for line in lines], ["fleet-loads-stale", "fleet-loads-current"]
        )

    # Guards against loads that were held back on their way, by a frozen process or a cut link.
    def test_old_loads_are_never_used(self) -> None:
        update = pb.FollowUpdate(has_fleet_loads=True, fleet_loads_age_ms=300)
        for delay, usable in ((0.0, True), (1.6, True), (1.8, False), (30.0, False)):
            loads = decode_fleet_loads(update, delay, 100.0)
            assert loads is not None
            self.assertEqual(self.watch.try_record(loads, 100.0), usable)


class FakeTraffic:
    """One service's traffic, which records what is applied."""

    def __init__(self, work: dict[ServerId, float]) -> None:
        self.work = work
        self.applied: list[tuple[dict[ServerId, WorkInProgress], float]] = []
        self.costs: list[CostSample] = []

    def list_work(self) -> dict[ServerId, float]:
        return self.work

    def pop_cost_samples(self) -> tuple[CostSample, ...]:
        return ()

    def apply_work(self, work: dict[ServerId, WorkInProgress], age: float) -> None:
        self.applied.append((work, age))

    def apply_cost_samples(self, samples: list[CostSample]) -> None:
        self.costs.extend(samples)


class FakeService:
    """A service with a profile that may be work-aware."""

    def __init__(self, name: str, is_aware: bool, work: dict[ServerId, float]) -> None:
        self.name = ServiceName(name)
        self.profile = SimpleNamespace(work_aware=is_aware)
        self.traffic = FakeTraffic(work)


class EntryWorkTest(unittest.TestCase):
    def setUp(self) -> None:
        self.aware = FakeService("payments", True, {ServerId("s1"): 1.5})
        self.unaware = FakeService("search", False, {ServerId("s2"): 1.0})
        self.services = [self.aware, self.unaware]
        clock = ManualClock()
        clock.advance(100.0)
        self.work = EntryWork(lambda: cast("Any", self.services), clock)

    # Guards against services taking part that aren't work-aware.
    def test_only_work_aware_services_report_and_get_work(self) -> None:
        report = self.work.make_report({ServerId("s1"): 2, ServerId("s2"): 1})
        self.assertEqual(report, ReportedLoads({"s1": 2, "s2": 1}, {"s1": 1.5}))
        update = pb.FollowUpdate(
            fleet_loads=[pb.Load(server="s1", in_progress=9, work_ms=4_000)],
            has_fleet_loads=True,
            fleet_loads_age_ms=300,
        )
        self.work.apply_update(update, delay=0.1)
        self.work.apply_update(update, delay=float("inf"))
        [(work, age)] = self.aware.traffic.applied
        self.assertEqual(work, {"s1": WorkInProgress(9, 4.0)})
        self.assertAlmostEqual(age, 0.4)
        self.assertEqual(self.unaware.traffic.applied, [])

    # Guards against a service that gets its first request later learning all costs anew.
    def test_a_service_in_use_later_gets_the_costs_held(self) -> None:
        costs = [pb.CostSample(service="late", kind="r:a", count=5, mean_ms=1_900)]
        self.work.apply_update(pb.FollowUpdate(costs=costs), 0.0)
        late = FakeService("late", True, {})
        self.services.append(late)
        self.work.apply_update(pb.FollowUpdate(), 0.0)
        self.work.apply_update(pb.FollowUpdate(), 0.0)
        self.assertEqual(late.traffic.costs, [CostSample(late.name, "r:a", 5, 1.9)])

    # Guards against reports that grow with the number of servers in use.
    def test_a_report_has_the_work_of_the_busiest_servers(self) -> None:
        work = {ServerId(f"s{number}"): float(number) for number in range(1_000)}
        self.aware.traffic.work = work
        reported = self.work.make_report({}).work
        assert reported is not None
        self.assertEqual(len(reported), MAX_REPORT_SERVERS)
        self.assertEqual(min(reported.values()), 800.0)


if __name__ == "__main__":
    unittest.main()
