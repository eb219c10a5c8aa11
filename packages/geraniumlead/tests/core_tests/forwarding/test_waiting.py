"""Test who waits for a place at an upstream, and who is refused."""

from unittest import TestCase

from core_tests.forwarding.builders import (
    build_answer,
    build_configuration,
    build_fan_out,
    build_news,
    build_record,
    build_route,
)
from core_tests.forwarding.harness import ForwarderHarness
from geraniumlead.forwarding import RelayedReply
from geraniumlead.forwarding.upstream_chooser import MIN_CONNECTIONS


class WaitingTests(TestCase):
    """Hold an instance that may have three calls at its only upstream."""

    def build(self, *routes) -> ForwarderHarness:
        harness = ForwarderHarness()
        harness.forwarder._runner.set_instances(100, ())
        records = [
            build_record(service, service) for route in routes for service in route.services()
        ]
        harness.handle(build_news(build_configuration(*routes), *records))
        return harness

    def test_a_burst_waits_for_places_instead_of_being_refused(self):
        """Callers who came while the processes were down all come at once.

        Each upstream has a few places for each instance. Refused, all but the first would
        have to come again, though a place is free some milliseconds later.
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

    def test_who_waits_too_long_is_refused_while_it_can_still_be_served(self):
        harness = self.build(build_route())
        for key in range(1, 6):
            harness.ask(key)
        harness.run_until(76.0)
        self.assertEqual({4, 5}, set(harness.replies))
        self.assertEqual({503}, {reply.status for reply in harness.replies.values()})
        for reply in harness.replies.values():
            self.assertGreater(reply.retry_after_ms, 0.0)

    def test_the_more_urgent_route_goes_first(self):
        harness = self.build(
            build_route(name="slow", priority=3),
            build_route(name="urgent", prefix="/urgent/", priority=0),
        )
        first = [attempt for key in range(1, 4) for attempt in harness.ask(key)]
        harness.ask(4)
        harness.ask(5, path="/urgent/1", target="/urgent/1")
        (next_one,) = harness.end(first[0], build_answer())
        self.assertEqual("/urgent/1", next_one.request.target)

    def test_who_can_still_meet_its_goal_goes_before_who_cannot(self):
        """Callers that waited out a loss of power come at once with new ones.

        The old ones' goals have passed and they are glad of any answer in the next second.
        Served first, by their earlier goals, they made all new ones late as well, and the
        queue of late requests outlived the outage by a second.
        """
        harness = self.build(build_route())
        harness.ask(1, wait_ms=1_000.0)
        first = [attempt for key in (2, 3) for attempt in harness.ask(key)]
        harness.ask(4, wait_ms=500.0)
        harness.ask(5, wait_ms=1_000.0)
        (next_one,) = harness.end(first[0], build_answer())
        self.assertEqual("request-5", next_one.request.request_id)

    def test_a_caller_that_leaves_gives_its_turn_away(self):
        harness = self.build(build_route())
        first = [attempt for key in range(1, 4) for attempt in harness.ask(key)]
        harness.ask(4)
        harness.ask(5)
        harness.leave(4)
        (next_one,) = harness.end(first[0], build_answer())
        self.assertEqual("request-5", next_one.request.request_id)

    def test_a_part_that_waits_does_not_hold_the_others(self):
        harness = self.build(build_fan_out(shard_count=2))
        harness.forwarder._runner.chooser.estimate_of("shard-1").in_flight = 3
        (attempt,) = harness.ask()
        harness.end(attempt, build_answer(signature="one"))
        self.assertEqual({}, harness.replies)
        harness.run_until(300.0)
        self.assertEqual(1, harness.replies[1].missing)
