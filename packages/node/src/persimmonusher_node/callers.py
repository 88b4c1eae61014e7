"""The WSGI application for callers: reads a request within its limits and writes its answer."""

import re
from collections.abc import Callable, Iterable
from functools import lru_cache, partial
from itertools import count
from typing import Any, Final
from urllib.parse import unquote

from eventlet import sleep
from structlog import get_logger

from persimmonusher_model.clock import Clock
from persimmonusher_model.identifiers import CallerId, InstanceId, RequestId
from persimmonusher_model.routing import RouteRule
from persimmonusher_node.answer_writing import STATUS_LINES, begin_answer, write_answer
from persimmonusher_node.answers import Answer, AnswerCode, make_error
from persimmonusher_node.bodies import Body, BodyError, BodyProblem
from persimmonusher_node.body_errors import NoBodyMemory
from persimmonusher_node.calls import Call
from persimmonusher_node.dialect import OWN_DIALECT, Dialect
from persimmonusher_node.entry import Entry
from persimmonusher_node.headers import HeaderList
from persimmonusher_node.identification import Identity, identify
from persimmonusher_node.large_bodies import LargeBodies
from persimmonusher_node.line_budget import LineBudget
from persimmonusher_node.logs import describe_freshness
from persimmonusher_node.protocol import ENVIRON_KEY, HttpProtocol
from persimmonusher_node.services import RoutedService

HEALTH_PATH: Final = "/.persimmonusher/health"
"""The platform's balancer checks this path. A 503 makes it send no more callers here: while the
instance stops, and after a start until it has its first configuration."""
UNNAMED: Final = "unnamed"
"""The caller or class of a request that names none."""
MAX_DEADLINE_MS: Final = 600_000
"""As in profiles; also bounds how long a graceful stop may take."""
MAX_NAME_LENGTH: Final = 64
STARTUP_WAIT_SECONDS: Final = 0.7
"""Longest wait for the first configuration after a start: enough for an election and the transfer.
Callers that abandon a connection do so after a second."""
MAX_STARTUP_WAITERS: Final = 256
"""Most requests that wait at once; an instance that has just started could serve few more."""
STARTUP_POLL_SECONDS: Final = 0.02
"""Longest delay until a waiting request sees the configuration; short beside a usual answer."""

_NAME_PATTERN: Final = re.compile(rf"[A-Za-z0-9._:-]{{1,{MAX_NAME_LENGTH}}}")
_BODY_CODES: Final = {
    BodyProblem.TOO_LARGE: AnswerCode.BODY_TOO_LARGE,
    BodyProblem.TOO_SLOW: AnswerCode.SLOW_REQUEST,
    BodyProblem.BROKEN_OFF: AnswerCode.BODY_INCOMPLETE,
}
BODY_KEY: Final = "persimmonusher.body"
"""Key in the WSGI environment of a body, whose memory is freed after the answer."""

_log = get_logger(__name__)


class RefusedCall(Exception):  # noqa: N818
    """A request that is refused before it is forwarded, with its answer."""

    def __init__(self, answer: Answer) -> None:
        super().__init__(answer.code)
        self.answer = answer


class CallersApplication:
    """Answers callers; called once for each request, in the connection's green thread."""

    def __init__(
        self,
        entry: Entry,
        instance_id: InstanceId,
        clock: Clock,
        large_bodies: LargeBodies,
        dialect: Dialect = OWN_DIALECT,
    ) -> None:
        self._dialect = dialect
        self._request_id = find_environ_key(dialect.request_id)
        self._key = find_environ_key(dialect.key)
        self._entry = entry
        self._clock = clock
        self._large_bodies = large_bodies
        self._prefix = f"{instance_id}-{int(clock.wall().timestamp() * 1000):x}"
        self._sequence = count(1)
        self._startup_waiters = 0
        self._lines = LineBudget(clock)
        self.count_connections: Callable[[], int] = int
        """Returns the number of open connections from callers."""

    def __call__(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        """Answer one request, by the WSGI protocol."""
        if environ["PATH_INFO"] == HEALTH_PATH:
            return self._answer_health(start_response)
        protocol: HttpProtocol = environ[ENVIRON_KEY]
        request_id = self._choose_request_id(environ)
        try:
            answer = self._answer(environ, request_id)
        except RefusedCall as refusal:
            answer = refusal.answer
            if has_unread_body(environ["wsgi.input"]):
                protocol.close_unread()
        except Exception:
            _log.exception("request failed inside the entry", request_id=request_id)
            answer = make_error(AnswerCode.INTERNAL, "a fault inside the entry", request_id)
        body: Body | None = environ.pop(BODY_KEY, None)
        method: str = environ["REQUEST_METHOD"]
        if body is None:
            return write_answer(answer, method, protocol, start_response)
        if not body.is_large:
            end = partial(self._large_bodies.end, body, protocol)
            return write_answer(answer, method, protocol, start_response, end)
        if body.is_unread:
            protocol.close_unread()
        is_bodyless = begin_answer(answer, method, start_response)
        return self._large_bodies.write(answer, body, is_bodyless, protocol, request_id)

    def _answer_health(self, start_response: Callable[..., Any]) -> Iterable[bytes]:
        state = "ok" if self._entry.is_ready() else "starting"
        if self._entry.is_stopping:
            state = "stopping"
        status = 200 if state == "ok" else 503
        body = f'{{"status": "{state}"}}\n'.encode()
        headers = [("Content-Type", "application/json"), ("Content-Length", str(len(body)))]
        start_response(STATUS_LINES[status], headers)
        return [body]

    def _choose_request_id(self, environ: dict[str, Any]) -> RequestId:
        given = environ.get(self._request_id)
        if given is not None and _NAME_PATTERN.fullmatch(given):
            return RequestId(given)
        return RequestId(f"{self._prefix}-{next(self._sequence):x}")

    def _answer(self, environ: dict[str, Any], request_id: RequestId) -> Answer:
        arrived = self._clock.monotonic()
        host = environ.get("HTTP_HOST", "").lower()
        path = read_path(environ, request_id)
        if not self._entry.is_ready():
            self._wait_for_configuration()
        routed = self._entry.find(host.partition(":")[0], path)
        if routed is None:
            answer = self._make_unrouted(host, path, request_id)
            self._log_denial("request-unrouted", host, path, request_id, answer)
            raise RefusedCall(answer)
        identity = self._identify(environ["headers_raw"], host, path, routed.rule, request_id)
        live = routed.live
        query = environ.get("QUERY_STRING", "")
        raw_path = environ["RAW_PATH_INFO"]
        call = Call(
            request_id,
            self._find_caller(environ, identity, request_id),
            self._find_class(environ, routed, request_id),
            environ["REQUEST_METHOD"],
            host,
            path,
            f"{raw_path}?{query}" if query else raw_path,
            environ["headers_raw"],
            arrived,
            read_deadline(environ, self._dialect.deadline, request_id),
            environ.get(self._key),
            self._read_body(environ, routed, request_id),
            environ[ENVIRON_KEY].reader,
            routed.rule,
            identity,
        )
        return self._entry.handle(call, live)

    def _identify(
        self,
        headers: HeaderList,
        host: str,
        path: str,
        rule: RouteRule | None,
        request_id: RequestId,
    ) -> Identity | None:
        """Return the identity behind the API key; None where requests carry no API keys.

        Raises RefusedCall where the key is missing or unknown.
        """
        book = self._entry.organisations
        if book is None:
            return None
        is_public = rule is not None and rule.public
        identity = identify(book, headers, is_public, self._dialect)
        if identity is not None:
            return identity
        answer = self._make_unidentified(request_id)
        self._log_denial("request-unidentified", host, path, request_id, answer)
        raise RefusedCall(answer)

    def _make_unidentified(self, request_id: RequestId) -> Answer:
        if not self._entry.can_answer_no_route():
            return refuse_as_outdated(request_id)
        message = "the request carries no API key that is known"
        answer = make_error(AnswerCode.UNKNOWN_API_KEY, message, request_id)
        return answer.with_headers(("WWW-Authenticate", self._dialect.credentials_scheme))

    def _find_caller(
        self, environ: dict[str, Any], identity: Identity | None, request_id: RequestId
    ) -> CallerId:
        """Return the API key's organisation, or without API keys the caller that a header names."""
        if identity is None:
            return CallerId(read_name(environ, self._dialect.caller, request_id))
        return CallerId(UNNAMED) if identity.organisation is None else identity.organisation.name

    def _wait_for_configuration(self) -> None:
        """Wait a short time for the first configuration after a start.

        Guards against refusing callers that return, after all instances were killed at once, before
        the keepers have elected a leader: the configuration arrives a moment later. The wait is
        short beside the shortest usual deadline, and few requests wait at once, so that an instance
        that gets no configuration does not hold up its callers.
        """
        if self._startup_waiters >= MAX_STARTUP_WAITERS:
            return
        self._startup_waiters += 1
        try:
            deadline = self._clock.monotonic() + STARTUP_WAIT_SECONDS
            while not self._entry.is_ready() and self._clock.monotonic() < deadline:
                sleep(STARTUP_POLL_SECONDS)
        finally:
            self._startup_waiters -= 1

    def _find_class(
        self, environ: dict[str, Any], routed: RoutedService, request_id: RequestId
    ) -> str:
        """Return the class that the caller names, else the route: its requests are alike."""
        named = read_name(environ, self._dialect.request_class, request_id)
        if named is UNNAMED and routed.rule is not None:
            return routed.rule.name
        return named

    def _log_denial(
        self, event: str, host: str, path: str, request_id: RequestId, answer: Answer
    ) -> None:
        if self._lines.try_acquire():
            _log.info(
                event,
                request_id=request_id,
                host=host,
                path=path,
                status=answer.status,
                revision=self._entry.revision(),
                **describe_freshness(self._entry.find_freshness()),
                lines_left_out=self._lines.pop_left_out_count(),
            )

    def _make_unrouted(self, host: str, path: str, request_id: RequestId) -> Answer:
        if not self._entry.is_ready():
            message = "this instance has no configuration yet"
            return make_error(AnswerCode.NO_CONFIGURATION, message, request_id)
        if not self._entry.can_answer_no_route():
            return refuse_as_outdated(request_id)
        message = f"no route for host {host!r} and path {path!r}"
        return make_error(AnswerCode.NO_ROUTE, message, request_id)

    def _read_body(
        self, environ: dict[str, Any], routed: RoutedService, request_id: RequestId
    ) -> Body:
        """Read the whole body, or the first part of a larger one.

        A request whose body or first part has not arrived is never dispatched. A request with a key
        is read whole, as its key is claimed for the whole body.
        """
        limit = routed.live.profile.max_body_bytes
        is_large = routed.rule is not None and routed.rule.large_body
        try:
            if self._key in environ:
                body = self._large_bodies.read_whole(environ, limit)
            elif is_large:
                body = self._large_bodies.read(environ, limit)
            else:
                body = self._large_bodies.read_small(environ, limit)
            environ[BODY_KEY] = body
            return body
        except NoBodyMemory as error:
            code = AnswerCode.BODY_MEMORY
            raise RefusedCall(make_error(code, str(error), request_id)) from error
        except BodyError as error:
            if error.problem is BodyProblem.BROKEN_OFF and environ[ENVIRON_KEY].reader.is_shut:
                # The end that was read is this instance's own.
                raise RefusedCall(self._entry.refuse_unread(request_id)) from error
            code = _BODY_CODES[error.problem]
            raise RefusedCall(make_error(code, str(error), request_id)) from error


def refuse_as_outdated(request_id: RequestId) -> Answer:
    """Refuse a request whose route or API key may have been added by a change not yet seen here.

    The answer is 503 and not a denial, which might be wrong.
    """
    message = "this instance can't tell whether its configuration is the latest"
    return make_error(AnswerCode.NO_CONFIGURATION, message, request_id)


@lru_cache
def find_environ_key(header: str) -> str:
    """Return the WSGI environment key of a header."""
    return "HTTP_" + header.upper().replace("-", "_")


def has_unread_body(source: Any) -> bool:
    """Return whether a part of the request's body may still be unread."""
    return bool(source.chunked_input or source.position < (source.content_length or 0))


def read_path(environ: dict[str, Any], request_id: RequestId) -> str:
    """Return the decoded path for matching.

    A profile's path prefixes define which requests are idempotent, so a path that a backend server
    may read as another one (dot segments, doubled slashes) must not evade them: doubled slashes are
    merged, and dot segments are refused.
    """
    path = unquote(environ["RAW_PATH_INFO"], errors="replace")
    if not path.startswith("/"):
        message = "the request target must be a path"
        raise RefusedCall(make_error(AnswerCode.BAD_REQUEST, message, request_id))
    while "//" in path:
        path = path.replace("//", "/")
    if "/." in path and any(part in (".", "..") for part in path.split("/")):
        message = "the path must not have . or .. segments"
        raise RefusedCall(make_error(AnswerCode.BAD_REQUEST, message, request_id))
    return path


def read_name(environ: dict[str, Any], header: str, request_id: RequestId) -> str:
    """Return the caller or class that a header names; raise RefusedCall for an invalid name."""
    value: str | None = environ.get(find_environ_key(header))
    if value is None:
        return UNNAMED
    if _NAME_PATTERN.fullmatch(value):
        return value
    message = f"{header} must have 1 to {MAX_NAME_LENGTH} letters, digits or ._:-"
    raise RefusedCall(make_error(AnswerCode.BAD_REQUEST, message, request_id))


def read_deadline(environ: dict[str, Any], header: str, request_id: RequestId) -> int | None:
    """Return the caller's deadline in milliseconds, or None where it gives none.

    Raises RefusedCall for a value that is not within 1 to MAX_DEADLINE_MS.
    """
    value = environ.get(find_environ_key(header))
    if value is None:
        return None
    if value.isascii() and value.isdigit() and 0 < int(value[:9]) <= MAX_DEADLINE_MS:
        return int(value)
    message = f"{header} must be 1 to {MAX_DEADLINE_MS} milliseconds, not {value[:32]!r}"
    raise RefusedCall(make_error(AnswerCode.BAD_REQUEST, message, request_id))
