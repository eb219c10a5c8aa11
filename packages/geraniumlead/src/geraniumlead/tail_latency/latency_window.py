from hdrh.histogram import HdrHistogram

WINDOW_MS = 5_000.0
"""Length of one window. A step in latency is fully visible after one to two windows."""

MIN_SAMPLES = 200
"""Number of samples below which a single answer would decide a high quantile."""

CACHE_LIFETIME_MS = 50.0
STEPS_PER_MS = 10
MAX_LATENCY_MS = 120_000
SIGNIFICANT_DIGITS = 2


class LatencyWindow:
    """Latency quantiles of the current window, or of the previous one if samples are too few."""

    __slots__ = (
        "_cached",
        "_cached_at_ms",
        "_current",
        "_min_samples",
        "_previous",
        "_rotated_at_ms",
    )

    def __init__(self, now_ms: float, min_samples: int = MIN_SAMPLES) -> None:
        self._min_samples = min_samples
        self._current = HdrHistogram(1, MAX_LATENCY_MS * STEPS_PER_MS, SIGNIFICANT_DIGITS)
        self._previous = HdrHistogram(1, MAX_LATENCY_MS * STEPS_PER_MS, SIGNIFICANT_DIGITS)
        self._rotated_at_ms = now_ms
        self._cached: dict[float, float | None] = {}
        self._cached_at_ms = now_ms

    def record(self, latency_ms: float, now_ms: float) -> None:
        """Record a latency. A latency outside the range is clamped."""
        self._rotate_if_due(now_ms)
        steps = min(MAX_LATENCY_MS, max(0.1, latency_ms)) * STEPS_PER_MS
        self._current.record_value(int(steps))

    def quantile_ms(self, quantile: float, now_ms: float) -> float | None:
        """Return a quantile (0 to 1) of the latency, or None if there are too few samples."""
        self._rotate_if_due(now_ms)
        if now_ms - self._cached_at_ms > CACHE_LIFETIME_MS:
            self._cached.clear()
            self._cached_at_ms = now_ms
        if quantile not in self._cached:
            self._cached[quantile] = self._compute_quantile(quantile)
        return self._cached[quantile]

    def _compute_quantile(self, quantile: float) -> float | None:
        for histogram in (self._current, self._previous):
            if histogram.get_total_count() >= self._min_samples:
                return histogram.get_value_at_percentile(100.0 * quantile) / STEPS_PER_MS
        return None

    def _rotate_if_due(self, now_ms: float) -> None:
        if now_ms - self._rotated_at_ms < WINDOW_MS:
            return
        # After two windows without a rotation the current samples are too old as well.
        if now_ms - self._rotated_at_ms >= 2.0 * WINDOW_MS:
            self._current.reset()
        self._rotated_at_ms = now_ms
        self._previous, self._current = self._current, self._previous
        self._current.reset()
