"""A backend server that refused one request, with callers that come one at a time."""

import unittest
from unittest.mock import patch

from entry_harness import PROFILE, SHED, EntryTestCase, answer, stall

from persimmonusher_decisions import placement

PENALTY_SECONDS = 0.2
"""Replaces the usual memory of a penalty, so that the test need not wait for that."""
SUCCESS = stall(0.01, answer())


class RefusedOnceTest(EntryTestCase):
    profile = PROFILE.model_copy(update={"max_retries": 1, "retry_budget_percent": 50})
    server_names = ("s1", "s2", "s3")

    # Guards against a server that refused once getting no requests while the others are idle.
    def test_a_server_gets_its_share_again(self) -> None:
        for server in self.servers:
            server.default = SUCCESS
        refusing = self.servers[0]
        refusing.script.append(SHED)
        with patch.object(placement, "PENALTY_MEMORY_SECONDS", PENALTY_SECONDS):
            for _ in range(200):
                self.call()
            before = len(refusing.ran)
            for _ in range(90):
                self.call()
        self.assertGreater(len(refusing.ran) - before, 15)


if __name__ == "__main__":
    unittest.main()
