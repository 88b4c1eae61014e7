"""Tests of the command line against an in-memory operators' service."""

import json
import os
import tempfile
import unittest
from pathlib import Path
from unittest import mock

from click.testing import Result
from fake_operators import TOKEN, FakeOperators, FakeServer
from typer.testing import CliRunner

from persimmonusher_ctl.exits import Exit
from persimmonusher_ctl.main import app
from persimmonusher_ctl.output import format_table, to_document
from persimmonusher_protocol import operator_pb2 as pb

CREATE = ("profiles", "create", "shows", "--preset", "detection-first")


class CommandTest(unittest.TestCase):
    def setUp(self) -> None:
        self.fake = FakeOperators()
        self.server = self.enterContext(FakeServer(self.fake))

    def run_ctl(self, *arguments: str, token: str = TOKEN) -> Result:
        environment = {"PERSIMMONUSHERCTL_TOKEN": token}
        command = ["--json", "--addresses", self.server.address, *arguments]
        with mock.patch.dict(os.environ, environment):
            return CliRunner().invoke(app, command)

    def assert_exit(self, result: Result, code: Exit) -> None:
        self.assertEqual(result.exit_code, int(code), result.output)

    def test_create_change_and_read_back(self) -> None:
        created = self.run_ctl(*CREATE)
        self.assert_exit(created, Exit.DONE)
        self.assertEqual(json.loads(created.stdout)["revision"], 1)
        changed = self.run_ctl("profiles", "change", "shows", "--set", "ramp_ms=5000")
        self.assert_exit(changed, Exit.DONE)
        listed = json.loads(self.run_ctl("profiles", "list").stdout)["objects"]
        body = json.loads(listed[0]["body"])
        self.assertEqual(body, {"preset": "detection-first", "ramp_ms": 5000})
        self.assertEqual(self.fake.proposals[-1].based_on, 1)

    def test_lost_answer_is_resent_with_the_same_change_id(self) -> None:
        # Guards against a retry that makes a second change: the change is accepted, but its answer
        # is lost, and the command retries it. A second change would show as a second revision.
        self.fake.lost_answers = 2
        result = self.run_ctl(*CREATE)
        self.assert_exit(result, Exit.DONE)
        self.assertEqual(json.loads(result.stdout)["revision"], 1)
        self.assertEqual(len(self.fake.proposals), 3)
        self.assertEqual(len({change.change_id for change in self.fake.proposals}), 1)

    def test_resend_by_hand_is_the_same_change(self) -> None:
        # The answer to an accepted change is lost, and the operator repeats the command with the id
        # and base that it printed, after the profile was changed again or retired. The repeated
        # change must equal the first one, else it is refused because its id was used before.
        self.run_ctl(*CREATE)
        resend = ("--change-id", "x", "--based-on", "1")
        change = ("profiles", "change", "shows", "--set", "ramp_ms=5")
        self.assert_exit(self.run_ctl(*change, *resend), Exit.DONE)
        self.run_ctl("profiles", "change", "shows", "--set", "queue_limit=9")
        self.assert_exit(self.run_ctl(*change, *resend), Exit.DONE)
        retire = ("profiles", "retire", "shows", "--change-id", "y", "--based-on", "3")
        self.assert_exit(self.run_ctl(*retire), Exit.DONE)
        self.assert_exit(self.run_ctl(*retire), Exit.DONE)
        first, again = (c for c in self.fake.proposals if c.change_id == "x")
        self.assertEqual(first, again)
        first, again = (c for c in self.fake.proposals if c.change_id == "y")
        self.assertEqual(first, again)

    def test_race_shows_the_winner(self) -> None:
        # Two operators base their changes on revision 1. The first change becomes revision 2; the
        # second must not overwrite it unseen, so it ends in a conflict that shows the first.
        self.run_ctl(*CREATE)
        self.run_ctl("profiles", "change", "shows", "--set", "ramp_ms=1", "--change-id", "first")
        late = self.run_ctl("profiles", "change", "shows", "--set", "ramp_ms=2", "--based-on", "1")
        self.assert_exit(late, Exit.CONFLICT)
        self.assertIn("change id first", late.output)
        self.assertIn("'ramp_ms': 1".replace("'", '"'), late.output)

    def test_every_finding_is_printed_and_nothing_sent(self) -> None:
        result = self.run_ctl(
            "profiles", "create", "x", "--set", "ramp_msec=1", "--set", "deadline_ms=-4"
        )
        self.assert_exit(result, Exit.REFUSED)
        self.assertIn("did you mean 'ramp_ms'", result.output)
        self.assertIn("deadline_ms", result.output)
        self.assertEqual(self.fake.proposals, [])

    def test_wait_names_the_instances_that_are_behind(self) -> None:
        self.fake.instances = [
            pb.InstanceStatus(instance_id="i1", revision=1, answered=True),
            pb.InstanceStatus(instance_id="i2", revision=0, answered=False),
        ]
        result = self.run_ctl(*CREATE, "--wait", "0.5")
        self.assert_exit(result, Exit.NOT_YET)
        self.assertIn("i2", result.output)
        self.fake.instances[1].revision = 2
        waited = self.run_ctl("services", "put", "s", "--profile", "shows", "--wait", "0.3")
        self.assert_exit(waited, Exit.NOT_YET)
        self.fake.instances[0].revision = 9
        self.fake.instances[1].revision = 9
        done = self.run_ctl("services", "put", "s", "--profile", "shows", "--wait", "5")
        self.assert_exit(done, Exit.DONE)

    def test_exit_codes_of_failures(self) -> None:
        cases = (
            (("profiles", "show", "none"), TOKEN, Exit.NOT_FOUND),
            (("profiles", "list"), "wrong", Exit.UNAUTHENTICATED),
            (("explain", "r-1"), TOKEN, Exit.NOT_FOUND),
            (("keepers",), TOKEN, Exit.DONE),
            (("keepers", "dismiss", "k3#lost"), TOKEN, Exit.DONE),
            (("keepers", "dismiss", "k9#x"), TOKEN, Exit.REFUSED),
            (("profiles", "create"), TOKEN, Exit.USAGE),
        )
        for arguments, token, code in cases:
            with self.subTest(arguments=arguments):
                self.assert_exit(self.run_ctl(*arguments, token=token), code)

    def test_settings_file_reports_all_findings(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "ctl.json"
            path.write_text('{"adresses": ["127.0.0.1:1"], /* typo */ "token": ""}')
            result = CliRunner().invoke(app, ["--settings", str(path), "profiles", "list"])
        self.assert_exit(result, Exit.REFUSED)
        self.assertIn("did you mean 'addresses'", result.output)
        self.assertIn("token", result.output)
        self.assertIn("ctl.json", result.output)

    def test_explain_prints_decisions(self) -> None:
        event = pb.DecisionEvent(instance_id="i2", decision="dispatch", server_id="s1")
        self.fake.explanation = pb.Explanation(request_id="r", events=[event])
        result = self.run_ctl("explain", "r")
        self.assert_exit(result, Exit.DONE)
        self.assertEqual(json.loads(result.stdout)["events"][0]["server_id"], "s1")


class OutputTest(unittest.TestCase):
    def test_table_aligns_columns(self) -> None:
        lines = list(format_table(["A", "LONG"], [["wide cell", "x"], ["", "y"]]))
        self.assertEqual(lines, ["A          LONG", "wide cell  x", "           y"])

    def test_json_has_numbers_for_64_bit_fields(self) -> None:
        document = to_document(pb.ProposeReply(verdict=pb.ACCEPTED, revision=2**40))
        self.assertEqual(document["revision"], 2**40)


if __name__ == "__main__":
    unittest.main()
