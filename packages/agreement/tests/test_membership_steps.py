import unittest
from dataclasses import replace
from random import Random

from persimmonusher_agreement.member_record import MemberRecord, MemberState
from persimmonusher_agreement.membership import FleetMembership
from persimmonusher_agreement.membership_limits import MembershipLimits
from persimmonusher_agreement.membership_messages import (
    Ack,
    Body,
    Effect,
    Envelope,
    GroupDigests,
    Heartbeat,
    NewerRevision,
    Ping,
    Repair,
    Rumour,
    Send,
)
from persimmonusher_agreement.record import Record
from persimmonusher_agreement.server_record import ServerRecord, ServerState
from persimmonusher_model.identifiers import (
    FailureDomain,
    InstanceId,
    Revision,
    ServerId,
    ServiceName,
)

LIMITS = MembershipLimits()
PEERS = 8


def make_member(number: int, state: int = 0) -> MemberRecord:
    return MemberRecord(
        InstanceId(f"entry-{number}"),
        FailureDomain(f"domain-{number % 3}"),
        f"10.0.0.{number}:7000",
        ("entry",),
        1,
        MemberState(state),
    )


READY = ServerRecord(
    ServerId("worker-1"),
    ServiceName("entries"),
    "10.1.0.1:9000",
    FailureDomain("domain-0"),
    4,
    400,
    boot_id=1,
    sequence=5,
    state=ServerState.READY,
)


def wrap(body: Body, *updates: Record, sender: int = 1, revision: int = 0) -> Envelope:
    name = InstanceId(f"entry-{sender}")
    return Envelope(name, Revision(revision), 0, body, updates)


def list_sends(effects: list[Effect], kind: type[Body]) -> list[Send]:
    sends = [effect for effect in effects if isinstance(effect, Send)]
    return [send for send in sends if isinstance(send.envelope.body, kind)]


class MembershipStepTest(unittest.TestCase):
    def setUp(self) -> None:
        self.fleet = FleetMembership(make_member(0), ["10.0.0.1:7000"], Random(1))
        self.now = 100.0
        self.fleet.tick(self.now)
        members = [make_member(number) for number in range(1, PEERS)]
        self.receive(wrap(Rumour(), *members))

    def receive(self, envelope: Envelope) -> list[Effect]:
        source = f"10.0.0.{envelope.sender.split('-')[1]}:7000"
        return self.fleet.receive(envelope, source, self.now)

    def find(self) -> ServerRecord | None:
        return self.fleet.directory.find(READY.server_id)

    def test_a_change_is_pushed_at_once_and_a_heartbeat_is_not(self) -> None:
        announced, effects = self.fleet.announce(READY, self.now)
        self.assertTrue(announced.changed)
        pushed = list_sends(effects, Rumour)
        self.assertEqual([send.envelope.updates for send in pushed], [(READY,)] * 3)
        self.assertEqual(len({send.address for send in pushed}), 3)
        announced, effects = self.fleet.announce(replace(READY, sequence=6), self.now)
        self.assertEqual((announced.accepted, announced.changed), (True, False))
        self.assertEqual(list_sends(effects, Rumour), [])
        self.assertGreaterEqual(len(list_sends(effects, Heartbeat)), 2)

    def test_a_drain_heard_by_heartbeat_is_news(self) -> None:
        """
        The entry that received a server's drain is killed before its rumours arrive, but a
        heartbeat reached a watcher. The watcher must apply the drain and send it on.
        """
        self.receive(wrap(Rumour(), READY))
        heartbeat = Heartbeat(READY.server_id, 1, 6, ServerState.DRAINING)
        for stale in (replace(heartbeat, sequence=4), replace(heartbeat, boot_id=0)):
            self.receive(wrap(stale))
            self.assertEqual(self.find(), READY)
        self.receive(wrap(heartbeat))
        found = self.find()
        self.assertEqual(found and (found.state, found.sequence), (ServerState.DRAINING, 6))

    def test_a_dead_instance_is_told_first(self) -> None:
        """
        An instance was declared dead while it was cut off, and probes one that holds that record.
        The answer must carry the record, or the instance runs for long without counting as live.
        """
        self.receive(wrap(Rumour(), make_member(3, state=2), sender=2))
        answers = list_sends(self.receive(wrap(Ping(7), sender=3)), Ack)
        self.assertEqual(answers[0].envelope.updates[0], make_member(3, state=2))

    # Guards against a late answer to one probe that counts for the next one.
    def test_only_the_answer_to_the_running_probe_counts(self) -> None:
        pings: list[Send] = []
        while len({ping.envelope.body for ping in pings}) < 2:
            self.now += LIMITS.probe_interval / 2
            pings += list_sends(self.fleet.tick(self.now), Ping)
        number = int(pings[-1].address.split(":")[0].split(".")[3])
        for ping, counts in ((pings[0], False), (pings[-1], True)):
            body = ping.envelope.body
            assert isinstance(body, Ping)
            self.receive(wrap(Ack(body.sequence, InstanceId(f"entry-{number}")), sender=number))
            self.assertEqual(self.fleet.has_peer_contact, counts)

    def test_an_old_repair_is_answered_with_the_newer_record(self) -> None:
        stopped = replace(READY, sequence=9, state=ServerState.STOPPED)
        self.receive(wrap(Rumour(), stopped))
        answers = list_sends(self.receive(wrap(Repair(), READY)), Repair)
        self.assertEqual([send.envelope.updates for send in answers], [(stopped,)])
        self.assertEqual(list_sends(self.receive(wrap(Rumour(), READY)), Repair), [])

    def test_what_waited_in_the_sockets_of_a_long_pause_is_dropped(self) -> None:
        """
        A virtual machine is paused for a day and continues. Its sockets hold rumours and an
        announcement of a server that stopped long ago, and whose tombstone all have removed.
        """
        self.now += LIMITS.stopped_retention_seconds
        self.receive(wrap(Rumour(), READY))
        announced, _ = self.fleet.announce(READY, self.now)
        self.assertEqual((announced.accepted, announced.relayed), (False, False))
        self.assertIsNone(self.find())
        for _ in range(11):
            self.now += 0.1
            self.fleet.tick(self.now)
        self.receive(wrap(Rumour(), READY))
        self.assertEqual(self.find(), READY)

    def test_a_short_pause_drops_nothing(self) -> None:
        self.now += 600.0
        self.receive(wrap(Rumour(), READY))
        self.assertEqual(self.find(), READY)

    def test_an_instance_without_answers_says_that_it_relays_nothing(self) -> None:
        announced, _ = self.fleet.announce(READY, self.now)
        self.assertFalse(announced.relayed)
        pings = [s for _ in range(12) for s in list_sends(self.step(), Ping)]
        body = pings[-1].envelope.body
        assert isinstance(body, Ping)
        number = int(pings[-1].address.split(":")[0].rsplit(".", 1)[1])
        self.receive(wrap(Ack(body.sequence, InstanceId(f"entry-{number}")), sender=number))
        self.assertTrue(self.fleet.has_peer_contact)
        for _ in range(50):
            self.step()
        self.assertFalse(self.fleet.has_peer_contact)

    def step(self) -> list[Effect]:
        self.now += 0.1
        return self.fleet.tick(self.now)

    def test_a_probe_that_a_pause_interrupted_judges_nobody(self) -> None:
        """
        The process is paused between a ping and its answer. If the clock ended the round, the
        target would be suspected right after every pause.
        """
        while not list_sends(self.step(), Ping):
            pass
        self.now += 300.0
        self.fleet.tick(self.now)
        self.assertEqual(self.fleet.members.suspected_count, 0)

    def test_a_watcher_contradicts_a_loss_that_it_knows_better(self) -> None:
        """
        Two watchers that missed heartbeats declare a server lost, while the third has just heard
        it. The third must refute the loss before the server's next announcement.
        """
        own = self.fleet.members.own.instance_id
        choice = self.fleet.heartbeats.choice
        names = (ServerId(f"worker-{number}") for number in range(1000))
        watched = next(name for name in names if own in choice.list_watchers(name))
        record = replace(READY, server_id=watched)
        self.receive(wrap(Rumour(), record))
        for _ in range(6):
            self.step()
        self.receive(wrap(Heartbeat(watched, 1, 8, ServerState.READY)))
        self.receive(wrap(Rumour(), replace(record, lost=True, sequence=7)))
        found = self.fleet.directory.find(watched)
        self.assertEqual(found, replace(record, sequence=8))

    def test_many_records_learned_at_once_are_not_passed_on(self) -> None:
        records = [replace(READY, server_id=ServerId(f"worker-{n}")) for n in range(20)]
        self.receive(wrap(Repair(), *records[:10]))
        sends = [send for _ in range(5) for send in list_sends(self.step(), Rumour)]
        updates = [update for send in sends for update in send.envelope.updates]
        self.assertEqual([update for update in updates if update in records], [])

    def test_a_large_store_exchanges_often_once_it_has_settled(self) -> None:
        records = [replace(READY, server_id=ServerId(f"worker-{n}")) for n in range(100)]
        self.receive(wrap(Repair(), *records))
        starts = []
        for second in range(30):
            self.now += 0.1
            effects = self.receive(wrap(Ping(second)))
            starts.append(len(list_sends(effects, GroupDigests)))
        self.assertEqual(sum(starts[:9]), 1)
        self.assertGreaterEqual(sum(starts[10:]), 6)

    def test_a_newer_revision_is_reported(self) -> None:
        self.fleet.set_revision(Revision(4))
        for revision, expected in ((3, False), (4, False), (5, True)):
            effects = self.receive(wrap(Ping(1), revision=revision))
            found = NewerRevision(InstanceId("entry-1"), Revision(5)) in effects
            self.assertEqual(found, expected)


if __name__ == "__main__":
    unittest.main()
