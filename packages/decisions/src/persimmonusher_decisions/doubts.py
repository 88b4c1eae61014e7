"""Observations of a server that count only once several of them have been made."""

from typing import Final

from persimmonusher_decisions.notices import NoticeKind
from persimmonusher_model.identifiers import RequestId

LATE_FAILURE_WINDOW_SECONDS: Final = 1.5
"""Window in which a second late failure, seen by any instance, makes a server suspected. A server
that fails half its work at two requests per second has one; a server that fails one request in a
hundred has one by chance in one case out of thirty."""
UNREACHED_WINDOW_SECONDS: Final = 1.0
"""Window for failures to reach a server. A server with nine requests per second that is gone causes
enough of them. A server that a tenth of the instances can't reach causes one or two, after which
those instances avoid it for seconds themselves."""
RECOVERY_WINDOW_SECONDS: Final = 4.0
"""Window in which the lookups that prove a server healthy must have succeeded. Further apart, each
could fall into a better moment of the same fault."""
NEEDED_REQUESTS: Final = {
    NoticeKind.FAILED_LATE: 2,
    NoticeKind.UNREACHED: 3,
    NoticeKind.RECOVERED: 2,
}
"""How many different requests must show an observation of each kind before it counts. A server that
fails three of four requests answers one lookup successfully one time in four, and two in a row one
time in sixteen."""
WINDOW_SECONDS: Final = {
    NoticeKind.FAILED_LATE: LATE_FAILURE_WINDOW_SECONDS,
    NoticeKind.UNREACHED: UNREACHED_WINDOW_SECONDS,
    NoticeKind.RECOVERED: RECOVERY_WINDOW_SECONDS,
}


class Doubts:
    """The recent observations of one server, by kind and request."""

    __slots__ = ("_seen",)

    def __init__(self) -> None:
        self._seen: dict[NoticeKind, dict[RequestId, float]] = {}

    def add(self, kind: NoticeKind, request_id: RequestId, now: float) -> bool:
        """Record an observation and return whether there are enough of its kind.

        The same observation may arrive more than once; it is identified by its request.
        """
        since = now - WINDOW_SECONDS[kind]
        seen = {name: at for name, at in self._seen.get(kind, {}).items() if at > since}
        seen.setdefault(request_id, now)
        self._seen[kind] = seen
        return len(seen) >= NEEDED_REQUESTS[kind]

    def forget(self, kind: NoticeKind) -> None:
        """Drop the observations of a kind that newer evidence contradicts."""
        self._seen.pop(kind, None)
