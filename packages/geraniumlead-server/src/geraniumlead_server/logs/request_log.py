import logging

from geraniumlead.actions import AnswerCaller
from geraniumlead.requests import Answered, Failed, NotRun, Unknown
from geraniumlead_server.telemetry.metrics import outcome_name

MAX_LINES_PER_S = 50.0
"""Lines a second of one instance; see docs/reference/logs.md for their cost."""

MILLISECONDS_PER_S = 1000.0

logger = logging.getLogger("geraniumlead")


class RequestLog:
    """Logs requests up to a rate of lines, so that logging does not add to an overload.

    Load pattern: a burst is refused, thousands of requests a second. One line each would
    cost more than the refusals. The next line reports how many were skipped.
    """

    def __init__(self, lines_per_s: float = MAX_LINES_PER_S) -> None:
        self._lines_per_s = lines_per_s
        self._tokens = lines_per_s
        self._refilled_ms = float("-inf")
        self._skipped_lines = 0

    def observe(self, answer: AnswerCaller, now_ms: float) -> None:
        """Log one answer, or count it as skipped."""
        if not self._take_token(now_ms):
            self._skipped_lines += 1
            return
        fields = {
            "request_id": answer.request_id,
            "contract": answer.customer,
            "class": answer.class_name,
            "outcome": outcome_name(answer),
            "latency_ms": round(now_ms - answer.arrived_ms, 2),
            "queued_ms": round(answer.queued_ms, 2),
            "subqueries": answer.subqueries,
            "extra_subqueries": answer.extra_subqueries,
            "skipped_lines": self._skipped_lines,
            **describe_outcome(answer),
        }
        self._skipped_lines = 0
        logger.info("request", extra={"fields": fields})

    def _take_token(self, now_ms: float) -> bool:
        refill = (now_ms - self._refilled_ms) * self._lines_per_s / MILLISECONDS_PER_S
        self._tokens = min(self._lines_per_s, self._tokens + refill)
        self._refilled_ms = now_ms
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


def describe_outcome(answer: AnswerCaller) -> dict:
    """Return the log fields that are specific to an outcome."""
    match answer.outcome:
        case Answered(index_version=version, coverage=coverage):
            return {
                "index_version": version,
                "asked_shards": coverage.asked_shards,
                "answered_shards": coverage.answered_shards,
            }
        case NotRun(reason=reason):
            return {"reason": reason.value}
        case Failed(detail=detail) | Unknown(detail=detail):
            return {"reason": detail}
    raise AssertionError("the union has no other member")
