"""Convert outcomes to HTTP responses."""

from math import ceil

import falcon
from msgspec.json import encode

from geraniumlead.requests import Answered, Failed, NotRun, Outcome, RefusalReason, Unknown
from geraniumlead.requests.coverage import Coverage

MILLISECONDS_PER_SECOND = 1000.0

_CLIENT_ERROR_STATUSES = {
    RefusalReason.CONTRACT_UNKNOWN: falcon.HTTP_403,
    RefusalReason.CONTRACT_EXPIRED: falcon.HTTP_403,
    RefusalReason.TICKET_NEEDED: falcon.HTTP_400,
    RefusalReason.TICKET_INVALID: falcon.HTTP_400,
    RefusalReason.TICKET_EXPIRED: falcon.HTTP_410,
    RefusalReason.FAN_OUT: falcon.HTTP_422,
    RefusalReason.RATE: falcon.HTTP_429,
    RefusalReason.CONCURRENCY: falcon.HTTP_429,
    RefusalReason.HOT_KEY: falcon.HTTP_429,
    RefusalReason.QUARANTINED: falcon.HTTP_429,
}


def render_outcome(response: falcon.Response, request_id: str, outcome: Outcome) -> None:
    """Set the status, headers and JSON body of the response; the body names the outcome."""
    response.set_header("X-Request-Id", request_id)
    response.content_type = falcon.MEDIA_JSON
    match outcome:
        case Answered():
            response.data = _render_answer(request_id, outcome)
        case NotRun(reason=reason, retry_after_ms=retry_after_ms):
            response.status = _CLIENT_ERROR_STATUSES.get(reason, falcon.HTTP_503)
            body = {"outcome": "not_run", "request_id": request_id, "reason": reason.value}
            if retry_after_ms > 0:
                seconds = ceil(retry_after_ms / MILLISECONDS_PER_SECOND)
                response.set_header("Retry-After", str(seconds))
                body["retry_after_ms"] = round(retry_after_ms)
            response.data = encode(body)
        case Unknown(detail=detail):
            response.status = falcon.HTTP_504
            body = {"outcome": "unknown", "request_id": request_id, "detail": detail}
            response.data = encode(body)
        case Failed(detail=detail, coverage=coverage):
            response.status = falcon.HTTP_504
            body = {"outcome": "failed", "request_id": request_id, "detail": detail}
            if coverage is not None:
                body["coverage"] = _render_coverage(coverage)
            response.data = encode(body)


def _render_answer(request_id: str, outcome: Answered) -> bytes:
    head = {
        "outcome": "whole" if outcome.coverage.is_whole else "partial",
        "request_id": request_id,
        "index_version": outcome.index_version,
        "coverage": _render_coverage(outcome.coverage),
    }
    # The upstreams' JSON is joined as text: decoding it would cost more than everything else.
    inner = (text.strip()[1:-1].strip() for text in outcome.records)
    records = b",".join(text for text in inner if text)
    return encode(head)[:-1] + b',"records":[' + records + b"]}"


def _render_coverage(coverage: Coverage) -> dict:
    return {
        "asked": coverage.asked_shards,
        "answered": coverage.answered_shards,
        "missing": [
            {"shard": item.shard, "reason": item.reason.value} for item in coverage.missing
        ],
    }
