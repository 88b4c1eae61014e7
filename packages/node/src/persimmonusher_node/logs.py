"""Logs by structlog, as JSON lines or for a console; never bodies, tokens or header values.

They go to standard output; `log_pipe` describes what happens if they are not read.
"""

import logging
import sys
from collections.abc import Callable
from typing import Any, Final, TextIO, cast

import structlog

from persimmonusher_model.clock import Clock
from persimmonusher_node.ages import bound_age
from persimmonusher_node.headers import CallerOutcome
from persimmonusher_node.line_budget import LineBudget
from persimmonusher_node.log_pipe import open_standard_output
from persimmonusher_node.observer import FinishedRequest, RequestObserver
from persimmonusher_node.ports import Freshness
from persimmonusher_node.records import DecisionStep
from persimmonusher_node.settings import Settings

SECRET_KEYS: Final = frozenset({"token", "peer_token", "operator_tokens", "body", "headers", "key"})
"""Fields that are masked in every log line, in case a log call names one by mistake."""
MAX_UNEVENTFUL_STEPS: Final = 2
"""Decision steps of an uneventful request: a dispatch and its outcome."""
MASK: Final = "(hidden)"


def configure_logs(settings: Settings) -> None:
    """Configure structlog for the process, with the instance's id on every line."""
    renderer: structlog.typing.Processor = structlog.processors.JSONRenderer()
    if settings.log_format == "console":
        renderer = structlog.dev.ConsoleRenderer(colors=sys.stdout.isatty())
    level = logging.getLevelNamesMapping()[settings.log_level.upper()]
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            name_instance(settings.instance_id),
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            hide_secrets,
            structlog.processors.format_exc_info,
            renderer,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(level),
        logger_factory=structlog.WriteLoggerFactory(cast("TextIO", open_standard_output())),
        cache_logger_on_first_use=True,
    )


def name_instance(instance_id: str) -> structlog.typing.Processor:
    """Return a processor that adds the instance's id to each line, in every green thread."""

    def add(
        logger: object, method: str, event: structlog.typing.EventDict
    ) -> structlog.typing.EventDict:
        event["instance"] = instance_id
        return event

    return add


def hide_secrets(
    logger: object, method: str, event: structlog.typing.EventDict
) -> structlog.typing.EventDict:
    """Mask the values of fields that may hold a secret or a body."""
    for name in SECRET_KEYS.intersection(event):
        event[name] = MASK
    return event


class LoggingObserver(RequestObserver):
    """Logs finished requests: uneventful ones (see `is_uneventful`) as debug, all others as info.

    Each line holds every decision on the request with its inputs: the server, the time since the
    request arrived, the reason, and the configuration's revision.

    `LineBudget` bounds the number of lines.
    """

    def __init__(self, clock: Clock, level: str) -> None:
        self._log = structlog.get_logger("requests")
        self._budget = LineBudget(clock)
        self._is_debug = level == "debug"

    def observe(self, finished: FinishedRequest) -> None:
        """Write one line, unless the log level excludes it or the line budget is used up."""
        is_debug_line = is_uneventful(finished)
        if is_debug_line and not self._is_debug:
            return
        if self._budget.take():
            self._write(finished, self._log.debug if is_debug_line else self._log.info)

    def _write(self, finished: FinishedRequest, write: Callable[..., Any]) -> None:
        record = finished.record
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
            revision=record.revision,
            **describe_freshness(record.freshness),
            steps=[describe_step(step) for step in record.steps],
            seconds=round(finished.whole, 4),
            lines_left_out=self._budget.take_left_out(),
        )


def is_uneventful(finished: FinishedRequest) -> bool:
    """Return whether a request was served by its first server under a fresh configuration."""
    freshness = finished.record.freshness
    if freshness is not None and freshness.is_late:
        return False
    if finished.outcome is not CallerOutcome.RAN or finished.code is not None:
        return False
    return finished.record.status < 500 and len(finished.record.steps) <= MAX_UNEVENTFUL_STEPS


def describe_freshness(freshness: Freshness | None) -> dict[str, Any]:
    """Return the log fields for the age of the configuration; none if the age is unknown."""
    if freshness is None:
        return {}
    return {
        "configuration_age": round(bound_age(freshness.age), 3),
        "told_by": freshness.keeper,
        "told_age": round(freshness.keeper_age, 3),
    }


def describe_step(step: DecisionStep) -> str:
    """Return a step as text, such as `0.0003 dispatch s7: attempt 1`."""
    place = f" {step.server}" if step.server else ""
    return f"{step.after:.4f} {step.step}{place}: {step.reason}"
