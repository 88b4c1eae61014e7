"""Answers without a length that begin, and end, while their request's body is still sent."""

import socket
import struct
import unittest
from collections.abc import Callable
from dataclasses import dataclass
from http.client import HTTPException
from random import Random

import eventlet
from entry_harness import PROFILE, CallerAnswer
from large_body_harness import (
    KEPT,
    LargeBodyTestCase,
    Upload,
    UploadServer,
    make_chunk,
    read_reply,
)

from persimmonusher_decisions.relay_choice import RelayChoice, RelayPeer
from persimmonusher_model.identifiers import FailureDomain
from persimmonusher_node.clock import SystemClock
from persimmonusher_node.dialect import Dialect
from persimmonusher_node.relay_protocol import RelayStatus, make_answer
from persimmonusher_node.relays import RelayDialer
from persimmonusher_node.settings import Limits

RESET = struct.pack("ii", 1, 0)
BODY_BYTES = KEPT + 60_000
PIECE = b"x" * 1_000
LINES = b"".join(b"X-Line-%d: %s\r\n" % (number, b"x" * 6_000) for number in range(7))
"""So long that the reader of the head lets the writer of the body run in between."""
HEAD = b"HTTP/1.1 200 OK\r\nX-Signature: s\r\n" + LINES + b"\r\n"
STREAMED_FROM = 16_384
"""Least `buffered_answer_bytes`; a longer answer is passed on as it arrives."""
SEND_BUFFER_BYTES = 1_048_576
"""So large that the server sends its answer without waiting."""

Finish = Callable[[socket.socket, socket.socket], None]
"""Ends an early answer on a server's connection, or the body on its caller's; must not wait."""


def reset(server: socket.socket, caller: socket.socket) -> None:
    server.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
    server.close()
    caller.sendall(make_chunk(PIECE))


def end(server: socket.socket, caller: socket.socket) -> None:
    server.shutdown(socket.SHUT_WR)
    server.close()
    caller.sendall(make_chunk(PIECE))


def break_off_body(server: socket.socket, caller: socket.socket) -> None:
    caller.shutdown(socket.SHUT_WR)


class EarlyAnswersTest(LargeBodyTestCase):
    server_names = ("s1",)
    profile = PROFILE.model_copy(update={"max_body_bytes": 1_000_000, "max_retries": 0})
    dialect = Dialect(accepts_unframed=True, signature="X-Signature")
    parts = (b"", b"part")

    def exchange(self, part: bytes, finish: Finish, chunked: bool) -> CallerAnswer:
        """Return the answer to a body of which a piece is written just after the answer's end."""
        caller = self.open(None if chunked else BODY_BYTES)

        def act(upload: Upload) -> None:
            upload.read(lambda one: len(one.body) >= KEPT + 1_000)
            upload.connection.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
            upload.connection.sendall(HEAD + part)
            finish(upload.connection, caller)
            eventlet.sleep(0.3)

        self.set_act(act)
        first = b"y" * (KEPT + 1_000)
        caller.sendall(make_chunk(first) if chunked else first)
        return read_reply(caller)

    # Guards against a reset that only the write of the body shows, and a part that looks whole.
    def test_a_reset_while_the_body_is_written_breaks_the_answer(self) -> None:
        for part in self.parts:
            for chunked in (False, True):
                with self.subTest(part[:4], chunked=chunked):
                    answer = self.exchange(part, reset, chunked)
                    self.assertEqual((answer.status, answer.outcome), (502, "unknown"))
                    self.assertNotIn("x-signature", answer.headers)

    # Guards against an end of the answer that is this instance's own, as the caller has left.
    def test_a_body_that_breaks_off_breaks_the_answer(self) -> None:
        answer = self.exchange(self.parts[-1], break_off_body, chunked=False)
        self.assertEqual((answer.status, answer.outcome), (502, "unknown"))

    # Guards against whole early answers that are refused along with those that were reset.
    def test_an_early_answer_that_ends_is_served(self) -> None:
        answer = self.exchange(self.parts[-1], end, chunked=False)
        self.assertEqual((answer.status, answer.body), (200, self.parts[-1]))


class StreamedEarlyAnswersTest(EarlyAnswersTest):
    """The answer is passed on before its end is known."""

    limits = Limits(body_seconds=0.4, unread_seconds=0.6, buffered_answer_bytes=STREAMED_FROM)
    parts = (b"x" * (STREAMED_FROM + 1),)

    def exchange(self, part: bytes, finish: Finish, chunked: bool) -> CallerAnswer:
        try:
            answer = super().exchange(part, finish, chunked)
        except (HTTPException, OSError):
            # The caller sees that the answer broke off.
            return CallerAnswer(502, "unknown", {}, b"")
        return answer


class RelayedEarlyAnswersTest(EarlyAnswersTest):
    """The server is reached through another instance."""

    def make_relays(self) -> RelayDialer:
        self.relay = ConnectingServer("relay")
        self.addCleanup(self.relay.stop)
        choice = RelayChoice(FailureDomain("a"), Random(1))
        choice.replace([RelayPeer(self.relay.address, FailureDomain("b"))])
        return RelayDialer(choice, "secret", SystemClock())

    def setUp(self) -> None:
        super().setUp()
        self.plane.ways._open_directly = lambda pool, seconds: None  # type: ignore[method-assign]

    def set_act(self, act: Callable[[Upload], None]) -> None:
        self.relay.act = act


@dataclass
class ConnectingServer(UploadServer):
    """Another instance that opens a connection and then is the server itself."""

    def _serve_requests(self, connection: socket.socket) -> None:
        head = b""
        while not head.endswith(b"\r\n\r\n"):
            head += connection.recv(1)
        connection.sendall(make_answer(RelayStatus.OPENED))
        super()._serve_requests(connection)


if __name__ == "__main__":
    unittest.main()
