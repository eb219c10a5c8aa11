"""Measure a rate over the recent past."""

from math import exp

LEAST_WEIGHT_SHARE = 0.5
"""Part of the time constant by which an early count is divided at least."""


class DecayingRate:
    """Count events with exponentially fading weight.

    The early estimate is divided by the weight that can have been collected so far, so that
    a meter that has just started does not read far too low.
    """

    __slots__ = ("_started_ms", "_time_constant_ms", "_updated_ms", "_value")

    def __init__(self, time_constant_ms: float) -> None:
        self._time_constant_ms = time_constant_ms
        self._started_ms: float | None = None
        self._updated_ms = 0.0
        self._value = 0.0

    def add(self, amount: float, now_ms: float) -> None:
        """Count ``amount`` events."""
        if self._started_ms is None:
            self._started_ms = self._updated_ms = now_ms
        self._fade(now_ms)
        self._value += amount

    def per_s(self, now_ms: float) -> float:
        """Return the rate per second."""
        if self._started_ms is None:
            return 0.0
        self._fade(now_ms)
        elapsed_ms = now_ms - self._started_ms
        weight_ms = self._time_constant_ms * (1.0 - exp(-elapsed_ms / self._time_constant_ms))
        # A short start would turn a single event into a flood, and peers would lend their
        # shares to it: with a tenth of the time constant one request read as ten a second.
        least_ms = LEAST_WEIGHT_SHARE * self._time_constant_ms
        return 1000.0 * self._value / max(weight_ms, least_ms)

    def _fade(self, now_ms: float) -> None:
        if now_ms > self._updated_ms:
            self._value *= exp((self._updated_ms - now_ms) / self._time_constant_ms)
            self._updated_ms = now_ms
