"""What servers ask for, from their answers here and from other instances."""

from persimmonusher_decisions.advice import ServerAdvice
from persimmonusher_decisions.notices import Notice, NoticeKind
from persimmonusher_decisions.rate_limits import RateLimits
from persimmonusher_decisions.track import ServerTrack
from persimmonusher_decisions.work import Dispatch
from persimmonusher_model.identifiers import ServiceName


class AdviceBook:
    """Notes at each server's track what it asks for; one for a service at an instance.

    A limit is for all instances and so is told to them. A rest is for the instance that was turned
    away, and a server that leaves tells everyone itself.
    """

    def __init__(self, service: ServiceName, limits: RateLimits) -> None:
        self._service = service
        self._limits = limits
        self._notices: list[Notice] = []

    def take(
        self, track: ServerTrack, dispatch: Dispatch, advice: ServerAdvice, now: float
    ) -> bool:
        """Take an answer's advice; tell whether it is news that the server leaves."""
        if advice.rest_seconds:
            track.rest_until(now + advice.rest_seconds)
        if self._limits.take(track, advice, dispatch.started, now):
            self._notices.append(self._make_notice(dispatch, advice, now))
        is_news = advice.is_leaving and not track.draining
        track.draining = track.draining or advice.is_leaving
        return is_news

    def take_notice(self, notice: Notice, track: ServerTrack, now: float) -> bool:
        """Take a limit that another instance read; tell whether it is another one than before."""
        return self._limits.take(track, ServerAdvice(notice.rate_limit), now - notice.seconds, now)

    def take_notices(self) -> tuple[Notice, ...]:
        """Return the limits read here that other instances are to be told of."""
        notices, self._notices = tuple(self._notices), []
        return notices

    def _make_notice(self, dispatch: Dispatch, advice: ServerAdvice, now: float) -> Notice:
        return Notice(
            NoticeKind.LIMITED,
            self._service,
            dispatch.server.server_id,
            dispatch.server.boot_id,
            request_id=dispatch.request.request_id,
            seconds=now - dispatch.started,
            rate_limit=advice.rate_limit,
        )
