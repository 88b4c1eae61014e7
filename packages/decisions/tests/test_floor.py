import unittest

from decisions_helpers import GOOD, dispatched, make_request, make_set, make_traffic
from hypothesis import given, settings
from hypothesis import strategies as st

from persimmonusher_decisions.floor import Candidate, apply_floor
from persimmonusher_model.identifiers import ServerId
from persimmonusher_model.profile import Profile


class FloorTest(unittest.TestCase):
    @settings(derandomize=True, deadline=None)
    @given(st.lists(st.integers(1, 16), min_size=1, max_size=50), st.integers(0, 100), st.data())
    def test_capacity_left_is_never_below_the_floor(
        self, sizes: list[int], floor: int, data: st.DataObject
    ) -> None:
        slots = {ServerId(f"s{index}"): size for index, size in enumerate(sizes)}
        named = data.draw(st.lists(st.sampled_from([*slots, ServerId("gone")]), unique=True))
        verdict = apply_floor([Candidate(name, 1.0) for name in named], slots, floor)
        left = sum(size for name, size in slots.items() if name not in verdict.ejected)
        self.assertGreaterEqual(100 * left, floor * sum(sizes))
        self.assertGreater(len(slots), len(verdict.ejected))

    def test_strongest_evidence_goes_first(self) -> None:
        slots = {ServerId(f"s{index}"): 4 for index in range(4)}
        candidates = [Candidate(ServerId("s1"), 1.0), Candidate(ServerId("s2"), 1.4)]
        verdict = apply_floor(candidates, slots, 75)
        self.assertEqual((verdict.ejected, verdict.held_back), (("s2",), ("s1",)))


class TwoAssessorsTest(unittest.TestCase):
    """Guards against two assessors of one service that together violate the floor of 60%.

    While instances disagree on membership, assessor a ejects s0 and s1, then assessor b ejects s2
    and s3. Each set alone respects the floor; both together would leave 2 of 6 servers.
    """

    def setUp(self) -> None:
        self.traffic = make_traffic(6, Profile(health_floor_percent=60))

    def _list_ejected(self) -> set[str]:
        statuses = self.traffic.describe(0.0)
        return {item.server.server_id for item in statuses if not item.taking_work}

    def test_one_assessor_at_a_time(self) -> None:
        self.traffic.apply_ejections(make_set(["s0", "s1"]), 0.0)
        self.traffic.apply_ejections(make_set(["s2", "s3"], assessor="b"), 1.0)
        self.assertEqual(self._list_ejected(), {"s0", "s1"})
        self.traffic.advance(3.1)
        self.traffic.apply_ejections(make_set(["s2", "s3"], assessor="b"), 3.1)
        self.assertEqual(self._list_ejected(), {"s2", "s3"})

    def test_floor_holds_against_own_view(self) -> None:
        self.traffic.apply_ejections(make_set(["s0", "s1", "s2", "s3", "s9"]), 0.0)
        self.assertEqual(len(self._list_ejected()), 2)
        held = [item.reason for item in self.traffic.describe(0.0) if "floor" in item.reason]
        self.assertEqual(len(held), 2)

    def test_lapsed_lease_and_old_sets(self) -> None:
        self.traffic.apply_ejections(make_set(["s0"], sequence=5, lease=3600.0), 0.0)
        self.traffic.apply_ejections(make_set(["s1"], sequence=4), 1.0)
        self.assertEqual(self._list_ejected(), {"s0"})
        self.traffic.advance(10.1)
        self.assertEqual(self._list_ejected(), set())

    def test_flapping_verdicts_keep_work_flowing(self) -> None:
        for step in range(40):
            names = [f"s{(step + index) % 6}" for index in range(4)]
            assessor = "ab"[step % 2]
            self.traffic.apply_ejections(
                make_set(names, assessor=assessor, sequence=step), step * 1.0
            )
            self.traffic.advance(step * 1.0)
            self.assertLessEqual(len(self._list_ejected()), 2)
            dispatch = dispatched(self.traffic.offer(make_request(f"r{step}", step), step))
            self.traffic.finish(dispatch, GOOD, step)


if __name__ == "__main__":
    unittest.main()
