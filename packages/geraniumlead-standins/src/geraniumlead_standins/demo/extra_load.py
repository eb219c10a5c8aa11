"""Measure the additional load that hedges, retries and canaries put on upstreams."""

from collections import Counter, defaultdict

RECEIVED_EVENT = "received"


def measure_extra_load(upstream_lines: list[dict]) -> dict[str, float]:
    """Return the ratio of extra to first subqueries by class, counted at the upstreams.

    The class is read from the caller's request id, which is passed on by all hops. The first
    subquery for a shard of a request is regular; every further one is extra.
    """
    subquery_counts: dict[str, Counter] = defaultdict(Counter)
    for line in upstream_lines:
        if line["event"] == RECEIVED_EVENT:
            caller_id = line["request_id"].removeprefix("forwarded.").split(".", 1)[0]
            class_name = caller_id.rsplit("-", 1)[0]
            subquery_counts[class_name][line["request_id"], line["shard"]] += 1
    return {
        name: (counts.total() - len(counts)) / len(counts)
        for name, counts in subquery_counts.items()
    }
