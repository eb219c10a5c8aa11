"""Test the forwarding decisions against perfect knowledge and random choices."""

from contextlib import redirect_stdout
from io import StringIO
from unittest import TestCase

from geraniumlead_standins.bench.forwarding_bound.ablation import VARIANTS, run_ablation
from geraniumlead_standins.bench.forwarding_bound.credit import Credit
from geraniumlead_standins.bench.forwarding_bound.forwarder_run import ForwarderRun
from geraniumlead_standins.bench.forwarding_bound.grid import build_grid
from geraniumlead_standins.bench.forwarding_bound.load_model import LoadModel
from geraniumlead_standins.bench.forwarding_bound.oracle import run_oracle, run_plain
from geraniumlead_standins.bench.forwarding_bound.upstream_model import (
    NEVER_MS,
    TimeInterval,
    UpstreamModel,
)

MAX_CREDIT_GAP = 0.03
"""Maximum difference of credit to perfect knowledge. An upstream's slowness has to be observed
before the upstream can be avoided, for some hundred milliseconds of eight seconds."""


class UpstreamModelTests(TestCase):
    def build(self, **changes) -> UpstreamModel:
        return UpstreamModel("x", "shard-0", "noord-a", slots=1, **changes)

    def test_one_slot_serves_one_request_after_the_other(self):
        upstream = self.build()
        self.assertEqual(20.0, upstream.finish_ms(0.0, 20.0))
        self.assertEqual(40.0, upstream.finish_ms(5.0, 20.0))

    def test_work_makes_no_progress_in_a_pause(self):
        upstream = self.build(pauses=[TimeInterval(10.0, 260.0)])
        self.assertEqual(270.0, upstream.finish_ms(0.0, 20.0))

    def test_an_unresponsive_interval_answers_nothing_and_a_slow_one_late(self):
        upstream = self.build(
            unresponsive=[TimeInterval(0.0, 10.0)], slow=[TimeInterval(10.0, 50.0)], slow_factor=5.0
        )
        self.assertEqual(NEVER_MS, upstream.finish_ms(1.0, 20.0))
        self.assertEqual(110.0, upstream.finish_ms(10.0, 20.0))

    def test_looking_ahead_changes_nothing(self):
        upstream = self.build(background=[(0.0, 10.0)])
        for _ in range(2):
            self.assertEqual(30.0, upstream.would_finish_ms(1.0, 20.0))


class CreditTests(TestCase):
    def test_partial_answers_count_squared_and_late_ones_a_tenth(self):
        credit = Credit()
        credit.add(0.5, is_late=False)
        credit.add(1.0, is_late=True)
        credit.add_failed()
        self.assertAlmostEqual(0.35 / 3.0, credit.mean)


class ForwarderRunTests(TestCase):
    def test_the_same_seed_gives_the_same_figures(self):
        load = LoadModel("again", seconds=4.0)
        self.assertEqual(ForwarderRun(load, 5).run(), ForwarderRun(load, 5).run())

    def test_credit_is_close_to_perfect_knowledge(self):
        """Upstreams pause regularly, a seventh of them become slow, or one shard does not answer.

        With random choices and without second attempts, callers lose up to half of the credit.
        """
        loads = (
            LoadModel("quiet", seconds=12.0),
            LoadModel("slow", seconds=16.0, slow_share=0.15),
            LoadModel("dark", seconds=16.0, unresponsive_shards=1),
        )
        for load in loads:
            with self.subTest(load.name):
                ours, bound = ForwarderRun(load, 2).run().mean, run_oracle(load, 2).mean
                self.assertGreater(ours, bound - MAX_CREDIT_GAP)
                self.assertGreater(ours, run_plain(load, 2).mean)

    def test_small_and_large_indexes_are_no_worse_than_plain_choices(self):
        """No decision may be tuned to one size.

        The grid has 2 to 200 shards, near and far data centres, and short and long goals.
        """
        for load in build_grid()[::11]:
            with self.subTest(load.name):
                ours = ForwarderRun(load, 1).run().mean
                self.assertGreaterEqual(ours, run_plain(load, 1).mean - 0.01)


class AblationTests(TestCase):
    def test_each_variant_changes_only_its_own_run(self):
        load = LoadModel("short", seconds=3.0)
        before = ForwarderRun(load, 1).run()
        with redirect_stdout(StringIO()) as output:
            run_ablation([load], [1])
        self.assertEqual(2 + len(VARIANTS), len(output.getvalue().splitlines()))
        self.assertEqual(before, ForwarderRun(load, 1).run())

    def test_second_attempts_increase_the_credit(self):
        """Upstreams pause, and without a second attempt each pause costs a shard."""
        load = LoadModel("pauses", seconds=10.0)
        earned = ForwarderRun(load, 1).run().mean
        with VARIANTS["no second sending of late parts"]():
            self.assertLess(ForwarderRun(load, 1).run().mean, earned - 0.02)


class TableTests(TestCase):
    def test_the_table_has_a_row_for_each_load(self):
        from geraniumlead_standins.bench.forwarding_bound import __main__ as bench

        loads, bench.LOADS = bench.LOADS, (LoadModel("short", seconds=2.0),)
        try:
            with redirect_stdout(StringIO()) as output:
                self.assertEqual(0, bench.main(["--seeds", "1"]))
        finally:
            bench.LOADS = loads
        self.assertEqual(3, len(output.getvalue().splitlines()))
