import unittest

from structlog.testing import capture_logs

from persimmonusher_node.server_openings import (
    OpeningResult,
    ServerOpenings,
    Way,
    classify_opening_error,
)


class ServerOpeningsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.openings = ServerOpenings()

    def record(self, address: str, result: OpeningResult, now: float) -> None:
        self.openings.record(Way.DIRECT, address, result, now)

    def test_the_log_counts_the_servers_reached_and_those_that_are_not(self) -> None:
        self.record("a", OpeningResult.OPENED, 10.0)
        with capture_logs() as logs:
            self.record("b", OpeningResult.SILENT, 10.1)
            self.record("c", OpeningResult.SILENT, 10.2)
            self.record("a", OpeningResult.REFUSED, 11.2)
        counts = [(one["reached"], one["unreached"], one["last"]) for one in logs]
        self.assertEqual(counts, [(1, 1, "silent"), (0, 3, "refused")])

    def test_old_openings_do_not_count(self) -> None:
        self.record("a", OpeningResult.SILENT, 10.0)
        self.record("b", OpeningResult.OPENED, 10.0)
        self.assertEqual(self.openings.list_missed(12.5), [])
        self.assertEqual(self.openings.count_reached(12.5), 0)

    def test_errors_are_told_apart(self) -> None:
        for error, result in (
            (TimeoutError(), OpeningResult.SILENT),
            (ConnectionRefusedError(), OpeningResult.REFUSED),
            (OSError(), OpeningResult.FAILED),
        ):
            self.assertIs(classify_opening_error(error), result)


if __name__ == "__main__":
    unittest.main()
