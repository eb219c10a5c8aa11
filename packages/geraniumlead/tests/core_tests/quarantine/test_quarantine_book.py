"""Test who is suspected of a crash, and who is cleared."""

from unittest import TestCase

from core_tests.builders import build_upstream
from geraniumlead.configuration import ClusterView, PlacedUpstream
from geraniumlead.planning import QueryPlan, ShardPlan
from geraniumlead.quarantine import CanaryPlanner, QuarantineBook, compute_fingerprint
from geraniumlead.quarantine.quarantine_book import FIRST_QUARANTINE_MS, HOLD_MS, MOST_PROVEN

CULPRIT, BYSTANDER = 1, 2


def crash(book: QuarantineBook, upstream_id: str, present: list[int], now_ms: float) -> None:
    book.note_crash(upstream_id, set(present), now_ms)
    for fingerprint in present:
        book.note_lost(fingerprint, upstream_id, now_ms)


class FingerprintTests(TestCase):
    def test_spelling_does_not_count(self):
        one = compute_fingerprint("acme", "lookup", b'{"a":1,"b":[2]}')
        self.assertEqual(one, compute_fingerprint("acme", "lookup", b'{ "b": [2], "a": 1 }'))
        self.assertNotEqual(one, compute_fingerprint("acme", "lookup", b'{"a":2,"b":[2]}'))
        self.assertNotEqual(one, compute_fingerprint("other", "lookup", b'{"a":1,"b":[2]}'))

    def test_malformed_query_has_one_too(self):
        self.assertIsInstance(compute_fingerprint("acme", "lookup", b"{"), int)


class CanaryPlannerTests(TestCase):
    def test_all_instances_choose_the_same_two_replicas(self):
        """One of the own data centre and one of another: a dead data centre fails nobody."""
        view = ClusterView()
        for name, data_centre in (("a", "noord"), ("b", "noord"), ("c", "noord"), ("d", "zuid")):
            view.upstreams[name] = PlacedUpstream(build_upstream(), data_centre)
        chosen = set()
        for replicas in (("a", "b", "c", "d"), ("d", "c", "b", "a")):
            planner = CanaryPlanner("noord")
            planner.update(view)
            cut = planner.cut(QueryPlan("ledger", 1, (ShardPlan(0, replicas),)), 7)
            chosen.add(cut.plan.shards[0].replicas)
        self.assertEqual(1, len(chosen))
        near, far = chosen.pop()
        self.assertIn(near, {"a", "b", "c"})
        self.assertEqual("d", far)


class QuarantineBookTests(TestCase):
    def setUp(self):
        self.book = QuarantineBook()

    def test_two_crashes_quarantine(self):
        crash(self.book, "u1", [CULPRIT], 0.0)
        self.assertEqual(0.0, self.book.remaining_ms(CULPRIT, 1.0))
        self.assertTrue(self.book.may_try_again(CULPRIT, 200.0, 1.0))
        crash(self.book, "u2", [CULPRIT], 5.0)
        self.assertEqual(FIRST_QUARANTINE_MS, self.book.remaining_ms(CULPRIT, 5.0))
        self.assertFalse(self.book.may_try_again(CULPRIT, 200.0, 5.0))
        self.assertEqual([(CULPRIT, "u1"), (CULPRIT, "u2")], self.book.take_told())

    def test_first_strike_holds_new_requests_until_the_struck_one_is_answered(self):
        crash(self.book, "u1", [CULPRIT], 0.0)
        self.assertEqual(HOLD_MS, self.book.refused_ms(CULPRIT, 0.0))
        self.book.note_answered(CULPRIT, 10.0)
        self.assertEqual(0.0, self.book.refused_ms(CULPRIT, 10.0))

    def test_calls_lost_in_one_crash_are_one_strike(self):
        for now_ms in (0.0, 0.5, 1.0):
            crash(self.book, "u1", [CULPRIT], now_ms)
        self.assertEqual(1, self.book.strikes(CULPRIT))

    def test_same_upstream_crashing_again_is_a_second_strike(self):
        """A shard has one replica, which crashes, comes back and crashes again.

        Counted by upstream, the request would never be quarantined and crash it for ever.
        """
        crash(self.book, "u1", [CULPRIT], 0.0)
        crash(self.book, "u1", [CULPRIT], 2_500.0)
        self.assertGreater(self.book.remaining_ms(CULPRIT, 2_500.0), 0.0)

    def test_proven_bystander_gets_no_strike(self):
        """A proven request is on each upstream that an unproven one crashes.

        Both lose their connections at the same moments. Only the unproven one can be the
        cause, so the other must go on being served.
        """
        self.book.note_answered(BYSTANDER, 0.0)
        for number in range(5):
            crash(self.book, f"u{number}", [CULPRIT, BYSTANDER], number * 2_000.0)
        self.assertEqual(0, self.book.strikes(BYSTANDER))

    def test_unproven_bystander_is_cleared_by_its_answer(self):
        crash(self.book, "u1", [CULPRIT, BYSTANDER], 0.0)
        self.book.note_answered(BYSTANDER, 10.0)
        self.assertEqual(0, self.book.strikes(BYSTANDER))
        self.assertTrue(self.book.is_proven(BYSTANDER))

    def test_one_suspect_at_a_time_is_tried_again(self):
        crash(self.book, "u1", [CULPRIT, BYSTANDER], 0.0)
        self.assertTrue(self.book.may_try_again(CULPRIT, 200.0, 1.0))
        self.assertFalse(self.book.may_try_again(BYSTANDER, 200.0, 1.0))
        crash(self.book, "u2", [CULPRIT], 2.0)
        self.assertTrue(self.book.may_try_again(BYSTANDER, 200.0, 3.0))

    def test_proven_request_that_turns_bad_is_quarantined_in_the_end(self):
        self.book.note_answered(CULPRIT, 0.0)
        for number in range(3):
            crash(self.book, f"u{number}", [CULPRIT], 1_000.0 * (number + 1))
        self.assertGreater(self.book.remaining_ms(CULPRIT, 3_000.0), 0.0)

    def test_crash_after_the_quarantine_doubles_it(self):
        crash(self.book, "u1", [CULPRIT], 0.0)
        crash(self.book, "u2", [CULPRIT], 1_000.0)
        later_ms = 1_000.0 + FIRST_QUARANTINE_MS
        self.assertEqual(0.0, self.book.remaining_ms(CULPRIT, later_ms))
        crash(self.book, "u3", [CULPRIT], later_ms)
        self.assertEqual(2 * FIRST_QUARANTINE_MS, self.book.remaining_ms(CULPRIT, later_ms))

    def test_peers_word_is_taken(self):
        self.book.hear(CULPRIT, "", 5_000.0, 100.0)
        self.assertEqual(5_000.0, self.book.remaining_ms(CULPRIT, 100.0))
        self.assertEqual([], self.book.take_told())

    def test_memory_is_bounded(self):
        for fingerprint in range(MOST_PROVEN + 10):
            self.book.note_answered(fingerprint, 0.0)
        self.assertFalse(self.book.is_proven(0))
        self.assertTrue(self.book.is_proven(MOST_PROVEN + 9))

    def test_peers_strike_counts_as_one(self):
        """A crash at a peer and one here are two crashes of the fleet."""
        self.book.hear(CULPRIT, "u1", 0.0, 100.0)
        self.assertEqual(0.0, self.book.remaining_ms(CULPRIT, 100.0))
        crash(self.book, "u2", [CULPRIT], 200.0)
        self.assertGreater(self.book.remaining_ms(CULPRIT, 200.0), 0.0)

    def test_same_crash_seen_here_and_by_a_peer_is_one(self):
        crash(self.book, "u1", [CULPRIT], 100.0)
        self.book.hear(CULPRIT, "u1", 0.0, 101.0)
        self.assertEqual(1, self.book.strikes(CULPRIT))

    def test_outage_strikes_nobody(self):
        """All upstreams of a data centre restart at once, with the same requests on them.

        The most frequent request was on each of them. It must be served as soon as they are
        back, after it was sent to one shard first like a new one: it could be the cause.
        """
        self.book.note_answered(BYSTANDER, 0.0)
        for number in range(6):
            crash(self.book, f"u{number}", [BYSTANDER], 100.0 + number)
        self.assertEqual(0.0, self.book.refused_ms(BYSTANDER, 110.0))
        self.assertEqual(0, self.book.strikes(BYSTANDER))
        self.assertFalse(self.book.is_proven(BYSTANDER))
