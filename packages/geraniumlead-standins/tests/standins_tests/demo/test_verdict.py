"""Tests that the demo detects violations."""

from unittest import TestCase

from geraniumlead_standins.demo.verdict import NANOSECONDS_PER_S, evaluate_run
from standins_tests.demo.builders import build_ran, build_received, build_sent


class EvaluateRunTests(TestCase):
    def evaluate(self, requests, lines, moments_ns=None):
        return evaluate_run(requests, lines, "zuid", moments_ns or {})

    def test_accepts_a_booking_that_ran_once(self):
        self.assertEqual(self.evaluate([build_sent()], [build_ran()]).violations, [])

    def test_finds_a_doubled_booking(self):
        """The caller sends a booking through a second instance while it runs.

        Both instances send it to an upstream, so the member is charged twice.
        """
        verdict = self.evaluate([build_sent()], [build_ran(), build_ran()])
        self.assertEqual(verdict.doubled_bookings, 1)
        self.assertEqual(len(verdict.violations), 1)

    def test_finds_a_lost_booking(self):
        self.assertEqual(self.evaluate([build_sent()], []).lost_bookings, 1)

    def test_finds_a_lost_booking_when_none_ran_at_all(self):
        lookups = build_ran(token="")
        self.assertEqual(self.evaluate([build_sent()], [lookups]).lost_bookings, 1)

    def test_finds_a_booking_that_ran_though_refused(self):
        sent = build_sent(outcome="not_run", outcomes=["not_run"])
        self.assertEqual(self.evaluate([sent], [build_ran()]).ran_though_refused, 1)

    def test_accepts_an_unknown_booking_whether_it_ran_or_not(self):
        sent = build_sent(outcome="unknown", outcomes=["unknown"])
        self.assertEqual(self.evaluate([sent], [build_ran()]).violations, [])
        self.assertEqual(self.evaluate([sent], []).violations, [])

    def test_finds_work_sent_to_a_data_centre_that_is_out(self):
        moments_ns = {"out": 0, "back": 9 * NANOSECONDS_PER_S}
        late = build_received(at_ns=4 * NANOSECONDS_PER_S)
        early = build_received(at_ns=2 * NANOSECONDS_PER_S)
        after = build_received(at_ns=10 * NANOSECONDS_PER_S)
        verdict = self.evaluate([build_sent()], [build_ran(), early, late, after], moments_ns)
        self.assertEqual(verdict.work_while_out, 1)

    def test_finds_missing_late_and_untrue_answers(self):
        requests = [
            build_sent(is_booking=False, outcome="unanswered", outcomes=[]),
            build_sent(is_booking=False, is_late=True),
            build_sent(is_booking=False, faults=["coverage does not add up"]),
        ]
        self.assertEqual(len(self.evaluate(requests, []).violations), 3)
