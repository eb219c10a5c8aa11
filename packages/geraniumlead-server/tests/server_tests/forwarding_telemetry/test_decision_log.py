"""Tests of which decisions are logged when there are more than the budget allows."""

from unittest import TestCase
from unittest.mock import patch

from geraniumlead.forwarding import LogDecision
from geraniumlead_server.forwarding_telemetry import DecisionLog


class DecisionLogTests(TestCase):
    def setUp(self):
        patched = patch("geraniumlead_server.forwarding_telemetry.decision_log.logger")
        self.logger = patched.start()
        self.addCleanup(patched.stop)
        self.log = DecisionLog()

    def observe(self, name: str, count: int = 1) -> None:
        for number in range(count):
            self.log.observe(LogDecision(name, {"number": number}), now_ms=0.0)

    def written(self) -> list[str]:
        return [call.args[1] for call in self.logger.log.call_args_list]

    def test_configuration_is_logged_despite_hundreds_of_upstreams(self):
        """Guards against a log that does not show which configuration version an instance used."""
        self.observe("upstream_left", count=300)
        self.observe("configuration")
        self.observe("published")
        self.assertEqual(["configuration", "published"], self.written()[-2:])
        self.assertLessEqual(self.written().count("upstream_left"), 100)

    def test_skipped_lines_are_counted_in_the_next_line(self):
        self.observe("upstream_left", count=300)
        self.observe("configuration")
        fields = self.logger.log.call_args.kwargs["extra"]["fields"]
        self.assertEqual(200, fields["skipped_lines"])
