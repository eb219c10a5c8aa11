from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class ServiceSize:
    """The number of shards of a service and of the servers per shard, in each data centre.

    ``median_ms`` and ``sigma`` define the lognormal distribution of a stand-in's service time
    for a subquery.
    """

    name: str
    shards: int
    servers_per_shard: int
    slots: int
    connections: int
    connection_open_ms: float
    median_ms: float = 4.0
    sigma: float = 0.4
