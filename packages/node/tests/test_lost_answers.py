"""Answers that are lost on the way from a server, at an entry that can ask another instance."""

import contextlib
import socket
from collections.abc import Callable
from http.client import HTTPException
from random import Random

import eventlet
from entry_harness import Behaviour, EntryTestCase, Heard
from free_ports import find_port

from persimmonusher_decisions.notices import Notice
from persimmonusher_decisions.relay_choice import RelayChoice, RelayPeer
from persimmonusher_model.identifiers import FailureDomain
from persimmonusher_model.profile import Profile
from persimmonusher_node.clock import SystemClock
from persimmonusher_node.relay_listener import RelayListener
from persimmonusher_node.relays import RelayDialer
from persimmonusher_node.settings import Limits

TOKEN = "secret"
DEADLINE_MS = 700
CHECK_SECONDS = 0.5
"""Time for the check of the way after a request has ended."""
RESET = b"\x01\x00\x00\x00\x00\x00\x00\x00"
"""A value of SO_LINGER: closing resets the connection."""
LONG_HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n"


class LostAnswersTest(EntryTestCase):
    profile = Profile(deadline_ms=DEADLINE_MS, queue_wait_ms=DEADLINE_MS, suspect_ms=2_500)
    limits = Limits(buffered_answer_bytes=16_384)

    def setUp(self) -> None:
        super().setUp()
        self.notices: list[Notice] = []
        self.plane.forwarder.set_publisher(self.notices.extend)
        self.open_directly = self.plane.ways._open_directly

    def make_relays(self) -> RelayDialer:
        address = f"127.0.0.1:{find_port()}"
        relay = RelayListener(
            address, TOKEN, lambda service, server: True, lambda server: True, lambda server: []
        )
        relay.start()
        self.addCleanup(relay.stop)
        choice = RelayChoice(FailureDomain("a"), Random(1))
        choice.replace([RelayPeer(address, FailureDomain("b"))])
        return RelayDialer(choice, TOKEN, SystemClock())

    def cut_own_way(self) -> None:
        self.plane.ways._open_directly = lambda pool, seconds: None  # type: ignore[method-assign]

    def restore_own_way(self) -> None:
        self.plane.ways._open_directly = self.open_directly  # type: ignore[method-assign]

    def find_notices(self, behaviour: Behaviour) -> list[Notice]:
        """Return the notices that a request causes to which servers behave like this."""
        self.notices.clear()
        self.script(behaviour)
        with contextlib.suppress(OSError, HTTPException):
            self.call("POST", body=b"x")
        eventlet.sleep(CHECK_SECONDS)
        return list(self.notices)

    def check(self, fail: Callable[[socket.socket], None]) -> None:
        """Let an answer fail while the own way works, and as it is cut."""

        def fail_alone(connection: socket.socket, heard: Heard) -> bool:
            fail(connection)
            return False

        def fail_in_cut(connection: socket.socket, heard: Heard) -> bool:
            self.cut_own_way()
            fail(connection)
            return False

        self.assertEqual(len(self.find_notices(fail_alone)), 1)
        self.assertEqual(self.find_notices(fail_in_cut), [])
        self.restore_own_way()

    # Guards against a connection that a cut broke and that is counted as a crash of its server.
    def test_a_connection_that_a_cut_broke_is_not_reported(self) -> None:
        self.check(lambda connection: None)

    # Guards against a request that times out in a cut and is counted against its server.
    def test_a_timeout_in_a_cut_is_not_reported(self) -> None:
        self.check(lambda connection: eventlet.sleep(2 * DEADLINE_MS / 1000))

    # Guards against a long answer that a cut broke off and that is counted against its server.
    def test_a_long_answer_that_a_cut_broke_off_is_not_reported(self) -> None:
        def break_off(connection: socket.socket) -> None:
            connection.sendall(LONG_HEAD + b"x" * 50_000)
            eventlet.sleep(0.1)
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)

        self.check(break_off)
