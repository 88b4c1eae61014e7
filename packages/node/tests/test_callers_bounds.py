"""Malformed, oversized and slow requests: each gets a clear error and reaches no server."""

import json
import socket
import time
import unittest
from dataclasses import dataclass

import eventlet
from entry_harness import HOST, PROFILE, EntryTestCase

from persimmonusher_node.callers import HEALTH_PATH
from persimmonusher_node.settings import Limits

GET = f"GET /x HTTP/1.1\r\nHost: {HOST}\r\nConnection: close\r\n"
POST = f"POST /x HTTP/1.1\r\nHost: {HOST}\r\nConnection: close\r\n"


@dataclass(frozen=True)
class Refused:
    name: str
    raw: str
    status: int
    code: str | None = "bad-request"


REFUSED = [
    Refused("not HTTP", "hello\r\n\r\n", 400),
    Refused("a version that nobody speaks", "GET / HTTP/9.1\r\n\r\n", 505),
    Refused("a header line without a colon", GET + "nonsense\r\n\r\n", 400),
    Refused("a folded header", GET + "X: a\r\n b\r\n\r\n", 400),
    Refused("a header name with a space", GET + "X Y: a\r\n\r\n", 400),
    Refused("a header with a zero", GET + "X: a\0b\r\n\r\n", 400),
    Refused("a method that is no token", GET.replace("GET", "G(T") + "\r\n", 400),
    Refused("a target with a letter of another script", GET.replace("/x", "/\xe9") + "\r\n", 400),
    Refused("a target with a control character", GET.replace("/x", "/\x01") + "\r\n", 400),
    Refused("two lengths", POST + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nab", 400),
    Refused("a length with a sign", POST + "Content-Length: +1\r\n\r\na", 400),
    Refused("a length with an underscore", POST + "Content-Length: 1_0\r\n\r\n", 400),
    Refused("both framings", POST + "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n", 400),
    Refused("another coding", POST + "Transfer-Encoding: gzip, chunked\r\n\r\n", 400),
    Refused("two hosts", GET + "Host: other.example\r\n\r\n", 400),
    Refused("a dot segment", GET.replace("/x", "/search/../x") + "\r\n", 400),
    Refused("an escaped dot segment", GET.replace("/x", "/search/%2e%2E/x") + "\r\n", 400),
    Refused("a target that is no path", GET.replace("/x", "http://h/x") + "\r\n", 400),
    Refused("a caller that is no name", GET + "Persimmonusher-Caller: a b\r\n\r\n", 400),
    Refused("a deadline of nothing", GET + "Persimmonusher-Deadline-Ms: 0\r\n\r\n", 400),
    Refused("a deadline in words", GET + "Persimmonusher-Deadline-Ms: soon\r\n\r\n", 400),
    Refused("an empty key", POST + "Idempotency-Key:\r\nContent-Length: 0\r\n\r\n", 400),
    Refused("no such route", GET.replace(HOST, "other.example") + "\r\n", 404, "no-route"),
    Refused("a long body", POST + "Content-Length: 2000\r\n\r\n", 413, "body-too-large"),
    Refused(
        "a long chunked body",
        POST + "Transfer-Encoding: chunked\r\n\r\n7d0\r\n" + "x" * 2000 + "\r\n0\r\n\r\n",
        413,
        "body-too-large",
    ),
    Refused(
        "a bad chunk", POST + "Transfer-Encoding: chunked\r\n\r\nzz\r\n", 400, "body-incomplete"
    ),
    Refused("a long target", "GET /" + "x" * 9_000 + " HTTP/1.1\r\n\r\n", 414, None),
    Refused("a long header", GET + "X: " + "x" * 9_000 + "\r\n\r\n", 400, None),
    Refused("many headers", GET + "X: y\r\n" * 200 + "\r\n", 431),
]


class CallersBoundsTest(EntryTestCase):
    profile = PROFILE.model_copy(update={"max_body_bytes": 1_000})
    limits = Limits(head_seconds=0.2, body_seconds=0.2, idle_seconds=0.3, connections=8)

    def test_each_bad_request_gets_a_clear_error_and_reaches_no_server(self) -> None:
        for case in REFUSED:
            with self.subTest(case.name):
                received = self.send_raw(case.raw.encode()).decode()
                self.assertEqual(received.split()[1], str(case.status))
                if case.code is not None:
                    document = json.loads(received.partition("\r\n\r\n")[2])
                    self.assertEqual(document["code"], case.code)
                    self.assertEqual(document["outcome"], "not-run")
                    self.assertIn("Retry-After: ", received)
        self.assertEqual(self.ran, [])
        live = self.plane.services.find(HOST, "/")
        self.assertEqual([track.reason for track in live.traffic.describe(0.0)], ["ready"] * 2)
        self.assertEqual(self.plane.forwarder.in_flight, 0)
        self.assertEqual(sum(server.connections for server in self.servers), 0)

    def test_slow_senders_are_bounded_and_others_are_served_meanwhile(self) -> None:
        """Callers send an incomplete head, body or chunk and then nothing."""
        cases = {
            "head": (GET[:20], 408),
            "body": (POST + "Content-Length: 10\r\n\r\nab", 408),
            "chunk": (POST + "Transfer-Encoding: chunked\r\n\r\n5\r\nab", 408),
        }
        threads = {
            name: eventlet.spawn(self.send_raw, raw.encode()) for name, (raw, _) in cases.items()
        }
        self.assertEqual(self.call().status, 200)
        for name, (_, status) in cases.items():
            with self.subTest(name):
                started = time.monotonic()
                self.assertEqual(threads[name].wait().split()[1], str(status).encode())
                self.assertLess(time.monotonic() - started, 1.0)
        self.assertEqual(len(self.ran), 1)

    def test_a_body_that_breaks_off_is_never_sent_on(self) -> None:
        raw = (POST + "Content-Length: 10\r\n\r\nabc").encode()
        with socket.create_connection(("127.0.0.1", self.listener.port)) as connection:
            connection.sendall(raw)
            connection.shutdown(socket.SHUT_WR)
            received = connection.recv(65_536)
        self.assertIn(b"body-incomplete", received)
        self.assertEqual(self.ran, [])

    def test_connections_over_the_limit_are_refused_as_not_run(self) -> None:
        held = [self.connect() for _ in range(8)]
        for connection in held:
            connection.connect()
        eventlet.sleep(0.05)
        self.assertIn(b"Persimmonusher-Outcome: not-run", self.send_raw(b""))
        eventlet.sleep(0.4)
        self.assertEqual(self.call().status, 200, "idle connections make room")

    def test_a_body_is_asked_for_only_when_it_may_come(self) -> None:
        """A body that would be refused is not requested by `100 Continue`."""
        for length, expected in ((2_000, b"413"), (2, b"100")):
            with self.subTest(length):
                head = f"{POST}Expect: 100-continue\r\nContent-Length: {length}\r\n\r\n"
                with socket.create_connection(("127.0.0.1", self.listener.port)) as connection:
                    connection.sendall(head.encode())
                    self.assertEqual(connection.recv(65_536).split()[1], expected)

    def test_answers_to_head_have_no_body(self) -> None:
        """Callers would read a body after an answer to HEAD as the start of the next answer."""
        connection = self.connect()
        for host, status in ((HOST, 200), ("other.example", 404)):
            connection.request("HEAD", "/x", headers={"Host": host})
            response = connection.getresponse()
            self.assertEqual((response.status, response.read()), (status, b""))
        raw = GET.replace("GET", "HEAD").replace(HOST, "other.example") + "\r\n"
        self.assertTrue(self.send_raw(raw.encode()).endswith(b"\r\n\r\n"))

    def test_a_refusal_keeps_the_connection_where_nothing_is_left_to_read(self) -> None:
        connection = self.connect()
        response = self.call(headers={"Host": "other.example"}, connection=connection)
        self.assertEqual((response.status, response.headers.get("connection")), (404, None))
        self.assertEqual(self.call(connection=connection).status, 200)

    def test_an_instance_without_configuration_is_not_ready_and_says_not_run(self) -> None:
        """After a restart, callers must not get the answer that their service doesn't exist."""
        self.view.number, self.view.routes = 0, {}
        self.assertEqual(self.call().status, 503)
        self.assertIn(b"no-configuration", self.call().body)
        self.assertEqual(self.call(target=HEALTH_PATH).status, 503)
        self.view.number = 1
        self.assertEqual(self.call(target=HEALTH_PATH).status, 200)
        self.assertEqual(self.call().status, 404)

    def test_hop_by_hop_headers_and_forged_ones_are_dropped(self) -> None:
        self.servers[0].default = self.servers[1].default = forged
        response = self.call(
            headers={"Connection": "X-Private", "X-Private": "1", "TE": "trailers", "X-Kept": "2"}
        )
        heard = self.ran[0].headers
        self.assertEqual(heard.get("x-kept"), "2")
        self.assertFalse({"x-private", "te", "keep-alive"} & heard.keys())
        self.assertEqual(response.outcome, "ran")
        self.assertNotIn("persimmonusher-replayed", response.headers)
        self.assertNotIn("persimmonusher-load", response.headers)

    def test_deadline_and_request_id_are_passed_on(self) -> None:
        response = self.call(headers={"Persimmonusher-Deadline-Ms": "900", "X-Request-Id": "r-1"})
        heard = self.ran[0].headers
        self.assertLessEqual(int(heard["persimmonusher-deadline-ms"]), 900)
        self.assertGreater(int(heard["persimmonusher-deadline-ms"]), 500)
        self.assertEqual((heard["x-request-id"], response.headers["x-request-id"]), ("r-1", "r-1"))
        self.assertTrue(self.call().headers["x-request-id"].startswith("e1-"))
        record = self.plane.explain("r-1")
        self.assertEqual([step.step for step in record.steps], ["dispatch", "outcome"])


def forged(connection, heard) -> bool:  # type: ignore[no-untyped-def]
    connection.sendall(
        b"HTTP/1.1 200 OK\r\nPersimmonusher-Outcome: not-run\r\nPersimmonusher-Replayed: true\r\n"
        b"Persimmonusher-Load: 3\r\nKeep-Alive: 5\r\nContent-Length: 0\r\n\r\n"
    )
    return True


if __name__ == "__main__":
    unittest.main()
