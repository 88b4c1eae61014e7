"""Counts the openings of connections to backend servers, and logs which servers aren't reached."""

from collections import Counter
from enum import Enum
from typing import Final

from structlog import get_logger

RECENT_SECONDS: Final = 2.0
"""Time for which openings count as recent."""
LOG_INTERVAL_SECONDS: Final = 1.0
MAX_NAMED_SERVERS: Final = 8
MAX_REMEMBERED_SERVERS: Final = 4_096

_log = get_logger(__name__)


class Way(Enum):
    """How a server is reached."""

    DIRECT = "direct"
    RELAYED = "relayed"
    """Through another instance."""


class OpeningResult(Enum):
    """How the opening of a connection ended."""

    OPENED = "opened"
    REFUSED = "refused"
    """The host, or something on the way to it, refused or reset the connection."""
    SILENT = "silent"
    """Nothing came back in time."""
    FAILED = "failed"
    """Any other error."""


class ServerOpenings:
    """The openings of this instance, by result, and the last ones by server.

    Where many servers aren't reached while none is, the instance's own links are the likely cause;
    a server that is down is missed alone.
    """

    def __init__(self) -> None:
        self.tally: Counter[tuple[str, str]] = Counter()
        """Openings by way and result, as labels of a metric."""
        self._opened_at: dict[str, float] = {}
        self._missed_at: dict[str, float] = {}
        self._logged_at = float("-inf")

    def record(self, way: Way, address: str, result: OpeningResult, now: float) -> None:
        """Count an opening; direct ones also tell which servers are reached."""
        self.tally[way.value, result.value] += 1
        if way is not Way.DIRECT:
            return
        if len(self._opened_at) + len(self._missed_at) > MAX_REMEMBERED_SERVERS:
            self._opened_at.clear()
            self._missed_at.clear()
        if result is OpeningResult.OPENED:
            self._opened_at[address] = now
            self._missed_at.pop(address, None)
            return
        self._missed_at[address] = now
        self._opened_at.pop(address, None)
        if now >= self._logged_at + LOG_INTERVAL_SECONDS:
            self._logged_at = now
            self._log(result, now)

    def count_reached(self, now: float) -> int:
        """Return the number of servers that a recent direct opening reached."""
        return sum(at > now - RECENT_SECONDS for at in self._opened_at.values())

    def list_missed(self, now: float) -> list[str]:
        """List the servers that a recent direct opening did not reach."""
        return [address for address, at in self._missed_at.items() if at > now - RECENT_SECONDS]

    def _log(self, result: OpeningResult, now: float) -> None:
        missed = self.list_missed(now)
        _log.info(
            "servers-unreached",
            last=result.value,
            unreached=len(missed),
            reached=self.count_reached(now),
            servers=missed[-MAX_NAMED_SERVERS:],
        )


def classify_opening_error(error: BaseException) -> OpeningResult:
    """Return the result of an opening that raised an error."""
    causes = [error, error.__cause__, error.__context__]
    if any(isinstance(cause, TimeoutError) for cause in causes):
        return OpeningResult.SILENT
    if any(isinstance(cause, ConnectionError) for cause in causes):
        return OpeningResult.REFUSED
    return OpeningResult.FAILED
