import json
import unittest

from persimmonusher_agreement.change_check import check_change
from persimmonusher_agreement.configuration import Configuration
from persimmonusher_agreement.configuration_objects import Accepted, Change, Verdict
from persimmonusher_agreement.routing_record import (
    DOCUMENT_KEY,
    RoutingRecord,
    pack_document,
    unpack_document,
)
from persimmonusher_model.identifiers import Revision


class RoutingRecordTest(unittest.TestCase):
    def setUp(self) -> None:
        self.configuration = Configuration("fleet")
        self.number = 0

    def put(self, version: int, content: bytes) -> Verdict:
        self.number += 1
        body = pack_document(version, content)
        change = Change(f"c{self.number}", "operator", DOCUMENT_KEY, Revision(0), body)
        self.assertEqual(check_change(change), ())
        return self.configuration.apply(change)

    def read(self) -> RoutingRecord:
        record = self.configuration.store.find_live(DOCUMENT_KEY)
        assert record is not None and record.body is not None
        return unpack_document(record.body)

    def test_the_highest_version_is_in_force_whatever_the_order(self) -> None:
        """Two operators send versions through two keepers, and an older one is delivered late.

        Every version is acknowledged, but an older one must never replace a newer one.
        """
        for version in (3, 7, 5, 7, 2):
            verdict = self.put(version, b"document %d" % version)
            self.assertIsInstance(verdict, Accepted)
        self.assertEqual(self.read(), RoutingRecord(7, b"document 7"))
        self.assertEqual(self.configuration.revision, 2)

    def test_other_content_under_the_version_held_changes_nothing(self) -> None:
        self.put(4, b"first")
        self.put(4, b"second")
        self.assertEqual(self.read().content, b"first")

    def test_content_is_kept_byte_for_byte_also_over_a_snapshot(self) -> None:
        content = '{"a": "\u00e9",\r\n "b":  1.50}'.encode()
        self.put(1, content)
        restored = Configuration()
        restored.restore(self.configuration.capture())
        self.configuration = restored
        self.assertEqual(self.read().content, content)

    def test_a_body_that_cannot_be_unpacked_is_refused(self) -> None:
        good = json.loads(pack_document(1, b"x"))
        for name, body in (
            ("version", {**good, "version": "1"}),
            ("negative", {**good, "version": -1}),
            ("content", {**good, "content": "%%"}),
        ):
            with self.subTest(name):
                change = Change("c", "operator", DOCUMENT_KEY, Revision(0), json.dumps(body))
                self.assertTrue(check_change(change))
