"""Test the order of wake-up times."""

from unittest import TestCase

from geraniumlead.forwarding.wake_times import NEVER_MS, WakeTimes


class WakeTimesTests(TestCase):
    def test_nothing_is_due_initially(self):
        times = WakeTimes()
        self.assertEqual(NEVER_MS, times.next_ms())
        self.assertIsNone(times.pop_due(1e9))

    def test_times_are_returned_in_order_and_only_when_due(self):
        times = WakeTimes()
        for due_ms, key in ((30.0, 3), (10.0, 1), (20.0, 2)):
            times.add(due_ms, key)
        self.assertEqual(10.0, times.next_ms())
        self.assertIsNone(times.pop_due(9.9))
        self.assertEqual((10.0, 1), times.pop_due(25.0))
        self.assertEqual((20.0, 2), times.pop_due(25.0))
        self.assertIsNone(times.pop_due(25.0))
        self.assertEqual(30.0, times.next_ms())
