"""Tests of the sums that keepers make of the entries' work, on virtual time and without a network.

Load pattern: each entry has a steady request in progress, at a server that only it uses.
"""

import unittest
from collections.abc import Callable
from random import Random
from typing import Any, Final, cast

from persimmonusher_decisions.server_work import WorkInProgress
from persimmonusher_node.tiers.fleet_work import FleetWork
from persimmonusher_node.tiers.load_wire import unpack_loads
from persimmonusher_node.tiers.message_delays import make_send_time
from persimmonusher_node.tiers.work_book import EntryReport, WorkBook
from persimmonusher_protocol import control_pb2 as pb

ENTRIES: Final = 12
KEEPERS: Final = 3
REPORT_STEPS, SHARE_STEPS, REBUILD_SECONDS = 8, 10, 1.5
STEP_SECONDS: Final = 0.05


class Fleet:
    """Entries and keepers that run in steps, each with a clock of its own origin.

    An entry's work at its server is the time of its report, which shows how old a sum is.
    """

    def __init__(self, random: Random) -> None:
        self.random = random
        self.now = 1_000.0
        self.step = 0
        self.keepers = [FleetWork(run) for run in range(KEEPERS)]
        self.follows = [entry % KEEPERS for entry in range(ENTRIES)]
        self.frozen: set[int] = set()
        self.cut: set[tuple[int, int]] = set()
        """Links between keepers that carry nothing, by sender and receiver."""
        self.held: dict[int, list[Callable[[float], None]]] = {}
        """What arrives at a frozen keeper when it goes on."""

    def advance(self, seconds: float) -> None:
        for _ in range(round(seconds / STEP_SECONDS)):
            self.now += STEP_SECONDS
            self.step += 1
            for entry in range(ENTRIES):
                if (self.step + entry) % REPORT_STEPS == 0:
                    self.report(entry)
            for number in range(KEEPERS):
                if (self.step + 3 * number) % SHARE_STEPS == 0 and number not in self.frozen:
                    self.share(number)

    def report(self, entry: int) -> None:
        report = pb.LoadReport(
            instance=f"entry-{entry}",
            loads=[pb.Load(server=f"s{entry}", in_progress=1, work_ms=round(self.now * 1000))],
            sent=make_send_time(7, self.now - 10.0 * entry),
        )
        number = self.follows[entry]
        self.deliver(
            number, lambda now: self.keepers[number].record_report(report, {f"s{entry}": 1}, now)
        )

    def share(self, number: int) -> None:
        sums = self.keepers[number].make_sums(f"k{number}", self.now + 100.0 * number)
        for other in range(KEEPERS):
            if sums is not None and other != number and (number, other) not in self.cut:
                self.deliver(
                    other, lambda now, other=other: self.keepers[other].record_sums(sums, now)
                )

    def deliver(self, number: int, message: Callable[[float], None]) -> None:
        if number in self.frozen:
            self.held.setdefault(number, []).append(message)
        else:
            message(self.now + 100.0 * number)

    def freeze(self, number: int) -> None:
        self.frozen.add(number)

    def thaw(self, number: int) -> None:
        """Let a keeper go on, which first gets all that was sent to it meanwhile, in any order."""
        self.frozen.discard(number)
        held = self.held.pop(number, [])
        self.random.shuffle(held)
        for message in held:
            self.deliver(number, message)

    def restart(self, number: int) -> None:
        self.frozen.discard(number)
        self.held.pop(number, None)
        self.keepers[number] = FleetWork(1_000 + self.step)

    def read(self, number: int) -> tuple[dict[str, WorkInProgress], float] | None:
        """Return the work that a keeper sends its followers, and its age."""
        update = pb.FollowUpdate()
        self.keepers[number].add_loads(update, lambda server: True, self.now + 100.0 * number)
        if not update.has_fleet_loads:
            return None
        work = unpack_loads(update.fleet_loads, update.packed_fleet_loads)
        assert work is not None
        return work, update.fleet_loads_age_ms / 1000.0


class FleetWorkTest(unittest.TestCase):
    def setUp(self) -> None:
        self.fleet = Fleet(Random(1))

    def check_whole(self, *numbers: int) -> None:
        for number in numbers:
            found = self.fleet.read(number)
            assert found is not None
            self.assertEqual({s: one.requests for s, one in found[0].items()}, self.all_once())

    def all_once(self) -> dict[str, int]:
        return {f"s{entry}": 1 for entry in range(ENTRIES)}

    def check_age(self, found: tuple[dict[str, WorkInProgress], float]) -> None:
        work, age = found
        true_age = max(self.fleet.now - one.seconds / one.requests for one in work.values())
        self.assertGreaterEqual(age, true_age - 0.06)

    # Guards against sums of a keeper's own followers only, and against an age that is too low.
    def test_each_keeper_knows_the_work_of_all_entries(self) -> None:
        self.fleet.advance(REBUILD_SECONDS)
        for _ in range(40):
            self.fleet.advance(0.15)
            self.check_whole(0, 1, 2)
            for number in range(KEEPERS):
                found = self.fleet.read(number)
                assert found is not None
                self.check_age(found)
                self.assertLess(found[1], 1.2)

    # Guards against work of a keeper that ended being counted for ever, and beside the reports that
    # its entries make to other keepers.
    def test_entries_of_a_killed_keeper_are_counted_once(self) -> None:
        self.fleet.advance(3.0)
        self.fleet.freeze(0)
        for entry in range(0, ENTRIES, KEEPERS):
            self.fleet.follows[entry] = 1 + entry % 2
        for _ in range(40):
            self.fleet.advance(STEP_SECONDS)
            for number in (1, 2):
                found = self.fleet.read(number)
                assert found is not None
                self.assertLessEqual(max(one.requests for one in found[0].values()), 1)
                self.check_age(found)
        self.check_whole(1, 2)

    # Guards against entries counted twice, or not at all, after they changed to a nearer keeper.
    def test_entries_that_change_their_keeper_are_counted_once(self) -> None:
        self.fleet.advance(3.0)
        for _ in range(20):
            self.fleet.follows[self.fleet.random.randrange(ENTRIES)] = 2
            self.fleet.advance(self.fleet.random.uniform(0.3, 1.5))
            for number in range(KEEPERS):
                found = self.fleet.read(number)
                assert found is not None
                self.assertLessEqual(max(one.requests for one in found[0].values()), 1)
        self.fleet.advance(REBUILD_SECONDS)
        self.check_whole(0, 1, 2)

    # Guards against two keepers that each leave an entry's report out because the other has one.
    def test_of_two_reports_of_an_entry_the_newer_one_counts(self) -> None:
        first, second = WorkBook(), WorkBook()
        first.record_report("e", EntryReport({"s": 1}, {"s": 1.0}, 10.0))
        second.record_report("e", EntryReport({"s": 2}, {"s": 2.0}, 10.4))
        second.record_sums("k1", cast("Any", first.sum_followers(10.5)), 10.5)
        first.record_sums("k2", cast("Any", second.sum_followers(10.5)), 10.5)
        second.record_sums("k1", cast("Any", first.sum_followers(10.7)), 10.7)
        for book, count in ((first, 0), (second, 2)):
            sums = book.sum_followers(10.8)
            assert sums is not None
            self.assertEqual(sum(one.requests for one in sums.work.values()), count)

    # Guards against half a minute old messages that a keeper finds in its buffers after a pause.
    def test_a_keeper_that_was_frozen_uses_nothing_from_before(self) -> None:
        self.fleet.advance(3.0)
        self.fleet.freeze(1)
        self.fleet.advance(30.0)
        self.fleet.thaw(1)
        found = self.fleet.read(1)
        if found is not None:
            self.check_age(found)
            self.assertLessEqual(found[1], 2.0)
        self.fleet.advance(REBUILD_SECONDS)
        self.check_whole(0, 1, 2)

    # Guards against state that a restarted keeper would need: it has the whole fleet in 1.5 s.
    def test_a_restarted_keeper_knows_the_fleet_within_the_stated_time(self) -> None:
        self.fleet.advance(3.0)
        self.fleet.restart(2)
        self.fleet.advance(REBUILD_SECONDS)
        self.check_whole(0, 1, 2)

    # Guards against sums of a keeper that is cut off from one other being used there for long.
    def test_a_keeper_that_is_cut_off_is_left_out_there_only(self) -> None:
        self.fleet.advance(3.0)
        self.fleet.cut = {(0, 1)}
        self.fleet.advance(REBUILD_SECONDS)
        self.check_whole(0, 2)
        found = self.fleet.read(1)
        assert found is not None
        self.assertEqual(len(found[0]), ENTRIES - ENTRIES // KEEPERS)
        self.fleet.cut = set()
        self.fleet.advance(REBUILD_SECONDS)
        self.check_whole(1)

    # Guards against combinations of faults: any age that is too low, sums above the limit of age,
    # entries counted twice for longer than 1.5 s, and sums that stay incomplete afterwards.
    def test_series_of_faults(self) -> None:
        for seed in range(30):
            with self.subTest(seed=seed):
                self.run_series(Random(seed))

    def run_series(self, random: Random) -> None:
        fleet = self.fleet = Fleet(random)
        doubled_since: dict[int, float] = {}
        for _ in range(40):
            fleet.advance(random.uniform(0.05, 1.0))
            self.draw_fault(random)
            for number in set(range(KEEPERS)) - fleet.frozen:
                found = fleet.read(number)
                if found is None or not found[0]:
                    continue
                self.check_age(found)
                self.assertLessEqual(found[1], 1.7)
                if max(one.requests for one in found[0].values()) <= 1:
                    doubled_since.pop(number, None)
                else:
                    since = doubled_since.setdefault(number, fleet.now)
                    self.assertLessEqual(fleet.now - since, 1.5)
        for number in list(fleet.frozen):
            fleet.thaw(number)
        fleet.cut = set()
        fleet.advance(2.0 * REBUILD_SECONDS)
        self.check_whole(0, 1, 2)

    def draw_fault(self, random: Random) -> None:
        fleet, number = self.fleet, random.randrange(KEEPERS)
        match random.randrange(5):
            case 0:
                fleet.freeze(number)
            case 1:
                fleet.thaw(number)
            case 2:
                fleet.restart(number)
            case 3:
                links = [(a, b) for a in range(KEEPERS) for b in range(KEEPERS) if a != b]
                fleet.cut = set(random.sample(links, random.randrange(4)))
            case 4:
                fleet.follows[random.randrange(ENTRIES)] = number


if __name__ == "__main__":
    unittest.main()
