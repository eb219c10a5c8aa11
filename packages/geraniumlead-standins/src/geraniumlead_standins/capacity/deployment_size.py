"""The deployment sizes for which the capacity page calculates the needs of each role."""

from dataclasses import dataclass

SECONDS_PER_DAY = 86_400.0


@dataclass(slots=True, frozen=True)
class DeploymentSize:
    """The size and load of a deployment; rates are those of the whole fleet."""

    name: str
    nodes: int
    data_centres: int
    servers: int
    queries_per_s: float
    shards_per_query: int
    connections_per_server: int
    contracts: int
    changes_per_day: float
    restarts_per_day: float
    bookings_share: float = 0.01
    query_ms: float = 55.0

    @property
    def nodes_per_data_centre(self) -> float:
        """Return the number of entry instances in one data centre."""
        return self.nodes / self.data_centres

    @property
    def servers_per_data_centre(self) -> float:
        """Return the number of upstreams in one data centre."""
        return self.servers / self.data_centres

    @property
    def queries_per_node_s(self) -> float:
        """Return the queries per second that one node coordinates."""
        return self.queries_per_s / self.nodes

    @property
    def subqueries_per_node_s(self) -> float:
        """Return the subqueries per second of one node."""
        return self.queries_per_node_s * self.shards_per_query

    @property
    def changes_per_s(self) -> float:
        """Return the configuration changes per second."""
        return self.changes_per_day / SECONDS_PER_DAY


TODAY = DeploymentSize(
    name="today",
    nodes=7,
    data_centres=3,
    servers=345,
    queries_per_s=210.0,
    shards_per_query=20,
    connections_per_server=25,
    contracts=10,
    changes_per_day=20.0,
    restarts_per_day=7.0,
)

TEN_TIMES = DeploymentSize(
    name="ten times",
    nodes=70,
    data_centres=3,
    servers=3_450,
    queries_per_s=2_100.0,
    shards_per_query=200,
    connections_per_server=25,
    contracts=100,
    changes_per_day=200.0,
    restarts_per_day=45.0,
)

TARGET = DeploymentSize(
    name="target",
    nodes=2_500,
    data_centres=11,
    servers=12_000,
    queries_per_s=440_000.0,
    shards_per_query=1_200,
    connections_per_server=30,
    contracts=3_000,
    changes_per_day=11_000.0,
    restarts_per_day=1_622.0,
)

SIZES = (TODAY, TEN_TIMES, TARGET)
