from contextlib import redirect_stdout
from io import StringIO
from unittest import TestCase

from geraniumlead_standins.bench.fleet_talk import PeeringFleet, main


class FleetTalkTests(TestCase):
    def test_a_small_fleet_knows_all_instances_with_little_traffic(self):
        row = PeeringFleet(6, 1).run(10.0)
        self.assertEqual((6, 6), (row.min_known_instances, row.max_known_instances))
        self.assertLess(row.bytes_per_s, 4_000.0)
        self.assertLess(row.cross_region_bytes_per_s, row.bytes_per_s)

    def test_the_same_seed_gives_the_same_figures(self):
        first, second = (PeeringFleet(20, 3).run(3.0) for _ in range(2))
        self.assertEqual(first, second)

    def test_a_table_is_printed(self):
        with redirect_stdout(StringIO()) as output:
            self.assertEqual(0, main(["--instances", "3", "4"]))
        self.assertEqual(6, len(output.getvalue().splitlines()))
