import socket
import unittest
from dataclasses import replace
from random import Random

from persimmonusher_node import loop

loop.install()

import eventlet  # noqa: E402
from free_ports import find_port  # noqa: E402

from persimmonusher_decisions.server import BackendServer, ServerState  # noqa: E402
from persimmonusher_model.identifiers import (  # noqa: E402
    FailureDomain,
    Revision,
    ServerId,
    ServiceName,
)
from persimmonusher_node.clock import SystemClock  # noqa: E402
from persimmonusher_node.directory import GossipDirectory  # noqa: E402
from persimmonusher_node.membership import UdpMembership  # noqa: E402
from persimmonusher_node.settings import Listeners, Settings  # noqa: E402

SERVICE = ServiceName("entries")
WAIT_SECONDS = 5.0


def make_settings(number: int, port: int, seed: int, token: str) -> Settings:
    other = "127.0.0.1:1"
    return Settings(
        instance_id=f"entry-{number}",
        failure_domain=f"domain-{number % 3}",
        listen=Listeners(
            callers=other,
            announcements=other,
            peers=f"127.0.0.1:{port}",
            operators=other,
            metrics=other,
        ),
        seeds=(f"127.0.0.1:{seed}",),
        peer_token=token,
    )


def make_server(sequence: int, state: ServerState) -> BackendServer:
    return BackendServer(
        ServerId("worker-1"),
        SERVICE,
        "127.0.0.1:9000",
        FailureDomain("domain-0"),
        4,
        400,
        1,
        sequence,
        state,
    )


class UdpMembershipTest(unittest.TestCase):
    def setUp(self) -> None:
        self.heard: list[tuple[str, int]] = []
        self.revisions = [0] * 5
        self.seed = find_port(socket.SOCK_DGRAM)
        self.nodes = [self.make_node(number, "secret") for number in range(5)]
        self.directories = [GossipDirectory(node) for node in self.nodes]

    def make_node(self, number: int, token: str) -> UdpMembership:
        port = self.seed if number == 0 else find_port(socket.SOCK_DGRAM)
        settings = make_settings(number, port, self.seed, token)

        def record_revision(address: str, revision: Revision) -> None:
            self.heard.append((address, revision))

        def read_revision() -> Revision:
            return Revision(self.revisions[number % 5])

        node = UdpMembership(
            settings, SystemClock(), Random(number), read_revision, record_revision
        )
        self.addCleanup(node.stop)
        return node

    def wait_for(self, condition: object) -> None:
        assert callable(condition)
        with eventlet.Timeout(WAIT_SECONDS):
            while not condition():
                eventlet.sleep(0.02)

    def start_all(self) -> None:
        for node in self.nodes:
            node.start()
        self.wait_for(lambda: all(len(node.list_live()) == 5 for node in self.nodes))

    def test_instances_find_each_other_and_share_announcements(self) -> None:
        self.start_all()
        self.assertTrue(self.directories[3].announce(make_server(1, ServerState.READY)))
        self.wait_for(lambda: all(d.list_servers(SERVICE) for d in self.directories))
        self.assertTrue(self.directories[1].announce(make_server(2, ServerState.DRAINING)))
        self.wait_for(
            lambda: all(
                d.list_servers(SERVICE)[0].state is ServerState.DRAINING for d in self.directories
            )
        )
        self.assertFalse(self.directories[4].announce(make_server(1, ServerState.READY)))

    def test_a_graceful_leave_is_seen_at_once(self) -> None:
        self.start_all()
        self.nodes[2].stop()
        others = [node for node in self.nodes if node is not self.nodes[2]]
        with eventlet.Timeout(1.5):
            while any(len(node.list_live()) != 4 for node in others):
                eventlet.sleep(0.02)

    def test_a_newer_revision_is_heard_of(self) -> None:
        self.start_all()
        self.heard.clear()
        self.revisions[0] = 7
        self.wait_for(lambda: (f"127.0.0.1:{self.seed}", 7) in self.heard)

    def test_a_stranger_is_dropped(self) -> None:
        """
        A process without the peer token sends a well-formed join to the peer port, as a
        misconfigured instance of another fleet would. No instance may list it.
        """
        self.start_all()
        stranger = self.make_node(9, "other secret")
        stranger.start()
        self.wait_for(lambda: self.nodes[0].dropped_datagrams > 0)
        self.assertEqual(len(self.nodes[0].list_live()), 5)
        self.assertEqual(len(stranger.list_live()), 1)

    def test_changes_are_called_back_on_the_loop(self) -> None:
        services: list[str] = []
        self.directories[0].on_change(services.append)
        counted: list[int] = []
        self.nodes[0].on_change(lambda: counted.append(len(self.nodes[0].list_live())))
        self.start_all()
        self.directories[0].announce(make_server(1, ServerState.READY))
        self.assertEqual(services, [SERVICE])
        self.assertEqual(counted[-1], 5)

    def test_a_record_has_the_fields_of_the_announcement(self) -> None:
        server = make_server(3, ServerState.STARTING)
        self.directories[0].announce(server)
        self.assertEqual(self.directories[0].list_servers(SERVICE), (server,))
        stopped = replace(server, sequence=4, state=ServerState.STOPPED)
        self.assertTrue(self.directories[0].announce(stopped))
        self.assertEqual(self.directories[0].list_servers(SERVICE), ())


if __name__ == "__main__":
    unittest.main()
