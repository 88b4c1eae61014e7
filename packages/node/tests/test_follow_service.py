"""Tests of a keeper's messages to its followers, with fake streams and a fake log."""

from persimmonusher_node import loop

loop.install()

import unittest  # noqa: E402
from collections.abc import Callable  # noqa: E402
from random import Random  # noqa: E402
from types import SimpleNamespace  # noqa: E402
from typing import Any, cast  # noqa: E402

import eventlet  # noqa: E402

from persimmonusher_agreement.configuration_objects import (  # noqa: E402
    Batch,
    ObjectKey,
    ObjectKind,
    Record,
)
from persimmonusher_model.identifiers import Revision  # noqa: E402
from persimmonusher_node.clock import SystemClock  # noqa: E402
from persimmonusher_node.keeper_followers import FollowerCount  # noqa: E402
from persimmonusher_node.loop import start_coroutine  # noqa: E402
from persimmonusher_node.tiers.follow_service import FollowService  # noqa: E402
from persimmonusher_node.tiers.packed_parts import pack_part, unpack_part  # noqa: E402
from persimmonusher_protocol import control_pb2 as pb  # noqa: E402
from persimmonusher_protocol import keeper_pb2  # noqa: E402

FOLLOWERS = 58


class FakeView:
    """A configuration whose batches hold `servers_held` records, at a revision that rises."""

    def __init__(self) -> None:
        self.at = Revision(1)
        self.collected = 0
        self.servers_held = 1
        self.servers = SimpleNamespace(is_in_domain=lambda name, domain: name.startswith(domain))
        self.changed: Callable[[Revision, list[ObjectKey]], None] = lambda revision, keys: None

    def on_change(self, listener: Callable[[Revision, list[ObjectKey]], None]) -> None:
        self.changed = listener

    def revision(self) -> Revision:
        return self.at

    def collect_since(self, since: Revision) -> Batch:
        self.collected += 1
        records = tuple(
            Record(ObjectKey(ObjectKind.SERVER, f"s{number}"), self.at, "{}", f"c{number}", "k1")
            for number in range(self.servers_held)
        )
        return Batch("log", since, self.at, records, False)

    def commit(self) -> None:
        self.at = Revision(self.at + 1)
        self.changed(self.at, [])


class FakeStream:
    """One follower's stream, which records the updates sent."""

    def __init__(self, number: int) -> None:
        domain = "south" if number == 0 else "north"
        address = f"10.0.0.{number}:7000"
        self.request = pb.FollowRequest(
            instance=f"e{number}", address=address, failure_domain=domain
        )
        self.sent: list[pb.FollowUpdate] = []

    async def recv_message(self) -> pb.FollowRequest:
        return self.request

    async def send_message(self, update: pb.FollowUpdate) -> None:
        self.sent.append(update)


def make_role() -> Any:
    member = SimpleNamespace(address="10.1.0.1:7000", failure_domain="north", keeper="k1")
    log = SimpleNamespace(members=SimpleNamespace(members=(member,)))
    replica = SimpleNamespace(log=log, is_leader=True, find_majority_age=lambda now: 0.02)
    keeper = SimpleNamespace(replica=replica)
    return SimpleNamespace(keeper=keeper, followers=FollowerCount(), identity="k1")


class FollowServiceTest(unittest.TestCase):
    def setUp(self) -> None:
        self.view = FakeView()
        view, channels = cast("Any", self.view), cast("Any", None)
        self.service = FollowService("north", make_role(), view, channels, SystemClock(), Random(1))
        self.streams = [FakeStream(number) for number in range(FOLLOWERS)]
        for stream in self.streams:
            task = start_coroutine(self.service.Follow(cast("Any", stream)))
            self.addCleanup(task.cancel)
        eventlet.sleep(0.1)

    def report(self, number: int) -> None:
        notice = pb.Notice(service="entries", server=f"s{number}", boot=1, request=f"r{number}")
        batch = pb.NoticeBatch(notices=[notice], relayed=True)
        self.service._relay.relay(batch)

    def test_notices_in_quick_succession_share_their_messages(self) -> None:
        """A hundred servers fail within a second, and each follower is sent a notice of each."""
        before = sum(len(stream.sent) for stream in self.streams)
        for number in range(100):
            self.report(number)
            eventlet.sleep(0.01)
        eventlet.sleep(0.2)
        sent = sum(len(stream.sent) for stream in self.streams) - before
        self.assertLess(sent, FOLLOWERS * 30)
        for stream in self.streams:
            received = [notice.server for update in stream.sent for notice in update.notices]
            self.assertEqual(received, [f"s{number}" for number in range(100)])

    def test_a_keeper_without_followers_keeps_no_notices(self) -> None:
        """All entries of a domain follow its other keeper for days.

        Guards against notices that are queued until a follower comes: they would fill the memory,
        and the first follower would avoid servers because of failures of long ago.
        """
        service = FollowService(
            "north",
            make_role(),
            cast("Any", FakeView()),
            cast("Any", None),
            SystemClock(),
            Random(1),
        )
        notice = pb.Notice(service="entries", server="s1", boot=1, request="r1")
        service._relay.relay(pb.NoticeBatch(notices=[notice], relayed=True))
        late = FakeStream(1)
        task = start_coroutine(service.Follow(cast("Any", late)))
        self.addCleanup(task.cancel)
        eventlet.sleep(0.1)
        service._relay.relay(pb.NoticeBatch(notices=[pb.Notice(server="s2")], relayed=True))
        eventlet.sleep(0.3)
        received = [notice.server for update in late.sent for notice in update.notices]
        self.assertEqual(received, ["s2"])

    def test_one_notice_is_told_at_once(self) -> None:
        eventlet.sleep(0.2)
        self.report(1)
        eventlet.sleep(0.05)
        received = [update for stream in self.streams for update in stream.sent if update.notices]
        self.assertEqual(len(received), FOLLOWERS)

    def test_a_change_is_collected_once_for_all_followers(self) -> None:
        before = self.view.collected
        self.view.commit()
        eventlet.sleep(0.3)
        for stream in self.streams:
            self.assertEqual(max(update.part.revision for update in stream.sent), 2)
        self.assertEqual(self.view.collected, before + 1)

    def test_all_that_start_again_share_one_batch(self) -> None:
        """All processes were killed, and the entries come back within a second.

        Guards against encoding three thousand servers for each follower in turn: the last one of
        sixty then got its configuration seconds after the first.
        """
        view = FakeView()
        view.servers_held = 3_000
        service = FollowService(
            "north", make_role(), cast("Any", view), cast("Any", None), SystemClock(), Random(1)
        )
        streams = [FakeStream(number) for number in range(10)]
        for stream in streams:
            task = start_coroutine(service.Follow(cast("Any", stream)))
            self.addCleanup(task.cancel)
            eventlet.sleep(0.1)
        for stream in streams:
            parts = [part for part in map(unpack_part, stream.sent) if part is not None]
            self.assertEqual(sum(len(part.records) for part in parts), 3_000)
            fresh = [update.HasField("majority_age_ms") for update in stream.sent[: len(parts)]]
            self.assertEqual(fresh, [False, False, True])
        self.assertEqual(view.collected, 1)

    def test_news_says_nothing_of_freshness(self) -> None:
        """A notice that all followers share may be delayed by a follower that reads slowly.

        An entry that took it as proof of a recent majority would trust an old configuration.
        """
        self.report(1)
        eventlet.sleep(0.3)
        news = [update for update in self.streams[0].sent if update.notices]
        self.assertTrue(news)
        for update in news:
            self.assertFalse(update.HasField("majority_age_ms"))

    def test_a_follower_elsewhere_is_told_the_loads_of_its_own_servers(self) -> None:
        """The entries of a domain without a keeper follow one in another domain.

        Guards against sending each of them the loads of all servers twice a second, over links that
        are paid for by the byte.
        """
        loads = {"south-1": 2, "north-1": 3}
        self.service._loads.record("e1", loads, SystemClock().monotonic())
        eventlet.sleep(0.7)
        for number, servers in ((0, {"south-1"}), (1, {"south-1", "north-1"})):
            received = [update for update in self.streams[number].sent if update.has_loads]
            self.assertEqual({load.server for load in received[-1].loads}, servers)

    def test_keepers_and_peers_are_told_when_they_change(self) -> None:
        eventlet.sleep(1.2)
        received = [update for update in self.streams[0].sent if update.keepers]
        self.assertLessEqual(len(received), 2)
        self.assertEqual(len(received[-1].peers), FOLLOWERS)
        eventlet.sleep(1.2)
        self.assertEqual(len([u for u in self.streams[0].sent if u.keepers]), len(received))


class PackedPartTest(unittest.TestCase):
    def make_part(self, records: int) -> keeper_pb2.PullPart:
        body = '{"service": "entries", "address": "10.0.0.%d:80", "state": "ready"}'
        return keeper_pb2.PullPart(
            lineage="log",
            revision=records,
            records=[keeper_pb2.Record(name=f"s{n}", body=body % n) for n in range(records)],
            last=True,
        )

    def test_a_part_arrives_as_it_was(self) -> None:
        for records in (0, 1, 500):
            with self.subTest(records=records):
                part = self.make_part(records)
                self.assertEqual(unpack_part(pack_part(part)), part)

    def test_all_servers_take_a_fraction_of_their_size(self) -> None:
        """All processes were killed, and each entry gets all servers from a keeper elsewhere."""
        part = self.make_part(500)
        self.assertLess(pack_part(part).ByteSize(), part.ByteSize() / 4)

    def test_bytes_that_are_no_part_are_refused(self) -> None:
        packed = pack_part(self.make_part(500)).packed_part
        for name, data in {"noise": b"noise", "cut": packed[:-9]}.items():
            with self.subTest(name=name), self.assertRaises(ValueError):
                unpack_part(pb.FollowUpdate(packed_part=data))


if __name__ == "__main__":
    unittest.main()
