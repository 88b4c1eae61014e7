from persimmonusher_node import loop

loop.install()

import asyncio  # noqa: E402
import os  # noqa: E402
import select  # noqa: E402
import socket  # noqa: E402
import unittest  # noqa: E402
from random import Random  # noqa: E402

import eventlet  # noqa: E402
from eventlet.greenthread import GreenThread  # noqa: E402
from grpclib.const import Cardinality, Handler  # noqa: E402
from grpclib.server import Stream  # noqa: E402

from persimmonusher_agreement.claims import ClaimRequest, Vote, VoteKind  # noqa: E402
from persimmonusher_agreement.register import Register  # noqa: E402
from persimmonusher_agreement.roster import Member, Roster  # noqa: E402
from persimmonusher_decisions.notices import Notice, NoticeKind  # noqa: E402
from persimmonusher_model.identifiers import (  # noqa: E402
    CallerId,
    FailureDomain,
    InstanceId,
    ServerId,
    ServiceName,
)
from persimmonusher_model.organisations import Organisation  # noqa: E402
from persimmonusher_node.claims import RegisterService  # noqa: E402
from persimmonusher_node.claims_link import ClaimsLink  # noqa: E402
from persimmonusher_node.clock import SystemClock  # noqa: E402
from persimmonusher_node.grpc_listener import GrpcListener  # noqa: E402
from persimmonusher_node.keeper_calls import CALL_ERRORS  # noqa: E402
from persimmonusher_node.peers import (  # noqa: E402
    MAX_OPENING_SECONDS,
    MAX_UNANSWERED_SECONDS,
    ChannelPool,
)
from persimmonusher_node.ports import QuotaVerdict  # noqa: E402
from persimmonusher_node.tiers.grpc_quotas import GrpcQuotas  # noqa: E402
from persimmonusher_node.tiers.keeper_quotas import KeeperQuotas  # noqa: E402
from persimmonusher_node.tiers.peer_notices import PeerNotices, PeerNoticeService  # noqa: E402
from persimmonusher_node.tiers.quota_router import QuotaRouter  # noqa: E402
from persimmonusher_protocol import control_pb2  # noqa: E402
from persimmonusher_protocol.control_grpc import PeersStub, QuotasBase, QuotasStub  # noqa: E402

PEER = InstanceId("i1")


class SilentRelay:
    """A TCP relay whose open connections can stop passing data for good without being closed."""

    def __init__(self, target: tuple[str, int]) -> None:
        self._target = target
        self._silent: set[socket.socket] = set()
        self._open: list[socket.socket] = []
        self._copies: list[GreenThread] = []
        self._listener = eventlet.listen(("127.0.0.1", 0))
        self.address = "{}:{}".format(*self._listener.getsockname())
        self._thread = eventlet.spawn(self._accept)

    def go_silent(self) -> None:
        self._silent.update(self._open)

    def stop_reading(self) -> socket.socket:
        """Leave all connections to the kernel; return the relay's socket to the first caller."""
        for thread in self._copies:
            thread.kill()
        return self._open[0]

    def stop(self) -> None:
        for thread in (self._thread, *self._copies):
            thread.kill()
        for sock in [*self._open, self._listener]:
            sock.close()

    def _accept(self) -> None:
        while True:
            near, _ = self._listener.accept()
            far = eventlet.connect(self._target)
            self._open += [near, far]
            self._copies.append(eventlet.spawn(self._copy, near, far))
            self._copies.append(eventlet.spawn(self._copy, far, near))

    def _copy(self, source: socket.socket, target: socket.socket) -> None:
        try:
            while data := source.recv(65_536):
                if source not in self._silent:
                    target.sendall(data)
        except OSError:
            return


class PeersTest(unittest.TestCase):
    def setUp(self) -> None:
        register = Register(PEER, 1, 600.0, 0.0)
        register.replace_roster(Roster(1, (Member(PEER, FailureDomain("d"), 1),)))
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            port = probe.getsockname()[1]
        service = RegisterService(register, SystemClock())
        listener = GrpcListener(f"127.0.0.1:{port}", [service], {"peers": "peer"})
        listener.start()
        self.addCleanup(listener.stop)
        self.relay = SilentRelay(("127.0.0.1", port))
        self.addCleanup(self.relay.stop)

    def make_link(self, keepalive_seconds: float) -> ClaimsLink:
        pool = ChannelPool("peers", keepalive_seconds)
        self.addCleanup(pool.__exit__, None, None, None)
        link = ClaimsLink(lambda: pool.get(self.relay.address))
        self.addCleanup(link.close)
        return link

    def claim(self, link: ClaimsLink, token: str) -> Vote | None:
        request = ClaimRequest(token, token, "work", 1, 600.0, 10.0)
        return loop.run_coroutine(link.claim(request, 0.1))

    def test_a_connection_that_went_silent_is_replaced(self) -> None:
        # Guards against keyed requests that are still refused for minutes after a network
        # partition has healed: the old connections wait for TCP's next retransmission, and nothing
        # opens new ones.
        link = self.make_link(keepalive_seconds=0.3)
        vote = self.claim(link, "t0")
        assert vote is not None
        self.assertEqual(vote.kind, VoteKind.GRANTED)
        self.relay.go_silent()
        self.assertIsNone(self.claim(link, "t1"))
        with eventlet.Timeout(10.0):
            while self.claim(link, "t2") is None:
                eventlet.sleep(0.05)

    # Guards against keyed requests that are refused until a ping fails.
    def test_claims_leave_a_silent_connection(self) -> None:
        link = self.make_link(keepalive_seconds=60.0)
        self.assertIsNotNone(self.claim(link, "t0"))
        self.relay.go_silent()
        with eventlet.Timeout(MAX_UNANSWERED_SECONDS + 1.0):
            while self.claim(link, "t1") is None:
                eventlet.sleep(0.05)

    def test_a_peer_that_is_gone_counts_as_silent_at_once(self) -> None:
        link = self.make_link(keepalive_seconds=5.0)
        self.relay.stop()
        started = SystemClock().monotonic()
        self.assertIsNone(self.claim(link, "t1"))
        self.assertLess(SystemClock().monotonic() - started, 2.0)


class GrantingQuotas(QuotasBase):
    """Grants every request after a delay."""

    delay_seconds = 0.0

    async def Take(  # noqa: N802
        self, stream: "Stream[control_pb2.QuotaRequest, control_pb2.QuotaReply]"
    ) -> None:
        await stream.recv_message()
        await asyncio.sleep(self.delay_seconds)
        await stream.send_message(control_pb2.QuotaReply(granted=True))

    async def Lend(  # noqa: N802
        self, stream: "Stream[control_pb2.LendRequest, control_pb2.LendReply]"
    ) -> None:
        raise NotImplementedError


class StandingKeeper:
    """Answers each load report with a fresh standing."""

    async def report(self, stream: "Stream[control_pb2.LoadReport, control_pb2.Standing]") -> None:
        await stream.recv_message()
        await stream.send_message(control_pb2.Standing(majority_age_ms=10))

    def __mapping__(self) -> dict[str, Handler]:
        handler = Handler(
            self.report, Cardinality.UNARY_UNARY, control_pb2.LoadReport, control_pb2.Standing
        )
        return {"/persimmonusher.control.Control/ReportLoad": handler}


class SilentChannelTest(unittest.TestCase):
    def setUp(self) -> None:
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            port = probe.getsockname()[1]
        self.noticed: list[Notice] = []
        self.quotas = GrantingQuotas()
        self.pool = self.enterContext(ChannelPool("peers", keepalive_seconds=60.0))
        self.router = QuotaRouter(
            "", lambda: [self.relay.address], list, GrpcQuotas(self.pool), SystemClock(), Random(1)
        )
        self.addCleanup(self.router.stop)
        notices = PeerNoticeService(self.noticed.append, self.router)
        services = [notices, self.quotas, StandingKeeper()]
        listener = GrpcListener(f"127.0.0.1:{port}", services, {"peers": "peer"})
        listener.start()
        self.addCleanup(listener.stop)
        self.relay = SilentRelay(("127.0.0.1", port))
        self.addCleanup(self.relay.stop)
        self.assertTrue(self.call())

    def take(self) -> bool:
        """Ask for a grant; return whether it was answered."""
        stub = QuotasStub(self.pool.get(self.relay.address))
        try:
            loop.run_coroutine(stub.Take(control_pb2.QuotaRequest(), timeout=1.0))
        except CALL_ERRORS:
            return False
        return True

    def call(self) -> bool:
        """Make one short call; return whether it was answered."""
        stub = PeersStub(self.pool.get(self.relay.address))
        try:
            loop.run_coroutine(stub.Tell(control_pb2.NoticeBatch(), timeout=0.2))
        except CALL_ERRORS:
            return False
        return True

    # Guards against calls that wait for TCP on a connection from before a network cut.
    def test_a_connection_without_answers_is_replaced_by_the_next_call(self) -> None:
        self.relay.go_silent()
        self.assertFalse(self.call())
        self.assertFalse(self.call())
        eventlet.sleep(MAX_UNANSWERED_SECONDS)
        self.assertTrue(self.call())

    # Guards against entries that learn of no failing server while keepers are away.
    def test_notices_leave_a_silent_connection(self) -> None:
        notices = PeerNotices("127.0.0.1:1", self.pool)
        notices.replace_peers([self.relay.address])
        self.relay.go_silent()
        notice = Notice(NoticeKind.FAILED, ServiceName("v1"), ServerId("s1"), 1)
        with eventlet.Timeout(MAX_UNANSWERED_SECONDS + 1.0):
            while not self.noticed:
                notices.send([notice])
                eventlet.sleep(0.1)

    # Guards against requests that are refused for want of a keeper's grant.
    def test_quotas_leave_a_silent_connection(self) -> None:
        quotas = KeeperQuotas("e1", self.router, SystemClock())
        organisation = Organisation(CallerId("acme"), ())
        self.relay.go_silent()
        with eventlet.Timeout(MAX_UNANSWERED_SECONDS + 1.0):
            while quotas.acquire(organisation) is not QuotaVerdict.GRANTED:
                eventlet.sleep(0.05)

    # Guards against connections to a slow peer that are given up again and again, unanswered.
    def test_a_slow_peer_is_heard_after_a_silence(self) -> None:
        self.relay.go_silent()
        self.assertFalse(self.call())
        eventlet.sleep(MAX_UNANSWERED_SECONDS)
        self.quotas.delay_seconds = 2 * MAX_OPENING_SECONDS
        takes: list[GreenThread] = []
        with eventlet.Timeout(10.0):
            while not any(take.dead and take.wait() for take in takes):
                takes.append(eventlet.spawn(self.take))
                eventlet.sleep(0.2)

    # Guards against a lost connection that counts as open while it is being opened again.
    def test_a_channel_is_not_open_while_it_reconnects(self) -> None:
        channel = self.pool.get(self.relay.address)
        self.assertTrue(self.call())
        self.relay.stop()
        eventlet.sleep(0.1)
        self.assertFalse(self.call())
        self.assertIs(self.pool.get(self.relay.address), channel)
        self.assertFalse(channel.is_open)

    # Guards against messages that the kernel sends again long after they were given up.
    def test_a_connection_that_is_given_up_is_reset(self) -> None:
        near = self.relay.stop_reading()
        self.pool.forget(self.relay.address)
        eventlet.sleep(0.1)
        poll = eventlet.patcher.original("select").poll()
        poll.register(near.fileno(), select.POLLIN)
        self.assertTrue(poll.poll(0)[0][1] & select.POLLERR)

    # Guards against connections that pile up to a peer that is silent for long.
    def test_connections_that_are_given_up_are_closed(self) -> None:
        before = len(os.listdir("/proc/self/fd"))
        for _ in range(10):
            self.relay.go_silent()
            self.assertFalse(self.call())
            self.pool.forget(self.relay.address)
            self.assertTrue(self.call())
        eventlet.sleep(0.1)
        others = 3 * 10  # Each connection's sockets in the relay and at the server stay open.
        self.assertLess(len(os.listdir("/proc/self/fd")) - before - others, 3)


if __name__ == "__main__":
    unittest.main()
