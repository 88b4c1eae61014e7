"""Whole answers to the right caller, over reused connections."""

import contextlib
import socket
import struct
import unittest
from http.client import HTTPException

import eventlet
from entry_harness import (
    HOST,
    PROFILE,
    Behaviour,
    CallerAnswer,
    EntryTestCase,
    Heard,
    answer,
    send,
    stall,
)

from persimmonusher_node.dialect import Dialect
from persimmonusher_node.settings import Limits

OK_HEAD = b"HTTP/1.1 200 OK\r\n"


def echo(connection, heard) -> bool:  # type: ignore[no-untyped-def]
    """Answer with the request's target and id."""
    request_id = heard.headers["x-request-id"]
    return answer(heard.target.encode(), "200 OK", f"X-Request-Id: {request_id}")(connection, heard)


def plain_echo(connection, heard) -> bool:  # type: ignore[no-untyped-def]
    """Answer with the request's target only."""
    return answer(heard.target.encode())(connection, heard)


def echo_twice(connection, heard) -> bool:  # type: ignore[no-untyped-def]
    """Answer, and send the same answer again a little later."""

    def again() -> None:
        with contextlib.suppress(OSError):
            echo(connection, heard)

    eventlet.spawn_after(0.02, again)
    return echo(connection, heard)


def unframed(body: bytes, reset: bool) -> Behaviour:
    """Answer without a length; end the connection by a close or by a reset."""

    def act(connection: socket.socket, heard: Heard) -> bool:
        request_id = heard.headers["x-request-id"].encode()
        connection.sendall(OK_HEAD + b"X-Request-Id: " + request_id + b"\r\n\r\n" + body)
        eventlet.sleep(0.05)
        if reset:
            linger = struct.pack("ii", 1, 0)
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        return False

    return act


class UnframedAnswersTest(EntryTestCase):
    server_names = ("s1",)
    dialect = Dialect(accepts_unframed=True)

    def test_an_answer_that_was_reset_on_the_way_is_not_taken_for_whole(self) -> None:
        """A server crashes in the middle of an answer that ends with its connection.

        Its kernel resets the connection. Eventlet's sockets report a reset as a normal end of
        stream, so that a part of the answer would look like the whole of it.
        """
        for size in (10, 10_000, 2_000_000):
            with self.subTest(size):
                self.servers[0].default = unframed(b"x" * size, reset=False)
                response = self.call()
                self.assertEqual((response.status, len(response.body)), (200, size))
                self.servers[0].default = unframed(b"x" * size, reset=True)
                with contextlib.suppress(HTTPException, OSError):
                    response = self.call("POST")
                    self.assertEqual((response.status, response.outcome), (502, "unknown"))

    # Guards against an answer without a length that the deadline cuts off and that looks whole.
    def test_an_answer_that_the_deadline_cut_off_is_not_taken_for_whole(self) -> None:
        def send_slowly(connection: socket.socket, heard: object) -> bool:
            connection.sendall(b"HTTP/1.1 200 OK\r\n\r\n")
            for _ in range(20):
                connection.sendall(b"part")
                eventlet.sleep(0.05)
            return False

        self.script(send_slowly)
        answer = self.call(headers={"Persimmonusher-Deadline-Ms": "400"})
        self.assertEqual((answer.status, answer.outcome), (504, "unknown"))


class RightCallerTest(EntryTestCase):
    server_names = ("s1",)

    def test_doubled_answers_never_reach_the_next_request(self) -> None:
        """Guards against a caller getting the answer to another caller's request.

        The server answers a request twice. The second copy arrives on the pooled connection, before
        or after the next request is written there, and would be read as the answer to that one.
        """
        for pause in (0.0, 0.01, 0.02, 0.05):
            with self.subTest(pause=pause):
                self.servers[0].default = echo_twice
                for number in range(8):
                    response = self.call(target=f"/rank/{pause}/{number}")
                    eventlet.sleep(pause)
                    if response.status == 200:
                        self.assertEqual(response.body.decode(), f"/rank/{pause}/{number}")

    def test_an_answer_that_came_after_its_deadline_is_not_given_to_the_next(self) -> None:
        """An answer arrives after its caller got a time-out."""
        self.servers[0].default = echo
        self.script(stall(0.2, echo))
        late = self.call(target="/late", headers={"Persimmonusher-Deadline-Ms": "100"})
        self.assertEqual((late.status, late.outcome), (504, "unknown"))
        eventlet.sleep(0.05)
        self.assertEqual(self.call(target="/next").body, b"/next")
        eventlet.sleep(0.15)
        self.assertEqual(self.call(target="/third").body, b"/third")

    def test_a_connection_that_owes_an_answer_is_never_used_again(self) -> None:
        """As above, but the server echoes no id and the next request precedes the late answer."""
        self.servers[0].default = plain_echo
        self.script(stall(0.3, plain_echo))
        headers = {"Persimmonusher-Deadline-Ms": "100"}
        self.assertEqual(self.call(target="/late", headers=headers).status, 504)
        for number in range(5):
            self.assertEqual(self.call(target=f"/{number}").body, b"/%d" % number)

    def test_many_callers_at_once_each_get_their_own_answer(self) -> None:
        """Answers come out of order: the server answers later requests sooner."""
        self.servers[0].script[:] = [stall(0.002 * (40 - n), echo) for n in range(40)]
        threads = [eventlet.spawn(self.call, "GET", f"/many/{n}") for n in range(40)]
        for number, thread in enumerate(threads):
            response: CallerAnswer = thread.wait()
            if response.status == 200:
                self.assertEqual(response.body.decode(), f"/many/{number}")
            else:
                self.assertEqual(response.outcome, "not-run")

    def test_a_kept_connection_that_the_server_closed_costs_no_request(self) -> None:
        """The server closes connections just after its answer, without announcing it.

        A request written to such a connection would be lost, and a non-idempotent one answered
        `unknown` without need, so no request may be written to it.
        """
        for _ in range(5):
            self.script(answer(b"bye", close=True))
            self.assertEqual(self.call("POST", body=b"a").status, 200)
            eventlet.sleep(0.01)
        self.assertEqual(len(self.ran), 5)

    def test_connections_to_callers_and_servers_are_reused(self) -> None:
        connection = self.connect()
        for number in range(10):
            self.assertEqual(
                self.call("POST", body=b"%d" % number, connection=connection).status, 200
            )
        self.assertEqual(self.servers[0].connections, 1)

    def test_pipelined_requests_are_answered_in_their_order(self) -> None:
        self.script(stall(0.05, echo), echo)
        request = f"GET /%d HTTP/1.1\r\nHost: {HOST}\r\n%s\r\n"
        received = self.send_raw(
            (request % (1, "") + request % (2, "Connection: close\r\n")).encode()
        )
        self.assertLess(received.index(b"\r\n\r\n/1"), received.index(b"\r\n\r\n/2"))

    def test_requests_sent_ahead_by_a_caller_that_left_are_not_run(self) -> None:
        """A caller sends two more lookups before the first is answered, and then disconnects.

        The end of a connection is visible only after all earlier bytes are read. Without reading
        ahead, servers would run both lookups long after the caller left.
        """
        self.script(*[stall(0.3, plain_echo)] * 3)
        request = f"GET /%d HTTP/1.1\r\nHost: {HOST}\r\n\r\n"
        with socket.create_connection(("127.0.0.1", self.listener.port)) as connection:
            connection.sendall((request % 1).encode())
            eventlet.sleep(0.05)
            connection.sendall((request % 2 + request % 3).encode())
            eventlet.sleep(0.05)
        eventlet.sleep(0.8)
        self.assertEqual([heard.target for heard in self.ran], ["/1"])
        self.assertIn("caller-left", self.observer.finished[-1].record.result)

    def test_a_request_behind_the_last_answer_does_not_cut_that_answer_off(self) -> None:
        """An instance stops after a caller has sent its next lookup behind the one in progress.

        The answer in progress closes the connection, and the unread lookup is for the caller to
        send again elsewhere. If the connection were closed with unread bytes, the kernel would send
        a reset that overtakes the answer.
        """
        self.script(answer(b"first" * 400_000), echo)
        request = f"GET /%d HTTP/1.1\r\nHost: {HOST}\r\n\r\n"
        self.listener.close_after_answers()
        with socket.create_connection(("127.0.0.1", self.listener.port)) as connection:
            connection.sendall((request % 1).encode())
            eventlet.sleep(0.2)
            connection.sendall((request % 2).encode())
            eventlet.sleep(0.1)
            received = b""
            while (data := self._read_below(connection)) is not None:
                received += data
        self.assertEqual(received.count(b"Connection: close"), 1)
        self.assertTrue(received.endswith(b"first"))
        self.assertEqual([heard.target for heard in self.ran], ["/1"])

    def test_a_caller_that_left_gets_its_entry_stored_and_its_lookup_cancelled(self) -> None:
        """A caller loses its connection while its request is running.

        A non-idempotent request must run to its end, and its outcome must be kept for the resend. A
        lookup is cancelled, so that the server can stop working on it.
        """
        self.script(stall(0.3, answer(b"lodged")))
        self.leave("POST", "Idempotency-Key: k1\r\n")
        eventlet.sleep(0.4)
        response = self.call("POST", "/x", headers={"Idempotency-Key": "k1"})
        self.assertEqual((response.status, response.body), (200, b"lodged"))
        self.assertEqual(response.headers["persimmonusher-replayed"], "true")
        self.assertEqual(len(self.ran), 1)

        self.script(stall(1.0, answer()))
        self.leave("GET")
        eventlet.sleep(0.3)
        self.assertEqual(self.plane.forwarder.in_flight, 0)
        self.assertIn("caller-left", self.observer.finished[-1].record.result)

    def leave(self, method: str, header: str = "") -> None:
        raw = f"{method} /x HTTP/1.1\r\nHost: {HOST}\r\n{header}Content-Length: 0\r\n\r\n"
        with socket.create_connection(("127.0.0.1", self.listener.port)) as connection:
            connection.sendall(raw.encode())
            eventlet.sleep(0.1)


class LongAnswersTest(EntryTestCase):
    server_names = ("s1",)
    limits = Limits(buffered_answer_bytes=16_384)

    def test_a_long_answer_streams_whole(self) -> None:
        body = bytes(range(256)) * 1_000
        chunks = b"".join(
            b"%x\r\n%s\r\n" % (256, body[i : i + 256]) for i in range(0, len(body), 256)
        )
        framings = {
            "length": answer(body),
            "chunks": send(OK_HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + chunks + b"0\r\n\r\n"),
        }
        for name, behaviour in framings.items():
            with self.subTest(name):
                self.script(behaviour)
                response = self.call()
                self.assertEqual((response.status, response.body == body), (200, True))
        eventlet.sleep(0.05)
        self.assertEqual(self.plane.forwarder.in_flight, 0)

    def test_a_long_answer_that_is_cut_off_is_cut_off_towards_the_caller(self) -> None:
        """The server breaks off after the head and a part of the answer were passed on.

        An error answer is not possible any more, so a reset must show that the answer is not whole.
        """
        half = b"x" * 20_000
        framings = {
            "length": OK_HEAD + b"Content-Length: 100000\r\n\r\n" + half,
            "chunks": OK_HEAD + b"Transfer-Encoding: chunked\r\n\r\n4e20\r\n" + half + b"\r\n",
        }
        for name, raw in framings.items():
            for version in ("1.1", "1.0"):
                with self.subTest(name, version=version):
                    self.script(send(raw))
                    request = f"GET / HTTP/{version}\r\nHost: {HOST}\r\n\r\n".encode()
                    with self.assertRaises(ConnectionResetError):
                        self.send_raw(request)
        eventlet.sleep(0.05)
        self.assertEqual(self.plane.forwarder.in_flight, 0)

    def test_a_caller_that_leaves_a_long_answer_frees_its_place(self) -> None:
        body = b"y" * 20_000_000
        self.script(answer(body))
        with socket.create_connection(("127.0.0.1", self.listener.port)) as connection:
            connection.sendall(f"GET / HTTP/1.1\r\nHost: {HOST}\r\n\r\n".encode())
            connection.recv(10)
        eventlet.sleep(0.3)
        self.assertEqual(self.plane.forwarder.in_flight, 0)


class HedgingTest(EntryTestCase):
    profile = PROFILE.model_copy(
        update={"hedge_after_ms": 30, "retry_budget_percent": 50, "max_retries": 1}
    )

    def test_a_slow_lookup_is_answered_by_a_second_copy(self) -> None:
        """One server hangs on a lookup; the caller gets the other server's answer."""
        for server in self.servers:
            server.script[:] = [stall(1.0, answer(b"slow"))]
            response = self.call(target=f"/h/{server.name}")
            self.assertEqual((response.status, response.body), (200, b"ok"))
            server.script.clear()
        eventlet.sleep(0.05)
        self.assertEqual(self.plane.forwarder.in_flight, 0)
        statuses = self.plane.services.find(HOST, "/").traffic.describe(0.0)
        self.assertEqual([status.outstanding for status in statuses], [0, 0])

    def test_a_copy_counts_as_an_attempt_whichever_fails_last(self) -> None:
        """A lookup is sent to two servers, and the copy fails before the original."""
        failed = answer(b"", "500 Failed")
        delays = [0.15]

        def fail(connection, heard) -> bool:  # type: ignore[no-untyped-def]
            delay = delays.pop() if delays else 0.0
            return stall(delay, failed)(connection, heard)

        for server in self.servers:
            server.default = fail
        self.assertEqual(self.call(target="/twice").status, 500)
        self.assertEqual(len(self.ran), 2)

    def test_work_that_is_not_idempotent_is_never_copied(self) -> None:
        for server in self.servers:
            server.script[:] = [stall(0.15, answer(b"slow"))]
        self.assertEqual(self.call("POST", body=b"entry").body, b"slow")
        self.assertEqual(len(self.ran), 1)

    def test_where_one_copy_breaks_and_the_other_is_shed_not_run_is_not_claimed(self) -> None:
        """Both copies of a lookup fail; one of them may have run."""
        shed = answer(b"", "503 Busy", "Persimmonusher-Not-Run: shed")
        for server in self.servers:
            server.script[:] = [stall(0.1, send(b"")), shed, shed, shed]
        response = self.call()
        self.assertEqual(response.outcome, "unknown")


if __name__ == "__main__":
    unittest.main()
