"""Test which attempts count as handed more time than their caller waits."""

from unittest import TestCase

from geraniumlead.forwarding.deadline import Deadline


class DeadlineTests(TestCase):
    def setUp(self):
        self.deadline = Deadline(end_ms=980.0, caller_end_ms=1_000.0)

    def test_an_attempt_that_ends_with_its_request_is_no_overrun(self):
        self.deadline.record_handed(self.deadline.left_ms(200.0), now_ms=200.0)
        self.assertEqual(0, self.deadline.overruns)
        self.assertEqual(780.0, self.deadline.max_handed_ms)

    def test_an_attempt_that_is_written_late_with_its_old_time_is_an_overrun(self):
        """Guards against a time that was fixed long before it is written."""
        handed_ms = self.deadline.left_ms(200.0)
        self.deadline.record_handed(handed_ms, now_ms=450.0)
        self.deadline.record_handed(handed_ms, now_ms=300.0)
        self.assertEqual(2, self.deadline.overruns)
        self.assertEqual(230.0, self.deadline.max_overrun_ms)
