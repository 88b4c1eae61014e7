"""Connections to servers through other instances, on loopback."""

from persimmonusher_node import loop

loop.install()

import socket  # noqa: E402
import time  # noqa: E402
import unittest  # noqa: E402
from collections.abc import Iterator  # noqa: E402
from contextlib import suppress  # noqa: E402
from random import Random  # noqa: E402

import eventlet  # noqa: E402
from entry_harness import ScriptedServer, answer, send, stall  # noqa: E402
from free_ports import find_port  # noqa: E402

from persimmonusher_decisions.relay_choice import RelayChoice, RelayPeer  # noqa: E402
from persimmonusher_decisions.work import OutcomeKind  # noqa: E402
from persimmonusher_model.identifiers import FailureDomain  # noqa: E402
from persimmonusher_node.bodies import Body  # noqa: E402
from persimmonusher_node.clock import SystemClock  # noqa: E402
from persimmonusher_node.connections import ServerConnection  # noqa: E402
from persimmonusher_node.dialect import Dialect  # noqa: E402
from persimmonusher_node.relay_listener import RelayListener  # noqa: E402
from persimmonusher_node.relay_protocol import (  # noqa: E402
    RelayStatus,
    make_request,
    parse_answer,
    parse_request,
)
from persimmonusher_node.relays import RelayDialer, RelaySearch, read_head  # noqa: E402
from persimmonusher_node.server_ways import ServerWays  # noqa: E402
from persimmonusher_node.sockets import RESET_ON_CLOSE  # noqa: E402
from persimmonusher_node.upstream import (  # noqa: E402
    AttemptError,
    Upstream,
    UpstreamAnswer,
    UpstreamRequest,
)

TOKEN = "secret"
SERVICE = "entries"
MUTATIONS = 400
SOON_SECONDS = 0.3


def mutate(whole: bytes, random: Random) -> Iterator[bytes]:
    """Yield copies of some bytes with one to four of them changed."""
    for _ in range(MUTATIONS):
        raw = bytearray(whole)
        for index in random.sample(range(len(raw)), random.randint(1, 4)):
            raw[index] = (raw[index] + random.randint(1, 255)) % 256
        yield bytes(raw)


class RelayTestCase(unittest.TestCase):
    def setUp(self) -> None:
        self.server = ScriptedServer("s1")
        self.addCleanup(self.server.stop)
        self.other = ScriptedServer("s2")
        self.addCleanup(self.other.stop)
        self.others = [self.other.address]
        self.announced = self.server.announce()
        self.registered = {self.announced.address}
        self.relay = self.start_relay()

    def start_relay(self) -> RelayListener:
        relay = RelayListener(
            f"127.0.0.1:{find_port()}",
            TOKEN,
            lambda service, address: service == SERVICE and address in self.registered,
            lambda address: True,
            lambda address: self.others,
        )
        relay.start()
        self.addCleanup(relay.stop)
        return relay

    def ask(self, raw: bytes, relay: RelayListener | None = None) -> socket.socket:
        host, _, port = (relay or self.relay)._address.rpartition(":")
        connection = socket.create_connection((host, int(port)), timeout=2.0)
        self.addCleanup(connection.close)
        connection.sendall(raw)
        return connection

    def find_status(self, raw: bytes) -> RelayStatus:
        return parse_answer(read_head(self.ask(raw)))


class RelayListenerTest(RelayTestCase):
    def test_a_request_is_answered_by_the_server(self) -> None:
        connection = self.ask(make_request(self.server.address, SERVICE, TOKEN))
        self.assertIs(parse_answer(read_head(connection)), RelayStatus.OPENED)
        connection.sendall(b"GET /x HTTP/1.1\r\nHost: h\r\n\r\n")
        self.assertIn(b"200 OK", connection.recv(1_000))
        self.assertEqual([heard.target for heard in self.server.ran], ["/x"])

    # Guards against an open proxy: callers without the token, and addresses of other hosts.
    def test_only_the_fleet_reaches_only_servers(self) -> None:
        address = self.server.address
        for raw, status in (
            (make_request(address, SERVICE, "wrong"), RelayStatus.NO_TOKEN),
            (make_request(self.other.address, SERVICE, TOKEN), RelayStatus.NOT_A_SERVER),
            (make_request(self.relay._address, SERVICE, TOKEN), RelayStatus.NOT_A_SERVER),
            (make_request(address, "another", TOKEN), RelayStatus.NOT_A_SERVER),
            (b"GET / HTTP/1.1\r\n\r\n", RelayStatus.BAD_REQUEST),
        ):
            with self.subTest(raw=raw):
                self.assertIs(self.find_status(raw), status)
        self.assertEqual(self.server.connections, 0)

    # Guards against malformed requests that crash the listener or open a connection.
    def test_mutated_requests_open_nothing_else(self) -> None:
        whole = make_request(self.announced.address, SERVICE, TOKEN)
        for raw in mutate(whole, Random(1)):
            with suppress(ValueError):
                request = parse_request(raw)
                self.assertRegex(request.address, r"^[0-9.]+:[0-9]+$")
        for raw in (whole[:20], b"\x00" * 5_000, b"\r\n\r\n", whole.replace(b"\r\n", b"\n")):
            connection = self.ask(raw)
            received = connection.recv(1_000)
            self.assertIn(received.partition(b"\r\n")[0], (b"", b"HTTP/1.1 400 Bad Request"))
        self.assertIs(self.find_status(whole), RelayStatus.OPENED)

    def test_an_unreached_server_is_told_from_own_links_that_are_cut(self) -> None:
        self.server.stop()
        raw = make_request(self.announced.address, SERVICE, TOKEN)
        self.assertIs(self.find_status(raw), RelayStatus.UNREACHED)
        self.other.stop()
        self.assertIs(self.find_status(raw), RelayStatus.UNAVAILABLE)

    # Guards against requests that are lost when an instance that relays them stops.
    def test_a_stopping_instance_ends_what_it_relays_and_takes_nothing_new(self) -> None:
        self.server.default = stall(0.3, answer(b"late"))
        raw = make_request(self.server.address, SERVICE, TOKEN)
        connection = self.ask(raw)
        read_head(connection)
        connection.sendall(b"GET /x HTTP/1.1\r\nHost: h\r\n\r\n")
        eventlet.sleep(0.05)
        self.relay.stopping = True
        self.assertIs(self.find_status(raw), RelayStatus.UNAVAILABLE)
        self.assertFalse(self.relay.wait_until_idle(lambda: True))
        self.assertIn(b"late", connection.recv(1_000))
        connection.close()
        started = time.monotonic()
        self.assertTrue(
            self.relay.wait_until_idle(lambda: time.monotonic() > started + SOON_SECONDS)
        )

    # Guards against servers that go on working for callers that have left.
    def test_the_connection_to_the_server_ends_with_that_of_the_other_instance(self) -> None:
        ended = eventlet.event.Event()

        def wait_for_end(connection: socket.socket, heard: object) -> bool:
            ended.send(connection.recv(1))
            return False

        self.server.default = wait_for_end
        connection = self.ask(make_request(self.server.address, SERVICE, TOKEN))
        read_head(connection)
        connection.sendall(b"GET /x HTTP/1.1\r\nHost: h\r\n\r\n")
        eventlet.sleep(0.05)
        connection.close()
        with eventlet.Timeout(SOON_SECONDS):
            self.assertEqual(ended.wait(), b"")

    # Guards against a reset by the server that only the pump towards it meets, passed on as an end.
    def test_a_reset_that_a_write_meets_arrives_as_one(self) -> None:
        listening = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(listening.close)
        address = f"127.0.0.1:{listening.getsockname()[1]}"
        self.registered.add(address)
        connection = self.ask(make_request(address, SERVICE, TOKEN))
        read_head(connection)
        server, _ = listening.accept()
        connection.sendall(b"first")
        self.assertEqual(server.recv(5), b"first")
        server.sendall(b"HTTP/1.1 200 OK\r\n\r\npart")
        server.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        server.close()
        connection.sendall(b"second")
        eventlet.sleep(0.1)
        below: socket.socket = connection.fd  # type: ignore[attr-defined]
        with self.assertRaises(ConnectionResetError):
            while below.recv(1_000):
                pass


class RelayedAttemptTest(RelayTestCase):
    """Attempts of an instance whose own connections to the server are refused."""

    def setUp(self) -> None:
        super().setUp()
        self.choice = RelayChoice(FailureDomain("a"), Random(1))
        self.replace_peers(self.relay._address)
        dialer = RelayDialer(self.choice, TOKEN, SystemClock())
        dialect = Dialect(accepts_unframed=True)
        self.upstream = Upstream(SystemClock(), 16_384, dialect, dialer)
        self.addCleanup(self.upstream.close)
        self.cut_own_way(self.upstream.ways)

    def replace_peers(self, *addresses: str) -> None:
        self.choice.replace([RelayPeer(address, FailureDomain("b")) for address in addresses])

    @staticmethod
    def cut_own_way(ways: ServerWays) -> None:
        ways._open_directly = lambda pool, seconds: None  # type: ignore[method-assign]

    def run_attempt(self) -> UpstreamAnswer:
        request = UpstreamRequest("r1", "GET", "/x", {"Host": "h"}, Body(), True)
        deadline = time.monotonic() + 5.0
        return self.upstream.start_attempt(self.announced, request, deadline).run()

    def test_an_attempt_is_served_through_another_instance(self) -> None:
        self.assertEqual(self.run_attempt().body, b"ok")
        self.assertEqual(self.run_attempt().body, b"ok")
        self.assertEqual(self.upstream.ways.lost_count, 1)

    # Guards against a late copy of an answer that is given to the next attempt when relayed.
    def test_each_relayed_attempt_has_a_connection_of_its_own(self) -> None:
        self.server.default = send(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst", go_on=True)
        self.assertEqual(self.run_attempt().body, b"first")
        self.server.default = answer(b"second")
        self.assertEqual(self.run_attempt().body, b"second")
        self.assertEqual(self.server.connections, 2)
        eventlet.sleep(0.05)
        self.assertEqual(self.relay.connections, 0)

    # Guards against a connection that comes after its search and serves a later request.
    def test_a_connection_that_comes_too_late_is_closed(self) -> None:
        search = RelaySearch(SystemClock(), 0.0)
        search.wait_for_rest(asked=1)
        host, _, port = self.server.address.rpartition(":")
        late = ServerConnection(host, int(port), timeout=1.0)
        late.connect()
        search.add(late)
        self.assertIsNone(search.connection)
        self.assertIsNone(late.sock)

    # Guards against an answer that a reset cut off and that is taken for whole when relayed.
    def test_a_reset_by_the_server_arrives_as_one(self) -> None:
        def break_off(connection: socket.socket, heard: object) -> bool:
            connection.sendall(b"HTTP/1.1 200 OK\r\n\r\npart")
            eventlet.sleep(0.05)
            linger = b"\x01\x00\x00\x00\x00\x00\x00\x00"
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            return False

        self.server.default = break_off
        with self.assertRaises(AttemptError) as raised:
            self.run_attempt()
        self.assertIs(raised.exception.kind, OutcomeKind.BROKEN)
        self.server.default = send(b"HTTP/1.1 200 OK\r\n\r\nwhole")
        self.assertEqual(self.run_attempt().body, b"whole")

    # Guards against spoilt heads that pass where the connection leads through another instance.
    def test_a_spoilt_head_is_refused(self) -> None:
        self.server.default = send(b"HTTP/1.1 200 OK\r\nno field\r\nContent-Length: 9\r\n\r\npart")
        with self.assertRaises(AttemptError) as raised:
            self.run_attempt()
        self.assertIs(raised.exception.kind, OutcomeKind.BROKEN)

    # Guards against an answer without a length that ends with the instance that relays it.
    def test_the_end_of_the_other_instance_is_not_the_end_of_the_answer(self) -> None:
        def begin(connection: socket.socket, heard: object) -> bool:
            connection.sendall(b"HTTP/1.1 200 OK\r\n\r\npart")
            eventlet.sleep(SOON_SECONDS)
            return False

        self.server.default = begin
        eventlet.spawn_after(SOON_SECONDS / 2, self.relay.stop)
        with self.assertRaises(AttemptError) as raised:
            self.run_attempt()
        self.assertIs(raised.exception.kind, OutcomeKind.BROKEN)

    # Guards against an instance that hangs and delays those that ask it for a connection.
    def test_a_silent_instance_costs_little_time(self) -> None:
        silent = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(silent.close)
        self.replace_peers(f"127.0.0.1:{silent.getsockname()[1]}", self.relay._address)
        for _ in range(4):
            started = time.monotonic()
            self.assertEqual(self.run_attempt().body, b"ok")
            self.assertLess(time.monotonic() - started, SOON_SECONDS)

    def test_a_server_that_nobody_reaches_is_unreached(self) -> None:
        self.replace_peers(self.relay._address, self.start_relay()._address)
        self.server.stop()
        with self.assertRaises(AttemptError) as raised:
            self.run_attempt()
        self.assertIs(raised.exception.kind, OutcomeKind.UNREACHED)

    # Guards against servers that are taken for down by instances that are all cut off.
    def test_nothing_is_concluded_from_instances_that_are_cut_off_too(self) -> None:
        self.others = []
        self.server.stop()
        with self.assertRaises(AttemptError) as raised:
            self.run_attempt()
        self.assertIs(raised.exception.kind, OutcomeKind.CUT_OFF)


if __name__ == "__main__":
    unittest.main()
