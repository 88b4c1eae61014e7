"""A stand-in backend server: slots, gray faults, drain, cold start, and a ledger of what it ran.

It runs as a process of its own, or on a green thread of a test. The control endpoint
(`/lab/faults`, `/lab/state`) belongs to the lab and isn't part of any documented interface.
"""

import json
import os
import select
import time
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
from random import Random
from typing import Any, Final
from urllib.parse import parse_qsl

import eventlet
from pydantic import ValidationError

from persimmonusher_decisions.server import BackendServer, ServerState
from persimmonusher_lab import wire
from persimmonusher_lab.faults import NO_FAULTS, Faults
from persimmonusher_lab.ledger import Ledger, LedgerRecord, Phase
from persimmonusher_lab.slots import NotRunError, Slots
from persimmonusher_model.identifiers import FailureDomain, ServerId, ServiceName

CRASH_PATH: Final = "/crash"
CRASH_EXIT_CODE: Final = 70
MAX_BODY_BYTES: Final = 1_048_576
DEFAULT_DEADLINE_SECONDS: Final = 600.0
CANCEL_POLL_SECONDS: Final = 0.05
JSON_TYPE: Final = ("Content-Type", "application/json")
CANCELLED_STATUS: Final = "499 Client Closed Request"

Environ = dict[str, Any]


@dataclass(frozen=True)
class BackendOptions:
    """The settings of one stand-in server."""

    server_id: str
    service: str
    address: str
    """The address that it announces."""
    listen: str = ""
    failure_domain: str = "a"
    slots: int = 4
    connection_limit: int = 400
    queue_limit: int = 8
    service_ms: float = 20.0
    """Typical service time; the real one is spread around it."""
    long_ms: float = 200.0
    long_percent: int = 5
    cold_seconds: float = 0.0
    """Time after the start in which work takes `COLD_START_FACTOR` times as long."""
    seed: int = 1


COLD_START_FACTOR: Final = 3.0


@dataclass(frozen=True)
class Answer:
    """One complete answer of the stand-in."""

    status: str
    headers: tuple[tuple[str, str], ...]
    body: bytes


@dataclass(frozen=True)
class Work:
    """What the stand-in reads from one request."""

    method: str
    path: str
    request_id: str
    token: str
    deadline: float
    service_ms: float | None
    answer_bytes: int

    @property
    def is_idempotent(self) -> bool:
        """Return whether the work changes nothing, so that it may be cancelled."""
        return self.method in ("GET", "HEAD")


def read_work(environ: Environ, now: float) -> Work:
    """Read the work from the request's query and headers, and discard its body."""
    query = dict(parse_qsl(environ.get("QUERY_STRING", "")))
    length = min(int(environ.get("CONTENT_LENGTH") or 0), MAX_BODY_BYTES)
    environ["wsgi.input"].read(length)
    deadline_ms = environ.get(wire.to_environ_key(wire.DEADLINE_MS))
    seconds_left = float(deadline_ms) / 1000 if deadline_ms else DEFAULT_DEADLINE_SECONDS
    return Work(
        method=environ["REQUEST_METHOD"],
        path=environ["PATH_INFO"],
        request_id=environ.get(wire.to_environ_key(wire.REQUEST_ID), ""),
        token=query.get("token", ""),
        deadline=now + seconds_left,
        service_ms=float(query["work_ms"]) if "work_ms" in query else None,
        answer_bytes=int(query.get("bytes", "0")),
    )


class StandIn:
    """The WSGI application of one stand-in backend server."""

    def __init__(self, options: BackendOptions, ledger: Ledger) -> None:
        self.options = options
        self.on_state_change: Callable[[], object] = lambda: None
        self.state = ServerState.READY
        self.faults = NO_FAULTS
        self._ledger = ledger
        self._random = Random(options.seed)
        self._slots = Slots(options.slots, options.queue_limit)
        self._boot_id = time.time_ns() // 1_000_000
        self._started = time.monotonic()

    def describe(self, sequence: int) -> BackendServer:
        """Return the announcement to send now."""
        return BackendServer(
            server_id=ServerId(self.options.server_id),
            service=ServiceName(self.options.service),
            address=self.options.address,
            failure_domain=FailureDomain(self.options.failure_domain),
            slots=self.options.slots,
            connection_limit=self.options.connection_limit,
            boot_id=self._boot_id,
            sequence=sequence,
            state=self.state,
        )

    def __call__(self, environ: Environ, start_response: Any) -> Iterable[bytes]:
        """Answer one request."""
        path = environ["PATH_INFO"]
        if path.startswith("/lab/"):
            answer = self._handle_control(environ)
        elif path == "/health":
            answer = self._report_health()
        elif path == "/load":
            answer = self._report_load()
        else:
            return self._answer_work(environ, start_response)
        start_response(answer.status, [*answer.headers, _content_length(answer.body)])
        return [answer.body]

    def _handle_control(self, environ: Environ) -> Answer:
        length = int(environ.get("CONTENT_LENGTH") or 0)
        text = environ["wsgi.input"].read(length)
        try:
            if environ["PATH_INFO"] == "/lab/faults":
                self.faults = Faults.model_validate_json(text)
            elif environ["PATH_INFO"] == "/lab/state":
                self.state = ServerState(text.decode())
                self.on_state_change()
            else:
                return Answer("404 Not Found", (), b"")
        except (ValidationError, ValueError) as error:
            return Answer("400 Bad Request", (), str(error).encode())
        return Answer("200 OK", (), b"")

    def _report_health(self) -> Answer:
        status = "200 OK" if self.faults.health_ok else "503 Service Unavailable"
        return Answer(status, (JSON_TYPE,), b'{"healthy": true}')

    def _report_load(self) -> Answer:
        body = json.dumps({"load": self._compute_reported_load()}).encode()
        return Answer("200 OK", (JSON_TYPE,), body)

    def _compute_reported_load(self) -> int:
        faults = self.faults
        load = self._slots.find_load_at(time.monotonic(), faults.load_lag_seconds)
        return int(load * faults.load_factor)

    def _answer_work(self, environ: Environ, start_response: Any) -> Iterable[bytes]:
        now = time.monotonic()
        work = read_work(environ, now)
        faults = self.faults.at(now)
        connection = environ["wsgi.input"].get_socket()
        try:
            answer = self._run(work, faults, connection)
        except NotRunError as refusal:
            answer = self._refuse(work, str(refusal))
        start_response(answer.status, [*answer.headers, _content_length(answer.body)])
        if faults.choose_truncation(self._random):
            environ["eventlet.minimum_write_chunk_size"] = 1
            return _truncate(answer.body, connection)
        return [answer.body]

    def _refuse(self, work: Work, reason: str) -> Answer:
        self._record(work, Phase.REFUSED)
        headers = (JSON_TYPE, (wire.NOT_RUN, reason), (wire.RETRY_AFTER, "1"))
        return Answer("503 Service Unavailable", headers, b'{"error": "not run"}')

    def _run(self, work: Work, faults: Faults, connection: Any) -> Answer:
        if self.state is not ServerState.READY and not faults.drains_silently:
            raise NotRunError(wire.DRAINING)
        with self._slots.enter(work.deadline):
            self._record(work, Phase.BEGUN)
            if work.path.startswith(CRASH_PATH):
                os._exit(CRASH_EXIT_CODE)
            fails = faults.choose_failure(self._random)
            if not (fails and faults.fail_fast) and not self._spend_service_time(
                work, faults, connection
            ):
                self._record(work, Phase.FAILED)
                return Answer(CANCELLED_STATUS, (JSON_TYPE,), b"{}")
            self._record(work, Phase.FAILED if fails else Phase.DONE)
        eventlet.sleep(faults.late_seconds)
        return self._build_answer(work, fails)

    def _spend_service_time(self, work: Work, faults: Faults, connection: Any) -> bool:
        """Spend the service time.

        Return False if idempotent work was cancelled, because the caller disconnected or the
        deadline passed.
        """
        end = time.monotonic() + self._draw_service_seconds(work, faults)
        while (left := end - time.monotonic()) > 0:
            if work.is_idempotent and time.monotonic() > work.deadline:
                return False
            eventlet.sleep(min(left, CANCEL_POLL_SECONDS))
            if work.is_idempotent and left > CANCEL_POLL_SECONDS and _is_closed(connection):
                return False
        return True

    def _draw_service_seconds(self, work: Work, faults: Faults) -> float:
        options = self.options
        typical = work.service_ms
        if typical is None:
            is_long = self._random.random() * 100 < options.long_percent
            typical = options.long_ms if is_long else options.service_ms
        cold = time.monotonic() - self._started < options.cold_seconds
        factor = faults.slow_factor * (COLD_START_FACTOR if cold else 1.0)
        return typical * factor * self._random.uniform(0.7, 1.3) / 1000

    def _build_answer(self, work: Work, fails: bool) -> Answer:
        document = {
            "server": self.options.server_id,
            "token": work.token,
            "padding": "." * work.answer_bytes,
            "whole": True,
        }
        headers = (JSON_TYPE, (wire.LOAD, str(self._compute_reported_load())))
        if fails:
            return Answer("500 Internal Server Error", headers, b'{"error": "failed"}')
        return Answer("200 OK", headers, json.dumps(document).encode())

    def _record(self, work: Work, phase: Phase) -> None:
        self._ledger.append(
            LedgerRecord(
                at=time.monotonic(),
                server=self.options.server_id,
                phase=phase,
                method=work.method,
                path=work.path,
                request_id=work.request_id,
                token=work.token,
            )
        )


def _content_length(body: bytes) -> tuple[str, str]:
    return ("Content-Length", str(len(body)))


def _truncate(body: bytes, connection: Any) -> Iterator[bytes]:
    yield body[: len(body) // 2]
    connection.shutdown(2)


def _is_closed(connection: Any) -> bool:
    poll = eventlet.patcher.original("select").poll()
    poll.register(connection.fileno(), select.POLLRDHUP)
    return bool(poll.poll(0))
