from dataclasses import dataclass

from geraniumlead.ownership.owners import MAX_OWNERS, MIN_CONNECTIONS_PER_OWNER
from geraniumlead_standins.capacity.deployment_size import DeploymentSize

MICROSECONDS_PER_S = 1e6
BYTES_PER_MB = 1e6
TICKS_PER_S = 200.0
"""Batching ticks per second at the default tick of 5 ms."""

TICKET_RETENTION_S = 600.0
"""How long a ticket is kept: ten times its validity of one minute."""

WATCHERS_PER_DATA_CENTRE = 2
DOCUMENT_BYTES = 514.0
"""An average contract of the examples (404 bytes) and 110 bytes of headers."""


@dataclass(slots=True, frozen=True)
class NodeCosts:
    """Estimated costs of one node at a deployment size.

    Cores are those of the machine on which the record was written.
    """

    owners_per_upstream: float
    owned_upstreams: float
    connections: float
    peers_per_tick: float
    messages_per_s: float
    coordinator_cores: float
    owner_cores: float
    message_cores: float
    upstream_call_cores: float
    batched_call_cores: float
    subqueries_per_server_s: float
    open_request_mb: float
    upstream_mb: float
    contract_mb: float
    peer_mb: float
    ticket_mb: float
    propagation_bytes_per_s: float
    platform_calls_per_s: float

    @classmethod
    def from_slopes(cls, size: DeploymentSize, measured: dict) -> "NodeCosts":
        """Calculate the costs from the record that ``make capacity`` writes."""
        slopes = measured["slopes"]
        owners = _owners_per_upstream(size)
        subqueries = size.subqueries_per_node_s
        remote_share = 1.0 - owners / size.nodes_per_data_centre
        peers = _peers_per_tick(size, measured) if remote_share > 0 else 0.0
        reached = min(peers, subqueries * remote_share / TICKS_PER_S)
        # Sent subqueries and received results, and the same again for peers that use this owner.
        messages = 4.0 * reached * TICKS_PER_S
        remote_us = slopes["remote_query"]["slope"]
        owner_us = slopes["owner_batch"]["slope"]
        # If every instance owns every upstream, one state machine is coordinator and owner.
        both_us = slopes["local_query"]["slope"] if remote_share <= 0 else remote_us
        coding_us = slopes["coding_subquery"]["slope"] + slopes["coding_result"]["slope"]
        call_us = slopes["upstream_call"]["slope"]
        per_server = size.queries_per_s * size.shards_per_query / size.servers
        batch = max(1.0, per_server / owners / TICKS_PER_S)
        return cls(
            owners_per_upstream=owners,
            owned_upstreams=size.servers_per_data_centre * owners / size.nodes_per_data_centre,
            connections=size.servers_per_data_centre
            * size.connections_per_server
            / size.nodes_per_data_centre,
            peers_per_tick=reached,
            messages_per_s=messages,
            coordinator_cores=subqueries * both_us / MICROSECONDS_PER_S,
            owner_cores=subqueries * remote_share * owner_us / MICROSECONDS_PER_S,
            message_cores=(
                messages * slopes["message"]["intercept"] / 2.0
                + 2.0 * subqueries * remote_share * coding_us / 2.0
            )
            / MICROSECONDS_PER_S,
            upstream_call_cores=subqueries * call_us / MICROSECONDS_PER_S,
            batched_call_cores=subqueries / batch * call_us / MICROSECONDS_PER_S,
            subqueries_per_server_s=per_server,
            open_request_mb=size.queries_per_node_s
            * size.query_ms
            / 1000.0
            * size.shards_per_query
            * slopes["open_shard"]["slope"]
            / BYTES_PER_MB,
            upstream_mb=size.servers * slopes["upstream"]["slope"] / BYTES_PER_MB,
            contract_mb=size.contracts * slopes["contract"]["slope"] / BYTES_PER_MB,
            peer_mb=size.nodes * slopes["peer"]["slope"] / BYTES_PER_MB,
            ticket_mb=size.queries_per_node_s
            * size.bookings_share
            * TICKET_RETENTION_S
            * slopes["ticket"]["slope"]
            / BYTES_PER_MB,
            propagation_bytes_per_s=size.changes_per_s
            * DOCUMENT_BYTES
            * size.nodes_per_data_centre,
            platform_calls_per_s=_platform_calls_per_s(size),
        )

    @property
    def data_cores(self) -> float:
        """Return the cores for the data path of one node, with one HTTP call per subquery."""
        return (
            self.coordinator_cores
            + self.owner_cores
            + self.message_cores
            + self.upstream_call_cores
        )

    @property
    def batched_data_cores(self) -> float:
        """Return the cores for the data path if an upstream call carries one tick's subqueries."""
        return self.data_cores - self.upstream_call_cores + self.batched_call_cores

    @property
    def state_mb(self) -> float:
        """Return the memory for the state of a node, without the interpreter."""
        return (
            self.open_request_mb
            + self.upstream_mb
            + self.contract_mb
            + self.peer_mb
            + self.ticket_mb
        )


def _owners_per_upstream(size: DeploymentSize) -> float:
    by_connections = max(1, size.connections_per_server // MIN_CONNECTIONS_PER_OWNER)
    return float(min(MAX_OWNERS, by_connections, size.nodes_per_data_centre))


def _peers_per_tick(size: DeploymentSize, measured: dict) -> float:
    """Return the peers that one tick reaches, scaled from the nearest measured row."""
    rows = measured["batch_spread"]
    wanted = size.nodes_per_data_centre
    nearest = min(rows, key=lambda row: abs(row["instances"] - wanted))
    return nearest["affinity"] * wanted / nearest["instances"]


def _platform_calls_per_s(size: DeploymentSize) -> float:
    watchers = WATCHERS_PER_DATA_CENTRE * size.data_centres
    # Each pending watch counts as one call. A restart makes two reads and starts a new watch.
    return watchers + 3.0 * size.restarts_per_day / 86_400.0
