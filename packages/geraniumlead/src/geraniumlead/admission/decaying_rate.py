from math import exp

MIN_WEIGHT_SHARE = 0.5
"""Lower bound of the divisor of a count, as a part of the time constant."""


class DecayingRate:
    """An event rate over the recent past, with exponentially decaying weights.

    The count is divided by the weight that can have been collected since the first event, so
    that the rate is not far too low shortly after the start.
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
        self._decay(now_ms)
        self._value += amount

    def per_s(self, now_ms: float) -> float:
        """Return the rate per second."""
        if self._started_ms is None:
            return 0.0
        self._decay(now_ms)
        elapsed_ms = now_ms - self._started_ms
        weight_ms = self._time_constant_ms * (1.0 - exp(-elapsed_ms / self._time_constant_ms))
        # Shortly after the start a single event would give a very high rate, and peers would
        # lend their shares for it. With a lower bound of a tenth of a time constant of 1 s, one
        # request gave ten per second.
        min_weight_ms = MIN_WEIGHT_SHARE * self._time_constant_ms
        return 1000.0 * self._value / max(weight_ms, min_weight_ms)

    def _decay(self, now_ms: float) -> None:
        if now_ms > self._updated_ms:
            self._value *= exp((self._updated_ms - now_ms) / self._time_constant_ms)
            self._updated_ms = now_ms
