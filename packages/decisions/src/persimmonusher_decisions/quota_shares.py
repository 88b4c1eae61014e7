"""One keeper's share of the organisations' quotas, as a token bucket for each organisation.

Each keeper owns a fixed part of the tokens that an organisation earns, and grants only its own
tokens and those that another keeper has transferred to it. So all keepers together never grant more
than the quota, whichever of them are lost, isolated, frozen or restarted, and no keeper has to know
which others are running.
"""

from collections import OrderedDict
from dataclasses import dataclass
from typing import Final

from persimmonusher_model.identifiers import CallerId
from persimmonusher_model.organisations import RequestQuota

DEPTH_SLACK_SHARE: Final = 0.3
"""Part of the slack that is added to the burst as bucket depth: with only a few tokens at each
keeper, a request would often find none by chance."""
HELD_SLACK_SHARE: Final = 0.3
"""Part of the slack that entries may hold as tokens for future requests."""
START_SLACK_SHARE: Final = 0.15
"""Part of the slack with which a keeper's bucket starts, as it doesn't know what was granted before
its start. All keepers may start twice in one window."""
HELD_SECONDS: Final = 6.0
"""Time for which an entry may hold a token, by its own clock, from its request for it."""
FORGET_INTERVAL_SECONDS: Final = 30.0
"""Interval at which organisations with full buckets are dropped."""


@dataclass(frozen=True)
class QuotaTerms:
    """How far the requests in a time window may exceed a quota, over all instances."""

    window_seconds: float = 5.0
    overshoot: float = 0.0
    """As a fraction of what the quota allows in a window."""
    slack: float = 0.0
    """Requests allowed in addition to that fraction."""

    def find_slack(self, quota: RequestQuota) -> float:
        """Return how many requests a window may exceed a quota by."""
        allowed = quota.per_second * self.window_seconds + quota.burst
        return self.overshoot * allowed + self.slack


@dataclass(frozen=True, slots=True)
class Grant:
    """The tokens granted to an entry: for the current request, and to hold for the next one."""

    now: bool
    ahead: bool


class OrganisationShare:
    """A keeper's token bucket for one organisation, with tokens that entries hold in advance."""

    def __init__(self, quota: RequestQuota, terms: QuotaTerms, part: float, started: float) -> None:
        self._terms = terms
        self._part = part
        self._level = START_SLACK_SHARE * terms.find_slack(quota) * part
        self._refilled_at = started
        """When the bucket was last refilled; at first the keeper's start, as no token was granted
        since then."""
        self._holders: OrderedDict[str, float] = OrderedDict()
        """Expiry of the token that each entry holds, the earliest first."""
        self.quota = quota
        self.replace_quota(quota)

    def replace_quota(self, quota: RequestQuota) -> None:
        """Apply a new quota; if it is lower, tokens beyond the new depth are dropped."""
        slack = self._terms.find_slack(quota)
        is_lower = quota.per_second < self.quota.per_second or quota.burst < self.quota.burst
        self.quota = quota
        self._rate = quota.per_second * self._part
        self._depth = (quota.burst + DEPTH_SLACK_SHARE * slack) * self._part
        self._most_held = int(HELD_SLACK_SHARE * slack * self._part)
        if is_lower:
            self._level = min(self._level, self._depth)

    def is_full(self, now: float) -> bool:
        """Return whether the bucket is full and no entry holds a token, so it may be dropped."""
        self._refill(now)
        return self._level >= self._depth and not any(at > now for at in self._holders.values())

    def take(self, now: float) -> bool:
        """Remove one token; return whether there was one."""
        self._refill(now)
        if self._level < 1.0:
            return False
        self._level -= 1.0
        return True

    def take_ahead(self, holder: str, now: float) -> bool:
        """Remove one token for an entry to hold, which replaces the one it held before.

        Return False if there is no token, or if the other entries hold as many as are allowed.
        """
        while self._holders and next(iter(self._holders.values())) <= now:
            self._holders.popitem(last=False)
        held = len(self._holders) - (holder in self._holders)
        if held >= self._most_held or not self.take(now):
            return False
        self._holders[holder] = now + HELD_SECONDS
        self._holders.move_to_end(holder)
        return True

    def lend(self, now: float) -> float:
        """Remove tokens for a keeper that has none: half of them, or all if there are under two.

        Fractions of tokens are included: left at each of the keepers, they would grant nothing.
        """
        self._refill(now)
        lent = self._level if self._level < 2.0 else self._level / 2.0
        self._level -= lent
        return lent

    def add(self, tokens: float) -> None:
        """Add tokens that another keeper has transferred; they may exceed the depth."""
        self._level += tokens

    def _refill(self, now: float) -> None:
        """Add the tokens earned since the last refill; transferred ones beyond the depth stay."""
        earned = self._rate * max(0.0, now - self._refilled_at)
        self._refilled_at = max(self._refilled_at, now)
        if self._level < self._depth:
            self._level = min(self._depth, self._level + earned)


class QuotaShares:
    """A keeper's token buckets of all organisations with recent requests.

    >>> shares = QuotaShares(QuotaTerms(slack=20.0), 5, 0.0)
    >>> quota = RequestQuota(5, 5)
    >>> [shares.take(CallerId("acme"), quota, "", 100.0).now for _ in range(3)]
    [True, False, False]
    """

    def __init__(self, terms: QuotaTerms, keepers: int, started: float) -> None:
        self._terms = terms
        self._part = 1.0 / keepers
        self._started = started
        self._shares: dict[CallerId, OrganisationShare] = {}
        self._forget_at = started + FORGET_INTERVAL_SECONDS

    def __len__(self) -> int:
        return len(self._shares)

    def take(self, name: CallerId, quota: RequestQuota, holder: str, now: float) -> Grant:
        """Grant one request, and a token to hold if `holder` names an entry that asks for one."""
        share = self._find(name, quota, now)
        granted = share.take(now)
        return Grant(granted, granted and bool(holder) and self._take_ahead(share, holder, now))

    def take_ahead(self, name: CallerId, quota: RequestQuota, holder: str, now: float) -> Grant:
        """Grant a token for a future request."""
        share = self._find(name, quota, now)
        return Grant(False, self._take_ahead(share, holder, now))

    def lend(self, name: CallerId, quota: RequestQuota, now: float) -> float:
        """Remove tokens for another keeper and return how many."""
        return self._find(name, quota, now).lend(now)

    def add(self, name: CallerId, quota: RequestQuota, tokens: float, now: float) -> None:
        """Add tokens that another keeper has transferred."""
        self._find(name, quota, now).add(tokens)

    def _take_ahead(self, share: OrganisationShare, holder: str, now: float) -> bool:
        """Grant a token to hold, once those granted before this keeper's start have expired."""
        return now - self._started > HELD_SECONDS and share.take_ahead(holder, now)

    def _find(self, name: CallerId, quota: RequestQuota, now: float) -> OrganisationShare:
        self._forget(now)
        share = self._shares.get(name)
        if share is None:
            share = OrganisationShare(quota, self._terms, self._part, self._started)
            self._shares[name] = share
        elif share.quota != quota:
            share.replace_quota(quota)
        return share

    def _forget(self, now: float) -> None:
        """Drop full buckets, so that memory is used only for organisations with recent requests."""
        if now < self._forget_at:
            return
        self._forget_at = now + FORGET_INTERVAL_SECONDS
        self._shares = {n: one for n, one in self._shares.items() if not one.is_full(now)}
