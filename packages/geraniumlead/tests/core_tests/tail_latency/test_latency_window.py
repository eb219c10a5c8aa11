"""Test how quickly the quantiles follow a change in latency."""

from unittest import TestCase

from geraniumlead.tail_latency import LatencyWindow, StragglerDetector
from geraniumlead.tail_latency.latency_window import MIN_SAMPLES, WINDOW_MS


def record_latencies(
    window: LatencyWindow, latency_ms: float, start_ms: float, for_ms: float
) -> float:
    now_ms = start_ms
    while now_ms < start_ms + for_ms:
        window.record(latency_ms, now_ms)
        now_ms += 5.0
    return now_ms


class LatencyWindowTests(TestCase):
    def test_few_samples_give_no_quantile(self):
        window = LatencyWindow(0.0)
        for _ in range(MIN_SAMPLES - 1):
            window.record(4.0, 0.0)
        self.assertIsNone(window.quantile_ms(0.98, 100.0))
        window.record(4.0, 100.0)
        self.assertAlmostEqual(4.0, window.quantile_ms(0.98, 200.0), delta=0.1)

    def test_step_up_and_down_shows_within_two_windows(self):
        window = LatencyWindow(0.0)
        now_ms = record_latencies(window, 4.0, 0.0, 2.0 * WINDOW_MS)
        now_ms = record_latencies(window, 40.0, now_ms, 2.0 * WINDOW_MS)
        self.assertAlmostEqual(40.0, window.quantile_ms(0.5, now_ms), delta=1.0)
        now_ms = record_latencies(window, 4.0, now_ms, 2.0 * WINDOW_MS)
        self.assertAlmostEqual(4.0, window.quantile_ms(0.99, now_ms), delta=0.1)

    def test_samples_from_before_a_pause_are_forgotten(self):
        window = LatencyWindow(0.0)
        record_latencies(window, 4.0, 0.0, WINDOW_MS - 10.0)
        self.assertIsNone(window.quantile_ms(0.5, 3.0 * WINDOW_MS))

    def test_hedge_delay_leaves_just_the_budget_above_it(self):
        detector = StragglerDetector()
        for number in range(1_000):
            detector.record("ledger", 1.0 + number / 100.0, 0.0)
        self.assertAlmostEqual(10.8, detector.delay_ms("ledger", 0.02, 100.0), delta=0.2)
        self.assertIsNone(detector.delay_ms("archive", 0.02, 100.0))
