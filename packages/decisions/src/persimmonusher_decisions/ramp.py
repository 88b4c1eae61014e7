"""The share of work for a server that has just started or returned from ejection."""

from typing import Final

INITIAL_SHARE: Final = 0.25
"""Share at the start of the ramp. With a smaller share a small server would get no work at all and
stay cold; see docs/design/decisions.md."""


def find_ramp_share(elapsed: float, ramp_seconds: float) -> float:
    """Return the share, from INITIAL_SHARE up to 1, after `elapsed` seconds.

    When, for example, a third of the servers start while the others are busy, the cold ones are
    idle, so placement by load would send them a full load at once, and all of it would be slow. The
    share scales the server's slots in the comparison of loads. It isn't a limit: a cold server
    still gets more work when the warm servers are full.
    """
    if elapsed >= ramp_seconds:
        return 1.0
    return max(INITIAL_SHARE, elapsed / ramp_seconds)
