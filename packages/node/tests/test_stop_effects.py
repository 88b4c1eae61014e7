"""What a stop did to a request is told by the request's record, the log and the metrics."""

import time
from dataclasses import replace

import eventlet
import structlog
from entry_harness import answer, stall
from stopping_entry import StoppingEntryTestCase

from persimmonusher_node.answers import AnswerCode
from persimmonusher_node.dialect import OWN_DIALECT
from persimmonusher_node.logs import is_uneventful
from persimmonusher_node.stop_progress import STOP_STEP, StopEffect


class StopEffectsTest(StoppingEntryTestCase):
    dialect = replace(OWN_DIALECT, retry_after_decimals=2)

    def list_effects(self, path: str) -> list[str]:
        """Return the stop's effects on the request to a path, as the metrics count them."""
        finished = next(one for one in self.observer.finished if one.record.path == path)
        return [step.summary for step in finished.record.steps if step.step == STOP_STEP]

    # Guards against a request that a stop cut off and that is logged like one that was too slow.
    def test_a_request_tells_what_a_stop_did_to_it(self) -> None:
        self.script(
            stall(0.4, answer(b"done")), stall(9.0, answer(b"never")), stall(0.1, answer(b"done"))
        )
        with structlog.testing.capture_logs() as lines:
            calls = [eventlet.spawn(self.call, "POST", "/in-flight")]
            eventlet.sleep(0.05)
            calls.append(eventlet.spawn(self.call, "POST", "/cut-off"))
            eventlet.sleep(0.05)
            stopping = eventlet.spawn(self.make_stop(0.8).run)
            eventlet.sleep(0.05)
            calls.append(eventlet.spawn(self.call, "POST", "/arrived"))
            for call in calls:
                call.wait()
            self.assertFalse(stopping.wait())
        self.assertEqual(self.list_effects("/in-flight"), ["in-flight"])
        self.assertEqual(self.list_effects("/cut-off"), ["in-flight", "cut-off"])
        self.assertEqual(self.list_effects("/arrived"), ["arrived"])
        codes = {one.record.path: one.code for one in self.observer.finished}
        self.assertEqual(codes["/cut-off"], AnswerCode.STOP_ENDED)
        self.assertFalse(any(map(is_uneventful, self.observer.finished)))
        summary = next(line for line in lines if line["event"] == "stop-effects")
        self.assertEqual((summary["in_flight"], summary["arrived"], summary["cut_off"]), (2, 1, 1))
        self.assertEqual(len(summary["cut_off_ids"]), 1)

    # Guards against refusals of a stop that leave no line.
    def test_a_refused_request_tells_that_a_stop_refused_it(self) -> None:
        self.plane.forwarder.begin_stop(0.5, time.monotonic())
        self.plane.forwarder.stop.is_closed = True
        reply = self.call("POST", "/refused")
        self.assertEqual((reply.status, reply.outcome), (503, "not-run"))
        self.assertEqual(self.list_effects("/refused"), ["refused"])

    # Guards against callers that wait a second although other instances can serve them at once.
    def test_a_refused_request_may_come_back_at_once(self) -> None:
        self.plane.forwarder.begin_stop(0.5, time.monotonic())
        self.plane.forwarder.stop.is_closed = True
        reply = self.call("POST", "/refused")
        self.assertEqual(reply.headers["retry-after"], "0.05")

    # Guards against metrics with a label value for each request that a stop met.
    def test_metrics_count_the_effects_without_their_times(self) -> None:
        self.script(stall(0.1, answer(b"done")))
        stopping = eventlet.spawn(self.make_stop(0.8).run)
        eventlet.sleep(0.05)
        self.call("POST", "/arrived")
        self.assertTrue(stopping.wait())
        rendered = self.plane.metrics.render().decode()
        self.assertIn(f'decision="{STOP_STEP}",reason="{StopEffect.ARRIVED.value}"', rendered)
