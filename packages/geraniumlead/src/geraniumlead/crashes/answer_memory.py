from collections import OrderedDict

from geraniumlead.crashes.crash_record import CLOCK_SLACK_MS, LONG_AGO_MS

MAX_REQUESTS = 5_000
"""Number of requests of which the last answer is kept, the latest ones; some hundred bytes each."""

PROVEN_MS = 600_000.0
"""Time for which an answer proves a request harmless; one may turn bad as the upstreams change."""


class AnswerMemory:
    """When an upstream last answered each of the latest requests, here or at a peer."""

    __slots__ = ("_answered_ms",)

    def __init__(self) -> None:
        self._answered_ms: OrderedDict[int, float] = OrderedDict()

    def find(self, fingerprint: int) -> float | None:
        """Return when a request was answered last; None if that is not known."""
        return self._answered_ms.get(fingerprint)

    def record(self, fingerprint: int, answered_ms: float) -> None:
        """Record an answer."""
        self._answered_ms[fingerprint] = answered_ms
        self._answered_ms.move_to_end(fingerprint)
        if len(self._answered_ms) > MAX_REQUESTS:
            self._answered_ms.popitem(last=False)

    def is_proven(self, fingerprint: int, now_ms: float) -> bool:
        """Return whether a request was answered not too long ago."""
        return now_ms - self._answered_ms.get(fingerprint, LONG_AGO_MS) <= PROVEN_MS

    def cleared_until_ms(self, fingerprint: int) -> float:
        """Return until when what upstreams were lost under a request doesn't count."""
        return self._answered_ms.get(fingerprint, LONG_AGO_MS) + CLOCK_SLACK_MS
