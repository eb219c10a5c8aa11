"""Test how an instance behaves that is isolated from all upstreams."""

from unittest import TestCase

from core_tests.forwarding.builders import (
    build_answer,
    build_configuration,
    build_fan_out,
    build_record,
    build_updates,
)
from core_tests.forwarding.harness import ForwarderHarness
from geraniumlead.forwarding import NotReached, OwnReply
from geraniumlead.forwarding.isolation_detector import (
    ISOLATED_AFTER_MS,
    MIN_UNREACHABLE,
    PROBE_INTERVAL_MS,
    RESUME_AFTER_MS,
    IsolationDetector,
)

UNREACHED = NotReached("timeout", is_timeout=True)


class IsolationDetectorTests(TestCase):
    def build(self, count: int = MIN_UNREACHABLE) -> IsolationDetector:
        detector = IsolationDetector()
        detector.record_answer(0.0)
        for number in range(count):
            detector.record_unreachable(f"upstream-{number}", ISOLATED_AFTER_MS)
        return detector

    def test_failed_connections_and_no_answer_mean_isolation(self):
        detector = self.build()
        self.assertFalse(detector.is_isolated(ISOLATED_AFTER_MS - 1.0))
        self.assertTrue(detector.is_isolated(ISOLATED_AFTER_MS))
        detector.record_answer(ISOLATED_AFTER_MS + 1.0)
        self.assertFalse(detector.is_isolated(2.0 * ISOLATED_AFTER_MS))

    def test_one_or_two_upstreams_without_power_do_not_mean_isolation(self):
        self.assertFalse(self.build(MIN_UNREACHABLE - 1).is_isolated(ISOLATED_AFTER_MS))

    def test_slow_answers_alone_do_not_mean_isolation(self):
        """All upstreams are slower than usual; their answers will arrive, and are awaited."""
        self.assertFalse(self.build(0).is_isolated(10.0 * ISOLATED_AFTER_MS))

    def test_requests_are_sent_again_after_a_while(self):
        self.assertFalse(self.build().is_isolated(ISOLATED_AFTER_MS + RESUME_AFTER_MS))

    def test_one_request_at_a_time_is_sent_as_a_probe(self):
        detector = self.build()
        self.assertFalse(detector.should_refuse(ISOLATED_AFTER_MS))
        self.assertTrue(detector.should_refuse(ISOLATED_AFTER_MS + 1.0))
        self.assertFalse(detector.should_refuse(ISOLATED_AFTER_MS + PROBE_INTERVAL_MS))


class IsolatedInstanceTests(TestCase):
    def build(self) -> ForwarderHarness:
        """Return an instance with an upstream near and one far for each of twelve shards."""
        harness = ForwarderHarness()
        index = build_fan_out(12, latency_goal_ms=250.0, prefix="/all/")
        records = [
            build_record(f"{name}.{place}", name, data_centre=place)
            for name in index.services()
            for place in ("noord-a", "midden-a")
        ]
        harness.handle(build_updates(build_configuration(index), *records))
        for key in range(100, 106):
            for attempt in harness.ask(key, path="/all/1"):
                harness.now_ms += 1.0
                harness.end(attempt, build_answer())
            harness.now_ms += 20.0
        return harness

    def test_an_isolated_instance_refuses_at_once(self):
        """No upstream can be reached any more, though callers still reach the instance.

        Kept, their requests would wait until the deadline. Refused at once, with nothing executed,
        they can be served by another instance; one request at a time probes whether the isolation
        has ended.
        """
        harness = self.build()
        for attempt in harness.ask(1, path="/all/1"):
            harness.end(attempt, UNREACHED)
        for attempt in list(harness.started[-12:]):
            harness.end(attempt, UNREACHED)
        harness.now_ms += ISOLATED_AFTER_MS
        self.assertNotEqual([], harness.ask(2, path="/all/1"), "the first one is a probe")
        self.assertFalse(harness.forwarder.is_ready)
        self.assertEqual([], harness.ask(3, path="/all/1"))
        match harness.replies[3]:
            case OwnReply(status=503, reason="unreachable", retry_after_ms=after_ms):
                self.assertIsNotNone(after_ms)
            case reply:
                self.fail(f"not a refusal: {reply}")
        harness.now_ms += PROBE_INTERVAL_MS
        *_, last = harness.ask(4, path="/all/1")
        harness.end(last, build_answer())
        self.assertTrue(harness.forwarder.is_ready)
        self.assertNotEqual([], harness.ask(5, path="/all/1"))
