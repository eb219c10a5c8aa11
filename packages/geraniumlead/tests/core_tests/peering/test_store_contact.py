"""Test what answers and failures of the platform's store mean for the next call."""

from unittest import TestCase

from geraniumlead.peering import StoreContact
from geraniumlead.peering.store_contact import FAR_BEHIND_MS, RETURN_MS


class StoreContactTests(TestCase):
    def setUp(self):
        self.contact = StoreContact()
        self.contact.note_answered(is_state=True, now_ms=0.0)

    def test_the_state_is_needed_at_the_start_and_after_a_long_outage_only(self):
        """Guards against a history of thousands of changes that is caught up piece by piece."""
        self.assertTrue(StoreContact().needs_state)
        self.contact.note_failed(now_ms=10_000.0)
        self.contact.note_asking(now_ms=10_000.0 + FAR_BEHIND_MS - 1.0)
        self.assertFalse(self.contact.needs_state)
        self.contact.note_asking(now_ms=10_000.0 + FAR_BEHIND_MS)
        self.assertTrue(self.contact.needs_state)

    def test_news_of_a_peer_spares_the_state_but_is_no_answer_of_the_store(self):
        """Guards against an instance that is turned away and asks as if it were not."""
        self.contact.note_failed(now_ms=10_000.0)
        self.contact.note_asking(now_ms=13_000.0)
        self.contact.note_told()
        self.assertFalse(self.contact.needs_state)
        self.assertTrue(self.contact.has_failed)
        self.contact.note_asking(now_ms=14_000.0)
        self.assertFalse(self.contact.needs_state)

    def test_a_return_is_told_apart_from_an_answer_among_others(self):
        self.contact.note_answered(is_state=False, now_ms=10_000.0)
        self.assertFalse(self.contact.has_returned(now_ms=10_000.0))
        self.contact.note_failed(now_ms=11_000.0)
        self.contact.note_answered(is_state=False, now_ms=12_000.0)
        self.assertTrue(self.contact.has_returned(now_ms=12_000.0 + RETURN_MS - 1.0))
        self.assertFalse(self.contact.has_returned(now_ms=12_000.0 + RETURN_MS))
