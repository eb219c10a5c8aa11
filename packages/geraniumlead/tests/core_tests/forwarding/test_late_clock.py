"""Test when an attempt counts as late."""

from unittest import TestCase

from core_tests.forwarding.builders import build_fan_out, build_record, build_request
from geraniumlead.forwarding.late_clock import LateClock
from geraniumlead.forwarding.open_request import Attempt, OpenRequest, Subrequest

USUAL_MS = 20.0
SLOW_MS = 160.0
GOAL_LEFT_MS = 400.0


class LateClockTests(TestCase):
    def late_ms(self, slow_share: float) -> float:
        """Return when an attempt is late after a hundred answers, some of them slow."""
        clock, route = LateClock(), build_fan_out()
        slow_count = round(100 * slow_share)
        for number in range(100):
            clock.record(route, SLOW_MS if number < slow_count else USUAL_MS, 0.0)
        opened = OpenRequest(build_request(), route, None, 0.0, 0.0)
        attempt = Attempt(1, Subrequest(opened, "shard-0"), build_record("x"), 0.0, 0.0, 0.0)
        return clock.late_ms(attempt, GOAL_LEFT_MS, 100.0, has_plenty=True)

    def test_the_few_that_pause_set_the_time(self):
        self.assertAlmostEqual(USUAL_MS, self.late_ms(0.0) / 1.3, delta=1.0)

    def test_many_slow_upstreams_do_not_put_it_off(self):
        """One upstream in seven turns slow, and the others answer as fast as before.

        The slow ones became the quantile, so that their calls were not late before most of
        the goal was gone, and the second attempts missed it.
        """
        self.assertLessEqual(self.late_ms(0.15), 3.0 * USUAL_MS)

    def test_all_that_are_slow_set_the_time(self):
        """With everything slow a second attempt would be as slow, and double the load."""
        self.assertGreaterEqual(self.late_ms(1.0), SLOW_MS)
