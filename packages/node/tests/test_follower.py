from persimmonusher_node import loop

loop.install()

import asyncio  # noqa: E402
import contextlib  # noqa: E402
import socket  # noqa: E402
import time  # noqa: E402
import unittest  # noqa: E402
from random import Random  # noqa: E402
from typing import Any  # noqa: E402

import eventlet  # noqa: E402
from entry_settings import make_entry_settings  # noqa: E402
from grpclib.const import Status  # noqa: E402
from grpclib.exceptions import GRPCError  # noqa: E402
from grpclib.server import Stream  # noqa: E402

from persimmonusher_decisions.entry_count import ENTRIES_MEMORY_SECONDS  # noqa: E402
from persimmonusher_model.clock import ManualClock  # noqa: E402
from persimmonusher_node.clock import SystemClock  # noqa: E402
from persimmonusher_node.configuration_client import ConfigurationClient  # noqa: E402
from persimmonusher_node.grpc_listener import GrpcListener  # noqa: E402
from persimmonusher_node.peers import ChannelPool  # noqa: E402
from persimmonusher_node.settings import Settings  # noqa: E402
from persimmonusher_node.tiers.entry_daemon import make_follower  # noqa: E402
from persimmonusher_node.tiers.follower import COUNT_SETTLE_SECONDS  # noqa: E402
from persimmonusher_protocol import control_pb2, keeper_pb2  # noqa: E402
from persimmonusher_protocol.control_grpc import ControlBase  # noqa: E402

FRESH_MS, STALE_MS = 10, 5_000
STALE_SECONDS = Settings.model_fields["stale_seconds"].default


class ScriptedKeeper(ControlBase):
    """A keeper that reports a set age of its last contact with a majority."""

    def __init__(self) -> None:
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            self.address = f"127.0.0.1:{probe.getsockname()[1]}"
        self.age_ms = FRESH_MS
        self.revision = 0
        self.delay_seconds = 0.0
        """Delay of each of its messages and answers."""
        self.peers: list[control_pb2.KeeperPlace] = []
        self.is_silent = False
        """Whether nothing is sent, as by a keeper that is cut off."""
        self.followers = 0
        self.streams = 0
        self.questions = 0
        """Calls that asked for its freshness."""
        self.start()

    def start(self) -> None:
        """Start to accept calls, at first or again after a stop."""
        self.listener = GrpcListener(self.address, [self], {"peers": "peer"})
        self.listener.start()

    def stop(self) -> None:
        self.listener.stop()

    async def read_call(self, stream: "Stream[Any, Any]") -> None:
        """Read a call's message; a silent keeper never gets further."""
        while self.is_silent:
            await asyncio.sleep(0.1)
        await stream.recv_message()

    async def Follow(  # noqa: N802
        self, stream: "Stream[control_pb2.FollowRequest, control_pb2.FollowUpdate]"
    ) -> None:
        await self.read_call(stream)
        self.followers += 1
        self.streams += 1
        try:
            while True:
                update = control_pb2.FollowUpdate(
                    majority_age_ms=self.age_ms, entries=1, keepers=self.peers
                )
                if not self.is_silent:
                    loop.start_coroutine(self.deliver(stream, update))
                await asyncio.sleep(0.1)
        finally:
            self.followers -= 1

    async def deliver(
        self,
        stream: "Stream[control_pb2.FollowRequest, control_pb2.FollowUpdate]",
        update: control_pb2.FollowUpdate,
    ) -> None:
        await asyncio.sleep(self.delay_seconds)
        with contextlib.suppress(Exception):
            await stream.send_message(update)

    async def ListKeepers(  # noqa: N802
        self, stream: "Stream[control_pb2.KeeperListRequest, control_pb2.KeeperList]"
    ) -> None:
        await self.read_call(stream)
        await stream.send_message(control_pb2.KeeperList(keepers=self.peers))

    async def ListRelays(self, stream) -> None:  # type: ignore[no-untyped-def]  # noqa: N802
        await stream.recv_message()
        await stream.send_message(control_pb2.RelayList())

    async def Report(  # noqa: N802
        self, stream: "Stream[control_pb2.NoticeBatch, keeper_pb2.Ack]"
    ) -> None:
        await self.read_call(stream)
        await stream.send_message(keeper_pb2.Ack())

    async def ShareLoads(  # noqa: N802
        self, stream: "Stream[control_pb2.LoadSums, keeper_pb2.Ack]"
    ) -> None:
        raise GRPCError(Status.UNIMPLEMENTED)

    async def ReportLoad(  # noqa: N802
        self, stream: "Stream[control_pb2.LoadReport, control_pb2.Standing]"
    ) -> None:
        self.questions += 1
        await self.read_call(stream)
        standing = control_pb2.Standing(majority_age_ms=self.age_ms, revision=self.revision)
        await asyncio.sleep(self.delay_seconds)
        await stream.send_message(standing)


class CountedEntriesTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = ManualClock()
        settings, channels = make_entry_settings("127.0.0.1:1"), ChannelPool("peers")
        view = ConfigurationClient(settings, channels, self.clock, Random(1))
        self.follower = make_follower(settings, view, channels, self.clock, Random(1))

    def is_reliable_after(self, seconds: float) -> bool:
        self.clock.advance(seconds)
        return self.follower.is_count_reliable

    # Guards against an entry that relies on the first count of a keeper that has just started too.
    def test_a_first_count_is_not_relied_on(self) -> None:
        self.assertEqual((self.follower.entries, self.is_reliable_after(60.0)), (0, False))
        self.follower.apply_update(control_pb2.FollowUpdate(majority_age_ms=1, entries=2))
        self.assertEqual(self.follower.entries, 2)
        self.assertFalse(self.is_reliable_after(COUNT_SETTLE_SECONDS - 0.1))
        self.assertTrue(self.is_reliable_after(0.1))

    # Guards against slack that is used both by an entry without a keeper and by the others.
    def test_the_count_of_a_keeper_that_was_lost_long_ago_is_not_relied_on(self) -> None:
        self.follower.apply_update(control_pb2.FollowUpdate(majority_age_ms=1, entries=40))
        self.assertTrue(self.is_reliable_after(ENTRIES_MEMORY_SECONDS))
        self.assertFalse(self.is_reliable_after(0.1))


class FollowerCase(unittest.TestCase):
    """A follower in the failure domain "north", and the keepers that it follows."""

    def start_keepers(self, *domains: str) -> None:
        """Start a keeper in each failure domain; each lists all of them."""
        self.keepers = [ScriptedKeeper() for _ in domains]
        places = [
            control_pb2.KeeperPlace(address=keeper.address, failure_domain=domain)
            for keeper, domain in zip(self.keepers, domains, strict=True)
        ]
        for keeper in self.keepers:
            keeper.peers = places
            self.addCleanup(keeper.stop)

    def start_follower(self, *seeds: str) -> None:
        settings = make_entry_settings(*seeds)
        channels = ChannelPool("peers")
        channels.__enter__()
        self.addCleanup(channels.__exit__, None, None, None)
        clock = SystemClock()
        view = ConfigurationClient(settings, channels, clock, Random(1))
        self.follower = make_follower(settings, view, channels, clock, Random(1))
        self.follower.start()
        self.addCleanup(self.follower.stop)

    def set_ages(self, *ages: int) -> None:
        for keeper, age in zip(self.keepers, ages, strict=True):
            keeper.age_ms = age

    def wait_until_current(self, seconds: float) -> None:
        deadline = time.monotonic() + seconds
        while not self.follower.is_current():
            self.assertLess(time.monotonic(), deadline, "condition not met in time")
            eventlet.sleep(0.02)

    def wait_for_followed_keeper(self, seconds: float) -> ScriptedKeeper:
        """Return the keeper that is followed; an entry is current as soon as one has answered."""
        deadline = time.monotonic() + seconds
        while not any(keeper.followers for keeper in self.keepers):
            self.assertLess(time.monotonic(), deadline, "no keeper is followed in time")
            eventlet.sleep(0.02)
        return next(keeper for keeper in self.keepers if keeper.followers)

    def find_oldest_age(self, seconds: float) -> float:
        """Return the largest age of the configuration during the next seconds."""
        deadline = time.monotonic() + seconds
        oldest = 0.0
        while time.monotonic() < deadline:
            oldest = max(oldest, self.follower.find_freshness().age)
            eventlet.sleep(0.02)
        return oldest


class FollowerTest(FollowerCase):
    def setUp(self) -> None:
        self.start_keepers("", "", "")
        self.start_follower(*(keeper.address for keeper in self.keepers))

    def test_an_entry_finds_the_side_of_a_cut_that_leads(self) -> None:
        """A cut splits the keepers. At first none has a majority, and the entry tries them all.

        Then one side elects a leader and accepts changes, while the other has none. An entry that
        follows a keeper of the other side uses an old configuration for as long as it avoids the
        keepers that it found stale before the election.
        """
        self.wait_until_current(3.0)
        for leading in range(3):
            with self.subTest(leading=leading):
                self.set_ages(STALE_MS, STALE_MS, STALE_MS)
                eventlet.sleep(2.5)
                self.assertFalse(self.follower.is_current())
                ages = [STALE_MS] * 3
                ages[leading] = FRESH_MS
                self.set_ages(*ages)
                self.wait_until_current(1.5)

    # Guards against transit time that grows gradually and isn't counted as age.
    def test_what_was_long_on_its_way_is_not_taken_for_fresh(self) -> None:
        self.wait_until_current(3.0)
        while self.keepers[0].delay_seconds < STALE_SECONDS + 1.0:
            for keeper in self.keepers:
                keeper.delay_seconds += 0.03
            eventlet.sleep(0.1)
        for _ in range(20):
            self.assertFalse(self.follower.is_current())
            eventlet.sleep(0.05)

    # Guards against following a keeper on a slow path while the paths to others are fast.
    def test_an_entry_turns_from_a_slow_way_to_another_keeper(self) -> None:
        self.wait_until_current(3.0)
        slow = self.wait_for_followed_keeper(3.0)
        slow.delay_seconds = 1.0
        for _ in range(60):
            eventlet.sleep(0.05)
            self.assertTrue(self.follower.is_current())
        self.assertEqual(slow.followers, 0)

    # Guards against trusting a keeper's freshness before the revision that it holds has arrived.
    def test_an_entry_that_lacks_what_its_keeper_holds_is_not_current(self) -> None:
        self.wait_until_current(3.0)
        for keeper in self.keepers:
            keeper.revision = 1
        eventlet.sleep(STALE_SECONDS + 1.0)
        self.assertFalse(self.follower.is_current())

    def test_without_any_leader_the_keepers_are_not_flooded(self) -> None:
        self.wait_until_current(3.0)
        self.set_ages(STALE_MS, STALE_MS, STALE_MS)
        before = sum(keeper.streams for keeper in self.keepers)
        eventlet.sleep(2.0)
        tried = sum(keeper.streams for keeper in self.keepers) - before
        self.assertLess(tried, 16)
        self.assertEqual(sum(keeper.followers for keeper in self.keepers), 1)


class LostKeepersTest(FollowerCase):
    # Guards against leaving a fresh keeper for nearer ones that are cut off and never answer.
    def test_a_fresh_keeper_is_kept_while_nearer_ones_are_cut_off(self) -> None:
        self.start_keepers("north", "north", "south")
        for keeper in self.keepers[:2]:
            keeper.is_silent = True
        self.start_follower(self.keepers[2].address)
        self.wait_until_current(5.0)
        self.assertLess(self.find_oldest_age(12.0), STALE_SECONDS)

    # Guards against avoiding a restarted keeper for longer than a change may take to be in force.
    def test_a_restarted_keeper_is_followed_while_all_others_are_stale(self) -> None:
        self.start_keepers("north", "north", "south")
        self.set_ages(STALE_MS, STALE_MS, FRESH_MS)
        self.start_follower(self.keepers[2].address)
        self.wait_until_current(3.0)
        self.keepers[2].stop()
        eventlet.sleep(0.5)
        self.keepers[2].start()
        self.assertLess(self.find_oldest_age(7.0), STALE_SECONDS)

    # Guards against going on to ask a keeper that was lost, once more for each loss.
    def test_only_the_followed_keeper_is_asked_after_others_were_lost(self) -> None:
        self.start_keepers("", "", "")
        self.start_follower(self.keepers[0].address)
        self.wait_until_current(3.0)
        for _ in range(4):
            followed = self.wait_for_followed_keeper(2.0)
            followed.is_silent = True
            eventlet.sleep(3.3)
            followed.is_silent = False
        before = [keeper.questions for keeper in self.keepers]
        eventlet.sleep(2.5)
        asked = [
            keeper.questions - count for keeper, count in zip(self.keepers, before, strict=True)
        ]
        self.assertLessEqual(sorted(asked)[-2], 1, "more than a single question to another keeper")
