"""Requests with API keys and quotas, through the data plane."""

from dataclasses import replace

from entry_harness import HOST, SERVICE, SHED, EntryTestCase, Heard, Told
from structlog.testing import capture_logs

from persimmonusher_model.identifiers import CallerId, RequestId
from persimmonusher_model.organisations import (
    Organisation,
    OrganisationBook,
    RequestQuota,
    digest_key,
)
from persimmonusher_model.routing import RouteRule, WeightedService
from persimmonusher_node.calls import Call
from persimmonusher_node.dialect import Dialect
from persimmonusher_node.identification import Identity
from persimmonusher_node.memory import MemoryConfiguration
from persimmonusher_node.ports import QuotaVerdict

SECRET = "planted-key"
ACME = Organisation(CallerId("acme"), (digest_key(SECRET),), 3, RequestQuota(5, 5))
BERG = Organisation(CallerId("berg"), (digest_key("other-key"),))
CALL = Call(
    RequestId("r1"), CallerId("acme"), "r", "GET", HOST, "/items", "/items", (), 0.0, None, None
)
PARTS = (WeightedService(SERVICE, 1),)


class KeyedConfiguration(MemoryConfiguration):
    """A configuration with organisations, and one public route."""

    current = True
    book: OrganisationBook | None = OrganisationBook([ACME, BERG])

    @property
    def organisations(self) -> OrganisationBook | None:
        return self.book

    def find_rule(self, host: str, path: str) -> RouteRule | None:
        public = path.startswith("/open/")
        return RouteRule("r", HOST, "/", True, 1, 100, 1_000, 2, PARTS, public)

    def is_current(self) -> bool:
        return self.current


class ApiKeysTest(EntryTestCase):
    server_names = ("s1",)
    dialect = Dialect(credentials_scheme="Token", organisation="X-Organisation")

    def setUp(self) -> None:
        super().setUp()
        self.keyed = KeyedConfiguration(self.view.routes, self.view.profiles)
        self.plane.services._view = self.keyed

    def ask(self, key: str | None = SECRET, target: str = "/items", **headers: str) -> Told:
        if key is not None:
            headers["Authorization"] = f"Token {key}"
        return self.call("GET", target, headers=headers)

    def get_last(self) -> Heard:
        return self.ran[-1]

    def test_a_server_is_told_the_organisation_and_not_the_key(self) -> None:
        """Guards against keys that reach servers, and callers that name another organisation."""
        response = self.ask(**{"X-Organisation": "berg", "x-other": "kept"})
        self.assertEqual(response.status, 200)
        heard = self.get_last()
        self.assertEqual(heard.headers["x-organisation"], "acme")
        self.assertEqual(heard.headers["x-other"], "kept")
        self.assertNotIn("authorization", heard.headers)
        self.assertNotIn(SECRET, repr(heard))

    def test_a_request_without_a_known_key_is_denied(self) -> None:
        """Guards against requests that run without an organisation, or for one of two given."""
        cases = [None, "unknown", "", f"{SECRET} {SECRET}", f"{SECRET}, Token other-key"]
        for key in cases:
            with self.subTest(key):
                response = self.ask(key)
                self.assertEqual((response.status, response.outcome), (401, "not-run"))
                self.assertEqual(response.headers["www-authenticate"], "Token")
        other = self.call("GET", "/items", headers={"Authorization": f"Basic {SECRET}"})
        self.assertEqual(other.status, 401)
        self.assertEqual(self.ran, [])

    def test_an_instance_out_of_touch_denies_no_key(self) -> None:
        """Guards against the denial of a key that was added while this instance was cut off."""
        self.keyed.current = False
        self.assertEqual(self.ask("new").status, 503)
        self.assertEqual(self.ask().status, 200)

    def test_a_public_route_needs_no_key(self) -> None:
        self.assertEqual(self.ask(None, "/open/x", **{"X-Organisation": "berg"}).status, 200)
        self.assertNotIn("x-organisation", self.get_last().headers)
        self.assertEqual(self.ask("unknown", "/open/x").status, 200)
        self.assertNotIn("authorization", self.get_last().headers)
        self.assertEqual(self.ask(SECRET, "/open/x").status, 200)
        self.assertEqual(self.get_last().headers["x-organisation"], "acme")

    def test_keys_come_and_go_with_the_configuration(self) -> None:
        """Guards against serving keys after their removal, or for their previous owner."""
        moved = Organisation(BERG.name, ACME.keys)
        self.keyed.book = OrganisationBook([moved])
        self.assertEqual(self.ask().status, 200)
        self.assertEqual(self.get_last().headers["x-organisation"], "berg")
        self.keyed.book = OrganisationBook([])
        self.assertEqual(self.ask().status, 401)
        self.keyed.book = None
        self.assertEqual(self.ask().status, 200)
        self.assertIn("authorization", self.get_last().headers)

    def test_a_request_beyond_its_quota_is_refused_at_once(self) -> None:
        """Guards against one organisation's work using the capacity of the others."""
        cases = [(QuotaVerdict.EXCEEDED, 429), (QuotaVerdict.UNKNOWN, 503)]
        for verdict, status in cases:
            with self.subTest(verdict):
                self.quotas.verdict = verdict
                response = self.ask()
                self.assertEqual((response.status, response.outcome), (status, "not-run"))
                self.assertIn("retry-after", response.headers)
        self.assertEqual(self.ask("other-key").status, 200)
        self.assertEqual([heard.headers["x-organisation"] for heard in self.ran], ["berg"])

    def test_a_request_that_was_not_run_leaves_the_quota_as_it_was(self) -> None:
        """Guards against quotas used up by refusals."""
        self.script(SHED, SHED, SHED)
        self.assertEqual(self.ask().status, 503)
        self.assertEqual(self.quotas.taken["acme"], 0)
        self.script()
        self.assertEqual(self.ask().status, 200)
        self.assertEqual(self.quotas.taken["acme"], 1)

    def test_an_organisations_priority_goes_before_the_routes(self) -> None:
        rule = self.keyed.find_rule(HOST, "/items")
        for identity, priority in ((Identity(ACME), 3), (Identity(BERG), 1), (None, 1)):
            with self.subTest(identity):
                call = replace(CALL, rule=rule, identity=identity)
                self.assertEqual(call.find_priority(), priority)

    def test_a_denied_request_can_be_found_in_the_log(self) -> None:
        """Guards against denials that leave no reason in the log, and against keys in the log."""
        with capture_logs() as lines:
            response = self.ask(f"{SECRET}x")
            self.keyed.current = False
            self.ask(f"{SECRET}x")
        denials = [line for line in lines if line["event"] == "request-unidentified"]
        self.assertEqual([line["status"] for line in denials], [401, 503])
        self.assertEqual(denials[0]["request_id"], response.headers["x-request-id"])
        self.assertNotIn(SECRET, repr(lines))

    def test_no_key_is_kept_or_told(self) -> None:
        """Guards against keys in records, metrics and errors, which many people can read."""
        answers = [self.ask(), self.ask(f"{SECRET}x"), self.ask(SECRET, "/open/x")]
        shown = [repr(answer) for answer in answers]
        shown.append(repr(self.plane.explain(RequestId(answers[0].headers["x-request-id"]))))
        shown.append(self.plane.metrics.render().decode())
        shown.extend(repr(finished) for finished in self.observer.finished)
        for text in shown:
            self.assertNotIn(SECRET, text)
