"""Requests whose callers have closed their connection."""

import socket
import unittest

import eventlet
from entry_harness import (
    DRAINING,
    HOST,
    PROFILE,
    SHED,
    Behaviour,
    EntryTestCase,
    answer,
    send,
    stall,
)

LEAVE_SECONDS = 0.15
"""Delay from sending a request to leaving, so that the request is at a server by then."""
ANSWER_SECONDS = 0.4
UNREAD_BYTES = 100_000
"""More than an entry reads ahead, and less than the kernel buffers for it."""


class DepartedCallersTest(EntryTestCase):
    profile = PROFILE.model_copy(update={"max_retries": 3, "retry_budget_percent": 50})
    server_names = ("s1", "s2", "s3")

    def leave(self, method: str, header: str = "", seconds: float = LEAVE_SECONDS) -> None:
        """Send a request and close the connection some time later."""
        raw = f"{method} /x HTTP/1.1\r\nHost: {HOST}\r\n{header}Content-Length: 0\r\n\r\n"
        self.send_and_leave(raw.encode(), seconds)

    def send_and_leave(self, raw: bytes, seconds: float = LEAVE_SECONDS) -> None:
        with socket.create_connection(("127.0.0.1", self.listener.port)) as connection:
            connection.sendall(raw)
            if seconds:
                eventlet.sleep(seconds)

    def set_behaviour(self, behaviour: Behaviour) -> None:
        for server in self.servers:
            server.default = behaviour

    def wait_until_idle(self) -> None:
        """Wait until servers have answered and nothing is in flight."""
        eventlet.sleep(ANSWER_SECONDS + 0.2)
        while self.plane.forwarder.in_flight:
            eventlet.sleep(0.02)

    def count_servers_reached(self, method: str) -> int:
        """Send a request, leave, and return how many servers got it before it was finished."""
        before = len(self.ran)
        self.leave(method)
        self.wait_until_idle()
        return len(self.ran) - before

    # Guards against work being sent to further servers after its caller left.
    def test_refused_work_is_not_sent_on_for_a_departed_caller(self) -> None:
        for behaviour in (SHED, DRAINING):
            for method in ("POST", "GET"):
                with self.subTest(method=method, behaviour=behaviour):
                    self.set_behaviour(stall(ANSWER_SECONDS, behaviour))
                    self.assertEqual(self.count_servers_reached(method), 1)

    # Guards against a departure that the periodic check has not detected before the next attempt.
    def test_a_departure_is_known_at_the_moment_of_the_next_attempt(self) -> None:
        self.plane.watch.stop()
        for method in ("POST", "GET"):
            with self.subTest(method=method):
                self.set_behaviour(stall(ANSWER_SECONDS, SHED))
                self.assertEqual(self.count_servers_reached(method), 1)

    # Guards against work being sent for a caller that left before the first attempt.
    def test_nothing_is_sent_for_a_caller_that_left_at_once(self) -> None:
        for method in ("POST", "GET"):
            with self.subTest(method=method):
                self.leave(method, seconds=0.0)
                self.wait_until_idle()
                self.assertEqual(self.ran, [])

    # Guards against a hedged copy of a slow lookup being sent for a departed caller.
    def test_no_copy_is_sent_for_a_departed_caller(self) -> None:
        update = {"hedge_after_ms": 300, "retry_budget_percent": 50, "max_retries": 1}
        profile = PROFILE.model_copy(update=update)
        self.view.profiles.update(dict.fromkeys(self.view.profiles, profile))
        self.plane.watch.stop()
        self.set_behaviour(stall(ANSWER_SECONDS, answer()))
        self.leave("GET")
        self.wait_until_idle()
        self.assertEqual(len(self.ran), 1)

    # Guards against not detecting the departure of a caller that sent more than is read ahead.
    def test_a_caller_that_sent_much_ahead_is_seen_to_leave(self) -> None:
        self.set_behaviour(stall(ANSWER_SECONDS, SHED))
        head = f"POST /x HTTP/1.1\r\nHost: {HOST}\r\nContent-Length: 0\r\n\r\n"
        self.send_and_leave(head.encode() + b"x" * UNREAD_BYTES)
        self.wait_until_idle()
        self.assertEqual(len(self.ran), 1)

    # Guards against a key that stays claimed for work that was never run.
    def test_a_resend_runs_what_a_departed_caller_had_refused(self) -> None:
        self.set_behaviour(stall(ANSWER_SECONDS, SHED))
        self.leave("POST", "Idempotency-Key: k1\r\n")
        self.wait_until_idle()
        self.assertEqual(len(self.ran), 1)
        self.set_behaviour(answer(b"lodged"))
        response = self.call("POST", "/x", headers={"Idempotency-Key": "k1"})
        self.assertEqual((response.status, response.body), (200, b"lodged"))

    # Guards against cutting off work that a server runs already.
    def test_work_that_a_server_runs_goes_on_to_its_end(self) -> None:
        self.set_behaviour(stall(ANSWER_SECONDS, answer(b"lodged")))
        self.leave("POST")
        self.wait_until_idle()
        self.assertEqual(len(self.ran), 1)
        self.assertEqual(self.observer.finished[-1].record.result, "ran")

    # Guards against work whose outcome is unknown being recorded as not run.
    def test_work_that_broke_off_stays_unknown_for_a_departed_caller(self) -> None:
        self.set_behaviour(stall(ANSWER_SECONDS, send(b"")))
        self.leave("POST")
        self.wait_until_idle()
        self.assertEqual(len(self.ran), 1)
        self.assertIn("unknown", self.observer.finished[-1].record.result)


if __name__ == "__main__":
    unittest.main()
