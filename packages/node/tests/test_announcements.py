import json
import unittest
from typing import Any
from unittest import mock

from entry_harness import SERVICE, EntryTestCase

from persimmonusher_node.announcements import MAX_ANNOUNCEMENT_BYTES, AnnouncementsApplication
from persimmonusher_node.listener import HttpListener

GOOD: dict[str, Any] = {
    "server_id": "s9",
    "service": "entries",
    "address": "127.0.0.1:9",
    "failure_domain": "a",
    "slots": 4,
    "boot_id": 7,
    "sequence": 2,
    "state": "ready",
}


class AnnouncementsTest(EntryTestCase):
    server_names = ()

    def setUp(self) -> None:
        super().setUp()
        application = AnnouncementsApplication(self.directory, 3.0)
        self.listener = HttpListener("127.0.0.1:0", application)
        self.listener.start()
        self.addCleanup(self.listener.stop_accepting)

    def announce(self, body: bytes, path: str = "/announce", method: str = "POST") -> Any:
        response = self.call(method, path, body)
        return response.status, json.loads(response.body)

    def test_an_announcement_is_taken_once_and_says_when_to_come_again(self) -> None:
        body = json.dumps(GOOD).encode()
        self.assertEqual(self.announce(body), (200, {"taken": True, "announce_again_ms": 1000}))
        self.assertEqual(self.announce(body)[1]["taken"], False)
        stale = json.dumps({**GOOD, "sequence": 1, "state": "draining"}).encode()
        self.assertEqual(self.announce(stale)[1]["taken"], False)
        (server,) = self.directory.list_servers(SERVICE)
        self.assertEqual((server.server_id, server.state.value), ("s9", "ready"))

    def test_an_instance_that_is_cut_off_sends_the_server_elsewhere(self) -> None:
        # A server announces that it is leaving to an instance that is cut off from all others. The
        # answer makes it announce to another one; otherwise the other instances would send it work
        # until its next announcement.
        with mock.patch.object(self.directory, "relays_announcements", return_value=False):
            status, document = self.announce(json.dumps({**GOOD, "state": "draining"}).encode())
        self.assertEqual((status, document["code"]), (503, "unavailable"))
        (server,) = self.directory.list_servers(SERVICE)
        self.assertEqual(server.state.value, "draining")

    def test_all_findings_come_together(self) -> None:
        wrong = {**GOOD, "slots": 0, "state": "tired", "adress": 1, "boot_id": "7"}
        status, document = self.announce(json.dumps(wrong).encode())
        self.assertEqual(status, 400)
        self.assertEqual(
            {finding["path"] for finding in document["findings"]},
            {"slots", "state", "adress", "boot_id"},
        )

    def test_what_is_no_announcement_is_refused(self) -> None:
        cases = [
            (b"{", "/announce", "POST", 400),
            (b"[" * 5_000, "/announce", "POST", 400),
            (b"[]", "/announce", "POST", 400),
            (b" " * (MAX_ANNOUNCEMENT_BYTES + 1), "/announce", "POST", 400),
            (b"", "/other", "POST", 404),
            (b"", "/announce", "GET", 405),
        ]
        for body, path, method, expected in cases:
            with self.subTest(body=body[:5], path=path, method=method):
                self.assertEqual(self.announce(body, path, method)[0], expected)
        self.assertEqual(self.directory.list_servers(SERVICE), [])


if __name__ == "__main__":
    unittest.main()
