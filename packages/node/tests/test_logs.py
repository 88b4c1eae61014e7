import json
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

import structlog
from entry_harness import SHED, EntryTestCase

from persimmonusher_agreement.configuration_keeper import KeeperStatus
from persimmonusher_agreement.log_messages import NO_MEMBERS, KeeperId
from persimmonusher_agreement.log_replica import ReplicaRole
from persimmonusher_model.clock import ManualClock
from persimmonusher_model.identifiers import Revision
from persimmonusher_node.ages import LONGEST_AGE_SECONDS
from persimmonusher_node.keeper import describe_leader
from persimmonusher_node.line_budget import MAX_LINES_PER_SECOND
from persimmonusher_node.logs import MASK, LoggingObserver, hide_secrets

EXAMPLE = Path(__file__).resolve().parents[3] / "docs" / "examples" / "keeper.json"


class LogsTest(EntryTestCase):
    def test_a_refusal_is_logged_with_its_reason_and_nothing_secret(self) -> None:
        self.script(*[SHED] * 9)
        self.call("POST", "/e?card=4111", b"secret body", {"Persimmonusher-Caller": "co-op"})
        with structlog.testing.capture_logs() as lines:
            observer = LoggingObserver(ManualClock(), "info")
            observer.observe(self.observer.finished[-1])
        (line,) = lines
        self.assertEqual((line["service"], line["caller"]), ("entries", "co-op"))
        self.assertEqual((line["decision"], line["result"]), ("refuse", "not-run (overload)"))
        self.assertIn("request_id", line)
        self.assertFalse([word for word in ("secret body", "4111") if word in json.dumps(line)])

    def test_an_overload_can_not_be_made_worse_by_its_log(self) -> None:
        """Thousands of requests are refused each second; a log line for each would add load."""
        self.script(*[SHED] * 9)
        self.call("POST", body=b"x")
        clock = ManualClock()
        with structlog.testing.capture_logs() as lines:
            observer = LoggingObserver(clock, "info")
            for _ in range(1_000):
                observer.observe(self.observer.finished[-1])
            clock.advance(1.0)
            observer.observe(self.observer.finished[-1])
        self.assertEqual(len(lines), MAX_LINES_PER_SECOND + 1)
        self.assertEqual(lines[-1]["lines_left_out"], 1_000 - MAX_LINES_PER_SECOND)

    def test_what_ran_is_logged_only_when_debugging(self) -> None:
        self.call()
        for level, expected in (("info", 0), ("debug", 1)):
            with structlog.testing.capture_logs() as lines:
                LoggingObserver(ManualClock(), level).observe(self.observer.finished[-1])
            self.assertEqual(len(lines), expected)

    # Guards against an infinite age in a log line, which strict JSON readers reject.
    def test_a_keeper_that_was_never_fresh_logs_a_number(self) -> None:
        status = KeeperStatus(
            KeeperId("k1#1"),
            ReplicaRole.FOLLOWER,
            term=2,
            leader=None,
            leader_address=None,
            last_index=0,
            commit_index=0,
            snapshot_index=0,
            revision=Revision(0),
            members=NO_MEMBERS,
        )
        line = json.dumps(describe_leader(status, float("inf")), allow_nan=False)
        self.assertEqual(json.loads(line)["majority_age"], LONGEST_AGE_SECONDS)

    def test_fields_that_may_hold_a_secret_are_masked(self) -> None:
        event = hide_secrets(None, "info", {"event": "x", "peer_token": "s", "body": b"s"})
        self.assertEqual(event, {"event": "x", "peer_token": MASK, "body": MASK})


class CommandLineTest(unittest.TestCase):
    def run_command(self, *arguments: str) -> subprocess.CompletedProcess[str]:
        command = [sys.executable, "-W", "ignore", "-m", "persimmonusher_node", *arguments]
        return subprocess.run(command, capture_output=True, text=True, timeout=30, check=False)

    def test_a_role_that_needs_an_adapter_is_refused(self) -> None:
        listen = '"role": "entry", "listen": { "ready": "127.0.0.1:8",'
        text = EXAMPLE.read_text().replace('"listen": {', listen, 1)
        with tempfile.NamedTemporaryFile("w", suffix=".json") as file:
            file.write(text)
            file.flush()
            done = self.run_command("run", file.name)
        self.assertEqual(done.returncode, 2)
        self.assertIn("role: 'entry' runs behind an adapter", done.stderr)

    def test_settings_in_order_exit_0_and_refused_ones_2(self) -> None:
        good = self.run_command("check-settings", str(EXAMPLE))
        self.assertEqual((good.returncode, good.stderr), (0, ""))
        for command in ("check-settings", "run"):
            bad = self.run_command(command, "/no/such/file.json")
            self.assertEqual(bad.returncode, 2)
            self.assertIn("[unreadable-file]", bad.stderr)
            self.assertNotIn("Traceback", bad.stderr)

    def test_an_address_that_is_not_here_is_named(self) -> None:
        """The settings were copied from an instance whose address this machine doesn't have."""
        bad = self.run_command("run", str(EXAMPLE))
        self.assertEqual(bad.returncode, 1)
        self.assertIn("10.1.0.3:", bad.stderr)
        self.assertNotIn("Traceback", bad.stderr)


if __name__ == "__main__":
    unittest.main()
