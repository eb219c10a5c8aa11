"""Test how an instance follows what operators and upstreams publish."""

from unittest import TestCase

from core_tests.forwarding.builders import (
    build_answer,
    build_configuration,
    build_record,
    build_route,
    build_updates,
)
from core_tests.forwarding.harness import ForwarderHarness
from geraniumlead.forwarding import (
    ConfigurationSeen,
    EvacuationSeen,
    PublishedUpdates,
    StoreLost,
    UpstreamSeen,
    UpstreamWithdrawn,
)
from geraniumlead.peering import ReturnCause, StoreReturn
from geraniumlead.published_upstreams import LAPSE_HOLD_MS
from geraniumlead.routes import PublishedConfiguration, RouteTable, UpstreamService


class LacksUpstreamsTests(TestCase):
    def test_nothing_is_lacking_without_a_configuration(self):
        self.assertFalse(ForwarderHarness().forwarder.published.lacks_upstreams)

    def test_a_service_of_a_route_without_upstreams_is_lacking(self):
        harness = ForwarderHarness()
        harness.handle(build_updates(build_configuration(build_route())))
        self.assertTrue(harness.forwarder.published.lacks_upstreams)
        harness.handle(build_updates(build_configuration(build_route()), build_record("x")))
        self.assertFalse(harness.forwarder.published.lacks_upstreams)

    def test_a_service_without_a_route_is_not_lacking(self):
        """The configuration has services for an index that does not exist yet.

        If they counted as lacking upstreams, every instance would call the store five times a
        second after each of its outages, and each of these calls has a cost.
        """
        services = {name: UpstreamService(name, 26, 0.0) for name in ("reader", "to-come")}
        configuration = PublishedConfiguration(1, RouteTable([build_route()]), services)
        harness = ForwarderHarness()
        harness.handle(build_updates(configuration, build_record("x")))
        self.assertFalse(harness.forwarder.published.lacks_upstreams)


class ReadLogTests(TestCase):
    """Each read is logged with what it contained, how old it was and where it came from."""

    def test_a_request_is_logged_with_the_age_of_its_view(self):
        """Guards against complaints about outdated routes that no log entry can explain."""
        harness = ForwarderHarness()
        updates = build_updates(build_configuration(build_route()), build_record("x")).updates
        harness.handle(PublishedUpdates(updates, False, age_ms=300.0, source="entry-2"))
        harness.now_ms += 900.0
        (attempt,) = harness.ask()
        harness.end(attempt, build_answer())
        lines = {line.name: line.fields for line in harness.logged}
        self.assertEqual(1_200, lines["request"]["view_age_ms"])
        expected = {"source": "entry-2", "age_ms": 300.0, "configurations": 1, "upstreams_seen": 1}
        self.assertLessEqual(expected.items(), lines["published"].items())

    def test_late_updates_of_a_peer_do_not_make_the_view_look_newer(self):
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
        """Withdraw the upstream's entry; return the attempts that a request then starts."""
        harness.handle(PublishedUpdates((UpstreamWithdrawn("x"),), is_snapshot=False, **changes))
        return harness.ask()

    def test_one_failed_call_delays_no_withdrawal(self):
        harness = self.build()
        harness.now_ms += 500.0
        harness.handle(StoreLost("reset"))
        harness.now_ms += 200.0
        self.assertEqual([], self.withdraw(harness))

    def test_entries_that_lapsed_in_an_outage_are_held(self):
        harness = self.build()
        harness.now_ms += 4_000.0
        self.assertEqual(1, len(self.withdraw(harness, returned_age_ms=0.0)))

    def test_news_of_an_outage_that_is_over_for_long_holds_nothing(self):
        """Guards against a late message that holds up the removal of an upstream that is gone."""
        harness = self.build()
        harness.now_ms += 4_000.0
        self.assertEqual([], self.withdraw(harness, returned_age_ms=LAPSE_HOLD_MS))

    def test_configuration_evacuation_and_draining_do_not_wait_for_a_hold(self):
        """Guards against an outage that delays more than the removal of entries."""
        harness = self.build()
        harness.handle(PublishedUpdates((), is_snapshot=False, returned_age_ms=0.0))
        draining = UpstreamSeen(build_record("x", is_ready=False))
        harness.handle(PublishedUpdates((draining,), is_snapshot=False))
        self.assertEqual([], harness.ask(1))
        harness.handle(PublishedUpdates((UpstreamSeen(build_record("x")),), is_snapshot=False))
        self.assertEqual(1, len(harness.ask(2)))
        evacuated = EvacuationSeen("noord-a", True)
        harness.handle(PublishedUpdates((evacuated,), is_snapshot=False))
        self.assertEqual([], harness.ask(3))
        routes = build_configuration(build_route(host="other.example"), version=2)
        harness.handle(PublishedUpdates((ConfigurationSeen(routes),), is_snapshot=False))
        harness.ask(4)
        self.assertEqual("no_route", harness.replies[4].reason)

    def test_what_looks_like_a_return_of_the_store_is_logged_with_its_cause(self):
        """Guards against a hold of which nobody can tell where it came from."""
        harness = self.build()
        found = StoreReturn(ReturnCause.PEER_OUTAGE, 4_000.0)
        harness.handle(PublishedUpdates((), False, source="entry-2", store_return=found))
        (line,) = [line for line in harness.logged if line.name == "store_returned"]
        expected = {"cause": "outage seen by a peer", "unknown_ms": 4_000.0, "source": "entry-2"}
        self.assertEqual(expected, line.fields)
