"""Test that the capacity page agrees with the records."""

from pathlib import Path
from unittest import TestCase

from msgspec.json import decode

from geraniumlead_standins.capacity.deployment_size import TARGET
from geraniumlead_standins.capacity.fits import LinearFit, build_fit_record
from geraniumlead_standins.capacity.node_costs import NodeCosts
from geraniumlead_standins.capacity.page import render_page

DOCS = Path(__file__).parents[5] / "docs"


class CapacityPageTests(TestCase):
    def setUp(self):
        self.measured = decode((DOCS / "measurements" / "capacity.json").read_bytes())
        self.control = decode((DOCS / "measurements" / "control.json").read_bytes())

    def test_page_is_rendered_from_the_records(self):
        """Render the page again with: python -m geraniumlead_standins.capacity --render."""
        page = (DOCS / "CAPACITY.md").read_text()
        self.assertEqual(page, render_page(self.measured, self.control))

    def test_every_line_has_four_sizes_and_is_its_own_fit(self):
        for name, line in self.measured["slopes"].items():
            with self.subTest(name=name):
                self.assertGreaterEqual(len(line["points"]), 4)
                sizes, values = zip(*line["points"], strict=True)
                fitted = LinearFit.from_points(list(sizes), list(values))
                self.assertAlmostEqual(
                    line["slope"], fitted.slope, delta=0.001 + 1e-3 * abs(fitted.slope)
                )

    def test_target_keeps_the_connection_limit(self):
        costs = NodeCosts.from_slopes(TARGET, self.measured)
        max_connections = TARGET.servers * TARGET.connections_per_server / TARGET.nodes
        self.assertLessEqual(costs.connections, max_connections + 1e-6)
        self.assertGreater(costs.owners_per_upstream, 1)


class FitTests(TestCase):
    def test_three_sizes_are_not_enough(self):
        with self.assertRaises(ValueError):
            build_fit_record("us", "shard", [(1.0, 1.0), (2.0, 2.0), (3.0, 3.0)])
