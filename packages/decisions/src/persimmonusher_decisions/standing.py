"""The standing of a backend server at one instance: whether it gets requests, and if not, why."""

from enum import Enum

from persimmonusher_decisions.track import ServerTrack


class Standing(Enum):
    """Why an instance sends a server its full share of requests, fewer, or none."""

    IN_USE = "in-use"
    PENALIZED = "penalized"
    """A recent failure or refusal counts as load."""
    FAILING_OFTEN = "failing-often"
    """It had several failure episodes lately; requests that can't be repeated prefer others."""
    RAMPING = "ramping"
    """New or restarted, with a growing share."""
    KEPT_BY_FLOOR = "kept-by-floor"
    """Suspected, but too many servers are; it gets requests while the others are busy."""
    SUSPECTED = "suspected"
    RESTING = "resting"
    """It asked this instance for rest."""
    UNCONNECTED = "unconnected"
    """This instance may hold no connection to it."""
    EJECTED = "ejected"
    NOT_READY = "not-ready"


def find_standing(track: ServerTrack, now: float) -> Standing:
    """Return a server's standing; of several that apply, the one that leaves it the least work."""
    if not track.is_ready:
        return Standing.NOT_READY
    if track.ejection_state is not None:
        return Standing.EJECTED
    if not track.connection_limit:
        return Standing.UNCONNECTED
    if track.resting_until > now:
        return Standing.RESTING
    if track.is_suspected(now):
        return Standing.KEPT_BY_FLOOR if track.kept_by_floor else Standing.SUSPECTED
    if track.ramp_from is not None:
        return Standing.RAMPING
    if track.fails_often:
        return Standing.FAILING_OFTEN
    return Standing.PENALIZED if track.penalty else Standing.IN_USE
