"""Test that all instances together send a cold upstream no more than it can take."""

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
from geraniumlead.forwarding import EvacuationSeen, PublishedUpdates
from geraniumlead.routes import PublishedConfiguration, UpstreamService

RATE_PER_S = 3.0
FACTOR = 1.5
SLACK = 5.0
MAX_PER_S = RATE_PER_S * FACTOR + SLACK
COLD_MS = 3_000.0
WAIT_MS = 30.0
"""Long enough to be served, and over before the next request of the same instance."""


class ColdRateLimiterTests(TestCase):
    def build(self, count: int, **upstreams: float) -> list[ForwarderHarness]:
        """Return instances that know each other, with upstreams given by id and cold time."""
        names = [f"entry-{number}" for number in range(count)]
        route = build_route(priority=1)
        service = UpstreamService("reader", 500, RATE_PER_S, COLD_MS)
        found = build_configuration(route)
        configuration = PublishedConfiguration(1, found.routes, {"reader": service})
        records = [build_record(name, cold_left_ms=ms) for name, ms in upstreams.items()]
        fleet = []
        for name in names:
            settings = build_settings(name, cold_factor=FACTOR, cold_slack=SLACK)
            harness = ForwarderHarness(settings, seed=len(fleet))
            harness.run_until(10_000.0)
            harness.forwarder._runner.set_instances(count, names, True)
            harness.handle(build_updates(configuration, *records))
            harness.forwarder._peers._count_due_ms = float("inf")
            fleet.append(harness)
        return fleet

    def send_for(self, fleet: list[ForwarderHarness], seconds: float) -> list[tuple[float, str]]:
        """Send each instance fifty requests a second; return when and where each was forwarded."""
        sent: list[tuple[float, str]] = []
        begin_ms = fleet[0].now_ms
        while fleet[0].now_ms < begin_ms + seconds * 1000.0:
            for harness in fleet:
                harness.run_until(harness.now_ms + 20.0)
                key = len(harness.replies) + 1_000
                for attempt in harness.ask(key, arrived_ms=harness.now_ms, wait_ms=WAIT_MS):
                    sent.append((harness.now_ms, attempt.upstream.upstream_id))
                    harness.end(attempt, build_answer())
        return sent

    def max_in_a_second(self, sent: list[tuple[float, str]], upstream_id: str) -> int:
        times = [at_ms for at_ms, name in sent if name == upstream_id]
        return max((sum(1 for t in times if a <= t < a + 1000.0) for a in times), default=0)

    def test_few_and_many_instances_keep_the_limit_together(self):
        """An upstream starts, and instances with hundreds of requests a second see it idle.

        With more than the few requests that it can take it crashes, restarts, and is cold again:
        callers see it come and go for as long as the load lasts.
        """
        for count in (2, 7, 40):
            with self.subTest(instances=count):
                sent = self.send_for(self.build(count, cold=COLD_MS - 100.0), 2.5)
                highest = self.max_in_a_second(sent, "cold")
                self.assertLessEqual(highest, MAX_PER_S)
                self.assertGreaterEqual(highest, 2)

    def test_a_fleet_that_restarts_keeps_the_limit(self):
        """Guards against processes that each send a cold upstream what their last one has sent."""
        for count in (2, 7, 40):
            with self.subTest(instances=count):
                fleet = self.build(count, cold=COLD_MS - 100.0)
                sent = self.send_for(fleet, 0.5)
                restarted_ms = fleet[0].now_ms
                for number, harness in enumerate(fleet):
                    fleet[number] = self.restart(harness, count)
                sent += self.send_for(fleet, 2.0)
                self.assertLessEqual(self.max_in_a_second(sent, "cold"), MAX_PER_S)
                self.assertTrue(any(at_ms > restarted_ms for at_ms, _ in sent))

    def restart(self, gone: ForwarderHarness, count: int) -> ForwarderHarness:
        """Return a new process of an instance, which knows its peers already."""
        name = gone.forwarder._settings.instance_id
        settings = build_settings(name, cold_factor=FACTOR, cold_slack=SLACK)
        harness = ForwarderHarness(settings, 1, gone.now_ms, is_settled=False)
        names = [f"entry-{number}" for number in range(count)]
        published = gone.forwarder.published
        records = published._upstream_view.usable("reader")
        harness.handle(build_updates(published.configuration, *records))
        harness.forwarder._runner.set_instances(count, names, True)
        harness.forwarder._peers._count_due_ms = float("inf")
        return harness

    def test_a_warm_upstream_gets_its_full_load(self):
        (harness,) = self.build(1, cold=500.0)
        self.assertEqual(1, len(harness.ask(1)))
        self.send_for([harness], 1.0)
        sent = self.send_for([harness], 1.0)
        self.assertGreater(self.max_in_a_second(sent, "cold"), 2 * MAX_PER_S)

    def test_a_data_centre_that_comes_back_is_treated_as_cold(self):
        """The upstreams of a data centre were out of service, and the state they publish lags.

        Requests waited for their return; sent all at once, they would crash all of the upstreams.
        """
        (harness,) = self.build(1, back=0.0)
        out = PublishedUpdates((EvacuationSeen("noord-a", True),), is_snapshot=False)
        back = PublishedUpdates((EvacuationSeen("noord-a", False),), is_snapshot=False)
        harness.handle(out)
        harness.handle(back)
        sent = self.send_for([harness], 2.0)
        self.assertLessEqual(self.max_in_a_second(sent, "back"), MAX_PER_S)
        self.assertGreater(len(sent), 5)

    def test_cold_upstreams_without_a_rate_limit_may_get_any_request(self):
        (harness,) = self.build(1, cold=COLD_MS)
        service = UpstreamService("reader", 500, 0.0, COLD_MS)
        self.assertTrue(
            harness.forwarder._runner.chooser.cold_limiter.may_send("cold", service, 0.0)
        )
