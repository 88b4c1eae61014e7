"""Exchanges with a backend server that are cut off after each possible byte."""

import re
import socket
import struct
import unittest

from entry_harness import HOST, PROFILE, EntryTestCase, Heard, send

from persimmonusher_node.dialect import Dialect

BODY = b"rank 17 of 230"
RESET = struct.pack("ii", 1, 0)
WITH_LENGTH = b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 14\r\n\r\n" + BODY
WITHOUT_BODY = b"HTTP/1.1 204 No Content\r\nLocation: /rank/17\r\n\r\n"
IN_CHUNKS = (
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"5\r\nrank \r\n9\r\n17 of 230\r\n0\r\n\r\n"
)

UNTIL_CLOSE = b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n" + BODY
AFTER_INTERIM = b"HTTP/1.1 103 Early Hints\r\nLink: </s>\r\n\r\n" + WITH_LENGTH


def cut_by_reset(raw: bytes):  # type: ignore[no-untyped-def]
    """Send these bytes and reset the connection."""

    def act(connection: socket.socket, heard: Heard) -> bool:
        connection.sendall(raw)
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        return False

    return act


class EveryByteTest(EntryTestCase):
    server_names = ("s1",)
    profile = PROFILE.model_copy(update={"retry_budget_percent": 50})

    def test_an_entry_whose_answer_is_cut_anywhere_is_unknown_and_ran_once(self) -> None:
        """The server runs the request, and its answer is cut off by a close or by a reset.

        The caller must get `unknown` or the whole answer, never a part of it and never `not run`.
        """
        (server,) = self.servers
        for raw in (WITH_LENGTH, WITHOUT_BODY, IN_CHUNKS):
            for cut in (send, cut_by_reset):
                for size in range(len(raw) + 1):
                    with self.subTest(raw[17:30], cut=cut.__name__, size=size):
                        server.script[:] = [cut(raw[:size])]
                        server.ran.clear()
                        response = self.call(
                            "POST", f"/e/{size}", raw[:size] + cut.__name__.encode()
                        )
                        if response.status < 300:
                            whole = b"" if response.status == 204 else BODY
                            self.assertEqual((response.body, response.outcome), (whole, "ran"))
                            self.assertEqual(size, len(raw))
                        else:
                            self.assertEqual((response.status, response.outcome), (502, "unknown"))
                            self.assertTrue(size < len(raw) or cut is cut_by_reset)
                        self.assertEqual(len(server.ran), 1)

    def test_a_lookup_whose_answer_is_cut_anywhere_is_never_answered_in_part(self) -> None:
        self.servers.append(self.add_server("s2"))
        self.servers[1].default = send(WITH_LENGTH, go_on=True)
        whole = 0
        for raw in (WITH_LENGTH, IN_CHUNKS):
            for size in range(len(raw)):
                with self.subTest(raw[17:30], size=size):
                    self.servers[0].default = send(raw[:size])
                    response = self.call(target=f"/l/{raw[17]}/{size}")
                    if response.status == 200:
                        whole += 1
                        self.assertEqual((response.body, response.outcome), (BODY, "ran"))
                    else:
                        self.assertEqual((response.status, response.outcome), (502, "unknown"))
        self.assertGreater(whole, 90, "most are answered by the other server")

    def test_a_request_cut_anywhere_is_unknown_once_a_byte_has_left(self) -> None:
        """The server resets the connection after some bytes of the request have arrived."""
        (server,) = self.servers
        for size in range(1, 200, 7):
            with self.subTest(size=size):
                server.ran.clear()
                server.cut_in_request = 1
                server.cut_after = size
                response = self.call("POST", f"/c/{size}", b"x" * 40)
                self.assertEqual((response.status, response.outcome), (502, "unknown"))
                self.assertEqual(server.ran, [])


class EveryByteOfTheHeadTest(EntryTestCase):
    """Answers may end with their connection, as in deployments that accept unframed answers."""

    server_names = ("s1",)
    profile = PROFILE.model_copy(update={"max_retries": 0, "retry_budget_percent": 0})
    dialect = Dialect(accepts_unframed=True)

    # Guards against a success made of an answer whose server closed in the middle of its head.
    def test_an_answer_whose_head_is_cut_anywhere_is_never_a_success(self) -> None:
        for raw in (WITH_LENGTH, WITHOUT_BODY, IN_CHUNKS, UNTIL_CLOSE, AFTER_INTERIM):
            for method in ("GET", "POST"):
                for cut in (send, cut_by_reset):
                    connection = self.connect()
                    for size in range(find_head_length(raw)):
                        with self.subTest(raw[:40], method=method, cut=cut.__name__, size=size):
                            self.script(cut(raw[:size]))
                            target = f"/{cut.__name__}/{len(raw)}/{size}"
                            answer = self.call(method, target, connection=connection)
                            self.assertEqual((answer.status, answer.outcome), (502, "unknown"))

    # Guards against an answer that is given to the wrong one of two pipelined requests.
    def test_the_next_request_of_the_connection_gets_its_own_answer(self) -> None:
        second = f"GET /b HTTP/1.1\r\nHost: {HOST}\r\nConnection: close\r\n\r\n"
        for raw in (WITH_LENGTH, UNTIL_CLOSE):
            for size in range(0, find_head_length(raw), 5):
                with self.subTest(raw[:40], size=size):
                    self.script(send(raw[:size]), send(WITH_LENGTH, go_on=True))
                    first = f"GET /a{len(raw)}/{size} HTTP/1.1\r\nHost: {HOST}\r\n\r\n"
                    received = self.send_raw((first + second).encode())
                    self.assertEqual(re.findall(rb"HTTP/1.1 (\d+)", received), [b"502", b"200"])
                    self.assertTrue(received.endswith(b"\r\n\r\n" + BODY))


def find_head_length(raw: bytes) -> int:
    """Return the length of an answer's last head, interim ones before it included."""
    last = raw.rindex(b"HTTP/1.1 ")
    return raw.index(b"\r\n\r\n", last) + 4


if __name__ == "__main__":
    unittest.main()
