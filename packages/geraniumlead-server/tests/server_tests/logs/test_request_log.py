"""Test the rate limit of the request log."""

import logging
from unittest import TestCase

from geraniumlead.requests import NotRun, RefusalReason
from geraniumlead_server.logs.request_log import RequestLog
from server_tests.builders import build_answer


class RequestLogTests(TestCase):
    def setUp(self):
        # The runner disables logging below errors; these tests check log lines.
        previous = logging.root.manager.disable
        logging.disable(logging.NOTSET)
        self.addCleanup(logging.disable, previous)

    def test_a_burst_writes_a_bounded_number_of_lines(self):
        """A burst of 10,000 refusals arrives within a millisecond.

        The first lines are written and the others counted; the next line, a second later,
        has the number of skipped lines.
        """
        log = RequestLog(lines_per_s=5)
        refused = build_answer(outcome=NotRun(RefusalReason.RATE, 100.0))
        with self.assertLogs("geraniumlead", "INFO") as captured:
            for _ in range(10_000):
                log.observe(refused, 1.0)
            log.observe(refused, 1001.0)
        self.assertEqual(len(captured.records), 6)
        self.assertEqual(captured.records[-1].fields["skipped_lines"], 9_995)
        self.assertEqual(captured.records[-1].fields["reason"], "rate")

    def test_a_line_names_request_contract_and_class(self):
        with self.assertLogs("geraniumlead", "INFO") as captured:
            RequestLog().observe(build_answer(), 12.5)
        fields = captured.records[0].fields
        self.assertEqual(fields["request_id"], "abc")
        self.assertEqual((fields["contract"], fields["class"]), ("acme", "lookup"))
        self.assertEqual((fields["outcome"], fields["latency_ms"]), ("whole", 12.5))
