"""The memory and the turns of bodies on ordinary routes, and connections that send nothing."""

import socket
import unittest

import eventlet
from entry_harness import HOST, PROFILE, SHED, EntryTestCase, answer
from large_body_harness import make_chunk, read_reply

from persimmonusher_node.body_source import MAX_CHUNK_LINE_BYTES
from persimmonusher_node.body_waits import MIN_STALL_SECONDS, BodyWaits
from persimmonusher_node.callers import HEALTH_PATH
from persimmonusher_node.clock import SystemClock
from persimmonusher_node.held_memory import HeldMemory
from persimmonusher_node.listener import MIN_SILENCE_SECONDS, ListenerLimits
from persimmonusher_node.settings import Limits

MIB = 1_048_576
KEPT = 65_536
BODY = bytes(range(256)) * 800


class HeldBodiesTestCase(EntryTestCase):
    profile = PROFILE.model_copy(update={"max_body_bytes": 4 * MIB, "max_retries": 1})
    limits = Limits(large_body_bytes=4 * KEPT, held_bytes=MIB, body_seconds=8.0, connections=40)

    def setUp(self) -> None:
        self.addCleanup(self.check_memory)
        super().setUp()

    def check_memory(self) -> None:
        """Fail if a request has not freed its memory once its connection is closed."""
        eventlet.sleep(0.1)
        bodies = self.plane.large_bodies
        self.assertEqual((bodies.held.held_bytes, bodies.memory.held_bytes), (0, 0))

    def open(self, framing: str, path: str = "/x") -> socket.socket:
        connection = socket.create_connection(("127.0.0.1", self.listener.port), timeout=10)
        self.addCleanup(connection.close)
        connection.sendall(f"POST {path} HTTP/1.1\r\nHost: {HOST}\r\n{framing}\r\n\r\n".encode())
        return connection

    def stall(self, count: int, sent: int) -> list[socket.socket]:
        """Open connections whose bodies stop midway."""
        connections = [self.open(f"Content-Length: {sent + 1}") for _ in range(count)]
        self.addCleanup(connections.clear)
        for connection in connections:
            connection.sendall(b"x" * sent)
        eventlet.sleep(MIN_STALL_SECONDS + 0.1)
        return connections


class HeldBodiesTest(HeldBodiesTestCase):
    # Guards against a body above the kept size that is held whole, or changed on its way.
    def test_a_large_body_is_sent_on(self) -> None:
        self.assertEqual(self.call("POST", body=BODY).status, 200)
        self.assertEqual(self.ran[-1].body, BODY)
        self.assertEqual(self.plane.large_bodies.counts.sent_on, 1)

    # Guards against a body of which a part is gone being sent again, or its refusal being lost.
    def test_a_refused_large_body_is_refused_as_not_run(self) -> None:
        self.script(SHED)
        refused = self.call("POST", body=BODY)
        self.assertEqual((refused.status, refused.outcome, self.ran), (503, "not-run", []))

    # Guards against a refusal with a long body that is taken for an answer to pass on.
    def test_a_refusal_that_is_not_held_whole_goes_to_another_server(self) -> None:
        shed = answer(b"x" * 100_000, "503 Busy", "Persimmonusher-Not-Run: shed")
        memory = self.plane.large_bodies.held
        memory.held_bytes += MIB // 2
        for method in ("POST", "GET"):
            with self.subTest(method):
                self.servers[0].script[:] = self.servers[1].script[:] = [shed]
                refused = self.call(method)
                self.assertEqual((refused.status, refused.outcome), (503, "not-run"))
                self.assertEqual([server.script for server in self.servers], [[], []])
        memory.held_bytes -= MIB // 2
        self.assertEqual(self.plane.forwarder.in_flight, 0)

    # Guards against the same for a body that isn't sent again.
    def test_a_refusal_with_a_body_refuses_a_large_body(self) -> None:
        self.script(answer(b"busy", "503 Busy", "Persimmonusher-Not-Run: shed"))
        refused = self.call("POST", body=BODY)
        self.assertEqual((refused.status, refused.outcome), (503, "not-run"))

    # Guards against callers that stop midway and keep the memory from all others.
    def test_bodies_that_stop_arriving_give_way(self) -> None:
        for sent, count in ((KEPT - 1, 16), (KEPT + 1, 4)):
            with self.subTest(sent=sent):
                self.stall(count, sent)
                self.assertEqual(self.call("POST", body=b"x" * 60_000).status, 200)
                self.assertEqual(self.call("POST", body=BODY).status, 200)
        self.assertGreater(self.plane.large_bodies.waits.given_up, 0)

    # Guards against a refusal without its promise for a caller that had to give way.
    def test_a_body_that_gives_way_is_refused_as_not_run(self) -> None:
        stalled = self.stall(16, KEPT - 1)
        self.assertEqual(self.call("POST", body=b"x" * 60_000).status, 200)
        refused = read_reply(stalled[0])
        self.assertEqual((refused.status, refused.outcome), (408, "not-run"))

    # Guards against lines between chunks that are read without a limit.
    def test_a_line_of_a_chunk_has_a_limit(self) -> None:
        line = b"0" * MAX_CHUNK_LINE_BYTES + b"1"
        connection = self.open("Transfer-Encoding: chunked")
        connection.sendall(line)
        self.assertEqual(read_reply(connection).status, 400)

    # Guards against the same where an application doesn't read the body at all.
    def test_a_line_that_nobody_reads_has_a_limit(self) -> None:
        connection = self.open("Transfer-Encoding: chunked", HEALTH_PATH)
        self.assertEqual(read_reply(connection).status, 200)
        connection.sendall(b"0" * MAX_CHUNK_LINE_BYTES + b"1")
        self.assertEqual(connection.recv(1), b"")

    # Guards against a body that nobody reads being taken for the next request.
    def test_a_body_that_nobody_reads_is_passed_over(self) -> None:
        for framing, body in (
            ("Content-Length: 5", b"GET /"),
            ("Transfer-Encoding: chunked", make_chunk(b"GET /") + b"0\r\n\r\n"),
        ):
            with self.subTest(framing):
                connection = self.open(framing, HEALTH_PATH)
                connection.sendall(body)
                self.assertEqual(read_reply(connection).status, 200)
                connection.sendall(f"GET /x HTTP/1.1\r\nHost: {HOST}\r\n\r\n".encode())
                self.assertEqual(read_reply(connection).status, 200)

    # Guards against tiny chunks that reach the server one by one, or out of order.
    def test_tiny_chunks_arrive_whole(self) -> None:
        connection = self.open("Transfer-Encoding: chunked")
        chunks = b"".join(make_chunk(BODY[start : start + 2]) for start in range(0, 60_000, 2))
        connection.sendall(chunks + b"0\r\n\r\n")
        self.assertEqual(read_reply(connection).status, 200)
        self.assertEqual(self.ran[-1].body, BODY[:60_000])


class SilentConnectionsTest(HeldBodiesTestCase):
    # Guards against connections that send nothing and keep all others out.
    def test_a_connection_beyond_the_limit_replaces_a_silent_one(self) -> None:
        silent = [self.connect() for _ in range(self.limits.connections)]
        for connection in silent:
            connection.connect()
        self.assertEqual(self.call().status, 503)
        eventlet.sleep(MIN_SILENCE_SECONDS + 0.1)
        self.assertEqual(self.call().status, 200)
        self.assertEqual(self.call(connection=silent[-1]).status, 200)

    # Guards against a head that is kept until its end however long it is.
    def test_a_head_beyond_its_limit_is_refused_before_its_end(self) -> None:
        self.listener.replace_limits(ListenerLimits(head_bytes=16_384))
        connection = socket.create_connection(("127.0.0.1", self.listener.port), timeout=10)
        self.addCleanup(connection.close)
        connection.sendall(b"GET /x HTTP/1.1\r\n" + b"X: %s\r\n" % (b"x" * 1_000) * 25)
        self.assertEqual(read_reply(connection).status, 431)


class HeldMemoryTest(unittest.TestCase):
    # Guards against answers that nobody reads and that leave no memory for bodies.
    def test_answers_leave_room_for_bodies(self) -> None:
        memory = HeldMemory(BodyWaits(SystemClock()), 1_000)
        share = memory.open_share()
        self.assertTrue(share.take_for_answer(500))
        self.assertFalse(share.take_for_answer(1))
        self.assertTrue(share.take(500))
        self.assertFalse(share.take(1))
        share.release()
        share.release()
        self.assertEqual(memory.held_bytes, 0)


if __name__ == "__main__":
    unittest.main()
