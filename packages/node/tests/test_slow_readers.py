"""Callers of routes with large bodies that read their answers slowly or not at all."""

import socket
import unittest
from collections import Counter

import eventlet
from entry_harness import HOST
from large_body_harness import KEPT, LargeBodyTestCase, Upload, read_reply
from structlog.testing import capture_logs

from persimmonusher_node.settings import Limits

ANSWER = bytes(range(256)) * 2_160
"""540 KB."""
BODY = bytes(range(256)) * 1_440
"""360 KB."""
MIB = 1_048_576


def send_answer(upload: Upload) -> None:
    """Read the request and send a long answer."""
    upload.read(lambda one: bool(one.head) and one.is_complete)
    if not upload.is_closed:
        head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(ANSWER)}\r\n\r\n"
        upload.connection.sendall(head.encode() + ANSWER)


class SlowCallersTestCase(LargeBodyTestCase):
    def setUp(self) -> None:
        """Make the kernel's buffers so small that the entry itself must hold what isn't read."""
        super().setUp()
        self.listener._socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4_096)
        self.set_act(send_answer)

    def open_reader(self) -> socket.socket:
        connection = socket.socket()
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
        connection.settimeout(20)
        connection.connect(("127.0.0.1", self.listener.port))
        self.addCleanup(connection.close)
        connection.sendall(f"GET /down HTTP/1.1\r\nHost: {HOST}\r\n\r\n".encode())
        return connection


class SlowReadersTest(SlowCallersTestCase):
    # Guards against a server that is held up by a slow caller and aborts the answer.
    def test_the_entry_reads_on_from_the_server_within_its_bound(self) -> None:
        small = ANSWER[:200_000]

        def send_small(upload: Upload) -> None:
            upload.read(lambda one: bool(one.head))
            head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(small)}\r\n\r\n"
            upload.connection.sendall(head.encode() + small)
            upload.is_closed = True

        self.set_act(send_small)
        connection = self.open_reader()
        eventlet.sleep(0.3)
        self.assertTrue(self.uploads[0].is_closed, "the server is done")
        self.assertEqual(self.plane.forwarder.in_flight, 0)
        held = self.plane.large_bodies.memory.held_bytes
        self.assertTrue(150_000 < held <= 262_144, held)
        eventlet.sleep(1.0)
        self.assertEqual(read_reply(connection).body, small)

    # Guards against a caller that reads nothing and holds a server for as long as it likes.
    def test_an_answer_that_stays_unread_is_ended_with_a_reset(self) -> None:
        with capture_logs() as logs:
            connection = self.open_reader()
            eventlet.sleep(1.6)
        events = [line for line in logs if line["event"] == "answer-unread"]
        self.assertEqual(len(events), 1)
        self.assertEqual(self.plane.forwarder.in_flight, 0)
        self.assertEqual(self.plane.large_bodies.counts.answers_unread, 1)
        with self.assertRaises(ConnectionResetError):
            while self._read_below(connection) is not None:
                pass

    # Guards against a slow caller that is taken for one that reads nothing, and against a deadline
    # that cuts off an answer which only waits for its caller.
    def test_a_caller_that_reads_slowly_gets_the_whole_answer(self) -> None:
        connection = self.open_reader()
        received = b""
        while len(received) < len(ANSWER):
            received += connection.recv(8_192)
            eventlet.sleep(0.04)
        self.assertEqual(received.partition(b"\r\n\r\n")[2], ANSWER[: len(received)])


class ContendedMemoryTest(SlowCallersTestCase):
    limits = Limits(body_seconds=15.0)
    timeout_ms = 30_000
    peak = 0
    """The most bytes that the entry was seen to hold."""
    server_names = tuple(f"s{number}" for number in range(100))

    # Guards against memory that grows with the number of slow callers. Load pattern: 200 slow
    # senders and 200 slow readers at once, each with the largest body or answer.
    def test_four_hundred_slow_callers_are_served_within_the_bound(self) -> None:
        self.listener._socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 16_384)
        readers = []
        senders = []
        for _ in range(200):
            readers.append(eventlet.spawn(self.read_slowly))
            senders.append(eventlet.spawn(self.send_slowly))
            eventlet.sleep(0.01)
        self.assertEqual(Counter(thread.wait() for thread in readers), {200: 200})
        self.assertEqual(Counter(thread.wait() for thread in senders), {200: 200})
        self.assertTrue(400 * KEPT <= self.peak <= 32 * MIB, self.peak)

    def wait_for_all(self) -> None:
        """Wait until all callers have been at the entry at the same time, or for too long."""
        for _ in range(200):
            self.peak = max(self.peak, self.plane.large_bodies.memory.held_bytes)
            if self.peak >= 400 * KEPT:
                return
            eventlet.sleep(0.05)

    def send_slowly(self) -> int:
        connection = self.open(len(BODY))
        for start in range(0, len(BODY), 36_000):
            connection.sendall(BODY[start : start + 36_000])
            eventlet.sleep(0.2)
            self.wait_for_all()
        return int(read_reply(connection).status)

    def read_slowly(self) -> int:
        connection = self.open_reader()
        self.wait_for_all()
        reply = read_reply(connection)
        self.assertIn(len(reply.body), (0, len(ANSWER)), reply.body[:200])
        return int(reply.status)


if __name__ == "__main__":
    unittest.main()
