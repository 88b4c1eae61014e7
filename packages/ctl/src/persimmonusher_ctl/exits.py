"""Exit codes of persimmonusherctl; docs/operators-guide.md lists them."""

from enum import IntEnum


class Exit(IntEnum):
    """What a program learns from the exit code alone."""

    DONE = 0
    INTERNAL = 1
    USAGE = 2
    REFUSED = 3
    """The input has findings; nothing was changed."""
    CONFLICT = 4
    """A newer change of the same object won; nothing was changed."""
    UNKNOWN = 5
    """No verdict came: resend with the same change id."""
    NOT_FOUND = 6
    UNAUTHENTICATED = 7
    UNREACHABLE = 8
    """No instance answered; a change was not sent to any."""
    NOT_YET = 9
    """Accepted, but not in force everywhere within the time given to --wait."""
