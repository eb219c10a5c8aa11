"""Test that short steps of the wall clock are ignored."""

from unittest import TestCase

from geraniumlead.admission.wall_clock import STEP_CONFIRM_MS, WallClock


class WallClockTests(TestCase):
    def test_unknown_before_the_first_reading(self):
        self.assertIsNone(WallClock().now_s(5.0))

    def test_slewing_is_followed_at_once(self):
        clock = WallClock()
        clock.observe(1_000.0, 0.0)
        clock.observe(1_011.5, 10_000.0)
        self.assertAlmostEqual(1_012.5, clock.now_s(11_000.0))

    def test_short_step_is_ignored(self):
        """A time source jumps ten years ahead and is corrected a minute later.

        Contracts that end within these years must stay valid meanwhile, or every caller would
        be refused for a minute. The step does not last long enough to be applied.
        """
        clock = WallClock()
        clock.observe(1_000.0, 0.0)
        for second in range(1, 60):
            clock.observe(1_000.0 + second + 3e8, second * 1_000.0)
        self.assertAlmostEqual(1_059.0, clock.now_s(59_000.0))
        clock.observe(1_060.0, 60_000.0)
        self.assertAlmostEqual(1_060.0, clock.now_s(60_000.0))

    def test_lasting_step_is_followed(self):
        clock = WallClock()
        clock.observe(1_000.0, 0.0)
        for now_ms in (1_000.0, 100_000.0, 1_000.0 + STEP_CONFIRM_MS):
            clock.observe(5_000.0 + now_ms / 1_000.0, now_ms)
        self.assertAlmostEqual(5_400.0, clock.now_s(400_000.0))
