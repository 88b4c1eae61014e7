"""Hedged requests: whether and when a second copy of a slow idempotent request is sent."""

from typing import Final

from persimmonusher_decisions.retries import RetryBudget
from persimmonusher_decisions.work import Dispatch, Request
from persimmonusher_model.profile import Profile

MAX_DELAY_SHARE: Final = 0.5
"""Part of the time left to a request after which its copy is sent at the latest, so that there is
time for the copy to be answered."""
TRIAL_PATIENCE_SHARE: Final = 0.4
"""Part of the usual delay after which a request on a suspected server is copied, a little more than
the median latency: the server is likely to be failing."""
HEDGE_BUDGET_SHARE: Final = 0.5
"""Part of the retry budget that hedged requests may use: a failed request needs a second attempt
more than one that may still be answered."""

HEDGE_CAUSE: Final = "slow"
"""The cause under which hedged requests are counted in the retry budget."""


def find_hedge_delay(
    profile: Profile, request: Request, slow_limit: float | None, now: float
) -> float | None:
    """Return the seconds after which a copy may be sent, or None if none may.

    A server may hang, or the network path to it may drop packets, while its health check passes;
    its requests would time out unanswered. So a copy is sent once a request has been in flight for
    longer than answers of its class usually take, by the observed latencies (`slow_limit`).
    """
    if profile.hedge_after_ms:
        return profile.hedge_after_ms / 1000.0
    if not profile.hedge_slow or not request.idempotent:
        return None
    latest = MAX_DELAY_SHARE * (request.deadline - now)
    return latest if slow_limit is None else min(slow_limit, latest)


def may_hedge(
    profile: Profile, dispatch: Dispatch, budget: RetryBudget, waiting: int, now: float
) -> bool:
    """Return whether a copy may be sent; if so, it is charged to the retry budget.

    Hedging is for a few requests on a server that just became slow while others have free slots.
    Under overload all requests are slow, and copies of them would double the load. So nothing is
    hedged while requests wait for a server, only first attempts are hedged, and copies share the
    budget with retries.
    """
    if waiting or not (profile.hedge_after_ms or profile.hedge_slow):
        return False
    if not dispatch.request.idempotent or dispatch.attempt != 1:
        return False
    if dispatch.request.max_attempts == 1:
        return False
    return budget.spend(now, HEDGE_CAUSE, HEDGE_BUDGET_SHARE)
