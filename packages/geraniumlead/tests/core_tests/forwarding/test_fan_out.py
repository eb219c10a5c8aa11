"""Test requests that go to one upstream of each shard."""

from unittest import TestCase
from unittest.mock import patch

from core_tests.forwarding.builders import (
    build_answer,
    build_configuration,
    build_fan_out,
    build_record,
    build_updates,
)
from core_tests.forwarding.harness import ForwarderHarness
from geraniumlead.forwarding import MergedReply, NotReached, PossiblyExecuted
from geraniumlead.forwarding.lateness_estimator import LatenessEstimator

LOW, MIDDLE, HIGH = (bytes([value]) * 16 for value in (1, 5, 9))


class FanOutTests(TestCase):
    def build(self, replicas: int = 2, **changes) -> ForwarderHarness:
        harness = ForwarderHarness()
        route = build_fan_out(**changes)
        records = [
            build_record(f"{shard}.{number}", shard)
            for shard in route.services()
            for number in range(replicas)
        ]
        harness.handle(build_updates(build_configuration(route), *records))
        return harness

    def test_the_greatest_records_of_all_shards_come_first(self):
        harness = self.build()
        bodies = [LOW + HIGH, MIDDLE + b"rest", HIGH, LOW]
        for attempt, body in zip(harness.ask(), bodies, strict=True):
            harness.end(attempt, build_answer(body, signature=attempt.upstream.service))
        reply = harness.replies[1]
        self.assertEqual(HIGH + HIGH + MIDDLE, reply.records)
        self.assertEqual(0, reply.missing)
        self.assertEqual({"shard-0", "shard-1", "shard-2", "shard-3"}, set(reply.signatures))

    def test_long_answers_are_kept_only_as_far_as_the_reply_needs_them(self):
        """Guards against a query whose shards each answer as much as one answer may have."""
        harness = self.build()
        long = LOW * 2_000 + HIGH + MIDDLE * 2_000
        attempts = harness.ask()
        for attempt in attempts[:3]:
            harness.end(attempt, build_answer(long, signature=attempt.upstream.service))
        (open_request,) = harness.forwarder._runner._open.values()
        answers = [item.answer for item in open_request.subrequests if item.answer is not None]
        self.assertEqual([48, 48, 48], [len(answer.body) for answer in answers])
        harness.end(attempts[3], build_answer(LOW, signature="shard-3"))
        self.assertEqual(HIGH * 3, harness.replies[1].records)

    def test_the_work_per_answer_does_not_grow_with_the_shards(self):
        """A query goes to 135 shards, and their answers arrive one by one.

        When each answer iterated over all open shards to set the next timer, a query took 40 ms
        of CPU time on its instance, and callers got their replies after the goal.
        """
        harness = self.build(shard_count=135)
        with patch.object(
            LatenessEstimator, "late_ms", autospec=True, side_effect=LatenessEstimator.late_ms
        ) as seen:
            for attempt in harness.ask():
                harness.now_ms += 0.1
                harness.end(attempt, build_answer())
        self.assertEqual(0, harness.replies[1].missing)
        self.assertLessEqual(seen.call_count, 3 * 135)

    def test_a_slow_first_query_is_not_sent_twice(self):
        """An instance opens a connection to each of forty shards for its first query.

        All subrequests take longer than the initial estimate allows. Sent again, they doubled the
        load of upstreams that had to accept connections of a whole fleet that was starting.
        """
        harness = self.build(shard_count=40)
        attempts = harness.ask()
        self.assertEqual([], harness.run_until(140.0))
        for attempt in attempts[:38]:
            harness.end(attempt, build_answer())
        self.assertEqual(2, len(harness.run_until(200.0)))

    def test_the_goal_ends_the_wait_if_enough_shards_have_answered(self):
        """One shard hangs. If enough of the others have answered, the reply is sent at the goal.

        Waiting for the last one would make a reply late that could be in time.
        """
        harness = self.build(replicas=1)
        for attempt in harness.ask()[:3]:
            harness.end(attempt, build_answer(HIGH, signature=attempt.upstream.service))
        harness.run_until(299.0)
        reply = harness.replies[1]
        self.assertIsInstance(reply, MergedReply)
        self.assertEqual(1, reply.missing)
        self.assertEqual(1, len(harness.cancelled))

    def test_with_too_few_answers_the_wait_continues_after_the_goal(self):
        harness = self.build(replicas=1, min_share=0.75)
        attempts = harness.ask()
        for attempt in attempts[:2]:
            harness.end(attempt, build_answer(HIGH, signature=attempt.upstream.service))
        harness.run_until(500.0)
        self.assertEqual({}, harness.replies)
        harness.end(attempts[2], build_answer(HIGH, signature="third"))
        self.assertEqual(1, harness.replies[1].missing)

    def test_a_query_that_cannot_get_enough_ends_at_once(self):
        harness = self.build(replicas=1, min_share=0.75)
        first, second, *_ = harness.ask()
        harness.end(first, PossiblyExecuted("reset"))
        harness.end(second, PossiblyExecuted("reset"))
        self.assertEqual(502, harness.replies[1].status)
        self.assertEqual(2, len(harness.cancelled))

    def test_shards_without_upstreams_refuse_the_query_before_anything_is_sent(self):
        """Half of the shards have no upstream left.

        This is known before anything is sent, so the caller is refused at once, with the time
        after which to retry and the guarantee that nothing was executed.
        """
        harness = ForwarderHarness()
        route = build_fan_out(min_share=0.75)
        records = [build_record("only", "shard-0")]
        harness.handle(build_updates(build_configuration(route), *records))
        self.assertEqual([], harness.ask())
        self.assertEqual(503, harness.replies[1].status)

    def test_a_late_subrequest_is_hedged_and_the_slower_attempt_cancelled(self):
        harness = self.build()
        attempts = harness.ask()
        for attempt in attempts[:3]:
            harness.end(attempt, build_answer(HIGH, signature=attempt.upstream.service))
        (second,) = harness.run_until(200.0)
        self.assertEqual(attempts[3].upstream.service, second.upstream.service)
        self.assertNotEqual(attempts[3].upstream.upstream_id, second.upstream.upstream_id)
        harness.end(second, build_answer(LOW, signature="late"))
        self.assertEqual(0, harness.replies[1].missing)
        self.assertEqual([attempts[3].attempt_id], harness.cancelled)

    def test_an_unreachable_upstream_costs_no_budget(self):
        harness = self.build()
        first = harness.ask()[0]
        (second,) = harness.end(first, NotReached("refused"))
        self.assertEqual(first.upstream.service, second.upstream.service)

    def test_a_new_configuration_does_not_affect_open_queries(self):
        """The index is divided into different shards while a query runs.

        An answer with shards of both sets would match no version of the configuration.
        """
        harness = self.build(replicas=1)
        attempts = harness.ask()
        newer = build_configuration(build_fan_out(shard_count=2), version=2)
        harness.handle(build_updates(newer, is_snapshot=False))
        for attempt in attempts:
            harness.end(attempt, build_answer(HIGH, signature=attempt.upstream.service))
        self.assertEqual(4, len(harness.replies[1].signatures))


class FanOutBudgetTests(TestCase):
    def test_late_subrequests_of_many_queries_stay_within_the_budget(self):
        """All upstreams become slow at once, and every subrequest of every query is late.

        Unbounded second attempts would double the load of upstreams that are already overloaded.
        """
        harness = ForwarderHarness()
        harness.forwarder._runner.set_instances(1, (), True)
        route = build_fan_out(shard_count=1, min_share=1.0)
        records = [build_record(f"only.{number}", "shard-0") for number in range(60)]
        harness.handle(build_updates(build_configuration(route), *records))
        for key in range(1, 401):
            harness.ask(key)
            harness.run_until(harness.now_ms + 20.0)
        arrivals = len(harness.started)
        self.assertGreater(arrivals, 400)
        self.assertLessEqual(arrivals - 400, 0.2 * 400 + 50)
