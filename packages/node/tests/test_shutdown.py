"""A graceful stop, also of a real process, cuts off no request in flight."""

import itertools
import json
import os
import signal
import socket
import subprocess
import sys
import time
import unittest
from collections import Counter
from http.client import HTTPConnection
from pathlib import Path

import eventlet
from entry_harness import (
    PROFILE,
    SHED,
    CallerAnswer,
    EntryTestCase,
    Heard,
    ScriptedServer,
    answer,
    read_answer,
    stall,
)
from lone_instance import HOST
from stopping_entry import StoppingEntryTestCase

from persimmonusher_node.clock import SystemClock
from persimmonusher_node.dialect import OWN_DIALECT
from persimmonusher_node.listener import HttpListener
from persimmonusher_node.protocol import LAST_REQUEST_SECONDS
from persimmonusher_node.settings import Limits, Listeners, Settings
from persimmonusher_node.shutdown import StopSignal

DEADLINE = OWN_DIALECT.deadline
SCRIPT = Path(__file__).with_name("lone_instance.py")
NUMBERS = itertools.count(1)
LIMITS = Limits(head_seconds=1.0, body_seconds=1.0, write_seconds=1.0)


PORTS = {"callers": 8080, "announcements": 8081, "peers": 7000, "operators": 7001, "metrics": 9100}


def choose_listeners(number: int) -> Listeners:
    """Return listeners on a loopback address that no other test process uses."""
    pid = os.getpid()
    host = f"127.{16 + pid % 200}.{pid // 200 % 250}.{number}"
    return Listeners(**{name: f"{host}:{port}" for name, port in PORTS.items()})


def send_endlessly(connection: socket.socket, heard: Heard) -> bool:
    """Send chunks until the connection ends."""
    connection.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
    while True:
        connection.sendall(b"1000\r\n" + bytes(0x1000) + b"\r\n")


class AcceptQueueTest(EntryTestCase):
    def test_a_request_in_the_kernels_queue_is_answered(self) -> None:
        """A caller connects and sends a request, and the listener closes before it accepts.

        Closing a listening socket resets the connections that wait in its queue.
        """
        plain = eventlet.patcher.original("socket")
        with plain.create_connection(("127.0.0.1", self.listener.port)) as caller:
            caller.sendall(
                f"POST /e HTTP/1.1\r\nHost: {HOST}\r\nContent-Length: 0\r\n\r\n".encode()
            )
            self.listener.stop_accepting()
            eventlet.sleep(0.1)
            caller.settimeout(5.0)
            self.assertTrue(caller.recv(65_536).startswith(b"HTTP/1.1 200 "))
        self.assertEqual(len(self.ran), 1)


class LateRequestTest(StoppingEntryTestCase):
    # Guards against accepting a request that the end of the stop would cut off.
    def test_a_request_for_which_no_time_is_left_is_refused_at_once(self) -> None:
        self.script(stall(0.8, answer(b"first")), stall(2.0, answer(b"second")))
        stop = self.make_stop(1.5)
        first = eventlet.spawn(self.call, "POST", "/1")
        eventlet.sleep(0.1)
        connection = self.connect_unaccepted()
        stopping = eventlet.spawn(stop.run)
        self.assertEqual(first.wait().body, b"first")
        reply = self.call("POST", "/2", connection=connection)
        self.assertEqual((reply.status, reply.outcome), (503, "not-run"))
        self.assertEqual([heard.target for heard in self.ran], ["/1"])
        self.assertTrue(stopping.wait())

    def connect_unaccepted(self) -> HTTPConnection:
        """Return a connection that waits until the listener accepts it as it closes."""
        accepting = self.listener._thread
        assert accepting is not None
        accepting.kill()
        connection = self.connect()
        connection.connect()
        return connection

    # Guards against a request that is passed on although the stop may end before its answer comes.
    def test_a_request_that_may_outlast_the_stop_is_not_passed_on(self) -> None:
        self.script(stall(2.0, answer(b"too late")))
        connection = self.connect()
        connection.connect()
        eventlet.sleep(0.05)
        self.plane.forwarder.begin_stop(1.5, time.monotonic())
        self.plane.forwarder.stop.is_closed = True
        reply = self.call("POST", "/1", headers={DEADLINE: "8000"}, connection=connection)
        self.assertEqual((reply.status, reply.outcome), (503, "not-run"))
        self.assertEqual(self.ran, [])

    # Guards against a further attempt that the stop is about to cut off, its outcome unknown.
    def test_a_refused_request_is_not_tried_again_when_the_stop_is_nearly_over(self) -> None:
        self.servers.append(self.add_server("s2"))
        acts = [stall(0.9, SHED), stall(5.0, answer(b"too late"))]
        arrived: list[str] = []

        def act(connection: socket.socket, heard: Heard) -> bool:
            arrived.append(heard.target)
            return acts[len(arrived) - 1](connection, heard)

        for server in self.servers:
            server.default = act
        waiting = eventlet.spawn(self.call, "POST", "/1")
        eventlet.sleep(0.05)
        self.assertTrue(self.make_stop(1.3).run())
        reply = waiting.wait()
        self.assertEqual((reply.status, reply.outcome), (503, "not-run"))
        self.assertIn(b'"code": "stopping"', reply.body)
        self.assertEqual(arrived, ["/1"])

    # Guards against refusing a request for which the stop leaves all the time that it may take.
    def test_a_request_that_ends_before_the_stop_is_passed_on(self) -> None:
        self.script(answer(b"in time"))
        self.plane.forwarder.begin_stop(1.5, time.monotonic())
        self.plane.forwarder.stop.is_closed = True
        reply = self.call("POST", "/1", headers={DEADLINE: "1000"})
        self.assertEqual(reply.body, b"in time")


class AnnouncedCloseTest(StoppingEntryTestCase):
    # Guards against an answer that promises, after the signal, to keep its connection open.
    def test_an_answer_written_during_a_stop_announces_the_close(self) -> None:
        self.script(stall(0.4, answer(b"lodged")))
        waiting = eventlet.spawn(self.call, "POST", "/1")
        eventlet.sleep(0.1)
        stopping = eventlet.spawn(self.make_stop(3.0).run)
        reply = waiting.wait()
        self.assertEqual((reply.body, reply.headers.get("connection")), (b"lodged", "close"))
        self.assertTrue(stopping.wait())


class UnusedConnectionTest(EntryTestCase):
    # Guards against a stop that closes, before the listener, a connection opened after the signal.
    def test_a_connection_opened_during_a_stop_may_be_used_until_the_listener_closes(self) -> None:
        self.script(answer(b"lodged"))
        self.listener.close_after_answers()
        connection = self.connect()
        connection.connect()
        eventlet.sleep(LAST_REQUEST_SECONDS + 0.3)
        connection.auto_open = 0
        self.assertEqual(self.call("POST", "/1", connection=connection).body, b"lodged")


class SwallowedRequestTest(StoppingEntryTestCase):
    # Guards against a reset instead of an answer for a request that a server never answers.
    def test_a_request_that_outlasts_the_stop_is_answered(self) -> None:
        self.script(stall(10.0, answer(b"never")))
        stop = self.make_stop(0.8)
        swallowed = eventlet.spawn(self.call, "GET", "/search")
        eventlet.sleep(0.1)
        self.assertFalse(stop.run())
        reply = swallowed.wait()
        self.assertEqual((reply.status, reply.outcome), (504, "unknown"))


class BusyProcessTest(StoppingEntryTestCase):
    # Guards against a stop that ends after the supervisor kills the process, which was busy before.
    def test_a_stop_counts_its_time_from_the_signal(self) -> None:
        self.script(stall(10.0, answer(b"never")))
        signal_event = StopSignal(SystemClock())
        waiting = eventlet.spawn(self.call, "GET", "/search")
        eventlet.sleep(0.1)
        signalled_at = time.monotonic()
        signal_event.request()
        eventlet.patcher.original("time").sleep(0.6)
        self.assertFalse(self.make_stop(1.0).run(signal_event.wait()))
        self.assertLess(time.monotonic() - signalled_at, 1.0 + 0.3)
        self.assertEqual(waiting.wait().status, 504)


class SplitRequestTest(EntryTestCase):
    # Guards against a close of idle connections that cuts a request of which a part has arrived.
    def test_a_request_that_begins_to_arrive_as_the_listener_closes_is_read_whole(self) -> None:
        plain = eventlet.patcher.original("socket")
        accept_last = self.listener._accept_pending
        with plain.create_connection(("127.0.0.1", self.listener.port)) as caller:
            eventlet.sleep(0.1)

            def send_head_after_the_last_accept() -> None:
                self.listener._accept_pending = accept_last  # type: ignore[method-assign]
                accept_last()
                caller.sendall(
                    f"POST /e HTTP/1.1\r\nHost: {HOST}\r\nContent-Length: 4\r\n\r\n".encode()
                )

            self.listener._accept_pending = send_head_after_the_last_accept  # type: ignore[method-assign]
            self.listener.stop_accepting()
            eventlet.sleep(0.1)
            caller.sendall(b"body")
            eventlet.sleep(0.1)
            caller.settimeout(5.0)
            self.assertTrue(caller.recv(65_536).startswith(b"HTTP/1.1 200 "))
        self.assertEqual([heard.body for heard in self.ran], [b"body"])

    # Guards against a 400, which is final, for a body that the stop itself kept from arriving.
    def test_a_request_cut_by_the_close_of_idle_connections_is_refused_as_not_run(self) -> None:
        plain = eventlet.patcher.original("socket")
        with plain.create_connection(("127.0.0.1", self.listener.port)) as caller:
            eventlet.sleep(0.1)
            self.listener.stop_accepting()
            caller.sendall(
                f"POST /e HTTP/1.1\r\nHost: {HOST}\r\nContent-Length: 4\r\n\r\nbo".encode()
            )
            eventlet.sleep(0.1)
            caller.settimeout(5.0)
            received = caller.recv(65_536)
        self.assertTrue(received.startswith(b"HTTP/1.1 503 "), received)
        self.assertIn(b'"code": "stopping"', received)
        self.assertEqual(self.ran, [])

    # Guards against running a request of whose head the stop itself kept a part from arriving.
    def test_a_request_whose_head_is_cut_by_the_close_is_refused_as_not_run(self) -> None:
        for part in (
            "PO",
            f"POST /e HTTP/1.1\r\nHost: {HOST}\r\n",
            f"GET /search HTTP/1.1\r\nHost: {HOST}\r\nX-A: 1",
        ):
            with self.subTest(part=part):
                received = self.send_after_the_close(part.encode())
                self.assertTrue(received.startswith(b"HTTP/1.1 503 "), received)
                self.assertIn(b'"code": "stopping"', received)
                self.assertEqual(self.ran, [])

    def send_after_the_close(self, data: bytes) -> bytes:
        """Send bytes on a connection just shut for reading by the close; return the answer."""
        listener = self.add_listener()
        plain = eventlet.patcher.original("socket")
        with plain.create_connection(("127.0.0.1", listener.port)) as caller:
            eventlet.sleep(0.1)
            listener.stop_accepting()
            caller.sendall(data)
            eventlet.sleep(0.1)
            caller.settimeout(5.0)
            received: bytes = caller.recv(65_536)
        return received

    def add_listener(self) -> HttpListener:
        """Return a further listener of the entry, as one can be closed only once."""
        listener = HttpListener("127.0.0.1:0", self.plane.application)
        listener.start()
        self.addCleanup(listener.abort)
        return listener


class CutAnswerTest(StoppingEntryTestCase):
    # Guards against an answer that a stop cuts off and that looks whole to an HTTP/1.0 caller.
    def test_an_answer_without_length_that_a_stop_cuts_off_ends_with_a_reset(self) -> None:
        self.script(send_endlessly)
        plain = eventlet.patcher.original("socket")
        with plain.create_connection(("127.0.0.1", self.listener.port)) as caller:
            caller.sendall(f"GET /search HTTP/1.0\r\nHost: {HOST}\r\n\r\n".encode())
            eventlet.sleep(0.3)
            self.assertFalse(self.make_stop(0.5).run())
            eventlet.sleep(0.1)
            caller.settimeout(5.0)
            with self.assertRaises(ConnectionResetError):
                while caller.recv(65_536):
                    pass


class SentAheadTest(EntryTestCase):
    server_names = ("s1",)

    # Guards against a stop that drops a request that was read before the signal.
    def test_a_request_that_was_sent_ahead_before_the_signal_is_answered(self) -> None:
        self.script(stall(0.5, answer(b"first")), answer(b"second"))
        plain = eventlet.patcher.original("socket")
        request = f"POST /e HTTP/1.1\r\nHost: {HOST}\r\nContent-Length: 0\r\n\r\n".encode()
        with plain.create_connection(("127.0.0.1", self.listener.port)) as caller:
            caller.sendall(2 * request)
            eventlet.sleep(0.3)
            self.listener.close_after_answers()
            eventlet.sleep(0.5)
            caller.settimeout(5.0)
            received = b""
            while data := caller.recv(65_536):
                received += data
        self.assertEqual(received.count(b"HTTP/1.1 200 "), 2)


class AcceptGapTest(EntryTestCase):
    def test_no_caller_is_let_in_between_the_last_accept_and_the_close(self) -> None:
        """A caller connects and sends a request just after the stop's last accept.

        The close that follows would reset the connection, and the caller couldn't know whether its
        request ran. The request must be answered, or the connection never be made.
        """
        plain = eventlet.patcher.original("socket")
        accept_last = self.listener._accept_pending
        address = ("127.0.0.1", self.listener.port)
        connected = []

        def connect_after_the_last_accept() -> None:
            accept_last()
            try:
                connected.append(plain.create_connection(address, 0.3))
            except (TimeoutError, ConnectionRefusedError):
                return

        self.listener._accept_pending = connect_after_the_last_accept  # type: ignore[method-assign]
        self.listener.stop_accepting()
        self.assertEqual(connected, [])

    def test_callers_that_come_after_the_close_are_refused(self) -> None:
        plain = eventlet.patcher.original("socket")
        port = self.listener.port
        self.listener.stop_accepting()
        with self.assertRaises(ConnectionRefusedError):
            plain.create_connection(("127.0.0.1", port), 3.0)


class LastAnswerTest(EntryTestCase):
    # Guards against a connection that is answered late in a stop and prolongs it by staying open.
    def test_a_connection_that_is_answered_late_in_the_stop_is_not_kept(self) -> None:
        self.script(stall(1.5, answer(b"lodged late")))
        connection = self.connect()
        slow = eventlet.spawn(self.call, "POST", body=b"slow", connection=connection)
        eventlet.sleep(0.1)
        self.listener.stop_accepting()
        self.assertEqual(slow.wait().body, b"lodged late")
        answered = time.monotonic()
        self.listener.wait_until_idle(lambda: time.monotonic() - answered > 4.0)
        self.assertLess(time.monotonic() - answered, 1.5)


class ShutdownTest(unittest.TestCase):
    def setUp(self) -> None:
        listen = choose_listeners(next(NUMBERS))
        settings = Settings(
            instance_id="e1",
            failure_domain="a",
            listen=listen,
            peer_token="secret",
            log_level="error",
            stop_delay_seconds=0.3,
            limits=LIMITS,
        )
        self.listen = listen
        self.process = subprocess.Popen(
            [sys.executable, str(SCRIPT), settings.model_dump_json(), PROFILE.model_dump_json()]
        )
        self.addCleanup(self.process.kill)
        self.server = ScriptedServer("s1")
        self.addCleanup(self.server.stop)
        self.wait_until(lambda: self.read_health() == 200)
        self.announce()

    def announce(self) -> None:
        server = self.server.announce()
        document = {
            "server_id": server.server_id,
            "service": server.service,
            "address": server.address,
            "failure_domain": server.failure_domain,
            "slots": 64,
            "boot_id": 1,
            "sequence": 1,
            "state": "ready",
        }
        connection = self.open(self.listen.announcements)
        connection.request("POST", "/announce", json.dumps(document))
        self.assertEqual(json.loads(connection.getresponse().read())["taken"], True)

    def open(self, address: str) -> HTTPConnection:
        host, _, port = address.rpartition(":")
        connection = HTTPConnection(host, int(port), timeout=10)
        self.addCleanup(connection.close)
        return connection

    def read_health(self) -> int:
        try:
            connection = self.open(self.listen.callers)
            connection.request("GET", "/.persimmonusher/health")
            return connection.getresponse().status
        except OSError:
            return 0

    def wait_until(self, condition, seconds: float = 10.0) -> float:  # type: ignore[no-untyped-def]
        started = time.monotonic()
        while not condition():
            self.assertLess(time.monotonic() - started, seconds)
            eventlet.sleep(0.02)
        return time.monotonic() - started

    def post(
        self, body: bytes, connection: HTTPConnection | None = None, **headers: str
    ) -> CallerAnswer:
        connection = connection or self.open(self.listen.callers)
        named = {name.replace("_", "-"): value for name, value in headers.items()}
        connection.request("POST", "/entry", body, {"Host": HOST, **named})
        return read_answer(connection.getresponse())

    def stop(self) -> None:
        self.process.send_signal(signal.SIGTERM)

    def wait_for_exit(self, seconds: float) -> int:
        self.wait_until(lambda: self.process.poll() is not None, seconds)
        return int(self.process.returncode)

    def test_sigterm_under_load_cuts_off_nothing(self) -> None:
        """Eight callers send requests all the time while the instance gets SIGTERM, twice.

        Each request that was sent gets its whole answer. Once the listener is closed, a caller
        can't connect; this is no cut-off, since the load balancer uses other instances by then.
        """
        quick = stall(0.01, answer(b"lodged"))
        late = stall(1.5, answer(b"lodged late"))
        self.server.default = lambda connection, heard: (
            late(connection, heard) if heard.body == b"slow" else quick(connection, heard)
        )
        results: Counter[str] = Counter()

        def call_until_refused() -> None:
            connection = self.open(self.listen.callers)
            while True:
                try:
                    connection.connect()
                except ConnectionRefusedError:
                    return
                while connection.sock is not None:
                    reply = self.post(b"entry", connection)
                    results[f"{reply.status} {reply.outcome} {reply.body.decode()}"] += 1

        callers = [eventlet.spawn(call_until_refused) for _ in range(8)]
        self.wait_until(lambda: results.total() > 50, 10.0)
        slow = eventlet.spawn(self.post, b"slow")
        eventlet.sleep(0.3)
        self.stop()
        eventlet.sleep(0.1)
        self.assertEqual(self.read_health(), 503)
        self.stop()
        self.assertEqual(slow.wait().body, b"lodged late")
        for caller in callers:
            caller.wait()
        self.assertEqual(list(results), ["200 ran lodged"])
        self.assertGreater(results.total(), 50)
        self.assertEqual(self.wait_for_exit(5.0), 0)
        self.assertEqual(len(self.server.ran), results.total() + 1)

    def test_a_stuck_request_ends_at_its_deadline_and_the_process_with_it(self) -> None:
        """A backend server never answers; the request's own deadline bounds the stop."""
        self.server.default = stall(60.0, answer())
        stuck = eventlet.spawn(self.post, b"x", Persimmonusher_Deadline_Ms="1500")
        eventlet.sleep(0.2)
        started = time.monotonic()
        self.stop()
        reply = stuck.wait()
        self.assertEqual((reply.status, reply.outcome), (504, "unknown"))
        self.assertEqual(self.wait_for_exit(5.0), 0)
        self.assertLess(time.monotonic() - started, 3.0)

    def test_a_caller_that_never_ends_its_request_holds_the_stop_for_a_bounded_time(self) -> None:
        """A caller sends half a head and nothing more; it gets a 408 and the process ends."""
        host, _, port = self.listen.callers.rpartition(":")
        with socket.create_connection((host, int(port))) as connection:
            connection.sendall(b"POST /entry HTTP/1.1\r\nHo")
            eventlet.sleep(0.1)
            self.stop()
            self.assertIn(b" 408 ", connection.recv(65_536))
        self.assertEqual(self.wait_for_exit(5.0), 0)

    def test_idle_connections_do_not_hold_the_stop(self) -> None:
        idle = self.open(self.listen.callers)
        self.assertEqual(self.post(b"x", idle).status, 200)
        unused = self.open(self.listen.callers)
        unused.connect()
        self.stop()
        self.assertEqual(self.wait_for_exit(3.0), 0)


if __name__ == "__main__":
    unittest.main()
