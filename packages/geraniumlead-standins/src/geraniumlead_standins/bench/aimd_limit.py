from geraniumlead.admission.concurrency_limit import (
    MIN_LIMIT,
    TOLERANCE,
    ConcurrencyLimit,
)

DECREASE = 0.8


class AimdLimit(ConcurrencyLimit):
    """A concurrency limit with additive increase and multiplicative decrease (AIMD).

    It grows by one while latency is tolerable, and shrinks by a fifth when it is not. It is the
    alternative with which the adaptive limit is compared.
    """

    __slots__ = ()

    def _adapt(self, ratio: float, was_full: bool) -> None:
        if ratio > TOLERANCE:
            self._value = max(MIN_LIMIT, self._value * DECREASE)
        elif was_full:
            self._value += 1.0
