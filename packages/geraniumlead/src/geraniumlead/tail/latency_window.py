"""Keep the latencies of the last seconds in histograms."""

from hdrh.histogram import HdrHistogram

WINDOW_MS = 5_000.0
"""Length of one window: a step in latency shows in full after one to two of them."""

LEAST_SAMPLES = 200
"""Samples below which a high quantile would be one answer's noise."""

REFRESH_MS = 50.0
STEPS_PER_MS = 10
MOST_MS = 120_000
DIGITS = 2


class LatencyWindow:
    """Answer quantiles of the current window, or of the last one until this has enough."""

    __slots__ = ("_cached", "_cached_ms", "_current", "_last", "_least_samples", "_rotated_ms")

    def __init__(self, now_ms: float, least_samples: int = LEAST_SAMPLES) -> None:
        self._least_samples = least_samples
        self._current = HdrHistogram(1, MOST_MS * STEPS_PER_MS, DIGITS)
        self._last = HdrHistogram(1, MOST_MS * STEPS_PER_MS, DIGITS)
        self._rotated_ms = now_ms
        self._cached: dict[float, float | None] = {}
        self._cached_ms = now_ms

    def record(self, latency_ms: float, now_ms: float) -> None:
        """Add a latency; one beyond the range counts as the longest."""
        self._rotate_if_due(now_ms)
        steps = min(MOST_MS, max(0.1, latency_ms)) * STEPS_PER_MS
        self._current.record_value(int(steps))

    def quantile_ms(self, share: float, now_ms: float) -> float | None:
        """Return the latency that ``share`` of the answers stay below; None without samples."""
        self._rotate_if_due(now_ms)
        if now_ms - self._cached_ms > REFRESH_MS:
            self._cached.clear()
            self._cached_ms = now_ms
        if share not in self._cached:
            self._cached[share] = self._compute(share)
        return self._cached[share]

    def _compute(self, share: float) -> float | None:
        for histogram in (self._current, self._last):
            if histogram.get_total_count() >= self._least_samples:
                return histogram.get_value_at_percentile(100.0 * share) / STEPS_PER_MS
        return None

    def _rotate_if_due(self, now_ms: float) -> None:
        if now_ms - self._rotated_ms < WINDOW_MS:
            return
        # After a pause longer than a window the samples in it are old, too.
        if now_ms - self._rotated_ms >= 2.0 * WINDOW_MS:
            self._current.reset()
        self._rotated_ms = now_ms
        self._last, self._current = self._current, self._last
        self._current.reset()
