"""Logs by structlog, as JSON lines or for a console; never bodies, tokens or header values."""

import logging
import sys
from typing import Final

import structlog

from persimmonusher_node.headers import CallerOutcome
from persimmonusher_node.observer import FinishedRequest, RequestObserver
from persimmonusher_node.settings import Settings

SECRET_KEYS: Final = frozenset({"token", "peer_token", "operator_tokens", "body", "headers", "key"})
"""Fields that are masked wherever they turn up, should a later log call name one."""
MASK: Final = "(hidden)"


def configure_logs(settings: Settings) -> None:
    """Set structlog up for the process, with the instance's id on every line."""
    renderer: structlog.typing.Processor = structlog.processors.JSONRenderer()
    if settings.log_format == "console":
        renderer = structlog.dev.ConsoleRenderer(colors=sys.stderr.isatty())
    level = logging.getLevelNamesMapping()[settings.log_level.upper()]
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            hide_secrets,
            structlog.processors.format_exc_info,
            renderer,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(level),
        logger_factory=structlog.WriteLoggerFactory(sys.stderr),
        cache_logger_on_first_use=True,
    )
    structlog.contextvars.bind_contextvars(instance=settings.instance_id)


def hide_secrets(
    logger: object, method: str, event: structlog.typing.EventDict
) -> structlog.typing.EventDict:
    """Mask the values of fields that may hold a secret or a body."""
    for name in SECRET_KEYS.intersection(event):
        event[name] = MASK
    return event


class LoggingObserver(RequestObserver):
    """Logs each finished request: refusals and unknown outcomes as info, the rest as debug."""

    def __init__(self) -> None:
        self._log = structlog.get_logger("requests")

    def observe(self, finished: FinishedRequest) -> None:
        """Write one line, unless the level is filtered."""
        record = finished.record
        if finished.outcome is CallerOutcome.RAN and finished.code is None:
            write = self._log.debug
        else:
            write = self._log.info
        last = record.steps[-1] if record.steps else None
        write(
            "request",
            request_id=record.request_id,
            service=record.service,
            caller=record.caller,
            request_class=record.request_class,
            status=record.status,
            result=record.result,
            decision=last.step if last else None,
            reason=last.reason if last else None,
            server=last.server if last else None,
            steps=len(record.steps),
            seconds=round(finished.whole, 4),
        )
