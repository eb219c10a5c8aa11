"""Check whether the capacity that remains after a change can carry the current load."""

import asyncio
from dataclasses import dataclass, field

from geraniumlead_client.operators_api import fetch_all

SAMPLE_COUNT = 5
SAMPLE_INTERVAL_S = 0.2
MAX_UTILISATION = 0.7
"""Above it the wait for a slot grows steeply; 0.7 leaves room for a burst of half the load."""


@dataclass(slots=True)
class RemainingCapacity:
    """The slots, busy slots and lost shards of each service, and the problems found."""

    services: dict[str, dict] = field(default_factory=dict)
    problems: list[str] = field(default_factory=list)

    def rows(self) -> list[list[object]]:
        """Return one row for each service."""
        return [
            [
                name,
                usage["slots"],
                round(usage["busy"], 1),
                f"{usage['busy'] / usage['slots']:.0%}" if usage["slots"] else "-",
                usage["lost_shards"],
            ]
            for name, usage in sorted(self.services.items())
        ]


def assess_capacity(documents: dict[str, dict], addresses: list[str]) -> RemainingCapacity:
    """Compare the remaining slots with the mean number of calls in flight or waiting.

    The calls are sampled over a second at the given instances. Other instances are not counted,
    so ``addresses`` should list all of them.
    """
    busy = asyncio.run(_sample_calls_in_flight(addresses))
    return compute_remaining_capacity(documents, busy)


def compute_remaining_capacity(
    documents: dict[str, dict], busy: dict[str, float]
) -> RemainingCapacity:
    """Return the remaining capacity; ``busy`` maps a service to its calls in flight or waiting."""
    in_service = {
        document["name"]: document.get("state", "in") == "in"
        for key, document in documents.items()
        if key.startswith("geraniumlead/data-centres/")
    }
    usable: dict[str, dict] = {}
    for key, document in documents.items():
        if key.startswith("geraniumlead/upstreams/") and in_service.get(
            document["data_centre"], True
        ):
            for entry in document["upstreams"]:
                if entry.get("state", "serving") == "serving":
                    usable[entry["upstream_id"]] = entry
    capacity = RemainingCapacity()
    for key, document in documents.items():
        if key.startswith("geraniumlead/indexes/") and document.get("state") != "retired":
            _add_service(capacity, document, usable, busy)
    _find_missing_capacity(capacity, documents, in_service)
    return capacity


def _add_service(
    capacity: RemainingCapacity, index: dict, usable: dict[str, dict], busy: dict[str, float]
) -> None:
    name = index["service"]
    lost_shards = sum(
        all(replica not in usable for replica in shard["replicas"]) for shard in index["shards"]
    )
    slots = sum(entry["slots"] for entry in usable.values() if entry["service"] == name)
    usage = {"slots": slots, "busy": busy.get(name, 0.0), "lost_shards": lost_shards}
    capacity.services[name] = usage
    if lost_shards:
        capacity.problems.append(
            f"{name} version {index['version']}: {lost_shards} shards would have no replica"
        )
    if slots and usage["busy"] > MAX_UTILISATION * slots:
        capacity.problems.append(f"{name}: {usage['busy']:.1f} of {slots} slots would be busy")


def _find_missing_capacity(
    capacity: RemainingCapacity, documents: dict[str, dict], in_service: dict[str, bool]
) -> None:
    if not any(in_service.values()):
        capacity.problems.append("no data centre would be in")
    for key, document in documents.items():
        name = document.get("data_centre")
        if key.startswith("geraniumlead/instances/") and in_service.get(name, True):
            live = [item for item in document["instances"] if item.get("state", "live") == "live"]
            if not live:
                capacity.problems.append(f"{name} would have no live instance")


async def _sample_calls_in_flight(addresses: list[str]) -> dict[str, float]:
    busy: dict[str, float] = {}
    for _ in range(SAMPLE_COUNT):
        for reply in await fetch_all(addresses, "/v1/status"):
            services = (reply.body or {}).get("services", {})
            for name, usage in services.items():
                calls = usage["in_flight"] + usage["waiting"]
                busy[name] = busy.get(name, 0.0) + calls / SAMPLE_COUNT
        await asyncio.sleep(SAMPLE_INTERVAL_S)
    return busy
