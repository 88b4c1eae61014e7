import unittest

from persimmonusher_node.answers import AnswerCode, format_retry_after, make_error


class RetryAfterTest(unittest.TestCase):
    def test_it_is_rounded_up_to_what_callers_read(self) -> None:
        """A caller that reads whole seconds only must not read a fraction of a second as 0."""
        cases = [
            (0.234, 0, "1"),
            (0.234, 2, "0.24"),
            (0.001, 2, "0.01"),
            (0.0, 2, "0.01"),
            (3.0, 2, "3"),
            (12.5, 0, "13"),
        ]
        for seconds, decimals, expected in cases:
            with self.subTest(seconds=seconds, decimals=decimals):
                self.assertEqual(format_retry_after(seconds, decimals), expected)

    def test_an_error_carries_it(self) -> None:
        answer = make_error(AnswerCode.OVERLOAD, "full", "r1", retry_after=0.2, decimals=2)
        self.assertIn(("Retry-After", "0.2"), answer.headers)


if __name__ == "__main__":
    unittest.main()
