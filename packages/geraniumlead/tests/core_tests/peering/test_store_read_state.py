"""Tests of what the next call reads after answers and failures of the platform's store."""

from unittest import TestCase

from geraniumlead.peering import StoreReadState
from geraniumlead.peering.store_read_state import FULL_READ_AFTER_MS, RETURN_WINDOW_MS


class StoreReadStateTests(TestCase):
    def setUp(self):
        self.state = StoreReadState()
        self.state.record_answer(is_state=True, now_ms=0.0)

    def test_the_state_is_needed_at_the_start_and_after_a_long_outage_only(self):
        """Guards against reading a history of thousands of changes piece by piece."""
        self.assertTrue(StoreReadState().needs_state)
        self.state.record_failure(now_ms=10_000.0)
        self.state.record_call(now_ms=10_000.0 + FULL_READ_AFTER_MS - 1.0)
        self.assertFalse(self.state.needs_state)
        self.state.record_call(now_ms=10_000.0 + FULL_READ_AFTER_MS)
        self.assertTrue(self.state.needs_state)

    def test_updates_of_a_peer_replace_the_state_but_do_not_count_as_an_answer(self):
        """Guards against an instance that treats updates from peers as answers of the store.

        The store rejects its calls, and it would continue to call as if they had succeeded.
        """
        self.state.record_failure(now_ms=10_000.0)
        self.state.record_call(now_ms=13_000.0)
        self.state.record_peer_update()
        self.assertFalse(self.state.needs_state)
        self.assertTrue(self.state.has_failed)
        self.state.record_call(now_ms=14_000.0)
        self.assertFalse(self.state.needs_state)

    def test_return_is_distinguished_from_other_answers(self):
        self.state.record_answer(is_state=False, now_ms=10_000.0)
        self.assertFalse(self.state.has_just_returned(now_ms=10_000.0))
        self.state.record_failure(now_ms=11_000.0)
        self.state.record_answer(is_state=False, now_ms=12_000.0)
        self.assertTrue(self.state.has_just_returned(now_ms=12_000.0 + RETURN_WINDOW_MS - 1.0))
        self.assertFalse(self.state.has_just_returned(now_ms=12_000.0 + RETURN_WINDOW_MS))
