"""Load: dozens of followers of one keeper, while servers fall ill one after the other."""

import unittest

from persimmonusher_decisions.fanout import LONGEST_JOIN_SECONDS, MESSAGES_A_SECOND, FanoutPace


def play(followers: int, notices_a_second: int, seconds: float) -> tuple[int, float]:
    """Return the rounds that go out, and the longest that a notice waits for its round."""
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
        """A keeper of a large fleet is told of dozens of failures a second.

        One message for each failure and follower kept its loop busy; its entries lost it, joined
        again, and cost it more, until no entry had a configuration any more.
        """
        for followers in (12, 58, 98, 190):
            for notices in (8, 30, 300):
                with self.subTest(followers=followers, notices=notices):
                    rounds, _ = play(followers, notices, 20.0)
                    self.assertLessEqual(rounds * followers / 20.0, MESSAGES_A_SECOND + followers)

    def test_a_notice_waits_for_a_fraction_of_a_second_at_most(self) -> None:
        for followers in (1, 12, 58, 98, 1_000):
            with self.subTest(followers=followers):
                _, longest = play(followers, 300, 20.0)
                self.assertLessEqual(longest, LONGEST_JOIN_SECONDS + 1e-9)

    def test_the_first_word_after_a_quiet_moment_goes_at_once(self) -> None:
        pace = FanoutPace()
        self.assertEqual(pace.find_due(98, 5.0), 5.0)
        pace.record_round(5.0)
        self.assertGreater(pace.find_due(98, 5.01), 5.05)
        self.assertEqual(pace.find_due(98, 6.0), 6.0)


if __name__ == "__main__":
    unittest.main()
