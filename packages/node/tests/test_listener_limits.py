"""The caller limits of a routing document, applied to an entry's listener."""

import socket
import time
import unittest
from collections.abc import Callable, Iterable
from typing import Any

from persimmonusher_node import loop

loop.install()

from persimmonusher_model.routing import CallerLimits  # noqa: E402
from persimmonusher_node.listener import HttpListener, ListenerLimits  # noqa: E402
from persimmonusher_node.tiers.entry_daemon import apply_caller_limits  # noqa: E402

OWN = ListenerLimits(idle_seconds=5.0, head_seconds=5.0)
REQUEST = b"GET / HTTP/1.1\r\nHost: h.example\r\n"


def answer(environ: dict[str, Any], start: Callable[..., Any]) -> Iterable[bytes]:
    start("200 OK", [("Content-Length", "0")])
    return [b""]


class ListenerLimitsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.listener = HttpListener("127.0.0.1:0", answer, OWN)
        self.listener.start()
        self.addCleanup(self.listener.abort)
        self.addCleanup(self.listener.stop_accepting)

    def connect(self) -> socket.socket:
        connection = socket.create_connection(("127.0.0.1", self.listener.port), timeout=10.0)
        self.addCleanup(connection.close)
        return connection

    def limit(self, **values: Any) -> None:
        limits = {"head_bytes": 1_000, "body_bytes": 0, "head_seconds": 9.0, "idle_seconds": 9.0}
        self.listener.replace_limits(apply_caller_limits(OWN, CallerLimits(**{**limits, **values})))

    def test_a_long_head_is_refused_and_one_at_the_limit_is_not(self) -> None:
        self.limit(head_bytes=200)
        for spare, status in ((0, b"200"), (1, b"431")):
            with self.subTest(status=status):
                connection = self.connect()
                filler = 200 - len(REQUEST) - len(b"X: \r\n\r\n") + spare
                connection.sendall(REQUEST + b"X: " + b"x" * filler + b"\r\n\r\n")
                self.assertEqual(connection.recv(4_096).split()[1], status)

    def test_an_idle_connection_is_closed_after_the_document_s_time(self) -> None:
        self.limit(idle_seconds=0.2)
        connection = self.connect()
        connection.sendall(REQUEST + b"\r\n")
        self.assertIn(b"200 OK", connection.recv(4_096))
        began = time.monotonic()
        self.assertEqual(connection.recv(4_096), b"")
        self.assertLess(time.monotonic() - began, 2.0)

    # Guards against a raised limit that idle connections don't get, and callers rely on.
    def test_an_idle_connection_stays_open_for_a_raised_limit(self) -> None:
        self.limit(idle_seconds=0.3)
        connection = self.connect()
        connection.sendall(REQUEST + b"\r\n")
        self.assertIn(b"200 OK", connection.recv(4_096))
        self.limit(idle_seconds=3.0)
        time.sleep(0.6)
        connection.sendall(REQUEST + b"\r\n")
        self.assertIn(b"200 OK", connection.recv(4_096))

    def test_a_slow_head_gets_its_answer_after_the_document_s_time(self) -> None:
        self.limit(head_seconds=0.2)
        connection = self.connect()
        connection.sendall(REQUEST)
        self.assertEqual(connection.recv(4_096).split()[1], b"408")

    def test_a_document_never_widens_the_instance_s_own_limits(self) -> None:
        wide = CallerLimits(1_000_000, 0, 600.0, 600.0)
        self.assertEqual(apply_caller_limits(OWN, wide), OWN)


if __name__ == "__main__":
    unittest.main()
