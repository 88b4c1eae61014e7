"""The listener for backend servers: `POST /announce`, answered with when to announce again."""

import json
from collections.abc import Callable, Iterable
from http import HTTPStatus
from typing import Annotated, Any, Final

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from persimmonusher_decisions.server import BackendServer, ServerState
from persimmonusher_model.errors import ErrorCode, Finding
from persimmonusher_model.identifiers import FailureDomain, ServerId, ServiceName
from persimmonusher_model.profile import collect_findings
from persimmonusher_node.bodies import BodyError, read_body
from persimmonusher_node.ports import ServerDirectory
from persimmonusher_node.protocol import ENVIRON_KEY

ANNOUNCE_PATH: Final = "/announce"
MAX_ANNOUNCEMENT_BYTES: Final = 16_384
"""An announcement has a few hundred bytes."""
BODY_TIMEOUT_SECONDS: Final = 5.0
ANNOUNCEMENTS_PER_TIMEOUT: Final = 3
"""Two announcements in a row may be lost before the server is considered lost."""

_Name = Annotated[str, Field(min_length=1, max_length=128, pattern=r"^[A-Za-z0-9._:-]+$")]
_Address = Annotated[str, Field(pattern=r"^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$")]


class Announcement(BaseModel):
    """The JSON document that a backend server sends."""

    model_config = ConfigDict(frozen=True, extra="forbid", strict=True)

    server_id: _Name
    service: _Name
    address: _Address
    failure_domain: _Name
    slots: int = Field(ge=1, le=65_535)
    connection_limit: int = Field(default=0, ge=0, le=1_000_000)
    boot_id: int = Field(ge=0, le=2**63 - 1)
    sequence: int = Field(ge=0, le=2**63 - 1)
    state: str = Field(pattern="^(" + "|".join(state.value for state in ServerState) + ")$")

    def to_server(self) -> BackendServer:
        """Return the announced server."""
        return BackendServer(
            ServerId(self.server_id),
            ServiceName(self.service),
            self.address,
            FailureDomain(self.failure_domain),
            self.slots,
            self.connection_limit,
            self.boot_id,
            self.sequence,
            ServerState(self.state),
        )


class RefusedAnnouncementError(Exception):
    """A refused announcement, with a finding for everything that is wrong with it."""

    def __init__(self, findings: list[Finding]) -> None:
        super().__init__("the announcement was refused")
        self.findings = findings


def parse_announcement(body: bytes) -> BackendServer:
    """Parse an announcement; raise RefusedAnnouncementError with all findings."""
    try:
        return Announcement.model_validate(json.loads(body)).to_server()
    except (ValueError, RecursionError) as error:
        if isinstance(error, ValidationError):
            findings = collect_findings(error, tuple(Announcement.model_fields))
        else:
            findings = [Finding(ErrorCode.BAD_JSON, "", f"the body is not JSON: {error}")]
        raise RefusedAnnouncementError(findings) from error


class AnnouncementsApplication:
    """The WSGI application that answers the announcements of backend servers."""

    def __init__(self, directory: ServerDirectory, heartbeat_timeout: float) -> None:
        self._directory = directory
        self._announce_again_ms = int(heartbeat_timeout * 1000.0 / ANNOUNCEMENTS_PER_TIMEOUT)

    def __call__(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        """Answer one request, by the WSGI protocol."""
        status, document = self._answer(environ)
        body = json.dumps(document).encode() + b"\n"
        headers = [("Content-Type", "application/json"), ("Content-Length", str(len(body)))]
        start_response(f"{status.value} {status.phrase}", headers)
        return [body]

    def _answer(self, environ: dict[str, Any]) -> tuple[HTTPStatus, dict[str, Any]]:
        if environ["PATH_INFO"] != ANNOUNCE_PATH:
            return HTTPStatus.NOT_FOUND, _describe("not-found", f"there is only {ANNOUNCE_PATH}")
        if environ["REQUEST_METHOD"] != "POST":
            return HTTPStatus.METHOD_NOT_ALLOWED, _describe("bad-request", "announce by POST")
        try:
            body = read_body(
                environ["wsgi.input"],
                MAX_ANNOUNCEMENT_BYTES,
                BODY_TIMEOUT_SECONDS,
                environ[ENVIRON_KEY].waits,
            )
        except BodyError as error:
            environ[ENVIRON_KEY].close_unread()
            return HTTPStatus.BAD_REQUEST, _describe("bad-request", str(error))
        try:
            server = parse_announcement(body)
        except RefusedAnnouncementError as error:
            return HTTPStatus.BAD_REQUEST, _list_findings(error.findings)
        taken = self._directory.announce(server)
        if not self._directory.relays_announcements():
            # This instance is cut off: it lists the server as announced (leaving, for example), but
            # no other instance learns of it. On the 503 the server announces again, and the
            # balancer gives it another instance.
            message = "this instance is cut off from the others; announce again at once"
            return HTTPStatus.SERVICE_UNAVAILABLE, _describe("unavailable", message)
        return HTTPStatus.OK, {"taken": taken, "announce_again_ms": self._announce_again_ms}


def _describe(code: str, message: str) -> dict[str, Any]:
    return {"code": code, "message": message}


def _list_findings(findings: list[Finding]) -> dict[str, Any]:
    listed = [
        {"code": finding.code.value, "path": finding.path, "message": finding.message}
        for finding in findings
    ]
    return {"code": "bad-request", "message": "the announcement was refused", "findings": listed}
