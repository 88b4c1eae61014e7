"""Pacing with dozens of followers of one keeper, while servers fail one after the other."""

import unittest

from persimmonusher_decisions.fanout import (
    MAX_BATCH_SECONDS,
    MESSAGES_PER_SECOND,
    CallPace,
    FanoutPace,
)


def play(followers: int, notices_a_second: int, seconds: float) -> tuple[int, float]:
    """Return the number of rounds sent, and the longest wait of a notice for its round."""
    pace = FanoutPace()
    rounds, longest, due = 0, 0.0, None
    for number in range(int(notices_a_second * seconds)):
        now = number / notices_a_second
        if due is not None and due <= now:
            pace.record_round(due)
            rounds += 1
            due = None
        if due is None:
            due = pace.find_due(followers, now)
            longest = max(longest, due - now)
    return rounds, longest


class FanoutPaceTest(unittest.TestCase):
    def test_messages_do_not_grow_as_followers_times_notices(self) -> None:
        """Guards against a keeper that is overloaded by dozens of notices of failures per second.

        With one message for each failure and follower its event loop stays busy; its entries lose
        it and join again, which costs it more, until no entry has a configuration.
        """
        for followers in (12, 58, 98, 190):
            for notices in (8, 30, 300):
                with self.subTest(followers=followers, notices=notices):
                    rounds, _ = play(followers, notices, 20.0)
                    self.assertLessEqual(rounds * followers / 20.0, MESSAGES_PER_SECOND + followers)

    def test_a_notice_waits_for_a_fraction_of_a_second_at_most(self) -> None:
        for followers in (1, 12, 58, 98, 1_000):
            with self.subTest(followers=followers):
                _, longest = play(followers, 300, 20.0)
                self.assertLessEqual(longest, MAX_BATCH_SECONDS + 1e-9)

    def test_the_first_word_after_a_quiet_moment_goes_at_once(self) -> None:
        pace = FanoutPace()
        self.assertEqual(pace.find_due(98, 5.0), 5.0)
        pace.record_round(5.0)
        self.assertGreater(pace.find_due(98, 5.01), 5.05)
        self.assertEqual(pace.find_due(98, 6.0), 6.0)


class CallPaceTest(unittest.TestCase):
    def test_a_few_notices_a_second_never_wait(self) -> None:
        """A small fleet: each second a server fails, and three entries report it within 20 ms."""
        pace = CallPace(10.0, 4)
        for second in range(20):
            for number in range(3):
                self.assertEqual(pace.reserve_call(second + 0.01 * number), 0.0)

    def test_many_notices_a_second_share_calls(self) -> None:
        """A large fleet: there is always another notice when a call has ended."""
        pace = CallPace(10.0, 4)
        now, calls = 0.0, 0
        while now < 20.0:
            now += pace.reserve_call(now) + 0.003
            calls += 1
        self.assertLessEqual(calls, 205)
        self.assertGreaterEqual(calls, 190)


if __name__ == "__main__":
    unittest.main()
