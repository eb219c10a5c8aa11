"""Measure the extra load that hedges, retries and canaries put on upstreams."""

from collections import Counter, defaultdict

EVENT = "received"


def measure_extra_load(upstream_lines: list[dict]) -> dict[str, float]:
    """Return extra over first subqueries for each class, counted where they arrived.

    A class is read from the caller's request identifier, which passes through all hops. The
    first subquery for a shard of a request is wanted; every further one is extra.
    """
    asked: dict[str, Counter] = defaultdict(Counter)
    for line in upstream_lines:
        if line["event"] == EVENT:
            caller_id = line["request_id"].removeprefix("forwarded.").split(".", 1)[0]
            class_name = caller_id.rsplit("-", 1)[0]
            asked[class_name][line["request_id"], line["shard"]] += 1
    return {name: (counts.total() - len(counts)) / len(counts) for name, counts in asked.items()}
