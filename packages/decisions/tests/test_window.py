import unittest

from persimmonusher_decisions.window import ALONE_SECONDS, FULL, ConcurrencyWindow
from persimmonusher_model.identifiers import ServerId


class WindowTest(unittest.TestCase):
    def setUp(self) -> None:
        self.window = ConcurrencyWindow()
        self.window.resize(48, 2)

    def test_a_clump_at_one_instance_finds_room(self) -> None:
        """48 instances share 40 slots, and a co-op's clerks all reach the same one.

        Held to its equal part, that instance would queue and refuse while the servers idle.
        """
        for fewest, expected in ((1, 2.0), (4, 8.0)):
            with self.subTest(fewest):
                window = ConcurrencyWindow()
                window.resize(40, 48, fewest)
                self.assertEqual(window.limit, expected)

    def test_one_server_that_refuses_alone_holds_nobody_back(self) -> None:
        """A gray server refuses half its work, while all others have room."""
        before = self.window.limit
        for number in range(20):
            self.window.record_refusal(ServerId("ill"), FULL, number * 0.1)
        self.assertEqual(self.window.limit, before)

    def test_refusals_of_several_servers_say_that_the_service_is_full(self) -> None:
        before = self.window.limit
        self.window.record_refusal(ServerId("a"), FULL, 0.0)
        self.window.record_refusal(ServerId("b"), FULL, 2 * ALONE_SECONDS)
        self.assertEqual(self.window.limit, before)
        self.window.record_refusal(ServerId("c"), FULL, 2 * ALONE_SECONDS + 0.1)
        self.assertLess(self.window.limit, before)

    def test_refusals_of_idle_servers_hold_nobody_back(self) -> None:
        """All servers refuse half of their work for some seconds, with most of their slots free.

        Shrunk to its equal part, the limit would make requests wait long after that is over.
        """
        before = self.window.limit
        for number in range(40):
            self.window.record_refusal(ServerId(f"s{number % 8}"), 0.5, number * 0.05)
        self.assertEqual(self.window.limit, before)
