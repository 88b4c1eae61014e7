"""Derives settings that the file leaves out from the bounds that the deployment states."""

from typing import Any, Final

from persimmonusher_decisions.quota_shares import QuotaTerms
from persimmonusher_node.settings import Bounds, Limits, Listeners, Settings

EXIT_RESERVE_SECONDS: Final = 0.8
"""Time reserved for the process to exit after the last answer of a stop, so that it ends before
the supervisor kills it: callers learn more from a reset than from a peer that vanished."""
MEGABYTE: Final = 1_000_000
PROGRAM_BYTES: Final = 64_000_000
"""Memory of an entry without requests."""
CONNECTION_BYTES: Final = 98_304
"""Memory of a connection with a head of 16 KB, a third of it in the kernel."""
MIN_CONNECTIONS: Final = 256
"""Least number of connections, however small the memory."""
MIN_STOP_FRACTION: Final = 0.5
"""Least fraction of the time until the kill that a stop gets, for when that time is very short."""
MAX_RETRY_BUDGET_PERCENT: Final = 50
"""Largest `retry_budget_percent` that a profile accepts."""
USED_RETRY_FRACTION: Final = 0.8
"""Fraction of the allowed retries that is used. The rest is for processes that start: their former
ones may have used up their part of the same window."""


def derive_settings(settings: Settings) -> Settings:
    """Return the settings with derived values for those that the file leaves out.

    The default profile keeps its own values and gets derived ones for the fields that it lacks.
    """
    bounds = settings.bounds
    derived: dict[str, Any] = {}
    if bounds.change_in_force_ms is not None:
        derived["stale_seconds"] = bounds.change_in_force_ms / 1000.0
    if bounds.kill_after_seconds is not None:
        shortest = MIN_STOP_FRACTION * bounds.kill_after_seconds
        derived["stop_seconds"] = max(shortest, bounds.kill_after_seconds - EXIT_RESERVE_SECONDS)
    derived = {
        name: value for name, value in derived.items() if name not in settings.model_fields_set
    }
    derived["limits"] = _fit_into_memory(settings)
    if settings.relay_port_offset is not None and not settings.listen.relay:
        derived["listen"] = _add_relay(settings.listen, settings.relay_port_offset)
    derived["default_profile"] = {**_bound_retries(settings), **settings.default_profile}
    return settings.model_copy(update=derived)


def _fit_into_memory(settings: Settings) -> Limits:
    """Return the limits with as many connections as fit beside the memory for bodies."""
    limits = settings.limits
    if settings.memory_mb is None:
        return limits
    bodies = limits.large_body_bytes + limits.held_bytes
    left = settings.memory_mb * MEGABYTE - PROGRAM_BYTES - bodies
    fitting = max(MIN_CONNECTIONS, int(left / CONNECTION_BYTES))
    return limits.model_copy(update={"connections": min(limits.connections, fitting)})


def _add_relay(listen: Listeners, port_offset: int) -> Listeners:
    host, _, port = listen.peers.rpartition(":")
    if not host:
        return listen
    return listen.model_copy(update={"relay": f"{host}:{int(port) + port_offset}"})


def make_quota_terms(bounds: Bounds) -> QuotaTerms:
    """Return how far quotas may be exceeded; bounds that are not stated allow no excess."""
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
        percent = int(100.0 * USED_RETRY_FRACTION * bounds.retry_ratio)
        fields["retry_budget_percent"] = min(MAX_RETRY_BUDGET_PERCENT, percent)
    if bounds.retry_slack is not None:
        fields["retry_slack"] = bounds.retry_slack
    return fields
