"""Which runs count as late, on versions and faults that are made up."""

import unittest

from persimmonusher_lab.moving_routes import ROUTES, SERVICES, MovingRoutes, OldRun, Sent
from persimmonusher_lab.touch import FaultRecord

KEEPERS = ("k1", "k2", "k3")


class MovingRoutesTest(unittest.TestCase):
    def setUp(self) -> None:
        self.routes = MovingRoutes()
        self.faults = FaultRecord(KEEPERS)
        version = self.routes.add(10.0)
        self.routes.acknowledge(version, 10.1)

    def judge(self, sent_at: float, service: str) -> list[OldRun]:
        sent = Sent("a1", "e1", ROUTES % ROUTES, sent_at, sent_at + 0.1)
        return self.routes.find_old_runs([sent], {"a1": service}, self.faults)

    def test_the_new_service_is_never_late(self) -> None:
        self.assertEqual(self.judge(14.0, SERVICES[1]), [])

    def test_the_old_service_is_late_beyond_the_bound(self) -> None:
        self.assertFalse(self.judge(12.0, SERVICES[0])[0].is_late)
        self.assertTrue(self.judge(12.2, SERVICES[0])[0].is_late)

    def test_an_unacknowledged_version_may_be_in_force(self) -> None:
        for _ in range(ROUTES):
            self.routes.add(11.0)
        self.assertEqual(self.judge(14.0, SERVICES[0]), [])

    def test_an_entry_without_a_way_to_the_majority_has_no_bound(self) -> None:
        self.faults.set_cut(11.0, {("k1", "e1")})
        self.assertIsNone(self.judge(12.2, SERVICES[0])[0].bound)

    def test_a_cut_among_keepers_extends_the_bound(self) -> None:
        self.faults.set_cut(11.0, {("k1", "k2"), ("k1", "k3")})
        self.assertFalse(self.judge(12.2, SERVICES[0])[0].is_late)
        self.assertTrue(self.judge(14.2, SERVICES[0])[0].is_late)

    def test_a_paused_entry_has_no_bound_until_it_is_in_touch(self) -> None:
        self.faults.stop(12.0, "e1")
        self.faults.start(13.0, "e1")
        self.assertFalse(self.judge(15.9, SERVICES[0])[0].is_late)
        self.assertTrue(self.judge(16.1, SERVICES[0])[0].is_late)


if __name__ == "__main__":
    unittest.main()
