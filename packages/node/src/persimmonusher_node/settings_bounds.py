"""Settings that follow from what the surroundings state, where the file leaves them out."""

from typing import Any, Final

from persimmonusher_decisions.quota_shares import QuotaTerms
from persimmonusher_node.settings import Bounds, Settings

EXIT_SECONDS: Final = 0.8
"""Time between the last answer of a stop and the process's end, which the kill must not cut short:
callers that are cut off by a reset know more than those whose peer is gone."""
SHORTEST_STOP_SHARE: Final = 0.5
"""Part of a very short time until the kill that a stop has all the same."""
LARGEST_RETRY_PERCENT: Final = 50
"""The most that a profile takes."""
RETRY_SHARE: Final = 0.9
"""Part of the allowed retries that is used: instances count requests in windows of their own, which
don't begin at the same moment as those of whoever holds them to it."""


def apply_bounds(settings: Settings) -> Settings:
    """Fill in what the file leaves out; what it says goes first."""
    bounds = settings.bounds
    derived: dict[str, Any] = {}
    if bounds.change_in_force_ms is not None:
        derived["stale_seconds"] = bounds.change_in_force_ms / 1000.0
    if bounds.kill_after_seconds is not None:
        shortest = SHORTEST_STOP_SHARE * bounds.kill_after_seconds
        derived["stop_seconds"] = max(shortest, bounds.kill_after_seconds - EXIT_SECONDS)
    derived = {
        name: value for name, value in derived.items() if name not in settings.model_fields_set
    }
    derived["default_profile"] = {**_bound_retries(settings), **settings.default_profile}
    return settings.model_copy(update=derived)


def make_quota_terms(bounds: Bounds) -> QuotaTerms:
    """Return how far quotas may be exceeded; not at all where nothing is stated."""
    stated = {
        "window_seconds": bounds.quota_window_seconds,
        "overshoot": bounds.quota_overshoot,
        "slack": bounds.quota_slack,
    }
    return QuotaTerms(**{name: value for name, value in stated.items() if value is not None})


def _bound_retries(settings: Settings) -> dict[str, Any]:
    bounds = settings.bounds
    fields: dict[str, Any] = {}
    if bounds.retry_ratio is not None:
        percent = int(100.0 * RETRY_SHARE * bounds.retry_ratio)
        fields["retry_budget_percent"] = min(LARGEST_RETRY_PERCENT, percent)
    if bounds.retry_slack is not None:
        fields["retry_slack"] = bounds.retry_slack
    return fields
