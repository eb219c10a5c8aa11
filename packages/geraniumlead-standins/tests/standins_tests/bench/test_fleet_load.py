from dataclasses import replace
from unittest import TestCase

from geraniumlead_standins.bench.fleet_load.__main__ import (
    AFTER_BURST_MS,
    BURST_MS,
    END_MS,
    FIRST_QUERY_MS,
    NORMAL_LOAD_MS,
    build_load,
    run_row,
)
from geraniumlead_standins.bench.fleet_load.connections import IDLE_MS, Connections
from geraniumlead_standins.bench.fleet_load.fleet_run import FleetRun

SEEDS = (1, 2, 3)
TIGHT_SLACK = 36.0
"""Fixed number of extra attempts of the whole fleet in ten seconds: two per instance."""


class SlowFleetTests(TestCase):
    """Eighteen instances with a fifth of a core each and a very small budget of extra attempts."""

    @classmethod
    def setUpClass(cls):
        load = replace(build_load(18, 0.2), extra_slack=TIGHT_SLACK)
        cls.runs = [FleetRun(load, seed).run() for seed in SEEDS]

    def mean(self, from_ms: float, to_ms: float) -> float:
        return sum(run.credit(from_ms, to_ms) for run in self.runs) / len(self.runs)

    def test_a_slow_fleet_serves_its_normal_load(self):
        """Guard against late acknowledgements of slow peers that use up the extra attempts.

        Every shard of a late shard group got a second attempt. That used up the budget, and
        without it the next late acknowledgement was a failure: two thirds of the normal load
        failed, without any fault.
        """
        self.assertGreater(self.mean(NORMAL_LOAD_MS, BURST_MS), 0.6)

    def test_service_is_back_within_five_seconds_of_a_burst(self):
        """Guard against extra work that lateness causes and that outlasts a burst.

        After five seconds of three times the load, the fleet served less than before the burst
        at the same load.
        """
        normal_credit = self.mean(NORMAL_LOAD_MS, BURST_MS)
        self.assertGreater(self.mean(AFTER_BURST_MS, END_MS), 0.9 * normal_credit)

    def test_no_query_stays_without_any_answer(self):
        for run in self.runs:
            unanswered = [found for found in run.outcomes.values() if found.latency_ms is None]
            self.assertLess(len(unanswered), 0.05 * len(run.outcomes))


class HalfCoreTests(TestCase):
    def test_half_a_core_serves_nearly_all_in_time(self):
        for instances in (18, 85):
            run = FleetRun(build_load(instances, 0.5), 1).run()
            self.assertGreater(run.credit(NORMAL_LOAD_MS, BURST_MS), 0.95, instances)
            self.assertGreater(run.credit(AFTER_BURST_MS, END_MS), 0.9, instances)
            self.assertLess(run.connections_per_subrequest, 0.2, instances)

    def test_the_same_seed_gives_the_same_row(self):
        load = replace(build_load(6, 0.5), end_ms=FIRST_QUERY_MS + 2_000.0)
        self.assertEqual(run_row(load, 1), run_row(load, 1))


class ConnectionsTests(TestCase):
    def test_an_idle_connection_is_reused_until_it_is_too_old(self):
        connections = Connections()
        self.assertFalse(connections.acquire(1, "u", 0.0))
        self.assertTrue(connections.is_new(1))
        connections.release("u", 10.0)
        self.assertTrue(connections.acquire(2, "u", 20.0))
        self.assertFalse(connections.is_new(2))
        self.assertFalse(connections.acquire(3, "u", 20.0))
        connections.release("u", 30.0)
        self.assertFalse(connections.acquire(4, "u", 30.0 + IDLE_MS))
        self.assertEqual(3, connections.opened)
