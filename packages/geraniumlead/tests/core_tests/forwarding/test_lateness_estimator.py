"""Test when an attempt counts as late."""

from unittest import TestCase

from core_tests.forwarding.builders import build_fan_out, build_record, build_request
from geraniumlead.forwarding.deadline import Deadline
from geraniumlead.forwarding.lateness_estimator import LatenessEstimator
from geraniumlead.forwarding.open_request import Attempt, OpenRequest, Subrequest

MEDIAN_MS = 20.0
SLOW_MS = 160.0
GOAL_LEFT_MS = 400.0


class LatenessEstimatorTests(TestCase):
    def late_ms(self, slow_share: float) -> float:
        """Return when an attempt is late after a hundred answers with a share of slow ones."""
        estimator, route = LatenessEstimator(), build_fan_out()
        slow_count = round(100 * slow_share)
        for number in range(100):
            estimator.record(route, SLOW_MS if number < slow_count else MEDIAN_MS, 0.0)
        open_request = OpenRequest(build_request(), route, None, 0.0, Deadline(0.0, 0.0))
        attempt = Attempt(1, Subrequest(open_request, "shard-0"), build_record("x"), 0.0, 0.0, 0.0)
        return estimator.late_ms(attempt, GOAL_LEFT_MS, 100.0, has_ample_budget=True)

    def test_without_slow_answers_the_minimum_factor_applies(self):
        self.assertAlmostEqual(MEDIAN_MS, self.late_ms(0.0) / 1.3, delta=1.0)

    def test_many_slow_upstreams_do_not_delay_second_attempts(self):
        """One upstream in seven becomes slow, and the others answer as fast as before.

        The slow ones determined the quantile, so that their attempts only counted as late when
        most of the goal had passed, and the second attempts missed it.
        """
        self.assertLessEqual(self.late_ms(0.15), 3.0 * MEDIAN_MS)

    def test_if_all_are_slow_their_latency_applies(self):
        """If all upstreams are slow, a second attempt is as slow and doubles the load."""
        self.assertGreaterEqual(self.late_ms(1.0), SLOW_MS)
