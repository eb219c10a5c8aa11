"""The log line of a finished request."""

from geraniumlead.forwarding.open_request import OpenRequest
from geraniumlead.forwarding.replies import MergedReply, OwnReply, RelayedReply, Reply


def describe_request(
    open_request: OpenRequest, reason: str, reply: Reply | None, now_ms: float
) -> tuple[dict, str]:
    """Return the fields and the level of the log line of a request."""
    request = open_request.request
    fields = {
        "request_id": request.request_id,
        "route": open_request.route.name,
        "version": open_request.configuration.version,
        "view_age_ms": (
            None if open_request.view_age_ms is None else round(open_request.view_age_ms)
        ),
        "latency_ms": round(now_ms - request.arrived_ms, 1),
        "goal_left_ms": round(open_request.goal_ms - now_ms, 1),
        "margin_ms": round(open_request.margin_ms, 1),
        **_describe_time(open_request),
        "reason": reason,
        "legs": len(open_request.subrequests),
        "answered": open_request.answered,
        "extra": open_request.extra_attempts,
        "steps": open_request.steps,
    }
    missing = [
        subrequest.service for subrequest in open_request.subrequests if subrequest.answer is None
    ]
    if missing:
        fields["missing"] = missing
    attempts = _describe_attempts(open_request)
    if attempts:
        fields["attempts"] = attempts
        fields["max_upstreams"] = open_request.route.max_upstreams
    match reply:
        case RelayedReply(answer=answer):
            fields["status"] = answer.status
        case MergedReply():
            fields["status"] = 200
        case OwnReply(status=status, retry_after_ms=retry_after_ms):
            fields["status"] = status
            fields["retry_after_ms"] = retry_after_ms
    is_good = fields.get("status") == 200 and not missing and now_ms <= open_request.goal_ms
    return fields, "info" if is_good else "warning"


def _describe_attempts(open_request: OpenRequest) -> dict[str, list[str]]:
    """Return the upstreams of each shard that more than one attempt may have reached.

    Two instances may send attempts for the same shard, and each line has those of one instance. A
    peer whose shards are queried elsewhere as well names the upstreams of all of them.
    """
    return {
        subrequest.service: [name for name in subrequest.sent_to if name is not None]
        for subrequest in open_request.subrequests
        if len(subrequest.sent_to) > 1 or (open_request.is_hedged and subrequest.sent_to)
    }


def _describe_time(open_request: OpenRequest) -> dict:
    """Return how long a request waited, what its caller had left, and what attempts were handed."""
    request, deadline = open_request.request, open_request.deadline
    fields = {
        "waited_ms": round(request.waited_ms, 1),
        "left_ms": round(deadline.caller_end_ms - request.arrived_ms, 1),
    }
    if request.is_delegated:
        fields["is_delegated"] = True
    if deadline.max_handed_ms:
        fields["handed_ms"] = round(deadline.max_handed_ms, 1)
    if deadline.overruns:
        fields["overruns"] = deadline.overruns
        fields["overrun_ms"] = round(deadline.max_overrun_ms, 1)
    return fields
