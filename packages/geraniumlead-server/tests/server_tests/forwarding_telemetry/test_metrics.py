"""Tests of the metrics that are recorded from decisions."""

from random import Random
from unittest import TestCase

from opentelemetry.sdk.metrics.export import InMemoryMetricReader

from geraniumlead.forwarding import Forwarder, ForwardingSettings, LogDecision
from geraniumlead_server.forwarding_telemetry.metrics import ForwardingMetrics

LINE = {"route": "pages", "status": 200, "reason": "answered", "latency_ms": 20.0}


class ForwardingMetricsTests(TestCase):
    def setUp(self):
        settings = ForwardingSettings(
            instance_id="entry-1",
            data_centre="noord-a",
            address="10.1.0.1:1",
            regions={"noord-a": "noord"},
            extra_share=0.2,
            extra_slack=50.0,
        )
        self.reader = InMemoryMetricReader()
        forwarder = Forwarder(settings, Random(1))
        self.metrics = ForwardingMetrics(forwarder, self.reader, lambda: 0.0)

    def read(self, name: str) -> list:
        data = self.reader.get_metrics_data()
        found = data.resource_metrics[0].scope_metrics[0].metrics
        return [
            point for metric in found if metric.name == name for point in metric.data.data_points
        ]

    def test_overruns_are_counted_by_route_and_waits_by_source(self):
        """Guards against upstreams that work for callers who have left, unseen by operators."""
        self.metrics.observe(LogDecision("request", LINE | {"waited_ms": 3.0}))
        at_peer = {"waited_ms": 1_500.0, "is_delegated": True, "overruns": 7, "overrun_ms": 900.0}
        self.metrics.observe(LogDecision("request", LINE | at_peer))
        waits = {
            point.attributes["source"]: point.sum
            for point in self.read("geraniumlead_request_wait")
        }
        self.assertEqual({"caller": 3.0, "peer": 1_500.0}, waits)
        (overruns,) = self.read("geraniumlead_deadline_overruns")
        self.assertEqual((7, "pages"), (overruns.value, overruns.attributes["route"]))

    def test_strikes_notices_and_refusals_are_counted_by_event(self):
        """Guards against a request that crashes upstreams on and on, unseen by operators."""
        self.metrics.observe(LogDecision("crash_strike", {"strikes": 1}, "warning"))
        self.metrics.observe(LogDecision("crash_notice", {"strikes": 2}))
        refusal = {"status": 503, "reason": "crashes_upstreams", "route": "pages"}
        self.metrics.observe(LogDecision("request", refusal, "warning"))
        events = {
            point.attributes["event"]: point.value
            for point in self.read("geraniumlead_crash_events")
        }
        self.assertEqual({"crash_strike": 1, "crash_notice": 1, "refused": 1}, events)
        self.assertEqual([], self.read("geraniumlead_view_changes"))
        (suspects,) = self.read("geraniumlead_crash_suspects")
        self.assertEqual(0, suspects.value)

    def test_messages_of_processes_that_are_gone_are_counted_by_kind_and_reason(self):
        """Guards against dropped messages between instances that nobody sees."""
        fields = {"kind": "DelegatedReply", "reason": "for an earlier process"}
        for _ in range(2):
            self.metrics.observe(LogDecision("peer_message_dropped", fields, "warning"))
        (point,) = self.read("geraniumlead_peer_messages_dropped")
        self.assertEqual((2, fields), (point.value, dict(point.attributes)))

    def test_returns_of_the_store_are_counted_by_cause(self):
        """Guards against removals that are held up for a reason that nobody can tell."""
        for cause in ("outage", "first read", "first read"):
            self.metrics.observe(LogDecision("store_returned", {"cause": cause}))
        points = self.read("geraniumlead_store_returns")
        counts = {point.attributes["cause"]: point.value for point in points}
        self.assertEqual({"outage": 1, "first read": 2}, counts)

    def test_extra_attempts_are_counted_by_service_and_cause(self):
        """Guards against repeats that pile up at one service, unseen by operators."""
        services = {"shard-1": {"late": 2, "denied": 5, "left": 0.3}, "shard-2": {"failed": 1}}
        for _ in range(2):
            self.metrics.observe(LogDecision("extra_attempts", {"services": services}))
        counts = {
            (point.attributes["service"], point.attributes["cause"]): point.value
            for point in self.read("geraniumlead_extra_attempts_by_cause")
        }
        expected = {("shard-1", "late"): 4, ("shard-1", "denied"): 10, ("shard-2", "failed"): 2}
        self.assertEqual(expected, counts)
        self.assertEqual([], self.read("geraniumlead_view_changes"))
