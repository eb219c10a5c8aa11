"""Test what is counted of requests that crash upstreams."""

from unittest import TestCase

from geraniumlead_client.crash_statistics import CrashStatistics
from geraniumlead_client.log_lines import LogLine
from geraniumlead_client.request_trace import RequestTrace


def build_line(second: float, event: str = "crash_strike", **changes) -> LogLine:
    fields = {
        "time": f"2026-12-03T10:00:{second:06.3f}+00:00",
        "event": event,
        "instance": "entry-1",
        "fingerprint": "75c3",
        "request_id": f"try-{second}",
        "upstream": "i-1",
        "strikes": 1,
    }
    return LogLine("1.log", 1, fields | changes)


class CrashStatisticsTests(TestCase):
    def count(self, *lines: LogLine):
        report = CrashStatistics()
        for line in lines:
            report.add(line)
        return report.count()

    def test_tries_long_after_the_first_refusal_are_sent_too_late(self):
        """Guards against a crashing request that goes on and on, unseen by operators."""
        seconds = (1.0, 2.0, 3.0, 6.9, 7.1, 20.0)
        lines = [build_line(second, is_refused=second >= 3.0) for second in seconds]
        counts = self.count(*reversed(lines))
        self.assertEqual((1, 6, 2), (counts.requests, counts.strikes, counts.sent_too_late))
        self.assertEqual(("75c3", 6), (counts.worst, counts.worst_strikes))

    def test_the_refusal_counts_from_the_first_instance_that_tells_of_it(self):
        told = build_line(2.0, event="crash_told", request_id=None, is_refused=True)
        self.assertEqual(1, self.count(build_line(1.0), told, build_line(6.1)).sent_too_late)

    def test_a_harmless_request_that_loses_upstreams_now_and_then_is_never_late(self):
        """Guards against popular requests that count as crashing, however long ago the last was."""
        lines = [build_line(second, is_refused=False) for second in (1.0, 2.0, 3.0, 9.0, 30.0)]
        self.assertEqual(0, self.count(*lines).sent_too_late)

    def test_one_try_that_loses_several_upstreams_counts_once(self):
        lines = [build_line(second, is_refused=second == 3.0) for second in (1.0, 2.0, 3.0)]
        lines += [build_line(9.0, request_id="a") for _ in range(4)]
        self.assertEqual(1, self.count(*lines).sent_too_late)

    def test_refusals_are_counted_and_other_requests_are_not(self):
        counts = self.count(
            build_line(1.0, event="request", reason="crashes_upstreams"),
            build_line(1.0, event="request", reason="answered"),
        )
        self.assertEqual((0, 1, 0), (counts.requests, counts.refused, counts.sent_too_late))


class TraceOfRepeatsTests(TestCase):
    def test_a_trace_tells_what_was_known_of_the_same_request_elsewhere(self):
        """Guards against a try whose trace doesn't say who knew of the crashes before it."""
        trace = RequestTrace("try-9")
        trace.add(
            [
                build_line(1.0, request_id="try-1"),
                build_line(1.1, event="crash_told", request_id=None, peers=6),
                build_line(1.2, event="crash_notice", request_id=None, instance="entry-2"),
                build_line(1.3, request_id="other", fingerprint="0000"),
                build_line(9.0, request_id="try-9", instance="entry-3"),
            ]
        )
        found = [(step.what, step.instance) for step in trace.steps()]
        expected = [
            ("crash_strike", "entry-1"),
            ("crash_told", "entry-1"),
            ("crash_notice", "entry-2"),
            ("crash_strike", "entry-3"),
        ]
        self.assertEqual(expected, found)
