"""Test which upstream a request goes to."""

from collections import Counter
from random import Random
from unittest import TestCase

from core_tests.forwarding.builders import build_record, build_route, build_settings
from geraniumlead.fleet import FleetView
from geraniumlead.forwarding.relative_rtts import RelativeRtts
from geraniumlead.forwarding.upstream_chooser import UpstreamChooser
from geraniumlead.forwarding.upstream_estimate import MOST_AVOID_MS, UpstreamEstimate
from geraniumlead.routes import UpstreamService

SERVICE = UpstreamService("reader", 26, 0.0)
USUAL_MS = 30.0


class UpstreamChooserTests(TestCase):
    def setUp(self):
        self.fleet = FleetView()
        settings = build_settings()
        self.ways = RelativeRtts(settings)
        self.chooser = UpstreamChooser(settings, self.fleet, self.ways, Random(3))
        self.chooser.set_instances(7, ())

    def add(self, *names: str, **changes) -> None:
        for name in names:
            self.fleet.put(build_record(name, **changes))

    def choose(self, now_ms: float = 0.0, tried=(), only_good: bool = False) -> str | None:
        found = self.chooser.choose(
            build_route(), SERVICE, tried, USUAL_MS, now_ms, only_good=only_good
        )
        return None if found is None else found.upstream_id

    def test_equals_share_the_load(self):
        self.add("one", "two")
        counts = Counter(self.choose() for _ in range(200))
        self.assertGreater(min(counts.values()), 60)

    def test_the_own_region_comes_first(self):
        self.add("near")
        self.add("far", data_centre="zuid-a")
        self.assertEqual({"near"}, {self.choose() for _ in range(50)})

    def test_a_slow_upstream_loses_its_load_after_two_answers(self):
        self.add("slow", "sound")
        estimate = self.chooser.estimate_of("slow")
        for _ in range(2):
            estimate.note_latency(10.0, 0.0)
        self.assertEqual({"sound"}, {self.choose(100.0) for _ in range(50)})

    def test_a_slow_upstream_is_tried_again_after_some_seconds(self):
        self.add("slow")
        self.add("far", data_centre="zuid-a")
        for _ in range(4):
            self.chooser.estimate_of("slow").note_latency(10.0, 0.0)
        self.assertEqual("far", self.choose(100.0))
        self.assertEqual("slow", self.choose(10_000.0))

    def test_an_overdue_call_is_enough_to_pass_an_upstream_over(self):
        """An upstream pauses for a quarter of a second, with one call of this instance at it.

        Calls that follow would all wait for the end of the pause.
        """
        self.add("paused", "sound")
        self.chooser.estimate_of("paused").note_overdue(0.0)
        self.assertEqual({"sound"}, {self.choose(100.0) for _ in range(50)})
        self.assertIsNone(self.choose(100.0, tried=("sound",), only_good=True))
        self.assertEqual("paused", self.choose(100.0, tried=("sound",)))

    def test_an_address_that_was_given_away_gets_nothing_more(self):
        """An upstream is gone, its entry stands, and another one answers at its address.

        Each further request there is rejected, and is one too many at the new owner's
        service; so it is left out even where nothing else is there.
        """
        self.add("gone")
        self.chooser.estimate_of("gone").note_gone(0.0)
        self.assertIsNone(self.choose(100.0))
        self.assertFalse(self.chooser.has_untried(build_route(), "reader", (), 100.0))
        self.chooser.forget("gone")
        self.assertEqual("gone", self.choose(100.0))

    def test_an_upstream_that_sheds_loses_its_load(self):
        self.add("sheds", "sound")
        for _ in range(2):
            self.chooser.estimate_of("sheds").note_failure(0.0)
        self.assertEqual({"sound"}, {self.choose(10.0) for _ in range(50)})

    def test_no_more_calls_at_once_than_this_instances_connections(self):
        self.add("only")
        self.chooser.estimate_of("only").in_flight = 26 // 7
        self.assertTrue(self.chooser.has_untried(build_route(), "reader", (), 0.0))
        self.assertIsNone(self.choose())

    def test_a_draining_or_evacuated_upstream_gets_nothing(self):
        self.add("drains", is_ready=False)
        self.add("elsewhere", data_centre="zuid-a")
        self.fleet.set_evacuated(frozenset({"zuid-a"}))
        self.assertIsNone(self.choose())


class DataCentreWaysTests(TestCase):
    def test_the_way_is_what_the_quickest_answers_differ_by(self):
        ways = RelativeRtts(build_settings())
        for near_ms, far_ms in ((30.0, 70.0), (5.0, 44.0), (12.0, 90.0)):
            ways.note("noord-a", near_ms, 0.0)
            ways.note("zuid-a", far_ms, 0.0)
        self.assertEqual(0.0, ways.relative_rtt_ms("noord-a"))
        self.assertEqual(39.0, ways.relative_rtt_ms("zuid-a"))

    def test_a_way_that_got_longer_is_learnt_within_two_windows(self):
        ways = RelativeRtts(build_settings())
        for now_ms, far_ms in ((0.0, 45.0), (11_000.0, 85.0), (22_000.0, 85.0)):
            ways.note("noord-a", 5.0, now_ms)
            ways.note("zuid-a", far_ms, now_ms)
        self.assertEqual(80.0, ways.relative_rtt_ms("zuid-a"))


class UpstreamEstimateTests(TestCase):
    def test_trouble_in_a_row_doubles_the_time_until_the_next_try(self):
        """A data centre is without power: its upstreams neither answer nor refuse.

        Tried again each quarter of a second, each of them would cost every query a second
        attempt until the store forgets them.
        """
        estimate = UpstreamEstimate()
        now_ms, waits = 0.0, []
        for _ in range(8):
            estimate.note_overdue(now_ms)
            waits.append(estimate.avoid_until_ms - now_ms)
            now_ms = estimate.avoid_until_ms
        self.assertEqual([250.0, 500.0, 1_000.0, 2_000.0], waits[:4])
        self.assertEqual(MOST_AVOID_MS, waits[-1])

    def test_an_answer_ends_the_avoidance(self):
        estimate = UpstreamEstimate()
        estimate.note_overdue(0.0)
        estimate.note_latency(1.0, 100.0)
        self.assertLess(estimate.avoid_until_ms, 100.0)

    def test_calls_sent_before_an_upstream_was_passed_over_count_once(self):
        estimate = UpstreamEstimate()
        for _ in range(5):
            estimate.note_overdue(10.0)
        self.assertEqual(260.0, estimate.avoid_until_ms)
