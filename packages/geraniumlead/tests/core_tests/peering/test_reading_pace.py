"""Test the times of reading the store against the bound that they serve."""

from unittest import TestCase

from geraniumlead.peering import PATIENCE_SPREAD, ReadingPace
from geraniumlead.peering.reading_pace import PROMPT_WATCH_MS

BOUNDS_MS = (2_000.0, 3_000.0, 4_000.0, 5_000.0, 8_000.0, 20_000.0)
FIRST_RETRY_MS = 300.0
"""The first pause of a back-off, with its spread."""

CALL_MS = 250.0
"""A call that is answered, with two slow ways and what decoding takes."""


class ReadingPaceTests(TestCase):
    def test_the_first_lost_answer_and_the_pause_after_it_end_within_the_bound(self):
        """Guards against a call that is still waited for when the bound has passed."""
        for bound_ms in BOUNDS_MS:
            with self.subTest(bound_ms=bound_ms):
                pace = ReadingPace.from_bound(bound_ms)
                longest_ms = pace.watch_ms + pace.slack_ms + FIRST_RETRY_MS
                self.assertLess(longest_ms, bound_ms)

    def test_any_later_lost_answer_and_the_longest_pause_end_within_the_bound(self):
        """Guards against tries that are too far apart when the store is back.

        A watch of one who tells others counts as well: what a peer told may have ended the
        count of losses, but not the pause that has grown by them.
        """
        for bound_ms in BOUNDS_MS:
            pace = ReadingPace.from_bound(bound_ms)
            for wait_ms in (PROMPT_WATCH_MS, pace.telling_ms):
                with self.subTest(bound_ms=bound_ms, wait_ms=wait_ms):
                    longest_ms = wait_ms + pace.slack_ms + pace.longest_retry_ms
                    self.assertLess(longest_ms, bound_ms)
            self.assertLess(pace.read_ms + pace.longest_retry_ms, bound_ms)

    def test_one_who_hears_nothing_asks_and_knows_within_the_bound(self):
        """Guards against readers that wait for silent watchers until the bound has passed."""
        for bound_ms in BOUNDS_MS:
            with self.subTest(bound_ms=bound_ms):
                pace = ReadingPace.from_bound(bound_ms)
                longest_ms = pace.patience_ms * (1.0 + PATIENCE_SPREAD)
                self.assertLess(longest_ms + CALL_MS, bound_ms)

    def test_changes_are_gathered_for_less_than_half_of_the_bound(self):
        for bound_ms in BOUNDS_MS:
            with self.subTest(bound_ms=bound_ms):
                pace = ReadingPace.from_bound(bound_ms)
                self.assertLess(max(pace.pause_ms, pace.telling_ms), bound_ms / 2.0)
