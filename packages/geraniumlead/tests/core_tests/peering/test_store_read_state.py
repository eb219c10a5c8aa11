"""Tests of what is known of the platform's store from answers, failures and peers."""

from unittest import TestCase

from geraniumlead.peering import ReturnCause, StoreReadState
from geraniumlead.peering.store_read_state import (
    FULL_READ_AFTER_MS,
    LAPSE_OUTAGE_MS,
    RETURN_WINDOW_MS,
)
from geraniumlead.published_upstreams import LAPSE_HOLD_MS

BOUND_MS = 8_000.0
NEVER_MS = float("-inf")


class StoreReadStateTests(TestCase):
    def setUp(self):
        self.state = StoreReadState(BOUND_MS)
        self.first = self.answer(0.0, is_state=True)

    def answer(self, now_ms: float, is_state: bool = False) -> ReturnCause | None:
        """Record an answer; return what it looks like the end of."""
        found = self.state.record_answer(is_state, now_ms, now_ms)
        return None if found is None else found.cause

    def peer_outage(self, returned_ms: float, now_ms: float) -> ReturnCause | None:
        found = self.state.record_peer_outage(returned_ms, now_ms)
        return None if found is None else found.cause

    def test_the_state_is_needed_at_the_start_and_after_a_long_outage_only(self):
        """Guards against reading a history of thousands of changes piece by piece."""
        self.assertTrue(StoreReadState(BOUND_MS).needs_state)
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
        self.state.record_peer_update(as_of_ms=13_000.0)
        self.assertFalse(self.state.needs_state)
        self.assertTrue(self.state.has_failed)
        self.state.record_call(now_ms=14_000.0)
        self.assertFalse(self.state.needs_state)

    def test_the_first_read_is_no_return(self):
        """Guards against a restart that all peers take for the end of an outage."""
        self.assertIs(ReturnCause.FIRST_READ, self.first)
        self.assertFalse(self.state.has_just_returned(now_ms=0.0))
        self.assertTrue(self.state.may_lack_entries(now_ms=0.0))

    def test_a_whole_read_without_a_failure_is_no_return(self):
        """Guards against a history that is gone, or a cut state, taken for an outage."""
        self.assertIs(ReturnCause.STATE_READ, self.answer(60_000.0, is_state=True))
        self.assertFalse(self.state.has_just_returned(now_ms=60_000.0))

    def test_failed_calls_are_no_outage_while_an_answer_to_anybody_is_known(self):
        """Guards against one instance that the store turns away, or whose call was lost."""
        self.answer(10_000.0)
        self.state.record_failure(now_ms=10_000.0 + LAPSE_OUTAGE_MS - 100.0)
        cause = self.answer(10_000.0 + LAPSE_OUTAGE_MS - 1.0)
        self.assertIs(ReturnCause.FAILED_CALLS, cause)
        self.state.record_failure(now_ms=13_000.0)
        self.state.record_peer_update(as_of_ms=20_000.0)
        self.state.record_failure(now_ms=20_100.0)
        self.assertIs(ReturnCause.FAILED_CALLS, self.answer(21_000.0))
        self.assertEqual(NEVER_MS, self.state.returned_ms)

    def test_an_outage_counts_from_the_last_answer(self):
        """The store is unavailable for four seconds, and the entries of running upstreams lapse.

        The watch fails only shortly before the store's return. If the outage counted from there, it
        would seem too short for entries to lapse, and callers would be refused until the entries
        came back.
        """
        self.answer(10_000.0)
        self.state.record_failure(now_ms=14_000.0)
        self.assertIs(ReturnCause.OUTAGE, self.answer(14_300.0))
        self.assertEqual(14_300.0, self.state.returned_ms)

    def test_return_is_distinguished_from_other_answers(self):
        self.assertIsNone(self.answer(10_000.0))
        self.assertFalse(self.state.has_just_returned(now_ms=10_000.0))
        self.state.record_failure(now_ms=13_000.0)
        self.answer(14_000.0)
        self.assertTrue(self.state.has_just_returned(now_ms=14_000.0 + RETURN_WINDOW_MS - 1.0))
        self.assertFalse(self.state.has_just_returned(now_ms=14_000.0 + RETURN_WINDOW_MS))

    def test_a_peer_is_believed_if_nothing_contradicts_it(self):
        """Guards against a reader that made no call in an outage and gets its deletions."""
        self.answer(10_000.0)
        self.assertIs(ReturnCause.PEER_OUTAGE, self.peer_outage(14_000.0, now_ms=14_500.0))
        self.assertEqual(14_000.0, self.state.returned_ms)

    def test_a_peer_that_was_cut_off_alone_is_not_believed(self):
        """Guards against one instance's trouble that delays removals at all others."""
        self.answer(10_000.0)
        self.assertIs(ReturnCause.REFUTED, self.peer_outage(12_000.0, now_ms=12_100.0))
        self.assertEqual(NEVER_MS, self.state.returned_ms)

    def test_the_end_of_an_outage_is_known_once(self):
        """Guards against watchers that notice the return one after the other."""
        self.answer(10_000.0)
        self.peer_outage(14_000.0, now_ms=14_100.0)
        self.state.record_peer_update(as_of_ms=14_050.0)
        self.assertIsNone(self.peer_outage(15_200.0, now_ms=15_300.0))
        self.state.record_failure(now_ms=15_400.0)
        self.assertIs(ReturnCause.FAILED_CALLS, self.answer(15_500.0))
        self.assertEqual(14_000.0, self.state.returned_ms)

    def test_a_process_without_history_tells_of_an_outage_only_after_a_failed_call(self):
        """Guards against an outage that only a process that started in it has noticed."""
        self.state = StoreReadState(BOUND_MS)
        self.state.record_failure(now_ms=10_000.0)
        self.assertIs(ReturnCause.OUTAGE, self.answer(11_000.0, is_state=True))
        self.assertTrue(self.state.has_just_returned(now_ms=11_000.0))

    def test_silent_readers_are_suspected_of_an_outage_within_the_bound(self):
        """Guards against an outage in which nobody made a call, and against two readers' deaths.

        If there was no outage, an upstream may have been removed just after the last known answer.
        """
        for unknown_ms in (LAPSE_OUTAGE_MS, 5_000.0, 7_000.0):
            with self.subTest(unknown_ms=unknown_ms):
                self.setUp()
                self.answer(10_000.0)
                now_ms = 10_000.0 + unknown_ms
                self.state.record_call(now_ms, is_overdue=True)
                self.assertIs(ReturnCause.SUSPECTED_OUTAGE, self.answer(now_ms))
                hold_end_ms = self.state.returned_ms + LAPSE_HOLD_MS
                self.assertLess(hold_end_ms, 10_000.0 + BOUND_MS)
                self.assertLessEqual(hold_end_ms, now_ms + LAPSE_HOLD_MS)
