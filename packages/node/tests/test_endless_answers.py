"""Servers whose bytes never end, in a head or a body, until the connection is closed."""

import resource
import subprocess
import sys
import time
from http.client import HTTPException
from pathlib import Path

import eventlet
from endless_server import SHAPES
from entry_harness import HOST, SERVICE, EntryTestCase

from persimmonusher_decisions.server import BackendServer, ServerState
from persimmonusher_model.identifiers import FailureDomain, ServerId
from persimmonusher_model.profile import Profile
from persimmonusher_node.callers import HEALTH_PATH
from persimmonusher_node.dialect import Dialect
from persimmonusher_node.settings import Limits

TIMEOUT_MS = 800
TIMEOUT_SECONDS = TIMEOUT_MS / 1000
LATE_SECONDS = 0.5
"""Time after the timeout within which the caller must have its answer."""
HELD_SECONDS = 0.25
"""Longest time that another request may take meanwhile."""
MAX_GROWTH_BYTES = 64 * 1_048_576
CALLERS = 4
READ_BYTES = 65_536
PAUSES = (0.0, 0.05)
"""Seconds between two pieces: as fast as the connection allows, and slowly."""


class EndlessAnswersTest(EntryTestCase):
    profile = Profile(deadline_ms=TIMEOUT_MS, queue_wait_ms=TIMEOUT_MS, max_retries=0)
    limits = Limits(buffered_answer_bytes=262_144)
    server_names = ()
    dialect = Dialect(accepts_unframed=True)

    def start_server(self, shape: str, pause: float) -> None:
        script = Path(__file__).with_name("endless_server.py")
        process = subprocess.Popen(
            [sys.executable, str(script), shape, str(pause)], stdout=subprocess.PIPE, text=True
        )
        self.addCleanup(process.stdout.close)
        self.addCleanup(process.wait)
        self.addCleanup(process.kill)
        address = f"127.0.0.1:{int(process.stdout.readline())}"
        self.directory.announce(
            BackendServer(
                ServerId(f"{shape}-{pause}"),
                SERVICE,
                address,
                FailureDomain("a"),
                slots=100,
                connection_limit=400,
                boot_id=1,
                sequence=1,
                state=ServerState.READY,
            )
        )

    def call_endless(self) -> tuple[float, int]:
        """Return how long a request took and its status, 0 if its connection was cut off."""
        started = time.monotonic()
        connection = self.connect()
        try:
            connection.request("GET", "/items", headers={"Host": HOST})
            response = connection.getresponse()
            status = response.status
            while response.read(READ_BYTES):
                eventlet.sleep(0)
        except (OSError, HTTPException):
            status = 0
        return time.monotonic() - started, status

    def measure_health(self, until: float) -> float:
        """Return the longest time that the health check took."""
        longest = 0.0
        while time.monotonic() < until:
            started = time.monotonic()
            self.call(target=HEALTH_PATH)
            longest = max(longest, time.monotonic() - started)
            eventlet.sleep(0.02)
        return longest

    # Guards against answers without end that delay their callers or all others, or fill memory.
    def test_bytes_without_end_are_cut_off_at_the_timeout(self) -> None:
        for shape in SHAPES:
            for pause in PAUSES:
                with self.subTest(shape=shape, pause=pause):
                    self.doCleanups()
                    self.setUp()
                    self.start_server(shape, pause)
                    self.check(shape)

    def check(self, shape: str) -> None:
        before = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
        health = eventlet.spawn(self.measure_health, time.monotonic() + TIMEOUT_SECONDS)
        calls = [eventlet.spawn(self.call_endless) for _ in range(CALLERS)]
        answers = [call.wait() for call in calls]
        held = health.wait()
        grown = (resource.getrusage(resource.RUSAGE_SELF).ru_maxrss - before) * 1024
        slowest = max(seconds for seconds, _ in answers)
        self.assertLess(slowest, TIMEOUT_SECONDS + LATE_SECONDS)
        self.assertLess(held, HELD_SECONDS)
        self.assertLess(grown, MAX_GROWTH_BYTES)
        if shape != "beyond-length":
            self.assertNotIn(200, {status for _, status in answers})
