"""Replies of other instances that arrive after their call was given up."""

from persimmonusher_node import loop

loop.install()

import socket  # noqa: E402
import unittest  # noqa: E402
from contextlib import suppress  # noqa: E402
from unittest.mock import Mock  # noqa: E402

import eventlet  # noqa: E402
from free_ports import find_port  # noqa: E402
from grpclib.server import Stream  # noqa: E402

from persimmonusher_agreement.claims import ClaimRequest, Vote, VoteKind  # noqa: E402
from persimmonusher_agreement.register import Register  # noqa: E402
from persimmonusher_agreement.roster import Member, Roster  # noqa: E402
from persimmonusher_decisions.quota_shares import QuotaTerms  # noqa: E402
from persimmonusher_model.identifiers import CallerId, FailureDomain, InstanceId  # noqa: E402
from persimmonusher_node.claims import RegisterService  # noqa: E402
from persimmonusher_node.claims_link import ClaimsLink  # noqa: E402
from persimmonusher_node.clock import SystemClock  # noqa: E402
from persimmonusher_node.grpc_listener import GrpcListener  # noqa: E402
from persimmonusher_node.peers import ChannelPool  # noqa: E402
from persimmonusher_node.tiers.quota_service import (  # noqa: E402
    LOAN_TIMEOUT_SECONDS,
    QuotaService,
)
from persimmonusher_protocol import claims_pb2, control_pb2  # noqa: E402
from persimmonusher_protocol.control_grpc import QuotasBase  # noqa: E402

PEER = InstanceId("i1")
CLAIM_SECONDS = 0.1


class HoldingRegister(RegisterService):
    """Sends its first answer only when the next question has arrived, just before that one's."""

    async def Exchange(  # noqa: N802
        self, stream: "Stream[claims_pb2.Asked, claims_pb2.Answered]"
    ) -> None:
        held: claims_pb2.Answered | None = None
        async for message in stream:
            answer = self._answer(message)
            if held is None:
                held = answer
                continue
            await stream.send_message(held)
            await stream.send_message(answer)


class CountingLender(QuotasBase):
    """Lends as many tokens as it was called times."""

    def __init__(self) -> None:
        self._calls = 0

    async def Take(  # noqa: N802
        self, stream: "Stream[control_pb2.QuotaRequest, control_pb2.QuotaReply]"
    ) -> None:
        raise NotImplementedError

    async def Lend(  # noqa: N802
        self, stream: "Stream[control_pb2.LendRequest, control_pb2.LendReply]"
    ) -> None:
        await stream.recv_message()
        self._calls += 1
        await stream.send_message(control_pb2.LendReply(tokens=self._calls))


class HoldingRelay:
    """A TCP relay of one connection that can hold what the server sends, and pass it on later."""

    def __init__(self, target: str) -> None:
        host, _, port = target.rpartition(":")
        self._target = (host, int(port))
        self._listener = eventlet.listen(("127.0.0.1", 0))
        self.address = "{}:{}".format(*self._listener.getsockname())
        self.is_holding = False
        self._threads = [eventlet.spawn(self._serve)]

    def hold(self, seconds: float) -> None:
        """Hold all bytes of the server for some time."""
        self.is_holding = True
        eventlet.spawn_after(seconds, self._pass_on)

    def stop(self) -> None:
        for thread in self._threads:
            thread.kill()
        self._listener.close()

    def _pass_on(self) -> None:
        self.is_holding = False

    def _serve(self) -> None:
        near, _ = self._listener.accept()
        far = eventlet.connect(self._target)
        self._threads.append(eventlet.spawn(self._copy, near, far, False))
        self._threads.append(eventlet.spawn(self._copy, far, near, True))

    def _copy(self, source: socket.socket, target: socket.socket, may_hold: bool) -> None:
        with source, target, suppress(OSError):
            while data := source.recv(65_536):
                while may_hold and self.is_holding:
                    eventlet.sleep(0.005)
                target.sendall(data)


class LateRepliesTest(unittest.TestCase):
    def setUp(self) -> None:
        register = Register(PEER, 1, 600.0, 0.0)
        register.replace_roster(Roster(1, (Member(PEER, FailureDomain("d"), 1),)))
        self.address = f"127.0.0.1:{find_port()}"
        services = [HoldingRegister(register, SystemClock()), CountingLender()]
        listener = GrpcListener(self.address, services, {"peers": "peer"})
        listener.start()
        self.addCleanup(listener.stop)
        self.pool = self.enterContext(ChannelPool("peers"))

    # Guards against a key that two requests run under, as one got the vote on the other's claim.
    def test_a_late_vote_does_not_count_for_the_next_claim(self) -> None:
        link = ClaimsLink(lambda: self.pool.get(self.address))
        self.addCleanup(link.close)

        def claim(token: str) -> Vote | None:
            request = ClaimRequest("key", token, "work", 1, 600.0, 10.0)
            return loop.run_coroutine(link.claim(request, CLAIM_SECONDS))

        self.assertIsNone(claim("first"))
        vote = claim("second")
        assert vote is not None
        self.assertIs(vote.kind, VoteKind.TAKEN)

    # Guards against tokens that are added twice, as one call got the reply to another.
    def test_a_late_loan_is_not_the_reply_to_the_next_call(self) -> None:
        relay = HoldingRelay(self.address)
        self.addCleanup(relay.stop)
        terms = QuotaTerms(window_seconds=5.0, overshoot=0.1, slack=20.0)
        service = QuotaService(Mock(), Mock(), self.pool, terms, 2, SystemClock())

        def borrow() -> float:
            return loop.run_coroutine(service._ask(relay.address, CallerId("acme")))

        self.assertEqual(borrow(), 1.0)
        relay.hold(1.5 * LOAN_TIMEOUT_SECONDS)
        self.assertEqual([borrow(), borrow()], [0.0, 3.0])


if __name__ == "__main__":
    unittest.main()
