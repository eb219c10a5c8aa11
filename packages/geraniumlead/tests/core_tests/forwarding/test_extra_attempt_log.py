"""Test that the extra attempts of an instance can be added up from its log."""

from unittest import TestCase

from core_tests.forwarding.builders import (
    build_answer,
    build_configuration,
    build_record,
    build_route,
    build_settings,
    build_updates,
)
from core_tests.forwarding.harness import ForwarderHarness
from geraniumlead.forwarding import NotExecuted

SERVED_MS = 30_000.0
"""Time after the start at which the requests come."""


class ExtraAttemptLogTests(TestCase):
    def build(self, **settings) -> ForwarderHarness:
        harness = ForwarderHarness(build_settings(**settings))
        configuration = build_configuration(build_route())
        records = [build_record(f"reader-{number}") for number in range(3)]
        harness.handle(build_updates(configuration, *records))
        harness.run_until(SERVED_MS)
        return harness

    def lines(self, harness: ForwarderHarness) -> list[dict]:
        return [line.fields for line in harness.logged if line.name == "extra_attempts"]

    def test_attempts_are_logged_by_service_and_cause_with_what_is_left(self):
        harness = self.build(extra_share=0.0)
        for key in range(3):
            (attempt,) = harness.ask(key)
            harness.end(attempt, NotExecuted(503))
        harness.run_until(SERVED_MS + 2_000.0)
        (line,) = self.lines(harness)
        found = line["services"]["reader"]
        self.assertEqual(3, found["failed"])
        self.assertEqual(40.0 - 3 - found.get("late", 0), found["left"])
        self.assertFalse(line["is_starting"])

    def test_attempts_without_budget_are_logged_as_a_warning(self):
        """Guards against requests that fail for lack of budget, unseen by operators."""
        harness = self.build(extra_share=0.0, extra_slack=0.0)
        (attempt,) = harness.ask()
        harness.end(attempt, NotExecuted(503))
        harness.run_until(SERVED_MS + 2_000.0)
        (line,) = [found for found in harness.logged if found.name == "extra_attempts"]
        self.assertEqual(1, line.fields["services"]["reader"]["denied"])
        self.assertEqual("warning", line.level)

    def test_a_burst_of_attempts_is_one_line(self):
        """Guards against a log that costs more than the attempts do."""
        harness = self.build(extra_slack=1_000.0)
        for key in range(300):
            (first,) = harness.ask(key)
            (second,) = harness.end(first, NotExecuted(503))
            harness.end(second, build_answer())
        harness.run_until(SERVED_MS + 2_000.0)
        self.assertLessEqual(len(self.lines(harness)), 2)
        sent = sum(line["services"]["reader"].get("failed", 0) for line in self.lines(harness))
        self.assertEqual(300, sent)
