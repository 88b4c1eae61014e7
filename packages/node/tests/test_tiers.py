from persimmonusher_node import loop

loop.install()

import json  # noqa: E402
import tempfile  # noqa: E402
import time  # noqa: E402
import unittest  # noqa: E402
from collections.abc import Callable, Mapping  # noqa: E402
from contextlib import ExitStack  # noqa: E402
from dataclasses import replace  # noqa: E402
from pathlib import Path  # noqa: E402
from random import Random  # noqa: E402
from typing import Any  # noqa: E402

import eventlet  # noqa: E402
from free_ports import find_port  # noqa: E402

from persimmonusher_agreement.configuration_keeper import LossTolerance  # noqa: E402
from persimmonusher_agreement.registration import RegisteredState, Registration  # noqa: E402
from persimmonusher_decisions.costs import CostSample  # noqa: E402
from persimmonusher_decisions.notices import Notice, NoticeKind  # noqa: E402
from persimmonusher_decisions.quota_shares import QuotaTerms  # noqa: E402
from persimmonusher_model.errors import ErrorCode, UsherError  # noqa: E402
from persimmonusher_model.identifiers import CallerId, ServerId, ServiceName  # noqa: E402
from persimmonusher_model.organisations import (  # noqa: E402
    Organisation,
    RequestQuota,
    digest_key,
)
from persimmonusher_model.profile import Profile  # noqa: E402
from persimmonusher_model.routing import (  # noqa: E402
    CallerLimits,
    DocumentCodec,
    RouteRule,
    RoutingDocument,
    ServiceEntry,
    WeightedService,
)
from persimmonusher_node.applied_document import AppliedDocument  # noqa: E402
from persimmonusher_node.clock import SystemClock  # noqa: E402
from persimmonusher_node.configuration_client import ConfigurationClient  # noqa: E402
from persimmonusher_node.grpc_listener import GrpcListener  # noqa: E402
from persimmonusher_node.keeper import KeeperRole  # noqa: E402
from persimmonusher_node.keeper_seeds import SeededFormation  # noqa: E402
from persimmonusher_node.peers import (  # noqa: E402
    MAX_UNANSWERED_SECONDS,
    ChannelPool,
    PeerChannel,
)
from persimmonusher_node.ports import QuotaVerdict  # noqa: E402
from persimmonusher_node.settings import Listeners, Role, Settings  # noqa: E402
from persimmonusher_node.tiers.entry_daemon import (  # noqa: E402
    FollowedConfiguration,
    make_follower,
)
from persimmonusher_node.tiers.entry_ports import RegisteredDirectory  # noqa: E402
from persimmonusher_node.tiers.follow_service import FollowService  # noqa: E402
from persimmonusher_node.tiers.grpc_quotas import GrpcQuotas  # noqa: E402
from persimmonusher_node.tiers.keeper_control import KeeperControl  # noqa: E402
from persimmonusher_node.tiers.keeper_port import ReportedLoads  # noqa: E402
from persimmonusher_node.tiers.keeper_quotas import KeeperQuotas  # noqa: E402
from persimmonusher_node.tiers.leader import LeaderCalls  # noqa: E402
from persimmonusher_node.tiers.peer_notices import PeerNoticeService  # noqa: E402
from persimmonusher_node.tiers.quota_router import QuotaRouter  # noqa: E402
from persimmonusher_node.tiers.quota_service import QuotaService  # noqa: E402
from persimmonusher_protocol import control_pb2  # noqa: E402

SERVICE = ServiceName("entries")
IN_FORCE_SECONDS = Settings.model_fields["stale_seconds"].default
READY = Registration("s1", SERVICE, "10.0.0.1:80", "north", 4, 1, 1, RegisteredState.READY)


class PlainCodec(DocumentCodec):
    """A document of one route, in JSON: {"version": N, "quotas": {NAME: REQUESTS A SECOND}}."""

    def parse(self, content: bytes) -> RoutingDocument:
        fields = json.loads(content)
        version = fields["version"]
        if version < 0:
            raise UsherError(ErrorCode.BAD_VALUE, "the version is negative")
        parts = (WeightedService(SERVICE, 1),)
        rule = RouteRule("r", "shop.example", "/", True, 0, 100, 1000, 2, parts)
        limits = CallerLimits(16_384, 65_536, 3.0, 15.0)
        organisations = tuple(
            Organisation(CallerId(name), (digest_key(name),), None, RequestQuota(rate, rate))
            for name, rate in fields.get("quotas", {}).items()
        )
        services = (ServiceEntry(SERVICE, "/health", 390),)
        return RoutingDocument(version, limits, (rule,), services, organisations)


class KeeperNode:
    """One keeper in this process, composed as the daemon does it."""

    def __init__(self, number: int, port: int, seeds: tuple[str, ...], folder: Path) -> None:
        self.settings = Settings(
            instance_id=f"k{number}",
            failure_domain="north" if number == 1 else "south",
            role=Role.KEEPER,
            listen=Listeners(peers=f"127.0.0.1:{port}", control=f"127.0.0.1:{find_port()}"),
            seeds=seeds,
            bootstrap=True,
            data_folder=str(folder / f"k{number}"),
            peer_token="peers",
        )
        clock = SystemClock()
        self.stack = ExitStack()
        channels = self.stack.enter_context(ChannelPool("peers"))
        document = AppliedDocument(PlainCodec(), Profile())
        self.view = ConfigurationClient(
            self.settings, channels, clock, Random(number), document=document
        )
        tolerance = LossTolerance.for_losses(1)
        formation = SeededFormation(
            seeds, self.settings.listen.peers, 3, True, self.settings.failure_domain
        )
        self.role = KeeperRole(
            self.settings, channels, clock, self.view, Random(number), formation, tolerance
        )
        leader = LeaderCalls(self.role, channels, clock)
        self.control = KeeperControl(self.settings, self.role, self.view, leader, PlainCodec())
        follow = FollowService(
            self.settings.failure_domain, self.role, self.view, channels, clock, Random(1)
        )
        terms = QuotaTerms(slack=20.0)
        quotas = QuotaService(self.role, self.view, channels, terms, 3, clock)
        self.listener = GrpcListener(
            self.settings.listen.peers,
            [*self.role.list_peer_handlers(), follow, quotas],
            {"peers": "peer"},
        )
        self.listener.start()
        self.stack.callback(self.listener.stop)
        self.stack.enter_context(self.role)


class RedirectedChannels(ChannelPool):
    """Channels that can lead to other addresses, such as one that never answers."""

    redirected: Mapping[str, str] = {}

    def get(self, address: str, max_unanswered: float = MAX_UNANSWERED_SECONDS) -> PeerChannel:
        return super().get(self.redirected.get(address, address), max_unanswered)


class EntryNode:
    """One entry's follower, quotas and directory, without a data plane."""

    def __init__(self, number: int, seeds: tuple[str, ...]) -> None:
        settings = Settings(
            instance_id=f"e{number}",
            failure_domain="north",
            role=Role.ENTRY,
            listen=Listeners(peers=f"127.0.0.1:{find_port()}"),
            seeds=seeds,
            peer_token="peers",
        )
        clock = SystemClock()
        self.stack = ExitStack()
        self.channels = channels = self.stack.enter_context(RedirectedChannels("peers"))
        document = AppliedDocument(PlainCodec(), Profile())
        self.view = FollowedConfiguration(
            settings, channels, clock, Random(number), document=document
        )
        self.follower = make_follower(settings, self.view, channels, clock, Random(number))
        self.view.follower = self.follower
        self.router = self.stack.enter_context(
            QuotaRouter(
                settings.listen.peers,
                self.follower.list_keepers,
                lambda: self.follower.peers,
                GrpcQuotas(channels),
                clock,
                Random(number),
            )
        )
        self.quotas = KeeperQuotas(f"e{number}", self.router, clock)
        self.directory = RegisteredDirectory(self.view)
        self.heard: list[Notice] = []
        self.follower.on_notice = self.heard.append
        service = PeerNoticeService(self.heard.append, self.router)
        listener = GrpcListener(settings.listen.peers, [service], {"peers": "peer"})
        listener.start()
        self.stack.callback(listener.stop)
        self.stack.enter_context(self.follower)


class TiersTest(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        ports = [find_port() for _ in range(3)]
        self.seeds = tuple(f"127.0.0.1:{port}" for port in ports)
        self.keepers = [
            KeeperNode(number, port, self.seeds, Path(folder.name))
            for number, port in enumerate(ports, 1)
        ]
        for keeper in self.keepers:
            self.addCleanup(keeper.stack.close)
        self.entries = [EntryNode(number, self.seeds) for number in (1, 2)]
        for entry in self.entries:
            self.addCleanup(entry.stack.close)

    def wait_for(self, what: Callable[[], Any], seconds: float = 10.0) -> None:
        deadline = time.monotonic() + seconds
        while not what():
            self.assertLess(time.monotonic(), deadline, "condition not met in time")
            eventlet.sleep(0.02)

    def put(self, version: int, keeper: int = 0, **fields: Any) -> bytes:
        content = json.dumps({"version": version, **fields}).encode()
        self.wait_for(lambda: self.try_put(content, keeper))
        return content

    def try_put(self, content: bytes, keeper: int) -> bool:
        try:
            self.keepers[keeper].control.replace_document(content)
        except UsherError as error:
            if error.code is not ErrorCode.NO_QUORUM:
                raise
            return False
        return True

    def test_an_accepted_document_and_servers_reach_the_entries(self) -> None:
        """Keepers and entries start with three seeds and no other addresses, in any order.

        A document that one keeper accepts must come into force at entries that follow another, and
        every keeper must return it byte for byte.
        """
        self.assertFalse(self.entries[0].view.is_configured())
        content = self.put(3)
        self.keepers[1].control.register(READY)
        for entry in self.entries:
            self.wait_for(lambda entry=entry: entry.view.find_rule("shop.example", "/x"))
            self.wait_for(lambda entry=entry: entry.directory.list_servers(SERVICE))
            self.wait_for(entry.view.is_current, IN_FORCE_SECONDS)
            profile = entry.view.find_profile(SERVICE)
            assert profile is not None
            self.assertEqual(profile.connections_per_server, 390)
            self.wait_for(lambda entry=entry: entry.follower.entries == 2)
        for keeper in self.keepers:
            self.wait_for(lambda keeper=keeper: keeper.view.revision() >= 2)
            self.assertEqual(keeper.control.read_document(), content)
        self.put(2, keeper=2)
        self.assertEqual(self.keepers[0].control.read_document(), content)
        with self.assertRaises(UsherError):
            self.keepers[0].control.replace_document(b'{"version": -1}')

    def test_a_leaving_server_is_out_at_entries_of_every_keeper(self) -> None:
        """A server deregisters at one keeper; entries that follow other keepers drop it.

        A late heartbeat of the same boot, sent to a third keeper, must not bring it back.
        """
        self.put(1)
        self.keepers[0].control.register(READY)
        entry = self.entries[0]
        self.wait_for(lambda: entry.directory.list_servers(SERVICE))
        self.keepers[1].control.deregister("s1", None)
        self.wait_for(lambda: not entry.directory.list_servers(SERVICE))
        self.keepers[2].control.register(READY)
        eventlet.sleep(0.3)
        self.assertEqual(entry.directory.list_servers(SERVICE), [])

    def test_a_word_of_an_unknown_service_takes_no_address(self) -> None:
        """Another process registers a server's address for a service without a route.

        Guards against such a registration removing the real server.
        """
        self.put(1)
        self.keepers[0].control.register(READY)
        odd = replace(READY, server_id="odd", service="odd", boot=9)
        self.wait_for(lambda: self.keepers[0].view.find_record(READY.key))
        with self.assertRaises(UsherError) as caught:
            self.keepers[0].control.register(odd)
        self.assertIs(caught.exception.code, ErrorCode.NOT_FOUND)
        entry = self.entries[0]
        self.wait_for(lambda: entry.directory.list_servers(SERVICE))

    def test_without_a_majority_nothing_is_acknowledged_or_read(self) -> None:
        """Two of three keepers are lost; an operator and a server reach the third.

        If it acknowledged a change, entries might never get it, and a read could return less than
        what the others have acknowledged.
        """
        self.put(1)
        self.keepers[0].control.register(READY)
        self.wait_for(lambda: all(k.view.revision() >= 2 for k in self.keepers))
        for keeper in self.keepers[1:]:
            keeper.stack.close()
        last = self.keepers[0].control
        self.assertEqual(last.register(READY).address, None)
        calls: list[Callable[[], Any]] = [
            lambda: last.replace_document(b'{"version": 9}'),
            lambda: last.deregister("s1", None),
            last.read_document,
        ]
        for call in calls:
            with self.assertRaises(UsherError) as caught:
                call()
            self.assertIs(caught.exception.code, ErrorCode.NO_QUORUM)
        self.wait_for(lambda: not self.entries[0].view.is_current())
        self.assertTrue(self.entries[0].view.is_configured())

    def test_a_failure_is_told_to_entries_of_every_keeper(self) -> None:
        self.put(1)
        self.wait_for(lambda: all(entry.view.is_current() for entry in self.entries))
        notice = Notice(NoticeKind.CRASHED, SERVICE, ServerId("s1"), 1, "poison")
        self.entries[0].follower.report([notice])
        self.wait_for(lambda: notice in self.entries[1].heard)

    def test_entries_tell_each_other_of_failures_while_no_keeper_answers(self) -> None:
        """The keepers are cut off from all entries for hours, while servers fail in turn.

        Without direct notices each entry would have to see each failure for itself, at the cost of
        a request that can't be sent again.
        """
        self.put(1)
        first, second = self.entries
        self.wait_for(lambda: first.follower.entries == second.follower.entries == 2)
        # The keeper in their own failure domain sends each of them the other's address.
        self.wait_for(lambda: len(first.follower._peers._peers) == 1)
        for keeper in self.keepers:
            keeper.stack.close()
        self.wait_for(lambda: first.follower.followed is None)
        notice = Notice(NoticeKind.FAILED, SERVICE, ServerId("s1"), 1)
        first.follower.report([notice])
        self.wait_for(lambda: notice in second.heard)

    def test_entries_of_one_keeper_learn_what_all_of_them_have_in_progress(self) -> None:
        """Two entries of one domain each have a few requests at the same near server.

        By its own count alone, each would consider it nearly idle and send it more.
        """
        self.put(1)
        heard: list[dict[ServerId, int]] = []
        first, second = (entry.follower for entry in self.entries)
        self.wait_for(lambda: all(entry.view.is_current() for entry in self.entries))
        first.read_loads = lambda: {ServerId("s1"): 2}
        second.read_loads = lambda: {ServerId("s1"): 3, ServerId("s2"): 1}
        second.on_loads = lambda loads: heard.append(dict(loads))
        self.wait_for(lambda: {"s1": 5, "s2": 1} in heard)
        first.read_loads = second.read_loads = dict
        heard.clear()
        self.wait_for(lambda: {} in heard)

    # Guards against work that is lost or without an age on its way from entry to entry.
    def test_entries_learn_the_work_of_all_of_them(self) -> None:
        """Load pattern: one entry has a steady request at a server, the other one is idle."""
        self.put(1)
        heard: list[tuple[control_pb2.FollowUpdate, float]] = []
        first, second = (entry.follower for entry in self.entries)
        self.wait_for(lambda: all(entry.view.is_current() for entry in self.entries))
        sample = CostSample(SERVICE, "r:/lookup", 3, 0.38)
        work = {ServerId("s1"): 0.7}
        first.make_report = lambda loads: ReportedLoads({ServerId("s1"): 2}, work, (sample,))
        second.on_fleet_work = lambda update, delay: heard.append((update, delay))
        self.wait_for(lambda: any(u.fleet_loads and delay < 0.3 for u, delay in heard))
        self.wait_for(lambda: any(u.costs for u, _ in heard))
        [load] = next(u.fleet_loads for u, _ in heard if u.fleet_loads)
        self.assertEqual((load.server, load.in_progress, load.work_ms), ("s1", 2, 700))
        [cost] = next(u.costs for u, _ in heard if u.costs)
        self.assertEqual((cost.kind, cost.mean_ms), ("r:/lookup", 380))

    def find_organisation(self, entry: EntryNode) -> Organisation:
        book = entry.view.organisations
        assert book is not None
        found = book.find(CallerId("acme"))
        assert found is not None
        return found

    def put_quota(self, rate: int) -> None:
        self.put(1, quotas={"acme": rate})
        for entry in self.entries:
            self.wait_for(lambda entry=entry: entry.view.is_current() and entry.view.organisations)

    def count_granted(self, requests: int) -> int:
        """Ask for tokens at both entries in turn; return how many were granted."""
        verdicts = []
        for number in range(requests):
            entry = self.entries[number % len(self.entries)]
            verdicts.append(entry.quotas.acquire(self.find_organisation(entry)))
        self.assertNotIn(QuotaVerdict.UNKNOWN, verdicts)
        return verdicts.count(QuotaVerdict.GRANTED)

    def test_a_quota_holds_over_entries_of_every_keeper(self) -> None:
        """Guards against an organisation that gets its whole quota from each keeper."""
        self.put_quota(10)
        begun = time.monotonic()
        granted = self.count_granted(200)
        earned = 10 * (time.monotonic() - begun)
        self.assertLessEqual(granted, 10 + 20 + earned)
        self.assertGreaterEqual(granted, 1)
        eventlet.sleep(1.0)
        self.assertGreaterEqual(self.count_granted(20), 5)

    def test_a_lost_keepers_entries_get_their_requests_granted_by_another(self) -> None:
        """Guards against refusing organisations for as long as one keeper is lost."""
        self.put_quota(1000)
        self.assertEqual(self.count_granted(4), 4)
        self.keepers[0].stack.close()
        self.assertEqual(self.count_granted(4), 4)

    def test_a_token_at_hand_is_used_while_no_keeper_answers(self) -> None:
        """Guards against refusing requests during the second in which all keepers restart."""
        self.put_quota(1000)
        entry = self.entries[0]
        organisation = self.find_organisation(entry)
        self.wait_for(lambda: entry.quotas.acquire(organisation) and entry.quotas._held, 15.0)
        for keeper in self.keepers:
            keeper.stack.close()
        self.assertIs(entry.quotas.acquire(organisation), QuotaVerdict.GRANTED)
        self.assertIs(entry.quotas.acquire(organisation), QuotaVerdict.UNKNOWN)

    def test_an_entry_without_a_way_to_the_keepers_gets_quota_through_another(self) -> None:
        """Guards against refusals at an entry that is cut off from all keepers, silently.

        Load: one request at a time, within the quota.
        """
        self.put_quota(1000)
        first, second = self.entries
        organisation = self.find_organisation(first)
        self.wait_for(lambda: len(first.follower.peers) == 2)
        silent = eventlet.listen(("127.0.0.1", 0))
        self.addCleanup(silent.close)
        address = "{}:{}".format(*silent.getsockname())
        first.channels.redirected = dict.fromkeys(self.seeds, address)
        deadline = time.monotonic() + 1.0
        while not second.router.tally["forwarded", "answered"]:
            self.assertLess(time.monotonic(), deadline, "no help in time")
            self.assertIs(first.quotas.acquire(organisation), QuotaVerdict.GRANTED)
        for _ in range(20):
            self.assertIs(first.quotas.acquire(organisation), QuotaVerdict.GRANTED)
        first.channels.redirected = {}
        answered = first.router.tally["keeper", "answered"]
        self.wait_for(
            lambda: first.quotas.acquire(organisation)
            and first.router.tally["keeper", "answered"] > answered
        )
