"""One keeper's share of the organisations' quotas.

Each keeper owns a fixed part of the tokens that an organisation earns, and may grant no others than
its own and those that another keeper has given up to it. So all of them together never grant more
than the quota, whoever is lost, cut off, frozen or started again, and nobody has to know who else
is at work.
"""

from collections import OrderedDict
from dataclasses import dataclass
from typing import Final

from persimmonusher_model.identifiers import CallerId
from persimmonusher_model.organisations import RequestQuota

DEPTH_SLACK: Final = 0.3
"""Part of the slack by which more tokens are kept than the burst: with a few tokens for each
keeper, chance alone would often find none."""
HELD_SLACK: Final = 0.3
"""Part of the slack that entries may hold for requests to come."""
START_SLACK: Final = 0.15
"""Part of the slack that a keeper begins with: what was granted before its start isn't known. All
may start twice in one window."""
HELD_SECONDS: Final = 6.0
"""Time for which an entry may hold a token, by its own clock from when it asked."""
FORGET_SECONDS: Final = 30.0
"""Time between two looks for organisations that have all their tokens again."""


@dataclass(frozen=True)
class QuotaTerms:
    """How far the requests that run in a window of time may exceed a quota, over all instances."""

    window_seconds: float = 5.0
    overshoot: float = 0.0
    """As a part of what the quota allows in a window."""
    slack: float = 0.0
    """Requests beyond that part."""

    def find_slack(self, quota: RequestQuota) -> float:
        """Return the requests by which a window may exceed a quota."""
        allowed = quota.per_second * self.window_seconds + quota.burst
        return self.overshoot * allowed + self.slack


@dataclass(frozen=True, slots=True)
class Grant:
    """What an entry is given: for the request at hand, and to hold for the next one."""

    now: bool
    ahead: bool


class OrganisationShare:
    """A keeper's tokens of one organisation: they come at a rate, up to a depth."""

    def __init__(self, quota: RequestQuota, terms: QuotaTerms, part: float, started: float) -> None:
        self._terms = terms
        self._part = part
        self._level = START_SLACK * terms.find_slack(quota) * part
        self._at = started
        """When the tokens were counted; at first when the keeper started, as none went since."""
        self._holders: OrderedDict[str, float] = OrderedDict()
        """Entries that hold a token, with the end of each, the earliest first."""
        self.quota = quota
        self.replace_quota(quota)

    def replace_quota(self, quota: RequestQuota) -> None:
        """Take the organisation's quota; tokens beyond the depth of a lower one are gone."""
        slack = self._terms.find_slack(quota)
        is_lower = quota.per_second < self.quota.per_second or quota.burst < self.quota.burst
        self.quota = quota
        self._rate = quota.per_second * self._part
        self._depth = (quota.burst + DEPTH_SLACK * slack) * self._part
        self._most_held = int(HELD_SLACK * slack * self._part)
        if is_lower:
            self._level = min(self._level, self._depth)

    def is_full(self, now: float) -> bool:
        """Tell whether this is as good as a new share: all tokens are here, and none is held."""
        self._refill(now)
        return self._level >= self._depth and not any(at > now for at in self._holders.values())

    def take(self, now: float) -> bool:
        """Take one token; tell whether there was one."""
        self._refill(now)
        if self._level < 1.0:
            return False
        self._level -= 1.0
        return True

    def take_ahead(self, holder: str, now: float) -> bool:
        """Take one token for an entry to hold, in place of the one that it held."""
        while self._holders and next(iter(self._holders.values())) <= now:
            self._holders.popitem(last=False)
        held = len(self._holders) - (holder in self._holders)
        if held >= self._most_held or not self.take(now):
            return False
        self._holders[holder] = now + HELD_SECONDS
        self._holders.move_to_end(holder)
        return True

    def lend(self, now: float) -> float:
        """Give up half of the tokens to a keeper that has none, or all where half grants nothing.

        Parts of tokens go along: left at each of the keepers, they would grant nothing anywhere.
        """
        self._refill(now)
        lent = self._level if self._level < 2.0 else self._level / 2.0
        self._level -= lent
        return lent

    def add(self, tokens: float) -> None:
        """Take tokens that another keeper has given up."""
        self._level += tokens

    def _refill(self, now: float) -> None:
        """Add what came since the last time; borrowed tokens beyond the depth stay."""
        earned = self._rate * max(0.0, now - self._at)
        self._at = max(self._at, now)
        if self._level < self._depth:
            self._level = min(self._depth, self._level + earned)


class QuotaShares:
    """A keeper's shares of all organisations that have requests.

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
        self._forget_at = started + FORGET_SECONDS

    def __len__(self) -> int:
        return len(self._shares)

    def take(self, name: CallerId, quota: RequestQuota, holder: str, now: float) -> Grant:
        """Grant one request of an organisation, and one to hold where an entry asks for it."""
        share = self._find(name, quota, now)
        granted = share.take(now)
        return Grant(granted, granted and bool(holder) and self._take_ahead(share, holder, now))

    def take_ahead(self, name: CallerId, quota: RequestQuota, holder: str, now: float) -> Grant:
        """Grant a request to come."""
        share = self._find(name, quota, now)
        return Grant(False, self._take_ahead(share, holder, now))

    def lend(self, name: CallerId, quota: RequestQuota, now: float) -> float:
        """Give up tokens to another keeper; return how many."""
        return self._find(name, quota, now).lend(now)

    def add(self, name: CallerId, quota: RequestQuota, tokens: float, now: float) -> None:
        """Take tokens that another keeper has given up."""
        self._find(name, quota, now).add(tokens)

    def _take_ahead(self, share: OrganisationShare, holder: str, now: float) -> bool:
        """Let an entry hold a token, once those given out before this keeper's start are void."""
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
        """Forget organisations without requests, so that memory follows those that have some."""
        if now < self._forget_at:
            return
        self._forget_at = now + FORGET_SECONDS
        self._shares = {n: one for n, one in self._shares.items() if not one.is_full(now)}
