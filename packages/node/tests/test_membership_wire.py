import unittest
from dataclasses import replace

from persimmonusher_agreement import membership_messages as messages
from persimmonusher_agreement.member_record import MemberRecord, MemberState
from persimmonusher_agreement.record import Record
from persimmonusher_agreement.server_record import ServerRecord, ServerState
from persimmonusher_model.errors import ErrorCode, UsherError
from persimmonusher_model.identifiers import (
    FailureDomain,
    InstanceId,
    Revision,
    ServerId,
    ServiceName,
)
from persimmonusher_node.membership_wire import (
    MAX_DATAGRAM_BYTES,
    MembershipCodec,
    encode_envelope,
)

ENTRY = InstanceId("entry-12")
SERVER = ServerId("worker-7")
MEMBER_RECORD = MemberRecord(
    ENTRY,
    FailureDomain("tokachi-2"),
    "10.1.2.3:7003",
    ("entry", "keeper"),
    1_790_000_000_123,
    MemberState.SUSPECT,
)
SERVER_RECORD = ServerRecord(
    SERVER,
    ServiceName("entries"),
    "10.1.2.9:8080",
    FailureDomain("tokachi-1"),
    4,
    400,
    1_790_000_000_123,
    86_400,
    ServerState.DRAINING,
)
MANY = tuple(range(2**64 - 62, 2**64))
BODIES: tuple[messages.Body, ...] = (
    messages.Ping(2**31),
    messages.PingRequest(7, ENTRY, "10.1.2.3:7003"),
    messages.Ack(7, ENTRY),
    messages.Join(1),
    messages.Rumour(),
    messages.GroupDigests((*MANY, 1, 2)),
    messages.BucketDigests(63, (*MANY, 1, 2)),
    messages.Summary((1, 4095), MANY, MANY),
    messages.Summary((), (), ()),
    messages.Repair(MANY),
    messages.Heartbeat(SERVER, 1_790_000_000_123, 86_400, ServerState.READY),
    messages.SilenceQuery(SERVER, 1_790_000_000_123),
    messages.SilenceReply(SERVER, 1, 2, silent=True, heard=False),
    messages.SilenceReply(SERVER, 1, 2, silent=False, heard=True, age_milliseconds=4_321),
)


def wrap(body: messages.Body, updates: tuple[Record, ...] = ()) -> messages.Envelope:
    return messages.Envelope(ENTRY, Revision(47_000), 2**64 - 1, body, updates)


class MembershipWireTest(unittest.TestCase):
    def setUp(self) -> None:
        self.codec = MembershipCodec("secret")

    def test_every_message_survives_the_wire_and_fits_a_datagram(self) -> None:
        for body in BODIES:
            with self.subTest(body=type(body).__name__):
                envelope = wrap(body, (MEMBER_RECORD, replace(SERVER_RECORD, lost=True)))
                datagram = self.codec.seal(envelope)
                self.assertEqual(self.codec.open(datagram), envelope)
                self.assertLessEqual(len(datagram), MAX_DATAGRAM_BYTES)

    def test_every_kind_of_message_is_covered(self) -> None:
        kinds = {type(body) for body in BODIES}
        self.assertEqual(kinds, set(messages.Body.__args__))  # type: ignore[attr-defined]

    def test_the_size_of_a_record_is_an_upper_bound(self) -> None:
        records: tuple[Record, ...] = (
            MEMBER_RECORD,
            SERVER_RECORD,
            replace(SERVER_RECORD, boot_id=2**63, sequence=2**40, slots=2**31, lost=True),
            replace(SERVER_RECORD, server_id=ServerId("ä" * 100)),
            replace(MEMBER_RECORD, roles=(), incarnation=2**63),
        )
        empty = encode_envelope(wrap(messages.Rumour())).ByteSize()
        for record in records:
            with self.subTest(record=record):
                encoded = encode_envelope(wrap(messages.Rumour(), (record,))).ByteSize()
                self.assertLessEqual(encoded - empty, record.size)

    def test_a_changed_or_foreign_datagram_is_refused(self) -> None:
        """
        An instance of another fleet, a damaged link or an attacker sends a datagram. If accepted,
        it could add an instance, or bring back a server that stopped.
        """
        datagram = self.codec.seal(wrap(messages.Ping(1), (SERVER_RECORD,)))
        damaged = bytes([*datagram[:-1], datagram[-1] ^ 1])
        foreign = MembershipCodec("other").seal(wrap(messages.Ping(1)))
        for bad in (damaged, foreign, datagram[:20], b""):
            with self.subTest(bad=bad[:4]), self.assertRaises(UsherError) as caught:
                self.codec.open(bad)
            self.assertIs(caught.exception.code, ErrorCode.UNAUTHENTICATED)

    def test_a_message_of_another_version_is_refused(self) -> None:
        unknown = encode_envelope(wrap(messages.Ping(1)))
        unknown.ClearField("ping")
        payload = unknown.SerializeToString()
        with self.assertRaises(UsherError) as caught:
            self.codec.open(self.codec._tag(payload) + payload)
        self.assertIs(caught.exception.code, ErrorCode.BAD_REQUEST)


if __name__ == "__main__":
    unittest.main()
