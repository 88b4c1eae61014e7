from persimmonusher_node import loop

loop.install()

import unittest  # noqa: E402
from random import Random  # noqa: E402

import eventlet  # noqa: E402
from free_ports import find_port  # noqa: E402

from persimmonusher_agreement.roster import Member, Roster  # noqa: E402
from persimmonusher_model.identifiers import (  # noqa: E402
    CallerId,
    FailureDomain,
    InstanceId,
    ServiceName,
)
from persimmonusher_node.claims import PeerClaims  # noqa: E402
from persimmonusher_node.clock import SystemClock  # noqa: E402
from persimmonusher_node.grpc_listener import GrpcListener  # noqa: E402
from persimmonusher_node.memory import MemoryMembership  # noqa: E402
from persimmonusher_node.peers import ChannelPool  # noqa: E402
from persimmonusher_node.ports import (  # noqa: E402
    ClaimKey,
    ClaimResult,
    ClaimStatus,
    Instance,
    StoredAnswer,
)

NAMES = [InstanceId(f"i{number}") for number in range(5)]
KEY = ClaimKey(ServiceName("shows"), CallerId("farm-club"), "entry-7")
ANSWER = StoredAnswer(201, (("Content-Type", "text/plain"),), b"entered in ring 2")
WINDOW = 600.0


class Node:
    """One instance's claims with a gRPC listener of its own."""

    def __init__(self, instance: Instance, boot: int, others: list[Instance]) -> None:
        roster = Roster(
            1,
            tuple(Member(other.instance_id, other.failure_domain, 1) for other in others),
        )
        self.channels = ChannelPool("peers")
        self.claims = PeerClaims(
            instance.instance_id,
            boot,
            SystemClock(),
            self.channels,
            MemoryMembership(others),
            lambda: roster,
            WINDOW,
            Random(boot),
        )
        handlers = self.claims.list_peer_handlers()
        self.listener = GrpcListener(instance.peer_address, handlers, {"peers": "peer"})
        self.listener.start()
        self.claims.start()

    def stop(self) -> None:
        self.claims.stop()
        self.listener.stop()
        self.channels.__exit__(None, None, None)

    def claim(self, key: ClaimKey = KEY, fingerprint: str = "same work") -> ClaimResult:
        return self.claims.claim(key, fingerprint, WINDOW, 5.0)


class ClaimsFleetTest(unittest.TestCase):
    def setUp(self) -> None:
        self.instances = [
            Instance(name, FailureDomain(f"d{name}"), f"127.0.0.1:{find_port()}", ("entry",))
            for name in NAMES
        ]
        self.nodes = {
            instance.instance_id: Node(instance, 1, self.instances) for instance in self.instances
        }
        self.addCleanup(lambda: [node.stop() for node in self.nodes.values()])

    def restart(self, name: InstanceId, boot: int) -> Node:
        self.nodes[name].stop()
        instance = next(one for one in self.instances if one.instance_id == name)
        self.nodes[name] = Node(instance, boot, self.instances)
        return self.nodes[name]

    def lose(self, name: InstanceId) -> None:
        """Stop an instance's listener, and close the first instance's connection to it."""
        self.nodes[name].listener.stop()
        address = next(one.peer_address for one in self.instances if one.instance_id == name)
        self.nodes[NAMES[0]].channels.forget(address)

    def wait_whole(self, node: Node) -> None:
        register = node.claims.register
        with eventlet.Timeout(10.0):
            while not register.has_all_records(SystemClock().monotonic()):
                eventlet.sleep(0.05)

    def test_a_resend_through_another_instance_gets_the_first_answer(self) -> None:
        self.assertEqual(self.nodes[NAMES[0]].claim().status, ClaimStatus.GRANTED)
        self.assertEqual(self.nodes[NAMES[1]].claim().status, ClaimStatus.RUNNING)
        self.nodes[NAMES[0]].claims.finish(KEY, ANSWER)
        eventlet.sleep(0.2)
        resent = self.nodes[NAMES[2]].claim()
        self.assertEqual((resent.status, resent.answer), (ClaimStatus.FINISHED, ANSWER))
        other = self.nodes[NAMES[3]].claim(fingerprint="other work")
        self.assertEqual(other.status, ClaimStatus.MISMATCH)

    def test_resends_at_the_same_moment_are_granted_once(self) -> None:
        # Guards against two dispatches when a caller resends at once and the load balancer passes
        # the requests to different instances.
        for number in range(20):
            key = ClaimKey(KEY.service, KEY.caller, f"entry-{number}")
            claims = [eventlet.spawn(self.nodes[name].claim, key) for name in NAMES]
            found = [claim.wait().status for claim in claims]
            self.assertLessEqual(found.count(ClaimStatus.GRANTED), 1, found)

    def test_a_key_that_was_not_run_is_free_again(self) -> None:
        self.nodes[NAMES[0]].claim()
        self.nodes[NAMES[0]].claims.release(KEY)
        eventlet.sleep(0.2)
        self.assertEqual(self.nodes[NAMES[1]].claim().status, ClaimStatus.GRANTED)

    def test_an_answer_too_large_to_keep_still_says_that_the_request_ran(self) -> None:
        self.nodes[NAMES[0]].claim()
        large = StoredAnswer(200, (), b"x" * 100_000)
        self.nodes[NAMES[0]].claims.finish(KEY, large)
        eventlet.sleep(0.2)
        resent = self.nodes[NAMES[1]].claim()
        self.assertEqual((resent.status, resent.answer), (ClaimStatus.FINISHED, None))

    def test_two_lost_instances_are_borne_and_three_are_not(self) -> None:
        self.lose(NAMES[3])
        self.lose(NAMES[4])
        self.assertEqual(self.nodes[NAMES[0]].claim().status, ClaimStatus.GRANTED)
        self.lose(NAMES[2])
        other = ClaimKey(KEY.service, KEY.caller, "entry-8")
        self.assertEqual(self.nodes[NAMES[0]].claim(other).status, ClaimStatus.NO_QUORUM)

    def test_a_rolling_restart_forgets_no_claim(self) -> None:
        # Guards against registers that come back empty from a rolling update: a request that ran
        # before the update, such as the payment of a fee, would run again on a resend.
        self.nodes[NAMES[0]].claim()
        self.nodes[NAMES[0]].claims.finish(KEY, ANSWER)
        eventlet.sleep(0.2)
        for boot, name in enumerate(NAMES, 2):
            self.wait_whole(self.restart(name, boot))
        resent = self.nodes[NAMES[4]].claim()
        self.assertEqual((resent.status, resent.answer), (ClaimStatus.FINISHED, ANSWER))

    def test_a_restart_of_all_at_once_refuses_rather_than_runs_again(self) -> None:
        # All instances lose power at once. No register knows what was claimed before, so a keyed
        # request must be refused as not run until the longest window has passed.
        self.nodes[NAMES[0]].claim()
        for name in NAMES:
            self.nodes[name].stop()
        for instance in self.instances:
            self.nodes[instance.instance_id] = Node(instance, 2, self.instances)
        eventlet.sleep(1.0)
        self.assertEqual(self.nodes[NAMES[1]].claim().status, ClaimStatus.NO_QUORUM)


if __name__ == "__main__":
    unittest.main()
