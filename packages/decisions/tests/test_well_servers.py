"""A fleet of hundreds of instances whose servers fail in turn; healthy servers must be used."""

import unittest
from dataclasses import replace

from decisions_helpers import dispatched, make_request, make_traffic
from fleet_simulation import Load
from heavy_loads import LOOKUPS_AND_PURCHASES, PROFILE
from recorded_fleet import RecordedFleet

from persimmonusher_decisions.suspicion import find_max_suspects
from persimmonusher_model.identifiers import ServerId
from persimmonusher_model.profile import Profile

LARGE_FLEET = PROFILE.model_copy(
    update={"retry_slack": 430.0, "health_floor_percent": 56, "fewest_suspects": 7}
)
PAYMENTS = Load(
    instances=291,
    domains=6,
    servers=21,
    requests_a_second=120.0,
    work_seconds=0.24,
    fault_every=9.0,
    fault_seconds=9.0,
    fault_chance=0.3,
    seconds=30.0,
)
"""Only payments, which can't be retried, on 21 servers of which about six are faulty at a time."""
SEEDS = range(1, 5)
FLOOR_SHARE = 0.7
"""Least part of the healthy servers that must be in use."""


CALM = replace(
    LOOKUPS_AND_PURCHASES,
    requests_a_second=86.0,
    work_seconds=0.35,
    fault_seconds=2.7,
    seconds=40.0,
)
"""Less than half of the slots are busy, so that no request needs a suspected server."""
LONG_FAULTS = replace(CALM, fault_every=20.0, fault_seconds=5.0, fault_chance=0.8)
ENTRIES = Load(
    requests_a_second=56.2,
    work_spread=0.8,
    fault_every=9.0,
    fault_seconds=9.0,
    fault_chance=0.3,
    seconds=60.0,
)
"""Only entries, which can't be retried."""
SMALL_FLEET = LARGE_FLEET.model_copy(update={"retry_slack": 64.0, "suspect_ms": 2_000})

HEDGING = Profile(hedge_after_ms=50)


class WellServersTest(unittest.TestCase):
    def test_well_servers_of_a_middling_service_are_used(self) -> None:
        """Guards against avoiding so many recovered servers that the others are overloaded.

        Servers are avoided for longer than they are faulty. With a floor chosen for nine servers,
        12 of 21 were avoided, most of them healthy again, while payments waited in the queues of
        the others until their deadlines.
        """
        for seed in SEEDS:
            with self.subTest(seed=seed):
                fleet = RecordedFleet(PAYMENTS, LARGE_FLEET, seed)
                served = fleet.run()
                self.assertGreaterEqual(min(fleet.find_shares_used()), FLOOR_SHARE)
                self.assertLess(served.failed_share, 0.04)

    # Guards against suspicions that outlast the faults, so that recovered servers stay idle.
    def test_recovered_servers_are_used_while_the_others_have_free_slots(self) -> None:
        for name, load in {"short": CALM, "long": LONG_FAULTS, "entries": ENTRIES}.items():
            for seed in SEEDS:
                with self.subTest(faults=name, seed=seed):
                    fleet = RecordedFleet(load, SMALL_FLEET, seed)
                    fleet.run()
                    self.assertGreaterEqual(min(fleet.find_shares_used()), FLOOR_SHARE)

    def test_more_servers_may_be_passed_by_where_chance_is_larger(self) -> None:
        cases = {1: 0, 3: 1, 6: 3, 9: 5, 14: 7, 21: 9, 33: 14, 94: 41}
        for servers, most in cases.items():
            with self.subTest(servers=servers):
                self.assertEqual(find_max_suspects(servers, LARGE_FLEET), most)

    def test_without_the_exception_the_floor_alone_decides(self) -> None:
        profile = replace_floor(60)
        for servers, most in {1: 0, 5: 2, 10: 4, 100: 40}.items():
            self.assertEqual(find_max_suspects(servers, profile), most)


def replace_floor(percent: int) -> Profile:
    return PROFILE.model_copy(update={"health_floor_percent": percent, "fewest_suspects": 0})


class CopiesInSaturationTest(unittest.TestCase):
    def test_no_copy_waits_behind_others(self) -> None:
        """Guards against hedging under overload.

        All servers have more requests than slots, so every lookup is slow. Copies of slow lookups
        would join the same queues, and a tenth of all work would be done twice.
        """
        for in_progress, has_copy in {40: False, 0: True}.items():
            with self.subTest(in_progress=in_progress):
                traffic = make_traffic(3, HEDGING)
                first = dispatched(traffic.offer(make_request("r"), 0.0))
                for tick in range(10):
                    # Reports are clamped to a multiple of their mean, which rises with them.
                    traffic.apply_loads({ServerId(f"s{n}"): in_progress for n in range(3)})
                    traffic.advance(0.2 * tick)
                    traffic.offer(make_request(f"w{tick}"), 0.2 * tick)
                self.assertEqual(traffic.hedge(first, 2.0) is not None, has_copy)


if __name__ == "__main__":
    unittest.main()
