"""The stand-in backend server and balancer behave as their faults say."""

import tempfile
import unittest
from pathlib import Path
from random import Random

import eventlet

from persimmonusher_decisions.server import BackendServer
from persimmonusher_lab.announcer import Announcer, to_document
from persimmonusher_lab.backend_server import BackendOptions, StandIn
from persimmonusher_lab.balancer import Balancer
from persimmonusher_lab.faults import Faults
from persimmonusher_lab.ledger import Ledger, LedgerRecord, Phase, count_runs, read_ledgers
from persimmonusher_lab.slots import NotRunError, Slots


class FaultsTest(unittest.TestCase):
    def test_flapping_holds_in_the_first_half(self) -> None:
        faults = Faults(fail_percent=100, flap_period_seconds=4.0)
        self.assertEqual(
            [faults.at(t).fail_percent for t in (0, 1, 2, 3, 4)], [100, 100, 0, 0, 100]
        )
        self.assertIs(Faults(fail_percent=7).at(3.0).choose_failure(Random(1)), False)

    def test_shares_are_kept(self) -> None:
        random = Random(1)
        faults = Faults(fail_percent=30, truncate_percent=10)
        failed = sum(faults.choose_failure(random) for _ in range(1000))
        cut = sum(faults.choose_truncation(random) for _ in range(1000))
        self.assertAlmostEqual(failed, 300, delta=50)
        self.assertAlmostEqual(cut, 100, delta=40)


class SlotsTest(unittest.TestCase):
    def test_sheds_beyond_the_queue(self) -> None:
        slots = Slots(1, 1)
        order: list[str] = []

        def work(name: str, seconds: float) -> None:
            try:
                with slots.enter(eventlet.hubs.get_hub().clock() + 5.0):
                    order.append(name)
                    eventlet.sleep(seconds)
            except NotRunError as error:
                order.append(f"{name} {error}")

        threads = [eventlet.spawn(work, name, 0.01) for name in ("a", "b", "c")]
        for thread in threads:
            thread.wait()
        self.assertEqual(order, ["a", "c shed", "b"])
        self.assertEqual(slots.load, 0)

    def test_deadline_in_the_queue_gives_no_slot_away(self) -> None:
        slots = Slots(1, 4)
        now = eventlet.hubs.get_hub().clock()
        with slots.enter(now + 1.0), self.assertRaises(NotRunError), slots.enter(now + 0.02):
            self.fail("a second request got the only slot")
        with slots.enter(now + 5.0):
            self.assertEqual(slots.load, 1)


class LedgerTest(unittest.TestCase):
    def test_survives_and_counts(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            for server, phases in (("s1", [Phase.BEGUN, Phase.DONE]), ("s2", [Phase.BEGUN])):
                with Ledger(Path(folder) / f"{server}.jsonl") as ledger:
                    for at, phase in enumerate(phases):
                        ledger.append(LedgerRecord(at, server, phase, "POST", "/", "r", "t"))
            records = read_ledgers(Path(folder))
        self.assertEqual(len(records), 3)
        self.assertEqual(count_runs(records), {"t": 2})


class BalancerTest(unittest.TestCase):
    def test_leaves_out_failed_and_tried_entries(self) -> None:
        now = [0.0]
        balancer = Balancer(["a", "b"], Random(1), lambda: now[0])
        self.assertEqual({balancer.choose({"a"}) for _ in range(9)}, {"b"})
        balancer.note_failure("b")
        self.assertEqual({balancer.choose({"a"}) for _ in range(9)}, {"a"})
        now[0] = 1.5
        self.assertEqual({balancer.choose({"a"}) for _ in range(9)}, {"b"})
        balancer.note_failure("a")
        balancer.note_failure("b")
        self.assertIn(balancer.choose(()), "ab")


class AnnouncementTest(unittest.TestCase):
    def test_sequence_rises_over_failed_tries(self) -> None:
        sent: list[BackendServer] = []
        with tempfile.TemporaryDirectory() as folder, Ledger(Path(folder) / "s.jsonl") as ledger:
            stand_in = StandIn(BackendOptions("s", "shows", "127.0.0.1:1"), ledger)

            def describe(sequence: int) -> BackendServer:
                sent.append(stand_in.describe(sequence))
                return sent[-1]

            announcer = Announcer(["127.0.0.1:9"], Random(1), describe)
            self.assertFalse(announcer.announce())
            self.assertFalse(announcer.announce())
        self.assertLess(sent[0].freshness, sent[1].freshness)
        self.assertEqual(to_document(sent[0])["state"], "ready")


if __name__ == "__main__":
    unittest.main()
