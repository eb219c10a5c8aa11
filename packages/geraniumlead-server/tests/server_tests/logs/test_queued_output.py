"""Test that logging does not block when nobody reads the log, and the limit on log lines."""

import logging
import os
from time import perf_counter
from unittest import TestCase

from geraniumlead.forwarding import LogDecision
from geraniumlead_server.forwarding_telemetry import DecisionLog
from geraniumlead_server.logs import QueuedOutput

LINE = "x" * 200


def build_record(text: str) -> logging.LogRecord:
    return logging.LogRecord("test", logging.INFO, "", 0, text, (), None)


class QueuedOutputTests(TestCase):
    def setUp(self):
        self.reader, writer = os.pipe()
        os.set_blocking(self.reader, False)
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, writer)
        self.output = QueuedOutput(writer)

    def read_all(self) -> bytes:
        data = b""
        while True:
            try:
                data += os.read(self.reader, 65_536)
            except BlockingIOError:
                return data

    def test_a_full_pipe_does_not_block_and_dropped_lines_are_counted(self):
        """The reader of the log stops, and the pipe fills up.

        A blocking write would block the event loop, and every caller would wait for the log.
        """
        longest_s = 0.0
        for _ in range(3_000):
            began_s = perf_counter()
            self.output.emit(build_record(LINE))
            longest_s = max(longest_s, perf_counter() - began_s)
        self.assertLess(longest_s, 0.1)
        dropped = self.output.dropped_lines
        self.assertGreater(dropped, 1_000)
        seen = self.read_all()
        self.output.flush()
        seen += self.read_all()
        self.output.emit(build_record("after"))
        seen += self.read_all()
        self.assertEqual(3_000 - dropped, seen.count(LINE.encode()))
        self.assertIn(b'"count":%d' % dropped, seen)
        self.assertTrue(
            all(len(line) in (0, 200) or line[:1] in b"{a" for line in seen.split(b"\n"))
        )


class DecisionLogTests(TestCase):
    def setUp(self):
        # The runner of the whole suite disables logging; these tests check log lines.
        before = logging.root.manager.disable
        logging.disable(logging.NOTSET)
        self.addCleanup(logging.disable, before)

    def test_failed_requests_are_logged_when_ordinary_ones_no_longer_are(self):
        log = DecisionLog(lines_per_s=10.0)
        ordinary = LogDecision("request", {"request_id": "good"})
        failed = LogDecision("request", {"request_id": "bad"}, "warning")
        with self.assertLogs("geraniumlead", logging.INFO) as seen:
            for _ in range(50):
                log.observe(ordinary, 0.0)
            for _ in range(3):
                log.observe(failed, 0.0)
        ids = [record.fields["request_id"] for record in seen.records]
        self.assertEqual(3, ids.count("bad"))
        self.assertLess(ids.count("good"), 10)
        self.assertEqual(50 - ids.count("good"), seen.records[-3].fields["skipped_lines"])
