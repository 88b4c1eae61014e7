"""Requests with an Idempotency-Key: the answers that callers get."""

import unittest
from dataclasses import dataclass

import eventlet
from entry_harness import PROFILE, SHED, EntryTestCase, Told, answer, send, stall

from persimmonusher_model.errors import ErrorCode, UsherError
from persimmonusher_node.ports import ClaimResult, ClaimStatus


@dataclass(frozen=True)
class Claimed:
    status: ClaimStatus
    http: int
    code: str
    outcome: str


CLAIMED = [
    Claimed(ClaimStatus.RUNNING, 409, "key-running", "unknown"),
    Claimed(ClaimStatus.UNKNOWN, 502, "key-unknown", "unknown"),
    Claimed(ClaimStatus.MISMATCH, 422, "key-mismatch", "not-run"),
    Claimed(ClaimStatus.FINISHED, 410, "key-answer-gone", "ran"),
    Claimed(ClaimStatus.NO_QUORUM, 503, "key-no-quorum", "not-run"),
]


class KeyedTest(EntryTestCase):
    def lodge(self, key: str = "k", body: bytes = b"entry", **headers: str) -> Told:
        return self.call("POST", "/entry", body, {"Idempotency-Key": key, **headers})

    def test_a_resend_gets_the_first_answer_and_runs_nothing(self) -> None:
        self.script(answer(b"number 7", "201 Created", "Location: /e/7"))
        first = self.lodge()
        again = self.lodge()
        self.assertEqual((first.status, first.body), (201, b"number 7"))
        self.assertEqual((again.status, again.body), (first.status, first.body))
        self.assertEqual(again.headers["location"], "/e/7")
        self.assertEqual(again.headers["persimmonusher-replayed"], "true")
        self.assertNotIn("persimmonusher-replayed", first.headers)
        self.assertNotEqual(first.headers["x-request-id"], again.headers["x-request-id"])
        self.assertEqual(len(self.ran), 1)

    def test_a_failure_that_ran_is_kept_as_well(self) -> None:
        """A server answers 500 but may have had effects: a resend must not run again."""
        self.script(answer(b"oh", "500 No"))
        self.assertEqual([self.lodge().status, self.lodge().status], [500, 500])
        self.assertEqual(len(self.ran), 1)

    def test_what_was_not_run_may_be_resent(self) -> None:
        self.script(*[SHED] * 3)
        self.assertEqual(self.lodge().outcome, "not-run")
        self.script()
        self.assertEqual((self.lodge().status, len(self.ran)), (200, 1))

    def test_an_unknown_outcome_is_never_run_again(self) -> None:
        """The connection breaks after the last byte of the request, and the caller resends it.

        It must not run twice. The resend is answered `unknown` at once and without Retry-After: the
        outcome can be found by a lookup, not by waiting.
        """
        self.script(send(b""))
        self.assertEqual(self.lodge().outcome, "unknown")
        again = self.lodge()
        self.assertEqual((again.status, again.outcome), (502, "unknown"))
        self.assertNotIn("retry-after", again.headers)
        self.assertEqual(len(self.ran), 1)

    def test_two_resends_at_the_same_moment_run_once(self) -> None:
        self.script(stall(0.1, answer(b"once")))
        first = eventlet.spawn(self.lodge)
        eventlet.sleep(0.03)
        second = self.lodge()
        self.assertEqual((second.status, second.outcome), (409, "unknown"))
        self.assertGreaterEqual(int(second.headers["retry-after"]), 1)
        self.assertEqual((first.wait().body, len(self.ran)), (b"once", 1))

    def test_keys_belong_to_one_caller_and_one_request(self) -> None:
        self.lodge(body=b"heifer")
        self.assertEqual(self.lodge(body=b"bull").status, 422)
        other = self.lodge(body=b"heifer", **{"Persimmonusher-Caller": "co-op"})
        self.assertNotIn("persimmonusher-replayed", other.headers)
        self.assertEqual(len(self.ran), 2)

    def test_each_status_of_a_claim_has_a_clear_answer_and_runs_nothing(self) -> None:
        for case in CLAIMED:
            with self.subTest(case.status):
                self.claims.claim = lambda *_, s=case.status: ClaimResult(s)  # type: ignore[method-assign]
                response = self.lodge()
                self.assertEqual((response.status, response.outcome), (case.http, case.outcome))
                self.assertIn(case.code.encode(), response.body)
        self.assertEqual(self.ran, [])

    def test_an_error_of_the_claims_is_no_quorum(self) -> None:
        def fail(*arguments: object) -> ClaimResult:
            raise UsherError(ErrorCode.NO_QUORUM, "no registers")

        self.claims.claim = fail  # type: ignore[method-assign]
        self.assertEqual((self.lodge().outcome, self.ran), ("not-run", []))

    def test_an_idempotent_request_needs_no_claim(self) -> None:
        for _ in range(2):
            response = self.call("POST", "/search", b"q", {"Idempotency-Key": "k"})
            self.assertNotIn("persimmonusher-replayed", response.headers)
        self.assertEqual(len(self.ran), 2)


class KeyRequiredTest(EntryTestCase):
    profile = PROFILE.model_copy(update={"key_required": True})

    def test_without_a_key_nothing_is_run(self) -> None:
        response = self.call("POST", body=b"entry")
        self.assertEqual((response.status, response.outcome, self.ran), (400, "not-run", []))
        self.assertEqual(self.call().status, 200, "lookups need none")


if __name__ == "__main__":
    unittest.main()
