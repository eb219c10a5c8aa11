"""Learn how much longer answers take from each data centre."""

from geraniumlead.settings.forwarding_settings import ForwardingSettings

WINDOW_MS = 10_000.0
"""Length of one window: hundreds of answers from each data centre, of which some met no queue."""

UNKNOWN_FAR_MS = 30.0
"""Guess for another region before any answer; today's are 16 and 40 ms away, there and back."""


class RelativeRtts:
    """Keep the least latency seen from each data centre in this and the last window.

    The least latency has next to no work or wait in it, so the difference between two data
    centres is the way. What is left of a latency after it tells of the upstream alone: without
    this a far upstream looks slow, and one far attempt more or less shifts every quantile.
    """

    __slots__ = ("_current", "_last", "_rotated_ms", "_settings", "_ways_ms")

    def __init__(self, settings: ForwardingSettings, now_ms: float = 0.0) -> None:
        self._settings = settings
        self._current: dict[str, float] = {}
        self._last: dict[str, float] = {}
        self._rotated_ms = now_ms
        self._ways_ms: dict[str, float] = {}

    def note(self, data_centre: str, latency_ms: float, now_ms: float) -> None:
        """Learn from an answer."""
        if now_ms - self._rotated_ms >= WINDOW_MS:
            self._rotated_ms = now_ms
            self._last, self._current = self._current, {}
            self._ways_ms.clear()
        least_ms = self._current.get(data_centre)
        if least_ms is None or latency_ms < least_ms:
            self._current[data_centre] = latency_ms
            self._ways_ms.clear()

    def relative_rtt_ms(self, data_centre: str) -> float:
        """Return the time of the way there and back, beyond that to the nearest."""
        way_ms = self._ways_ms.get(data_centre)
        if way_ms is None:
            way_ms = self._ways_ms[data_centre] = self._compute_way_ms(data_centre)
        return way_ms

    def _compute_way_ms(self, data_centre: str) -> float:
        least_ms = self._least_ms(data_centre)
        if least_ms is None:
            regions = self._settings.regions
            is_far = regions.get(data_centre) != self._settings.region
            return UNKNOWN_FAR_MS if is_far else 0.0
        found = (self._least_ms(name) for name in self._current.keys() | self._last.keys())
        return least_ms - min(value for value in found if value is not None)

    def _least_ms(self, data_centre: str) -> float | None:
        found = [
            window[data_centre] for window in (self._current, self._last) if data_centre in window
        ]
        return min(found) if found else None
