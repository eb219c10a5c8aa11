"""Tests of which peers count as reachable."""

from random import Random
from unittest import TestCase

from core_tests.builders import build_instance
from geraniumlead.configuration import ClusterView
from geraniumlead.membership import Membership
from geraniumlead.membership.membership import LOCAL_PEERS_PER_HEARTBEAT, PROBES_PER_HEARTBEAT
from geraniumlead.peer_messages import Goodbye, Heartbeat

TIMEOUT_MS = 2_500.0
INTERVAL_MS = 500.0
LARGE = 40


def build_membership(instances: int, **changes) -> Membership:
    """Return the membership of noord-0; ``changes`` apply to the entry of noord-1."""
    membership = Membership("noord-0", "noord", TIMEOUT_MS)
    entries = [
        build_instance(number, **(changes if number == 1 else {})) for number in range(instances)
    ]
    membership.update(ClusterView(instances={"noord": tuple(entries)}))
    return membership


def build_heartbeat(incarnation: str = "a", stopping: bool = False) -> Heartbeat:
    return Heartbeat(incarnation, "noord", 1, 1, True, stopping=stopping)


class SmallGroupTests(TestCase):
    def test_silent_peer_is_unreachable(self):
        membership = build_membership(3)
        self.assertFalse(membership.is_reachable("noord-1", 0.0))
        membership.handle_message("noord-1", build_heartbeat(), 0.0)
        self.assertTrue(membership.is_reachable("noord-1", TIMEOUT_MS))
        self.assertFalse(membership.is_reachable("noord-1", TIMEOUT_MS + 1))

    def test_a_heartbeat_after_the_goodbye_does_not_bring_a_peer_back(self):
        """A stopping peer still sends heartbeats while it drains; new work for it would be lost."""
        membership = build_membership(3)
        membership.handle_message("noord-1", Goodbye("a"), 0.0)
        membership.handle_message("noord-1", build_heartbeat("a"), 1.0)
        self.assertFalse(membership.is_reachable("noord-1", 1.0))
        membership.handle_message("noord-1", build_heartbeat("b"), 2.0)
        self.assertTrue(membership.is_reachable("noord-1", 2.0))

    def test_stopping_heartbeat_replaces_a_lost_goodbye(self):
        membership = build_membership(3)
        membership.handle_message("noord-1", build_heartbeat(stopping=True), 0.0)
        self.assertFalse(membership.is_reachable("noord-1", 0.0))

    def test_a_peer_that_is_listed_as_leaving_gets_no_work(self):
        membership = build_membership(3, state="leaving")
        membership.handle_message("noord-1", build_heartbeat(), 0.0)
        self.assertFalse(membership.is_reachable("noord-1", 0.0))


class LargeGroupTests(TestCase):
    def test_heartbeats_go_to_a_bounded_number_and_rotate_over_all_peers(self):
        membership, random = build_membership(LARGE), Random(1)
        reached = set()
        for _ in range(-(-LARGE // LOCAL_PEERS_PER_HEARTBEAT)):
            targets = membership.next_heartbeat_targets(random)
            self.assertLessEqual(len(targets), LOCAL_PEERS_PER_HEARTBEAT)
            reached |= set(targets)
        self.assertGreaterEqual(len(reached), 3 * LOCAL_PEERS_PER_HEARTBEAT)

    def test_unanswered_work_makes_a_peer_unreachable_until_any_message(self):
        membership = build_membership(LARGE)
        self.assertTrue(membership.is_reachable("noord-1", 0.0))
        membership.record_sent("noord-1", 0.0)
        membership.record_sent("noord-1", 2_000.0)
        self.assertTrue(membership.is_reachable("noord-1", TIMEOUT_MS))
        self.assertFalse(membership.is_reachable("noord-1", TIMEOUT_MS + 1))
        membership.record_message("noord-1", 3_000.0)
        self.assertTrue(membership.is_reachable("noord-1", 3_000.0))

    def test_silent_peers_are_probed_a_few_at_a_time_and_all_in_turn(self):
        membership = build_membership(LARGE)
        for number in range(1, LARGE):
            membership.record_sent(f"noord-{number}", 0.0)
        self.assertEqual([], membership.next_probe_targets(INTERVAL_MS, INTERVAL_MS - 1))
        first = membership.next_probe_targets(INTERVAL_MS, INTERVAL_MS)
        second = membership.next_probe_targets(INTERVAL_MS, 2 * INTERVAL_MS)
        self.assertEqual(PROBES_PER_HEARTBEAT, len(first))
        self.assertFalse(set(first) & set(second))
