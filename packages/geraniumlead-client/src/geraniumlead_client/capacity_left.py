"""Judge whether what remains after a change can carry the load of now."""

import asyncio
from dataclasses import dataclass, field

from geraniumlead_client.operators_api import fetch_all

SAMPLES = 5
SAMPLE_PAUSE_S = 0.2
MOST_USED_SHARE = 0.7
"""Above it the wait for a slot grows steeply; 0.7 leaves room for a burst of half the load."""


@dataclass(slots=True)
class CapacityLeft:
    """Hold slots, busy slots and lost shards of each service, and what is wrong with them."""

    services: dict[str, dict] = field(default_factory=dict)
    problems: list[str] = field(default_factory=list)

    def rows(self) -> list[list[object]]:
        """Return one row for each service."""
        return [
            [
                name,
                found["slots"],
                round(found["busy"], 1),
                f"{found['busy'] / found['slots']:.0%}" if found["slots"] else "-",
                found["lost_shards"],
            ]
            for name, found in sorted(self.services.items())
        ]


def assess_capacity(documents: dict[str, dict], addresses: list[str]) -> CapacityLeft:
    """Compare the slots that remain with the mean of the calls in flight now.

    The calls in flight are sampled over a second at the given instances; instances that are
    not given are not counted, so give all of them.
    """
    busy = asyncio.run(_sample_busy(addresses))
    return judge_capacity(documents, busy)


def judge_capacity(documents: dict[str, dict], busy: dict[str, float]) -> CapacityLeft:
    """Return what remains of each service; ``busy`` are its calls in flight."""
    is_in = {
        document["name"]: document.get("state", "in") == "in"
        for key, document in documents.items()
        if key.startswith("geraniumlead/data-centres/")
    }
    usable: dict[str, dict] = {}
    for key, document in documents.items():
        if key.startswith("geraniumlead/upstreams/") and is_in.get(document["data_centre"], True):
            for entry in document["upstreams"]:
                if entry.get("state", "serving") == "serving":
                    usable[entry["upstream_id"]] = entry
    left = CapacityLeft()
    for key, document in documents.items():
        if key.startswith("geraniumlead/indexes/") and document.get("state") != "retired":
            _add_service(left, document, usable, busy)
    _find_empty(left, documents, is_in)
    return left


def _add_service(
    left: CapacityLeft, index: dict, usable: dict[str, dict], busy: dict[str, float]
) -> None:
    name = index["service"]
    lost = sum(
        all(replica not in usable for replica in shard["replicas"]) for shard in index["shards"]
    )
    slots = sum(entry["slots"] for entry in usable.values() if entry["service"] == name)
    found = {"slots": slots, "busy": busy.get(name, 0.0), "lost_shards": lost}
    left.services[name] = found
    if lost:
        left.problems.append(
            f"{name} version {index['version']}: {lost} shards would have no replica"
        )
    if slots and found["busy"] > MOST_USED_SHARE * slots:
        left.problems.append(f"{name}: {found['busy']:.1f} of {slots} slots would be busy")


def _find_empty(left: CapacityLeft, documents: dict[str, dict], is_in: dict[str, bool]) -> None:
    if not any(is_in.values()):
        left.problems.append("no data centre would be in")
    for key, document in documents.items():
        name = document.get("data_centre")
        if key.startswith("geraniumlead/instances/") and is_in.get(name, True):
            live = [item for item in document["instances"] if item.get("state", "live") == "live"]
            if not live:
                left.problems.append(f"{name} would have no live instance")


async def _sample_busy(addresses: list[str]) -> dict[str, float]:
    busy: dict[str, float] = {}
    for _ in range(SAMPLES):
        for reply in await fetch_all(addresses, "/v1/status"):
            services = (reply.body or {}).get("services", {})
            for name, found in services.items():
                calls = found["in_flight"] + found["waiting"]
                busy[name] = busy.get(name, 0.0) + calls / SAMPLES
        await asyncio.sleep(SAMPLE_PAUSE_S)
    return busy
