"""The log lines that tell which requests crash upstreams, and who knew of it when."""

from collections.abc import Sequence

from geraniumlead.crashes import CrashRecord
from geraniumlead.forwarding.actions import LogDecision
from geraniumlead.forwarding.forwarded_request import ForwardedRequest
from geraniumlead.peering import CrashReport
from geraniumlead.published_upstreams import UpstreamRecord

MAX_LOGGED_PEERS = 5
"""Maximum number of peers named in a log line."""


def describe_strike(
    request: ForwardedRequest,
    fingerprint: int,
    upstream: UpstreamRecord,
    record: CrashRecord,
    cause: str,
) -> LogDecision:
    """Return the line of an upstream that was lost under a request or a part of it."""
    fields = {
        "request_id": request.request_id,
        "is_delegated": request.is_delegated,
        **_describe_loss(fingerprint, upstream, record, cause),
    }
    return LogDecision("crash_strike", fields, "warning")


def describe_given_up(
    fingerprint: int, upstream: UpstreamRecord, record: CrashRecord, cause: str
) -> LogDecision:
    """Return the line of an upstream that was lost after a request to it had been given up."""
    fields = _describe_loss(fingerprint, upstream, record, cause)
    return LogDecision("crash_strike", fields, "warning")


def describe_told(report: CrashReport, peer_ids: Sequence[str]) -> LogDecision:
    """Return the line of a report that is sent to peers."""
    fields = {**_describe_report(report), "peers": len(peer_ids)}
    return LogDecision("crash_told", fields | {"first_peers": list(peer_ids[:MAX_LOGGED_PEERS])})


def describe_notice(
    report: CrashReport, sender_id: str, before: int, record: CrashRecord | None
) -> LogDecision:
    """Return the line of a peer's report that was news, with the strikes known before and after."""
    fields = {
        **_describe_report(report),
        "peer": sender_id,
        "strikes_before": before,
        "strikes": 0 if record is None else len(record.all_crashes()),
        "is_refused": record is not None and record.is_quarantined,
    }
    return LogDecision("crash_notice", fields)


def describe_knowledge(record: CrashRecord | None, now_ms: float) -> dict:
    """Return the fields that tell what an instance knew when it refused a request."""
    if record is None:
        return {}
    return {
        "strikes": len(record.all_crashes()),
        "struck_before_ms": round(now_ms - record.crashed_ms),
        "refused_for_ms": round(record.refused_until_ms - now_ms),
        "failed_probes": record.failed_probes,
        "told_by": record.told_by,
    }


def format_fingerprint(fingerprint: int) -> str:
    """Return a fingerprint as it stands in log lines."""
    return f"{fingerprint:016x}"


def _describe_report(report: CrashReport) -> dict:
    return {
        "fingerprint": format_fingerprint(report.fingerprint),
        "strikes": len(report.crashes),
        "is_refused": report.quarantined_age_ms is not None,
        "is_answered": report.answered_age_ms is not None,
    }


def _describe_loss(
    fingerprint: int, upstream: UpstreamRecord, record: CrashRecord, cause: str
) -> dict:
    return {
        "fingerprint": format_fingerprint(fingerprint),
        "service": upstream.service,
        "upstream": upstream.upstream_id,
        "cause": cause,
        "strikes": len(record.all_crashes()),
        "is_refused": record.is_quarantined,
    }
