import unittest

from persimmonusher_lab.membership_matrix import list_cases, list_faults, parse_case

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

    def test_a_name_gives_its_case_again(self) -> None:
        for fault in list_faults():
            self.assertEqual(parse_case(str(fault), 1).faults, (fault,))


if __name__ == "__main__":
    unittest.main()
