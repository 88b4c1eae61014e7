import time
import unittest

from persimmonusher_model.identifiers import ServiceName
from persimmonusher_node.route_table import RouteTable


class RouteTableTest(unittest.TestCase):
    def setUp(self) -> None:
        self.table = RouteTable()
        for name in ("*/", "*/a", "*/a/b", "shop.example/a", "shop.example/x/y/z"):
            self.table.put(name, ServiceName(name))

    def test_the_longest_prefix_of_the_host_comes_first(self) -> None:
        cases = [
            ("other", "/", "*/"),
            ("other", "/ab", "*/"),
            ("other", "/a", "*/a"),
            ("other", "/a/", "*/a"),
            ("other", "/a/b/c/d", "*/a/b"),
            ("other", "/a/bc", "*/a"),
            ("shop.example", "/a/b", "shop.example/a"),
            ("SHOP.example:8080", "/a", "shop.example/a"),
            ("shop.example", "/x/y", "*/"),
            ("shop.example", "/x/y/z", "shop.example/x/y/z"),
            ("shop.example", "/q", "*/"),
        ]
        for host, path, expected in cases:
            with self.subTest(host=host, path=path):
                self.assertEqual(self.table.find(host, path), expected)

    def test_a_removed_route_leaves_the_shorter_one(self) -> None:
        self.table.remove("*/a/b")
        self.table.remove("shop.example/a")
        self.table.remove("shop.example/x/y/z")
        self.assertEqual(self.table.find("shop.example", "/a/b"), "*/a")
        self.table.remove("*/")
        self.assertIsNone(self.table.find("other", "/q"))

    def test_a_path_of_slashes_costs_no_more_than_a_short_one(self) -> None:
        """A path of a hundred thousand slashes must not delay other callers."""
        started = time.perf_counter()
        self.table.find("shop.example", "/" * 100_000)
        self.assertLess(time.perf_counter() - started, 0.05)


if __name__ == "__main__":
    unittest.main()
