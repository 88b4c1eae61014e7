"""Statuses that promise callers that a request did not run, from servers that didn't say so."""

import unittest
from dataclasses import replace

from entry_harness import PROFILE, EntryTestCase, answer

from persimmonusher_node.dialect import OWN_DIALECT

PROMISES = frozenset({408, 421, 429, 503})
NOT_RUN = "Persimmonusher-Not-Run: shed"
SIGNATURE = "X-Signature"


class UnprovedPromisesTest(EntryTestCase):
    profile = PROFILE.model_copy(update={"max_retries": 1, "retry_budget_percent": 100})
    server_names = ("s1",)
    dialect = replace(OWN_DIALECT, promising_statuses=PROMISES, signature=SIGNATURE)

    # Guards against a promise that a request did not run which its server never gave.
    def test_a_status_without_a_proof_promises_nothing(self) -> None:
        for status in PROMISES:
            with self.subTest(status):
                self.script(answer(b"why", f"{status} No", f"{SIGNATURE}: s1"))
                response = self.call("POST")
                self.assertEqual((response.status, response.outcome), (502, "unknown"))
                self.assertEqual(response.body, b"why")
                self.assertNotIn(SIGNATURE.lower(), response.headers)

    # Guards against a long answer that is passed on as it arrives and keeps its status.
    def test_a_long_answer_promises_nothing_either(self) -> None:
        self.script(answer(b"x" * 2_000_000, "503 No"))
        self.assertEqual(self.call("POST").status, 502)

    # Guards against an idempotent request, or a true refusal, that loses its status.
    def test_what_is_true_keeps_its_status(self) -> None:
        self.script(answer(b"why", "429 No"))
        self.assertEqual(self.call("GET", "/search").status, 429)
        self.script(*[answer(b"", "503 No", NOT_RUN)] * 2)
        refused = self.call("POST")
        self.assertEqual((refused.status, refused.outcome), (503, "not-run"))


if __name__ == "__main__":
    unittest.main()
