import unittest
from collections import Counter, deque
from itertools import count

from decisions_helpers import dispatched, make_request, make_traffic

from persimmonusher_decisions.work import Dispatch, Outcome, OutcomeKind
from persimmonusher_model.profile import Profile

PROFILE = Profile(far_load_percent=30, far_kilobyte_percent=20, fewest_in_progress=64)
STEP = 0.01


def count_far(answer_bytes: int, in_progress: int, profile: Profile = PROFILE) -> float:
    """Return the share of 2000 requests that went to another failure domain.

    Two of eight servers, with four slots each, are near; `in_progress` requests are kept running.
    """
    traffic = make_traffic(8, profile)
    held: deque[Dispatch] = deque()
    chosen: Counter[bool] = Counter()
    for number in count():
        now = number * STEP
        while len(held) >= in_progress:
            done = held.popleft()
            latency = now - done.started
            traffic.finish(done, Outcome(OutcomeKind.SUCCESS, latency, None, answer_bytes), now)
        dispatch = dispatched(traffic.offer(make_request(f"r{number}", now), now))
        held.append(dispatch)
        chosen[dispatch.server.failure_domain != "d0"] += 1
        if number == 2000:
            return chosen[True] / 2000
    raise AssertionError


class LocalityTest(unittest.TestCase):
    def test_large_answers_stay_near_while_near_servers_have_slots(self) -> None:
        """Guards against sending large answers across domains while near servers have free slots.

        A service answers with 5 kB, and its near servers run at three quarters of their slots. With
        the same preference for all services, a fifth of the answers or more crossed to another
        failure domain, at several times the price of all control messages, although the near
        servers had free slots as well.
        """
        self.assertLess(count_far(5_000, 6), 0.02)
        self.assertGreater(count_far(400, 6), 0.2)

    def test_far_servers_help_once_near_ones_queue(self) -> None:
        """A burst in one domain: 24 requests in progress, with eight near slots of 32 in total."""
        self.assertGreater(count_far(5_000, 24), 0.3)

    def test_no_answer_is_so_large_that_a_queue_grows_without_end(self) -> None:
        self.assertGreater(count_far(1_000_000, 32), 0.3)

    def test_without_a_price_by_size_all_services_are_treated_alike(self) -> None:
        profile = Profile(far_load_percent=30, fewest_in_progress=64)
        self.assertEqual(count_far(5_000, 6, profile), count_far(400, 6, profile))


if __name__ == "__main__":
    unittest.main()
