"""Test which replies and reads confirm a view."""

from random import Random
from unittest import TestCase

from geraniumlead.freshness import ViewFreshness
from geraniumlead.freshness.view_freshness import ISOLATION_TIMEOUT_MS, SETTLE_MS

PAUSE_GAP_MS = 1_500.0
RESUME_MS = 10_000.0


def build_resumed() -> ViewFreshness:
    """Return the freshness of a process that was paused until ``RESUME_MS``."""
    freshness = ViewFreshness(PAUSE_GAP_MS, Random(1), 0.0)
    freshness.record_read(freshness.read_number, 5, 0)
    freshness.settle(5, 1.0)
    freshness.detect_pause(RESUME_MS)
    return freshness


class ViewFreshnessTests(TestCase):
    def test_a_gap_makes_the_view_stale(self):
        freshness = build_resumed()
        self.assertFalse(freshness.may_send)

    def test_all_asked_peers_confirm_at_once(self):
        freshness = build_resumed()
        freshness.record_probes(["a", "b"])
        freshness.record_reply("a", freshness.nonce, 5, True)
        self.assertFalse(freshness.settle(5, RESUME_MS + 1))
        freshness.record_reply("b", freshness.nonce, 5, False)
        self.assertTrue(freshness.settle(5, RESUME_MS + 1))

    def test_one_fresh_peer_confirms_after_the_settle_time(self):
        freshness = build_resumed()
        freshness.record_probes(["a", "b"])
        freshness.record_reply("a", freshness.nonce, 5, True)
        self.assertTrue(freshness.settle(5, RESUME_MS + SETTLE_MS))

    def test_a_higher_revision_must_be_in_force_first(self):
        freshness = build_resumed()
        freshness.record_probes(["a"])
        freshness.record_reply("a", freshness.nonce, 9, True)
        self.assertFalse(freshness.settle(5, RESUME_MS + ISOLATION_TIMEOUT_MS))
        self.assertTrue(freshness.settle(9, RESUME_MS + ISOLATION_TIMEOUT_MS))

    def test_responses_requested_before_the_pause_confirm_nothing(self):
        freshness = ViewFreshness(PAUSE_GAP_MS, Random(1), 0.0)
        nonce, number = freshness.nonce, freshness.read_number
        freshness.detect_pause(RESUME_MS)
        freshness.record_probes(["a"])
        self.assertFalse(freshness.record_reply("a", nonce, 5, True))
        freshness.record_read(number, 5, 5)
        self.assertFalse(freshness.settle(5, RESUME_MS + SETTLE_MS))

    def test_a_stale_platform_confirms_nothing(self):
        freshness = build_resumed()
        freshness.record_read(freshness.read_number, 4, 5)
        self.assertFalse(freshness.settle(5, RESUME_MS + SETTLE_MS))

    def test_without_documents_it_never_serves(self):
        freshness = ViewFreshness(PAUSE_GAP_MS, Random(1), 0.0)
        self.assertFalse(freshness.settle(0, 100 * ISOLATION_TIMEOUT_MS))
        self.assertFalse(freshness.may_send)
