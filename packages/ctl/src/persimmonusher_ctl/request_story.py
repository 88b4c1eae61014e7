"""What collected logs say of one request: its steps, and what was known around them."""

import re
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from datetime import datetime, timedelta
from typing import Final

from persimmonusher_ctl.log_lines import REQUEST_EVENT, LogLine

BEFORE: Final = timedelta(seconds=10)
"""How far back what was known of a server is looked for: twice the usual time of passing one by."""
AFTER: Final = timedelta(seconds=3)
"""How long after the request something may show what it ran into, such as a server's end."""
_STEP: Final = re.compile(
    r"(?P<seconds>[\d.]+) (?P<what>\w+)(?: (?P<server>[^:\s]+))?: (?P<why>.*)"
)
_DETAILS: Final = (
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
)
ASKED_EVENTS: Final = frozenset({"server-limit", "server-rest"})
"""What closes servers to an instance. A request for which all were closed names none of them."""

CAUSES: Final = {
    "failure": "its server answered with a failure, and it was not sent again",
    "timeout": "its server did not answer in time: the outcome is unknown",
    "broken": "the connection to its server broke, or the answer was not its own",
    "cancelled": "its caller left",
    "overload": "every server it was sent to refused it without running it",
    "retry-budget": "it failed, and no further attempt was left in the retry budget",
    "retries-exhausted": "it failed on each server that its route's attempts allow",
    "deadline": "too little of its time was left for an answer",
    "queue-full": "every server was full, and so was the queue",
    "queue-timeout": "no server had room within the longest wait",
    "no-server": "no server of its service took work",
    "servers-closed": "every server had asked for rest, or limited what it takes from here",
    "quarantined": "the same request had broken several servers",
}
"""What the last step of a request means, by its reason."""


_AFTER_ATTEMPTS: Final = frozenset({"retry-budget", "retries-exhausted"})


@dataclass(frozen=True)
class StoryLine:
    """One thing that happened, to the request or around it."""

    at: datetime
    instance: str
    what: str
    server: str
    detail: str


@dataclass(frozen=True)
class Story:
    """A request's steps and surroundings in the order of time, and its cause in words."""

    lines: tuple[StoryLine, ...]
    cause: str


def tell_story(request_id: str, read: Callable[[], Iterable[LogLine]]) -> Story | None:
    """Return the story of a request, None where no line names it.

    `read` is called twice: for the request, and for what happened around it.
    """
    own = [line for line in read() if line.text("request_id") == request_id]
    requests = [line for line in own if line.event == REQUEST_EVENT]
    if not requests:
        return None
    steps = [step for line in requests for step in _list_steps(line)]
    servers = {step.server for step in steps if step.server}
    begin = min(step.at for step in steps) if steps else requests[0].at
    surroundings = _Surroundings(
        request_id,
        servers,
        {line.instance for line in requests},
        {line.text("service") for line in requests},
        begin - BEFORE,
        max(line.at for line in requests) + AFTER,
    )
    around = [found for line in read() if (found := surroundings.describe(line)) is not None]
    ordered = sorted([*steps, *around], key=lambda item: item.at)
    return Story((*ordered, *surroundings.count_failures()), _find_cause(requests[-1]))


class _Surroundings:
    """Chooses the lines that concern a request's servers, or its instance, around its time."""

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

    def describe(self, line: LogLine) -> StoryLine | None:
        """Return what a line adds to the story, None where it is of no concern."""
        if not self._begin <= line.at <= self._end:
            return None
        if line.event == REQUEST_EVENT:
            self._count(line)
            return None
        server = line.text("server")
        own_view = line.instance in self._instances
        of_server = server in self._servers and (own_view or not line.text("seen"))
        if own_view and line.event in ASKED_EVENTS and line.text("service") in self._services:
            of_server = True
        if not of_server and (server or not own_view):
            return None
        details = (f"{name} {line.text(name)}" for name in _DETAILS if line.text(name))
        shown_by = line.text("request_id")
        detail = ", ".join([*details, *([f"shown by {shown_by}"] if shown_by else [])])
        return StoryLine(line.at, line.instance, line.event, server, detail)

    def count_failures(self) -> Iterable[StoryLine]:
        """Return a line for each server on which other requests failed around the same time."""
        for server, number in self._failed.items():
            if number:
                detail = f"{number} other logged requests failed on it from {BEFORE} before"
                yield StoryLine(self._end, "-", "summary", server, detail)

    def _count(self, line: LogLine) -> None:
        if line.text("request_id") == self._request_id:
            return
        for step in _list_steps(line):
            if step.server in self._failed and step.what == "outcome" and step.detail != "success":
                self._failed[step.server] += 1


def _list_steps(line: LogLine) -> list[StoryLine]:
    arrived = line.at - timedelta(seconds=float(line.fields.get("seconds", 0.0)))
    steps = []
    for text in line.fields.get("steps", ()):
        found = _STEP.fullmatch(text)
        if found is not None:
            at = arrived + timedelta(seconds=float(found["seconds"]))
            server = found["server"] or ""
            steps.append(StoryLine(at, line.instance, found["what"], server, found["why"]))
    return steps


def _find_cause(line: LogLine) -> str:
    reason = line.text("reason")
    if reason in _AFTER_ATTEMPTS and line.text("result").startswith("not-run"):
        reason = "overload"
    ended = f"status {line.text('status')}, {line.text('result')}"
    return f"{ended}: {CAUSES.get(reason, reason)}"
