"""Tests of the lookup of routes and of the choice among split services."""

from collections import Counter
from random import Random
from unittest import TestCase

from core_tests.forwarding.builders import HOST, build_route
from geraniumlead.routes import RouteTable, SplitChooser, SplitServices


class RouteTableTests(TestCase):
    def setUp(self):
        self.table = RouteTable(
            [
                build_route(name="all", prefix="/"),
                build_route(name="pages", prefix="/pages/"),
                build_route(name="old", prefix="/pages/old/"),
                build_route(name="other", prefix="/pages/", host="other.example"),
            ]
        )

    def find(self, path: str, host: str = HOST) -> str | None:
        route = self.table.find(host, path)
        return None if route is None else route.name

    def test_the_longest_prefix_wins(self):
        self.assertEqual("old", self.find("/pages/old/7"))
        self.assertEqual("pages", self.find("/pages/older"))
        self.assertEqual("all", self.find("/x"))

    def test_prefix_matches_itself_only_with_its_slash(self):
        self.assertEqual("pages", self.find("/pages/"))
        self.assertEqual("all", self.find("/pages"))

    def test_routes_belong_to_their_host(self):
        self.assertEqual("other", self.find("/pages/1", "other.example:8080"))
        self.assertIsNone(self.find("/", "other.example"))
        self.assertIsNone(self.find("/", "unknown.example"))


class SplitChooserTests(TestCase):
    def test_shares_match_the_weights_over_few_requests(self):
        """A split route gets fifty requests at one instance.

        With independent random choices a tenth of its traffic would often go to the wrong service.
        """
        target = SplitServices((("old", 70.0), ("new", 30.0), ("off", 0.0)))
        for seed in range(20):
            chooser = SplitChooser(Random(seed))
            counts = Counter(chooser.choose(target) for _ in range(50))
            self.assertAlmostEqual(15, counts["new"], delta=1)
            self.assertEqual(0, counts["off"])

    def test_without_any_weight_there_is_no_service(self):
        chooser = SplitChooser(Random(1))
        self.assertIsNone(chooser.choose(SplitServices((("off", 0.0),))))
