import unittest
from dataclasses import replace
from random import Random

from persimmonusher_agreement.active_time import ActiveTime
from persimmonusher_agreement.anti_entropy import AntiEntropy, split_records
from persimmonusher_agreement.directory import Directory
from persimmonusher_agreement.gossip import ByteBudget, GossipQueue, count_transmissions
from persimmonusher_agreement.member_record import MemberRecord, MemberState
from persimmonusher_agreement.member_table import MemberTable
from persimmonusher_agreement.membership_limits import MembershipLimits
from persimmonusher_agreement.membership_messages import GroupDigests
from persimmonusher_agreement.record_store import RecordStore
from persimmonusher_agreement.server_record import ServerRecord, ServerState
from persimmonusher_agreement.watch import choose_stride
from persimmonusher_agreement.watchers import WatcherChoice
from persimmonusher_model.identifiers import (
    FailureDomain,
    InstanceId,
    ServerId,
    ServiceName,
)
from persimmonusher_model.rendezvous import choose_spread

LIMITS = MembershipLimits()
SERVICE = ServiceName("entries")


def make_member(number: int, incarnation: int = 1, state: int = 0) -> MemberRecord:
    return MemberRecord(
        InstanceId(f"entry-{number}"),
        FailureDomain(f"domain-{number % 3}"),
        f"10.0.0.{number}:7000",
        ("entry",),
        incarnation,
        MemberState(state),
    )


def make_server(number: int = 1, boot: int = 1, sequence: int = 1, state: int = 1) -> ServerRecord:
    return ServerRecord(
        ServerId(f"worker-{number}"),
        SERVICE,
        "10.1.0.1:9000",
        FailureDomain("domain-0"),
        4,
        400,
        boot,
        sequence,
        ServerState(state),
    )


class RecordOrderTest(unittest.TestCase):
    def test_the_newer_record_of_two_stays_in_any_order(self) -> None:
        lost = replace(make_server(sequence=5), lost=True)
        cases = [
            (make_server(sequence=5), make_server(sequence=6)),
            (make_server(boot=1, sequence=99), make_server(boot=2, sequence=0)),
            (make_server(sequence=5), lost),
            (lost, make_server(sequence=6)),
            (make_server(sequence=5, state=1), make_server(sequence=5, state=2)),
            (make_member(1, 1, 0), make_member(1, 1, 1)),
            (make_member(1, 1, 2), make_member(1, 2, 0)),
            (make_member(1, 1, 2), make_member(1, 1, 3)),
        ]
        for older, newer in cases:
            for first, second in ((older, newer), (newer, older)):
                with self.subTest(first=first, second=second):
                    store = RecordStore()
                    store.put(first)
                    store.put(second)
                    store.put(first)
                    self.assertEqual(list(store.values()), [newer])

    def test_digests_depend_on_the_live_records_only(self) -> None:
        records = [make_server(number) for number in range(200)]
        stores = [RecordStore(), RecordStore()]
        for record in records:
            stores[0].put(record)
        for record in reversed(records):
            stores[1].put(replace(record, sequence=0))
            stores[1].put(record)
        stores[1].put(make_server(999, state=3))
        self.assertEqual(stores[0].digest, stores[1].digest)
        stores[1].put(make_server(5, sequence=2, state=3))
        self.assertNotEqual(stores[0].digest, stores[1].digest)
        for record in records:
            stores[0].remove(record)
        self.assertEqual((stores[0].digest, stores[0].live_count), (0, 0))
        self.assertEqual(set(stores[0].list_groups()), {0})


class MemberTableTest(unittest.TestCase):
    def setUp(self) -> None:
        self.table = MemberTable(make_member(0, 5), RecordStore(), LIMITS)

    def test_what_is_said_of_this_instance_is_refuted(self) -> None:
        cases = [
            (make_member(0, 4, 2), None),
            (make_member(0, 5, 0), None),
            (make_member(0, 5, 1), 6),
            (make_member(0, 6, 2), 7),
            (make_member(0, 9, 0), 10),
        ]
        for record, expected in cases:
            with self.subTest(record=record):
                answer = self.table.apply(record, 0.0)
                self.assertEqual(answer and answer.incarnation, expected)
                self.assertIs(self.table.own.state, MemberState.ALIVE)

    def test_an_instance_that_found_nobody_is_no_majority(self) -> None:
        self.assertFalse(self.table.sees_majority)
        self.table.apply(make_member(1), 0.0)
        self.assertTrue(self.table.sees_majority)

    def test_a_leaving_instance_refutes_nothing(self) -> None:
        self.table.leave()
        self.assertIsNone(self.table.apply(make_member(0, 6, 2), 0.0))

    def test_a_suspicion_ends_in_death_or_refutation(self) -> None:
        self.table.apply(make_member(1), 0.0)
        self.table.apply(make_member(2), 0.0)
        for number in (1, 2):
            self.table.suspect(InstanceId(f"entry-{number}"), 0.0)
        self.assertEqual(self.table.expire(2.9), [])
        self.table.apply(make_member(2, 2), 2.9)
        self.assertEqual(self.table.expire(3.1), [make_member(1, 1, 2)])
        self.assertEqual(set(self.table.live), {"entry-0", "entry-2"})

    def test_the_dead_count_until_forgotten_and_one_half_is_the_majority(self) -> None:
        self.table = MemberTable(make_member(0, 5), RecordStore(), LIMITS, expects_others=False)
        for number in range(1, 4):
            self.table.apply(make_member(number), 0.0)
        self.table.apply(make_member(3, 1, 2), 0.0)
        self.table.apply(make_member(2, 1, 2), 0.0)
        self.assertTrue(self.table.sees_majority)
        self.table.apply(make_member(1, 1, 2), 0.0)
        self.assertFalse(self.table.sees_majority)
        self.table.expire(LIMITS.dead_retention_seconds + 1)
        self.assertFalse(self.table.sees_majority)
        self.table.expire(LIMITS.minority_retention_seconds + 1)
        self.assertTrue(self.table.sees_majority)


class DirectoryTest(unittest.TestCase):
    def setUp(self) -> None:
        self.directory = Directory(RecordStore(), LIMITS)

    def test_an_announcement_is_judged_by_its_freshness(self) -> None:
        cases = [
            (make_server(boot=2, sequence=5), (True, True)),
            (make_server(boot=2, sequence=5), (True, False)),
            (make_server(boot=2, sequence=6), (True, False)),
            (make_server(boot=2, sequence=4, state=2), (False, False)),
            (make_server(boot=1, sequence=99), (False, False)),
            (make_server(boot=2, sequence=7, state=2), (True, True)),
            (make_server(boot=2, sequence=6, state=1), (False, False)),
            (make_server(boot=2, sequence=8, state=3), (True, True)),
            (make_server(boot=3, sequence=1, state=0), (True, True)),
        ]
        for record, expected in cases:
            with self.subTest(record=record):
                announced = self.directory.announce(record, 0.0)
                self.assertEqual((announced.accepted, announced.changed), expected)

    def test_lost_servers_are_listed_while_they_outnumber_the_others(self) -> None:
        """
        Five servers of a service are lost at once, because announcements don't get through. If only
        the remaining servers were listed, they would be overloaded.
        """
        records = [make_server(number) for number in range(8)]
        for record in records:
            self.directory.apply(record, 0.0)
        counts = []
        for record in records:
            before = self.directory.version(SERVICE)
            self.directory.apply(replace(record, lost=True), 0.0)
            self.assertGreater(self.directory.version(SERVICE), before)
            counts.append(len(self.directory.list_servers(SERVICE)))
        self.assertEqual(counts, [7, 6, 5, 4, 8, 8, 8, 8])
        self.directory.apply(make_server(0, sequence=2), 0.0)
        self.directory.expire(LIMITS.lost_listing_seconds + 1)
        self.assertEqual(len(self.directory.list_servers(SERVICE)), 1)

    def test_lost_servers_that_were_leaving_are_not_listed(self) -> None:
        for number in range(3):
            self.directory.apply(replace(make_server(number, state=2), lost=True), 0.0)
        self.assertEqual(self.directory.list_servers(SERVICE), ())

    def test_doubted_servers_stay_listed_until_confirmed_or_dropped(self) -> None:
        for number in range(4):
            self.directory.apply(make_server(number), 0.0)
        self.directory.mark_all_unconfirmed()
        self.assertEqual(len(self.directory.list_servers(SERVICE)), 4)
        self.assertIsNone(self.directory.find(ServerId("worker-1")))
        self.directory.may_confirm = False
        self.assertIsNone(self.directory.apply(make_server(0), 0.0))
        self.assertIsNotNone(self.directory.apply(make_server(1, sequence=2), 0.0))
        self.directory.may_confirm = True
        older = make_server(0, sequence=0)
        self.assertEqual(self.directory.apply(older, 0.0), make_server(0))
        self.assertIsNotNone(self.directory.apply(make_server(2, sequence=2, state=3), 0.0))
        self.assertEqual(len(self.directory.list_servers(SERVICE)), 3)
        self.assertEqual(self.directory.drop_unconfirmed(), [SERVICE])
        self.assertEqual(len(self.directory.list_servers(SERVICE)), 2)

    def test_tombstones_expire(self) -> None:
        self.directory.apply(make_server(state=3), 10.0)
        self.directory.expire(LIMITS.stopped_retention_seconds)
        self.assertIsNotNone(self.directory.find(ServerId("worker-1")))
        self.directory.expire(LIMITS.stopped_retention_seconds + 11.0)
        self.assertIsNone(self.directory.find(ServerId("worker-1")))


class GossipTest(unittest.TestCase):
    def test_each_change_is_sent_a_bounded_number_of_times(self) -> None:
        queue = GossipQueue()
        queue.add(make_server(1), 3)
        queue.add(make_server(2, state=2), 3)
        taken = [queue.take(1100) for _ in range(4)]
        self.assertEqual([len(records) for records in taken], [2, 2, 2, 0])
        self.assertEqual(taken[0][0].key, "s/worker-2")

    def test_the_byte_limit_lets_urgent_and_least_sent_go_first(self) -> None:
        queue = GossipQueue()
        room = make_server(1).size
        for number in range(5):
            queue.add(make_server(number), 2)
        queue.add(make_server(9, state=2), 1)
        keys = [queue.take(room)[0].key for _ in range(6)]
        self.assertEqual(keys[0], "s/worker-9")
        self.assertEqual(len(set(keys)), 6)

    def test_copies_from_others_count_in_a_flood(self) -> None:
        queue = GossipQueue()
        for number in range(1, 21):
            queue.add(make_server(number), 2)
        queue.count_duplicate(make_server(1))
        queue.count_duplicate(make_server(1, sequence=9))
        self.assertEqual(len(queue), 20)
        queue.count_duplicate(make_server(1))
        self.assertEqual(len(queue), 19)
        queue.count_duplicate(make_server(2))
        queue.count_duplicate(make_server(2))
        self.assertEqual(len(queue), 19)

    def test_transmissions_grow_with_the_logarithm(self) -> None:
        sizes = (1, 48, 250, 2500, 25_000)
        self.assertEqual([count_transmissions(size) for size in sizes], [14, 14, 14, 14, 18])

    def test_the_budget_refills_at_its_rate_up_to_the_burst(self) -> None:
        budget = ByteBudget(100.0, 1000.0)
        budget.spend(1500)
        self.assertEqual(budget.available(4.0), -100.0)
        self.assertEqual(budget.available(100.0), 1000.0)


class AntiEntropyTest(unittest.TestCase):
    def converge(self, left: RecordStore, right: RecordStore) -> int:
        random = Random(1)
        sides = (AntiEntropy(left, LIMITS, random), AntiEntropy(right, LIMITS, random))
        exchanges = 0
        while left.digest != right.digest and exchanges < 200:
            self.exchange(sides, (left, right))
            exchanges += 1
        self.assertEqual(left.digest, right.digest)
        return exchanges

    def exchange(
        self, sides: tuple[AntiEntropy, AntiEntropy], stores: tuple[RecordStore, RecordStore]
    ) -> None:
        start = sides[0].start()
        summaries = [start]
        if isinstance(start, GroupDigests):
            groups = sides[1].answer_groups(start)
            summaries = [found for group in groups for found in sides[0].answer_buckets(group)]
        for summary in summaries:
            assert not isinstance(summary, GroupDigests)
            difference = sides[1].answer_summary(summary)
            for record in difference.records:
                newer = stores[0].get(record.key_hash)
                if not stores[0].put(record) and newer is not None:
                    stores[1].put(newer)
            for record in sides[0].answer_wanted(difference.wanted):
                stores[1].put(record)

    def test_one_difference_among_many_is_found_in_one_exchange(self) -> None:
        left, right = RecordStore(), RecordStore()
        for number in range(5000):
            left.put(make_server(number))
            right.put(make_server(number))
        for change in (make_server(77, sequence=2, state=2), make_server(99999)):
            left.put(change)
            self.assertEqual(self.converge(left, right), 1)
            right.put(replace(change, sequence=5))
            self.assertEqual(self.converge(left, right), 1)

    def test_stores_of_any_size_converge(self) -> None:
        for count in (10, 60, 300, 3000):
            with self.subTest(count=count):
                left, right = RecordStore(), RecordStore()
                for number in range(count):
                    (left if number % 3 else right).put(make_server(number))
                self.assertLess(self.converge(left, right), 60)

    def test_a_tombstone_answers_a_live_record_and_travels_no_other_way(self) -> None:
        left, right = RecordStore(), RecordStore()
        left.put(make_server(1, sequence=2, state=3))
        self.assertEqual(left.digest, right.digest)
        right.put(make_server(1))
        exchange = AntiEntropy(left, LIMITS, Random(1))
        start = AntiEntropy(right, LIMITS, Random(1)).start()
        assert not isinstance(start, GroupDigests)
        difference = exchange.answer_summary(start)
        self.assertEqual((len(difference.records), difference.wanted), (1, ()))

    def test_pieces_fit_their_limit(self) -> None:
        records = [make_server(number) for number in range(40)]
        pieces = split_records(records, 1100)
        self.assertEqual([record for piece in pieces for record in piece], records)
        self.assertTrue(all(sum(r.size for r in piece) <= 1100 for piece in pieces))


class WatcherChoiceTest(unittest.TestCase):
    def test_kept_choices_equal_fresh_ones_through_changes(self) -> None:
        random = Random(3)
        choice = WatcherChoice(InstanceId("entry-0"), 3)
        live = {record.instance_id: record for record in map(make_member, range(9))}
        for changes in range(200):
            name = InstanceId(f"entry-{random.randrange(30)}")
            if name in live and len(live) > 1:
                del live[name]
            else:
                live[name] = make_member(int(name.split("-")[1]))
            choice.update(live, changes)
            choice.list_own_shards()
            domains: dict[str, str] = {n: m.failure_domain for n, m in live.items()}
            for shard in (0, 7, 255):
                fresh = choose_spread(domains, f"watch/{shard}", 3)
                self.assertEqual(list(choice.list_shard_watchers(shard)), fresh)

    def test_heartbeats_are_thinned_at_the_target_size_only(self) -> None:
        cases = [(48, 48, 1), (480, 48, 2), (110_000, 2500, 8)]
        for servers, instances, expected in cases:
            self.assertEqual(choose_stride(servers, instances, LIMITS), expected)


class ActiveTimeTest(unittest.TestCase):
    def test_a_pause_counts_as_one_step(self) -> None:
        time = ActiveTime()
        readings = [time.advance(now) for now in (50.0, 50.1, 350.1, 350.2)]
        self.assertAlmostEqual(readings[-1], 1.2)
        self.assertEqual(time.take_pause(), 300.0)
        self.assertEqual(time.take_pause(), 0.0)


if __name__ == "__main__":
    unittest.main()
