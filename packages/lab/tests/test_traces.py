"""Every committed trace replays to its stated outcomes, and the replay notices a broken one."""

import tempfile
import unittest
from dataclasses import replace
from pathlib import Path

from persimmonusher_lab.trace import TraceRecorder, read_trace, replay, write_trace
from persimmonusher_lab.trace_codec import decode, encode
from persimmonusher_lab.trace_keepers import make_change
from persimmonusher_lab.trace_scenarios import SCENARIOS, record_race
from persimmonusher_model.errors import UsherError
from persimmonusher_model.profile import DETECTION_FIRST

FOLDER = Path(__file__).parent.parent / "traces"
PROMISES = (
    "at most once",
    "crashing request",
    "floor",
    "graceful shutdown",
    "leaving server",
    "never reverts",
    "whole answers",
)


class TraceTest(unittest.TestCase):
    def test_committed_traces_replay_as_stated(self) -> None:
        paths = sorted(FOLDER.glob("*.jsonl"))
        self.assertLessEqual(set(SCENARIOS), {path.stem for path in paths})
        for path in paths:
            with self.subTest(trace=path.name):
                trace = read_trace(path)
                self.assertTrue(any(step.states for step in trace.steps))
                self.assertEqual([str(found) for found in replay(trace)], [])

    def test_every_promise_has_a_trace(self) -> None:
        held = " ".join(read_trace(path).promise for path in FOLDER.glob("*.jsonl"))
        for promise in PROMISES:
            with self.subTest(promise=promise):
                self.assertIn(promise, held)

    def test_a_changed_outcome_is_reported_with_its_line(self) -> None:
        trace = record_race()
        trace.steps[2] = replace(trace.steps[2], result=trace.steps[1].result)
        found = replay(trace)
        self.assertEqual([difference.line for difference in found], [4])
        self.assertIn("the second is a conflict", str(found[0]))

    def test_unstated_results_differ_only_when_strict(self) -> None:
        trace = record_race()
        trace.steps[2] = replace(trace.steps[2], result=None, states="")
        self.assertEqual(replay(trace), [])
        self.assertEqual(len(replay(trace, strict=True)), 1)

    def test_another_version_and_a_strange_call_are_refused(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "t.jsonl"
            write_trace(record_race(), path)
            path.write_text(path.read_text().replace('"version": 1', '"version": 9'))
            with self.assertRaises(UsherError):
                read_trace(path)
        recorder = TraceRecorder("p", "s")
        recorder.add("c", "configuration", lineage="x")
        with self.assertRaises(UsherError):
            recorder.call("c", "_clear", "y")

    def test_values_survive_the_codec(self) -> None:
        values = (
            make_change("c", 1),
            DETECTION_FIRST,
            b"\x00\xff",
            {"i2": 3, "i1": 2},
            frozenset({"a", "b"}),
            (1, 2.5, None, True, "x"),
        )
        for value in values:
            with self.subTest(value=value):
                self.assertEqual(decode(encode(value)), value)


if __name__ == "__main__":
    unittest.main()
