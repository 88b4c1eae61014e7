"""Clients, by PROTOCOL.md: each request on a connection of its own or on a kept one."""

import itertools
import random
import threading
import time
from http.client import HTTPConnection, HTTPException

from deployment import FRONT

_numbers = itertools.count(1)


def make_id():
    return f"{random.getrandbits(40):010x}{next(_numbers):06x}"


class Sent:
    """One client attempt; status 0 if the connection ended without an answer."""

    def __init__(self, attempt, entry, method, path):
        self.attempt, self.entry, self.method, self.path = attempt, entry, method, path
        self.sent_at = time.monotonic()
        self.ended_at = None
        self.status = 0
        self.headers = {}
        self.body = b""


class Clients:
    """Threads that send requests one after the other to the fronts, in turn."""

    def __init__(self, deployment):
        self.deployment = deployment
        self.sent = []
        self.is_over = threading.Event()
        self.threads = []

    def run(self, count, make_request, pause):
        """`make_request` returns (method, path, body, deadline in ms)."""
        for number in range(count):
            names = list(self.deployment.fronts)
            entry = names[number % len(names)]
            thread = threading.Thread(target=self._loop, args=(entry, make_request, pause), daemon=True)
            self.threads.append(thread)
            thread.start()

    def _loop(self, entry, make_request, pause):
        while not self.is_over.wait(pause * random.uniform(0.5, 1.5)):
            method, path, body, deadline_ms = make_request()
            self.send(entry, method, path, body, deadline_ms)

    def send(self, entry, method, path, body=b"", deadline_ms=3000, headers=None):
        sent = Sent(make_id(), entry, method, path)
        self.sent.append(sent)
        connection = HTTPConnection(
            self.deployment.host(entry), FRONT, timeout=deadline_ms / 1000.0 + 0.5
        )
        own = {
            "Host": "n.example",
            "X-Attempt-Id": sent.attempt,
            "X-Remaining-Milliseconds": str(deadline_ms),
            **(headers or {}),
        }
        try:
            connection.request(method, path, body or None, own)
            response = connection.getresponse()
            sent.headers = dict(response.getheaders())
            sent.body = response.read()
            sent.status = response.status
        except (OSError, HTTPException):
            sent.status = 0
        finally:
            connection.close()
            sent.ended_at = time.monotonic()
        return sent

    def end(self):
        self.is_over.set()
        for thread in self.threads:
            thread.join(10)
