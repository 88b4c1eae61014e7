"""Large bodies that are sent on as they arrive, and their break points.

The names of the break points are those of the table in docs/design/large-bodies.md.
"""

import socket
import time
import unittest

import eventlet
from entry_harness import HOST
from large_body_harness import (
    KEPT,
    OK,
    SHED,
    TIMEOUT_MS,
    LargeBodyTestCase,
    Upload,
    make_chunk,
    read_all,
    read_reply,
)

from persimmonusher_node.settings import Limits

LARGE = bytes(range(256)) * 1_200
"""300 KB."""


def decode(body: bytes) -> bytes:
    """Return the content of a chunked body."""
    content = b""
    while True:
        line, _, body = body.partition(b"\r\n")
        size = int(line, 16)
        if not size:
            return content
        content, body = content + body[:size], body[size + 2 :]


class SentOnBodiesTest(LargeBodyTestCase):
    # Guards against bodies that are changed on the way, at the sizes around the kept part.
    def test_bodies_arrive_unchanged_with_a_length_and_in_chunks(self) -> None:
        for size in (0, 1, KEPT - 1, KEPT, KEPT + 1, len(LARGE)):
            for chunked in (False, True):
                with self.subTest(size=size, chunked=chunked):
                    body = LARGE[:size]
                    connection = self.open(None if chunked else size)
                    parts = (body, b"") if chunked and body else (body,)
                    reply = self.upload(connection, *parts, chunked=chunked)
                    self.assertEqual((reply.status, reply.body), (200, b"ok"))
                    self.assertNotIn("connection", reply.headers)
                    got = [
                        decode(one.body) if b"chunked" in one.head else one.body
                        for one in self.uploads
                    ]
                    self.assertEqual(got.count(body), 2 if chunked else 1)

    # Guards against a request behind a large body that is lost or read as a part of it.
    def test_the_callers_connection_serves_further_requests(self) -> None:
        connection = self.open(len(LARGE))
        self.assertEqual(self.upload(connection, LARGE).status, 200)
        head = f"POST /up HTTP/1.1\r\nHost: {HOST}\r\nTransfer-Encoding: chunked\r\n\r\n"
        for _ in range(2):
            connection.sendall(head.encode() + make_chunk(LARGE) + make_chunk(b""))
            self.assertEqual(read_reply(connection).status, 200)

    # Guards against a server that gets nothing until the caller has sent everything.
    def test_the_rest_is_sent_on_as_it_arrives(self) -> None:
        connection = self.open(len(LARGE))
        connection.sendall(LARGE[: KEPT + 10_000])
        eventlet.sleep(0.2)
        self.assertEqual(len(self.uploads[0].body), KEPT + 10_000)
        self.assertEqual(self.upload(connection, LARGE[KEPT + 10_000 :]).status, 200)

    # Guards against a key that is claimed for the first part of a body only.
    def test_a_keyed_request_is_compared_by_its_whole_body(self) -> None:
        for body, status in ((LARGE, 200), (LARGE[:-1] + b"x", 422), (LARGE, 200)):
            reply = self.upload(self.open(len(body), "Idempotency-Key: k1"), body)
            self.assertEqual(reply.status, status)
        self.assertEqual(sum(upload.is_complete for upload in self.uploads), 1)


class BreakPointsTest(LargeBodyTestCase):
    def expect(self, reply, status: int, outcome: str, uploads: int) -> None:  # type: ignore[no-untyped-def]
        self.assertEqual((reply.status, reply.outcome), (status, outcome))
        eventlet.sleep(0.05)
        self.assertEqual(len(self.uploads), uploads)
        self.assertEqual([one for one in self.uploads if one.is_complete], [])
        self.assertTrue(all(one.is_closed for one in self.uploads))

    # Guards against a body over the limit of which a part is sent to a server.
    def test_before_the_body(self) -> None:
        self.expect(read_reply(self.open(1_000_001)), 413, "not-run", 0)
        self.expect(read_reply(self.open(10)), 408, "not-run", 0)

    # Guards against a body that breaks off in its kept part and reaches a server.
    def test_within_the_kept_part(self) -> None:
        self.expect(self.upload(self.open(KEPT), b"x" * 100), 408, "not-run", 0)
        connection = self.open(KEPT)
        connection.sendall(b"x" * 100)
        connection.shutdown(socket.SHUT_WR)
        self.expect(read_reply(connection), 400, "not-run", 0)
        connection = self.open()
        connection.sendall(b"3\r\nabc\r\n0\r\n")
        connection.shutdown(socket.SHUT_WR)
        self.expect(read_reply(connection), 400, "not-run", 0)

    # Guards against a truncated body that looks complete to its server, and against a 408 or 413
    # for a request that a server has begun.
    def test_within_the_forwarded_part(self) -> None:
        reply = self.upload(self.open(len(LARGE)), LARGE[:100_000])
        self.expect(reply, 502, "unknown", 1)
        self.expect(self.upload(self.open(), LARGE, chunked=True), 502, "unknown", 2)
        connection = self.open()
        connection.sendall(make_chunk(LARGE) + b"0\r\n")
        connection.shutdown(socket.SHUT_WR)
        self.expect(read_reply(connection), 502, "unknown", 3)
        connection = self.open()
        connection.sendall(make_chunk(LARGE) * 4)
        self.expect(read_reply(connection), 502, "unknown", 4)
        for status in self.plane.services.find(HOST, "/").traffic.describe(0.0):
            self.assertEqual(status.reason, "ready", "a caller's break counts against no server")

    # Guards against a second run of a request whose answer was lost.
    def test_after_the_body(self) -> None:
        self.set_act(lambda upload: upload.read(lambda one: bool(one.head) and one.is_complete))
        reply = self.upload(self.open(len(LARGE)), LARGE)
        self.assertEqual((reply.status, reply.outcome, len(self.uploads)), (502, "unknown", 1))

    # Guards against an early answer that is lost, and against connections that are used again with
    # a part of a body still due.
    def test_early_answer(self) -> None:
        def answer_early(upload: Upload) -> None:
            upload.read(lambda one: len(one.body) >= 70_000)
            upload.connection.sendall(OK)
            upload.read(lambda one: False)

        self.set_act(answer_early)
        for chunked in (False, True):
            connection = self.open(None if chunked else len(LARGE))
            reply = self.upload(connection, LARGE[:100_000], chunked=chunked)
            self.assertEqual(reply.headers["connection"], "close")
            self.expect(reply, 200, "ran", 2 if chunked else 1)
            self.assertEqual(reply.body, b"ok")
            connection.settimeout(3)
            self.assertEqual(connection.recv(10), b"", "the entry closes the connection")

    # Guards against an answer that is lost because its server closed before it read the body.
    def test_early_answer_and_close(self) -> None:
        def answer_and_close(upload: Upload) -> None:
            upload.read(lambda one: bool(one.head))
            upload.connection.sendall(OK)

        self.set_act(answer_and_close)
        for size in (KEPT, len(LARGE)):
            reply = self.upload(self.open(size), LARGE[:size])
            self.assertEqual((reply.status, reply.body), (200, b"ok"))

    # Guards against a slot that is held for ever by a server that stops reading.
    def test_server_stops_reading(self) -> None:
        def stop_reading(upload: Upload) -> None:
            upload.read(lambda one: bool(one.head))
            eventlet.sleep(3.0)
            upload.is_closed = True

        self.set_act(stop_reading)
        started = time.monotonic()
        reply = self.upload(self.open(len(LARGE)), LARGE)
        self.assertLess(time.monotonic() - started, TIMEOUT_MS / 1000 + 0.5)
        self.assertEqual((reply.status, reply.outcome, len(self.uploads)), (504, "unknown", 1))

    # Guards against a second run of a request of which a server has read a part.
    def test_server_closes_midway(self) -> None:
        def close_midway(upload: Upload) -> None:
            upload.read(lambda one: len(one.body) >= 80_000)
            upload.is_closed = True

        self.set_act(close_midway)
        self.expect(self.upload(self.open(len(LARGE)), LARGE), 502, "unknown", 1)
        self.expect(self.upload(self.open(KEPT), LARGE[: KEPT - 1]), 408, "not-run", 1)

    # Guards against a refusal that is reported as unknown, or is followed by a run without the
    # first part of the body.
    def test_server_refuses(self) -> None:
        def refuse(upload: Upload) -> None:
            upload.read(lambda one: len(one.body) >= KEPT)
            upload.connection.sendall(SHED)
            upload.is_closed = True

        def refuse_midway(upload: Upload) -> None:
            upload.read(lambda one: len(one.body) >= 80_000)
            upload.connection.sendall(SHED)
            upload.is_closed = True

        self.set_act(refuse_midway)
        reply = self.upload(self.open(len(LARGE)), LARGE[:100_000])
        self.expect(reply, 503, "not-run", 1)
        self.assertIn("retry-after", reply.headers)
        for refusing, other in (self.servers, self.servers[::-1]):
            refusing.act, other.act = refuse, read_all
            reply = self.upload(self.open(KEPT), LARGE[:KEPT])
            self.assertEqual((reply.status, reply.body), (200, b"ok"))

    # Guards against deadlines that are missed, or answered as not run once a byte was sent.
    def test_deadline_in_each_part(self) -> None:
        self.plane.large_bodies._body_seconds = 5.0
        reply = self.open_slowly(len(LARGE), LARGE[:100], 1.7, LARGE[100:])
        self.expect(reply, 503, "not-run", 0)
        reply = self.open_slowly(len(LARGE), LARGE[:100_000], 1.0)
        self.expect(reply, 504, "unknown", 1)
        for status in self.plane.services.find(HOST, "/").traffic.describe(0.0):
            self.assertEqual(status.reason, "ready", "a slow caller counts against no server")

        def stall(upload: Upload) -> None:
            upload.read(lambda one: bool(one.head) and one.is_complete)
            upload.read(lambda one: False)

        self.set_act(stall)
        reply = self.upload(self.open(len(LARGE)), LARGE)
        self.assertEqual((reply.status, reply.outcome, len(self.uploads)), (504, "unknown", 2))

    def open_slowly(self, length: int, first: bytes, pause: float, rest: bytes = b""):  # type: ignore[no-untyped-def]
        connection = self.open(length)
        connection.sendall(first)
        eventlet.sleep(pause)
        return self.upload(connection, rest)

    # Guards against a body that is completed or kept in flight after its caller has left.
    def test_caller_disconnects(self) -> None:
        for sent, uploads in ((0, 0), (100, 0), (100_000, 1)):
            connection = self.open(len(LARGE))
            connection.sendall(LARGE[:sent])
            eventlet.sleep(0.1)
            connection.close()
            eventlet.sleep(0.2)
            self.assertEqual(len(self.uploads), uploads)
            self.assertTrue(all(one.is_closed for one in self.uploads))
            self.assertEqual(self.plane.forwarder.in_flight, 0)
        connection = self.open(len(LARGE))
        connection.sendall(LARGE)
        connection.close()
        eventlet.sleep(0.3)
        self.assertLessEqual(sum(one.is_complete for one in self.uploads), 1)


class BodyMemoryTest(LargeBodyTestCase):
    limits = Limits(body_seconds=2.0, large_body_bytes=2 * KEPT)

    # Guards against requests beyond the bound of memory, which must be refused at once.
    def test_a_request_beyond_the_memory_is_refused_at_once(self) -> None:
        held = [self.open(len(LARGE)) for _ in range(2)]
        eventlet.sleep(0.1)
        started = time.monotonic()
        reply = read_reply(self.open(len(LARGE)))
        self.assertLess(time.monotonic() - started, 0.2)
        self.assertEqual((reply.status, reply.outcome), (503, "not-run"))
        self.assertIn(b"body-memory", reply.body)
        for connection in held:
            self.assertEqual(self.upload(connection, LARGE).status, 200)
        self.assertEqual(self.upload(self.open(len(LARGE)), LARGE).status, 200)


if __name__ == "__main__":
    unittest.main()
