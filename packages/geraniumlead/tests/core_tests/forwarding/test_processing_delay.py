"""Test the margin of a goal for the work of the instance itself."""

from unittest import TestCase

from core_tests.forwarding.builders import (
    build_answer,
    build_configuration,
    build_fan_out,
    build_record,
    build_updates,
)
from core_tests.forwarding.harness import ForwarderHarness
from geraniumlead.forwarding import ReplyWritten, TimePassed
from geraniumlead.forwarding.processing_delay import (
    MAX_MARGIN_GOAL_SHARE,
    MIN_MARGIN_MS,
    MIN_SAMPLES,
    SUBREQUEST_MARGIN_MS,
    ProcessingDelay,
)

GOAL_MS = 300.0


class ProcessingDelayTests(TestCase):
    def test_the_minimum_margin_applies_without_samples(self):
        self.assertEqual(MIN_MARGIN_MS, ProcessingDelay().margin_ms(GOAL_MS, 0, 0.0))

    def test_each_subrequest_of_a_query_increases_the_margin(self):
        """Ninety subrequests share a slow link, and a reply that was sent in time arrived late."""
        few, many = (ProcessingDelay().margin_ms(GOAL_MS, parts, 0.0) for parts in (20, 90))
        self.assertAlmostEqual(70 * SUBREQUEST_MARGIN_MS, many - few)

    def test_late_timers_and_slow_writing_add_up(self):
        delay = ProcessingDelay()
        for _ in range(MIN_SAMPLES):
            delay.record_timer(12.0, 0.0)
            delay.record_write(8.0, 0.0)
        self.assertAlmostEqual(20.0, delay.margin_ms(GOAL_MS, 0, 100.0), delta=0.5)

    def test_the_margin_is_limited_to_a_share_of_the_goal(self):
        delay = ProcessingDelay()
        for _ in range(MIN_SAMPLES):
            delay.record_timer(500.0, 0.0)
        self.assertEqual(MAX_MARGIN_GOAL_SHARE * GOAL_MS, delay.margin_ms(GOAL_MS, 0, 100.0))

    def test_old_delays_are_discarded(self):
        delay = ProcessingDelay()
        for _ in range(MIN_SAMPLES):
            delay.record_timer(30.0, 0.0)
        for second in range(1, 13):
            for _ in range(MIN_SAMPLES):
                delay.record_timer(0.1, second * 1_000.0)
        self.assertEqual(MIN_MARGIN_MS, delay.margin_ms(GOAL_MS, 0, 13_000.0))


class SlowInstanceTests(TestCase):
    def test_a_slow_instance_replies_earlier(self):
        """The timer at the goal fires 25 ms late on a small machine that processes many answers.

        One shard of four never answers. With a fixed margin each reply with the other three was
        sent after the goal, and was worth a tenth.
        """
        harness = ForwarderHarness()
        route = build_fan_out(min_share=0.75)
        records = [build_record(f"{shard}.1", shard) for shard in route.services()]
        harness.handle(build_updates(build_configuration(route), *records))
        for key in range(1, 20):
            arrived_ms = harness.now_ms
            for attempt in harness.ask(key)[:3]:
                harness.end(attempt, build_answer())
            while key not in harness.replies:
                harness.now_ms = harness.forwarder.next_wake_ms() + 25.0
                harness.handle(TimePassed())
            took_ms = harness.now_ms - arrived_ms
            harness.now_ms += 2.0
            harness.handle(ReplyWritten(2.0))
        self.assertEqual(1, harness.replies[key].missing)
        self.assertLessEqual(took_ms + 2.0, route.latency_goal_ms)
