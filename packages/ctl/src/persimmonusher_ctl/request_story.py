"""Builds the timeline of one request from collected logs: its steps and related log lines."""

import re
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from datetime import datetime, timedelta
from typing import Final

from persimmonusher_ctl.log_lines import REQUEST_EVENT, LogLine

LOOKBACK: Final = timedelta(seconds=10)
"""How long before the request log lines are included: twice the usual time for which a failing
server is avoided."""
LOOKAHEAD: Final = timedelta(seconds=3)
"""How long after the request log lines are included: its cause may be logged later, such as the
stop of its server."""
_STEP: Final = re.compile(
    r"(?P<seconds>[\d.]+) (?P<what>\w+)(?: (?P<server>[^:\s]+))?: (?P<why>.*)"
)
_DETAIL_FIELDS: Final = (
    "seen",
    "outcome",
    "seconds",
    "requests_a_second",
    "state",
    "service",
    "boot",
    "keeper",
    "error",
    "version",
    "revision",
    "configuration_age",
    "told_by",
    "told_age",
    "in_flight",
    "whole",
)
CLOSING_EVENTS: Final = frozenset({"server-limit", "server-rest"})
"""Events that close a server to an instance. They are matched by service, since a request for which
all servers were closed names none of them."""

CAUSES: Final = {
    "failure": "its server answered with a failure, and it was not sent again",
    "timeout": "its server did not answer in time: the outcome is unknown",
    "broken": "the connection to its server broke, or the answer was not its own",
    "cancelled": "its caller left",
    "overload": "every server it was sent to refused it without running it",
    "less-urgent": "capacity was short, and more urgent requests went first",
    "retry-budget": "it failed, and no further attempt was left in the retry budget",
    "retries-exhausted": "it failed on each server that its route's attempts allow",
    "deadline": "too little of its time was left for an answer",
    "queue-full": "every server was full, and so was the queue",
    "queue-timeout": "no server had room within the longest wait",
    "no-server": "no server of its service took work",
    "servers-closed": "every server had asked for rest, or limited what it takes from here",
    "quarantined": "the same request had broken several servers",
}
"""Explanation of each reason that a request's last log line may give."""
CAUSES_BY_CODE: Final = {
    "stop-ended": "its instance stopped before its server answered: the outcome is unknown",
    "stopping": "its instance was about to stop, and another one could serve it",
}
"""Explanation of codes that say more than the last reason."""
_CODE: Final = re.compile(r"\((?P<code>[a-z-]+)\)$")


_REASONS_AFTER_ATTEMPTS: Final = frozenset({"retry-budget", "retries-exhausted"})


@dataclass(frozen=True)
class TimelineEntry:
    """A step of the request, or a log line related to it."""

    at: datetime
    instance: str
    what: str
    server: str
    detail: str


@dataclass(frozen=True)
class RequestTimeline:
    """The steps of a request and the related log lines by time, and the cause of its outcome."""

    lines: tuple[TimelineEntry, ...]
    cause: str


def build_timeline(
    request_id: str, read: Callable[[], Iterable[LogLine]]
) -> RequestTimeline | None:
    """Return the timeline of a request, or None if no instance logged the request.

    `read` is called twice: for the lines of the request, and for those related to it.
    """
    own_lines = [line for line in read() if line.text("request_id") == request_id]
    requests = [line for line in own_lines if line.event == REQUEST_EVENT]
    if not requests:
        return None
    steps = [step for line in requests for step in _list_steps(line)]
    servers = {step.server for step in steps if step.server}
    begin = min(step.at for step in steps) if steps else requests[0].at
    related_lines = _RelatedLines(
        request_id,
        servers,
        {line.instance for line in requests},
        {line.text("service") for line in requests},
        begin - LOOKBACK,
        max(line.at for line in requests) + LOOKAHEAD,
    )
    related = [found for line in read() if (found := related_lines.describe(line)) is not None]
    ordered = sorted([*steps, *related], key=lambda item: item.at)
    return RequestTimeline((*ordered, *related_lines.count_failures()), _find_cause(requests[-1]))


class _RelatedLines:
    """Selects the lines about the request's servers or instances from around its time."""

    def __init__(
        self,
        request_id: str,
        servers: set[str],
        instances: set[str],
        services: set[str],
        begin: datetime,
        end: datetime,
    ) -> None:
        self._request_id = request_id
        self._servers = servers
        self._instances = instances
        self._begin = begin
        self._end = end
        self._services = services
        self._failed = dict.fromkeys(sorted(servers), 0)

    def describe(self, line: LogLine) -> TimelineEntry | None:
        """Return the timeline's entry for a line, or None if the line is not related."""
        if not self._begin <= line.at <= self._end:
            return None
        if line.event == REQUEST_EVENT:
            self._count(line)
            return None
        server = line.text("server")
        is_own_instance = line.instance in self._instances
        is_relevant = server in self._servers and (is_own_instance or not line.text("seen"))
        if (
            is_own_instance
            and line.event in CLOSING_EVENTS
            and line.text("service") in self._services
        ):
            is_relevant = True
        if not is_relevant and (server or not is_own_instance):
            return None
        details = (f"{name} {line.text(name)}" for name in _DETAIL_FIELDS if line.text(name))
        shown_by = line.text("request_id")
        detail = ", ".join([*details, *([f"shown by {shown_by}"] if shown_by else [])])
        return TimelineEntry(line.at, line.instance, line.event, server, detail)

    def count_failures(self) -> Iterable[TimelineEntry]:
        """Yield a summary for each server on which other requests failed around the same time."""
        for server, count in self._failed.items():
            if count:
                detail = f"{count} other logged requests failed on it from {LOOKBACK} before"
                yield TimelineEntry(self._end, "-", "summary", server, detail)

    def _count(self, line: LogLine) -> None:
        if line.text("request_id") == self._request_id:
            return
        for step in _list_steps(line):
            if step.server in self._failed and step.what == "outcome" and step.detail != "success":
                self._failed[step.server] += 1


def _list_steps(line: LogLine) -> list[TimelineEntry]:
    arrived = line.at - timedelta(seconds=float(line.fields.get("seconds", 0.0)))
    steps = []
    for text in line.fields.get("steps", ()):
        found = _STEP.fullmatch(text)
        if found is not None:
            at = arrived + timedelta(seconds=float(found["seconds"]))
            server = found["server"] or ""
            steps.append(TimelineEntry(at, line.instance, found["what"], server, found["why"]))
    return steps


def _find_cause(line: LogLine) -> str:
    reason = line.text("reason")
    if reason in _REASONS_AFTER_ATTEMPTS and line.text("result").startswith("not-run"):
        reason = "overload"
    ended = f"status {line.text('status')}, {line.text('result')}"
    code = _CODE.search(line.text("result"))
    cause = CAUSES_BY_CODE.get(code["code"]) if code else None
    return f"{ended}: {cause or CAUSES.get(reason, reason)}"
