"""Servers that send further copies of their answers at any point of a connection, in any number.

To draw other series, set `COPIED_ANSWERS_SEEDS="0 200"` in the environment: the first seed and the
one after the last.
"""

import os
import socket
import unittest
from collections import Counter
from dataclasses import replace
from http.client import HTTPException
from random import Random

import eventlet
from entry_harness import HOST, PROFILE, EntryTestCase, Heard
from large_body_harness import LargeBodyConfiguration

from persimmonusher_node.dialect import OWN_DIALECT

FIRST_SEED, END_SEED = map(int, os.environ.get("COPIED_ANSWERS_SEEDS", "4 10").split())
CALLERS = 6
REQUESTS = 25
PROMISES = (408, 421, 429, 503)
"""Statuses that promise that the request did not run and never will."""
IDEMPOTENT_PATH = "/search"


class CopyingServers:
    """The behaviour of all servers of a series: each answer may be copied, now or later."""

    def __init__(self, random: Random) -> None:
        self._random = random
        self._sent: dict[socket.socket, list[bytes]] = {}
        """The answers that each connection has carried."""
        self._due: dict[socket.socket, bytes] = {}
        """Bytes that precede the next answer on a connection."""
        self.ran: Counter[str] = Counter()
        """How often each request ran, by its id."""

    def act(self, connection: socket.socket, heard: Heard) -> bool:
        """Answer one request, with copies of this or of earlier answers around the answer."""
        random = self._random
        answer = self._make_answer(heard)
        sent = self._sent.setdefault(connection, [])
        early = self._due.pop(connection, b"")
        if sent and random.random() < 0.05:
            early += random.choice(sent)
        sent.append(answer)
        copy = random.choice(sent)
        draw = random.random()
        late = b""
        if draw < 0.2:
            self._due[connection] = copy
        elif draw < 0.25:
            late = copy
        elif draw < 0.3:
            cut = random.randrange(len(copy))
            late, self._due[connection] = copy[:cut], copy[cut:]
        interim = b"HTTP/1.1 100 Continue\r\n\r\n" if random.random() < 0.05 else b""
        if random.random() < 0.05:
            # An answer without a length ends with its connection.
            connection.sendall(early + interim + answer.replace(b"Content-Length", b"X-Length"))
            return False
        connection.sendall(interim + early + answer + late)
        return random.random() < 0.97

    def _make_answer(self, heard: Heard) -> bytes:
        request_id = heard.headers["x-request-id"]
        draw = self._random.random()
        if heard.method == "HEAD":
            return make_answer("200 OK", request_id, with_body=False)
        eventlet.sleep(self._random.choice((0.0, 0.0, 0.005)))
        if draw < 0.35:
            return make_answer("503 Busy", request_id, "Persimmonusher-Not-Run: shed")
        self.ran[request_id] += 1
        if draw < 0.42:
            return make_answer("500 Failed", request_id)
        return make_answer("200 OK", request_id)


def make_answer(status: str, request_id: str, *headers: str, with_body: bool = True) -> bytes:
    """Return an answer that carries the id of its request in its head and its body."""
    body = f"{status[:3]} {request_id}".encode()
    lines = [f"HTTP/1.1 {status}", f"X-Request-Id: {request_id}", *headers]
    head = "\r\n".join([*lines, f"Content-Length: {len(body)}", "", ""]).encode()
    return head + body if with_body else head


class CopiedAnswersTest(EntryTestCase):
    profile = PROFILE.model_copy(
        update={
            "max_retries": 2,
            "retry_budget_percent": 100,
            "idempotent_paths": (IDEMPOTENT_PATH,),
        }
    )
    dialect = replace(OWN_DIALECT, accepts_unframed=True)
    body: bytes | None = b"x" * 2_000

    # Guards against copies of answers that deny, repeat or answer another request than their own.
    def test_no_copy_of_an_answer_answers_a_request(self) -> None:
        for seed in range(FIRST_SEED, END_SEED):
            with self.subTest(seed=seed):
                self.doCleanups()
                self.setUp()
                self._check_series(Random(seed))

    def _check_series(self, random: Random) -> None:
        copying = CopyingServers(random)
        for server in self.servers:
            server.default = copying.act
        self._answers: dict[str, list[tuple[int, bytes]]] = {}
        self._idempotent: set[str] = set()
        threads = [
            eventlet.spawn(self._call_repeatedly, caller, copying, random)
            for caller in range(CALLERS)
        ]
        for thread in threads:
            thread.wait()
        eventlet.sleep(0.05)
        for request_id, given in self._answers.items():
            self._check(request_id, given, copying.ran[request_id])
        statuses = Counter(given[-1][0] for given in self._answers.values())
        self.assertGreater(statuses[200], CALLERS * REQUESTS // 4, statuses)

    def _call_repeatedly(self, caller: int, copying: CopyingServers, random: Random) -> None:
        for number in range(REQUESTS):
            request_id = f"c{caller}-{number}"
            is_idempotent = random.random() < 0.3
            if is_idempotent:
                self._idempotent.add(request_id)
            given = self._answers.setdefault(request_id, [])
            given.append(self._call(request_id, is_idempotent))
            if given[0][0] in PROMISES and not copying.ran[request_id]:
                # A caller believes the promise, and resends under the same id.
                given.append(self._call(request_id, is_idempotent))

    def _check(self, request_id: str, given: list[tuple[int, bytes]], ran: int) -> None:
        status, body = given[-1]
        if request_id not in self._idempotent:
            self.assertLessEqual(ran, 1, request_id)
            if status in PROMISES:
                self.assertEqual(ran, 0, (request_id, given))
        if status == 200:
            expected = (
                b"" if self._find_method(request_id) == "HEAD" else f"200 {request_id}".encode()
            )
            self.assertEqual(body, expected)

    def _find_method(self, request_id: str) -> str:
        if request_id not in self._idempotent:
            return "POST"
        return "HEAD" if request_id.endswith("7") else "GET"

    def _call(self, request_id: str, is_idempotent: bool) -> tuple[int, bytes]:
        connection = self.connect()
        headers = {"Host": HOST, "X-Request-Id": request_id}
        try:
            if is_idempotent:
                connection.request(self._find_method(request_id), IDEMPOTENT_PATH, headers=headers)
            else:
                connection.request("POST", "/items", self.body, headers)
            response = connection.getresponse()
            return response.status, response.read()
        except (OSError, HTTPException):
            return 0, b""
        finally:
            connection.close()


class CopiedAnswersToLargeBodiesTest(CopiedAnswersTest):
    body = b"x" * 150_000

    def start_entry(self) -> None:
        super().start_entry()
        self.plane.services._view = LargeBodyConfiguration(self.view.routes, self.view.profiles)


if __name__ == "__main__":
    unittest.main()
