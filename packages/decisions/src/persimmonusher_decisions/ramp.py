"""The share of work that a server gets while it is cold, or returns from ejection."""

from typing import Final

FIRST_SHARE: Final = 0.25
"""Share at the start of the ramp. Smaller shares give a small server no work at all, so that it
would stay cold; see docs/design/decisions.md."""


def find_share(elapsed: float, ramp_seconds: float) -> float:
    """Return the share, from FIRST_SHARE up to 1, after so many seconds.

    The load it is for: a third of the servers starts while the rest is busy. The harm: a cold
    server is idle, so placement by load would send it a full load at once, all of it slow. A
    share scales the server's slots in the comparison of loads and isn't a limit, so it yields
    when the warm servers are full.
    """
    if elapsed >= ramp_seconds:
        return 1.0
    return max(FIRST_SHARE, elapsed / ramp_seconds)
