"""Advice in the headers of servers' answers: rate limits, rests and leaving."""

import time
import unittest

from entry_harness import PROFILE, EntryTestCase, ScriptedServer, answer

from persimmonusher_decisions.advice import ServerAdvice
from persimmonusher_decisions.work import OutcomeKind
from persimmonusher_node.bodies import Body
from persimmonusher_node.clock import SystemClock
from persimmonusher_node.exchange import MAX_REST_SECONDS, read_advice
from persimmonusher_node.upstream import AttemptError, Upstream, UpstreamAnswer, UpstreamRequest


def read(status: int, **headers: str) -> ServerAdvice:
    named = tuple((name.replace("_", "-"), value) for name, value in headers.items())
    return read_advice(UpstreamAnswer(status, named, b""))


class ReadAdviceTest(unittest.TestCase):
    # Guards against malformed values being read as a limit, or as the end of a limit.
    def test_a_limit_is_a_decimal_number(self) -> None:
        for text, rate in (("1", 1.0), ("1.5", 1.5), ("0", 0.0), ("100000", 100_000.0)):
            self.assertEqual(read(200, Persimmonusher_Rate_Limit=text), ServerAdvice(rate))
        for text in ("", "nan", "inf", "-1", "1,5", "1, 1", "1e3", "9" * 30, "٣"):
            advice = read(200, Persimmonusher_Rate_Limit=text)
            self.assertEqual(advice, ServerAdvice(None, is_readable=False), text)
        self.assertEqual(read(200), ServerAdvice())

    # Guards against a rest that the server did not ask for, or one without an end.
    def test_a_rest_is_asked_for_by_turning_a_request_away(self) -> None:
        for text, seconds in (("3", 3.0), ("0.25", 0.25), ("99999", MAX_REST_SECONDS)):
            self.assertEqual(read(503, Retry_After=text).rest_seconds, seconds)
        for text in ("", "-3", "Thu, 03 Dec 2026 10:00:00 GMT", "3, 3", "nan"):
            self.assertEqual(read(503, Retry_After=text).rest_seconds, 0.0)
        self.assertEqual(read(200, Retry_After="3").rest_seconds, 0.0)

    # Guards against a server being excluded for a 429 that is meant for a single caller.
    def test_a_429_asks_for_rest_only_where_the_request_did_not_run(self) -> None:
        self.assertEqual(read(429, Retry_After="3").rest_seconds, 0.0)
        turned_away = read(429, Retry_After="3", Persimmonusher_Not_Run="shed")
        self.assertEqual(turned_away.rest_seconds, 3.0)

    # Guards against a server being excluded for a header value that doesn't mean leaving.
    def test_only_1_says_that_a_server_leaves(self) -> None:
        self.assertTrue(read(500, Persimmonusher_Leaving="1").is_leaving)
        for text in ("0", "", "false", "1, 1"):
            self.assertFalse(read(200, Persimmonusher_Leaving=text).is_leaving)


class RestingServerTest(EntryTestCase):
    profile = PROFILE.model_copy(update={"max_retries": 1, "retry_budget_percent": 50})
    server_names = ("s1",)

    # Guards against a request being sent to a server that asked for rest, or waiting for its end.
    def test_what_comes_in_a_rest_is_refused_at_once(self) -> None:
        self.script(answer(b"", "503 Busy", "Persimmonusher-Not-Run: shed", "Retry-After: 2"))
        for _ in range(3):
            began = time.monotonic()
            response = self.call("POST", body=b"x")
            self.assertEqual((response.status, response.outcome), (503, "not-run"))
            self.assertEqual(response.headers["retry-after"], "2")
            self.assertLess(time.monotonic() - began, 0.3)
        self.assertEqual(len(self.servers[0].ran), 1)

    # Guards against a first byte being sent after the server has asked for rest.
    def test_an_attempt_asks_for_the_server_at_the_last_moment(self) -> None:
        server = ScriptedServer("s9")
        self.addCleanup(server.stop)
        upstream = Upstream(SystemClock(), 1_000)
        self.addCleanup(upstream.close)
        answers = iter((True, False))
        attempt = upstream.start_attempt(
            server.announce(),
            UpstreamRequest("r1", "GET", "/", {}, Body(), True),
            time.monotonic() + 5.0,
            may_send=lambda: next(answers),
        )
        with self.assertRaises(AttemptError) as raised:
            attempt.run()
        self.assertIs(raised.exception.kind, OutcomeKind.WITHHELD)
        self.assertTrue(raised.exception.is_unsent)
        self.assertEqual(server.ran, [])


if __name__ == "__main__":
    unittest.main()
