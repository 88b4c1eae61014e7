"""Failures of one server that prove nothing alone."""

from typing import Final

from persimmonusher_decisions.notices import NoticeKind
from persimmonusher_model.identifiers import RequestId

DOUBT_SECONDS: Final = 1.5
"""Time within which a second late failure of a server, whoever sees it, makes it suspected. One
that fails half its work at two requests a second does so; one whose work fails once in a hundred
times fails again by chance in one case out of thirty."""
UNREACHED_SECONDS: Final = 1.0
"""Time within which so many instances must fail to reach a server. One that takes nine requests a
second and is gone is missed by that many; one that a tenth of the instances can't reach is missed
by one or two, which then pass it by for seconds themselves."""
NEEDED: Final = {NoticeKind.FAILED_LATE: 2, NoticeKind.UNREACHED: 3}
"""Failures of a kind, each of another request, that make a server suspected."""
SECONDS: Final = {
    NoticeKind.FAILED_LATE: DOUBT_SECONDS,
    NoticeKind.UNREACHED: UNREACHED_SECONDS,
}


class Doubts:
    """The latest failures of a server that may be another's fault, by kind."""

    __slots__ = ("_seen",)

    def __init__(self) -> None:
        self._seen: dict[NoticeKind, dict[RequestId, float]] = {}

    def add(self, kind: NoticeKind, request_id: RequestId, now: float) -> bool:
        """Take a failure, which may be told more than once; tell whether there are enough."""
        since = now - SECONDS[kind]
        seen = {name: at for name, at in self._seen.get(kind, {}).items() if at > since}
        seen.setdefault(request_id, now)
        self._seen[kind] = seen
        return len(seen) >= NEEDED[kind]
