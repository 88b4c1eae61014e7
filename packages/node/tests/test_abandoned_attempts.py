"""How the connections of requests end that their instance no longer waits for."""

import socket
import unittest

import eventlet
from entry_harness import HOST, EntryTestCase, Heard


class AbandonedAttemptsTest(EntryTestCase):
    server_names = ("s1",)

    def setUp(self) -> None:
        super().setUp()
        self.ends: list[str] = []
        self.servers[0].default = self.wait_for_end

    def wait_for_end(self, connection: socket.socket, heard: Heard) -> bool:
        """Answer nothing, and record whether the instance resets the connection."""
        below: socket.socket = connection.fd  # type: ignore[attr-defined]
        for _ in range(100):
            eventlet.sleep(0.01)
            if below.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
                self.ends.append("reset")
                return False
        self.ends.append("not reset")
        return False

    def wait_until_ended(self, count: int) -> None:
        for _ in range(300):
            if len(self.ends) >= count:
                return
            eventlet.sleep(0.01)

    # Guards against requests that reach a server after their instance stopped waiting for them.
    def test_a_request_whose_deadline_passed_is_not_delivered_later(self) -> None:
        answer = self.call(headers={"Persimmonusher-Deadline-Ms": "200"})
        self.wait_until_ended(1)
        self.assertEqual((answer.status, self.ends), (504, ["reset"]))

    # Guards against the same for a request whose caller has left.
    def test_a_request_whose_caller_left_is_not_delivered_later(self) -> None:
        with socket.create_connection(("127.0.0.1", self.listener.port)) as caller:
            caller.sendall(f"GET /items HTTP/1.1\r\nHost: {HOST}\r\n\r\n".encode())
            eventlet.sleep(0.1)
        self.wait_until_ended(1)
        self.assertEqual(self.ends, ["reset"])


if __name__ == "__main__":
    unittest.main()
