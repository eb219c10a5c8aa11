"""Adapt the limit by additive increase and multiplicative decrease: the rival policy."""

from geraniumlead.admission.concurrency_limit import (
    MIN_LIMIT,
    TOLERANCE,
    ConcurrencyLimit,
)

DECREASE = 0.8


class AimdLimit(ConcurrencyLimit):
    """Add one while latency is tolerable, and cut by a fifth when it is not."""

    __slots__ = ()

    def _adapt(self, ratio: float, was_full: bool) -> None:
        if ratio > TOLERANCE:
            self._value = max(MIN_LIMIT, self._value * DECREASE)
        elif was_full:
            self._value += 1.0
