import unittest

from persimmonusher_lab.log_matrix import Case, list_pairs, list_single, parse_fault, run_case

SINGLE_STEP = 29
PAIR_STEP = 9_001
"""Every n-th fault or pair is run; both n are prime, to reach all steps, occurrences and kinds."""


class LogMatrixTest(unittest.TestCase):
    def check(self, case: Case) -> None:
        result = run_case(case)
        self.assertEqual(result.failure, "", case.command)
        self.assertGreater(result.checks, 500)

    def test_single_faults_break_no_promise(self) -> None:
        for fault in list(list_single())[::SINGLE_STEP]:
            with self.subTest(str(fault)):
                self.check(Case(3, (fault,)))

    def test_pairs_of_faults_break_no_promise(self) -> None:
        for pair in list_pairs()[::PAIR_STEP]:
            with self.subTest([str(fault) for fault in pair]):
                self.check(Case(4, pair, size=3 if pair[0].occurrence == 1 else 5))

    def test_a_replay_repeats_the_run(self) -> None:
        fault = parse_fault("vote-request:1:clock-back")
        other = parse_fault("entries:24:wiped-disk")
        traces = {run_case(Case(1, (fault, other))).trace for _ in range(2)}
        self.assertEqual(len(traces), 1)


if __name__ == "__main__":
    unittest.main()
