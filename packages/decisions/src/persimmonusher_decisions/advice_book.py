"""Applies the limits and rests that servers ask for, from answers and from other instances."""

from persimmonusher_decisions.advice import ServerAdvice
from persimmonusher_decisions.notices import Notice, NoticeKind
from persimmonusher_decisions.rate_limits import RateLimits
from persimmonusher_decisions.track import ServerTrack
from persimmonusher_decisions.work import Dispatch
from persimmonusher_model.identifiers import ServiceName


class AdviceBook:
    """Records in each server's track what it asks for; one for each service at an instance.

    A rate limit applies to all instances, so it is sent to them. A rest applies to the instance
    that was refused, and a server that leaves announces it to everyone itself.
    """

    def __init__(self, service: ServiceName, limits: RateLimits) -> None:
        self._service = service
        self._limits = limits
        self._notices: list[Notice] = []

    def apply(
        self, track: ServerTrack, dispatch: Dispatch, advice: ServerAdvice, now: float
    ) -> bool:
        """Apply an answer's advice; return whether it newly says that the server leaves."""
        if advice.rest_seconds:
            track.rest_until(now + advice.rest_seconds)
        if self._limits.apply(track, advice, dispatch.started, now):
            self._notices.append(self._make_notice(dispatch, advice, now))
        is_news = advice.is_leaving and not track.draining
        track.draining = track.draining or advice.is_leaving
        return is_news

    def apply_notice(self, notice: Notice, track: ServerTrack, now: float) -> bool:
        """Apply a limit that another instance received; return whether it changes the limit."""
        return self._limits.apply(track, ServerAdvice(notice.rate_limit), now - notice.seconds, now)

    def pop_notices(self) -> tuple[Notice, ...]:
        """Return and clear the limits received here, to be sent to other instances."""
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
