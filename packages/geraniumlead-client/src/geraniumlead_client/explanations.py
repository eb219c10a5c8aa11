"""Explain an instance's record of a request as text."""

REFUSAL_EXPLANATIONS = {
    "rate": "rate_per_s and burst_requests of the contract were used up",
    "concurrency": "concurrent_requests of the contract were open",
    "queue_full": "open_requests or queued_requests of the instance's settings were reached",
    "cannot_end_in_time": "its wait would have passed its deadline",
    "contract_expired": "valid_from and valid_until of the contract do not allow it now",
    "contract_unknown": "no contract in force has this customer and class",
    "quarantined": "the same query ended several upstreams' connections",
    "out_of_service": "the instance's data centre was taken out or it is stopping",
    "stale_view": "the instance had been paused or isolated and had not confirmed its view yet",
    "no_index": "no index version of the service is in force",
    "upstream_shed": "the upstream refused it for load, and nothing ran",
    "ticket_expired": "its ticket was not used in time",
    "ticket_needed": "the class is not idempotent and it had no ticket",
    "ticket_invalid": "its ticket was malformed, or for another customer or class",
    "hot_key": "its key took more than its share",
    "fan_out": "it asks more shards than fan_out_shards of the instance's settings",
}


def explain_outcome(request: dict) -> list[str]:
    """Return lines that describe the request, its outcome and the upstreams it was sent to."""
    lines = [
        f"contract {request['contract']}, class {request['class']}, attempt {request['attempt']}, "
        f"allowed {request['allowed_ms']:.0f} ms, least coverage {request['least_coverage']:.0%}",
        _describe_outcome(request),
    ]
    if request["missing"]:
        reasons = ", ".join(f"{count} {name}" for name, count in request["missing"].items())
        lines.append(f"missing shards: {reasons}")
    if request["subqueries"] or request["upstreams"]:
        lines.append(
            f"{request['subqueries']} subqueries, {request['extra_subqueries']} of them extra "
            f"(hedges, retries, canaries); waited {request['queued_ms']:.1f} ms before the first"
        )
    for upstream_id, through in request["upstreams"].items():
        lines.append(f"sent to {upstream_id} through {through}")
    if request["upstreams_left_out"]:
        lines.append(f"and to {request['upstreams_left_out']} more")
    return lines


def _describe_outcome(request: dict) -> str:
    outcome = request["outcome"]
    if outcome == "open":
        return "it is still open"
    reason = request["details"].get("reason", "")
    text = f"{outcome} after {request['latency_ms']:.1f} ms"
    if outcome == "not_run":
        return f"{text}: {reason}: {REFUSAL_EXPLANATIONS.get(reason, '')}"
    if reason:
        return f"{text}: {reason}"
    details = request["details"]
    return (
        f"{text}: {details['answered_shards']} of {details['asked_shards']} shards "
        f"of index version {details['index_version']}"
    )
