from collections import Counter
from collections.abc import Mapping

from geraniumlead.forwarding.actions import LogDecision
from geraniumlead.forwarding.extra_attempt_cause import ExtraAttemptCause

EXTRA_ATTEMPTS = "extra_attempts"
"""Event of a line with the extra attempts of one instance."""

DENIED = "denied"
"""Name of the count of extra attempts for which no budget was left."""

BUDGET_LEFT = "left"
"""Name of what is left of the budget of a service."""

LOG_INTERVAL_MS = 500.0
"""Time that one line covers at least."""


class ExtraAttemptLog:
    """The extra attempts that were sent or denied since the last log line, by service and cause.

    Each instance knows only its own budget, and the bound is that of all instances together. The
    lines of all of them show how near to the bound a service came.
    """

    __slots__ = ("_began_ms", "_counts")

    def __init__(self) -> None:
        self._counts: dict[str, Counter[str]] = {}
        self._began_ms = float("inf")

    def record_sent(self, service: str, cause: ExtraAttemptCause, now_ms: float) -> None:
        """Count an extra attempt that was sent."""
        self._count(service, cause.value, now_ms)

    def record_denied(self, service: str, now_ms: float) -> None:
        """Count an extra attempt that was not sent, since no budget was left for it."""
        self._count(service, DENIED, now_ms)

    def is_due(self, now_ms: float) -> bool:
        """Return whether there is something to log that has waited for LOG_INTERVAL_MS."""
        return now_ms >= self._began_ms + LOG_INTERVAL_MS

    def pop_counts(self) -> dict[str, Counter[str]]:
        """Return and reset the counts by service and name."""
        counts, self._counts = self._counts, {}
        self._began_ms = float("inf")
        return counts

    def _count(self, service: str, name: str, now_ms: float) -> None:
        self._began_ms = min(self._began_ms, now_ms)
        self._counts.setdefault(service, Counter())[name] += 1


def build_line(
    counts: Mapping[str, Counter[str]], left: Mapping[str, float], fields: Mapping[str, float]
) -> LogDecision:
    """Return the line with the counts, with what is left of the budget of each service."""
    services = {
        service: {**found, BUDGET_LEFT: round(left[service], 1)}
        for service, found in counts.items()
    }
    level = "warning" if any(DENIED in found for found in counts.values()) else "info"
    return LogDecision(EXTRA_ATTEMPTS, {**fields, "services": services}, level)
