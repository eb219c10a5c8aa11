"""Count the outcomes of the requests of each class."""

from collections import Counter
from dataclasses import dataclass

from geraniumlead_standins.load.sent_request import SentRequest


@dataclass(slots=True, frozen=True)
class ClassSummary:
    """The outcomes of one class; latencies and coverage are of its answered requests."""

    class_name: str
    sent: int
    whole: int
    partial: int
    refused: int
    failed: int
    unknown: int
    unanswered: int
    late: int
    p50_ms: float
    p99_ms: float
    coverage: float

    @classmethod
    def from_requests(cls, class_name: str, requests: list[SentRequest]) -> "ClassSummary":
        """Return the summary of the requests of one class."""
        outcomes = Counter(sent.outcome for sent in requests)
        answered = [sent for sent in requests if sent.asked_shards]
        times = sorted(sent.elapsed_ms for sent in answered)
        asked = sum(sent.asked_shards for sent in answered)
        return cls(
            class_name=class_name,
            sent=len(requests),
            whole=outcomes["whole"],
            partial=outcomes["partial"],
            refused=outcomes["not_run"],
            failed=outcomes["failed"],
            unknown=outcomes["unknown"],
            unanswered=outcomes["unanswered"] + outcomes["malformed"],
            late=sum(sent.is_late for sent in requests),
            p50_ms=percentile(times, 0.50),
            p99_ms=percentile(times, 0.99),
            coverage=sum(sent.answered_shards for sent in answered) / asked if asked else 0.0,
        )


def percentile(sorted_values: list[float], share: float) -> float:
    """Return the nearest-rank percentile, or 0 if there are no values."""
    if not sorted_values:
        return 0.0
    return sorted_values[min(len(sorted_values) - 1, int(len(sorted_values) * share))]


def summarise(requests: list[SentRequest]) -> list[ClassSummary]:
    """Return one summary per class, in the order in which the classes first occur."""
    names = dict.fromkeys(sent.class_name for sent in requests)
    return [
        ClassSummary.from_requests(name, [sent for sent in requests if sent.class_name == name])
        for name in names
    ]
