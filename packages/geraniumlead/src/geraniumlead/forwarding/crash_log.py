"""The log lines that tell which requests crash upstreams, and who knew of it when."""

from geraniumlead.forwarding.actions import LogDecision
from geraniumlead.forwarding.crash_tracker import CrashRecord
from geraniumlead.forwarding.open_request import Attempt

MAX_LOGGED_UPSTREAMS = 5
"""Maximum number of crashed upstreams, and of notified peers, named in a log line."""


def describe_strike(attempt: Attempt, record: CrashRecord, cause: str) -> LogDecision:
    """Return the line of one upstream that was lost while it ran a request."""
    request = attempt.subrequest.request.request
    fields = {
        "request_id": request.request_id,
        "fingerprint": format_fingerprint(request.fingerprint),
        "service": attempt.subrequest.service,
        "upstream": attempt.upstream.upstream_id,
        "cause": cause,
        "strikes": len(record.upstream_ids),
        "is_delegated": request.is_delegated,
    }
    return LogDecision("crash_strike", fields, "warning")


def describe_told(fingerprint: int, strikes: int, peer_ids: list[str]) -> LogDecision:
    """Return the line of a notice that is sent to peers."""
    fields = {
        "fingerprint": format_fingerprint(fingerprint),
        "strikes": strikes,
        "peers": len(peer_ids),
        "first_peers": peer_ids[:MAX_LOGGED_UPSTREAMS],
    }
    return LogDecision("crash_told", fields)


def describe_notice(fingerprint: int, sender_id: str, before: int, after: int) -> LogDecision:
    """Return the line of a notice from a peer, with the strikes known before and after it."""
    fields = {
        "fingerprint": format_fingerprint(fingerprint),
        "peer": sender_id,
        "strikes_before": before,
        "strikes": after,
    }
    return LogDecision("crash_notice", fields)


def describe_knowledge(record: CrashRecord | None, now_ms: float) -> dict:
    """Return the fields that tell what an instance knew when it refused a request."""
    if record is None:
        return {}
    return {
        "strikes": len(record.upstream_ids),
        "crashed": sorted(record.upstream_ids)[:MAX_LOGGED_UPSTREAMS],
        "struck_before_ms": round(now_ms - record.struck_ms),
        "told_by": record.told_by,
    }


def format_fingerprint(fingerprint: int) -> str:
    """Return a fingerprint as it stands in log lines."""
    return f"{fingerprint:016x}"
