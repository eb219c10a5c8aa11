"""Define the size of one service in each data centre."""

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class ServiceSize:
    """Count the shards of a service and the servers of each; both for each data centre.

    ``median_ms`` and ``sigma`` shape the lognormal time that a stand-in works on a subquery.
    """

    name: str
    shards: int
    servers_per_shard: int
    slots: int
    connections: int
    connection_open_ms: float
    median_ms: float = 4.0
    sigma: float = 0.4
