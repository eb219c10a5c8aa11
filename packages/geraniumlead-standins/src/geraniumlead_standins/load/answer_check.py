"""Check an answer for contradictions that its caller can detect."""

from geraniumlead_standins.load.sent_request import SentRequest


def record_answer(sent: SentRequest, body: dict) -> None:
    """Record an answer's outcome and the contradictions found in it."""
    outcome = body.get("outcome", "malformed")
    sent.outcomes.append(outcome)
    if outcome not in ("whole", "partial"):
        sent.reason = body.get("reason") or body.get("detail", "")
        return
    coverage = body["coverage"]
    sent.asked_shards = coverage["asked"]
    sent.answered_shards = coverage["answered"]
    sent.index_version = body["index_version"]
    missing = {item["shard"] for item in coverage["missing"]}
    if sent.answered_shards + len(missing) != sent.asked_shards:
        sent.faults.append("coverage does not add up")
    if (outcome == "whole") != (sent.answered_shards == sent.asked_shards):
        sent.faults.append("coverage contradicts the outcome")
    _check_records(sent, body["records"])


def _check_records(sent: SentRequest, records: list[dict]) -> None:
    # The id of a stand-in's record begins with the index version and the shard it comes from.
    record_ids = [record["id"] for record in records]
    if len(record_ids) != sent.answered_shards or len(set(record_ids)) != len(record_ids):
        sent.faults.append("records do not match the answered shards")
    if any(not record_id.startswith(f"v{sent.index_version}-") for record_id in record_ids):
        sent.faults.append("records of another index version")
