"""Requests that backend servers make of instances in their answers: limits, rests, leaving."""

from dataclasses import dataclass
from enum import Enum


class Asked(Enum):
    """The restriction that a server had asked for when a request was sent to it."""

    NOTHING = ""
    LIMIT = "limited"
    REST = "resting"


@dataclass(frozen=True)
class ServerAdvice:
    """What one answer asks for; valid for the current boot of the server."""

    rate_limit: float | None = None
    """Requests per second that the server accepts from all instances together; None for no
    limit."""
    is_readable: bool = True
    """False if the answer names a limit that can't be parsed; such a limit changes nothing."""
    rest_seconds: float = 0.0
    """Time from the answer on for which this instance should send nothing; 0 for none."""
    is_leaving: bool = False
    """Whether the server says that it is leaving: it accepts nothing new from any instance."""
