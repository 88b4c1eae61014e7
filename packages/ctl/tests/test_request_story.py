"""Tests of the timeline of a past request that is built from collected logs."""

import json
import tempfile
import unittest
from datetime import UTC, datetime, timedelta
from pathlib import Path
from typing import Any

from typer.testing import CliRunner

from persimmonusher_ctl.exits import Exit
from persimmonusher_ctl.log_lines import LogLine, parse_line, read_lines
from persimmonusher_ctl.main import app
from persimmonusher_ctl.request_story import build_timeline

BEGIN = datetime(2026, 1, 6, 2, 0, tzinfo=UTC)


def make_line(after: float, instance: str, event: str, **fields: Any) -> str:
    at = BEGIN + timedelta(seconds=after)
    document = {**fields, "event": event, "instance": instance, "timestamp": at.isoformat()}
    return json.dumps(document)


def make_request(seconds: float, name: str, server: str, reason: str = "failure") -> str:
    return make_line(
        seconds,
        "entry-1",
        "request",
        request_id=name,
        status=500,
        result="ran",
        reason=reason,
        seconds=0.5,
        steps=[f"0.0001 dispatch {server}: attempt 1", f"0.4 outcome {server}: failure"],
    )


LINES = [
    make_line(1.0, "entry-1", "server-passed-by", server="s1", seen="elsewhere", seconds=4.0),
    make_line(20.0, "entry-2", "server-passed-by", server="s1", request_id="other", seconds=4.0),
    make_line(20.1, "entry-1", "server-passed-by", server="s1", seen="elsewhere", seconds=4.0),
    make_line(20.1, "entry-3", "server-passed-by", server="s1", seen="elsewhere", seconds=4.0),
    make_request(22.0, "other", "s1"),
    make_request(23.0, "third", "s2"),
    make_line(24.0, "entry-1", "keeper-lost", keeper="k1", error="silent"),
    make_line(24.0, "entry-2", "keeper-lost", keeper="k1", error="silent"),
    make_request(25.0, "mine", "s1"),
    make_line(26.0, "keeper-1", "server-registered", server="s1", state="stopped"),
    make_line(26.0, "keeper-1", "server-registered", server="s2", state="stopped"),
    make_line(40.0, "keeper-1", "server-registered", server="s1", state="ready"),
]


def read(texts: list[str]) -> list[LogLine]:
    return [line for text in texts if (line := parse_line(text)) is not None]


class RequestStoryTest(unittest.TestCase):
    # Guards against an explanation by the server of a request that a stop cut off.
    def test_a_request_that_a_stop_cut_off_is_explained_by_the_stop(self) -> None:
        steps = [
            "0.0001 dispatch s1: attempt 1",
            "1.9 stop: cut-off, 5.20 s after the signal, 0.00 s left",
            "1.9 outcome s1: timeout",
        ]
        lines = [
            make_line(20.0, "entry-1", "stopping", in_flight=3),
            make_line(
                25.0,
                "entry-1",
                "request",
                request_id="mine",
                status=504,
                result="unknown (stop-ended)",
                reason="timeout",
                seconds=1.9,
                steps=steps,
            ),
        ]
        timeline = build_timeline("mine", lambda: read(lines))
        assert timeline is not None
        self.assertIn("its instance stopped before its server answered", timeline.cause)
        self.assertEqual(
            [entry.what for entry in timeline.lines], ["stopping", "dispatch", "stop", "outcome"]
        )

    def test_servers_that_asked_for_less_stand_beside_a_request_that_none_took(self) -> None:
        lines = [
            make_line(20.0, "entry-1", "server-rest", server="s1", service="v", seconds=3.0),
            make_line(
                20.1, "entry-1", "server-limit", server="s2", service="v", requests_a_second=1.5
            ),
            make_line(20.2, "entry-1", "server-rest", server="s3", service="other", seconds=3.0),
            make_line(20.3, "entry-2", "server-rest", server="s4", service="v", seconds=3.0),
            make_line(
                21.0,
                "entry-1",
                "request",
                request_id="mine",
                service="v",
                status=503,
                result="not-run (servers-closed)",
                reason="servers-closed",
                seconds=0.001,
                steps=["0.0001 refuse: servers-closed"],
            ),
        ]
        timeline = build_timeline("mine", lambda: read(lines))
        assert timeline is not None
        asked = [(line.server, line.detail) for line in timeline.lines if line.server]
        self.assertEqual([server for server, _ in asked], ["s1", "s2"])
        self.assertIn("seconds 3.0", asked[0][1])
        self.assertIn("requests_a_second 1.5", asked[1][1])
        self.assertIn("asked for rest", timeline.cause)

    def test_a_story_holds_the_steps_and_what_was_known_of_the_server(self) -> None:
        """The cause of a failed request is logged elsewhere.

        Another entry logs it seconds before the request, and a keeper a second after it.
        """
        timeline = build_timeline("mine", lambda: read(LINES))
        assert timeline is not None
        seen = [(line.what, line.instance) for line in timeline.lines]
        self.assertEqual(
            seen,
            [
                ("server-passed-by", "entry-2"),
                ("server-passed-by", "entry-1"),
                ("keeper-lost", "entry-1"),
                ("dispatch", "entry-1"),
                ("outcome", "entry-1"),
                ("server-registered", "keeper-1"),
                ("summary", "-"),
            ],
        )
        self.assertIn("shown by other", timeline.lines[0].detail)
        self.assertIn("1 other logged requests failed", timeline.lines[-1].detail)
        self.assertIn("answered with a failure", timeline.cause)

    def test_a_step_has_the_time_at_which_it_was_made(self) -> None:
        timeline = build_timeline("third", lambda: read(LINES))
        assert timeline is not None
        (dispatch,) = [line for line in timeline.lines if line.what == "dispatch"]
        self.assertEqual(dispatch.at, BEGIN + timedelta(seconds=22.5001))

    def test_a_request_that_all_servers_refused_did_not_fail_there(self) -> None:
        for result, words in (("not-run (overload)", "refused it"), ("ran", "failed on each")):
            with self.subTest(result):
                fields = {"request_id": "r", "status": 503, "reason": "retries-exhausted"}
                line = make_line(1.0, "entry-1", "request", result=result, **fields)
                timeline = build_timeline("r", lambda line=line: read([line]))
                assert timeline is not None
                self.assertIn(words, timeline.cause)

    def test_words_around_a_line_and_other_lines_are_passed_over(self) -> None:
        whole = make_request(1.0, "r", "s1")
        for name, text, taken in (
            ("a collector's words", f"0.7 entry-1 {whole}", True),
            ("no braces", "Traceback (most recent call last):", False),
            ("cut short", whole[:-20], False),
            ("no event", '{"timestamp": "2026-01-06T02:00:00Z"}', False),
            ("no time", '{"event": "request", "timestamp": "noon"}', False),
            ("another form", '{"event": "request", "timestamp": 5}', False),
        ):
            with self.subTest(name):
                self.assertEqual(parse_line(text) is not None, taken)


class CommandTest(unittest.TestCase):
    def setUp(self) -> None:
        folder = self.enterContext(tempfile.TemporaryDirectory())
        self.log = Path(folder) / "entry-1.log"
        self.log.write_text("\n".join(LINES))

    def run_ctl(self, *arguments: str) -> Any:
        return CliRunner().invoke(app, arguments)

    def test_the_command_needs_no_fleet(self) -> None:
        result = self.run_ctl("explain-logs", "mine", str(self.log))
        self.assertEqual(result.exit_code, int(Exit.DONE), result.output)
        self.assertIn("status 500, ran: its server answered with a failure", result.output)
        found = self.run_ctl("--json", "explain-logs", "mine", str(self.log))
        self.assertEqual(len(json.loads(found.stdout)["lines"]), 7)

    def test_what_is_not_there_is_named(self) -> None:
        empty = self.log.with_name("empty.log")
        empty.write_text("nothing\n")
        for arguments, code, words in (
            (("absent-id", str(self.log)), Exit.NOT_FOUND, "absent-id"),
            (("mine", str(empty)), Exit.REFUSED, "empty.log"),
            (("mine", "no-such.log"), Exit.NOT_FOUND, "no-such.log"),
        ):
            with self.subTest(words):
                result = self.run_ctl("explain-logs", *arguments)
                self.assertEqual(result.exit_code, int(code), result.output)
                self.assertIn(words, result.output)

    def test_files_are_read_in_their_order(self) -> None:
        self.assertEqual(len(list(read_lines([self.log, self.log]))), 2 * len(LINES))


if __name__ == "__main__":
    unittest.main()
