"""Test which peers count as reachable."""

from random import Random
from unittest import TestCase

from core_tests.builders import build_instance
from geraniumlead.configuration import ClusterView
from geraniumlead.membership import Membership
from geraniumlead.membership.membership import LOCAL_BEATS, PROBES_PER_BEAT
from geraniumlead.peers import Goodbye, Heartbeat

TIMEOUT_MS = 2_500.0
INTERVAL_MS = 500.0
LARGE = 40


def build_membership(instances: int, **changes) -> Membership:
    """Return what noord-0 knows of a data centre; ``changes`` are of the entry of noord-1."""
    membership = Membership("noord-0", "noord", TIMEOUT_MS)
    entries = [
        build_instance(number, **(changes if number == 1 else {})) for number in range(instances)
    ]
    membership.update(ClusterView(instances={"noord": tuple(entries)}))
    return membership


def build_heartbeat(incarnation: str = "a", stopping: bool = False) -> Heartbeat:
    return Heartbeat(incarnation, "noord", 1, 1, True, stopping=stopping)


class SmallGroupTests(TestCase):
    def test_silence_is_enough(self):
        membership = build_membership(3)
        self.assertFalse(membership.is_reachable("noord-1", 0.0))
        membership.hear("noord-1", build_heartbeat(), 0.0)
        self.assertTrue(membership.is_reachable("noord-1", TIMEOUT_MS))
        self.assertFalse(membership.is_reachable("noord-1", TIMEOUT_MS + 1))

    def test_a_heartbeat_after_the_goodbye_does_not_bring_a_peer_back(self):
        """A stopping peer goes on beating while it ends its work; work for it would be lost."""
        membership = build_membership(3)
        membership.hear("noord-1", Goodbye("a"), 0.0)
        membership.hear("noord-1", build_heartbeat("a"), 1.0)
        self.assertFalse(membership.is_reachable("noord-1", 1.0))
        membership.hear("noord-1", build_heartbeat("b"), 2.0)
        self.assertTrue(membership.is_reachable("noord-1", 2.0))

    def test_a_lost_goodbye_is_made_good_by_the_heartbeat(self):
        membership = build_membership(3)
        membership.hear("noord-1", build_heartbeat(stopping=True), 0.0)
        self.assertFalse(membership.is_reachable("noord-1", 0.0))

    def test_a_peer_that_is_listed_as_leaving_gets_no_work(self):
        membership = build_membership(3, state="leaving")
        membership.hear("noord-1", build_heartbeat(), 0.0)
        self.assertFalse(membership.is_reachable("noord-1", 0.0))


class LargeGroupTests(TestCase):
    def test_a_beat_reaches_a_bounded_number_and_a_round_everyone(self):
        membership, random = build_membership(LARGE), Random(1)
        reached = set()
        for _ in range(-(-LARGE // LOCAL_BEATS)):
            targets = membership.take_beat_targets(random)
            self.assertLessEqual(len(targets), LOCAL_BEATS)
            reached |= set(targets)
        self.assertGreaterEqual(len(reached), 3 * LOCAL_BEATS)

    def test_work_without_an_answer_makes_unreachable_and_any_message_ends_it(self):
        membership = build_membership(LARGE)
        self.assertTrue(membership.is_reachable("noord-1", 0.0))
        membership.note_asked("noord-1", 0.0)
        membership.note_asked("noord-1", 2_000.0)
        self.assertTrue(membership.is_reachable("noord-1", TIMEOUT_MS))
        self.assertFalse(membership.is_reachable("noord-1", TIMEOUT_MS + 1))
        membership.note_heard("noord-1", 3_000.0)
        self.assertTrue(membership.is_reachable("noord-1", 3_000.0))

    def test_silent_peers_are_probed_a_few_at_a_time_and_all_in_turn(self):
        membership = build_membership(LARGE)
        for number in range(1, LARGE):
            membership.note_asked(f"noord-{number}", 0.0)
        self.assertEqual([], membership.take_probe_targets(INTERVAL_MS, INTERVAL_MS - 1))
        first = membership.take_probe_targets(INTERVAL_MS, INTERVAL_MS)
        second = membership.take_probe_targets(INTERVAL_MS, 2 * INTERVAL_MS)
        self.assertEqual(PROBES_PER_BEAT, len(first))
        self.assertFalse(set(first) & set(second))
