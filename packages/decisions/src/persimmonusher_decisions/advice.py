"""What a backend server asks of instances in its answers, beside the answers' own outcomes."""

from dataclasses import dataclass
from enum import Enum


class Asked(Enum):
    """What a server has asked for by the time at which something is sent to it."""

    NOTHING = ""
    LIMIT = "limited"
    REST = "resting"


@dataclass(frozen=True)
class ServerAdvice:
    """What one answer asks for. It holds for one start of the server."""

    rate_limit: float | None = None
    """Requests a second that it takes from all instances together, None where it names no limit."""
    is_readable: bool = True
    """Whether a limit that it names could be read. One that couldn't changes nothing."""
    rest_seconds: float = 0.0
    """Time from the answer on in which it wants nothing more from this instance, 0 for none."""
    is_leaving: bool = False
    """Whether it says that it leaves: it wants nothing new from anyone."""
