from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class ShardPlan:
    """A shard and the usable upstreams that hold it, in published order."""

    shard: int
    replicas: tuple[str, ...]


@dataclass(slots=True, frozen=True)
class QueryPlan:
    """The shards of a query, in the one index version that all records of the answer come from."""

    service: str
    index_version: int
    shards: tuple[ShardPlan, ...]
