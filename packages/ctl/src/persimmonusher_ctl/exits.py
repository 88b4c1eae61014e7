"""Exit codes of persimmonusherctl; docs/operators-guide.md lists them."""

from enum import IntEnum


class Exit(IntEnum):
    """The outcome of a command, so that a program needs no more than the exit code."""

    DONE = 0
    INTERNAL = 1
    USAGE = 2
    REFUSED = 3
    """The input has findings; nothing was changed."""
    CONFLICT = 4
    """Another change of the same object came first; nothing was changed."""
    UNKNOWN = 5
    """No verdict came in time: resend the change with the same change id."""
    NOT_FOUND = 6
    UNAUTHENTICATED = 7
    UNREACHABLE = 8
    """No instance answered in time; one may have received the change: resend with the same id."""
    NOT_YET = 9
    """Accepted, but not in force everywhere within the time given to --wait."""
