from geraniumlead.tail_latency.latency_window import MIN_SAMPLES, LatencyWindow

MIN_DELAY_MS = 1.0
GIVE_UP_QUANTILE = 0.999
GIVE_UP_FACTOR = 2.0
"""An answer is given up after twice the 99.9th percentile. Fewer than one in a thousand answers are
later, and the cause is then usually a fault that outlasts the deadline."""


class StragglerDetector:
    """Determines when a subquery is late and when to stop waiting, from the latency of its service.

    Load pattern: one of the many shards of a query is late, by chance or because of a fault,
    and determines the latency of the query. A fixed hedge delay is too short when the service
    gets slower, and then doubles the load of a service that is already slow. This delay is the
    quantile that only the share of the hedge budget exceeds, so the budget is used and not
    exceeded.
    """

    __slots__ = ("_min_samples", "_windows")

    def __init__(self, min_samples: int = MIN_SAMPLES) -> None:
        self._min_samples = min_samples
        self._windows: dict[str, LatencyWindow] = {}

    def record(self, service: str, latency_ms: float, now_ms: float) -> None:
        """Record the latency of an answer, or of a late call that was cancelled."""
        window = self._windows.get(service)
        if window is None:
            window = self._windows[service] = LatencyWindow(now_ms, self._min_samples)
        window.record(latency_ms, now_ms)

    def delay_ms(self, service: str, hedge_share: float, now_ms: float) -> float | None:
        """Return the time after which a subquery is late, or None with too few samples."""
        window = self._windows.get(service)
        if window is None:
            return None
        delay_ms = window.quantile_ms(1.0 - hedge_share, now_ms)
        return None if delay_ms is None else max(MIN_DELAY_MS, delay_ms)

    def give_up_ms(self, service: str, now_ms: float) -> float | None:
        """Return the time after which no answer is expected, or None with too few samples."""
        window = self._windows.get(service)
        if window is None:
            return None
        quantile_ms = window.quantile_ms(GIVE_UP_QUANTILE, now_ms)
        return None if quantile_ms is None else GIVE_UP_FACTOR * quantile_ms
