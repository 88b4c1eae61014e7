"""Organisations within and beyond their quotas, with keepers lost, isolated and restarted."""

import unittest
from collections import deque
from random import Random

from persimmonusher_decisions.quota_shares import HELD_SECONDS, QuotaShares, QuotaTerms
from persimmonusher_model.identifiers import CallerId
from persimmonusher_model.organisations import RequestQuota

TERMS = QuotaTerms(window_seconds=5.0, overshoot=0.1, slack=20.0)
KEEPERS = 5
NAME = CallerId("acme")
ENTRIES = 100
SECONDS_BETWEEN_REQUESTS = 4.0
"""Mean interval between the requests of one caller."""


def find_allowed(quota: RequestQuota) -> float:
    """Return how many requests may run within a window."""
    within = quota.per_second * TERMS.window_seconds + quota.burst
    return within + TERMS.find_slack(quota)


class Fleet:
    """Keepers that share one organisation's quota, and the requests that they granted."""

    def __init__(self, quota: RequestQuota, seed: int, starts_at: float = -60.0) -> None:
        self.quota = quota
        self.random = Random(seed)
        self.keepers = [QuotaShares(TERMS, KEEPERS, starts_at) for _ in range(KEEPERS)]
        self.granted: deque[float] = deque()
        self.held: dict[tuple[int, str], float] = {}
        self.seen: dict[str, float] = {}
        self.refused = 0

    def ask(self, now: float, keeper: int, holder: str = "", lenders: bool = True) -> bool:
        """Ask for one request: use a held token, else the keeper's own, else lent ones."""
        expires = self.held.pop((keeper, holder), 0.0)
        expects_more = now - self.seen.get(holder, -60.0) < HELD_SECONDS
        self.seen[holder] = now
        wanted = holder if expects_more else ""
        shares = self.keepers[keeper]
        if now < expires:
            if wanted:
                ahead = shares.take_ahead(NAME, self.quota, holder, now).ahead
                self.hold(ahead, keeper, holder, now)
            self.granted.append(now)
            return True
        grant = shares.take(NAME, self.quota, wanted, now)
        if not grant.now and lenders:
            others = [other for other in self.keepers if other is not shares]
            lent = sum(other.lend(NAME, self.quota, now) for other in others)
            shares.add(NAME, self.quota, lent, now)
            grant = shares.take(NAME, self.quota, wanted, now)
        self.hold(grant.ahead, keeper, holder, now)
        self.granted.extend([now] if grant.now else [])
        self.refused += not grant.now
        return grant.now

    def hold(self, granted: bool, keeper: int, holder: str, now: float) -> None:
        if granted and holder:
            self.held[keeper, holder] = now + HELD_SECONDS

    def restart(self, keeper: int, now: float) -> None:
        self.keepers[keeper] = QuotaShares(TERMS, KEEPERS, now)

    def find_most(self) -> int:
        """Return the most requests granted within any window."""
        most, window = 0, deque[float]()
        for moment in self.granted:
            window.append(moment)
            while window[0] <= moment - TERMS.window_seconds:
                window.popleft()
            most = max(most, len(window))
        return most


class QuotaSharesTest(unittest.TestCase):
    def play(self, quota: RequestQuota, demand: float, seed: int, seconds: float = 40.0) -> Fleet:
        """Simulate callers that each use one entry, as their connections do."""
        fleet = Fleet(quota, seed)
        callers = max(1, round(quota.per_second / 1.6 * SECONDS_BETWEEN_REQUESTS))
        entries = [fleet.random.randrange(ENTRIES) for _ in range(callers)]
        now = 0.0
        while now < seconds:
            now += fleet.random.expovariate(demand)
            entry = fleet.random.choice(entries)
            fleet.ask(now, entry % KEEPERS, f"e{entry}")
        return fleet

    def test_usual_requests_are_granted(self) -> None:
        """Guards against shares so small that requests within the quota are refused by chance."""
        for quota in (RequestQuota(3, 3), RequestQuota(5, 5), RequestQuota(57, 57)):
            for seed in range(3):
                with self.subTest(quota=quota, seed=seed):
                    fleet = self.play(quota, quota.per_second / 1.6, seed)
                    self.assertLess(fleet.refused, 0.01 * len(fleet.granted) + 1)

    def test_no_window_exceeds_a_quota_under_pressure(self) -> None:
        """Guards against counts that lag behind when an organisation far exceeds its quota."""
        for quota in (RequestQuota(1, 0), RequestQuota(5, 5), RequestQuota(57, 57)):
            for seed in range(3):
                with self.subTest(quota=quota, seed=seed):
                    fleet = self.play(quota, quota.per_second * 5.0, seed)
                    self.assertLessEqual(fleet.find_most(), find_allowed(quota))
                    self.assertGreater(len(fleet.granted), 0.9 * 40.0 * quota.per_second)

    def test_no_window_exceeds_a_quota_while_keepers_are_lost(self) -> None:
        """Guards against isolated or restarted keepers that each grant the whole quota."""
        for seed in range(6):
            quota = RequestQuota(57, 57) if seed % 2 else RequestQuota(5, 5)
            with self.subTest(quota=quota, seed=seed):
                fleet, now = Fleet(quota, seed), 0.0
                restarts = deque([10.0, 13.0, 25.0, 29.0])
                while now < 40.0:
                    now += fleet.random.expovariate(quota.per_second * 5.0)
                    if restarts and now >= restarts[0]:
                        restarts.popleft()
                        for keeper in range(KEEPERS):
                            fleet.restart(keeper, now)
                    entry = fleet.random.randrange(ENTRIES)
                    cut = 15.0 < now < 22.0
                    fleet.ask(now, entry % KEEPERS, f"e{entry}", lenders=not cut)
                self.assertLessEqual(fleet.find_most(), find_allowed(quota))

    def test_a_lower_quota_binds_at_once(self) -> None:
        """Guards against granting the tokens of an earlier, higher quota."""
        shares = QuotaShares(TERMS, 1, -60.0)
        self.assertTrue(shares.take(NAME, RequestQuota(1000, 1000), "", 0.0).now)
        lower = RequestQuota(1, 0)
        granted = sum(shares.take(NAME, lower, "", 0.0).now for _ in range(100))
        self.assertLess(granted, find_allowed(lower))

    def test_organisations_without_requests_are_forgotten(self) -> None:
        """Guards against memory use that grows with each organisation that ever had a request."""
        shares = QuotaShares(TERMS, KEEPERS, 0.0)
        for number in range(1000):
            shares.take(CallerId(f"o{number}"), RequestQuota(5, 5), "", 10.0)
        shares.take(NAME, RequestQuota(5, 5), "", 100.0)
        self.assertEqual(len(shares), 1)
