"""Tests of the comparison of two clocks by messages in one direction."""

from unittest import TestCase

from geraniumlead.clocks.clock_offset import MAX_DELAY_MS, UNKNOWN_MS, WINDOW_MS, ClockOffset


class ClockOffsetTests(TestCase):
    def test_the_quickest_message_counts(self):
        offset = ClockOffset()
        self.assertEqual(UNKNOWN_MS, offset.least_ms)
        for delay_ms in (90.0, 8.0, 1_500.0):
            offset.record(sent_ms=1_000.0, now_ms=51_000.0 + delay_ms)
        self.assertEqual(50_008.0, offset.least_ms)

    def test_clocks_that_drift_apart_are_compared_anew(self):
        """Guards against ends that are stated by an offset of long ago, and so too late."""
        offset = ClockOffset()
        offset.record(sent_ms=0.0, now_ms=8.0)
        for number in range(1, 4):
            now_ms = number * WINDOW_MS
            offset.record(sent_ms=now_ms - 10.0 * number, now_ms=now_ms + 8.0)
        self.assertEqual(28.0, offset.least_ms)

    def test_a_clock_that_has_restarted_is_compared_anew(self):
        """A machine loses power; in a large fleet no hello of its new process has come yet."""
        offset = ClockOffset()
        offset.record(sent_ms=900_000.0, now_ms=1_000_000.0)
        offset.record(sent_ms=2_000.0, now_ms=1_003_000.0)
        self.assertEqual(1_001_000.0, offset.least_ms)
        offset.record(sent_ms=3_000.0, now_ms=1_004_000.0 + MAX_DELAY_MS / 2.0)
        self.assertEqual(1_001_000.0, offset.least_ms)

    def test_an_end_on_the_peers_clock_is_never_late(self):
        """A peer's clock is 50 s behind, and its messages take 8 ms at least.

        An end on its clock may be early by those 8 ms, but by more only if it is not told better.
        """
        offset = ClockOffset()
        self.assertIsNone(offset.to_other_clock_ms(60_000.0))
        offset.record(sent_ms=1_000.0, now_ms=51_900.0)
        self.assertEqual(9_100.0, offset.to_other_clock_ms(60_000.0))
        offset.record(sent_ms=2_000.0, now_ms=52_008.0)
        self.assertEqual(9_992.0, offset.to_other_clock_ms(60_000.0))
