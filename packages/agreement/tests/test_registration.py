import json
import unittest
from dataclasses import replace

from persimmonusher_agreement.change_check import check_change
from persimmonusher_agreement.configuration import Configuration
from persimmonusher_agreement.configuration_objects import Change, ObjectKey, ObjectKind
from persimmonusher_agreement.registration import (
    RegisteredState,
    Registration,
    decode_registration,
    encode_registration,
)
from persimmonusher_model.identifiers import Revision

READY = Registration(
    "s1", "entries", "10.0.0.1:80", "north", 4, boot=100, sequence=1, state=RegisteredState.READY
)
DRAINING = replace(READY, sequence=5, state=RegisteredState.DRAINING)
STOPPED = replace(READY, sequence=6, state=RegisteredState.STOPPED)


class RegistrationTest(unittest.TestCase):
    def setUp(self) -> None:
        self.configuration = Configuration("fleet")
        self.number = 0

    def apply(self, *registrations: Registration) -> None:
        for registration in registrations:
            self.number += 1
            body = encode_registration(registration)
            change = Change(f"c{self.number}", "keeper", registration.key, Revision(0), body)
            self.assertEqual(check_change(change), ())
            self.configuration.apply(change)

    def find(self, server_id: str = "s1") -> Registration:
        record = self.configuration.store.find_live(ObjectKey(ObjectKind.SERVER, server_id))
        assert record is not None and record.body is not None
        return decode_registration(server_id, record.body)

    def test_a_late_word_changes_nothing(self) -> None:
        """A server's heartbeat is delayed by a cut, and arrives after its later ones.

        If it were applied, requests would go to a server that is draining or has stopped.
        """
        cases = [
            ("older sequence", [DRAINING, READY], RegisteredState.DRAINING),
            ("after the end", [READY, STOPPED, replace(READY, sequence=9)], STOPPED.state),
            ("of an earlier start", [replace(READY, boot=200), STOPPED], READY.state),
            ("started again", [STOPPED, replace(READY, boot=200, sequence=1)], READY.state),
        ]
        for name, registrations, state in cases:
            with self.subTest(name):
                self.setUp()
                self.apply(*registrations)
                self.assertEqual(self.find().state, state)

    def test_a_resent_change_makes_no_revision(self) -> None:
        self.apply(READY, READY, READY)
        self.assertEqual(self.configuration.revision, 1)

    def test_an_address_belongs_to_the_server_that_started_last(self) -> None:
        """A server crashes without a message, and a server of another service gets its address.

        With two servers at one address, requests for the first service would go to the second. A
        delayed heartbeat of the crashed server must not claim the address back either.
        """
        newer = replace(READY, server_id="s2", service="fees", boot=200)
        late = replace(READY, sequence=7)
        cases = [
            ("no further word", [READY, newer]),
            ("a late word after", [READY, newer, late]),
            ("a late word first", [newer, READY]),
        ]
        for name, order in cases:
            with self.subTest(name):
                self.setUp()
                self.apply(*order)
                self.assertEqual(self.find("s1").state, RegisteredState.STOPPED)
                self.assertEqual(self.find("s2").state, RegisteredState.READY)

    def test_a_snapshot_holds_the_servers(self) -> None:
        self.apply(READY, DRAINING)
        restored = Configuration()
        restored.restore(self.configuration.capture())
        self.configuration = restored
        self.assertEqual(self.find(), DRAINING)
        self.apply(READY)
        self.assertEqual(self.find(), DRAINING)

    def test_ended_servers_are_forgotten_in_the_order_of_their_ends(self) -> None:
        """For a year, a release each day replaces every server by one with a new name.

        Without a bound, each keeper and entry would hold all servers that ever ran. The ones that
        stopped last are kept, so that a late heartbeat of theirs still has no effect; a snapshot
        must not change which ones are kept.
        """
        self.configuration = Configuration("fleet", ended_kept=2)
        names = ["s4", "s2", "s3", "s1"]
        for number, name in enumerate(names):
            server = replace(READY, server_id=name, address=f"10.0.0.{number}:80")
            self.apply(server, replace(server, sequence=2, state=RegisteredState.STOPPED))
            if name == "s2":
                restored = Configuration(ended_kept=2)
                restored.restore(self.configuration.capture())
                self.configuration = restored
        kept = self.configuration.store.list_live(ObjectKind.SERVER)
        self.assertEqual({record.key.name for record in kept}, {"s3", "s1"})
        late = replace(READY, server_id="s1", address="10.0.0.3:80")
        self.apply(late)
        self.assertEqual(self.find("s1").state, RegisteredState.STOPPED)

    def test_a_snapshot_keeps_track_of_addresses(self) -> None:
        self.apply(READY)
        restored = Configuration()
        restored.restore(self.configuration.capture())
        self.configuration = restored
        self.apply(replace(READY, server_id="s2", boot=200))
        self.assertEqual(self.find("s1").state, RegisteredState.STOPPED)

    def test_an_unreadable_registration_is_refused(self) -> None:
        good = json.loads(encode_registration(READY))
        for name, body in (("no object", "[]"), ("state", json.dumps({**good, "state": "odd"}))):
            with self.subTest(name):
                change = Change("c", "keeper", READY.key, Revision(0), body)
                self.assertTrue(check_change(change))
