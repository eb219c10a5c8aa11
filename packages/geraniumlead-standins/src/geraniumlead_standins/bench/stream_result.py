from collections import Counter
from dataclasses import dataclass, field

from geraniumlead.requests import Answered, NotRun, Outcome

IMMEDIATE_REFUSAL_MS = 5.0


@dataclass(slots=True)
class StreamResult:
    """What the callers of one stream received after the warm-up.

    ``latencies_ms`` and ``coverage`` are of answers, ``refusal_ms`` is how long refusals took.
    """

    sent: int = 0
    latencies_ms: list[float] = field(default_factory=list)
    coverage: list[float] = field(default_factory=list)
    refusal_ms: list[float] = field(default_factory=list)
    refused: Counter = field(default_factory=Counter)
    failed: int = 0
    late: int = 0
    subqueries: int = 0
    extra_subqueries: int = 0

    def add(self, outcome: Outcome, latency_ms: float, is_late: bool) -> None:
        """Record one outcome."""
        match outcome:
            case Answered(coverage=coverage):
                self.latencies_ms.append(latency_ms)
                self.coverage.append(coverage.share)
            case NotRun(reason=reason):
                self.refused[str(reason)] += 1
                self.refusal_ms.append(latency_ms)
            case _:
                self.failed += 1
        self.late += is_late

    def refused_at_once_share(self) -> float:
        """Return the share of refusals that took at most 5 ms; 1.0 without refusals."""
        at_once = sum(took_ms <= IMMEDIATE_REFUSAL_MS for took_ms in self.refusal_ms)
        return at_once / len(self.refusal_ms) if self.refusal_ms else 1.0

    def quantile_ms(self, share: float) -> float | None:
        """Return a quantile of the latencies of answers; None without answers."""
        ordered = sorted(self.latencies_ms)
        if not ordered:
            return None
        return ordered[min(len(ordered) - 1, int(share * len(ordered)))]
