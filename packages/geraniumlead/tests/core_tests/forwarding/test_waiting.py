"""Test which requests wait for a call slot at an upstream, and which are refused."""

from unittest import TestCase

from core_tests.forwarding.builders import (
    build_answer,
    build_configuration,
    build_fan_out,
    build_record,
    build_route,
    build_updates,
)
from core_tests.forwarding.harness import ForwarderHarness
from geraniumlead.forwarding import RelayedReply
from geraniumlead.forwarding.upstream_chooser import MIN_CONNECTIONS


class WaitingTests(TestCase):
    """An instance with three call slots at its only upstream."""

    def build(self, *routes) -> ForwarderHarness:
        harness = ForwarderHarness()
        harness.forwarder._runner.set_instances(100, (), True)
        records = [
            build_record(service, service) for route in routes for service in route.services()
        ]
        harness.handle(build_updates(build_configuration(*routes), *records))
        return harness

    def test_a_burst_waits_for_call_slots_instead_of_being_refused(self):
        """Requests that were held up while the processes were down arrive all at once.

        Each upstream has a few call slots for each instance. If the others were refused, all but
        the first would have to be retried, although a slot is free some milliseconds later.
        """
        harness = self.build(build_route())
        started = [attempt for key in range(1, 7) for attempt in harness.ask(key)]
        self.assertEqual(MIN_CONNECTIONS, len(started))
        while started:
            harness.now_ms += 20.0
            started += harness.end(started.pop(0), build_answer())
        self.assertEqual(6, len(harness.replies))
        for reply in harness.replies.values():
            self.assertIsInstance(reply, RelayedReply)

    def test_a_long_wait_ends_with_a_refusal_in_time_for_another_instance(self):
        harness = self.build(build_route())
        for key in range(1, 6):
            harness.ask(key)
        harness.run_until(76.0)
        self.assertEqual({4, 5}, set(harness.replies))
        self.assertEqual({503}, {reply.status for reply in harness.replies.values()})
        for reply in harness.replies.values():
            self.assertGreater(reply.retry_after_ms, 0.0)

    def test_the_route_with_the_higher_priority_is_served_first(self):
        harness = self.build(
            build_route(name="slow", priority=3),
            build_route(name="urgent", prefix="/urgent/", priority=0),
        )
        first = [attempt for key in range(1, 4) for attempt in harness.ask(key)]
        harness.ask(4)
        harness.ask(5, path="/urgent/1", target="/urgent/1")
        (next_one,) = harness.end(first[0], build_answer())
        self.assertEqual("/urgent/1", next_one.request.target)

    def test_requests_that_can_meet_their_goal_are_served_first(self):
        """Requests that were delayed by a power failure arrive at once with new ones.

        The goals of the old requests have passed, but any answer in the next second is still of
        use to their callers. Served first, by their earlier goals, they made all new requests late
        as well, and the queue of late requests lasted a second longer than the outage.
        """
        harness = self.build(build_route())
        harness.ask(1, wait_ms=1_000.0)
        first = [attempt for key in (2, 3) for attempt in harness.ask(key)]
        harness.ask(4, wait_ms=500.0)
        harness.ask(5, wait_ms=1_000.0)
        (next_one,) = harness.end(first[0], build_answer())
        self.assertEqual("request-5", next_one.request.request_id)

    def test_a_request_whose_caller_disconnects_leaves_the_queue(self):
        harness = self.build(build_route())
        first = [attempt for key in range(1, 4) for attempt in harness.ask(key)]
        harness.ask(4)
        harness.ask(5)
        harness.leave(4)
        (next_one,) = harness.end(first[0], build_answer())
        self.assertEqual("request-5", next_one.request.request_id)

    def test_a_waiting_subrequest_does_not_block_the_others(self):
        harness = self.build(build_fan_out(shard_count=2))
        harness.forwarder._runner.chooser.estimate_of("shard-1").in_flight = 3
        (attempt,) = harness.ask()
        harness.end(attempt, build_answer(signature="one"))
        self.assertEqual({}, harness.replies)
        harness.run_until(300.0)
        self.assertEqual(1, harness.replies[1].missing)
