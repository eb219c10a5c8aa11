from unittest import TestCase

from geraniumlead_standins.demo.extra_load import measure_extra_load
from standins_tests.demo.builders import build_received


class MeasureExtraLoadTests(TestCase):
    def test_counts_repeated_subqueries_for_a_shard(self):
        lines = [build_received(shard=shard) for shard in (0, 1, 2, 2)]
        self.assertEqual(measure_extra_load(lines), {"booking": 1 / 3})

    def test_reads_the_class_from_the_request_id(self):
        line = build_received(request_id="member-lookup-7.abc")
        self.assertEqual(measure_extra_load([line]), {"member-lookup": 0.0})
