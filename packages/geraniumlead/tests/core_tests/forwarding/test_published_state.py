"""Test what is noticed of what operators and upstreams publish."""

from unittest import TestCase

from core_tests.forwarding.builders import (
    build_answer,
    build_configuration,
    build_record,
    build_route,
    build_updates,
)
from core_tests.forwarding.harness import ForwarderHarness
from geraniumlead.forwarding import PublishedUpdates, StoreLost, UpstreamWithdrawn
from geraniumlead.routes import PublishedConfiguration, RouteTable, UpstreamService


class LacksUpstreamsTests(TestCase):
    def test_nothing_is_lacking_before_there_is_a_configuration(self):
        self.assertFalse(ForwarderHarness().forwarder.published.lacks_upstreams)

    def test_a_service_of_a_route_without_upstreams_is_lacking(self):
        harness = ForwarderHarness()
        harness.handle(build_updates(build_configuration(build_route())))
        self.assertTrue(harness.forwarder.published.lacks_upstreams)
        harness.handle(build_updates(build_configuration(build_route()), build_record("x")))
        self.assertFalse(harness.forwarder.published.lacks_upstreams)

    def test_a_service_that_no_route_leads_to_is_not_waited_for(self):
        """The configuration names services for an index that is to come.

        Taken for lacking, they made every instance ask the store five times a second after
        each of its outages, at the price of all these calls.
        """
        services = {name: UpstreamService(name, 26, 0.0) for name in ("reader", "to-come")}
        found = PublishedConfiguration(1, RouteTable([build_route()]), services)
        harness = ForwarderHarness()
        harness.handle(build_updates(found, build_record("x")))
        self.assertFalse(harness.forwarder.published.lacks_upstreams)


class ReadingLineTests(TestCase):
    """What an instance knew, how old it was and from whom is told for each reading."""

    def test_a_request_tells_how_old_the_view_was_that_it_was_served_by(self):
        """Guards against a complaint of old routes that no line of the log can explain."""
        harness = ForwarderHarness()
        news = build_updates(build_configuration(build_route()), build_record("x")).updates
        harness.handle(PublishedUpdates(news, False, age_ms=300.0, source="entry-2"))
        harness.now_ms += 900.0
        (attempt,) = harness.ask()
        harness.end(attempt, build_answer())
        lines = {line.name: line.fields for line in harness.logged}
        self.assertEqual(1_200, lines["request"]["view_age_ms"])
        told = {"source": "entry-2", "age_ms": 300.0, "configurations": 1, "upstreams_seen": 1}
        self.assertLessEqual(told.items(), lines["published"].items())

    def test_late_news_of_a_peer_make_no_view_younger_than_it_is(self):
        harness = ForwarderHarness()
        harness.handle(build_updates(build_configuration(build_route()), build_record("x")))
        harness.now_ms += 1_000.0
        harness.handle(PublishedUpdates((), False, age_ms=2_500.0, source="entry-2"))
        self.assertEqual(1_000.0, harness.forwarder.published.view_age_ms(harness.now_ms))


class LapseTests(TestCase):
    def build(self) -> ForwarderHarness:
        harness = ForwarderHarness()
        harness.handle(build_updates(build_configuration(build_route()), build_record("x")))
        return harness

    def withdraw(self, harness: ForwarderHarness, **changes) -> list:
        """Let the upstream's entry go; return what a request then starts."""
        harness.handle(PublishedUpdates((UpstreamWithdrawn("x"),), is_snapshot=False, **changes))
        return harness.ask()

    def test_a_long_silence_counts_from_the_last_answer(self):
        """The store is silent for four seconds, and the entries of living upstreams lapse.

        The watch fails only shortly before its return. Counted from there the outage seemed
        too short for a lapse, and callers were refused until the entries came back.
        """
        harness = self.build()
        harness.now_ms += 4_000.0
        harness.handle(StoreLost("timeout"))
        harness.now_ms += 300.0
        self.assertEqual(1, len(self.withdraw(harness)))

    def test_one_lost_call_delays_no_withdrawal(self):
        harness = self.build()
        harness.now_ms += 500.0
        harness.handle(StoreLost("reset"))
        harness.now_ms += 200.0
        self.assertEqual([], self.withdraw(harness))

    def test_who_hears_of_an_outage_from_another_holds_what_lapsed(self):
        """This instance made no call while the store was away, and a watcher tells what is gone."""
        harness = self.build()
        harness.now_ms += 4_000.0
        self.assertEqual(1, len(self.withdraw(harness, is_after_outage=True)))
