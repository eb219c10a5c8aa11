"""Define the plan of a query."""

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class ShardPlan:
    """Name a shard and the usable upstreams that hold it, in published order."""

    shard: int
    replicas: tuple[str, ...]


@dataclass(slots=True, frozen=True)
class QueryPlan:
    """Fix the one index version from which every record of an answer comes."""

    service: str
    index_version: int
    shards: tuple[ShardPlan, ...]
