from geraniumlead.forwarding.actions import ForwardingAction, LogDecision, SendReply
from geraniumlead.forwarding.crash_log import describe_knowledge, format_fingerprint
from geraniumlead.forwarding.crash_tracker import QUARANTINE_MS, CrashRecord
from geraniumlead.forwarding.final_reply import UNAVAILABLE
from geraniumlead.forwarding.forwarded_request import ForwardedRequest
from geraniumlead.forwarding.replies import OwnReply
from geraniumlead.routes import Route


def refuse_crashing(
    request: ForwardedRequest, route: Route, record: CrashRecord | None, now_ms: float
) -> list[ForwardingAction]:
    """Return the refusal of a request that crashes upstreams, and its log entry."""
    reply = OwnReply(UNAVAILABLE, "crashes_upstreams", QUARANTINE_MS)
    fields = {
        "request_id": request.request_id,
        "route": route.name,
        "status": reply.status,
        "reason": reply.reason,
        "fingerprint": format_fingerprint(request.fingerprint),
        **describe_knowledge(record, now_ms),
    }
    return [SendReply(request.key, reply), LogDecision("request", fields, "warning")]
