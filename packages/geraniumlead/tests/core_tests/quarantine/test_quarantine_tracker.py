"""Test which requests are suspected of a crash, and which are cleared."""

from unittest import TestCase

from core_tests.builders import build_upstream
from geraniumlead.configuration import ClusterView, PlacedUpstream
from geraniumlead.planning import QueryPlan, ShardPlan
from geraniumlead.quarantine import CanaryPlanner, QuarantineTracker, compute_fingerprint
from geraniumlead.quarantine.quarantine_tracker import HOLD_MS, INITIAL_QUARANTINE_MS, MAX_PROVEN

CULPRIT, BYSTANDER = 1, 2


def crash(tracker: QuarantineTracker, upstream_id: str, present: list[int], now_ms: float) -> None:
    tracker.record_crash(upstream_id, set(present), now_ms)
    for fingerprint in present:
        tracker.record_lost_call(fingerprint, upstream_id, now_ms)


class FingerprintTests(TestCase):
    def test_formatting_does_not_change_the_fingerprint(self):
        one = compute_fingerprint("acme", "lookup", b'{"a":1,"b":[2]}')
        self.assertEqual(one, compute_fingerprint("acme", "lookup", b'{ "b": [2], "a": 1 }'))
        self.assertNotEqual(one, compute_fingerprint("acme", "lookup", b'{"a":2,"b":[2]}'))
        self.assertNotEqual(one, compute_fingerprint("other", "lookup", b'{"a":1,"b":[2]}'))

    def test_malformed_query_has_a_fingerprint(self):
        self.assertIsInstance(compute_fingerprint("acme", "lookup", b"{"), int)


class CanaryPlannerTests(TestCase):
    def test_all_instances_choose_the_same_two_replicas(self):
        """One replica is local and one is not, so the loss of a data centre fails no query."""
        view = ClusterView()
        for name, data_centre in (("a", "noord"), ("b", "noord"), ("c", "noord"), ("d", "zuid")):
            view.upstreams[name] = PlacedUpstream(build_upstream(), data_centre)
        chosen = set()
        for replicas in (("a", "b", "c", "d"), ("d", "c", "b", "a")):
            planner = CanaryPlanner("noord")
            planner.update(view)
            cut = planner.plan_first_step(QueryPlan("ledger", 1, (ShardPlan(0, replicas),)), 7)
            chosen.add(cut.plan.shards[0].replicas)
        self.assertEqual(1, len(chosen))
        near, far = chosen.pop()
        self.assertIn(near, {"a", "b", "c"})
        self.assertEqual("d", far)


class QuarantineTrackerTests(TestCase):
    def setUp(self):
        self.tracker = QuarantineTracker()

    def test_two_crashes_quarantine(self):
        crash(self.tracker, "u1", [CULPRIT], 0.0)
        self.assertEqual(0.0, self.tracker.remaining_ms(CULPRIT, 1.0))
        self.assertTrue(self.tracker.may_retry(CULPRIT, 200.0, 1.0))
        crash(self.tracker, "u2", [CULPRIT], 5.0)
        self.assertEqual(INITIAL_QUARANTINE_MS, self.tracker.remaining_ms(CULPRIT, 5.0))
        self.assertFalse(self.tracker.may_retry(CULPRIT, 200.0, 5.0))
        self.assertEqual([(CULPRIT, "u1"), (CULPRIT, "u2")], self.tracker.drain_notices())

    def test_first_strike_holds_new_requests_until_the_struck_one_is_answered(self):
        crash(self.tracker, "u1", [CULPRIT], 0.0)
        self.assertEqual(HOLD_MS, self.tracker.refused_ms(CULPRIT, 0.0))
        self.tracker.record_answered(CULPRIT, 10.0)
        self.assertEqual(0.0, self.tracker.refused_ms(CULPRIT, 10.0))

    def test_calls_lost_in_one_crash_are_one_strike(self):
        for now_ms in (0.0, 0.5, 1.0):
            crash(self.tracker, "u1", [CULPRIT], now_ms)
        self.assertEqual(1, self.tracker.strikes(CULPRIT))

    def test_same_upstream_crashing_again_is_a_second_strike(self):
        """A shard has one replica, which crashes, returns and crashes again.

        If each upstream counted once, the request would never be quarantined and would crash it
        again and again.
        """
        crash(self.tracker, "u1", [CULPRIT], 0.0)
        crash(self.tracker, "u1", [CULPRIT], 2_500.0)
        self.assertGreater(self.tracker.remaining_ms(CULPRIT, 2_500.0), 0.0)

    def test_proven_bystander_gets_no_strike(self):
        """A proven request is in flight at each upstream that an unproven one crashes.

        Both lose their connections at the same time. Only the unproven one can be the cause, so
        the other one must still be served.
        """
        self.tracker.record_answered(BYSTANDER, 0.0)
        for number in range(5):
            crash(self.tracker, f"u{number}", [CULPRIT, BYSTANDER], number * 2_000.0)
        self.assertEqual(0, self.tracker.strikes(BYSTANDER))

    def test_unproven_bystander_is_cleared_by_its_answer(self):
        crash(self.tracker, "u1", [CULPRIT, BYSTANDER], 0.0)
        self.tracker.record_answered(BYSTANDER, 10.0)
        self.assertEqual(0, self.tracker.strikes(BYSTANDER))
        self.assertTrue(self.tracker.is_proven(BYSTANDER))

    def test_one_suspect_at_a_time_is_tried_again(self):
        crash(self.tracker, "u1", [CULPRIT, BYSTANDER], 0.0)
        self.assertTrue(self.tracker.may_retry(CULPRIT, 200.0, 1.0))
        self.assertFalse(self.tracker.may_retry(BYSTANDER, 200.0, 1.0))
        crash(self.tracker, "u2", [CULPRIT], 2.0)
        self.assertTrue(self.tracker.may_retry(BYSTANDER, 200.0, 3.0))

    def test_proven_request_that_turns_bad_is_quarantined_in_the_end(self):
        self.tracker.record_answered(CULPRIT, 0.0)
        for number in range(3):
            crash(self.tracker, f"u{number}", [CULPRIT], 1_000.0 * (number + 1))
        self.assertGreater(self.tracker.remaining_ms(CULPRIT, 3_000.0), 0.0)

    def test_crash_after_the_quarantine_doubles_it(self):
        crash(self.tracker, "u1", [CULPRIT], 0.0)
        crash(self.tracker, "u2", [CULPRIT], 1_000.0)
        later_ms = 1_000.0 + INITIAL_QUARANTINE_MS
        self.assertEqual(0.0, self.tracker.remaining_ms(CULPRIT, later_ms))
        crash(self.tracker, "u3", [CULPRIT], later_ms)
        self.assertEqual(2 * INITIAL_QUARANTINE_MS, self.tracker.remaining_ms(CULPRIT, later_ms))

    def test_quarantine_of_a_peer_is_adopted(self):
        self.tracker.handle_notice(CULPRIT, "", 5_000.0, 100.0)
        self.assertEqual(5_000.0, self.tracker.remaining_ms(CULPRIT, 100.0))
        self.assertEqual([], self.tracker.drain_notices())

    def test_memory_is_bounded(self):
        for fingerprint in range(MAX_PROVEN + 10):
            self.tracker.record_answered(fingerprint, 0.0)
        self.assertFalse(self.tracker.is_proven(0))
        self.assertTrue(self.tracker.is_proven(MAX_PROVEN + 9))

    def test_strike_of_a_peer_counts(self):
        """A crash seen by a peer and one seen here are two crashes."""
        self.tracker.handle_notice(CULPRIT, "u1", 0.0, 100.0)
        self.assertEqual(0.0, self.tracker.remaining_ms(CULPRIT, 100.0))
        crash(self.tracker, "u2", [CULPRIT], 200.0)
        self.assertGreater(self.tracker.remaining_ms(CULPRIT, 200.0), 0.0)

    def test_same_crash_seen_here_and_by_a_peer_is_one(self):
        crash(self.tracker, "u1", [CULPRIT], 100.0)
        self.tracker.handle_notice(CULPRIT, "u1", 0.0, 101.0)
        self.assertEqual(1, self.tracker.strikes(CULPRIT))

    def test_outage_counts_no_strikes(self):
        """All upstreams of a data centre restart together, with the same requests in flight.

        The most frequent request was in flight at each of them. It must be served as soon as they
        are back, but sent to one shard first like a new one, because it could be the cause.
        """
        self.tracker.record_answered(BYSTANDER, 0.0)
        for number in range(6):
            crash(self.tracker, f"u{number}", [BYSTANDER], 100.0 + number)
        self.assertEqual(0.0, self.tracker.refused_ms(BYSTANDER, 110.0))
        self.assertEqual(0, self.tracker.strikes(BYSTANDER))
        self.assertFalse(self.tracker.is_proven(BYSTANDER))
