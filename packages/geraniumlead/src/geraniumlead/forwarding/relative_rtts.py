from geraniumlead.settings.forwarding_settings import ForwardingSettings

WINDOW_MS = 10_000.0
"""Length of a window: it sees hundreds of answers from each data centre, some of which were not
queued."""

DEFAULT_REMOTE_RTT_MS = 30.0
"""Default for other regions before any answer; the present ones are 16 and 40 ms away (round
trip)."""


class RelativeRtts:
    """Estimates the relative round-trip time to each data centre from the lowest latencies seen.

    It keeps the minimum of each data centre in the current and the previous window. The minimum
    contains next to no work or queueing, so the difference between two data centres is the
    round-trip time. What remains of a latency after subtracting it depends on the upstream alone.
    Without this a distant upstream looks slow, and one distant attempt more or less shifts every
    quantile.
    """

    __slots__ = ("_cached_rtts_ms", "_current", "_previous", "_rotated_ms", "_settings")

    def __init__(self, settings: ForwardingSettings, now_ms: float = 0.0) -> None:
        self._settings = settings
        self._current: dict[str, float] = {}
        self._previous: dict[str, float] = {}
        self._rotated_ms = now_ms
        self._cached_rtts_ms: dict[str, float] = {}

    def record_latency(self, data_centre: str, latency_ms: float, now_ms: float) -> None:
        """Record the latency of an answer."""
        if now_ms - self._rotated_ms >= WINDOW_MS:
            self._rotated_ms = now_ms
            self._previous, self._current = self._current, {}
            self._cached_rtts_ms.clear()
        min_ms = self._current.get(data_centre)
        if min_ms is None or latency_ms < min_ms:
            self._current[data_centre] = latency_ms
            self._cached_rtts_ms.clear()

    def relative_rtt_ms(self, data_centre: str) -> float:
        """Return the round-trip time to a data centre beyond that to the nearest one."""
        rtt_ms = self._cached_rtts_ms.get(data_centre)
        if rtt_ms is None:
            rtt_ms = self._cached_rtts_ms[data_centre] = self._compute_relative_rtt_ms(data_centre)
        return rtt_ms

    def _compute_relative_rtt_ms(self, data_centre: str) -> float:
        min_ms = self._min_latency_ms(data_centre)
        if min_ms is None:
            regions = self._settings.regions
            is_remote = regions.get(data_centre) != self._settings.region
            return DEFAULT_REMOTE_RTT_MS if is_remote else 0.0
        min_latencies_ms = (
            self._min_latency_ms(name) for name in self._current.keys() | self._previous.keys()
        )
        return min_ms - min(value for value in min_latencies_ms if value is not None)

    def _min_latency_ms(self, data_centre: str) -> float | None:
        latencies_ms = [
            window[data_centre]
            for window in (self._current, self._previous)
            if data_centre in window
        ]
        return min(latencies_ms) if latencies_ms else None
