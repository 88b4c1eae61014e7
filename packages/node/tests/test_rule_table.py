import unittest

from persimmonusher_model.identifiers import ServiceName
from persimmonusher_model.routing import RouteRule, WeightedService
from persimmonusher_node.rule_table import RuleTable


def make_rule(host: str, prefix: str) -> RouteRule:
    parts = (WeightedService(ServiceName("s"), 1),)
    return RouteRule(f"{host}{prefix}", host, prefix, True, 0, 100, 1000, 1, parts)


class RuleTableTest(unittest.TestCase):
    def test_the_longest_prefix_of_the_host_is_chosen(self) -> None:
        table = RuleTable(
            make_rule(host, prefix)
            for host, prefix in [("a.example", "/x/"), ("a.example", "/x/y/"), ("B.example", "/")]
        )
        cases = [
            ("a.example", "/x/1", "a.example/x/"),
            ("A.example:80", "/x/1", "a.example/x/"),
            ("a.example", "/x/y/1", "a.example/x/y/"),
            ("a.example", "/x/yy", "a.example/x/"),
            ("a.example", "/x", None),
            ("a.example", "/z/", None),
            ("b.example", "/anything", "B.example/"),
            ("c.example", "/x/", None),
        ]
        for host, path, expected in cases:
            with self.subTest(host=host, path=path):
                rule = table.find(host, path)
                self.assertEqual(rule.name if rule else None, expected)
