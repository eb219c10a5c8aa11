"""Test the choice of the upstream for a request."""

from collections import Counter
from random import Random
from unittest import TestCase

from core_tests.forwarding.builders import build_record, build_route, build_settings
from geraniumlead.forwarding.relative_rtts import RelativeRtts
from geraniumlead.forwarding.upstream_chooser import UpstreamChooser
from geraniumlead.forwarding.upstream_estimate import MAX_AVOID_MS, UpstreamEstimate
from geraniumlead.published_upstreams import UpstreamView
from geraniumlead.routes import UpstreamService

SERVICE = UpstreamService("reader", 26, 0.0)
STARTED_MS = float("-inf")
MEDIAN_LATENCY_MS = 30.0


class UpstreamChooserTests(TestCase):
    def setUp(self):
        self.upstream_view = UpstreamView()
        settings = build_settings()
        self.relative_rtts = RelativeRtts(settings)
        self.chooser = UpstreamChooser(
            settings, self.upstream_view, self.relative_rtts, Random(3), STARTED_MS
        )
        self.chooser.set_instances(7, ())

    def add(self, *names: str, **changes) -> None:
        for name in names:
            self.upstream_view.put(build_record(name, **changes))

    def choose(self, now_ms: float = 0.0, tried=(), skip_avoided: bool = False) -> str | None:
        upstream = self.chooser.choose(
            build_route(), SERVICE, tried, MEDIAN_LATENCY_MS, now_ms, skip_avoided=skip_avoided
        )
        return None if upstream is None else upstream.upstream_id

    def test_equal_upstreams_share_the_load(self):
        self.add("one", "two")
        counts = Counter(self.choose() for _ in range(200))
        self.assertGreater(min(counts.values()), 60)

    def test_the_own_region_is_preferred(self):
        self.add("near")
        self.add("far", data_centre="zuid-a")
        self.assertEqual({"near"}, {self.choose() for _ in range(50)})

    def test_a_slow_upstream_loses_its_load_after_two_answers(self):
        self.add("slow", "sound")
        estimate = self.chooser.estimate_of("slow")
        for _ in range(2):
            estimate.record_latency(10.0, 0.0)
        self.assertEqual({"sound"}, {self.choose(100.0) for _ in range(50)})

    def test_a_slow_upstream_is_tried_again_after_some_seconds(self):
        self.add("slow")
        self.add("far", data_centre="zuid-a")
        for _ in range(4):
            self.chooser.estimate_of("slow").record_latency(10.0, 0.0)
        self.assertEqual("far", self.choose(100.0))
        self.assertEqual("slow", self.choose(10_000.0))

    def test_one_overdue_call_is_enough_to_avoid_an_upstream(self):
        """An upstream pauses for a quarter of a second, with one call of this instance in progress.

        Further calls would all wait for the end of the pause.
        """
        self.add("paused", "sound")
        self.chooser.estimate_of("paused").record_overdue(0.0)
        self.assertEqual({"sound"}, {self.choose(100.0) for _ in range(50)})
        self.assertIsNone(self.choose(100.0, tried=("sound",), skip_avoided=True))
        self.assertEqual("paused", self.choose(100.0, tried=("sound",)))

    def test_an_upstream_whose_address_was_reused_gets_nothing(self):
        """An upstream is gone, its entry still exists, and another one answers at its address.

        Each further request there is rejected, and is an unnecessary one at the service of the new
        owner. So the upstream is excluded even if there is no other.
        """
        self.add("gone")
        self.chooser.estimate_of("gone").record_address_reused(0.0)
        self.assertIsNone(self.choose(100.0))
        self.assertFalse(self.chooser.has_untried(build_route(), "reader", (), 100.0))
        self.chooser.forget("gone")
        self.assertEqual("gone", self.choose(100.0))

    def test_an_upstream_that_sheds_loses_its_load(self):
        self.add("sheds", "sound")
        for _ in range(2):
            self.chooser.estimate_of("sheds").record_failure(0.0)
        self.assertEqual({"sound"}, {self.choose(10.0) for _ in range(50)})

    def test_no_more_calls_at_once_than_this_instances_connections(self):
        self.add("only")
        self.chooser.estimate_of("only").in_flight = 26 // 7
        self.assertTrue(self.chooser.has_untried(build_route(), "reader", (), 0.0))
        self.assertIsNone(self.choose())

    def test_a_draining_or_evacuated_upstream_gets_nothing(self):
        self.add("drains", is_ready=False)
        self.add("elsewhere", data_centre="zuid-a")
        self.upstream_view.set_evacuated(frozenset({"zuid-a"}))
        self.assertIsNone(self.choose())


class RelativeRttsTests(TestCase):
    def test_the_relative_rtt_is_the_difference_of_the_lowest_latencies(self):
        relative_rtts = RelativeRtts(build_settings())
        for near_ms, far_ms in ((30.0, 70.0), (5.0, 44.0), (12.0, 90.0)):
            relative_rtts.record_latency("noord-a", near_ms, 0.0)
            relative_rtts.record_latency("zuid-a", far_ms, 0.0)
        self.assertEqual(0.0, relative_rtts.relative_rtt_ms("noord-a"))
        self.assertEqual(39.0, relative_rtts.relative_rtt_ms("zuid-a"))

    def test_an_increased_rtt_is_seen_within_two_windows(self):
        relative_rtts = RelativeRtts(build_settings())
        for now_ms, far_ms in ((0.0, 45.0), (11_000.0, 85.0), (22_000.0, 85.0)):
            relative_rtts.record_latency("noord-a", 5.0, now_ms)
            relative_rtts.record_latency("zuid-a", far_ms, now_ms)
        self.assertEqual(80.0, relative_rtts.relative_rtt_ms("zuid-a"))


class UpstreamEstimateTests(TestCase):
    def test_consecutive_problems_double_the_time_until_the_next_try(self):
        """A data centre has no power: its upstreams neither answer nor refuse.

        If they were tried again every quarter of a second, each of them would cost every query a
        second attempt until their entries lapse in the store.
        """
        estimate = UpstreamEstimate()
        now_ms, waits = 0.0, []
        for _ in range(8):
            estimate.record_overdue(now_ms)
            waits.append(estimate.avoid_until_ms - now_ms)
            now_ms = estimate.avoid_until_ms
        self.assertEqual([250.0, 500.0, 1_000.0, 2_000.0], waits[:4])
        self.assertEqual(MAX_AVOID_MS, waits[-1])

    def test_an_answer_ends_the_avoidance(self):
        estimate = UpstreamEstimate()
        estimate.record_overdue(0.0)
        estimate.record_latency(1.0, 100.0)
        self.assertLess(estimate.avoid_until_ms, 100.0)

    def test_calls_sent_before_an_upstream_was_avoided_count_once(self):
        estimate = UpstreamEstimate()
        for _ in range(5):
            estimate.record_overdue(10.0)
        self.assertEqual(260.0, estimate.avoid_until_ms)
