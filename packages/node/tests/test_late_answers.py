"""Answers that a backend server sends twice, the second time when the next request arrives."""

import socket
import unittest
from unittest.mock import patch

import eventlet
from entry_harness import PROFILE, EntryTestCase, Heard, answer

from persimmonusher_node import connections


class CopyingServer:
    """Rejects some requests and runs the others; copies of rejections precede the next answer."""

    def __init__(self, rejections: int, names_requests: bool = True) -> None:
        self.rejections = rejections
        """How many requests are still to be rejected."""
        self._names_requests = names_requests
        """Whether rejections carry the request's id."""
        self.ran: list[str] = []
        """Targets of the requests that ran."""
        self._copies: dict[socket.socket, Heard] = {}

    def act(self, connection: socket.socket, heard: Heard) -> bool:
        """Answer one request, after the copy of the connection's last answer, if there is one."""
        copied = self._copies.pop(connection, None)
        if copied is not None:
            self._reject(connection, copied)
        if self.rejections:
            self.rejections -= 1
            self._copies[connection] = heard
            return self._reject(connection, heard)
        self.ran.append(heard.target)
        return answer(b"done", "200 OK", make_id_line(heard))(connection, heard)

    def _reject(self, connection: socket.socket, heard: Heard) -> bool:
        id_lines = [make_id_line(heard)] if self._names_requests else []
        rejection = answer(b"", "503 Busy", "Persimmonusher-Not-Run: shed", *id_lines)
        return rejection(connection, heard)


def make_id_line(heard: Heard) -> str:
    """Return the header line that names the request that an answer belongs to."""
    return f"X-Request-Id: {heard.headers['x-request-id']}"


class CopiedRejectionsTest(EntryTestCase):
    profile = PROFILE.model_copy(update={"max_retries": 1, "retry_budget_percent": 100})
    server_names = ("s1",)

    # Guards against a late copy of a rejection that is taken for the answer to the retry.
    def test_a_retry_gets_its_own_answer(self) -> None:
        for method in ("POST", "GET"):
            with self.subTest(method):
                server = CopyingServer(rejections=1)
                self.servers[0].default = server.act
                response = self.call(method, f"/{method}")
                self.assertEqual((response.status, response.body), (200, b"done"))
                self.assertEqual(server.ran, [f"/{method}"])

    # Guards against a caller that resends a request under its id and gets the first try's answer.
    def test_a_resend_gets_its_own_answer(self) -> None:
        server = CopyingServer(rejections=2)
        self.servers[0].default = server.act
        headers = {"X-Request-Id": "r1"}
        refused = self.call("POST", "/1", headers=headers)
        self.assertEqual((refused.status, refused.outcome), (503, "not-run"))
        self.assertEqual(self.call("POST", "/1", headers=headers).status, 200)
        self.assertEqual(server.ran, ["/1"])

    # Guards against a connection that remembers only the last of the requests that it carried.
    def test_other_requests_in_between_do_not_free_a_connection_for_a_resend(self) -> None:
        server = CopyingServer(rejections=0)
        self.servers[0].default = server.act
        for request_id in ("r1", "r2", "r3", "r1"):
            self.call("POST", headers={"X-Request-Id": request_id})
        self.assertEqual(self.servers[0].connections, 2)

    # Guards against a rejection that costs later requests their connection.
    def test_connections_stay_in_use_after_a_rejection(self) -> None:
        self.servers[0].script[:] = [CopyingServer(rejections=1).act]
        for _ in range(10):
            self.assertEqual(self.call("POST").status, 200)
        self.assertEqual(self.servers[0].connections, 2)

    # Guards against a rejection without an id that is taken for the answer to another request.
    def test_a_rejection_that_names_no_request_rejects_only_its_own(self) -> None:
        server = CopyingServer(rejections=2, names_requests=False)
        self.servers[0].default = server.act
        self.assertEqual(self.call("POST", "/1").status, 503)
        self.assertEqual(self.call("POST", "/2").status, 200)
        self.assertEqual(server.ran, ["/2"])

    # Guards against two requests in flight under one id that get each other's answer.
    def test_requests_under_one_id_at_once_get_their_own_answers(self) -> None:
        def echo(connection: socket.socket, heard: Heard) -> bool:
            eventlet.sleep(0.05 if heard.target == "/1" else 0.02)
            return answer(heard.target.encode(), "200 OK", make_id_line(heard))(connection, heard)

        self.servers[0].default = echo
        headers = {"X-Request-Id": "r1"}
        targets = ("/1", "/2", "/3")
        calls = [eventlet.spawn(self.call, "GET", each, headers=headers) for each in targets]
        self.assertEqual([call.wait().body for call in calls], [b"/1", b"/2", b"/3"])


class UsedUpConnectionsTest(EntryTestCase):
    server_names = ("s1",)

    # Guards against a connection that forgets the ids of the first requests that it carried.
    def test_a_connection_is_closed_once_it_remembers_as_many_ids_as_it_may(self) -> None:
        with patch.object(connections, "MAX_REQUESTS", 3):
            for _ in range(7):
                self.assertEqual(self.call().status, 200)
        self.assertEqual(self.servers[0].connections, 3)


if __name__ == "__main__":
    unittest.main()
