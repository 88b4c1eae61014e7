import unittest
from dataclasses import replace

from persimmonusher_model.identifiers import ServiceName
from persimmonusher_model.routing import (
    CallerLimits,
    RouteRule,
    RoutingDocument,
    ServiceEntry,
    WeightedService,
    check_document,
)

ENTRIES = ServiceName("entries")
RULE = RouteRule(
    "r1", "shop.example", "/entries/", False, 1, 800, 3000, 2, (WeightedService(ENTRIES, 1),)
)
DOCUMENT = RoutingDocument(
    1, CallerLimits(16_384, 1_048_576, 3.0, 15.0), (RULE,), (ServiceEntry(ENTRIES, "/health", 390),)
)


class RoutingTest(unittest.TestCase):
    def test_everything_wrong_is_found_with_its_place(self) -> None:
        odd = (WeightedService(ServiceName("odd"), 1),)
        cases = [
            ("as it should be", RULE, []),
            ("unknown service", replace(RULE, services=odd), ["rules.0.services"]),
            ("bare prefix", replace(RULE, prefix="entries/"), ["rules.0.prefix"]),
            ("long timeout", replace(RULE, timeout_ms=600_001), ["rules.0.timeout_ms"]),
            ("no weight", replace(RULE, services=()), ["rules.0.services"]),
            (
                "both",
                replace(RULE, prefix="entries/", timeout_ms=0),
                ["rules.0.prefix", "rules.0.timeout_ms"],
            ),
        ]
        for name, rule, paths in cases:
            with self.subTest(name):
                findings = check_document(replace(DOCUMENT, rules=(rule,)))
                self.assertEqual([finding.path for finding in findings], paths)

    def test_two_routes_may_not_share_host_and_prefix(self) -> None:
        other = replace(RULE, name="r2", host="other.example")
        self.assertEqual(check_document(replace(DOCUMENT, rules=(RULE, other))), [])
        twice = check_document(replace(DOCUMENT, rules=(RULE, replace(RULE, name="r2"))))
        self.assertEqual([finding.path for finding in twice], ["rules.1.prefix"])
