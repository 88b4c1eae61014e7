"""Requests through the data plane by the rules of a routing document."""

import time

import eventlet
from entry_harness import HOST, SERVICE, EntryTestCase, answer, stall

from persimmonusher_model.identifiers import Revision
from persimmonusher_model.routing import RouteRule, WeightedService
from persimmonusher_node.dialect import Dialect
from persimmonusher_node.memory import MemoryConfiguration

FAIL = answer(b"", "500 Broken")
MISDIRECTED = answer(b"", "421 Misdirected Request")
SHED = answer(b"", "503 Busy", "X-Shed: 1")
PARTS = (WeightedService(SERVICE, 1),)


class RuledConfiguration(MemoryConfiguration):
    """A configuration with one rule; `current` is False while it is cut off from the keepers."""

    rule: RouteRule | None = None
    current = True

    def find_rule(self, host: str, path: str) -> RouteRule | None:
        """Return the rule for paths that start with its prefix."""
        rule = self.rule
        return rule if rule is not None and path.startswith(rule.prefix) else None

    def is_current(self) -> bool:
        """Return the value that the test has set."""
        return self.current


class RulesTest(EntryTestCase):
    dialect = Dialect(
        request_id="X-Id", deadline="X-Left", not_run="X-Shed", expected_server="X-Server"
    )

    def setUp(self) -> None:
        super().setUp()
        view = RuledConfiguration(self.view.routes, self.view.profiles)
        self.plane.services._view = view
        self.ruled = view

    def set_rule(self, idempotent: bool, attempts: int = 2, timeout_ms: int = 1_000) -> None:
        self.ruled.rule = RouteRule(
            "r", HOST, "/ruled/", idempotent, 0, 100, timeout_ms, attempts, PARTS
        )

    def test_the_rule_says_what_may_run_again_whatever_the_method(self) -> None:
        """The rule overrides the method: a POST may be idempotent, and a GET not."""
        cases = [("POST", True, 2, 2), ("POST", True, 1, 1), ("GET", False, 2, 1)]
        for method, idempotent, attempts, ran in cases:
            with self.subTest(method=method, attempts=attempts):
                self.set_rule(idempotent, attempts)
                self.script(FAIL)
                before = len(self.ran)
                response = self.call(method, "/ruled/x", b"body")
                self.assertEqual(len(self.ran) - before, ran)
                self.assertEqual(response.status, 500 if ran == attempts or not idempotent else 200)

    def test_the_caller_has_its_answer_by_the_routes_timeout(self) -> None:
        self.set_rule(True, timeout_ms=300)
        self.script(stall(2.0, answer()))
        started = time.monotonic()
        response = self.call(target="/ruled/x", headers={"X-Left": "5000"})
        self.assertLess(time.monotonic() - started, 0.8)
        self.assertEqual((response.status, response.outcome), (504, "unknown"))
        self.assertLessEqual(int(self.ran[0].headers["x-left"]), 300)

    def test_a_server_that_took_the_address_of_another_runs_nothing(self) -> None:
        """A server ends without notice, and a server of another service gets its address.

        The request names the server that it is for, so the other one refuses it. Even a
        non-idempotent request may then go to the next server, and the address gets no more work.
        """
        self.set_rule(False)
        first = self.servers[0]
        first.default = MISDIRECTED
        for _ in range(6):
            response = self.call("POST", "/ruled/x", b"e")
            self.assertEqual((response.status, response.outcome), (200, "ran"))
        named = {heard.headers["x-server"] for heard in self.servers[1].ran}
        self.assertEqual(named, {"s2"})
        self.assertLessEqual(len(first.ran), 1)

    def test_a_refusal_of_a_server_is_passed_on_as_not_run(self) -> None:
        self.set_rule(False)
        for server in self.servers:
            server.default = SHED
        response = self.call("POST", "/ruled/x", b"e")
        self.assertEqual((response.status, response.outcome), (503, "not-run"))
        self.assertIn("retry-after", response.headers)

    def test_an_entry_out_of_touch_denies_no_route(self) -> None:
        """An entry is cut off from the keepers while an operator adds a route.

        An answer that there is no such route would be wrong, and callers would not retry.
        """
        self.assertEqual(self.call(headers={"Host": "other.example"}).status, 404)
        self.ruled.current = False
        response = self.call(headers={"Host": "other.example"})
        self.assertEqual((response.status, response.outcome), (503, "not-run"))

    def test_a_request_waits_a_moment_for_the_first_configuration(self) -> None:
        """After all instances were killed, callers return before the keepers have a leader."""
        routes, self.ruled.routes, self.ruled.number = self.ruled.routes, {}, Revision(0)
        refused = self.call()
        self.assertEqual((refused.status, refused.outcome), (503, "not-run"))

        def configure() -> None:
            self.ruled.routes, self.ruled.number = routes, Revision(1)

        eventlet.spawn_after(0.2, configure)
        self.assertEqual(self.call().status, 200)
