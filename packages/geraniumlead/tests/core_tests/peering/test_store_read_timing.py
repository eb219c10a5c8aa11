"""Tests of the intervals and timeouts of store reads against the bound on changes."""

from unittest import TestCase

from geraniumlead.peering import UPDATE_TIMEOUT_JITTER, StoreReadTiming
from geraniumlead.peering.store_read_timing import SHORT_WATCH_MS

BOUNDS_MS = (2_000.0, 3_000.0, 4_000.0, 5_000.0, 8_000.0, 20_000.0)
FIRST_RETRY_MS = 300.0
"""The first pause of a back-off, with its jitter."""

CALL_MS = 250.0
"""Duration of an answered call: a slow round trip, and the decoding."""


class StoreReadTimingTests(TestCase):
    def test_the_first_lost_answer_and_the_pause_after_it_end_within_the_bound(self):
        """Guards against a call that is still awaited when the bound has passed."""
        for bound_ms in BOUNDS_MS:
            with self.subTest(bound_ms=bound_ms):
                timing = StoreReadTiming.from_bound(bound_ms)
                longest_ms = timing.watch_ms + timing.slack_ms + FIRST_RETRY_MS
                self.assertLess(longest_ms, bound_ms)

    def test_any_later_lost_answer_and_the_longest_pause_end_within_the_bound(self):
        """Guards against attempts that are too far apart when the store is back.

        This includes the watch of an instance that relays updates: an update from a peer may
        have reset the record of failures, but not the pause that has grown with them.
        """
        for bound_ms in BOUNDS_MS:
            timing = StoreReadTiming.from_bound(bound_ms)
            for wait_ms in (SHORT_WATCH_MS, timing.relay_watch_ms):
                with self.subTest(bound_ms=bound_ms, wait_ms=wait_ms):
                    longest_ms = wait_ms + timing.slack_ms + timing.max_retry_ms
                    self.assertLess(longest_ms, bound_ms)
            self.assertLess(timing.read_timeout_ms + timing.max_retry_ms, bound_ms)

    def test_instance_without_updates_reads_the_store_within_the_bound(self):
        """Guards against instances that wait for silent watchers until the bound has passed."""
        for bound_ms in BOUNDS_MS:
            with self.subTest(bound_ms=bound_ms):
                timing = StoreReadTiming.from_bound(bound_ms)
                longest_ms = timing.update_timeout_ms * (1.0 + UPDATE_TIMEOUT_JITTER)
                self.assertLess(longest_ms + CALL_MS, bound_ms)

    def test_changes_are_batched_for_less_than_half_of_the_bound(self):
        for bound_ms in BOUNDS_MS:
            with self.subTest(bound_ms=bound_ms):
                timing = StoreReadTiming.from_bound(bound_ms)
                self.assertLess(max(timing.batching_ms, timing.relay_watch_ms), bound_ms / 2.0)
