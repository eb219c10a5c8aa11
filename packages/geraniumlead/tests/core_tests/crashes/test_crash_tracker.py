"""Test what an instance concludes from its own crashes and from those of its peers."""

from itertools import permutations
from unittest import TestCase

from core_tests.crashes.builders import OTHER, REQUEST, build_crash, build_quarantined, tell
from geraniumlead.crashes import CrashTracker
from geraniumlead.crashes.answer_memory import PROVEN_MS
from geraniumlead.crashes.crash_record import (
    CLOCK_SLACK_MS,
    PROBE_INTERVAL_MS,
    QUARANTINE_FACTOR,
    QUARANTINE_MS,
)
from geraniumlead.crashes.crash_registry import FORGET_AFTER_MS, MAX_QUARANTINED, MAX_SUSPECTS
from geraniumlead.crashes.crash_tracker import CONFIRMATION_MS, PROBE_SPREAD_MS
from geraniumlead.crashes.news import News

PROBE_MS = 1_000.0 + QUARANTINE_MS + PROBE_SPREAD_MS


class QuarantineTests(TestCase):
    def test_a_refused_request_is_sent_once_more_after_its_quarantine(self):
        tracker = build_quarantined()
        self.assertFalse(tracker.may_start(REQUEST, 1_000.0 + QUARANTINE_MS - 50.0))
        self.assertTrue(tracker.may_start(REQUEST, PROBE_MS))
        self.assertFalse(tracker.may_start(REQUEST, PROBE_MS + PROBE_INTERVAL_MS - 1.0))

    def test_a_request_that_crashes_an_upstream_again_stays_away_longer(self):
        tracker = build_quarantined()
        tracker.may_start(REQUEST, PROBE_MS)
        tracker.record_lost(REQUEST, build_crash(4, PROBE_MS), PROBE_MS + 10.0)
        later_ms = PROBE_MS + QUARANTINE_MS + PROBE_SPREAD_MS
        self.assertFalse(tracker.may_start(REQUEST, later_ms))
        self.assertTrue(tracker.may_start(REQUEST, later_ms + QUARANTINE_FACTOR * QUARANTINE_MS))

    def test_an_answer_releases_a_request(self):
        tracker = build_quarantined()
        tracker.may_start(REQUEST, PROBE_MS)
        tracker.record_answered(REQUEST, PROBE_MS + 30.0)
        self.assertTrue(tracker.may_start(REQUEST, PROBE_MS + 31.0))
        self.assertEqual((0, 0), (tracker.digest, len(tracker)))

    def test_the_one_more_try_of_one_instance_keeps_the_others_from_theirs(self):
        """Guards against a whole fleet that sends a refused request once more, each instance."""
        first, second = build_quarantined(), build_quarantined(own_id="entry-2")
        first.may_start(REQUEST, PROBE_MS)
        tell(first, second, PROBE_MS + 1.0)
        self.assertFalse(second.may_start(REQUEST, PROBE_MS + 20.0))

    def test_a_proven_request_that_turns_bad_is_refused(self):
        """Its crashes count as soon as peers could have told of other causes, and have not."""
        tracker = CrashTracker()
        tracker.record_answered(REQUEST, 0.0)
        for process, at_ms in ((1, 1_000.0), (2, 1_020.0), (3, 2_000.0)):
            tracker.record_lost(REQUEST, build_crash(process, at_ms), at_ms + 10.0)
        self.assertFalse(tracker.is_quarantined(REQUEST))
        tracker.wake(2_010.0 + CONFIRMATION_MS)
        self.assertTrue(tracker.is_quarantined(REQUEST))


class BystanderTests(TestCase):
    def test_a_request_beside_a_refused_one_is_cleared_of_its_crashes(self):
        """Guards against a harmless request that was at the same upstreams three times."""
        tracker = CrashTracker()
        for process, at_ms in ((1, 0.0), (2, 10.0), (3, 900.0), (4, 1_800.0)):
            crash = build_crash(process, at_ms)
            tracker.record_lost(REQUEST, crash, crash.lost_ms)
            tracker.record_lost(OTHER, crash, crash.lost_ms)
        self.assertTrue(tracker.is_quarantined(REQUEST))
        self.assertIsNone(tracker.find(OTHER))

    def test_a_proven_request_is_not_blamed_for_crashes_of_unproven_ones(self):
        """Guards against a popular request in a flood of crashing ones, each of them another."""
        tracker = CrashTracker()
        tracker.record_answered(REQUEST, 0.0)
        for process in range(1, 9):
            at_ms = 1_000.0 * process
            tracker.record_lost(REQUEST, build_crash(process, at_ms), at_ms + 10.0)
            tracker.record_lost(OTHER + process, build_crash(process, at_ms), at_ms + 10.0)
            tracker.wake(at_ms + 10.0 + CONFIRMATION_MS)
        self.assertIsNone(tracker.find(REQUEST))

    def test_a_proven_request_that_is_only_suspected_is_not_held_up(self):
        """Guards against a popular request that is refused while its crashes are not explained."""
        tracker = CrashTracker()
        tracker.record_answered(REQUEST, 0.0)
        for process in (1, 2, 3):
            tracker.record_lost(REQUEST, build_crash(process, 1_000.0), 1_010.0)
        tracker.wake(1_010.0 + CONFIRMATION_MS)
        self.assertTrue(tracker.is_suspected(REQUEST))
        self.assertTrue(tracker.may_start(REQUEST, 1_010.0 + CONFIRMATION_MS))

    def test_requests_sent_to_an_upstream_that_is_already_silent_are_no_cause(self):
        """Guards against requests that are blamed since a silent upstream's entry lapses late."""
        tracker = CrashTracker()
        for process in range(1, 5):
            at_ms = 2_000.0 * process
            later = build_crash(process, at_ms + 400.0, is_silent=True)
            tracker.record_lost(OTHER, later, at_ms + 1_500.0)
            first = build_crash(process, at_ms, is_silent=True)
            tracker.record_lost(REQUEST, first, at_ms + 1_500.0)
            tracker.wake(at_ms + 1_500.0 + CONFIRMATION_MS)
        self.assertTrue(tracker.is_quarantined(REQUEST))
        self.assertIsNone(tracker.find(OTHER))

    def test_a_proven_request_is_no_cause_of_silence(self):
        tracker = CrashTracker()
        tracker.record_answered(REQUEST, 0.0)
        self.assertIsNone(tracker.record_lost(REQUEST, build_crash(1, 50.0, True), 1_500.0))
        late_ms = PROVEN_MS + 1_000.0
        self.assertIsNotNone(tracker.record_lost(REQUEST, build_crash(2, late_ms, True), late_ms))


class MergeTests(TestCase):
    def test_the_order_and_number_of_reports_makes_no_difference(self):
        """Guards against instances that differ since they were told by different ways."""
        trackers = []
        for process, at_ms in ((1, 0.0), (2, 5.0), (3, 900.0)):
            tracker = CrashTracker()
            crash = build_crash(process, at_ms)
            tracker.record_lost(REQUEST, crash, crash.lost_ms)
            trackers.append(tracker)
        for order in permutations(trackers):
            receiver = CrashTracker()
            for sender in (*order, *order):
                tell(sender, receiver, 1_000.0)
            self.assertTrue(receiver.is_quarantined(REQUEST))
            self.assertEqual(REQUEST, receiver.digest)

    def test_an_answer_elsewhere_clears_earlier_crashes_in_either_order(self):
        """Guards against a notice that adds strikes which an answer has cleared."""
        answered = CrashTracker()
        answered.record_answered(REQUEST, 1_100.0)
        for is_answer_first in (True, False):
            with self.subTest(is_answer_first=is_answer_first):
                receiver, crashed = CrashTracker("entry-2"), build_quarantined(1_000.0)
                order = (answered, crashed) if is_answer_first else (crashed, answered)
                for sender in order:
                    tell(sender, receiver, 1_200.0)
                self.assertTrue(receiver.may_start(REQUEST, 1_300.0))
                self.assertEqual(0, receiver.digest)

    def test_an_answer_is_told_only_to_clear_what_peers_know(self):
        """Guards against a broadcast for each connection that breaks and is made good at once."""
        tracker = CrashTracker()
        tracker.record_lost(REQUEST, build_crash(1, 0.0), 10.0)
        tracker.record_answered(REQUEST, 40.0)
        self.assertEqual([], tracker.drain_news())
        tracker.record_lost(REQUEST, build_crash(2, 1_000.0), 1_010.0)
        tracker.record_failed(REQUEST)
        tracker.drain_news()
        tracker.record_answered(REQUEST, 2_000.0)
        self.assertEqual([News(REQUEST, is_own=True)], tracker.drain_news())

    def test_a_refusal_that_reports_of_peers_lead_to_is_no_news_of_its_own(self):
        """Guards against each instance of a fleet telling the other regions what it was told."""
        receiver = CrashTracker()
        for process, at_ms in ((1, 0.0), (2, 5.0), (3, 900.0)):
            sender, crash = CrashTracker(), build_crash(process, at_ms)
            sender.record_lost(REQUEST, crash, crash.lost_ms)
            tell(sender, receiver, 1_000.0)
        self.assertTrue(receiver.is_quarantined(REQUEST))
        self.assertEqual([News(REQUEST, is_own=False)], receiver.drain_news())

    def test_crashes_after_an_answer_count(self):
        receiver = CrashTracker()
        receiver.record_answered(REQUEST, 0.0)
        tell(build_quarantined(2_000.0 + CLOCK_SLACK_MS), receiver, 3_000.0)
        self.assertTrue(receiver.is_quarantined(REQUEST))

    def test_a_refusal_that_is_told_is_no_longer_than_the_senders(self):
        receiver = CrashTracker("entry-1")
        tell(build_quarantined(1_000.0), receiver, 100_000.0)
        self.assertTrue(receiver.may_start(REQUEST, PROBE_MS))

    def test_a_refusal_that_others_have_forgotten_does_not_come_back(self):
        receiver = CrashTracker()
        tell(build_quarantined(), receiver, FORGET_AFTER_MS + 2_000.0)
        self.assertEqual(0, len(receiver))

    def test_a_flood_of_suspects_displaces_no_refused_request(self):
        tracker = build_quarantined()
        for number in range(MAX_SUSPECTS + 100):
            tracker.record_lost(OTHER + number, build_crash(10 + number, 2_000.0), 2_010.0)
        self.assertTrue(tracker.is_quarantined(REQUEST))
        self.assertEqual(MAX_SUSPECTS + 1, len(tracker))

    def test_refused_requests_are_bounded(self):
        tracker = CrashTracker()
        for number in range(MAX_QUARANTINED + 50):
            for process, at_ms in ((1, 0.0), (2, 10.0), (3, 900.0)):
                crash = build_crash(10 * number + process, at_ms)
                tracker.record_lost(OTHER + number, crash, crash.lost_ms)
        self.assertEqual(MAX_QUARANTINED, len(tracker))
