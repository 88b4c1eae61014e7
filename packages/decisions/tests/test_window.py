import unittest

from persimmonusher_decisions.window import (
    FULL_LOAD_PER_SLOT,
    REFUSAL_WINDOW_SECONDS,
    ConcurrencyWindow,
)
from persimmonusher_model.identifiers import ServerId


class WindowTest(unittest.TestCase):
    def setUp(self) -> None:
        self.window = ConcurrencyWindow()
        self.window.resize(48, 2)

    def test_a_clump_at_one_instance_finds_room(self) -> None:
        """Guards against refusals at one instance while the servers are idle.

        48 instances share 40 slots, and the clerks of one co-op all reach the same instance. With a
        limit of its equal part, that instance would queue and refuse requests.
        """
        for fewest, expected in ((1, 2.0), (4, 8.0)):
            with self.subTest(fewest):
                window = ConcurrencyWindow()
                window.resize(40, 48, fewest)
                self.assertEqual(window.limit, expected)

    def test_one_server_that_refuses_alone_holds_nobody_back(self) -> None:
        """One faulty server refuses half its work, while all others have free slots."""
        before = self.window.limit
        for number in range(20):
            self.window.record_refusal(ServerId("ill"), FULL_LOAD_PER_SLOT, number * 0.1)
        self.assertEqual(self.window.limit, before)

    def test_refusals_of_several_servers_say_that_the_service_is_full(self) -> None:
        before = self.window.limit
        self.window.record_refusal(ServerId("a"), FULL_LOAD_PER_SLOT, 0.0)
        self.window.record_refusal(ServerId("b"), FULL_LOAD_PER_SLOT, 2 * REFUSAL_WINDOW_SECONDS)
        self.assertEqual(self.window.limit, before)
        self.window.record_refusal(
            ServerId("c"), FULL_LOAD_PER_SLOT, 2 * REFUSAL_WINDOW_SECONDS + 0.1
        )
        self.assertLess(self.window.limit, before)

    def test_refusals_of_idle_servers_hold_nobody_back(self) -> None:
        """Guards against a limit that shrinks when servers refuse with most of their slots free.

        All servers refuse half of their work for some seconds. Shrunk to the equal part, the limit
        would make requests wait long after that is over.
        """
        before = self.window.limit
        for number in range(40):
            self.window.record_refusal(ServerId(f"s{number % 8}"), 0.5, number * 0.05)
        self.assertEqual(self.window.limit, before)
