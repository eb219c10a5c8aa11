from geraniumlead.crashes import CrashRecord
from geraniumlead.crashes.crash_record import INDEPENDENT_AFTER_MS
from geraniumlead.forwarding.actions import ForwardingAction, LogDecision, SendReply
from geraniumlead.forwarding.crash_log import describe_knowledge, format_fingerprint
from geraniumlead.forwarding.final_reply import UNAVAILABLE
from geraniumlead.forwarding.forwarded_request import ForwardedRequest
from geraniumlead.forwarding.replies import OwnReply
from geraniumlead.routes import Route

CRASHES_UPSTREAMS = "crashes_upstreams"
"""Reason for which a request is refused, or a part of it is not sent."""


def refuse_crashing(
    request: ForwardedRequest, route: Route, record: CrashRecord, now_ms: float
) -> list[ForwardingAction]:
    """Return the refusal of a request that crashes upstreams, and its log entry.

    The caller is told to stay away until one more try could be sent.
    """
    retry_after_ms = max(INDEPENDENT_AFTER_MS, record.refused_until_ms - now_ms)
    reply = OwnReply(UNAVAILABLE, CRASHES_UPSTREAMS, retry_after_ms)
    fields = {
        "request_id": request.request_id,
        "route": route.name,
        "status": reply.status,
        "reason": reply.reason,
        "fingerprint": format_fingerprint(request.fingerprint),
        **describe_knowledge(record, now_ms),
    }
    return [SendReply(request.key, reply), LogDecision("request", fields, "warning")]
