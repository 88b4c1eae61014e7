import unittest

from persimmonusher_lab.membership_matrix import list_cases, list_faults, parse_case
from persimmonusher_lab.virtual_fleet import VirtualFleet
from persimmonusher_node.membership_wire import MAX_DATAGRAM_BYTES, MembershipCodec

PAIRS_EVERY = 239


class MembershipMatrixTest(unittest.TestCase):
    def test_every_single_fault(self) -> None:
        for case in list_cases(pairs=False, seeds=[1]):
            with self.subTest(case=case.name):
                self.assertEqual([str(found) for found in case.run().violations], [])

    def test_a_sample_of_pairs(self) -> None:
        cases = list(list_cases(pairs=True, seeds=[2], every=PAIRS_EVERY))
        self.assertGreaterEqual(len(cases), 29)
        for case in cases:
            with self.subTest(case=case.name):
                self.assertEqual([str(found) for found in case.run().violations], [])

    def test_every_datagram_fits(self) -> None:
        """
        Two halves of a fleet learn 300 servers each while cut off from each other, and an instance
        restarts, so that the exchanges after the cut are as large as they get.
        """
        fleet = VirtualFleet(6, seed=1)
        codec = MembershipCodec("token")
        sizes: list[int] = []
        fleet.on_send = lambda instance, envelope: sizes.append(len(codec.seal(envelope)))
        fleet.run(3.0)
        fleet.cut_both_ways((0, 1, 2), (3, 4, 5))
        for number in range(600):
            fleet.add_server(f"worker-of-a-long-name-{number:09d}")
        fleet.run(3.0)
        fleet.heal()
        fleet.crash(5)
        fleet.restart(5)
        fleet.run(10.0)
        self.assertEqual(fleet.instances[5].fleet.directory.live_count, 600)
        self.assertLessEqual(max(sizes), MAX_DATAGRAM_BYTES)
        self.assertGreater(max(sizes), 900)

    def test_a_name_gives_its_case_again(self) -> None:
        for fault in list_faults():
            self.assertEqual(parse_case(str(fault), 1).faults, (fault,))


if __name__ == "__main__":
    unittest.main()
