"""Requests that reach backend servers more than once, against what the retry budget counts."""

import socket
import unittest
from collections import Counter
from random import Random

import eventlet
from entry_harness import (
    PROFILE,
    SERVICE,
    SHED,
    Behaviour,
    EntryTestCase,
    Heard,
    answer,
    send,
    stall,
)

CALLS = 150
GOOD = answer(b"good")


class ChargedAttemptsTest(EntryTestCase):
    server_names = ("s1", "s2", "s3")
    profile = PROFILE.model_copy(
        update={"retry_budget_percent": 50, "retry_slack": 100_000.0, "hedge_after_ms": 40}
    )

    # Guards against further attempts that reach servers and that no budget counts.
    def test_each_arrival_beyond_the_first_is_charged(self) -> None:
        random = Random(63)
        arrivals: Counter[str] = Counter()
        behaviours = (GOOD, SHED, send(b"HTTP/1.1 200 OK\r\nCont"), stall(0.1, GOOD))

        def act(connection: socket.socket, heard: Heard) -> bool:
            arrivals[heard.headers["x-request-id"]] += 1
            behaviour: Behaviour = random.choice(behaviours)
            return behaviour(connection, heard)

        for server in self.servers:
            server.default = act
        for number in range(CALLS):
            for server in self.servers:
                server.cut_on_accept = int(random.random() < 0.1)
                self.directory.announce(server.announce(sequence=number + 2))
            method = random.choice(("GET", "POST"))
            self.call(method, f"/{number}", headers={"X-Request-Id": f"r{number}"})
        eventlet.sleep(0.3)
        live = self.plane.services.get(SERVICE)
        assert live is not None
        tally = live.traffic.describe_retries(0.0).tally
        charged = sum(count for (_, result), count in tally.items() if result == "sent")
        beyond_first = arrivals.total() - len(arrivals)
        self.assertGreater(beyond_first, 10)
        self.assertLessEqual(beyond_first, charged)


if __name__ == "__main__":
    unittest.main()
