"""An entry with a route for large bodies, and servers that act while a request arrives."""

import socket
from collections.abc import Callable
from dataclasses import dataclass, field
from http.client import HTTPResponse
from typing import Any

import eventlet
from entry_harness import HOST, PROFILE, SERVICE, EntryTestCase, ScriptedServer, read_answer

from persimmonusher_model.routing import RouteRule, WeightedService
from persimmonusher_node.memory import MemoryConfiguration
from persimmonusher_node.settings import Limits

OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
SHED = b"HTTP/1.1 503 Busy\r\nPersimmonusher-Not-Run: shed\r\nContent-Length: 0\r\n\r\n"
TIMEOUT_MS = 1_500
KEPT = 65_536


class LargeBodyConfiguration(MemoryConfiguration):
    """A configuration whose only route has large bodies."""

    timeout_ms = TIMEOUT_MS

    def find_rule(self, host: str, path: str) -> RouteRule | None:
        services = (WeightedService(SERVICE, 1),)
        return RouteRule(
            "r", HOST, "/", False, 0, 100, self.timeout_ms, 2, services, large_body=True
        )

    def is_current(self) -> bool:
        return True


@dataclass
class Upload:
    """What one connection brought to a server."""

    head: bytes = b""
    body: bytes = b""
    """The bytes after the head, with the framing of chunks."""
    is_closed: bool = False
    connection: Any = None

    @property
    def is_complete(self) -> bool:
        if b"chunked" in self.head:
            return self.body.endswith(b"0\r\n\r\n")
        length = self.head.lower().partition(b"content-length: ")[2].partition(b"\r")[0]
        return len(self.body) == int(length or b"0")

    def read(self, until: Callable[["Upload"], bool]) -> None:
        """Read until the condition holds or the connection ends."""
        while not until(self) and not self.is_closed:
            data = self.connection.recv(65_536)
            self.is_closed = not data
            if not self.head:
                self.head, _, data = data.partition(b"\r\n\r\n")
            self.body += data


def read_all(upload: Upload) -> None:
    """Read the whole request and answer it."""
    upload.read(lambda upload: bool(upload.head) and upload.is_complete)
    if not upload.is_closed:
        upload.connection.sendall(OK)


@dataclass
class UploadServer(ScriptedServer):
    """Acts on each connection as its script says; by default it reads all and answers."""

    act: Callable[[Upload], None] = read_all
    uploads: list[Upload] = field(default_factory=list)

    def _serve_requests(self, connection: socket.socket) -> None:
        while True:
            upload = Upload(connection=connection)
            self.uploads.append(upload)
            try:
                self.act(upload)
            except OSError:
                upload.is_closed = True
            if self.act is not read_all or upload.is_closed:
                return


class LargeBodyTestCase(EntryTestCase):
    profile = PROFILE.model_copy(update={"max_body_bytes": 1_000_000})
    limits = Limits(body_seconds=0.4, unread_seconds=0.6)
    timeout_ms = TIMEOUT_MS

    def start_entry(self) -> None:
        super().start_entry()
        view = LargeBodyConfiguration(self.view.routes, self.view.profiles)
        view.timeout_ms = self.timeout_ms
        self.plane.services._view = view
        self.addCleanup(self.check_memory)

    def check_memory(self) -> None:
        """Fail if a request has not freed its memory."""
        eventlet.sleep(0.1)
        self.assertEqual(self.plane.large_bodies.memory.held_bytes, 0)
        self.assertEqual(self.plane.forwarder.in_flight, 0)

    def add_server(self, name: str) -> ScriptedServer:
        server = UploadServer(name)
        self.addCleanup(server.stop)
        self.directory.announce(server.announce())
        return server

    def set_act(self, act: Callable[[Upload], None]) -> None:
        for server in self.servers:
            server.act = act

    @property
    def uploads(self) -> list[Upload]:
        """Requests of which a server got something."""
        return [upload for server in self.servers for upload in server.uploads if upload.head]

    def open(self, length: int | None = None, *headers: str) -> socket.socket:
        """Connect and send the head of a request, in chunks where the length is None."""
        connection = socket.create_connection(("127.0.0.1", self.listener.port), timeout=10)
        self.addCleanup(connection.close)
        framing = "Transfer-Encoding: chunked" if length is None else f"Content-Length: {length}"
        lines = ["POST /up HTTP/1.1", f"Host: {HOST}", framing, *headers, "", ""]
        connection.sendall("\r\n".join(lines).encode())
        return connection

    def upload(self, connection: socket.socket, *parts: bytes, chunked: bool = False):  # type: ignore[no-untyped-def]
        """Send parts of the body, pausing between them, and return the answer."""
        for part in parts:
            connection.sendall(make_chunk(part) if chunked else part)
            eventlet.sleep(0.05)
        return read_reply(connection)


def make_chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


def read_reply(connection: socket.socket):  # type: ignore[no-untyped-def]
    response = HTTPResponse(connection)
    response.begin()
    return read_answer(response)
