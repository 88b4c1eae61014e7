import unittest
from random import Random

from decisions_helpers import FAILED, GOOD, dispatched, make_request, make_traffic

from persimmonusher_decisions.entry_count import ENTRIES_MEMORY_SECONDS
from persimmonusher_decisions.retries import WINDOW_SECONDS, RetryBudget
from persimmonusher_decisions.traffic import ServiceTraffic
from persimmonusher_decisions.work import Dispatch
from persimmonusher_model.profile import Profile
from persimmonusher_model.rendezvous import WEIGHT_RANGE, weigh

INSTANCES = 48
TEST_SECONDS = 40
SLACK = 64


def run_request(traffic: ServiceTraffic, name: str, now: float, fails: bool) -> tuple[bool, int]:
    """Return whether the request was served, and the further attempts that it took."""
    dispatch = dispatched(traffic.offer(make_request(name, now), now))
    traffic.finish(dispatch, FAILED if fails else GOOD, now)
    if not fails:
        return True, 0
    again = traffic.retry(dispatch, FAILED, now)
    if not isinstance(again, Dispatch):
        return False, 0
    traffic.finish(again, GOOD, now)
    return True, 1


class ThinTrafficTest(unittest.TestCase):
    def test_scattered_failures_of_a_thin_service_are_retried(self) -> None:
        """Guards against errors when a service's few requests are spread over many instances.

        24 lookups per second reach 48 instances, and one in eight fails. Each instance has a
        request every two seconds, and its part of the slack is used up at its first failure, while
        the fleet as a whole could send 64 further attempts in a window.
        """
        random = Random(5)
        served = asked = 0
        for instance in range(INSTANCES):
            traffic = make_traffic(6, Profile(retry_budget_percent=18, retry_slack=SLACK), 48)
            for step in range(TEST_SECONDS // 2):
                now = 2.0 * step + random.random()
                good, _ = run_request(traffic, f"{instance}-{step}", now, random.random() < 0.125)
                served += good
                asked += 1
        self.assertGreater(served / asked, 0.97)

    def test_a_busy_instance_spends_what_its_own_requests_earned(self) -> None:
        """Guards against a budget that can't cover a cluster of failures.

        One instance has 4 requests per second; then a server refuses, and six requests fail in a
        row. If only a single attempt could be saved up, five callers would get an error although
        the forty requests before used none of the budget.
        """
        traffic = make_traffic(6, Profile(retry_budget_percent=18, retry_slack=SLACK), 48)
        for number in range(40):
            run_request(traffic, f"calm-{number}", number / 4, False)
        good = sum(run_request(traffic, f"r{n}", 10.0 + n / 50, True)[0] for n in range(6))
        self.assertEqual(good, 6)


class BoundTest(unittest.TestCase):
    def test_no_window_holds_more_than_the_budget(self) -> None:
        """Every attempt fails for 40 s, at different rates: retries must stay within the budget."""
        for rate in (0.5, 4.0, 50.0):
            with self.subTest(rate=rate):
                profile = Profile(retry_budget_percent=18, retry_slack=SLACK)
                traffic = make_traffic(6, profile, 48)
                firsts: list[float] = []
                further: list[float] = []
                for number in range(int(TEST_SECONDS * rate)):
                    now = number / rate
                    _, spent = run_request(traffic, f"r{number}", now, True)
                    firsts.append(now)
                    further += [now] * spent
                for end in further:
                    begin = end - WINDOW_SECONDS
                    sent = sum(begin < at <= end for at in further)
                    earned = 0.18 * sum(begin < at <= end for at in firsts)
                    self.assertLessEqual(sent, SLACK / INSTANCES + earned)

    # Guards against larger parts of the slack while entries that aren't counted still use theirs.
    def test_a_number_of_entries_that_falls_gives_no_larger_part_at_once(self) -> None:
        traffic = make_traffic(6, Profile(retry_slack=SLACK), 48)
        part = traffic.describe_retries(0.0).slack
        traffic.replace_entry_count(30)
        self.assertEqual(traffic.describe_retries(ENTRIES_MEMORY_SECONDS).slack, part)
        self.assertGreater(traffic.describe_retries(ENTRIES_MEMORY_SECONDS + 0.1).slack, part)

    # Guards against a whole share for an instance that doesn't know of the others yet.
    def test_a_number_of_entries_that_is_not_reliable_gives_no_slack(self) -> None:
        traffic = make_traffic(6, Profile(retry_slack=SLACK), 48)
        traffic.replace_entry_count(2, is_reliable=False)
        self.assertEqual(traffic.describe_retries(0.0).slack, 0.0)

    # Guards against parts below one attempt that each instance rounds up.
    def test_more_instances_than_slack_do_not_share_out_more_than_there_is(self) -> None:
        total = 0.0
        for number in range(400):
            budget = RetryBudget(18, rank=weigh(f"entry-{number}", "entries") / WEIGHT_RANGE)
            budget.replace_slack(100.0)
            budget.count_entries(400, True, 0.0)
            total += budget.describe(0.0).slack
        self.assertLessEqual(total, 100.0)
        self.assertGreater(total, 50.0)

    def test_no_percentage_means_no_retry(self) -> None:
        traffic = make_traffic(6, Profile(retry_budget_percent=0))
        self.assertEqual(run_request(traffic, "r", 0.0, True), (False, 0))


if __name__ == "__main__":
    unittest.main()
