"""Requests of several priorities on one service whose capacity is short, in virtual time."""

import unittest
from dataclasses import replace
from random import Random
from statistics import mean, pstdev
from typing import Any

from decisions_helpers import FAILED, dispatched, make_request, make_traffic
from fleet_simulation import Load
from heavy_loads import PROFILE
from priority_fleet import SURGE_ORGANISATION, URGENT_FIRST, PriorityFleet

from persimmonusher_decisions.urgency import Surges, UrgencyGate, share_out
from persimmonusher_decisions.work import Dispatch, Refusal
from persimmonusher_model.identifiers import CallerId

SERVERS = 17
CAPACITY = SERVERS * 4 / (0.32 * 1.046)
"""Requests a second of the servers; each of 50 entries sees 4 to 12 requests a second."""
STEADY = Load(
    instances=50,
    domains=1,
    servers=SERVERS,
    work_seconds=0.32,
    prone_share=0.0,
    unlucky_share=0.0,
    seconds=20.0,
)
"""Poisson arrivals at a steady rate on servers without faults."""
MIX = (0.1, 0.2, 0.7)
URGENT_PART = (0.05, 0.25, 0.7)
"""Parts of three priorities with which, at 3 times capacity, the most urgent kind and a quarter of
the others fit into the capacity."""
LEARNED_SECONDS = 8
QUIET_FROM_SECONDS = 4.0
UNSERVED_NEAR_CAPACITY = 0.005


def play(factor: float, weights: tuple[float, ...], **options: Any) -> PriorityFleet:
    load = replace(
        STEADY,
        requests_a_second=factor * CAPACITY,
        **{name: options.pop(name) for name in ("seconds", "burst_factor") if name in options},
    )
    fleet = PriorityFleet(load, weights, **options)
    fleet.run()
    return fleet


class PrioritiesTest(unittest.TestCase):
    """Steady load of three priorities at 0.9, 1.5 and 3 times capacity."""

    # Guards against refusing what can be served.
    def test_below_capacity_hardly_anything_is_refused(self) -> None:
        for weights in (MIX, (1.0,)):
            fleet = play(0.9, weights)
            offered = sum(fleet.offered[f"p{rank}"] for rank in range(len(weights)))
            self.assertLess(fleet.gate_refusals, UNSERVED_NEAR_CAPACITY * offered)

    # Guards against delaying or refusing urgent requests by chance, and starving the others.
    def test_above_capacity_urgent_requests_go_first(self) -> None:
        for factor, weights in {1.5: MIX, 3.0: URGENT_PART}.items():
            with self.subTest(factor=factor):
                fleet = play(factor, weights, seconds=30.0)
                shares = [fleet.find_share(f"p{rank}") for rank in range(3)]
                self.assertGreaterEqual(shares[0], 0.99)
                self.assertEqual(shares, sorted(shares, reverse=True))
                self.assertGreaterEqual(shares[2], 0.25 * shares[0])
                self.assertGreater(fleet.find_rate(LEARNED_SECONDS, 30), 0.95 * CAPACITY)

    # Guards against callers that all return at the same moment.
    def test_retry_after_is_spread(self) -> None:
        seconds = play(1.5, MIX, seconds=12.0).retry_after
        self.assertGreaterEqual(min(seconds), 1.0)
        self.assertGreater(pstdev(seconds), 0.15 * mean(seconds))


class SurgeTest(unittest.TestCase):
    """0.9 of capacity, until one of ten organisations sends 7 times its usual rate."""

    # Guards against others paying for the surge of one organisation.
    def test_the_surging_organisation_bears_most_of_the_shortage(self) -> None:
        changes = {"surge": 7.0, "surge_from": 16.0, "learned": 18.0, "seconds": 30.0}
        fleet = play(0.9, MIX, **changes)
        others = mean(fleet.find_share(f"o{number}") for number in range(1, 10))
        own = fleet.find_share(SURGE_ORGANISATION)
        self.assertLess(own, others - 0.1)
        self.assertGreater(own, 0.25 * others)
        before = play(0.9, MIX, profile=PROFILE, **changes)
        self.assertGreater(others, mean(before.find_share(f"o{number}") for number in range(1, 10)))


class ReturningCapacityTest(unittest.TestCase):
    """Three times capacity for 3 s of every 10 s, and 0.5 of it in the rest.

    The servers have worked off their queues about a second after each burst, and their slots are
    half free from then on.
    """

    # Guards against refusals that outlast the shortage.
    def test_refusals_end_a_second_after_the_queues_are_empty(self) -> None:
        late: list[float] = []

        class TimedFleet(PriorityFleet):
            def _refuse(self, refusal: Refusal) -> None:
                moment = self._now % 10.0
                if moment >= 5.0 and self._now > LEARNED_SECONDS:
                    late.append(moment)
                super()._refuse(refusal)

        load = replace(STEADY, requests_a_second=0.5 * CAPACITY, burst_factor=6.0, seconds=30.0)
        TimedFleet(load, MIX).run()
        # Some entries see no request in that second.
        self.assertLess(len(late), UNSERVED_NEAR_CAPACITY * 0.5 * CAPACITY * 2 * 5.0)


class GateTest(unittest.TestCase):
    # Guards against refusals, or other random draws, in deployments that don't enable the gate.
    def test_off_it_admits_all_and_draws_nothing(self) -> None:
        random = Random(1)
        state = random.getstate()
        gate = UrgencyGate(random)
        for number in range(100):
            request = make_request(f"r{number}")
            self.assertIsNone(gate.find_refusal(request, (), 1.0, 9.0, 0.01 * number))
        self.assertEqual(random.getstate(), state)

    # Guards against shares that leave capacity unused, or favour a less urgent kind.
    def test_shares_use_the_capacity_in_the_order_of_priorities(self) -> None:
        counts = {0: 2.0, 1: 3.0, 2: 5.0}
        for share in (0.05, 0.2, 0.5, 0.9):
            shares = share_out(counts, share, share)
            admitted = sum(shares[rank] * count for rank, count in counts.items())
            self.assertAlmostEqual(admitted, 10.0 * share)
            self.assertEqual(list(shares.values()), sorted(shares.values(), reverse=True))
            self.assertGreaterEqual(shares[2], 0.25 * shares[0])

    # Guards against treating an organisation that is new as a surge for ever.
    def test_a_new_organisation_becomes_usual(self) -> None:
        surges = Surges()
        for tenth in range(300):
            surges.record(CallerId("old"), 0.1 * tenth)
        shares = [surges.record(CallerId("new"), 30.0 + second) for second in range(180)]
        self.assertGreater(max(shares[:10]), 0.0)
        self.assertEqual(max(shares[-30:]), 0.0)

    # Guards against less urgent retries that use up the budget while more urgent requests fail.
    def test_less_urgent_requests_leave_half_of_the_retry_budget(self) -> None:
        spent = {}
        for is_urgent_failing in (False, True):
            profile = URGENT_FIRST.model_copy(update={"max_retries": 1, "retry_slack": 20.0})
            traffic = make_traffic(6, profile)
            if is_urgent_failing:
                urgent = dispatched(traffic.offer(make_request("u"), 1.0))
                traffic.finish(urgent, FAILED, 1.0)
            count = 0
            for number in range(20):
                request = replace(make_request(f"r{number}"), priority=2)
                dispatch = dispatched(traffic.offer(request, 1.0))
                traffic.finish(dispatch, FAILED, 1.0)
                count += isinstance(traffic.retry(dispatch, FAILED, 1.0), Dispatch)
            spent[is_urgent_failing] = count
        self.assertLessEqual(spent[True], spent[False] // 2 + 1)
        self.assertGreater(spent[True], 0)


if __name__ == "__main__":
    unittest.main()
