"""Say from latencies seen when a subquery is late, and when it is beyond reach."""

from geraniumlead.tail.latency_window import LEAST_SAMPLES, LatencyWindow

LEAST_DELAY_MS = 1.0
REACH_QUANTILE = 0.999
REACH_FACTOR = 2.0
"""An answer later than twice the 99.9th percentile: fewer than one in a thousand come at all,
and what comes so late has usually met a fault that no wait within the deadline mends."""


class StragglerClock:
    """Hold one latency window for each service.

    Load pattern: of the many shards of a query one is late, by chance or by a fault, and
    sets the latency of all. A fixed delay is too early when the service gets slower, and
    then doubles the load of what is slow already. The delay is the quantile beyond which
    just the share of the hedge budget lies, so that the budget is used and not exceeded.
    """

    __slots__ = ("_least_samples", "_windows")

    def __init__(self, least_samples: int = LEAST_SAMPLES) -> None:
        self._least_samples = least_samples
        self._windows: dict[str, LatencyWindow] = {}

    def record(self, service: str, latency_ms: float, now_ms: float) -> None:
        """Learn from an answer, or from a late call that was cancelled."""
        window = self._windows.get(service)
        if window is None:
            window = self._windows[service] = LatencyWindow(now_ms, self._least_samples)
        window.record(latency_ms, now_ms)

    def delay_ms(self, service: str, hedge_share: float, now_ms: float) -> float | None:
        """Return after which time a subquery is late; None while too little is known."""
        window = self._windows.get(service)
        if window is None:
            return None
        delay_ms = window.quantile_ms(1.0 - hedge_share, now_ms)
        return None if delay_ms is None else max(LEAST_DELAY_MS, delay_ms)

    def reach_ms(self, service: str, now_ms: float) -> float | None:
        """Return after which time an answer is beyond reach."""
        window = self._windows.get(service)
        if window is None:
            return None
        late_ms = window.quantile_ms(REACH_QUANTILE, now_ms)
        return None if late_ms is None else REACH_FACTOR * late_ms
